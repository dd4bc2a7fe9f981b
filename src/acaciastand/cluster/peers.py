"""Connections of an entry to other entries, and the calls that pass over them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent

from acaciastand.checks import (
    MALFORMED,
    check_address,
    check_bytes,
    check_integer,
    check_list,
    check_text,
)
from acaciastand.errors import AcaciastandError, OutcomeUnknown, Refused
from acaciastand.record import Record
from acaciastand.wire.connection import Connection, NotSent, dial
from acaciastand.wire.messages import Forward, ForwardReply, Message

DIAL_TIMEOUT_SECONDS = 1.0
PING_INTERVAL_SECONDS = 0.5
PING_TIMEOUT_SECONDS = 1.0
# Pause before an address that refused a connection is dialled again; a fifth of it otherwise.
REDIAL_PAUSE_SECONDS = 0.5
PING_CALL = "ping"  # Name of the call by which entries exchange their status.

logger = logging.getLogger(__name__)

CallHandler = Callable[[str, dict[str, Any]], dict[str, Any]]


class CallRefused(Refused):
    """The other entry replied that it has not carried out the call.

    Parameters
    ----------
    reply_code
        Code of its error.
    """

    code = "call_refused"

    def __init__(self, message: str, remedy: str, reply_code: str) -> None:
        super().__init__(message, remedy)
        self.reply_code = reply_code


class PeerStatus(Record):
    """What entries tell each other with each ping.

    Parameters
    ----------
    entry_id, address
        The entry and its ``ip:port`` for other entries.
    configuration
        Version of its configuration; 0 before the first.
    owner
        The owner key as it was written, if the entry knows an owner; empty otherwise.
    backlog
        Estimate of the backlog if the entry is the owner, as `BacklogEstimate.to_list` returns it;
        None otherwise, and from entries of former versions.
    """

    __slots__ = ("entry_id", "address", "configuration", "owner", "backlog")

    def __init__(
        self,
        entry_id: str,
        address: str,
        configuration: int,
        owner: bytes,
        backlog: list[Any] | None = None,
    ) -> None:
        self.entry_id = entry_id
        self.address = address
        self.configuration = configuration
        self.owner = owner
        self.backlog = backlog

    def to_map(self) -> dict[str, Any]:
        """Return the fields as the call carries them."""
        return dict(zip(self.fields(), self.values(), strict=True))

    @classmethod
    def from_map(cls, fields: dict[str, Any]) -> PeerStatus:
        """Return the status in the fields of a call.

        Raises
        ------
        KeyError, ValueError
            A field is missing or holds what no status holds.
        """
        return cls(
            check_text(fields["entry_id"]),
            check_address(fields["address"]),
            check_integer(fields["configuration"]),
            check_bytes(fields["owner"]),
            check_list(fields["backlog"]) if fields.get("backlog") is not None else None,
        )


class PeerLink:
    """Connection to another entry, which is dialled again whenever it is lost.

    Parameters
    ----------
    entry_id, address
        The other entry and its ``ip:port``.
    status
        Returns the status of this entry, which each ping sends.
    on_status
        Called with the status of the other entry, which each ping returns.

    Attributes
    ----------
    connection
        Open connection; None while there is none.
    refused
        Whether the address refused the connection when it was last dialled.
    """

    def __init__(
        self,
        entry_id: str,
        address: str,
        status: Callable[[], dict[str, Any]],
        on_status: Callable[[PeerLink, dict[str, Any]], None],
    ) -> None:
        self.entry_id = entry_id
        self.address = address
        self.status = status
        self.on_status = on_status
        self.connection: Connection | None = None
        self.refused = False

    def run(self) -> None:
        """Dial, ping and dial again until the greenlet is killed."""
        try:
            while True:
                self._connect()
                while self.connection is not None and not self.connection.closed.is_set():
                    self._ping(self.connection)
                self.connection = None
                gevent.sleep(REDIAL_PAUSE_SECONDS if self.refused else REDIAL_PAUSE_SECONDS / 5)
        finally:
            if self.connection is not None:
                self.connection.close()

    def call(self, name: str, payload: dict[str, Any], seconds: float) -> dict[str, Any]:
        """Call the entry and return the result.

        Parameters
        ----------
        name
            Name of the call.
        payload
            Arguments of the call.
        seconds
            Time to wait for the reply.

        Raises
        ------
        Refused
            The call had no effect; `CallRefused` if the other entry replied so.
        OutcomeUnknown
            The call may have taken effect.
        """
        connection = self.connection
        if connection is None:
            raise Refused(f"entry {self.entry_id} is not connected", "try another entry")
        message = Forward(name, payload, int(seconds * 1000))
        try:
            reply = connection.request(message, seconds)
        except NotSent as error:
            raise Refused(str(error), "try another entry") from error
        except AcaciastandError as error:
            raise OutcomeUnknown(str(error), "repeat the call") from error
        assert isinstance(reply, ForwardReply)
        if reply.code:
            if reply.outcome == "not_run":
                raise CallRefused(reply.message, reply.remedy, reply.code)
            raise OutcomeUnknown(reply.message, reply.remedy)
        return reply.result

    def _connect(self) -> None:
        connection = None
        try:
            with gevent.Timeout(
                DIAL_TIMEOUT_SECONDS, TimeoutError("the connection was not made in time")
            ):
                connection = dial(self.address, _ignore_message)
        except (AcaciastandError, TimeoutError) as error:
            self.refused = "refused" in str(error).lower()
            return
        self.refused = False
        self.connection = connection
        logger.info("peer regained", extra={"entry_id": self.entry_id})

    def _ping(self, connection: Connection) -> None:
        try:
            self.on_status(self, self.call(PING_CALL, self.status(), PING_TIMEOUT_SECONDS))
        except AcaciastandError as error:
            logger.warning("peer lost", extra={"entry_id": self.entry_id, "error": str(error)})
            connection.close()
            return
        connection.closed.wait(PING_INTERVAL_SECONDS)


def _ignore_message(_connection: Connection, _message: Message) -> None:
    return None


def answer_forward(handler: CallHandler, message: Message) -> ForwardReply:
    """Return the reply to a forwarded call, with the error if `handler` raises one."""
    if not isinstance(message, Forward):
        return ForwardReply(
            code="invalid_input", outcome="not_run", message="the message is not a call"
        )
    try:
        return ForwardReply(handler(message.call, dict(message.payload)))
    except MALFORMED as error:
        logger.exception("call failed", extra={"call": message.call, "error": repr(error)})
        return ForwardReply(
            code="invalid_input",
            outcome="unknown",
            message=f"the call {message.call!r} failed with {error!r}",
            remedy="check the versions of the entries",
        )
    except AcaciastandError as error:
        outcome = error.outcome.value if error.outcome else "unknown"
        return ForwardReply(
            code=error.code, outcome=outcome, message=error.message, remedy=error.remedy
        )
