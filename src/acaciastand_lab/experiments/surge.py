"""Experiment `rain`: pressure policies while demand doubles and noisy batch tasks arrive.

Hosts, service times and firms are the harness's. Requests are routed to the less loaded of two
random hosts and wait in the order of arrival; the policies, the surge detector and the headroom
are the product's. Assumptions, because design.md states none: a service at full load uses half of
its host's cores, cores that are asked for twice slow everybody down in proportion, and a task that
is started again repeats `RESTART_SECONDS` of work.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

import numpy as np

from acaciastand.pressure import (
    ActionKind,
    EvictFirst,
    HeadroomPolicy,
    HostView,
    NoReaction,
    PressurePolicy,
    StagedPressure,
    SurgeDetector,
    TaskView,
    Weights,
)
from acaciastand.resources import Resources
from acaciastand_lab.harness.arrivals import poisson_arrivals
from acaciastand_lab.harness.experiment import Experiment, Figures, register
from acaciastand_lab.harness.firms import BLUE_MAHOE, MAISON_REPRISE, Firm
from acaciastand_lab.harness.host import HostModel, InterferenceTable, PairSlowdown
from acaciastand_lab.harness.statistics import Latencies

WARM_SECONDS = 20.0  # discarded
SURGE_AT = 40.0
SURGE_ENDS = 80.0
END_SECONDS = 110.0
TICK_SECONDS = 0.25  # as SHED_INTERVAL_SECONDS of the agent
LAG_TICKS = 3  # a poll interval and the worker's lag
BASE_LOAD = 0.4  # of the slots; twice that can still be carried
SERVICE_SECONDS = 0.1  # five times the firms' value, for a fifth of the requests
SERVICE_SHARE = 0.5  # of the cores, when all slots are taken
BASE_FILL = 0.5  # of the cores, by declared size
WAVE_AT = SURGE_AT + 0.5
WAVE_FILL = 0.25  # of the cores, by declared size, on top of what runs
NOISY_FACTOR = 3.0  # use of a noisy task as a multiple of its declared size
RUN_SECONDS = 60.0  # mean work of a task
RESTART_SECONDS = 5.0
HEADROOM = 0.1
EVICTIONS_PER_MINUTE = 6
MIN_RUN_SECONDS = 30.0
MEMORY_MB = 60_000
TABLE = {"calm": PairSlowdown(0.05, 0.1), "noisy": PairSlowdown(0.1, 0.4)}
WEIGHTS = {
    BLUE_MAHOE.service: Weights(0.7, 0.2, 0.1),
    MAISON_REPRISE.service: Weights(0.2, 0.4, 0.4),
}
CANDIDATES = ("EvictFirst", "NoReaction", "StagedPressure")


def _policy(name: str, weights: Weights) -> PressurePolicy:
    if name == "StagedPressure":
        return StagedPressure(EVICTIONS_PER_MINUTE, MIN_RUN_SECONDS, weights)
    return EvictFirst() if name == "EvictFirst" else NoReaction()


class BatchTask:
    """One batch task; `work` is what is left, in seconds at full speed."""

    def __init__(self, number: int, noisy: bool, rng: random.Random) -> None:
        self.task_id = f"t{number}"
        self.batch_class = "noisy" if noisy else "calm"
        self.cores = rng.choice([0.5, 1.0, 2.0])
        self.factor = NOISY_FACTOR if noisy else rng.uniform(0.8, 1.2)
        self.work = rng.expovariate(1.0 / RUN_SECONDS) + 1.0
        self.attempt = 0
        self.since = 0.0
        self.limit = 0.0
        self.known = self.cores  # what owners learned from earlier attempts
        self.seen: deque[float] = deque(maxlen=LAG_TICKS)

    @property
    def use(self) -> float:
        """Cores in use."""
        wanted = self.cores * self.factor
        return min(wanted, self.limit) if self.limit else wanted

    @property
    def observed(self) -> float:
        """Cores that the worker reports; nothing at first."""
        return self.seen[0] if len(self.seen) == LAG_TICKS else 0.0


class SurgeHost:
    """One host with its requests, tasks and policy."""

    def __init__(
        self, firm: Firm, number: int, policy: PressurePolicy, weights: Weights, seed: int
    ) -> None:
        table = InterferenceTable({(firm.service, name): pair for name, pair in TABLE.items()})
        rng = np.random.default_rng([seed, number])
        self.model = HostModel(
            f"h{number}", firm.cores, firm.slots, firm.service, SERVICE_SECONDS, table, rng
        )
        self.firm = firm
        self.policy = policy
        self.headroom = HeadroomPolicy(HEADROOM, weights)
        self.detector = SurgeDetector(2.0)
        self.tasks: dict[str, BatchTask] = {}
        self.running = 0
        self.waiting: deque[float] = deque()
        self.arrived = 0
        self.share = HEADROOM
        self.service_seen: deque[float] = deque(maxlen=LAG_TICKS)
        self.rounds = 0
        self.overload_ticks = 0

    @property
    def service_cores(self) -> float:
        """Cores that the running requests use."""
        return self.running / self.firm.slots * SERVICE_SHARE * self.firm.cores

    @property
    def free(self) -> float:
        """Cores that admission sees as free."""
        counted = sum(max(task.known, task.observed) for task in self.tasks.values())
        service = self.service_seen[0] if self.service_seen else 0.0
        return self.firm.cores * (1.0 - self.share) - service - counted

    def view(self, surging: bool, now: float) -> HostView:
        """Return what the policy sees."""
        tasks = [
            TaskView(
                task.task_id,
                task.attempt,
                Resources(task.cores),
                Resources(task.observed),
                now - task.since,
                now - task.since,
            )
            for task in self.tasks.values()
        ]
        capacity = Resources(self.firm.cores, MEMORY_MB)
        service = Resources(self.service_seen[0])
        return HostView(capacity, service, self.share * self.firm.cores, surging, tasks)


class SurgeRun:
    """One run of one firm."""

    def __init__(self, firm: Firm, candidate: str, seed: int) -> None:
        self.firm = firm.replace(service_seconds=SERVICE_SECONDS)
        self.seed = seed
        self.rng = random.Random(seed)
        weights = WEIGHTS[firm.service]
        self.hosts = [
            SurgeHost(self.firm, number, _policy(candidate, weights), weights, seed)
            for number in range(firm.hosts)
        ]
        self.latencies = {name: Latencies() for name in ("dry", "rain", "after")}
        self.queue: deque[BatchTask] = deque()
        self.ends: list[tuple[float, int]] = []
        self.created = 0
        self.finished = 0
        self.evicted = 0
        self.wasted = 0.0
        self.work = 0.0
        self.refused = 0

    def run(self) -> Figures:
        """Run to the end and return the figures."""
        next_tick = 0.0
        for arrival in self._arrivals():
            while next_tick <= arrival:
                self._end_until(next_tick)
                self._tick(next_tick)
                next_tick += TICK_SECONDS
            self._end_until(arrival)
            self._arrive(arrival)
        return self._figures()

    def _arrivals(self) -> list[float]:
        rate = BASE_LOAD * self.firm.capacity_rate
        rates = {"a": rate}
        first = poisson_arrivals(rates, SURGE_ENDS, self.seed, SURGE_AT)
        last = poisson_arrivals(rates, END_SECONDS - SURGE_ENDS, self.seed + 1000)
        return [item.at for item in first] + [SURGE_ENDS + item.at for item in last]

    def _arrive(self, now: float) -> None:
        one, two = self.rng.sample(range(len(self.hosts)), 2)
        loads = [self.hosts[n].running + len(self.hosts[n].waiting) for n in (one, two)]
        number = one if loads[0] <= loads[1] else two
        host = self.hosts[number]
        host.arrived += 1
        if min(loads) >= self.firm.connections:
            self.refused += 1
        elif host.running < self.firm.slots:
            self._begin(number, now, now)
        else:
            host.waiting.append(now)

    def _begin(self, number: int, arrived: float, now: float) -> None:
        host = self.hosts[number]
        seconds = host.model.draw_service_seconds(host.running, now)
        host.running += 1
        heapq.heappush(self.ends, (now + seconds, number))
        if arrived >= WARM_SECONDS:
            phase = "dry" if arrived < SURGE_AT else "rain" if arrived < SURGE_ENDS else "after"
            self.latencies[phase].record(now + seconds - arrived)

    def _end_until(self, now: float) -> None:
        while self.ends and self.ends[0][0] <= now:
            at, number = heapq.heappop(self.ends)
            host = self.hosts[number]
            host.running -= 1
            if host.waiting:
                self._begin(number, host.waiting.popleft(), at)

    def _tick(self, now: float) -> None:
        wave = abs(now - WAVE_AT) < TICK_SECONDS / 2
        for host in self.hosts:
            self._advance(host, now)
            self._react(host, now)
            self._admit(host, WAVE_FILL if wave else 0.0, now)
            host.model.batch.clear()
            for task in host.tasks.values():
                host.model.add_batch(task.task_id, task.batch_class, task.use)
            used = host.service_cores + sum(task.use for task in host.tasks.values())
            host.model.slow_factor = max(1.0, used / self.firm.cores)
            host.overload_ticks += used > self.firm.cores and now >= WARM_SECONDS

    def _advance(self, host: SurgeHost, now: float) -> None:
        host.service_seen.append(host.service_cores)
        for task in list(host.tasks.values()):
            speed = task.use / (task.cores * task.factor) / host.model.slow_factor
            task.work -= speed * TICK_SECONDS
            self.work += speed * TICK_SECONDS * task.cores
            task.seen.append(task.use)
            if task.work <= 0:
                del host.tasks[task.task_id]
                self.finished += now >= WARM_SECONDS

    def _react(self, host: SurgeHost, now: float) -> None:
        surging = host.detector.record(host.arrived / TICK_SECONDS, now)
        host.arrived = 0
        host.share = host.headroom.share(surging, now)
        actions = host.policy.decide(host.view(surging, now), now)
        kinds = {action.kind for action in actions}
        if SURGE_AT <= now < SURGE_ENDS and kinds & {ActionKind.THROTTLE, ActionKind.EVICT}:
            host.rounds += 1
        for action in actions:
            task = host.tasks[action.task_id]
            if action.kind is ActionKind.EVICT:
                self._evict(host, task)
            elif action.kind is not ActionKind.CHECKPOINT:
                task.limit = action.cores

    def _evict(self, host: SurgeHost, task: BatchTask) -> None:
        del host.tasks[task.task_id]
        self.evicted += 1
        self.wasted += RESTART_SECONDS * task.cores
        task.work += RESTART_SECONDS
        task.limit = 0.0
        task.known = max(task.known, task.observed)
        task.seen.clear()
        self.queue.append(task)

    def _admit(self, host: SurgeHost, wave: float, now: float) -> None:
        if host.policy.shedding:
            return
        fill = sum(task.cores for task in host.tasks.values()) / self.firm.cores
        goal = fill + wave if wave else BASE_FILL
        while fill < goal:
            task = self._next_task(bool(wave))
            if task.known > host.free:
                self.queue.appendleft(task)
                return
            task.attempt += 1
            task.since = now
            host.tasks[task.task_id] = task
            fill += task.cores / self.firm.cores

    def _next_task(self, noisy: bool) -> BatchTask:
        if self.queue and not noisy:
            return self.queue.popleft()
        self.created += 1
        return BatchTask(self.created, noisy, self.rng)

    def _figures(self) -> Figures:
        figures: Figures = {}
        for phase, latencies in self.latencies.items():
            for percent in (50.0, 99.0, 99.9):
                figures[f"{phase} p{percent:g} ms"] = latencies.percentile_ms(percent)
        figures["p99 rain/dry"] = figures["rain p99 ms"] / figures["dry p99 ms"]
        hours = (END_SECONDS - WARM_SECONDS) / 3600
        figures["tasks/h/host"] = self.finished / hours / len(self.hosts)
        figures["evictions/task"] = self.evicted / max(1, self.finished)
        figures["wasted %"] = 100 * self.wasted / max(self.work, 1.0)
        figures["most rounds"] = max(host.rounds for host in self.hosts)
        ticks = (END_SECONDS - WARM_SECONDS) / TICK_SECONDS * len(self.hosts)
        figures["over %"] = 100 * sum(host.overload_ticks for host in self.hosts) / ticks
        figures["refused"] = self.refused
        return figures


CASES = {
    firm.name: firm for base in (MAISON_REPRISE, BLUE_MAHOE) for firm in (base, base.scaled(10))
}


@register
class SurgeExperiment(Experiment):
    """Latency, throughput and evictions before, in and after the rain."""

    name = "rain"
    title = "Reaction to rain: median [range] of ten seeds"
    cases = tuple(CASES)
    candidates = CANDIDATES
    plotted = "p99 rain/dry"

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Run one case."""
        return SurgeRun(CASES[case], candidate, seed).run()
