"""Interference of batch images with service images, learned from rough measurements.

Tasks of one image behave alike, so what one worker shows of a pair of images holds for all workers.
The tail latency of a service grows out of proportion as batch tasks on its worker take resources
that it needs. Its headroom, which is the latency target divided by the tail latency, falls linearly
with the share of the worker's cores that the batch tasks use, and with the service's own load. A
measurement gives the tail latency of each service and the cores of each batch task over the same
half second.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from acaciastand.record import Record
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.service_load import ServiceLoad
from acaciastand.workflow.worker import WorkerView

MAX_PAIRS = 4_096  # When it is exceeded, the pair measured longest ago is dropped.
MAX_SNAPSHOT_PAIRS = 2_000  # Known pairs that the next owner gets; about 100 kB.
MAX_LOADS = 1_024  # When it is exceeded, the load measured longest ago is dropped.
# Cores of the worker that a headroom per core refers to. On a larger worker a core takes less.
REFERENCE_CORES = 32.0
# Headroom that a core of an unknown batch image is assumed to take, and the variance of that.
INITIAL_HEADROOM_PER_CORE = 0.1
INITIAL_VARIANCE = 0.04
MIN_VARIANCE = 2e-4  # A lower variance would ignore later changes of a pair's behaviour.
KNOWN_VARIANCE = 0.012  # A pair is known once its variance is lower.
MIN_IMAGE_CORES = 0.1  # Fewer cores of a batch image have no visible effect.
# A tail latency of a sixth of the target or less comes from an idle service.
MAX_HEADROOM = 6.0
SMOOTHING_FACTOR = 0.5  # Share of a change of cores that shows in the tails at the next poll.
# Variance of a measured headroom: a constant part, the square of a share of the headroom, and the
# square of a share of the cores by which the batch tasks are changing.
BASE_ERROR_VARIANCE = 0.01
HEADROOM_ERROR_SHARE = 0.08
CHANGING_CORES_ERROR = 0.1
# Pairs learn from the load of a service if it was measured at most this long ago.
MAX_LOAD_AGE_SECONDS = 2.5
# A batch task that takes at most this much headroom from a service does not interfere with it.
NON_INTERFERING_HEADROOM = 0.2


def headroom(tail_share: float) -> float:
    """Return the headroom at a tail latency given as a share of its target; 1 at the target."""
    return min(MAX_HEADROOM, 1.0 / max(tail_share, 1e-3))


class InterferenceSnapshot(Record):
    """What an owner has learned of interference, as the next owner gets it.

    Parameters
    ----------
    pairs
        Rows of batch image, service image, headroom that a core takes, and variance of that.
    """

    __slots__ = ("pairs",)

    def __init__(self, pairs: list[tuple[str, str, float, float]] | None = None) -> None:
        self.pairs = pairs or []


class Interference(ABC):
    """Model of how much headroom batch images take from service images."""

    @abstractmethod
    def observe(self, worker: WorkerView, now: float) -> None:
        """Learn from the measurements of the last poll of a worker."""

    @abstractmethod
    def headroom_per_core(self, batch: str, service: str) -> float | None:
        """Return the headroom that a core of a batch image takes from a service image.

        Parameters
        ----------
        batch, service
            Names of the two images.

        Returns
        -------
        float or None
            Headroom on a worker with `REFERENCE_CORES`; None for a pair that is not known.
        """

    def lowest_headroom(self, service: Task, seconds: float, now: float) -> float | None:
        """Return the lowest headroom of a service task in the next seconds without batch tasks.

        None, as unless overridden, if it is not known.
        """
        return None

    def snapshot(self) -> InterferenceSnapshot:
        """Return what has been learned, for the next owner; empty unless overridden."""
        return InterferenceSnapshot()

    def restore(self, snapshot: InterferenceSnapshot) -> None:
        """Restore what a former owner learned; does nothing unless overridden."""

    def headroom_taken(self, task: Task, worker: WorkerView) -> float | None:
        """Return the most headroom that a batch task takes from any service on a worker.

        None if a pair is not known.
        """
        most = 0.0
        cores = reference_cores(task, worker)
        for service in worker.serving_images:
            per_core = self.headroom_per_core(task.step.image, service)
            if per_core is None:
                return None
            most = max(most, per_core * cores)
        return most

    def is_non_interfering(self, task: Task, worker: WorkerView) -> bool:
        """Return whether a batch task is known to interfere with no service on a worker."""
        taken = self.headroom_taken(task, worker)
        return taken is not None and taken <= NON_INTERFERING_HEADROOM


def reference_cores(task: Task, worker: WorkerView) -> float:
    """Return the cores of a task, scaled from its worker to one with `REFERENCE_CORES`."""
    assert worker.identity is not None
    return task.step.size.cores * REFERENCE_CORES / max(worker.identity.capacity.cores, 1.0)


class UnknownInterference(Interference):
    """Baseline: no pair is ever known."""

    def observe(self, worker: WorkerView, now: float) -> None:
        """Do nothing."""

    def headroom_per_core(self, batch: str, service: str) -> float | None:
        """Return None."""
        return None


class ImagePair:
    """What is known of a batch image and a service image on one worker.

    Attributes
    ----------
    headroom_per_core
        Headroom that a core of the batch image takes on a worker with `REFERENCE_CORES`.
    variance
        Variance of that estimate.
    """

    __slots__ = ("headroom_per_core", "variance")

    def __init__(self) -> None:
        self.headroom_per_core = INITIAL_HEADROOM_PER_CORE
        self.variance = INITIAL_VARIANCE

    @property
    def is_known(self) -> bool:
        """Whether enough was measured to rely on the estimate."""
        return self.variance <= KNOWN_VARIANCE


class LearnedInterference(Interference):
    """Model that separates the load of each service from what each pair of images adds to it.

    Designed for services whose load swings within seconds beside batch tasks of which some
    interfere. If the swing is not modelled, it is taken for interference of whatever happens to run
    on the worker, and batch tasks are kept from services that they would not disturb. The load of a
    service is tracked over all its workers; the rest of each measured headroom corrects the pairs,
    in proportion to the variance of each, as in a Kalman filter without covariances.
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str], ImagePair] = OrderedDict()
        self._loads: OrderedDict[str, ServiceLoad] = OrderedDict()
        self._smoothed_cores: dict[str, dict[str, float]] = {}

    def observe(self, worker: WorkerView, now: float) -> None:
        """Learn from the measurements of the services on the worker."""
        present = _batch_cores(worker)
        cores = self._smooth_cores(worker.agent_id, present)
        changing = sum(
            abs(cores.get(image, 0.0) - present.get(image, 0.0))
            for image in cores.keys() | present.keys()
        )
        for load_key, (image, measured) in _measured_headrooms(worker).items():
            self.learn(image, load_key, measured, cores, changing, now)

    def headroom_per_core(self, batch: str, service: str) -> float | None:
        """Return the learned headroom of a pair; None until enough was measured."""
        pair = self._pairs.get((batch, service))
        return pair.headroom_per_core if pair is not None and pair.is_known else None

    def lowest_headroom(self, service: Task, seconds: float, now: float) -> float | None:
        """Return the lowest headroom of a service task in the next seconds without batch tasks."""
        load = self._loads.get(_load_key(service))
        if load is None or now - load.updated_at > MAX_LOAD_AGE_SECONDS:
            return None
        return load.lowest_within(seconds, now)

    def snapshot(self) -> InterferenceSnapshot:
        """Return the known pairs, or those measured last if there are too many."""
        known = [
            (batch, service, round(pair.headroom_per_core, 4), round(pair.variance, 6))
            for (batch, service), pair in self._pairs.items()
            if pair.is_known
        ]
        return InterferenceSnapshot(known[-MAX_SNAPSHOT_PAIRS:])

    def restore(self, snapshot: InterferenceSnapshot) -> None:
        """Restore the pairs that a former owner learned."""
        for batch, service, per_core, variance in snapshot.pairs:
            pair = self._get_pair(batch, service)
            pair.headroom_per_core = per_core
            pair.variance = variance

    def learn(
        self,
        service: str,
        load_key: str,
        measured: float,
        cores: Mapping[str, float],
        changing_cores: float,
        now: float,
    ) -> None:
        """Learn from one measurement of a service on one worker.

        Parameters
        ----------
        service
            Image of the service.
        load_key
            Name of the tasks that share the load of the service.
        measured
            Measured headroom of the service.
        cores
            Cores that each batch image on the worker used during the measurement, scaled to a
            worker with `REFERENCE_CORES`.
        changing_cores
            Cores by which the use of the batch images is changing.
        now
            Seconds of the owner's clock.
        """
        pairs = {image: self._get_pair(image, service) for image in cores}
        taken = sum(pair.headroom_per_core * cores[image] for image, pair in pairs.items())
        taken_variance = sum(pair.variance * cores[image] ** 2 for image, pair in pairs.items())
        error_variance = (
            BASE_ERROR_VARIANCE
            + (HEADROOM_ERROR_SHARE * measured) ** 2
            + (CHANGING_CORES_ERROR * changing_cores) ** 2
        )
        load = self._loads.get(load_key)
        if load is None:
            self._add_load(load_key, ServiceLoad(measured + taken, taken_variance, now))
            return
        if now - load.updated_at <= MAX_LOAD_AGE_SECONDS:
            missing = load.predict(now) - measured - taken
            variance = taken_variance + error_variance + load.predict_variance(now)
            for image, pair in pairs.items():
                gain = pair.variance * cores[image] / variance
                pair.headroom_per_core = max(0.0, pair.headroom_per_core + gain * missing)
                pair.variance = max(MIN_VARIANCE, pair.variance * (1.0 - gain * cores[image]))
        load.correct(measured + taken, error_variance + taken_variance, now)
        self._loads.move_to_end(load_key)

    def _add_load(self, load_key: str, load: ServiceLoad) -> None:
        self._loads[load_key] = load
        if len(self._loads) > MAX_LOADS:
            self._loads.popitem(last=False)

    def _smooth_cores(self, agent_id: str, cores: Mapping[str, float]) -> dict[str, float]:
        """Return the smoothed cores of each batch image on a worker.

        Tail latencies follow a change of the cores over about a second.
        """
        former = self._smoothed_cores.get(agent_id, {})
        smoothed = {
            image: (1.0 - SMOOTHING_FACTOR) * former.get(image, 0.0)
            + SMOOTHING_FACTOR * cores.get(image, 0.0)
            for image in former.keys() | cores.keys()
        }
        visible = {image: value for image, value in smoothed.items() if value >= MIN_IMAGE_CORES}
        self._smoothed_cores[agent_id] = visible
        return visible

    def _get_pair(self, batch: str, service: str) -> ImagePair:
        pair = self._pairs.setdefault((batch, service), ImagePair())
        self._pairs.move_to_end((batch, service))
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)
        return pair


def _load_key(service: Task) -> str:
    """Return the name of the tasks that share the load of a service task: those of its step."""
    return f"{service.job.job_id}.{service.name.step}"


def _measured_headrooms(worker: WorkerView) -> dict[str, tuple[str, float]]:
    """Return image and mean measured headroom of the service tasks that share a load."""
    measured: dict[str, tuple[str, list[float]]] = {}
    for task in worker.tasks.values():
        if task.state == TaskState.RUNNING and task.step.target_ms and task.measurement > 0:
            tail_share = task.measurement / task.step.target_ms
            row = measured.setdefault(_load_key(task), (task.step.image, []))
            row[1].append(headroom(tail_share))
    return {key: (image, _mean(values)) for key, (image, values) in measured.items()}


def _mean(values: Iterable[float]) -> float:
    listed = list(values)
    return sum(listed) / len(listed)


def _batch_cores(worker: WorkerView) -> dict[str, float]:
    """Return the reference cores that each batch image used during the last measurement."""
    assert worker.identity is not None
    scale = REFERENCE_CORES / max(worker.identity.capacity.cores, 1.0) / 1000
    cores: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.step.uses_leftover and task.state == TaskState.RUNNING:
            image = task.step.image
            cores[image] = cores.get(image, 0.0) + task.measurement * scale
    return cores
