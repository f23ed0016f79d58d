"""Choice of the targets that may start or resume a stream, by software version."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from typing import Protocol, TypeVar

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.names import SoftwareVersion, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.serving import Repetition
from sardinequay_core.target_choice import EngineOption

from .chosen_target import NO_TARGET_RETRY, jittered_retry_after
from .exchange import RelayExchange
from .relay_state import RelayState


class Option(Protocol):
    """A candidate for a request."""

    @property
    def target(self) -> TargetId:
        """Return the target."""


AnyOption = TypeVar("AnyOption", bound=Option)


def options_by_software(
    state: RelayState, exchange: RelayExchange, options: Sequence[AnyOption]
) -> list[AnyOption]:
    """Return the candidates whose software version a request may use.

    A stream that has events is resumed by its own version. A resumable one starts
    at a version that all hosts know of. A target whose version is not known gets
    neither.
    """
    targets = state.catalogue.targets
    versions = {o.target: version_of(state, targets[o.target]) for o in options}
    if exchange.software_version is not None:
        allowed = frozenset({exchange.software_version})
    elif exchange.route.repetition is Repetition.RESUMABLE_STREAM:
        now = state.clock.monotonic()
        available = frozenset(v for v in versions.values() if v is not None)
        allowed = state.software.versions_to_begin_on(exchange.pool, available, now)
    else:
        return list(options)
    return [o for o in options if versions[o.target] in allowed]


def version_of(state: RelayState, published: PublishedTarget) -> SoftwareVersion | None:
    """Return the software version of the start of a target that runs now.

    It is None if no entry has told it: the target has started again since, as its
    reports show, and the store may be silent.
    """
    target = published.target.target_id
    listed = state.catalogue.targets.get(target, published)
    held = state.residency.reported.get(target)
    if held is not None and 0 < listed.incarnation < held.incarnation:
        return None
    return listed.software_version


def with_last_of_version(
    state: RelayState, exchange: RelayExchange, options: list[EngineOption]
) -> list[EngineOption]:
    """Return candidates marked where no other target could resume the stream.

    Where all targets have one version that is no reason to prefer another.
    """
    if exchange.route.repetition is not Repetition.RESUMABLE_STREAM:
        return options
    live = state.live_targets(exchange.pool)
    versions = {t.target.target_id: version_of(state, t) for t in live}
    counts = Counter(versions.values())
    if len(counts) <= 1:
        return options
    return [
        replace(o, is_last_of_version=counts[versions.get(o.target)] <= 1)
        for o in options
    ]


def no_version_refusal(state: RelayState, version: SoftwareVersion) -> Refusal:
    """Return the refusal of a stream that has no target of its version now."""
    text = f"no target of software version {version!r}, which began the stream, is live"
    wait = jittered_retry_after(state.random, NO_TARGET_RETRY)
    return not_run_refusal(Reason.STREAM_VERSION, text, wait)
