"""What a request is, whichever attempt, host or id brings it.

A caller that comes again chooses a new request id. What it asks for stays the same, and
with it what the request does to the target that runs it.
"""

from hashlib import blake2b

from .names import ContentId

ID_BYTES = 16
"""Size of an id: nobody finds a second content with the id of a given one."""


def content_id(
    method: str, host: str, path: str, caller: str, body: bytes
) -> ContentId:
    """Return the id of what a request asks for.

    Each part goes in with its length, so that no part can pass for another.

    Parameters
    ----------
    path : str
        With the query, as it came.
    caller : str
        What the caller is known by; empty where requests do not say. No address: those
        of one caller change with the gateways on its way.
    """
    digest = blake2b(digest_size=ID_BYTES)
    for part in (method.encode(), host.encode(), path.encode(), caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return ContentId(digest.hexdigest())
