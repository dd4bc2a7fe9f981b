"""The owner's view of the zones that the operators drain, read from the store."""

from __future__ import annotations

from collections.abc import Iterable

import gevent

from acaciastand.cluster.clock import now
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import HistoryDropped, Item, TransactionalStore
from acaciastand.errors import InvalidInput
from acaciastand.platform.operator import ZONE_DRAIN_PREFIX, decode_zone_drain, drained_zone_of
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.zone_drains import RequestedZoneDrains, ZoneDrainRequest
from acaciastand.workflow.zone_moves import GradualZoneMoves, StayReason

# Longest time that a watch waits for a change, as a share of the bound and in seconds. A connection
# that has gone silent is noticed only after it.
WATCH_WAIT_SHARE = 0.1
MAX_WATCH_WAIT_SECONDS = 0.5
RETRY_SECONDS = 0.1  # Pause after a failed call to the store, or once history was dropped.


class ZoneDrainWatch:
    """Follows the operators' requests to drain zones for one owner.

    Without a bound no zone can be drained, and the store is not called.

    Parameters
    ----------
    store
        Store to which the operators write the requests.
    scheduler
        Scheduler that gets the drained zones.
    bound_seconds
        Longest time from the store's answer to a request until nothing starts in the zone; 0 if
        zones cannot be drained.

    Attributes
    ----------
    drains
        Drained zones of the scheduler; None if zones cannot be drained.
    revision
        Revision from which the requests are watched.
    """

    def __init__(
        self,
        store: TransactionalStore,
        scheduler: Scheduler,
        bound_seconds: float,
        metrics: Metrics,
        ignored: IgnoredValues,
    ) -> None:
        self.store = store
        self.scheduler = scheduler
        self.metrics = metrics
        self.ignored = ignored
        self.wait_seconds = min(WATCH_WAIT_SHARE * bound_seconds, MAX_WATCH_WAIT_SECONDS)
        self.store_availability = StoreAvailability("zone drains")
        self.revision = 0
        self.drains: RequestedZoneDrains | None = None
        if bound_seconds:
            self.drains = RequestedZoneDrains(bound_seconds, scheduler.record_decision)
            scheduler.zone_drains = self.drains
            scheduler.zone_moves = GradualZoneMoves(scheduler, scheduler.start_planner.placement)

    def load(self) -> None:
        """Read all requests.

        Raises
        ------
        StoreUnavailable
            Neither this host nor another entry could read them.
        """
        if self.drains is not None:
            self._read(self.drains)

    def follow_forever(self) -> None:
        """Apply each change of the requests; return at once if zones cannot be drained."""
        if self.drains is None:
            return
        must_list = False
        try:
            while True:
                try:
                    if must_list:
                        self._read(self.drains)
                    else:
                        self._watch(self.drains)
                    must_list = False
                    self.store_availability.record_success()
                    self._set_gauges(self.drains)
                    continue
                except HistoryDropped:
                    must_list = True
                except (StoreUnavailable, StoreAnswerLost) as error:
                    self.store_availability.record_failure(error)
                    self.drains.record_failure(self.store.has_relays(), now())
                self._set_gauges(self.drains)
                gevent.sleep(RETRY_SECONDS)
        finally:
            self._clear_gauges()

    def _read(self, drains: RequestedZoneDrains) -> None:
        read_at = now()
        listing = self.store.list_few(ZONE_DRAIN_PREFIX)
        drains.replace_requests(self._decode(listing.items), read_at, now())
        self.revision = listing.revision

    def _watch(self, drains: RequestedZoneDrains) -> None:
        read_at = now()
        changes = self.store.watch(ZONE_DRAIN_PREFIX, self.revision, self.wait_seconds)
        removed = [drained_zone_of(key) for key in changes.deleted]
        drains.apply_changes(self._decode(changes.items), removed, read_at, now())
        self.revision = changes.revision

    def _decode(self, items: Iterable[Item]) -> list[ZoneDrainRequest]:
        requests = []
        for item in items:
            try:
                requests.append(decode_zone_drain(item, self.ignored.recorder(ZONE_DRAIN_PREFIX)))
            except InvalidInput as error:
                self.ignored.record(ZONE_DRAIN_PREFIX, error)
        return requests

    def _set_gauges(self, drains: RequestedZoneDrains) -> None:
        self.metrics.set("drained_zones", len(drains.drained))
        self.metrics.set("zone_drains_age_seconds", now() - drains.confirmed_at)
        for reason in StayReason:
            staying = self.scheduler.zone_moves.staying[reason]
            self.metrics.set("drained_zone_runs", staying, reason.value)

    def _clear_gauges(self) -> None:
        """Show nothing once another entry owns the jobs."""
        self.metrics.set("drained_zones", 0)
        self.metrics.set("zone_drains_age_seconds", 0)
        for reason in StayReason:
            self.metrics.set("drained_zone_runs", 0, reason.value)
