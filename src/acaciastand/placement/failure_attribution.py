"""Distinguishes workers that fail everything they start from jobs that fail on every worker.

The evidence is kept only in the memory of one entry. It is lost when the entry stops, and is then
collected again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, OrderedDict
from collections.abc import Sequence
from enum import Enum

from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record

# Workers with recorded failures; the one that failed longest ago is dropped.
MAX_WORKERS_WITH_FAILURES = 9_600
# Jobs with recorded failures; the one that failed longest ago is dropped.
MAX_JOBS_WITH_FAILURES = 4_096
MAX_STARTS = 131_072  # Attempts whose start time is known; the oldest is dropped.
# Failed jobs that are recorded for one worker; failures of further jobs are not counted.
MAX_JOBS_PER_WORKER = 16
# Score at which a worker is flagged. The score counts the jobs that failed on the worker since its
# last success, and every failure of a job that succeeded elsewhere in the meantime.
SCORE_TO_QUARANTINE = 3
# A job that failed on this many workers since its last success is assumed to fail everywhere.
WORKERS_TO_SUSPECT_JOB = 3
# Share of the workers of an availability zone that can be quarantined; the number is rounded down.
MAX_QUARANTINED_SHARE = 0.34
# Age at which failures of a worker that is not flagged are forgotten.
EVIDENCE_LIFETIME_SECONDS = 600.0
# An attempt that has run for this long counts as a successful start.
MIN_SUCCESSFUL_RUN_SECONDS = 10.0
# Initial pause before a probe; doubles after each probe that did not succeed.
FIRST_PROBE_PAUSE_SECONDS = 5.0
MAX_PROBE_PAUSE_SECONDS = 300.0


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


class Quarantine(Record):
    """Workers that are currently flagged as failing.

    Parameters
    ----------
    quarantined
        Agents that are assigned only probes, each with whether it may be assigned one now.
    suspected
        Flagged agents beyond the largest quarantined share of their zone. They stay in use, but not
        for urgent tasks and tasks that have failed.
    """

    __slots__ = ("quarantined", "suspected")

    def __init__(
        self, quarantined: dict[str, bool] | None = None, suspected: frozenset[str] = frozenset()
    ) -> None:
        self.quarantined = quarantined or {}
        self.suspected = suspected


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
    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
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

    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
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

    @property
    def always_fails(self) -> bool:
        """Whether the job failed on `WORKERS_TO_SUSPECT_JOB` workers since its last success."""
        return len(self.failed_on) >= WORKERS_TO_SUSPECT_JOB


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
    flagged_at
        Time at which the score reached `SCORE_TO_QUARANTINE`; None while it is lower.
    probe
        Task id and attempt number of the current probe, if there is one.
    next_probe_at
        Earliest time of the next probe.
    pause
        Seconds between the end of a probe and the next one.
    """

    __slots__ = ("incarnation", "failures", "flagged_at", "probe", "next_probe_at", "pause")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.failures: dict[str, JobFailures] = {}
        self.flagged_at: float | None = None
        self.probe: tuple[str, int] | None = None
        self.next_probe_at = float("-inf")
        self.pause = FIRST_PROBE_PAUSE_SECONDS

    def add_failure(self, job_id: str, now: float) -> None:
        """Count a failure of a job, unless `MAX_JOBS_PER_WORKER` other jobs are recorded."""
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
    it first failed on this one. It does not count jobs that failed on `WORKERS_TO_SUSPECT_JOB`
    workers since their last success.

    A worker whose score reaches `SCORE_TO_QUARANTINE` is flagged, and assigned one probe at a time
    until an attempt succeeds on it. At most `MAX_QUARANTINED_SHARE` of the workers of each
    availability zone are quarantined, those flagged first, so that the failure of a rack or a
    network switch does not leave a zone without workers. Further flagged workers are suspected.
    """

    def __init__(self) -> None:
        self._workers: OrderedDict[str, WorkerEvidence] = OrderedDict()
        self._jobs: OrderedDict[str, JobEvidence] = OrderedDict()
        self._starts: OrderedDict[str, AttemptStart] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()

    def record_start(self, start: AttemptStart) -> None:
        """Record the start; on a quarantined worker without a probe, the attempt is its probe."""
        self._starts[start.task_id] = start
        if len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)
        worker = self._workers.get(start.agent_id)
        if worker is not None and start.agent_id in self._quarantined and worker.probe is None:
            worker.probe = (start.task_id, start.attempt)

    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Record a success if the attempt has run for `MIN_SUCCESSFUL_RUN_SECONDS`."""
        if agent_id not in self._workers and task_id.rpartition("/")[0] not in self._jobs:
            return
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt or start.agent_id != agent_id:
            return
        if now - start.started_at >= MIN_SUCCESSFUL_RUN_SECONDS:
            self._record_success(start, start.started_at + MIN_SUCCESSFUL_RUN_SECONDS)

    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Record the outcome; it is ignored if the start of the attempt is not known."""
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt:
            return
        del self._starts[task_id]
        if outcome is AttemptOutcome.SUCCEEDED:
            self._record_success(start, now)
        elif outcome is AttemptOutcome.FAILED:
            self._record_failure(start, now)
        self._end_probe(start, now)

    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
        """Return the flagged agents; those within the cap of each zone are quarantined."""
        views = {view.agent_id: view for view in workers if view.agent_id in self._workers}
        for view in views.values():
            self._drop_if_replaced(view)
        flagged = [
            (flagged_at, agent_id)
            for agent_id in views
            if (flagged_at := self._update_flag(agent_id, now)) is not None
        ]
        within_cap = _within_cap(sorted(flagged), views, workers) if flagged else []
        self._quarantined = frozenset(within_cap)
        quarantined = {agent_id: self._may_probe(agent_id, now) for agent_id in within_cap}
        return Quarantine(
            quarantined, frozenset(agent_id for _, agent_id in flagged) - self._quarantined
        )

    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Forget the attempts; a probe among them ends without an outcome or a longer pause."""
        for task_id in task_ids:
            start = self._starts.pop(task_id, None)
            worker = self._workers.get(start.agent_id) if start is not None else None
            if worker is not None and worker.probe is not None and worker.probe[0] == task_id:
                worker.probe = None

    def _record_success(self, start: AttemptStart, succeeded_at: float) -> None:
        worker = self._workers.get(start.agent_id)
        # An attempt that started before a failure says nothing about the worker since the failure.
        if worker is not None and self._newer_than_failures(start, worker):
            del self._workers[start.agent_id]
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
            worker = self._workers[start.agent_id] = WorkerEvidence(start.incarnation)
        worker.add_failure(start.job_id, now)
        self._workers.move_to_end(start.agent_id)
        if len(self._workers) > MAX_WORKERS_WITH_FAILURES:
            self._workers.popitem(last=False)
        job = self._jobs.setdefault(start.job_id, JobEvidence())
        # A failure on a worker that is already flagged is no evidence against the job.
        if worker.flagged_at is None and not job.always_fails:
            job.failed_on.add(start.agent_id)
        self._jobs.move_to_end(start.job_id)
        if len(self._jobs) > MAX_JOBS_WITH_FAILURES:
            self._jobs.popitem(last=False)

    def _end_probe(self, start: AttemptStart, now: float) -> None:
        worker = self._workers.get(start.agent_id)
        if worker is None or worker.probe != (start.task_id, start.attempt):
            return
        worker.probe = None
        worker.next_probe_at = now + worker.pause
        worker.pause = min(worker.pause * 2.0, MAX_PROBE_PAUSE_SECONDS)

    def _drop_if_replaced(self, view: WorkerView) -> None:
        worker = self._workers[view.agent_id]
        if view.incarnation and worker.incarnation != view.incarnation:
            del self._workers[view.agent_id]

    def _update_flag(self, agent_id: str, now: float) -> float | None:
        worker = self._workers.get(agent_id)
        if worker is None:
            return None
        if worker.flagged_at is None:
            worker.drop_failures_before(now - EVIDENCE_LIFETIME_SECONDS)
        if self._score(worker) < SCORE_TO_QUARANTINE:
            worker.flagged_at = None  # Its failed jobs turned out to fail on other workers too.
        elif worker.flagged_at is None:
            worker.flagged_at = now
            worker.next_probe_at = now + FIRST_PROBE_PAUSE_SECONDS
        return worker.flagged_at

    def _score(self, worker: WorkerEvidence) -> int:
        return sum(
            self._failure_weight(job_id, failures) for job_id, failures in worker.failures.items()
        )

    def _failure_weight(self, job_id: str, failures: JobFailures) -> int:
        job = self._jobs.get(job_id)
        if job is None:
            return 1
        if job.always_fails:
            return 0
        return failures.count if job.succeeded_at > failures.first_at else 1

    def _may_probe(self, agent_id: str, now: float) -> bool:
        worker = self._workers[agent_id]
        return worker.probe is None and now >= worker.next_probe_at


def _within_cap(
    flagged: list[tuple[float, str]], views: dict[str, WorkerView], workers: Sequence[WorkerView]
) -> list[str]:
    """Return the agents that may be quarantined, in the order of `flagged`."""
    remaining = {
        zone: int(count * MAX_QUARANTINED_SHARE)
        for zone, count in Counter(view.availability_zone for view in workers).items()
    }
    within_cap = []
    for _, agent_id in flagged:
        zone = views[agent_id].availability_zone
        if remaining[zone] > 0:
            remaining[zone] -= 1
            within_cap.append(agent_id)
    return within_cap
