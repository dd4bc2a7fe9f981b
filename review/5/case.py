"""A route is removed and added again while a job on it runs; one run of the job fails meanwhile."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import ROUTE, Deployment, run_case  # noqa: E402

JOB = "00000000000000d1"
OTHER = {**ROUTE, "name": "other", "prefix": "/other/"}
STEP = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 4000}
MAX_ATTEMPTS = ROUTE["maxAttempts"]


async def play(site: Deployment, trouble: bool) -> list[str]:
    """Submit a job whose first runs fail after 4 s, and change the configuration meanwhile."""
    body = {"spec": json.dumps({"seconds": 4.0, "fail_runs": [1]}), "steps": [STEP]}
    status, _ = await site.request("front-1", "POST", JOB, body)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    await asyncio.sleep(1.0)
    await site.configure(4, [OTHER] if trouble else [ROUTE, OTHER])
    await asyncio.sleep(5.0)
    await site.configure(9, [ROUTE, OTHER])
    await asyncio.sleep(3.0)  # configApplyMs is 2,000.
    end = time.monotonic() + 20.0
    state = ""
    while time.monotonic() < end and state not in ("completed", "failed", "cancelled"):
        _, answer = await site.request("front-2", "GET", JOB)
        state = (answer or {}).get("state", "")
        await asyncio.sleep(0.5)
    failed: dict[str, int] = {}
    for run in site.history():
        failed[run.task] = failed.get(run.task, 0) + (run.how == "failed")
    most = max(failed.values(), default=0)
    if state == "failed" and most < MAX_ATTEMPTS:
        return [
            f"LOST: {JOB} is shown as failed, though no task has failed more than {most} "
            f"times of {MAX_ATTEMPTS}"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(HERE, entries=3, workers=3, play=play))
