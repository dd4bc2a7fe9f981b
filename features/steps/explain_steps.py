"""Steps for the explanation of jobs from log lines, and for logging to a full pipe."""

import json
import logging
import os
import time

from behave import given, then, when

from acaciastand.programs.explain import cause, lines_of
from acaciastand.telemetry.stream import MAX_BUFFERED_BYTES, BoundedStreamHandler

A, B, C, E, F, G = "a" * 16, "b" * 16, "c" * 16, "e" * 16, "f" * 16, "1" * 16
H = "3" * 16
MOVED = "2" * 16
WAITING, UNKNOWN, RESUMED = "4" * 16, "5" * 16, "6" * 16
LINES = (
    {"time": "30", "message": "copy started", "subject": f"{H}.0.0.0", "why": "old report"},
    {"time": "31", "message": "copy won", "subject": f"{H}.0.0.0", "run": 2},
    {"time": "32", "message": "job over", "subject": H, "state": "completed"},
    {"time": "3", "message": "run ended", "subject": f"{A}.0.0.0", "run": 1, "how": "failed"},
    {"time": "1", "message": "answered", "job": A, "method": "POST", "status": "200"},
    {"time": "2", "message": "start", "task": f"{A}.0.0.0", "run": 1, "outcome": "started"},
    {"time": "4", "message": "job over", "subject": A, "state": "completed"},
    {
        "time": "5",
        "message": "store turned away",
        "key": f"inbox/jobs/{B}",
        "error": "the store answered 503 to commit",
    },
    {"time": "6", "message": "answered", "job": B, "method": "POST", "status": "503"},
    {
        "time": "8",
        "message": "store turned away",
        "key": f"inbox/jobs/{E}",
        "error": "the store did not answer the last 4 commits, and no other entry reaches it",
    },
    {"time": "9", "message": "answered", "job": E, "method": "POST", "status": "503"},
    {"time": "7", "message": "answered", "job": C, "method": "POST", "status": "200"},
    {
        "time": "10",
        "message": "answered",
        "job": F,
        "method": "POST",
        "status": "404",
        "config": 7,
        "config_age_s": 3.4,
    },
    {"time": "11", "message": "crash suspected", "subject": f"{G}.0.0.0", "run": 2, "ran_s": 0.01},
    {"time": "12", "message": "job failed", "subject": G, "task": f"{G}.0.0.0", "crashes": 2},
    {"time": "13", "message": "job over", "subject": G, "state": "failed"},
    {"time": "14", "message": "run moved", "subject": f"{MOVED}.0.0.0", "zone": "zone-b"},
    {"time": "15", "message": "job over", "subject": MOVED, "state": "completed"},
    {"time": "16", "message": "start", "subject": f"{WAITING}.0.0.0", "run": 1},
    {
        "time": "17",
        "message": "task waits",
        "subject": f"{WAITING}.0.0.0",
        "waited_s": 2.1,
        "why": "passed over",
        "passed_over": {"no capacity": 9, "quarantined": 3},
    },
    {
        "time": "18",
        "message": "task waits",
        "subject": f"{UNKNOWN}.0.0.0",
        "waited_s": 2.1,
        "why": "a former owner may have started it",
        "silent_agents": 2,
    },
    {"time": "19", "message": "task waits", "subject": f"{RESUMED}.0.0.0", "passed_over": {}},
    {"time": "20", "message": "start", "subject": f"{RESUMED}.0.0.0", "run": 1},
)


@given("log lines of two processes")
def given_lines(context):
    context.lines = [f"entry-{n % 2} {json.dumps(line)}" for n, line in enumerate(LINES)]
    context.lines += ["not a line", '{"broken": ']


@when('"{job}" is explained')
def when_explained(context, job):
    context.found = lines_of(job, context.lines)
    context.cause = cause(job, context.found)


@then("{count:d} lines are shown")
def then_shown(context, count):
    times = [line.content["time"] for line in context.found]
    assert len(times) == count and times == sorted(times), times


@then('the cause contains "{text}"')
def then_cause(context, text):
    assert text in context.cause, context.cause


@given("a pipe that nobody reads")
def given_pipe(context):
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    context.handler = BoundedStreamHandler(writer, time.monotonic)
    context.stack.callback(context.handler.close)


@when("{count:d} lines of {size:d} bytes are logged")
def when_logged(context, count, size):
    context.count = count
    record = logging.makeLogRecord({"msg": "x" * size, "levelname": "INFO", "name": "test"})
    began = time.monotonic()
    for _ in range(count):
        context.handler.emit(record)
    context.took = time.monotonic() - began


@then("logging takes less than {seconds:d} seconds")
def then_fast(context, seconds):
    assert context.took < seconds


@then("at most {size:d} bytes are kept and the rest is counted")
def then_counted(context, size):
    kept = sum(len(line) for line in context.handler._lines)
    assert kept <= min(size, MAX_BUFFERED_BYTES)
    assert context.handler.dropped == context.count - len(context.handler._lines)
    assert context.handler.dropped > 0
