"""Execution of the host's commands at the worker, and polling of worker and target."""

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
COMMAND_INTERVAL_SECONDS = 0.1  # Longest delay of a pause after a grant has expired.
MAX_COMMANDS_AT_ONCE = 8

log = logging.getLogger(__name__)


class Superseded(AcaciastandError):
    """A newer agent process opened a session at this worker."""

    code = "superseded"
    outcome = Outcome.NOT_RUN


class CommandRunner:
    """Polls worker and target and carries out the host's commands at the worker.

    Parameters
    ----------
    on_superseded
        Called when a newer agent process has opened a session at the worker.

    Attributes
    ----------
    incarnation
        Incarnation of the worker; empty before the first poll.
    recovered
        Event that is set when it is known what runs on the host.
    wake
        Event that causes the next commands to be issued before the end of the interval.
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
        self._command_pool = gevent.pool.Pool(MAX_COMMANDS_AT_ONCE)

    def poll_worker(self) -> None:
        """Poll the worker's tasks and capacity until killed."""
        while True:
            self._poll_or_mark_down(self._poll_worker_once, "worker")
            gevent.sleep(WORKER_POLL_SECONDS)

    def poll_target(self) -> None:
        """Poll the target's health and active requests until killed."""
        while True:
            self._poll_or_mark_down(self._poll_target_once, "target")
            gevent.sleep(TARGET_POLL_SECONDS)

    def run_commands(self) -> None:
        """Carry out the host's commands until killed."""
        while True:
            self.wake.wait(COMMAND_INTERVAL_SECONDS)
            self.wake.clear()
            if self.worker.session:
                for command in self.host.issue_commands(self.clock()):
                    self._command_pool.spawn(self._run_command, command)

    def _poll_or_mark_down(self, poll: Callable[[], None], name: str) -> None:
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
            self._handle_lost_session(status)
            return
        self.incarnation = status.incarnation
        self.host.capacity = status.capacity
        self.host.reserved = status.service_usage
        self.host.apply_worker_tasks(status.tasks, status.asked_at, self.clock())
        self.host.worker_up = True
        self.wake.set()
        self._check_recovered()

    def _handle_lost_session(self, status: WorkerStatus) -> None:
        if status.incarnation == self.incarnation or not self.incarnation:
            self.counters.increment("agent.superseded")
            self.on_superseded()
            return
        log.warning("the worker restarted as incarnation %s", status.incarnation)
        self.incarnation = status.incarnation
        self.worker.session = ""

    def _check_recovered(self) -> None:
        if not self.host.recovering:
            self.recovered.set()

    def _run_command(self, command: WorkerCommand) -> None:
        try:
            self._send_command(command)
        except StartRefused as error:
            self.counters.increment("agent.commands.start_refused")
            self.host.record_start_refused(command, str(error))
        except AcaciastandError as error:
            self.counters.increment(f"agent.commands.{command.kind}.{error.code}")
            self.host.record_unknown_outcome(command)

    def _send_command(self, command: WorkerCommand) -> None:
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            outcome = self.worker.stop(command.task_id, command.attempt, command.keep_progress)
            self.host.record_stopped(
                command, outcome.checkpoint, outcome.run_seconds, outcome.completed
            )
            return
        if command.kind is WorkerCommandKind.START:
            self._start_task(command)
        elif command.kind is WorkerCommandKind.THROTTLE:
            self.worker.throttle(command.task_id, command.attempt, command.limit_cores)
        elif command.kind is WorkerCommandKind.CHECKPOINT:
            reference = self.worker.checkpoint(command.task_id, command.attempt)
            self.host.record_checkpoint(command, reference)
        else:
            self.worker.change(command.kind, command.task_id, command.attempt, command.valid_until)
        self.host.record_command_done(command, self.clock())

    def _start_task(self, command: WorkerCommand) -> None:
        attempt = self.host.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is not None:
            self.worker.start(attempt.grant, command.valid_until)
            self.counters.increment("agent.tasks.started")
