"""Registration of entries and agents in the store."""

from __future__ import annotations

from acaciastand.cluster.keys import encode_fields
from acaciastand.cluster.settings import DialledSettings
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, TransactionalStore


class Registration:
    """Address of a process in the store.

    Parameters
    ----------
    key
        Key of the process.
    """

    def __init__(self, store: TransactionalStore, key: str, settings: DialledSettings) -> None:
        self.store = store
        self.key = key
        self.settings = settings
        self.store_availability = StoreAvailability("registration")

    def write(self) -> bool:
        """Write the address unless it stands there; False to try again."""
        value = encode_fields([self.settings.dialled_address, self.settings.availability_zone])
        try:
            found = self.store.get(self.key)
            if found.value != value:
                self.store.commit({self.key: found.revision}, {self.key: value})
        except (StoreUnavailable, StoreAnswerLost, CommitConflict) as error:
            self.store_availability.record_failure(error)
            return False
        self.store_availability.record_success()
        return True

    def remove(self) -> bool:
        """Remove the address, so that no new owner waits for this process; False to try again."""
        try:
            found = self.store.get(self.key)
            if found.revision:
                self.store.commit({self.key: found.revision}, {}, [self.key])
        except (StoreUnavailable, StoreAnswerLost, CommitConflict) as error:
            self.store_availability.record_failure(error)
            return False
        return True
