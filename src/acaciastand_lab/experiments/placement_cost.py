"""Processor time of placement decisions as workers and tasks grow."""

from __future__ import annotations

import math
import random
import time

from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.failure_attribution import EvidenceBasedAttribution
from acaciastand.placement.placer import BestFit, FirstFit
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import MAX_TASKS, Timings
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState
from acaciastand_lab.harness import Experiment, register
from acaciastand_lab.harness.experiment import Figures

CAPACITY = Resources(32.0, 125_000, 2)
TASKS_PER_JOB = 10
FULL_SHARE = 0.9  # of the workers has no room
SIZES = (256, 1_024, 9_600)
TASKS = (1_000, 10_000, 110_000)
PLACERS = {"first fit": FirstFit, "best fit": BestFit}


def _shard(number: int, tasks: int, cores: float) -> Shard:
    shard = Shard(ShardState(number), Timings())
    shard.apply_takeover(shard.takeover_event("owner"), 0.0)
    size = Resources(cores, 1_000, 0)
    for job in range(tasks // TASKS_PER_JOB):
        spec = JobSpec("job", "team", f"class-{job % 8}", job % 10 == 0, TASKS_PER_JOB, size)
        shard.submit(spec, "", f"j{number}-{job}")
    shard.mark_committed(len(shard.pending))
    return shard


def _fleet(count: int, source: random.Random) -> list[WorkerView]:
    views = []
    for number in range(count):
        free = Resources() if source.random() < FULL_SHARE else CAPACITY
        name = f"agent-{number:05d}"
        rack = number // 3
        views.append(WorkerView(name, "1", f"zone-{rack % 3}", f"rack-{rack}", CAPACITY, free))
    return views


@register
class PlacementCost(Experiment):
    """One scheduling round of every shard: with room, and for tasks that fit nowhere now."""

    name = "placement-cost"
    title = "Cost of placement decisions"
    cases = tuple(f"{workers} workers, {tasks} tasks" for workers in SIZES for tasks in TASKS)
    candidates = tuple(PLACERS)
    plotted = "us per start"
    seeds = (1,)  # one run of all cases takes about two minutes
    processes = 1

    def run(self, case: str, candidate: str, seed: int) -> Figures:
        """Return the figures of one run."""
        workers, tasks = (int(part.split()[0]) for part in case.split(", "))
        views = _fleet(workers, random.Random(seed))
        seconds, started = self._rounds(candidate, views, tasks, cores=0.5)
        full = [view.replace(free=Resources()) for view in views]
        idle_seconds, _ = self._rounds(candidate, full, tasks, cores=0.5)
        shards = math.ceil(tasks / MAX_TASKS)
        return {
            "starts": float(started),
            "us per start": seconds / max(started, 1) * 1e6,
            "ms per round of one shard": seconds / shards * 1e3,
            "ms per round without room": idle_seconds / shards * 1e3,
        }

    def _rounds(
        self, candidate: str, views: list[WorkerView], tasks: int, cores: float
    ) -> tuple[float, int]:
        counts = [min(MAX_TASKS, tasks - first) for first in range(0, tasks, MAX_TASKS)]
        failure_attribution, sizes = EvidenceBasedAttribution(), SizeEstimator()
        seconds, started = 0.0, 0
        for number, count in enumerate(counts):
            shard = _shard(number, count, cores)
            scheduler = Scheduler(
                shard, len(counts), PLACERS[candidate](), sizes, failure_attribution
            )
            begin = time.process_time()
            started += scheduler.start_tasks(views, {}, 0.0)
            seconds += time.process_time() - begin
        return seconds, started
