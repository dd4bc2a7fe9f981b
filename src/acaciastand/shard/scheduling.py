"""Assigns waiting tasks and buckets of a shard to workers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b

from acaciastand.placement.estimates import SizeModel
from acaciastand.placement.failure_attribution import (
    AttemptOutcome,
    AttemptStart,
    FailureAttribution,
    NoAttribution,
    Quarantine,
)
from acaciastand.placement.placer import PlacementRequest, Placer
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard.events import AttemptEnd
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import (
    BUCKET_SETTLE_SECONDS,
    BUCKETS_PER_SERVICE,
    MAX_BUCKETS,
    MAX_EVENTS_PER_COMMIT,
    REBALANCE_SECONDS,
)
from acaciastand.shard.runtime_state import GrantState
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import BUCKET_PREFIX, Job, Task, TaskState, job_id_of

OUTCOMES = {
    AttemptEnd.COMPLETED: AttemptOutcome.SUCCEEDED,
    AttemptEnd.FAILED: AttemptOutcome.FAILED,
    AttemptEnd.START_FAILED: AttemptOutcome.FAILED,
}
NO_CAPACITY = Resources(-1.0, -1, -1)
BUCKET_SIZE = Resources()  # a home takes no capacity of its own


class WorkerPool:
    """Workers by position, for placement, and by agent."""

    __slots__ = ("views", "_positions")

    def __init__(self, views: Iterable[WorkerView]) -> None:
        self.views = list(views)
        self._positions = {view.agent_id: index for index, view in enumerate(self.views)}

    def get(self, agent_id: str) -> WorkerView | None:
        """Return the worker of an agent, or None."""
        index = self._positions.get(agent_id)
        return None if index is None else self.views[index]

    def put(self, view: WorkerView) -> None:
        """Replace what is known of a worker."""
        self.views[self._positions[view.agent_id]] = view


class Scheduler:
    """Starts what fits: urgent jobs before normal ones, each in the order of submission.

    Parameters
    ----------
    shard
        The shard whose tasks are started.
    shard_count
        Number of shards; a bucket belongs to the shard of its number modulo this.
    placer
        Chooses the workers.
    estimator
        Knows sizes of earlier tasks.
    failure_attribution
        Knows workers that fail what they start.
    """

    def __init__(
        self,
        shard: Shard,
        shard_count: int,
        placer: Placer,
        estimator: SizeModel,
        failure_attribution: FailureAttribution | None = None,
    ) -> None:
        self.shard = shard
        self.shard_count = shard_count
        self.placer = placer
        self.estimator = estimator
        self._rebalanced_at: dict[str, float] = {}
        self.failure_attribution = (
            NoAttribution() if failure_attribution is None else failure_attribution
        )
        self.quarantine = Quarantine()
        self.probing: frozenset[str] = frozenset()

    def waiting(self) -> bool:
        """Return whether any committed job has a waiting task."""
        return any(job.counts[TaskState.WAITING] for job in self.shard.state.jobs.values())

    def start_tasks(
        self, workers: Iterable[WorkerView], remaining_quotas: Mapping[str, float], now: float
    ) -> int:
        """Assign waiting tasks, about one commit's worth at most, and return their number.

        `remaining_quotas` holds the cores that each team may still take; teams without a quota are
        absent.
        """
        quotas_left = dict(remaining_quotas)
        self.process_ends(now)
        pool = WorkerPool(self._without_quarantined(list(self._with_reservations(workers)), now))
        started = 0
        blocked: set[tuple[object, ...]] = set()
        for job in self._jobs_by_priority():
            if started >= MAX_EVENTS_PER_COMMIT:
                break
            started += self._start_job(job, pool, quotas_left, blocked, now)
        return started

    def process_ends(self, now: float) -> None:
        """Take in how attempts ended since the last call."""
        while self.shard.ends:
            ended = self.shard.ends.popleft()
            outcome = OUTCOMES.get(ended.end, AttemptOutcome.UNKNOWN)
            self.failure_attribution.record_end(ended.task_id, ended.attempt, outcome, now)

    def never_fits(self, spec: JobSpec, workers: Iterable[WorkerView]) -> bool:
        """Return whether there are workers but none could ever run a task of this job."""
        views = list(workers)
        return bool(views) and not any(view.suits(spec.size, spec.service) for view in views)

    def _with_reservations(self, workers: Iterable[WorkerView]) -> Iterator[WorkerView]:
        reserved: dict[str, Resources] = {}
        for task in self.shard.state.running.values():
            agent = self.shard.agents.get(task.agent_id)
            if task.is_bucket or agent is None:
                continue
            if (task.task_id, task.attempt) not in agent.listed:
                spec = self.shard.state.jobs[job_id_of(task.task_id)].spec
                size = reserved.get(task.agent_id, Resources())
                reserved[task.agent_id] = size.plus(self._size(spec))
        for worker in workers:
            known = self.shard.agents.get(worker.agent_id)
            refused = known is not None and known.refused_at == known.sequence
            free = worker.free.minus(reserved.get(worker.agent_id, Resources()))
            # An agent that refused has less room than it announced; wait for its next heartbeat.
            yield worker.replace(free=NO_CAPACITY if refused else free)

    def _without_quarantined(self, views: list[WorkerView], now: float) -> Iterator[WorkerView]:
        self.quarantine = self.failure_attribution.current_quarantine(views, now)
        quarantined = self.quarantine.quarantined
        self.probing = frozenset(name for name, may_probe in quarantined.items() if may_probe)
        for view in views:
            blocked = not quarantined.get(view.agent_id, True)
            yield view.replace(free=NO_CAPACITY) if blocked else view

    def _jobs_by_priority(self) -> list[Job]:
        jobs = [
            job
            for job in self.shard.state.jobs.values()
            if job.counts[TaskState.WAITING] and job.job_id not in self.shard.uncommitted_jobs
        ]
        return [job for job in jobs if job.spec.urgent] + [j for j in jobs if not j.spec.urgent]

    def _size(self, spec: JobSpec) -> Resources:
        return self.estimator.size(spec.team, spec.batch_class, spec.size)

    def _start_job(
        self,
        job: Job,
        pool: WorkerPool,
        remaining_quotas: dict[str, float],
        blocked: set[tuple[object, ...]],
        now: float,
    ) -> int:
        size = self._size_to_place(job.spec, pool)
        shape = (*size.values(), job.spec.service)
        started = 0
        for task in job.tasks:
            if shape in blocked or started >= MAX_EVENTS_PER_COMMIT:
                break
            if task.state != TaskState.WAITING or not self.shard.may_start(task.task_id, now):
                continue
            if not _within_quota(job.spec, remaining_quotas):
                break
            worker = self._choose(job, task, size, pool)
            if worker is None:
                if not self._avoided(job, task, size, pool):
                    blocked.add(shape)
                continue
            self._start(task, worker, size, pool, now)
            if job.spec.team in remaining_quotas:
                remaining_quotas[job.spec.team] -= job.spec.size.cores
            started += 1
        return started

    def _size_to_place(self, spec: JobSpec, pool: WorkerPool) -> Resources:
        # A learned size includes a margin, which can exceed every worker.
        size = self._size(spec)
        fits = any(view.suits(size, spec.service) for view in pool.views)
        return size if fits else spec.size

    def _choose(self, job: Job, task: Task, size: Resources, pool: WorkerPool) -> WorkerView | None:
        running = (pool.get(t.agent_id) for t in job.tasks if t.state == TaskState.RUNNING)
        spread = [(v.availability_zone, v.rack, v.agent_id) for v in running if v is not None]
        avoid = self._avoided(job, task, size, pool)
        request = PlacementRequest(size, job.spec.service, avoid, spread, job.spec.batch_class)
        return self.placer.choose(request, pool.views)

    def _avoided(self, job: Job, task: Task, size: Resources, pool: WorkerPool) -> set[str]:
        last = self.shard.avoid.get(task.task_id)
        avoided = {last} if last else set()
        if job.spec.urgent or task.failures:
            avoided |= self.probing | self.quarantine.suspected  # these probably fail it
        if not avoided:
            return avoided
        others = (
            v
            for v in pool.views
            if v.agent_id not in avoided and v.agent_id not in self.quarantine.quarantined
        )
        # The only suitable worker is used again.
        return avoided if any(v.suits(size, job.spec.service) for v in others) else set()

    def _start(
        self, task: Task, worker: WorkerView, size: Resources, pool: WorkerPool, now: float
    ) -> None:
        probe = worker.agent_id in self.probing
        pool.put(worker.replace(free=NO_CAPACITY if probe else worker.free.minus(size)))
        self.shard.start(task, worker.agent_id, worker.incarnation, size)
        start = AttemptStart(worker.agent_id, worker.incarnation, task.task_id, task.attempt, now)
        self.failure_attribution.record_start(start)

    # Buckets

    def start_buckets(self, workers: Iterable[WorkerView], now: float) -> int:
        """Assign buckets without a home, and ask draining and overfull homes to give some up."""
        views = {view.agent_id: view for view in workers}
        homes: dict[str, list[WorkerView]] = {}
        for view in views.values():
            for service in () if view.draining else view.services:
                homes.setdefault(service, []).append(view)
        self._leave_draining(views)
        return sum(self._start_service(name, homes[name], now) for name in sorted(homes))

    def _leave_draining(self, views: dict[str, WorkerView]) -> None:
        for task in list(self.shard.state.running.values()):
            view = views.get(task.agent_id)
            if task.is_bucket and view is not None and view.draining:
                self.shard.stop_bucket(task.task_id)

    def _start_service(self, service: str, homes: list[WorkerView], now: float) -> int:
        seen = self.shard.service_seen.setdefault(service, now)
        if now < seen + BUCKET_SETTLE_SECONDS:
            return 0
        buckets = [
            self._bucket(f"{BUCKET_PREFIX}{service}/{number}")
            for number in range(BUCKETS_PER_SERVICE)
            if number % self.shard_count == self.shard.state.number
        ]
        bucket_counts = Counter(
            task.agent_id for task in buckets if task.state == TaskState.RUNNING
        )
        started = 0
        for task in buckets:
            full = len(self.shard.state.buckets) >= MAX_BUCKETS and not task.attempt
            if task.state == TaskState.RUNNING or full:
                continue
            if self.shard.may_start(task.task_id, now):
                home = min(
                    homes, key=lambda view: (bucket_counts[view.agent_id], _rank(task, view))
                )
                bucket_counts[home.agent_id] += 1
                self.shard.start(task, home.agent_id, home.incarnation, BUCKET_SIZE)
                started += 1
        if all(self._has_home(task) for task in buckets):
            self._rebalance(service, buckets, homes, now)
        return started

    def _rebalance(
        self, service: str, buckets: list[Task], homes: list[WorkerView], now: float
    ) -> None:
        """Ask the fullest home for one bucket if another has at least two fewer.

        The bucket gets its next home like any other, after its end was reported and committed.
        """
        if now < self._rebalanced_at.get(service, now):
            return
        bucket_counts = Counter({view.agent_id: 0 for view in homes})
        bucket_counts.update(task.agent_id for task in buckets if task.agent_id in bucket_counts)
        fullest = max(sorted(bucket_counts), key=bucket_counts.__getitem__)
        if bucket_counts[fullest] - min(bucket_counts.values()) < 2:
            return
        # The same bucket is chosen again while the answer to a stop is outstanding.
        moving = min(
            (task for task in buckets if task.agent_id == fullest), key=lambda task: task.task_id
        )
        self._rebalanced_at[service] = now + REBALANCE_SECONDS
        self.shard.stop_bucket(moving.task_id)

    def _has_home(self, task: Task) -> bool:
        known = self.shard.attempts.get(task.task_id)
        answered = known is not None and known.grant_state not in (
            GrantState.QUEUED,
            GrantState.SENT,
        )
        return task.state == TaskState.RUNNING and answered

    def _bucket(self, task_id: str) -> Task:
        return self.shard.state.buckets.get(task_id) or Task(task_id)


def _within_quota(spec: JobSpec, remaining_quotas: Mapping[str, float]) -> bool:
    # Sums of fractions are inexact.
    return (
        spec.team not in remaining_quotas or spec.size.cores <= remaining_quotas[spec.team] + 1e-9
    )


def _rank(task: Task, view: WorkerView) -> bytes:
    # Shards choose independently; the hash keeps them from all preferring the same agent.
    name = f"{task.task_id}\x00{view.agent_id}"
    return blake2b(name.encode(), digest_size=8).digest()
