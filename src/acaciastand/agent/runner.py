"""Carries out the host's commands at the worker and feeds back what the worker reports."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent
import gevent.pool
from gevent.event import Event

from acaciastand.agent.executor import CounterSink
from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.host import Host, WorkerCommand, WorkerCommandKind
from acaciastand.platform.http import CallBrokeOff, CallNotSent, CallTimedOut
from acaciastand.platform.target_client import TargetClient
from acaciastand.platform.worker_client import (
    SessionEnded,
    StartRefused,
    WorkerClient,
    WorkerStatus,
)

WORKER_POLL_SECONDS = 0.5
TARGET_POLL_SECONDS = 0.5
COMMAND_TICK_SECONDS = 0.1  # longest delay of a pause after a grant has lapsed
MAX_COMMANDS_AT_ONCE = 8

log = logging.getLogger(__name__)


class Superseded(AcaciastandError):
    """A newer agent process opened a session at this worker."""

    code = "superseded"
    outcome = Outcome.NOT_RUN


class Runner:
    """Polls worker and target and runs the host's commands.

    Parameters
    ----------
    on_superseded
        Called once when a newer agent process has taken over the worker.
    """

    def __init__(
        self,
        host: Host,
        worker: WorkerClient,
        target: TargetClient,
        counters: CounterSink,
        clock: Callable[[], float],
        on_superseded: Callable[[], None],
    ) -> None:
        self.host = host
        self.worker = worker
        self.target = target
        self.counters = counters
        self.clock = clock
        self.on_superseded = on_superseded
        self.incarnation = ""
        self.recovered = Event()
        self.wake = Event()
        self._running = gevent.pool.Pool(MAX_COMMANDS_AT_ONCE)

    def poll_worker(self) -> None:
        """Ask the worker for its tasks until killed."""
        while True:
            self._guard(self._poll_worker_once, "worker")
            gevent.sleep(WORKER_POLL_SECONDS)

    def poll_target(self) -> None:
        """Ask the target for its health until killed."""
        while True:
            self._guard(self._poll_target_once, "target")
            gevent.sleep(TARGET_POLL_SECONDS)

    def run_commands(self) -> None:
        """Carry out commands until killed."""
        while True:
            self.wake.wait(COMMAND_TICK_SECONDS)
            self.wake.clear()
            if self.worker.session:
                for command in self.host.issue_commands(self.clock()):
                    self._running.spawn(self._carry_out, command)

    def _guard(self, poll: Callable[[], None], name: str) -> None:
        try:
            poll()
        except (CallNotSent, CallTimedOut, CallBrokeOff, SessionEnded) as error:
            setattr(self.host, f"{name}_up", False)
            self.counters.increment(f"agent.{name}.poll_failed")
            log.warning("polling the %s failed: %s", name, error)

    def _poll_target_once(self) -> None:
        asked_at = self.clock()
        status = self.target.status()
        self.host.apply_target_status(status.healthy, status.active, asked_at)
        self._check_recovered()

    def _poll_worker_once(self) -> None:
        if not self.worker.session:
            self.worker.open_session()
        status = self.worker.status()
        if status.session != self.worker.session:
            self._session_lost(status)
            return
        self.incarnation = status.incarnation
        self.host.capacity = status.capacity
        self.host.reserved = status.service_usage
        self.host.apply_worker_tasks(status.tasks, status.asked_at, self.clock())
        self.host.worker_up = True
        self.wake.set()
        self._check_recovered()

    def _session_lost(self, status: WorkerStatus) -> None:
        if status.incarnation == self.incarnation or not self.incarnation:
            self.counters.increment("agent.superseded")
            self.on_superseded()
            return
        log.warning("the worker restarted as %s", status.incarnation)
        self.incarnation = status.incarnation
        self.worker.session = ""

    def _check_recovered(self) -> None:
        if not self.host.recovering:
            self.recovered.set()

    def _carry_out(self, command: WorkerCommand) -> None:
        try:
            self._send(command)
        except StartRefused as error:
            self.counters.increment("agent.commands.start_refused")
            self.host.record_start_refused(command, str(error))
        except AcaciastandError as error:
            self.counters.increment(f"agent.commands.{command.kind}.{error.code}")
            self.host.record_unknown_outcome(command)

    def _send(self, command: WorkerCommand) -> None:
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            outcome = self.worker.stop(command.task_id, command.attempt, command.keep_progress)
            self.host.record_stopped(
                command, outcome.checkpoint, outcome.run_seconds, outcome.completed
            )
            return
        if command.kind is WorkerCommandKind.START:
            self._start(command)
        elif command.kind is WorkerCommandKind.THROTTLE:
            self.worker.throttle(command.task_id, command.attempt, command.limit_cores)
        elif command.kind is WorkerCommandKind.CHECKPOINT:
            reference = self.worker.checkpoint(command.task_id, command.attempt)
            self.host.record_checkpoint(command, reference)
        else:
            self.worker.change(command.kind, command.task_id, command.attempt, command.valid_until)
        self.host.record_command_done(command, self.clock())

    def _start(self, command: WorkerCommand) -> None:
        attempt = self.host.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is not None:
            self.worker.start(attempt.grant, command.valid_until)
            self.counters.increment("agent.tasks.started")
