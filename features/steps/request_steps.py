"""Steps on callers' requests, with fake agents over loopback sockets."""

import io
import json
import logging
import time

import gevent
from behave import given, then, when
from entry_support import GRANT_SECONDS, SERVICE, WAIT_SECONDS, Entry, FakeAgent, answer_with_name
from gevent import socket
from skew import of_version
from waiting import wait_for

import acaciastand.entry.http as http_module
import acaciastand.entry.http_errors as http_errors
import acaciastand.entry.peers as peers_module
import acaciastand.entry.requests as requests_module
import acaciastand.routing.deadline as deadline_module
import acaciastand.routing.target as target_module
from acaciastand.errors import AcaciastandError
from acaciastand.telemetry.logs import JsonFormatter
from acaciastand.wire.codec import MAX_BODY_BYTES, encode
from acaciastand.wire.connection import REPLY_BIT, ConnectionClosed
from acaciastand.wire.messages import (
    Drain,
    Execute,
    ExecuteReply,
    Heartbeat,
    HeldAttempt,
    SettingsUpdate,
    ShardEpoch,
)

PATH = f"/v1/services/{SERVICE}/requests"
BEFORE_REMOVAL_SECONDS = 2.5  # an agent is removed after 3 s without heartbeat
LATE_SECONDS = 0.45  # after the timeout of 300 ms


def reply(**fields):
    return lambda _agent, message: ExecuteReply(**{"request_id": message.request_id, **fields})


def late(agent, message):
    gevent.sleep(LATE_SECONDS)
    return answer_with_name(agent, message)


def never(agent, _message):
    agent.release.wait()


def when_released(agent, message):
    agent.release.wait()
    return answer_with_name(agent, message)


def refuse_when_released(agent, message):
    agent.release.wait()
    return ExecuteReply(message.request_id, outcome="not_run", reason="no_slot")


def close(agent, message):
    agent.old = message.request_id
    agent.connection.close()


def run_and_close(agent, message):
    answer_with_name(agent, message)
    agent.connection.close()


def truncate(agent, message):
    agent.mangle = lambda data: [data[:-3]]
    return answer_with_name(agent, message)


def rubbish(agent, message):
    agent.mangle = lambda _data: [b"\xff\xff"]
    return answer_with_name(agent, message)


def twice(agent, message):
    agent.mangle = lambda data: [data, data]
    return answer_with_name(agent, message)


def reverse(agent, message):
    agent.waiting = getattr(agent, "waiting", 0) + 1
    position = agent.waiting
    wait_for(lambda: agent.waiting == 12, "all requests arrived")
    gevent.sleep((12 - position) * 0.005)
    return answer_with_name(agent, message)


BEHAVIOURS = {
    "answers": answer_with_name,
    "answers too late": late,
    "never answers": never,
    "answers when released": when_released,
    "answers in reverse": reverse,
    "answers twice": twice,
    "answers another request": reply(request_id="another", status=200),
    "answers without status": reply(),
    "answers with a bad outcome": reply(outcome="maybe", reason="odd"),
    "answers a bad status": reply(status=7),
    "answers with a heartbeat": lambda _agent, _message: Heartbeat(),
    "answers with rubbish": rubbish,
    "closes the connection": close,
    "runs and closes the connection": run_and_close,
    "truncates its answer": truncate,
}


def behaviour(text):
    if text == "refuses with no_slot when released":
        return refuse_when_released
    if text.startswith("refuses with "):
        return reply(outcome="not_run", reason=text.removeprefix("refuses with "))
    if text.startswith("does not know: "):
        return reply(outcome="unknown", reason=text.removeprefix("does not know: "))
    return BEHAVIOURS[text]


def add_agent(context, name, script, **options):
    agent = FakeAgent(context.stack, name, script, **options)
    context.agents[name] = agent
    return agent.dial(context.entry.address)


def spawn_all(context, count, **headers):
    jobs = [
        gevent.spawn(context.entry.ask, f"body {number}".encode(), **headers)
        for number in range(count)
    ]
    return jobs


def finish(jobs):
    gevent.joinall(jobs, timeout=WAIT_SECONDS, raise_error=True)
    return [job.value for job in jobs]


def shorten(context, module, constant, value):
    context.stack.callback(setattr, module, constant, getattr(module, constant))
    setattr(module, constant, value)


@given("an entry whose store is down")
def step_entry(context):
    context.agents = {}
    context.entry = Entry(context.stack)


@given('an agent "{name}" that "{text}"')
def step_agent(context, name, text):
    add_agent(context, name, behaviour(text))


@given('{count:d} requests were answered by an agent "{name}"')
def step_answered(context, count, name):
    add_agent(context, name, answer_with_name)
    assert all(context.entry.ask().status == 200 for _ in range(count))


@given('agent "{name}" now "{text}"')
def step_now(context, name, text):
    context.agents[name].script = behaviour(text)


@given('an agent "{name}" in the same zone with more room that "{text}"')
def step_more_capacity(context, name, text):
    for agent in context.agents.values():
        agent.heartbeat(in_flight=7)
    add_agent(context, name, behaviour(text))


@given('agents "{first}" and "{second}" of which "{home}" has the higher attempt of all buckets')
def step_homes(context, first, second, home):
    for name in (first, second):
        attempts = [
            HeldAttempt(task_id=f"bucket/{SERVICE}/{number}", attempt=2 if name == home else 1)
            for number in range(32)
        ]
        add_agent(context, name, answer_with_name, attempts=attempts)


@given("the entry takes {count:d} requests at once")
def step_limit(context, count):
    shorten(context, requests_module, "MAX_REQUESTS", count)


@given("a second entry that knows the first")
def step_second(context):
    context.second = Entry(context.stack, "entry-1", [context.entry.address])
    context.peers = context.second.daemon.peers
    wait_for(lambda: context.peers.connected() and context.peers.identified(), "the entries met")
    if context.agents:
        wait_for(lambda: context.peers.with_target(SERVICE), "the target is announced")


@given('an agent "{name}" of the second entry that "{text}"')
def step_agent_of_second(context, name, text):
    context.agents[name] = FakeAgent(context.stack, name, behaviour(text))
    context.agents[name].dial(context.second.address)


@given("the first entry owns shard {shard:d}")
def step_owns(context, shard):
    context.entry.owner.shards = [ShardEpoch(shard, 1)]
    wait_for(lambda: context.peers.owner_of(shard), "the shard is announced")


@when("a non-idempotent request is sent with a timeout of {milliseconds:d} ms")
def step_send(context, milliseconds):
    context.answer = context.entry.ask(Request_Timeout_Ms=milliseconds)


@when("an idempotent request is sent")
def step_send_idempotent(context):
    context.answer = context.entry.ask(Idempotent="true")


@when('a request with key "{key}" is sent')
def step_send_keyed(context, key):
    context.answer = context.entry.ask(Idempotency_Key=key, Attempt_Number=1)


@when('a request with key "{key}" is sent to the second entry')
def step_send_keyed_second(context, key):
    context.answer = context.second.ask(Idempotency_Key=key, Attempt_Number=1)


@when("a request is sent to the second entry")
def step_send_second(context):
    context.answer = context.second.ask()


@when("{count:d} requests are sent to the second entry")
def step_send_several_second(context, count):
    context.answers = [context.second.ask() for _ in range(count)]


@then('{count:d} of them are answered by "{name}" and the others are refused with "{code}"')
def step_some_forwarded(context, count, name, code):
    answered = [answer for answer in context.answers if answer.status == 200]
    assert len(answered) == count, [answer.status for answer in context.answers]
    assert len(executions(context.agents[name])) == count
    refused = [answer.json() for answer in context.answers if answer.status != 200]
    assert {(item["code"], item["outcome"]) for item in refused} == {(code, "not_run")}, refused


@then('agent "{name}" received at most {limit:d} of them')
def step_received_at_most(context, name, limit):
    assert 1 <= len(executions(context.agents[name])) <= limit


def executions(agent):
    return [message for message in agent.received if isinstance(message, Execute)]


@when("each entry believes that the other has a target and a request is sent to the second")
def step_circle(context):
    wait_for(lambda: context.entry.daemon.peers.identified(), "the entries met both ways")
    for entry in (context.entry, context.second):
        for peer in entry.daemon.peers.identified():
            peer.heartbeat.free_slots = {SERVICE: 1}
    context.answer = context.second.ask()


@when("{count:d} requests with different keys are sent")
def step_many_keys(context, count):
    for number in range(count):
        answer = context.entry.ask(Idempotency_Key=f"key-{number}", Attempt_Number=1)
        assert answer.status == 200, answer.body


@when("{count:d} callers send a request at once")
def step_at_once(context, count):
    context.jobs = spawn_all(context, count)


@when("one caller sends {count:d} requests in turn")
def step_in_turn(context, count):
    context.jobs = []
    for number in range(count):
        job = gevent.spawn(context.entry.ask, f"body {number}".encode())
        finish([job])
        context.jobs.append(job)


@when("{count:d} non-idempotent requests are sent")
def step_many(context, count):
    context.answers = [context.entry.ask() for _ in range(count)]


@when('agent "{name}" connects again and repeats its old answer for the next request')
def step_old_answer(context, name):
    agent = context.agents[name]
    wait_for(lambda: not context.entry.daemon.registry.sessions(), "the old session ended")

    def answer_old(agent, _message):
        old = ExecuteReply(agent.old, 200, b"old answer")
        agent.connection._send_frame(encode(old, 2 | REPLY_BIT))

    agent.script = answer_old
    agent.dial(context.entry.address)


@when('agent "{name}" reads no more and {count:d} large requests are sent')
def step_reads_no_more(context, name, count):
    agent = context.agents[name]
    agent.connection._handle_event = lambda _event: agent.release.wait()
    body = b"x" * MAX_BODY_BYTES
    jobs = [gevent.spawn(context.entry.ask, body, Request_Timeout_Ms=500) for _ in range(count)]
    gevent.joinall(jobs, timeout=BEFORE_REMOVAL_SECONDS)
    context.in_time = sum(job.ready() for job in jobs)
    context.answers = finish(jobs)


@then("each ends, those that never left as not run and the others as unknown")
def step_each_ends(context):
    found = {(answer.json()["code"], answer.json()["outcome"]) for answer in context.answers}
    assert ("no_connection", "not_run") in found, found
    assert context.in_time == len(context.answers), "no caller waits longer than its deadline"
    assert found <= {
        ("no_connection", "not_run"),
        ("timed_out", "unknown"),
        ("connection_lost", "unknown"),
    }, found


LIMITS = {
    "requests to one agent": (target_module, "MAX_OWN_IN_FLIGHT"),
    "calls to one peer": (peers_module, "MAX_FORWARDS"),
}


@when('the limit of "{what}" is 1 and {count:d} requests are sent to the {which} entry')
def step_limited(context, what, count, which):
    shorten(context, *LIMITS[what], 1)
    entry = context.entry if which == "first" else context.second
    context.jobs = [gevent.spawn(entry.ask, Request_Timeout_Ms=5000) for _ in range(count)]


@then('{count:d} of them are refused with "{code}" as not run')
def step_some_refused(context, count, code):
    wait_for(lambda: sum(job.ready() for job in context.jobs) == count, "the refusals")
    context.agents["a"].release.set()
    refused = [answer for answer in finish(context.jobs) if answer.status != 200]
    assert len(refused) == count
    for answer in refused:
        assert (answer.json()["code"], answer.json()["outcome"]) == (code, "not_run"), answer.body


@when("a caller sends its headers slowly")
def step_slow_headers(context):
    shorten(context, http_module, "HEADER_SECONDS", 0.2)
    context.caller = open_caller(context, f"POST {PATH} HTTP/1.1\r\nHost: entry\r\n".encode())


@then("it is disconnected and nothing ran")
def step_disconnected(context):
    with gevent.Timeout(WAIT_SECONDS, AssertionError("no end in time")):
        while context.caller.recv(1024):
            pass
    assert not context.entry.counters.totals().get("requests.answered.count")


@when('agent "{name}" sends Drain')
def step_drain(context, name):
    context.agents[name].connection.send(Drain("planned stop"))
    wait_for(lambda: context.entry.daemon.registry.get(name).draining, "the drain arrived")


@when('the settings tree drains "{name}" with revision {revision:d}')
def step_drain_by_tree(context, name, revision):
    context.entry.settings.change({"draining": [name]}, revision)
    wait_for(lambda: context.entry.daemon.registry.get(name).leaving, "the settings took effect")


@given('an agent "{name}" whose frames say version {version:d}')
def step_agent_of_version(context, name, version):
    agent = context.agents[name] = FakeAgent(context.stack, name)
    agent.mangle = lambda data: [of_version(data, version)]
    agent.dial(context.entry.address)


@when('an agent "{name}" whose frames say version {version:d} dials')
def step_distant_agent(context, name, version):
    context.lines = io.StringIO()
    handler = logging.StreamHandler(context.lines)
    handler.setFormatter(JsonFormatter())
    logging.getLogger().addHandler(handler)
    context.stack.callback(logging.getLogger().removeHandler, handler)
    try:
        step_agent_of_version(context, name, version)
    except ConnectionClosed:
        return
    raise AssertionError("the agent was welcomed")


@then("no agent is a member")
def step_nobody(context):
    assert context.entry.daemon.registry.sessions() == []


@then('the refused version was counted once and logged with "{remedy}"')
def step_version_refused(context, remedy):
    wait_for(lambda: context.entry.count("wire.version_refused") == 1, "the counter")
    lines = [json.loads(line) for line in context.lines.getvalue().splitlines()]
    (line,) = [line for line in lines if line["message"] == "protocol version refused"]
    assert line["level"] == "error" and remedy in line["error"], line


@when('agent "{name}" sends a heartbeat')
def step_heartbeat(context, name):
    context.reply = context.agents[name].heartbeat()


@then("the reply states the owner's grant length")
def step_grant_length(context):
    assert context.reply.grant_seconds == GRANT_SECONDS, context.reply


@given('the settings of site "{site}" have the grant length {seconds:d}')
def step_site_settings(context, site, seconds):
    values = {"grant_seconds": float(seconds)}
    context.entry.settings.values_by_path[f"{site}/{SERVICE}"] = values


@given('an agent "{name}" of site "{site}"')
def step_agent_of_site(context, name, site):
    agent = FakeAgent(context.stack, name, path=site)
    context.agents[name] = agent.dial(context.entry.address)


@then('agent "{name}" is welcomed with the grant length {seconds:d}')
def step_welcomed(context, name, seconds):
    assert context.agents[name].welcome.settings["grant_seconds"] == seconds


@when('the settings tree sets the log level "{level}" with revision {revision:d}')
@when('the settings tree sets the log level "" with revision {revision:d}')
def step_tree_log_level(context, revision, level=""):
    root = logging.getLogger()
    context.stack.callback(root.setLevel, root.level)
    context.entry.settings.change({"log_level": level}, revision)


@when('agent "{name}" falls silent')
def step_unresponsive(context, name):
    context.entry.daemon.registry.get(name).heartbeat_seconds = 0.05


@when('agent "{name}" connects a second time and its first connection sends a heartbeat')
def step_second_connection(context, name):
    agent = context.agents[name]
    session = context.entry.daemon.registry.get(name)
    add_agent(context, name, answer_with_name)
    context.reply = context.entry.daemon.agent_messages.handle(
        session.connection, Heartbeat(sequence=1)
    )
    agent.close()


@when("a caller sends a request and goes away")
def step_caller_gone(context, agents=None):
    head = f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nContent-Length: 1\r\n\r\nx"
    caller = open_caller(context, head.encode())
    agents = agents or [context.agents["a"]]
    wait_for(lambda: any(agent.received for agent in agents), "the request arrived")
    caller.close()
    for agent in agents:
        agent.release.set()


@when('a caller sends a request and goes away before agents "{first}" and "{second}" answer')
def step_gone_before_answer(context, first, second):
    budget = context.entry.daemon.router.services[SERVICE].budget
    for _ in range(10):  # a retry would be paid from these
        budget.record_request(time.monotonic())
    step_caller_gone(context, [context.agents[first], context.agents[second]])


@then("one agent received the request, nothing is left in progress and it is counted")
def step_not_retried(context):
    wait_for(lambda: not context.entry.daemon.http.in_progress, "the request ends")
    received = [len(executed_of(agent)) for agent in context.agents.values()]
    assert sorted(received) == [0, 1], received
    assert context.entry.count("requests.caller_gone") == 1
    assert context.entry.count("refused.no_slot") == 1


def executed_of(agent):
    return [message for message in agent.received if isinstance(message, Execute)]


@when("a caller sends half of its body and goes away")
def step_half_body(context):
    head = f"POST {PATH} HTTP/1.1\r\nHost: entry\r\nContent-Length: 10\r\n\r\nhalf"
    caller = open_caller(context, head.encode())
    wait_for(lambda: context.entry.daemon.http.in_progress, "the request has begun")
    caller.close()


@when('a request that is "{what}" is sent')
def step_bad_request(context, what):
    shorten(context, http_errors, "BODY_SECONDS", 0.2)
    if what == "short of time":
        shorten(context, deadline_module, "MIN_REMAINING_MS", 5000)
    headers = {
        "short of time": {"Request_Timeout_Ms": 4000},
        "keyed without attempt": {"Idempotency_Key": "k"},
        "with a bad timeout": {"Request_Timeout_Ms": "soon"},
        "with a bad flag": {"Idempotent": "perhaps"},
        "with a long key": {"Idempotency_Key": "k" * 200, "Attempt_Number": 1},
    }
    if what in headers:
        context.answer = context.entry.ask(**headers[what])
    elif what == "too large":
        context.answer = context.entry.ask(b"x" * (MAX_BODY_BYTES + 1))
    else:
        context.answer = raw_answer(context, what)


@when('a settings edit that is "{what}" is sent')
def step_bad_edit(context, what):
    shorten(context, http_errors, "BODY_SECONDS", 0.2)
    path = "/v1/settings/maison-reprise/log_level"
    if what == "too large":
        context.answer = context.entry.call("PUT", path, b"x" * (MAX_BODY_BYTES + 1))
    else:
        context.answer = raw_answer(context, what, f"PUT {path}")


def raw_answer(context, what, call=f"POST {PATH}"):
    head = f"{call} HTTP/1.1\r\nHost: entry\r\n"
    if what == "too slow":
        data = f"{head}Content-Length: 10\r\n\r\nhalf".encode()
    else:
        chunk = b"x" * (MAX_BODY_BYTES + 1)
        data = f"{head}Transfer-Encoding: chunked\r\n\r\n{len(chunk):x}\r\n".encode() + chunk
        data += b"\r\n0\r\n\r\n"
    caller = open_caller(context, data)
    received = b""
    with gevent.Timeout(WAIT_SECONDS, AssertionError("no end in time")):
        while more := caller.recv(65536):
            received += more
    return RawAnswer(received)


class RawAnswer:
    """Answer read from a socket until it closed."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.status = int(head.split()[1])

    def json(self):
        """Return the body as a dict."""
        return json.loads(self.body)


def open_caller(context, data):
    host, port = context.entry.daemon.http.bound_address.split(":")
    caller = socket.create_connection((host, int(port)))
    context.stack.callback(caller.close)
    caller.sendall(data)
    return caller


@when("a request is in progress and the entry is asked to stop")
def step_stop(context):
    context.jobs = spawn_all(context, 1)
    agent = context.agents["a"]
    wait_for(lambda: agent.received, "the request arrived")
    context.stopping = gevent.spawn(context.entry.daemon.stop)


@when("the settings of the first entry change to revision {revision:d}")
def step_settings(context, revision):
    context.entry.settings.change({"retry_budget": 0.1}, revision)


@when('job "{job_id}" is queried at the second entry')
def step_query(context, job_id):
    context.answer = context.second.call("GET", f"/v1/jobs/{job_id}")


@then('the answer is {status:d} with code "{code}" and outcome "{outcome}"')
def step_refused(context, status, code, outcome):
    found = context.answer.json()
    expected = (status, code, outcome)
    assert (context.answer.status, found["code"], found["outcome"]) == expected, found
    assert found["message"] and found["remedy"], found


@then('the answer is 200 from "{name}"')
def step_answer_from(context, name):
    assert context.answer.status == 200, context.answer.body
    assert context.answer.body.startswith(name.encode() + b":"), context.answer.body


@then('the counter of "{reason}" is {count:d}')
def step_counter(context, reason, count):
    assert context.entry.count(f"refused.{reason}") == count, context.entry.counters.totals()


@then('the error "{code}" was counted once')
def step_error_counter(context, code):
    assert context.entry.count(f"http.errors.{code}") == 1, context.entry.counters.totals()


@then("each entry refused it once")
def step_refused_once(context):
    for entry in (context.entry, context.second):
        assert entry.count("refused.forward_limit") == 1, entry.counters.totals()


@then("the answer has Retry-After")
def step_retry_after(context):
    assert int(context.answer.headers["retry-after"]) >= 1


@then("the next request gets its own answer")
def step_next(context):
    context.agents["a"].script = answer_with_name
    answer = context.entry.ask(b"next")
    assert (answer.status, answer.body) == (200, b"a:next"), answer.body


@then('agent "{name}" executed {count:d} requests')
def step_executed(context, name, count):
    assert len(context.agents[name].executed) == count


@then('agent "{name}" is not a member')
def step_no_member(context, name):
    registry = context.entry.daemon.registry
    wait_for(lambda: registry.get(name) is None, "the agent is removed")
    assert name in context.entry.owner.gone
    assert name not in context.entry.daemon.router.targets


@then("each caller has the answer to its own request")
def step_own_answers(context):
    bodies = [answer.body for answer in finish(context.jobs)]
    assert bodies == [f"a:body {number}".encode() for number in range(len(bodies))], bodies


@then('some requests were retried with "{reason}" and the agents received at most {limit:d}')
def step_retried(context, reason, limit):
    assert context.entry.count(f"retried.{reason}") >= 1
    assert len(received_requests(context)) <= limit
    codes = {answer.json()["code"] for answer in context.answers if answer.status != 200}
    assert codes == {"retry_budget_spent"}, codes


@then("no request ran twice and every refused request ran 0 times")
def step_no_double(context):
    executed = [name for agent in context.agents.values() for name in agent.executed]
    assert len(executed) == len(set(executed))
    for answer in context.answers:
        ran = answer.headers["request-id"] in executed
        outcome = "answered" if answer.status == 200 else answer.json()["outcome"]
        assert ran or outcome != "answered"
        assert not (ran and outcome == "not_run"), answer.body


@then('one of them is refused with "{code}" and the others are answered')
def step_one_refused(context, code):
    wait_for(lambda: any(job.ready() for job in context.jobs), "one is refused")
    context.agents["a"].release.set()
    answers = finish(context.jobs)
    refused = [answer.json()["code"] for answer in answers if answer.status != 200]
    assert refused == [code], refused


@then('agent "{name}" executes 1 request and nothing is left in progress')
def step_gone_executed(context, name):
    wait_for(lambda: len(context.agents[name].executed) == 1, "the request ran")
    step_nothing_left(context, name, 1)


@then('nothing is left in progress and agent "{name}" executed {count:d} requests')
def step_nothing_left(context, name, count):
    daemon = context.entry.daemon
    wait_for(lambda: not daemon.http.in_progress, "the call ended")
    assert daemon.requests.in_progress == 0
    assert daemon.router.targets[name].own_in_flight == 0
    assert len(context.agents[name].executed) == count


@then('agents "{first}" and "{second}" received the settings of revision {revision:d}')
def step_received(context, first, second, revision):
    for name in (first, second):
        agent = context.agents[name]
        wait_for(
            lambda agent=agent: any(
                isinstance(message, SettingsUpdate) and message.revision == revision
                for message in agent.received
            ),
            "the settings arrived",
        )


@then('the heartbeat is not answered and "{name}" is a member once')
def step_ended_session(context, name):
    assert context.reply is None
    assert [session.agent_id for session in context.entry.daemon.registry.sessions()] == [name]


@then('only "{name}" executed them')
def step_only(context, name):
    for agent in context.agents.values():
        assert bool(agent.executed) == (agent.name == name)


@then("the agents received {count:d} request in all")
def step_received_in_all(context, count):
    assert len(received_requests(context)) == count


def received_requests(context):
    return [
        message
        for agent in context.agents.values()
        for message in agent.received
        if isinstance(message, Execute)
    ]


@then("/readyz fails, the request is answered and new connections are refused")
def step_stopped(context):
    daemon = context.entry.daemon
    ready = context.entry.call("GET", "/readyz")
    assert ready.status == 503, ready.body
    wait_for(lambda: daemon.http.closed, "the listener closed")
    assert not context.stopping.ready()
    context.agents["a"].release.set()
    assert finish(context.jobs)[0].status == 200
    finish([context.stopping])
    try:
        context.entry.ask()
    except (OSError, AcaciastandError):
        return
    raise AssertionError("a new connection was accepted")


@then("the job's state comes from the first entry")
def step_job_state(context):
    assert context.answer.json()["state"] == "running", context.answer.body
    assert context.entry.owner.calls == [("query", "j3-abc")]


@then('job "{job_id}" is refused with "{code}"')
def step_no_owner(context, job_id, code):
    answer = context.second.call("DELETE", f"/v1/jobs/{job_id}")
    assert answer.json()["code"] == code
    assert context.second.count(f"refused.{code}") == 1


@then("the second entry has revision {revision:d}")
def step_adopted(context, revision):
    wait_for(lambda: context.second.settings.revision == revision, "the settings were adopted")
