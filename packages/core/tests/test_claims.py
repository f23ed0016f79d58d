"""Claims, views and view joins: individual cases; random exploration covers more."""

from unittest.mock import patch

import pytest

from sardinequay_core.claimant import ClaimRound, ClaimStatus
from sardinequay_core.claims import (
    ClaimDecision,
    ClaimPolicy,
    ClaimRequest,
    ClaimVote,
    Guard,
    HandoverRequest,
    Settle,
)
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.guard_duty import GuardDuty
from sardinequay_core.names import Address, AttemptId, DataCentre, HostId
from sardinequay_core.outcome import Outcome
from sardinequay_core.view_join import ViewJoin
from sardinequay_core.views import GuardAddress, View

HOME = DataCentre("home")
NOW = seconds(1000)
POLICY = ClaimPolicy(
    retention=seconds(100),
    vote_window=seconds(2),
    listing_timeout=seconds(600),
    max_list_lag=seconds(10),
)


def view(number: int, names: str) -> View:
    guards = (GuardAddress(HostId(n), Address("127.0.0.1", ord(n))) for n in names)
    return View(HOME, number, tuple(guards))


FOUNDING = view(0, "abc")


def duty(name: str, founder: bool = True, started: Instant = NOW) -> GuardDuty:
    founding = FOUNDING if founder else None
    guard = Guard(HostId(name), 1, POLICY, started, founding)
    return GuardDuty(guard, FOUNDING)


def claim(attempt: str, at: View = FOUNDING, key: str = "k") -> ClaimRequest:
    return ClaimRequest(at, key, AttemptId(attempt))


def deliver_handovers(
    joiner: GuardDuty, others: dict[str, GuardDuty], now: Instant
) -> None:
    for guard, request in joiner.pending_requests(now):
        if guard.host_id in others:
            answer = others[guard.host_id].handle_handover_request(request, now)
            joiner.joining.record_handover(request.view, guard.host_id, answer, now)


def test_one_attempt_holds_a_key() -> None:
    guard = duty("a")
    assert guard.handle_claim(claim("one"), NOW).vote is ClaimDecision.GRANTED
    assert guard.handle_claim(claim("one"), NOW).vote is ClaimDecision.GRANTED
    assert guard.handle_claim(claim("two"), NOW).vote is ClaimDecision.HELD


def test_released_key_is_free_and_settled_key_is_not() -> None:
    guard = duty("a")
    guard.handle_claim(claim("one"), NOW)
    guard.handle_settle(Settle(HOME, "k", AttemptId("one"), Outcome.NOT_RUN))
    assert guard.handle_claim(claim("two"), NOW).vote is ClaimDecision.GRANTED
    guard.handle_settle(Settle(HOME, "k", AttemptId("two"), Outcome.RAN))
    assert guard.handle_claim(claim("three"), NOW).settled is Outcome.RAN


def test_release_by_the_attempt_that_lost_frees_nothing() -> None:
    guard = duty("a")
    guard.handle_claim(claim("winner"), NOW)
    guard.handle_settle(Settle(HOME, "k", AttemptId("loser"), Outcome.NOT_RUN))
    assert guard.handle_claim(claim("third"), NOW).vote is ClaimDecision.HELD


def test_release_keeps_the_other_attempt_of_a_merged_key() -> None:
    # A guard that merged the claims of two attempts for a key must keep the winner's
    # claim when the loser releases the key.
    one, two, joiner = duty("a"), duty("b"), duty("d", founder=False)
    one.handle_claim(claim("loser"), NOW)
    two.handle_claim(claim("winner"), NOW)
    later = view(1, "abd")
    joiner.record_listed_view(later, NOW)
    now = NOW + POLICY.vote_window
    deliver_handovers(joiner, {"a": one, "b": two}, now)
    assert joiner.enter_if_complete(now) == later
    joiner.handle_settle(Settle(HOME, "k", AttemptId("loser"), Outcome.NOT_RUN))
    assert joiner.handle_claim(claim("third", later), now).vote is ClaimDecision.HELD


def test_claims_expire_after_the_retention_time() -> None:
    guard = duty("a")
    guard.handle_claim(claim("one"), NOW)
    now = NOW + POLICY.retention + seconds(1)
    assert guard.handle_claim(claim("two"), now).vote is ClaimDecision.GRANTED


def test_sealed_guard_refuses_votes_in_the_old_view() -> None:
    guard = duty("a")
    later = view(1, "bcd")
    guard.handle_handover_request(HandoverRequest(FOUNDING, later, HostId("d"), 1), NOW)
    answer = guard.handle_claim(claim("one"), NOW)
    assert answer.vote is ClaimDecision.OLD_VIEW
    assert answer.later_view == later


def test_view_with_the_same_guards_is_entered_at_once() -> None:
    guard = duty("a")
    guard.record_listed_view(view(3, "abc"), NOW)
    assert (
        guard.handle_claim(claim("one", view(3, "abc")), NOW).vote
        is ClaimDecision.GRANTED
    )


def test_view_with_other_guards_waits_for_the_handover() -> None:
    a, b = duty("a"), duty("b")
    a.handle_claim(claim("one"), NOW)
    later = view(1, "abd")
    b.record_listed_view(later, NOW)
    assert b.handle_claim(claim("two", later), NOW).vote is ClaimDecision.ABSTAINS
    deliver_handovers(b, {"a": a}, NOW)
    assert b.enter_if_complete(NOW) == later
    assert b.handle_claim(claim("two", later), NOW).vote is ClaimDecision.HELD


@pytest.fixture
def skipped_view() -> tuple[dict[str, GuardDuty], Instant]:
    """Return the guards of views 0 and 1; a key was granted in view 1."""
    founders = {name: duty(name) for name in "abc"}
    guards = {**founders, "d": duty("d", False), "e": duty("e", False)}
    first = view(1, "cde")
    now = NOW + POLICY.vote_window
    for name in "cde":
        guards[name].record_listed_view(first, now)
        deliver_handovers(guards[name], founders, now)
        assert guards[name].enter_if_complete(now) == first
    for name in "de":
        assert (
            guards[name].handle_claim(claim("one", first), now).vote
            is ClaimDecision.GRANTED
        )
    return guards, now


def test_guard_that_skipped_a_view_gathers_from_it_too(
    skipped_view: tuple[dict[str, GuardDuty], Instant],
) -> None:
    # A key was granted in view 1, which f knows only from the handovers of view 0.
    guards, now = skipped_view
    second = view(2, "cfg")
    joiner = duty("f", founder=False)
    joiner.record_listed_view(second, now)
    deliver_handovers(joiner, {name: guards[name] for name in "abc"}, now)
    assert joiner.enter_if_complete(now) is None
    deliver_handovers(joiner, guards, now)
    assert joiner.enter_if_complete(now) == second
    assert joiner.handle_claim(claim("two", second), now).vote is ClaimDecision.HELD


def test_without_discovered_views_the_skipped_claim_would_be_lost(
    skipped_view: tuple[dict[str, GuardDuty], Instant],
) -> None:
    guards, now = skipped_view
    joiner = duty("f", founder=False)
    joiner.record_listed_view(view(2, "fgh"), now)
    with patch.object(ViewJoin, "add_named_views", lambda *_: None):
        deliver_handovers(joiner, {name: guards[name] for name in "ab"}, now)
        joiner.enter_if_complete(now)
    assert (
        joiner.handle_claim(claim("two", view(2, "fgh")), now).vote
        is ClaimDecision.GRANTED
    )


def test_restarted_guard_abstains_until_the_vote_window_has_passed() -> None:
    b, c = duty("b"), duty("c")
    b.handle_claim(claim("one"), NOW)
    a = duty("a", founder=False)
    a.record_listed_view(view(1, "abc"), NOW)
    others = {"b": b, "c": c}
    deliver_handovers(a, others, NOW)
    assert a.enter_if_complete(NOW) is None
    assert (
        a.handle_claim(claim("two", view(1, "abc")), NOW).vote is ClaimDecision.ABSTAINS
    )
    now = NOW + POLICY.vote_window + seconds(0.1)
    deliver_handovers(a, others, now)
    assert a.enter_if_complete(now) == view(1, "abc")
    assert a.handle_claim(claim("two", view(1, "abc")), now).vote is ClaimDecision.HELD


def test_votes_count_only_within_the_window() -> None:
    round_ = ClaimRound(FOUNDING, "k", AttemptId("one"), NOW, POLICY)
    round_.record_vote(HostId("a"), ClaimVote(ClaimDecision.GRANTED))
    round_.record_vote(HostId("b"), ClaimVote(ClaimDecision.GRANTED))
    assert round_.status(NOW + POLICY.vote_window) is ClaimStatus.WON
    assert (
        round_.status(NOW + POLICY.vote_window + seconds(0.1))
        is ClaimStatus.UNAVAILABLE
    )


def test_split_votes_grant_the_key_to_no_attempt() -> None:
    round_ = ClaimRound(FOUNDING, "k", AttemptId("one"), NOW, POLICY)
    round_.record_vote(HostId("a"), ClaimVote(ClaimDecision.GRANTED))
    round_.record_vote(HostId("b"), ClaimVote(ClaimDecision.HELD))
    assert round_.status(NOW) is ClaimStatus.OPEN
    round_.record_unreachable(HostId("c"))
    assert round_.status(NOW) is ClaimStatus.HELD


def test_view_of_blank_guards_is_left_after_the_claim_retention() -> None:
    # Two of three guards restarted and lost their claims. No attempt can win in their
    # view any more, and the lost claims expire after the retention time.
    blank = {name: duty(name, founder=False) for name in "ab"}
    all_guards = {**blank, "c": duty("c")}
    later = view(1, "abc")
    for guard in blank.values():
        guard.record_listed_view(later, NOW)
    joiner = blank["a"]

    def join_and_claim(now: Instant) -> ClaimDecision:
        deliver_handovers(joiner, all_guards, now)
        joiner.enter_if_complete(now)
        return joiner.handle_claim(claim("one", later), now).vote

    early = NOW + seconds(10)
    assert (
        join_and_claim(NOW)
        is join_and_claim(early)
        is join_and_claim(NOW + POLICY.retention)
        is ClaimDecision.ABSTAINS
    )
    assert join_and_claim(NOW + POLICY.retention + seconds(20)) is ClaimDecision.GRANTED


@pytest.mark.parametrize("founder", [True, False])
def test_without_any_handover_a_view_is_entered_after_the_longest_wait(
    founder: bool,
) -> None:
    # The earlier guards were replaced by hosts with other names and never answer.
    c = duty("c", founder)
    later = view(1, "cde")
    c.record_listed_view(later, NOW)
    wait = POLICY.max_list_lag + POLICY.listing_timeout + POLICY.retention
    assert c.enter_if_complete(NOW + wait) is None
    now = NOW + wait + seconds(1)
    assert c.enter_if_complete(now) == later


def test_changed_list_restarts_the_wait() -> None:
    c = duty("c", founder=False)
    c.record_listed_view(view(1, "cde"), NOW)
    wait = POLICY.max_list_lag + POLICY.listing_timeout + POLICY.retention
    now = NOW + wait + seconds(1)
    c.record_listed_view(view(2, "cfg"), now)
    assert c.enter_if_complete(now) is None


def test_guard_stops_voting_after_the_listing_timeout() -> None:
    guard = duty("a")
    now = NOW + POLICY.listing_timeout + seconds(1)
    assert guard.handle_claim(claim("one"), now).vote is ClaimDecision.ABSTAINS
    guard.record_listed_view(FOUNDING, now)
    assert guard.handle_claim(claim("one"), now).vote is ClaimDecision.GRANTED


def test_handover_comes_in_pages() -> None:
    guard = duty("a")
    for n in range(4100):
        guard.handle_claim(claim("one", key=f"k{n:05}"), NOW)
    request = HandoverRequest(FOUNDING, view(1, "abd"), HostId("d"), 1)
    first = guard.handle_handover_request(request, NOW)
    assert first.more
    after = first.records[-1].key
    rest = guard.handle_handover_request(
        HandoverRequest(FOUNDING, view(1, "abd"), HostId("d"), 1, after), NOW
    )
    assert not rest.more
    assert len(first.records) + len(rest.records) == 4100
