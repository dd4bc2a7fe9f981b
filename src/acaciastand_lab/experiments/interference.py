"""Placement by learned slowdowns of services, against none and an oracle that knows them all.

Hosts run one of three services; batch tasks of four classes arrive for 60% of the batch slots. The
slowdowns of all pairs are drawn anew in the middle of the run.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

import numpy as np

from acaciastand.placement.interference import (
    IgnoreInterference,
    Interference,
    LearnedInterference,
    LeastInterferenceFit,
)
from acaciastand.placement.placer import BestFit, PlacementRequest, Placer
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand_lab.harness import (
    BLUE_MAHOE,
    MAISON_REPRISE,
    Experiment,
    Firm,
    InterferenceTable,
    Latencies,
    register,
)
from acaciastand_lab.harness.experiment import Figures
from acaciastand_lab.harness.host import SERVICE_TIME_SIGMA, PairSlowdown

RUN_SECONDS = 3600
SHIFT_AT = 1800
MEASURED_FROM = 300  # the first pairs are known by then
SERVICES = ("service-0", "service-1", "service-2")
CLASSES = ("class-0", "class-1", "class-2", "class-3")
SLOTS = 8  # batch tasks that fit on a host
BATCH_LOAD = 0.6
TASK_SECONDS = (30.0, 90.0)
LOUD_SHARE = 0.3  # of the pairs
LOUD = (1.0, 4.0)  # slowdown of a loud pair on a busy host; half of it on an idle one
QUIET = (0.0, 0.2)
LOAD_STEP = 0.03  # random walk of a host's load each second
LOAD_RANGE = (0.2, 0.9)
MEASURE_SIGMA = 0.1  # of the logarithm of a measured stretch
REQUESTS_PER_SECOND = 10  # sampled of a host at full load
BATCH_SLOWDOWN = 0.3  # of a batch task on a host at full load
LAGS = (0, 10, 60)
# Weights of tail latency and of throughput (examples/*/tree.toml).
WEIGHTS = {MAISON_REPRISE.name: (0.2, 0.45), BLUE_MAHOE.name: (0.7, 0.2)}


class KnownInterference(IgnoreInterference):
    """The oracle."""

    def __init__(self) -> None:
        self.table = InterferenceTable({})

    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return the true slowdown."""
        return self.table.stretch(service, {batch_class: 1.0}, load) - 1.0


class CreditedOnArrival(LearnedInterference):
    """Credits measurements to the tasks that run when they arrive; a rejected candidate."""

    def _shares_at(self, agent_id: str, measured_at: float) -> dict[str, float] | None:
        return super()._shares_at(agent_id, float("inf"))


CANDIDATES: dict[str, Callable[[], Interference]] = {
    "ignored": IgnoreInterference,
    "learned": LearnedInterference,
    "learned, credited on arrival": CreditedOnArrival,
    "oracle": KnownInterference,
}


class Measurement(Record):
    """A stretch that is seen at `due`."""

    __slots__ = ("due", "agent_id", "service", "stretch", "load", "measured_at")

    def __init__(
        self, due: int, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> None:
        self.due = due
        self.agent_id = agent_id
        self.service = service
        self.stretch = stretch
        self.load = load
        self.measured_at = measured_at


class Host:
    """One host with the tasks on it: batch class and seconds left."""

    def __init__(self, name: str, service: str, zone: str, load: float) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.load = load
        self.tasks: list[tuple[str, float]] = []

    def shares(self) -> Mapping[str, float]:
        """Return the share of the cores by batch class."""
        return {name: count / SLOTS for name, count in Counter(c for c, _ in self.tasks).items()}


class Simulation:
    """One run; loads, arrivals and slowdowns depend on the seed only."""

    def __init__(self, firm: Firm, lag: int, interference: Interference, seed: int) -> None:
        self.lag = lag
        self.firm = firm
        self.interference = interference
        self.placer = _placer(firm, interference)
        self.random = random.Random(seed)
        self.arrivals = random.Random(seed + 1_000)
        self.rng = np.random.default_rng(seed)
        self.hosts = [
            Host(f"agent-{n}", SERVICES[n % len(SERVICES)], firm.zone_of(n // 3), 0.5)
            for n in range(firm.hosts)
        ]
        self.waiting: deque[str] = deque()
        self.late: deque[Measurement] = deque()
        self.latencies = {"before": Latencies(), "after": Latencies()}
        self.finished = 0
        self.table = self._draw_table()

    def run(self) -> Figures:
        """Return the figures of the run."""
        for now in range(RUN_SECONDS):
            if now == SHIFT_AT:
                self.table = self._draw_table()
            self._arrive()
            self._place(now)
            for host in self.hosts:
                self._advance(host, now)
            while self.late and self.late[0].due <= now:
                self._learn(self.late.popleft())
        hours = (RUN_SECONDS - MEASURED_FROM) / 3600.0
        return {
            "p99 ms before the shift": self.latencies["before"].percentile_ms(99),
            "p99 ms after the shift": self.latencies["after"].percentile_ms(99),
            "tasks per hour": self.finished / hours,
        }

    def _draw_table(self) -> InterferenceTable:
        pairs = {}
        for service in SERVICES:
            for name in CLASSES:
                loud = self.arrivals.random() < LOUD_SHARE
                busy = self.arrivals.uniform(*(LOUD if loud else QUIET))
                pairs[service, name] = PairSlowdown(busy / 2.0, busy)
        table = InterferenceTable(pairs)
        if isinstance(self.interference, KnownInterference):
            self.interference.table = table
        return table

    def _arrive(self) -> None:
        mean = BATCH_LOAD * SLOTS * len(self.hosts) / (sum(TASK_SECONDS) / 2.0)
        at = self.arrivals.expovariate(mean)
        while at < 1.0:
            self.waiting.append(self.arrivals.choice(CLASSES))
            at += self.arrivals.expovariate(mean)

    def _place(self, now: int) -> None:
        while self.waiting:
            request = PlacementRequest(Resources(1.0), batch_class=self.waiting[0])
            view = self.placer.choose(request, [self._view(host) for host in self.hosts])
            if view is None:
                return
            host = next(host for host in self.hosts if host.name == view.agent_id)
            host.tasks.append((self.waiting.popleft(), self.random.uniform(*TASK_SECONDS)))
            self.interference.record_shares(host.name, host.shares(), float(now))

    def _view(self, host: Host) -> WorkerView:
        free = Resources(float(SLOTS - len(host.tasks)))
        capacity = Resources(float(SLOTS))
        services = [host.service]
        return WorkerView(host.name, "1", host.zone, "", capacity, free, services, load=host.load)

    def _advance(self, host: Host, now: int) -> None:
        low, high = LOAD_RANGE
        step = self.arrivals.uniform(-LOAD_STEP, LOAD_STEP)
        host.load = min(max(host.load + step, low), high)
        stretch = self.table.stretch(host.service, host.shares(), host.load)
        seen = stretch * self.random.lognormvariate(0.0, MEASURE_SIGMA)
        self.late.append(
            Measurement(now + self.lag, host.name, host.service, seen, host.load, float(now))
        )
        if now >= MEASURED_FROM:
            self._record(host, stretch, "before" if now < SHIFT_AT else "after")
        speed = 1.0 / (1.0 + BATCH_SLOWDOWN * host.load)
        left = [(name, seconds - speed) for name, seconds in host.tasks]
        host.tasks = [item for item in left if item[1] > 0.0]
        if len(host.tasks) < len(left):
            self.finished += (len(left) - len(host.tasks)) * (now >= MEASURED_FROM)
            self.interference.record_shares(host.name, host.shares(), float(now) + 0.5)

    def _record(self, host: Host, stretch: float, phase: str) -> None:
        count = round(REQUESTS_PER_SECOND * host.load)
        draws = self.rng.lognormal(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA, count)
        for draw in draws:
            self.latencies[phase].record(float(self.firm.service_seconds * stretch * draw))

    def _learn(self, item: Measurement) -> None:
        self.interference.record_measurement(
            item.agent_id, item.service, item.stretch, item.load, item.measured_at
        )


def _placer(firm: Firm, interference: Interference) -> Placer:
    if type(interference) is IgnoreInterference:
        return BestFit()
    return LeastInterferenceFit(interference, *WEIGHTS[firm.name])


@register
class InterferenceExperiment(Experiment):
    """Late measurements and one shift of behaviour."""

    name = "interference"
    title = "Interference of batch classes with services"
    cases = tuple(f"{f.name}, lag {lag} s" for f in (MAISON_REPRISE, BLUE_MAHOE) for lag in LAGS)
    candidates = tuple(CANDIDATES)
    plotted = "p99 ms before the shift"

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one run."""
        name, _, lag = case.partition(", lag ")
        firm = next(firm for firm in (MAISON_REPRISE, BLUE_MAHOE) if firm.name == name)
        return Simulation(firm, int(lag.split()[0]), CANDIDATES[candidate](), seed).run()
