"""Websocket connections on gevent sockets, with request-reply correlation.

The protocol objects of ``websockets`` perform no I/O; this module moves bytes between them and a
gevent socket. One reader greenlet decodes frames; each message is handled in its own greenlet, up
to `MAX_HANDLERS`, so a slow handler does not block replies.
"""

from __future__ import annotations

import itertools
import logging
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event
from gevent.lock import RLock, Semaphore
from gevent.server import StreamServer
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidHandshake
from websockets.exceptions import ProtocolError as WebsocketError
from websockets.frames import Opcode
from websockets.protocol import OPEN, Protocol
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.wire.codec import MAX_FRAME_BYTES, ProtocolError, decode, encode
from acaciastand.wire.messages import Message

READ_BYTES = 64 << 10
MAX_HANDLERS = 64  # messages of one connection handled at once; further ones wait in the socket
MAX_PENDING_REQUESTS = 1024  # requests of one connection that wait for a reply
HANDSHAKE_SECONDS = 5.0
SEND_SECONDS = 10.0  # a peer that reads nothing for this long is disconnected
CONTROL_OPCODES = frozenset({Opcode.PING, Opcode.PONG, Opcode.CLOSE})
REPLY_BIT = 1  # correlation ids of requests are even; the reply carries the id plus one

logger = logging.getLogger(__name__)


class ConnectionClosed(AcaciastandError):
    """The connection ended; a request without a reply may have been handled."""

    code = "connection_closed"
    outcome = Outcome.UNKNOWN
    http_status = 502


class NotSent(AcaciastandError):
    """The message was not sent, so the peer did not handle it."""

    code = "not_sent"
    outcome = Outcome.NOT_RUN
    http_status = 503


class ReplyTimeout(AcaciastandError):
    """No reply arrived in time; the peer may have handled the message."""

    code = "reply_timeout"
    outcome = Outcome.UNKNOWN
    http_status = 504


Handler = Callable[["Connection", Message], Message | None]


class Connection:
    """One end of an open websocket.

    Parameters
    ----------
    sock
        Connected gevent socket after the handshake.
    protocol
        Protocol object in state OPEN.
    handler
        Called with each message that is not a reply; a returned message is sent as the reply.
    on_close
        Called once, after the connection ended.
    on_protocol_error
        Called with the error when the peer sends a frame that cannot be decoded.
    """

    def __init__(
        self,
        sock: Any,
        protocol: Protocol,
        handler: Handler,
        on_close: Callable[[Connection], None] | None = None,
        on_protocol_error: Callable[[Connection, ProtocolError], None] | None = None,
    ) -> None:
        self.sock = sock
        self.protocol = protocol
        self.handler = handler
        self.on_close = on_close
        self.on_protocol_error = on_protocol_error
        self.bytes_in = 0
        self.bytes_out = 0
        self.closed = Event()
        self.user_data: Any = None
        self._pending: dict[int, AsyncResult] = {}
        self._ids = itertools.count(2, 2)
        self._send_lock = RLock()
        self._handlers = Semaphore(MAX_HANDLERS)
        self._reader: gevent.Greenlet | None = None
        self._unsent: deque[memoryview] = deque()
        self._flusher: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start reading messages."""
        self._reader = gevent.spawn(self._read_loop)

    def send(self, message: Message) -> None:
        """Send a message that expects no reply.

        Raises
        ------
        NotSent
            The connection is closed, or the peer stopped reading.
        """
        self._send_frame(encode(message))

    def request(self, message: Message, timeout_seconds: float) -> Message:
        """Send `message` and return the reply.

        Raises
        ------
        NotSent
            The message was not sent.
        ConnectionClosed
            The connection ended before the reply.
        ReplyTimeout
            No reply within `timeout_seconds`.
        """
        if len(self._pending) >= MAX_PENDING_REQUESTS:
            raise NotSent("too many requests wait for a reply", "retry later")
        correlation_id = next(self._ids)
        result: AsyncResult = AsyncResult()
        self._pending[correlation_id] = result
        deadline = time.monotonic() + timeout_seconds
        try:
            self._send_frame(encode(message, correlation_id), timeout_seconds)
            return result.get(timeout=max(0.0, deadline - time.monotonic()))
        except gevent.Timeout:
            raise ReplyTimeout(
                f"no reply to {type(message).__name__} within {timeout_seconds:.3f} s",
                "treat the outcome as unknown",
            ) from None
        finally:
            self._pending.pop(correlation_id, None)

    def close(self) -> None:
        """Close the connection; waiting requests fail with `ConnectionClosed`."""
        if self.closed.is_set():
            return
        # A peer that is gone already needs no close frame.
        with gevent.Timeout(1.0, False), suppress(ConnectionClosed), self._send_lock:
            if self.protocol.state is OPEN:
                self.protocol.send_close()
                self._flush()
        self._finish()

    def _send_frame(self, data: bytes, timeout_seconds: float | None = None) -> None:
        begun = False
        limit = gevent.Timeout(timeout_seconds)
        try:
            with limit, self._send_lock:
                # What an earlier sender left behind goes first. Until it has left, nothing of
                # this frame is on its way, and the request certainly does not run.
                self._flush()
                if self.closed.is_set() or self.protocol.state is not OPEN:
                    raise NotSent("the connection is closed", "retry on another connection")
                begun = True
                self.protocol.send_binary(data)
                self._flush()
        except (gevent.Timeout, ConnectionClosed) as error:
            foreign = isinstance(error, gevent.Timeout) and error is not limit
            if begun or foreign:
                raise
            raise NotSent("the peer reads too slowly", "retry on another connection") from None
        finally:
            if self._unsent and not self.closed.is_set():
                self._flush_later()

    def _flush(self) -> None:
        """Send all that the protocol has ready; an interrupted call loses nothing."""
        self._unsent.extend(memoryview(data) for data in self.protocol.data_to_send())
        while self._unsent:
            try:
                self._send_some(self._unsent[0])
            except OSError as error:
                # Part of the frame may have left, so the outcome of a request is unknown.
                self._finish()
                raise ConnectionClosed(
                    f"sending failed: {error}", "treat the outcome as unknown"
                ) from error

    def _send_some(self, data: memoryview) -> None:
        if not data:  # the protocol asks for the end of the stream with an empty piece
            self._unsent.popleft()
            self.sock.shutdown(socket.SHUT_WR)
            return
        sent = self.sock.send(data)
        self.bytes_out += sent
        if sent == len(data):
            self._unsent.popleft()
        else:
            self._unsent[0] = data[sent:]

    def _flush_later(self) -> None:
        # A frame that has begun must leave completely although its sender has given up.
        if not self._flusher:
            self._flusher = gevent.spawn(self._flush_rest)

    def _flush_rest(self) -> None:
        with suppress(ConnectionClosed), self._send_lock:
            self._flush()

    def _read_loop(self) -> None:
        try:
            while not self.closed.is_set():
                data = self.sock.recv(READ_BYTES)
                self.bytes_in += len(data)
                self._receive_data(data)
                if not data:
                    break
        except (OSError, AcaciastandError):
            pass
        finally:
            self._finish()

    def _receive_data(self, data: bytes) -> None:
        with self._send_lock:
            if data:
                self.protocol.receive_data(data)
            else:
                self.protocol.receive_eof()
            events = self.protocol.events_received()
            self._flush()
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: Any) -> None:
        if event.opcode in CONTROL_OPCODES:
            return
        try:
            if event.opcode is not Opcode.BINARY or not event.fin:
                raise ProtocolError(
                    "expected one unfragmented binary message",
                    "check what connects to this port",
                )
            frame = decode(event.data)
        except ProtocolError as error:
            if self.on_protocol_error:
                self.on_protocol_error(self, error)
            raise
        if frame.correlation_id & REPLY_BIT:
            waiting = self._pending.get(frame.correlation_id - REPLY_BIT)
            if waiting is not None:
                waiting.set(frame.message)
            return
        self._handlers.acquire()
        gevent.spawn(self._handle_message, frame.message, frame.correlation_id)

    def _handle_message(self, message: Message, correlation_id: int) -> None:
        try:
            reply = self.handler(self, message)
            if reply is not None:
                self._send_frame(encode(reply, correlation_id | REPLY_BIT))
        except (NotSent, ConnectionClosed):
            pass  # the peer is gone and learns nothing from a reply
        except Exception:
            # The peer treats the outcome as unknown; other messages are still handled.
            logger.exception("message not handled", extra={"type": type(message).__name__})
        finally:
            self._handlers.release()

    def _finish(self) -> None:
        if self.closed.is_set():
            return
        self.closed.set()
        self.sock.close()
        for waiting in list(self._pending.values()):
            waiting.set_exception(
                ConnectionClosed("the connection ended", "treat the outcome as unknown")
            )
        if self.on_close:
            self.on_close(self)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def dial(
    address: str,
    handler: Handler,
    on_close: Callable[[Connection], None] | None = None,
    on_protocol_error: Callable[[Connection, ProtocolError], None] | None = None,
) -> Connection:
    """Open a connection to ``ip:port`` and start reading.

    Raises
    ------
    NotSent
        The peer cannot be reached or does not speak the protocol.
    """
    uri = parse_uri(f"ws://{address}/")
    protocol = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    sock = None
    try:
        with gevent.Timeout(HANDSHAKE_SECONDS, TimeoutError("handshake timed out")):
            sock = socket.create_connection(split_address(address))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            protocol.send_request(protocol.connect())
            early = _client_handshake(sock, protocol)
    except (OSError, InvalidHandshake, WebsocketError, EOFError) as error:
        if sock is not None:
            sock.close()
        raise NotSent(f"cannot connect to {address}: {error}", "check that it is running") from None
    connection = Connection(sock, protocol, handler, on_close, on_protocol_error)
    _limit_sends(sock)
    for event in early:
        connection._handle_event(event)
    connection.start()
    return connection


def _limit_sends(sock: Any) -> None:
    # gevent applies one timeout to both directions, and idle connections may stay silent for
    # several heartbeats, so the limit is left to the kernel for unacknowledged data only.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(SEND_SECONDS * 1000))


def _client_handshake(sock: Any, protocol: ClientProtocol) -> list[Any]:
    # Frames that arrive in the same segment as the response are returned to the caller.
    _send_pending(sock, protocol)
    events: list[Any] = []
    while protocol.state is not OPEN:
        events.extend(_receive_handshake(sock, protocol))
    return events[1:]


def _receive_handshake(sock: Any, protocol: Protocol) -> list[Any]:
    data = sock.recv(READ_BYTES)
    if not data:
        raise EOFError("the peer closed the connection during the handshake")
    protocol.receive_data(data)
    events = protocol.events_received()
    if protocol.handshake_exc is not None:
        raise protocol.handshake_exc
    return events


def _send_pending(sock: Any, protocol: Protocol) -> None:
    for data in protocol.data_to_send():
        if data:
            sock.sendall(data)


class Listener:
    """Accepts connections on ``ip:port``.

    Parameters
    ----------
    address
        Address to listen on; port 0 takes a free port.
    on_connection
        Called with each new connection before it is started; sets its `user_data` and callbacks.
    handler
        Handler of every connection.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        on_close: Callable[[Connection], None] | None = None,
        on_protocol_error: Callable[[Connection, ProtocolError], None] | None = None,
    ) -> None:
        self.handler = handler
        self.on_close = on_close
        self.on_protocol_error = on_protocol_error
        self.connections: set[Connection] = set()
        self.server = StreamServer(split_address(address), self._accept)

    @property
    def address(self) -> str:
        """Address that the listener is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Bind and accept connections.

        Raises
        ------
        OSError
            The address is in use or not of this host.
        """
        self.server.start()

    def stop_accepting(self) -> None:
        """Accept no further connections; open ones stay."""
        self.server.close()

    def close(self) -> None:
        """Stop accepting and close all connections."""
        self.server.stop()
        for connection in list(self.connections):
            connection.close()

    def _accept(self, sock: Any, _address: Any) -> None:
        protocol = ServerProtocol(max_size=MAX_FRAME_BYTES)
        try:
            with gevent.Timeout(HANDSHAKE_SECONDS, TimeoutError("handshake timed out")):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                early = _server_handshake(sock, protocol)
        except (OSError, InvalidHandshake, WebsocketError, EOFError):
            sock.close()
            return
        connection = Connection(sock, protocol, self.handler, self._closed, self.on_protocol_error)
        _limit_sends(sock)
        self.connections.add(connection)
        for event in early:
            connection._handle_event(event)
        connection._read_loop()

    def _closed(self, connection: Connection) -> None:
        self.connections.discard(connection)
        if self.on_close:
            self.on_close(connection)


def _server_handshake(sock: Any, protocol: ServerProtocol) -> list[Any]:
    events: list[Any] = []
    while not events:
        events.extend(_receive_handshake(sock, protocol))
    protocol.send_response(protocol.accept(events[0]))
    _send_pending(sock, protocol)
    if protocol.state is not OPEN:
        raise EOFError("the handshake was refused")
    return events[1:]
