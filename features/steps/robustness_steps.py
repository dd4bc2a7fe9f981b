"""Steps for unexpected errors and malformed stored items."""

import logging
from unittest import mock

import gevent
from behave import given, then, when
from workflow_support import step

from acaciastand.cluster import supervision
from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    JOBS_PREFIX,
    OWNER_KEY,
    PROGRESS_PREFIX,
    OwnerRecord,
    encode_fields,
    encode_job,
    encode_progress,
)
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.peers import answer_forward
from acaciastand.cluster.supervision import supervised
from acaciastand.coordination.transactions import Item, MemoryTransactionalStore
from acaciastand.errors import AcaciastandError
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.connection import Listener, dial
from acaciastand.wire.messages import Forward, ForwardReply
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job, TaskState
from acaciastand.workflow.spec import WorkflowSpec

FIRST, SECOND = "00000000000000a1", "00000000000000a2"
AGENT_ID = "agent-1"
ITEM_KEYS = {
    "the first job": JOBS_PREFIX + FIRST,
    "the progress of the first job": PROGRESS_PREFIX + FIRST,
    "the registration of the agent": AGENTS_PREFIX + AGENT_ID,
}
MALFORMED_VALUES = (b"", b"\xff", b"\xa1\x01\x02", encode_fields([1]))


class Records(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@given("a loop that fails with an unexpected error {count:d} times")
def given_loop(context, count):
    context.runs, context.failures = 0, count
    context.metrics = Metrics()


@when("it runs under supervision")
def when_supervised(context):
    def poll_forever():
        context.runs += 1
        if context.runs <= context.failures:
            raise ZeroDivisionError("float division by zero")

    context.records = Records()
    supervision.logger.addHandler(context.records)
    try:
        with mock.patch.object(supervision, "RESTART_PAUSE_SECONDS", 0.001):
            supervised(poll_forever, context.metrics)()
    finally:
        supervision.logger.removeHandler(context.records)


@then("it has gone on after each error")
def then_gone_on(context):
    assert context.runs == context.failures + 1


@then("it has run once")
def then_once(context):
    assert context.runs == 1 and not context.records.records


@then("each error is counted and logged")
def then_counted(context):
    assert len(context.records.records) == context.failures
    assert all(record.exc_info for record in context.records.records)
    counted = f'acaciastand_unexpected_errors_total{{loop="poll_forever"}} {context.failures}.0'
    assert counted in context.metrics.text().decode()


@given("a store with two jobs and an agent")
def given_store(context):
    context.store = MemoryTransactionalStore()
    for job_id in (FIRST, SECOND):
        job = Job(job_id, "checks", WorkflowSpec("", [step()]), 1.0)
        items = {JOBS_PREFIX + job_id: encode_job(job)}
        items[PROGRESS_PREFIX + job_id] = encode_progress(job.progress())
        context.store.commit({}, items)
    context.store.commit({}, {AGENTS_PREFIX + AGENT_ID: encode_fields(["127.0.0.1:1", "zone-a"])})


@given("{item} in the store is malformed")
def given_malformed(context, item):
    context.malformed_key = ITEM_KEYS[item]


@when("an owner reads the jobs")
def when_read(context):
    context.owners = []
    for value in MALFORMED_VALUES:
        context.store.commit({}, {context.malformed_key: value})
        owner_key = context.store.get(OWNER_KEY)
        record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
        fence = context.store.commit({OWNER_KEY: owner_key.revision}, {OWNER_KEY: record.encode()})
        owner = Owner(
            context.store, record, fence, now(), now(), Catalog(), 0.4, Metrics(), lambda _: None
        )
        context.owners.append(owner)
        assert owner._load(), value
        owner.stop()


@then("it schedules the jobs except {skipped}")
def then_scheduled(context, skipped):
    expected = {SECOND} if skipped == "the first" else {FIRST, SECOND}
    for owner in context.owners:
        assert set(owner.scheduler.jobs) == expected, owner.scheduler.jobs


@then("the first job has no task that waits")
def then_not_waiting(context):
    for owner in context.owners:
        waiting = [*owner.scheduler.waiting, *owner.scheduler.uncertain]
        assert not [key for key in waiting if key.startswith(FIRST)], waiting


@when("a malformed submission and then a new job arrive")
def when_inbox(context):
    good = Item(JOBS_PREFIX + context.job.job_id, encode_job(context.job), 90)
    bad = [Item(JOBS_PREFIX + FIRST, value, 80) for value in MALFORMED_VALUES]
    context.owner._apply_items([*bad, good])
    assert FIRST not in context.owner.scheduler.jobs
    states = [t.state for t in context.owner.scheduler.jobs[context.job.job_id].tasks.values()]
    assert states == [TaskState.WAITING]


@when('another entry sends the call "{call}" without its arguments')
def when_malformed_call(context, call):
    names = {"ping": "entry_id", "state": "job_id"}
    context.reply = answer_forward(lambda name, payload: payload[names[name]], Forward(call, {}))


@then("the answer says that the outcome is unknown")
def then_unknown(context):
    assert context.reply.code == "invalid_input" and context.reply.outcome == "unknown"


@given("a connection whose handler fails for the first message")
def given_failing_handler(context):
    def handle(_connection, message):
        if message.call == "first":
            raise ZeroDivisionError("float division by zero")
        return ForwardReply({"call": message.call})

    listener = Listener("127.0.0.1:0", handle)
    listener.start()
    context.stack.callback(listener.close)
    context.connection = dial(listener.address, lambda *_: None)
    context.stack.callback(context.connection.close)


@when("two messages are sent")
def when_sent(context):
    try:
        context.connection.request(Forward("first", {}), 0.2)
        raise AssertionError("the failed message was answered")
    except AcaciastandError:
        gevent.sleep(0)
    context.reply = context.connection.request(Forward("second", {}), 2.0)


@then("the second one is answered")
def then_answered(context):
    assert context.reply.result == {"call": "second"}
