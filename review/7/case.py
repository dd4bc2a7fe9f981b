"""Case 7: a run number is given twice after a takeover, and a second takeover doubles the task."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import BOUNDS, Record, Run, Site, Worker, play  # noqa: E402

JOB = "e3b7094c5a1df286"
WORKERS = 6  # One of them is 0.167, less than the share of 0.17 that is cut off at once.
LARGE_CPU = 24000  # The large worker gets the task first.
CUT_SECONDS = 12.0
RESTART_SECONDS = 0.7  # A killed process is started again after a short delay.
# Short jobs before the second kill; their ends let the agents report soon.
LOAD_JOBS, LOAD_TASKS, LOAD_CPU, LOAD_SECONDS = 40, 6, 250, 1.7
TASK_SECONDS = 30.0
STOP_SECONDS = 0.88  # Less than `stopTimeoutMs`, which is 900 at the site.


def overlaps(rows: list[dict[str, Any]]) -> list[str]:
    """Return the pairs of runs of one task that were at work at the same time."""
    broken = []
    for number, first in enumerate(rows):
        for second in rows[number + 1 :]:
            begin = max(first["began"], second["began"])
            end = min(row["ended"] or float("inf") for row in (first, second))
            if first["task"] == second["task"] and begin < end:
                broken.append(
                    f"TWICE: run {first['run']} of {first['task']} on {first['worker']} and run"
                    f" {second['run']} on {second['worker']} both run from {begin:.3f} to {end:.3f}"
                )
    return broken


def case(record: Record, trouble: bool) -> list[str]:
    """Kill the owner as its order is taken, cut that agent off, and kill the next owner later."""
    BOUNDS["stopTimeoutMs"], BOUNDS["maxHoldMs"] = 900, 6000  # Those of the site.
    site = Site(record, WORKERS, cpu=16000)
    large = site.workers[-1]
    large.cpu = LARGE_CPU
    link = site.link(f"agent-{WORKERS}")
    taken = threading.Event()
    again = threading.Event()
    owner = ""

    def restart(name: str) -> None:
        time.sleep(RESTART_SECONDS)
        site.start_process(name)

    def begun(worker: Worker, run: Run) -> None:
        if not run.task.startswith(JOB):
            return
        if taken.is_set():
            again.set()
            return
        taken.set()
        if trouble:
            link.is_open.clear()
            site.kill(owner)
            record(f"agent-{WORKERS}", "is cut off from the entries")
            threading.Thread(target=restart, args=(owner,), daemon=True).start()

    try:
        site.start()
        for worker in site.workers:
            worker.on_begin = begun
            worker.stop_seconds = STOP_SECONDS
        owner = site.owner()
        others = [entry for entry in site.entries if entry != owner]
        spec = {"cpu": 500, "seconds": TASK_SECONDS}
        status = site.submit(others[0], JOB, spec, 500, int(TASK_SECONDS * 1000))
        if status != 200 or not taken.wait(5.0):
            raise RuntimeError(f"the job was answered with {status}, or did not start")
        if trouble:
            is_again = again.wait(CUT_SECONDS - 0.5)
            time.sleep(0.5)
            link.is_open.set()
            record(f"agent-{WORKERS}", "is reached again")
            if not is_again:
                raise RuntimeError("the task did not start again")
            time.sleep(1.0)
            second = site.owner()
            third = next(entry for entry in site.entries if entry != second)
            for number in range(LOAD_JOBS):
                load = {"cpu": LOAD_CPU, "seconds": LOAD_SECONDS}
                job_id = f"{0x10AD0000 + number:016x}"
                site.submit(third, job_id, load, LOAD_CPU, 1500, count=LOAD_TASKS)
                time.sleep(0.02)
            site.kill(second)
            restart(second)
            time.sleep(8.0)
        else:
            time.sleep(20.0)
        return overlaps([row for row in site.history() if row["task"].startswith(JOB)])
    finally:
        link.is_open.set()
        site.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
