"""Small HTTP server of the stand-ins."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

Answer = tuple[int, Any]
Answerer = Callable[[str, str, bytes, dict[str, str]], Answer]


def serve_json(listen: str, answerer: Answerer) -> WSGIServer:
    """Return a server that sends what `answerer` returns; bytes are sent as they are.

    A body of type `Truncated` is announced with more bytes than are sent.
    """
    host, _, port = listen.rpartition(":")

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        # PATH_INFO is decoded, which would lose the difference between "/" and "%2F".
        path = environ.get("RAW_URI", environ["PATH_INFO"]).partition("?")[0]
        body = environ["wsgi.input"].read()
        status, answer = answerer(environ["REQUEST_METHOD"], path, body, headers)
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        missing = answer.missing if isinstance(answer, Truncated) else 0
        start_response(
            f"{status} OK",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data) + missing))],
        )
        return _broken_off(data) if missing else [data]

    return WSGIServer(
        (host, int(port)), application, log=None, error_log=None, handler_class=_Handler
    )


class _Handler(WSGIHandler):
    def handle(self) -> None:
        # pywsgi writes head and body separately; without this option the second write waits for
        # the delayed acknowledgement: a call of 1 ms took 48 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


class Truncated(bytes):
    """An answer whose last `missing` bytes are never sent."""

    missing = 1


class BrokenOffError(Exception):
    """Ends an answer before its announced length."""


def _broken_off(data: bytes) -> Iterable[bytes]:
    yield data
    raise BrokenOffError
