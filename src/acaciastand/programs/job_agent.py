"""``acaciastand-job-agent``: agent daemon for tasks of jobs of steps."""

from __future__ import annotations

from acaciastand.cluster.agent import Agent
from acaciastand.cluster.settings import JobAgentSettings
from acaciastand.programs.job_daemon import run_program, serve


def run(settings_file: str) -> None:
    """Run the agent with the settings in `settings_file`."""
    settings = JobAgentSettings.load(settings_file)
    serve(settings, settings_file, lambda store, metrics: Agent(settings, store, metrics))


def main(arguments: list[str] | None = None) -> int:
    """Run the agent until SIGTERM or SIGINT and return the exit code."""
    return run_program("acaciastand-job-agent", run, arguments)


if __name__ == "__main__":
    raise SystemExit(main())
