"""Choice of the waiting tasks that start now, and of their workers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

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
        starts: list[StartDecision] = []
        # Job, step, avoided agent, suspicion and whether they have failed, of the tasks of which no
        # further one can be placed.
        exhausted: set[tuple[str, int, str, bool, bool]] = set()
        for task, queue in self.tasks_by_rank(waiting.values(), catalog, now, now_unix):
            is_suspected = is_suspect(task.crashes)
            group = (
                task.job.job_id,
                task.name.step,
                task.avoided_agent_id,
                is_suspected,
                bool(task.failures),
            )
            if group in exhausted or not self._may_start(task, leaving):
                continue
            places = self._find_places(task, queue, available, now)
            candidates = [
                w for w in places if now >= w.full_until and w.takes_starts(now, is_suspected)
            ]
            tiers = self.quarantine.tiers(task, queue, candidates, places, now)
            if task.step.gang:
                exhausted.add(group)  # All tasks of a gang are placed at once, or none.
                if all(self._may_start(member, leaving) for member in task.job.siblings(task)):
                    starts += self._start_gang(task, waiting, tiers, start, now)
                continue
            worker = self._choose_worker(task, tiers, now)
            if worker is None:
                exhausted.add(group)
                continue
            task.job.idle_since = 0.0
            starts.append(start(task, worker, task.next_run))
        return starts

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

    def _find_places(
        self, task: Task, queue: Queue, available: Iterable[WorkerView], now: float
    ) -> list[WorkerView]:
        """Return the available workers of the service of a task that take it on its ticket."""
        places = [w for w in available if w.identity and w.identity.service == queue.service]
        if queue.advised:
            places = [w for w in places if self.advice.find_ticket(task, w, now)]
        return places

    def _choose_worker(
        self, task: Task, tiers: Iterable[list[WorkerView]], now: float
    ) -> WorkerView | None:
        """Return the worker for a task from the first tier in which it finds a place."""
        starving = _is_starving(task, now)
        for workers in tiers:
            worker = self.placement.choose(task, workers, now, starving)
            if worker is not None:
                if is_suspect(task.crashes):
                    return self.isolated_placement.choose(task, workers, now, starving)
                return worker
        return None

    def _start_gang(
        self,
        task: Task,
        waiting: Mapping[str, Task],
        tiers: Iterable[list[WorkerView]],
        start: StartCallback,
        now: float,
    ) -> list[StartDecision]:
        members = task.job.siblings(task)
        if not all(member.key in waiting for member in members):
            return []
        chosen = None
        workers: list[WorkerView] = []
        for tier in tiers:
            workers = workers + tier
            chosen = place_gang(members, workers, self.placement, now)
            if chosen is not None:
                break
        if chosen is None:
            return []
        run = max(member.next_run for member in members)
        return [start(member, worker, run) for member, worker in zip(members, chosen, strict=True)]


def _is_starving(task: Task, now: float) -> bool:
    """Return whether the job of a waiting batch task has had no task on a worker for too long."""
    return task.step.uses_leftover and task.job.idle_seconds(now) >= STARVING_SECONDS
