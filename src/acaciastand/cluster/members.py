"""Registration of entries and agents in the store."""

from __future__ import annotations

from acaciastand.cluster.keys import encode_fields
from acaciastand.cluster.settings import DialledSettings
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, TransactionalStore


class Registration:
    """Address and availability zone of a process, stored under a key of its own.

    Parameters
    ----------
    key
        Key of the process.
    settings
        Settings that hold the address and the availability zone.
    """

    def __init__(self, store: TransactionalStore, key: str, settings: DialledSettings) -> None:
        self.store = store
        self.key = key
        self.settings = settings
        self.store_availability = StoreAvailability("registration")

    def write(self) -> bool:
        """Store the registration unless it is stored already.

        Returns
        -------
        bool
            Whether it is stored; False if the call must be repeated.
        """
        value = encode_fields([self.settings.dialled_address, self.settings.availability_zone])
        try:
            stored = self.store.get(self.key)
            if stored.value != value:
                self.store.commit({self.key: stored.revision}, {self.key: value})
        except (StoreUnavailable, StoreAnswerLost, CommitConflict) as error:
            self.store_availability.record_failure(error)
            return False
        self.store_availability.record_success()
        return True

    def remove(self) -> bool:
        """Remove the registration, so that no new owner waits for this process.

        Returns
        -------
        bool
            Whether it is removed; False if the call must be repeated.
        """
        try:
            stored = self.store.get(self.key)
            if stored.revision:
                self.store.commit({self.key: stored.revision}, {}, [self.key])
        except (StoreUnavailable, StoreAnswerLost, CommitConflict) as error:
            self.store_availability.record_failure(error)
            return False
        return True
