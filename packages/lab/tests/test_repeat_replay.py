"""Repeats of whole fleets that want as many as they may have, while hosts die.

Hosts that divided the slack by whom they heard, and began with a whole share, sent up
to 2.3 times what is allowed.
"""

import pytest

from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_lab.repeat_policies import SharesOfLately, SharesOfLive
from sardinequay_lab.repeat_replay import SCENARIOS, Scenario, replay

BOUND = RepeatPolicy(ratio=0.2, slack=56)
SEED = 7
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_no_window_has_more_repeats_than_may_be(scenario: Scenario) -> None:
    result = replay(scenario, SharesOfLately(BOUND), BOUND, SEED)
    assert result.worst_of_bound <= 1


@pytest.mark.parametrize("name", ["all rejected", "60 hosts"])
def test_what_may_be_repeated_mostly_is(name: str) -> None:
    result = replay(BY_NAME[name], SharesOfLately(BOUND), BOUND, SEED)
    assert result.worst_of_bound > 0.75


@pytest.mark.parametrize("name", ["killed once", "killed three times", "two islands"])
def test_the_replay_shows_hosts_that_divide_by_whom_they_hear(name: str) -> None:
    result = replay(BY_NAME[name], SharesOfLive(BOUND), BOUND, SEED)
    assert result.worst_of_bound > 1
