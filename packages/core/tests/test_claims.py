"""Claims, views and joining: the directed cases; exploration covers the rest."""

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


def hand_over_to(joiner: GuardDuty, others: dict[str, GuardDuty], now: Instant) -> None:
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
    # A guard that gathered votes of two attempts must not forget the winner with the
    # loser's release.
    one, two, joiner = duty("a"), duty("b"), duty("d", founder=False)
    one.handle_claim(claim("loser"), NOW)
    two.handle_claim(claim("winner"), NOW)
    later = view(1, "abd")
    joiner.record_listed_view(later, NOW)
    now = NOW + POLICY.vote_window
    hand_over_to(joiner, {"a": one, "b": two}, now)
    assert joiner.enter_if_complete(now) == later
    joiner.handle_settle(Settle(HOME, "k", AttemptId("loser"), Outcome.NOT_RUN))
    assert joiner.handle_claim(claim("third", later), now).vote is ClaimDecision.HELD


def test_claims_expire_after_their_life() -> None:
    guard = duty("a")
    guard.handle_claim(claim("one"), NOW)
    now = NOW + POLICY.retention + seconds(1)
    assert guard.handle_claim(claim("two"), now).vote is ClaimDecision.GRANTED


def test_sealed_guard_votes_no_more_in_the_old_view() -> None:
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
    hand_over_to(b, {"a": a}, NOW)
    assert b.enter_if_complete(NOW) == later
    assert b.handle_claim(claim("two", later), NOW).vote is ClaimDecision.HELD


@pytest.fixture
def skipped_view() -> tuple[dict[str, GuardDuty], Instant]:
    """The guards of views 0 and 1; in view 1 a key was granted."""
    founders = {name: duty(name) for name in "abc"}
    guards = {**founders, "d": duty("d", False), "e": duty("e", False)}
    first = view(1, "cde")
    now = NOW + POLICY.vote_window
    for name in "cde":
        guards[name].record_listed_view(first, now)
        hand_over_to(guards[name], founders, now)
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
    # View 1 had claims of its own; f never heard of it before it asked the founders.
    guards, now = skipped_view
    second = view(2, "cfg")
    joiner = duty("f", founder=False)
    joiner.record_listed_view(second, now)
    hand_over_to(joiner, {name: guards[name] for name in "abc"}, now)
    assert joiner.enter_if_complete(now) is None
    hand_over_to(joiner, guards, now)
    assert joiner.enter_if_complete(now) == second
    assert joiner.handle_claim(claim("two", second), now).vote is ClaimDecision.HELD


def test_without_following_views_the_skipped_claim_would_be_lost(
    skipped_view: tuple[dict[str, GuardDuty], Instant],
) -> None:
    guards, now = skipped_view
    joiner = duty("f", founder=False)
    joiner.record_listed_view(view(2, "fgh"), now)
    with patch.object(ViewJoin, "add_named_views", lambda *_: None):
        hand_over_to(joiner, {name: guards[name] for name in "ab"}, now)
        joiner.enter_if_complete(now)
    assert (
        joiner.handle_claim(claim("two", view(2, "fgh")), now).vote
        is ClaimDecision.GRANTED
    )


def test_restarted_guard_abstains_until_a_window_has_passed() -> None:
    b, c = duty("b"), duty("c")
    b.handle_claim(claim("one"), NOW)
    a = duty("a", founder=False)
    a.record_listed_view(view(1, "abc"), NOW)
    others = {"b": b, "c": c}
    hand_over_to(a, others, NOW)
    assert a.enter_if_complete(NOW) is None
    assert (
        a.handle_claim(claim("two", view(1, "abc")), NOW).vote is ClaimDecision.ABSTAINS
    )
    now = NOW + POLICY.vote_window + seconds(0.1)
    hand_over_to(a, others, now)
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


def test_split_votes_win_for_nobody() -> None:
    round_ = ClaimRound(FOUNDING, "k", AttemptId("one"), NOW, POLICY)
    round_.record_vote(HostId("a"), ClaimVote(ClaimDecision.GRANTED))
    round_.record_vote(HostId("b"), ClaimVote(ClaimDecision.HELD))
    assert round_.status(NOW) is ClaimStatus.OPEN
    round_.record_unreachable(HostId("c"))
    assert round_.status(NOW) is ClaimStatus.HELD


def test_votes_of_forgetful_guards_are_waited_out() -> None:
    # Two of three guards restarted: no attempt can win in their view any more, and the
    # claims that they forgot are over after their life.
    blank = {name: duty(name, founder=False) for name in "ab"}
    everybody = {**blank, "c": duty("c")}
    later = view(1, "abc")
    for guard in blank.values():
        guard.record_listed_view(later, NOW)
    joiner = blank["a"]

    def ask(now: Instant) -> ClaimDecision:
        hand_over_to(joiner, everybody, now)
        joiner.enter_if_complete(now)
        return joiner.handle_claim(claim("one", later), now).vote

    early = NOW + seconds(10)
    assert (
        ask(NOW) is ask(early) is ask(NOW + POLICY.retention) is ClaimDecision.ABSTAINS
    )
    assert ask(NOW + POLICY.retention + seconds(20)) is ClaimDecision.GRANTED


@pytest.mark.parametrize("founder", [True, False])
def test_when_nobody_remembers_a_new_view_waits_much_longer(founder: bool) -> None:
    # The guards before were replaced under other names and are silent for good.
    c = duty("c", founder)
    later = view(1, "cde")
    c.record_listed_view(later, NOW)
    wait = POLICY.max_list_lag + POLICY.listing_timeout + POLICY.retention
    assert c.enter_if_complete(NOW + wait) is None
    now = NOW + wait + seconds(1)
    assert c.enter_if_complete(now) == later


def test_guard_of_a_changed_list_waits_anew() -> None:
    c = duty("c", founder=False)
    c.record_listed_view(view(1, "cde"), NOW)
    wait = POLICY.max_list_lag + POLICY.listing_timeout + POLICY.retention
    now = NOW + wait + seconds(1)
    c.record_listed_view(view(2, "cfg"), now)
    assert c.enter_if_complete(now) is None


def test_guard_that_reads_no_list_for_long_stops_voting() -> None:
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
