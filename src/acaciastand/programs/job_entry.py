"""``acaciastand-job-entry``: entry daemon for jobs of steps."""

from __future__ import annotations

import signal
from contextlib import ExitStack

import gevent

from acaciastand.cluster.clock import now
from acaciastand.cluster.entry import JobEntry
from acaciastand.cluster.settings import JobEntrySettings
from acaciastand.platform.kv import PlatformStore
from acaciastand.programs.job_daemon import run_program
from acaciastand.telemetry.metrics import Metrics, serve_metrics
from acaciastand.telemetry.stream import log_to_stdout


def run(settings_file: str) -> int:
    """Run the entry with the settings in `settings_file`."""
    settings = JobEntrySettings.load(settings_file)
    with ExitStack() as stack:
        stack.callback(log_to_stdout(settings.log_level, now).close)
        metrics = Metrics()
        store = PlatformStore(
            settings.store_url,
            lambda call, outcome: metrics.count("store_calls", f"{call}.{outcome}"),
        )
        stack.callback(store.close)
        entry = JobEntry(settings, store, metrics)
        if settings.metrics_address:
            server = serve_metrics(settings.metrics_address, metrics)
            server.start()
            stack.callback(server.stop, 0.0)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, entry.request_stop)
        entry.run()
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the entry until SIGTERM or SIGINT and return the exit code."""
    return run_program("acaciastand-job-entry", run, arguments)


if __name__ == "__main__":
    raise SystemExit(main())
