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

TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.005
TTL_SECONDS = 0.2


def fails_with(error, call, *arguments):
    try:
        result = call(*arguments)
    except error:
        return
    raise AssertionError(f"expected {error.__name__}, got the result {result!r}")


class MemoryBench:
    """The memory store in real time; its watch polls."""

    def __init__(self, stack):
        self.faults = Faults()
        self.store = MemoryStore(
            time.monotonic, self.faults.plan, lambda _seconds: gevent.sleep(POLL_SECONDS)
        )


class HttpBench:
    """The HTTP client against the stand-in in this process."""

    def __init__(self, stack):
        self.service = StoreService()
        self.faults = self.service.faults
        self.server = create_server("127.0.0.1:0", self.service)
        self.server.start()
        stack.callback(self.server.stop, 0)
        self.store = HttpStore(f"http://127.0.0.1:{self.server.server_port}", TIMEOUT_SECONDS)
        stack.callback(self.store.close)


def write_needs_version(bench):
    store = bench.store
    version = store.put_if("key", b"one", 0)
    fails_with(VersionMismatch, store.put_if, "key", b"two", 0)
    fails_with(VersionMismatch, store.put_if, "key", b"two", version + 1)
    assert store.get("key").value == b"one"
    assert store.put_if("key", b"two", version) > version
    assert store.get("key").value == b"two"
    assert store.get("other") is None


def versions_never_repeat(bench):
    store = bench.store
    seen = []
    for _ in range(3):
        seen.append(store.put_if("key", b"value", 0))
        store.delete_if("key", seen[-1])
    assert sorted(set(seen)) == seen


def deletion_needs_version(bench):
    store = bench.store
    version = store.put_if("key", b"value", 0)
    fails_with(VersionMismatch, store.delete_if, "key", version + 1)
    fails_with(VersionMismatch, store.delete_if, "absent", 0)
    assert store.get("key") is not None
    store.delete_if("key", version)
    assert store.get("key") is None


def list_is_ordered(bench):
    for key in ("a/2", "b/1", "a/10", "a/1"):
        bench.store.put_if(key, key.encode(), 0)
    found = bench.store.list("a/")
    assert [item.key for item in found] == ["a/1", "a/10", "a/2"]
    assert all(item.value == item.key.encode() and item.version >= 1 for item in found)


def expired_lease(bench):
    store = bench.store
    lease = store.grant_lease(TTL_SECONDS)
    store.put_if("key", b"value", 0, lease)
    store.put_if("kept", b"value", 0)
    wait_until(lambda: store.get("key") is None)
    fails_with(LeaseLost, store.renew_lease, lease)
    fails_with(LeaseLost, store.put_if, "key", b"value", 0, lease)
    assert store.get("kept") is not None


def renewed_lease(bench):
    store = bench.store
    lease = store.grant_lease(TTL_SECONDS)
    version = store.put_if("key", b"value", 0, lease)
    ends = time.monotonic() + 2 * TTL_SECONDS
    while time.monotonic() < ends:
        store.renew_lease(lease)
        gevent.sleep(TTL_SECONDS / 20)
    assert store.get("key").version == version


def revoked_lease(bench):
    store = bench.store
    lease = store.grant_lease(TIMEOUT_SECONDS)
    store.put_if("key", b"value", 0, lease)
    store.revoke_lease(lease)
    assert store.get("key") is None
    fails_with(LeaseLost, store.renew_lease, lease)


def watch_returns(bench):
    store = bench.store
    version = store.put_if("key", b"one", 0)
    assert store.watch("key", 0, TIMEOUT_SECONDS).version == version
    assert store.watch("key", version, 0.02) is None
    waiting = start_watch(bench, version)
    newer = store.put_if("key", b"two", version)
    assert result_of(waiting).version == newer


def watch_ends_with_deletion(bench):
    version = bench.store.put_if("key", b"one", 0)
    waiting = start_watch(bench, version)
    bench.store.delete_if("key", version)
    assert result_of(waiting) is None


def watch_counts_once(bench):
    version = bench.store.put_if("key", b"one", 0)
    waiting = start_watch(bench, version)
    bench.store.put_if("other", b"one", 0)  # wakes the service, not the caller
    bench.store.put_if("key", b"two", version)
    result_of(waiting)
    assert bench.faults.plan.calls[CallKind.WATCH] == 1
    assert bench.faults.plan.calls[CallKind.PUT] == 3


def outage_refuses(bench):
    store = bench.store
    bench.faults.change({"outage": True})
    fails_with(StoreUnavailable, store.put_if, "key", b"value", 0)
    fails_with(StoreUnavailable, store.get, "key")
    fails_with(StoreUnavailable, store.grant_lease, 1.0)
    bench.faults.clear()
    assert store.get("key") is None


def errors_of_some_kinds(bench):
    store = bench.store
    bench.faults.change({"errors": ["put"], "calls": 2, "key_prefix": "a/"})
    fails_with(StoreUnavailable, store.put_if, "a/1", b"value", 0)
    assert store.get("a/1") is None
    assert store.put_if("b/1", b"value", 0)
    fails_with(StoreUnavailable, store.put_if, "a/1", b"value", 0)
    assert store.put_if("a/1", b"value", 0)


def lost_answer_leaves_effect(bench):
    store = bench.store
    lost = [kind.value for kind in CallKind if kind not in READ_KINDS]
    bench.faults.change({"lost_answers": lost})
    fails_with(StoreAnswerLost, store.put_if, "key", b"value", 0)
    found = store.get("key")
    assert found.value == b"value"
    fails_with(StoreAnswerLost, store.delete_if, "key", found.version)
    assert store.get("key") is None
    bench.faults.clear()
    bench.faults.change({"lost_answers": ["get"], "calls": 1})
    fails_with(StoreUnavailable, store.get, "key")


def large_value_is_refused(bench):
    fails_with(ValueTooLarge, bench.store.put_if, "key", bytes(MAX_VALUE_BYTES + 1), 0)
    assert bench.store.put_if("key", bytes(MAX_VALUE_BYTES), 0)
    assert len(bench.store.get("key").value) == MAX_VALUE_BYTES


def start_watch(bench, version):
    """Start a watch and return once the store has counted it."""
    before = bench.faults.plan.calls[CallKind.WATCH]
    waiting = gevent.spawn(bench.store.watch, "key", version, TIMEOUT_SECONDS)
    wait_until(lambda: bench.faults.plan.calls[CallKind.WATCH] > before)
    return waiting


def result_of(waiting):
    with gevent.Timeout(TIMEOUT_SECONDS / 2, AssertionError("the watch did not return")):
        return waiting.get()


def wait_until(condition):
    never = Event()
    ends = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < ends, "the condition did not come true"
        never.wait(POLL_SECONDS)


RULES = {
    "a write needs the expected version": write_needs_version,
    "a version never repeats after a deletion": versions_never_repeat,
    "a deletion needs the expected version": deletion_needs_version,
    "a list is ordered and limited to the prefix": list_is_ordered,
    "a lapsed lease removes its keys and refuses renewals": expired_lease,
    "a renewed lease outlives its time to live": renewed_lease,
    "a revoked lease removes its keys": revoked_lease,
    "a watch returns a newer version and None after its timeout": watch_returns,
    "a watch ends when the key is deleted": watch_ends_with_deletion,
    "a waiting watch counts as one call": watch_counts_once,
    "an outage refuses every call without effect": outage_refuses,
    "errors can be limited to some kinds of call": errors_of_some_kinds,
    "a lost answer leaves its effect": lost_answer_leaves_effect,
    "a value above one megabyte is refused": large_value_is_refused,
}
