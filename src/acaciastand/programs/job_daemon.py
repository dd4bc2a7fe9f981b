"""Start of the daemons that run jobs of steps."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from collections.abc import Callable
from contextlib import ExitStack
from typing import Protocol

import gevent

from acaciastand import __version__
from acaciastand.cluster.clock import now
from acaciastand.cluster.settings import DialledSettings
from acaciastand.errors import AcaciastandError
from acaciastand.platform.kv import PlatformStore
from acaciastand.telemetry import set_level
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics, serve_metrics
from acaciastand.telemetry.stream import log_to_stdout

SETTINGS_VARIABLE = "ACACIASTAND_CONFIG"

logger = logging.getLogger(__name__)


class Daemon(Protocol):
    """What `serve` needs of a daemon."""

    def run(self) -> None:
        """Serve until `request_stop`."""

    def request_stop(self) -> None:
        """Ask `run` to return; safe in a signal handler."""


def serve(
    settings: DialledSettings,
    settings_file: str,
    build: Callable[[PlatformStore, Metrics], Daemon],
) -> None:
    """Run a daemon with its log, metrics, store and signals until it is asked to stop."""
    with ExitStack() as stack:
        stack.callback(log_to_stdout(settings.log_level, now).close)
        metrics = Metrics()
        store = PlatformStore(
            settings.store_url,
            lambda call, outcome: metrics.count("store_calls", f"{call}.{outcome}"),
            IgnoredValues(metrics, now).recorder("store"),
        )
        stack.callback(store.close)
        daemon = build(store, metrics)
        if settings.metrics_address:
            server = serve_metrics(settings.metrics_address, metrics)
            server.start()
            stack.callback(server.stop, 0.0)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, daemon.request_stop)
        gevent.signal_handler(signal.SIGHUP, reload_settings, settings, settings_file)
        daemon.run()


def reload_settings(settings: DialledSettings, settings_file: str) -> None:
    """Read the settings file again and apply what can change in a running process.

    Only the log level can; other changes take hold at the next start. A file that cannot be used
    changes nothing.
    """
    try:
        fresh = type(settings).load(settings_file)
    except AcaciastandError as error:
        logger.error("settings not reloaded", extra={"error": str(error)})
        return
    set_level(fresh.log_level)
    waiting = [
        name
        for name in settings.known
        if name != "log_level" and getattr(settings, name) != getattr(fresh, name)
    ]
    logger.info("settings reloaded", extra={"need_restart": waiting})


def run_program(name: str, run: Callable[[str], None], arguments: list[str] | None = None) -> int:
    """Parse the command line, run the program and return its exit code."""
    parser = argparse.ArgumentParser(prog=name)
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--settings",
        default=os.environ.get(SETTINGS_VARIABLE, ""),
        metavar="FILE.toml",
        help=f"settings file; the variable {SETTINGS_VARIABLE} by default",
    )
    options = parser.parse_args(arguments)
    try:
        run(options.settings)
    except AcaciastandError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return error.exit_code
    return 0
