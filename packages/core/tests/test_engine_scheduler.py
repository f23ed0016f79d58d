"""Orders to one engine: places are never overfilled, idle adapters make way."""

import pytest

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.engine_orders import (
    AskReport,
    EngineStatus,
    LoadAdapter,
    LoadModel,
    Rest,
    UnloadAdapter,
    Waiter,
)
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.names import AdapterRef, TargetId

NOW = seconds(500)


def ref(name: str, version: str = "1") -> AdapterRef:
    return AdapterRef(f"m/{name}", version)


def status(*adapters: AdapterRef, orders: int = 0, **more) -> EngineStatus:
    fields = {"coming": frozenset(), "is_busy": False, "models": frozenset({"m"})}
    return EngineStatus(adapters=frozenset(adapters), orders=orders, **fields | more)


def waiter(now: Instant, worth: float = 1.0) -> Waiter:
    return Waiter(worth, now + seconds(0.5), now + seconds(3), now)


@pytest.fixture
def book() -> EngineScheduler:
    """An engine with two places that holds x and y, both idle for long."""
    made = EngineScheduler(TargetId("e"), max_adapters=2)
    made.apply_report(status(ref("x"), ref("y")), NOW, NOW)
    return made


def later(by_s: float) -> Instant:
    return NOW + seconds(by_s)


def test_begins_with_a_report() -> None:
    made = EngineScheduler(TargetId("e"), max_adapters=2)
    assert made.next_step({}, NOW) == AskReport()


def test_idle_adapter_makes_way_then_the_wanted_one_is_loaded(book) -> None:
    book.add_waiter(ref("z"), waiter(later(1)))
    step = book.next_step({ref("x"): 1}, later(1))
    assert step == UnloadAdapter(ref("y"))
    book.handle_order_accepted(step, holds_already=True, now=later(1))
    assert book.next_step({}, later(1)) == LoadAdapter(ref("z"))


def test_unload_counts_as_an_order_and_names_no_count(book) -> None:
    order = UnloadAdapter(ref("y"))
    assert book.expected_order_count(order) is None
    book.handle_order_accepted(order, holds_already=True, now=NOW)
    assert book.expected_order_count(LoadAdapter(ref("z"))) == 1


def test_eviction_that_waits_for_its_requests_keeps_its_place(book) -> None:
    book.add_waiter(ref("z"), waiter(later(1)))
    book.handle_order_accepted(
        UnloadAdapter(ref("y")), holds_already=False, now=later(1)
    )
    assert not isinstance(book.next_step({}, later(1)), LoadAdapter)
    assert not book.is_ready(ref("y"))
    shown = status(ref("x"), orders=1)
    book.apply_report(shown, later(1.5), later(1.6))
    assert book.next_step({}, later(1.6)) == LoadAdapter(ref("z"))


def test_after_an_open_order_only_a_later_report_counts(book) -> None:
    book.mark_in_doubt(later(1))
    book.add_waiter(ref("z"), waiter(later(1)))
    book.apply_report(status(ref("x")), later(1.1), later(1.2))
    assert book.accepted_orders is None
    book.apply_report(status(ref("x")), later(1.5), later(1.6))
    assert book.next_step({}, later(1.6)) == LoadAdapter(ref("z"))


def test_report_older_than_the_last_order_says_nothing(book) -> None:
    book.handle_order_accepted(
        UnloadAdapter(ref("y")), holds_already=True, now=later(1)
    )
    book.apply_report(status(ref("x"), ref("y"), orders=0), later(1.1), later(1.2))
    assert not book.is_ready(ref("y"))


def test_adapter_that_just_came_is_not_evicted_before_its_use_is_known(book) -> None:
    book.last_used_at.pop(ref("y"))
    book.handle_order_accepted(LoadAdapter(ref("z")), holds_already=False, now=later(1))
    book.complete_due_loads(later(1.3))
    assert book.is_ready(ref("z"))
    book.add_waiter(ref("v"), waiter(later(1.3)))
    assert isinstance(book.next_step({ref("x"): 1}, later(1.31)), Rest)


def test_most_worth_is_loaded_first(book) -> None:
    book.last_used_at.clear()
    book.add_waiter(ref("u"), waiter(later(1)))
    book.add_waiter(ref("v"), waiter(later(1)))
    book.add_waiter(ref("v"), waiter(later(1)))
    assert book.next_step({}, later(1)) == LoadAdapter(ref("v"))


def test_late_waiters_count_less_than_those_on_time(book) -> None:
    book.last_used_at.clear()
    book.add_waiter(ref("u"), Waiter(1.5, later(0.5), later(3), later(0)))
    book.add_waiter(ref("v"), waiter(later(1)))
    assert book.next_step({}, later(1)) == LoadAdapter(ref("v"))


def test_refused_unload_is_not_repeated_at_once(book) -> None:
    book.add_waiter(ref("z"), waiter(later(1)))
    step = book.next_step({}, later(1))
    book.handle_order_refused(step, later(1))
    other = book.next_step({}, later(1.01))
    assert isinstance(other, UnloadAdapter)
    assert other != step


def test_older_version_makes_way_for_the_newer(book) -> None:
    book.add_waiter(ref("x", "2"), waiter(later(1)))
    assert not book.is_ready(ref("x", "2"))
    assert book.next_step({}, later(1)) == UnloadAdapter(ref("x"))


def test_empty_engine_loads_its_model_first_and_once() -> None:
    made = EngineScheduler(TargetId("e"), max_adapters=2, requested_model="m")
    made.apply_report(status(models=frozenset()), NOW, NOW)
    step = made.next_step({}, NOW)
    assert step == LoadModel("m")
    made.handle_order_accepted(step, holds_already=False, now=NOW)
    assert not isinstance(made.next_step({}, later(0.1)), LoadModel)


def test_load_that_takes_longer_is_waited_for_and_learned_from(book) -> None:
    book.last_used_at.pop(ref("y"))
    before = book.load_times.cold_load_s
    book.handle_order_accepted(LoadAdapter(ref("z")), holds_already=False, now=later(1))
    book.complete_due_loads(later(1.3))
    book.handle_adapter_missing(ref("z"), later(1.31))
    assert ref("z") in book.loading_until
    assert book.load_times.cold_load_s > before


def test_expected_wait_grows_with_the_queue(book) -> None:
    waits = []
    for name in "uvw":
        waits.append(book.expected_wait_s(ref(name), waiter(later(1)), later(1)))
        book.add_waiter(ref(name), waiter(later(1)))
    assert waits[0] < waits[1] < waits[2]


def test_never_orders_more_than_there_are_places() -> None:
    """Replay a burst of wishes against an engine that counts its places."""
    made = EngineScheduler(TargetId("e"), max_adapters=3)
    held: set[AdapterRef] = set()
    orders = 0
    made.apply_report(status(), NOW, NOW)
    now = NOW
    for n in range(400):
        now += seconds(0.02)
        made.add_waiter(ref(f"a{n % 17}"), waiter(now))
        step = made.next_step({}, now)
        if isinstance(step, LoadAdapter):
            held.add(step.adapter)
            orders += 1
            made.handle_order_accepted(step, holds_already=False, now=now)
        elif isinstance(step, UnloadAdapter):
            held.discard(step.adapter)
            orders += 1
            made.handle_order_accepted(step, holds_already=True, now=now)
        assert len(held) <= 3
    assert orders > 40


def test_load_that_makes_an_answer_late_yields_to_one_that_does_not(book) -> None:
    book.last_used_at.clear()
    nearly_late = Waiter(1.5, later(1.1), later(4), later(0.3))
    book.add_waiter(ref("u"), nearly_late)
    book.add_waiter(ref("v"), waiter(later(1)))
    assert book.next_step({}, later(1)) == LoadAdapter(ref("v"))


def test_adapters_in_steady_demand_outlast_those_asked_for_once() -> None:
    """Replay four adapters asked for in turn among twice as many asked for once.

    By recency alone, eleven others come between two requests for one of the four, and
    each of its requests finds it evicted.
    """
    made = EngineScheduler(TargetId("e"), max_adapters=6)
    made.apply_report(status(), NOW, NOW)
    loads = {ref(f"hot{n}"): 0 for n in range(4)}
    now = NOW
    for n in range(300):
        is_hot = n % 3 == 0
        wanted = ref(f"hot{n // 3 % 4}" if is_hot else f"once{n}")
        until = now + seconds(0.07)
        if not made.is_ready(wanted):
            made.add_waiter(wanted, waiter(now))
        while now < until:
            step = made.next_step({}, now)
            if isinstance(step, LoadAdapter):
                loads[step.adapter] = loads.get(step.adapter, 0) + 1
                made.handle_order_accepted(step, holds_already=False, now=now)
                made.loading_until[step.adapter] = now
            elif isinstance(step, UnloadAdapter):
                made.handle_order_accepted(step, holds_already=True, now=now)
            now += seconds(0.005)
        made.record_use_start(wanted, now)
    assert sum(loads[ref(f"hot{n}")] for n in range(4)) <= 12


def test_report_of_an_earlier_start_is_not_believed() -> None:
    made = EngineScheduler(TargetId("e"), max_adapters=2, incarnation=2_000)
    made.apply_report(status(ref("x"), orders=7, incarnation=1_000), NOW, NOW)
    assert made.accepted_orders is None
    assert not made.open_adapters()
    made.apply_report(status(orders=0, incarnation=2_000), NOW, NOW)
    assert made.accepted_orders == 0


def test_load_that_is_denied_again_and_again_is_in_doubt(book) -> None:
    """Replay an engine that started again unnoticed: it has lost what was coming."""
    book.add_waiter(ref("z"), waiter(later(1)))
    drop = book.next_step({}, later(1))
    book.handle_order_accepted(drop, holds_already=True, now=later(1))
    book.handle_order_accepted(LoadAdapter(ref("z")), holds_already=False, now=later(1))
    for tenth in range(13, 40):
        now = later(tenth / 10)
        book.complete_due_loads(now)
        book.handle_adapter_missing(ref("z"), now)
    assert book.accepted_orders is None
    assert not book.is_ready(ref("z"))


def test_adapter_in_use_stays_open_while_others_wait(book) -> None:
    """Replay full engines: closed to new requests, a place stood half empty."""
    book.add_waiter(ref("z"), waiter(later(1)))
    in_use = {ref("x"): 1, ref("y"): 1}
    for tenth in range(10, 30):
        assert isinstance(book.next_step(in_use, later(tenth / 10)), Rest | AskReport)
        assert book.is_ready(ref("x"))
        assert book.is_ready(ref("y"))
    assert book.next_step({ref("x"): 1}, later(3.1)) == UnloadAdapter(ref("y"))
