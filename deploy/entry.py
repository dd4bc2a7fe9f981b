"""Starts the entry from a checkout, where only the packages of the build are installed."""

import signal
import sys
from pathlib import Path

# The daemon handles SIGHUP once its modules are loaded. Until then the signal would end the
# process, and it asks for nothing, since the settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from acaciastand.programs.job_entry import main  # noqa: E402

sys.exit(main())
