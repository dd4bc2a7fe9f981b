"""Steps on bounds that share no other set-up; one function checks each bound and just beyond it."""

from functools import partial
from types import SimpleNamespace
from unittest.mock import patch

import gevent
from behave import then
from gevent import socket
from gevent.event import Event
from store_contract import fails_with
from waiting import wait_for

from acaciastand.entry import agent_messages, http
from acaciastand.entry.owned_shard import NotOwner
from acaciastand.entry.owner import OwnerService
from acaciastand.errors import InvalidInput
from acaciastand.settings.fields import MAX_LIST_ITEMS, ListOf, Text
from acaciastand.settings.process import MAX_CONNECTIONS, AgentSettings
from acaciastand.settings.schema import EffectiveSettings
from acaciastand.shard.limits import MAX_KEY_BYTES
from acaciastand.shard.runtime_state import MAX_SUPERSEDED_INCARNATIONS, AgentContact, AgentRuntime
from acaciastand.telemetry import Counters
from acaciastand.wire import connection as wire
from acaciastand.wire.codec import MAX_FRAME_BYTES, ProtocolError, encode
from acaciastand.wire.messages import Drain, Execute

JOB = {"team": "sheets", "batch_class": "print", "cores": 1.0, "tasks": 1}
WAIT_SECONDS = 10.0
QUIET_SECONDS = 0.1  # something that is wrongly let through would arrive within this time


def connected(stack, handler):
    listener = wire.Listener("127.0.0.1:0", handler)
    listener.start()
    stack.callback(listener.close)
    connection = wire.dial(listener.address, lambda _connection, _message: None)
    stack.callback(connection.close)
    return connection


def caller_server(stack):
    server = http.CallerServer("127.0.0.1:0", http.build_app({}, Counters()))
    server.start()
    stack.callback(server.stop, 0.1)
    return server


def ask(server, headers=b""):
    caller = socket.create_connection((server.server_host, server.server_port))
    caller.sendall(b"GET /none HTTP/1.1\r\nHost: entry\r\n" + headers + b"\r\n")
    return caller


def caller_connections(stack):
    with patch.object(http, "MAX_CALLER_CONNECTIONS", 1):
        server = caller_server(stack)
    first = ask(server)
    assert first.recv(1024).startswith(b"HTTP/1.1 404")
    second = ask(server)
    stack.callback(second.close)
    second.settimeout(QUIET_SECONDS)
    fails_with(TimeoutError, second.recv, 1024)
    first.close()
    second.settimeout(WAIT_SECONDS)
    assert second.recv(1024).startswith(b"HTTP/1.1 404")


def pushes(_stack):
    sending, sent, release = [], [], Event()

    def send(message):
        sending.append(message)
        release.wait()
        sent.append(message)

    fields = {"agent_id": "a", "path": "", "services": (), "send": send}
    sessions = [SimpleNamespace(**fields) for _ in range(3)]
    registry = SimpleNamespace(
        sessions=lambda: sessions, drain_by_settings=lambda _session, _draining: None
    )
    settings = SimpleNamespace(revision=1, effective=lambda _path: EffectiveSettings())
    with patch.object(agent_messages, "MAX_PUSHES", 2):
        agents = agent_messages.AgentMessageHandler(
            None, "firm", registry, None, settings, list, None
        )
    agents.push_settings()
    gevent.sleep(QUIET_SECONDS)
    assert len(sending) == 2, sending
    release.set()
    wait_for(lambda: len(sent) == 3)


def pending_requests(stack):
    connection = connected(stack, lambda _connection, _message: None)
    with patch.object(wire, "MAX_PENDING_REQUESTS", 2):
        jobs = [gevent.spawn(fails_with, wire.ReplyTimeout, ask_drain, connection) for _ in "ab"]
        gevent.sleep(0)
        fails_with(wire.NotSent, ask_drain, connection)
        gevent.joinall(jobs, raise_error=True)


def ask_drain(connection):
    connection.request(Drain(), QUIET_SECONDS)


def handlers(stack):
    begun, release = [], Event()

    def handle(_connection, message):
        begun.append(message.reason)
        release.wait()

    with patch.object(wire, "MAX_HANDLERS", 2):
        connection = connected(stack, handle)
        for number in range(3):
            connection.send(Drain(str(number)))
        gevent.sleep(QUIET_SECONDS)
    assert sorted(begun) == ["0", "1"], begun
    release.set()
    wait_for(lambda: len(begun) == 3)


def connections(_stack):
    kind = AgentSettings.known["connections"].kind
    assert kind.accepts(MAX_CONNECTIONS) and not kind.accepts(MAX_CONNECTIONS + 1)


def superseded(_stack):
    known = AgentRuntime()
    for number in range(MAX_SUPERSEDED_INCARNATIONS + 2):
        assert known.apply_contact(AgentContact("a", f"i{number}", number, 1, []))
    assert known.superseded == [
        f"i{number}" for number in range(1, MAX_SUPERSEDED_INCARNATIONS + 1)
    ]
    assert not known.apply_contact(AgentContact("a", "i1", 99, 1, []))


def key_bytes(_stack):
    def owned(number):
        raise NotOwner(number)  # reached only by a key that was accepted

    service = SimpleNamespace(_shard_for=len, _owned=owned)
    submit = partial(OwnerService.submit_job, service, JOB)
    fails_with(NotOwner, submit, "k" * MAX_KEY_BYTES, 0.0)
    fails_with(InvalidInput, submit, "k" * (MAX_KEY_BYTES + 1), 0.0)
    fails_with(InvalidInput, submit, "ü" * (MAX_KEY_BYTES // 2 + 1), 0.0)


def list_items(_stack):
    kind = ListOf(Text())
    items = [str(number) for number in range(MAX_LIST_ITEMS + 1)]
    assert kind.accepts(items[1:]) and not kind.accepts(items)


def frame_sent(stack):
    connection = connected(stack, lambda _connection, _message: None)
    fails_with(ProtocolError, connection.send, Execute(body=bytes(MAX_FRAME_BYTES)))
    connection.send(Drain())
    assert not connection.closed.is_set()


def frame_accepted(stack):
    arrived = []
    connection = connected(stack, lambda _connection, message: arrived.append(message))
    largest = Execute(body=bytes(MAX_FRAME_BYTES - len(encode(Execute())) - 4))
    connection.send(largest)
    wait_for(lambda: arrived)
    connection._send_frame(bytes(MAX_FRAME_BYTES + 1))
    assert connection.closed.wait(WAIT_SECONDS) and len(arrived) == 1


def request_headers(stack):
    server = caller_server(stack)
    caller = ask(server, b"Long: " + b"x" * (1 << 20) + b"\r\n")
    stack.callback(caller.close)
    caller.settimeout(WAIT_SECONDS)
    assert caller.recv(1024).startswith(b"HTTP/1.1 4")
    assert ask(server).recv(1024).startswith(b"HTTP/1.1 404")


BOUNDS = {
    "MAX_CALLER_CONNECTIONS": caller_connections,
    "MAX_PUSHES": pushes,
    "MAX_PENDING_REQUESTS": pending_requests,
    "MAX_HANDLERS": handlers,
    "MAX_CONNECTIONS": connections,
    "MAX_SUPERSEDED_INCARNATIONS": superseded,
    "MAX_KEY_BYTES": key_bytes,
    "MAX_LIST_ITEMS": list_items,
    "MAX_FRAME_BYTES sent": frame_sent,
    "MAX_FRAME_BYTES taken": frame_accepted,
    "request headers": request_headers,
}


@then('the daemons keep the bound "{bound}"')
def step_bound(context, bound):
    BOUNDS[bound](context.stack)
