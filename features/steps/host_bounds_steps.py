"""Steps on the bounds of the tables of the host and the agent, and on keys and leases."""

import random
from types import SimpleNamespace

from behave import given, then, when

from acaciastand.agent.entry_link_pool import MAX_DIRECTORY_ENTRIES, EntryLinkPool
from acaciastand.host import (
    Grant,
    Host,
    RequestMetadata,
    WorkerCommandKind,
    WorkerTask,
    bucket_task_id,
)
from acaciastand.host.heartbeats import MAX_HEARTBEATS_PER_LINK
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


def keyed_request(request_id, key="k"):
    return RequestMetadata(request_id, SERVICE, 1, 1.0, key, 1)


def fill_heartbeats(host):
    for sequence in range(2, MAX_HEARTBEATS_PER_LINK + 1):
        host.record_heartbeat("link", sequence, NOW)
    assert offer(host, "job/first") is None
    host.record_heartbeat("link", MAX_HEARTBEATS_PER_LINK + 1, NOW)
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
    request = keyed_request("r1")
    assert host.requests.admit(request, NOW).reason is None
    host.requests.record_answer(request, "answer", MAX_ANSWER_BYTES, NOW)
    return lambda: host.requests.admit(keyed_request("r2", "other"), NOW).reason


def fill_directory(_host):
    links = EntryLinkPool([], "zone", None, random.Random(1))
    entries = [EntryAddress(str(n), f"10.0.0.1:{n}") for n in range(MAX_DIRECTORY_ENTRIES + 1)]
    links.links["entry"] = SimpleNamespace(address="entry", is_open=True)
    links.update_directory("entry", entries)
    return lambda: len(links.directory)


# Functions that fill a table up to its bound and return a call that adds one more item.
FILL_TO_BOUND = {
    "heartbeats of a link": fill_heartbeats,
    "tracked attempts": fill_attempts,
    "closed numbers, grant": fill_stops_for_grant,
    "closed numbers, stop": fill_stops_for_stop,
    "shards": fill_shards,
    "recorded bytes": fill_answers,
    "entries of a directory": fill_directory,
}


@given('a host at the bound "{bound}"')
def step_at_bound(context, bound):
    context.add_item = FILL_TO_BOUND[bound](ready_host())


@when("one more item is added")
def step_add_item(context):
    context.result = context.add_item()


@then('the result is "{result}"')
def step_result(context, result):
    assert str(context.result) == result, context.result


@given("a bucket tracked for {tracked:g} s, a key of age {age} s and a window of {window:g} s")
def step_key(context, tracked, age, window):
    context.key = (None if age == "unknown" else float(age), tracked, window)


@when("a request with the key has attempt number {number:d}")
def step_key_number(context, number):
    context.refusal = unknown_key_refusal(number, *context.key)


@then("the decision is {decision}")
def step_key_decision(context, decision):
    reason = "run" if context.refusal is None else context.refusal[1]
    assert reason == decision, context.refusal


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


@then("the host issues no resume command")
def step_no_resume(context):
    # A resume would allow 30 ms of running before another pause, and count as another run.
    commands = context.host.issue_commands(context.now)
    assert commands == [], commands


@when("the grant is renewed")
def step_renew(context):
    context.host.record_heartbeat("link", 2, context.now)
    assert context.host.renew_grant("link", 2, "job/1", 1, 9.0, context.now)


@then("the host issues a resume command until the end of the renewed grant")
def step_resume(context):
    (command,) = context.host.issue_commands(context.now)
    expected = (WorkerCommandKind.RESUME, context.now + 9.0)
    assert (command.kind, command.valid_until) == expected, command


@given("a host that has been the home of the bucket as attempt {attempt:d} for {home_seconds:g} s")
def step_tracked_bucket(context, attempt, home_seconds):
    context.host = ready_host()
    task = bucket_task_id(SERVICE, "k")
    seconds = home_seconds + 10.0  # The grant is still valid when the request arrives.
    context.host.grant_seconds = seconds
    grant = Grant(1, 1, task, attempt, Resources(), heartbeat_sequence=1, grant_seconds=seconds)
    assert context.host.accept_grant("link", grant, NOW) is None
    context.arrived_at = NOW + home_seconds


@when("a first attempt with an unknown key arrives")
def step_unknown_key(context):
    context.admission = context.host.requests.admit(keyed_request("r1"), context.arrived_at)


@then('the reason of its refusal is "{expected}"')
def step_admission(context, expected):
    reason = context.admission.reason
    assert (str(reason) if reason else "none") == expected, reason
