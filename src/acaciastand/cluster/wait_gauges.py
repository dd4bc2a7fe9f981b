"""Gauges of the tasks that wait and of the workers that are passed over."""

from __future__ import annotations

from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.scheduler import Scheduler


class WaitGauges:
    """Sets the gauges from the state of the scheduler.

    Attributes
    ----------
    rules
        Rules of which the gauge has been set.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.rules: set[str] = set()

    def update(self, scheduler: Scheduler) -> None:
        """Set the gauges; a rule that keeps work off no worker any more is set to 0."""
        self.metrics.set("waiting_tasks", len(scheduler.waiting))
        excluded = scheduler.wait_monitor.excluded_workers
        for rule in self.rules | excluded.keys():
            self.metrics.set("excluded_workers", excluded[rule], rule)
        self.rules |= excluded.keys()
