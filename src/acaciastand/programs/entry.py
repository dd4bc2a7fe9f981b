"""``acaciastand-entry``: the entry daemon."""

from __future__ import annotations

import argparse
import signal
import sys
from contextlib import ExitStack
from functools import partial
from importlib.metadata import PackageNotFoundError, version

import gevent

from acaciastand.entry.daemon import EntryDaemon
from acaciastand.errors import AcaciastandError
from acaciastand.settings.process import EntrySettings
from acaciastand.telemetry import Counters, configure_logging

STORE_SECONDS = 2.0  # timeout of one call to the store
LOOP_MODULE = "gevent.libev.corecext"
LOOP_BACKEND = "epoll"


class AddressUnavailable(AcaciastandError):
    """A listen address is in use or not of this host."""

    code = "address_unavailable"
    exit_code = 8


class WrongLoop(AcaciastandError):
    """The event loop of gevent is not libev on epoll."""

    code = "wrong_event_loop"
    exit_code = 9


def check_loop() -> None:
    """Check that gevent runs on libev and epoll; the hosts allow no io_uring.

    Raises
    ------
    WrongLoop
        Another loop or backend is in use.
    """
    remedy = "unset GEVENT_LOOP, GEVENT_BACKEND and LIBEV_FLAGS and install gevent with libev"
    try:
        loop = gevent.get_hub().loop
    except ImportError as error:
        raise WrongLoop(f"gevent cannot load its event loop: {error}", remedy) from error
    backend = getattr(loop, "backend", "")
    if type(loop).__module__ != LOOP_MODULE or backend != LOOP_BACKEND:
        raise WrongLoop(f"gevent runs on {type(loop).__module__} with backend {backend!r}", remedy)


def main(arguments: list[str] | None = None) -> None:
    """Run the entry until SIGTERM or SIGINT; exits with the code of the error, if any."""
    options = _parser().parse_args(arguments)
    try:
        run(options.settings)
    except AcaciastandError as error:
        print(f"acaciastand-entry: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


def run(settings_file: str) -> None:
    """Run the entry with the settings in `settings_file`.

    Raises
    ------
    AcaciastandError
        The entry cannot start.
    """
    check_loop()
    settings = EntrySettings.load(settings_file)
    configure_logging(settings.log_level)
    with ExitStack() as stack:
        daemon = build(settings, stack)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, daemon.request_stop)
        try:
            daemon.start()
        except OSError as error:
            addresses = f"{settings.http_address} and {settings.peer_address}"
            raise AddressUnavailable(
                f"cannot listen on {addresses}: {error}",
                "end the process that uses the address, or change the settings file",
            ) from error
        daemon.run()


def build(settings: EntrySettings, stack: ExitStack) -> EntryDaemon:
    """Return the daemon with all its parts."""
    from acaciastand.entry.owner import OwnerService
    from acaciastand.entry.settings_service import SettingsService
    from acaciastand.platform.store_client import HttpStore

    counters = Counters(settings.statsd_address)
    stack.callback(counters.close)
    store = HttpStore(settings.store_url, STORE_SECONDS)
    stack.callback(store.close)
    settings_service = SettingsService(store, settings, counters)
    make_owner = partial(OwnerService, counters=counters, path=settings.path)
    return EntryDaemon(settings, store, settings_service, make_owner, counters)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="acaciastand-entry", description="Serves callers, operators and agents."
    )
    parser.add_argument("--settings", required=True, metavar="FILE.toml", help="settings file")
    parser.add_argument("--version", action="version", version=_version())
    return parser


def _version() -> str:
    try:
        return version("acaciastand")
    except PackageNotFoundError:
        return "unknown"


if __name__ == "__main__":
    main()
