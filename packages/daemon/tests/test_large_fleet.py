"""Large fleets that exchange digests over hubs, on virtual time without sockets.

Many hosts serve requests on a few dozen engines, and each host sends a request to each
engine only now and then. State of one host must reach all others within about a second,
and the cost for a host must not grow with the fleet.
"""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import EngineShare
from sardinequay_core.names import Address, DataCentre, HostId, PoolName
from sardinequay_core.room import LoadQueueSummary
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.target_health import AttemptResult
from sardinequay_daemon.serving_messages import AdapterUse, EngineHoldings

from .conftest import ManualClock
from .large_fleet import (
    DATA_CENTRES,
    STEP_S,
    A,
    E,
    Host,
    World,
    settled_world,
)


@pytest.fixture
def world(clock: ManualClock) -> World:
    return settled_world(50, clock)


def test_every_host_uses_the_lease_holder_as_hub(world: World) -> None:
    for host in world.hosts:
        holder = world.lease_holder(host.me.data_centre)
        assert host.fleet.hub() == holder.me
        assert host.fleet.live_hosts == 50
        assert set(host.fleet.keepers()) == set(DATA_CENTRES) - (
            {host.me.data_centre} if host is holder else set()
        )


def test_load_of_one_host_is_known_to_all_within_a_second(world: World) -> None:
    world.hosts[7].state.loads.record_dispatch(E, 500)
    world.advance(1)
    now = world.clock.monotonic()
    for host in world.hosts:
        assert host.state.loads.total_share(E, now) == EngineShare(500, 0), host.me


def test_each_request_counts_once_while_requests_start_and_end(world: World) -> None:
    random = Random(1)
    counts: Counter[int] = Counter()
    for _ in range(20):
        for host in random.sample(world.hosts, 10):
            host.state.loads.record_dispatch(E, 100)
            counts[world.hosts.index(host)] += 1
        world.advance(0.2)
    world.advance(1)
    now = world.clock.monotonic()
    total = 100 * sum(counts.values())
    assert {h.state.loads.total_share(E, now).unread_tokens for h in world.hosts} == {
        total
    }
    for index, count in counts.items():
        for _ in range(count):
            world.hosts[index].state.loads.record_end(E, 100, had_first_event=False)
    world.advance(1)
    now = world.clock.monotonic()
    assert {h.state.loads.total_share(E, now) for h in world.hosts} == {EngineShare()}


def test_target_that_fails_at_a_few_hosts_is_avoided_by_all(world: World) -> None:
    """An engine that fails a third of its requests is avoided by all fifty hosts."""
    for host in world.hosts[:6]:
        now = world.clock.monotonic()
        host.state.health.record_result(E, AttemptResult.FAILED, now, now)
    world.advance(1)
    now = world.clock.monotonic()
    unaware_hosts = [
        h for h in world.hosts if not h.state.health.tally.is_excluded(E, now)
    ]
    assert not unaware_hosts


def test_failures_at_one_host_do_not_exclude_a_target(world: World) -> None:
    for _ in range(9):
        now = world.clock.monotonic()
        world.hosts[3].state.health.record_result(E, AttemptResult.FAILED, now, now)
    world.advance(1)
    now = world.clock.monotonic()
    assert not any(h.state.health.tally.is_excluded(E, now) for h in world.hosts)


def test_engine_holdings_are_known_to_all_within_a_second(world: World) -> None:
    holdings = EngineHoldings(E, 5, 1, (A,), {}, (), idle=1)
    world.lease_holder("za").orders.own_holdings = (holdings,)
    world.advance(1)
    assert all(
        A in h.state.residency.reported[E].adapters
        for h in world.hosts
        if h is not world.lease_holder("za")
    )


def test_changed_values_of_waiting_loads_are_told(world: World) -> None:
    """Tell of loads that became late, though as many wait as before."""
    holdings = EngineHoldings(E, 5, 1, (A,), {}, (), queued=2, queue=(8, 8))
    orders = world.lease_holder("za").orders
    orders.own_holdings = (holdings,)
    world.advance(1)
    orders.own_holdings = (replace(holdings, queue=(8, -6)),)
    world.advance(1)
    others = [h for h in world.hosts if h is not world.lease_holder("za")]
    assert {h.state.residency.reported[E].queue for h in others} == {
        LoadQueueSummary((8, -6))
    }


def test_remote_adapter_uses_reach_the_host_that_orders_the_engine(
    world: World,
) -> None:
    target = Target(
        E, PoolName("p"), TargetKind.ENGINE, DataCentre("za"), Address("::1", 1)
    )
    published = PublishedTarget(target, 64, 1, frozenset({"m"}))
    for host in world.hosts:
        host.state.catalogue = Catalogue(1, None, {E: published})
    keeper = world.lease_holder("za")
    users = [h for h in world.hosts if h.me.data_centre == "zc"][:3]
    for user in users:
        user.state.uses.adjust_own_count(E, A, 1)
        # The use arrives at once, and again in the sum of the user's hub.
        keeper.state.uses.apply_peer_count(user.me.host_id, E, A, 1)
    world.advance(1)
    assert keeper.state.uses.counts_on(E) == {A: 3}
    for user in users:
        user.state.uses.adjust_own_count(E, A, -1)
    world.advance(1)
    assert not keeper.state.uses.counts_on(E)


def test_lost_hub_is_replaced_without_loss_of_load_shares(world: World) -> None:
    """The loss of a data centre's lease holder loses no load shares."""
    world.hosts[7].state.loads.record_dispatch(E, 500)
    world.advance(1)
    lost = world.lease_holder("zc")
    lost.is_down = True
    world.advance(0.9)
    now = world.clock.monotonic()
    here = world.live_hosts("zc")
    assert all(h.fleet.lease_holder() is None for h in here)
    assert all(h.state.loads.total_share(E, now).unread_tokens == 500 for h in here)
    here[0].orders.lease.is_holder = True
    world.advance(2)
    now = world.clock.monotonic()
    for host in world.hosts:
        if not host.is_down:
            assert host.state.loads.total_share(E, now) == EngineShare(500, 0), host.me
            assert host.fleet.live_hosts == 49
    assert all(h.fleet.hub() == here[0].me for h in here)


def test_hosts_without_a_holder_agree_on_a_hub(world: World) -> None:
    world.lease_holder("zc").is_down = True
    world.advance(3)
    here = world.live_hosts("zc")
    assert len({h.fleet.hub() for h in here}) == 1
    assert sum(h.fleet.is_reader() for h in here) == 1


def test_partitioned_data_centre_counts_only_itself(world: World) -> None:
    world.hosts[4].state.loads.record_dispatch(E, 700)  # A host in data centre "ze".
    world.advance(1)
    world.partitioned.add("ze")
    world.advance(4)
    now = world.clock.monotonic()
    outside = [h for h in world.hosts if h.me.data_centre != "ze"]
    assert {h.fleet.live_hosts for h in outside} == {40}
    assert {h.fleet.live_hosts for h in world.live_hosts("ze")} == {10}
    assert {h.state.loads.total_share(E, now) for h in outside} == {EngineShare()}
    assert {
        h.state.loads.total_share(E, now).unread_tokens for h in world.live_hosts("ze")
    } == {700}
    world.partitioned.clear()
    world.advance(2)
    assert {h.fleet.live_hosts for h in world.hosts} == {50}


def test_restarted_host_receives_all_state_again(world: World, clock) -> None:
    holdings = EngineHoldings(E, 5, 1, (A,), {}, (), idle=1)
    world.lease_holder("za").orders.own_holdings = (holdings,)
    world.advance(1)
    index = next(
        n for n, h in enumerate(world.hosts) if h.me.data_centre == "zb" and n > 2
    )
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    restarted = world.hosts[index] = Host(index, clock, seeds)
    world.by_address[restarted.me.address] = restarted
    restarted.fleet.start_exchange = world.make_start_exchange(restarted)
    world.advance(2)
    assert A in restarted.state.residency.reported[E].adapters
    assert len(restarted.fleet.contacts()) == 50
    assert restarted.fleet.live_hosts == 50


def test_all_hosts_restarted_at_once_find_one_another(clock: ManualClock) -> None:
    world = settled_world(50, clock)
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    world.hosts = [Host(n, clock, seeds) for n in range(50)]
    world.by_address = {h.me.address: h for h in world.hosts}
    for host in world.hosts:
        host.fleet.start_exchange = world.make_start_exchange(host)
    world.advance(2.5)
    assert {len(h.fleet.voters(seconds(1)).known) for h in world.hosts} == {9}


@pytest.mark.parametrize("hosts", [50, 100])
def test_cost_of_a_host_does_not_grow_with_the_fleet(hosts: int, clock) -> None:
    """Exchanges a second of a host and of a hub stay bounded at two fleet sizes."""
    world = settled_world(hosts, clock)
    world.calls.clear()
    world.advance(3)
    hubs = {world.lease_holder(d).me.host_id for d in DATA_CENTRES}
    others = [n / 3 for h, n in world.calls.items() if h not in hubs]
    assert max(others) <= 1 / 0.15 + 1
    assert (
        max(world.calls[h] / 3 for h in hubs)
        <= (hosts / 5 + 8) / (0.1 + 0.005 * (hosts / 5 - 1)) + 9
    )


def test_contacts_sent_at_a_start_are_bounded(clock) -> None:
    """At a start each contact is sent to each host only a few times.

    If all contacts were sent again whenever their number changes, the cost would grow
    with the cube of the hosts.
    """
    world = World(50, clock)
    contacts_received: Counter[HostId] = Counter()
    for host in world.hosts:
        host.fleet.digests.subscribe(
            lambda received, me=host.me.host_id: contacts_received.update(
                {me: len(received.digest.contacts)}
            )
        )
    world.advance(4)
    world.assign_leases()
    world.advance(4)
    assert {len(h.fleet.contacts()) for h in world.hosts} == {50}
    # Each near host sends each contact about once as caller and once as callee, and a
    # hub receives them from the other hubs too. All hosts call the seeds.
    seeds = {h.me.host_id for h in world.hosts[:3]}
    assert max(n for h, n in contacts_received.items() if h not in seeds) < 50 * (
        2 * 10 + 2 * 4
    )
    assert max(contacts_received.values()) < 50 * 50


def test_hub_receives_host_digests_and_sends_sums(world: World) -> None:
    keeper = world.lease_holder("zb")
    assert (
        DigestScope.FLEET
        is keeper.build_digest(world.live_hosts("zb")[0].me.host_id).scope
    )
    other = world.lease_holder("zd")
    assert DigestScope.DATA_CENTRE is keeper.build_digest(other.me.host_id).scope
    ordinary = world.live_hosts("zb")[0]
    assert DigestScope.HOST is ordinary.build_digest(keeper.me.host_id).scope
    assert (
        DigestScope.NOBODY
        is ordinary.build_digest(world.live_hosts("zb")[1].me.host_id).scope
    )
    assert not ordinary.build_digest(world.live_hosts("zb")[1].me.host_id).shares
    assert keeper.build_digest(ordinary.me.host_id).uses == ()
    uses = (AdapterUse(E, A, 1),)
    ordinary.state.uses.adjust_own_count(E, A, 1)
    assert ordinary.build_digest(keeper.me.host_id).uses == uses


def test_host_lost_by_its_hub_still_counts_as_a_voter(world: World):
    """A host that is cut off still counts as a voter for a while.

    If it were removed at once, the remaining hosts could elect a second lease holder.
    """
    lost = world.live_hosts("zd")[2]
    world.advance(32)
    lost.is_down = True
    world.advance(5)
    others = [h for h in world.live_hosts("zd") if not h.orders.lease.is_holder]
    for host in others:
        assert lost.me.host_id in host.fleet.voters(seconds(1)).known
        assert lost.me.host_id not in {
            p.contact.host_id for p in host.fleet.live_peers()
        }


def read_as_readers(world: World, revision: int, lasts_s: float) -> None:
    """Let the readers read the store for a while."""
    for _ in range(round(lasts_s / STEP_S)):
        for host in world.hosts:
            if host.fleet.is_reader():
                host.read_store(revision)
        world.advance(STEP_S)


def test_one_host_of_each_data_centre_reads_the_store(world: World) -> None:
    readers = [h for h in world.hosts if h.fleet.is_reader()]
    assert len(readers) == len(DATA_CENTRES)
    world.advance(4)
    assert [h for h in world.hosts if h.fleet.is_reader()] == readers


def test_reads_of_the_hubs_prove_the_copies_of_hosts_that_hold_them(
    world: World,
) -> None:
    read_as_readers(world, revision=1, lasts_s=3)
    assert all(host.store.age_s() < 1 for host in world.hosts)


def test_reads_of_the_hubs_prove_nothing_to_a_host_that_lacks_their_revision(
    world: World,
) -> None:
    read_as_readers(world, revision=1, lasts_s=3)
    lagging = [h for h in world.hosts if not h.fleet.is_reader()]
    read_as_readers(world, revision=2, lasts_s=2)
    assert all(host.store.age_s() > 1.9 for host in lagging)
    assert not any(host.store.is_current() for host in lagging)
    for host in lagging:
        host.store.freshness.hold(2)
    assert all(host.store.age_s() < 1 for host in lagging)


def test_copies_grow_old_while_no_host_can_read(world: World) -> None:
    """Otherwise hosts would believe that another hub has just read the store."""
    read_as_readers(world, revision=1, lasts_s=3)
    world.advance(5)
    assert all(host.store.age_s() >= 5 for host in world.hosts)


def test_few_hosts_of_a_data_centre_replace_a_reader_first(world: World) -> None:
    substitutes = [h for h in world.hosts if h.fleet.is_substitute_reader()]
    assert len(DATA_CENTRES) <= len(substitutes) <= 2 * len(DATA_CENTRES)
