"""Start of the daemons that run jobs of steps."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable

from acaciastand import __version__
from acaciastand.errors import AcaciastandError

SETTINGS_VARIABLE = "ACACIASTAND_CONFIG"


def run_program(name: str, run: Callable[[str], int], arguments: list[str] | None = None) -> int:
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
        return run(options.settings)
    except AcaciastandError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return error.exit_code
