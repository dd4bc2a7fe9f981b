"""The write to the store by which an entry becomes the owner."""

from __future__ import annotations

import os
from collections.abc import Callable

from acaciastand.cluster.keys import (
    OWNER_HEARTBEAT_KEY,
    OWNER_KEY,
    OwnerRecord,
    StoredItemUnreadable,
)
from acaciastand.coordination.transactions import CommitConflict, Item, TransactionalStore


def decode_owner(current: Item, on_ignored: Callable[[Exception], None]) -> OwnerRecord | None:
    """Return the owner that the owner key names.

    Parameters
    ----------
    current
        The owner key.
    on_ignored
        Called with the error if the key cannot be decoded.

    Returns
    -------
    OwnerRecord | None
        The owner; None if the key is empty or cannot be decoded.
    """
    if not current.value:
        return None
    try:
        return OwnerRecord.decode(current.value)
    except StoredItemUnreadable as error:
        on_ignored(error)
        return None


def claim(
    store: TransactionalStore,
    current: Item,
    heartbeat: Item,
    former: OwnerRecord | None,
    entry_id: str,
    address: str,
    before_commit: Callable[[OwnerRecord], None],
) -> tuple[OwnerRecord, int] | None:
    """Claim the ownership with a record that replaces `current`.

    The claim fails if the former owner has stored another heartbeat since the last read, so its
    authority ends no later than that read shows.

    Parameters
    ----------
    current, heartbeat
        The owner key and the heartbeat key as they were read last.
    former
        The owner that it names; None if it names none.
    entry_id, address
        The claiming entry and its ``ip:port`` for other entries.
    before_commit
        Called with the new record before it is sent, so that the caller recognizes the record in a
        later read if the answer is lost.

    Returns
    -------
    tuple[OwnerRecord, int] | None
        The new record and its revision; None if another entry claimed the ownership first or the
        former owner has stored a heartbeat.

    Raises
    ------
    StoreUnavailable, StoreAnswerLost
        The next read of the owner key shows whether the claim took effect.
    """
    epoch = former.epoch if former else 0
    # A released or unreadable owner key holds no epoch. Revisions only rise, so the revision stands
    # in for it.
    record = OwnerRecord(entry_id, address, max(epoch, current.revision) + 1, os.urandom(8))
    before_commit(record)
    try:
        expected = {OWNER_KEY: current.revision, OWNER_HEARTBEAT_KEY: heartbeat.revision}
        return record, store.commit(expected, {OWNER_KEY: record.encode()})
    except CommitConflict as conflict:
        stored = conflict.current[OWNER_KEY]
        if stored.value == record.encode():
            return record, stored.revision
        return None
