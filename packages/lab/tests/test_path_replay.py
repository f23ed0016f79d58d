"""Ways to serve callers of hosts that are cut off, replayed on the same draws."""

import pytest

from sardinequay_lab.path_replay import (
    CUTS,
    PathWorld,
    Way,
    all_but_one,
    data_centre,
    half,
    replay,
)

HOSTS = (6, 30, 87, 300)


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("cut", CUTS)
def test_through_peers_each_cut_host_serves_while_any_host_reaches_targets(
    hosts: int, cut
) -> None:
    found = replay(PathWorld(hosts, cut(hosts)), Way.THROUGH_PEERS, 1)
    assert found.served_share == 1


@pytest.mark.parametrize("cut", [half, data_centre, all_but_one])
def test_unready_hosts_alone_still_fail_callers(cut) -> None:
    found = replay(PathWorld(30, cut(30)), Way.UNREADY, 1)
    assert found.served_share == 0
    assert found.failed > 10


def test_nobody_is_served_where_no_host_reaches_a_target() -> None:
    world = PathWorld(6, frozenset(range(6)))
    assert replay(world, Way.THROUGH_PEERS, 1).served_share == 0


def test_peers_share_the_load_of_a_data_centre_that_is_cut_off() -> None:
    found = replay(PathWorld(87, data_centre(87)), Way.THROUGH_PEERS, 1)
    assert found.worst_load < 2
