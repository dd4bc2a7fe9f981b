"""Remaining work of the jobs that are due, and what of it can start."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from acaciastand.record import Record
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import Job, Task
from acaciastand.workflow.placement import could_hold
from acaciastand.workflow.ranking import MAX_WAIT_FACTOR, PriorityKey, priority_key
from acaciastand.workflow.spec import StepSpec
from acaciastand.workflow.worker import WorkerView

# Share of the work of a priority that is late from which on the priority is short of room. Single
# jobs that are late after a failed run are no shortage.
MIN_LATE_SHARE = 0.25

# Id of a job and number of its occurrence.
OccurrenceKey = tuple[str, int]


class OpenWork(Record):
    """Remaining work of an occurrence of a job that is due.

    Parameters
    ----------
    job, queue, occurrence
        The job, its queue and the number of the occurrence.
    core_seconds
        The work, by corrected estimates.
    cost
        The work in proportion to the worth of the job.
    slack_seconds, late_seconds
        Time that the occurrence can still wait to complete in time, and time after its objective
        for which it is worth something.
    is_startable
        Whether a task waits that a worker in service could hold if it were empty.
    is_running
        Whether a task is on a worker.
    """

    __slots__ = (
        "job",
        "queue",
        "occurrence",
        "core_seconds",
        "cost",
        "slack_seconds",
        "late_seconds",
        "is_startable",
        "is_running",
    )

    def __init__(
        self,
        job: Job,
        queue: Queue,
        occurrence: int,
        core_seconds: float,
        cost: float,
        slack_seconds: float,
        late_seconds: float,
        is_startable: bool,
        is_running: bool,
    ) -> None:
        self.job = job
        self.queue = queue
        self.occurrence = occurrence
        self.core_seconds = core_seconds
        self.cost = cost
        self.slack_seconds = slack_seconds
        self.late_seconds = late_seconds
        self.is_startable = is_startable
        self.is_running = is_running

    @property
    def is_late(self) -> bool:
        """Whether the occurrence cannot complete in time any more."""
        return self.slack_seconds < 0

    @property
    def is_worthless(self) -> bool:
        """Whether the occurrence is worth nothing when it completes."""
        return self.slack_seconds < -self.late_seconds

    @property
    def has_waited_long(self) -> bool:
        """Whether the occurrence may go first, so that it does not wait for ever."""
        return self.slack_seconds < -MAX_WAIT_FACTOR * self.late_seconds


def occurrence_key(task: Task) -> OccurrenceKey:
    """Return the job and the occurrence of a task."""
    return (task.job.job_id, task.name.occurrence)


def startable_occurrences(
    waiting: Iterable[Task], workers: Mapping[str, Collection[WorkerView]], catalog: Catalog
) -> set[OccurrenceKey]:
    """Return the occurrences with a waiting task that a worker could hold if it were empty.

    Parameters
    ----------
    workers
        Workers that may be given work, by service.
    """
    startable: set[OccurrenceKey] = set()
    known: dict[tuple[str, int, int], bool] = {}
    for task in waiting:
        key = occurrence_key(task)
        queue = catalog.by_name(task.job.queue)
        if queue is None or key in startable:
            continue
        step_key = (*key, task.name.step)
        if step_key not in known:
            known[step_key] = _has_holder(task.step, workers.get(queue.service, ()))
        if known[step_key]:
            startable.add(key)
    return startable


def _has_holder(step: StepSpec, workers: Iterable[WorkerView]) -> bool:
    return any(could_hold(step, worker) for worker in workers)


def short_priorities(open_work: Iterable[OpenWork]) -> set[PriorityKey]:
    """Return the services and priorities of which much of the work is late.

    Work that no worker can take, or that is worth nothing any more, is not for want of room.
    """
    sums: dict[PriorityKey, list[float]] = {}
    for work in open_work:
        if work.is_worthless or not (work.is_startable or work.is_running):
            continue
        late_and_all = sums.setdefault(priority_key(work.queue), [0.0, 0.0])
        late_and_all[0] += work.core_seconds if work.is_late else 0.0
        late_and_all[1] += work.core_seconds
    return {key for key, (late, total) in sums.items() if late >= MIN_LATE_SHARE * total > 0}


def longest_waiting(open_work: Iterable[OpenWork]) -> dict[PriorityKey, OccurrenceKey]:
    """Return for each service and priority the oldest occurrence that has waited for too long."""
    oldest: dict[PriorityKey, OpenWork] = {}
    for work in open_work:
        if not work.is_startable or not work.has_waited_long:
            continue
        key = priority_key(work.queue)
        if key not in oldest or work.job.accepted_unix < oldest[key].job.accepted_unix:
            oldest[key] = work
    return {key: (work.job.job_id, work.occurrence) for key, work in oldest.items()}
