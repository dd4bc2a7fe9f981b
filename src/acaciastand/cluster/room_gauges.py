"""Gauges of the work that waits for room."""

from __future__ import annotations

from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.backlog import BacklogEstimate


class RoomGauges:
    """Sets the gauges from the estimate of an entry, and to 0 while it has none.

    Attributes
    ----------
    estimate
        The estimate by which they were last set; None if they are 0.
    priorities
        Priorities of which a gauge is not 0.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.estimate: BacklogEstimate | None = None
        self.priorities: set[int] = set()

    def update(self, estimate: BacklogEstimate | None) -> None:
        """Set the gauges if the estimate is another than at the last call."""
        if estimate is self.estimate:
            return
        self.estimate = estimate
        core_seconds = estimate.core_seconds if estimate is not None else {}
        self.metrics.set("drain_cores", estimate.drain_cores if estimate is not None else 0.0)
        for priority in self.priorities | core_seconds.keys():
            work = sum(core_seconds.get(priority, ()))
            self.metrics.set("backlog_core_seconds", work, str(priority))
        self.priorities = set(core_seconds)
