"""Connections of this entry to the other entries.

Each entry dials every other one, and calls travel on the dialled connection. A pair of entries
therefore has two connections, and neither end has to agree with the other on which to keep.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from acaciastand.entry.remote import CallHandler, answer_forward, result_of_forward
from acaciastand.errors import AcaciastandError, Refused
from acaciastand.reasons import Reason
from acaciastand.wire.connection import Connection, NotSent, dial
from acaciastand.wire.messages import (
    Directory,
    EntryAddress,
    Forward,
    Message,
    PeerHeartbeat,
    PeerHello,
)

MAX_PEERS = 64  # other entries known to one entry
MAX_FORWARDS = 48  # calls in flight to one peer; a connection handles 64 messages at once
HEARTBEAT_SECONDS = 1.0
MISSED_HEARTBEATS = 3
REPLY_SECONDS = 3.0  # time for the answer to a heartbeat or hello
REPLY_GRACE_SECONDS = 0.05  # the other entry's own report of a timeout tells more than silence
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0
FORGET_SECONDS = 60.0  # an unreachable entry that is not in the settings file is forgotten

logger = logging.getLogger(__name__)


class PeerUnreachable(Refused):
    """No connection to the entry that would have to answer; nothing was sent."""

    code = "peer_unreachable"


class ForwardLimit(Refused):
    """Too many calls to a peer are in flight."""

    code = str(Reason.FORWARD_LIMIT)
    http_status = 429


class Peer:
    """Another entry.

    Parameters
    ----------
    address
        ``ip:port`` of its peer listener.
    configured
        Whether the settings file names it; then it is never forgotten.
    now
        Seconds of the monotonic clock.
    """

    __slots__ = (
        "address",
        "configured",
        "entry",
        "connection",
        "heartbeat",
        "last_received_at",
        "in_flight",
        "stopped",
    )

    def __init__(self, address: str, configured: bool, now: float) -> None:
        self.address = address
        self.configured = configured
        self.entry = EntryAddress(address=address)
        self.connection: Connection | None = None
        self.heartbeat = PeerHeartbeat()
        self.last_received_at = now
        self.in_flight = 0
        self.stopped = False

    @property
    def connected(self) -> bool:
        """Whether calls can be sent."""
        return self.connection is not None and not self.connection.closed.is_set()


class Peers:
    """All other entries that this entry knows.

    Parameters
    ----------
    own
        Id, address and availability zone of this entry.
    configured
        Peer addresses from the settings file.
    report
        Returns this entry's heartbeat.
    on_call
        Handles calls that other entries forward to this one.
    on_change
        Called when the directory changes.
    on_heartbeat
        Called with each peer whose heartbeat arrived.
    clock
        Seconds of the monotonic clock.
    """

    def __init__(
        self,
        own: EntryAddress,
        configured: list[str],
        report: Callable[[], PeerHeartbeat],
        on_call: CallHandler,
        on_change: Callable[[], None],
        on_heartbeat: Callable[[Peer], None],
        clock: Callable[[], float],
    ) -> None:
        self.own = own
        self.report = report
        self.on_call = on_call
        self.on_change = on_change
        self.on_heartbeat = on_heartbeat
        self.clock = clock
        self.peers: dict[str, Peer] = {}
        self._configured = configured
        self._stopping = Event()
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Dial the entries of the settings file."""
        for address in self._configured:
            self._add(address, True)

    def stop(self) -> None:
        """Close all connections."""
        self._stopping.set()
        for peer in self.peers.values():
            if peer.connection is not None:
                peer.connection.close()
        gevent.joinall(self._greenlets, timeout=MAX_BACKOFF_SECONDS)

    def add_entries(self, entries: list[EntryAddress]) -> None:
        """Dial entries that are not known yet; beyond `MAX_PEERS` they are left out."""
        for entry in entries:
            if entry.entry_id != self.own.entry_id and entry.address:
                self._add(entry.address, False)

    def connected(self) -> list[Peer]:
        """Return the peers that can be called."""
        return [peer for peer in self.peers.values() if peer.connected]

    def identified(self) -> list[Peer]:
        """Return the peers that answered at least once, also those out of reach now."""
        return [peer for peer in self.peers.values() if peer.entry.entry_id]

    def directory(self) -> list[EntryAddress]:
        """Return this entry and the connected ones."""
        return [self.own, *(peer.entry for peer in self.connected())]

    def owner_of(self, shard: int) -> Peer | None:
        """Return the peer that announces `shard` with the highest epoch."""
        best: tuple[int, Peer] | None = None
        for peer in self.connected():
            for owned in peer.heartbeat.owned_shards:
                if owned.shard == shard and (best is None or owned.epoch > best[0]):
                    best = (owned.epoch, peer)
        return best[1] if best else None

    def with_target(self, service: str) -> Peer | None:
        """Return the peer with most free slots for `service`; None when none announces any."""
        peers = [peer for peer in self.connected() if service in peer.heartbeat.free_slots]
        active = [peer for peer in peers if not peer.heartbeat.draining]
        return max(active, key=lambda peer: peer.heartbeat.free_slots[service], default=None)

    def with_bucket(self, service: str, number: int) -> Peer | None:
        """Return a peer whose agents hold a bucket of keys."""
        for peer in self.connected():
            mask = peer.heartbeat.bucket_masks.get(service, 0)
            if isinstance(mask, int) and mask >> number & 1:
                return peer
        return None

    def call(
        self, peer: Peer, call: str, payload: dict[str, Any], timeout_seconds: float
    ) -> dict[str, Any]:
        """Return the result of a call to `peer`.

        Raises
        ------
        PeerUnreachable, ForwardLimit
            Nothing was sent.
        AcaciastandError
            The error of the peer, or one of outcome unknown when the answer is lost.
        """
        if peer.in_flight >= MAX_FORWARDS:
            raise ForwardLimit(f"{MAX_FORWARDS} calls to {peer.address} are in flight", "retry")
        if peer.connection is None:
            raise PeerUnreachable(f"no connection to {peer.address}", "send it again later")
        message = Forward(call, payload, int(timeout_seconds * 1000))
        peer.in_flight += 1
        try:
            reply = peer.connection.request(message, timeout_seconds + REPLY_GRACE_SECONDS)
        except NotSent as error:
            raise PeerUnreachable(error.message, "send it again later") from error
        finally:
            peer.in_flight -= 1
        return result_of_forward(reply)

    def handle(self, connection: Connection, message: Message) -> Message | None:
        """Answer a message of another entry."""
        if isinstance(message, PeerHello):
            self.add_entries([message.entry])
            return PeerHello(self.own, self.report().settings_revision, self.report().owned_shards)
        if isinstance(message, PeerHeartbeat):
            return self.report()
        if isinstance(message, Directory):
            self.add_entries(message.entries)
            return None
        if isinstance(message, Forward):
            return answer_forward(self.on_call, message)
        return None

    def announce(self) -> None:
        """Send the directory to all peers."""
        message = Directory(self.directory())
        for peer in self.connected():
            try:
                peer.connection.send(message)  # type: ignore[union-attr]
            except AcaciastandError:
                continue  # the connection's own greenlet dials again and sends it then

    def _add(self, address: str, configured: bool) -> None:
        if address == self.own.address or address in self.peers or self._stopping.is_set():
            return
        if len(self.peers) >= MAX_PEERS:
            logger.warning("peer left out", extra={"address": address, "limit": MAX_PEERS})
            return
        peer = Peer(address, configured, self.clock())
        self.peers[address] = peer
        self._greenlets = [greenlet for greenlet in self._greenlets if not greenlet.ready()]
        self._greenlets.append(gevent.spawn(self._keep, peer))

    def _keep(self, peer: Peer) -> None:
        backoff = FIRST_BACKOFF_SECONDS
        while not self._stopping.is_set() and not peer.stopped:
            try:
                self._exchange_hello(peer)
                backoff = FIRST_BACKOFF_SECONDS
                self._send_heartbeats(peer)
            except AcaciastandError as error:
                logger.info("peer lost", extra={"address": peer.address, "error": str(error)})
            self._disconnect(peer)
            self._forget_if_gone(peer)
            self._stopping.wait(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)

    def _exchange_hello(self, peer: Peer) -> None:
        peer.connection = dial(peer.address, self.handle)
        own = self.report()
        hello = PeerHello(self.own, own.settings_revision, own.owned_shards)
        reply = peer.connection.request(hello, REPLY_SECONDS)
        if not isinstance(reply, PeerHello):
            raise PeerUnreachable(f"{peer.address} is no entry", "correct `entries`")
        if reply.entry.entry_id == self.own.entry_id:
            peer.stopped = True  # this entry under another address
            peer.connection.close()
            return
        peer.entry = reply.entry.replace(address=peer.address)
        self._exchange_heartbeat(peer)
        peer.connection.send(Directory(self.directory()))
        self.on_change()

    def _send_heartbeats(self, peer: Peer) -> None:
        while peer.connected and not self._stopping.wait(HEARTBEAT_SECONDS):
            self._exchange_heartbeat(peer)

    def _exchange_heartbeat(self, peer: Peer) -> None:
        assert peer.connection is not None
        reply = peer.connection.request(self.report(), MISSED_HEARTBEATS * HEARTBEAT_SECONDS)
        if isinstance(reply, PeerHeartbeat):
            peer.heartbeat = reply
            peer.last_received_at = self.clock()
            self.on_heartbeat(peer)

    def _disconnect(self, peer: Peer) -> None:
        if peer.connection is not None:
            peer.connection.close()
            peer.connection = None
            self.on_change()

    def _forget_if_gone(self, peer: Peer) -> None:
        unresponsive = self.clock() - peer.last_received_at > FORGET_SECONDS
        if unresponsive and not peer.configured:
            peer.stopped = True
            self.peers.pop(peer.address, None)
