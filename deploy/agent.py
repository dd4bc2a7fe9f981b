"""Starts the agent from a checkout, where only the packages of the build are installed."""

import signal
import sys
from pathlib import Path

# SIGHUP ends a process that has no handler. It is ignored until the daemon installs its own, and
# nothing is lost, since the settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from acaciastand.programs.job_agent import main  # noqa: E402

sys.exit(main())
