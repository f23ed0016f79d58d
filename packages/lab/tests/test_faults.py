"""Fault cases over real processes: load, a fault, recovery, and a verdict."""

import asyncio
from dataclasses import replace
from pathlib import Path

import aiohttp
import pytest

from sardinequay_lab import faults
from sardinequay_lab.load import LoadPlan
from sardinequay_lab.plan import FAST_CLAIMS, FAST_TIMING, SHORT_REQUESTS, Plan
from sardinequay_lab.trial import Fault, make_trial, run_trial

SEED = 1
LOAD = LoadPlan(workers=6)
SMALL = Plan(
    data_centres=("tukwila", "hillsboro", "quincy"),
    hosts=2,
    engines=1,
    services=1,
    adapters=20,
    loads_per_s=8.0,
    timing=FAST_TIMING,
    claims=FAST_CLAIMS,
    limits=SHORT_REQUESTS,
)

DIRECT = [
    faults.kill_host,
    faults.freeze_host,
    faults.restart_every_host,
    faults.replace_every_host,
    faults.stop_gracefully,
    faults.kill_configuration,
    faults.stale_configuration,
    faults.two_operators,
    faults.restart_engine,
    faults.engine_leaves,
    faults.service_leaves,
    faults.kill_service,
    faults.kill_weight_store,
]
RELAYED = [
    faults.cut_data_centre,
    faults.silence_data_centre,
    faults.freeze_and_cut,
    faults.engine_restarts_in_a_cut,
]


CASES = [pytest.param(SMALL, fault, id=fault.__name__) for fault in DIRECT]
CASES += [
    pytest.param(replace(SMALL, relayed=True), fault, id=fault.__name__)
    for fault in RELAYED
]


@pytest.mark.parametrize(("plan", "fault"), CASES)
def test_promises_hold_under(plan: Plan, fault: Fault, tmp_path: Path) -> None:
    verdict = asyncio.run(run_trial(make_trial(tmp_path, plan, LOAD, SEED), fault))
    assert verdict.breaches == []
    assert verdict.logged_errors == []
    assert verdict.outcomes["order complete"]
    assert verdict.outcomes["model complete"]
    if fault is faults.stop_gracefully:
        cut_off = [n for n in verdict.outcomes if "Error" in n or "answer_lost" in n]
        assert cut_off == []


def test_keyed_request_with_nobody_to_claim_from_is_refused_as_not_run(
    tmp_path: Path,
) -> None:
    """Two of three guards gone: no majority, so nothing keyed runs."""
    plan = Plan(
        data_centres=("tukwila",), hosts=3, engines=1, services=1, timing=SMALL.timing
    )
    trial = make_trial(tmp_path, plan, LOAD, SEED)

    async def run() -> str:
        await asyncio.to_thread(trial.cluster.start)
        await trial.cluster.ready()
        first, *others = trial.cluster.hosts.values()
        for host in others:
            trial.cluster.kill(host.host_id)
        async with aiohttp.ClientSession() as http:
            return await trial.callers.place(http, f"http://{first.callers}", "key")

    try:
        assert asyncio.run(run()) == "not_run"
    finally:
        trial.cluster.stop()
