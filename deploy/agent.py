"""Starts the agent from a checkout, where only the packages of the build are installed."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from acaciastand.programs.job_agent import main

sys.exit(main())
