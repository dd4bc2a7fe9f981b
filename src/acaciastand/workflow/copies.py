"""Speculative copies of tasks whose current run is slow or on a suspect worker."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterator
from functools import cached_property
from statistics import median, median_low

from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.decisions import StartDecision
from acaciastand.workflow.exclusions import is_schedulable
from acaciastand.workflow.job import ON_WORKER, Task, TaskState
from acaciastand.workflow.limits import MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.report_processing import MAX_POLL_AGE_SECONDS
from acaciastand.workflow.reports import WorkerIdentity
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.starts import StartCallback, StartPlanner
from acaciastand.workflow.task_copy import TaskCopy
from acaciastand.workflow.worker import Standing, WorkerView

CHECK_SECONDS = 0.2  # Minimum time between two checks for runs to copy.
# A run is slow from this multiple of the longest of its finished siblings. Data on another rack
# alone makes a run up to twice as long.
SLOW_SIBLING_FACTOR = 2.0
SLOW_ESTIMATE_FACTOR = 3.0  # The same for the estimate, which is less certain.
# Most connections that are lost are back within this time.
RECONNECT_SECONDS = 1.0
MIN_FINISHED_SIBLINGS = 2  # Fewer do not tell what is usual for the step.
# Time that a copy takes beyond the run of its task: its start, and the report of its end.
OVERHEAD_SECONDS = 1.0
MIN_SLOW_SECONDS = 0.5  # No shorter run is slow: reports of its end may be under way.
MAX_COPIES_OF_TASK = 2  # Starts of copies of one task.
MAX_COPIES_OF_JOB = 4  # Copies of tasks of one job that run at the same time.
MAX_CORES_SHARE = 0.1  # Share of a service's cores that copies may take together.
# Tasks for which a worker is sought in one check, so that the loss of many hosts delays no start.
MAX_TASKS_PER_CHECK = 20


class SiblingTimes:
    """Run times of the tasks of one step, as far as they are known at one moment.

    Parameters
    ----------
    task
        Task of the step.
    now
        Seconds of the owner's clock.

    Attributes
    ----------
    task, now
        See the parameters.
    """

    def __init__(self, task: Task, now: float) -> None:
        self.task = task
        self.now = now

    @cached_property
    def finished(self) -> list[float]:
        """Run times of the finished tasks in seconds; empty if too few are known."""
        finished = [
            sibling.last_run_seconds
            for sibling in self.task.job.siblings(self.task)
            if sibling.state == TaskState.DONE and sibling.last_run_seconds
        ]
        is_enough = len(finished) >= min(MIN_FINISHED_SIBLINGS, self.task.step.count - 1)
        return finished if is_enough else []

    @cached_property
    def longest_seconds(self) -> float:
        """Longest run time that is usual for the step; 0 if nothing is known of it."""
        return max(self.finished) if self.finished else self._unfinished_seconds()

    @cached_property
    def expected_seconds(self) -> float:
        """Usual run time of the step; 0 if nothing is known of it."""
        return median(self.finished) if self.finished else self._unfinished_seconds()

    def _unfinished_seconds(self) -> float:
        """Return the estimate, or the usual projected run time if that is longer."""
        estimate_seconds = self.task.step.estimate_seconds
        projected = [
            (self.now - sibling.started_at) * 100 / sibling.percent
            for sibling in self.task.job.siblings(self.task)
            if sibling.state == TaskState.RUNNING and 0 < sibling.percent < 100
        ]
        # A single projection may be that of the run in question.
        if not estimate_seconds or len(projected) < 2:
            return estimate_seconds
        return max(estimate_seconds, median_low(projected))


class CopyPolicy(ABC):
    """Policy on the runs that get a copy."""

    @abstractmethod
    def reason(self, task: Task, suspicion: str, times: SiblingTimes, now: float) -> str:
        """Return why a copy on another worker is likely to be done first.

        Parameters
        ----------
        task
            Task of a step that allows copies, with a current run.
        suspicion
            Why the worker of that run is suspect, as from `suspect_reason`.
        times
            Run times of the tasks of the step.
        now
            Seconds of the owner's clock.

        Returns
        -------
        str
            Reason for the log; empty for no copy.
        """


class NoCopies(CopyPolicy):
    """Baseline: no task gets a copy."""

    def reason(self, task: Task, suspicion: str, times: SiblingTimes, now: float) -> str:
        """Return an empty reason."""
        return ""


class CopySlowRuns(CopyPolicy):
    """Copies runs that outlast their siblings or their estimate, and those on suspect workers.

    Designed for a worker on which tasks are slow or whose host is cut off, while the other tasks
    of the step are done and the job waits for one. The grant of a host that is cut off has to
    expire before its tasks may start anew, which takes longer than most urgent jobs may; a copy
    need not wait for that.
    """

    def reason(self, task: Task, suspicion: str, times: SiblingTimes, now: float) -> str:
        """Return why a copy is likely to be done first; empty if it is not."""
        if task.state == TaskState.STOPPING:
            return suspicion  # The run will not be done, and its end may be unknown for long.
        if task.state != TaskState.RUNNING:
            return ""
        ran_seconds = now - task.started_at
        if ran_seconds <= MIN_SLOW_SECONDS:
            return ""
        longest = times.longest_seconds
        if not longest:
            return ""
        if suspicion:
            return suspicion if ran_seconds > longest + MIN_SLOW_SECONDS else ""
        factor = SLOW_SIBLING_FACTOR if times.finished else SLOW_ESTIMATE_FACTOR
        if ran_seconds <= factor * longest:
            return ""
        if _remaining_seconds(task, ran_seconds) <= _copy_seconds(task, times.expected_seconds):
            return ""
        return "slower than siblings" if times.finished else "slower than estimate"


def suspect_reason(worker: WorkerView, now: float) -> str:
    """Return why the runs on a worker may not end well or be heard of; empty if they may."""
    if not worker.reachable and now - worker.last_report_at > RECONNECT_SECONDS:
        return "agent unreachable"
    if worker.worker_unresponsive:
        return "worker unresponsive"
    if now - worker.last_report_at > MAX_REPORT_AGE_SECONDS:
        return "old report"
    if worker.standing is Standing.QUARANTINED:
        return "worker in quarantine"
    if worker.standing is Standing.SUSPECTED:
        return "worker fails tasks"
    return ""


def _remaining_seconds(task: Task, ran_seconds: float) -> float:
    """Return how long a slow run is expected to go on: as long again if no progress is known.

    A run whose last listing is old has got further since, and is not to be taken for slow.
    """
    if not 0 < task.percent < 100:
        return ran_seconds
    listed_seconds = max(0.0, ran_seconds - MAX_POLL_AGE_SECONDS)
    return listed_seconds * (100 - task.percent) / task.percent


def _copy_seconds(task: Task, expected_seconds: float) -> float:
    """Return how long a copy takes, which resumes from the checkpoint of its task."""
    has_progress = bool(task.checkpoint) and 0 < task.percent < 100
    left_share = 1 - task.percent / 100 if has_progress else 1.0
    return expected_seconds * left_share + OVERHEAD_SECONDS


class CopyRoom:
    """Room that is left to copies at one moment.

    Parameters
    ----------
    state
        State of the scheduler.
    now
        Seconds of the owner's clock.

    Attributes
    ----------
    catalog
        Configuration in use.
    available
        Workers that may take copies, by service.
    cores_left
        Cores that further copies may take, by service.
    copy_counts
        Number of copies that may still be done, by job id; others only wait for their end.
    wanted
        Service, priority of the queue and required label of the waiting tasks.
    """

    def __init__(self, state: SchedulerState, now: float) -> None:
        self.catalog = state.catalog
        self.available: dict[str, list[WorkerView]] = {}
        self.cores_left: dict[str, float] = {}
        self.copy_counts: Counter[str] = Counter()
        for worker in state.workers.values():
            if worker.identity:
                self._add_worker(worker, worker.identity, now)
        self.wanted: set[tuple[str, int, str]] = set()
        for task in state.waiting.values():
            queue = state.catalog.by_name(task.job.queue)
            if queue is not None:
                self.wanted.add((queue.service, queue.priority, task.step.required_label))

    def _add_worker(self, worker: WorkerView, identity: WorkerIdentity, now: float) -> None:
        copies = [task for task in worker.tasks.values() if isinstance(task, TaskCopy)]
        self.copy_counts.update(
            copy.job.job_id for copy in copies if copy.task.state != TaskState.DONE
        )
        copied_cores = sum(
            copy.step.size.cores for copy in copies if copy.state != TaskState.STOPPING
        )
        cores = MAX_CORES_SHARE * identity.capacity.cores - copied_cores
        service = identity.service
        self.cores_left[service] = self.cores_left.get(service, 0.0) + cores
        if (
            is_schedulable(worker, now)
            and now >= worker.full_until
            and worker.takes_starts(now, suspected=False)
            and not suspect_reason(worker, now)
        ):
            self.available.setdefault(service, []).append(worker)

    def may_start(self, task: Task) -> bool:
        """Return whether a copy of a task keeps within the limits of its job and service."""
        queue = self.catalog.by_name(task.job.queue)
        if queue is None:
            return False
        if task.job.count_failures(task) + 2 >= queue.max_attempts:
            return False  # The failures of both runs must leave an attempt.
        if self.copy_counts[task.job.job_id] >= MAX_COPIES_OF_JOB:
            return False
        return task.step.size.cores <= self.cores_left.get(queue.service, 0.0)

    def take(self, task: Task, queue: Queue) -> None:
        """Count a copy that has been started, and take its cores."""
        self.copy_counts[task.job.job_id] += 1
        self.cores_left[queue.service] -= task.step.size.cores

    def workers(self, queue: Queue) -> list[WorkerView]:
        """Return the workers on which no waiting task that is as urgent could run."""
        labels = {
            label
            for service, priority, label in self.wanted
            if service == queue.service and priority <= queue.priority
        }
        if "" in labels:
            return []
        return [
            worker
            for worker in self.available.get(queue.service, ())
            if worker.identity and labels.isdisjoint(worker.identity.labels)
        ]


class CopyPlanner:
    """Starts copies where room is left after all other starts.

    Parameters
    ----------
    state
        State of the scheduler.
    start_planner
        Order of the tasks, and placement on workers.

    Attributes
    ----------
    policy
        Policy on the runs that are copied.
    checked_at
        When the runs were last checked.
    """

    def __init__(self, state: SchedulerState, start_planner: StartPlanner) -> None:
        self.state = state
        self.start_planner = start_planner
        self.policy: CopyPolicy = CopySlowRuns()
        self.checked_at = float("-inf")

    def plan_copies(self, start: StartCallback, now: float, now_unix: float) -> list[StartDecision]:
        """Start copies of the tasks that the policy names, the most urgent first.

        Parameters
        ----------
        start
            Called for each start with the copy.
        now
            Seconds of the owner's clock.
        now_unix
            Unix time in seconds.
        """
        if now - self.checked_at < CHECK_SECONDS:
            return []
        self.checked_at = now
        if not self.state.all_have_reported:
            return []  # A former owner may have started a copy that is not reported yet.
        unsettled = self.state.unsettled_tasks()
        slow = {task: why for task, why in self._slow_tasks(now) if task.key not in unsettled}
        if not slow:
            return []
        starts = []
        room = CopyRoom(self.state, now)
        tasks = [task for task in slow if room.may_start(task)]
        ranked = self.start_planner.tasks_by_rank(tasks, self.state.catalog, now, now_unix)
        sought = 0
        for task, queue in ranked:
            if sought >= MAX_TASKS_PER_CHECK:
                break
            if not room.may_start(task) or task.next_run > self.state.run_numbers.highest:
                continue
            sought += 1
            worker = self._choose_worker(task, queue, room, now)
            if worker is not None:
                starts.append(self._start_copy(task, worker, slow[task], start, now))
                room.take(task, queue)
        return starts

    def _slow_tasks(self, now: float) -> Iterator[tuple[Task, str]]:
        times_by_step: dict[tuple[str, int, int], SiblingTimes] = {}
        for worker in self.state.workers.values():
            suspicion = suspect_reason(worker, now)
            for task in worker.tasks.values():
                if not task.step.allows_copies or not _may_be_copied(task):
                    continue
                key = (task.job.job_id, task.name.occurrence, task.name.step)
                if key not in times_by_step:
                    times_by_step[key] = SiblingTimes(task, now)
                why = self.policy.reason(task, suspicion, times_by_step[key], now)
                if why:
                    yield task, why

    def _choose_worker(
        self, task: Task, queue: Queue, room: CopyRoom, now: float
    ) -> WorkerView | None:
        """Return the worker for a copy, on another rack if possible; None if it is not started."""
        former = self.state.workers[task.agent_id]
        candidates = [
            worker
            for worker in room.workers(queue)
            if worker is not former
            and (not queue.advised or self.start_planner.advice.find_ticket(task, worker, now))
        ]
        elsewhere = [worker for worker in candidates if worker.rack != former.rack]
        placement = self.start_planner.placement
        return placement.choose(task, elsewhere, now) or placement.choose(task, candidates, now)

    def _start_copy(
        self, task: Task, worker: WorkerView, why: str, start: StartCallback, now: float
    ) -> StartDecision:
        run = task.next_run
        self.state.record_decision(
            "copy started",
            task.key,
            run=run,
            agent=worker.agent_id,
            why=why,
            first_run=task.run,
            first_agent=task.agent_id,
            ran_s=round(now - task.started_at, 2) if task.state == TaskState.RUNNING else None,
            estimate_s=task.step.estimate_seconds,
        )
        task.record_run(run)
        task.copy_run = run
        task.copies_started += 1
        copy = TaskCopy(task)
        return start(copy, worker, run)


def _may_be_copied(task: Task) -> bool:
    return not (
        isinstance(task, TaskCopy)
        or task.copies
        or task.copies_started >= MAX_COPIES_OF_TASK
        or task.state not in ON_WORKER
        or task.job.has_ended
        or task.crashes
    )
