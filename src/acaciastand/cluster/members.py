"""Registration of entries and agents in the store."""

from __future__ import annotations

import logging

from acaciastand.cluster.keys import encode_fields
from acaciastand.cluster.settings import DialledSettings
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, TransactionalStore

logger = logging.getLogger(__name__)


def register(store: TransactionalStore, key: str, settings: DialledSettings) -> bool:
    """Write the address of a process under `key` unless it stands there; False to try again."""
    value = encode_fields([settings.dialled_address, settings.availability_zone])
    try:
        found = store.get(key)
        if found.value != value:
            store.commit({key: found.revision}, {key: value})
        return True
    except (StoreUnavailable, StoreAnswerLost, CommitConflict) as error:
        logger.warning("registration failed", extra={"error": str(error)})
        return False
