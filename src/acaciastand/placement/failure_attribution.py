"""Tells workers that fail everything they start from jobs that fail everywhere.

The evidence is a hint in the memory of one entry; it is lost with the entry and collected again.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, OrderedDict
from collections.abc import Sequence
from enum import Enum

from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record

# workers with failures; the one that failed longest ago is dropped
MAX_WORKERS_WITH_FAILURES = 9_600
MAX_JOBS_WITH_FAILURES = 4_096  # jobs with failures; the one that failed longest ago is dropped
MAX_STARTS = 131_072  # attempts whose start time is known; the oldest is dropped
MAX_JOBS_PER_WORKER = 16  # failed jobs that are kept for one worker; further ones change nothing
SCORE_TO_QUARANTINE = 3  # failed jobs, or failures of jobs that run elsewhere, since a success
WORKERS_TO_SUSPECT_JOB = 3  # a job that failed on this many workers since a success is bad
MAX_QUARANTINED_SHARE = 0.34  # of the workers of an availability zone, rounded down
EVIDENCE_SECONDS = 600.0  # failures of a worker that is not set aside are forgotten after this
SETTLED_SECONDS = 10.0  # an attempt that runs this long has started well
FIRST_PROBE_SECONDS = 5.0  # pause before the next probe; doubles with each failed one
MAX_PROBE_SECONDS = 300.0


class AttemptOutcome(Enum):
    """What the end of an attempt says about its start."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"  # refused, stopped, lost or expired


class AttemptStart(Record):
    """An attempt that was assigned to a worker at `at`, seconds of the monotonic clock."""

    __slots__ = ("agent_id", "incarnation", "task_id", "attempt", "at")

    def __init__(
        self, agent_id: str, incarnation: str, task_id: str, attempt: int, at: float
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.task_id = task_id
        self.attempt = attempt
        self.at = at

    @property
    def job_id(self) -> str:
        """Job of the task."""
        return self.task_id.rpartition("/")[0]


class Quarantine(Record):
    """Which workers are blamed at present.

    Parameters
    ----------
    quarantined
        Agents that get only probes, and for each whether it may get one now.
    suspected
        Agents beyond the cap. They stay in use, but not for urgent or failed tasks.
    """

    __slots__ = ("quarantined", "suspected")

    def __init__(
        self, quarantined: dict[str, bool] | None = None, suspected: frozenset[str] = frozenset()
    ) -> None:
        self.quarantined = quarantined or {}
        self.suspected = suspected


class FailureAttribution(ABC):
    """Decides which workers get only probes."""

    @abstractmethod
    def record_start(self, start: AttemptStart) -> None:
        """Take note that an attempt is assigned to a worker."""

    @abstractmethod
    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Take note that an agent lists an attempt as running."""

    @abstractmethod
    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Take note that an attempt ended."""

    @abstractmethod
    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
        """Return which of the workers are blamed."""

    @abstractmethod
    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Forget running attempts whose end will not be seen, such as those of a lost shard."""


class NoAttribution(FailureAttribution):
    """Sets nobody aside; the baseline.

    The shard still keeps a task from the agent that failed it last.
    """

    def record_start(self, start: AttemptStart) -> None:
        """Ignore the start."""

    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Ignore the attempt."""

    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Ignore the end."""

    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
        """Blame nobody."""
        return Quarantine()

    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Ignore the attempts."""


class JobEvidence:
    """Failures of one job since its last success, and the last success."""

    __slots__ = ("failed_on", "succeeded_at")

    def __init__(self) -> None:
        self.failed_on: set[str] = set()
        self.succeeded_at = float("-inf")

    @property
    def always_fails(self) -> bool:
        """Whether the job fails everywhere as far as known."""
        return len(self.failed_on) >= WORKERS_TO_SUSPECT_JOB


class JobFailures:
    """Failures of one job on one worker since the worker's last success."""

    __slots__ = ("first_at", "last_at", "count")

    def __init__(self, now: float) -> None:
        self.first_at = now
        self.last_at = now
        self.count = 0


class WorkerEvidence:
    """Failures of one worker since its last success."""

    __slots__ = ("incarnation", "failures", "since", "probe", "probe_at", "pause")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.failures: dict[str, JobFailures] = {}
        self.since: float | None = None
        self.probe: tuple[str, int] | None = None
        self.probe_at = float("-inf")
        self.pause = FIRST_PROBE_SECONDS

    def add(self, job_id: str, now: float) -> None:
        """Count a failure."""
        if job_id not in self.failures and len(self.failures) >= MAX_JOBS_PER_WORKER:
            return
        failures = self.failures.setdefault(job_id, JobFailures(now))
        failures.count += 1
        failures.last_at = now

    def forget_before(self, limit: float) -> None:
        """Drop failures of jobs that last failed before `limit`."""
        self.failures = {job: kept for job, kept in self.failures.items() if kept.last_at >= limit}


class EvidenceBasedAttribution(FailureAttribution):
    """Blames a worker for failures of different jobs, and a job for failures on different workers.

    A failure counts once per job, because one bad job may fail many tasks. It counts each time
    when the job succeeded on another worker after it first failed here. Failures of jobs that
    failed on several workers since their last success do not count. A worker whose score reaches
    `SCORE_TO_QUARANTINE` gets one probe at a time until something succeeds on it. At most
    `MAX_QUARANTINED_SHARE` of each availability zone is set aside, those found first, so that a
    failure of a rack or a switch empties no zone.
    """

    def __init__(self) -> None:
        self._workers: OrderedDict[str, WorkerEvidence] = OrderedDict()
        self._jobs: OrderedDict[str, JobEvidence] = OrderedDict()
        self._starts: OrderedDict[str, AttemptStart] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()

    def record_start(self, start: AttemptStart) -> None:
        """Take note of the start; on a worker that is set aside it is the probe."""
        self._starts[start.task_id] = start
        if len(self._starts) > MAX_STARTS:
            self._starts.popitem(last=False)
        worker = self._workers.get(start.agent_id)
        if worker is not None and start.agent_id in self._quarantined and worker.probe is None:
            worker.probe = (start.task_id, start.attempt)

    def record_running(self, agent_id: str, task_id: str, attempt: int, now: float) -> None:
        """Count an attempt that has run for `SETTLED_SECONDS` as a success."""
        if agent_id not in self._workers and task_id.rpartition("/")[0] not in self._jobs:
            return
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt or start.agent_id != agent_id:
            return
        if now - start.at >= SETTLED_SECONDS:
            self._succeeded(start, start.at + SETTLED_SECONDS)

    def record_end(self, task_id: str, attempt: int, outcome: AttemptOutcome, now: float) -> None:
        """Take in the outcome; ends of attempts without a known start change nothing."""
        start = self._starts.get(task_id)
        if start is None or start.attempt != attempt:
            return
        del self._starts[task_id]
        if outcome is AttemptOutcome.SUCCEEDED:
            self._succeeded(start, now)
        elif outcome is AttemptOutcome.FAILED:
            self._failed(start, now)
        self._probe_ended(start, now)

    def current_quarantine(self, workers: Sequence[WorkerView], now: float) -> Quarantine:
        """Return the blamed agents; those within the cap of each zone are set aside."""
        views = {view.agent_id: view for view in workers if view.agent_id in self._workers}
        for view in views.values():
            self._drop_if_replaced(view)
        found = [(since, name) for name in views if (since := self._since(name, now)) is not None]
        chosen = _within_cap(sorted(found), views, workers) if found else []
        self._quarantined = frozenset(chosen)
        quarantined = {name: self._may_probe(name, now) for name in chosen}
        return Quarantine(quarantined, frozenset(name for _, name in found) - self._quarantined)

    def forget_attempts(self, task_ids: Sequence[str]) -> None:
        """Forget the attempts; a probe among them ends without an outcome."""
        for task_id in task_ids:
            start = self._starts.pop(task_id, None)
            worker = self._workers.get(start.agent_id) if start is not None else None
            if worker is not None and worker.probe is not None and worker.probe[0] == task_id:
                worker.probe = None

    def _succeeded(self, start: AttemptStart, at: float) -> None:
        worker = self._workers.get(start.agent_id)
        # A start from before the last failure says nothing about the worker since then.
        if worker is not None and self._newer_than_failures(start, worker):
            del self._workers[start.agent_id]
        job = self._jobs.get(start.job_id)
        if job is not None and at > job.succeeded_at:
            job.failed_on.clear()
            job.succeeded_at = at

    def _newer_than_failures(self, start: AttemptStart, worker: WorkerEvidence) -> bool:
        if worker.incarnation != start.incarnation:
            return False
        return all(start.at >= failures.first_at for failures in worker.failures.values())

    def _failed(self, start: AttemptStart, now: float) -> None:
        worker = self._workers.get(start.agent_id)
        if worker is None or worker.incarnation != start.incarnation:
            worker = self._workers[start.agent_id] = WorkerEvidence(start.incarnation)
        worker.add(start.job_id, now)
        self._workers.move_to_end(start.agent_id)
        if len(self._workers) > MAX_WORKERS_WITH_FAILURES:
            self._workers.popitem(last=False)
        job = self._jobs.setdefault(start.job_id, JobEvidence())
        # A worker that is already set aside says nothing about the job.
        if worker.since is None and not job.always_fails:
            job.failed_on.add(start.agent_id)
        self._jobs.move_to_end(start.job_id)
        if len(self._jobs) > MAX_JOBS_WITH_FAILURES:
            self._jobs.popitem(last=False)

    def _probe_ended(self, start: AttemptStart, now: float) -> None:
        worker = self._workers.get(start.agent_id)
        if worker is None or worker.probe != (start.task_id, start.attempt):
            return
        worker.probe = None
        worker.probe_at = now + worker.pause
        worker.pause = min(worker.pause * 2.0, MAX_PROBE_SECONDS)

    def _drop_if_replaced(self, view: WorkerView) -> None:
        worker = self._workers[view.agent_id]
        if view.incarnation and worker.incarnation != view.incarnation:
            del self._workers[view.agent_id]

    def _since(self, agent_id: str, now: float) -> float | None:
        worker = self._workers.get(agent_id)
        if worker is None:
            return None
        if worker.since is None:
            worker.forget_before(now - EVIDENCE_SECONDS)
        if self._score(worker) < SCORE_TO_QUARANTINE:
            worker.since = None  # its jobs turned out to fail everywhere
        elif worker.since is None:
            worker.since = now
            worker.probe_at = now + FIRST_PROBE_SECONDS
        return worker.since

    def _score(self, worker: WorkerEvidence) -> int:
        return sum(self._weight(job_id, kept) for job_id, kept in worker.failures.items())

    def _weight(self, job_id: str, failures: JobFailures) -> int:
        job = self._jobs.get(job_id)
        if job is None:
            return 1
        if job.always_fails:
            return 0
        return failures.count if job.succeeded_at > failures.first_at else 1

    def _may_probe(self, agent_id: str, now: float) -> bool:
        worker = self._workers[agent_id]
        return worker.probe is None and now >= worker.probe_at


def _within_cap(
    found: list[tuple[float, str]], views: dict[str, WorkerView], workers: Sequence[WorkerView]
) -> list[str]:
    remaining = {
        zone: int(count * MAX_QUARANTINED_SHARE)
        for zone, count in Counter(view.availability_zone for view in workers).items()
    }
    chosen = []
    for _, name in found:
        zone = views[name].availability_zone
        if remaining[zone] > 0:
            remaining[zone] -= 1
            chosen.append(name)
    return chosen
