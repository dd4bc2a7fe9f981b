"""Ownership of a shard: a key that is attached to the owner's lease."""

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

MAX_CLAIM_ATTEMPTS = 3  # Writes of one claim until a lost response is reported to the caller.


class Owner(Record):
    """Owner of a shard, as stored under the shard's owner key.

    Parameters
    ----------
    entry_id
        Id of the entry process that owns the shard.
    lease_id
        Id of the lease to which the owner key is attached.
    """

    __slots__ = ("entry_id", "lease_id")

    def __init__(self, entry_id: str, lease_id: int) -> None:
        self.entry_id = entry_id
        self.lease_id = lease_id


class Ownership:
    """Ownership of one shard, as one entry process claims and holds it.

    Parameters
    ----------
    store
        Store that holds the owner key.
    shard
        Name or number of the shard; the owner key is ``shards/<shard>/owner``.
    entry_id
        Id of this entry process.

    Attributes
    ----------
    version
        Version of the owner key as written by the last successful claim; 0 without one.
    session
        Session of the last successful claim; None without one, and after `release`.
    lease_id
        Lease of `session` at the time of the claim; None without one, and after `release`.
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
        """Owner key of the shard."""
        return f"shards/{self.shard}/owner"

    def held(self, now: float) -> bool:
        """Tell whether this entry certainly owns the shard at a time.

        Parameters
        ----------
        now
            Time in seconds of the clock from which the session's times are read.

        Returns
        -------
        bool
            True if the lease of the last successful claim is still the lease of its session and
            is valid.
        """
        return (
            self.session is not None
            and self.session.lease_id == self.lease_id
            and self.session.valid(now)
        )

    def claim(self, session: LeaseSession) -> bool:
        """Try to become the owner under the lease of a session.

        A key that is attached to another lease is never taken over, not even the key of an
        earlier process with the same entry id, because that process may still be running. The
        store deletes the key when that lease expires.

        Parameters
        ----------
        session
            Session with a lease.

        Returns
        -------
        bool
            True if this entry now owns the shard, False if another lease does.

        Raises
        ------
        LeaseLost
            `session` has no lease, or its lease has expired.
        StoreUnavailable, StoreAnswerLost
            This entry does not own the shard for now; claim again later. If the claim took effect
            after all, the next claim finds it.
        """
        if session.lease_id is None:
            raise LeaseLost("the session has no lease", "call start() before claiming")
        self._clear()
        for _ in range(MAX_CLAIM_ATTEMPTS):
            stored = self.store.get(self.key)
            if stored is not None and _decode_owner(stored) != Owner(
                self.entry_id, session.lease_id
            ):
                return False
            # A key that already names this entry and lease is written again: its new version
            # makes a deletion by an earlier `release` fail if the store has yet to apply it.
            if self._write_claim(session, stored.version if stored is not None else 0):
                return True
        raise StoreAnswerLost(
            f"the store's responses to {MAX_CLAIM_ATTEMPTS} claims of {self.key!r} were lost",
            "claim again later",
        )

    def release(self) -> None:
        """Stop owning the shard and delete the owner key.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            This entry no longer owns the shard, but the key may remain until the lease ends.
        """
        version = self.version
        self._clear()
        if not version:
            return
        try:
            self.store.delete_if(self.key, version)
        except VersionMismatch:
            return

    def owner(self) -> Owner | None:
        """Return the owner of the shard according to the store, or None when there is none.

        Raises
        ------
        StoreUnavailable
            The store is unavailable.
        """
        stored = self.store.get(self.key)
        return None if stored is None else _decode_owner(stored)

    def _write_claim(self, session: LeaseSession, expected_version: int) -> bool:
        assert session.lease_id is not None
        value = cbor2.dumps([self.entry_id, session.lease_id])
        try:
            version = self.store.put_if(self.key, value, expected_version, session.lease_id)
        except (VersionMismatch, StoreAnswerLost):
            return False
        self._record_claim(session, version)
        return True

    def _record_claim(self, session: LeaseSession, version: int) -> None:
        self.version = version
        self.session = session
        self.lease_id = session.lease_id

    def _clear(self) -> None:
        self.version = 0
        self.session = None
        self.lease_id = None


def rendezvous_order(shard: int | str, entry_ids: Iterable[str]) -> list[str]:
    """Return entry processes in the order in which they are preferred as owner of a shard.

    This is rendezvous hashing: the weight of an entry depends only on the pair of shard and entry,
    so an entry that joins or leaves moves only its own shards.

    Parameters
    ----------
    shard
        Name or number of the shard.
    entry_ids
        Ids of the entry processes; duplicates are ignored.

    Returns
    -------
    list of str
        The ids, the most preferred one first.
    """

    def weight(entry_id: str) -> bytes:
        return blake2b(f"{shard}\x00{entry_id}".encode(), digest_size=8).digest()

    return sorted(set(entry_ids), key=lambda entry_id: (weight(entry_id), entry_id), reverse=True)


def preferred_owner(shard: int | str, entry_ids: Iterable[str]) -> str | None:
    """Return the id of the entry process that should own a shard, or None without entries.

    Parameters
    ----------
    shard
        Name or number of the shard.
    entry_ids
        Ids of the entry processes.

    Returns
    -------
    str or None
        The first id of `rendezvous_order`.
    """
    order = rendezvous_order(shard, entry_ids)
    return order[0] if order else None


def _decode_owner(stored: Versioned) -> Owner:
    entry_id, lease_id = cbor2.loads(stored.value)
    return Owner(entry_id, lease_id)
