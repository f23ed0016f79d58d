"""A request as far as it concerns whether its content may run."""

import asyncio
from dataclasses import dataclass

from sardinequay_core.names import ContentId


@dataclass(slots=True)
class GuardedRun:
    """A request on its way.

    Parameters
    ----------
    content : ContentId
        What it asks for, the same each time a caller comes with it.
    may_have_run : bool
        Whether it was sent to a target that did not say that it has not run it.
    permit : str
        The permit that it has, if its content is under suspicion.
    permit_waits : int
        How often it found that another run had the permit.
    verdict : Task or None
        Finds out whether the last target ended under it.
    """

    request_id: str
    content: ContentId
    may_have_run: bool = False
    permit: str = ""
    permit_waits: int = 0
    target_end_check: asyncio.Task[bool] | None = None
