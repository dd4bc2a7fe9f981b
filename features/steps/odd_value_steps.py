"""Steps for odd values in the store and in messages of other processes."""

import itertools
import json
import math
import sys
from unittest import mock

import cbor2
import hypothesis
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from odd_values import NESTING, OddValues
from workflow_support import QUEUES, step

from acaciastand.checks import MALFORMED, MAX_INTEGER
from acaciastand.cluster.agent import Agent
from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.claim import claim, decode_owner
from acaciastand.cluster.clock import now
from acaciastand.cluster.entry import JobEntry
from acaciastand.cluster.job_api import INBOX_ITEM_CALL, JobApi
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    CANCELS_PREFIX,
    INTERFERENCE_KEY,
    JOBS_PREFIX,
    OWNER_HEARTBEAT_KEY,
    OWNER_KEY,
    PROGRESS_PREFIX,
    OwnerRecord,
    decode_job,
    encode_fields,
    encode_job,
    encode_progress,
)
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.peers import PeerStatus
from acaciastand.cluster.run_reports import decode_report, encode_report
from acaciastand.cluster.settings import JobAgentSettings, JobEntrySettings
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.cluster.worker_controller import WorkerController
from acaciastand.coordination.store import StoreUnavailable
from acaciastand.coordination.transactions import (
    CommitConflict,
    HistoryDropped,
    Item,
    MemoryTransactionalStore,
)
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.platform import operator
from acaciastand.platform.http import HttpAnswer
from acaciastand.platform.kv import PlatformStore
from acaciastand.platform.tasks import TaskClient, decode_announcement
from acaciastand.resources import Resources
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.messages import RunGrant, RunReport, StartRun
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    CrashedRun,
    EndedRun,
    PollPosition,
    StartCommand,
    StartOutcome,
    WorkerCrash,
    WorkerIdentity,
)
from acaciastand.workflow.spec import WorkflowSpec

GOOD, ODD, LATER = "00000000000000a1", "00000000000000a2", "00000000000000a3"
AGENT, OTHER = "agent-1", "agent-2"
ADDRESS = "127.0.0.1:1"
STEPS = [step(2), step(1, after=[0], seconds=2.0)]
ANNOUNCEMENT = {
    "service": "desk", "addr": "10.0.0.1:1", "zone": "a", "state": "ready", "seq": 4, "born": 5,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0}, "labels": ["a", "r1-3"],
}  # fmt: skip
SUBMISSION = {
    "spec": "text",
    "steps": [{"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900, "image": "i"},
              {"count": 1, "cpu": 500, "after": [0], "targetMs": 5, "mayMiss": 1}],
    "repeatCount": 2, "startAtMs": 1000, "intervalMs": 500,
}  # fmt: skip
ROUTE = {
    "name": "odd", "host": "h", "prefix": "/odd/", "service": "desk", "priority": 1,
    "maxAttempts": 3, "stretch": 2.0, "targetLatencyMs": 250, "advice": {"decideMs": 5},
}  # fmt: skip


@given("odd values by seed {seed:d}")
def given_odd(context, seed):
    context.seed = seed


def for_each_example(context, count):
    """Run a check at once with odd values that hypothesis draws and shrinks, `count` times."""

    def run(check):
        numbers = itertools.count()

        @hypothesis.seed(context.seed)
        @settings(
            max_examples=count,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        )
        @hypothesis.given(st.randoms(use_true_random=False))
        def examples(random):
            context.odd = OddValues(random)
            check(next(numbers))

        examples()
        return check

    return run


def identity(agent_id=AGENT):
    return WorkerIdentity(
        f"w-{agent_id}", 5_000, "desk", ADDRESS, "a", Resources(16.0, 64_000, 0), ["a", "r1"]
    )


def job(job_id):
    return Job(job_id, "checks", WorkflowSpec("text", STEPS), 1.0)


def plain_job():
    return cbor2.loads(encode_job(job(ODD)))


def plain_progress():
    started = job(ODD)
    for task in started.tasks.values():
        task.run, task.failures, task.ended_runs = 2, 1, {1}
    return [*cbor2.loads(encode_progress(started.progress()))]


PLAIN = {
    "members/agents/": (AGENTS_PREFIX + OTHER, [ADDRESS, "zone-a"]),
    "inbox/jobs/": (JOBS_PREFIX + ODD, plain_job()),
    "inbox/cancels/": (CANCELS_PREFIX + ODD, 1.5),
    "progress/": (PROGRESS_PREFIX + ODD, plain_progress()),
    "learned/": (INTERFERENCE_KEY, [[["a", "b", 0.1, 0.01]]]),
}


def new_owner(store):
    current = store.get(OWNER_KEY)
    record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
    fence = store.commit({OWNER_KEY: current.revision}, {OWNER_KEY: record.encode()})
    catalog = Catalog(1, list(QUEUES), ["desk"])
    return Owner(store, record, fence, now(), now(), catalog, 0.4, Metrics(), lambda _: None)


def good_store():
    store = MemoryTransactionalStore()
    store.commit(
        {},
        {
            JOBS_PREFIX + GOOD: encode_job(job(GOOD)),
            JOBS_PREFIX + ODD: encode_job(job(ODD)),
            AGENTS_PREFIX + AGENT: encode_fields([ADDRESS, "zone-a"]),
        },
    )
    return store


def started_jobs(owner):
    """Let the known agents report and plan twice; return the ids of the jobs that have started."""
    started = set()
    scheduler = owner.scheduler
    for agent_id, view in scheduler.workers.items():
        view.reachable = True
        report = AgentReport(identity(agent_id), PollPosition(1, 1))
        scheduler.process_report(agent_id, report, now(), 1_700_000_000.0)
    for _ in range(2):
        starts, _ = scheduler.plan(now(), 1_700_000_000.0, now())
        started |= {start.task.job.job_id for start in starts}
    for changed in list(scheduler.dirty.values()):
        encode_progress(changed.progress())
    return started


@when("an owner takes over with {count:d} odd entries below {prefix}, one at a time")
def when_takes_over(context, count, prefix):
    context.started, context.skipped, context.counted = [], 0, 0
    key, plain = PLAIN[prefix]

    @for_each_example(context, count)
    def check(_):
        store = good_store()
        store.commit({}, {key: context.odd.encoded(plain)})
        owner = new_owner(store)
        assert owner._load()
        context.started.append(started_jobs(owner))
        context.counted += "acaciastand_values_ignored_total{" in owner.metrics.text().decode()
        context.skipped += ODD not in owner.scheduler.jobs
        owner.stop()


@then("each time it has started the other job")
def then_started(context):
    assert all(GOOD in started for started in context.started), context.started


@then("each skipped entry is counted")
def then_counted(context):
    assert context.counted >= context.skipped, (context.counted, context.skipped)


@when("an owner at work meets {count:d} odd entries below {prefix}")
def when_at_work(context, count, prefix):
    owner = context.owner = new_owner(good_store())
    assert owner._load()
    started_jobs(owner)
    key, plain = PLAIN[prefix]

    @for_each_example(context, count)
    def check(number):
        item = Item(f"{key[:-2]}{number:02x}"[-200:], context.odd.encoded(plain), 100 + number)
        if prefix.startswith("inbox"):
            item.key = f"{prefix}{1000 + number:016x}"
        owner._apply_items([item])
        started_jobs(owner)


@then("it starts a job that is submitted after them")
def then_starts_later(context):
    owner = context.owner
    # The examples may have taken longer than a heartbeat confirms the ownership.
    owner._record_confirmation(now())
    owner._apply_items([Item(JOBS_PREFIX + LATER, encode_job(job(LATER)), 9_000)])
    for view in owner.scheduler.workers.values():
        view.full_until = 0.0
        for task in list(view.tasks.values()):
            owner.scheduler.end_job(task.job, now(), 1_700_000_000.0)
            owner.scheduler.release(task)
    assert LATER in started_jobs(owner)
    owner.stop()


def new_entry(store):
    settings = JobEntrySettings(
        entry_id="entry-1",
        availability_zone="a",
        http_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        store_url="http://127.0.0.1:1",
    )
    return JobEntry(settings, store, Metrics())


@when("an entry reads {count:d} odd entries below members/entries/ beside a good one")
def when_members(context, count):
    context.connected = []

    @for_each_example(context, count)
    def check(_):
        entry = new_entry(MemoryTransactionalStore())
        plain = ["127.0.0.1:2", "zone-a"]
        items = [
            Item("members/entries/odd", context.odd.encoded(plain), 5),
            Item("members/entries/good", encode_fields(plain), 6),
        ]
        with mock.patch("gevent.spawn"):
            entry._add_members(items)
        context.connected.append(set(entry.peers))


@then("it connects to the good one each time")
def then_connected(context):
    assert all("good" in peers for peers in context.connected), context.connected


@when("an entry finds {count:d} odd owner keys")
def when_owner_keys(context, count):
    context.claims = []

    @for_each_example(context, count)
    def check(_):
        store = MemoryTransactionalStore()
        plain = ["entry-9", "10.0.0.9:1", 7, b"nonce"]
        store.commit({}, {OWNER_KEY: context.odd.encoded(plain)})
        current = store.get(OWNER_KEY)
        ignored = IgnoredValues(Metrics(), now)
        former = decode_owner(current, ignored.recorder(OWNER_KEY))
        heartbeat = store.get(OWNER_HEARTBEAT_KEY)
        won = claim(store, current, heartbeat, former, "entry-1", "10.0.0.1:1", lambda _: None)
        context.claims.append((won, current.revision))


@then("it claims each with an epoch above its revision")
def then_claimed(context):
    for won, revision in context.claims:
        assert won is not None and won[0].epoch > revision


@when("an agent gets {count:d} odd heartbeats")
def when_heartbeats(context, count):
    controller = WorkerController(ADDRESS, 1, lambda: None, Metrics(), 10.0)
    context.controller = controller
    good, sequence = decode_announcement("w-1", json.dumps(ANNOUNCEMENT).encode())
    assert controller.apply_announcement(good, sequence)

    @for_each_example(context, count)
    def check(number):
        body = json.dumps(context.odd.variant(ANNOUNCEMENT), default=str).encode()
        if number % 10 == 0:
            body = b"[" * NESTING
        try:
            odd, _ = decode_announcement("w-1", body)
        except InvalidInput:
            return
        cbor2.loads(cbor2.dumps([v for v in odd.values() if not isinstance(v, Resources)]))


@then("the agent still follows its worker")
def then_follows(context):
    newer = {**ANNOUNCEMENT, "seq": 5, "state": "draining"}
    identity_, sequence = decode_announcement("w-1", json.dumps(newer).encode())
    assert context.controller.apply_announcement(identity_, sequence)
    assert context.controller.identity.draining


@when("a poll returns an odd row among the runs and the ends, {count:d} times")
def when_odd_rows(context, count):
    context.results = []

    @for_each_example(context, count)
    def check(_):
        running = [f"{GOOD}.0.0.0", 1, "saved", 40, 2.5]
        ended = [1, f"{GOOD}.0.0.1", 1, "done", ""]
        fields = {
            "born": 5_000,
            "clockMs": 1_000,
            "running": [context.odd.variant(running), running],
            "finished": [context.odd.variant(ended), ended],
        }
        body = json.dumps(fields, default=str).encode()
        client = TaskClient(ADDRESS, 1, lambda error: None)
        client.caller.call = lambda *arguments, body=body, **options: HttpAnswer(200, body)
        context.results.append(client.poll(None, 0, 0.0))


@then("each time the other rows are processed")
def then_rows(context):
    for result in context.results:
        assert f"{GOOD}.0.0.0" in [run.task for run in result.running]
        assert 1 in [end.number for end in result.ended]


def good_report(agent_id):
    return AgentReport(
        identity(agent_id),
        PollPosition(1, 3),
        [ActiveRun(f"{GOOD}.0.0.0", 1, "saved", 40.0, 2.5)],
        [EndedRun(1, f"{GOOD}.0.0.1", 1, "done")],
        crashes=[WorkerCrash(4_000, [CrashedRun(f"{GOOD}.0.0.0", 1, 0.5)])],
    )


@when("an owner gets {count:d} odd reports of one agent")
def when_reports(context, count):
    owner = context.owner = new_owner(good_store())
    assert owner._load()
    owner.scheduler.add_worker(OTHER, True, now())
    links = {}
    for agent_id in (AGENT, OTHER):
        links[agent_id] = AgentLink(
            agent_id, ADDRESS, "e", 1, owner._handle_report, lambda _: None, owner.ignored
        )
    owner.agents.links = links
    fields = list(encode_report(good_report(AGENT), 100.0).values())

    @for_each_example(context, count)
    def check(_):
        odd = RunReport()
        names = RunReport.fields()
        place = context.odd.random.randrange(len(names))
        values = [
            context.odd.variant(value) if number == place else value
            for number, value in enumerate(fields)
        ]
        # The codec lets only values of the declared type pass.
        for name, value, plain in zip(names, values, fields, strict=True):
            is_number = type(plain) is float and type(value) is int
            setattr(odd, name, value if type(value) is type(plain) or is_number else plain)
        links[AGENT]._handle(mock.Mock(), odd)
        owner.scheduler.plan(now(), 1_700_000_000.0, now())


@then("it still processes the reports of another and plans")
def then_plans(context):
    owner = context.owner
    message = encode_report(AgentReport(identity(OTHER), PollPosition(2, 9)), 100.0)
    grant = owner.agents.links[OTHER]._handle(mock.Mock(), message)
    assert isinstance(grant, RunGrant) and grant.seconds > 0
    # The examples may have taken longer than a heartbeat confirms the ownership.
    owner._record_confirmation(now())
    owner._apply_items([Item(JOBS_PREFIX + LATER, encode_job(job(LATER)), 9_000)])
    owner.scheduler.workers[OTHER].reachable = True
    owner.scheduler.uncertain.clear()
    starts, _ = owner.scheduler.plan(now() + 1.0, 1_700_000_000.0, now() + 1.0)
    assert LATER in {start.task.job.job_id for start in starts}
    owner.stop()


MAX_DIGITS = sys.int_info.default_max_str_digits
GOOD_NAMES = ("a.0.0.0", "a.1.22.333", ".0.0.0", "a-b_c d.0.0.0", "a.0.007.0", "a\n.0.0.0")
ODD_NAMES = (
    "", "a", "a.0.0", "a.0.0.0.0", "a..0.0", "a.0.0.", "a.0.0.0\n", " a.0.0. 0", "a.b.0.0",
    "a.0.0.1x", "a.-1.0.0", "a.+1.0.0", "a.1_0.0.0", "a.1e3.0.0", "a.0x1.0.0", "a.\u00b2.0.0",
    "a.\u2460.0.0",
    "a.0." + "1" * (MAX_DIGITS + 1) + ".0", None, 1, True, b"a.0.0.0", ["a.0.0.0"], {},
)  # fmt: skip
GOOD_NUMBERS = (0, 0.5, 100, MAX_INTEGER, float(MAX_INTEGER), -0.0)
ODD_NUMBERS = (
    math.nan, math.inf, -math.inf, -1, -1e-300, MAX_INTEGER + 1, 1e300, 10**400,
    True, False, None, "", "1", b"1", [], [1], {},
)  # fmt: skip
GOOD_RUN = ["a.0.0.0", 1, "", 100, 0.5]
NAME, RUN, CHECKPOINT, PERCENT, MEASUREMENT = range(5)  # Places in a row of a run.


def with_place(place, value):
    return [value if n == place else field for n, field in enumerate(GOOD_RUN)]


@when("an owner gets a report of runs with good and odd names and numbers")
def when_names(context):
    numbers = (PERCENT, MEASUREMENT)
    context.good = [
        *(with_place(NAME, name) for name in GOOD_NAMES),
        *(with_place(place, number) for place in numbers for number in GOOD_NUMBERS),
        *(with_place(RUN, number) for number in (0, MAX_INTEGER)),
        GOOD_RUN[: RUN + 1],
    ]
    context.bad = [
        *(with_place(NAME, name) for name in ODD_NAMES),
        *(with_place(place, number) for place in numbers for number in ODD_NUMBERS),
        *(with_place(RUN, number) for number in (*ODD_NUMBERS, 1.0, 0.5)),
        *(with_place(CHECKPOINT, value) for value in (None, 1, b"x", [])),
        *([], GOOD_RUN[:1], [*GOOD_RUN, 0], None, "a.0.0.0", {}),
    ]
    pairs = itertools.zip_longest(context.bad, context.good, fillvalue=GOOD_RUN)
    context.rows = [row for pair in pairs for row in pair]
    context.errors = []
    context.report = decode_report(RunReport(running=context.rows), context.errors.append)


@then("the report has the good runs in their order")
def then_good_runs(context):
    good = context.rows[1::2]
    assert good[: len(context.good)] == context.good
    assert context.report.running == [ActiveRun(*row) for row in good]


@then("each odd run is counted")
def then_odd_counted(context):
    assert len(context.errors) == len(context.bad)


@when("an agent gets {count:d} odd grants and start commands")
def when_grants(context, count):
    settings = JobAgentSettings(
        agent_id=AGENT,
        availability_zone="a",
        announce_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        worker_address=ADDRESS,
        store_url="http://127.0.0.1:1",
    )
    agent = context.agent = Agent(settings, MemoryTransactionalStore(), Metrics())
    agent.controller.start = mock.Mock(return_value=StartOutcome.REFUSED)
    order = list(StartCommand(f"{GOOD}.0.0.0", 1, "text").values())
    grant = [[[f"{GOOD}.0.0.0", 5.0, True]], ["a.0.0"], [[f"{GOOD}.0.0.1", 1.0, [5]]]]
    agent.controller.grant_until = now() + 100.0

    @for_each_example(context, count)
    def check(_):
        odd_order = context.odd.variant(order)
        message = StartRun(1, now() + 5.0, 77, odd_order if isinstance(odd_order, list) else [])
        assert agent._handle_start(message).outcome == "refused"
        limits, services, costs = (
            value if isinstance(value, list) else [] for value in map(context.odd.variant, grant)
        )
        connection = agent.owner_connection = mock.Mock()
        connection.request.return_value = RunGrant(4.0, 0, 0, limits, services, costs)
        agent._send_report(connection)


@then("it has started nothing and still answers")
def then_answers(context):
    assert not context.agent.controller.start.called
    order = list(StartCommand(f"{GOOD}.0.0.0", 1, "text").values())
    context.agent._handle_start(StartRun(1, now() + 5.0, 0, order))
    assert context.agent.controller.start.called


@when("the configuration has an odd queue {count:d} times")
def when_odd_queue(context, count):
    context.catalogs = []
    good = {**ROUTE, "name": "good", "prefix": "/good/"}

    @for_each_example(context, count)
    def check(_):
        routes = [context.odd.variant(ROUTE), good]
        data = json.dumps({"version": 5, "routes": routes}, default=str).encode()
        context.catalogs.append(operator.decode_catalog(data, lambda error: None))


@then("each time the other queue is served")
def then_served(context):
    for catalog in context.catalogs:
        assert catalog.find_queue("h", "/good/x").name == "good"


@when("another entry gives {count:d} odd replies")
def when_replies(context, count):
    context.calls = 0
    direct = mock.Mock()
    for call in ("get", "watch", "commit"):
        getattr(direct, call).side_effect = StoreUnavailable("busy", "try again later")
    link = mock.Mock(entry_id="entry-2")
    store = RelayedStore(direct, lambda: [link], Metrics())
    api = JobApi(store, lambda: None, lambda: link)
    row = ["k", b"v", 5]
    calls = (
        ({"item": row}, lambda: store.get("k")),
        (
            {"items": [row], "deleted": ["d"], "revision": 9},
            lambda: store.watch("k", 1, 0.1),
        ),
        ({"revision": 9}, lambda: store.commit({}, {"k": b""})),
        ({"conflict": [row]}, lambda: store.commit({}, {"k": b""})),
        ({"state": "running"}, lambda: api._state_from_owner(GOOD)),
        ({"checks": 3}, api._refresh_waiting_jobs),
        (
            PeerStatus("e", "127.0.0.1:2", 4, b"").to_map(),
            lambda: new_entry(store)._apply_peer_status(link, link.call.return_value),
        ),
    )

    @for_each_example(context, count)
    def check(_):
        plain, call = context.odd.random.choice(calls)
        odd = context.odd.variant(plain)
        link.call.return_value = odd if isinstance(odd, dict) else {}
        context.calls += 1
        try:
            call()
        except (AcaciastandError, CommitConflict, HistoryDropped):
            return


@then("each call ends with an error or a checked value")
def then_no_unexpected(context):
    assert context.calls > 0


@when("the store lists an odd item among others {count:d} times")
def when_odd_page(context, count):
    context.listings = []
    item = {"key": "p/odd", "value": "YQ==", "revision": 5}
    good = {"key": "p/z", "value": "YQ==", "revision": 6}

    @for_each_example(context, count)
    def check(_):
        page = {"items": [context.odd.variant(item), good], "storeRevision": 9}
        body = json.dumps(page, default=str).encode()
        store = PlatformStore("http://127.0.0.1:1")
        store.caller.call = lambda *arguments, body=body, **options: HttpAnswer(200, body)
        context.listings.append(store.list("p/"))


@then("each time the other items are returned")
def then_items(context):
    for listing in context.listings:
        assert "p/z" in [item.key for item in listing.items]


@when("{count:d} odd submissions are decoded")
def when_submissions(context, count):
    context.unexpected = []

    @for_each_example(context, count)
    def check(number):
        body = json.dumps(context.odd.variant(SUBMISSION), default=str).encode()
        if number % 20 == 0:
            body = b'{"steps":' * NESTING
        try:
            spec = operator.decode_job(body)
        except InvalidInput:
            return
        except MALFORMED as error:
            context.unexpected.append((body[:200], error))
            return
        stored = encode_job(Job(ODD, "checks", spec, 1.0))
        assert decode_job(ODD, stored).spec == spec


@then("each is invalid input or a job that can be stored and read again")
def then_valid(context):
    assert not context.unexpected, context.unexpected[0]


@when("another entry notifies the owner of an agent that has registered")
def when_notified_of_agent(context):
    entry = new_entry(MemoryTransactionalStore())
    item = {"key": f"{AGENTS_PREFIX}agent-9", "value": b"", "revision": 9}
    try:
        entry._answer_call(INBOX_ITEM_CALL, item)
    except InvalidInput as error:
        context.refusal = str(error)


@then("the call is refused and names the key")
def then_refused(context):
    assert f"{AGENTS_PREFIX}agent-9" in context.refusal
