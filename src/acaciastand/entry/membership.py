"""The lease of the entry in the store, and the directory of entries under it."""

from __future__ import annotations

import logging
from collections.abc import Callable

import cbor2
import gevent
from gevent.event import Event

from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.store import KeyValueStore, LeaseLost, Versioned, VersionMismatch
from acaciastand.errors import AcaciastandError
from acaciastand.wire.messages import EntryAddress

PREFIX = "entries/"
TICK_SECONDS = 0.2
LIST_SECONDS = 10.0  # entries also learn of each other from their peers

logger = logging.getLogger(__name__)


class StoreMembership:
    """Keeps the lease alive, announces this entry and reads who else is there.

    Nothing waits for the store: while it is down, agents and peers of the settings file suffice.

    Parameters
    ----------
    session
        Lease that shards are claimed under as well.
    own
        What the directory says of this entry.
    on_entries
        Called with the directory.
    """

    def __init__(
        self,
        store: KeyValueStore,
        session: LeaseSession,
        own: EntryAddress,
        on_entries: Callable[[list[EntryAddress]], None],
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.session = session
        self.own = own
        self.on_entries = on_entries
        self.clock = clock
        self._announced_lease: int | None = None
        self._next_list = float("-inf")
        self._stopping = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start in the background."""
        self._greenlet = gevent.spawn(self._loop)

    def stop(self) -> None:
        """Give the lease up; the directory entry and all claims under it are deleted."""
        self._stopping.set()
        if self._greenlet is not None:
            self._greenlet.join()
        try:
            self.session.end()
        except AcaciastandError as error:
            logger.warning("the lease was not revoked", extra={"error": str(error)})

    def _loop(self) -> None:
        while not self._stopping.wait(TICK_SECONDS):
            try:
                self._tick()
            except LeaseLost:
                logger.warning("lease lost", extra={"entry_id": self.own.entry_id})
            except AcaciastandError as error:
                logger.info("store call failed", extra={"error": str(error)})

    def _tick(self) -> None:
        if self.session.lease_id is None:
            self.session.start(self.clock())
        self.session.renew(self.clock())
        if self._announced_lease != self.session.lease_id:
            self._announce()
        if self.clock() >= self._next_list:
            self._next_list = self.clock() + LIST_SECONDS
            self.on_entries([_decode(found) for found in self.store.list(PREFIX)])

    def _announce(self) -> None:
        key = PREFIX + self.own.entry_id
        value = cbor2.dumps([self.own.entry_id, self.own.address, self.own.availability_zone])
        found = self.store.get(key)
        try:
            self.store.put_if(key, value, found.version if found else 0, self.session.lease_id)
        except VersionMismatch:
            return  # the key lapsed with the lease of an earlier process; the next tick writes it
        self._announced_lease = self.session.lease_id


def _decode(found: Versioned) -> EntryAddress:
    try:
        entry_id, address, availability_zone = cbor2.loads(found.value)
        return EntryAddress(str(entry_id), str(address), str(availability_zone))
    except (ValueError, TypeError, cbor2.CBORDecodeError):
        logger.warning("directory entry cannot be read", extra={"key": found.key})
        return EntryAddress()
