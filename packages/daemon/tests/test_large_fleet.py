"""Hundreds of hosts that know one another over hubs, on virtual time without sockets.

The load pattern: many hosts before a few dozen engines, each of which sends an engine a
request now and then. What one host sees must be known to all within about a second, and
what a host spends on it must not grow with the fleet.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import pytest

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.fleet_share import ASSUMED_HOSTS
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import EngineShare
from sardinequay_core.names import (
    AdapterRef,
    Address,
    ContentId,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.organisations import (
    Organisation,
    OrganisationName,
    Quota,
    QuotaUnit,
)
from sardinequay_core.quarantine import TargetEnd
from sardinequay_core.quota_ledger import Admitted
from sardinequay_core.rendezvous import rank_members
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.target_health import AttemptResult
from sardinequay_core.usage_view import Usage
from sardinequay_daemon.content_updates import apply_content_update
from sardinequay_daemon.digest_writer import DigestWriter
from sardinequay_daemon.fleet_task import SEED_PERIOD_S, FleetTask, ReceivedDigest
from sardinequay_daemon.relay_state import RelayState
from sardinequay_daemon.serving_messages import (
    AdapterUse,
    Contact,
    Digest,
    EngineHoldings,
)
from sardinequay_daemon.store_task import FRESH_READER_AGE_S, StoreStatus

from .conftest import ManualClock

STEP_S = 0.1
DATA_CENTRES = ("za", "zb", "zc", "zd", "ze")
FOREVER = float("inf")
E = TargetId("engine-za")
A = AdapterRef("m/a", "1")
FATAL = ContentId("fatal")


@dataclass
class Lease:
    """Says whether its host holds the lease."""

    is_holder: bool = False


@dataclass
class Store:
    """Knows a revision."""

    age_s: float = 0.1

    def status(self) -> StoreStatus:
        return StoreStatus(1, 1, self.age_s)


@dataclass
class Orders:
    """Holds what engines hold, told and heard."""

    me: HostId
    lease: Lease = field(default_factory=Lease)
    managed_engines: dict = field(default_factory=dict)
    told: tuple[EngineHoldings, ...] = ()
    heard: dict[TargetId, EngineHoldings] = field(default_factory=dict)

    @property
    def orders_in_s(self) -> float:
        return 0.0 if self.lease.is_holder else FOREVER

    def recent_holdings(self) -> tuple[EngineHoldings, ...]:
        return self.told

    def peer_holdings_snapshot(self, _) -> tuple[EngineHoldings, ...]:
        return tuple(self.heard.values())

    def record_peer_holdings(self, holdings: EngineHoldings) -> None:
        self.heard[holdings.target] = holdings


class Host:
    """One host's view, without its sockets."""

    def __init__(self, number: int, clock: Clock, seeds: tuple[Address, ...]) -> None:
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        address = Address("127.0.0.1", 1000 + number)
        self.me = Contact(HostId(f"h{number:03}"), data_centre, str(address))
        self.fleet = FleetTask(
            self.me, seeds, None, clock, timedelta(seconds=30), lambda h: self.tell(h)
        )
        self.state = RelayState(
            data_centre, clock, Random(number), RepeatPolicy(), self.fleet
        )
        self.orders = Orders(self.me.host_id)
        self.state.orders = self.orders
        self.writer = DigestWriter(
            self.me, self.fleet, self.state, Store(), self.orders, clock
        )
        self.fleet.holds_lease = lambda: self.orders.lease.is_holder
        self.fleet.digests.subscribe(self.state.apply_digest)
        self.fleet.digests.subscribe(self.take_contents)
        self.contents_heard = 0
        self.fleet.digests.subscribe(self.writer.handle_digest)
        self.fleet.lost_peers.subscribe(self.state.forget_peer)
        self.fleet.lost_peers.subscribe(self.writer.reset_sent_state)
        self.is_down = False
        self.next_near = self.next_far = 0.0

    def take_contents(self, heard: ReceivedDigest) -> None:
        for news in heard.digest.contents:
            self.contents_heard += 1
            apply_content_update(self.state.quarantine, news, heard.received_at)

    def see_end(self, target: str) -> None:
        """See a target end under a request."""
        now = self.fleet.clock.monotonic()
        end = TargetEnd(TargetId(target), 1, now)
        self.state.quarantine.record_target_end(FATAL, end, now)

    def holds(self) -> bool:
        now = self.fleet.clock.monotonic()
        return bool(self.state.quarantine.remaining_hold(FATAL, now))

    def tell(self, host_id: HostId) -> Digest:
        return self.writer.build_digest(host_id)


class World:
    """All hosts, and the calls between them."""

    def __init__(self, hosts: int, clock: ManualClock) -> None:
        self.clock = clock
        seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
        self.hosts = [Host(n, clock, seeds) for n in range(hosts)]
        self.by_address = {h.me.address: h for h in self.hosts}
        self.calls: Counter[str] = Counter()
        self.cut: set[str] = set()
        self.elapsed_s = 0.0
        for host in self.hosts:
            host.fleet.start_exchange = self.starter(host)

    def starter(self, caller: Host):
        def start(host_id: HostId, address: Address) -> None:
            self.calls[caller.me.host_id] += 1
            callee = self.by_address[str(address)]
            if callee.is_down or not self.reaches(caller, callee):
                caller.fleet.build_digest(host_id)
                caller.fleet.record_failed_exchange(host_id)
                return
            self.calls[callee.me.host_id] += 1
            digest = caller.fleet.build_digest(host_id)
            callee.fleet.handle_digest(digest)
            answer = callee.fleet.build_digest(digest.host.host_id)
            caller.fleet.failed_exchanges.pop(host_id, None)
            caller.fleet.handle_digest(answer)

        return start

    def reaches(self, one: Host, other: Host) -> bool:
        places = {one.me.data_centre, other.me.data_centre}
        return len(places) == 1 or not places & self.cut

    def pass_time(self, for_s: float) -> None:
        """Let each host tell what is due, in small steps."""
        for _ in range(round(for_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.elapsed_s += STEP_S
            for host in self.hosts:
                if not host.is_down:
                    self.step(host)

    def step(self, host: Host) -> None:
        fleet = host.fleet
        offset = int(host.me.host_id[1:]) % 10 * STEP_S
        if (
            round((self.elapsed_s + offset) / STEP_S) % round(SEED_PERIOD_S / STEP_S)
            == 0
        ):
            fleet.exchange_with_seeds()
            fleet.prune_silent_peers(self.clock.monotonic())
        if self.elapsed_s >= host.next_near:
            host.next_near = self.elapsed_s + fleet.digest_period_s(is_near=True)
            fleet.exchange_with_near_peers()
        if self.elapsed_s >= host.next_far:
            host.next_far = self.elapsed_s + fleet.far_period_s()
            fleet.exchange_with_far_peers()

    def choose_holders(self) -> None:
        """Let one host of each data centre hold its lease."""
        for data_centre in DATA_CENTRES:
            self.live(data_centre)[-1].orders.lease.is_holder = True

    def live(self, data_centre: str) -> list[Host]:
        found = [h for h in self.hosts if h.me.data_centre == data_centre]
        return [h for h in found if not h.is_down]

    def holder(self, data_centre: str) -> Host:
        return next(h for h in self.live(data_centre) if h.orders.lease.is_holder)


def settled(hosts: int, clock: ManualClock) -> World:
    """Return a fleet that has found itself and chosen holders."""
    world = World(hosts, clock)
    world.pass_time(3)
    world.choose_holders()
    world.pass_time(2)
    return world


@pytest.fixture
def world(clock: ManualClock) -> World:
    return settled(50, clock)


def test_every_host_reports_to_the_one_that_orders(world: World) -> None:
    for host in world.hosts:
        holder = world.holder(host.me.data_centre)
        assert host.fleet.hub() == holder.me
        assert host.fleet.live_hosts == 50
        assert set(host.fleet.keepers()) == set(DATA_CENTRES) - (
            {host.me.data_centre} if host is holder else set()
        )


def test_requests_of_one_host_are_known_to_all_within_a_second(world: World) -> None:
    world.hosts[7].state.loads.record_dispatch(E, 500)
    world.pass_time(1)
    now = world.clock.monotonic()
    for host in world.hosts:
        assert host.state.loads.total_share(E, now) == EngineShare(500, 0), host.me


def test_each_request_counts_once_while_they_come_and_go(world: World) -> None:
    random = Random(1)
    counts: Counter[int] = Counter()
    for _ in range(20):
        for host in random.sample(world.hosts, 10):
            host.state.loads.record_dispatch(E, 100)
            counts[world.hosts.index(host)] += 1
        world.pass_time(0.2)
    world.pass_time(1)
    now = world.clock.monotonic()
    total = 100 * sum(counts.values())
    assert {h.state.loads.total_share(E, now).unread_tokens for h in world.hosts} == {
        total
    }
    for index, count in counts.items():
        for _ in range(count):
            world.hosts[index].state.loads.record_end(E, 100, had_first_event=False)
    world.pass_time(1)
    now = world.clock.monotonic()
    assert {h.state.loads.total_share(E, now) for h in world.hosts} == {EngineShare()}


def test_target_that_fails_at_a_few_hosts_is_left_out_by_all(world: World) -> None:
    """Replay an engine that fails a third of its requests before fifty hosts."""
    for host in world.hosts[:6]:
        now = world.clock.monotonic()
        host.state.health.record_result(E, AttemptResult.FAILED, now, now)
    world.pass_time(1)
    now = world.clock.monotonic()
    believers = [h for h in world.hosts if not h.state.health.tally.is_excluded(E, now)]
    assert not believers


def test_failures_at_one_host_condemn_nothing(world: World) -> None:
    for _ in range(9):
        now = world.clock.monotonic()
        world.hosts[3].state.health.record_result(E, AttemptResult.FAILED, now, now)
    world.pass_time(1)
    now = world.clock.monotonic()
    assert not any(h.state.health.tally.is_excluded(E, now) for h in world.hosts)


def test_what_engines_hold_is_known_to_all_within_a_second(world: World) -> None:
    holdings = EngineHoldings(E, 5, 1, (A,), {}, (), idle=1)
    world.holder("za").orders.told = (holdings,)
    world.pass_time(1)
    assert all(
        A in h.state.residency.reported[E].adapters
        for h in world.hosts
        if h is not world.holder("za")
    )


def test_uses_elsewhere_reach_the_host_that_orders_the_engine(world: World) -> None:
    target = Target(
        E, PoolName("p"), TargetKind.ENGINE, DataCentre("za"), Address("::1", 1)
    )
    published = PublishedTarget(target, 64, 1, frozenset({"m"}))
    for host in world.hosts:
        host.state.catalogue = Catalogue(1, None, {E: published})
    keeper = world.holder("za")
    users = [h for h in world.hosts if h.me.data_centre == "zc"][:3]
    for user in users:
        user.state.uses.adjust_own_count(E, A, 1)
        # Told at once, and once more in the sum of the user's hub.
        keeper.state.uses.apply_peer_count(user.me.host_id, E, A, 1)
    world.pass_time(1)
    assert keeper.state.uses.counts_on(E) == {A: 3}
    for user in users:
        user.state.uses.adjust_own_count(E, A, -1)
    world.pass_time(1)
    assert not keeper.state.uses.counts_on(E)


def test_lost_hub_is_replaced_and_what_is_known_stays(world: World) -> None:
    """Replay the loss of the host that orders a data centre's engines."""
    world.hosts[7].state.loads.record_dispatch(E, 500)
    world.pass_time(1)
    lost = world.holder("zc")
    lost.is_down = True
    world.pass_time(0.9)
    now = world.clock.monotonic()
    here = world.live("zc")
    assert all(h.fleet.lease_holder() is None for h in here)
    assert all(h.state.loads.total_share(E, now).unread_tokens == 500 for h in here)
    here[0].orders.lease.is_holder = True
    world.pass_time(2)
    now = world.clock.monotonic()
    for host in world.hosts:
        if not host.is_down:
            assert host.state.loads.total_share(E, now) == EngineShare(500, 0), host.me
            assert host.fleet.live_hosts == 49
    assert all(h.fleet.hub() == here[0].me for h in here)


def test_hosts_without_a_holder_agree_on_a_hub(world: World) -> None:
    world.holder("zc").is_down = True
    world.pass_time(3)
    here = world.live("zc")
    assert len({h.fleet.hub() for h in here}) == 1
    assert sum(h.fleet.is_reader() for h in here) == 1


def test_data_centre_that_is_cut_off_counts_itself_alone(world: World) -> None:
    world.hosts[4].state.loads.record_dispatch(
        E, 700
    )  # In the data centre that is cut off.
    world.pass_time(1)
    world.cut.add("ze")
    world.pass_time(4)
    now = world.clock.monotonic()
    outside = [h for h in world.hosts if h.me.data_centre != "ze"]
    assert {h.fleet.live_hosts for h in outside} == {40}
    assert {h.fleet.live_hosts for h in world.live("ze")} == {10}
    assert {h.state.loads.total_share(E, now) for h in outside} == {EngineShare()}
    assert {
        h.state.loads.total_share(E, now).unread_tokens for h in world.live("ze")
    } == {700}
    world.cut.clear()
    world.pass_time(2)
    assert {h.fleet.live_hosts for h in world.hosts} == {50}


def test_restarted_host_is_told_everything_again(world: World, clock) -> None:
    holdings = EngineHoldings(E, 5, 1, (A,), {}, (), idle=1)
    world.holder("za").orders.told = (holdings,)
    world.pass_time(1)
    place = next(
        n for n, h in enumerate(world.hosts) if h.me.data_centre == "zb" and n > 2
    )
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    reborn = world.hosts[place] = Host(place, clock, seeds)
    world.by_address[reborn.me.address] = reborn
    reborn.fleet.start_exchange = world.starter(reborn)
    world.pass_time(2)
    assert A in reborn.state.residency.reported[E].adapters
    assert len(reborn.fleet.contacts()) == 50
    assert reborn.fleet.live_hosts == 50


def test_all_hosts_restarted_at_once_find_one_another(clock: ManualClock) -> None:
    world = settled(50, clock)
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    world.hosts = [Host(n, clock, seeds) for n in range(50)]
    world.by_address = {h.me.address: h for h in world.hosts}
    for host in world.hosts:
        host.fleet.start_exchange = world.starter(host)
    world.pass_time(2.5)
    assert {len(h.fleet.voters(seconds(1))) for h in world.hosts} == {9}


@pytest.mark.parametrize("hosts", [50, 100])
def test_cost_of_a_host_does_not_grow_with_the_fleet(hosts: int, clock) -> None:
    """Replay fleets of three sizes: exchanges a second, of hosts and of hubs."""
    world = settled(hosts, clock)
    world.calls.clear()
    world.pass_time(3)
    hubs = {world.holder(d).me.host_id for d in DATA_CENTRES}
    others = [n / 3 for h, n in world.calls.items() if h not in hubs]
    assert max(others) <= 1 / 0.15 + 1
    assert (
        max(world.calls[h] / 3 for h in hubs)
        <= (hosts / 5 + 8) / (0.1 + 0.005 * (hosts / 5 - 1)) + 9
    )


def test_start_tells_each_host_of_each_other_a_bounded_number_of_times(clock) -> None:
    """Replay a start: told anew whenever a count changed, it cost hosts cubed."""
    world = World(50, clock)
    told: Counter[HostId] = Counter()
    for host in world.hosts:
        host.fleet.digests.subscribe(
            lambda heard, me=host.me.host_id: told.update(
                {me: len(heard.digest.contacts)}
            )
        )
    world.pass_time(4)
    world.choose_holders()
    world.pass_time(4)
    assert {len(h.fleet.contacts()) for h in world.hosts} == {50}
    # Each neighbour tells of each host about once, as caller and as callee, and a hub
    # hears the other hubs; everybody asks the seeds.
    seeds = {h.me.host_id for h in world.hosts[:3]}
    assert max(n for h, n in told.items() if h not in seeds) < 50 * (2 * 10 + 2 * 4)
    assert max(told.values()) < 50 * 50


def test_ends_that_two_hosts_saw_hold_a_content_at_all_within_a_second(world) -> None:
    """Replay a request that ends an engine of one data centre, then of another."""
    world.live("za")[0].see_end("e1")
    world.pass_time(1)
    assert not any(h.holds() for h in world.hosts)
    world.live("zd")[2].see_end("e2")
    world.pass_time(1)
    assert all(h.holds() for h in world.hosts)
    # Told each change about once by each of its partners, not with every digest.
    world.pass_time(5)
    hubs = [world.holder(d) for d in DATA_CENTRES]
    plain = [h for h in world.hosts if h not in hubs]
    assert max(h.contents_heard for h in plain) <= 4
    assert max(h.contents_heard for h in hubs) <= 2 * len(world.live("za") + hubs)


def test_content_is_held_by_hosts_that_were_cut_off_or_start_anew(world, clock) -> None:
    world.cut.add("ze")
    world.pass_time(3)
    for target in ("e1", "e2", "e3"):
        world.live("zb")[1].see_end(target)
    world.pass_time(1)
    assert not any(h.holds() for h in world.live("ze"))
    world.cut.clear()
    world.pass_time(2)
    assert all(h.holds() for h in world.live("ze"))
    place = next(n for n, h in enumerate(world.hosts) if h is world.live("zc")[1])
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    reborn = world.hosts[place] = Host(place, clock, seeds)
    world.by_address[reborn.me.address] = reborn
    reborn.fleet.start_exchange = world.starter(reborn)
    world.pass_time(2)
    assert reborn.holds()


def test_permits_are_given_by_one_of_few_hosts(world: World) -> None:
    """Hosts that know the same hubs ask the same one, whichever content it is."""
    for content in ("a", "b", "c"):
        givers = {rank_members(content, h.fleet.known_to_all())[0] for h in world.hosts}
        assert len(givers) == 1
        assert givers <= {world.holder(d).me.host_id for d in DATA_CENTRES}


def test_hub_hears_parts_and_others_hear_sums(world: World) -> None:
    keeper = world.holder("zb")
    assert DigestScope.FLEET is keeper.tell(world.live("zb")[0].me.host_id).scope
    other = world.holder("zd")
    assert DigestScope.DATA_CENTRE is keeper.tell(other.me.host_id).scope
    plain = world.live("zb")[0]
    assert DigestScope.HOST is plain.tell(keeper.me.host_id).scope
    assert DigestScope.NOBODY is plain.tell(world.live("zb")[1].me.host_id).scope
    assert not plain.tell(world.live("zb")[1].me.host_id).shares
    assert keeper.tell(plain.me.host_id).uses == ()
    uses = (AdapterUse(E, A, 1),)
    plain.state.uses.adjust_own_count(E, A, 1)
    assert plain.tell(keeper.me.host_id).uses == uses


def test_host_that_its_hub_hears_no_more_still_counts_among_voters(world: World):
    """Replay a cut host: forgotten at once, those left could vote a second holder."""
    lost = world.live("zd")[2]
    world.pass_time(32)
    lost.is_down = True
    world.pass_time(5)
    others = [h for h in world.live("zd") if not h.orders.lease.is_holder]
    for host in others:
        assert lost.me.host_id in host.fleet.voters(seconds(1))
        assert lost.me.host_id not in {
            p.contact.host_id for p in host.fleet.live_peers()
        }


def test_store_heard_by_a_hub_elsewhere_grows_old_with_what_it_told(world: World):
    """Replay a store that nobody reaches: hosts must not believe it was just heard."""
    for host in world.hosts:
        host.writer.store.age_s = 7.0
    world.pass_time(2)
    for host in world.hosts:
        assert host.fleet.freshest_store_age_s() >= FRESH_READER_AGE_S, host.me


def test_outage_of_the_store_makes_few_hosts_read(world: World) -> None:
    """Replay four seconds without the store, which all hosts tried to read at once."""
    readers = sum(h.fleet.is_reader() for h in world.hosts)
    assert readers == len(DATA_CENTRES)
    for host in world.hosts:
        host.writer.store.age_s = FOREVER
    world.pass_time(4)
    for host in world.hosts:
        host.writer.store.age_s = 4.0
    world.pass_time(1)
    trying = sum(h.fleet.is_reader() for h in world.hosts)
    assert len(DATA_CENTRES) < trying <= 7 * len(DATA_CENTRES)


NORTH = Organisation(
    OrganisationName("north"),
    frozenset(),
    None,
    Quota(10_000.0, 10_000.0, QuotaUnit.TOKENS),
)


def use(host: Host, requests: int, tokens: int = 1) -> int:
    """Send a host requests of an organisation; return how many tokens it admits."""
    now = host.fleet.clock.monotonic()
    host.state.count_hosts()
    results = [
        host.state.quotas.ledger.admit(NORTH, tokens, now) for _ in range(requests)
    ]
    return sum(result.cost for result in results if isinstance(result, Admitted))


@pytest.fixture
def with_quota(world: World) -> World:
    """The fleet with an organisation whose quota has been whole for long."""
    for host in world.hosts:
        now = world.clock.monotonic()
        host.state.quotas.ledger.apply_organisations((NORTH,), now)
    world.pass_time(4.0)
    return world


def test_what_any_host_admits_counts_at_all_hosts(with_quota: World) -> None:
    # What a hub told of its data centre was dropped with the parts of the hosts behind
    # it, each time, so only what a host's own data centre used ever counted: with 28
    # hosts 1.08 times what a window may hold was admitted.
    world = with_quota
    for host in world.hosts[:40]:
        use(host, 200)
    world.pass_time(1.5)
    for host in (world.hosts[0], world.hosts[41], world.hosts[43]):
        host.state.quotas.ledger.settle_all(world.clock.monotonic())
        usage = host.state.quotas.ledger.usage
        own = usage.own.get(NORTH.name, Usage()).admitted
        hub = host.fleet.hub()
        assert hub != host.me
        told = usage.sources[hub.host_id].reported_counts[NORTH.name].admitted
        assert told + own >= 8_000


def test_sustained_excess_at_all_hosts_gets_the_quota(with_quota: World) -> None:
    world = with_quota
    admitted = 0
    for _ in range(100):
        for host in world.hosts[::4]:
            admitted += use(host, 84, tokens=4)
        world.pass_time(STEP_S)
    assert admitted <= (10.0 * 10_000 + 10_000) * 1.25
    assert admitted >= 10.0 * 10_000 * 0.9


def test_islands_share_a_quota(with_quota: World) -> None:
    world, shares = with_quota, {}
    islands = (world.hosts[0], world.hosts[1])
    for host in islands:
        host.state.count_hosts()
    world.cut = {"za"}
    world.pass_time(6.0)
    for host in islands:
        host.state.count_hosts()
        shares[host.me.data_centre] = host.state.quotas.ledger.share
    assert sum(shares.values()) == pytest.approx(1.0, abs=0.05)


def test_healed_cut_brings_no_use_of_long_ago(with_quota: World) -> None:
    # When a data centre that had been cut off was back, its hosts took all that the
    # others had ever used for used just now, and refused everybody for seconds.
    world = with_quota
    most = 0.0
    for step in range(300):
        world.cut = {"za"} if 100 <= step < 150 else set()
        for host in world.hosts[::2]:
            use(host, 4, tokens=4)
        world.pass_time(STEP_S)
        for host in world.hosts:
            book, now = host.state.quotas.ledger, world.clock.monotonic()
            account = book.accounts[NORTH.name]
            most = max(most, book.asked_per_s(NORTH.name, account, now))
    assert most <= 3 * 25 * 4 * 4 / STEP_S


def test_hosts_divide_repeats_by_all_that_lived_before_a_cut(world: World) -> None:
    for host in world.hosts:
        host.state.count_hosts()
    world.cut = {"za"}
    world.pass_time(6.0)
    for host in world.hosts:
        host.state.count_hosts()
        assert host.fleet.live_hosts < 50
        assert host.state.fleet_size.estimated_hosts() >= 50


def test_hosts_divide_repeats_by_all_while_a_hub_is_lost(world: World) -> None:
    for host in world.hosts:
        host.state.count_hosts()
    world.holder("za").is_down = True
    for _ in range(20):
        world.pass_time(0.2)
        for host in world.hosts:
            host.state.count_hosts()
            assert host.state.fleet_size.estimated_hosts() >= 50


def test_host_that_has_just_started_takes_a_small_part_of_the_repeats(
    clock: ManualClock,
) -> None:
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    host = Host(7, clock, seeds)
    assert host.state.fleet_size.estimated_hosts() == ASSUMED_HOSTS
    clock.advance(60)
    host.state.count_hosts()
    assert host.state.fleet_size.estimated_hosts() == len(seeds) + 1
