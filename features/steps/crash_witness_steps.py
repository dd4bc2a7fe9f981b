"""Steps for what an agent knows of the runs on its worker when the worker crashes."""

import time
from unittest import mock

import gevent
from behave import given, then, when

from acaciastand.cluster import worker_controller
from acaciastand.cluster.run_reports import decode_report, encode_report
from acaciastand.cluster.worker_controller import WorkerController
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import CallNotSent, CallTimedOut
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.reports import (
    ActiveRun,
    PollResult,
    StartCommand,
    StartOutcome,
    WorkerIdentity,
)

BORN_MS = 5_000
OLD, NEW = "00000000000000aa.0.0.0", "00000000000000bb.0.0.0"
UNANSWERED = "00000000000000cc.0.0.0"
REFUSED = CallNotSent("the worker refuses connections", "check that it is running")
SILENT = CallTimedOut("no answer", "poll again")


class ScriptedWorker:
    """Task client whose worker answers as `born_ms`, `running` and `error` say."""

    def __init__(self):
        self.born_ms = BORN_MS
        self.running = []
        self.error = None
        self.stop_calls = 0
        self.stopped = []

    def stop(self, task, run):
        self.stop_calls += 1
        self._answer()
        self.stopped.append((task, run, self.born_ms))

    def poll(self, lease_ms, acknowledged, wait_seconds):
        self._answer()
        return PollResult(self.born_ms, 1.0, list(self.running), [])

    def start(self, command, lease_ms):
        self._answer()
        self.running.append(ActiveRun(command.task, command.run))
        return StartOutcome.STARTED

    def _answer(self):
        if self.error is not None:
            raise self.error


@given("an agent with a run of {old:f} seconds and one of {new:f} seconds on its worker")
def given_agent(context, old, new):
    context.now = 100.0
    patch = mock.patch.object(worker_controller, "now", lambda: context.now)
    context.stack.enter_context(patch)
    context.worker = ScriptedWorker()
    context.metrics = Metrics()
    context.controller = WorkerController("10.0.0.1:1", 1, lambda: None, context.metrics, 10.0)
    context.controller.client = context.worker
    poll(context)
    announce(context)
    start(context, OLD)
    context.now += old - new
    poll(context)
    start(context, NEW)
    context.now += new


def announce(context, draining=False):
    identity = WorkerIdentity("w-1", context.worker.born_ms, "desk", "10.0.0.1:1")
    identity.draining = draining
    sequence = context.controller.announcement_sequence + 1
    context.worker.incarnation_header = {}
    context.controller.apply_announcement(identity, sequence)


def start(context, task):
    context.controller.grant_until = context.now + 4.0
    outcome = context.controller.start(StartCommand(task, 1), context.now + 1.0, 1)
    assert outcome is StartOutcome.STARTED


def poll(context):
    try:
        context.controller._poll_once()
    except AcaciastandError as error:
        context.controller._poll_failed(error)


@when("its worker {fault} for {seconds:f} seconds")
def when_fault(context, fault, seconds):
    context.worker.error = REFUSED if fault == "refuses connections" else SILENT
    end = context.now + seconds
    while context.now < end:
        poll(context)
        context.now += 0.1


@when("its worker is there again in a new incarnation")
def when_reborn(context):
    context.worker.error = None
    context.worker.born_ms += 1_000
    context.worker.running = []
    poll(context)


@when(
    "its worker restarts at once and answers {seconds:f} seconds later, "
    "with the host's clock off by {jump:f} seconds"
)
def when_restarts_at_once(context, seconds, jump):
    restarted_unix = (BORN_MS + 1_000) / 1000
    unix = mock.patch.object(worker_controller, "now_unix", lambda: restarted_unix + seconds + jump)
    context.stack.enter_context(unix)
    context.now += seconds
    when_reborn(context)


@when("its worker restarts at once, accepts another run and answers {seconds:f} seconds later")
def when_starts_on_next(context, seconds):
    context.now += 0.1
    start(context, f"{'c' * 16}.0.0.0")
    context.now -= 0.1
    when_restarts_at_once(context, seconds, 0.0)


@when("it hears of a new incarnation that refuses connections for {seconds:f} seconds")
def when_announced_early(context, seconds):
    context.worker.born_ms += 1_000
    context.worker.running = []
    announce(context)
    when_fault(context, "refuses connections", seconds)


@when("its worker is there again with its runs")
def when_back(context):
    context.worker.error = None
    poll(context)


@when("its worker announces that it leaves")
def when_leaving(context):
    announce(context, draining=True)


@when("the consequences of the crash are stored")
def when_stored(context):
    context.controller.crash_witness.record_stored(BORN_MS)


@then("it reports a crash under runs of {old:f} and {new:f} seconds")
def then_reports_crash(context, old, new):
    (crash,) = context.controller.report().crashes
    assert crash.born_ms == BORN_MS, crash
    ran = {run.task: round(run.ran_seconds, 2) for run in crash.runs}
    assert ran == {OLD: old, NEW: new}, ran


@then("it reports no crash")
def then_no_crash(context):
    assert not context.controller.report().crashes


@when(
    "its worker refuses connections and the owner repeats a stop {count:d} times "
    "within {seconds:f} seconds"
)
def when_stops_repeated(context, count, seconds):
    context.worker.error = REFUSED
    began = time.monotonic()

    def command():
        not_after = worker_controller.now() + 1.5
        return context.controller.stop(OLD, 1, not_after)

    with mock.patch.object(
        worker_controller, "now", lambda: context.now + time.monotonic() - began
    ):
        commands = []
        for _ in range(count):
            commands.append(gevent.spawn(command))
            gevent.sleep(seconds / count)
        gevent.joinall(commands, raise_error=True)
    context.accepted = [greenlet.value for greenlet in commands]


@then("at most {count:d} stops are sent")
def then_few_stops(context, count):
    assert 1 <= context.worker.stop_calls <= count, context.worker.stop_calls


@then("all commands are answered as not accepted")
def then_not_accepted(context):
    assert context.accepted == [False] * len(context.accepted), context.accepted


def leave_unanswered(context):
    """Let a start be sent once and not be answered."""
    context.worker.error = SILENT
    context.controller.grant_until = context.now + 4.0
    sent_at = context.now
    send = context.worker.start

    def start_late(command, lease_ms):
        context.now = sent_at + 1.0
        send(command, lease_ms)

    with mock.patch.object(context.worker, "start", start_late):
        outcome = context.controller.start(StartCommand(UNANSWERED, 1), sent_at + 1.0, 1)
    assert outcome is StartOutcome.UNKNOWN
    context.worker.error = None


@when("a start is not answered and its worker refuses connections for {seconds:f} seconds")
def when_unanswered(context, seconds):
    leave_unanswered(context)
    context.now -= 1.0
    when_fault(context, "refuses connections", seconds)


@when(
    "a start is not answered, its stop is accepted and its worker restarts "
    "{seconds:d} seconds later"
)
def when_restarts(context, seconds):
    leave_unanswered(context)
    assert context.controller.stop(UNANSWERED, 1, context.now + 1.0)
    poll(context)
    context.now += seconds
    when_reborn(context)
    gevent.sleep(0.05)


@then("the start is {stopped} at the next incarnation")
def then_stopped_again(context, stopped):
    expected = (UNANSWERED, 1, context.worker.born_ms)
    assert (expected in context.worker.stopped) == (stopped == "stopped"), context.worker.stopped


@then("it reports a crash under two runs that had begun and one that may not have")
def then_confirmed(context):
    report = decode_report(encode_report(context.controller.report(), 0.0), lambda _: None)
    (crash,) = report.crashes
    confirmed = {run.task: run.confirmed for run in crash.runs}
    assert confirmed == {OLD: True, NEW: True, UNANSWERED: False}, confirmed


@then("it has counted {count:d} crash")
def then_counted(context, count):
    value = context.metrics.registry.get_sample_value("acaciastand_worker_crashes_total")
    assert value == count, value
