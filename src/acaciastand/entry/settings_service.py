"""Settings of an entry: reads and watches the store, serves edits, tells listeners."""

from __future__ import annotations

import logging
import os
import random
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.lock import RLock

from acaciastand.coordination.journal import Journal
from acaciastand.coordination.store import KeyValueStore, StoreUnavailable
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.settings.edits import Edit, EditBatch, HistoryItem
from acaciastand.settings.errors import SettingsBusy
from acaciastand.settings.paths import check_path
from acaciastand.settings.process import EntrySettings
from acaciastand.settings.repository import JOURNAL_NAME, SettingsRepository
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.settings.tree import ValueInForce
from acaciastand.settings.validation import spec_of
from acaciastand.telemetry.counters import Counters

# A change whose notification was lost is read at the end of the watch. With the agents' heartbeat
# of at most 5 s this stays inside the 19 s in which a change has to be in force.
WATCH_SECONDS = 8.0
WATCH_GRACE_SECONDS = 2.0  # a watch that the store does not end by then is given up
FIRST_BACKOFF_SECONDS = 0.2
LONGEST_BACKOFF_SECONDS = 5.0
MAX_CACHED_PATHS = 4_096  # paths whose effective values are kept until the next revision
MAX_EDITS_IN_PROGRESS = 64  # edits of operators that run or wait at one entry
NONCE_BYTES = 16

Listener = Callable[[int], None]

_log = logging.getLogger(__name__)


class SettingsService:
    """Settings in use at one entry.

    Parameters
    ----------
    store
        Store that holds the journal of the settings.
    settings
        Settings file of the entry; its path names the firm.
    counters
        Counts edits, conflicts, outages and adopted snapshots.
    watch_seconds
        Longest time until the next entry is read without a notification.
    """

    def __init__(
        self,
        store: KeyValueStore,
        settings: EntrySettings,
        counters: Counters | None = None,
        watch_seconds: float = WATCH_SECONDS,
    ) -> None:
        journal = Journal(store, JOURNAL_NAME, settings.entry_id, lambda: os.urandom(NONCE_BYTES))
        self.repository = SettingsRepository(journal, settings.path.split("/")[0])
        self.counters = counters or Counters()
        self.watch_seconds = watch_seconds
        self._lock = RLock()
        self._listeners: list[Listener] = []
        self._cache: dict[str, EffectiveSettings] = {}
        self._announced = 0
        self._edits = 0
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to read and watch; returns at once, also while the store is down."""
        if self._loop is None:
            self._loop = gevent.spawn(self._follow)

    def stop(self) -> None:
        """Stop watching; the last state stays readable."""
        if self._loop is not None:
            self._loop.kill()
            self._loop = None

    @property
    def revision(self) -> int:
        """Revision in use; 0 before the first read and for an empty tree."""
        return self.repository.revision

    def effective(self, path: str) -> EffectiveSettings:
        """Return all effective values at `path`."""
        found = self._cache.get(path)
        if found is None or found.revision != self.revision:
            found = self.repository.current.tree.effective(path, self.revision)
            if len(self._cache) >= MAX_CACHED_PATHS:
                self._cache.clear()
            self._cache[path] = found
        return found

    def value(self, path: str, key: str) -> ValueInForce:
        """Return one effective value and the level it comes from.

        Raises
        ------
        SettingsPathInvalid, SettingUnknown
            There is no such path or key.
        """
        check_path(path, self.repository.firm)
        spec_of(path, key)
        return self.repository.current.tree.value(path, key)

    def tree(self) -> dict[str, dict[str, Any]]:
        """Return the overrides by path and key."""
        return self.repository.current.tree.overrides()

    def history(self) -> list[HistoryItem]:
        """Return the remembered edits, the oldest first."""
        return self.repository.history()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a peer that cannot reach the store."""
        return self.repository.snapshot()

    def adopt_snapshot(self, snapshot: dict[str, Any]) -> bool:
        """Take a peer's state if its revision is higher, and return whether it was taken."""
        try:
            adopted = self.repository.adopt(snapshot)
        except InvalidInput as error:
            self.counters.increment("settings.snapshot_refused")
            _log.warning("settings snapshot of a peer refused", extra={"reason": str(error)})
            return False
        if adopted:
            self.counters.increment("settings.snapshot_adopted")
            self._announce()
        return adopted

    def edit(self, path: str, key: str, value: Any, if_revision: int, author: str) -> int:
        """Override a value and return the new revision; see `edit_all`."""
        if value is None:
            raise InvalidInput(f"{path}/{key}: no value", "use unset to remove an override")
        return self.edit_all([Edit(path, key, value)], if_revision, author)

    def unset(self, path: str, key: str, if_revision: int, author: str) -> int:
        """Remove an override and return the new revision; see `edit_all`."""
        return self.edit_all([Edit(path, key)], if_revision, author)

    def edit_all(self, edits: list[Edit], if_revision: int, author: str) -> int:
        """Commit edits as one revision, or none of them; see `SettingsRepository.edit`."""
        batch = EditBatch(edits, if_revision, author, edited_at=time.time())
        try:
            revision = self._commit(batch)
        except AcaciastandError as error:
            self.counters.increment(f"settings.edit_refused.{error.code}")
            raise
        finally:
            self._announce()
        self.counters.increment("settings.edit_accepted", len(edits))
        _log.info("settings changed", extra={"revision": revision, "author": author})
        return revision

    def _commit(self, batch: EditBatch) -> int:
        if self._edits >= MAX_EDITS_IN_PROGRESS:
            raise SettingsBusy(
                f"{MAX_EDITS_IN_PROGRESS} edits are in progress at this entry",
                "repeat the edit later, or import many values as one file",
            )
        self._edits += 1
        try:
            with self._lock:
                return self.repository.edit(batch)
        finally:
            self._edits -= 1

    def on_change(self, callback: Listener) -> None:
        """Call `callback` with each new revision; it must return quickly."""
        self._listeners.append(callback)

    def refresh(self) -> None:
        """Read the store now.

        Raises
        ------
        StoreUnavailable
            The store does not answer.
        """
        with self._lock:
            self.repository.refresh()
        self._announce()

    def _follow(self) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                self.refresh()
                backoff = FIRST_BACKOFF_SECONDS
                self._watch()
            except Exception as error:
                # The loop must outlive every fault: without it this entry misses all edits.
                self._report_fault(error)
                gevent.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(backoff * 2, LONGEST_BACKOFF_SECONDS)

    def _watch(self) -> None:
        with gevent.Timeout(self.watch_seconds + WATCH_GRACE_SECONDS, False):
            self.repository.wait_for_news(self.watch_seconds)

    def _report_fault(self, error: Exception) -> None:
        self.counters.increment("settings.read_failed")
        if isinstance(error, StoreUnavailable):
            _log.warning("settings cannot be read", extra={"reason": str(error)})
        else:
            _log.error("settings cannot be read", exc_info=error)

    def _announce(self) -> None:
        revision = self.revision
        if revision <= self._announced:
            return
        self._announced = revision
        self.counters.gauge("settings.revision", revision)
        for listener in list(self._listeners):
            try:
                listener(revision)
            except Exception:
                _log.exception("a listener of the settings failed")
