"""Small HTTP/1.1 server and client on asyncio, enough for the stand-ins of the platform."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit


class Request:
    """One HTTP request."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


class NoAnswer(Exception):
    """The connection stays open and returns nothing further."""


class ResetConnection(Exception):
    """The connection is reset."""


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


class Server:
    """Serves one address; it can be closed and opened again."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.dropped: set[asyncio.StreamWriter] = set()
        self.silent = False

    @property
    def address(self) -> str:
        """The ``ip:port`` that is served."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Bind and serve."""
        if self.server is not None:
            self.server.close()
        self.silent = False
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, reuse_address=True
        )

    async def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def drop(self) -> None:
        """Answer nothing any more, on open connections and new ones, until it is opened again."""
        self.silent = True
        self.dropped |= self.writers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        if self.silent:
            self.dropped.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                if writer in self.dropped:
                    await asyncio.sleep(3600)
                try:
                    status, body = await self.handler(request)
                except NoAnswer:
                    await asyncio.sleep(3600)
                    return
                except ResetConnection:
                    writer.transport.abort()
                    return
                data = b"" if body is None else json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _version = line.decode().split(" ", 2)
    headers = await _read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers: dict[str, str] = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            return headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = 3.0,
) -> tuple[int, Any]:
    """Make one call on a new connection; status 0 means that no answer came."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = b"" if body is None else json.dumps(body).encode()
                fields = {"Host": address, "Content-Type": "application/json", **(headers or {})}
                head = f"{method} {path} HTTP/1.1\r\n"
                head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                line = await reader.readline()
                if not line:
                    return 0, None
                answer = await _read_headers(reader)
                content = await reader.readexactly(int(answer.get("content-length", 0)))
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    try:
        return int(line.split()[1]), json.loads(content) if content else None
    except ValueError:
        return int(line.split()[1]), None
