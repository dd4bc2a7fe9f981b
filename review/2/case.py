"""A worker crashes while a scheduled job runs; its next occurrence has to wait for room."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import Deployment, run_case  # noqa: E402

JOB = "00000000000000b2"
OCCURRENCES = 18
INTERVAL_MS = 2500
TASK_S = 1.5
DOWN_S = 4.5
CALM_S = 4.0
AWAY_S = 3.0
# Two of the eight workers have the label; together they have room for all tasks of an occurrence.
STEP = {"count": 16, "cpu": 2000, "memMb": 512, "estimateMs": 1500, "requires": "b"}


async def play(site: Deployment, trouble: bool) -> list[str]:
    """Submit a scheduled job, and let one of its two workers crash once."""
    body = {
        "spec": json.dumps({"seconds": TASK_S}),
        "steps": [STEP],
        "repeatCount": OCCURRENCES,
        "startAtMs": int(time.time() * 1000) + 1000,
        "intervalMs": INTERVAL_MS,
    }
    status, _ = await site.request("front-1", "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(1.0 + 0.3)
    if trouble:
        worker = site.workers["side-2"]
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()
    end = time.monotonic() + 75.0
    state = ""
    while time.monotonic() < end and state not in ("completed", "failed", "cancelled"):
        await asyncio.sleep(1.0)
        _, answer = await site.request("front-2", "GET", JOB)
        state = (answer or {}).get("state", "")
    return at_once(site) + idle(site, state)


def idle(site: Deployment, state: str) -> list[str]:
    """Return whether the job is left with nothing running, with all of its workers empty.

    The disruption ended long before.
    """
    if state != "running" or any(worker.running for worker in site.workers.values()):
        return []
    last = max(run.ended for run in site.history())
    away = time.monotonic() - last
    if away <= CALM_S + AWAY_S:
        return []
    return [f"LOST: {JOB} is running, but none of its tasks has run for {away:.1f} s"]


def at_once(site: Deployment) -> list[str]:
    """Return where a run of a task began while another was at work and was not being stopped."""
    by_task: dict[str, list[Any]] = {}
    for run in site.history():
        by_task.setdefault(run.task, []).append(run)
    broken = []
    now = time.monotonic()
    for task, runs in by_task.items():
        for number, earlier in enumerate(runs):
            for later in runs[number + 1 :]:
                at_work_until = earlier.stopped_at or earlier.ended or now
                if at_work_until > later.began:
                    broken.append(
                        f"TWICE: {task} run {later.run} began on {later.worker} while run "
                        f"{earlier.run} was at work on {earlier.worker}, for "
                        f"{at_work_until - later.began:.3f} s"
                    )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, entries=3, workers=8, labelled=2, play=play))
