"""Share of the fleet-wide limits that the hosts in contact may use."""

from sardinequay_core.clock import seconds
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare


def test_all_hosts_together_have_the_whole_share() -> None:
    share = FleetShare()
    share.record_live_hosts(87, seconds(1))
    assert share.reachable_share(87, 1) == 1


def test_shares_of_partitions_add_up_to_no_more_than_one() -> None:
    partitions = (29, 58)
    shares = []
    for live in partitions:
        share = FleetShare()
        share.record_live_hosts(87, seconds(1))
        share.record_live_hosts(live, seconds(3))
        shares.append(share.reachable_share(live, 1))
    assert sum(shares) == 1


def test_hosts_that_stay_silent_lose_their_share() -> None:
    share = FleetShare()
    share.record_live_hosts(87, seconds(1))
    share.record_live_hosts(58, seconds(20))
    share.record_live_hosts(58, seconds(40))
    assert share.reachable_share(58, 1) == 1


def test_host_that_knows_no_peer_has_a_small_share() -> None:
    share = FleetShare()
    share.record_live_hosts(1, seconds(1))
    assert share.reachable_share(1, ASSUMED_HOSTS) == 1 / ASSUMED_HOSTS


def test_few_counts_are_kept() -> None:
    share = FleetShare()
    for n in range(10_000):
        share.record_live_hosts(80 + n % 7, seconds(n / 10))
    assert len(share.live_counts) <= 7
