"""Checks of the soak on the runs that the workers have seen."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from acaciastand_standin.platform_worker import Run


class SubmittedJob(Protocol):
    """What the checks need of a job; its steps follow one another."""

    job_id: str
    steps: list[dict[str, Any]]


def early_starts(jobs: Iterable[SubmittedJob], history: Sequence[Run]) -> list[str]:
    """Return the runs that began before the step before theirs was done."""
    done: dict[tuple[str, int], list[float]] = {}
    for run in history:
        job_id, _, step, _ = run.task.split(".")
        if run.how == "done":
            done.setdefault((job_id, int(step)), []).append(run.ended)
    counts = {job.job_id: [step["count"] for step in job.steps] for job in jobs}
    problems = []
    for run in history:
        job_id, _, step, _ = run.task.split(".")
        if not int(step):
            continue
        before = [t for t in done.get((job_id, int(step) - 1), []) if t <= run.began]
        if len(before) < counts[job_id][int(step) - 1]:
            problems.append(f"{run.task}: began before step {int(step) - 1} was done")
    return problems
