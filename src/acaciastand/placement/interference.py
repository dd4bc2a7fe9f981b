"""Slowdown of services by batch classes on the same worker, learned from late measurements."""

from __future__ import annotations

from abc import ABC, abstractmethod
from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence

from acaciastand.placement.placer import BestFit, PlacementRequest, Placer, has_capacity
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record

MAX_PAIRS = 4_096  # (service, batch class, load bucket); the one measured longest ago is dropped
MAX_HOSTS = 9_600  # workers with a history; the one changed longest ago is dropped
MAX_HISTORY = 64  # changes of one worker that are kept; older measurements are not credited
LOAD_BUCKETS = 4  # of the share of the service's slots that are taken
KNOWN_SAMPLES = 5  # measurements before a pair counts as known
FIRST_RATE = 0.5  # of the error that a new pair takes on
LAST_RATE = 0.05  # the same for a known pair; earlier behaviour fades by this share each time
FORGET_SECONDS = 300.0  # a pair without measurements for this long is unknown again
UNKNOWN_SLOWDOWN = 1.0  # expected of an unknown pair once one task of the class is on the worker
PENALTY_STEP = 0.05  # differences of slowdown below this are left to packing


def load_bucket(load: float) -> int:
    """Return the bucket of a share of taken slots."""
    return min(max(int(load * LOAD_BUCKETS), 0), LOAD_BUCKETS - 1)


class Interference(ABC):
    """Knows how much batch classes slow services down."""

    @abstractmethod
    def record_shares(self, agent_id: str, shares: Mapping[str, float], now: float) -> None:
        """Take note of the share of a worker's cores that each batch class has from now on."""

    @abstractmethod
    def record_measurement(
        self, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> bool:
        """Learn from a factor on the service time; return whether it could be credited."""

    @abstractmethod
    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return the slowdown expected from a worker full of the class, as a share."""


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


class Pair:
    """What is known of one (service, batch class, load bucket)."""

    __slots__ = ("slowdown", "samples", "last_at")

    def __init__(self) -> None:
        self.slowdown = 0.0
        self.samples = 0
        self.last_at = float("-inf")

    @property
    def rate(self) -> float:
        """Share of the error that the next measurement corrects."""
        return max(FIRST_RATE / (1 + self.samples / KNOWN_SAMPLES), LAST_RATE)


class Shares(Record):
    """Share of the cores by batch class from `at` on."""

    __slots__ = ("at", "by_class")

    def __init__(self, at: float, by_class: dict[str, float]) -> None:
        self.at = at
        self.by_class = by_class


class LearnedInterference(Interference):
    """Credits each measurement to the tasks that were on the worker when it was taken.

    The slowdowns of the classes on a worker add up in proportion to their share of the cores; the
    error of that sum corrects each of them (normalised least mean squares).
    """

    def __init__(self) -> None:
        self._pairs: OrderedDict[tuple[str, str, int], Pair] = OrderedDict()
        self._history: OrderedDict[str, deque[Shares]] = OrderedDict()
        self._latest = float("-inf")

    def record_shares(self, agent_id: str, shares: Mapping[str, float], now: float) -> None:
        """Append to the history of the worker."""
        history = self._history.setdefault(agent_id, deque(maxlen=MAX_HISTORY))
        history.append(Shares(now, dict(shares)))
        self._history.move_to_end(agent_id)
        if len(self._history) > MAX_HOSTS:
            self._history.popitem(last=False)

    def record_measurement(
        self, agent_id: str, service: str, stretch: float, load: float, measured_at: float
    ) -> bool:
        """Learn; measurements from before the kept history are left out."""
        shares = self._shares_at(agent_id, measured_at)
        if shares is None:
            return False
        bucket = load_bucket(load)
        pairs = {name: self._pair(service, name, bucket) for name in shares if shares[name] > 0.0}
        expected = sum(pairs[name].slowdown * shares[name] for name in pairs)
        norm = sum(shares[name] ** 2 for name in pairs)
        error = max(stretch - 1.0, 0.0) - expected
        for name, pair in pairs.items():
            correction = pair.rate * error * shares[name] / norm
            pair.slowdown = max(pair.slowdown + correction, 0.0)
            pair.samples += 1
            pair.last_at = max(pair.last_at, measured_at)
        self._latest = max(self._latest, measured_at)
        return True

    def expected_slowdown(
        self, agent_id: str, service: str, batch_class: str, load: float
    ) -> float:
        """Return what is known, or a guess that lets one task of an unknown pair start."""
        pair = self._pairs.get((service, batch_class, load_bucket(load)))
        if pair is not None and self._known(pair):
            return pair.slowdown
        history = self._history.get(agent_id)
        present = history[-1].by_class.get(batch_class, 0.0) if history else 0.0
        return UNKNOWN_SLOWDOWN if present > 0.0 else 0.0

    def _known(self, pair: Pair) -> bool:
        return pair.samples >= KNOWN_SAMPLES and self._latest - pair.last_at <= FORGET_SECONDS

    def _shares_at(self, agent_id: str, measured_at: float) -> dict[str, float] | None:
        history = self._history.get(agent_id, ())
        index = bisect_right([shares.at for shares in history], measured_at)
        return history[index - 1].by_class if index else None

    def _pair(self, service: str, batch_class: str, bucket: int) -> Pair:
        key = (service, batch_class, bucket)
        pair = self._pairs.setdefault(key, Pair())
        self._pairs.move_to_end(key)
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)
        return pair


class LeastInterferenceFit(Placer):
    """Takes the workers where the task slows services least, and among them the best fit.

    Parameters
    ----------
    tail_latency_weight, throughput_weight
        Settings of the firm; a slowdown counts by their ratio.
    """

    def __init__(
        self,
        interference: Interference,
        tail_latency_weight: float = 0.5,
        throughput_weight: float = 0.3,
    ) -> None:
        self.interference = interference
        self.scale = tail_latency_weight / max(throughput_weight, 0.01)
        self.inner = BestFit()

    def choose(self, request: PlacementRequest, workers: Sequence[WorkerView]) -> WorkerView | None:
        """Return the best fit among the quietest workers with room."""
        steps = {
            worker.agent_id: int(self._penalty(request, worker) / PENALTY_STEP)
            for worker in workers
            if has_capacity(request, worker)
        }
        least = min(steps.values(), default=0)
        return self.inner.choose(
            request, [worker for worker in workers if steps.get(worker.agent_id) == least]
        )

    def _penalty(self, request: PlacementRequest, worker: WorkerView) -> float:
        share = request.size.cores / max(worker.capacity.cores, 1e-9)
        added = (
            self.interference.expected_slowdown(
                worker.agent_id, name, request.batch_class, worker.load
            )
            for name in worker.services
        )
        return self.scale * share * sum(added)
