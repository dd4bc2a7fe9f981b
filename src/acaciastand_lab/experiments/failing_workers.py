"""Workers and jobs whose starts fail, with and without blame.

The product's shard, scheduler and placer run against simulated workers and a simulated clock.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections import Counter
from collections.abc import Callable

from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.failure_attribution import (
    EvidenceBasedAttribution,
    FailureAttribution,
    NoAttribution,
)
from acaciastand.placement.placer import BestFit
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import MAX_EVENTS_PER_COMMIT, MAX_TASK_FAILURES, Timings
from acaciastand.shard.outbox import Grant
from acaciastand.shard.runtime_state import AttemptEndReport
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState, job_id_of
from acaciastand_lab.harness import BLUE_MAHOE, MAISON_REPRISE, Experiment, Firm, register
from acaciastand_lab.harness.experiment import Figures

STEP_SECONDS = 0.25
RUN_SECONDS = 900.0
ARRIVALS_UNTIL = 720.0  # the rest lets the last tasks finish
FAULT_FROM = 120.0
WAVE_SECONDS = 120.0
TASKS_PER_WORKER = 8  # that fit at once

RUN_TIME = (20.0, 90.0)  # seconds, uniform
LOAD = 0.7  # share of the cores that the arriving tasks take
TASKS_PER_JOB = 4
FAILING_JOB_TASKS = 40
FAIL_TIME = (0.2, 2.0)  # seconds from a start to its failure, uniform
RACK = 3  # workers to a rack
MEMORY_MB = 64_000  # of a worker; no task is limited by it
FIRMS = (MAISON_REPRISE, BLUE_MAHOE)
SCALES = (1, 10)
SCENARIOS = ("bad worker", "bad job", "both", "rack wave")
POLICIES: dict[str, Callable[[], FailureAttribution]] = {
    "avoid last": NoAttribution,
    "blame": EvidenceBasedAttribution,
}
MEASURES = (
    "failed starts",
    "failed starts of good tasks",
    "wasted core seconds",
    "good tasks failed",
    "good tasks delayed",
    "healthy workers blamed",
    "seconds from first failure to blame",
    "largest share of a zone aside",
)


class Case(Record):
    """One run."""

    __slots__ = ("scenario", "firm", "scale", "policy", "seed")

    def __init__(self, scenario: str, firm: Firm, scale: int, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.firm = firm
        self.scale = scale
        self.policy = policy
        self.seed = seed


class Running(Record):
    """An attempt at a simulated worker."""

    __slots__ = ("grant", "fails", "started", "ends")

    def __init__(self, grant: Grant, fails: bool, started: float, ends: float) -> None:
        self.grant = grant
        self.fails = fails
        self.started = started
        self.ends = ends


class Simulation:
    """One shard with its workers; the sequence of arrivals depends on the seed only."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(case.seed)
        self.arrivals = random.Random(case.seed + 1_000)
        self.now = 0.0
        self.shard = Shard(ShardState(0), Timings())
        self.shard.apply_takeover(self.shard.takeover_event("owner"), 0.0)
        self.failure_attribution = POLICIES[case.policy]()
        self.scheduler = Scheduler(
            self.shard, 1, BestFit(), SizeEstimator(), self.failure_attribution
        )
        self.workers = {view.agent_id: view for view in _fleet(case)}
        self.broken = self._broken()
        self.running: dict[str, Running] = {}
        self.ending: list[tuple[float, str, int]] = []
        self.failing_jobs: set[str] = set()
        self.submitted: dict[str, float] = {}
        self.run_times: dict[str, float] = {}
        self.totals: Counter[str] = Counter()
        self.first_failures: dict[str, float] = {}
        self.healthy_flagged: set[str] = set()
        self.detected: dict[str, float] = {}
        self.largest_share = 0.0
        self._next_job = 0

    def run(self) -> dict[str, float]:
        """Return the value of each measure."""
        while self.now < RUN_SECONDS:
            self._submit()
            self._finish()
            self._schedule()
            self._observe()
            self.now += STEP_SECONDS
        return self._measures()

    def _broken(self) -> frozenset[str]:
        if self.case.scenario == "bad job":
            return frozenset()
        names = sorted(self.workers)
        if self.case.scenario == "rack wave":
            rack = self.workers[self.random.choice(names)].rack
            return frozenset(name for name in names if self.workers[name].rack == rack)
        return frozenset(self.random.sample(names, self.case.scale))

    def _submit(self) -> None:
        if self.now >= ARRIVALS_UNTIL:
            return
        cores = self.case.firm.cores * len(self.workers)
        mean_run = sum(RUN_TIME) / 2.0
        jobs_a_second = LOAD * cores / (_task_size(self.case.firm).cores * mean_run * TASKS_PER_JOB)
        for _ in range(_poisson(self.arrivals, jobs_a_second * STEP_SECONDS)):
            self._submit_job(TASKS_PER_JOB, urgent=self.arrivals.random() < 0.1)
        has_failing_job = self.case.scenario in ("bad job", "both")
        if has_failing_job and not self.failing_jobs and self.now >= FAULT_FROM:
            self.failing_jobs.add(self._submit_job(FAILING_JOB_TASKS))

    def _submit_job(self, tasks: int, urgent: bool = False) -> str:
        self._next_job += 1
        job_id = f"j0-{self._next_job:012x}"
        size = _task_size(self.case.firm)
        run_time = self.arrivals.uniform(*RUN_TIME)
        self.shard.submit(JobSpec(job_id, "team", "class", urgent, tasks, size), "", job_id)
        for number in range(tasks):
            self.submitted[f"{job_id}/{number}"] = self.now
            self.run_times[f"{job_id}/{number}"] = run_time
        return job_id

    def _finish(self) -> None:
        while self.ending and self.ending[0][0] <= self.now:
            _, task_id, _ = heapq.heappop(self.ending)
            ended = self.running.pop(task_id)
            grant = ended.grant
            self._change_free(grant.agent_id, grant.size)
            if ended.fails:
                self._count_failure(ended)
            else:
                self._count_success(task_id)
            result = "start_failed" if ended.fails else "completed"
            self.shard.process_report(
                AttemptEndReport(grant.agent_id, task_id, grant.attempt, result), self.now
            )

    def _count_failure(self, ended: Running) -> None:
        self.totals["failed starts"] += 1
        if ended.grant.agent_id in self.broken:
            self.first_failures.setdefault(ended.grant.agent_id, self.now)
        seconds = ended.ends - ended.started
        self.totals["wasted core seconds"] += round(seconds * ended.grant.size.cores)
        if job_id_of(ended.grant.task_id) not in self.failing_jobs:
            self.totals["failed starts of good tasks"] += 1
            task = self.shard.state.find_task(ended.grant.task_id)
            if task is not None and task.failures + 1 >= MAX_TASK_FAILURES:
                self.totals["good tasks failed"] += 1

    def _count_success(self, task_id: str) -> None:
        delay = self.now - self.submitted[task_id] - self.run_times[task_id]
        self.totals["good tasks delayed"] += delay > 1.0

    def _schedule(self) -> None:
        self._commit()
        views = list(self.workers.values())
        if self.scheduler.has_waiting_tasks():
            self.scheduler.start_tasks(views, {}, self.now)
        else:
            self.scheduler.process_ends(self.now)
        for item in self.running.values():
            if not item.fails:
                grant = item.grant
                self.failure_attribution.record_running(
                    grant.agent_id, grant.task_id, grant.attempt, self.now
                )
        self._commit()

    def _commit(self) -> None:
        while self.shard.pending:
            self.shard.mark_committed(min(len(self.shard.pending), MAX_EVENTS_PER_COMMIT))
        for message in self.shard.pop_ready_messages():
            if isinstance(message, Grant):
                self._start(message)

    def _start(self, grant: Grant) -> None:
        self.shard.begin_sending_grant(grant.task_id, grant.attempt, self.now)
        self.shard.record_grant_reply(grant.task_id, grant.attempt, True, self.now)
        self._change_free(grant.agent_id, Resources().minus(grant.size))
        fails = job_id_of(grant.task_id) in self.failing_jobs or self._is_broken(grant.agent_id)
        lasts = self.random.uniform(*FAIL_TIME) if fails else self.run_times[grant.task_id]
        self.running[grant.task_id] = Running(grant, fails, self.now, self.now + lasts)
        heapq.heappush(self.ending, (self.now + lasts, grant.task_id, grant.attempt))

    def _is_broken(self, agent_id: str) -> bool:
        if agent_id not in self.broken or self.now < FAULT_FROM:
            return False
        return self.case.scenario != "rack wave" or self.now < FAULT_FROM + WAVE_SECONDS

    def _change_free(self, agent_id: str, size: Resources) -> None:
        view = self.workers[agent_id]
        self.workers[agent_id] = view.replace(free=view.free.plus(size))

    def _observe(self) -> None:
        quarantined = self.scheduler.quarantine.quarantined.keys()
        flagged = quarantined | self.scheduler.quarantine.suspected
        for name in flagged & self.first_failures.keys():
            self.detected.setdefault(name, self.now - self.first_failures[name])
        self.healthy_flagged.update(flagged - self.broken)
        zones = Counter(view.availability_zone for view in self.workers.values())
        in_zone = Counter(self.workers[name].availability_zone for name in quarantined)
        for zone, count in in_zone.items():
            self.largest_share = max(self.largest_share, count / zones[zone])

    def _measures(self) -> dict[str, float]:
        values: dict[str, float] = {name: float(self.totals[name]) for name in MEASURES}
        values["healthy workers blamed"] = float(len(self.healthy_flagged))
        values["largest share of a zone aside"] = self.largest_share
        found = list(self.detected.values())
        values["seconds from first failure to blame"] = (
            statistics.mean(found) if found else float("nan")
        )
        return values


def _fleet(case: Case) -> list[WorkerView]:
    size = Resources(case.firm.cores, MEMORY_MB, 0)
    fleet = []
    for number in range(case.firm.hosts * case.scale):
        rack = number // RACK
        zone = case.firm.zone_of(rack)
        name = f"agent-{number:04d}"
        fleet.append(WorkerView(name, f"{name}-1", zone, f"rack-{rack}", size, size))
    return fleet


def _task_size(firm: Firm) -> Resources:
    return Resources(firm.cores / TASKS_PER_WORKER, MEMORY_MB // TASKS_PER_WORKER, 0)


def _poisson(source: random.Random, mean: float) -> int:
    count, at = 0, source.expovariate(1.0)
    while at < mean:
        count += 1
        at += source.expovariate(1.0)
    return count


@register
class FailingWorkers(Experiment):
    """Failed starts with and without blame."""

    name = "bad-workers"
    title = "Bad workers and bad jobs"
    cases = tuple(
        f"{scenario}, {firm.name} x{scale}"
        for scenario in SCENARIOS
        for firm in FIRMS
        for scale in SCALES
    )
    candidates = tuple(POLICIES)
    plotted = "failed starts of good tasks"

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one run."""
        scenario, _, size = case.partition(", ")
        firm_name, _, scale = size.rpartition(" x")
        firm = next(firm for firm in FIRMS if firm.name == firm_name)
        return Simulation(Case(scenario, firm, int(scale), candidate, seed)).run()
