"""A link to one entry: connecting and announcing, heartbeats and messages."""

from __future__ import annotations

import itertools
import logging
import random
from abc import ABC, abstractmethod

import gevent
from gevent.event import Event

from acaciastand.errors import AcaciastandError
from acaciastand.wire.attempt_lists import SentAttemptLists
from acaciastand.wire.codec import ProtocolError
from acaciastand.wire.connection import Connection, dial
from acaciastand.wire.messages import (
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
    ShardEpoch,
    Welcome,
)

HELLO_TIMEOUT_SECONDS = 5.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
MIN_HEARTBEAT_SECONDS = 0.05
MAX_HEARTBEAT_SECONDS = 5.0
# With this many heartbeats without a reply, the connection is closed and opened again.
MAX_UNANSWERED_HEARTBEATS = 3

log = logging.getLogger(__name__)


class EntryLinkHandler(ABC):
    """Receiver of the events of a link."""

    @abstractmethod
    def build_hello(self) -> Hello:
        """Return the announcement of this host."""

    @abstractmethod
    def on_welcome(self, link: EntryLink, welcome: Welcome) -> None:
        """Handle the entry's reply to the announcement."""

    @abstractmethod
    def prepare_heartbeat(self, link: EntryLink, sequence: int) -> Heartbeat:
        """Record the send time of a heartbeat and return the heartbeat."""

    @abstractmethod
    def on_heartbeat_reply(self, link: EntryLink, reply: HeartbeatReply) -> None:
        """Apply the renewals in the reply."""

    @abstractmethod
    def on_message(self, link: EntryLink, message: Message) -> Message | None:
        """Handle a message from the entry and return the reply, or None."""

    @abstractmethod
    def on_protocol_error(self, link: EntryLink, error: ProtocolError) -> None:
        """Handle a frame that cannot be decoded; the connection is then closed."""

    @abstractmethod
    def on_closed(self, link: EntryLink) -> None:
        """Drop the state of the closed connection."""


class EntryLink:
    """Keeps a connection to one entry open until the link is stopped.

    Parameters
    ----------
    address
        ``ip:port`` of the entry's peer listener.
    handler
        Receiver of the events of this link.
    rng
        Source of jitter.

    Attributes
    ----------
    name
        Name of the current connection; each connection gets a new one.
    entry_id
        Id of the entry; empty until it has replied to the announcement.
    owned_epochs
        Epochs of the shards that the entry owns, by shard.
    heartbeat_seconds
        Interval of the heartbeats.
    surging
        Whether a service of the region surges at this entry.
    heartbeat_due
        Event that causes the next heartbeat before the end of the interval.
    sent_lists
        Lists of attempts in the heartbeats of the current connection.
    """

    _numbers = itertools.count(1)

    def __init__(self, address: str, handler: EntryLinkHandler, rng: random.Random) -> None:
        self.address = address
        self.handler = handler
        self.rng = rng
        self.name = ""
        self.entry_id = ""
        self.connection: Connection | None = None
        self.owned_epochs: dict[int, int] = {}
        self.heartbeat_seconds = 1.0
        self.surging = False
        self.heartbeat_due = Event()
        self.sent_lists = SentAttemptLists()
        self._unanswered = 0
        self._task: gevent.Greenlet | None = None

    @property
    def is_open(self) -> bool:
        """Whether the entry has replied to the announcement on the current connection."""
        return self.connection is not None and bool(self.entry_id)

    def start(self) -> None:
        """Connect, and connect again after each failure, in the background."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the connection for good."""
        if self._task is not None:
            self._task.kill()
        self._disconnect()

    def set_owned_shards(self, shards: list[ShardEpoch]) -> None:
        """Set the shards that the entry owns, with their epochs."""
        self.owned_epochs = {item.shard: item.epoch for item in shards}

    def _run(self) -> None:
        failures = 0
        while True:
            try:
                self._connect()
                failures = 0
                self._send_heartbeats()
            except AcaciastandError as error:
                failures += 1
                log.info("connection to entry %s failed: %s", self.address, error)
            finally:
                self._disconnect()
            gevent.sleep(backoff_seconds(failures, self.rng))

    def _connect(self) -> None:
        self.name = f"{self.address}#{next(self._numbers)}"
        connection = dial(
            self.address,
            lambda _connection, message: self._handle(message),
            on_protocol_error=lambda _connection, error: self.handler.on_protocol_error(
                self, error
            ),
        )
        self.connection = connection
        self.sent_lists = SentAttemptLists()
        welcome = connection.request(self.handler.build_hello(), HELLO_TIMEOUT_SECONDS)
        if not isinstance(welcome, Welcome):
            raise AcaciastandError(
                f"{self.address} answered Hello with {type(welcome).__name__}",
                "check that it is the peer listener of an entry",
            )
        self.entry_id = welcome.entry_id
        self.heartbeat_seconds = _clamp_heartbeat_seconds(welcome.heartbeat_seconds)
        self.set_owned_shards(welcome.owned_shards)
        self._unanswered = 0
        self.handler.on_welcome(self, welcome)

    def _send_heartbeats(self) -> None:
        connection = self.connection
        assert connection is not None
        for sequence in itertools.count(1):
            if connection.closed.is_set() or self._unanswered >= MAX_UNANSWERED_HEARTBEATS:
                return
            self._unanswered += 1
            gevent.spawn(self._send_heartbeat, connection, sequence)
            self._wait_interval(connection)

    def _wait_interval(self, connection: Connection) -> None:
        self.heartbeat_due.clear()
        gevent.wait([connection.closed, self.heartbeat_due], self.heartbeat_seconds, count=1)

    def _send_heartbeat(self, connection: Connection, sequence: int) -> None:
        message = self.sent_lists.abbreviate(self.handler.prepare_heartbeat(self, sequence))
        timeout_seconds = self.heartbeat_seconds * MAX_UNANSWERED_HEARTBEATS
        try:
            reply = connection.request(message, timeout_seconds)
        except AcaciastandError:
            return
        if isinstance(reply, HeartbeatReply) and connection is self.connection:
            self._unanswered = 0
            self.set_owned_shards(reply.owned_shards)
            self.surging = reply.surging
            reply.renewed = self.sent_lists.renewed(reply)
            self.handler.on_heartbeat_reply(self, reply)
            if message.digest and not reply.knows_held:
                self.heartbeat_due.set()  # The entry needs the list that the digest stands for.

    def _handle(self, message: Message) -> Message | None:
        return self.handler.on_message(self, message)

    def _disconnect(self) -> None:
        connection, self.connection = self.connection, None
        self.entry_id = ""
        self.owned_epochs = {}
        self.surging = False
        if connection is not None:
            connection.close()
            self.handler.on_closed(self)


def backoff_seconds(failures: int, rng: random.Random) -> float:
    """Return the seconds to wait before connecting again: exponential, full jitter, never zero."""
    ceiling = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0 ** min(failures, 16))
    return MIN_BACKOFF_SECONDS / 2 + rng.uniform(0.0, ceiling)


def _clamp_heartbeat_seconds(seconds: float) -> float:
    return min(MAX_HEARTBEAT_SECONDS, max(MIN_HEARTBEAT_SECONDS, seconds))
