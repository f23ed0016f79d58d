"""What hosts of a large fleet tell of targets: ends, limits, and who issues permits."""

import pytest

from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.rendezvous import rank_members
from sardinequay_daemon.statements.limit_messages import LimitNews

from .conftest import ManualClock
from .large_fleet import DATA_CENTRES, Host, World, settled_world


@pytest.fixture
def world(clock: ManualClock) -> World:
    return settled_world(50, clock)


def test_content_that_ended_two_targets_is_held_by_all_within_a_second(world) -> None:
    """A request ends an engine of one data centre, then an engine of another one."""
    world.live_hosts("za")[0].record_target_end("e1")
    world.advance(1)
    assert not any(h.holds_content() for h in world.hosts)
    world.live_hosts("zd")[2].record_target_end("e2")
    world.advance(1)
    assert all(h.holds_content() for h in world.hosts)
    # Each exchange partner sends each change about once, not with every digest.
    world.advance(5)
    hubs = [world.lease_holder(d) for d in DATA_CENTRES]
    ordinary = [h for h in world.hosts if h not in hubs]
    assert max(h.contents_received for h in ordinary) <= 4
    assert max(h.contents_received for h in hubs) <= 2 * len(
        world.live_hosts("za") + hubs
    )


def test_content_is_held_after_a_partition_or_a_restart(world, clock) -> None:
    world.partitioned.add("ze")
    world.advance(3)
    for target in ("e1", "e2", "e3"):
        world.live_hosts("zb")[1].record_target_end(target)
    world.advance(1)
    assert not any(h.holds_content() for h in world.live_hosts("ze"))
    world.partitioned.clear()
    world.advance(2)
    assert all(h.holds_content() for h in world.live_hosts("ze"))
    index = next(n for n, h in enumerate(world.hosts) if h is world.live_hosts("zc")[1])
    seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
    restarted = world.hosts[index] = Host(index, clock, seeds)
    world.by_address[restarted.me.address] = restarted
    restarted.fleet.start_exchange = world.make_start_exchange(restarted)
    world.advance(2)
    assert restarted.holds_content()


def test_limit_that_one_host_hears_binds_all_within_a_second(world: World) -> None:
    """A target answers a host of a large fleet once in half a minute."""
    stated = LimitNews(TargetId("e1"), 2.0, 1, 0.0)
    world.live_hosts("zd")[2].recorders.limits.apply_report(stated, HostId(""))
    world.advance(1)
    now = world.hosts[0].fleet.clock.monotonic()
    assert all(
        h.state.statements.limits.rate_of(TargetId("e1"), now) for h in world.hosts
    )


def test_permits_are_issued_by_one_of_few_hosts(world: World) -> None:
    """Hosts that know the same hubs choose the same issuer, for any content."""
    for content in ("a", "b", "c"):
        issuers = {
            rank_members(content, h.fleet.known_to_all())[0] for h in world.hosts
        }
        assert len(issuers) == 1
        assert issuers <= {world.lease_holder(d).me.host_id for d in DATA_CENTRES}
