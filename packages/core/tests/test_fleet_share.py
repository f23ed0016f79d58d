"""The part of the fleet's work that falls to the hosts in touch."""

from sardinequay_core.clock import seconds
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare


def test_all_hosts_together_do_all() -> None:
    share = FleetShare()
    share.record_live_hosts(87, seconds(1))
    assert share.reachable_share(87, 1) == 1


def test_islands_of_a_fleet_do_no_more_than_all_of_it() -> None:
    islands = (29, 58)
    parts = []
    for live in islands:
        share = FleetShare()
        share.record_live_hosts(87, seconds(1))
        share.record_live_hosts(live, seconds(3))
        parts.append(share.reachable_share(live, 1))
    assert sum(parts) == 1


def test_hosts_that_stay_silent_lose_their_part() -> None:
    share = FleetShare()
    share.record_live_hosts(87, seconds(1))
    share.record_live_hosts(58, seconds(20))
    share.record_live_hosts(58, seconds(40))
    assert share.reachable_share(58, 1) == 1


def test_host_that_knows_nobody_yet_does_little() -> None:
    share = FleetShare()
    share.record_live_hosts(1, seconds(1))
    assert share.reachable_share(1, ASSUMED_HOSTS) == 1 / ASSUMED_HOSTS


def test_counting_keeps_few_numbers() -> None:
    share = FleetShare()
    for n in range(10_000):
        share.record_live_hosts(80 + n % 7, seconds(n / 10))
    assert len(share.live_counts) <= 7
