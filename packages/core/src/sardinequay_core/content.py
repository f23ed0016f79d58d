"""Id of a request's content, the same for each attempt, host and request id.

A caller that retries chooses a new request id. The content of the request stays the
same, and with it the effect on the target that runs the request.
"""

from hashlib import blake2b

from .names import ContentId

ID_BYTES = 16
"""Size of an id in bytes, large enough that nobody finds a second content with the id
of a given one."""


def content_id(
    method: str, host: str, path: str, caller: str, body: bytes
) -> ContentId:
    """Return the id of a request's content.

    Each part is hashed with its length, so that no part can pass for another.

    Parameters
    ----------
    path : str
        Path with query, as received.
    caller : str
        Identity of the caller; empty where requests carry none. Not an address, since
        the addresses of one caller change with the gateways between.
    """
    digest = blake2b(digest_size=ID_BYTES)
    for part in (method.encode(), host.encode(), path.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return ContentId(digest.hexdigest())
