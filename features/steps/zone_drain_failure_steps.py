"""Steps on drained zones while an owner, a link or the store fails."""

import gevent
from behave import given, then, when
from workflow_support import step
from zone_support import ZoneWorld

from acaciastand.cluster.clock import now
from acaciastand.cluster.peers import CallRefused
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.cluster.zone_drain_watch import ZoneDrainWatch
from acaciastand.coordination.store import StoreUnavailable
from acaciastand.coordination.transactions import Listing, MemoryTransactionalStore
from acaciastand.errors import InvalidInput, OutcomeUnknown
from acaciastand.platform.kv import WATCH_SECONDS
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.zone_moves import GradualZoneMoves

MOVING_STEP = step(4, continuous=True, max_absent=1)


class SilentStore(MemoryTransactionalStore):
    """Store that answers the first list and no call after it."""

    def list(self, prefix, stale=False):
        return Listing([], 1)

    def watch(self, prefix, after, wait_seconds):
        gevent.sleep(wait_seconds + WATCH_SECONDS)
        raise StoreUnavailable("no answer to watch", "try again later")


class Peer:
    """Connection to an entry that reaches the store, or whose calls fail with an error."""

    entry_id = "entry-2"
    connection = True

    def __init__(self, error=None):
        self.error = error

    def call(self, name, payload, seconds):
        gevent.sleep(payload["wait"])
        if self.error:
            raise self.error
        return {"items": [], "deleted": [], "revision": 1}


@given("an owner whose calls to the store get no answer, beside an entry that reaches it")
def given_relay(context):
    context.peer = Peer()


@given("an owner whose calls to the store and to another entry get no answer")
def given_alone(context):
    context.peer = Peer(OutcomeUnknown("no reply", "repeat the call"))


@given(
    "an owner whose calls to the store get no answer, beside an entry that does not know the call"
)
def given_former_version(context):
    context.peer = Peer(CallRefused("unknown call", "upgrade the entry", InvalidInput.code))


@given("an owner whose calls to the store get no answer, beside an entry that the store refuses")
def given_outage(context):
    context.peer = Peer(CallRefused("refused", "try again later", StoreUnavailable.code))


@when("it follows the requests with a bound of {bound:d} seconds for {seconds:d} seconds")
def when_followed(context, bound, seconds):
    metrics, scheduler = Metrics(), Scheduler()
    store = RelayedStore(SilentStore(), lambda: [context.peer], metrics)
    ignored = IgnoredValues(metrics, now)
    watch = ZoneDrainWatch(store, scheduler, float(bound), metrics, ignored)
    watch.load()
    follower = gevent.spawn(watch.follow_forever)
    context.stack.callback(follower.kill)
    end = now() + seconds
    context.paused = []
    while now() < end:
        gevent.sleep(0.05)
        watch.drains.mark_workers([], now())
        context.paused.append(watch.drains.starts_paused)


@then("starts were not paused")
def then_not_paused(context):
    assert not any(context.paused), context.paused.count(True) / len(context.paused)


@then("starts were not paused at the end")
def then_going_on(context):
    assert not context.paused[-1]


@then("starts were paused at the end")
def then_paused(context):
    assert context.paused[-1]


@given("a task waits for a worker with a label that none has")
def given_unstartable(context):
    context.world.submit(f"{2:016x}", "plans", step(required_label="none"))


@given("a new owner of 4 continuous tasks in zone-b, one of which the former owner is moving")
def given_moving(context):
    world = context.world = ZoneWorld()
    placement = world.scheduler.start_planner.placement
    world.scheduler.zone_moves = GradualZoneMoves(world.scheduler, placement, world.now)
    world.has_reported = False
    world.drain("zone-b")
    job = world.submit(f"{1:016x}", "watchers", MOVING_STEP, certain=False)
    for number, agent_id in enumerate(("a1", "a2", "b1", "b2")):
        worker = world.add_worker(agent_id, unresponsive=True)
        worker.zone = world.zone_of(agent_id)
        if number >= 2:
            for key in list(job.tasks)[2 * number - 4 : 2 * number - 2]:
                worker.running[key], worker.started_at[key] = 1, world.now - 60.0
    for view in world.scheduler.workers.values():
        view.reachable = True


@when("the stop of the former owner takes effect {seconds:f} seconds after the first report")
def when_stop_lands(context, seconds):
    world = context.world
    world.warm_up_seconds = 2.0
    world.play(seconds)
    worker = next(w for w in world.workers.values() if f"{1:016x}.0.0.3" in w.running)
    worker.end(f"{1:016x}.0.0.3", "stopped", "saved")
    world.play(0.1)


@then("at most {count:d} task is absent")
def then_absent(context, count):
    assert context.world.absent[-1] <= count, context.world.absent
