"""Percentiles of latencies and spreads over seeds."""

from __future__ import annotations

from collections.abc import Sequence

import numpy as np
from hdrh.histogram import HdrHistogram

from acaciastand.record import Record

HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_FIGURES = 3


class Latencies:
    """Histogram of latencies, exact to three figures."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_FIGURES)

    def __len__(self) -> int:
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Add one latency."""
        self._histogram.record_value(max(int(seconds * 1e6), 1))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; not a number when nothing was recorded."""
        if not len(self):
            return float("nan")
        return self._histogram.get_value_at_percentile(percentile) / 1000


class Spread(Record):
    """Median and range of one figure over seeds."""

    __slots__ = ("median", "lowest", "highest")

    def __init__(self, median: float, lowest: float, highest: float) -> None:
        self.median = median
        self.lowest = lowest
        self.highest = highest

    @classmethod
    def of(cls, values: Sequence[float]) -> Spread:
        """Return the spread of `values`; values that are not a number are left out."""
        known = [value for value in values if not np.isnan(value)]
        if not known:
            return cls(float("nan"), float("nan"), float("nan"))
        return cls(float(np.median(known)), min(known), max(known))

    def __str__(self) -> str:
        return f"{self.median:.4g} [{self.lowest:.4g}, {self.highest:.4g}]"
