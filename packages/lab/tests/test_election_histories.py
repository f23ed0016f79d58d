"""The order lease in histories of cuts, leaves, kills, returns and lone hosts."""

import pytest

from sardinequay_core.order_candidate import OrderCandidate
from sardinequay_lab.election_histories import (
    host_added_with_stale_seeds,
    kill_all,
    left_alone,
    random_history,
    voters_restart_behind_a_cut,
)


# Guards against a holder that is cut off and orders beside its successor, since it took
# voters that restarted for gone.
@pytest.mark.parametrize("far", [0, 3])
@pytest.mark.parametrize("cut_s", [5.0, 12.0, 20.0])
async def test_holder_that_is_cut_off_while_voters_restart_stops(
    far: int, cut_s: float
) -> None:
    for seed in range(5):
        world = await voters_restart_behind_a_cut(seed, far=far, cut_s=cut_s)
        assert not world.breaks()


# Guards against a host that no seed answers, and that orders by its own vote.
async def test_host_added_with_stale_seeds_does_not_order_beside_the_holder() -> None:
    for seed in range(10):
        world = await host_added_with_stale_seeds(seed)
        assert not world.breaks()
        assert {o.host for e in world.engines for o in e.orders} <= set(world.near[:3])


# In these histories a host that nobody answered (1969), one whose voters had left
# (10042), and the successor of a lone host (11629) once ordered with a token no higher
# than that of the holder before; the last one also too soon.
async def test_random_histories_have_one_holder() -> None:
    for seed in (*range(100), 1969, 10042, 11629):
        assert not (await random_history(seed)).breaks()


async def test_host_that_is_left_alone_orders_again() -> None:
    for near, is_kill in ((2, False), (3, False), (2, True), (3, True)):
        world = await left_alone(1, near, 0, is_kill)
        assert world.engines[0].orders[-1].at_s > world.now_s - 5.0


@pytest.mark.parametrize("near", [1, 2, 3])
async def test_hosts_that_were_all_killed_order_again(near: int) -> None:
    world = await kill_all(1, near, 1)
    assert world.engines[0].orders[-1].at_s > world.now_s - 5.0
    assert not world.breaks()


async def test_histories_detect_departed_voters_that_are_always_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(OrderCandidate, "is_in_contact", lambda self, now: True)
    # Watched engines keep the successor from ordering, so they are taken away as well.
    monkeypatch.setattr(
        OrderCandidate, "record_orders_watched", lambda self, is_foreign, now: None
    )
    broken = [(await voters_restart_behind_a_cut(s)).breaks() for s in range(5)]
    assert any(broken)


async def test_histories_detect_lone_hosts_that_watch_no_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        OrderCandidate, "record_orders_watched", lambda self, is_foreign, now: None
    )
    assert (await host_added_with_stale_seeds(1)).breaks()
