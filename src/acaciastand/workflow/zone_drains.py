"""Availability zones that the operators drain: their workers get no new work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from acaciastand.record import Record
from acaciastand.workflow.decisions import RecordDecision
from acaciastand.workflow.worker import WorkerView

# Share of the bound after which an unconfirmed view may have missed a request. Commands that are on
# their way take effect within the rest.
PAUSE_SHARE = 0.6
# Share of the bound for which a view is recent enough to stop runs on the strength of it.
CONFIRMED_SHARE = 0.5


class ZoneDrainRequest(Record):
    """Request of the operators to drain an availability zone.

    Parameters
    ----------
    zone
        Availability zone whose workers are to get no new work.
    revision
        Revision of the store at which the request was written.
    """

    __slots__ = ("zone", "revision")

    def __init__(self, zone: str, revision: int) -> None:
        self.zone = zone
        self.revision = revision


class DrainedZone(Record):
    """A zone that is drained.

    Parameters
    ----------
    request
        The request as it was first seen.
    seen_at
        When it was first seen, in seconds of the owner's clock.
    is_unknown
        Whether it has been logged that no worker is in the zone.
    """

    __slots__ = ("request", "seen_at", "is_unknown")

    def __init__(self, request: ZoneDrainRequest, seen_at: float, is_unknown: bool = False) -> None:
        self.request = request
        self.seen_at = seen_at
        self.is_unknown = is_unknown


class ZoneDrains(ABC):
    """Policy on the workers that get no new work because their zone is drained.

    Attributes
    ----------
    drained
        Drained zones by name.
    """

    def __init__(self) -> None:
        self.drained: dict[str, DrainedZone] = {}

    @abstractmethod
    def mark_workers(self, workers: Iterable[WorkerView], now: float) -> None:
        """Set `starts_withheld` and `in_slow_start` of all workers for the next plan."""

    @abstractmethod
    def is_confirmed(self, now: float) -> bool:
        """Return whether the set of drained zones was read a moment ago."""

    def is_drained(self, worker: WorkerView) -> bool:
        """Return whether the zone of a worker is drained."""
        return worker.availability_zone in self.drained


class NoZoneDrains(ZoneDrains):
    """Baseline for deployments whose operators drain no zones: no worker is marked."""

    def mark_workers(self, workers: Iterable[WorkerView], now: float) -> None:
        """Leave all workers as they are."""

    def is_confirmed(self, now: float) -> bool:
        """Return False, since nothing is read."""
        return False


class RequestedZoneDrains(ZoneDrains):
    """Drained zones as the operators request them in the store.

    Designed for a zone that is emptied under full load while the store is slow, drops its history
    or refuses the owner. A request holds from its answer by the store until it is removed, so an
    owner that could not read the store for most of the bound may have missed one. It then pauses
    all starts, unless the store has refused another entry as well: in an outage for everyone
    no request is answered either.

    Parameters
    ----------
    bound_seconds
        Longest time from the store's answer to a request until nothing starts in the zone.
    record_decision
        Keeps a decision for the log.

    Attributes
    ----------
    confirmed_at
        When the latest successful read of the requests began.
    outage_at
        When the latest read failed both here and through another entry.
    starts_paused
        Whether all starts are paused.
    """

    def __init__(self, bound_seconds: float, record_decision: RecordDecision) -> None:
        super().__init__()
        self.bound_seconds = bound_seconds
        self.record_decision = record_decision
        self.confirmed_at = float("-inf")
        self.outage_at = float("-inf")
        self.starts_paused = False

    def replace_requests(
        self, requests: Iterable[ZoneDrainRequest], read_at: float, now: float
    ) -> None:
        """Adopt a complete list of the requests.

        Parameters
        ----------
        requests
            All requests in the store.
        read_at
            When the read began.
        now
            Seconds of the owner's clock.
        """
        present = {request.zone: request for request in requests}
        self.apply_changes(present.values(), self.drained.keys() - present.keys(), read_at, now)

    def apply_changes(
        self,
        written: Iterable[ZoneDrainRequest],
        removed: Iterable[str],
        read_at: float,
        now: float,
    ) -> None:
        """Apply changes of the requests.

        Parameters
        ----------
        written
            Requests that were written; one for a zone that is drained already changes nothing.
        removed
            Zones whose requests were removed, before any of `written`.
        read_at, now
            As for `replace_requests`.
        """
        for zone in sorted(removed):
            self._end_drain(zone, now)
        for request in written:
            if request.zone not in self.drained:
                self.drained[request.zone] = DrainedZone(request, now)
                self.record_decision("zone drain requested", request.zone, rev=request.revision)
        self.confirmed_at = max(self.confirmed_at, read_at)

    def record_outage(self, now: float) -> None:
        """Record that neither this host nor another entry that answered could read the store."""
        self.outage_at = now

    def mark_workers(self, workers: Iterable[WorkerView], now: float) -> None:
        """Mark the workers of drained zones, or all of them while starts are paused.

        Workers that come back to a zone are marked while they are slow, so that work goes to others
        first.
        """
        self._update_pause(now)
        zones_of_workers = set()
        for worker in workers:
            zones_of_workers.add(worker.availability_zone)
            worker.starts_withheld = self.starts_paused or self.is_drained(worker)
            worker.in_slow_start = bool(worker.identity and worker.identity.slow_start_seconds)
        self._log_unknown_zones(zones_of_workers, now)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the requests were read a moment ago."""
        return now - self.confirmed_at <= CONFIRMED_SHARE * self.bound_seconds

    def _update_pause(self, now: float) -> None:
        is_stale = now - self.confirmed_at > PAUSE_SHARE * self.bound_seconds
        is_outage = now - self.outage_at <= self.bound_seconds
        must_pause = is_stale and not is_outage
        if must_pause != self.starts_paused:
            self.starts_paused = must_pause
            self.record_decision(
                "starts paused" if must_pause else "starts resumed",
                "zone drains",
                unconfirmed_s=round(now - self.confirmed_at, 2),
            )

    def _end_drain(self, zone: str, now: float) -> None:
        drained = self.drained.pop(zone, None)
        if drained is not None:
            self.record_decision(
                "zone drain removed",
                zone,
                rev=drained.request.revision,
                after_s=round(now - drained.seen_at, 2),
            )

    def _log_unknown_zones(self, known: set[str], now: float) -> None:
        """Log the requests for zones in which no worker has been seen for the bound.

        A mistyped name would otherwise look like a zone that is empty already.
        """
        for zone, drained in self.drained.items():
            if zone in known:
                drained.is_unknown = False
            elif not drained.is_unknown and now - drained.seen_at > self.bound_seconds:
                drained.is_unknown = True
                self.record_decision("drained zone unknown", zone, rev=drained.request.revision)
