"""An entry's copy of the operators' configuration, read from the store or from other entries."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import gevent

from acaciastand.checks import MALFORMED, check_bytes
from acaciastand.cluster.clock import now
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import HistoryDropped, Item, TransactionalStore
from acaciastand.errors import InvalidInput
from acaciastand.platform.operator import CONFIG_KEY, decode_catalog
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog

# Longest time that a watch waits for a change. A connection that has gone silent is noticed only
# after it, and a change must be in force within two seconds.
WATCH_WAIT_SECONDS = 0.5
# Time to wait for the copy of another entry. A configuration of one megabyte takes two seconds over
# a link of 5 Mbit/s.
FETCH_TIMEOUT_SECONDS = 3.0
# After this long, the copy of the next entry is no longer held back for one that is on its way.
EXCLUSIVE_FETCH_SECONDS = 1.0
# Pause after a failed call to the store, or one that found the history dropped.
RETRY_SECONDS = 0.15
MAX_CATALOG_BYTES = 4 << 20  # Several times what the store accepts as one value.
CATALOG_CALL = "catalog"  # Name of the call by which an entry reads the copy of another one.

logger = logging.getLogger(__name__)


class CatalogCopy:
    """The newest configuration that this entry has received; older ones are ignored.

    Parameters
    ----------
    store
        Store to which the operators write the configuration.
    on_change
        Called with each new version.

    Attributes
    ----------
    catalog
        Decoded configuration; None before the first version.
    compressed_catalog
        The same version as stored, compressed with zlib, for other entries.
    fetching_since
        When the last copy from another entry that is on its way was asked for; None if none is.
    confirmed_at
        When the store last answered a read or a watch of the configuration; before the first
        answer, when the copy was created.
    """

    def __init__(
        self, store: TransactionalStore, on_change: Callable[[Catalog], None], metrics: Metrics
    ) -> None:
        self.store = store
        self.on_change = on_change
        self.metrics = metrics
        self.catalog: Catalog | None = None
        self.compressed_catalog = b""
        self.fetching_since: float | None = None
        self.confirmed_at = now()
        self.store_availability = StoreAvailability("configuration")
        self.ignored = IgnoredValues(metrics, now)

    @property
    def version(self) -> int:
        """Version of the configuration; 0 before the first."""
        return self.catalog.version if self.catalog else 0

    @property
    def age_seconds(self) -> float:
        """Seconds since the store last confirmed the copy."""
        return now() - self.confirmed_at

    def follow_forever(self) -> None:
        """Adopt every change that is written to the store."""
        revision = 0  # Revision to watch from; 0 when the configuration must be read first.
        cause = "start"
        while True:
            try:
                revision = self._watch(revision) if revision else self._read(cause)
                self.store_availability.record_success()
                continue
            except HistoryDropped:
                self._count_call("watch.history_dropped")
                revision, cause = 0, "history_dropped"
            except (StoreUnavailable, StoreAnswerLost) as error:
                self._count_call("watch.failed" if revision else "read.failed")
                self.store_availability.record_failure(error)
            gevent.sleep(RETRY_SECONDS)

    def fetch(
        self, version: int, source: str, call: Callable[[str, dict[str, Any], float], Any]
    ) -> None:
        """Copy the configuration of another entry if it is newer and no other copy is awaited.

        Copies are fetched one after the other, since simultaneous copies from all other entries
        fill a slow link for seconds. One that does not arrive soon, because the connection to its
        entry has gone silent, holds up the next one for `EXCLUSIVE_FETCH_SECONDS`.

        Parameters
        ----------
        version
            Version that the other entry has.
        source
            Id of the other entry, for the log.
        call
            Makes a call to the other entry, given its name, its payload and the seconds to wait.

        Raises
        ------
        Refused, OutcomeUnknown
            The other entry did not answer.
        """
        if version <= self.version or self._awaits_copy():
            return
        began_at = self.fetching_since = now()
        try:
            data = call(CATALOG_CALL, {}, FETCH_TIMEOUT_SECONDS).get("zlib", b"")
        finally:
            if self.fetching_since == began_at:
                self.fetching_since = None
        try:
            self.adopt(decompress_catalog(data), source)
        except (*MALFORMED, zlib.error) as error:
            self.ignored.record(CATALOG_CALL, error)

    def _awaits_copy(self) -> bool:
        if self.fetching_since is None:
            return False
        return now() - self.fetching_since < EXCLUSIVE_FETCH_SECONDS

    def adopt(self, data: bytes, source: str) -> None:
        """Adopt a configuration if it is newer; one that cannot be decoded is logged and ignored.

        Parameters
        ----------
        data
            Configuration as the operators store it.
        source
            Id of the entry that it comes from, or ``store``, for the log.
        """
        try:
            catalog = decode_catalog(data, self.ignored.recorder(CONFIG_KEY))
        except InvalidInput as error:
            return self.ignored.record(CONFIG_KEY, error)
        previous_version = self.version
        if self.catalog is not None and catalog.version <= previous_version:
            return
        self.catalog = catalog
        self.compressed_catalog = zlib.compress(data)
        logger.info(
            "configuration changed",
            extra={
                "version": catalog.version,
                "former": previous_version or None,
                "source": source,
                "unconfirmed_s": round(self.age_seconds, 2) if previous_version else None,
            },
        )
        self.on_change(catalog)

    def _read(self, cause: str) -> int:
        """Read the configuration and return the revision to watch from.

        `cause` is the reason for the read in the metrics.
        """
        listing = self.store.list(CONFIG_KEY)
        self._adopt_items(listing.items)
        self.confirmed_at = now()
        self._count_call(f"read.{cause}")
        # The store may have dropped the history up to the last change already, but not up to now.
        return listing.revision

    def _watch(self, revision: int) -> int:
        """Wait for a change after `revision` and return the revision to watch from next."""
        # A change carries the whole value, and a large one fills a slow link for a second.
        changes = self.store.watch(CONFIG_KEY, revision, WATCH_WAIT_SECONDS)
        self._adopt_items(changes.items)
        self.confirmed_at = now()
        self._count_call("watch.changed" if changes.items else "watch.unchanged")
        return changes.revision

    def _adopt_items(self, items: Iterable[Item]) -> None:
        for item in items:
            if item.key == CONFIG_KEY:
                self.adopt(item.value, "store")

    def _count_call(self, outcome: str) -> None:
        self.metrics.count("configuration_calls", outcome)


def decompress_catalog(data: Any) -> bytes:
    """Return the configuration that another entry has sent compressed.

    Raises
    ------
    ValueError
        It is not bytes, or longer than any configuration.
    zlib.error
        It is not compressed with zlib.
    """
    decompressor = zlib.decompressobj()
    catalog = decompressor.decompress(check_bytes(data), MAX_CATALOG_BYTES)
    if not decompressor.eof:
        raise ValueError(f"it is cut short or longer than {MAX_CATALOG_BYTES} bytes")
    return catalog
