"""What an owner knows of pairs of images, kept in the store for the next one."""

from __future__ import annotations

import logging

import gevent

from acaciastand.cluster.keys import (
    INTERFERENCE_KEY,
    OWNER_KEY,
    decode_interference,
    encode_interference,
)
from acaciastand.coordination.transactions import TransactionalStore
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.workflow.interference import Interference

STORE_INTERVAL_SECONDS = 3.0  # between two writes

logger = logging.getLogger(__name__)


class InterferenceStore:
    """Reads what a former owner left and stores what this one learns.

    Parameters
    ----------
    fence
        Revision of the owner key at this owner's claim.
    """

    def __init__(self, store: TransactionalStore, interference: Interference, fence: int) -> None:
        self.store = store
        self.interference = interference
        self.fence = fence

    def load(self) -> None:
        """Take over what a former owner stored.

        Raises
        ------
        StoreUnavailable
            It cannot be read now.
        """
        item = self.store.get(INTERFERENCE_KEY)
        if not item.revision:
            return
        try:
            self.interference.restore(decode_interference(item.value))
        except InvalidInput as error:
            logger.error("learned pairs ignored", extra={"error": str(error)})

    def store_forever(self) -> None:
        """Store what is known whenever it has changed."""
        stored = b""
        while True:
            gevent.sleep(STORE_INTERVAL_SECONDS)
            value = encode_interference(self.interference.snapshot())
            if value == stored:
                continue
            try:
                self.store.commit({OWNER_KEY: self.fence}, {INTERFERENCE_KEY: value})
                stored = value
            except AcaciastandError as error:
                logger.info("learned pairs not stored", extra={"error": str(error)})
