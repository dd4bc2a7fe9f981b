"""Which waiting tasks start now, and where."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

from acaciastand.workflow.advice import AdviceCache
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.decisions import StartDecision
from acaciastand.workflow.gang import place_gang
from acaciastand.workflow.job import Task
from acaciastand.workflow.limits import FRESH_SECONDS
from acaciastand.workflow.placement import Placement
from acaciastand.workflow.ranking import RankingPolicy
from acaciastand.workflow.worker import WorkerView

STARVING_SECONDS = 1.5  # a job of which nothing runs waits for leftover time this long at most

# Assigns a task to a worker as a numbered run.
StartRun = Callable[[Task, WorkerView, int], StartDecision]


class StartPlanner:
    """Goes through the waiting tasks in order and places each of them.

    Parameters
    ----------
    ranking, placement
        Policies on which task goes first, and where.
    advice
        Workers that are allowed on advised queues.
    """

    def __init__(self, ranking: RankingPolicy, placement: Placement, advice: AdviceCache) -> None:
        self.ranking = ranking
        self.placement = placement
        self.advice = advice

    def plan(
        self,
        waiting: Mapping[str, Task],
        workers: Iterable[WorkerView],
        catalog: Catalog,
        start: StartRun,
        now: float,
        now_unix: float,
    ) -> list[StartDecision]:
        """Start what fits, each by a call of `start`, and return the orders."""
        if not waiting:
            return []
        able = [w for w in workers if w.can_accept_work(now, FRESH_SECONDS) and now >= w.full_until]
        if not able:
            return []
        starts: list[StartDecision] = []
        full: set[tuple[str, int, str]] = set()  # steps of which no further task fits now
        for task, queue in self.ranked(waiting.values(), catalog, now, now_unix):
            place = (task.job.job_id, task.name.step, task.avoid)
            if place in full:
                continue
            fitting = [w for w in able if w.identity and w.identity.service == queue.service]
            if queue.advised:
                fitting = [w for w in fitting if self.advice.ticket(task, w, now)]
            if task.step.gang:
                full.add(place)  # all of its tasks are placed, or none
                starts += self._start_gang(task, waiting, fitting, start, now)
                continue
            worker = self.placement.choose(task, fitting, now, _starving(task, now))
            if worker is None:
                full.add(place)
                continue
            task.job.idle_since = 0.0
            starts.append(start(task, worker, task.run + 1))
        return starts

    def ranked(
        self, waiting: Collection[Task], catalog: Catalog, now: float, now_unix: float
    ) -> list[tuple[Task, Queue]]:
        """Return the tasks that may start now with their queues, the most urgent first."""
        rows = self.with_ranks(waiting, catalog, now, now_unix)
        return [(task, queue) for _, task, queue in rows]

    def with_ranks(
        self, tasks: Collection[Task], catalog: Catalog, now: float, now_unix: float
    ) -> list[tuple[tuple[float, ...], Task, Queue]]:
        """Return the tasks that may start now with rank and queue, the most urgent first."""
        rows = []
        for task in tasks:
            queue = catalog.by_name(task.job.queue)
            if queue is not None and now >= task.not_before:
                rows.append((self.ranking.rank(task, queue, now_unix), task, queue))
        rows.sort(key=lambda row: row[0])
        return rows

    def _start_gang(
        self,
        task: Task,
        waiting: Mapping[str, Task],
        workers: list[WorkerView],
        start: StartRun,
        now: float,
    ) -> list[StartDecision]:
        members = task.job.siblings(task)
        if not all(member.key in waiting for member in members):
            return []
        chosen = place_gang(members, workers, self.placement, now)
        if chosen is None:
            return []
        run = max(member.run for member in members) + 1
        return [start(member, worker, run) for member, worker in zip(members, chosen, strict=True)]


def _starving(task: Task, now: float) -> bool:
    """Return whether nothing of a waiting job has run for a while."""
    job = task.job
    if not task.step.uses_leftover or not job.idle():
        job.idle_since = 0.0
        return False
    job.idle_since = job.idle_since or now
    return now - job.idle_since >= STARVING_SECONDS
