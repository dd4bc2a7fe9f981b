"""Steps on the command line, against a small HTTP server with planned answers."""

import json
import tempfile
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from behave import given, then, when
from command_line_support import run


class Handler(BaseHTTPRequestHandler):
    """Answers as planned; status 0 closes the connection without an answer."""

    def answer(self):
        server = self.server
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        server.received.append((self.command, self.path, body))
        key = (self.command, self.path.partition("?")[0])
        status, answers = server.answers.get(key, (404, ["{}"]))
        if status == 0:
            self.close_connection = True
            return
        text = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(text, tuple):
            status, text = text
        data = text.encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_PUT = do_POST = do_DELETE = answer  # noqa: N815

    def log_message(self, *_):
        """Print nothing."""


def start(context, answers):
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.answers, server.received = answers, []
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(server.server_close)
    context.stack.callback(server.shutdown)
    context.server = server
    context.entry = f"127.0.0.1:{server.server_port}"


@given('an entry that answers "{method} {path}" with {status:d} and {answer}')
def step_entry(context, method, path, status, answer):
    start(context, {(method, path): (status, [answer])})


@given("an entry that is down")
def step_down(context):
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    context.entry = f"127.0.0.1:{server.server_port}"
    server.server_close()


@given("an entry whose edit comes into force at the third look")
def step_wait(context):
    base = {"revision": 4, "lagging": [], "lagging_count": 0, "unreachable": [], "tree": {}}
    looks = [
        {**base, "in_force": 3, "lagging": ["agent-1"], "lagging_count": 1},
        {**base, "in_force": 4, "unreachable": ["peer-2"]},
        {**base, "in_force": 4},
    ]
    answers = {
        ("PUT", "/v1/settings/f/headroom"): (200, ['{"revision": 4}']),
        ("GET", "/v1/settings"): (200, [json.dumps(look) for look in looks]),
    }
    start(context, answers)


@given("an entry whose job has no owner at the first look")
def step_no_owner(context):
    refusal = '{"code": "no_owner", "outcome": "not_run", "message": "no owner", "remedy": "r"}'
    answers = {("GET", "/v1/jobs/j0-1"): (200, [(503, refusal), '{"state": "completed"}'])}
    start(context, answers)


@when('"{command}" is run')
def step_run(context, command):
    run(context, command.split(), ACACIASTAND_ENTRY=context.entry)


@when('"{command}" is run without an entry')
def step_run_without(context, command):
    run(context, command.split(), ACACIASTAND_ENTRY="")


@when("a tree file with one wrong value is imported")
def step_import(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    file = Path(folder) / "tree.toml"
    file.write_text('["maison-reprise"]\nentry_fanout = 4\nheadroom = 3\n', encoding="utf-8")
    run(context, ["settings", "import", str(file)], ACACIASTAND_ENTRY=context.entry)


@then('the exit code is {code:d} and the output has "{words}"')
def step_code(context, code, words):
    assert context.code == code, (context.code, context.output)
    assert words in context.output, context.output


@then("the entry received nothing")
def step_nothing(context):
    assert context.server.received == []
