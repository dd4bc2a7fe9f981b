"""Scheduler that assigns the waiting tasks and buckets of a shard to workers."""

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
)
from acaciastand.placement.placer import PlacementRequest, Placer
from acaciastand.placement.quarantine import Access, Quarantine
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard.events import AttemptEnd
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import (
    BUCKET_ASSIGNMENT_DELAY_SECONDS,
    BUCKETS_PER_SERVICE,
    MAX_BUCKETS,
    MAX_EVENTS_PER_COMMIT,
    REBALANCE_INTERVAL_SECONDS,
)
from acaciastand.shard.runtime_state import GrantState
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import BUCKET_PREFIX, Job, Task, TaskState, job_id_of

# Outcome of a start as failure attribution counts it; other ends leave it unknown.
OUTCOME_BY_END = {
    AttemptEnd.COMPLETED: AttemptOutcome.SUCCEEDED,
    AttemptEnd.FAILED: AttemptOutcome.FAILED,
    AttemptEnd.START_FAILED: AttemptOutcome.FAILED,
}
NO_CAPACITY = Resources(-1.0, -1, -1)  # Free capacity in which no task fits.
BUCKET_SIZE = Resources()  # A bucket takes no capacity of its home.


class WorkerPool:
    """Workers in a list for placement, which can also be found by agent id.

    Parameters
    ----------
    views
        All workers; those in quarantine that may not be assigned a probe have no free capacity.
    last_resort
        Those of them that may be assigned a task without another place, with their free capacity.
    """

    __slots__ = ("views", "last_resort", "_positions")

    def __init__(
        self, views: Iterable[WorkerView], last_resort: Mapping[str, WorkerView] | None = None
    ) -> None:
        self.views = list(views)
        self.last_resort = dict(last_resort or {})
        self._positions = {view.agent_id: index for index, view in enumerate(self.views)}

    def get(self, agent_id: str) -> WorkerView | None:
        """Return the worker of an agent; None when it is not in the pool."""
        index = self._positions.get(agent_id)
        return None if index is None else self.views[index]

    def put(self, view: WorkerView) -> None:
        """Replace the view of a worker that is in the pool."""
        self.views[self._positions[view.agent_id]] = view


class Scheduler:
    """Starts the tasks that fit: urgent jobs before normal ones, each in the order of submission.

    Parameters
    ----------
    shard
        The shard whose tasks and buckets are started.
    shard_count
        Number of shards. A bucket belongs to the shard whose number is the number of the bucket
        modulo this count.
    placer
        Chooses a worker for each task.
    estimator
        Estimates the size of a task from earlier tasks of its class.
    failure_attribution
        Finds the workers that fail the tasks they start; by default none.

    Attributes
    ----------
    quarantine
        Quarantined and suspected workers in the last scheduling round.
    probe_agents
        Agents of quarantined workers that could get a probe in the last scheduling round.
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
        self._next_rebalance_at: dict[str, float] = {}
        self.failure_attribution = (
            NoAttribution() if failure_attribution is None else failure_attribution
        )
        self.quarantine = Quarantine()
        self.probe_agents: frozenset[str] = frozenset()

    def has_waiting_tasks(self) -> bool:
        """Return whether any unfinished job has a waiting task."""
        return any(job.counts[TaskState.WAITING] for job in self.shard.state.jobs.values())

    def start_tasks(
        self, workers: Iterable[WorkerView], remaining_quotas: Mapping[str, float], now: float
    ) -> int:
        """Assign waiting tasks to workers and return the number of starts.

        Once the starts fill one commit, no further job is considered.

        Parameters
        ----------
        workers
            Workers that can be granted attempts.
        remaining_quotas
            Cores that each team may still use; teams without a quota are absent.
        now
            Seconds of the owner's monotonic clock.
        """
        unused_quotas = dict(remaining_quotas)
        self.process_ends(now)
        pool = self._make_pool(list(self._with_reservations(workers)), now)
        started = 0
        unplaceable: set[tuple[object, ...]] = set()
        for job in self._jobs_by_priority():
            if started >= MAX_EVENTS_PER_COMMIT:
                break
            started += self._start_job_tasks(job, pool, unused_quotas, unplaceable, now)
        return started

    def process_ends(self, now: float) -> None:
        """Pass the ends of attempts since the last call to failure attribution."""
        while self.shard.unprocessed_ends:
            ended = self.shard.unprocessed_ends.popleft()
            outcome = OUTCOME_BY_END.get(ended.end, AttemptOutcome.UNKNOWN)
            self.failure_attribution.record_end(ended.task_id, ended.attempt, outcome, now)

    def never_fits(self, spec: JobSpec, workers: Iterable[WorkerView]) -> bool:
        """Return whether there are workers, but none of them could ever run a task of the job."""
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
                reserved_before = reserved.get(task.agent_id, Resources())
                reserved[task.agent_id] = reserved_before.plus(self._estimated_size(spec))
        for worker in workers:
            agent = self.shard.agents.get(worker.agent_id)
            has_refused = agent is not None and agent.last_refusal_sequence == agent.sequence
            free = worker.free.minus(reserved.get(worker.agent_id, Resources()))
            # An agent that refused a grant has less free capacity than it reported. It gets no
            # further tasks until its next heartbeat.
            yield worker.replace(free=NO_CAPACITY if has_refused else free)

    def _make_pool(self, views: list[WorkerView], now: float) -> WorkerPool:
        self.quarantine = self.failure_attribution.current_quarantine(views, now)
        quarantined = self.quarantine.quarantined
        self.probe_agents = frozenset(
            agent_id for agent_id, may_probe in quarantined.items() if may_probe
        )
        held_back = {v.agent_id: v for v in views if not quarantined.get(v.agent_id, True)}
        last_resort = {
            agent_id: view
            for agent_id, view in held_back.items()
            if self.quarantine.access.get(agent_id) is not Access.NONE
        }
        return WorkerPool(
            [v.replace(free=NO_CAPACITY) if v.agent_id in held_back else v for v in views],
            last_resort,
        )

    def _jobs_by_priority(self) -> list[Job]:
        jobs = [
            job
            for job in self.shard.state.jobs.values()
            if job.counts[TaskState.WAITING] and job.job_id not in self.shard.uncommitted_jobs
        ]
        return [job for job in jobs if job.spec.urgent] + [j for j in jobs if not j.spec.urgent]

    def _estimated_size(self, spec: JobSpec) -> Resources:
        return self.estimator.size(spec.team, spec.batch_class, spec.size)

    def _start_job_tasks(
        self,
        job: Job,
        pool: WorkerPool,
        remaining_quotas: dict[str, float],
        unplaceable: set[tuple[object, ...]],
        now: float,
    ) -> int:
        # `unplaceable` collects the sizes and services for which no worker has free capacity.
        size = self._size_to_place(job.spec, pool)
        requirements = (*size.values(), job.spec.service)
        started = 0
        for task in job.tasks:
            if requirements in unplaceable or started >= MAX_EVENTS_PER_COMMIT:
                break
            if task.state != TaskState.WAITING or not self.shard.may_start(task.task_id, now):
                continue
            if not _within_quota(job.spec, remaining_quotas):
                break
            worker = self._choose_worker(job, task, size, pool)
            if worker is None:
                if not self._agents_to_avoid(job, task, size, pool):
                    unplaceable.add(requirements)
                continue
            self._start_task(task, worker, size, pool, now)
            if job.spec.team in remaining_quotas:
                remaining_quotas[job.spec.team] -= job.spec.size.cores
            started += 1
        return started

    def _size_to_place(self, spec: JobSpec, pool: WorkerPool) -> Resources:
        # An estimated size includes a margin, with which it can exceed the size of every worker.
        size = self._estimated_size(spec)
        fits = any(view.suits(size, spec.service) for view in pool.views)
        return size if fits else spec.size

    def _choose_worker(
        self, job: Job, task: Task, size: Resources, pool: WorkerPool
    ) -> WorkerView | None:
        workers = (pool.get(t.agent_id) for t in job.tasks if t.state == TaskState.RUNNING)
        locations = [(v.availability_zone, v.rack, v.agent_id) for v in workers if v is not None]
        avoid = self._agents_to_avoid(job, task, size, pool)
        request = PlacementRequest(size, job.spec.service, avoid, locations, job.spec.batch_class)
        worker = self.placer.choose(request, pool.views)
        if worker is None and pool.last_resort:
            return self._choose_last_resort(job, request, pool)
        return worker

    def _choose_last_resort(
        self, job: Job, request: PlacementRequest, pool: WorkerPool
    ) -> WorkerView | None:
        """Return a worker in quarantine if no other could ever run a task; None if one could."""
        if any(
            v.suits(request.size, job.spec.service)
            for v in pool.views
            if v.agent_id not in self.quarantine.quarantined
        ):
            return None
        return self.placer.choose(request, list(pool.last_resort.values()))

    def _agents_to_avoid(self, job: Job, task: Task, size: Resources, pool: WorkerPool) -> set[str]:
        last_failed_agent = self.shard.last_failed_agents.get(task.task_id)
        agents = {last_failed_agent} if last_failed_agent else set()
        if job.spec.urgent or task.failures:
            # A task would probably fail on these workers.
            agents |= self.probe_agents | self.quarantine.suspected
        if not agents:
            return agents
        others = (
            v
            for v in pool.views
            if v.agent_id not in agents and v.agent_id not in self.quarantine.quarantined
        )
        # When no other worker is suitable, the avoided ones are used after all.
        return agents if any(v.suits(size, job.spec.service) for v in others) else set()

    def _start_task(
        self, task: Task, worker: WorkerView, size: Resources, pool: WorkerPool, now: float
    ) -> None:
        if worker.agent_id in pool.last_resort:
            self._take_last_resort(pool, worker, size)
        else:
            is_probe = worker.agent_id in self.probe_agents
            pool.put(worker.replace(free=NO_CAPACITY if is_probe else worker.free.minus(size)))
        self.shard.start_attempt(task, worker.agent_id, worker.incarnation, size)
        start = AttemptStart(worker.agent_id, worker.incarnation, task.task_id, task.attempt, now)
        self.failure_attribution.record_start(start)

    def _take_last_resort(self, pool: WorkerPool, worker: WorkerView, size: Resources) -> None:
        """Take the capacity of a task from a worker in quarantine, or all if it may have one."""
        if self.quarantine.access.get(worker.agent_id) is Access.ANY:
            pool.last_resort[worker.agent_id] = worker.replace(free=worker.free.minus(size))
        else:
            del pool.last_resort[worker.agent_id]

    # Buckets

    def start_buckets(self, workers: Iterable[WorkerView], now: float) -> int:
        """Assign buckets without a home, and return the number of assignments.

        Draining homes are asked to stop all their buckets, and homes that have more buckets than
        others are asked to stop single ones.
        """
        views = {view.agent_id: view for view in workers}
        workers_by_service: dict[str, list[WorkerView]] = {}
        for view in views.values():
            for service in () if view.draining else view.services:
                workers_by_service.setdefault(service, []).append(view)
        self._stop_buckets_of_draining(views)
        return sum(
            self._start_service_buckets(service, workers_by_service[service], now)
            for service in sorted(workers_by_service)
        )

    def _stop_buckets_of_draining(self, views: dict[str, WorkerView]) -> None:
        for task in list(self.shard.state.running.values()):
            view = views.get(task.agent_id)
            if task.is_bucket and view is not None and view.draining:
                self.shard.stop_bucket(task.task_id)

    def _start_service_buckets(self, service: str, workers: list[WorkerView], now: float) -> int:
        first_seen_at = self.shard.service_first_seen_at.setdefault(service, now)
        if now < first_seen_at + BUCKET_ASSIGNMENT_DELAY_SECONDS:
            return 0
        buckets = [
            self._find_or_create_bucket(f"{BUCKET_PREFIX}{service}/{number}")
            for number in range(BUCKETS_PER_SERVICE)
            if number % self.shard_count == self.shard.state.number
        ]
        bucket_counts = Counter(
            task.agent_id for task in buckets if task.state == TaskState.RUNNING
        )
        started = 0
        for task in buckets:
            exceeds_limit = len(self.shard.state.buckets) >= MAX_BUCKETS and not task.attempt
            if task.state == TaskState.RUNNING or exceeds_limit:
                continue
            if self.shard.may_start(task.task_id, now):
                home = min(
                    workers,
                    key=lambda view: (bucket_counts[view.agent_id], _home_rank(task, view)),
                )
                bucket_counts[home.agent_id] += 1
                self.shard.start_attempt(task, home.agent_id, home.incarnation, BUCKET_SIZE)
                started += 1
        if all(self._has_home(task) for task in buckets):
            self._rebalance_buckets(service, buckets, workers, now)
        return started

    def _rebalance_buckets(
        self, service: str, buckets: list[Task], workers: list[WorkerView], now: float
    ) -> None:
        """Stop one bucket of the home with the most if another home has at least two fewer.

        The bucket is assigned like any other after its end was reported and committed.
        """
        if now < self._next_rebalance_at.get(service, now):
            return
        bucket_counts = Counter({view.agent_id: 0 for view in workers})
        bucket_counts.update(task.agent_id for task in buckets if task.agent_id in bucket_counts)
        fullest = max(sorted(bucket_counts), key=bucket_counts.__getitem__)
        if bucket_counts[fullest] - min(bucket_counts.values()) < 2:
            return
        # While the end of a stopped bucket is outstanding, the same bucket is chosen again.
        bucket_to_move = min(
            (task for task in buckets if task.agent_id == fullest), key=lambda task: task.task_id
        )
        self._next_rebalance_at[service] = now + REBALANCE_INTERVAL_SECONDS
        self.shard.stop_bucket(bucket_to_move.task_id)

    def _has_home(self, task: Task) -> bool:
        runtime = self.shard.attempts.get(task.task_id)
        is_answered = runtime is not None and runtime.grant_state not in (
            GrantState.QUEUED,
            GrantState.SENT,
        )
        return task.state == TaskState.RUNNING and is_answered

    def _find_or_create_bucket(self, task_id: str) -> Task:
        return self.shard.state.buckets.get(task_id) or Task(task_id)


def _within_quota(spec: JobSpec, remaining_quotas: Mapping[str, float]) -> bool:
    # The tolerance allows for rounding errors in sums of fractions.
    return (
        spec.team not in remaining_quotas or spec.size.cores <= remaining_quotas[spec.team] + 1e-9
    )


def _home_rank(task: Task, view: WorkerView) -> bytes:
    # Shards choose homes independently; the hash keeps them from all preferring the same agent.
    name = f"{task.task_id}\x00{view.agent_id}"
    return blake2b(name.encode(), digest_size=8).digest()
