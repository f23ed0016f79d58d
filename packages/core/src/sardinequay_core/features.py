"""Features of a request that may crash the target which runs it.

One feature is the whole content of the request: a caller that retries chooses a new
request id, while the content stays the same. The others are the parts of its prompt,
which requests that are otherwise different share.
"""

from collections.abc import Sequence
from hashlib import blake2b

from .names import FeatureId

ID_BYTES = 16
"""Size of a content's id in bytes, large enough that nobody finds a second content with
the id of a given one."""

PART_PREFIX = "part:"
"""Begins the ids of prompt parts; no id of a content does."""

MAX_PARTS = 16
"""Number of a prompt's parts that are considered, the first ones: callers choose how
many there are."""


def content_feature(
    method: str, host: str, path: str, caller: str, body: bytes
) -> FeatureId:
    """Return the feature that is a request's whole content.

    Each piece is hashed with its length, so that no piece can pass for another. Headers
    are left out: a caller that retries may name another model.

    Parameters
    ----------
    path : str
        Path with query, as received.
    caller : str
        Identity of the caller; empty where requests carry none. Not an address, since
        the addresses of one caller change with the gateways between.
    """
    texts = (method, host, path, caller)
    pieces = [text.encode(errors="surrogateescape") for text in texts] + [body]
    digest = blake2b(digest_size=ID_BYTES)
    for piece in pieces:
        digest.update(len(piece).to_bytes(8, "big"))
        digest.update(piece)
    return FeatureId(digest.hexdigest())


def message_parts(messages: Sequence[bytes]) -> tuple[str, ...]:
    """Return ids of the messages of a chat, for `part_features`.

    Parameters
    ----------
    messages : sequence of bytes
        The messages in order, each encoded the same way in every request.
    """
    return tuple(blake2b(m, digest_size=ID_BYTES).hexdigest() for m in messages)


def part_features(parts: Sequence[str]) -> tuple[FeatureId, ...]:
    """Return the features that are parts of a prompt, without the last part.

    The last part belongs to the request itself, and so to its content.

    Parameters
    ----------
    parts : sequence of str
        Ids of all parts, in order.
    """
    shared = dict.fromkeys(parts[:-1][:MAX_PARTS])
    return tuple(FeatureId(f"{PART_PREFIX}{part}") for part in shared)


def is_part(feature: FeatureId) -> bool:
    """Return whether a feature is a part of a prompt."""
    return feature.startswith(PART_PREFIX)
