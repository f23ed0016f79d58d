"""Choice of targets under overload: bounded load requests, timed refusals."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random

import pytest
from multidict import CIMultiDict, CIMultiDictProxy
from opentelemetry.trace import INVALID_SPAN

from sardinequay_core.adapter_demand import COUNT_SCALE
from sardinequay_core.catalogue import (
    Catalogue,
    ConfigPublished,
    PublishedTarget,
    RemovalPolicy,
    TargetPublished,
    apply_change,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import (
    AdapterRef,
    Address,
    DataCentre,
    FeatureId,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.outcome import Outcome, Reason
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.retry_decision import AttemptCounts
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.serving import (
    CallerLimits,
    EnginePool,
    PoolShare,
    Repetition,
    Route,
    ServedModel,
    TargetPool,
    make_serving_config,
)
from sardinequay_core.statements.limits import LimitStatement, PermitOutlook
from sardinequay_daemon.attempt import RelayDependencies
from sardinequay_daemon.engine_picker import MAX_FAILED_LOAD_REQUESTS
from sardinequay_daemon.exchange import RelayExchange
from sardinequay_daemon.progress import RequestRefusedError
from sardinequay_daemon.quarantine.guarded_request import GuardedRequest
from sardinequay_daemon.relay_state import EngineKeeper, RelayState
from sardinequay_daemon.serving_messages import WantAdapter, WantReply
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import RequestTerms
from sardinequay_daemon.target_picker import TargetPicker

from .conftest import ManualClock

POOL = PoolName("lm")
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    repetition=Repetition.STREAM,
    timeout=seconds(4),
    goal=seconds(0.8),
    priority=1,
    max_runs=1,
    shares=(PoolShare(POOL, 1.0),),
    max_pause=seconds(0.4),
)


def engine(name: str, *adapters: str) -> TargetPublished:
    target = Target(
        TargetId(name), POOL, TargetKind.ENGINE, DataCentre("za"), Address("::1", 1)
    )
    held = frozenset(AdapterRef(f"m/{a}", "1") for a in adapters)
    return TargetPublished(PublishedTarget(target, 8, 1, frozenset({"m"}), held))


def catalogue_of(*engines: TargetPublished) -> Catalogue:
    pool = EnginePool(8, 10_000, 100, 2, 2, (ServedModel("m", 10, 9, 1),))
    config = make_serving_config(
        1, (ROUTE,), (TargetPool(POOL, 9, pool),), CallerLimits()
    )
    made = apply_change(ConfigPublished(config), Catalogue(), RemovalPolicy())
    for published in engines:
        made = apply_change(published, made, RemovalPolicy())
    return made


class FakeLoadRequestClient:
    """Replies to load requests as a test has prepared."""

    def __init__(self) -> None:
        self.reply = WantReply(True, "loaded")
        self.replies: list[WantReply] = []
        self.requests: list[WantAdapter] = []
        self.on_request: Callable[[], None] = lambda: None

    async def request_load(self, message: WantAdapter) -> WantReply:
        self.requests.append(message)
        self.on_request()
        return self.replies.pop(0) if self.replies else self.reply


class Fleet:
    """Fake fleet without other hosts."""

    live_hosts = 1
    is_mesh = True

    def freshest_store_age_s(self) -> float:
        return 0.1


@pytest.fixture
def load_client() -> FakeLoadRequestClient:
    return FakeLoadRequestClient()


@pytest.fixture
def state(clock: ManualClock, monkeypatch: pytest.MonkeyPatch) -> RelayState:
    made = RelayState("za", clock, Random(1), RepeatPolicy(), Fleet())
    keeper = EngineKeeper(HostId("h1"), 0.0, is_self=True)
    monkeypatch.setattr(
        RelayState, "keepers", lambda self, places: dict.fromkeys(places, keeper)
    )
    made.apply_catalogue(catalogue_of(engine("e1", "a1"), engine("e2"), engine("e3")))
    return made


@pytest.fixture
def picker(state: RelayState, load_client: FakeLoadRequestClient) -> TargetPicker:
    metrics = ServingMetrics("h1", "za")
    return TargetPicker(
        RelayDependencies(
            state, None, None, load_client, None, metrics, None, None, None
        )
    )


FOUR_SECONDS = seconds(4)


def exchange(clock: ManualClock, adapter: str, wait: timedelta = FOUR_SECONDS):
    now = clock.monotonic()
    return RelayExchange(
        terms=RequestTerms("r1", "m", f"m/{adapter}", 2000, wait),
        guarded_request=GuardedRequest("r1", FeatureId("c")),
        route=ROUTE,
        pool=POOL,
        method="POST",
        path="/",
        headers=CIMultiDictProxy(CIMultiDict()),
        body=b"",
        arrived=now,
        deadline=now + wait,
        span=INVALID_SPAN,
    )


async def test_engine_that_has_the_adapter_needs_no_load(picker, load_client, clock):
    chosen = await picker.choose(exchange(clock, "a1"))
    assert chosen.published.target.target_id == "e1"
    assert load_client.requests == []


async def test_loaded_adapter_is_used_where_it_was_loaded(picker, load_client, clock):
    chosen = await picker.choose(exchange(clock, "a9"))
    assert [request.target for request in load_client.requests] == [
        chosen.published.target.target_id
    ]


async def test_failed_load_requests_are_bounded(picker, load_client, clock):
    load_client.reply = WantReply(False, "no answer")
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, "a9"))
    refusal = refused.value.refusal
    assert len(load_client.requests) <= MAX_FAILED_LOAD_REQUESTS
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after is not None


async def test_queue_that_is_too_long_refuses_at_once_with_its_length(
    picker, load_client, clock
):
    load_client.reply = WantReply(False, "expected too late", 9.0)
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, "a9"))
    refusal = refused.value.refusal
    assert refusal.reason is Reason.OVERLOADED
    assert len(load_client.requests) == 3
    assert seconds(6) < refusal.retry_after < seconds(7)


async def test_refusal_without_a_keeper_says_when_to_retry(
    picker, state, clock, monkeypatch
):
    monkeypatch.setattr(RelayState, "keepers", lambda self, places: {})
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, "a9"))
    assert refused.value.refusal.reason is Reason.NO_TARGET
    assert refused.value.refusal.retry_after >= seconds(2)


async def test_keeper_that_may_order_soon_is_waited_for(picker, clock, monkeypatch):
    soon = EngineKeeper(HostId("h1"), 1.5, is_self=True)
    monkeypatch.setattr(
        RelayState, "keepers", lambda self, places: dict.fromkeys(places, soon)
    )
    chosen = await picker.choose(exchange(clock, "a9"))
    assert chosen is not None
    with pytest.raises(RequestRefusedError):
        await picker.choose(exchange(clock, "a8", seconds(1)))


async def test_first_event_wait_is_bounded_by_caller_patience(picker, clock):
    made = exchange(clock, "a9", seconds(15))
    assert made.first_event_left_s(clock.monotonic()) == pytest.approx(3.2)
    clock.advance(3)
    assert made.first_event_left_s(clock.monotonic()) == pytest.approx(0.2)


async def test_adapter_is_loaded_only_where_its_model_is(
    picker, load_client, clock, state
):
    other = engine("e4")
    published = other.published
    lacking = TargetPublished(replace(published, models=frozenset({"n"})))
    state.apply_catalogue(catalogue_of(lacking))
    with pytest.raises(RequestRefusedError):
        await picker.choose(exchange(clock, "a9"))
    assert load_client.requests == []


async def test_request_that_waits_moves_to_an_engine_that_has_room_now(
    picker, load_client, clock
):
    """Guard against waiting on at an engine whose load queue grew after the choice."""
    load_client.replies = [WantReply(False, "queued", 2.0, is_queued=True)]
    chosen = await picker.choose(exchange(clock, "a9"))
    first, second = (request.target for request in load_client.requests)
    assert second != first
    assert chosen.published.target.target_id == second


async def test_queued_request_stays_on_the_engine_with_the_shortest_wait(
    picker, load_client, clock
):
    queued = WantReply(False, "queued", 0.05, is_queued=True)
    load_client.replies = [queued] * (MAX_FAILED_LOAD_REQUESTS + 1)
    await picker.choose(exchange(clock, "a9"))
    assert len({request.target for request in load_client.requests}) == 1


async def test_queue_that_grew_too_long_refuses_before_the_wait_is_over(
    picker, load_client, clock
):
    load_client.replies = [WantReply(False, "queued", 30.0, is_queued=True)] * 3
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, "a9"))
    assert refused.value.refusal.reason is Reason.OVERLOADED
    assert len(load_client.requests) == 3
    assert all(request.look_s < request.wait_s for request in load_client.requests)


async def test_repeated_load_request_carries_the_time_already_waited(
    picker, load_client, clock
):
    load_client.replies = [WantReply(False, "queued", 0.05, is_queued=True)]
    load_client.on_request = lambda: clock.advance(0.4)
    await picker.choose(exchange(clock, "a9"))
    assert [request.waited_s for request in load_client.requests] == pytest.approx(
        [0.0, 0.4]
    )


async def test_prompt_counts_where_it_waits_for_its_adapter(
    picker, load_client, clock, state
):
    """Guard against a burst of long prompts for rare adapters on one engine.

    All of them would choose it if prompts that wait for adapters did not count there.
    """
    unread_tokens_seen = []

    def record_unread_tokens() -> None:
        target = load_client.requests[-1].target
        unread_tokens_seen.append((target, state.loads.own[target].unread_tokens))

    load_client.on_request = record_unread_tokens
    await picker.choose(exchange(clock, "a9"))
    assert [tokens for _, tokens in unread_tokens_seen] == [2000]
    assert not state.loads.own


async def test_prompts_that_wait_spread_over_engines(picker, load_client, clock):
    held = asyncio.Event()

    async def wait(message: WantAdapter) -> WantReply:
        load_client.requests.append(message)
        await held.wait()
        return WantReply(True, "loaded")

    load_client.request_load = wait
    adapters = ("a5", "a6", "a7")
    waiting = [asyncio.create_task(picker.choose(exchange(clock, a))) for a in adapters]
    await asyncio.sleep(0)
    assert len({request.target for request in load_client.requests}) == 3
    held.set()
    chosen = await asyncio.gather(*waiting)
    assert [c.published.target.target_id for c in chosen] == [
        a.target for a in load_client.requests
    ]


def state_limit(state: RelayState, target: str, free_s: float, ask_s: float) -> None:
    """Let a target state a limit, and its issuer say when there is a permit."""
    now = state.clock.monotonic()
    state.statements.limits.record_answer(
        TargetId(target), LimitStatement(1.0, 1, now), now
    )
    state.statements.limits.outlooks[TargetId(target)] = PermitOutlook(
        now + seconds(free_s), now + seconds(ask_s)
    )


async def test_adapter_whose_engine_takes_no_request_now_is_loaded_elsewhere(
    picker, load_client, clock, state
):
    state_limit(state, "e1", free_s=2, ask_s=5)
    chosen = await picker.choose(exchange(clock, "a1"))
    assert chosen.published.target.target_id in ("e2", "e3")
    assert chosen.max_permit_wait is None
    assert len(load_client.requests) == 1


async def test_request_waits_for_the_only_engine_with_its_adapter_while_it_is_on_time(
    picker, load_client, clock, state
):
    state_limit(state, "e1", free_s=0.1, ask_s=5)
    chosen = await picker.choose(exchange(clock, "a1"))
    assert chosen.published.target.target_id == "e1"
    assert seconds(0.1) < chosen.max_permit_wait < ROUTE.goal
    assert load_client.requests == []


async def test_request_that_may_have_run_waits_for_a_permit_beyond_its_goal(
    picker, clock, state
):
    for name in ("e1", "e2", "e3"):
        state_limit(state, name, free_s=0.6, ask_s=5)
    resumed = exchange(clock, "a1")
    with pytest.raises(RequestRefusedError):
        await picker.choose(resumed)
    resumed.attempts_so_far = AttemptCounts(runs=1)
    chosen = await picker.choose(resumed)
    assert chosen.published.target.target_id == "e1"
    assert chosen.max_permit_wait > ROUTE.goal


async def test_request_counts_once_in_the_demand_however_often_a_target_is_chosen(
    picker, clock, state
):
    """A denied permit or a failed attempt made an adapter look more popular."""
    denied = exchange(clock, "a1")
    for _ in range(3):
        await picker.choose(denied)
    assert state.demand.own_demand(clock.monotonic()).total == COUNT_SCALE
    await picker.choose(exchange(clock, "a1"))
    assert state.demand.own_demand(clock.monotonic()).total == 2 * COUNT_SCALE


async def test_limited_engine_is_no_home_for_an_adapter_that_is_loaded_anew(
    picker, load_client, clock, state
):
    for adapter in ("a5", "a6", "a7", "a8"):
        state_limit(state, "e1", free_s=0, ask_s=0)
        await picker.choose(exchange(clock, adapter))
    assert {request.target for request in load_client.requests} <= {"e2", "e3"}


async def test_request_is_refused_at_once_when_all_engines_are_limited_too_low(
    picker, clock, state
):
    for name in ("e1", "e2", "e3"):
        state_limit(state, name, free_s=2, ask_s=5)
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, "a1"))
    assert refused.value.refusal.reason is Reason.TARGET_LIMITED
    assert refused.value.refusal.retry_after >= seconds(1)


@pytest.fixture
def services(state: RelayState) -> None:
    """Two plain services in place of the engines."""
    config = make_serving_config(
        1, (ROUTE,), (TargetPool(POOL, 9, None),), CallerLimits()
    )
    made = apply_change(ConfigPublished(config), Catalogue(), RemovalPolicy())
    for name in ("s1", "s2"):
        made = apply_change(engine(name), made, RemovalPolicy())
    state.apply_catalogue(made)


async def test_limited_service_is_left_out_until_it_may_be_asked_for_again(
    picker, clock, state, services
):
    state_limit(state, "s1", free_s=0, ask_s=0.5)
    chosen = [await picker.choose(exchange(clock, "")) for _ in range(20)]
    assert {c.published.target.target_id for c in chosen} == {"s2"}
    clock.advance(0.6)
    chosen = [await picker.choose(exchange(clock, "")) for _ in range(20)]
    assert {c.published.target.target_id for c in chosen} == {"s1", "s2"}


async def test_services_that_are_all_limited_refuse_with_the_time_to_come_back(
    picker, clock, state, services
):
    state_limit(state, "s1", free_s=3, ask_s=4)
    state_limit(state, "s2", free_s=2, ask_s=6)
    with pytest.raises(RequestRefusedError) as refused:
        await picker.choose(exchange(clock, ""))
    assert refused.value.refusal.reason is Reason.TARGET_LIMITED
    assert seconds(4) <= refused.value.refusal.retry_after < seconds(6)
