"""Steps for the coordination library; the rules of its contract are in store_contract.py."""

import contextlib
import io
import json
import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import cbor2
import gevent
from behave import given, then, when
from bounds import BOUNDS
from gevent.server import StreamServer
from geventhttpclient import HTTPClient
from hypothesis.stateful import RuleBasedStateMachine, rule
from store_contract import RULES, HttpStoreFixture, MemoryStoreFixture, fails_with

from acaciastand.coordination import (
    CallKind,
    LeaseSession,
    MemoryStore,
    StoreAnswerLost,
    StoreUnavailable,
    preferred_owner,
)
from acaciastand.platform.store_client import MAX_CONNECTIONS, HttpStore
from acaciastand_lab.fuzz import fuzz, load_machines, run_machine
from acaciastand_standin.store import StoreService, create_server

PAGE = Path("docs/COORDINATION.md")
SLOW_SECONDS = 0.3  # Delay of each call to a slow service; timeout of clients in other scenarios.
MAX_WAIT_SECONDS = 20.0  # Limit for each wait of a step, for example until a program has started.
STEPS_PER_EXAMPLE = 50  # Rules that one run of a state machine executes.


@given("the {kind} store")
def step_store(context, kind):
    context.store_fixture = {"memory": MemoryStoreFixture, "http": HttpStoreFixture}[kind](
        context.stack
    )


@when("its service takes longer to respond than the client's timeout")
def step_slow(context):
    context.store_fixture.service.faults.slow_seconds = SLOW_SECONDS
    context.client = HttpStore(context.store_fixture.store.url, SLOW_SECONDS / 6)
    context.stack.callback(context.client.close)


@when("its service has stopped")
def step_stopped(context):
    context.store_fixture.server.stop()


@then("a write raises {write_error} and a read raises {read_error}")
def step_errors(context, write_error, read_error):
    errors = {"StoreAnswerLost": StoreAnswerLost, "StoreUnavailable": StoreUnavailable}
    fails_with(errors[write_error], context.client.put_if, "key", b"value", 0)
    fails_with(errors[read_error], context.client.get, "key")


@then("the call beyond the client's connections succeeds after another call has ended")
def step_call_beyond_limit(context):
    context.store_fixture.service.faults.slow_seconds = SLOW_SECONDS
    started_at = time.monotonic()
    calls = [
        gevent.spawn(context.store_fixture.store.get, "key") for _ in range(MAX_CONNECTIONS + 1)
    ]
    gevent.joinall(calls, raise_error=True)
    assert time.monotonic() - started_at >= 2 * SLOW_SECONDS


@given("a service that sends one byte of its response every 30 ms")
def step_byte_by_byte(context):
    context.sends_byte_by_byte = True

    def serve(sock, _address):
        sock.recv(65536)
        body = cbor2.dumps(None)
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        parts = (
            [response[i : i + 1] for i in range(len(response))]
            if context.sends_byte_by_byte
            else [response]
        )
        with contextlib.suppress(OSError):
            for part in parts:
                sock.sendall(part)
                gevent.sleep(0.03 if context.sends_byte_by_byte else 0)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    context.stack.callback(server.stop, 0)
    context.client = HttpStore(f"http://127.0.0.1:{server.server_port}", SLOW_SECONDS)
    context.stack.callback(context.client.close)


@then("a read and a watch end within their timeouts and release their connections")
def step_whole_response(context):
    client = context.client
    started_at = time.monotonic()
    fails_with(StoreUnavailable, client.watch, "key", 0, 0.1)
    calls = [
        gevent.spawn(fails_with, StoreUnavailable, client.get, "key")
        for _ in range(MAX_CONNECTIONS)
    ]
    gevent.joinall(calls, raise_error=True)
    # A whole response has 41 bytes and takes 1.2 s; the limits of the watch and of the reads add up
    # to 0.7 s.
    assert time.monotonic() - started_at < 1.1, time.monotonic() - started_at
    context.sends_byte_by_byte = False
    calls = [gevent.spawn(client.get, "key") for _ in range(MAX_CONNECTIONS)]
    gevent.joinall(calls, SLOW_SECONDS, raise_error=True)
    assert all(call.successful() for call in calls)


@given("a service that is limited to {count:d} connection, which is in use")
def step_small_service(context, count):
    server = create_server("127.0.0.1:0", StoreService(), max_connections=count)
    server.start()
    context.stack.callback(server.stop, 0)
    url = f"http://127.0.0.1:{server.server_port}"
    context.connected_client, context.client = (HttpStore(url, SLOW_SECONDS) for _ in range(2))
    context.stack.callback(context.client.close)
    context.connected_client.get("key")


@then("a read is served only after that connection is closed")
def step_served_later(context):
    fails_with(StoreUnavailable, context.client.get, "key")
    context.connected_client.close()
    assert context.client.get("key") is None


@when("the stand-in program is started and receives SIGTERM while a watch waits")
def step_program(context):
    command = [sys.executable, "-m", "acaciastand_standin.program", "store"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, env=os.environ)
    context.stack.callback(process.stdout.close)
    context.stack.callback(process.kill)
    context.address = json.loads(process.stdout.readline())["address"]
    store = HttpStore(f"http://{context.address}", MAX_WAIT_SECONDS)
    context.version = store.put_if("key", b"value", 0)
    store.close()
    watch = gevent.spawn(store.watch, "key", context.version, 60.0)
    admin = HTTPClient.from_url(f"http://{context.address}")
    context.stack.callback(admin.close)
    with gevent.Timeout(MAX_WAIT_SECONDS, AssertionError("the watch did not begin")):
        while json.loads(admin.get("/v1/admin/counts").read())["calls"]["watch"] < 1:
            gevent.sleep(0.01)
    process.send_signal(signal.SIGTERM)
    context.watch_result = watch.get(timeout=MAX_WAIT_SECONDS)
    context.exit_code = process.wait(MAX_WAIT_SECONDS)


@then("the watch returned None, as at its timeout")
def step_watch_ended(context):
    assert context.watch_result is None, context.watch_result


@then("the program served a call at its address and exited with code 0")
def step_program_ended(context):
    assert (context.version, context.exit_code) == (1, 0)


@when('the machine "{name}" runs {steps:d} steps with seed {seed:d}')
def step_machine(context, name, steps, seed):
    run_machine(load_machines()[name], seed, steps, STEPS_PER_EXAMPLE)


@then("it found no violation")
def step_no_violation(context):
    """Do nothing: a violation makes the previous step fail."""


class BrokenMachine(RuleBasedStateMachine):
    """Fails at its third step."""

    def __init__(self):
        super().__init__()
        self.steps = 0

    @rule()
    def count(self):
        """Count the steps, and fail at the third one."""
        self.steps += 1
        assert self.steps < 3, "three steps were made"


@when("a machine that fails after a few steps is fuzzed with seed {seed:d}")
def step_broken_machine(context, seed):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.fuzz_passed = fuzz("broken", BrokenMachine, seed, STEPS_PER_EXAMPLE)
    context.output = output.getvalue()


@then("the output names the violation, the steps and the command with seed {seed:d}")
def step_reproducible(context, seed):
    assert not context.fuzz_passed
    assert "three steps were made" in context.output
    assert context.output.count("state.count()") == 3, context.output
    command = f"-m acaciastand_lab.fuzz --seed {seed} --steps {STEPS_PER_EXAMPLE} --machine broken"
    assert command in context.output


@then('the bound "{bound}" holds')
def step_bound(context, bound):
    BOUNDS[bound]()


@when("the holder of a lease of {ttl:d} seconds calls renew every second for {seconds:d} seconds")
def step_renew(context, ttl, seconds):
    context.time = 0.0

    def clock():
        # Each call takes effect some time after it was sent.
        context.time += 0.25
        return context.time

    context.store = MemoryStore(clock)
    context.session = LeaseSession(context.store, ttl)
    context.session.start(0.0)
    context.renewal_times = [now for now in range(1, seconds + 1) if context.session.renew(now)]


@then(
    "the store received {count:d} renewals"
    " and the lease is valid for {ttl:d} / 1.05 seconds from the last"
)
def step_renewed(context, count, ttl):
    assert context.store.faults.calls[CallKind.RENEW] == count
    last_renewal = context.renewal_times[-1]
    assert context.session.last_renewal == last_renewal
    assert context.session.valid_until == last_renewal + ttl / 1.05


@then(
    "removing one of {entries:d} entries"
    " changes the owner of only those of {shards:d} shards that it owned"
)
def step_rendezvous(context, entries, shards):
    entry_ids = [f"entry-{number}" for number in range(entries)]
    for shard in range(shards):
        owner = preferred_owner(shard, entry_ids)
        owner_after_removal = preferred_owner(shard, entry_ids[1:])
        assert owner_after_removal == owner or owner == entry_ids[0]
    owners = {preferred_owner(shard, entry_ids) for shard in range(shards)}
    assert owners == set(entry_ids)


@when("the example of docs/COORDINATION.md is executed")
def step_example(context):
    code, context.expected = re.findall(r"```(?:python|text)\n(.*?)```", PAGE.read_text(), re.S)[:2]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(code, str(PAGE), "exec"), {})
    context.output = output.getvalue()


@then("it prints the output that the page shows")
def step_example_output(context):
    assert context.output == context.expected, context.output


@then('the store satisfies the rule "{rule}"')
def step_rule(context, rule):
    with gevent.Timeout(MAX_WAIT_SECONDS, AssertionError("the rule took too long")):
        RULES[rule](context.store_fixture)
