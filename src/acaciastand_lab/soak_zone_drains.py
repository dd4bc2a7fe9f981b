"""Requests of the operators to drain zones in the soak, and their check from outside."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable

import gevent

from acaciastand.record import Record
from acaciastand_lab.platform_site import Site, describe_run, describe_time
from acaciastand_standin.platform_worker import Run

ZONES = 3
ZONE_DRAIN_MS = 5_000
# Faults of the store and of links stretch the bound by this time.
MAX_STRETCH_SECONDS = 6.0
LATE_JOBS = 12  # Jobs that are handed in after the bound.
LATE_SECONDS = 2.0  # Time in which they are acknowledged.


class Drain(Record):
    """The time for which one zone was drained.

    Parameters
    ----------
    zone
        Name of the zone.
    began, ended
        When the request was in the store and when it was removed; infinity while it is there.
    """

    __slots__ = ("zone", "began", "ended")

    def __init__(self, zone: str, began: float, ended: float = float("inf")) -> None:
        self.zone = zone
        self.began = began
        self.ended = ended


class ZoneDrainFaults:
    """Writes and removes requests at random.

    Parameters
    ----------
    site
        Deployment with several zones.
    rng
        Source of all randomness.

    Attributes
    ----------
    drains
        All requests so far.
    last_repair_at
        When the last fault ended; infinity before.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self.site = site
        self.random = rng
        self.drains: list[Drain] = []
        self.last_repair_at = float("inf")

    def change(self) -> None:
        """Drain a zone, or end its drain; a request that is there may be written again."""
        zone = self.random.choice(self.site.zones)
        if self._current(zone) is None or self.random.random() < 0.2:
            self._drain(zone)
        else:
            self._end(zone)

    def drain_one(self) -> None:
        """Leave one zone drained, so that all open jobs complete in the others without faults."""
        for zone in self.site.zones[:-1]:
            if self._current(zone) is not None:
                self._end(zone)
        self._drain(self.site.zones[-1])
        self.last_repair_at = time.monotonic()

    def submit_after_bound(self, submit: Callable[[], None]) -> None:
        """Hand in jobs once the bound has passed without faults."""
        gevent.sleep(MAX_STRETCH_SECONDS + ZONE_DRAIN_MS / 1000)
        for _ in range(LATE_JOBS):
            submit()
        gevent.sleep(LATE_SECONDS)

    def find_starts(self, history: Iterable[Run]) -> list[str]:
        """Return the starts in drained zones after the bound."""
        problems = []
        for run in history:
            zone = self.site.zone_of(run.worker)
            for drain in self.drains:
                if drain.zone == zone and self._bound_of(drain, run) < run.began < drain.ended:
                    problems.append(
                        f"{run.task}: began in {zone}, which is drained since"
                        f" {describe_time(drain.began)}\n    {describe_run(run)}"
                    )
        return problems

    def _bound_of(self, drain: Drain, run: Run) -> float:
        """Return from when on a start of a run breaks the promise.

        Without a fault near the start, the bound is not stretched.
        """
        bound_at = drain.began + ZONE_DRAIN_MS / 1000
        is_calm = run.began > self.last_repair_at + MAX_STRETCH_SECONDS
        return bound_at if is_calm else bound_at + MAX_STRETCH_SECONDS

    def _current(self, zone: str) -> Drain | None:
        return next((d for d in self.drains if d.zone == zone and d.ended == float("inf")), None)

    def _drain(self, zone: str) -> None:
        self.site.drain_zone(zone)
        if self._current(zone) is None:
            self.drains.append(Drain(zone, time.monotonic()))

    def _end(self, zone: str) -> None:
        drain = self._current(zone)
        assert drain is not None
        drain.ended = time.monotonic()
        self.site.end_drain(zone)
