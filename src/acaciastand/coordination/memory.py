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

MAX_KEYS = 100_000  # keys of one store
MAX_LEASES = 10_000  # live leases of one store
MAX_KEY_BYTES = 512  # length of one key in UTF-8


class ValueTooLarge(InvalidInput):
    """A key or value exceeds the store's size limit."""

    code = "value_too_large"


class StoreFull(Refused):
    """The store holds as many keys or leases as it can."""

    code = "store_full"


class _Lease:
    __slots__ = ("expires", "keys", "ttl_seconds")

    def __init__(self, ttl_seconds: float, expires: float) -> None:
        self.ttl_seconds = ttl_seconds
        self.expires = expires
        self.keys: set[str] = set()


class MemoryStore(KeyValueStore):
    """Key-value store in memory.

    Parameters
    ----------
    clock
        Returns seconds of a monotonic clock; leases lapse by it.
    faults
        Decides which calls fail and counts calls; by default none fails.
    wait
        Called by `watch` with the longest time to wait in seconds; returns early when something
        may have changed. Without it, `watch` looks once and returns.
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
        self._lease_of: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._last_lease_id = 0
        # One counter for all keys: the version of a key cannot repeat after a deletion.
        self._last_version = 0

    def get(self, key: str) -> Versioned | None:
        """Return the current value of `key`; see `KeyValueStore.get`."""
        return self.faults.run(CallKind.GET, key, lambda: self._find(key))

    def put_if(
        self, key: str, value: bytes, expected_version: int, lease_id: int | None = None
    ) -> int:
        """Write by compare-and-swap; see `KeyValueStore.put_if`.

        Raises
        ------
        ValueTooLarge
            The key or the value exceeds its limit.
        StoreFull
            The store holds `MAX_KEYS` keys.
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
        """Return all keys with `prefix`; see `KeyValueStore.list`."""
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
            The store holds `MAX_LEASES` leases.
        """
        return self.faults.run(CallKind.GRANT, "", lambda: self._grant(ttl_seconds))

    def renew_lease(self, lease_id: int) -> None:
        """Extend a lease; see `KeyValueStore.renew_lease`."""
        self.faults.run(CallKind.RENEW, "", lambda: self._renew(lease_id))

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; an unknown lease has no keys left to delete."""
        self.faults.run(CallKind.REVOKE, "", lambda: self._end(lease_id))

    def _find(self, key: str) -> Versioned | None:
        self._expire()
        found = self._values.get(key)
        return None if found is None else found.replace()

    def _put(self, key: str, value: bytes, expected_version: int, lease_id: int | None) -> int:
        self._check_version(key, expected_version)
        if lease_id is not None and lease_id not in self._leases:
            raise _lease_lost(lease_id)
        if key not in self._values and len(self._values) >= MAX_KEYS:
            raise StoreFull(f"the store holds {MAX_KEYS} keys", "delete keys first")
        self._detach(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
            self._lease_of[key] = lease_id
        self._last_version += 1
        self._values[key] = Versioned(key, value, self._last_version)
        return self._last_version

    def _delete(self, key: str, expected_version: int) -> None:
        self._check_version(key, expected_version)
        if key not in self._values:
            raise _mismatch(key, expected_version, 0)
        self._remove(key)

    def _list(self, prefix: str) -> Sequence[Versioned]:
        self._expire()
        names = sorted(key for key in self._values if key.startswith(prefix))
        return [self._values[key].replace() for key in names]

    def _watch(self, key: str, after_version: int, timeout_seconds: float) -> Versioned | None:
        deadline = self.clock() + timeout_seconds
        while True:
            found = self._find(key)
            version = 0 if found is None else found.version
            if version != after_version:
                return found
            left = deadline - self.clock()
            if self._wait is None or left <= 0:
                return None
            self._wait(min(left, self._until_next_expiry()))

    def _grant(self, ttl_seconds: float) -> int:
        self._expire()
        if len(self._leases) >= MAX_LEASES:
            raise StoreFull(f"the store holds {MAX_LEASES} leases", "revoke unused leases first")
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = _Lease(ttl_seconds, self.clock() + ttl_seconds)
        return self._last_lease_id

    def _renew(self, lease_id: int) -> None:
        self._expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            raise _lease_lost(lease_id)
        lease.expires = self.clock() + lease.ttl_seconds

    def _end(self, lease_id: int) -> None:
        lease = self._leases.pop(lease_id, None)
        for key in sorted(lease.keys) if lease is not None else []:
            self._remove(key)

    def _expire(self) -> None:
        now = self.clock()
        expired = [name for name, lease in self._leases.items() if lease.expires <= now]
        for lease_id in expired:
            self._end(lease_id)

    def _until_next_expiry(self) -> float:
        earliest = min((lease.expires for lease in self._leases.values()), default=float("inf"))
        return max(0.0, earliest - self.clock())

    def _check_version(self, key: str, expected_version: int) -> None:
        self._expire()
        current = self._values.get(key)
        version = 0 if current is None else current.version
        if version != expected_version:
            raise _mismatch(key, expected_version, version)

    def _remove(self, key: str) -> None:
        self._detach(key)
        self._values.pop(key, None)

    def _detach(self, key: str) -> None:
        lease = self._leases.get(self._lease_of.pop(key, 0))
        if lease is not None:
            lease.keys.discard(key)


def _check_size(key: str, value: bytes) -> None:
    if len(key.encode()) > MAX_KEY_BYTES:
        raise ValueTooLarge(f"a key exceeds {MAX_KEY_BYTES} bytes", "use a shorter key")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueTooLarge(
            f"the value of {key!r} has {len(value)} bytes, more than {MAX_VALUE_BYTES}",
            "split it over several keys",
        )


def _mismatch(key: str, expected: int, found: int) -> VersionMismatch:
    return VersionMismatch(
        f"{key!r} is at version {found}, not {expected}", "read it again and decide anew"
    )


def _lease_lost(lease_id: int) -> LeaseLost:
    return LeaseLost(f"lease {lease_id} has lapsed", "start a new lease and claim its keys again")
