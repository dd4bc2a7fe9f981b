"""How much batch tasks of one image disturb services of another, learned from rough measurements.

Tasks of one image behave alike, so what one pair of images shows on one worker holds for all
workers. The tail latency of a service grows out of proportion as the batch tasks beside it take
what it needs, but its headroom, the latency limit divided by the tail, falls about evenly with each
core. A measurement names the tail of each service and the cores of each batch task over the same
half second.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping

from acaciastand.record import Record
from acaciastand.workflow.job import Task, TaskState
from acaciastand.workflow.worker import WorkerView

MAX_PAIRS = 4_096  # the one measured longest ago is dropped
MAX_SNAPSHOT_PAIRS = 2_000  # known pairs that are handed to the next owner; about 100 kB
FIRST_RATE = 0.5  # of the error that a new pair takes on
LAST_RATE = 0.05  # the same for a known pair; earlier behaviour fades by this share each time
KNOWN_CORES = 2.5  # sum of the cores over all measurements, from which on a pair counts as known
MIN_CORES = 0.1  # fewer cores of an image show nothing
MAX_HEADROOM = 2.0  # a tail below half the limit differs by the service's own load alone
OWN_RATE = 0.05  # of the error that the headroom of a service alone takes on
FOLLOW_SHARE = 0.5  # of a change of cores that shows in the tails at the next look
ALONE_HEADROOM = 0.1  # a service counts as alone while each batch image takes less
NON_INTERFERING_HEADROOM = 0.2  # a batch task that takes less does not disturb a service


def headroom(tail_share: float) -> float:
    """Return the headroom at a tail latency given as a share of its limit; 1 at the limit."""
    return min(MAX_HEADROOM, 1.0 / max(tail_share, 1e-3))


class InterferenceSnapshot(Record):
    """What one owner hands to the next.

    Parameters
    ----------
    pairs
        Rows of batch image, service image, headroom taken by a core, and cores measured.
    alone
        Headroom of each service image without batch tasks.
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
    """Knows how much batch images slow services down."""

    @abstractmethod
    def observe(self, worker: WorkerView) -> None:
        """Learn from the figures of the last look at a worker."""

    @abstractmethod
    def per_core(self, batch: str, service: str) -> float | None:
        """Return the headroom that a core of image `batch` takes from image `service`.

        None for an unknown pair.
        """

    def snapshot(self) -> InterferenceSnapshot:
        """Return what the next owner has to know."""
        return InterferenceSnapshot()

    def restore(self, snapshot: InterferenceSnapshot) -> None:
        """Take over what a former owner learned."""

    def taken(self, task: Task, worker: WorkerView) -> float | None:
        """Return the most headroom that a batch task takes from any service on a worker."""
        worst = 0.0
        for service in worker.serving_images:
            per_core = self.per_core(task.step.image, service)
            if per_core is None:
                return None
            worst = max(worst, per_core * task.step.size.cores)
        return worst

    def is_non_interfering(self, task: Task, worker: WorkerView) -> bool:
        """Return whether a batch task is known to disturb no service on a worker."""
        taken = self.taken(task, worker)
        return taken is not None and taken <= NON_INTERFERING_HEADROOM


class UnknownInterference(Interference):
    """Knows no pair; the baseline."""

    def observe(self, worker: WorkerView) -> None:
        """Learn nothing."""

    def per_core(self, batch: str, service: str) -> float | None:
        """Return None."""
        return None


class Pair:
    """What is known of a batch image beside a service image."""

    __slots__ = ("per_core", "cores")

    def __init__(self) -> None:
        self.per_core = 0.0
        self.cores = 0.0

    @property
    def rate(self) -> float:
        """Share of the error that the next measurement corrects."""
        return max(FIRST_RATE / (1 + self.cores / KNOWN_CORES), LAST_RATE)


class LearnedInterference(Interference):
    """Corrects all pairs by the error of their sum (normalised least mean squares).

    Answers a mix in which some pairs of images get on and others do not: without it, batch tasks
    beside services start one at a time and are slowed down together, whoever is to blame.
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str], Pair] = OrderedDict()
        self._own: dict[str, float] = {}
        self._cores: dict[str, dict[str, float]] = {}

    def observe(self, worker: WorkerView) -> None:
        """Learn from each service on the worker."""
        cores = self._smoothed(worker.agent_id, _batch_cores(worker))
        for task in worker.tasks.values():
            if task.state == TaskState.RUNNING and task.step.target_ms and task.measurement > 0:
                self.learn(task.step.image, task.measurement / task.step.target_ms, cores)

    def per_core(self, batch: str, service: str) -> float | None:
        """Return what was learned."""
        pair = self._pairs.get((batch, service))
        return pair.per_core if pair is not None and pair.cores >= KNOWN_CORES else None

    def snapshot(self) -> InterferenceSnapshot:
        """Return the known pairs, those measured last if there are too many."""
        known = [
            (batch, service, round(pair.per_core, 4), round(pair.cores, 1))
            for (batch, service), pair in self._pairs.items()
            if pair.cores >= KNOWN_CORES
        ]
        alone = {service: round(value, 4) for service, value in self._own.items()}
        return InterferenceSnapshot(known[-MAX_SNAPSHOT_PAIRS:], alone)

    def restore(self, snapshot: InterferenceSnapshot) -> None:
        """Take over the pairs of a former owner."""
        for batch, service, per_core, cores in snapshot.pairs:
            pair = self._pair(batch, service)
            pair.per_core = per_core
            pair.cores = cores
        self._own.update(snapshot.alone)

    def learn(self, service: str, tail_share: float, cores: Mapping[str, float]) -> None:
        """Learn from one measurement of a service.

        Parameters
        ----------
        service
            Image of the service.
        tail_share
            Its tail latency as a share of its limit.
        cores
            Cores that each batch image on the worker had meanwhile.
        """
        own = self._own.get(service, MAX_HEADROOM)
        pairs = {image: self._pair(image, service) for image in cores}
        expected = own - sum(pair.per_core * cores[image] for image, pair in pairs.items())
        missing = expected - headroom(tail_share)
        if all(pair.per_core * cores[image] < ALONE_HEADROOM for image, pair in pairs.items()):
            self._own[service] = own - OWN_RATE * missing
        norm = sum(value * value for value in cores.values())
        for image, pair in pairs.items():
            step = pair.rate * missing * cores[image] / norm
            pair.per_core = max(0.0, pair.per_core + step)
            pair.cores += cores[image]

    def _smoothed(self, agent_id: str, cores: Mapping[str, float]) -> dict[str, float]:
        """Return the cores as they show in the tails, which follow them over about a second."""
        former = self._cores.get(agent_id, {})
        smoothed = {
            image: (1.0 - FOLLOW_SHARE) * former.get(image, 0.0)
            + FOLLOW_SHARE * cores.get(image, 0.0)
            for image in former.keys() | cores.keys()
        }
        kept = {image: value for image, value in smoothed.items() if value >= MIN_CORES}
        self._cores[agent_id] = kept
        return kept

    def _pair(self, batch: str, service: str) -> Pair:
        pair = self._pairs.setdefault((batch, service), Pair())
        self._pairs.move_to_end((batch, service))
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)
        return pair


def _batch_cores(worker: WorkerView) -> dict[str, float]:
    """Return the cores that each batch image had over the last measurement."""
    cores: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.step.uses_leftover and task.state == TaskState.RUNNING:
            image = task.step.image
            cores[image] = cores.get(image, 0.0) + task.measurement / 1000
    return cores
