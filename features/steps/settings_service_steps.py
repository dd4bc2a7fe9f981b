"""Steps on the settings service and its HTTP resources."""

import json
import time

import gevent
from behave import given, then, when
from falcon import testing
from waiting import wait_for

from acaciastand.coordination.faults import FaultPlan
from acaciastand.coordination.memory import MemoryStore
from acaciastand.entry import settings_service
from acaciastand.entry.http import build_app
from acaciastand.entry.settings_http import add_settings_routes
from acaciastand.entry.settings_service import SettingsService
from acaciastand.errors import AcaciastandError
from acaciastand.settings.confirmation import Confirmations
from acaciastand.settings.process import EntrySettings
from acaciastand.telemetry import Counters

FIRM = "blue-mahoe"
SITE = f"{FIRM}/kingston/kingston-a"
WAIT_SECONDS = 10.0
WATCH_SECONDS = 0.2


class YieldingPlan(FaultPlan):
    """Lets other greenlets run before and after each call, as a store over the network does."""

    def run(self, kind, key, effect):
        gevent.sleep(0)
        try:
            return super().run(kind, key, effect)
        finally:
            gevent.sleep(0)


def new_entry(context, number):
    settings = EntrySettings(entry_id=f"entry-{number}", path=SITE)
    service = SettingsService(context.store, settings, watch_seconds=WATCH_SECONDS)
    context.notified[number] = []
    service.on_change(context.notified[number].append)
    service.start()
    context.stack.callback(service.stop)
    context.services[number] = service


@given("two entries on one store")
def step_two(context):
    context.faults = FaultPlan()
    pause = lambda seconds: gevent.sleep(min(seconds, 0.002))  # noqa: E731
    context.store = MemoryStore(time.monotonic, context.faults, pause)
    context.services, context.notified = {}, {}
    for number in (1, 2):
        new_entry(context, number)


@given("other greenlets run during each call to the store")
def step_yielding(context):
    context.store.faults = YieldingPlan()


@given("the watches of the store never notify")
def step_lost(context):
    context.store.watch = lambda _key, _version, seconds: gevent.sleep(seconds)


@given("entry {number:d} has a listener that fails")
def step_failing(context, number):
    context.services[number]._listeners.insert(0, lambda revision: 1 // 0)


@when('entry {number:d} sets "{key}" to {value:d}')
def step_set(context, number, key, value):
    service = context.services[number]
    wait_for(lambda: edit_applied(service, key, value))


def edit_applied(service, key, value):
    """Return False while the store is not yet reached after an outage."""
    try:
        service.edit(FIRM, key, value, service.revision, "ann")
    except AcaciastandError as error:
        assert error.code in ("store_unavailable", "settings_conflict"), error
        return False
    return True


@then("entry {number:d} sees {value:d} at once")
def step_at_once(context, number, value):
    assert context.services[number].effective(SITE).entry_fanout == value
    assert context.notified[number][-1] == context.services[number].revision


@then("entry {number:d} sees {value:d} soon and tells its listener once")
def step_soon(context, number, value):
    wait_for(lambda: context.services[number].effective(SITE).entry_fanout == value)
    wait_for(lambda: context.notified[number])
    assert context.notified[number] == sorted(set(context.notified[number]))


@when("the store goes down")
def step_down(context):
    context.faults.outage = True


@when("the store returns")
def step_returns(context):
    context.faults.outage = False


@when("entry {number:d} restarts")
def step_restart(context, number):
    context.services[number].stop()
    new_entry(context, number)


@when("entry {number:d} adopts the snapshot of entry {peer:d}")
def step_adopt(context, number, peer):
    assert context.services[number].revision == 0
    assert context.services[number].adopt_snapshot(context.services[peer].snapshot())


@then("entry {number:d} has failed to read the store")
def step_failed_read(context, number):
    wait_for(lambda: context.services[number].counters.totals().get("settings.read_failed"))


@then('an edit at entry {number:d} is refused as "{code}"')
def step_refused(context, number, code):
    service = context.services[number]
    try:
        service.edit(FIRM, "entry_fanout", 7, service.revision, "ann")
    except AcaciastandError as error:
        assert error.code == code, error
    else:
        raise AssertionError("the edit was accepted")


@then("entry {number:d} adopts no snapshot that is older, damaged or foreign")
def step_no_adoption(context, number):
    service = context.services[number]
    good = service.snapshot()
    for change in ({"revision": 0}, {"firm": "other"}, {"tree": 3}, {"revision": "x"}):
        assert not service.adopt_snapshot({**good, "revision": 9, **change}), change
    assert not service.adopt_snapshot(good), "an equal revision was adopted"
    assert not service.adopt_snapshot([]), "a list was adopted"
    assert service.revision == good["revision"]


@when("{count:d} edits of different sites arrive at each entry at once")
def step_concurrent(context, count):
    def edit(number, site):
        path = f"{FIRM}/r/site-{number}-{site}"
        context.services[number].edit(path, "entry_fanout", 2, 0, "ann")

    jobs = [gevent.spawn(edit, number, site) for number in (1, 2) for site in range(count)]
    gevent.joinall(jobs, timeout=WAIT_SECONDS, raise_error=True)
    assert all(job.successful() for job in jobs)


@when("one edit more than may be in progress arrives at entry {number:d}")
def step_too_many(context, number):
    service = context.services[number]

    def edit(site):
        try:
            service.edit(f"{FIRM}/r/s{site}", "entry_fanout", 2, 0, "ann")
        except AcaciastandError as error:
            return error.code
        return ""

    count = settings_service.MAX_EDITS_IN_PROGRESS + 1
    jobs = [gevent.spawn(edit, site) for site in range(count)]
    gevent.joinall(jobs, timeout=WAIT_SECONDS, raise_error=True)
    context.codes = sorted(job.value for job in jobs)


@then('exactly that one is refused as "{code}"')
def step_one_refused(context, code):
    assert context.codes == [""] * settings_service.MAX_EDITS_IN_PROGRESS + [code], context.codes


@then("both entries come to revision {revision:d}")
def step_revision(context, revision):
    services = context.services.values()
    wait_for(lambda: all(service.revision == revision for service in services))
    wait_for(lambda: len({json.dumps(service.tree()) for service in services}) == 1)


@then("reading more paths than the cache holds keeps it at its bound")
def step_cache(context):
    service = context.services[1]
    for number in range(settings_service.MAX_CACHED_PATHS):
        service.effective(f"{FIRM}/r/{number}")
    assert len(service._cache) == settings_service.MAX_CACHED_PATHS
    service.effective(f"{FIRM}/r/one-more")
    assert len(service._cache) <= settings_service.MAX_CACHED_PATHS


@given("entry {number:d} serves its settings")
def step_serve(context, number):
    service = context.services[number]
    known = Confirmations()
    app = build_app({}, Counters())
    add_settings_routes(app, service, lambda: known.in_force(service.revision))
    context.client = testing.TestClient(app)


@when('"{method}" "{path}" is called with {body}')
def step_call(context, method, path, body):
    path, _, query = path.partition("?")
    sent = None if body == "-" else body
    context.answer = context.client.simulate_request(method, path, query_string=query, body=sent)


@then("the answer has status {status:d} and {part}")
def step_answer(context, status, part):
    assert context.answer.status_code == status, context.answer.text
    assert part in context.answer.text, context.answer.text
