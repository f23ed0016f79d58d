"""Histories of elections for the order lease: two from faults, and random ones."""

from random import Random

from sardinequay_core.names import HostId

from .election_world import ElectionWorld

BUSY = 0.3
SETTLE_S = 4.0


async def settled_world(random: Random, near: int, far: int) -> ElectionWorld:
    """Return a fleet with a holder; time without orders counts from now."""
    world = ElectionWorld(random, near, far, engines=2, demand=BUSY)
    await world.advance(SETTLE_S)
    world.silent_ticks = 0
    return world


async def voters_restart_behind_a_cut(
    seed: int, near: int = 3, far: int = 3, cut_s: float = 12.0
) -> ElectionWorld:
    """Restart all hosts of a data centre but one, which is cut off meanwhile."""
    random = Random(seed)
    world = await settled_world(random, near, far)
    left, *others = random.sample(world.near, near)
    for name in others:
        world.begin_leaving(name)
        await world.advance(random.choice((0.2, 0.5, 1.0)))
    await world.advance(random.uniform(0.5, 3.0))
    world.separate(left, world.contacts, both=True)
    await restart(world, others, random)
    await world.advance(cut_s)
    world.cut.clear()
    await world.advance(6.0)
    return world


async def host_added_with_stale_seeds(seed: int) -> ElectionWorld:
    """Add a host whose seeds are gone, so that no host answers it."""
    random = Random(seed)
    world = await settled_world(random, near=3, far=0)
    name = world.add_contact("n9", "za")
    gone = world.add_contact("gone", "za")
    world.near.append(name)
    world.start(name, [gone])
    await world.advance(25.0)
    return world


async def roll(seed: int, near: int, far: int) -> ElectionWorld:
    """Restart all hosts of a data centre but one, without a cut."""
    random = Random(seed)
    world = await settled_world(random, near, far)
    others = random.sample(world.near, near)[1:]
    for name in others:
        world.begin_leaving(name)
        await world.advance(1.0)
    await world.advance(2.0)
    await restart(world, others, random)
    await world.advance(10.0)
    return world


async def kill_holder(seed: int, near: int, far: int) -> ElectionWorld:
    """Kill the host that holds the lease, and start it again."""
    random = Random(seed)
    world = await settled_world(random, near, far)
    holders = [n for n in world.near if world.hosts[n].lease.is_holder]
    for name in holders:
        world.kill(name)
    await world.advance(0.5)
    for name in holders:
        world.start(name)
    await world.advance(20.0)
    return world


async def kill_all(seed: int, near: int, far: int) -> ElectionWorld:
    """Kill all hosts at once and start them again."""
    random = Random(seed)
    world = await settled_world(random, near, far)
    names = [*world.near, *world.far]
    for name in names:
        world.kill(name)
    await world.advance(0.5)
    for name in names:
        world.start(name)
    await world.advance(20.0)
    return world


async def left_alone(seed: int, near: int, far: int, is_kill: bool) -> ElectionWorld:
    """Take all hosts of a data centre away but one, for good."""
    random = Random(seed)
    world = await settled_world(random, near, far)
    others = random.sample(world.near, near)[1:]
    for name in others:
        if is_kill:
            world.kill(name)
        else:
            world.begin_leaving(name)
    await world.advance(3.0)
    for name in others:
        await world.end_leaving(name)
    await world.advance(50.0)
    return world


async def restart(world: ElectionWorld, names: list[HostId], random: Random) -> None:
    """End hosts that leave, and start them again, one after the other."""
    for name in names:
        await world.end_leaving(name)
        await world.advance(random.choice((0.2, 0.5, 1.0)))
        world.start(name)


async def random_history(seed: int) -> ElectionWorld:
    """Leave, kill, start again and cut off hosts at random moments."""
    random = Random(seed)
    near, far = random.randint(1, 4), random.randint(0, 2)
    world = await settled_world(random, near, far)
    for _ in range(12):
        name = random.choice([*world.near, *world.far])
        step = random.random()
        if step < 0.25:
            world.begin_leaving(name)
        elif step < 0.35:
            await world.end_leaving(name)
        elif step < 0.45:
            world.kill(name)
        elif step < 0.65:
            for gone in [n for n in world.contacts if n not in world.hosts]:
                world.start(gone)
        elif step < 0.85:
            world.separate(name, world.contacts, both=random.random() < 0.8)
        else:
            world.cut.clear()
        await world.advance(random.choice((0.2, 0.5, 1.0, 3.0)))
    world.cut.clear()
    await world.advance(5.0)
    return world
