"""Case 10: after the owner is lost, the other entries give an old number of waiting jobs."""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from standins import BOUNDS, Record, Site, play  # noqa: E402

FILLER = "00000000000f111e"
WORKERS = 3
CPU = 16000
JOBS = 12
MARGIN_SECONDS = 2.0  # Of the rule, beyond `visible_ms`.
RESTART_SECONDS = 0.7  # A killed process is started again after a short delay.


def job_id(number: int) -> str:
    """Return the id of a waiting job."""
    return f"{0x55CC0000 + number:016x}"


def case(record: Record, trouble: bool) -> list[str]:
    """Kill the owner while jobs wait, and ask the other entries how many do."""
    site = Site(record, WORKERS, CPU)
    try:
        site.start()
        status = site.submit(
            "entry-1", FILLER, {"cpu": CPU}, CPU, 1000, count=WORKERS, longRunning=True
        )
        if status != 200:
            raise RuntimeError(f"the first job was answered with {status}")
        site.wait(lambda: sum(len(w.runs) for w in site.workers) == WORKERS, 10.0)
        accepted: dict[str, float] = {}
        for number in range(JOBS):
            entry = f"entry-{number % 3 + 1}"
            if site.submit(entry, job_id(number), {"cpu": 8000, "seconds": 60.0}, 8000, 60000) == 200:
                accepted[job_id(number)] = record.now()
        if len(accepted) < JOBS / 2:
            raise RuntimeError(f"only {len(accepted)} jobs were accepted")
        time.sleep(BOUNDS["visible_ms"] / 1000 + MARGIN_SECONDS + 0.5)
        owner = site.owner()
        others = [entry for entry in site.entries if entry != owner]
        if not owner:
            raise RuntimeError("there is no owner")
        if trouble:
            site.kill(owner)
        killed_at = time.monotonic()
        broken = []
        for entry in others * 2:
            asked_at = record.now()
            status, answer = site.call(entry, "GET", "")
            begun = {row["task"].partition(".")[0] for row in site.history()}
            limit = asked_at - BOUNDS["visible_ms"] / 1000 - MARGIN_SECONDS
            waiting = [job for job, at in accepted.items() if at < limit and job not in begun]
            said = answer["waiting"] if status == 200 else None
            record("case", f"{entry} says {said}, {len(waiting)} jobs wait for over 5 s")
            if said is not None and said < len(waiting) / 2:
                broken.append(f"MIXED: {entry} says that {said} jobs wait; {len(waiting)} do")
            time.sleep(0.1)
        if trouble:
            time.sleep(max(0.0, killed_at + RESTART_SECONDS - time.monotonic()))
            site.start_process(owner)
        return broken
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, case))
