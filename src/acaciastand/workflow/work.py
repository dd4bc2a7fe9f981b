"""Work of jobs in core-seconds, by the run times that their callers estimate."""

from __future__ import annotations

from acaciastand.workflow.job import Job
from acaciastand.workflow.spec import WorkflowSpec, step_core_seconds


def remaining_core_seconds(job: Job, occurrence: int) -> float:
    """Return the work of the tasks of an occurrence that are not done."""
    counts = job.open_task_counts
    return sum(
        step_core_seconds(step, counts[(occurrence, number)])
        for number, step in enumerate(job.spec.steps)
    )


def is_continuous(spec: WorkflowSpec) -> bool:
    """Return whether a job has a step that runs until the job is cancelled."""
    return any(step.continuous for step in spec.steps)


def open_occurrences(job: Job, now_unix: float) -> dict[int, int]:
    """Return the occurrences that are due and not complete, each with its first open step."""
    first_steps: dict[int, int] = {}
    for (occurrence, step), open_tasks in job.open_task_counts.items():
        is_due = now_unix >= job.spec.due_unix(occurrence)
        if open_tasks and is_due and occurrence not in first_steps:
            first_steps[occurrence] = step
    return first_steps
