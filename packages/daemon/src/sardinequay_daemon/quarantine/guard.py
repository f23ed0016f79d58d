"""Admits or refuses requests by the features that ended targets had in common.

A feature is the digest of a request's whole content, or a part of its prompt. It is
under suspicion once a target's process ended while it had such a request; after more
ends it is quarantined. The core's `quarantine` and `blame` decide that, and this module
feeds them with targets' ends and with other hosts' observations.
"""

import asyncio
import itertools
import logging
from collections.abc import Iterable
from dataclasses import asdict
from typing import TypeVar

from sardinequay_core.blame import Blame, find_blame, held_by_itself
from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import FeatureId, HostId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.quarantine import Quarantine, TargetEnd
from sardinequay_core.roster import Target

from ..background_tasks import BackgroundTasks
from ..peers import PeerClient
from ..progress import RequestRefusedError, answer_lost_refusal
from .end_detector import InterruptedRequest, TargetEndDetector
from .guarded_request import GuardedRequest
from .held import HeldContent, describe_all_held, describe_blame, describe_held
from .messages import ContentNews
from .probe_permits import GuardPeers, ProbePermits
from .updates import age_s, apply_content_update

MAX_PROBE_WAIT_S = 1.0
"""How long the next attempt waits at most for the probe of the last target, in seconds:
longer than a probe takes."""

PERMIT_POLL_S = 0.05
"""Interval at which a permit that another request holds is requested again, in seconds:
about the run time of a plain request."""

MAX_PERMIT_WAIT_S = 0.5
"""How long a request waits for a permit, in seconds: requests that crash targets do so
earlier, and a request that waited for the end of another's stream would be late."""

PERMIT_RETRY = seconds(1)
"""Retry-after time if the permit was not free within that time."""

PROOF_AFTER = seconds(0.5)
"""A stream shows that its features are sound once its target has survived the first
event by this time; a target may end a little after it began to answer."""

Result = TypeVar("Result")
log = logging.getLogger(__name__)


class FeatureGuard:
    """Admits or refuses requests by the ends of targets that ran the same features."""

    def __init__(
        self,
        me: HostId,
        quarantine: Quarantine,
        end_detector: TargetEndDetector,
        fleet: GuardPeers,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self.me = me
        self.quarantine = quarantine
        self.end_detector = end_detector
        self.fleet = fleet
        self.clock = clock
        self.permits = ProbePermits(
            me, quarantine, fleet, peers, clock, self.apply_update
        )
        self.run_numbers = itertools.count()
        self.tasks = BackgroundTasks("target end")

    def refuse_if_held(self, request: GuardedRequest) -> None:
        """Refuse a request that has a quarantined feature."""
        if not request.is_counted:
            request.is_counted = True
            self.quarantine.record_request(request.parts)
        now = self.clock.monotonic()
        blame = find_blame(self.quarantine, request.features)
        remaining = ZERO if blame is None else blame.remaining_hold(now)
        if blame is None or not remaining:
            return
        self.log_refusal(request, blame, now)
        if request.may_have_run:
            raise RequestRefusedError(answer_lost_refusal())
        text = describe_blame(blame, now)
        raise RequestRefusedError(not_run_refusal(Reason.QUARANTINED, text, remaining))

    def log_refusal(self, request: GuardedRequest, blame: Blame, now: Instant) -> None:
        """Log which feature of a request is held, and the ends against it."""
        log.info(
            "request quarantined",
            extra={
                "request": request.request_id,
                "feature": blame.feature,
                "targets": [end.target for end in blame.ends],
                "last_s": age_s(blame.ends[-1].at, now),
                "hold_s": round(blame.remaining_hold(now).total_seconds(), 3),
            },
        )

    async def may_run(self, request: GuardedRequest) -> bool:
        """Return whether a request may run now; after False, choose its target again.

        Raises
        ------
        RequestRefusedError
            If other requests with the same feature held the permit for too long.
        """
        blame = find_blame(self.quarantine, request.features)
        if blame is None:
            return True
        if blame.remaining_hold(self.clock.monotonic()):
            return False
        if request.permit:
            return True
        permit = f"{self.me}/{next(self.run_numbers)}"
        if await self.permits.is_permitted(permit, blame.feature):
            request.permit = permit
            request.permit_feature = blame.feature
            # The issuer's reply may have reported an end that quarantines the feature.
            return not self.is_held(request)
        request.permit_waits += 1
        if request.permit_waits * PERMIT_POLL_S > MAX_PERMIT_WAIT_S:
            raise RequestRefusedError(self.not_permitted_refusal(request))
        await asyncio.sleep(PERMIT_POLL_S)
        return False

    def is_held(self, request: GuardedRequest) -> bool:
        """Return whether a feature of a request is quarantined."""
        blame = find_blame(self.quarantine, request.features)
        now = self.clock.monotonic()
        return blame is not None and bool(blame.remaining_hold(now))

    def not_permitted_refusal(self, request: GuardedRequest) -> Refusal:
        """Return the refusal of a request that got no permit in time."""
        if request.may_have_run:
            return answer_lost_refusal()
        text = "a target ended under a request like it, and another like it runs now"
        return not_run_refusal(Reason.QUARANTINED, text, PERMIT_RETRY)

    async def wait_for_end_check(
        self, request: GuardedRequest, within_s: float
    ) -> bool:
        """Wait until the probe of a request's last target is complete.

        Returns
        -------
        bool
            Whether the target is known to be alive, or no probe was started.
        """
        check, request.target_end_check = request.target_end_check, None
        if check is None:
            return True
        done, _ = await asyncio.wait((check,), timeout=max(0.0, within_s))
        return bool(done) and not check.result()

    def handle_broken_connection(
        self, request: GuardedRequest, target: Target, incarnation: int, ran_s: float
    ) -> None:
        """Start the probe of a target at which a request's connection broke."""
        now = self.clock.monotonic()
        request.cancel_proof()
        began = request.first_event_at
        is_proven = began is not None and now - began >= PROOF_AFTER
        interrupted = InterruptedRequest(
            request.request_id,
            request.content,
            target,
            incarnation,
            ran_s,
            now,
            () if is_proven else request.parts,
            began is not None,
        )
        request.target_end_check = self.tasks.start(
            self.check_target_end(interrupted), target.target_id
        )

    async def check_target_end(self, interrupted: InterruptedRequest) -> bool:
        """Probe whether a target ended, and record the end against the content."""
        has_ended = await self.end_detector.has_ended_during(interrupted)
        if has_ended:
            self.record_target_end(interrupted)
        return has_ended

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Record ends of targets that later starts in the catalogue reveal."""
        for interrupted in self.end_detector.find_restarted(
            catalogue, self.clock.monotonic()
        ):
            self.record_target_end(interrupted)

    def record_target_end(self, interrupted: InterruptedRequest) -> None:
        """Record a target's end against the features of a request that it had."""
        now = self.clock.monotonic()
        end = TargetEnd(
            interrupted.target.target_id, interrupted.incarnation, interrupted.at
        )
        for feature in interrupted.features:
            if self.quarantine.record_target_end(feature, end, now):
                self.publish_change(feature, is_own=True)

    def handle_first_event(self, request: GuardedRequest) -> None:
        """Record that a target has begun to answer a request."""
        request.first_event_at = self.clock.monotonic()
        if request.parts:
            loop = asyncio.get_running_loop()
            delay_s = PROOF_AFTER.total_seconds()
            request.proof = loop.call_later(
                delay_s, self.clear_parts, request, request.first_event_at
            )

    def clear_parts(self, request: GuardedRequest, at: Instant) -> None:
        """Clear the parts of a request whose target has survived its answer.

        Parameters
        ----------
        at : timedelta
            When the target began to answer.
        """
        request.cancel_proof()
        for part in request.parts:
            self.clear_feature(part, at)

    def record_answer(self, request: GuardedRequest) -> None:
        """Clear a request's features of suspicion, since it was answered."""
        now = self.clock.monotonic()
        self.clear_feature(request.content, now)
        is_proof_due = request.first_event_at is None or request.proof is not None
        if is_proof_due:
            self.clear_parts(request, now)

    def clear_feature(self, feature: FeatureId, at: Instant) -> None:
        """Record an answered request, and clear its feature of earlier ends."""
        now = self.clock.monotonic()
        if self.quarantine.record_sound_run(feature, at, now):
            log.info("content cleared", extra={"content": feature})
            self.fleet.announce_content(feature, is_own=True)

    def lift_quarantine(self, feature: FeatureId) -> bool:
        """Lift a quarantine for an operator; return whether the feature was suspect."""
        now = self.clock.monotonic()
        is_known = self.quarantine.clear_feature(feature, now, now)
        log.warning("quarantine lifted", extra={"content": feature, "known": is_known})
        if is_known:
            self.fleet.announce_content(feature, is_own=True)
        return is_known

    def release_permit(self, request: GuardedRequest) -> None:
        """Return a request's permit in the background, once its probe is complete."""
        request.cancel_proof()
        if request.permit:
            self.tasks.start(self.return_permit(request), request.request_id)

    async def return_permit(self, request: GuardedRequest) -> None:
        """Return a request's permit once the probe of its target is complete."""
        if request.target_end_check is not None:
            await asyncio.wait((request.target_end_check,))
        feature = request.permit_feature or request.content
        await self.permits.return_permit(feature, request.permit)

    def held_contents(self) -> list[HeldContent]:
        """Return the quarantined features, for operators."""
        return describe_all_held(self.quarantine, self.clock.monotonic())

    def apply_updates(self, contents: Iterable[ContentNews]) -> None:
        """Apply a peer's observations of contents."""
        for update in contents:
            self.apply_update(update)

    def apply_update(self, update: ContentNews) -> None:
        """Apply a peer's observations of a content."""
        if apply_content_update(self.quarantine, update, self.clock.monotonic()):
            self.publish_change(update.content, is_own=False)

    def publish_change(self, content: FeatureId, is_own: bool) -> None:
        """Announce a changed content to other hosts; log it if it is quarantined."""
        now = self.clock.monotonic()
        blame = held_by_itself(self.quarantine, content)
        if blame is not None and blame.remaining_hold(now):
            held = describe_held(blame, now)
            log.warning("content quarantined", extra=asdict(held))
        self.fleet.announce_content(content, is_own)

    def expire(self) -> None:
        """Drop expired suspicions and permits."""
        now = self.clock.monotonic()
        self.quarantine.expire_suspicions(now)
        self.permits.expire(now)
