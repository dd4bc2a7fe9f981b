"""Ownership of a shard: a key under the owner's lease."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

import cbor2

from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.store import (
    KeyValueStore,
    LeaseLost,
    StoreAnswerLost,
    Versioned,
    VersionMismatch,
)
from acaciastand.record import Record

CLAIM_ATTEMPTS = 3  # writes of one claim until a lost answer is reported to the caller


class Owner(Record):
    """Who holds a shard, as stored under its owner key."""

    __slots__ = ("entry_id", "lease_id")

    def __init__(self, entry_id: str, lease_id: int) -> None:
        self.entry_id = entry_id
        self.lease_id = lease_id


class Ownership:
    """One entry's view of one shard's owner key.

    Parameters
    ----------
    store
        Store that holds the key.
    shard
        Name or number of the shard; the key is ``shards/<shard>/owner``.
    entry_id
        Id of this entry.
    """

    __slots__ = ("store", "shard", "entry_id", "version", "session", "lease_id")

    def __init__(self, store: KeyValueStore, shard: int | str, entry_id: str) -> None:
        self.store = store
        self.shard = shard
        self.entry_id = entry_id
        self.version = 0
        self.session: LeaseSession | None = None
        self.lease_id: int | None = None

    @property
    def key(self) -> str:
        """Key that names the owner."""
        return f"shards/{self.shard}/owner"

    def held(self, now: float) -> bool:
        """Tell whether this entry certainly owns the shard at `now`."""
        return (
            self.session is not None
            and self.session.lease_id == self.lease_id
            and self.session.valid(now)
        )

    def claim(self, session: LeaseSession) -> bool:
        """Try to become the owner under `session` and tell whether this entry owns the shard.

        A key of another lease is never taken over, also not one of an earlier process with the
        same entry id, which may still be running; it goes away when that lease lapses.

        Raises
        ------
        LeaseLost
            `session` has no lease, or it lapsed.
        StoreUnavailable, StoreAnswerLost
            Nothing is owned; claim again later. A claim that took effect is found then.
        """
        if session.lease_id is None:
            raise LeaseLost("the session has no lease", "start() it before claiming")
        self._forget()
        for _ in range(CLAIM_ATTEMPTS):
            found = self.store.get(self.key)
            if found is not None and _decode(found) != Owner(self.entry_id, session.lease_id):
                return False
            # A key that is already ours is written again: the new version makes a delete of an
            # earlier `release` fail if it is still under way.
            if self._write(session, found.version if found is not None else 0):
                return True
        raise StoreAnswerLost(
            f"the answers to {CLAIM_ATTEMPTS} claims of {self.key!r} were lost", "claim again later"
        )

    def release(self) -> None:
        """Stop owning the shard and delete the owner key.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            The key may remain until the lease ends; this entry no longer owns the shard.
        """
        version = self.version
        self._forget()
        if not version:
            return
        try:
            self.store.delete_if(self.key, version)
        except VersionMismatch:
            return

    def owner(self) -> Owner | None:
        """Return who holds the shard according to the store."""
        found = self.store.get(self.key)
        return None if found is None else _decode(found)

    def _write(self, session: LeaseSession, expected_version: int) -> bool:
        assert session.lease_id is not None
        value = cbor2.dumps([self.entry_id, session.lease_id])
        try:
            version = self.store.put_if(self.key, value, expected_version, session.lease_id)
        except (VersionMismatch, StoreAnswerLost):
            return False
        self._hold(session, version)
        return True

    def _hold(self, session: LeaseSession, version: int) -> None:
        self.version = version
        self.session = session
        self.lease_id = session.lease_id

    def _forget(self) -> None:
        self.version = 0
        self.session = None
        self.lease_id = None


def rendezvous_order(shard: int | str, entry_ids: Iterable[str]) -> list[str]:
    """Return the entries in the order in which they are preferred as owner of `shard`.

    Each entry's rank depends only on the pair (shard, entry), so an entry that joins or leaves
    moves only its own shards.
    """

    def weight(entry_id: str) -> bytes:
        return blake2b(f"{shard}\x00{entry_id}".encode(), digest_size=8).digest()

    return sorted(set(entry_ids), key=lambda entry_id: (weight(entry_id), entry_id), reverse=True)


def preferred_owner(shard: int | str, entry_ids: Iterable[str]) -> str | None:
    """Return the entry that should own `shard`, or None without entries."""
    order = rendezvous_order(shard, entry_ids)
    return order[0] if order else None


def _decode(found: Versioned) -> Owner:
    entry_id, lease_id = cbor2.loads(found.value)
    return Owner(entry_id, lease_id)
