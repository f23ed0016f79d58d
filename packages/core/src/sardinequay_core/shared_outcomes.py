"""What hosts together have seen of targets' answers.

Load pattern: many hosts, each of which sends a target a request now and then. A target
that fails part of its requests, or breaks connections, fails several at each host until
each has noticed by itself. Hosts therefore tell one another how requests ended at
targets that fail, and judge them by all of that.

Only what a target itself did counts, not that it could not be reached: a broken path of
one host must not condemn a target for all. It takes failures at more than one host.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import HostId, TargetId

HALF_LIFE = seconds(4)
"""Half-life of what was seen: several digests of a large fleet, and short beside the
trouble of a target."""

PEER_LIFE = seconds(6)
"""How long what a silent peer told counts."""

TOLD_FROM = 0.5
"""Failures, over all hosts, from which hosts tell what they saw of a target."""

LEAST_FAILURES = 3.0
"""Failures, over all hosts, below which nothing is concluded."""

LEAST_HOSTS = 2
"""Hosts that must have seen failures."""

TOLERATED = 0.3
"""Share of failures above which a target is left out by all hosts."""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """How many requests went well and failed at a target, the older the less.

    Parameters
    ----------
    witnesses : int
        Hosts whose outcomes these are, of those at which requests failed.
    """

    good: float = 0.0
    failed: float = 0.0
    witnesses: int = 1

    def faded(self, by: float) -> "Outcomes":
        """Return what is left after some half-lives."""
        part = math.exp2(-by)
        return Outcomes(self.good * part, self.failed * part, self.witnesses)

    def plus(self, good: float, failed: float) -> "Outcomes":
        """Return these with some more."""
        return Outcomes(self.good + good, self.failed + failed, self.witnesses)


NONE = Outcomes()
Told = tuple[Outcomes, Instant]


def sum_outcomes(seen: Collection[Outcomes]) -> Outcomes:
    """Return what several hosts saw as one."""
    return Outcomes(
        round(sum(o.good for o in seen), 2),
        round(sum(o.failed for o in seen), 2),
        sum(o.witnesses for o in seen if o.failed >= TOLD_FROM),
    )


@dataclass(slots=True)
class OutcomeTally:
    """The outcomes that one host and its peers saw.

    Parameters
    ----------
    told : dict
        What peers told of each target, and when. Kept by target, as most targets are
        told of by nobody, and each choice asks for all of them.
    """

    own: dict[TargetId, Told] = field(default_factory=dict)
    told: dict[TargetId, dict[HostId, Told]] = field(default_factory=dict)

    def note(
        self, target: TargetId, now: Instant, good: float = 0.0, failed: float = 0.0
    ) -> None:
        """Count one request's end."""
        self.own[target] = (self.seen(target, now).plus(good, failed), now)

    def seen(self, target: TargetId, now: Instant) -> Outcomes:
        """Return what this host saw of a target."""
        outcomes, at = self.own.get(target, (NONE, now))
        return outcomes.faded((now - at) / HALF_LIFE)

    def hear(
        self, host: HostId, told: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Take what a peer tells; it replaces what it told before."""
        if told or self.told:
            self.forget(host)
        for target, outcomes in told.items():
            self.told.setdefault(target, {})[host] = (outcomes, now)

    def hear_all(
        self, host: HostId, told: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Take from one peer what all others saw."""
        self.told.clear()
        self.hear(host, told, now)

    def sum_of(
        self, hosts: Collection[HostId], now: Instant
    ) -> dict[TargetId, Outcomes]:
        """Return what this host and some peers saw together of targets that fail."""
        found = {}
        for target in sorted(self.own.keys() | self.told.keys()):
            mine = self.seen(target, now)
            if not self.is_to_tell(target, mine, now):
                continue
            found[target] = sum_outcomes(self.known_of(target, now, hosts))
        return found

    def forget(self, host: HostId) -> None:
        """Drop what a peer told."""
        for target in tuple(self.told):
            by_host = self.told[target]
            by_host.pop(host, None)
            if not by_host:
                del self.told[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop what is known of a target that started again or is gone."""
        self.own.pop(target, None)
        self.told.pop(target, None)

    def known_of(
        self, target: TargetId, now: Instant, hosts: Collection[HostId] | None = None
    ) -> list[Outcomes]:
        """Return what each host saw of a target that tells of it, this one first.

        Parameters
        ----------
        hosts : collection of HostId or None
            The peers to count; None for all.
        """
        found = [self.seen(target, now)]
        for host, (outcomes, at) in self.told.get(target, {}).items():
            if now - at < PEER_LIFE and (hosts is None or host in hosts):
                found.append(outcomes.faded((now - at) / HALF_LIFE))
        return found

    def to_tell(self, now: Instant) -> dict[TargetId, Outcomes]:
        """Return what this host saw of targets at which requests fail anywhere.

        Hosts at which all went well tell that, too, once they hear of failures.
        """
        failing = {t for t, (seen, _) in self.own.items() if seen.failed >= TOLD_FROM}
        found = {}
        for target in sorted(failing | self.told.keys()):
            seen = self.seen(target, now)
            if (seen.good or seen.failed) and self.is_to_tell(target, seen, now):
                found[target] = Outcomes(round(seen.good, 2), round(seen.failed, 2))
        return found

    def is_to_tell(self, target: TargetId, seen: Outcomes, now: Instant) -> bool:
        """Return whether enough failed at a target, over all hosts, to tell of it.

        Counts no further than it must, as each digest asks for each target.
        """
        failed = seen.failed
        for outcomes, at in self.told.get(target, {}).values():
            if failed >= TOLD_FROM:
                break
            if now - at < PEER_LIFE:
                failed += outcomes.failed * math.exp2(-((now - at) / HALF_LIFE))
        return failed >= TOLD_FROM

    def condemns(self, target: TargetId, now: Instant) -> bool:
        """Return whether hosts together have seen too much fail at a target."""
        if target not in self.told:
            # Failures at one host alone condemn nothing. Each choice asks for each
            # target, so that most answers must cost nothing.
            return False
        seen = self.known_of(target, now)
        failed = sum(o.failed for o in seen)
        if failed < LEAST_FAILURES:
            return False
        if sum(o.witnesses for o in seen if o.failed >= TOLD_FROM) < LEAST_HOSTS:
            return False
        return failed > TOLERATED * (failed + sum(o.good for o in seen))
