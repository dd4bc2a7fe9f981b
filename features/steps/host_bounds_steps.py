"""Steps on the bounds of the host and of the agent's tables."""

import random
from types import SimpleNamespace

from behave import given, then, when

from acaciastand.agent.links import MAX_DIRECTORY, Links
from acaciastand.host import (
    Grant,
    Host,
    RequestFacts,
    WorkerCommandKind,
    WorkerTask,
    bucket_task_id,
)
from acaciastand.host.grants import KEPT_HEARTBEATS
from acaciastand.host.host import MAX_SHARDS
from acaciastand.host.keyed import MAX_ANSWER_BYTES, unknown_key_refusal
from acaciastand.host.ledger import MAX_ATTEMPTS, MAX_CLOSED_NUMBERS
from acaciastand.resources import Resources
from acaciastand.wire.messages import EntryAddress

SERVICE = "shop"
NOW = 100.0


def ready_host():
    host = Host([SERVICE])
    host.capacity = Resources(1e6, 10**6, 0)
    host.worker_up = True
    host.apply_target_status(True, [], NOW)
    host.apply_worker_tasks([], NOW, NOW)
    host.record_heartbeat("link", 1, NOW)
    return host


def offer(host, task, shard=1, sequence=1):
    grant = Grant(shard, 1, task, 1, Resources(), heartbeat_sequence=sequence, grant_seconds=9.0)
    return host.accept_grant("link", grant, NOW)


def keyed(key, size_key="k"):
    return RequestFacts(key, SERVICE, 1, 1.0, size_key, 1)


def fill_heartbeats(host):
    for sequence in range(2, KEPT_HEARTBEATS + 1):
        host.record_heartbeat("link", sequence, NOW)
    assert offer(host, "job/first") is None
    host.record_heartbeat("link", KEPT_HEARTBEATS + 1, NOW)
    return lambda: offer(host, "job/next")


def fill_attempts(host):
    assert all(offer(host, f"job/{number}") is None for number in range(MAX_ATTEMPTS))
    return lambda: offer(host, "job/next")


def fill_stops(host):
    for number in range(MAX_CLOSED_NUMBERS):
        assert host.stop_attempt(1, 1, f"job/{number}", 1, False, NOW) is None


def fill_stops_for_grant(host):
    fill_stops(host)
    return lambda: offer(host, "job/next")


def fill_stops_for_stop(host):
    fill_stops(host)
    return lambda: host.stop_attempt(1, 1, "job/next", 1, False, NOW)


def fill_shards(host):
    assert all(host.observe_epoch(shard, 1) for shard in range(MAX_SHARDS))
    return lambda: offer(host, "job/next", shard=MAX_SHARDS)


def fill_answers(host):
    for key in ("k", "other"):
        assert offer(host, bucket_task_id(SERVICE, key)) is None
    facts = keyed("r1")
    assert host.requests.admit(facts, NOW).reason is None
    host.requests.answered(facts, "answer", MAX_ANSWER_BYTES, NOW)
    return lambda: host.requests.admit(keyed("r2", "other"), NOW).reason


def fill_directory(_host):
    links = Links([], "zone", None, random.Random(1))
    entries = [EntryAddress(str(n), f"10.0.0.1:{n}") for n in range(MAX_DIRECTORY + 1)]
    links.links["entry"] = SimpleNamespace(address="entry", is_open=True)
    links.update_directory("entry", entries)
    return lambda: len(links.directory)


FILL = {
    "kept heartbeats": fill_heartbeats,
    "held attempts": fill_attempts,
    "stopped numbers": fill_stops_for_grant,
    "stops remembered": fill_stops_for_stop,
    "shards": fill_shards,
    "recorded bytes": fill_answers,
    "entries known": fill_directory,
}


@given('a host at the bound "{bound}"')
def step_at_bound(context, bound):
    context.offer = FILL[bound](ready_host())


@when("one more is offered")
def step_offer(context):
    context.refusal = context.offer()


@then('the host answers "{refusal}"')
def step_refused(context, refusal):
    assert str(context.refusal) == refusal, context.refusal


@given("a bucket held for {tracked:g} s, a key first sent {age} s ago and a window of {window:g} s")
def step_key(context, tracked, age, window):
    context.key = (None if age == "unknown" else float(age), tracked, window)


@when("the key comes with attempt number {number:d}")
def step_key_number(context, number):
    context.refusal = unknown_key_refusal(number, *context.key)


@then("the key is decided as {result}")
def step_key_result(context, result):
    reason = "run" if context.refusal is None else context.refusal[1]
    assert reason == result, context.refusal


@given("a running task whose lease the worker ended 40 ms before its grant")
def step_lease_ended(context):
    host = context.host = ready_host()
    assert offer(host, "job/1") is None
    (command,) = host.issue_commands(NOW)
    host.record_command_done(command, NOW)
    task = {"task_id": "job/1", "attempt": 1, "shard": 1, "lease_seconds": 0.0}
    size = {"size": Resources(), "usage": Resources()}
    for state, asked_at in (("running", NOW + 0.1), ("paused", command.valid_until - 0.04)):
        host.apply_worker_tasks([WorkerTask(state=state, **task, **size)], asked_at, asked_at)
    context.now = command.valid_until - 0.03


@then("the host asks for no resume")
def step_no_resume(context):
    # A resume would buy 30 ms of running and one more pause, and count as another run.
    commands = context.host.issue_commands(context.now)
    assert commands == [], commands


@when("the grant is renewed")
def step_renew(context):
    context.host.record_heartbeat("link", 2, context.now)
    assert context.host.renew_grant("link", 2, "job/1", 1, 9.0, context.now)


@then("the host asks for a resume until the end of the renewed grant")
def step_resume(context):
    (command,) = context.host.issue_commands(context.now)
    expected = (WorkerCommandKind.RESUME, context.now + 9.0)
    assert (command.kind, command.valid_until) == expected, command


@given("a host that has held the key's bucket as attempt {attempt:d} for {seconds_as_home:g} s")
def step_tracked_bucket(context, attempt, seconds_as_home):
    context.host = ready_host()
    task = bucket_task_id(SERVICE, "k")
    seconds = seconds_as_home + 10.0  # the grant outlasts the question
    context.host.grant_seconds = seconds
    grant = Grant(1, 1, task, attempt, Resources(), heartbeat_sequence=1, grant_seconds=seconds)
    assert context.host.accept_grant("link", grant, NOW) is None
    context.asked_at = NOW + seconds_as_home


@when("a first attempt with an unknown key arrives")
def step_unknown_key(context):
    context.admission = context.host.requests.admit(keyed("r1"), context.asked_at)


@then('its reason is "{reason}"')
def step_admission(context, reason):
    given_reason = context.admission.reason
    assert (str(given_reason) if given_reason else "none") == reason, given_reason
