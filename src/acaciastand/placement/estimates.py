"""Sizes and run times learned from reports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict, deque

from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_CLASSES = 1024  # (team, batch class) pairs; the one reported longest ago is dropped
KEPT_REPORTS = 32  # reports per pair
MIN_REPORTS = 5  # reports before an estimate replaces the declaration
FAR_OFF = 1.1  # a declaration wrong by this factor or more is replaced
CORES_QUANTILE = 0.75  # of the observed cores; the largest use of memory counts
MARGIN = 1.05  # estimates exceed the observed use by this factor; docs/decisions/placement.md


class Observation(Record):
    """What one completed attempt used."""

    __slots__ = ("observed", "run_seconds")

    def __init__(self, observed: Resources, run_seconds: float) -> None:
        self.observed = observed
        self.run_seconds = run_seconds


class SizeModel(ABC):
    """Knows the sizes and run times to place by."""

    @abstractmethod
    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Take in the largest use and the run time of a completed attempt."""

    @abstractmethod
    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the size to place by."""

    @abstractmethod
    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the expected run time."""


class DeclaredSizes(SizeModel):
    """Believes every declaration; the baseline."""

    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Ignore the report."""

    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the declared size."""
        return declared

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the declared run time."""
        return declared


class SizeEstimator(SizeModel):
    """Learns per (team, batch class) from completed attempts.

    Parameters
    ----------
    far_off
        A declaration wrong by this factor or more is replaced.
    margin
        Factor by which sizes exceed the observed use.
    cores_quantile
        Quantile of the observed cores that counts; of memory the largest use counts, because
        too little of it costs an eviction and too few cores only time.
    """

    def __init__(
        self,
        far_off: float = FAR_OFF,
        margin: float = MARGIN,
        cores_quantile: float = CORES_QUANTILE,
    ) -> None:
        self.far_off = far_off
        self.margin = margin
        self.cores_quantile = cores_quantile
        self._reports: OrderedDict[tuple[str, str], deque[Observation]] = OrderedDict()

    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Take in the largest use and the run time of a completed attempt."""
        key = (team, batch_class)
        reports = self._reports.setdefault(key, deque(maxlen=KEPT_REPORTS))
        reports.append(Observation(observed, run_seconds))
        self._reports.move_to_end(key)
        if len(self._reports) > MAX_CLASSES:
            self._reports.popitem(last=False)

    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the size to place by; each field is declared or, when far off, learned."""
        reports = self._reports.get((team, batch_class), ())
        if len(reports) < MIN_REPORTS:
            return declared
        observed_cores = sorted(report.observed.cores for report in reports)
        cores = observed_cores[int((len(reports) - 1) * self.cores_quantile)]
        memory_mb = max(report.observed.memory_mb for report in reports)
        return Resources(
            self._corrected(declared.cores, cores * self.margin),
            int(self._corrected(declared.memory_mb, memory_mb * self.margin)),
            declared.accelerators,  # whole devices are assigned, not measured
        )

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the expected run time: the median of the reports when the declaration is off."""
        reports = self._reports.get((team, batch_class), ())
        if len(reports) < MIN_REPORTS:
            return declared
        times = sorted(report.run_seconds for report in reports)
        return self._corrected(declared, times[len(times) // 2])

    def __len__(self) -> int:
        return len(self._reports)

    def _corrected(self, declared: float, learned: float) -> float:
        if learned <= 0.0:
            return declared
        if (
            declared <= 0.0
            or learned >= declared * self.far_off
            or learned * self.far_off <= declared
        ):
            return learned
        return declared
