"""Distinguishes workers that fail everything they start from jobs that fail on every worker.

The evidence is kept only in the memory of one entry. It is lost when the entry stops, and is then
collected again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping, Sequence
from enum import Enum

from acaciastand.placement.quarantine import (
    Access,
    Quarantine,
    QuarantineRules,
    QuarantineSubject,
)
from acaciastand.record import Record

# Workers with recorded failures; the one that failed longest ago is dropped.
MAX_WORKERS_WITH_FAILURES = 9_600
# Jobs with recorded failures; the one that failed longest ago is dropped.
MAX_JOBS_WITH_FAILURES = 4_096
# Workers that are recorded for one job; failures on further ones tell nothing more of it.
MAX_WORKERS_PER_JOB = 16
MAX_STARTS = 131_072  # Attempts whose start time is known; the oldest is dropped.
# Failed jobs that are recorded for one worker; failures of further jobs are not counted.
MAX_JOBS_PER_WORKER = 16
# A job is assumed to fail everywhere if since its last success it failed on this many workers that
# fail no other job.
WORKERS_TO_SUSPECT_JOB = 3
COUNT_SECONDS = 1.0  # Longest time between two counts of the workers of each redundancy group.
# A run shows that its worker does not fail all runs once it has gone on for this multiple of the
# shortest run that failed there, within the limits of the rules.
SUCCESS_FACTOR = 2.0


class AttemptOutcome(Enum):
    """Outcome of an attempt as evidence about its worker and its job."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"  # The attempt was refused, stopped, lost or expired.


class AttemptStart(Record):
    """An attempt that was assigned to a worker.

    Parameters
    ----------
    agent_id, incarnation
        Agent of the worker, and its incarnation at the assignment.
    started_at
        Time of the assignment in seconds of the monotonic clock.
    """

    __slots__ = ("agent_id", "incarnation", "task_id", "attempt", "started_at")

    def __init__(
        self, agent_id: str, incarnation: str, task_id: str, attempt: int, started_at: float
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.task_id = task_id
        self.attempt = attempt
        self.started_at = started_at

    @property
    def job_id(self) -> str:
        """Id of the task's job."""
        return self.task_id.rpartition("/")[0]


class FailureAttribution(ABC):
    """Attributes failed attempts to workers or to jobs and decides which workers to quarantine.

    A quarantined worker is assigned only probes: single tasks that show whether it works again. The
    times passed to the methods are seconds of the monotonic clock.
    """

    @abstractmethod
    def record_start(self, start: AttemptStart) -> None:
        """Record that an attempt was assigned to a worker."""

    @abstractmethod
    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Record that an agent lists an attempt as running."""

    @abstractmethod
    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome of an attempt."""

    @abstractmethod
    def current_quarantine(self, workers: Collection[QuarantineSubject], now: float) -> Quarantine:
        """Return which of the workers are quarantined or suspected."""

    @abstractmethod
    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Forget running attempts whose end will not be recorded, such as those of a lost shard."""


class NoAttribution(FailureAttribution):
    """Quarantines no worker; the baseline.

    The shard still does not assign a task to the agent on which it last failed.
    """

    def record_start(self, start: AttemptStart) -> None:
        """Ignore the start."""

    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Ignore the attempt."""

    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Ignore the end."""

    def current_quarantine(self, workers: Collection[QuarantineSubject], now: float) -> Quarantine:
        """Return no flagged workers."""
        return Quarantine()

    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Ignore the attempts."""


class JobEvidence:
    """Workers on which a job failed since its last success, and the time of that success."""

    __slots__ = ("failed_on", "succeeded_at")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.succeeded_at = float("-inf")


class JobFailures:
    """Failures of one job on one worker since the worker's last success."""

    __slots__ = ("first_at", "last_at", "count")

    def __init__(self, now: float) -> None:
        self.first_at = now
        self.last_at = now
        self.count = 0


class WorkerEvidence:
    """Failures of one worker since its last success.

    Attributes
    ----------
    failures
        Failures by job id.
    shortest_run
        Duration in seconds of the shortest run that failed.
    flagged_at
        Time at which the score reached that of the rules; None while it is lower.
    probe
        Task id and attempt number of the current probe, if there is one.
    next_probe_at
        Earliest time of the next probe.
    pause
        Seconds between the end of a probe and the next one.
    retry_at
        Earliest time at which a task without another place may start.
    retry_pause
        Seconds between a failure since the worker was flagged and that time.
    """

    __slots__ = (
        "incarnation",
        "failures",
        "shortest_run",
        "flagged_at",
        "probe",
        "next_probe_at",
        "pause",
        "retry_at",
        "retry_pause",
    )

    def __init__(self, incarnation: str, rules: QuarantineRules) -> None:
        self.incarnation = incarnation
        self.failures: dict[str, JobFailures] = {}
        self.shortest_run = float("inf")
        self.flagged_at: float | None = None
        self.probe: tuple[str, int] | None = None
        self.next_probe_at = float("-inf")
        self.pause = rules.first_probe_pause_seconds
        self.retry_at = float("-inf")
        self.retry_pause = rules.first_retry_pause_seconds

    def add_failure(self, job_id: str, ran_seconds: float, now: float) -> None:
        """Count a failure of a job, unless `MAX_JOBS_PER_WORKER` other jobs are recorded."""
        self.shortest_run = min(self.shortest_run, ran_seconds)
        if job_id not in self.failures and len(self.failures) >= MAX_JOBS_PER_WORKER:
            return
        failures = self.failures.setdefault(job_id, JobFailures(now))
        failures.count += 1
        failures.last_at = now

    def drop_failures_before(self, time: float) -> None:
        """Drop the failures of jobs that last failed before `time`."""
        self.failures = {
            job_id: failures
            for job_id, failures in self.failures.items()
            if failures.last_at >= time
        }


class EvidenceBasedAttribution(FailureAttribution):
    """Compares failures across jobs and workers.

    Failures of different jobs on one worker are attributed to the worker, and failures of one job
    on different workers to the job.

    The score of a worker counts each job that failed on it once, because one job that always fails
    may fail many tasks. It counts each failure of a job that has succeeded on another worker since
    it first failed on this one. It does not count jobs that since their last success failed on
    `WORKERS_TO_SUSPECT_JOB` workers on which no other job has failed.

    A worker whose score reaches that of the rules is flagged, and assigned one probe at a time
    until an attempt succeeds on it. Failures of attempts that began before add nothing to the
    pauses between probes. At most a share of the workers of each redundancy group is quarantined,
    those flagged first, so that the failure of a rack or a network switch does not leave a zone
    without workers. Further flagged workers are suspected.

    Parameters
    ----------
    rules
        Limits of the quarantine; the defaults are those of shards.
    """

    def __init__(self, rules: QuarantineRules | None = None) -> None:
        self.rules = rules or QuarantineRules()
        self._workers: OrderedDict[str, WorkerEvidence] = OrderedDict()
        self._jobs: OrderedDict[str, JobEvidence] = OrderedDict()
        self._starts: OrderedDict[str, AttemptStart] = OrderedDict()
        self._always_fails_by_job: dict[str, bool] = {}
        self._group_sizes: Counter[str] = Counter()
        self._worker_count = 0
        self._counted_at = float("-inf")

    def record_start(self, start: AttemptStart) -> None:
        """Record the start; on a flagged worker without a probe, the attempt is its probe."""
        self._starts[start.task_id] = start
        if len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)
        worker = self._workers.get(start.agent_id)
        if worker is not None and worker.flagged_at is not None and worker.probe is None:
            worker.probe = (start.task_id, start.attempt)

    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Record a success if the attempt has run for long enough."""
        if agent_id not in self._workers and task_id.rpartition("/")[0] not in self._jobs:
            return
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt or start.agent_id != agent_id:
            return
        ran_seconds = now - start.started_at
        if ran_seconds >= self._successful_run_seconds(agent_id):
            self._clear_worker(start)
        if ran_seconds >= self.rules.max_successful_run_seconds:
            self._clear_job(start, start.started_at + self.rules.max_successful_run_seconds)

    def has_evidence(self, agent_id: str, job_id: str) -> bool:
        """Return whether failures of a worker or of a job are recorded."""
        return agent_id in self._workers or job_id in self._jobs

    def failed_jobs(self, agent_id: str) -> list[str]:
        """Return the jobs that failed on a worker, as far as they are recorded."""
        worker = self._workers.get(agent_id)
        return list(worker.failures) if worker is not None else []

    def _successful_run_seconds(self, agent_id: str) -> float:
        """Return how long a run has to go on to show that its worker does not fail it."""
        worker = self._workers.get(agent_id)
        shortest = worker.shortest_run if worker is not None else 0.0
        seconds = max(self.rules.min_successful_run_seconds, SUCCESS_FACTOR * shortest)
        return min(seconds, self.rules.max_successful_run_seconds)

    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome; it is ignored if the start of the attempt is not known."""
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt:
            return
        del self._starts[task_id]
        if outcome is AttemptOutcome.SUCCEEDED:
            self._clear_worker(start)
            self._clear_job(start, now)
        elif outcome is AttemptOutcome.FAILED:
            self._record_failure(start, now)
        self._end_probe(start, outcome is AttemptOutcome.FAILED, now)

    def current_quarantine(self, workers: Collection[QuarantineSubject], now: float) -> Quarantine:
        """Return the flagged agents; those within the cap of each group are quarantined."""
        if not self._workers:
            return Quarantine()
        self._always_fails_by_job.clear()
        views = {view.agent_id: view for view in workers if view.agent_id in self._workers}
        for view in views.values():
            self._drop_if_replaced(view)
        flagged = [
            (flagged_at, agent_id)
            for agent_id in views
            if (flagged_at := self._update_flag(agent_id, now)) is not None
        ]
        if not flagged:
            return Quarantine()
        self._count_groups(workers, now)
        within_cap = _within_cap(sorted(flagged), views, self._group_sizes, self.rules.max_share)
        quarantined = {agent_id: self._may_probe(agent_id, now) for agent_id in within_cap}
        suspected = frozenset(agent_id for _, agent_id in flagged) - quarantined.keys()
        access = {agent_id: self._access(agent_id, now) for _, agent_id in flagged}
        return Quarantine(quarantined, suspected, access)

    def _count_groups(self, workers: Collection[QuarantineSubject], now: float) -> None:
        """Count the workers of each redundancy group, unless that was done a moment ago."""
        is_recent = now - self._counted_at < COUNT_SECONDS
        if is_recent and len(workers) == self._worker_count:
            return
        self._counted_at, self._worker_count = now, len(workers)
        self._group_sizes = Counter(view.redundancy_group for view in workers)

    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Forget the attempts; a probe among them ends without an outcome or a longer pause."""
        for task_id in task_ids:
            start = self._starts.pop(task_id, None)
            worker = self._workers.get(start.agent_id) if start is not None else None
            if worker is not None and worker.probe is not None and worker.probe[0] == task_id:
                worker.probe = None

    def _clear_worker(self, start: AttemptStart) -> None:
        """Forget the failures of a worker on which an attempt has succeeded."""
        worker = self._workers.get(start.agent_id)
        # An attempt that started before a failure says nothing about the worker since the failure.
        if worker is not None and self._newer_than_failures(start, worker):
            del self._workers[start.agent_id]

    def _clear_job(self, start: AttemptStart, succeeded_at: float) -> None:
        """Forget the failures of a job of which an attempt has succeeded."""
        job = self._jobs.get(start.job_id)
        if job is not None and succeeded_at > job.succeeded_at:
            job.failed_on.clear()
            job.succeeded_at = succeeded_at

    def _newer_than_failures(self, start: AttemptStart, worker: WorkerEvidence) -> bool:
        if worker.incarnation != start.incarnation:
            return False
        return all(start.started_at >= failures.first_at for failures in worker.failures.values())

    def _record_failure(self, start: AttemptStart, now: float) -> None:
        worker = self._workers.get(start.agent_id)
        if worker is None or worker.incarnation != start.incarnation:
            worker = self._workers[start.agent_id] = WorkerEvidence(start.incarnation, self.rules)
        worker.add_failure(start.job_id, now - start.started_at, now)
        if worker.flagged_at is not None and start.started_at >= worker.flagged_at:
            worker.retry_at = now + worker.retry_pause
            worker.retry_pause = min(2.0 * worker.retry_pause, self.rules.max_retry_pause_seconds)
        self._workers.move_to_end(start.agent_id)
        if len(self._workers) > MAX_WORKERS_WITH_FAILURES:
            self._workers.popitem(last=False)
        job = self._jobs.setdefault(start.job_id, JobEvidence())
        # A failure on a worker that is already flagged is no evidence against the job.
        if worker.flagged_at is None and len(job.failed_on) < MAX_WORKERS_PER_JOB:
            job.failed_on.add(start.agent_id)
        self._jobs.move_to_end(start.job_id)
        if len(self._jobs) > MAX_JOBS_WITH_FAILURES:
            self._jobs.popitem(last=False)

    def _end_probe(self, start: AttemptStart, failed: bool, now: float) -> None:
        worker = self._workers.get(start.agent_id)
        if worker is None or worker.probe != (start.task_id, start.attempt):
            return
        worker.probe = None
        worker.next_probe_at = now + worker.pause
        if failed:
            worker.pause = min(worker.pause * 2.0, self.rules.max_probe_pause_seconds)

    def _drop_if_replaced(self, view: QuarantineSubject) -> None:
        worker = self._workers[view.agent_id]
        if view.incarnation and worker.incarnation != view.incarnation:
            del self._workers[view.agent_id]

    def _update_flag(self, agent_id: str, now: float) -> float | None:
        worker = self._workers.get(agent_id)
        if worker is None:
            return None
        if worker.flagged_at is None:
            worker.drop_failures_before(now - self.rules.evidence_lifetime_seconds)
        if self._score(worker) < self.rules.score:
            worker.flagged_at = None  # Its failed jobs turned out to fail on other workers too.
        elif worker.flagged_at is None:
            worker.flagged_at = now
            worker.next_probe_at = now + self.rules.first_probe_pause_seconds
            worker.retry_at = now + self.rules.first_retry_pause_seconds
        return worker.flagged_at

    def _score(self, worker: WorkerEvidence) -> int:
        return sum(
            self._failure_weight(job_id, failures) for job_id, failures in worker.failures.items()
        )

    def _failure_weight(self, job_id: str, failures: JobFailures) -> int:
        job = self._jobs.get(job_id)
        if job is None:
            return 1
        if job_id not in self._always_fails_by_job:
            self._always_fails_by_job[job_id] = self._always_fails(job_id, job)
        if self._always_fails_by_job[job_id]:
            return 0
        return failures.count if job.succeeded_at > failures.first_at else 1

    def _always_fails(self, job_id: str, job: JobEvidence) -> bool:
        """Return whether a job fails on enough workers on which no other job has failed."""
        found = 0
        for agent_id in job.failed_on:
            worker = self._workers.get(agent_id)
            if worker is None or worker.failures.keys() <= {job_id}:
                found += 1
                if found >= WORKERS_TO_SUSPECT_JOB:
                    return True
        return False

    def _access(self, agent_id: str, now: float) -> Access:
        worker = self._workers[agent_id]
        if now < worker.retry_at:
            return Access.NONE
        if worker.probe is None:
            return Access.ONE
        start = self._starts.get(worker.probe[0])
        is_proven = start is None or now - start.started_at >= self.rules.proven_run_seconds
        return Access.ANY if is_proven else Access.NONE

    def _may_probe(self, agent_id: str, now: float) -> bool:
        worker = self._workers[agent_id]
        return worker.probe is None and now >= worker.next_probe_at


def _within_cap(
    flagged: list[tuple[float, str]],
    views: Mapping[str, QuarantineSubject],
    group_sizes: Mapping[str, int],
    max_share: float,
) -> list[str]:
    """Return the agents that may be quarantined, in the order of `flagged`."""
    remaining = {group: int(count * max_share) for group, count in group_sizes.items()}
    within_cap = []
    for _, agent_id in flagged:
        group = views[agent_id].redundancy_group
        if remaining.get(group, 0) > 0:
            remaining[group] -= 1
            within_cap.append(agent_id)
    return within_cap
