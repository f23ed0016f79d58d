"""FleetTask: liveness, voters, keepers and joining, on virtual time."""

from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest

from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.names import HostId, parse_address
from sardinequay_core.order_candidate import Voters
from sardinequay_daemon.fleet_task import FleetTask
from sardinequay_daemon.peers import PeerClient
from sardinequay_daemon.serving_messages import Contact, Digest

from .conftest import ManualClock

ME = Contact(HostId("h1"), "za", "127.0.0.1:1")
FOREVER = float("inf")
LEASE = timedelta(seconds=1)


def digest(name: str, data_centre: str = "za", **more) -> Digest:
    default_digest = Digest(
        host=Contact(HostId(name), data_centre, f"127.0.0.1:{10 + int(name[1:])}"),
        is_leaving=False,
        contacts=(),
        shares={},
        uses=(),
        holdings=(),
        holds_lease=False,
        orders_in_s=FOREVER,
        up_s=1.0,
        store_revision=1,
        news_revision=1,
        store_age_s=0.2,
    )
    return replace(default_digest, **more)


def hosts(*names: str) -> frozenset[HostId]:
    return frozenset(map(HostId, names))


@pytest.fixture
def fleet(clock: ManualClock, metrics, timing) -> FleetTask:
    peer_client = PeerClient(timing, metrics, "127.0.0.1")
    seeds = (parse_address("127.0.0.1:12").unwrap(),)
    return FleetTask(
        ME, seeds, peer_client, clock, timedelta(seconds=30), lambda _: digest("h1")
    )


def test_peers_are_live_until_the_silence_timeout(fleet, clock) -> None:
    fleet.handle_digest(digest("h2"))
    fleet.handle_digest(digest("h3", "zb"))
    assert fleet.live_hosts == 3
    clock.advance(1.5)
    assert fleet.live_hosts == 1


def test_silent_peer_is_a_voter_until_it_is_removed(fleet, clock) -> None:
    fleet.handle_digest(digest("h2"))
    fleet.handle_digest(digest("h3", "zb"))
    clock.advance(20)
    fleet.prune_silent_peers(clock.monotonic())
    assert fleet.voters(LEASE) == Voters(known=hosts("h2"))
    clock.advance(11)
    fleet.prune_silent_peers(clock.monotonic())
    assert fleet.voters(LEASE) == Voters(forgotten=hosts("h2"))
    fleet.handle_digest(digest("h2"))
    assert fleet.voters(LEASE) == Voters(known=hosts("h2"))


def test_leaving_peer_is_a_departed_voter_after_its_votes_expired(fleet, clock) -> None:
    fleet.handle_digest(digest("h2"))
    fleet.handle_digest(digest("h2", is_leaving=True))
    clock.advance(0.9)
    fleet.handle_digest(digest("h2", is_leaving=True))
    assert fleet.voters(LEASE) == Voters(known=hosts("h2"))
    assert fleet.leaving_hosts() == ("h2",)
    clock.advance(0.2)
    assert fleet.voters(LEASE) == Voters(departed=hosts("h2"))
    clock.advance(5)
    assert fleet.leaving_hosts() == ()


# A holder once took hosts that had announced their leave for gone. They came back,
# elected one of them, and two holders ordered the same engines.
@pytest.mark.parametrize("silent_s", [1.0, 2.0])
def test_departed_voter_is_known_again_once_another_host_tells_of_its_return(
    fleet, clock, silent_s: float
) -> None:
    fleet.handle_digest(digest("h2", is_leaving=True))
    clock.advance(silent_s)
    fleet.prune_silent_peers(clock.monotonic())
    assert fleet.voters(LEASE).departed == hosts("h2")
    fleet.handle_digest(digest("h3", "zb", contacts=(digest("h2").host,)))
    assert fleet.voters(LEASE) == Voters(known=hosts("h2"))


def test_word_that_a_host_which_is_still_heard_has_not_left_is_ignored(
    fleet, clock
) -> None:
    fleet.handle_digest(digest("h2", is_leaving=True))
    clock.advance(0.3)
    fleet.handle_digest(digest("h3", "zb", contacts=(digest("h2").host,)))
    assert fleet.peers[HostId("h2")].is_leaving


def test_return_of_a_host_is_told_to_peers_that_know_of_its_leave(fleet, clock) -> None:
    fleet.handle_digest(digest("h2"))
    fleet.handle_digest(digest("h2", is_leaving=True))
    told = len(fleet.contact_log)
    fleet.handle_digest(digest("h2", up_s=0.5))
    assert [c.host_id for c in fleet.contacts_since(told)] == ["h2"]


def test_departed_voter_is_forgotten_after_the_retention(fleet, clock) -> None:
    fleet.handle_digest(digest("h2", is_leaving=True))
    clock.advance(29)
    fleet.prune_silent_peers(clock.monotonic())
    assert fleet.voters(LEASE).departed == hosts("h2")
    clock.advance(2)
    fleet.prune_silent_peers(clock.monotonic())
    assert fleet.voters(LEASE) == Voters(
        forgotten=hosts("h2"), is_taken_for_alone=False
    )


def test_host_without_peers_joins_after_the_alone_timeout(fleet, clock) -> None:
    assert not fleet.has_joined()
    clock.advance(5)
    assert not fleet.has_joined()
    clock.advance(6)
    assert fleet.has_joined()


def test_host_joins_one_second_after_the_first_digest(fleet, clock) -> None:
    fleet.handle_digest(digest("h2"))
    assert not fleet.has_joined()
    clock.advance(1.1)
    assert fleet.has_joined()


def test_keeper_is_the_peer_that_may_order_soonest(fleet) -> None:
    fleet.handle_digest(digest("h2", "zb", holds_lease=True, orders_in_s=FOREVER))
    assert fleet.keeper_of("zb") is None
    fleet.handle_digest(digest("h2", "zb", holds_lease=True, orders_in_s=2.0))
    fleet.handle_digest(digest("h3", "zb", holds_lease=True, orders_in_s=0.0))
    assert fleet.keeper_of("zb").contact.host_id == "h3"


def test_peer_marked_lost_is_live_again_after_a_digest(fleet) -> None:
    fleet.handle_digest(digest("h2"))
    fleet.mark_lost(HostId("h2"))
    assert fleet.live_hosts == 1
    fleet.handle_digest(digest("h2"))
    assert fleet.live_hosts == 2


def test_one_host_of_a_data_centre_reads_the_store(clock, metrics, timing) -> None:
    names = ("h1", "h2", "h3")
    readers = 0
    for me in names:
        mine = digest(me).host
        peer_client = PeerClient(timing, metrics, "127.0.0.1")
        fleet = FleetTask(
            mine, (), peer_client, clock, timedelta(30), lambda _: digest("h1")
        )
        for other in names:
            fleet.handle_digest(digest(other))
        readers += fleet.is_reader()
    assert readers == 1


def test_contacts_from_peers_are_known_but_not_live(fleet) -> None:
    contact = digest("h4", "zb").host
    fleet.handle_digest(digest("h2", contacts=(contact,)))
    assert {c.host_id for c in fleet.contacts()} == {"h1", "h2", "h4"}
    assert fleet.live_hosts == 2


def test_larger_mesh_has_longer_periods_and_timeouts(fleet) -> None:
    fleet.handle_digest(digest("h2", "zb"))
    small_s = fleet.digest_period_s(is_near=False)
    for n in range(2, 25):
        fleet.handle_digest(digest(f"h{n}", f"z{'abcd'[n % 4]}"))
    far_s = fleet.digest_period_s(is_near=False)
    assert fleet.is_mesh
    assert far_s > 2 * small_s
    assert fleet.digest_period_s(is_near=True) < 0.6
    far = next(p for p in fleet.peers.values() if not fleet.is_near(p))
    assert fleet.silence_timeout(far).total_seconds() > 3 * far_s


def test_digests_per_second_in_a_mesh_are_bounded(fleet) -> None:
    """Grow a fleet, with all peers far away, up to the largest mesh."""
    digests_per_s = {}
    for n in range(2, 26):
        fleet.handle_digest(digest(f"h{n}", "zb"))
        digests_per_s[n] = len(fleet.peers) / fleet.digest_period_s(is_near=False)
    assert fleet.is_mesh
    assert max(digests_per_s.values()) < 60


def test_host_that_restarts_joining_joins_a_second_after_a_digest(fleet, clock):
    fleet.handle_digest(digest("h2"))
    clock.advance(12)
    assert fleet.has_joined()
    fleet.restart_joining()
    clock.advance(5)
    assert not fleet.has_joined()
    fleet.handle_digest(digest("h2"))
    clock.advance(0.9)
    assert not fleet.has_joined()
    clock.advance(0.2)
    assert fleet.has_joined()


def test_leaving_peer_orders_until_it_returns_the_lease(fleet) -> None:
    fleet.handle_digest(
        digest("h2", is_leaving=True, holds_lease=True, orders_in_s=0.0)
    )
    assert fleet.lease_holder() == "h2"
    assert fleet.keeper_of("za").contact.host_id == "h2"
    fleet.record_lease_returned(HostId("h2"))
    assert fleet.lease_holder() is None
    assert fleet.keeper_of("za") is None


@pytest.fixture
def restarts(fleet: FleetTask) -> list[bool]:
    """List for each handled digest whether it was taken for a restart."""
    restarted: list[bool] = []
    fleet.digests.subscribe(lambda h: restarted.append(h.has_restarted))
    return restarted


def test_restart_of_a_peer_is_detected(fleet, restarts) -> None:
    fleet.handle_digest(digest("h2", up_s=7.0))
    fleet.handle_digest(digest("h2", up_s=7.2))
    fleet.handle_digest(digest("h2", up_s=0.1))
    assert restarts == [False, False, True]


def test_only_contacts_from_a_host_up_for_long_are_complete(fleet) -> None:
    contacts = (ME,)
    fleet.handle_digest(digest("h2", up_s=0.1, contacts=contacts))
    assert not fleet.has_received_all_contacts
    fleet.handle_digest(digest("h2", up_s=9.0))
    assert not fleet.has_received_all_contacts
    fleet.handle_digest(digest("h3", up_s=9.0, contacts=contacts))
    assert fleet.has_received_all_contacts


def test_digests_out_of_order_are_no_restart(fleet, clock, restarts) -> None:
    # After a network partition has healed, two exchanges can cross so that the later
    # digest arrives first. If the other one counted as a restart, all usage that its
    # sender ever reported would count as new, and hosts would for seconds refuse
    # organisations that are within their quotas.
    fleet.handle_digest(digest("h2", up_s=50.02))
    clock.advance(0.006)
    fleet.handle_digest(digest("h2", up_s=50.0))
    assert restarts == [False, False]


def test_shorter_uptime_after_a_second_is_a_restart(fleet, clock, restarts) -> None:
    fleet.handle_digest(digest("h2", up_s=0.2))
    clock.advance(1.0)
    fleet.handle_digest(digest("h2", up_s=0.1))
    assert restarts == [False, True]


def handle_random_digests(fleet, clock, seed: int, hosts: int) -> None:
    """Handle digests at random intervals, so that some peers have become silent."""
    random = Random(seed)
    for n in range(2, hosts + 2):
        is_hub = random.random() < 0.2
        fleet.handle_digest(
            digest(
                f"h{n}",
                random.choice(("za", "zb", "zc")),
                scope=DigestScope.DATA_CENTRE if is_hub else DigestScope.HOST,
                holds_lease=is_hub,
                orders_in_s=random.choice((0.0, 3.0, FOREVER)) if is_hub else FOREVER,
                is_leaving=random.random() < 0.1,
            )
        )
        clock.advance(random.uniform(0, 0.15))
    fleet.hub_reported_hosts = frozenset(random.sample(sorted(fleet.peers), hosts // 3))
    fleet.hub_reported_at = clock.monotonic()


@pytest.mark.parametrize("hosts", [6, 24, 40])
@pytest.mark.parametrize("seed", range(10))
def test_lookups_consider_exactly_the_live_peers(
    fleet, clock, seed: int, hosts: int
) -> None:
    handle_random_digests(fleet, clock, seed, hosts)
    orderers = [p for p in fleet.recently_heard_peers() if p.orders_in_s < 60]
    centres = {p.contact.data_centre for p in orderers}
    assert fleet.keepers().keys() == centres
    for centre, keeper in fleet.keepers().items():
        soonest_s = min(
            p.orders_in_s for p in orderers if p.contact.data_centre == centre
        )
        assert keeper.orders_in_s == soonest_s
    hubs = [
        p for p in fleet.recently_heard_peers() if p.is_hub and not fleet.is_near(p)
    ]
    assert set(fleet.other_hubs()) <= set(hubs)
    assert {p.contact.data_centre for p in fleet.other_hubs()} == {
        p.contact.data_centre for p in hubs
    }
