"""Workers that fail what they start get nothing for a while.

Answers workers that fail every task while they announce themselves as healthy: each failure uses up
an attempt of a task that would be done elsewhere.
"""

from __future__ import annotations

from collections.abc import Collection

from acaciastand.workflow.worker import WorkerView

FAILURES_TO_QUARANTINE = 2  # tasks of different jobs that failed on a worker since a success
FIRST_PAUSE_SECONDS = 3.0  # doubles each time until a task succeeds
MAX_PAUSE_SECONDS = 24.0
MAX_QUARANTINED_SHARE = 0.34  # of all workers


def record_failure(
    worker: WorkerView, job_id: str, workers: Collection[WorkerView], now: float
) -> float:
    """Count a failure and return for how long the worker is set aside, 0 if it is not."""
    if job_id not in worker.recent_failures:
        worker.recent_failures.append(job_id)
    if len(worker.recent_failures) < FAILURES_TO_QUARANTINE:
        return 0.0
    quarantined = sum(1 for other in workers if now < other.quarantined_until)
    if quarantined + 1 > MAX_QUARANTINED_SHARE * len(workers):
        return 0.0
    pause = min(FIRST_PAUSE_SECONDS * 2**worker.quarantine_count, MAX_PAUSE_SECONDS)
    worker.quarantined_until = now + pause
    worker.quarantine_count += 1
    return pause


def record_success(worker: WorkerView) -> None:
    """Forget the failures of a worker that completes a task."""
    worker.recent_failures.clear()
    worker.quarantine_count = 0
