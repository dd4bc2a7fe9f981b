"""``acaciastand-job-entry``: entry daemon for jobs of steps."""

from __future__ import annotations

from contextlib import ExitStack
from functools import partial

from acaciastand.cluster.entry import JobEntry
from acaciastand.cluster.settings import JobEntrySettings
from acaciastand.platform.advice import AdviceClient
from acaciastand.programs.job_daemon import run_program, serve


def run(settings_file: str) -> None:
    """Run the entry with the settings in `settings_file`."""
    settings = JobEntrySettings.load(settings_file)
    with ExitStack() as stack:
        advisor = None
        if settings.advice_address:
            advisor = AdviceClient(settings.advice_address)
            stack.callback(advisor.close)
        build = partial(JobEntry, settings, advisor=advisor)
        serve(settings, settings_file, build)


def main(arguments: list[str] | None = None) -> int:
    """Run the entry until SIGTERM or SIGINT and return the exit code."""
    return run_program("acaciastand-job-entry", run, arguments)


if __name__ == "__main__":
    raise SystemExit(main())
