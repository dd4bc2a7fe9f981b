"""The store is down while more than 500 tasks of one worker end."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, run_case  # noqa: E402

OUTAGE_S = 4.5
JOB = "00000000000000a1"
TASKS = 900
TASK_S = 0.5
# One worker has the label that the tasks need.
STEP = {"count": TASKS, "cpu": 50, "memMb": 32, "estimateMs": 500, "requires": "b"}


async def play(site: Deployment, trouble: bool) -> list[str]:
    """Submit one job of many short tasks, and have the store down while they run."""
    body = {"spec": json.dumps({"seconds": TASK_S}), "steps": [STEP]}
    status, _ = await site.request("front-1", "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(0.3)
    if trouble:
        site.record.write("store: down", how="busy", seconds=OUTAGE_S)
        site.store.down = "busy"
        await asyncio.sleep(OUTAGE_S)
        site.store.down = ""
        site.record.write("store: back")
    for _ in range(60):
        await asyncio.sleep(1.0)
        _, answer = await site.request("front-2", "GET", JOB)
        if answer and answer.get("state") != "running":
            break
    await asyncio.sleep(1.0)
    return twice(site)


def twice(site: Deployment) -> list[str]:
    """Return where a run began after a run of the task had ended `done`, and that was noted."""
    broken = []
    done: dict[str, Any] = {}
    for run in site.history():
        former = done.get(run.task)
        if former is not None and former.ended <= run.began and former.noted:
            broken.append(
                f"TWICE: {run.task} run {run.run} began {run.began - former.ended:.2f} s after "
                f"run {former.run} had ended done, which was noted"
            )
        if run.how == "done" and former is None:
            done[run.task] = run
    return broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, entries=3, workers=3, play=play))
