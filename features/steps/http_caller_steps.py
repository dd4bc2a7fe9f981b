"""Steps for HTTP calls against a server that answers with given bytes."""

import subprocess
import sys
import time

import gevent
from behave import given, then, when
from gevent import socket
from gevent.server import StreamServer

from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import (
    MAX_ANSWER_BYTES,
    READ_BYTES,
    CallBrokeOff,
    CallTimedOut,
    HttpCaller,
)

OK = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "half a body": OK + b"Content-Length: 10\r\n\r\n12345",
    "no length": OK + b"\r\n12345",
    "half a chunk": OK + b"Transfer-Encoding: chunked\r\n\r\na\r\n12345",
    "garbage": b"\x00\x01\x02\r\n\r\n",
    "nothing": b"",
    "more than a megabyte": OK
    + f"Content-Length: {MAX_ANSWER_BYTES + 1}\r\n\r\n".encode()
    + b"x" * (MAX_ANSWER_BYTES + 1),
    "whole": OK + b"Content-Length: 2\r\n\r\nok",
}


def serve(context, answer):
    """Answer each connection once with `answer`; None answers nothing and stays open."""
    context.requests = 0

    def handle(sock, _address):
        if not sock.recv(65536):
            return
        context.requests += 1
        if answer is None:
            sock.recv(1)
        else:
            sock.sendall(answer)
            sock.shutdown(socket.SHUT_WR)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.caller = HttpCaller(f"http://127.0.0.1:{server.server_port}")
    context.stack.callback(context.caller.close)


def call(context, part_seconds=None):
    """Make one call and keep its error."""
    try:
        context.error = None
        return context.caller.call(
            "POST", "/v1/tasks", b"{}", timeout_seconds=0.5, part_seconds=part_seconds
        )
    except AcaciastandError as error:
        context.error = error
        return None


@when("the agent's program is loaded in a process of its own")
def step_load(context):
    code = (
        "import sys, acaciastand.programs.agent; print(*[n for n, m in sys.modules.items() if m])"
    )
    output = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True)
    context.modules = set(output.stdout.decode().split())


@then('it has loaded none of "{names}"')
def step_none_of(context, names):
    loaded = context.modules & set(names.split())
    assert "acaciastand.agent.daemon" in context.modules
    assert not loaded, f"loaded: {sorted(loaded)}"


@given("a server that closes each connection after one answer without saying so")
def step_closing(context):
    serve(context, ANSWERS["whole"])


@given('a server that sends "{answer}"')
def step_server(context, answer):
    serve(context, None if answer == "silence" else ANSWERS[answer])


@when("two calls are made one after the other")
def step_two(context):
    context.answers = [call(context)]
    # The end of the connection arrives before the second call.
    kept = context.caller._idle[0]
    socket.wait_read(kept.sock.fileno(), timeout=5.0)
    context.answers.append(call(context))


@when("a call is made")
def step_one(context):
    call(context)


@then("both are answered and each reached the server once")
def step_both(context):
    assert [answer.body for answer in context.answers] == [b"ok", b"ok"]
    assert context.requests == 2


@then("the call broke off and reached the server once")
def step_broke_off(context):
    assert isinstance(context.error, CallBrokeOff), repr(context.error)
    assert context.requests == 1


@then("the call timed out")
def step_timed_out(context):
    assert isinstance(context.error, CallTimedOut), repr(context.error)


@given("a server that sends {sent:d} of {total:d} parts, one each {seconds:f} seconds")
def step_thin(context, sent, total, seconds):
    part = b"x" * READ_BYTES

    def handle(sock, _address):
        if not sock.recv(65536):
            return
        sock.sendall(OK + f"Content-Length: {total * len(part)}\r\n\r\n".encode())
        for _ in range(sent):
            gevent.sleep(seconds)
            sock.sendall(part)
        sock.recv(1)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.caller = HttpCaller(f"http://127.0.0.1:{server.server_port}")
    context.stack.callback(context.caller.close)


@when("a call with a timeout for each part is made")
def step_per_part(context):
    context.began = time.monotonic()
    context.answer = call(context, part_seconds=0.5)


@then("its whole answer of {total:d} parts arrives")
def step_whole(context, total):
    assert context.error is None, repr(context.error)
    assert len(context.answer.body) == total * READ_BYTES


@then("the call timed out within {seconds:f} seconds")
def step_timed_out_within(context, seconds):
    step_timed_out(context)
    assert time.monotonic() - context.began < seconds


@given("a server that answers each connection once and then keeps silent")
def step_answers_once(context):
    def handle(sock, _address):
        if sock.recv(65536):
            gevent.sleep(0.05)
            sock.sendall(ANSWERS["whole"])
        while sock.recv(65536):
            pass

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    context.stack.callback(server.stop, 0.1)
    context.caller = HttpCaller(f"http://127.0.0.1:{server.server_port}")
    context.stack.callback(context.caller.close)


@when("{count:d} calls at the same time leave their connections idle")
def step_leave_idle(context, count):
    calls = [gevent.spawn(call, context) for _ in range(count)]
    gevent.joinall(calls, raise_error=True)
    assert len(context.caller._idle) == count


@when("another call times out")
def step_another_times_out(context):
    call(context)
    assert isinstance(context.error, CallTimedOut), repr(context.error)


@then("the next call is answered over a new connection")
def step_answered_anew(context):
    answer = call(context)
    assert answer is not None and answer.body == b"ok", repr(context.error)
