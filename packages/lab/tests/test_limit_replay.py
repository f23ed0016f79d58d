"""Ways to keep a target's limit, replayed over fleets of 6 to 300 hosts.

Hosts that divide the limit by themselves exceed it or leave it unused, and so do hosts
that go by counts of the others that are some tenths of a second old.
"""

import pytest

from sardinequay_lab.limit_policies import EqualShares, IssuedPermits
from sardinequay_lab.limit_replay import (
    LIMITS_PER_S,
    SIZES,
    TROUBLES,
    Trouble,
    limit_scenario,
    replay_limit,
)

SEED = 1


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda t: t.name)
@pytest.mark.parametrize("limit", LIMITS_PER_S)
@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size[0]} hosts")
def test_issued_permits_keep_the_bound_and_use_the_limit(size, limit, trouble) -> None:
    scenario = limit_scenario(*size, limit, trouble.cut)
    result = replay_limit(scenario, trouble, IssuedPermits, SEED)
    assert result.worst_of_bound <= 1
    assert result.used >= 1 / 3


def test_equal_shares_of_many_hosts_leave_a_low_limit_unused() -> None:
    calm = Trouble()
    scenario = limit_scenario(300, 10, 0.5, calm.cut)
    assert replay_limit(scenario, calm, EqualShares, SEED).used < 1 / 3


def test_messages_of_a_host_do_not_grow_with_the_fleet() -> None:
    calm = Trouble()
    small, large = (
        replay_limit(limit_scenario(*size, 2.0, calm.cut), calm, IssuedPermits, SEED)
        for size in ((30, 3), (300, 10))
    )
    assert large.messages_per_s <= small.messages_per_s
