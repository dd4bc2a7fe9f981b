"""Experiment `routing`: choosers of targets under rain, faults and overload."""

from __future__ import annotations

import random
import time

from acaciastand.record import Record
from acaciastand.routing import LeastLoadedOfTwo, RandomChooser, Router, TargetChooser, TargetView
from acaciastand_lab.harness.arrivals import poisson_arrivals
from acaciastand_lab.harness.experiment import Experiment, Figures, register
from acaciastand_lab.harness.figures import (
    amplification,
    check_executions,
    latency_figures,
    outcome_figures,
)
from acaciastand_lab.harness.firms import BLUE_MAHOE, MAISON_REPRISE, Firm
from acaciastand_lab.harness.served import Options, ServedSystem

SECONDS = 3.0

FAULT_AT = 1.0
BASE_LOAD = 0.4  # of the slots; twice that in the rain can still be carried
OVERLOAD = 1.2
SLOW_FACTOR = 10.0
TIMEOUT_MS = 200
SCALE = 10
SCALED_SECONDS = 1.0  # ten times the requests in a third of the time
DECISIONS = 2000


class LeastLoadedOfZone(TargetChooser):
    """The least loaded target of the own zone by the same estimate, others when it is full."""

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return the least loaded target of the best tier, a random one of equals."""
        free = [target for target in candidates if target.has_free_slot]
        near = [target for target in free if target.availability_zone == self.availability_zone]
        tier = near or free or candidates
        if not tier:
            return None
        least = min(target.load for target in tier)
        return rng.choice([target for target in tier if target.load == least])


class OwnLoadOfTwo(TargetChooser):
    """The less loaded of two by the entry's own requests only; reports are ignored."""

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return the one of two targets with fewer own requests."""
        free = [target for target in candidates if target.own_in_flight < target.slots]
        near = [target for target in free if target.availability_zone == self.availability_zone]
        tier = near or free or candidates
        if len(tier) <= 1:
            return tier[0] if tier else None
        first, second = rng.sample(tier, 2)
        return first if first.own_in_flight <= second.own_in_flight else second


CHOOSERS = {
    "RandomChooser": lambda _zone: RandomChooser(),
    "LeastLoadedOfTwo": LeastLoadedOfTwo,
    "LeastLoadedOfZone": LeastLoadedOfZone,
    "OwnLoadOfTwo": OwnLoadOfTwo,
}


class Case(Record):
    """One case; `fault` is ``none``, ``slow``, ``failing``, ``gone`` or ``overload``."""

    __slots__ = ("firm", "entries", "fault")

    def __init__(self, firm: Firm, entries: int, fault: str) -> None:
        self.firm = firm
        self.entries = entries
        self.fault = fault


def _cases() -> dict[str, Case]:
    cases = {}
    for firm in (MAISON_REPRISE, BLUE_MAHOE):
        for entries in (1, 3, 10):
            cases[f"{firm.name}, {entries} entries, rain"] = Case(firm, entries, "none")
        for fault in ("slow", "failing", "gone", "overload"):
            cases[f"{firm.name}, 3 entries, {fault}"] = Case(firm, 3, fault)
        large = firm.scaled(SCALE)
        cases[f"{large.name}, 10 entries, rain"] = Case(large, 10, "none")
    return cases


CASES = _cases()


@register
class RoutingExperiment(Experiment):
    """Latency and refusals from the doubling or the fault on."""

    name = "routing"
    title = "Choice of a target: from the doubling or the fault on, median [range] of ten seeds"
    cases = tuple(CASES)
    candidates = tuple(CHOOSERS)
    plotted = "p99 ms"

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Run one case and check that every outcome agrees with the targets' executions."""
        chosen = CASES[case]
        firm = chosen.firm
        options = Options(chosen.entries, CHOOSERS[candidate], TIMEOUT_MS)
        system = ServedSystem(firm, options, seed)
        seconds = SCALED_SECONDS if firm.hosts > MAISON_REPRISE.hosts else SECONDS
        surge = seconds / 2 if chosen.fault == "none" else -1.0
        load = OVERLOAD if chosen.fault == "overload" else BASE_LOAD
        system.queue.at(FAULT_AT, _break_first, system, chosen.fault)
        rates = {firm.service: load * firm.capacity_rate}
        results = system.run(poisson_arrivals(rates, seconds, seed, surge))
        check_executions(system)
        since = surge if surge >= 0 else FAULT_AT
        measured = [result for result in results if result.arrival.at >= since]
        figures = {**latency_figures(measured), "attempts": amplification(system)}
        if surge >= 0:
            before = latency_figures([item for item in results if item.arrival.at < surge])
            figures["p99 rain/dry"] = figures["p99 ms"] / before["p99 ms"]
        return {**figures, **outcome_figures(measured)}


def _break_first(system: ServedSystem, fault: str) -> None:
    if fault == "slow":
        system.agents[0].model.slow_factor = SLOW_FACTOR
    if fault == "failing":
        system.agents[0].fail_after = 1.0
    if fault == "gone":
        system.agents[0].target.gone = True


@register
class RoutingCostExperiment(Experiment):
    """Time of one decision, with the choice among all targets and the check of the deadline."""

    name = "routing-cost"
    title = "Decision cost in microseconds"
    cases = ("11 targets", "110 targets", "505 targets")
    candidates = tuple(CHOOSERS)
    plotted = "us per decision"
    processes = 1

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Measure decisions of a router with random loads."""
        rng = random.Random(seed)
        router = Router(CHOOSERS[candidate]("zone-0"), rng, 0.34, 0.2)
        for number in range(int(case.split()[0])):
            view = TargetView(f"a{number}", f"zone-{number % 3}", ("s",), 8, rng.randrange(9))
            router.add(view)
            router.services["s"].health.record_result(view.agent_id, True, 0.02, 0.0)
        started = time.perf_counter()
        for _ in range(DECISIONS):
            router.services["s"].health.lowest_latency_seconds(0.0)
            router.choose("s", set(), 0.0)
        return {"us per decision": (time.perf_counter() - started) / DECISIONS * 1e6}
