"""Placement by declared and by learned sizes, against an oracle that knows every size.

The product's shard, scheduler, placers and estimator run against simulated workers and a simulated
clock. Cores beyond a worker's capacity slow its tasks down; memory beyond it evicts the task that
started last.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

from acaciastand.placement.estimates import DeclaredSizes, SizeEstimator, SizeModel
from acaciastand.placement.placer import BestFit, FirstFit, Placer
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import MAX_EVENTS_PER_COMMIT, Timings
from acaciastand.shard.outbox import Grant
from acaciastand.shard.runtime_state import AttemptEndReport
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState, Task, TaskState, job_id_of
from acaciastand_lab.harness import BLUE_MAHOE, MAISON_REPRISE, Experiment, Firm, register
from acaciastand_lab.harness.experiment import Figures

STEP_SECONDS = 1.0
RUN_SECONDS = 1800.0
MEASURED_FROM = 300.0  # the first reports are in by then
USAGE_LAG_SECONDS = 5.0  # until the agent sees what a task uses
MEMORY_PER_CORE_MB = 3_900
RACK = 3  # workers to a rack
CLASSES = 8
TEAMS = 4
LIMITED_TEAM = "team-0"
QUOTA_SHARE = 0.25  # of all cores, for the limited team
TRUE_CORES = (0.5, 4.0)  # of a class, log-uniform
FAR_OFF = (0.4, 6.0)  # declared over true size of a class, log-uniform
JITTER = 0.15  # of the true and declared size of a job around those of its class
RUN_TIME = (20.0, 180.0)  # seconds of a class, uniform
TASKS_PER_JOB = 6
WAITING_PER_CORE = 0.5  # tasks; keeps the workers saturated
NEVER_FITS_EVERY = 40  # jobs
URGENT_INTERVAL_SECONDS = 20.0
URGENT_CORES = 1.0
CANCEL_AT = (600.0, 1200.0)
CANCELLED_SHARE = 0.3
URGENT_GOAL_SECONDS = 9.0


class TaskClass(Record):
    """What the tasks of a class use and what their callers declare."""

    __slots__ = ("team", "name", "use", "declared", "run_seconds")

    def __init__(
        self, team: str, name: str, use: Resources, declared: Resources, run_seconds: float
    ) -> None:
        self.team = team
        self.name = name
        self.use = use
        self.declared = declared
        self.run_seconds = run_seconds


class KnownSizes(SizeModel):
    """The oracle: knows what the tasks of each job use; it tells jobs apart by declaration."""

    def __init__(self) -> None:
        self.sizes: dict[tuple[float, int, int], Resources] = {}

    def add(self, item: TaskClass) -> None:
        """Take in the sizes of a job."""
        self.sizes[item.declared.values()] = item.use

    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Nothing is left to learn."""

    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the use of the job with this declaration."""
        return self.sizes.get(declared.values(), declared)

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the declared run time, which placement does not use."""
        return declared


class Candidate(Record):
    """A placer with a source of sizes."""

    __slots__ = ("placer", "sizes")

    def __init__(self, placer: Callable[[], Placer], sizes: Callable[[], SizeModel]) -> None:
        self.placer = placer
        self.sizes = sizes


CANDIDATES = {
    "first fit, declared": Candidate(FirstFit, DeclaredSizes),
    "best fit, declared": Candidate(BestFit, DeclaredSizes),
    "first fit, learned": Candidate(FirstFit, SizeEstimator),
    "best fit, learned": Candidate(BestFit, SizeEstimator),
    "best fit, off 2, margin 1.2, largest": Candidate(
        BestFit, lambda: SizeEstimator(2.0, 1.2, 1.0)
    ),
    "best fit, off 1.05, no margin, median": Candidate(
        BestFit, lambda: SizeEstimator(1.05, 1.0, 0.5)
    ),
    "oracle": Candidate(BestFit, KnownSizes),
}


class Running:
    """An attempt at a simulated worker."""

    __slots__ = ("grant", "use", "left", "started")

    def __init__(self, grant: Grant, use: Resources, left: float, started: float) -> None:
        self.grant = grant
        self.use = use
        self.left = left
        self.started = started


class Simulation:
    """One shard with its workers; the sequence of jobs depends on the seed only."""

    def __init__(self, firm: Firm, candidate: Candidate, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.capacity = Resources(float(firm.cores), firm.cores * MEMORY_PER_CORE_MB, 0)
        self.cores = firm.hosts * self.capacity.cores
        self.classes = [self._class(number) for number in range(CLASSES)]
        self.estimator = candidate.sizes()
        self.shard = Shard(ShardState(0), Timings())
        self.shard.apply_takeover(self.shard.takeover_event("owner"), 0.0)
        self.scheduler = Scheduler(self.shard, 1, candidate.placer(), self.estimator)
        self.views = [_view(firm, number, self.capacity) for number in range(firm.hosts)]
        self.running: dict[str, dict[str, Running]] = {view.agent_id: {} for view in self.views}
        self.now = 0.0
        self.class_of: dict[str, TaskClass] = {}
        self.progress: dict[str, float] = {}
        self.urgent: dict[str, float] = {}
        self.waits: list[float] = []
        self.totals: Counter[str] = Counter()
        self.quota_exceeded = 0.0
        self.work = 0.0
        self._jobs = 0
        self._next_urgent = URGENT_INTERVAL_SECONDS

    def run(self) -> Figures:
        """Return the figures of the run."""
        while self.now < RUN_SECONDS:
            self._submit()
            self._advance()
            self._schedule()
            if self.now in CANCEL_AT:
                self._cancel_wave()
            self.now += STEP_SECONDS
        return self._figures()

    def _class(self, number: int) -> TaskClass:
        cores = _log_uniform(self.random, TRUE_CORES)
        memory = int(cores * MEMORY_PER_CORE_MB * self.random.uniform(0.3, 1.2))
        declared = Resources(
            min(cores * _log_uniform(self.random, FAR_OFF), self.capacity.cores),
            min(int(memory * _log_uniform(self.random, FAR_OFF)), self.capacity.memory_mb),
        )
        use = Resources(cores, memory, 0)
        seconds = self.random.uniform(*RUN_TIME)
        return TaskClass(f"team-{number % TEAMS}", f"class-{number}", use, declared, seconds)

    def _submit(self) -> None:
        wanted = max(int(self.cores * WAITING_PER_CORE), TASKS_PER_JOB)
        while self._waiting_normal() < wanted:
            self._submit_next()
        if self.now >= self._next_urgent:
            self._next_urgent += URGENT_INTERVAL_SECONDS
            size = Resources(URGENT_CORES, 1_000, 0)
            item = TaskClass("urgent", "urgent", size, size, 30.0)
            self.urgent[f"{self._submit_job(item, 1, urgent=True)}/0"] = self.now

    def _waiting_normal(self) -> int:
        return sum(
            job.counts[TaskState.WAITING]
            for job in self.shard.state.jobs.values()
            if job.spec.team not in ("never", LIMITED_TEAM)
        )

    def _submit_next(self) -> None:
        if self._jobs % NEVER_FITS_EVERY == NEVER_FITS_EVERY - 1:
            huge = _times(self.capacity, 2.0)
            self._submit_job(TaskClass("never", "never", huge, huge, 10.0), 1)
            return
        waiting = sum(
            job.counts[TaskState.WAITING]
            for job in self.shard.state.jobs.values()
            if job.spec.team == LIMITED_TEAM
        )
        item = self.classes[self._jobs % CLASSES]
        if item.team == LIMITED_TEAM and waiting > self.cores * WAITING_PER_CORE:
            self._jobs += 1  # its backlog is long enough
            return
        source = random.Random(f"{self.seed}/{self._jobs}")
        use = _times(item.use, source.uniform(1.0 - JITTER, 1.0 + JITTER))
        declared = _times(item.declared, source.uniform(1.0 - JITTER, 1.0))
        self._submit_job(item.replace(use=use, declared=declared), TASKS_PER_JOB)

    def _submit_job(self, item: TaskClass, tasks: int, urgent: bool = False) -> str:
        self._jobs += 1
        job_id = f"j0-{self._jobs:012x}"
        spec = JobSpec(job_id, item.team, item.name, urgent, tasks, item.declared)
        self.shard.submit(spec, "", job_id)
        self.class_of[job_id] = item
        if isinstance(self.estimator, KnownSizes):
            self.estimator.add(item)
        return job_id

    def _cancel_wave(self) -> None:
        source = random.Random(self.seed * 1_000 + int(self.now))
        for job_id in sorted(self.shard.state.jobs):
            if self.class_of[job_id].team != "urgent" and source.random() < CANCELLED_SHARE:
                self.shard.cancel(job_id)
        for tasks in self.running.values():
            for task_id, item in list(tasks.items()):
                job = self.shard.state.jobs.get(job_id_of(task_id))
                if job is not None and job.cancelled:
                    self._end(item, "stopped")

    def _advance(self) -> None:
        for tasks in self.running.values():
            cores = sum(item.use.cores for item in tasks.values())
            speed = min(1.0, self.capacity.cores / cores) if cores else 1.0
            for item in list(tasks.values()):
                done = min(STEP_SECONDS * speed, item.left)
                item.left -= done
                if self.now >= MEASURED_FROM:
                    self.work += done * item.use.cores
                if item.left <= 0.0:
                    self._complete(item)
            self._evict(tasks)

    def _complete(self, item: Running) -> None:
        if self.now >= MEASURED_FROM:
            self.totals["finished"] += 1
        found = self.class_of[job_id_of(item.grant.task_id)]
        self.estimator.learn(found.team, found.name, item.use, self.now - item.started)
        self._end(item, "completed")

    def _evict(self, tasks: dict[str, Running]) -> None:
        while sum(item.use.memory_mb for item in tasks.values()) > self.capacity.memory_mb:
            item = max(tasks.values(), key=lambda item: (item.started, item.grant.task_id))
            self.progress[item.grant.task_id] = item.left
            self.totals["evicted"] += self.now >= MEASURED_FROM
            self._end(item, "evicted")

    def _end(self, item: Running, result: str) -> None:
        grant = item.grant
        del self.running[grant.agent_id][grant.task_id]
        self.shard.process_report(
            AttemptEndReport(grant.agent_id, grant.task_id, grant.attempt, result), self.now
        )

    def _schedule(self) -> None:
        self._commit()
        remaining_quota = self.cores * QUOTA_SHARE - self.shard.state.team_cores[LIMITED_TEAM]
        views = [view.replace(free=self._free(view.agent_id)) for view in self.views]
        self.scheduler.start_tasks(views, {LIMITED_TEAM: remaining_quota}, self.now)
        excess = self.shard.state.team_cores[LIMITED_TEAM] - self.cores * QUOTA_SHARE
        self.quota_exceeded = max(self.quota_exceeded, excess)
        self._commit()

    def _free(self, agent_id: str) -> Resources:
        free = self.capacity
        for item in self.running[agent_id].values():
            seen = self.now - item.started >= USAGE_LAG_SECONDS
            free = free.minus(item.grant.size.largest(item.use) if seen else item.grant.size)
        return free

    def _commit(self) -> None:
        while self.shard.pending:
            self.shard.mark_committed(min(len(self.shard.pending), MAX_EVENTS_PER_COMMIT))
        for message in self.shard.pop_ready_messages():
            if isinstance(message, Grant):
                self._start(message)

    def _start(self, grant: Grant) -> None:
        self.shard.begin_sending_grant(grant.task_id, grant.attempt, self.now)
        self.shard.record_grant_reply(grant.task_id, grant.attempt, True, self.now)
        item = self.class_of[job_id_of(grant.task_id)]
        if grant.task_id in self.urgent:
            self.waits.append(self.now - self.urgent.pop(grant.task_id))
        left = self.progress.pop(grant.task_id, item.run_seconds)
        self.running[grant.agent_id][grant.task_id] = Running(grant, item.use, left, self.now)

    def _figures(self) -> Figures:
        hours = (RUN_SECONDS - MEASURED_FROM) / 3600.0
        waits = sorted([*self.waits, *(self.now - at for at in self.urgent.values())])
        started = [task for task in self._never_fitting() if task.attempt]
        return {
            "tasks per hour": self.totals["finished"] / hours,
            "core hours per hour": self.work / 3600.0 / hours,
            "evictions per hour": self.totals["evicted"] / hours,
            "urgent p50 s": waits[len(waits) // 2],
            "urgent longest s": waits[-1],
            "urgent over 9 s, %": 100.0
            * sum(wait >= URGENT_GOAL_SECONDS for wait in waits)
            / len(waits),
            "cores over quota": max(self.quota_exceeded, 0.0),
            "never-fitting started": float(len(started)),
        }

    def _never_fitting(self) -> list[Task]:
        jobs = self.shard.state.jobs.values()
        return [task for job in jobs if job.spec.team == "never" for task in job.tasks]


def _view(firm: Firm, number: int, capacity: Resources) -> WorkerView:
    rack = number // RACK
    name = f"agent-{number:04d}"
    zone = firm.zone_of(rack)
    return WorkerView(name, f"{name}-1", zone, f"rack-{rack}", capacity, capacity)


def _times(size: Resources, factor: float) -> Resources:
    return Resources(size.cores * factor, int(size.memory_mb * factor), size.accelerators)


def _log_uniform(source: random.Random, bounds: tuple[float, float]) -> float:
    return math.exp(source.uniform(math.log(bounds[0]), math.log(bounds[1])))


@register
class Placement(Experiment):
    """Sizes and placers at saturation."""

    name = "placement"
    title = "Placement: sizes and placers"
    cases = (MAISON_REPRISE.name, BLUE_MAHOE.name)
    candidates = tuple(CANDIDATES)
    plotted = "tasks per hour"

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one run."""
        firm = next(firm for firm in (MAISON_REPRISE, BLUE_MAHOE) if firm.name == case)
        return Simulation(firm, CANDIDATES[candidate], seed).run()
