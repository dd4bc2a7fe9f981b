"""Connection of the owner to one agent."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from acaciastand.checks import MALFORMED
from acaciastand.cluster.clock import now
from acaciastand.cluster.run_reports import decode_report
from acaciastand.errors import AcaciastandError
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.wire.connection import Connection, NotSent, dial
from acaciastand.wire.messages import (
    EndsStored,
    Message,
    OwnerHello,
    OwnerHelloReply,
    RunGrant,
    RunReply,
    RunReport,
    StartRun,
    StopRun,
)
from acaciastand.workflow.limits import COMMAND_SECONDS
from acaciastand.workflow.reports import AgentReport, PollPosition, StartCommand, StartOutcome

DIAL_TIMEOUT_SECONDS = 1.0
HELLO_TIMEOUT_SECONDS = 1.0
REDIAL_PAUSE_SECONDS = 0.25  # Pause before the agent is dialled again.
# The connection is replaced after this long without a report.
MAX_REPORT_AGE_SECONDS = 1.6
# Time to wait for the reply to a command, which the agent tries for at most COMMAND_SECONDS.
COMMAND_TIMEOUT_SECONDS = COMMAND_SECONDS + 0.7
REPORT_SOURCE = "report"  # Source of values of a report that are ignored.

logger = logging.getLogger(__name__)

ReportHandler = Callable[["AgentLink", AgentReport], RunGrant]


class AgentLink:
    """Connection to an agent, which is dialled again whenever it is lost; sends commands.

    Parameters
    ----------
    agent_id, address
        The agent and its ``ip:port``.
    entry_id, epoch
        The entry that is the owner, and its epoch.
    on_report
        Called with this link and a received report; returns the grant.
    on_superseded
        Called with the epoch that the agent follows if it is higher than `epoch`.
    ignored
        Records values of reports that cannot be decoded.

    Attributes
    ----------
    connection
        Open connection; None while there is none.
    reported_at
        When the last report arrived, or else the agent accepted the connection; minus infinity
        before the first.
    agent_clock
        The agent's clock in seconds when it sent its last report over the present connection;
        minus infinity before the first, so that the agent refuses all commands.
    failed_dials
        Number of attempts to connect that have failed since the agent last accepted a connection.
    is_stopped
        Whether the agent is not dialled any more and its reports are ignored.
    """

    def __init__(
        self,
        agent_id: str,
        address: str,
        entry_id: str,
        epoch: int,
        on_report: ReportHandler,
        on_superseded: Callable[[int], None],
        ignored: IgnoredValues,
    ) -> None:
        self.agent_id = agent_id
        self.address = address
        self.entry_id = entry_id
        self.epoch = epoch
        self.on_report = on_report
        self.on_superseded = on_superseded
        self.ignored = ignored
        self.connection: Connection | None = None
        self.reported_at = float("-inf")
        self.agent_clock = float("-inf")
        self.failed_dials = 0
        self.is_stopped = False

    def run(self) -> None:
        """Dial, watch the reports and dial again until `stop` or until the greenlet is killed."""
        try:
            while not self.is_stopped:
                self._connect()
                while self.connection is not None:
                    self.connection.closed.wait(0.3)
                    unresponsive = now() - self.reported_at > MAX_REPORT_AGE_SECONDS
                    if unresponsive or self.connection.closed.is_set():
                        self._disconnect("silent" if unresponsive else "closed")
                gevent.sleep(REDIAL_PAUSE_SECONDS)
        finally:
            if self.connection is not None:
                self.connection.close()

    def stop(self) -> None:
        """Close the connection and make no other."""
        self.is_stopped = True
        if self.connection is not None:
            self.connection.close()

    def start_run(self, born_ms: int, command: StartCommand) -> tuple[StartOutcome, PollPosition]:
        """Send a command to start a run on the worker's incarnation `born_ms`.

        Returns
        -------
        tuple[StartOutcome, PollPosition]
            The outcome, and the position of the last poll that the agent had begun when it replied;
            number 0 without a reply.
        """
        message = StartRun(
            self.epoch, self.agent_clock + COMMAND_SECONDS, born_ms, list(command.values())
        )
        return self._send_command(message)

    def stop_run(self, task: str, run: int) -> tuple[StartOutcome, PollPosition]:
        """Send a command to stop a run.

        Returns
        -------
        tuple[StartOutcome, PollPosition]
            STARTED if the worker accepted the stop, and the position of the last poll that the
            agent had begun when it replied; number 0 without a reply.
        """
        return self._send_command(
            StopRun(self.epoch, self.agent_clock + COMMAND_SECONDS, task, run)
        )

    def send_stored_ends(self, born_ms: int, number: int) -> None:
        """Notify the agent that ends up to `number` are stored.

        The next grant repeats this, so a lost message does no harm.
        """
        if self.connection is None:
            return
        try:
            self.connection.send(EndsStored(born_ms, number))
        except AcaciastandError as error:
            logger.debug("stored ends not sent", extra={"error": str(error)})

    def _send_command(self, message: Message) -> tuple[StartOutcome, PollPosition]:
        connection = self.connection
        if connection is None:
            return StartOutcome.REFUSED, PollPosition()
        try:
            reply = connection.request(message, COMMAND_TIMEOUT_SECONDS)
        except NotSent:
            return StartOutcome.REFUSED, PollPosition()
        except AcaciastandError as error:
            logger.warning(
                "command unanswered", extra={"agent_id": self.agent_id, "error": str(error)}
            )
            return StartOutcome.UNKNOWN, PollPosition()
        try:
            assert isinstance(reply, RunReply)
            outcome = StartOutcome(reply.outcome)
        except (AssertionError, *MALFORMED) as error:
            self.ignored.record(REPORT_SOURCE, error)
            return StartOutcome.UNKNOWN, PollPosition()
        return outcome, PollPosition(reply.agent_incarnation, reply.look)

    def _connect(self) -> None:
        connection = None
        # The host may have been restarted, and its clock with it.
        self.agent_clock = float("-inf")
        try:
            with gevent.Timeout(
                DIAL_TIMEOUT_SECONDS, TimeoutError("the connection was not made in time")
            ):
                connection = dial(self.address, self._handle)
            reply = connection.request(OwnerHello(self.entry_id, self.epoch), HELLO_TIMEOUT_SECONDS)
        except (AcaciastandError, TimeoutError) as error:
            if connection is not None:
                connection.close()
            self.failed_dials += 1
            logger.debug("agent unreachable", extra={"agent": self.agent_id, "error": str(error)})
            return
        assert isinstance(reply, OwnerHelloReply)
        if not reply.accepted:
            connection.close()
            self.on_superseded(reply.epoch)
            return
        if self.is_stopped:
            connection.close()
            return
        self.reported_at = now()
        self.failed_dials = 0
        self.connection = connection
        logger.info("agent regained", extra={"agent_id": self.agent_id, "epoch": self.epoch})

    def _disconnect(self, reason: str) -> None:
        connection, self.connection = self.connection, None
        logger.warning("agent lost", extra={"agent_id": self.agent_id, "why": reason})
        if connection is not None:
            connection.close()

    def _handle(self, connection: Connection, message: Message) -> Message | None:
        if self.is_stopped or not isinstance(message, RunReport):
            return None
        try:
            report = decode_report(message, self.ignored.recorder(REPORT_SOURCE))
        except MALFORMED as error:
            self.ignored.record(REPORT_SOURCE, error)
            return None
        self.reported_at = now()
        self.agent_clock = message.sent_at
        return self.on_report(self, report)
