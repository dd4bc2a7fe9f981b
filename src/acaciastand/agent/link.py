"""One connection to an entry: announcement, heartbeats and messages."""

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

HELLO_SECONDS = 5.0
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 5.0
MIN_HEARTBEAT_SECONDS = 0.05
MAX_HEARTBEAT_SECONDS = 5.0
MAX_UNANSWERED_HEARTBEATS = 3  # then the connection is opened again

log = logging.getLogger(__name__)


class LinkEvents(ABC):
    """What the agent does with the events of a link."""

    @abstractmethod
    def hello(self) -> Hello:
        """Return the announcement."""

    @abstractmethod
    def welcomed(self, link: Link, welcome: Welcome) -> None:
        """Take the entry's answer to the announcement."""

    @abstractmethod
    def heartbeat(self, link: Link, sequence: int) -> Heartbeat:
        """Record the sending of a heartbeat and return it."""

    @abstractmethod
    def heartbeat_answered(self, link: Link, reply: HeartbeatReply) -> None:
        """Take the renewals in the answer."""

    @abstractmethod
    def received(self, link: Link, message: Message) -> Message | None:
        """Handle a message of the entry and return the reply, if any."""

    @abstractmethod
    def protocol_error(self, link: Link, error: ProtocolError) -> None:
        """Take note of a frame that cannot be read; the connection ends."""

    @abstractmethod
    def closed(self, link: Link) -> None:
        """Forget what belonged to the connection."""


class Link:
    """Keeps one connection to one entry open until it is stopped.

    Parameters
    ----------
    address
        ``ip:port`` of the entry's peer listener.
    rng
        Source of jitter.
    """

    _numbers = itertools.count(1)

    def __init__(self, address: str, events: LinkEvents, rng: random.Random) -> None:
        self.address = address
        self.events = events
        self.rng = rng
        self.name = ""
        self.entry_id = ""
        self.connection: Connection | None = None
        self.owned: dict[int, int] = {}
        self.heartbeat_seconds = 1.0
        self.surging = False
        self.heartbeat_due = Event()
        self.sent_lists = SentAttemptLists()
        self._unanswered = 0
        self._task: gevent.Greenlet | None = None

    @property
    def is_open(self) -> bool:
        """Whether the entry has answered the announcement on the current connection."""
        return self.connection is not None and bool(self.entry_id)

    def start(self) -> None:
        """Dial in the background."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Close the connection and dial no more."""
        if self._task is not None:
            self._task.kill()
        self._disconnect()

    def set_owned(self, shards: list[ShardEpoch]) -> None:
        """Replace the shards that the entry owns."""
        self.owned = {item.shard: item.epoch for item in shards}

    def _run(self) -> None:
        failures = 0
        while True:
            try:
                self._connect()
                failures = 0
                self._send_heartbeats()
            except AcaciastandError as error:
                failures += 1
                log.info("link to %s: %s", self.address, error)
            finally:
                self._disconnect()
            gevent.sleep(backoff_seconds(failures, self.rng))

    def _connect(self) -> None:
        self.name = f"{self.address}#{next(self._numbers)}"
        connection = dial(
            self.address,
            lambda _connection, message: self._handle(message),
            on_protocol_error=lambda _connection, error: self.events.protocol_error(self, error),
        )
        self.connection = connection
        self.sent_lists = SentAttemptLists()
        welcome = connection.request(self.events.hello(), HELLO_SECONDS)
        if not isinstance(welcome, Welcome):
            raise AcaciastandError(
                f"{self.address} answered Hello with {type(welcome).__name__}",
                "check that it is the peer listener of an entry",
            )
        self.entry_id = welcome.entry_id
        self.heartbeat_seconds = _clamped(welcome.heartbeat_seconds)
        self.set_owned(welcome.owned_shards)
        self._unanswered = 0
        self.events.welcomed(self, welcome)

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
        message = self.sent_lists.abbreviate(self.events.heartbeat(self, sequence))
        limit = self.heartbeat_seconds * MAX_UNANSWERED_HEARTBEATS
        try:
            reply = connection.request(message, limit)
        except AcaciastandError:
            return
        if isinstance(reply, HeartbeatReply) and connection is self.connection:
            self._unanswered = 0
            self.set_owned(reply.owned_shards)
            self.surging = reply.surging
            reply.renewed = self.sent_lists.renewed(reply)
            self.events.heartbeat_answered(self, reply)
            if message.digest and not reply.knows_held:
                self.heartbeat_due.set()  # the entry asks for the list

    def _handle(self, message: Message) -> Message | None:
        return self.events.received(self, message)

    def _disconnect(self) -> None:
        connection, self.connection = self.connection, None
        self.entry_id = ""
        self.owned = {}
        self.surging = False
        if connection is not None:
            connection.close()
            self.events.closed(self)


def backoff_seconds(failures: int, rng: random.Random) -> float:
    """Return the wait before the next dial: exponential with full jitter, never zero."""
    ceiling = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2.0 ** min(failures, 16))
    return MIN_BACKOFF_SECONDS / 2 + rng.uniform(0.0, ceiling)


def _clamped(seconds: float) -> float:
    return min(MAX_HEARTBEAT_SECONDS, max(MIN_HEARTBEAT_SECONDS, seconds))
