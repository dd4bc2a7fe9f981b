"""Interface to the platform's key-value service."""

from __future__ import annotations

from abc import ABC, abstractmethod

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.record import Record

MAX_VALUE_BYTES = 1_000_000  # The platform's limit for one value.


class StoreUnavailable(AcaciastandError):
    """The store did not accept the call, or did not respond to a read; nothing was changed."""

    code = "store_unavailable"
    outcome = Outcome.NOT_RUN
    http_status = 503
    exit_code = 7


class StoreAnswerLost(AcaciastandError):
    """The store's response did not arrive; the call may have taken effect."""

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
    """The lease expired or was revoked; the keys attached to it were deleted."""

    code = "lease_lost"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4


class Versioned(Record):
    """A key's value and the version that a later compare-and-swap expects.

    Parameters
    ----------
    key
        Key in the store.
    value
        The stored bytes.
    version
        At least 1; rises with every write of the key and never repeats for one key, not even
        after a deletion.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version


class KeyValueStore(ABC):
    """Key-value store with compare-and-swap, leases and watches.

    Every call can raise `StoreUnavailable`. The calls that change the store (`put_if`,
    `delete_if`, `grant_lease`, `renew_lease` and `revoke_lease`) can also raise
    `StoreAnswerLost`.
    """

    @abstractmethod
    def get(self, key: str) -> Versioned | None:
        """Return the current value of `key`, or None when the key does not exist."""

    @abstractmethod
    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Write a key if it is at the expected version.

        Parameters
        ----------
        key
            Key to write.
        value
            New value, at most `MAX_VALUE_BYTES` long.
        expected_version
            Version that the key must have; 0 when the key must not exist.
        lease_id
            Lease to which the key is attached: the key is deleted when the lease ends. With
            None the key is attached to no lease.

        Returns
        -------
        int
            The new version of the key.

        Raises
        ------
        VersionMismatch
            The key is at another version.
        LeaseLost
            The lease `lease_id` has expired or was revoked.
        """

    @abstractmethod
    def delete_if(self, key: str, expected_version: int) -> None:
        """Delete a key if it is at the expected version.

        Parameters
        ----------
        key
            Key to delete.
        expected_version
            Version that the key must have.

        Raises
        ------
        VersionMismatch
            The key is at another version or does not exist.
        """

    @abstractmethod
    def list(self, prefix: str) -> list[Versioned]:
        """Return all keys that begin with `prefix` and their values, sorted by key."""

    @abstractmethod
    def watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        """Wait until a key is at another version than `after_version`.

        Parameters
        ----------
        key
            Key to watch.
        after_version
            Version that the caller knows; 0 when the key does not exist.
        timeout_seconds
            Longest time to wait.

        Returns
        -------
        Versioned or None
            The value at its new version; None when the time ran out, and also when the key was
            deleted.
        """

    @abstractmethod
    def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease that expires `ttl_seconds` later unless it is renewed.

        Returns
        -------
        int
            Id of the lease.
        """

    @abstractmethod
    def renew_lease(self, lease_id: int) -> None:
        """Extend a lease by its full time to live, counted from the renewal.

        Raises
        ------
        LeaseLost
            The lease has expired or was revoked.
        """

    @abstractmethod
    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys attached to it."""
