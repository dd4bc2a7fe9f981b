"""Sizes and run times of tasks, learned from reports on completed attempts."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import OrderedDict, deque

from acaciastand.record import Record
from acaciastand.resources import Resources

# Pairs of team and batch class that are tracked; the pair reported longest ago is dropped.
MAX_CLASSES = 1024
MAX_REPORTS_PER_CLASS = 32  # Newest reports that are kept for each pair.
MIN_REPORTS = 5  # Reports of a pair before a learned value can replace a declared one.
# A declared value is replaced when it differs from the learned one by this factor or more.
CORRECTION_THRESHOLD = 1.1
CORES_QUANTILE = 0.75  # Quantile of the observed cores that gives the learned size.
# Factor by which a learned size exceeds the observed use; see docs/decisions/placement.md.
SIZE_MARGIN = 1.05


class UsageReport(Record):
    """Resource use and run time of one completed attempt.

    Parameters
    ----------
    observed
        Largest use of each resource during the attempt.
    """

    __slots__ = ("observed", "run_seconds")

    def __init__(self, observed: Resources, run_seconds: float) -> None:
        self.observed = observed
        self.run_seconds = run_seconds


class SizeModel(ABC):
    """Predicts the sizes and run times of tasks for placement."""

    @abstractmethod
    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Learn from a completed attempt.

        Parameters
        ----------
        observed
            Largest use of each resource during the attempt.
        """

    @abstractmethod
    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the size with which to place a task."""

    @abstractmethod
    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the expected run time of a task in seconds."""


class DeclaredSizes(SizeModel):
    """Uses every declared value unchanged; the baseline."""

    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Ignore the report."""

    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the declared size."""
        return declared

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the declared run time."""
        return declared


class SizeEstimator(SizeModel):
    """Learns from the completed attempts of each team and batch class.

    Parameters
    ----------
    correction_threshold
        A declared value is replaced when it differs from the learned one by this factor or more.
    margin
        Factor by which a learned size exceeds the observed use.
    cores_quantile
        Quantile of the observed cores that gives the learned size. For memory it is the largest
        use, because a task with too little memory is evicted, whereas one with too few cores only
        takes longer.
    """

    def __init__(
        self,
        correction_threshold: float = CORRECTION_THRESHOLD,
        margin: float = SIZE_MARGIN,
        cores_quantile: float = CORES_QUANTILE,
    ) -> None:
        self.correction_threshold = correction_threshold
        self.margin = margin
        self.cores_quantile = cores_quantile
        self._reports: OrderedDict[tuple[str, str], deque[UsageReport]] = OrderedDict()

    def learn(self, team: str, batch_class: str, observed: Resources, run_seconds: float) -> None:
        """Keep the report; the oldest report of the pair and the oldest pair may be dropped."""
        key = (team, batch_class)
        reports = self._reports.setdefault(key, deque(maxlen=MAX_REPORTS_PER_CLASS))
        reports.append(UsageReport(observed, run_seconds))
        self._reports.move_to_end(key)
        if len(self._reports) > MAX_CLASSES:
            self._reports.popitem(last=False)

    def size(self, team: str, batch_class: str, declared: Resources) -> Resources:
        """Return the declared size, in which learned values replace those that are far off."""
        reports = self._reports.get((team, batch_class), ())
        if len(reports) < MIN_REPORTS:
            return declared
        observed_cores = sorted(report.observed.cores for report in reports)
        cores = observed_cores[int((len(reports) - 1) * self.cores_quantile)]
        memory_mb = max(report.observed.memory_mb for report in reports)
        return Resources(
            self._corrected(declared.cores, cores * self.margin),
            int(self._corrected(declared.memory_mb, memory_mb * self.margin)),
            declared.accelerators,  # Whole devices are assigned; their use is not measured.
        )

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the expected run time of a task in seconds.

        It is the declared one, or the median of the reports if the declaration is far off.
        """
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
            or learned >= declared * self.correction_threshold
            or learned * self.correction_threshold <= declared
        ):
            return learned
        return declared
