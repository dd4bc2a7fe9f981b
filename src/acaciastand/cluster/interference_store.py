"""Storage of the owner's interference model, so that the next owner can continue with it."""

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
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.workflow.interference import Interference

STORE_INTERVAL_SECONDS = 3.0

logger = logging.getLogger(__name__)


class InterferenceStore:
    """Loads the interference model of the former owner and stores that of this owner.

    Parameters
    ----------
    interference
        Model of this owner.
    fence
        Revision of the owner key at this owner's claim; a write fails once it has changed.
    ignored
        Records a stored model that cannot be decoded.
    """

    def __init__(
        self,
        store: TransactionalStore,
        interference: Interference,
        fence: int,
        ignored: IgnoredValues,
    ) -> None:
        self.store = store
        self.ignored = ignored
        self.interference = interference
        self.fence = fence

    def load(self) -> None:
        """Restore the stored model; one that cannot be decoded is logged and ignored.

        Raises
        ------
        StoreUnavailable
            The store cannot be read.
        """
        item = self.store.get(INTERFERENCE_KEY)
        if not item.revision:
            return
        try:
            self.interference.restore(decode_interference(item.value))
        except InvalidInput as error:
            self.ignored.record(INTERFERENCE_KEY, error)

    def store_forever(self) -> None:
        """Store the model every `STORE_INTERVAL_SECONDS` if it has changed."""
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
                logger.info("interference model not stored", extra={"error": str(error)})
