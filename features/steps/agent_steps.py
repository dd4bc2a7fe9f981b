"""Steps on the agent with stand-ins of its worker and target; the entry is a fake in the test."""

import logging
import random
import time

import gevent
from behave import given, then, when
from skew import of_version
from waiting import wait_for

from acaciastand.agent.daemon import Agent
from acaciastand.host import BUCKETS_PER_SERVICE, Attempt, Grant
from acaciastand.host.keyed import MAX_KEYS_PER_SERVICE
from acaciastand.host.ledger import MAX_ATTEMPTS
from acaciastand.host.requests import MAX_REQUEST_BYTES
from acaciastand.resources import Resources
from acaciastand.settings.process import AgentSettings
from acaciastand.telemetry import Counters
from acaciastand.wire.connection import Listener
from acaciastand.wire.messages import (
    PROTOCOL_VERSION,
    AttemptName,
    AttemptReport,
    Drain,
    Execute,
    GrantAttempt,
    Heartbeat,
    HeartbeatReply,
    Hello,
    ReportConfirmed,
    SettingsUpdate,
    ShardEpoch,
    Welcome,
)
from acaciastand_standin.http import serve_json
from acaciastand_standin.target import Target
from acaciastand_standin.worker import Worker

WAIT_SECONDS = 10.0
SERVICE = "shop"
SITE = "firm/region/site"
CAPACITY = {"cores": 4, "memory_mb": 1000, "accelerators": 0}
EPOCH = 5


class FakeEntry:
    """Listener that replies to the agent like an entry that owns shard 1.

    `version` is the protocol version of its frames.
    """

    def __init__(self):
        self.sequence = 0
        self.version = PROTOCOL_VERSION
        self.renews = True
        self.surging = False
        self.ignored_reports = 0
        self.reports = []
        self.other_messages = []
        self.connection = None
        self.listener = Listener("127.0.0.1:0", self.handle)
        self.listener.start()

    def rewrite_frame_versions(self, connection):
        send = connection._send_frame
        connection._send_frame = lambda data, *limit: send(of_version(data, self.version), *limit)

    def handle(self, connection, message):
        if isinstance(message, Hello):
            self.rewrite_frame_versions(connection)
            self.connection = connection
            self.hello = message
            return Welcome("entry-1", 0.1, owned_shards=[ShardEpoch(1, EPOCH)])
        if isinstance(message, Heartbeat):
            self.sequence = message.sequence
            self.listed_task_ids = {attempt.task_id for attempt in message.attempts}
            attempts = message.attempts if self.renews else []
            renewed = [AttemptName(a.task_id, a.attempt) for a in attempts]
            owned = [ShardEpoch(1, EPOCH)]
            return HeartbeatReply(message.sequence, 0, owned, renewed, surging=self.surging)
        if isinstance(message, AttemptReport):
            self.reports.append(message)
            if len(self.reports) > self.ignored_reports:
                return ReportConfirmed(message.shard, message.task_id, message.attempt)
            return Drain("not a confirmation")
        self.other_messages.append(message)
        return None

    def request(self, message):
        return self.connection.request(message, WAIT_SECONDS)


@given("an agent with its worker and target, connected to one entry")
def step_agent(context):
    context.worker, context.target, context.entry = Worker(CAPACITY), Target(), FakeEntry()
    context.stack.callback(context.entry.listener.close)
    context.stack.callback(gevent.spawn(context.worker.run_timer).kill)
    urls = []
    for stand_in in (context.worker, context.target):
        server = serve_json("127.0.0.1:0", stand_in.answer)
        server.start()
        context.stack.callback(server.stop, 0.1)
        urls.append(f"http://127.0.0.1:{server.server_port}")
    settings = AgentSettings(
        agent_id="agent-1",
        path=SITE,
        availability_zone="gent",
        rack="rack-1",
        services=[SERVICE],
        worker_url=urls[0],
        target_url=urls[1],
        entries=[context.entry.listener.address],
    )
    context.agent = Agent(settings, Counters(), time.monotonic, random.Random(1))
    context.stack.callback(context.agent.close)
    context.agent.start()
    wait_for(lambda: context.entry.sequence, "the first heartbeat")
    context.host = context.agent.host
    context.request = Execute("request-1", SERVICE, b"body", 1000)
    context.grant = grant(context, "job/1")


def grant(context, task, attempt=1, seconds=0.2, cores=1.0, grant_seconds=10.0):
    size = Resources(cores, 100, 0)
    return GrantAttempt(
        1, EPOCH, task, attempt, size, seconds, "", "b", context.entry.sequence, grant_seconds
    )


def stop_polls(context):
    gevent.killall(context.agent._tasks[:2])  # The loops that poll worker and target.


def fill_keys(context):
    table = context.host.requests.key_tables[SERVICE]
    send_grant = context.entry.request
    for number in range(BUCKETS_PER_SERVICE):
        assert send_grant(grant(context, f"bucket/{SERVICE}/{number}", cores=0)).accepted
    for number in range(MAX_KEYS_PER_SERVICE):
        table.record_start(f"filler-{number}", time.monotonic())
    context.request = context.request.replace(key="k", attempt_number=1)


def fill_ledger(context):
    for number in range(MAX_ATTEMPTS - len(context.host.ledger.attempts)):
        filler = Grant(1, 0, f"bucket/{SERVICE}/0{number}", 1, Resources())
        context.host.ledger.add_attempt(Attempt(filler, float("inf"), 0.0))


def set_up_fault(context, reason):
    host, slots = context.host, context.host.requests.slots
    request, offered = context.request, context.grant
    stop_polls(context)
    if reason == "no_slot":
        slots.running.update(str(number) for number in range(slots.slot_limit))
    elif reason == "no_connection":
        slots.open_connections = slots.connection_limit
    elif reason == "draining":
        host.drain()
    elif reason == "recovering":
        host.worker_known = False
    elif reason == "target_down":
        host.target_up = False
    elif reason == "unknown_service":
        context.request = request.replace(service="other")
    elif reason == "deadline_too_short":
        context.request = request.replace(timeout_ms=1)
    elif reason == "deadline_passed":
        context.request = request.replace(timeout_ms=0)
    elif reason == "body_too_large":
        context.request = request.replace(body=bytes(MAX_REQUEST_BYTES + 1))
    elif reason == "bucket_not_held":
        context.request = request.replace(key="k", attempt_number=1)
    elif reason == "ledger_full":
        fill_keys(context)
        fill_ledger(context)
    elif reason == "over_capacity":
        context.grant = offered.replace(size=Resources(CAPACITY["cores"] + 0.1, 0, 0))
    elif reason == "stale_grant":
        context.grant = offered.replace(heartbeat_sequence=10_000)
    elif reason == "stale_epoch":
        context.grant = offered.replace(epoch=EPOCH - 1)
    elif reason == "old_attempt":
        host.stop_attempt(1, EPOCH, "job/1", 1, False, time.monotonic())
    elif reason == "earlier_attempt_held":
        earlier = Grant(1, EPOCH, "job/1", 0, Resources())
        host.ledger.add_attempt(Attempt(earlier, float("inf"), 0.0))
        host.ledger.attempts["job/1"].command_in_progress = True
    else:
        assert reason == "worker_unavailable", reason
        host.worker_up = False


@given('the fault "{reason}"')
def step_fault(context, reason):
    set_up_fault(context, reason)


@when("the entry sends the request of that fault")
def step_send_request(context):
    context.reply = context.entry.request(context.request)


@when("the entry sends the grant of that fault")
def step_send_grant(context):
    context.reply = context.entry.request(context.grant)


@then('the reply says {outcome} because of "{reason}"')
def step_reply(context, outcome, reason):
    reply = context.reply
    assert (reply.status, reply.outcome, reply.reason) == (0, outcome.replace(" ", "_"), reason)


@then('the grant is refused because of "{reason}"')
def step_grant_refused(context, reason):
    assert not context.reply.accepted and context.reply.reason == reason, context.reply


@then("the target has not executed the request")
def step_not_executed(context):
    gevent.sleep(0.05)  # A request that is wrongly sent would arrive within this time.
    assert context.target.by_request.total() == 0


@then("the worker has started nothing")
def step_not_started(context):
    gevent.sleep(0.3)  # Three intervals at which the agent issues commands.
    assert context.worker.runs == []


@given('the target\'s answers are "{fault}"')
def step_target_fault(context, fault):
    if fault == "truncated":
        context.target.break_off = 1
    else:
        context.target.thawed.clear()
        original = context.target._execute
        # A stand-in that is frozen before a request arrives does not count it, so it is frozen when
        # it executes the request.
        context.target.thawed.set()

        def execute(body, headers):
            context.target.thawed.clear()
            return original(body, headers)

        context.target._execute = execute
        context.stack.callback(context.target.thawed.set)


@when("the entry sends a request with a timeout of {milliseconds:d} ms")
def step_timed_request(context, milliseconds):
    context.reply = context.entry.request(context.request.replace(timeout_ms=milliseconds))


@then("the target has executed the request once")
def step_executed_once(context):
    assert dict(context.target.by_request) == {"request-1": 1}


@given("the entry ignores the first {count:d} reports")
def step_ignore(context, count):
    context.entry.ignored_reports = count


@when("the entry grants a task of {seconds:f} s")
def step_grant_task(context, seconds):
    assert context.entry.request(grant(context, "job/1", seconds=seconds)).accepted
    wait_for(lambda: context.worker.runs, "the task starts")


@then("it receives {count:d} reports that the task completed")
def step_reports(context, count):
    wait_for(lambda: len(context.entry.reports) >= count, "the reports")
    assert {report.result for report in context.entry.reports} == {"completed"}


@then("the agent tracks no attempt and the worker ran the task once")
def step_forgotten(context):
    wait_for(lambda: not context.host.ledger.attempts, "the host forgets the result")
    wait_for(lambda: not context.worker.tasks, "the worker forgets the task")
    assert len(context.worker.runs) == 1 and len(context.entry.reports) == 3


@given("the entry renews nothing")
def step_no_renewals(context):
    context.entry.renews = False


@when("the entry grants a task of {seconds:f} s for {grant_seconds:f} s")
def step_short_grant(context, seconds, grant_seconds):
    offered = grant(context, "job/1", seconds=seconds, grant_seconds=grant_seconds)
    assert context.entry.request(offered).accepted


@then("the worker has paused the task")
def step_paused(context):
    wait_for(lambda: [run["end"] for run in context.worker.runs] == ["paused"], "the pause")


@when("the entry renews again")
def step_renew_again(context):
    context.entry.renews = True


@then("the worker completes the task in {count:d} runs")
def step_completed(context, count):
    ends = lambda: [run["end"] for run in context.worker.runs]  # noqa: E731
    wait_for(lambda: "finished" in ends(), "the completion")
    assert len(ends()) == count, ends()


@when("the entry grants all buckets and sends {count:d} requests with one key at once")
def step_keys(context, count):
    for number in range(BUCKETS_PER_SERVICE):
        context.entry.request(grant(context, f"bucket/{SERVICE}/{number}", cores=0))
    requests = [
        context.request.replace(request_id=f"r{n}", key="k", attempt_number=n)
        for n in range(1, count + 1)
    ]
    jobs = [gevent.spawn(context.entry.request, message) for message in requests]
    gevent.joinall(jobs, WAIT_SECONDS, raise_error=True)
    context.replies = [job.value for job in jobs]


@then("all {count:d} replies are equal and the target ran the key once")
def step_same_answers(context, count):
    assert len({(reply.status, reply.body) for reply in context.replies}) == 1, context.replies
    assert context.replies[0].status == 200 and dict(context.target.by_key) == {"k": 1}


@given("the entry's frames have version {version:d}")
def step_entry_version(context, version):
    step_change_entry_version(context, version)
    first = context.entry.connection
    wait_for(lambda: context.entry.connection is not first, "a new connection")
    (link,) = context.agent.link_pool.links.values()
    wait_for(lambda: link.is_open and link.owned_epochs, "the agent knows the entry as the owner")
    wait_for(lambda: context.entry.sequence, "a heartbeat on the new connection")


@when("the entry's frames have version {version:d}")
def step_change_entry_version(context, version):
    context.entry.version = version
    context.entry.sequence = 0
    context.entry.connection.close()


@then("the agent counts a refused version and is not connected")
def step_refuses_version(context):
    totals = context.agent.counters.totals
    wait_for(lambda: totals().get("agent.wire.version_refused"), "the version is refused")
    assert not any(link.is_open for link in context.agent.link_pool.links.values())


@given("the heartbeat interval is 5 s")
def step_interval(context):
    (link,) = context.agent.link_pool.links.values()
    link.heartbeat_seconds = 5.0
    sequence = context.entry.sequence
    wait_for(lambda: context.entry.sequence > sequence, "the last heartbeat at the old interval")


@when("the entry grants a bucket")
def step_grant_bucket(context):
    assert context.entry.request(grant(context, f"bucket/{SERVICE}/0", cores=0)).accepted


@then("the agent lists the bucket within 1 s")
def step_bucket_listed(context):
    with gevent.Timeout(1.0, AssertionError("the agent did not list the bucket")):
        while f"bucket/{SERVICE}/0" not in context.entry.listed_task_ids:
            gevent.sleep(0.01)


@then("the agent has announced its site")
def step_announced_site(context):
    assert context.entry.hello.path == SITE, context.entry.hello


@when('the entry sends the log level "{level}" with revision {revision:d}')
@when('the entry sends the log level "" with revision {revision:d}')
def step_send_log_level(context, revision, level=""):
    root = logging.getLogger()
    context.stack.callback(root.setLevel, root.level)
    context.entry.connection.send(SettingsUpdate(revision, {"log_level": level}))
    wait_for(lambda: context.agent.effective_settings.revision == revision, "the settings")


@then('the process logs at level "{level}"')
def step_log_level(context, level):
    current = logging.getLevelName(logging.getLogger().level)
    assert current == level.upper(), current


@when("the agent is asked to stop")
def step_ask_stop(context):
    context.agent.request_stop()


@then('the entry receives a drain message and a report "{result}" with a checkpoint')
def step_drained(context, result):
    assert context.agent.stopped.wait(WAIT_SECONDS)
    assert any(isinstance(message, Drain) for message in context.entry.other_messages)
    assert [report.result for report in context.entry.reports] == [result]
    assert context.entry.reports[0].checkpoint.startswith("progress:")
