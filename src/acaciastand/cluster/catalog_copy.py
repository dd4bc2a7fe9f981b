"""An entry's copy of the operators' configuration, from the store and from other entries."""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from typing import Any

import gevent

from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import HistoryDropped, TransactionalStore
from acaciastand.errors import InvalidInput
from acaciastand.platform.operator import CONFIG_KEY, decode_catalog
from acaciastand.workflow.catalog import Catalog

WATCH_WAIT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 3.0  # a configuration of a megabyte passes a link of 5 Mbit/s in two
RETRY_SECONDS = 0.15
CATALOG_CALL = "catalog"  # the call of other entries

logger = logging.getLogger(__name__)


class CatalogCopy:
    """The newest configuration that this entry has seen; it never goes back to an older one.

    Parameters
    ----------
    store
        Where the operators write it.
    on_change
        Called with each new version.

    Attributes
    ----------
    catalog
        None before the first version.
    """

    def __init__(self, store: TransactionalStore, on_change: Callable[[Catalog], None]) -> None:
        self.store = store
        self.on_change = on_change
        self.catalog: Catalog | None = None
        self.compressed_catalog = b""
        self.is_fetching = False
        self.store_availability = StoreAvailability("configuration")

    @property
    def version(self) -> int:
        """Version of the copy; 0 before the first."""
        return self.catalog.version if self.catalog else 0

    def follow_forever(self) -> None:
        """Take every change from the store."""
        position = 0  # 0 until the key was read after the last interruption
        while True:
            try:
                position = self._watch(position) if position else self._read()
                self.store_availability.record_success()
            except HistoryDropped:
                position = 0
            except (StoreUnavailable, StoreAnswerLost) as error:
                self.store_availability.record_failure(error)
                position = 0
                gevent.sleep(RETRY_SECONDS)

    def fetch(
        self, version: int, source: str, call: Callable[[str, dict[str, Any], float], Any]
    ) -> None:
        """Take `version` from another entry unless it is known or on its way from a third.

        One copy at a time: copies of all others at once fill a thin link for seconds.

        Raises
        ------
        Refused, OutcomeUnknown
            The other entry gave no answer.
        """
        if version <= self.version or self.is_fetching:
            return
        self.is_fetching = True
        try:
            data = call(CATALOG_CALL, {}, READ_TIMEOUT_SECONDS).get("zlib", b"")
        finally:
            self.is_fetching = False
        try:
            self.adopt(zlib.decompress(bytes(data)), source)
        except zlib.error as error:
            logger.error("configuration ignored", extra={"error": str(error), "source": source})

    def adopt(self, data: bytes, source: str) -> None:
        """Take a configuration in its stored form if it is newer."""
        try:
            catalog = decode_catalog(data)
        except InvalidInput as error:
            logger.error("configuration ignored", extra={"error": str(error), "source": source})
            return
        former = self.version
        if self.catalog is not None and catalog.version <= former:
            return
        self.catalog = catalog
        self.compressed_catalog = zlib.compress(data)
        logger.info(
            "configuration changed",
            extra={"version": catalog.version, "former": former or None, "source": source},
        )
        self.on_change(catalog)

    def _read(self) -> int:
        """Read the key and return the revision from which a watch continues."""
        item = self.store.get(CONFIG_KEY, READ_TIMEOUT_SECONDS)
        if item.revision:
            self.adopt(item.value, "store")
        return max(1, item.revision)

    def _watch(self, position: int) -> int:
        # The whole value comes with the change: a large one fills a thin link for a second.
        changes = self.store.watch(CONFIG_KEY, position, WATCH_WAIT_SECONDS)
        for item in changes.items:
            if item.key == CONFIG_KEY:
                self.adopt(item.value, "store")
        return changes.revision
