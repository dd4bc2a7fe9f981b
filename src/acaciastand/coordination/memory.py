"""In-process key-value store for tests, embedding and the stand-in service."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from acaciastand.coordination.faults import CallKind, FaultPlan
from acaciastand.coordination.store import (
    MAX_VALUE_BYTES,
    KeyValueStore,
    LeaseLost,
    Versioned,
    VersionMismatch,
)
from acaciastand.errors import InvalidInput, Refused

MAX_KEYS = 100_000  # Limit for the keys of one store.
MAX_LEASES = 10_000  # Limit for the leases of one store that have not expired.
MAX_KEY_BYTES = 512  # Limit for the length of one key in UTF-8.


class ValueTooLarge(InvalidInput):
    """A key or value exceeds the store's size limit."""

    code = "value_too_large"


class StoreFull(Refused):
    """The store has reached its limit of keys or leases."""

    code = "store_full"


class _Lease:
    __slots__ = ("expires_at", "keys", "ttl_seconds")

    def __init__(self, ttl_seconds: float, expires_at: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires_at = expires_at
        self.keys: set[str] = set()


class MemoryStore(KeyValueStore):
    """Key-value store in memory, with fault injection.

    Every call can raise the errors that `faults` plans for it; see `FaultPlan.run`.

    Parameters
    ----------
    clock
        Returns the time in seconds of a monotonic clock; leases expire by it.
    faults
        Decides which calls fail, and counts the calls; by default a new plan without faults. The
        plan in use is the attribute `faults`.
    wait
        Called by `watch` with the longest time to wait in seconds; may return early, for example
        when a key may have changed. Without it, `watch` checks the key once and returns.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        faults: FaultPlan | None = None,
        wait: Callable[[float], object] | None = None,
    ) -> None:
        self.clock = clock
        self.faults = faults or FaultPlan()
        self._wait = wait
        self._values: dict[str, Versioned] = {}
        self._lease_id_by_key: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0
        # All keys share one counter, so that the version of a key never repeats after a deletion.
        self._last_version = 0

    def get(self, key: str) -> Versioned | None:
        """Return the current value of `key`; see `KeyValueStore.get`."""
        return self.faults.run(CallKind.GET, key, lambda: self._get(key))

    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Write by compare-and-swap; see `KeyValueStore.put_if`.

        Raises
        ------
        ValueTooLarge
            The key exceeds `MAX_KEY_BYTES`, or the value exceeds `MAX_VALUE_BYTES`.
        StoreFull
            The key is new and the store already has `MAX_KEYS` keys.
        """
        _check_size(key, value)
        data = bytes(value)
        return self.faults.run(
            CallKind.PUT, key, lambda: self._put(key, data, expected_version, lease_id)
        )

    def delete_if(self, key: str, expected_version: int) -> None:
        """Delete by compare-and-swap; see `KeyValueStore.delete_if`."""
        self.faults.run(CallKind.DELETE, key, lambda: self._delete(key, expected_version))

    def list(self, prefix: str) -> list[Versioned]:
        """Return all keys that begin with `prefix`; see `KeyValueStore.list`."""
        return self.faults.run(CallKind.LIST, prefix, lambda: [*self._list(prefix)])

    def watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        """Wait for another version of `key`; see `KeyValueStore.watch`."""
        return self.faults.run(
            CallKind.WATCH, key, lambda: self._watch(key, after_version, timeout_seconds)
        )

    def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease; see `KeyValueStore.grant_lease`.

        Raises
        ------
        StoreFull
            The store already has `MAX_LEASES` leases.
        """
        return self.faults.run(CallKind.GRANT, "", lambda: self._grant_lease(ttl_seconds))

    def renew_lease(self, lease_id: int) -> None:
        """Extend a lease; see `KeyValueStore.renew_lease`."""
        self.faults.run(CallKind.RENEW, "", lambda: self._renew_lease(lease_id))

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; an unknown or expired lease is ignored."""
        self.faults.run(CallKind.REVOKE, "", lambda: self._end_lease(lease_id))

    # Effects of the calls, which the fault plan applies at once, later or never

    def _get(self, key: str) -> Versioned | None:
        self._expire_leases()
        current = self._values.get(key)
        return None if current is None else current.replace()

    def _put(self, key: str, value: bytes, expected_version: int, lease_id: int | None) -> int:
        self._check_version(key, expected_version)
        if lease_id is not None and lease_id not in self._leases:
            raise _lease_lost_error(lease_id)
        if key not in self._values and len(self._values) >= MAX_KEYS:
            raise StoreFull(
                f"the store has reached its limit of {MAX_KEYS} keys", "delete keys first"
            )
        self._detach_from_lease(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
            self._lease_id_by_key[key] = lease_id
        self._last_version += 1
        self._values[key] = Versioned(key, value, self._last_version)
        return self._last_version

    def _delete(self, key: str, expected_version: int) -> None:
        self._check_version(key, expected_version)
        if key not in self._values:
            raise _version_mismatch_error(key, expected_version, 0)
        self._remove_key(key)

    def _list(self, prefix: str) -> Sequence[Versioned]:
        self._expire_leases()
        keys = sorted(key for key in self._values if key.startswith(prefix))
        return [self._values[key].replace() for key in keys]

    def _watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        deadline = self.clock() + timeout_seconds
        while True:
            current = self._get(key)
            version = 0 if current is None else current.version
            if version != after_version:
                return current
            remaining_seconds = deadline - self.clock()
            if self._wait is None or remaining_seconds <= 0:
                return None
            self._wait(min(remaining_seconds, self._seconds_until_next_expiry()))

    def _grant_lease(self, ttl_seconds: float) -> int:
        self._expire_leases()
        if len(self._leases) >= MAX_LEASES:
            raise StoreFull(
                f"the store has reached its limit of {MAX_LEASES} leases",
                "revoke unused leases first",
            )
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(ttl_seconds, self.clock() + ttl_seconds)
        return self._last_lease_id

    def _renew_lease(self, lease_id: int) -> None:
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise _lease_lost_error(lease_id)
        lease.expires_at = self.clock() + lease.ttl_seconds

    def _end_lease(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease is not None else []:
            self._remove_key(key)

    def _expire_leases(self) -> None:
        now = self.clock()
        expired_ids = [
            lease_id for lease_id, lease in self._leases.items() if lease.expires_at <= now
        ]
        for lease_id in expired_ids:
            self._end_lease(lease_id)

    def _seconds_until_next_expiry(self) -> float:
        earliest = min((lease.expires_at for lease in self._leases.values()), default=float("inf"))
        return max(0.0, earliest - self.clock())

    def _check_version(self, key: str, expected_version: int) -> None:
        self._expire_leases()
        current = self._values.get(key)
        version = 0 if current is None else current.version
        if version != expected_version:
            raise _version_mismatch_error(key, expected_version, version)

    def _remove_key(self, key: str) -> None:
        self._detach_from_lease(key)
        self._values.pop(key, None)

    def _detach_from_lease(self, key: str) -> None:
        lease = self._leases.get(self._lease_id_by_key.pop(key, 0))
        if lease is not None:
            lease.keys.discard(key)


def _check_size(key: str, value: bytes) -> None:
    if len(key.encode()) > MAX_KEY_BYTES:
        raise ValueTooLarge(f"the key is longer than {MAX_KEY_BYTES} bytes", "use a shorter key")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueTooLarge(
            f"the value of key {key!r} has {len(value)} bytes, more than {MAX_VALUE_BYTES}",
            "split it over several keys",
        )


def _version_mismatch_error(
    key: str, expected_version: int, current_version: int
) -> VersionMismatch:
    return VersionMismatch(
        f"key {key!r} is at version {current_version}, not at {expected_version}",
        "read the key again, then decide whether to repeat the call",
    )


def _lease_lost_error(lease_id: int) -> LeaseLost:
    return LeaseLost(
        f"lease {lease_id} has expired or was revoked",
        "start a new lease and claim its keys again",
    )
