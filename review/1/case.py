"""A worker machine restarts: its agent and its worker are both away for half a second."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, run_case  # noqa: E402

JOB = "00000000000000b1"
TASKS = 11
UPTIME_S = 20.0  # The agents have run for this long when the job comes.
POWER_OFF_S = 0.5
CALM_S = 4.0  # A task that lasts may be away in a span that is not calm yet,
LAST_RUN_S = 6.0  # for this long after its last run,
AWAY_S = 3.0  # and for this long in a calm span.
STEP = {"count": TASKS, "cpu": 2000, "memMb": 1024, "longRunning": True, "antiAffinity": 1}


async def play(site: Deployment, trouble: bool) -> list[str]:
    """Submit a job of tasks that last, and restart one of eleven worker machines."""
    await asyncio.sleep(UPTIME_S)
    body = {"spec": json.dumps({}), "steps": [STEP]}
    status, _ = await site.request("front-1", "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(3.0)
    if trouble:
        await restart_machine(site, "side-2")
    back_at = time.monotonic()
    broken = []
    while time.monotonic() < back_at + LAST_RUN_S + CALM_S + AWAY_S + 2.0:
        await asyncio.sleep(0.1)
        broken = away(site, back_at)
        if broken:
            break
    await site.request("front-1", "GET", JOB)
    return broken


async def restart_machine(site: Deployment, name: str) -> None:
    """Cut the power of a worker machine, and start its agent and its worker again."""
    site.record.write("power off", machine=name, seconds=POWER_OFF_S)
    site.processes[name].end()
    await site.workers[name].crash()
    await asyncio.sleep(POWER_OFF_S)
    site.processes[name].start()
    await site.workers[name].start()
    site.record.write("power on", machine=name)


def away(site: Deployment, calm_since: float) -> list[str]:
    """Return the tasks that have not run for too long, with room for them twice over."""
    now = time.monotonic()
    last = {}
    for run in site.history():
        last[run.task] = run
    broken = []
    for index in range(TASKS):
        run = last.get(f"{JOB}.0.0.{index}")
        if run is None or not run.ended:
            continue
        since = max(run.ended + LAST_RUN_S, calm_since + CALM_S)
        if now - since > AWAY_S:
            broken.append(
                f"LOST: {run.task} has not run for {now - run.ended:.1f} s, "
                f"though {sum(w.up for w in site.workers.values())} workers are up and mostly free"
            )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, entries=3, workers=11, play=play))
