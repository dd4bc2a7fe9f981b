"""The write by which an entry becomes the owner."""

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
    remember: Callable[[OwnerRecord], None],
) -> tuple[OwnerRecord, int] | None:
    """Claim the ownership after what `current` shows; None if another entry was first.

    `remember` is told the record before it is sent, to recognize a claim without an answer.

    Raises
    ------
    StoreUnavailable, StoreAnswerLost
        Whether the claim took effect is seen at the next look.
    """
    epoch = OwnerRecord.decode(current.value).epoch if current.value else 0
    # A released key holds no epoch; revisions only rise, so they serve as well.
    record = OwnerRecord(entry_id, address, max(epoch, current.revision) + 1, os.urandom(8))
    remember(record)
    try:
        return record, store.commit({OWNER_KEY: current.revision}, {OWNER_KEY: record.encode()})
    except CommitConflict as conflict:
        found = conflict.current[OWNER_KEY]
        if found.value == record.encode():
            return record, found.revision
        return None
