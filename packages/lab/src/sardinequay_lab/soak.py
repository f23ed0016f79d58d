"""A longer trial outside CI: random faults under load, with a seed and a verdict."""

import argparse
import asyncio
import shutil
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from . import faults
from .load import LoadPlan
from .plan import FAST_CLAIMS, FAST_TIMING, SHORT_REQUESTS, Plan
from .trial import Trial, make_trial, run_trial, settle

FAULTS = (
    faults.kill_host,
    faults.freeze_host,
    faults.restart_engine,
    faults.kill_configuration,
    faults.stale_configuration,
    faults.kill_service,
    faults.kill_weight_store,
    faults.cut_data_centre,
    faults.silence_data_centre,
    faults.freeze_and_cut,
    faults.engine_restarts_in_a_cut,
)


def plan() -> Plan:
    """Return the system that is soaked."""
    return Plan(
        data_centres=("tukwila", "hillsboro", "quincy"),
        hosts=2,
        engines=2,
        services=1,
        adapters=60,
        loads_per_s=6.0,
        relayed=True,
        timing=FAST_TIMING,
        claims=FAST_CLAIMS,
        limits=SHORT_REQUESTS,
    )


def soaking(duration_s: float) -> Callable[[Trial], Awaitable[None]]:
    """Return a fault that brings about one fault after another for a time."""

    async def soak(trial: Trial) -> None:
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            fault = trial.random.choice(FAULTS)
            await fault(trial)
            recovered_s = await settle(trial)
            print(
                f"{fault.__name__}: answers again after {recovered_s:.1f} s", flush=True
            )

    return soak


def main() -> int:
    """Soak for a time and print what was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=300)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=12)
    arguments = parser.parse_args()
    directory = Path(tempfile.mkdtemp(prefix="sardinequay-soak-"))
    load = LoadPlan(workers=arguments.workers, adapters=30)
    print(f"seed {arguments.seed}, {arguments.seconds:.0f} s, {load}", flush=True)
    trial = make_trial(directory, plan(), load, arguments.seed)
    try:
        verdict = asyncio.run(run_trial(trial, soaking(arguments.seconds)))
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    for name, count in sorted(verdict.outcomes.items()):
        print(f"{name}: {count}")
    for line in (*verdict.breaches, *verdict.logged_errors):
        print(f"BROKEN {line}")
    lost = len(verdict.breaches)
    print(f"promises broken: {lost}; bugs logged: {len(verdict.logged_errors)}")
    return 1 if lost or verdict.logged_errors else 0


if __name__ == "__main__":
    sys.exit(main())
