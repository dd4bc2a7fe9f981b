"""A scripted worker that checks leases, and calls of an agent to it."""

import gevent

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import CallTimedOut
from acaciastand.workflow.reports import PollResult, StartCommand, StartOutcome

FIRST_BORN_MS = 5_000


class ClockedWorker:
    """Records the lease that each call carries, relative to the clock of its incarnation."""

    def __init__(self, clock_seconds):
        self.began_at = now() - clock_seconds
        self.born_ms = FIRST_BORN_MS
        self.leases = []
        self.starts = 0
        self.errors = []
        self.incarnation_header = {}
        self.answers_stops = False
        self.during_poll = lambda: None

    def clock_ms(self):
        return (now() - self.began_at) * 1000

    def restart(self):
        self.born_ms += 1_000
        self.began_at = now()

    def receive(self, lease_ms):
        if lease_ms is not None:
            self.leases.append((lease_ms - self.clock_ms()) / 1000)

    def poll(self, lease_ms, acknowledged, wait_seconds):
        result = PollResult(self.born_ms, self.clock_ms(), [], [])
        self.during_poll()
        if self.errors:
            raise self.errors.pop(0)
        self.receive(lease_ms)
        return result

    def stop(self, task, run):
        if not self.answers_stops:
            raise CallTimedOut("no answer", "repeat the call")

    def start(self, command, lease_ms):
        self.starts += 1
        if self.errors:
            raise self.errors.pop(0)
        self.receive(lease_ms)
        return StartOutcome.STARTED


def poll(context):
    try:
        context.controller._poll_once()
    except AcaciastandError as error:
        context.controller._poll_failed(error)
        return error
    return None


def start(context):
    command = StartCommand("00000000000000aa.0.0.0", 1)
    starting = gevent.spawn(context.controller.start, command, now() + 1.0, 1)
    context.stack.callback(starting.kill)
    return starting
