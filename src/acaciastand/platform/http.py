"""HTTP calls that return whole answers or tell whether the call may have had an effect."""

from __future__ import annotations

import http.client
import select
import socket
from urllib.parse import urlsplit

import gevent
import gevent.socket

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.record import Record

MAX_ANSWER_BYTES = 1 << 20
MAX_IDLE_CONNECTIONS = 8
CONNECT_SECONDS = 2.0
READ_BYTES = 16 << 10


class CallNotSent(AcaciastandError):
    """The server was not reached, so the call had no effect."""

    code = "call_not_sent"
    outcome = Outcome.NOT_RUN
    http_status = 503


class CallTimedOut(AcaciastandError):
    """No whole answer arrived in time; the call may have had its effect."""

    code = "call_timed_out"
    outcome = Outcome.UNKNOWN
    http_status = 504


class CallBrokeOff(AcaciastandError):
    """The answer was truncated, malformed or too large; the call may have had its effect."""

    code = "call_broke_off"
    outcome = Outcome.UNKNOWN
    http_status = 502


class HttpAnswer(Record):
    """A whole answer."""

    __slots__ = ("status", "body", "content_type")

    def __init__(self, status: int, body: bytes, content_type: str = "") -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


class _Connection(http.client.HTTPConnection):
    # geventhttpclient brings ssl, urllib.request and cookies: 3.7 MiB of the agent's 32 MB.

    def connect(self) -> None:
        """Connect a gevent socket; the deadline of a call is enforced outside."""
        self.sock = gevent.socket.create_connection((self.host, self.port), CONNECT_SECONDS)
        self.sock.settimeout(None)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def is_usable(self) -> bool:
        """Return whether a kept connection is still open; the server sends nothing unasked."""
        if self.sock is None:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return not poll.poll(0)


class HttpCaller:
    """Calls one server over kept connections; a connection that failed is never used again.

    Parameters
    ----------
    url
        Base URL, ``http://ip:port``.
    max_answer_bytes
        Longest answer that is read.
    """

    def __init__(self, url: str, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self.url = url
        self.max_answer_bytes = max_answer_bytes
        self._idle: list[_Connection] = []

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_seconds: float = 2.0,
        part_seconds: float | None = None,
    ) -> HttpAnswer:
        """Send one request, never twice, and return the whole answer.

        Parameters
        ----------
        timeout_seconds
            Time for the whole answer, or with `part_seconds` until the answer begins.
        part_seconds
            Time for each part of the answer once it has begun. A large answer may then take long
            over a thin link, while a connection that has gone silent is noticed soon.

        Raises
        ------
        CallNotSent
            The server refused the connection.
        CallTimedOut, CallBrokeOff
            The call may have had its effect.
        """
        client = self._take()
        timeout = gevent.Timeout.start_new(timeout_seconds)
        try:
            client.request(method, path, body or None, headers or {})
            response = client.getresponse()
            if part_seconds is not None:
                timeout.close()
            answer = self._read_answer(response, part_seconds)
        except BaseException as error:
            client.close()
            if isinstance(error, gevent.Timeout | TimeoutError):
                # The idle connections may have gone silent together with this one.
                self.close()
            raise self._typed(error, timeout_seconds) from error
        finally:
            timeout.close()
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(client)
        else:
            client.close()
        return answer

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()

    def _take(self) -> _Connection:
        while self._idle:
            client = self._idle.pop()
            if client.is_usable():
                return client
            client.close()
        parts = urlsplit(self.url)
        return _Connection(parts.hostname or "", parts.port)

    def _typed(self, error: BaseException, timeout_seconds: float) -> BaseException:
        if isinstance(error, ConnectionRefusedError):
            return CallNotSent(f"{self.url} refuses connections", "check that it is running")
        if isinstance(error, gevent.Timeout | TimeoutError):
            return CallTimedOut(
                f"no whole answer from {self.url} within {timeout_seconds:.3f} s",
                "treat the outcome as unknown",
            )
        if isinstance(error, OSError | http.client.HTTPException | ValueError):
            return CallBrokeOff(
                f"the answer of {self.url} broke off: {error}", "treat the outcome as unknown"
            )
        return error

    def _read_answer(
        self, response: http.client.HTTPResponse, part_seconds: float | None
    ) -> HttpAnswer:
        length = response.length
        parts: list[bytes] = []
        size = 0
        while True:
            with gevent.Timeout(part_seconds):
                data = response.read(READ_BYTES)
            if not data:
                break
            parts.append(data)
            size += len(data)
            if size > self.max_answer_bytes:
                raise ValueError(f"more than {self.max_answer_bytes} bytes")
        # An answer that ends with the connection cannot be told from a truncated one.
        if not response.chunked and length != size:
            raise ValueError(f"{size} of {length} bytes arrived")
        return HttpAnswer(response.status, b"".join(parts), response.getheader("content-type", ""))
