"""Stops of runs that are repeated until the starts of the runs can no longer take effect."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import gevent

from acaciastand.cluster.clock import now
from acaciastand.cluster.unanswered_starts import RunKey
from acaciastand.workflow.limits import RUN_LEASE_SECONDS

PAUSE_SECONDS = 0.4  # Pause between two stops of the same run.


class RepeatedStops:
    """Stops runs for as long as their starts may take effect.

    One stop is not enough: its calls end before a worker that does not answer rejects the start,
    and a stop that one incarnation of the worker accepted does not bind the next.

    Parameters
    ----------
    stop
        Stops a run by a time on the agent's clock.
    may_take_effect
        Returns whether the worker may still carry out the start of a run.

    Attributes
    ----------
    runs
        Runs that are being stopped.
    """

    __slots__ = ("stop", "may_take_effect", "runs")

    def __init__(
        self, stop: Callable[[str, int, float], bool], may_take_effect: Callable[[RunKey], bool]
    ) -> None:
        self.stop = stop
        self.may_take_effect = may_take_effect
        self.runs: set[RunKey] = set()

    def add(self, runs: Iterable[RunKey]) -> None:
        """Stop these runs."""
        for key in set(runs) - self.runs:
            self.runs.add(key)
            gevent.spawn(self._repeat, key)

    def _repeat(self, key: RunKey) -> None:
        task, run = key
        try:
            self.stop(task, run, now() + RUN_LEASE_SECONDS)
            while self.may_take_effect(key):
                gevent.sleep(PAUSE_SECONDS)
                self.stop(task, run, now() + RUN_LEASE_SECONDS)
        finally:
            self.runs.discard(key)
