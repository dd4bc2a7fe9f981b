"""Quarantine of workers whose tasks fail.

Designed for workers that fail every task while they announce themselves as healthy. Each failure
uses up one of the failed runs that a task may have, although the task would succeed elsewhere.
"""

from __future__ import annotations

from collections.abc import Collection

from acaciastand.workflow.worker import WorkerView

# Number of jobs of which a task failed on a worker since its last success.
FAILURES_TO_QUARANTINE = 2
FIRST_QUARANTINE_SECONDS = 3.0  # Doubles with each quarantine until a task succeeds.
MAX_QUARANTINE_SECONDS = 24.0
# Maximum share of all workers that are in quarantine at the same time.
MAX_QUARANTINED_SHARE = 0.34


def record_failure(
    worker: WorkerView, job_id: str, workers: Collection[WorkerView], now: float
) -> float:
    """Record a failed run and quarantine its worker if it is due.

    Parameters
    ----------
    worker
        Worker on which the run failed.
    job_id
        Id of the job of the run.
    workers
        All workers.
    now
        Seconds of the owner's clock.

    Returns
    -------
    float
        Duration of the quarantine in seconds; 0 if the worker is not quarantined now.
    """
    if job_id not in worker.recently_failed_jobs:
        worker.recently_failed_jobs.append(job_id)
    if len(worker.recently_failed_jobs) < FAILURES_TO_QUARANTINE:
        return 0.0
    quarantined = sum(1 for other in workers if now < other.quarantined_until)
    if quarantined + 1 > MAX_QUARANTINED_SHARE * len(workers):
        return 0.0
    seconds = min(FIRST_QUARANTINE_SECONDS * 2**worker.quarantine_count, MAX_QUARANTINE_SECONDS)
    worker.quarantined_until = now + seconds
    worker.quarantine_count += 1
    return seconds


def record_success(worker: WorkerView) -> None:
    """Clear the recorded failures of a worker that completed a task."""
    worker.recently_failed_jobs.clear()
    worker.quarantine_count = 0
