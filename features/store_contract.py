"""Contract of `KeyValueStore`: each rule is checked against every implementation."""

import time

import gevent
from gevent.event import Event

from acaciastand.coordination import (
    MAX_VALUE_BYTES,
    READ_KINDS,
    CallKind,
    LeaseLost,
    MemoryStore,
    StoreAnswerLost,
    StoreUnavailable,
    ValueTooLarge,
    VersionMismatch,
)
from acaciastand.platform.store_client import HttpStore
from acaciastand_standin.store import Faults, StoreService, create_server

TIMEOUT_SECONDS = 10.0  # Limit for each store call and for each condition that a rule waits for.
POLL_SECONDS = 0.005  # Interval between two checks of a condition.
TTL_SECONDS = 0.2  # Time to live of the leases that are to expire or to be renewed.


def fails_with(error, call, *arguments):
    """Check that a call raises an error of this type."""
    try:
        result = call(*arguments)
    except error:
        return
    raise AssertionError(f"expected {error.__name__}, got the result {result!r}")


class MemoryStoreFixture:
    """A `MemoryStore` in real time and its faults; its watches poll."""

    def __init__(self, stack):
        self.faults = Faults()
        self.store = MemoryStore(
            time.monotonic, self.faults.plan, lambda _seconds: gevent.sleep(POLL_SECONDS)
        )


class HttpStoreFixture:
    """An `HttpStore` that is connected to a stand-in in this process, and its faults."""

    def __init__(self, stack):
        self.service = StoreService()
        self.faults = self.service.faults
        self.server = create_server("127.0.0.1:0", self.service)
        self.server.start()
        stack.callback(self.server.stop, 0)
        self.store = HttpStore(f"http://127.0.0.1:{self.server.server_port}", TIMEOUT_SECONDS)
        stack.callback(self.store.close)


def write_needs_version(fixture):
    store = fixture.store
    version = store.put_if("key", b"one", 0)
    fails_with(VersionMismatch, store.put_if, "key", b"two", 0)
    fails_with(VersionMismatch, store.put_if, "key", b"two", version + 1)
    assert store.get("key").value == b"one"
    assert store.put_if("key", b"two", version) > version
    assert store.get("key").value == b"two"
    assert store.get("other") is None


def versions_never_repeat(fixture):
    store = fixture.store
    versions = []
    for _ in range(3):
        versions.append(store.put_if("key", b"value", 0))
        store.delete_if("key", versions[-1])
    assert sorted(set(versions)) == versions


def deletion_needs_version(fixture):
    store = fixture.store
    version = store.put_if("key", b"value", 0)
    fails_with(VersionMismatch, store.delete_if, "key", version + 1)
    fails_with(VersionMismatch, store.delete_if, "absent", 0)
    assert store.get("key") is not None
    store.delete_if("key", version)
    assert store.get("key") is None


def list_is_ordered(fixture):
    for key in ("a/2", "b/1", "a/10", "a/1"):
        fixture.store.put_if(key, key.encode(), 0)
    items = fixture.store.list("a/")
    assert [item.key for item in items] == ["a/1", "a/10", "a/2"]
    assert all(item.value == item.key.encode() and item.version >= 1 for item in items)


def expired_lease_removes_keys(fixture):
    store = fixture.store
    lease_id = store.grant_lease(TTL_SECONDS)
    store.put_if("key", b"value", 0, lease_id)
    store.put_if("kept", b"value", 0)
    wait_until(lambda: store.get("key") is None)
    fails_with(LeaseLost, store.renew_lease, lease_id)
    fails_with(LeaseLost, store.put_if, "key", b"value", 0, lease_id)
    assert store.get("kept") is not None


def renewed_lease_keeps_keys(fixture):
    store = fixture.store
    lease_id = store.grant_lease(TTL_SECONDS)
    version = store.put_if("key", b"value", 0, lease_id)
    deadline = time.monotonic() + 2 * TTL_SECONDS
    while time.monotonic() < deadline:
        store.renew_lease(lease_id)
        gevent.sleep(TTL_SECONDS / 20)
    assert store.get("key").version == version


def revoked_lease_removes_keys(fixture):
    store = fixture.store
    lease_id = store.grant_lease(TIMEOUT_SECONDS)
    store.put_if("key", b"value", 0, lease_id)
    store.revoke_lease(lease_id)
    assert store.get("key") is None
    fails_with(LeaseLost, store.renew_lease, lease_id)


def watch_returns_newer_version(fixture):
    store = fixture.store
    version = store.put_if("key", b"one", 0)
    assert store.watch("key", 0, TIMEOUT_SECONDS).version == version
    assert store.watch("key", version, 0.02) is None
    watch = start_watch(fixture, version)
    newer_version = store.put_if("key", b"two", version)
    assert result_of(watch).version == newer_version


def watch_ends_with_deletion(fixture):
    version = fixture.store.put_if("key", b"one", 0)
    watch = start_watch(fixture, version)
    fixture.store.delete_if("key", version)
    assert result_of(watch) is None


def watch_counts_once(fixture):
    version = fixture.store.put_if("key", b"one", 0)
    watch = start_watch(fixture, version)
    # The write of another key wakes the service; the caller's watch goes on.
    fixture.store.put_if("other", b"one", 0)
    fixture.store.put_if("key", b"two", version)
    result_of(watch)
    assert fixture.faults.plan.calls[CallKind.WATCH] == 1
    assert fixture.faults.plan.calls[CallKind.PUT] == 3


def outage_refuses_calls(fixture):
    store = fixture.store
    fixture.faults.change({"outage": True})
    fails_with(StoreUnavailable, store.put_if, "key", b"value", 0)
    fails_with(StoreUnavailable, store.get, "key")
    fails_with(StoreUnavailable, store.grant_lease, 1.0)
    fixture.faults.clear()
    assert store.get("key") is None


def errors_can_be_limited(fixture):
    store = fixture.store
    fixture.faults.change({"errors": ["put"], "calls": 2, "key_prefix": "a/"})
    fails_with(StoreUnavailable, store.put_if, "a/1", b"value", 0)
    assert store.get("a/1") is None
    assert store.put_if("b/1", b"value", 0)
    fails_with(StoreUnavailable, store.put_if, "a/1", b"value", 0)
    assert store.put_if("a/1", b"value", 0)


def write_with_lost_response_takes_effect(fixture):
    store = fixture.store
    write_kinds = [kind.value for kind in CallKind if kind not in READ_KINDS]
    fixture.faults.change({"lost_answers": write_kinds})
    fails_with(StoreAnswerLost, store.put_if, "key", b"value", 0)
    stored = store.get("key")
    assert stored.value == b"value"
    fails_with(StoreAnswerLost, store.delete_if, "key", stored.version)
    assert store.get("key") is None
    fixture.faults.clear()
    fixture.faults.change({"lost_answers": ["get"], "calls": 1})
    fails_with(StoreUnavailable, store.get, "key")


def large_value_is_refused(fixture):
    fails_with(ValueTooLarge, fixture.store.put_if, "key", bytes(MAX_VALUE_BYTES + 1), 0)
    assert fixture.store.put_if("key", bytes(MAX_VALUE_BYTES), 0)
    assert len(fixture.store.get("key").value) == MAX_VALUE_BYTES


def start_watch(fixture, version):
    """Start a watch in a greenlet, and return the greenlet once the store has counted the call."""
    earlier_watches = fixture.faults.plan.calls[CallKind.WATCH]
    watch = gevent.spawn(fixture.store.watch, "key", version, TIMEOUT_SECONDS)
    wait_until(lambda: fixture.faults.plan.calls[CallKind.WATCH] > earlier_watches)
    return watch


def result_of(watch):
    """Return the result of a watch that `start_watch` started."""
    with gevent.Timeout(TIMEOUT_SECONDS / 2, AssertionError("the watch did not return")):
        return watch.get()


def wait_until(condition):
    """Poll until a condition holds."""
    never_set = Event()
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true in time"
        never_set.wait(POLL_SECONDS)


RULES = {
    "a write needs the expected version": write_needs_version,
    "a version never repeats after a deletion": versions_never_repeat,
    "a deletion needs the expected version": deletion_needs_version,
    "a list is ordered and limited to the prefix": list_is_ordered,
    "an expired lease removes its keys and refuses renewals": expired_lease_removes_keys,
    "a renewed lease outlives its time to live": renewed_lease_keeps_keys,
    "a revoked lease removes its keys": revoked_lease_removes_keys,
    "a watch returns a newer version and None after its timeout": watch_returns_newer_version,
    "a watch ends when the key is deleted": watch_ends_with_deletion,
    "a waiting watch counts as one call": watch_counts_once,
    "an outage refuses every call without effect": outage_refuses_calls,
    "errors can be limited to some kinds of call": errors_can_be_limited,
    "a write whose response is lost takes effect": write_with_lost_response_takes_effect,
    "a value above one megabyte is refused": large_value_is_refused,
}
