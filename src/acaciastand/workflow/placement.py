"""Choice of the worker on which a task starts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence

from acaciastand.workflow.interference import (
    NON_INTERFERING_HEADROOM,
    Interference,
    UnknownInterference,
    headroom,
    reference_cores,
)
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.spec import StepSpec
from acaciastand.workflow.worker import WorkerView, services_by_step

# Maximum share of the unreserved cores that batch tasks may ask for together.
MAX_LEFTOVER_SHARE = 1.0
# Tail latency of a service, as a share of its latency target, up to which a batch task of unknown
# interference may start beside it.
MAX_START_TAIL_SHARE = 0.65
# Headroom that all batch tasks on a worker together must leave to each service there. The headroom
# is 1 at the latency target.
MIN_HEADROOM = 1.15
# Headroom that each service on a worker must have for a batch task that takes next to none of it.
NEGLIGIBLE_MIN_HEADROOM = 0.9
NEGLIGIBLE_HEADROOM = 0.05  # A batch task that takes less is not seen in the measurements.
# Headroom that a core of a batch task is assumed to take if the pair of images is not known.
DEFAULT_HEADROOM_PER_CORE = 0.1
# Longest time for which the load of the services is predicted.
MAX_HORIZON_SECONDS = 4.0
# Time until a start shows in the measurements: they cover half a second and are reported within
# 0.5 s.
MEASUREMENT_DELAY_SECONDS = 0.8


class Placement(ABC):
    """Policy on the worker on which a task starts."""

    @abstractmethod
    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker for a task, or None if the task has to wait.

        Parameters
        ----------
        task
            Task to be started.
        workers
            Workers to choose from.
        now
            Seconds of the owner's clock.
        starving
            Whether a batch task starts even if no leftover processor time is free.
        """


def fits(task: Task, worker: WorkerView) -> bool:
    """Return whether a worker meets the requirements of a task.

    It must have the required label, few enough tasks of the same step, and free capacity for the
    resources that the task reserves.
    """
    step = task.step
    assert worker.identity is not None
    if not _has_label(step, worker):
        return False
    return not exceeds_step_limit(task, worker) and worker.has_capacity(step.reserved)


def exceeds_step_limit(task: Task, worker: WorkerView) -> bool:
    """Return whether a worker may have as many tasks of the step of a task as the step allows."""
    limit = task.step.max_per_worker
    return bool(limit) and _count_same_step(task, worker) >= limit


def could_hold(step: StepSpec, worker: WorkerView) -> bool:
    """Return whether a worker would meet the requirements of a step if it were empty."""
    assert worker.identity is not None
    return _has_label(step, worker) and step.reserved.fits_in(worker.identity.capacity)


def _has_label(step: StepSpec, worker: WorkerView) -> bool:
    assert worker.identity is not None
    return not step.required_label or step.required_label in worker.identity.labels


def _count_same_step(task: Task, worker: WorkerView) -> int:
    """Return the number of tasks of the same step that may be on a worker.

    Runs that are being stopped, and starts of former owners that may take effect, count as well.
    """
    step_prefix = task.key.rpartition(".")[0] + "."
    untracked = (key for key, _ in (*worker.leaving_runs, *worker.unsettled_starts))
    return sum(key.startswith(step_prefix) for key in {*worker.tasks, *untracked})


class SpreadPlacement(Placement):
    """Placement of each task where most leftover processor time is free.

    Designed for a steady mix of services and large batch tasks. Batch tasks wait while the leftover
    time of every worker is taken, since more of them on one worker finish no sooner and slow down
    the services there. The rack that holds the data of a task is preferred.
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
        is_near_data = bool(task.step.data_rack) and worker.rack == task.step.data_rack
        is_avoided = worker.agent_id == task.avoided_agent_id
        return (
            not is_avoided,
            is_near_data,
            not worker.in_slow_start,
            worker.leftover_cores(),
        )


def has_leftover(task: Task, worker: WorkerView) -> bool:
    """Return whether a worker has leftover processor time for a batch task.

    If no other batch task is on the worker, any amount is enough.
    """
    leftover_cores = worker.leftover_cores()
    assert worker.identity is not None
    margin_cores = (1.0 - MAX_LEFTOVER_SHARE) * worker.identity.capacity.cores
    is_alone = not worker.leftover_task_count
    return leftover_cores - margin_cores >= task.step.size.cores or (
        is_alone and leftover_cores > 0
    )


def tolerates_unknown_batch_task(worker: WorkerView, now: float) -> bool:
    """Return whether a batch task of unknown interference may start beside a worker's services.

    The effect of a start shows in the measurements only after a while, so batch tasks start one at
    a time.
    """
    if not worker.serving_cores:
        return True
    is_measured = now - worker.leftover_started_at >= MEASUREMENT_DELAY_SECONDS
    return is_measured and worker.pace_percent >= 100 and worker.tail_share <= MAX_START_TAIL_SHARE


class SeparatingPlacement(Placement):
    """Placement that keeps services together on few workers, and batch tasks apart from them.

    Designed for a mix in which batch tasks slow down the services on their worker. If tasks were
    spread evenly, every worker would have both kinds, so the batch tasks would be slowed down
    everywhere and the slowest task of a step would delay the next step. A batch task that is known
    to interfere with none of the services on a worker goes there first, which leaves the workers
    without services to the other batch tasks.

    Parameters
    ----------
    interference
        Model of the interference between images.
    """

    def __init__(self, interference: Interference | None = None) -> None:
        self.interference = interference or UnknownInterference()

    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker on which services and batch tasks interfere least."""
        candidates = [w for w in workers if fits(task, w)]
        if not task.step.uses_leftover:
            return max(candidates, key=lambda w: _reserved_score(task, w), default=None)
        if not starving:
            candidates = [w for w in candidates if has_leftover(task, w)]
        rated = [(w, self.interference.headroom_taken(task, w)) for w in candidates]
        if not starving:
            rated = [(w, taken) for w, taken in rated if self._tolerates(task, w, taken, now)]
        best = max(rated, key=lambda row: _leftover_score(task, *row), default=None)
        return best[0] if best else None

    def _tolerates(
        self, task: Task, worker: WorkerView, headroom_taken: float | None, now: float
    ) -> bool:
        """Return whether the services on a worker tolerate a batch task beside them."""
        if not worker.serving_images:
            return True
        if headroom_taken is None:
            return tolerates_unknown_batch_task(worker, now)
        if headroom_taken <= NEGLIGIBLE_HEADROOM:
            return headroom(worker.tail_share) >= NEGLIGIBLE_MIN_HEADROOM
        if headroom_taken > NON_INTERFERING_HEADROOM and worker.pace_percent < 100:
            return False
        return self._headroom_after_start(task, worker, now) >= MIN_HEADROOM

    def _headroom_after_start(self, task: Task, worker: WorkerView, now: float) -> float:
        """Return the least headroom of a service while the task runs beside it."""
        batch = [other for other in worker.tasks.values() if other.step.uses_leftover]
        seconds = min(task.step.estimate_seconds, MAX_HORIZON_SECONDS)
        return min(
            self._lowest_headroom(service, worker, seconds, now)
            - self._taken(service, [task, *batch], worker)
            for service in services_by_step(worker).values()
        )

    def _lowest_headroom(
        self, service: Task, worker: WorkerView, seconds: float, now: float
    ) -> float:
        """Return the lowest headroom of a service within some seconds without batch tasks."""
        predicted = self.interference.lowest_headroom(service, seconds, now)
        if predicted is not None:
            return predicted
        measured = headroom(worker.tail_share_by_image.get(service.step.image, 0.0))
        present = [other for other in worker.tasks.values() if _is_measured(other, now)]
        return measured + self._taken(service, present, worker)

    def _taken(self, service: Task, batch: Sequence[Task], worker: WorkerView) -> float:
        """Return the headroom that batch tasks together take from a service."""
        total = 0.0
        for other in batch:
            per_core = self.interference.headroom_per_core(other.step.image, service.step.image)
            total += reference_cores(other, worker) * (
                DEFAULT_HEADROOM_PER_CORE if per_core is None else per_core
            )
        return total


def _is_measured(task: Task, now: float) -> bool:
    """Return whether a batch task started long enough ago to show in the measurements."""
    is_recent = (
        task.state == TaskState.STARTING or now - task.started_at < MEASUREMENT_DELAY_SECONDS
    )
    return task.step.uses_leftover and not is_recent


def _reserved_score(task: Task, worker: WorkerView) -> tuple[float, ...]:
    """Return the sort key of a worker for a task that reserves its cores; the largest is best."""
    is_near_data = bool(task.step.data_rack) and worker.rack == task.step.data_rack
    is_avoided = worker.agent_id == task.avoided_agent_id
    serving_cores = worker.serving_cores
    if task.step.continuous:
        has_same_image = task.step.image in worker.serving_images
        return (
            not is_avoided,
            is_near_data,
            not worker.in_slow_start,
            has_same_image,
            serving_cores,
            worker.leftover_cores(),
        )
    return (
        not is_avoided,
        is_near_data,
        not worker.in_slow_start,
        bool(serving_cores),
        worker.leftover_cores(),
    )


def _leftover_score(
    task: Task, worker: WorkerView, headroom_taken: float | None
) -> tuple[float, ...]:
    """Return the sort key of a worker for a batch task; the largest is best."""
    is_near_data = bool(task.step.data_rack) and worker.rack == task.step.data_rack
    is_avoided = worker.agent_id == task.avoided_agent_id
    if headroom_taken is not None and headroom_taken <= NON_INTERFERING_HEADROOM:
        return (
            not is_avoided,
            is_near_data,
            not worker.in_slow_start,
            0.0,
            bool(worker.serving_images),
            worker.leftover_cores(),
        )
    expected_interference = (
        worker.serving_cores if headroom_taken is None else headroom_taken * worker.serving_cores
    )
    return (
        not is_avoided,
        is_near_data,
        not worker.in_slow_start,
        -expected_interference,
        0.0,
        worker.leftover_cores(),
    )
