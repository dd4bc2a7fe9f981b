"""Progress of jobs as it is stored."""

from __future__ import annotations

from typing import Any

from acaciastand.checks import check_flag, check_integer, check_list, check_number, check_text
from acaciastand.record import Record
from acaciastand.workflow.crashes import TaskCrash

# Fields of a row that may be missing: owners of former versions do not store them.
LATER_FIELDS: tuple[Any, ...] = ([], False, [], [])


class TaskProgress(Record):
    """Progress of a task that the owner has decided to start.

    Parameters
    ----------
    position
        Position of the task among the tasks of its job.
    last_run, failures, is_done, checkpoint, ended_runs, crashes, has_begun, failed_runs
        See `acaciastand.workflow.job.Task`.
    """

    __slots__ = (
        "position",
        "last_run",
        "failures",
        "is_done",
        "checkpoint",
        "ended_runs",
        "crashes",
        "has_begun",
        "failed_runs",
    )

    def __init__(
        self,
        position: int,
        last_run: int,
        failures: int,
        is_done: bool,
        checkpoint: str,
        ended_runs: set[int],
        crashes: list[TaskCrash],
        has_begun: bool,
        failed_runs: set[int],
    ) -> None:
        self.position = position
        self.last_run = last_run
        self.failures = failures
        self.is_done = is_done
        self.checkpoint = checkpoint
        self.ended_runs = ended_runs
        self.crashes = crashes
        self.has_begun = has_begun
        self.failed_runs = failed_runs

    def to_row(self) -> list[Any]:
        """Return the row that is stored.

        Owners of former versions ignore what follows the crashes, and accept four fields of each.
        """
        row = [
            self.position,
            self.last_run,
            self.failures,
            self.is_done,
            self.checkpoint,
            sorted(self.ended_runs),
        ]
        later = [
            [[c.run, c.ran_seconds, c.suspected, c.isolated] for c in self.crashes],
            self.has_begun,
            sorted(self.failed_runs),
            [crash.run for crash in self.crashes if not crash.confirmed],
        ]
        while later and not later[-1]:
            later.pop()
        return row + later

    @classmethod
    def from_row(cls, row: Any, task_count: int) -> TaskProgress:
        """Return the progress in a stored row of a job with `task_count` tasks.

        Raises
        ------
        ValueError
            The row holds a value that no such row holds.
        """
        position, last_run, failures, is_done, checkpoint, ended_runs, *later = check_list(row)
        later += LATER_FIELDS[len(later) :]
        crashes, has_begun, failed_runs, unconfirmed = later[: len(LATER_FIELDS)]
        unconfirmed_runs = _check_runs(unconfirmed)
        progress = cls(
            check_integer(position, 0, task_count - 1),
            check_integer(last_run),
            check_integer(failures),
            check_flag(is_done),
            check_text(checkpoint),
            _check_runs(ended_runs),
            [_crash_from_row(fields, unconfirmed_runs) for fields in check_list(crashes)],
            check_flag(has_begun),
            _check_runs(failed_runs),
        )
        # A row of a former version does not tell of the begin otherwise.
        progress.has_begun |= progress.is_done or bool(checkpoint or progress.ended_runs)
        return progress


def _check_runs(values: Any) -> set[int]:
    return {check_integer(run) for run in check_list(values)}


def _crash_from_row(fields: Any, unconfirmed_runs: set[int]) -> TaskCrash:
    run, ran_seconds, suspected, isolated = check_list(fields)
    return TaskCrash(
        check_integer(run),
        check_number(ran_seconds),
        check_flag(suspected),
        check_flag(isolated),
        run not in unconfirmed_runs,
    )


class JobProgress(Record):
    """Progress of a job.

    Parameters
    ----------
    cancelled, failed
        Whether the job was cancelled or has failed.
    ended_unix
        Unix time in seconds at which the job ended; 0 before.
    tasks
        Progress of the tasks that the owner has decided to start.
    """

    __slots__ = ("cancelled", "failed", "ended_unix", "tasks")

    def __init__(
        self,
        cancelled: bool = False,
        failed: bool = False,
        ended_unix: float = 0.0,
        tasks: list[TaskProgress] | None = None,
    ) -> None:
        self.cancelled = cancelled
        self.failed = failed
        self.ended_unix = ended_unix
        self.tasks = tasks or []

    def to_list(self) -> list[Any]:
        """Return the fields as they are stored."""
        rows = [task.to_row() for task in self.tasks]
        return [self.cancelled, self.failed, self.ended_unix, rows]

    @classmethod
    def from_list(cls, fields: Any, task_count: int) -> JobProgress:
        """Return the progress in the stored fields of a job with `task_count` tasks.

        Raises
        ------
        ValueError
            A field holds what no progress holds.
        """
        cancelled, failed, ended_unix, rows = check_list(fields)
        return cls(
            check_flag(cancelled),
            check_flag(failed),
            check_number(ended_unix),
            [TaskProgress.from_row(row, task_count) for row in check_list(rows)],
        )
