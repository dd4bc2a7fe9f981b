"""Why tasks wait: the workers that could hold a waiting task, by the rule that keeps it off each.

Designed to tell exclusions that outlive their cause from a lack of room. What is recorded is
bounded: few tasks at a time, of each job one, and of each rule a number and few workers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.crashes import is_suspect
from acaciastand.workflow.exclusions import (
    Exclusion,
    standing_exclusion,
    task_exclusion,
    worker_exclusion,
)
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.placement import could_hold
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.worker import WorkerView

CHECK_SECONDS = 1.0  # Time between two checks of the waiting tasks.
LONG_WAIT_SECONDS = 2.0  # A task that has waited for less is not recorded.
REPEAT_SECONDS = 5.0  # Minimum time between two records on tasks of the same job.
MAX_TASKS_PER_CHECK = 2
MAX_EXAMPLES = 3  # Workers that are named for each rule.


class PassedOver(Record):
    """Workers that could hold a task, by the rule for which it does not start there.

    Parameters
    ----------
    agents
        Ids of their agents by rule.
    """

    __slots__ = ("agents",)

    def __init__(self, agents: dict[Exclusion, list[str]]) -> None:
        self.agents = agents

    def counts(self) -> dict[str, int]:
        """Return the number of workers by rule, the most frequent rule first."""
        rows = sorted(self.agents.items(), key=lambda row: -len(row[1]))
        return {why.value: len(agent_ids) for why, agent_ids in rows}

    def examples(self) -> dict[str, list[str]]:
        """Return some of the workers of each rule."""
        return {why.value: agent_ids[:MAX_EXAMPLES] for why, agent_ids in self.agents.items()}


class WaitMonitor:
    """Records the tasks that wait for long, and counts the workers that are passed over.

    Parameters
    ----------
    state
        State of the scheduler.

    Attributes
    ----------
    excluded_workers
        Number of workers by the rule for which they get no new work, at the last check.
    checked_at
        When the waiting tasks were last checked.
    waiting_since
        Time of the check at which each waiting task was first found waiting, by its key.
    recorded_at
        When a task of a job was last recorded, by the id of the job.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state
        self.excluded_workers: Counter[str] = Counter()
        self.checked_at = float("-inf")
        self.waiting_since: dict[str, float] = {}
        self.recorded_at: dict[str, float] = {}

    def update(self, now: float) -> None:
        """Check the waiting tasks and the workers, unless that was done a moment ago."""
        if now - self.checked_at < CHECK_SECONDS:
            return
        self.checked_at = now
        exclusions = (
            worker_exclusion(worker, now) or standing_exclusion(worker)
            for worker in self.state.workers.values()
        )
        self.excluded_workers = Counter(why.value for why in exclusions if why is not None)
        waiting = {**self.state.waiting, **self.state.uncertain}
        self.waiting_since = {key: self.waiting_since.get(key, now) for key in waiting}
        self.recorded_at = {
            job_id: recorded_at
            for job_id, recorded_at in self.recorded_at.items()
            if now - recorded_at < REPEAT_SECONDS
        }
        for task in self._tasks_to_record(waiting.values(), now):
            self.recorded_at[task.job.job_id] = now
            self._record(task, now)

    def _tasks_to_record(self, waiting: Iterable[Task], now: float) -> list[Task]:
        """Return a few tasks that have waited for long, each of another job.

        Continuous tasks come first, then those of jobs that have nothing on a worker, and of these
        the ones that have waited longest.
        """
        by_job: dict[str, Task] = {}
        for task in waiting:
            job_id = task.job.job_id
            has_waited = now - self.waiting_since[task.key] >= LONG_WAIT_SECONDS
            if has_waited and job_id not in by_job and job_id not in self.recorded_at:
                by_job[job_id] = task
        candidates = [t for t in by_job.values() if t.step.continuous or t.job.is_idle()]
        candidates.sort(key=lambda t: (not t.step.continuous, self.waiting_since[t.key]))
        return candidates[:MAX_TASKS_PER_CHECK]

    def _record(self, task: Task, now: float) -> None:
        waited_s = round(now - self.waiting_since[task.key], 1)
        if task.state == TaskState.UNCERTAIN:
            workers = self.state.workers.values()
            unknown = [w.agent_id for w in workers if w.may_have_unknown_run(task.key)]
            self.state.record_decision(
                "task waits",
                task.key,
                waited_s=waited_s,
                why="a former owner may have started it",
                silent_agents=len(unknown),
                examples=unknown[:MAX_EXAMPLES],
            )
            return
        queue = self.state.catalog.by_name(task.job.queue)
        if queue is None:
            why = "its queue is not configured"
            self.state.record_decision("task waits", task.key, waited_s=waited_s, why=why)
            return
        passed_over = self.passed_over(task, queue, now)
        self.state.record_decision(
            "task waits",
            task.key,
            waited_s=waited_s,
            why=self._own_reason(task, now) or "passed over",
            passed_over=passed_over.counts(),
            examples=passed_over.examples(),
            avoided=task.avoided_agent_id or None,
        )

    def _own_reason(self, task: Task, now: float) -> str:
        """Return why a task may not start on any worker; empty if it may."""
        if now < task.not_before:
            return "its last start was refused"
        if task.next_run > self.state.run_numbers.highest:
            return "no run number is left"
        leaving = (key for worker in self.state.workers.values() for key, _ in worker.leaving_runs)
        if not task.step.allows_copies and task.key in leaving:
            return "another run of it is being stopped"
        if task.step.gang:
            return "its gang starts as a whole"
        return ""

    def passed_over(self, task: Task, queue: Queue, now: float) -> PassedOver:
        """Return the workers that could hold a task if they were empty, by rule."""
        agents: dict[Exclusion, list[str]] = {}
        for worker in self._suitable_workers(task, queue):
            why = self._exclusion(task, queue, worker, now)
            agents.setdefault(why, []).append(worker.agent_id)
        return PassedOver(agents)

    def _suitable_workers(self, task: Task, queue: Queue) -> Iterator[WorkerView]:
        for worker in self.state.workers.values():
            identity = worker.identity
            if identity and identity.service == queue.service and could_hold(task.step, worker):
                yield worker

    def _exclusion(self, task: Task, queue: Queue, worker: WorkerView, now: float) -> Exclusion:
        why = worker_exclusion(worker, now)
        if why is None and queue.advised and not self.state.advice.find_ticket(task, worker, now):
            why = Exclusion.NO_TICKET
        why = why or task_exclusion(task, worker, is_suspect(task.crashes), now)
        return why or Exclusion.PLACEMENT
