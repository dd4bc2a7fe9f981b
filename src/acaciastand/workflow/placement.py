"""On which worker a task is started."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from acaciastand.workflow.interference import (
    MAX_HEADROOM,
    NON_INTERFERING_HEADROOM,
    Interference,
    UnknownInterference,
    headroom,
)
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

LEFTOVER_SHARE = 1.0  # of the unreserved cores that tasks on leftover time may ask for together
CALM_SHARE = 0.65  # of the latency limit, up to which another batch task may come beside a service
MIN_HEADROOM = 1.2  # that a batch task of a known image leaves to a service; 1 is its limit
# Headroom of all services on a worker that gets a batch task that takes little.
NON_INTERFERING_MIN_HEADROOM = 0.9
UNKNOWN_PER_CORE = 0.1  # headroom, taken for a recent start of an unknown pair
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
    return worker.has_capacity(step.reserved)


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
    """Keeps services together on few workers, and batch tasks on leftover time apart from them.

    Answers a mix in which batch tasks slow the services beside them: spread evenly, every worker
    has both, so the batch tasks are slowed down everywhere and their slowest task delays the next
    step. A batch task of an image that is known to disturb none of the services on a worker goes
    there first, so that workers without services are left for the others.

    Parameters
    ----------
    interference
        What is known of the pairs of images.
    """

    def __init__(self, interference: Interference | None = None) -> None:
        self.interference = interference or UnknownInterference()

    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker where the task meets the fewest of the other kind."""
        candidates = [w for w in workers if fits(task, w)]
        if not task.step.uses_leftover:
            return max(candidates, key=lambda w: _reserved_score(task, w), default=None)
        if not starving:
            candidates = [w for w in candidates if has_leftover(task, w)]
        rated = [(w, self.interference.taken(task, w)) for w in candidates]
        if not starving:
            rated = [(w, taken) for w, taken in rated if self._bears(task, w, taken, now)]
        best = max(rated, key=lambda row: _leftover_score(task, *row), default=None)
        return best[0] if best else None

    def _bears(self, task: Task, worker: WorkerView, taken: float | None, now: float) -> bool:
        """Return whether the services on a worker bear the task beside them."""
        if not worker.serving_images:
            return True
        if taken is None:
            return calm(worker, now)
        if taken <= NON_INTERFERING_HEADROOM:
            return headroom(worker.tail_share) >= NON_INTERFERING_MIN_HEADROOM
        return worker.pace_percent >= 100 and self._left(task, worker, now) >= MIN_HEADROOM

    def _left(self, task: Task, worker: WorkerView, now: float) -> float:
        """Return the least headroom on a worker once the task and recent starts show."""
        added = [task, *(other for other in worker.tasks.values() if _unmeasured(other, now))]
        least = MAX_HEADROOM
        for service in worker.serving_images:
            left = headroom(worker.tails.get(service, 0.0))
            for other in added:
                per_core = self.interference.per_core(other.step.image, service)
                left -= other.step.size.cores * (UNKNOWN_PER_CORE if per_core is None else per_core)
            least = min(least, left)
        return least


def _unmeasured(task: Task, now: float) -> bool:
    started = task.state == TaskState.STARTING or now - task.started < SETTLE_SECONDS
    return task.step.uses_leftover and started


def _reserved_score(task: Task, worker: WorkerView) -> tuple[float, ...]:
    near = bool(task.step.data_rack) and worker.rack == task.step.data_rack
    avoided = worker.agent_id == task.avoid
    serving = worker.serving_cores
    if task.step.continuous:
        return (not avoided, near, serving, worker.leftover_cores())
    return (not avoided, near, bool(serving), worker.leftover_cores())


def _leftover_score(task: Task, worker: WorkerView, taken: float | None) -> tuple[float, ...]:
    near = bool(task.step.data_rack) and worker.rack == task.step.data_rack
    avoided = worker.agent_id == task.avoid
    if taken is not None and taken <= NON_INTERFERING_HEADROOM:
        return (not avoided, near, 0.0, bool(worker.serving_images), worker.leftover_cores())
    expected_interference = worker.serving_cores if taken is None else taken * worker.serving_cores
    return (not avoided, near, -expected_interference, 0.0, worker.leftover_cores())
