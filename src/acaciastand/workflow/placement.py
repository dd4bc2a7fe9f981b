"""On which worker a task is started."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from acaciastand.workflow.interference import (
    GENTLE_SHARE,
    OWN_TAIL_SHARE,
    Interference,
    UnknownInterference,
)
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.pacing import SLOW_AT
from acaciastand.workflow.worker import WorkerView

LEFTOVER_SHARE = 1.0  # of the unreserved cores that tasks on leftover time may ask for together
CALM_SHARE = 0.65  # of the latency limit, up to which another batch task may come beside a service
BEARABLE_SHARE = 0.75  # of the latency limit, that a known batch task may lead to
UNKNOWN_PER_CORE = 0.1  # of the limit, taken for a recent start of an unknown pair
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
        rated = [(w, self.interference.added(task, w)) for w in candidates]
        if not starving:
            rated = [(w, added) for w, added in rated if self._bears(task, w, added, now)]
        best = max(rated, key=lambda row: _leftover_score(task, *row), default=None)
        return best[0] if best else None

    def _bears(self, task: Task, worker: WorkerView, added: float | None, now: float) -> bool:
        """Return whether the services on a worker bear the task beside them."""
        if not worker.serving_images:
            return True
        if added is None:
            return calm(worker, now)
        if added <= GENTLE_SHARE:
            return worker.tail_share <= SLOW_AT
        return worker.pace_percent >= 100 and self._expected(task, worker, now) <= BEARABLE_SHARE

    def _expected(self, task: Task, worker: WorkerView, now: float) -> float:
        """Return the largest tail share on a worker once the task and recent starts show."""
        recent = [other for other in worker.tasks.values() if _unmeasured(other, now)]
        worst = 0.0
        for service in worker.serving_images:
            share = worker.tails.get(service, OWN_TAIL_SHARE)
            for other in (task, *recent):
                per_core = self.interference.per_core(other.step.image, service)
                share += other.step.size.cores * (
                    UNKNOWN_PER_CORE if per_core is None else per_core
                )
            worst = max(worst, share)
        return worst


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


def _leftover_score(task: Task, worker: WorkerView, added: float | None) -> tuple[float, ...]:
    near = bool(task.step.data_rack) and worker.rack == task.step.data_rack
    avoided = worker.agent_id == task.avoid
    gentle = added is not None and added <= GENTLE_SHARE
    if gentle:
        return (not avoided, near, 0.0, bool(worker.serving_images), worker.leftover_cores())
    disturbed = worker.serving_cores if added is None else added * worker.serving_cores
    return (not avoided, near, -disturbed, 0.0, worker.leftover_cores())
