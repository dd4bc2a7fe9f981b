"""Durable state of a shard, the result of applying its events in order."""

from __future__ import annotations

from collections import defaultdict
from enum import IntEnum
from typing import Any

from acaciastand.errors import AcaciastandError
from acaciastand.record import Record
from acaciastand.shard.events import (
    UNREPORTED_ENDS,
    AttemptEnd,
    AttemptEnded,
    AttemptStarted,
    Event,
    JobCancelled,
    JobSubmitted,
    OwnerChanged,
    OwnerReleased,
    OwnershipAffirmed,
    TimingsChanged,
)
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import MAX_FINISHED_JOBS, MAX_TASK_FAILURES, Timings

BUCKET_PREFIX = "bucket/"
SNAPSHOT_VERSION = 1


class CorruptJournal(AcaciastandError):
    """An event contradicts the state it is applied to."""

    code = "corrupt_journal"


class TaskState(IntEnum):
    """State of a task."""

    WAITING = 0
    RUNNING = 1  # The last attempt has started and its end is not recorded.
    DONE = 2
    FAILED = 3
    CANCELLED = 4


class Task(Record):
    """A task of a job, or a bucket of a service.

    Parameters
    ----------
    attempt
        Number of the last attempt; 0 before the first.
    failures
        Number of attempts that failed or could not be started.
    checkpoint
        Reference from which the next attempt resumes; empty for none.
    agent_id, incarnation, epoch
        Agent and worker incarnation of the last attempt, and the owner's epoch when it started.
    last_end
        End of the last attempt; empty while it runs and before the first.
    """

    __slots__ = (
        "task_id",
        "state",
        "attempt",
        "failures",
        "checkpoint",
        "agent_id",
        "incarnation",
        "epoch",
        "last_end",
    )

    def __init__(
        self,
        task_id: str,
        state: int = TaskState.WAITING,
        attempt: int = 0,
        failures: int = 0,
        checkpoint: str = "",
        agent_id: str = "",
        incarnation: str = "",
        epoch: int = 0,
        last_end: str = "",
    ) -> None:
        self.task_id = task_id
        self.state = TaskState(state)
        self.attempt = attempt
        self.failures = failures
        self.checkpoint = checkpoint
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.epoch = epoch
        self.last_end = last_end

    @property
    def is_bucket(self) -> bool:
        """Whether the task is a bucket of a service's idempotency keys."""
        return self.task_id.startswith(BUCKET_PREFIX)


class Job(Record):
    """An unfinished job with its tasks.

    Parameters
    ----------
    key
        Idempotency key of the submission, with the team as prefix; empty for none.

    Attributes
    ----------
    counts
        Number of tasks in each state.
    """

    __slots__ = ("job_id", "key", "spec", "cancelled", "tasks", "counts")

    def __init__(self, job_id: str, key: str, spec: JobSpec, cancelled: bool = False) -> None:
        self.job_id = job_id
        self.key = key
        self.spec = spec
        self.cancelled = cancelled
        self.tasks = [Task(f"{job_id}/{number}") for number in range(spec.tasks)]
        self.counts = dict.fromkeys(TaskState, 0)
        self.counts[TaskState.WAITING] = spec.tasks

    @property
    def is_finished(self) -> bool:
        """Whether no task waits or runs."""
        return not self.counts[TaskState.WAITING] and not self.counts[TaskState.RUNNING]


class FinishedJobSummary(Record):
    """Summary of a finished job, kept for queries and repeated submissions.

    Parameters
    ----------
    counts
        Number of tasks in each state, in the order of `TaskState`.
    """

    __slots__ = ("job_id", "key", "name", "cancelled", "counts")

    def __init__(
        self, job_id: str, key: str, name: str, cancelled: bool, counts: list[int]
    ) -> None:
        self.job_id = job_id
        self.key = key
        self.name = name
        self.cancelled = cancelled
        self.counts = counts


def job_id_of(task_id: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_id.rpartition("/")[0]


class ShardState:
    """State of a shard after some number of its events.

    Parameters
    ----------
    number
        Number of the shard.

    Attributes
    ----------
    epoch, owner
        Epoch of the last takeover, and the entry that took over.
    timings
        Longest timings under which a running attempt may have been granted or renewed.
    release
        Release by the last owner; None when it has not released the shard.
    jobs, finished_jobs
        Unfinished and finished jobs by id, the oldest first.
    buckets
        Buckets that have had an attempt, by task id.
    job_ids_by_key
        Job ids by the idempotency key of the submission.
    team_cores
        Declared cores of the running tasks of each team.
    running, running_by_agent
        Running tasks and buckets by task id, and the same by agent id and task id.
    unfinished_task_count
        Number of tasks that wait or run.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.epoch = 0
        self.owner = ""
        self.timings = Timings()
        self.release: OwnerReleased | None = None
        self.jobs: dict[str, Job] = {}
        self.finished_jobs: dict[str, FinishedJobSummary] = {}
        self.buckets: dict[str, Task] = {}
        self.job_ids_by_key: dict[str, str] = {}
        self.team_cores: defaultdict[str, float] = defaultdict(float)
        self.running: dict[str, Task] = {}
        self.running_by_agent: defaultdict[str, dict[str, Task]] = defaultdict(dict)
        self.unfinished_task_count = 0

    def find_task(self, task_id: str) -> Task | None:
        """Return a bucket or a task of an unfinished job; None when it is unknown."""
        if task_id.startswith(BUCKET_PREFIX):
            return self.buckets.get(task_id)
        job_id, _, number = task_id.rpartition("/")
        job = self.jobs.get(job_id)
        if job is None or not number.isdecimal() or int(number) >= len(job.tasks):
            return None
        return job.tasks[int(number)]

    def apply(self, event: Event) -> None:
        """Apply one event to the state.

        Raises
        ------
        CorruptJournal
            The event contradicts the state.
        """
        match event:
            case JobSubmitted():
                self._add_job(event)
            case AttemptStarted():
                self._start_attempt(event)
            case AttemptEnded():
                self._end_attempt(event)
            case JobCancelled():
                self._cancel_job(event.job_id)
            case OwnerChanged():
                self.epoch = event.epoch
                self.owner = event.owner
                self._change_timings(event.timings)
                self.release = None
            case OwnerReleased():
                self.release = event
            case TimingsChanged():
                self._change_timings(event.timings)
            case OwnershipAffirmed():
                pass

    def _change_timings(self, timings: Timings) -> None:
        # Running attempts may still be renewed under the earlier timings.
        self.timings = timings.largest(self.timings) if self.running else timings

    def running_on(self, agent_id: str) -> list[Task]:
        """Return the tasks and buckets that run on an agent."""
        return list(self.running_by_agent.get(agent_id, {}).values())

    def withdraw_job(self, job_id: str) -> None:
        """Undo the submission of a job that was certainly not committed."""
        job = self.jobs.pop(job_id)
        self.job_ids_by_key.pop(job.key, None)
        self.unfinished_task_count -= job.spec.tasks

    def _add_job(self, event: JobSubmitted) -> None:
        self._register_job(Job(event.job_id, event.key, event.spec))

    def _start_attempt(self, event: AttemptStarted) -> None:
        if event.task_id.startswith(BUCKET_PREFIX):
            self.buckets.setdefault(event.task_id, Task(event.task_id))
        task = self.find_task(event.task_id)
        if task is None or task.state != TaskState.WAITING or event.attempt != task.attempt + 1:
            raise _contradiction(event)
        task.attempt = event.attempt
        task.agent_id = event.agent_id
        task.incarnation = event.incarnation
        task.epoch = event.epoch
        task.last_end = ""
        self._set_state(task, TaskState.RUNNING)

    def _end_attempt(self, event: AttemptEnded) -> None:
        task = self.find_task(event.task_id)
        if task is None or event.attempt != task.attempt:
            raise _contradiction(event)
        replaces_end = task.state == TaskState.WAITING and task.last_end in UNREPORTED_ENDS
        if task.state != TaskState.RUNNING and not replaces_end:
            raise _contradiction(event)
        task.last_end = str(event.end)
        if event.checkpoint:
            task.checkpoint = event.checkpoint
        if event.end in (AttemptEnd.FAILED, AttemptEnd.START_FAILED):
            task.failures += 1
        self._set_state(task, self._state_after(task, event.end))

    def _state_after(self, task: Task, end: AttemptEnd) -> TaskState:
        if task.is_bucket:
            return TaskState.WAITING
        if end == AttemptEnd.COMPLETED:
            return TaskState.DONE
        if self.jobs[job_id_of(task.task_id)].cancelled:
            return TaskState.CANCELLED
        if task.failures >= MAX_TASK_FAILURES:
            return TaskState.FAILED
        return TaskState.WAITING

    def _cancel_job(self, job_id: str) -> None:
        job = self.jobs[job_id]
        job.cancelled = True
        for task in job.tasks:
            if task.state == TaskState.WAITING:
                self._set_state(task, TaskState.CANCELLED, finish_job=False)
        self._finish_if_done(job)

    def _set_state(self, task: Task, state: TaskState, finish_job: bool = True) -> None:
        before = task.state
        task.state = state
        if state == TaskState.RUNNING:
            self._add_running(task)
        elif before == TaskState.RUNNING:
            self._remove_running(task)
        if not task.is_bucket:
            self._update_counts(self.jobs[job_id_of(task.task_id)], before, state, finish_job)

    def _add_running(self, task: Task) -> None:
        self.running[task.task_id] = task
        self.running_by_agent[task.agent_id][task.task_id] = task

    def _remove_running(self, task: Task) -> None:
        del self.running[task.task_id]
        del self.running_by_agent[task.agent_id][task.task_id]
        if not self.running_by_agent[task.agent_id]:
            del self.running_by_agent[task.agent_id]

    def _update_counts(
        self, job: Job, before: TaskState, after: TaskState, finish_job: bool
    ) -> None:
        job.counts[before] -= 1
        job.counts[after] += 1
        running = (after == TaskState.RUNNING) - (before == TaskState.RUNNING)
        self.team_cores[job.spec.team] += running * job.spec.size.cores
        self.unfinished_task_count -= after > TaskState.RUNNING
        if finish_job:
            self._finish_if_done(job)

    def _finish_if_done(self, job: Job) -> None:
        if not job.is_finished:
            return
        del self.jobs[job.job_id]
        counts = [job.counts[state] for state in TaskState]
        self._add_finished_job(
            FinishedJobSummary(job.job_id, job.key, job.spec.name, job.cancelled, counts)
        )

    def _add_finished_job(self, finished: FinishedJobSummary) -> None:
        self.finished_jobs[finished.job_id] = finished
        if len(self.finished_jobs) > MAX_FINISHED_JOBS:
            oldest = self.finished_jobs.pop(next(iter(self.finished_jobs)))
            self.job_ids_by_key.pop(oldest.key, None)

    def snapshot(self) -> list[Any]:
        """Return the state as a list that CBOR can encode."""
        release = self.release.plain()[1:] if self.release else None
        return [
            SNAPSHOT_VERSION,
            self.epoch,
            self.owner,
            list(self.timings.values()),
            release,
            [_plain_job(job) for job in self.jobs.values()],
            [list(job.values()) for job in self.finished_jobs.values()],
            [_plain_task(task) for task in self.buckets.values()],
        ]

    @classmethod
    def from_snapshot(cls, number: int, items: list[Any]) -> ShardState:
        """Return the state that :meth:`snapshot` turned into `items`."""
        state = cls(number)
        state.epoch, state.owner = items[1], items[2]
        state.timings = Timings(*items[3])
        state.release = OwnerReleased(*items[4]) if items[4] is not None else None
        for fields in items[6]:
            state._restore_finished_job(FinishedJobSummary(*fields))
        for job_id, key, spec, cancelled, tasks in items[5]:
            state._restore_job(Job(job_id, key, JobSpec.from_plain(spec), cancelled), tasks)
        for fields in items[7]:
            task = Task(*fields)
            state.buckets[task.task_id] = task
            if task.state == TaskState.RUNNING:
                state._add_running(task)
        return state

    def _restore_finished_job(self, finished: FinishedJobSummary) -> None:
        self.finished_jobs[finished.job_id] = finished
        if finished.key:
            self.job_ids_by_key[finished.key] = finished.job_id

    def _restore_job(self, job: Job, tasks: list[list[Any]]) -> None:
        self._register_job(job)
        for number, *fields in tasks:
            task = Task(f"{job.job_id}/{number}", *fields)
            job.tasks[number] = task
            job.counts[TaskState.WAITING] -= 1
            job.counts[task.state] += 1
            if task.state == TaskState.RUNNING:
                self._add_running(task)
                self.team_cores[job.spec.team] += job.spec.size.cores
            self.unfinished_task_count -= task.state > TaskState.RUNNING

    def _register_job(self, job: Job) -> None:
        self.jobs[job.job_id] = job
        self.unfinished_task_count += job.spec.tasks
        if job.key:
            self.job_ids_by_key[job.key] = job.job_id


def _contradiction(event: Event) -> CorruptJournal:
    return CorruptJournal(f"{event} contradicts the shard's state", "report this as a defect")


def _plain_task(task: Task) -> list[Any]:
    fields = list(task.values())
    fields[1] = int(task.state)
    return fields


def _plain_job(job: Job) -> list[Any]:
    started = [
        [number, *_plain_task(task)[1:]]
        for number, task in enumerate(job.tasks)
        if task.attempt or task.state != TaskState.WAITING
    ]
    return [job.job_id, job.key, job.spec.plain(), job.cancelled, started]
