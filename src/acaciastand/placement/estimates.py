"""Sizes and run times learned from reports."""

from __future__ import annotations

from collections import OrderedDict, deque

from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_CLASSES = 1024  # (team, batch class) pairs; the one reported longest ago is dropped
KEPT_REPORTS = 32  # reports per pair
MIN_REPORTS = 5  # reports before an estimate replaces the declaration
FAR_OFF = 2.0  # a declaration wrong by this factor or more is replaced
MARGIN = 1.2  # estimates of sizes exceed the largest observed use by this factor


class Observation(Record):
    """What one completed attempt used."""

    __slots__ = ("observed", "run_seconds")

    def __init__(self, observed: Resources, run_seconds: float) -> None:
        self.observed = observed
        self.run_seconds = run_seconds


class SizeEstimator:
    """Learns per (team, batch class); the declared values are the baseline."""

    def __init__(self) -> None:
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
        cores = max(report.observed.cores for report in reports)
        memory_mb = max(report.observed.memory_mb for report in reports)
        return Resources(
            _corrected(declared.cores, cores * MARGIN),
            int(_corrected(declared.memory_mb, memory_mb * MARGIN)),
            declared.accelerators,  # whole devices are assigned, not measured
        )

    def run_seconds(self, team: str, batch_class: str, declared: float) -> float:
        """Return the expected run time: the median of the reports when the declaration is off."""
        reports = self._reports.get((team, batch_class), ())
        if len(reports) < MIN_REPORTS:
            return declared
        times = sorted(report.run_seconds for report in reports)
        return _corrected(declared, times[len(times) // 2])

    def __len__(self) -> int:
        return len(self._reports)


def _corrected(declared: float, learned: float) -> float:
    if learned <= 0.0:
        return declared
    if declared <= 0.0 or learned >= declared * FAR_OFF or learned * FAR_OFF <= declared:
        return learned
    return declared
