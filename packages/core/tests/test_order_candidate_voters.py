"""Which voters a candidate may leave out of its majority, and for how long."""

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import OrderCandidate, Voters
from sardinequay_core.order_lease import OrderPolicy, Vote

ME, SECOND, THIRD = (HostId(h) for h in "abc")
OTHERS = frozenset((SECOND, THIRD))
NOW_S = 100.0
NO_QUIET = float("inf")


@pytest.fixture
def candidate() -> OrderCandidate:
    """Candidate with its own vote, in contact for long; both others departed."""
    candidate = OrderCandidate(ME, OrderPolicy())
    candidate.set_voters(Voters(departed=OTHERS))
    for tenths in range(20):
        candidate.record_contact(seconds(NOW_S - 2 + tenths / 10))
    candidate.build_ballot("here")
    vote_at(candidate, NOW_S)
    return candidate


def vote_at(candidate: OrderCandidate, at_s: float) -> None:
    now = seconds(at_s)
    candidate.record_vote(ME, Vote(True, ME, 0, NO_QUIET), now, now)


def test_departed_voters_are_left_out_while_others_are_heard(candidate) -> None:
    assert candidate.can_order(seconds(NOW_S))


# Guards against a holder that is cut off and counts itself alone, since its voters had
# announced their leave: they came back and elected another holder.
def test_holder_that_hears_nobody_stops_within_a_lease_of_the_last_word(
    candidate,
) -> None:
    vote_at(candidate, NOW_S + 0.5)
    assert candidate.can_order(seconds(NOW_S + 0.7))
    assert not candidate.can_order(seconds(NOW_S + 0.76))
    vote_at(candidate, NOW_S + 0.8)
    assert not candidate.can_order(seconds(NOW_S + 0.8))


def test_contact_after_a_pause_leaves_voters_out_only_after_a_lease(candidate) -> None:
    for tenths in range(20, 34):
        at_s = NOW_S + tenths / 10
        candidate.record_contact(seconds(at_s))
        candidate.update_holder(seconds(at_s))
        candidate.build_ballot("here")
        vote_at(candidate, at_s)
        assert candidate.can_order(seconds(at_s)) == (tenths >= 30)


def test_host_told_to_be_back_counts_at_once(candidate) -> None:
    candidate.set_voters(Voters(known=OTHERS))
    assert not candidate.can_order(seconds(NOW_S))


@pytest.mark.parametrize(
    "voters", [Voters(forgotten=OTHERS), Voters(is_taken_for_alone=True)]
)
def test_holder_in_doubt_orders_after_a_watched_quiet_period(voters) -> None:
    candidate = OrderCandidate(ME, OrderPolicy())
    candidate.set_voters(voters)
    candidate.record_orders_watched(False, seconds(NOW_S - 2))
    candidate.build_ballot("here")
    for tenths in range(12):
        vote_at(candidate, NOW_S + tenths / 10)
        assert candidate.can_order(seconds(NOW_S + tenths / 10)) == (tenths >= 11)


def test_foreign_order_stops_a_holder_that_leaves_voters_out(candidate) -> None:
    candidate.record_orders_watched(True, seconds(NOW_S + 0.1))
    assert candidate.is_holder
    assert not candidate.can_order(seconds(NOW_S + 0.1))


def test_foreign_order_does_not_stop_a_holder_by_all_voters(candidate) -> None:
    candidate.set_voters(Voters())
    candidate.record_orders_watched(True, seconds(NOW_S + 0.1))
    assert candidate.can_order(seconds(NOW_S + 0.1))
