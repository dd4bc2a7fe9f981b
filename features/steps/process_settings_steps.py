"""Steps on settings files, logging and counters."""

import io
import json
import logging
import socket
import tempfile
from collections import Counter
from pathlib import Path

from behave import given, then, when

from acaciastand.settings import toml_file
from acaciastand.settings.file_errors import FileNotToml, FileUnreadable, SettingsFileError
from acaciastand.settings.process import AgentSettings, EntrySettings
from acaciastand.telemetry import Counters, configure_logging, counters, logs, set_level

EXAMPLES = Path("examples")


def folder_of(context):
    return Path(context.stack.enter_context(tempfile.TemporaryDirectory()))


@given("the agent's settings file of the example")
def step_file(context):
    context.file_text = (EXAMPLES / "maison-reprise" / "agent-01.toml").read_text(encoding="utf-8")


@when('its text "{old}" becomes "{new}"')
def step_change(context, old, new):
    assert old in context.file_text
    context.file_text = context.file_text.replace(old, new, 1)


@then('it is refused as "{code}" with "{words}"')
def step_refused(context, code, words):
    file = folder_of(context) / "agent.toml"
    file.write_text(context.file_text, encoding="utf-8")
    try:
        AgentSettings.load(file)
    except SettingsFileError as error:
        assert error.code == code, error
        assert str(file) in str(error) and words in str(error), error
    else:
        raise AssertionError("the file was accepted")


@then("unreadable settings files are refused")
def step_unreadable(context):
    file = folder_of(context) / "entry.toml"
    for data, error in (
        (None, FileUnreadable),
        (b"#" * (toml_file.MAX_FILE_BYTES + 1), FileUnreadable),
        (b"\xff", FileNotToml),
    ):
        if data is not None:
            file.write_bytes(data)
        try:
            EntrySettings.load(file)
        except error:
            continue
        raise AssertionError(f"{error.__name__} expected")
    file.write_bytes(b"#" * toml_file.MAX_FILE_BYTES)
    assert toml_file.read_toml(file) == {}


@then("each example has 3 entries and 11 agents in racks of at most 3")
def step_examples(context):
    for name in ("maison-reprise", "blue-mahoe"):
        entries = [EntrySettings.load(file) for file in (EXAMPLES / name).glob("entry-*.toml")]
        agents = [AgentSettings.load(file) for file in (EXAMPLES / name).glob("agent-*.toml")]
        assert len(entries) == 3 and len(agents) == 11
        assert {agent.availability_zone for agent in agents} == {
            entry.availability_zone for entry in entries
        }
        assert max(Counter(agent.rack for agent in agents).values()) <= 3
        assert all((agent.slots, agent.connections) == (8, 64) for agent in agents)


@then("a log line has time, level, logger, message and extra fields")
def step_log(context):
    root = logging.getLogger()
    before, level = list(root.handlers), root.level
    stream = io.StringIO()
    try:
        configure_logging("warning", stream)
        logging.getLogger("a").info("hidden")
        set_level("info")
        logging.getLogger("a").info("one\ntwo %d", 3, extra={"revision": 4, "odd": object()})
        logging.getLogger("a").info("x" * (logs.MAX_MESSAGE_CHARACTERS + 1))
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    first, second = [json.loads(line) for line in stream.getvalue().splitlines()]
    named = {name: first[name] for name in ("level", "logger", "message", "revision")}
    assert named == {"level": "info", "logger": "a", "message": "one\ntwo 3", "revision": 4}
    assert first["time"].endswith("+00:00") and "taskName" not in first
    assert len(second["message"]) == logs.MAX_MESSAGE_CHARACTERS + len("...")


@then("counters reach statsd and keep bounded totals")
def step_counters(context):
    server = context.stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    server.bind(("127.0.0.1", 0))
    server.settimeout(10.0)
    counted = Counters(f"127.0.0.1:{server.getsockname()[1]}", "p")
    counted.increment("a", 2)
    counted.gauge("g", 1.5)
    counted.timing("t", 4.0)
    received = {server.recv(512).decode() for _ in range(3)}
    assert received == {"p.a:2|c", "p.g:1.5|g", "p.t:4.000000|ms"}, received
    assert counted.totals() == {"a": 2, "g": 1.5, "t.count": 1, "t.sum_ms": 4.0}
    for number in range(counters.MAX_NAMES):
        counted.increment(f"n{number}")
    assert len(counted.totals()) == counters.MAX_NAMES + 1
    assert counted.totals()[counters.DROPPED_NAMES] == 4
    counted.close()


@then("counters work without an address, with a dead one and after closing")
def step_no_address(context):
    for address in ("", "127.0.0.1:9", "nonsense"):
        counted = Counters(address)
        for _ in range(3):
            counted.increment("a")
        counted.close()
        counted.increment("a")
        assert counted.totals() == {"a": 4}
