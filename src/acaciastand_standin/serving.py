"""Runs a stand-in's HTTP server until a signal asks it to stop."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

STOP_SECONDS = 2.0  # requests still running after this time are cut off


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; port 0 takes a free one.

    Raises
    ------
    ValueError
        `address` does not have that form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{address!r} is not ip:port; use for example 127.0.0.1:0")
    return host, int(port)


def serve_until_signal(
    server: WSGIServer, name: str, on_stop: Callable[[], None] | None = None
) -> None:
    """Start `server`, print one JSON line with its address, and stop it on SIGTERM or SIGINT.

    Parameters
    ----------
    on_stop
        Called before the server stops, to let waiting calls return.
    """
    stop = Event()
    handlers = [
        gevent.signal_handler(number, stop.set) for number in (signal.SIGTERM, signal.SIGINT)
    ]
    server.start()
    address = f"{server.server_host}:{server.server_port}"
    print(json.dumps({"event": "listening", "standin": name, "address": address}), flush=True)
    stop.wait()
    if on_stop is not None:
        on_stop()
    server.stop(timeout=STOP_SECONDS)
    for handler in handlers:
        handler.cancel()
