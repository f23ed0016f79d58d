"""Tokens that this host's requests may need on each engine."""

from dataclasses import dataclass, field

from ..names import TargetId


@dataclass(frozen=True, slots=True)
class Held:
    """Tokens of the requests that one incarnation of an engine has."""

    incarnation: int
    tokens: int


@dataclass(slots=True)
class HeldTokens:
    """Counts the requests of the newest known incarnation of each engine.

    An engine starts empty: requests of an earlier incarnation hold nothing any more,
    although some end only later.
    """

    held: dict[TargetId, Held] = field(default_factory=dict)

    def tokens_on(self, target: TargetId) -> int:
        """Return the tokens of this host's requests on an engine."""
        held = self.held.get(target)
        return 0 if held is None else held.tokens

    def record_sent(self, target: TargetId, incarnation: int, tokens: int) -> None:
        """Count a request that is sent to an incarnation of an engine."""
        held = self.held.get(target)
        if held is None or held.incarnation < incarnation:
            self.held.pop(target, None)
            held = Held(incarnation, 0)
        if held.incarnation == incarnation and tokens:
            self.held[target] = Held(incarnation, held.tokens + tokens)

    def record_end(self, target: TargetId, incarnation: int, tokens: int) -> None:
        """Remove a request that has ended."""
        held = self.held.get(target)
        if held is None or held.incarnation != incarnation:
            return
        if held.tokens > tokens:
            self.held[target] = Held(incarnation, held.tokens - tokens)
        else:
            del self.held[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop what was sent to an engine that has started again."""
        self.held.pop(target, None)
