"""Entry point of the agent daemon."""

from __future__ import annotations

import argparse
import logging
import random
import signal
import sys
import time
from contextlib import ExitStack

import gevent

from acaciastand import __version__
from acaciastand.programs import without_openssl  # noqa: F401

# isort: split
from acaciastand.agent.daemon import Agent
from acaciastand.errors import AcaciastandError
from acaciastand.settings.process import AgentSettings
from acaciastand.telemetry import Counters, configure_logging

MEMORY_FIELDS = ("Rss", "Pss", "Anonymous")


def memory_kib() -> dict[str, int]:
    """Return resident, proportional and anonymous memory of this process in KiB."""
    result = {}
    with open("/proc/self/smaps_rollup", encoding="ascii") as lines:
        for line in lines:
            name, _, rest = line.partition(":")
            if name in MEMORY_FIELDS:
                result[name] = int(rest.split()[0])
    return result


def main(arguments: list[str] | None = None) -> int:
    """Run the agent until SIGTERM or SIGINT and return the exit code."""
    options = _parser().parse_args(arguments)
    try:
        settings = AgentSettings.load(options.settings)
    except AcaciastandError as error:
        print(f"acaciastand-agent: {error}", file=sys.stderr)
        return error.exit_code
    configure_logging(settings.log_level)
    with ExitStack() as stack:
        return _serve(settings, options.report_memory, stack)


def _serve(settings: AgentSettings, report_memory: bool, stack: ExitStack) -> int:
    counters = Counters(settings.statsd_address)
    stack.callback(counters.close)
    agent = Agent(settings, counters, time.monotonic, random.Random())
    stack.callback(agent.close)
    for number in (signal.SIGTERM, signal.SIGINT):
        handler = gevent.signal_handler(number, agent.request_stop)
        stack.callback(handler.cancel)
    agent.start()
    if report_memory:
        print(memory_kib(), flush=True)
    agent.stopped.wait()
    logging.getLogger(__name__).info("stopped")
    return agent.exit_code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="acaciastand-agent", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument("--settings", required=True, metavar="FILE.toml", help="settings file")
    parser.add_argument(
        "--report-memory", action="store_true", help="print memory in KiB right after start"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
