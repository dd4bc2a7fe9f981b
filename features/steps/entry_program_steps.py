"""Steps on the entry as a process."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

from acaciastand_lab.processes import call, free_address, wait_until

END_SECONDS = 20.0


def write_settings(context, **changes):
    context.http = free_address()
    settings = {
        "entry_id": "entry-0",
        "path": "maison-reprise/flanders/gent",
        "availability_zone": "gent",
        "http_address": context.http,
        "peer_address": free_address(),
        "entries": [],
        "store_url": f"http://{free_address()}",
        "shards": 2,
        **changes,
    }
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    lines = [f"{key} = {json.dumps(value)}\n" for key, value in settings.items()]
    path = folder / "entry.toml"
    path.write_text("".join(lines), encoding="utf-8")
    return path


def start(context, path, **environment):
    context.process = subprocess.Popen(
        [sys.executable, "-m", "acaciastand.programs.entry", "--settings", str(path)],
        env={**os.environ, **environment},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.stack.callback(end, context.process)


def end(process):
    if process.poll() is None:
        process.kill()
    process.communicate()


@when('acaciastand-entry is started and "{problem}"')
def step_start_with_problem(context, problem):
    path = write_settings(context)
    environment = {}
    if problem == "the settings file is missing":
        path.unlink()
    elif problem == "a key is unknown":
        path = write_settings(context, colour="blue")
    elif problem == "the port is in use":
        sock = context.stack.enter_context(socket.socket())
        host, port = context.http.split(":")
        sock.bind((host, int(port)))
        sock.listen()
    elif problem == "gevent runs on libuv":
        environment["GEVENT_LOOP"] = "libuv-cffi"
    else:
        environment["GEVENT_BACKEND"] = "poll"
    start(context, path, **environment)


@then('it ends with exit code {code:d} and names "{text}"')
def step_ends(context, code, text):
    _, errors = context.process.communicate(timeout=END_SECONDS)
    assert (context.process.returncode, text in errors) == (code, True), errors
    assert "Traceback" not in errors, errors


@when("acaciastand-entry is started without a store")
def step_start_without_store(context):
    start(context, write_settings(context))


@then("/readyz succeeds")
def step_ready(context):
    url = f"http://{context.http}/readyz"
    wait_until(lambda: call("GET", url).status == 200, "the entry is ready")


@then('a request is refused with "{code}"')
def step_request(context, code):
    url = f"http://{context.http}/v1/services/order-desk/requests"
    assert call("POST", url, b"price?").json()["code"] == code


@then("it ends with exit code 0 after SIGTERM")
def step_sigterm(context):
    context.process.send_signal(signal.SIGTERM)
    _, errors = context.process.communicate(timeout=END_SECONDS)
    assert context.process.returncode == 0, errors
