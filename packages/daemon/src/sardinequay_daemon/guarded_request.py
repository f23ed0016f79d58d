"""The state of a request that decides whether its content may be sent to a target.

Content that is suspected to crash targets needs a permit; see `content_guard`.
"""

import asyncio
from dataclasses import dataclass

from sardinequay_core.names import ContentId


@dataclass(slots=True)
class GuardedRequest:
    """A request in progress, as the content guard tracks it.

    Parameters
    ----------
    content : ContentId
        Identifies the request's content; equal for each repeat by a caller.
    may_have_run : bool
        Whether a target was sent the request and did not prove that it has not run it.
    permit : str
        The permit to run suspected content; empty if the request holds none.
    permit_waits : int
        How often the request found the permit held by another request.
    target_end_check : Task or None
        Checks whether the last target ended while it ran the request.
    """

    request_id: str
    content: ContentId
    may_have_run: bool = False
    permit: str = ""
    permit_waits: int = 0
    target_end_check: asyncio.Task[bool] | None = None
