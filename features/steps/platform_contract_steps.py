"""Steps for the contracts of the platform's interfaces."""

import json

from behave import given, then, when
from waiting import raise_error

from acaciastand.cluster.catalog_copy import CatalogCopy
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    CommitConflict,
    HistoryDropped,
    MemoryTransactionalStore,
)
from acaciastand.errors import InvalidInput
from acaciastand.platform.kv import PlatformStore
from acaciastand.platform.operator import decode_catalog, decode_job
from acaciastand.platform.tasks import decode_announcement
from acaciastand.telemetry.metrics import Metrics
from acaciastand_standin.platform_store import PlatformStoreStandIn

PAGE_JOB = {
    "spec": "(text)",
    "steps": [
        {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1-3"},
        {
            "count": 20,
            "cpu": 2000,
            "memMb": 1024,
            "after": [0],
            "checkpointing": True,
            "fillCount": True,
            "antiAffinity": 2,
            "longRunning": True,
            "targetMs": 18.5,
        },
    ],
}
ANNOUNCEMENT = {
    "service": "desk", "addr": "10.0.0.1:1", "zone": "a", "state": "ready", "seq": 4, "born": 5,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a", "r1-3"],
}  # fmt: skip


@given('a transactional store of kind "{kind}"')
def given_store(context, kind):
    if kind == "memory":
        context.fault = ""
        context.store = MemoryTransactionalStore(lambda call: context.fault)
        context.back = context.store
        return
    context.stand_in = PlatformStoreStandIn()
    context.stand_in.start()
    context.stack.callback(context.stand_in.stop)
    context.back = context.stand_in.store
    context.store = PlatformStore(f"http://{context.stand_in.address}")
    context.stack.callback(context.store.close)


@then('rule "{rule}" holds')
def then_rule(context, rule):
    RULES[rule](context)


def absent(context):
    assert context.store.get("a/none").revision == 0


def all_or_nothing(context):
    first = context.store.commit({"a/1": 0}, {"a/1": b"x", "a/2": b"\x00\xff"})
    assert context.store.get("a/2").value == b"\x00\xff"
    try:
        context.store.commit({"a/1": first, "a/2": first + 5}, {"a/1": b"y", "a/3": b"z"})
    except CommitConflict:
        pass
    else:
        raise AssertionError("the commit took effect")
    assert context.store.get("a/1").value == b"x"
    assert context.store.get("a/3").revision == 0


def conflict(context):
    revision = context.store.commit({"a/1": 0}, {"a/1": b"x"})
    try:
        context.store.commit({"a/1": 0, "a/2": 0}, {"a/1": b"y"})
    except CommitConflict as found:
        assert found.current["a/1"].revision == revision
        assert found.current["a/1"].value == b"x"
        assert found.current["a/2"].revision == 0
    else:
        raise AssertionError("the commit took effect")


def prefix(context):
    context.store.commit({}, {"b/2": b"2", "b/1": b"1", "c/1": b"3"})
    listing = context.store.list("b/")
    assert [item.key for item in listing.items] == ["b/1", "b/2"]
    assert listing.revision >= listing.items[0].revision


def watch(context):
    after = context.store.list("a/").revision
    context.store.commit({}, {"a/1": b"x", "other": b"y"})
    changes = context.store.watch("a/", after, 0.2)
    assert [(item.key, item.value) for item in changes.items] == [("a/1", b"x")]
    assert not context.store.watch("a/", changes.revision, 0.05).items


def dropped(context):
    context.store.commit({}, {"a/1": b"x"})
    context.back.forget_history()
    try:
        context.store.watch("a/", 1, 0.1)
    except HistoryDropped:
        return
    raise AssertionError("the watch went on")


def removal(context):
    after = context.store.commit({}, {"a/1": b"x"})
    context.store.commit({}, {}, ["a/1"])
    assert context.store.watch("a/", after, 0.2).deleted == ["a/1"]


def pages(context):
    for number in range(0, 1200, 30):
        keys = {f"p/{number + n:05}": b"v" for n in range(30)}
        context.back.commit({}, keys)
    listing = context.store.list("p/")
    assert len(listing.items) == 1200 == len({item.key for item in listing.items})


def turned_away(context):
    context.stand_in.down = True
    for call in (lambda: context.store.get("a"), lambda: context.store.commit({}, {"a": b""})):
        try:
            call()
        except StoreUnavailable:
            continue
        raise AssertionError("the call was answered")
    context.stand_in.down = False
    assert context.store.get("a").revision == 0


def lost(context):
    if hasattr(context, "stand_in"):
        context.stand_in.lost_share = 1.0
    else:
        context.fault = "lost"
    try:
        context.store.commit({"a": 0}, {"a": b"x"})
    except StoreAnswerLost:
        context.fault = ""
        assert context.store.get("a").value == b"x"
        return
    raise AssertionError("the answer came")


RULES = {
    "absent key has revision 0": absent,
    "commit is all or nothing": all_or_nothing,
    "conflict shows current items": conflict,
    "list is by prefix": prefix,
    "watch tells what changed": watch,
    "watch without history fails": dropped,
    "removal is told": removal,
    "list crosses pages": pages,
    "turned away is not done": turned_away,
    "lost answer is unknown": lost,
}
BAD_JOBS = {
    "bytes that are not JSON": b"\xff{",
    "no steps": b'{"spec":"x"}',
    "a step of no tasks": b'{"steps":[{"count":0}]}',
    "a step after a later step": b'{"steps":[{"count":1,"after":[1]},{"count":1}]}',
    "a step after itself": b'{"steps":[{"count":1,"after":[0]}]}',
    "a payload that is too long": json.dumps(
        {"spec": "x" * 4001, "steps": [{"count": 1}]}
    ).encode(),
    "too many tasks": b'{"steps":[{"count":20001}]}',
    "steps that are a number": b'{"steps":3}',
}


@when("a submission with {fault} is decoded")
def when_bad_job(context, fault):
    context.decode = lambda: decode_job(BAD_JOBS[fault])


@then("it is refused as invalid input")
def then_invalid(context):
    try:
        context.decode()
    except InvalidInput as error:
        assert error.remedy
        return
    raise AssertionError("it was taken")


@when("the submission of the protocol page is decoded")
def when_page_job(context):
    context.spec = decode_job(json.dumps(PAGE_JOB).encode())


@then("its sizes, dependencies and flags are those of the page")
def then_page_job(context):
    first, second = context.spec.steps
    assert (first.count, first.size.cores, first.size.memory_mb) == (4, 0.5, 256)
    assert (first.data_rack, first.estimate_seconds) == ("r1-3", 0.9)
    assert second.after == [0] and second.saves_progress and second.uses_leftover
    assert (second.max_per_worker, second.continuous, second.target_ms) == (2, True, 18.5)
    assert second.reserved.cores == 0.0 and first.reserved.cores == 0.5


@when("an announcement with {fault} is decoded")
def when_bad_announcement(context, fault):
    changes = {
        "no capacity": {"capacity": None},
        "an unknown state": {"state": "resting"},
        "a sequence of text": {"seq": "4"},
        "cores that are a boolean": {"capacity": {"cpu": True, "memMb": 1}},
        "labels of numbers": {"labels": [1]},
    }
    body = json.dumps({**ANNOUNCEMENT, **changes.get(fault, {})}).encode()
    body = b"\xff" if fault.startswith("bytes") else body
    context.decode = lambda: decode_announcement("i-1", body)


@when("a configuration with two nested prefixes is decoded")
def when_configuration(context):
    routes = [
        {"name": "short", "host": "h", "prefix": "/a/", "service": "s"},
        {"name": "long", "host": "h", "prefix": "/a/b/", "service": "s"},
    ]
    context.catalog = decode_catalog(
        json.dumps({"version": 1, "routes": routes}).encode(), raise_error
    )


@then("a path below both selects the longer one")
def then_longer(context):
    assert context.catalog.find_queue("h", "/a/b/c").name == "long"
    assert context.catalog.find_queue("h", "/a/c").name == "short"


@then("a path of another host selects none")
def then_none(context):
    assert context.catalog.find_queue("other", "/a/b/c") is None


@given("an entry that uses configuration version {version:d}")
def given_entry(context, version):
    context.entry = CatalogCopy(
        MemoryTransactionalStore(lambda call: ""), lambda catalog: None, Metrics()
    )
    offer(context, version)


def offer(context, version):
    data = json.dumps({"version": version, "routes": []}).encode()
    context.entry.adopt(data, "test")


@when("it is offered versions 4, 7 and 9")
def when_offered(context):
    context.seen = []
    for version in (4, 7, 9):
        offer(context, version)
        context.seen.append(context.entry.catalog.version)


@then("it uses version 9 and adopted one")
def then_version(context):
    assert context.seen == [7, 7, 9], context.seen
