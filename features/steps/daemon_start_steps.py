"""Steps on signals during the start of a daemon."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from waiting import wait_for

ROOT = Path(__file__).resolve().parents[2]
START_SECONDS = 10.0  # The interpreter starts within milliseconds, later beside load.
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def ignores_hangup(pid):
    """Return whether a process ignores SIGHUP, by the mask of the kernel."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    mask = next(line.split()[1] for line in lines if line.startswith("SigIgn:"))
    return bool(int(mask, 16) & HANGUP_BIT)


@given("the {daemon} has begun to load its modules")
def step_begun(context, daemon):
    command = [sys.executable, str(ROOT / "deploy" / f"{daemon}.py"), "--settings", "missing.toml"]
    environment = {**os.environ, "ACACIASTAND_CONFIG": ""}
    context.daemon = subprocess.Popen(
        command, env=environment, stderr=subprocess.PIPE, text=True, start_new_session=True
    )
    context.add_cleanup(context.daemon.kill)
    wait_for(lambda: ignores_hangup(context.daemon.pid), "SIGHUP is ignored", START_SECONDS)


@when("it receives SIGHUP")
def step_hangup(context):
    context.daemon.send_signal(signal.SIGHUP)


@then("it goes on and reports the missing settings file")
def step_reports(context):
    _, errors = context.daemon.communicate(timeout=START_SECONDS)
    assert context.daemon.returncode > 0, context.daemon.returncode
    assert "missing.toml" in errors, errors
