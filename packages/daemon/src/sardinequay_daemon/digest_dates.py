"""When digests of peers were built, by this host's clock.

A link may hold a digest up for seconds. Each digest therefore echoes the time at which
the digest that its sender received last was sent: it was built after that.
"""

from dataclasses import dataclass

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import HostId

from .serving_messages import Digest, DigestStamp


@dataclass(frozen=True, slots=True)
class ReceivedStamp:
    """When a peer sent its last digest, by its clock, and when that was received."""

    sent_s: float
    received_at: Instant


class DigestDates:
    """Stamps digests to peers, and dates those that they send."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_at = clock.monotonic()
        self.received: dict[HostId, ReceivedStamp] = {}

    def stamp(self, host_id: HostId) -> DigestStamp:
        """Return the stamp of a digest that is sent to a peer now."""
        now = self.clock.monotonic()
        last = self.received.get(host_id)
        if last is None:
            return DigestStamp(now.total_seconds())
        held_s = (now - last.received_at).total_seconds()
        return DigestStamp(now.total_seconds(), last.sent_s, held_s)

    def built_at(self, digest: Digest) -> Instant | None:
        """Return when a received digest was built at the earliest; None if unknown."""
        stamp, now = digest.stamp, self.clock.monotonic()
        if stamp is None:
            return None
        received = ReceivedStamp(stamp.sent_s, now)
        self.received[digest.host.host_id] = received
        if stamp.echo_s is None or not stamp.held_s >= 0:
            return None
        now_s = now.total_seconds()
        if not self.started_at.total_seconds() <= stamp.echo_s <= now_s:
            return None
        return seconds(min(now_s, stamp.echo_s + stamp.held_s))

    def forget_peer(self, host_id: HostId) -> None:
        """Drop what is known of a peer that is gone."""
        self.received.pop(host_id, None)
