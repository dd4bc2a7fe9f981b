"""Case 10: jobs whose starts an unhealthy worker has all refused count as begun."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import BOUNDS, Record, Site, play  # noqa: E402

FILLER = "00000000000f111e"
WORKERS = 12  # One of them is 0.083, less than the share of 0.085 that is unhealthy at once.
CPU = 16000
JOBS = 20
TASK_CPU = 8000
SICK_SECONDS = 6.4  # Workers are unhealthy for 6.5 s.
MARGIN_SECONDS = 2.0  # Of the rule, beyond `visible_ms`.


def job_id(number: int) -> str:
    """Return the id of a waiting job."""
    return f"{0x77AA0000 + number:016x}"


def case(record: Record, trouble: bool) -> list[str]:
    """Ask for the number of waiting jobs while nearly all room is taken."""
    site = Site(record, WORKERS, CPU)
    try:
        site.start()
        # Tasks that last take all the room of all workers but one.
        status = site.submit(
            "entry-1", FILLER, {"cpu": CPU}, CPU, 1000, count=WORKERS - 1, longRunning=True
        )
        if status != 200:
            raise RuntimeError(f"the first job was answered with {status}")
        site.wait(lambda: sum(len(w.runs) for w in site.workers) == WORKERS - 1, 10.0)
        free = next(worker for worker in site.workers if not worker.runs)
        time.sleep(1.5)
        free.sick = trouble
        sick_at = time.monotonic()
        record(free.name, "is unhealthy" if trouble else "is the only one with room")
        accepted: dict[str, float] = {}
        for number in range(JOBS):
            spec = {"cpu": TASK_CPU, "seconds": 60.0}
            entry = f"entry-{number % 3 + 1}"
            if site.submit(entry, job_id(number), spec, TASK_CPU, 60000) == 200:
                accepted[job_id(number)] = record.now()
        if len(accepted) < JOBS / 2:
            raise RuntimeError(f"only {len(accepted)} jobs were accepted")
        broken = []
        time.sleep(max(0.0, sick_at + SICK_SECONDS - 0.6 - time.monotonic()))
        for entry in site.entries:
            asked_at = record.now()
            status, answer = site.call(entry, "GET", "")
            begun = {row["task"].partition(".")[0] for row in site.history()}
            limit = asked_at - BOUNDS["visible_ms"] / 1000 - MARGIN_SECONDS
            waiting = [job for job, at in accepted.items() if at < limit and job not in begun]
            said = answer["waiting"] if status == 200 else None
            record("case", f"{entry} says {said}, {len(waiting)} jobs wait for over 5 s")
            if said is not None and said < len(waiting) / 2:
                broken.append(f"MIXED: {entry} says that {said} jobs wait; {len(waiting)} do")
        if time.monotonic() > sick_at + SICK_SECONDS:
            raise RuntimeError("the worker was unhealthy for too long")
        return broken
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
