"""HTTP server for callers, operators and the balancer."""

from __future__ import annotations

import logging
from typing import Any

import falcon
import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from acaciastand.entry.http_errors import CALLER_GONE, add_error_handlers
from acaciastand.telemetry import Counters
from acaciastand.wire.connection import split_address

MAX_CALLER_CONNECTIONS = 8192  # open connections of callers; further ones wait in the backlog
IDLE_SECONDS = 75.0  # between two requests of a connection, and for one request line
HEADER_SECONDS = 10.0  # a caller has this long to send its headers
IO_SECONDS = 20.0  # without progress in reading or writing

logger = logging.getLogger(__name__)


class CallerHandler(WSGIHandler):
    """One connection of a caller; slow callers are disconnected."""

    def handle(self) -> None:
        """Serve the connection."""
        # Headers and body leave in two writes; without this the second waits for the caller's
        # delayed acknowledgement, up to 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def read_requestline(self) -> str:
        """Return the request line; empty when none arrives in time."""
        with gevent.Timeout(IDLE_SECONDS, False):
            self.socket.settimeout(IDLE_SECONDS)
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> bool:
        """Read the headers."""
        self.socket.settimeout(IO_SECONDS)
        with gevent.Timeout(HEADER_SECONDS, socket.timeout("headers are too slow")):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment; `CALLER_GONE` tells whether the caller has left."""
        return {**super().get_environ(), CALLER_GONE: self._caller_gone}

    def _caller_gone(self) -> bool:
        # Only looks at what has arrived: the next request of a kept connection stays unread.
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.socket._sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def start_response(self, status: str, headers: list[Any], exc_info: Any = None) -> Any:
        """Begin the answer; during a stop the caller is told to connect anew next time."""
        if self.server.stopping:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        """Run the application and write its answer; counted as in progress."""
        self.server.in_progress += 1
        try:
            super().handle_one_response()
        finally:
            self.server.in_progress -= 1

    def log_request(self) -> None:
        """Write no access log; counters and timings cover requests."""


class CallerServer(WSGIServer):
    """Listens for callers.

    Attributes
    ----------
    in_progress
        Calls that are being answered.
    """

    def __init__(self, address: str, app: falcon.App) -> None:
        super().__init__(
            split_address(address),
            app,
            spawn=Pool(MAX_CALLER_CONNECTIONS),
            handler_class=CallerHandler,
            log=None,
            error_log=logger,
        )
        self.in_progress = 0
        self.stopping = False

    @property
    def bound_address(self) -> str:
        """Address that the server is bound to."""
        return f"{self.server_host}:{self.server_port}"

    def begin_stop(self) -> None:
        """Accept no further connections; calls in progress go on."""
        self.stopping = True
        self.close()


def build_app(routes: dict[str, Any], counters: Counters) -> falcon.App:
    """Return the application with a resource by path; all errors are answered as JSON."""
    app = falcon.App()
    add_error_handlers(app, counters)
    for path, resource in routes.items():
        app.add_route(path, resource)
    return app
