"""The interface to the platform's key-value service."""

from __future__ import annotations

from abc import ABC, abstractmethod

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.record import Record

MAX_VALUE_BYTES = 1_000_000  # the platform's limit for one value


class StoreUnavailable(AcaciastandError):
    """The store did not take the call; the call had no effect."""

    code = "store_unavailable"
    outcome = Outcome.NOT_RUN
    http_status = 503
    exit_code = 7


class StoreAnswerLost(AcaciastandError):
    """The store's answer did not arrive; the call may have taken effect."""

    code = "store_answer_lost"
    outcome = Outcome.UNKNOWN
    http_status = 504
    exit_code = 6


class VersionMismatch(AcaciastandError):
    """The key is not at the expected version; the call had no effect."""

    code = "version_mismatch"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4


class LeaseLost(AcaciastandError):
    """The lease lapsed or was revoked; keys attached to it are gone."""

    code = "lease_lost"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4


class Versioned(Record):
    """A value with the version that a later compare-and-swap expects.

    Parameters
    ----------
    key
        Key in the store.
    value
        The stored bytes.
    version
        At least 1; rises with every write of the key and never repeats for one key, also not
        after a deletion.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class KeyValueStore(ABC):
    """Compare-and-swap, leases and watches; every call can raise `StoreUnavailable`.

    Calls that write can also raise `StoreAnswerLost`.
    """

    @abstractmethod
    def get(self, key: str) -> Versioned | None:
        """Return the current value of `key`, or None when it does not exist."""

    @abstractmethod
    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Write `value` if `key` is at `expected_version` (0: absent) and return the new version.

        Raises
        ------
        VersionMismatch
            The key is at another version.
        LeaseLost
            `lease_id` has lapsed.
        """

    @abstractmethod
    def delete_if(self, key: str, expected_version: int) -> None:
        """Delete `key` if it is at `expected_version`.

        Raises
        ------
        VersionMismatch
            The key is at another version or absent.
        """

    @abstractmethod
    def list(self, prefix: str) -> list[Versioned]:
        """Return all keys with `prefix`, in the order of their names."""

    @abstractmethod
    def watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        """Wait until `key` is at another version than `after_version`.

        Returns
        -------
        Versioned or None
            The value at its new version; None when the time ran out, and also when the key was
            deleted.
        """

    @abstractmethod
    def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease and return its id."""

    @abstractmethod
    def renew_lease(self, lease_id: int) -> None:
        """Extend a lease by its full time to live.

        Raises
        ------
        LeaseLost
            The lease has lapsed.
        """

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys attached to it."""
