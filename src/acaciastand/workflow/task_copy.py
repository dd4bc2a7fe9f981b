"""Copies of a task that run beside its current run."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

# Attributes of `Task` that tell of its current run.
RUN_FIELDS = (
    "state",
    "run",
    "agent_id",
    "born_ms",
    "start_state",
    "missed_polls",
    "percent",
    "measurement",
    "started_at",
    "is_run_timed",
    "is_run_resumed",
    "after_poll",
    "stop_confirmed_at",
    "stop_is_over",
    "stop_sent_at",
)


def _shared(name: str) -> Any:
    """Return a property for an attribute that a copy shares with its task."""

    def read(copy: TaskCopy) -> Any:
        return getattr(copy.task, name)

    def write(copy: TaskCopy, value: Any) -> None:
        setattr(copy.task, name, value)

    return property(read, write)


class TaskCopy(Task):
    """Another run of a task, on another worker than its current run, if it has one.

    Once the task is done, its runs that have not ended yet are all copies. A copy stands in
    `WorkerView.tasks` like a task, so that whatever holds for the current run of a task holds for
    the copy: how its start and its end are proven, and what it reserves. All that does not belong
    to a single run is shared with the task.

    Parameters
    ----------
    task
        Task that runs a further time.
    """

    __slots__ = ("task",)

    other_run = _shared("other_run")
    failures = _shared("failures")
    failed_runs = _shared("failed_runs")
    checkpoint = _shared("checkpoint")
    not_before = _shared("not_before")
    waiting_since = _shared("waiting_since")
    avoided_agent_id = _shared("avoided_agent_id")
    ended_runs = _shared("ended_runs")
    has_begun = _shared("has_begun")
    last_run_seconds = _shared("last_run_seconds")
    overdue_restarts = _shared("overdue_restarts")
    crashes = _shared("crashes")
    copy_run = _shared("copy_run")
    copies_started = _shared("copies_started")

    def __init__(self, task: Task) -> None:  # Task.__init__ would reset what is shared.
        self.task = task
        self.job = task.job
        self.name = task.name
        self.key = task.key
        self.step = task.step
        self.copies = ()
        self.clear_run()
        task.copies = (*task.copies, self)

    def find_run(self, run: int) -> Task | None:
        """Return the task or the copy of it whose current run has this number, or None."""
        return self.task.find_run(run)

    def other_runs(self) -> list[Task]:
        """Return the task and its copies except this one, each with its current run."""
        return [run for run in (self.task, *self.task.copies) if run is not self]

    def discard(self) -> None:
        """Take the copy, whose run has left its worker, off its task."""
        self.clear_run()
        self.task.copies = tuple(other for other in self.task.copies if other is not self)


def promote_copy(task: Task, workers: Mapping[str, WorkerView]) -> None:
    """Make the run of the first copy the current run of a task that has none."""
    copy = task.copies[0]
    assert isinstance(copy, TaskCopy)
    task.record_run(task.run)
    _hand_over(copy, task, workers)
    copy.discard()


def detach_run(task: Task, workers: Mapping[str, WorkerView]) -> None:
    """Make the current run of a task that is done a copy, which lasts until the run is gone."""
    _hand_over(task, TaskCopy(task), workers)
    task.state = TaskState.WAITING
    task.agent_id = ""


def _hand_over(former: Task, holder: Task, workers: Mapping[str, WorkerView]) -> None:
    for name in RUN_FIELDS:
        setattr(holder, name, getattr(former, name))
    workers[holder.agent_id].tasks[holder.key] = holder
