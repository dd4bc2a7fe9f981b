"""Runs the command line in this process."""

import io
import os
import sys
from contextlib import redirect_stderr, redirect_stdout
from unittest import mock

from acaciastand.programs.cli import main


def run(context, arguments, **environment):
    """Run a command and keep its exit code and output in the context."""
    output = io.StringIO()
    output.buffer = io.BytesIO()
    context.code = None
    with (
        mock.patch.object(sys, "argv", ["acaciastand", *arguments]),
        mock.patch.dict(os.environ, {"USER": "ann", **environment}),
        redirect_stdout(output),
        redirect_stderr(output),
    ):
        try:
            main()
        except SystemExit as end:
            context.code = end.code or 0
    context.output = output.getvalue() + output.buffer.getvalue().decode()
