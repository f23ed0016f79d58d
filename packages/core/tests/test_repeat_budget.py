"""One host's share of the retry budget; the replay tests cover whole fleets."""

from sardinequay_core.clock import seconds
from sardinequay_core.repeat_budget import RepeatBudget, RepeatPolicy

POLICY = RepeatPolicy(ratio=0.2, slack=56)


def test_delayed_repeats_that_arrive_together_keep_the_bound() -> None:
    """Repeats of several windows arrive at once when a network link recovers."""
    budget = RepeatBudget(RepeatPolicy(ratio=0, slack=8), seconds(0))
    healed = seconds(60)
    sent = 0
    for second in range(20, 60):
        if budget.current_usage(1, seconds(second)).has_room:
            budget.record_permitted()
            sent += 1
    for _ in range(sent):
        budget.record_arrival(healed)
    assert 0 < sent <= 8
    assert not budget.current_usage(1, healed + seconds(9)).has_room


def test_host_that_has_just_restarted_has_no_slack() -> None:
    budget = RepeatBudget(POLICY, slack_from=seconds(110))
    assert not budget.current_usage(1, seconds(109)).has_room
    for _ in range(5):
        budget.record_request(seconds(109))
    assert budget.current_usage(1, seconds(109)).has_room
    assert budget.current_usage(1, seconds(110)).allowed > 5 * POLICY.ratio
