"""Steps on zones that the operators drain."""

import time

import cbor2
import gevent
from behave import given, then, when
from waiting import raise_error, wait_for
from workflow_support import QUEUES, step
from zone_support import BOUND_SECONDS, OtherEntry, RefusedHost, WatchedStore, ZoneWorld

from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import OWNER_KEY, OwnerRecord
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.run_reports import decode_report, encode_report
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.cluster.zone_drain_watch import ZoneDrainWatch
from acaciastand.platform.operator import ZONE_DRAIN_PREFIX
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.codec import HEADER_FIELDS, decode, encode
from acaciastand.wire.messages import RunReport
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.crashes import TaskCrash
from acaciastand.workflow.job import StartState, TaskState
from acaciastand.workflow.reports import AgentReport, WorkerIdentity
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.task_copy import TaskCopy
from acaciastand_lab.platform_site import Site

DRAIN_MS = int(BOUND_SECONDS * 1000)
SUBMIT_PAUSE_SECONDS = 0.3
KINDS = {
    "long checkpointed": ("plans", 1, {"seconds": 20.0, "saves_progress": True}),
    "short checkpointed": ("plans", 1, {"seconds": 2.5, "saves_progress": True}),
    "long and not checkpointed": ("plans", 1, {"seconds": 20.0}),
    "continuous": ("watchers", 1, {"continuous": True}),
    "gang": ("plans", 2, {"seconds": 20.0, "saves_progress": True, "gang": True}),
}
LIMITS = {
    "without a limit": 0,
    "of which 1 may be absent": 1,
    "of which 3 may be absent": 3,
}

# Real processes


@given("a site of {entries:d} entries and {agents:d} agents in 2 zones that can be drained")
def given_zoned_site(context, entries, agents):
    context.site = Site(entries, agents, proxies=True, zones=2, zone_drain_ms=DRAIN_MS)
    context.stack.callback(context.site.close)
    context.site.start_all()
    context.site.wait_ready()
    context.jobs = []
    context.job_count = 100  # The numbers before are those of other steps.


def submit_for(context, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        context.job_count += 1
        entry = context.site.names("entry")[context.job_count % 2]
        task = {"count": 8, "cpu": 500, "estimateMs": 200}
        context.site.submit(entry, f"{context.job_count:016x}", task, seconds=0.2)
        gevent.sleep(SUBMIT_PAUSE_SECONDS)


@when("zone-b is drained and jobs are submitted for {seconds:d} seconds")
def when_drained(context, seconds):
    context.site.drain_zone("zone-b")
    context.drained_at = time.monotonic()
    submit_for(context, seconds)


@when("the owner is killed and jobs are submitted for {seconds:d} seconds")
def when_killed(context, seconds):
    owner = context.site.owner()
    context.site.restart(owner)
    submit_for(context, seconds)


@when("all connections go silent")
def when_silent(context):
    wait_for(context.site.owner)
    for proxy in context.site.proxies:
        proxy.mute()


@when("the request is removed and jobs are submitted for {seconds:d} seconds")
def when_removed(context, seconds):
    context.site.end_drain("zone-b")
    context.removed_at = time.monotonic()
    submit_for(context, seconds)


def starts_after(context, moment):
    site = context.site
    return {site.zone_of(run.worker) for run in site.history() if run.began > moment}


@then("nothing starts in zone-b later than {seconds:d} seconds after the request")
def then_no_start(context, seconds):
    zones = starts_after(context, context.drained_at + seconds)
    assert zones == {"zone-a"}, zones


@then("runs start in zone-b again")
def then_starts_again(context):
    assert "zone-b" in starts_after(context, context.removed_at)


# Decisions


@given("two zones of 2 workers each, of which {zones} drained")
def given_zones(context, zones):
    context.world = ZoneWorld()
    for agent_id in ("a1", "a2", "b1", "b2"):
        context.world.add_zone_worker(agent_id)
    for zone in ("zone-a", "zone-b", "zone-x"):
        if zone in zones:
            context.world.drain(zone)


@given("two zones of 2 workers each with a {kind} run in zone-b")
def given_run(context, kind):
    queue, count, fields = KINDS[kind]
    start_in_zone_b(context, queue, step(count, **fields))


@given("a run in zone-b of two zones of 2 workers each, with a copy in zone-a")
def given_copied(context):
    fields = {"seconds": 20.0, "saves_progress": True, "speculative": True}
    start_in_zone_b(context, "plans", step(1, **fields))
    (task,) = context.job.tasks.values()
    copy = TaskCopy(task)
    copy.state, copy.run, copy.agent_id = TaskState.RUNNING, 2, "a1"
    copy.start_state, copy.started_at = StartState.CONFIRMED, context.world.now
    context.world.scheduler.workers["a1"].assign(copy)
    context.world.workers["a1"].running[task.key] = 2
    context.world.workers["a1"].started_at[task.key] = context.world.now


@given("two zones of 2 workers each with 4 continuous tasks {limit} in zone-b")
def given_continuous(context, limit):
    start_in_zone_b(context, "watchers", step(4, continuous=True, max_absent=LIMITS[limit]))


def start_in_zone_b(context, queue, *steps):
    given_zones(context, "zone-a is")
    context.job = context.world.submit("1" * 16, queue, *steps)
    context.world.play(0.5)
    assert context.world.zones_in_use() == {"zone-b"}
    context.world.end_drain("zone-a")
    context.world.absent.clear()


@given("one of them is not at work")
def given_stuck(context):
    context.world.stuck.add(next(iter(context.job.tasks)))


@when("{count:d} tasks wait")
def when_many(context, count):
    job_id = f"{len(context.world.scheduler.jobs) + 2:016x}"
    context.world.submit(job_id, "plans", step(count, seconds=60.0))
    context.world.play(0.5)


@when("the drain of zone-b ends while its workers are slow")
def when_ends_slow(context):
    for agent_id in ("b1", "b2"):
        context.world.workers[agent_id].slow_start_seconds = 3.0
    when_ends(context, "zone-b")


@when("an agent of {version} version reports a worker that is slow for {seconds:d} seconds")
def when_reported(context, version, seconds):
    identity = WorkerIdentity("w", 5, "desk", "10.0.0.1:1", slow_start_seconds=float(seconds))
    frame = cbor2.loads(encode(encode_report(AgentReport(identity), 1.0)))
    if version == "the former":
        # The former version knows neither this field nor those after it.
        del frame[HEADER_FIELDS + RunReport.fields().index("slow_start_seconds") :]
    context.report = decode_report(decode(cbor2.dumps(frame)).message, raise_error)


@then("the owner takes it as slow for {seconds:d} seconds")
def then_slow(context, seconds):
    assert context.report.identity.slow_start_seconds == seconds, context.report


@when("a gang that both zones could hold waits")
def when_gang(context):
    context.world.submit("2" * 16, "plans", step(4, cores=6.0, gang=True))
    context.world.play(0.5)


@when("a suspect of a crash waits")
def when_suspect(context):
    context.world.submit("3" * 16, "plans", step(4, seconds=60.0))
    context.world.play(1.0)  # Suspects start where few other tasks are, which is now in zone-b.
    job = context.world.submit("2" * 16, "plans", step())
    next(iter(job.tasks.values())).crashes.append(TaskCrash(1, 0.2, True, False))
    context.world.play(1.0)
    assert job.has_started


@when("a task of an advised queue waits")
def when_advised(context):
    queue = Queue("advised", "h", "/advised/", "desk", advised=True)
    context.world.scheduler.catalog = Catalog(2, [*QUEUES, queue], ["desk"])
    context.world.submit("2" * 16, "advised", step())
    context.world.play(0.2)


@then("the request for advice names workers of zone-a only")
def then_advice(context):
    request = context.world.scheduler.next_advice_request(context.world.now, 0.0)
    assert set(request.worker_ids) == {"w-a1", "w-a2"}, request


@when("a worker joins zone-b")
def when_joins(context):
    context.world.add_zone_worker("b3")
    context.world.play(0.5)


@when("the drain of {zone} ends")
def when_ends(context, zone):
    context.world.end_drain(zone)
    context.world.play(0.5)


@when("{zone} is drained for {seconds:d} seconds")
def when_drained_for(context, zone, seconds):
    context.world.drain(zone)
    context.world.play(seconds)


@when("zone-b is drained for {seconds:d} seconds while each task needs 2 seconds to be at work")
def when_drained_slowly(context, seconds):
    context.world.warm_up_seconds = 2.0
    context.world.now += 2.0
    context.world.report_all()
    when_drained_for(context, "zone-b", seconds)


@when("zone-b is drained for {seconds:d} seconds while zone-a is full")
def when_full(context, seconds):
    context.world.submit("2" * 16, "plans", step(3, cores=16.0, seconds=60.0))
    context.world.play(0.2)
    when_drained_for(context, "zone-b", seconds)


@when("zone-b is drained for {seconds:d} seconds while the view is not confirmed")
def when_unconfirmed(context, seconds):
    context.world.drain("zone-b")
    context.world.now += BOUND_SECONDS / 2
    context.world.confirms = False
    context.world.play(seconds)


@then("runs start in zone-a only")
def then_zone_a(context):
    assert context.world.zones_in_use() == {"zone-a"}, context.world.running()


@then("runs start in zone-b as well")
@then("runs start in zone-a and zone-b")
def then_both(context):
    assert context.world.zones_in_use() == {"zone-a", "zone-b"}, context.world.running()


@then("nothing starts and no job fails")
def then_waits(context):
    assert not context.world.started
    assert not any(job.has_ended for job in context.world.scheduler.jobs.values())


@then("zone-x is logged once as unknown")
def then_unknown(context):
    context.world.play(BOUND_SECONDS + 1.0)
    decisions = [d for d in context.world.scheduler.decisions if d.subject == "zone-x"]
    assert [d.what for d in decisions] == ["zone drain requested", "drained zone unknown"]


@then("the run continues in zone-a with its progress")
def then_continues(context):
    assert context.world.zones_in_use() == {"zone-a"}, context.world.running()
    assert {task.checkpoint for task in context.job.tasks.values()} == {"saved-at-stop"}


@then("the run stays because of {reason}")
@then("none of them is stopped, because of {reason}")
def then_stays(context, reason):
    assert not context.world.stopped
    staying = context.world.scheduler.zone_moves.staying
    assert staying[reason] and staying.total() >= len(context.job.tasks), staying
    assert context.job.tasks.keys() <= context.world.running().keys()


@then("at no time more than 1 of them is absent")
def then_few_absent(context):
    assert max(context.world.absent) == 1, context.world.absent


@then("all of them are at work in zone-a")
def then_all_moved(context):
    assert context.world.zones_in_use() == {"zone-a"}, context.world.running()
    assert context.world.absent[-1] == 0


@when("the owner {cause} for {seconds:d} seconds")
def when_unread(context, cause, seconds):
    context.world.confirms = False
    for _ in range(seconds):
        context.world.now += 1.0
        if cause == "and another entry do not reach the store":
            context.world.drains.record_outage(context.world.now)


@when("a task waits")
def when_task(context):
    context.world.submit("2" * 16, "plans", step())
    context.world.report_all()
    context.world.plan()


@when("the owner reads the requests again")
def when_reads(context):
    context.world.confirm()
    context.world.plan()


@then("starts are held back")
def then_held(context):
    assert not context.world.started


@then("starts go on")
def then_started(context):
    assert context.world.started


# The owner and the store


@given("a store in which zone-b is drained")
def given_store(context):
    context.store = WatchedStore()
    context.store.commit({}, {ZONE_DRAIN_PREFIX + "zone-b": b"{}"})


def take_over(context, **settings):
    record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
    fence = context.store.commit({}, {OWNER_KEY: record.encode()})
    catalog = Catalog(1, list(QUEUES), ["desk"])
    context.owner = Owner(
        *(context.store, record, fence, now(), now(), catalog, 0.4, Metrics(), lambda _: None),
        **settings,
    )
    context.stack.callback(context.owner.stop)
    context.owner.start()
    wait_for(lambda: context.owner.is_ready)


@when("an owner takes over")
def when_takes_over(context):
    take_over(context, zone_drain_seconds=BOUND_SECONDS)


@when("an owner without the setting takes over")
def when_takes_over_without(context):
    take_over(context)
    gevent.sleep(0.3)


@then("zone-b is drained for its scheduler before its first plan")
def then_loaded(context):
    assert list(context.owner.scheduler.zone_drains.drained) == ["zone-b"]
    assert context.owner.scheduler.last_check_at == float("-inf")


@then("it has made no call about drained zones")
def then_no_call(context):
    assert ZONE_DRAIN_PREFIX not in context.store.prefixes, context.store.prefixes


@given("an owner that follows the requests")
def given_watch(context):
    context.store = WatchedStore()
    context.direct = RefusedHost(context.store)
    metrics = Metrics()
    context.watch = ZoneDrainWatch(
        RelayedStore(context.direct, lambda: [OtherEntry(context.store)], metrics),
        Scheduler(),
        BOUND_SECONDS,
        metrics,
        IgnoredValues(metrics, now),
    )
    context.watch.load()


def follow(context):
    """Follow the requests until all changes so far have been read."""
    following = gevent.spawn(context.watch.follow_forever)
    context.stack.callback(following.kill)
    wait_for(lambda: context.watch.revision == context.store.revision)


def write(context, zone, value=b"{}"):
    context.store.commit({}, {ZONE_DRAIN_PREFIX + zone: value})


def remove(context, zone):
    context.store.commit({}, {}, [ZONE_DRAIN_PREFIX + zone])


@when("zone-b is drained while the store does not answer")
def when_slow(context):
    context.store.is_away = True
    following = gevent.spawn(context.watch.follow_forever)
    write(context, "zone-b")
    gevent.sleep(0.3)
    following.kill()
    assert not context.watch.drains.drained
    context.store.is_away = False


@when("zone-b is drained before the read and back before the watch")
def when_back(context):
    write(context, "zone-b")
    context.watch.load()
    assert context.watch.drains.drained
    remove(context, "zone-b")


@when("zone-b is drained twice")
def when_twice(context):
    write(context, "zone-b")
    context.first_revision = context.store.revision
    follow(context)
    write(context, "zone-b")
    wait_for(lambda: context.watch.revision == context.store.revision)


@then("its drain is the one of the first request")
def then_first(context):
    drained = context.watch.drains.drained["zone-b"]
    assert drained.request.revision == context.first_revision


@when("zone-b is drained twice and back once")
def when_twice_back(context):
    when_twice(context)
    remove(context, "zone-b")


@when("zone-b is drained, back and drained in one change")
def when_renewed(context):
    write(context, "zone-b")
    follow(context)
    remove(context, "zone-b")
    write(context, "zone-b")


@when("zone-x is drained")
def when_unknown(context):
    write(context, "zone-x")


@when("an empty zone is drained")
def when_empty(context):
    write(context, "")


@when("zone-b is drained with a value that is no object")
def when_odd(context):
    write(context, "zone-b", b"\xff[")


@when("zone-b is drained, and zone-a instead without history")
def when_dropped(context):
    write(context, "zone-b")
    follow(context)
    remove(context, "zone-b")
    write(context, "zone-a")
    context.store.forget_history()


@when("the same happens while the store refuses the owner")
def when_dropped_refused(context):
    context.direct.is_away = True
    when_dropped(context)


@then('the drained zones are "{zones}"')
@then('the drained zones are ""')
def then_drained(context, zones=""):
    follow(context)
    assert list(context.watch.drains.drained) == zones.split(), context.watch.drains.drained
