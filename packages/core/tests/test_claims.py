"""Claims, views and joining: the directed cases; exploration covers the rest."""

from unittest.mock import patch

import pytest

from sardinequay_core.claimant import ClaimRound, Standing
from sardinequay_core.claims import (
    ClaimPolicy,
    ClaimRequest,
    ClaimVote,
    Guard,
    HandoverRequest,
    Settle,
    Vote,
)
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.guard_duty import GuardDuty
from sardinequay_core.joining import Joining
from sardinequay_core.names import Address, AttemptId, DataCentre, HostId
from sardinequay_core.outcome import Outcome
from sardinequay_core.views import GuardAddress, View

HOME = DataCentre("home")
NOW = seconds(1000)
POLICY = ClaimPolicy(
    life=seconds(100), window=seconds(2), lapse=seconds(600), list_lag=seconds(10)
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
    for guard, request in joiner.requests(now):
        if guard.host_id in others:
            answer = others[guard.host_id].hand_over(request, now)
            joiner.joining.take(request.view, guard.host_id, answer, now)


def test_one_attempt_holds_a_key() -> None:
    guard = duty("a")
    assert guard.claim(claim("one"), NOW).vote is Vote.GRANTED
    assert guard.claim(claim("one"), NOW).vote is Vote.GRANTED
    assert guard.claim(claim("two"), NOW).vote is Vote.HELD


def test_released_key_is_free_and_settled_key_is_not() -> None:
    guard = duty("a")
    guard.claim(claim("one"), NOW)
    guard.settle(Settle(HOME, "k", AttemptId("one"), Outcome.NOT_RUN))
    assert guard.claim(claim("two"), NOW).vote is Vote.GRANTED
    guard.settle(Settle(HOME, "k", AttemptId("two"), Outcome.RAN))
    assert guard.claim(claim("three"), NOW).settled is Outcome.RAN


def test_release_by_the_attempt_that_lost_frees_nothing() -> None:
    guard = duty("a")
    guard.claim(claim("winner"), NOW)
    guard.settle(Settle(HOME, "k", AttemptId("loser"), Outcome.NOT_RUN))
    assert guard.claim(claim("third"), NOW).vote is Vote.HELD


def test_release_keeps_the_other_attempt_of_a_merged_key() -> None:
    # A guard that gathered votes of two attempts must not forget the winner with the
    # loser's release.
    one, two, joiner = duty("a"), duty("b"), duty("d", founder=False)
    one.claim(claim("loser"), NOW)
    two.claim(claim("winner"), NOW)
    later = view(1, "abd")
    joiner.read_list(later, NOW)
    now = NOW + POLICY.window
    hand_over_to(joiner, {"a": one, "b": two}, now)
    assert joiner.step(now) == later
    joiner.settle(Settle(HOME, "k", AttemptId("loser"), Outcome.NOT_RUN))
    assert joiner.claim(claim("third", later), now).vote is Vote.HELD


def test_claims_expire_after_their_life() -> None:
    guard = duty("a")
    guard.claim(claim("one"), NOW)
    now = NOW + POLICY.life + seconds(1)
    assert guard.claim(claim("two"), now).vote is Vote.GRANTED


def test_sealed_guard_votes_no_more_in_the_old_view() -> None:
    guard = duty("a")
    later = view(1, "bcd")
    guard.hand_over(HandoverRequest(FOUNDING, later, HostId("d"), 1), NOW)
    answer = guard.claim(claim("one"), NOW)
    assert answer.vote is Vote.OLD_VIEW
    assert answer.later_view == later


def test_view_with_the_same_guards_is_entered_at_once() -> None:
    guard = duty("a")
    guard.read_list(view(3, "abc"), NOW)
    assert guard.claim(claim("one", view(3, "abc")), NOW).vote is Vote.GRANTED


def test_view_with_other_guards_waits_for_the_handover() -> None:
    a, b = duty("a"), duty("b")
    a.claim(claim("one"), NOW)
    later = view(1, "abd")
    b.read_list(later, NOW)
    assert b.claim(claim("two", later), NOW).vote is Vote.ABSTAINS
    hand_over_to(b, {"a": a}, NOW)
    assert b.step(NOW) == later
    assert b.claim(claim("two", later), NOW).vote is Vote.HELD


@pytest.fixture
def skipped_view() -> tuple[dict[str, GuardDuty], Instant]:
    """The guards of views 0 and 1; in view 1 a key was granted."""
    founders = {name: duty(name) for name in "abc"}
    guards = {**founders, "d": duty("d", False), "e": duty("e", False)}
    first = view(1, "cde")
    now = NOW + POLICY.window
    for name in "cde":
        guards[name].read_list(first, now)
        hand_over_to(guards[name], founders, now)
        assert guards[name].step(now) == first
    for name in "de":
        assert guards[name].claim(claim("one", first), now).vote is Vote.GRANTED
    return guards, now


def test_guard_that_skipped_a_view_gathers_from_it_too(
    skipped_view: tuple[dict[str, GuardDuty], Instant],
) -> None:
    # View 1 had claims of its own; f never heard of it before it asked the founders.
    guards, now = skipped_view
    second = view(2, "cfg")
    joiner = duty("f", founder=False)
    joiner.read_list(second, now)
    hand_over_to(joiner, {name: guards[name] for name in "abc"}, now)
    assert joiner.step(now) is None
    hand_over_to(joiner, guards, now)
    assert joiner.step(now) == second
    assert joiner.claim(claim("two", second), now).vote is Vote.HELD


def test_without_following_views_the_skipped_claim_would_be_lost(
    skipped_view: tuple[dict[str, GuardDuty], Instant],
) -> None:
    guards, now = skipped_view
    joiner = duty("f", founder=False)
    joiner.read_list(view(2, "fgh"), now)
    with patch.object(Joining, "follow", lambda *_: None):
        hand_over_to(joiner, {name: guards[name] for name in "ab"}, now)
        joiner.step(now)
    assert joiner.claim(claim("two", view(2, "fgh")), now).vote is Vote.GRANTED


def test_restarted_guard_abstains_until_a_window_has_passed() -> None:
    b, c = duty("b"), duty("c")
    b.claim(claim("one"), NOW)
    a = duty("a", founder=False)
    a.read_list(view(1, "abc"), NOW)
    others = {"b": b, "c": c}
    hand_over_to(a, others, NOW)
    assert a.step(NOW) is None
    assert a.claim(claim("two", view(1, "abc")), NOW).vote is Vote.ABSTAINS
    now = NOW + POLICY.window + seconds(0.1)
    hand_over_to(a, others, now)
    assert a.step(now) == view(1, "abc")
    assert a.claim(claim("two", view(1, "abc")), now).vote is Vote.HELD


def test_votes_count_only_within_the_window() -> None:
    round_ = ClaimRound(FOUNDING, "k", AttemptId("one"), NOW, POLICY)
    round_.take(HostId("a"), ClaimVote(Vote.GRANTED))
    round_.take(HostId("b"), ClaimVote(Vote.GRANTED))
    assert round_.standing(NOW + POLICY.window) is Standing.WON
    assert round_.standing(NOW + POLICY.window + seconds(0.1)) is Standing.UNAVAILABLE


def test_split_votes_win_for_nobody() -> None:
    round_ = ClaimRound(FOUNDING, "k", AttemptId("one"), NOW, POLICY)
    round_.take(HostId("a"), ClaimVote(Vote.GRANTED))
    round_.take(HostId("b"), ClaimVote(Vote.HELD))
    assert round_.standing(NOW) is Standing.OPEN
    round_.take_silence(HostId("c"))
    assert round_.standing(NOW) is Standing.HELD


def test_votes_of_forgetful_guards_are_waited_out() -> None:
    # Two of three guards restarted: no attempt can win in their view any more, and the
    # claims that they forgot are over after their life.
    blank = {name: duty(name, founder=False) for name in "ab"}
    everybody = {**blank, "c": duty("c")}
    later = view(1, "abc")
    for guard in blank.values():
        guard.read_list(later, NOW)
    joiner = blank["a"]

    def ask(now: Instant) -> Vote:
        hand_over_to(joiner, everybody, now)
        joiner.step(now)
        return joiner.claim(claim("one", later), now).vote

    early = NOW + seconds(10)
    assert ask(NOW) is ask(early) is ask(NOW + POLICY.life) is Vote.ABSTAINS
    assert ask(NOW + POLICY.life + seconds(20)) is Vote.GRANTED


@pytest.mark.parametrize("founder", [True, False])
def test_when_nobody_remembers_a_new_view_waits_much_longer(founder: bool) -> None:
    # The guards before were replaced under other names and are silent for good.
    c = duty("c", founder)
    later = view(1, "cde")
    c.read_list(later, NOW)
    wait = POLICY.list_lag + POLICY.lapse + POLICY.life
    assert c.step(NOW + wait) is None
    now = NOW + wait + seconds(1)
    assert c.step(now) == later


def test_guard_of_a_changed_list_waits_anew() -> None:
    c = duty("c", founder=False)
    c.read_list(view(1, "cde"), NOW)
    wait = POLICY.list_lag + POLICY.lapse + POLICY.life
    now = NOW + wait + seconds(1)
    c.read_list(view(2, "cfg"), now)
    assert c.step(now) is None


def test_guard_that_reads_no_list_for_long_stops_voting() -> None:
    guard = duty("a")
    now = NOW + POLICY.lapse + seconds(1)
    assert guard.claim(claim("one"), now).vote is Vote.ABSTAINS
    guard.read_list(FOUNDING, now)
    assert guard.claim(claim("one"), now).vote is Vote.GRANTED


def test_handover_comes_in_pages() -> None:
    guard = duty("a")
    for n in range(4100):
        guard.claim(claim("one", key=f"k{n:05}"), NOW)
    request = HandoverRequest(FOUNDING, view(1, "abd"), HostId("d"), 1)
    first = guard.hand_over(request, NOW)
    assert first.more
    after = first.records[-1].key
    rest = guard.hand_over(
        HandoverRequest(FOUNDING, view(1, "abd"), HostId("d"), 1, after), NOW
    )
    assert not rest.more
    assert len(first.records) + len(rest.records) == 4100
