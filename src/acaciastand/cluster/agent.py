"""Agent daemon beside a worker: carries out the commands of the owner with the highest epoch."""

from __future__ import annotations

import logging
from contextlib import ExitStack
from functools import partial
from typing import Any

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from acaciastand.checks import MALFORMED, decode_rows
from acaciastand.cluster.batch_costs import decode_batch_costs
from acaciastand.cluster.claim import decode_owner
from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.keys import AGENTS_PREFIX, OWNER_KEY
from acaciastand.cluster.loop_lag import measure_loop_lag
from acaciastand.cluster.members import Registration
from acaciastand.cluster.run_reports import decode_limits, decode_start_command, encode_report
from acaciastand.cluster.settings import JobAgentSettings
from acaciastand.cluster.supervision import supervised
from acaciastand.cluster.worker_controller import WorkerController
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import TransactionalStore
from acaciastand.errors import AcaciastandError, InvalidInput
from acaciastand.platform.tasks import ANNOUNCE_PATH, LEAVE_PATH, decode_announcement
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.connection import Connection, Listener, split_address
from acaciastand.wire.messages import (
    EndsStored,
    Message,
    OwnerHello,
    OwnerHelloReply,
    RunGrant,
    RunReply,
    StartRun,
    StopRun,
)
from acaciastand.workflow.limits import GRANT_SECONDS, HEARTBEAT_SECONDS
from acaciastand.workflow.reports import StartOutcome

# The agent disconnects an owner that does not answer a report within this time.
REPORT_TIMEOUT_SECONDS = 1.0
# Without an owner for this long, the agent writes its registration again.
REREGISTER_AFTER_SECONDS = 5.0
REGISTRATION_RETRY_SECONDS = 0.3  # Pause before a failed write or removal is repeated.
MAX_DEREGISTRATION_ATTEMPTS = 3  # Attempts that fit into the time allowed for a planned stop.
MAX_ANNOUNCEMENT_BYTES = 4 << 20

logger = logging.getLogger(__name__)


class Agent:
    """One agent.

    Parameters
    ----------
    settings
        Settings of this agent.
    store
        The platform's store, used for the registration and to learn the owner's epoch at the start.

    Attributes
    ----------
    epoch
        Lowest epoch of an owner that the agent accepts: that of its owner or, before the first, the
        one that the store showed when the agent started.
    owner_connection
        Connection to that owner; None while there is none.
    owner_contact_at
        When that owner last sent a hello or answered a report, or the registration was renewed.
    report_due
        Set when a report is to be sent before the next heartbeat.
    """

    def __init__(
        self, settings: JobAgentSettings, store: TransactionalStore, metrics: Metrics
    ) -> None:
        self.settings = settings
        self.store = store
        self.registration = Registration(store, AGENTS_PREFIX + settings.agent_id, settings)
        self.metrics = metrics
        self.ignored = IgnoredValues(metrics, now)
        self.epoch = 0
        self.owner_connection: Connection | None = None
        self.owner_contact_at = now()
        self.report_due = Event()
        self.stop_requested = Event()
        fencing_token = int(now_unix() * 1000)
        self.controller = WorkerController(
            settings.worker_address,
            fencing_token,
            self.report_due.set,
            metrics,
            settings.max_lease_ms / 1000,
        )
        self.listener = Listener(settings.peer_address, self._handle, self._handle_close)
        self.announcement_server = WSGIServer(
            split_address(settings.announce_address), self._serve_announcement, log=None
        )

    def run(self) -> None:
        """Serve until `request_stop`, then deregister if nothing can run on the worker any more."""
        with ExitStack() as stack:
            self._read_epoch()
            self.listener.start()
            stack.callback(self.listener.close)
            self.announcement_server.start()
            stack.callback(self.announcement_server.stop, 0.1)
            for loop in (
                self.controller.poll_forever,
                self._report_forever,
                self._register_forever,
                partial(measure_loop_lag, self.metrics),
            ):
                stack.callback(gevent.spawn(supervised(loop, self.metrics)).kill)
            logger.info("agent started", extra={"agent_id": self.settings.agent_id})
            self.stop_requested.wait()
            if self.controller.is_certainly_empty:
                self._deregister()
        logger.info("agent stopped", extra={"agent_id": self.settings.agent_id})

    def request_stop(self) -> None:
        """Ask `run` to return; safe in a signal handler."""
        self.stop_requested.set()

    # Owner

    def _read_epoch(self) -> None:
        """Learn the epoch below which no owner is followed, if the store answers.

        The former incarnation of this agent may have followed the present owner, which relies on
        what it was told, while a former owner still sends commands.
        """
        try:
            current = self.store.get(OWNER_KEY)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.warning("epoch of the owner not read", extra={"error": str(error)})
            return
        record = decode_owner(current, self.ignored.recorder(OWNER_KEY))
        # The next owner gets an epoch above the revision of a key that names none.
        self.epoch = record.epoch if record else current.revision

    def _handle(self, connection: Connection, message: Message) -> Message | None:
        if isinstance(message, OwnerHello):
            return self._handle_hello(connection, message)
        if connection is not self.owner_connection:
            return self._reply(StartOutcome.REFUSED)
        if isinstance(message, StartRun):
            return self._handle_start(message)
        if isinstance(message, StopRun):
            return self._handle_stop(message)
        if isinstance(message, EndsStored):
            self.controller.record_stored_ends(message.born_ms, message.acknowledged)
        return None

    def _handle_hello(self, connection: Connection, message: OwnerHello) -> OwnerHelloReply:
        """Follow the sender unless an owner with a higher epoch is known."""
        accepted = message.epoch >= self.epoch
        if accepted:
            previous, self.owner_connection = self.owner_connection, connection
            if message.epoch > self.epoch or previous is not connection:
                logger.info(
                    "owner regained",
                    extra={"entry_id": message.entry_id, "epoch": message.epoch},
                )
            if message.epoch > self.controller.epoch:
                self.controller.begin_epoch(message.epoch)
            self.epoch = message.epoch
            self.owner_contact_at = now()
            if previous is not None and previous is not connection:
                gevent.spawn(previous.close)
            self.report_due.set()
        return OwnerHelloReply(self.settings.agent_id, accepted, self.epoch)

    def _handle_close(self, connection: Connection) -> None:
        if connection is self.owner_connection:
            self.owner_connection = None
            logger.warning("owner lost", extra={"epoch": self.epoch})

    def _handle_start(self, message: StartRun) -> RunReply:
        try:
            command = decode_start_command(message.order)
        except MALFORMED as error:
            self.ignored.record("start", error)
            return self._reply(StartOutcome.REFUSED)
        if self._is_too_late(message.not_after) or message.born_ms != self.controller.born_ms:
            outcome = StartOutcome.REFUSED
        else:
            outcome = self.controller.start(command, message.not_after, message.epoch)
        logger.info(
            "start",
            extra={
                "task": command.task,
                "run": command.run,
                "epoch": message.epoch,
                "outcome": outcome.value,
            },
        )
        return self._reply(outcome)

    def _handle_stop(self, message: StopRun) -> RunReply:
        if self._is_too_late(message.not_after):
            return self._reply(StartOutcome.REFUSED)
        stopped = self.controller.stop(message.task, message.run, message.not_after)
        logger.info("stop", extra={"task": message.task, "run": message.run, "taken": stopped})
        outcome = StartOutcome.STARTED if stopped else StartOutcome.UNKNOWN
        return self._reply(outcome)

    def _reply(self, outcome: StartOutcome) -> RunReply:
        controller = self.controller
        return RunReply(outcome.value, controller.polls_begun, controller.agent_incarnation)

    def _is_too_late(self, not_after: float) -> bool:
        """Return whether a command has expired, or the grant that it needs."""
        return now() >= min(not_after, self.controller.grant_until)

    def _report_forever(self) -> None:
        while True:
            self.report_due.wait(HEARTBEAT_SECONDS)
            self.report_due.clear()
            connection = self.owner_connection
            if connection is not None:
                self._send_report(connection)

    def _send_report(self, connection: Connection) -> None:
        """Send a report to the owner and apply the grant that answers it."""
        sent_at = now()
        try:
            report = encode_report(self.controller.report(), sent_at)
            grant = connection.request(report, REPORT_TIMEOUT_SECONDS)
        except AcaciastandError as error:
            logger.warning("report unanswered", extra={"error": str(error)})
            connection.close()
            return
        if not isinstance(grant, RunGrant) or connection is not self.owner_connection:
            return
        self.owner_contact_at = now()
        if grant.seconds > 0:
            seconds = min(grant.seconds, GRANT_SECONDS)
            self.controller.grant_until = max(self.controller.grant_until, sent_at + seconds)
        self.controller.record_stored_ends(grant.born_ms, grant.acknowledged)
        self.controller.crash_witness.record_stored(grant.stored_crash_ms)
        on_ignored = self.ignored.recorder("grant")
        self.controller.costs = decode_batch_costs(grant.services, grant.batch_costs, on_ignored)
        self.controller.limits.update(decode_rows(grant.limits, decode_limits, on_ignored))

    # Registration

    def _deregister(self) -> None:
        """Remove the registration, since a new owner waits for the grants of registered agents."""
        for _ in range(MAX_DEREGISTRATION_ATTEMPTS):
            if self.registration.remove():
                return
            gevent.sleep(REGISTRATION_RETRY_SECONDS)

    def _register_forever(self) -> None:
        """Write the registration, and again after each long time without an owner."""
        while not self.registration.write():
            gevent.sleep(REGISTRATION_RETRY_SECONDS)
        while True:
            gevent.sleep(1.0)
            if (
                now() - self.owner_contact_at > REREGISTER_AFTER_SECONDS
                and self.registration.write()
            ):
                self.owner_contact_at = now()

    # Worker

    def _serve_announcement(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        """Answer an announcement or a deregistration of the worker."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read(MAX_ANNOUNCEMENT_BYTES)
        if path.startswith(LEAVE_PATH):
            logger.info("worker left", extra={"worker": path[len(LEAVE_PATH) :]})
            self.controller.record_departure()
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        if not path.startswith(ANNOUNCE_PATH):
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        try:
            identity, sequence = decode_announcement(path[len(ANNOUNCE_PATH) :], body)
        except InvalidInput as error:
            self.metrics.count("announcements_ignored", "malformed")
            self.ignored.record("announcement", error)
            start_response("400 Bad Request", [("Content-Length", "0")])
            return [b""]
        is_draining = identity.draining
        if not self.controller.apply_announcement(identity, sequence):
            self.metrics.count("announcements_ignored", "older")
        elif is_draining:
            self.report_due.set()
        start_response("200 OK", [("Content-Type", "application/json"), ("Content-Length", "2")])
        return [b"{}"]
