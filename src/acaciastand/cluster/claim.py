"""The write to the store by which an entry becomes the owner."""

from __future__ import annotations

import os
from collections.abc import Callable

from acaciastand.cluster.keys import OWNER_KEY, OwnerRecord
from acaciastand.coordination.transactions import CommitConflict, Item, TransactionalStore


def claim(
    store: TransactionalStore,
    current: Item,
    entry_id: str,
    address: str,
    before_commit: Callable[[OwnerRecord], None],
) -> tuple[OwnerRecord, int] | None:
    """Claim the ownership with a record that replaces `current`.

    Parameters
    ----------
    current
        The owner key as it was read last.
    entry_id, address
        The claiming entry and its ``ip:port`` for other entries.
    before_commit
        Called with the new record before it is sent, so that the caller recognizes the record in a
        later read if the answer is lost.

    Returns
    -------
    tuple[OwnerRecord, int] | None
        The new record and its revision; None if another entry claimed the ownership first.

    Raises
    ------
    StoreUnavailable, StoreAnswerLost
        The next read of the owner key shows whether the claim took effect.
    """
    epoch = OwnerRecord.decode(current.value).epoch if current.value else 0
    # A released owner key holds no epoch. Revisions only rise, so the revision stands in for it.
    record = OwnerRecord(entry_id, address, max(epoch, current.revision) + 1, os.urandom(8))
    before_commit(record)
    try:
        return record, store.commit({OWNER_KEY: current.revision}, {OWNER_KEY: record.encode()})
    except CommitConflict as conflict:
        stored = conflict.current[OWNER_KEY]
        if stored.value == record.encode():
            return record, stored.revision
        return None
