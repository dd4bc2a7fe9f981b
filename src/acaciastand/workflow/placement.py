"""On which worker a task is started."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from acaciastand.workflow.job import Task
from acaciastand.workflow.worker import WorkerView

LEFTOVER_SHARE = 1.0  # of the unreserved cores that tasks on leftover time may ask for together
CALM_SHARE = 0.65  # of the latency limit, up to which another batch task may come beside a service
SETTLE_SECONDS = 0.8  # a measurement covers half a second and is reported within 0.5 s


class Placement(ABC):
    """Chooses among workers that may take a task."""

    @abstractmethod
    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker for `task`, or None if it has to wait.

        A `starving` task does not wait for leftover processor time.
        """


def fits(task: Task, worker: WorkerView) -> bool:
    """Return whether the worker has the reserved room, the label and the spread for a task."""
    step = task.step
    assert worker.identity is not None
    if step.required_label and step.required_label not in worker.identity.labels:
        return False
    if step.max_per_worker and _same_step(task, worker) >= step.max_per_worker:
        return False
    return worker.has_room(step.reserved)


def _same_step(task: Task, worker: WorkerView) -> int:
    place = (task.name.occurrence, task.name.step)
    return sum(
        1
        for other in worker.tasks.values()
        if other.job is task.job and (other.name.occurrence, other.name.step) == place
    )


class SpreadPlacement(Placement):
    """Places each task where most processor time is left.

    Answers the steady mix of services and large batch tasks: tasks on leftover time wait while
    every worker's leftover is spoken for, since more of them side by side finish no sooner and
    slow the services beside them. A rack that holds the data goes first.
    """

    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker with most leftover cores among those that fit."""
        candidates = [w for w in workers if fits(task, w) and w.identity]
        if task.step.uses_leftover and not starving:
            candidates = [w for w in candidates if has_leftover(task, w)]
        return max(candidates, key=lambda w: self._score(task, w), default=None)

    def _score(self, task: Task, worker: WorkerView) -> tuple[float, ...]:
        near = bool(task.step.data_rack) and worker.rack == task.step.data_rack
        avoided = worker.agent_id == task.avoid
        return (not avoided, near, worker.leftover_cores())


def has_leftover(task: Task, worker: WorkerView) -> bool:
    """Return whether a task on leftover time finds enough of it, or is alone in wanting it."""
    left = worker.leftover_cores()
    assert worker.identity is not None
    slack = (1.0 - LEFTOVER_SHARE) * worker.identity.capacity.cores
    alone = not worker.leftover_tasks
    return left - slack >= task.step.size.cores or (alone and left > 0)


def calm(worker: WorkerView, now: float) -> bool:
    """Return whether the services on a worker bear one more batch task beside them.

    The effect of a new task shows in the measurements only after a while, so one starts at a time.
    """
    if not worker.serving_cores:
        return True
    settled = now - worker.leftover_started_at >= SETTLE_SECONDS
    return settled and worker.pace_percent >= 100 and worker.tail_share <= CALM_SHARE


class SeparatingPlacement(Placement):
    """Keeps services together on few workers, and batch tasks on leftover time on the others.

    Answers a mix in which batch tasks slow the services beside them: spread evenly, every worker
    has both, so the batch tasks are slowed down everywhere and their slowest task delays the next
    step. Apart, both run at full speed; they meet only where one kind finds no other room.
    """

    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker where the task meets the fewest of the other kind."""
        candidates = [w for w in workers if fits(task, w)]
        if task.step.uses_leftover and not starving:
            candidates = [w for w in candidates if has_leftover(task, w) and calm(w, now)]
        return max(candidates, key=lambda w: self._score(task, w), default=None)

    def _score(self, task: Task, worker: WorkerView) -> tuple[float, ...]:
        near = bool(task.step.data_rack) and worker.rack == task.step.data_rack
        avoided = worker.agent_id == task.avoid
        serving = worker.serving_cores
        if task.step.uses_leftover:
            return (not avoided, near, -serving, worker.leftover_cores())
        if task.step.continuous:
            return (not avoided, near, serving, worker.leftover_cores())
        return (not avoided, near, bool(serving), worker.leftover_cores())
