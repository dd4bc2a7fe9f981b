"""Choice of the waiting tasks that start now, and of their workers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from acaciastand.workflow.advice import AdviceCache
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.crashes import is_suspect
from acaciastand.workflow.decisions import StartDecision
from acaciastand.workflow.exclusions import is_usable
from acaciastand.workflow.gang import place_gang
from acaciastand.workflow.isolation import IsolatedPlacement
from acaciastand.workflow.job import Task
from acaciastand.workflow.limits import STARVING_SECONDS
from acaciastand.workflow.placement import Placement
from acaciastand.workflow.quarantine import WorkerQuarantine
from acaciastand.workflow.ranking import RankingPolicy
from acaciastand.workflow.run_numbers import RunNumbers
from acaciastand.workflow.worker import WorkerView

# Assigns a task to a worker as a run with this number.
StartCallback = Callable[[Task, WorkerView, int], StartDecision]


class TaskGroup(NamedTuple):
    """What the tasks share of which no further one finds a place once one has found none."""

    job_id: str
    step: int
    avoided_agent_id: str
    is_suspected: bool
    failures: int
    is_held: bool


class StartRound:
    """One round of starts.

    Parameters
    ----------
    waiting
        Waiting tasks by key; a start removes its task.
    available
        Workers that take any starts at present.
    leaving
        Keys of the tasks with runs that are being stopped and not tracked.
    start
        Called for each start.
    now
        Seconds of the owner's clock.

    Attributes
    ----------
    starts
        Results of the calls of `start`.
    exhausted
        Groups of tasks of which no further one can be placed.
    has_place
        Keys of the tasks that wait for a trusted worker to become quiet.
    """

    __slots__ = (
        "waiting",
        "available",
        "leaving",
        "start",
        "now",
        "starts",
        "exhausted",
        "has_place",
    )

    def __init__(
        self,
        waiting: Mapping[str, Task],
        available: list[WorkerView],
        leaving: Collection[str],
        start: StartCallback,
        now: float,
    ) -> None:
        self.waiting = waiting
        self.available = available
        self.leaving = leaving
        self.start = start
        self.now = now
        self.starts: list[StartDecision] = []
        self.exhausted: set[TaskGroup] = set()
        self.has_place: set[str] = set()


# Returns the workers on which a task may start now.
WorkerFinder = Callable[[Task, Queue, StartRound], list[WorkerView]]


class StartPlanner:
    """Places the waiting tasks on workers, the most urgent first.

    Parameters
    ----------
    ranking, placement
        Policies on the order of the tasks and on their workers.
    advice
        Tickets for tasks of advised queues.
    run_numbers
        Numbers that the owner may give to runs.
    quarantine
        Standing of the workers by what failed on them.
    """

    def __init__(
        self,
        ranking: RankingPolicy,
        placement: Placement,
        advice: AdviceCache,
        run_numbers: RunNumbers,
        quarantine: WorkerQuarantine,
    ) -> None:
        self.quarantine = quarantine
        self.run_numbers = run_numbers
        self.ranking = ranking
        self.placement = placement
        self.isolated_placement = IsolatedPlacement(placement)
        self.advice = advice

    def plan_starts(
        self,
        waiting: Mapping[str, Task],
        workers: Collection[WorkerView],
        catalog: Catalog,
        start: StartCallback,
        now: float,
        now_unix: float,
    ) -> list[StartDecision]:
        """Start the waiting tasks that fit now.

        Parameters
        ----------
        waiting
            Waiting tasks by key.
        workers
            All workers.
        catalog
            Configuration with the queues of the tasks.
        start
            Called for each start. It removes the task from `waiting`.
        now
            Seconds of the owner's clock.
        now_unix
            Unix time in seconds.

        Returns
        -------
        list of StartDecision
            Results of the calls of `start`.
        """
        if not waiting:
            return []
        available = [w for w in workers if is_usable(w, now)]
        if not available:
            return []
        leaving = {task for worker in workers for task, _ in worker.leaving_runs}
        planning = StartRound(waiting, available, leaving, start, now)
        ranked = self.tasks_by_rank(waiting.values(), catalog, now, now_unix)
        for task, _ in ranked:
            task.waiting_since = task.waiting_since or now
        self._start_in_order(ranked, planning, self._trusted_workers)
        if self.quarantine.flagged_at:
            planning.exhausted.clear()
            rest = [row for row in ranked if row[0].key not in planning.has_place]
            # Of the tasks that can be given up, those with most attempts left try flagged workers.
            rest.sort(key=lambda row: 0 if row[0].step.continuous else row[0].failures)
            self._start_in_order(rest, planning, self._flagged_workers)
        return planning.starts

    def _start_in_order(
        self, rows: Iterable[tuple[Task, Queue]], planning: StartRound, find_workers: WorkerFinder
    ) -> None:
        """Start the tasks that fit on the workers that `find_workers` returns for each."""
        for task, queue in rows:
            group = _group(task, planning.now)
            if (
                task.key not in planning.waiting
                or group in planning.exhausted
                or not self._may_start(task, planning.leaving)
            ):
                continue
            workers = find_workers(task, queue, planning)
            if task.step.gang:
                planning.exhausted.add(group)  # All tasks of a gang are placed at once, or none.
                self._start_gang(task, workers, planning)
                continue
            worker = self._choose_worker(task, workers, planning)
            if worker is None:
                planning.exhausted.add(group)
                continue
            task.job.idle_since = 0.0
            planning.starts.append(planning.start(task, worker, task.next_run))

    def tasks_by_rank(
        self, waiting: Collection[Task], catalog: Catalog, now: float, now_unix: float
    ) -> list[tuple[Task, Queue]]:
        """Return the tasks that may start now with their queues, the most urgent first."""
        rows = self.rank_tasks(waiting, catalog, now, now_unix)
        return [(task, queue) for _, task, queue in rows]

    def rank_tasks(
        self, tasks: Collection[Task], catalog: Catalog, now: float, now_unix: float
    ) -> list[tuple[tuple[float, ...], Task, Queue]]:
        """Return ranks, tasks and queues of the tasks that may start now, the most urgent first."""
        rows = []
        rank_by_step: dict[tuple[str, int, int], tuple[float, ...]] = {}
        for task in tasks:
            queue = catalog.by_name(task.job.queue)
            if queue is None or now < task.not_before:
                continue
            key = (task.job.job_id, task.name.occurrence, task.name.step)
            rank = rank_by_step.get(key)
            if rank is None:
                rank = rank_by_step[key] = self.ranking.rank(task, queue, now_unix)
            rows.append((rank, task, queue))
        rows.sort(key=lambda row: row[0])
        return rows

    def _may_start(self, task: Task, leaving: Collection[str]) -> bool:
        """Return whether a task has a number for its next run and no run that is being stopped.

        `leaving` holds the keys of the tasks with runs that are being stopped and not tracked.
        """
        is_leaving = task.key in leaving and not task.step.allows_copies
        return not is_leaving and task.next_run <= self.run_numbers.highest

    def _find_places(self, task: Task, queue: Queue, planning: StartRound) -> list[WorkerView]:
        """Return the available workers of the service of a task that take it on its ticket."""
        places = [
            w for w in planning.available if w.identity and w.identity.service == queue.service
        ]
        if queue.advised:
            places = [w for w in places if self.advice.find_ticket(task, w, planning.now)]
        return places

    def _trusted_workers(self, task: Task, queue: Queue, planning: StartRound) -> list[WorkerView]:
        open_workers = _open_workers(task, self._find_places(task, queue, planning), planning.now)
        return self.quarantine.trusted(task, queue, open_workers)

    def _flagged_workers(self, task: Task, queue: Queue, planning: StartRound) -> list[WorkerView]:
        places = self._find_places(task, queue, planning)
        open_workers = _open_workers(task, places, planning.now)
        flagged = self.quarantine.flagged(task, open_workers, places, planning.now)
        if task.step.gang and flagged:
            return self.quarantine.trusted(task, queue, open_workers) + flagged
        return flagged

    def _choose_worker(
        self, task: Task, workers: list[WorkerView], planning: StartRound
    ) -> WorkerView | None:
        """Return the worker for a task; a suspect of a crash starts in isolation.

        A suspect that lasts does not wait for isolation for long: it may be one of many.
        """
        now = planning.now
        starving = _is_starving(task, now)
        if not is_suspect(task.crashes) or task.is_held(now):
            return self.placement.choose(task, workers, now, starving)
        worker = self.isolated_placement.choose(task, workers, now, starving)
        if worker is None and self.placement.choose(task, workers, now, starving) is not None:
            planning.has_place.add(task.key)
        return worker

    def _start_gang(self, task: Task, workers: list[WorkerView], planning: StartRound) -> None:
        members = task.job.siblings(task)
        if not all(
            member.key in planning.waiting and self._may_start(member, planning.leaving)
            for member in members
        ):
            return
        chosen = place_gang(members, workers, self.placement, planning.now)
        if chosen is None:
            return
        run = max(member.next_run for member in members)
        planning.starts += [
            planning.start(member, worker, run)
            for member, worker in zip(members, chosen, strict=True)
        ]


def _group(task: Task, now: float) -> TaskGroup:
    return TaskGroup(
        task.job.job_id,
        task.name.step,
        task.avoided_agent_id,
        is_suspect(task.crashes),
        task.failures,
        task.is_held(now),
    )


def _open_workers(task: Task, places: Iterable[WorkerView], now: float) -> list[WorkerView]:
    """Return the workers that are not closed to a task for a moment."""
    is_held = task.is_held(now)
    is_suspected = is_suspect(task.crashes)
    return [
        w for w in places if now >= w.full_until and (is_held or w.takes_starts(now, is_suspected))
    ]


def _is_starving(task: Task, now: float) -> bool:
    """Return whether the job of a waiting batch task has had no task on a worker for too long."""
    return task.step.uses_leftover and task.job.idle_seconds(now) >= STARVING_SECONDS
