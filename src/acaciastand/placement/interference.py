"""Slowdown of services by batch classes on the same worker, learned from delayed measurements.

A pair is a service and a batch class in one bucket of the service's load.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence

from acaciastand.placement.placer import BestFit, PlacementRequest, Placer, has_capacity
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record

MAX_PAIRS = 4_096  # Pairs that are tracked; the one measured longest ago is dropped.
# Workers whose changes are recorded; the one changed longest ago is dropped.
MAX_WORKERS_WITH_HISTORY = 9_600
# Changes that are kept for each worker; measurements taken before the oldest are not credited.
MAX_CHANGES_PER_WORKER = 64
LOAD_BUCKETS = 4  # Number of equal buckets into which a load from 0 to 1 is divided.
MIN_SAMPLES = 5  # Measurements of a pair before its slowdown counts as known.
INITIAL_LEARNING_RATE = 0.5  # Share of the error that the first measurement of a pair corrects.
# Lower limit of the learning rate. Each measurement of a known pair reduces the weight of earlier
# ones by this share.
MIN_LEARNING_RATE = 0.05
MAX_PAIR_AGE_SECONDS = 300.0  # A pair without measurements for this long is unknown again.
# Slowdown that is expected of an unknown pair while a task of the batch class is on the worker.
UNKNOWN_SLOWDOWN = 1.0
# Workers whose penalties fall into the same step of this size are ranked by how well the task fits.
PENALTY_STEP = 0.05


def load_bucket(load: float) -> int:
    """Return the load bucket of a service with this share of its slots in use."""
    return min(max(int(load * LOAD_BUCKETS), 0), LOAD_BUCKETS - 1)


class Interference(ABC):
    """Predicts how much batch classes slow down the services on the same worker."""

    @abstractmethod
    def record_shares(self, agent_id: str, shares: Mapping[str, float], now: float) -> None:
        """Record the share of a worker's cores that each batch class uses from `now` on."""

    @abstractmethod
    def record_measurement(
        self, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> bool:
        """Learn from a measurement and return whether it could be credited to batch classes.

        Parameters
        ----------
        stretch
            Measured service time as a multiple of the service time without batch tasks.
        load
            Share of the service's slots that were in use.
        measured_at
            Time of the measurement on the clock of `record_shares`; it can be long past.
        """

    @abstractmethod
    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return the slowdown to expect if the batch class used all cores of the worker.

        A slowdown of 1.0 doubles the service time.
        """


class IgnoreInterference(Interference):
    """Expects no slowdown; the baseline."""

    def record_shares(self, agent_id: str, shares: Mapping[str, float], now: float) -> None:
        """Ignore the change."""

    def record_measurement(
        self, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> bool:
        """Ignore the measurement."""
        return False

    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return no slowdown."""
        return 0.0


class PairEstimate:
    """Learned slowdown of one pair, and the measurements behind it."""

    __slots__ = ("slowdown", "samples", "last_at")

    def __init__(self) -> None:
        self.slowdown = 0.0
        self.samples = 0
        self.last_at = float("-inf")

    @property
    def learning_rate(self) -> float:
        """Share of the error that the next measurement corrects."""
        return max(INITIAL_LEARNING_RATE / (1 + self.samples / MIN_SAMPLES), MIN_LEARNING_RATE)


class CoreShares(Record):
    """Share of a worker's cores that each batch class uses from `changed_at` on."""

    __slots__ = ("changed_at", "by_class")

    def __init__(self, changed_at: float, by_class: dict[str, float]) -> None:
        self.changed_at = changed_at
        self.by_class = by_class


class LearnedInterference(Interference):
    """Credits each measurement to the batch classes that were on the worker when it was taken.

    The expected slowdown is the sum of the slowdowns of these classes, each multiplied by the share
    of the cores that the class uses. The error of the sum corrects the slowdown of each class
    (normalised least mean squares).
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str, int], PairEstimate] = OrderedDict()
        self._history: OrderedDict[str, deque[CoreShares]] = OrderedDict()
        self._latest_measured_at = float("-inf")

    def record_shares(self, agent_id: str, shares: Mapping[str, float], now: float) -> None:
        """Append the shares to the history of the worker."""
        history = self._history.setdefault(agent_id, deque(maxlen=MAX_CHANGES_PER_WORKER))
        history.append(CoreShares(now, dict(shares)))
        self._history.move_to_end(agent_id)
        if len(self._history) > MAX_WORKERS_WITH_HISTORY:
            self._history.popitem(last=False)

    def record_measurement(
        self, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> bool:
        """Learn, unless the measurement is from before the recorded history of the worker."""
        shares = self._shares_at(agent_id, measured_at)
        if shares is None:
            return False
        bucket = load_bucket(load)
        pairs = {
            name: self._touch_pair(service, name, bucket) for name in shares if shares[name] > 0.0
        }
        expected = sum(pairs[name].slowdown * shares[name] for name in pairs)
        norm = sum(shares[name] ** 2 for name in pairs)
        error = max(stretch - 1.0, 0.0) - expected
        for name, pair in pairs.items():
            correction = pair.learning_rate * error * shares[name] / norm
            pair.slowdown = max(pair.slowdown + correction, 0.0)
            pair.samples += 1
            pair.last_at = max(pair.last_at, measured_at)
        self._latest_measured_at = max(self._latest_measured_at, measured_at)
        return True

    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return the learned slowdown, or an assumption if the pair is unknown.

        The assumption lets one task of the class start: it is no slowdown without a task of the
        class on the worker, and `UNKNOWN_SLOWDOWN` with one.
        """
        pair = self._pairs.get((service, batch_class, load_bucket(load)))
        if pair is not None and self._is_known(pair):
            return pair.slowdown
        history = self._history.get(agent_id)
        current_share = history[-1].by_class.get(batch_class, 0.0) if history else 0.0
        return UNKNOWN_SLOWDOWN if current_share > 0.0 else 0.0

    def _is_known(self, pair: PairEstimate) -> bool:
        return (
            pair.samples >= MIN_SAMPLES
            and self._latest_measured_at - pair.last_at <= MAX_PAIR_AGE_SECONDS
        )

    def _shares_at(self, agent_id: str, measured_at: float) -> dict[str, float] | None:
        history = self._history.get(agent_id, ())
        index = bisect_right([shares.changed_at for shares in history], measured_at)
        return history[index - 1].by_class if index else None

    def _touch_pair(self, service: str, batch_class: str, bucket: int) -> PairEstimate:
        key = (service, batch_class, bucket)
        pair = self._pairs.setdefault(key, PairEstimate())
        self._pairs.move_to_end(key)
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)
        return pair


class LeastInterferenceFit(Placer):
    """Chooses the workers on which the task slows services least, and among them the best fit.

    Parameters
    ----------
    tail_latency_weight, throughput_weight
        Settings of the firm; their ratio is the weight of a slowdown.
    """

    def __init__(
        self,
        interference: Interference,
        tail_latency_weight: float = 0.5,
        throughput_weight: float = 0.3,
    ) -> None:
        self.interference = interference
        self.slowdown_weight = tail_latency_weight / max(throughput_weight, 0.01)
        self.best_fit = BestFit()

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the best fit among the workers with free capacity and the lowest penalty."""
        penalty_steps = {
            worker.agent_id: int(self._penalty(request, worker) / PENALTY_STEP)
            for worker in workers
            if has_capacity(request, worker)
        }
        lowest = min(penalty_steps.values(), default=0)
        return self.best_fit.choose(
            request, [worker for worker in workers if penalty_steps.get(worker.agent_id) == lowest]
        )

    def _penalty(self, request: PlacementRequest, worker: WorkerView) -> float:
        core_share = request.size.cores / max(worker.capacity.cores, 1e-9)
        slowdowns = (
            self.interference.expected_slowdown(
                worker.agent_id, name, request.batch_class, worker.load
            )
            for name in worker.services
        )
        return self.slowdown_weight * core_share * sum(slowdowns)
