"""Steps on refusals and on the order of jobs in cases that are no shortage, or no usual one."""

import random
from types import SimpleNamespace
from unittest import mock

import gevent
from behave import given, then, when
from workflow_support import QUEUES, WorkflowWorld, step

from acaciastand.cluster.admission_control import AdmissionControl
from acaciastand.cluster.circuit_breaker import FAILURES_TO_OPEN
from acaciastand.cluster.clock import now
from acaciastand.cluster.entry import JobEntry
from acaciastand.cluster.job_api import JobApi, JobApiUnavailable
from acaciastand.cluster.keys import OwnerRecord
from acaciastand.cluster.peers import PeerStatus
from acaciastand.cluster.room_gauges import RoomGauges
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.coordination.store import StoreUnavailable
from acaciastand.coordination.transactions import Item, MemoryTransactionalStore
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.admission import AcceptAll, BacklogView, RefuseWorthless
from acaciastand.workflow.backlog import BacklogEstimate, QueueWork
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.ranking import LeastCostFirst, LeastSlackFirst
from acaciastand.workflow.spec import WorkflowSpec

PLANS = QUEUES[1]
SMALL = WorkflowSpec("", [step(1, seconds=1.0)])


def refused(policy, queue, spec, estimate, number):
    view = BacklogView(estimate, 0.0)
    return policy.refusal(f"{number:016x}", queue, spec, view) is not None


@given("1 worker with 16 cores, most of them free {case}")
def given_free(context, case):
    world = context.world = WorkflowWorld()
    world.add_worker("agent-1", 16.0)
    seconds = 1.2
    if "long runs" in case:
        world.submit(f"{1:016x}", "checks", step(10, seconds=3600.0))
    elif "dependent" in case:
        world.submit(f"{9:016x}", "plans", step(required_label="none"))
        world.advance(60.0, 0.2)
        world.submit(f"{1:016x}", "checks", step(seconds=30.0), step(seconds=30.0, after=[0]))
    else:
        other = Queue("checks", "h", "/checks/", "other", 0, 3, 1.5, 0.25)
        plans = world.scheduler.catalog.by_name("plans")
        world.scheduler.catalog = Catalog(1, [other, plans], ["desk", "other"])
        for number in range(3):
            world.submit(f"{number:016x}", "checks", step(40, seconds=30.0))
        seconds = 60.0
    world.advance(seconds)
    assert world.scheduler.workers["agent-1"].leftover_cores() >= 6.0


@then("{count:d} jobs of one core-second are accepted")
def then_accepted(context, count):
    policy, scheduler = RefuseWorthless(), context.world.scheduler
    queue = scheduler.catalog.by_name("plans")
    estimate = scheduler.backlog.estimate
    answers = [refused(policy, queue, SMALL, estimate, number) for number in range(count)]
    assert not any(answers), (answers, estimate)


@given("a new owner of {count:d} late jobs whose runs have all lapsed")
def given_lapsed(context, count):
    world = context.world = WorkflowWorld(has_reported=False)
    world.add_worker("agent-1", 64.0, unresponsive=True)
    for number in range(count):
        job = world.submit(f"{number:016x}", "plans", step(20, seconds=3.0), certain=False)
        job.accepted_unix -= 9.0
    world.advance(0.6)
    world.scheduler.workers["agent-1"].reachable = True
    while world.scheduler.backlog.estimate is None:
        world.advance(0.1)


@then("its first estimate has the rate of its free workers")
def then_rate(context):
    assert context.world.scheduler.backlog.estimate.drain_cores == 64.0


@given("a worker with 4 cores whose run ends before its start is answered")
def given_early_end(context):
    world = context.world = WorkflowWorld()
    world.now = 100_000.0
    worker = world.add_worker("agent-1", 4.0)
    world.keeps_starts = True
    world.submit(f"{1:016x}", "plans", step(seconds=1.0))
    world.advance(0.2)
    key = world.kept_starts[0].command.task
    worker.running[key] = 1
    world.end(key)
    world.advance(0.6)


@then("the drain rate is at most {cores:d} cores")
def then_drain(context, cores):
    drain_cores = context.world.scheduler.backlog.drain_rate.cores
    assert drain_cores <= cores, drain_cores


@given("a new owner that adopts {count:d} runs of 10 seconds 2 seconds before they end")
def given_adopted(context, count):
    world = context.world = WorkflowWorld(has_reported=False)
    worker = world.add_worker("agent-1", 64.0, unresponsive=True)
    world.submit(f"{1:016x}", "plans", step(count, seconds=10.0), certain=False)
    worker.running = dict.fromkeys(world.scheduler.uncertain, 1)
    world.scheduler.workers["agent-1"].reachable = True
    world.advance(2.0)
    for key in list(worker.running):
        world.end(key)
    world.advance(0.6)


@then("the run times of the queue count as estimated")
def then_estimated(context):
    ratios = context.world.scheduler.backlog.shortage.run_time_ratios
    assert ratios.get("plans", 1.0) >= 0.9, ratios


@given(
    "{seconds:d} seconds of load that exceeds the room, after a job without workers and a large job"
)
def given_stuck(context, seconds):
    world = context.world = WorkflowWorld()
    world.completes = True
    world.add_worker("agent-1", 4.0)
    world.submit(f"{1:016x}", "plans", step(required_label="none"))
    context.large = world.submit(f"{2:016x}", "plans", step(4, 4.0, seconds=2.0))
    began, count = world.now, 0
    while world.now < began + seconds:
        while count < 1.2 * (world.now - began):
            count += 1
            world.submit(f"{100 + count:016x}", "plans", step(4, seconds=1.0))
        world.advance(0.2, 0.2)


@then("the large job has ended")
def then_ended(context):
    longest = context.world.scheduler.backlog.shortage.longest_waiting
    assert context.large.has_ended, longest


@given("a backlog that is too long for jobs that are not small")
def given_long_backlog(context):
    queues = {"plans": QueueWork(1.0, 100.0)}
    context.estimate = BacklogEstimate(100.0, {2: [500.0] * 7 + [8000.0]}, queues)


@when("{count:d} jobs of very different sizes are submitted")
def when_sizes(context, count):
    policy, rnd = RefuseWorthless(), random.Random(3)
    queue = Queue("plans", "h", "/plans/", "desk", 2, 4, 2.0, 1.0)
    rows = []
    for number in range(count):
        tasks = max(1, round(12.5 * rnd.lognormvariate(-0.72, 1.2)))
        spec = WorkflowSpec("", [step(tasks, seconds=8.0)])
        rows.append((tasks, not refused(policy, queue, spec, context.estimate, number)))
    context.accepted = [accepted for _, accepted in sorted(rows[300:], key=lambda row: -row[0])]


@then("the largest tenth and the fifth below it are accepted at least half as often as all")
def then_sizes(context):
    rows, tenth = context.accepted, len(context.accepted) // 10
    parts = (rows, rows[:tenth], rows[tenth : 3 * tenth])
    shares = [sum(part) / len(part) for part in parts]
    assert min(shares[1:]) >= shares[0] / 2, shares


@given("an attempt to store a job that has no answer yet")
def given_attempt(context):
    context.store = MemoryTransactionalStore(lambda call: "")
    context.job_api = JobApi(context.store, lambda: None, lambda: None)
    commit = context.store.commit

    def slow(*arguments):
        gevent.sleep(0.2)
        return commit(*arguments)

    context.store.commit = slow
    arguments = ("00000000000000ff", "plans", SMALL, now() + 1.0)
    context.attempt = gevent.spawn(context.job_api.submit, *arguments)
    gevent.sleep(0.02)


@when("the store turns a second attempt away")
def when_turned_away(context):
    context.store.commit = mock.Mock(side_effect=StoreUnavailable("busy", "try again later"))
    try:
        context.job_api.submit("00000000000000ff", "plans", SMALL, now() + 1.0)
    except JobApiUnavailable:
        return
    raise AssertionError("the second attempt was accepted")


@then("the job may still be stored")
def then_may_be_stored(context):
    may_be_stored = context.job_api.may_be_stored("00000000000000ff")
    context.attempt.join()
    assert may_be_stored


@given("an entry that knows the owner of term 7 and its estimate")
def given_entry_of_term(context):
    admission = AdmissionControl(RefuseWorthless(), lambda: None, lambda _: False, Metrics())
    context.former, context.current = (
        OwnerRecord(f"e{term}", f"127.0.0.1:{term}", term, b"n") for term in (6, 7)
    )
    entry = context.entry = mock.Mock(admission=admission, owner_record=context.current, owner=None)
    entry._record_backlog = lambda *arguments: JobEntry._record_backlog(entry, *arguments)
    receive(context, context.current, BacklogEstimate(100.0, {2: [1.0] * 8}))


def receive(context, record, estimate):
    address, owner = record.address, record.encode()
    status = PeerStatus(record.entry_id, address, 1, owner, estimate.to_list())
    link = mock.Mock(entry_id=record.entry_id)
    JobEntry._apply_peer_status(context.entry, link, status.to_map())


@when("the owner of term 6 sends another estimate")
def when_former(context):
    receive(context, context.former, BacklogEstimate(1.0, {2: [9999.0] * 8}))


@when("another entry that knows the owner of term 7 sends an estimate")
def when_other_entry(context):
    sender = SimpleNamespace(
        entry_id="e6", address=context.former.address, encode=context.current.encode
    )
    receive(context, sender, BacklogEstimate(1.0, {2: [9999.0] * 8}))


@then("the entry still has the estimate of term 7")
def then_current(context):
    assert context.entry.admission.view().estimate.drain_cores == 100.0


@given("an owner whose estimate is {seconds:d} seconds old")
def given_frozen(context, seconds):
    estimate = BacklogEstimate(10.0, {2: [10.0] * 8})
    backlog = SimpleNamespace(estimate=estimate, updated_at=now() - seconds)
    scheduler = SimpleNamespace(backlog=backlog)
    context.owner = SimpleNamespace(is_ready=True, scheduler=scheduler, authority_seconds=1.0)
    context.metrics = Metrics()
    context.gauges = RoomGauges(context.metrics)
    context.admission = AdmissionControl(
        AcceptAll(), lambda: context.owner, lambda _: False, context.metrics
    )


@when("it has no authority any more")
def when_no_authority(context):
    context.owner.authority_seconds = 0.0


@then("it sends an estimate")
def then_sent(context):
    assert context.admission.own_estimate() is not None


@when("the term ends")
def when_term_ends(context):
    context.owner = None


@when("the gauges are set")
def when_gauges(context):
    context.gauges.update(context.admission.own_estimate())


@then(
    "the gauge of priority {priority:d} shows {work:d} core-seconds, and that of the drain rate "
    "{cores:d} cores"
)
def then_gauges(context, priority, work, cores):
    lines = [line.split() for line in context.metrics.text().decode().splitlines()]
    shown = {line[0]: float(line[-1]) for line in lines if line[0] != "#"}
    by_priority = [name for name in shown if "backlog_core_seconds" in name]
    assert len(by_priority) == 1 and f'"{priority}"' in by_priority[0], shown
    assert shown[by_priority[0]] == work, shown
    assert [shown[name] for name in shown if "drain_cores" in name] == [cores], shown


@then("it sends no estimate")
def then_not_sent(context):
    assert context.admission.own_estimate() is None


@given("a new owner of {count:d} equal jobs, of which the one read last is the oldest")
def given_equal(context, count):
    world = context.world = WorkflowWorld(has_reported=False)
    world.add_worker("agent-1", 2.0, unresponsive=True)
    for number in range(count):
        job = world.submit(f"{number:016x}", "plans", step(2, seconds=3.0), certain=False)
        job.accepted_unix -= 1.0 + number
    context.oldest = job


@when("it plans while their priority is short of room")
def when_short(context):
    world = context.world
    world.scheduler.backlog.shortage.priorities = {("desk", 2)}
    world.scheduler.backlog.updated_at = world.now + 100.0
    world.scheduler.workers["agent-1"].reachable = True
    world.report_all()
    world.plan()


@then("the oldest job starts first")
def then_oldest(context):
    assert context.world.started[0][0].startswith(context.oldest.job_id), context.world.started


@when("the shortage is on the workers of another service")
def when_other_service(context):
    context.shortage.priorities = {("other", 2)}


@then("the waiting jobs are ranked as by LeastSlackFirst")
def then_as_by_slack(context):
    order, baseline = LeastCostFirst(context.shortage), LeastSlackFirst()
    for task in context.tasks.values():
        ranks = [policy.rank(task, PLANS, context.now_unix) for policy in (order, baseline)]
        assert ranks[0] == ranks[1], ranks


@given("an entry beside another one, whose store is such that {case}")
def given_store(context, case):
    direct, context.link = mock.Mock(), mock.Mock()
    direct.get.return_value = Item("key")
    if "takes" in case:
        direct.get.side_effect = lambda key: gevent.sleep(2.0)
    if "refused" in case:
        direct.get.side_effect = StoreUnavailable("busy", "try again later")
    store = RelayedStore(direct, lambda: [context.link], Metrics())
    if "cannot be decoded" in case:
        direct.get.side_effect = ValueError("odd answer")
    if "commits" in case:
        store.circuit_breaker.failures = FAILURES_TO_OPEN
    context.job_api = JobApi(store, lambda: None, lambda: None)


@then("a job may be stored, as the entry says within {seconds:f} seconds without the other one")
def then_in_time(context, seconds):
    asked_at = now()
    assert context.job_api.may_be_stored("00000000000000ff")
    assert now() - asked_at <= seconds
    assert not context.link.call.called


@given("a worker that is full of work that is in time, and a late job that {case}")
def given_late(context, case):
    world = context.world = WorkflowWorld()
    world.add_worker("agent-1", 4.0)
    world.submit(f"{1:016x}", "plans", step(4, seconds=100.0))
    world.advance(0.2)
    label, late = ("none", 150.0) if "never" in case else ("", 1000.0)
    job = world.submit(f"{2:016x}", "plans", step(4, seconds=100.0, required_label=label))
    job.accepted_unix -= late
    world.advance(0.6)


@then("no priority is short of room")
def then_not_short(context):
    shortage = context.world.scheduler.backlog.shortage
    assert not shortage.priorities, shortage.priorities
