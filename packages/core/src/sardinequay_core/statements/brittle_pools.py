"""Pools whose targets are brittle, so that a new target of one counts as brittle, too.

All targets of a pool are brittle at the same time, and one that ends comes back as a
new target that has stated nothing yet. Before its first answer every host would send it
requests, and it would end again by those that it turns away.
"""

from dataclasses import dataclass, field, replace

from ..catalogue import Catalogue
from ..clock import Instant
from ..names import PoolName
from .limits import LimitStatement, TargetLimits


@dataclass(slots=True)
class BrittlePools:
    """The newest statement of the targets of each pool.

    Parameters
    ----------
    limits : TargetLimits
        What single targets state of the requests that they can turn away.
    """

    limits: TargetLimits
    last: dict[PoolName, LimitStatement] = field(default_factory=dict)

    def assume_of_new_targets(self, before: Catalogue, catalogue: Catalogue) -> None:
        """Assume of targets that are new in a catalogue what their pools' have stated.

        A target that has started again has made no statement either.
        """
        for target_id, published in catalogue.targets.items():
            previous = before.targets.get(target_id)
            is_new = previous is None or previous.incarnation < published.incarnation
            stated = self.last.get(published.target.pool)
            if not is_new or stated is None:
                continue
            assumed = replace(stated, incarnation=published.incarnation)
            self.limits.assume(target_id, assumed)

    def note_statements(self, catalogue: Catalogue, now: Instant) -> None:
        """Note the newest statement of each pool, and drop what has expired.

        It is called before the statements of targets that left are dropped.
        """
        for target_id, published in catalogue.targets.items():
            statement = self.limits.statements.get(target_id)
            if statement is None:
                continue
            pool = published.target.pool
            known = self.last.get(pool)
            if known is None or known.heard_at < statement.heard_at:
                self.last[pool] = statement
        for pool, statement in tuple(self.last.items()):
            if statement.rate_per_s is None or statement.has_expired(now):
                del self.last[pool]
