"""``acaciastand-job-agent``: agent daemon for tasks of jobs of steps."""

from __future__ import annotations

import signal
from contextlib import ExitStack

import gevent

from acaciastand.cluster.agent import Agent
from acaciastand.cluster.clock import now
from acaciastand.cluster.settings import JobAgentSettings
from acaciastand.platform.kv import PlatformStore
from acaciastand.programs.job_daemon import run_program
from acaciastand.telemetry.metrics import Metrics, serve_metrics
from acaciastand.telemetry.stream import log_to_stdout


def run(settings_file: str) -> int:
    """Run the agent with the settings in `settings_file`."""
    settings = JobAgentSettings.load(settings_file)
    with ExitStack() as stack:
        stack.callback(log_to_stdout(settings.log_level, now).close)
        metrics = Metrics()
        store = PlatformStore(
            settings.store_url,
            lambda call, outcome: metrics.count("store_calls", f"{call}.{outcome}"),
        )
        stack.callback(store.close)
        agent = Agent(settings, store, metrics)
        if settings.metrics_address:
            server = serve_metrics(settings.metrics_address, metrics)
            server.start()
            stack.callback(server.stop, 0.0)
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, agent.request_stop)
        agent.run()
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run the agent until SIGTERM or SIGINT and return the exit code."""
    return run_program("acaciastand-job-agent", run, arguments)


if __name__ == "__main__":
    raise SystemExit(main())
