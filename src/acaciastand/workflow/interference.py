"""Interference of batch images with service images, learned from rough measurements.

Tasks of one image behave alike, so what one worker shows of a pair of images holds for all workers.
The tail latency of a service grows out of proportion as batch tasks on its worker take resources
that it needs. Its headroom, which is the latency target divided by the tail latency, falls about
linearly with the cores of the batch tasks. A measurement gives the tail latency of each service and
the cores of each batch task over the same half second.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping

from acaciastand.record import Record
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

MAX_PAIRS = 4_096  # When it is exceeded, the pair measured longest ago is dropped.
MAX_SNAPSHOT_PAIRS = 2_000  # Known pairs that the next owner gets; about 100 kB.
FIRST_LEARNING_RATE = 0.5  # Share of the error by which the first measurement corrects a pair.
# Minimum share of the error by which a measurement corrects a pair, reached as the pair gets known.
# Earlier behaviour fades by this share with each measurement.
MIN_LEARNING_RATE = 0.05
# A pair is known once the cores of the batch image, summed over all measurements, reach this.
MIN_MEASURED_CORES = 2.5
MIN_IMAGE_CORES = 0.1  # Fewer cores of a batch image have no visible effect.
# A tail latency below half of the target varies with the service's own load alone.
MAX_HEADROOM = 2.0
# Share of the error by which each measurement corrects the headroom of a service image alone.
ALONE_LEARNING_RATE = 0.05
SMOOTHING_FACTOR = 0.5  # Share of a change of cores that shows in the tails at the next poll.
# A service counts as alone while each batch image on its worker takes less headroom than this.
MAX_ALONE_HEADROOM_TAKEN = 0.1
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
        Rows of batch image, service image, headroom that a core takes, and sum of measured cores.
    alone
        Headroom of each service image without batch tasks on its worker.
    """

    __slots__ = ("pairs", "alone")

    def __init__(
        self,
        pairs: list[tuple[str, str, float, float]] | None = None,
        alone: dict[str, float] | None = None,
    ) -> None:
        self.pairs = pairs or []
        self.alone = alone or {}


class Interference(ABC):
    """Model of how much headroom batch images take from service images."""

    @abstractmethod
    def observe(self, worker: WorkerView) -> None:
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
            None for a pair that is not known.
        """

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
        for service in worker.serving_images:
            per_core = self.headroom_per_core(task.step.image, service)
            if per_core is None:
                return None
            most = max(most, per_core * task.step.size.cores)
        return most

    def is_non_interfering(self, task: Task, worker: WorkerView) -> bool:
        """Return whether a batch task is known to interfere with no service on a worker."""
        taken = self.headroom_taken(task, worker)
        return taken is not None and taken <= NON_INTERFERING_HEADROOM


class UnknownInterference(Interference):
    """Baseline: no pair is ever known."""

    def observe(self, worker: WorkerView) -> None:
        """Do nothing."""

    def headroom_per_core(self, batch: str, service: str) -> float | None:
        """Return None."""
        return None


class ImagePair:
    """What is known of a batch image and a service image on one worker.

    Attributes
    ----------
    headroom_per_core
        Headroom that a core of the batch image takes.
    cores
        Cores of the batch image, summed over all measurements.
    """

    __slots__ = ("headroom_per_core", "cores")

    def __init__(self) -> None:
        self.headroom_per_core = 0.0
        self.cores = 0.0

    @property
    def learning_rate(self) -> float:
        """Share of the error by which the next measurement corrects the pair."""
        return max(FIRST_LEARNING_RATE / (1 + self.cores / MIN_MEASURED_CORES), MIN_LEARNING_RATE)


class LearnedInterference(Interference):
    """Model that corrects all pairs by the error of their sum (normalised least mean squares).

    Designed for a mix in which some pairs of images interfere and others do not. Without it, batch
    tasks start one at a time beside services and are slowed down together, whichever of them
    interferes.
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str], ImagePair] = OrderedDict()
        self._alone_headroom: dict[str, float] = {}
        self._smoothed_cores: dict[str, dict[str, float]] = {}

    def observe(self, worker: WorkerView) -> None:
        """Learn from the measurement of each service on the worker."""
        cores = self._smooth_cores(worker.agent_id, _batch_cores(worker))
        for task in worker.tasks.values():
            if task.state == TaskState.RUNNING and task.step.target_ms and task.measurement > 0:
                self.learn(task.step.image, task.measurement / task.step.target_ms, cores)

    def headroom_per_core(self, batch: str, service: str) -> float | None:
        """Return the learned headroom of a pair; None until enough cores were measured."""
        pair = self._pairs.get((batch, service))
        return (
            pair.headroom_per_core
            if pair is not None and pair.cores >= MIN_MEASURED_CORES
            else None
        )

    def snapshot(self) -> InterferenceSnapshot:
        """Return the known pairs, or those measured last if there are too many."""
        known = [
            (batch, service, round(pair.headroom_per_core, 4), round(pair.cores, 1))
            for (batch, service), pair in self._pairs.items()
            if pair.cores >= MIN_MEASURED_CORES
        ]
        alone = {service: round(value, 4) for service, value in self._alone_headroom.items()}
        return InterferenceSnapshot(known[-MAX_SNAPSHOT_PAIRS:], alone)

    def restore(self, snapshot: InterferenceSnapshot) -> None:
        """Restore the pairs that a former owner learned."""
        for batch, service, per_core, cores in snapshot.pairs:
            pair = self._get_pair(batch, service)
            pair.headroom_per_core = per_core
            pair.cores = cores
        self._alone_headroom.update(snapshot.alone)

    def learn(self, service: str, tail_share: float, cores: Mapping[str, float]) -> None:
        """Learn from one measurement of a service.

        Parameters
        ----------
        service
            Image of the service.
        tail_share
            Tail latency of the service as a share of its latency target.
        cores
            Cores that each batch image on the worker used during the measurement.
        """
        alone = self._alone_headroom.get(service, MAX_HEADROOM)
        pairs = {image: self._get_pair(image, service) for image in cores}
        expected = alone - sum(
            pair.headroom_per_core * cores[image] for image, pair in pairs.items()
        )
        error = expected - headroom(tail_share)
        if all(
            pair.headroom_per_core * cores[image] < MAX_ALONE_HEADROOM_TAKEN
            for image, pair in pairs.items()
        ):
            self._alone_headroom[service] = alone - ALONE_LEARNING_RATE * error
        squared_norm = sum(value * value for value in cores.values())
        for image, pair in pairs.items():
            correction = pair.learning_rate * error * cores[image] / squared_norm
            pair.headroom_per_core = max(0.0, pair.headroom_per_core + correction)
            pair.cores += cores[image]

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


def _batch_cores(worker: WorkerView) -> dict[str, float]:
    """Return the cores that each batch image used during the last measurement."""
    cores: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.step.uses_leftover and task.state == TaskState.RUNNING:
            image = task.step.image
            cores[image] = cores.get(image, 0.0) + task.measurement / 1000
    return cores
