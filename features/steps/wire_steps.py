"""Steps on frames and connections."""

import time

import cbor2
import gevent
from behave import given, then, when
from gevent.event import Event
from waiting import wait_for

from acaciastand.resources import Resources
from acaciastand.wire.codec import MAX_BODY_BYTES, ProtocolError, decode, encode
from acaciastand.wire.connection import Listener, NotSent, ReplyTimeout, dial
from acaciastand.wire.messages import (
    MESSAGE_TYPES,
    PROTOCOL_VERSION,
    Drain,
    Execute,
    ExecuteReply,
    Heartbeat,
)

WAIT_SECONDS = 10.0
LATE_SECONDS = 0.3  # tolerated after a timeout on a busy machine


def filled(cls):
    message = cls()
    for name in cls.fields():
        value = getattr(message, name)
        setattr(message, name, sample(cls, name, value))
    return message


def sample(cls, name, value):
    nested = getattr(cls, "nested", {})
    nested_lists = getattr(cls, "nested_lists", {})
    if name in nested:
        return filled(nested[name])
    if name in nested_lists:
        return [filled(nested_lists[name]), filled(nested_lists[name])]
    if isinstance(value, bool):
        return not value
    samples = {int: 7, float: 2.5, str: "name", bytes: b"body", list: ["a"], dict: {"k": 1}}
    return samples[type(value)]


@given("one message of each type with all fields set")
def step_all_messages(context):
    context.messages = [filled(cls) for cls in MESSAGE_TYPES.values()]


@when("each is encoded and decoded")
def step_round_trip(context):
    context.decoded = [decode(encode(message, 4)) for message in context.messages]


@then("each equals the original")
def step_equal(context):
    assert [frame.message for frame in context.decoded] == context.messages
    assert all(frame.correlation_id == 4 for frame in context.decoded)


@given('the frame "{name}"')
def step_bad_frame(context, name):
    good = encode(Heartbeat(sequence=1, free=Resources(1.0, 2, 3)))
    context.data = {
        "truncated": good[:-1],
        "text": cbor2.dumps("hello"),
        "empty_array": cbor2.dumps([]),
        "unknown_type": cbor2.dumps([PROTOCOL_VERSION, 999, 0]),
        "distant_version": cbor2.dumps([PROTOCOL_VERSION + 2, 4, 0]),
        "wrong_field": cbor2.dumps([PROTOCOL_VERSION, 4, 0, "one"]),
        "wrong_nested": cbor2.dumps([PROTOCOL_VERSION, 4, 0, 1, 2, "free"]),
    }[name]


@when("it is decoded")
def step_decode(context):
    context.error = None
    try:
        context.frame = decode(context.data)
    except ProtocolError as error:
        context.error = error


@then('a protocol error names "{problem}"')
def step_protocol_error(context, problem):
    assert context.error is not None and problem in str(context.error), context.error


@given("a heartbeat frame of the next version with an extra field")
def step_next_version(context):
    items = cbor2.loads(encode(Heartbeat(sequence=9, in_flight=3)))
    context.data = cbor2.dumps([PROTOCOL_VERSION + 1, *items[1:], "new field"])


@then("the known fields are kept")
def step_known_fields(context):
    assert context.frame.message == Heartbeat(sequence=9, in_flight=3)


@given("a heartbeat frame of the previous version without its last field")
def step_previous_version(context):
    items = cbor2.loads(encode(Heartbeat(sequence=9)))
    context.data = cbor2.dumps([PROTOCOL_VERSION - 1, *items[1:-1]])


@then("the missing field has its default")
def step_default(context):
    assert context.frame.message == Heartbeat(sequence=9)


@given("a listener that answers in the reverse order of arrival")
def step_listener(context):
    arrived = []
    all_arrived = Event()
    context.protocol_errors = []

    def handler(_connection, message):
        position = len(arrived)
        arrived.append(message.request_id)
        if len(arrived) == 20:
            all_arrived.set()
        all_arrived.wait()
        for _ in range(20 - position):
            gevent.sleep(0)
        return ExecuteReply(request_id=message.request_id)

    context.listener = Listener(
        "127.0.0.1:0",
        handler,
        on_protocol_error=lambda _connection, error: context.protocol_errors.append(error),
    )
    context.listener.start()
    context.stack.callback(context.listener.close)
    context.connection = dial(context.listener.address, lambda _connection, _message: None)
    context.stack.callback(context.connection.close)


@when("20 requests are sent at once")
def step_many_requests(context):
    def ask(number):
        message = Execute(request_id=str(number))
        return context.connection.request(message, WAIT_SECONDS).request_id

    jobs = [gevent.spawn(ask, number) for number in range(20)]
    gevent.joinall(jobs, timeout=WAIT_SECONDS, raise_error=True)
    context.answers = [job.value for job in jobs]


@then("each request gets the reply with its own id")
def step_own_reply(context):
    assert context.answers == [str(number) for number in range(20)]


@when("a client sends a binary message that is no frame")
def step_foreign(context):
    context.connection.send(Drain())  # shows that the connection works before
    context.connection._send_frame(b"\xff not a frame")


@then("the connection closes and the protocol error is counted")
def step_closed(context):
    assert context.connection.closed.wait(WAIT_SECONDS)
    assert len(context.protocol_errors) == 1


@given("a listener that reads no more until it is released")
def step_stalled(context):
    context.arrived = []
    context.released = Event()

    def handler(_connection, message):
        context.arrived.append(message.request_id)

    context.listener = Listener("127.0.0.1:0", handler)
    context.listener.start()
    context.stack.callback(context.listener.close)
    context.connection = dial(context.listener.address, lambda _connection, _message: None)
    context.stack.callback(context.connection.close)
    context.connection.send(Execute(request_id="first"))
    wait_for(lambda: context.arrived)
    (peer,) = context.listener.connections
    handle = peer._handle_event

    def handle_later(event):
        context.released.wait()
        handle(event)

    peer._handle_event = handle_later


@when("20 large requests are sent one by one with a timeout of 100 ms")
def step_large(context):
    context.ends = []
    context.longest = 0.0
    for number in range(20):
        started = time.monotonic()
        try:
            context.connection.request(Execute(str(number), body=bytes(MAX_BODY_BYTES)), 0.1)
        except (NotSent, ReplyTimeout) as error:
            context.ends.append(type(error))
        context.longest = max(context.longest, time.monotonic() - started)


@then("each ends in time, the first ones as unknown and the last one as not sent")
def step_ends_in_time(context):
    assert context.longest < 0.1 + LATE_SECONDS, context.longest
    unknown = context.ends.count(ReplyTimeout)
    assert 0 < unknown < 20, context.ends
    assert context.ends == [ReplyTimeout] * unknown + [NotSent] * (20 - unknown), context.ends


@when("the listener is released")
def step_release(context):
    context.released.set()


@then("it receives each request whose outcome is unknown, and none that was not sent")
def step_received_whole(context):
    unknown = context.ends.count(ReplyTimeout)
    expected = ["first", *map(str, range(unknown))]
    wait_for(lambda: len(context.arrived) >= len(expected))
    context.connection.send(Execute(request_id="last"))
    wait_for(lambda: "last" in context.arrived)
    assert context.arrived == [*expected, "last"], context.arrived
