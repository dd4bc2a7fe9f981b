"""Stand-ins of the platform for the cases of the second review, and the start of the programs.

Standard library only. The store, the workers and the client live in this process; entries and
agents are the project's programs, started as separate processes with the commands and the settings
templates of `deploy/`. Every address is a loopback address.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT, STORE_PORT = 8161, 8167, 8166, 8360, 8169
INTERNAL_PORTS = [7720, 7735]
METRICS_PORT = 9464
HEARTBEAT_MS = 1100
STORE_DELAY_SECONDS = 0.004
FAIL_SECONDS = 0.05  # Age of the runs that a worker fails.
HOST, PREFIX, SERVICE = "desk.example", "/jobs/", "desk"
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "leaseMs": 3000,
}


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.began_at

    def __call__(self, who: str, what: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():8.3f} {who:12} {what}\n")
            self.file.flush()


class Server(ThreadingHTTPServer):
    """HTTP server whose open connections can be reset."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address: tuple[str, int], answer: Callable[..., Any]) -> None:
        self.answer = answer
        self.open: set[socket.socket] = set()
        super().__init__(address, Handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore broken connections."""

    def begin(self) -> None:
        """Serve in a thread."""
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def end(self) -> None:
        """Stop listening and break all open connections, as the end of the process would."""
        self.shutdown()
        self.server_close()
        for sock in list(self.open):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Handler(BaseHTTPRequestHandler):
    """Passes each request to the server's `answer`; None as its answer breaks the connection."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 << 10

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        answer = self.server.answer(self.command, self.path, dict(self.headers), body)
        if answer is None:
            self.close_connection = True
            return
        status, fields = answer
        data = b"" if fields is None else json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *_: Any) -> None:
        """Write no access log."""


class Store:
    """The platform's store.

    `fault` may be set to a function that is called with the body of each write. It returns None,
    or the seconds after which the write is carried out; such a write gets no answer.
    """

    def __init__(self, ip: str, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 4
        self.changed = threading.Condition()
        self.fault: Callable[[dict[str, Any]], float | None] | None = None
        self.server = Server((ip, STORE_PORT), self._answer)
        self.server.begin()

    def put(self, key: str, value: bytes) -> None:
        """Write a key as the operator does."""
        self._txn({"setKeys": [{"key": key, "value": base64.b64encode(value).decode()}]})

    def value(self, key: str) -> bytes:
        """Return the value of a key, empty if there is none."""
        with self.changed:
            item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else b""

    def _answer(self, method: str, path: str, _headers: dict[str, str], body: bytes) -> Any:
        time.sleep(STORE_DELAY_SECONDS)
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if parts.path == "/kv-range":
            return self._range(query)
        if parts.path == "/kv-watch":
            return self._watch(query)
        if parts.path == "/kv-txn":
            fields = json.loads(body)
            if any(row["key"].startswith(("op/", "servers/")) for row in fields["setKeys"]):
                return 403, {}
            late_seconds = self.fault(fields) if self.fault else None
            if late_seconds is not None:
                threading.Timer(late_seconds, self._txn, (fields,)).start()
                time.sleep(2.0)  # The connection stays open without an answer.
                return None
            return self._txn(fields)
        return 404, {}

    def _range(self, query: dict[str, str]) -> Any:
        with self.changed:
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "storeRevision": self.revision,
            }

    def _watch(self, query: dict[str, str]) -> Any:
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                events = []
                for event in reversed(self.events):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1], "storeRevision": self.revision}
                self.changed.wait(left)

    def _txn(self, fields: dict[str, Any]) -> Any:
        with self.changed:
            expected = fields.get("expectedRev") or []
            current = [self.items.get(row["key"]) for row in expected]
            found = [item["revision"] if item else 0 for item in current]
            if found != [row["revision"] for row in expected]:
                return 412, {"items": [item for item in current if item]}
            self.revision += 1
            for row in fields.get("setKeys") or []:
                former = self.items.get(row["key"])
                item = {
                    "key": row["key"],
                    "value": row.get("value") or "",
                    "revision": self.revision,
                    "created": former["created"] if former else self.revision,
                    "lease": 0,
                }
                self.items[row["key"]] = item
                self.events.append(item)
            for key in fields.get("remove") or []:
                if self.items.pop(key, None):
                    self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()
            return 200, {"revision": self.revision}


class Run:
    """A run on a worker; `seconds` is None for one that lasts."""

    def __init__(self, task: str, number: int, spec: dict[str, Any]) -> None:
        self.task = task
        self.number = number
        self.cpu = spec["cpu"]
        self.seconds = spec.get("seconds")
        self.gang = spec.get("gang", 1)
        self.began_at = time.monotonic()
        self.is_stopping = False
        self.works_since = self.began_at if self.gang == 1 else None

    @property
    def step(self) -> str:
        """Return the name of the task without its index, which all members of a gang share."""
        return self.task.rpartition(".")[0]


class Worker:
    """An application worker.

    The text `spec` of a job tells what its tasks do: `{"cpu": 500, "seconds": 2}`, or
    `{"cpu": 500}` for tasks that last. With `"gang": 4` the tasks are the four members of a gang,
    which work from the moment when all of them run; here all are on one worker.

    Attributes
    ----------
    history
        Task, run, time of the begin and, once it has ended, time and kind of the end, of every run
        in all lives of the worker.
    stop_seconds
        Time that a stop takes, at most `stopTimeoutMs`; the run is listed as running meanwhile.
    sick
        Whether it answers 503 to every start and does nothing.
    fails_all
        Whether everything that it runs fails after `FAIL_SECONDS`.
    on_start
        Called with the worker, the body of a start and its headers; it returns the seconds after
        which the start is carried out without an answer, or None for an answer at once.
    on_begin
        Called with the worker and the run that has begun.
    """

    def __init__(self, name: str, ip: str, cpu: int, record: Record) -> None:
        self.name = name
        self.ip = ip
        self.cpu = cpu
        self.record = record
        self.worker_id = f"i-{name}"
        self.lock = threading.Condition()
        self.history: list[dict[str, Any]] = []
        self.stop_seconds = 0.0
        self.sick = False
        self.fails_all = False
        self.on_start: Callable[[Worker, dict[str, Any]], float | None] | None = None
        self.on_begin: Callable[[Worker, Run], None] | None = None
        self.is_up = False
        self.life = 0

    @property
    def control(self) -> str:
        """Address to which the worker announces itself."""
        return f"{self.ip}:{CONTROL_PORT}"

    def clock_ms(self) -> float:
        """Return the worker's own clock."""
        return (time.monotonic() - self.born_at) * 1000

    def start(self, worker_id: str | None = None) -> None:
        """Begin a new life, which knows nothing of the former one."""
        with self.lock:
            self.worker_id = worker_id or self.worker_id
            self.life += 1
            self.born_at = time.monotonic()
            self.born_ms = int(time.time() * 1000)
            self.token = 0
            self.deadline_ms = 0.0
            self.runs: dict[str, Run] = {}
            self.highest: dict[str, int] = {}
            self.ends: list[list[Any]] = []
            self.end_count = 0
            self.sequence = 0
            self.is_up = True
        self.server = Server((self.ip, APP_PORT), self._answer)
        self.server.begin()
        threading.Thread(target=self._tick, args=(self.life,), daemon=True).start()
        threading.Thread(target=self._announce, args=(self.life,), daemon=True).start()
        self.record(self.name, f"is up as {self.worker_id}, life {self.life}")

    def crash(self) -> None:
        """End everything at once."""
        with self.lock:
            self.is_up = False
            for run in list(self.runs.values()):
                self._note_end(run, "gone")
            self.runs.clear()
            self.lock.notify_all()
        self.server.end()
        self.record(self.name, "crashes")

    def _note_end(self, run: Run, how: str) -> None:
        for row in self.history:
            if (row["task"], row["run"], row["life"]) == (run.task, run.number, self.life):
                row["ended"] = self.record.now()
                row["how"] = how
        self.record(self.name, f"run {run.number} of {run.task} ends: {how}")

    def _end(self, run: Run, how: str) -> None:
        self.runs.pop(run.task, None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self._note_end(run, how)
        self.lock.notify_all()

    def _tick(self, life: int) -> None:
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.is_up or self.life != life:
                    return
                for run in list(self.runs.values()):
                    how = self._how_it_ends(run, time.monotonic())
                    if how and self.runs.get(run.task) is run:
                        self._end(run, how)
                    if how in ("failed", "lapsed", "alone"):
                        self._break_gang(run)

    def _members(self, run: Run) -> list[Run]:
        return [r for r in self.runs.values() if (r.step, r.number) == (run.step, run.number)]

    def _how_it_ends(self, run: Run, now: float) -> str:
        """Return how a run ends now, empty if it goes on."""
        if self.clock_ms() > self.deadline_ms:
            return "lapsed"
        if self.fails_all:
            return "failed" if now - run.began_at >= FAIL_SECONDS else ""
        if run.works_since is None:
            if len(self._members(run)) == run.gang:
                for member in self._members(run):
                    member.works_since = now
            elif now - run.began_at >= BOUNDS["gangTimeoutMs"] / 1000:
                return "alone"
            return ""
        is_done = run.seconds is not None and now - run.works_since >= run.seconds
        return "done" if is_done else ""

    def _break_gang(self, run: Run) -> None:
        """End the other members of a gang of which one has ended.

        A worker that fails all that it runs fails each of them by itself.
        """
        for member in self._members(run) if run.gang > 1 and not self.fails_all else []:
            self._end(member, "broken")

    def _announce(self, life: int) -> None:
        while self.is_up and self.life == life:
            with self.lock:
                self.sequence += 1
                fields = {
                    "service": SERVICE,
                    "addr": f"{self.ip}:{APP_PORT}",
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "coldLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 64000, "gpu": 0},
                    "labels": ["a", "r1-1"],
                    "clockMs": int(self.clock_ms()),
                    "seq": self.sequence,
                    "born": self.born_ms,
                }
            path = f"/Instances.Heartbeat/{self.worker_id}"
            answered = request(self.control, "POST", path, fields, 1.0)[0] == 200
            time.sleep(HEARTBEAT_MS / 1000 if answered else 0.3)

    def _answer(self, method: str, path: str, headers: dict[str, str], body: bytes) -> Any:
        intended = headers.get("X-Target-Instance")
        if intended and intended != self.worker_id:
            return 421, self._times()
        if method == "GET":
            return 200, {}
        fields = json.loads(body)
        if path == "/run-start":
            return self._start(fields, intended)
        with self.lock:
            if fields.get("fencingToken", 0) < self.token:
                return 409, {**self._times(), "reason": "fence"}
            self.token = fields.get("fencingToken", 0)
            if path == "/run-stop":
                return self._stop(fields)
            if path == "/hold":
                return self._hold(fields)
            if path == "/pace":
                return 200, self._times()
        return 404, {}

    def _times(self) -> dict[str, Any]:
        return {"clockMs": int(self.clock_ms()), "born": self.born_ms}

    def _start(self, fields: dict[str, Any], intended: str | None) -> Any:
        name = f"start of run {fields['runId']} of {fields['task']}"
        late_seconds = self.on_start(self, fields) if self.on_start else None
        if late_seconds is not None:
            self.record(self.name, f"gets the {name}, leaves it unanswered")
            late = threading.Timer(late_seconds, self._carry_out_late, (name, fields, intended))
            late.daemon = True
            late.start()
            time.sleep(2.0)
            return None
        status, answer = self._carry_out(fields)
        self.record(self.name, f"gets the {name}, answers {status} {answer.get('reason', '')}")
        return status, answer

    def _carry_out_late(self, name: str, fields: dict[str, Any], intended: str | None) -> None:
        if intended and intended != self.worker_id:
            self.record(self.name, f"answers the late {name} with 421")
        elif self.is_up:
            status, answer = self._carry_out(fields)
            reason = answer.get("reason", "")
            self.record(self.name, f"carries out the late {name}: {status} {reason}")

    def _carry_out(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        begun = None
        with self.lock:
            if self.sick:
                return 503, self._times()
            if fields.get("fencingToken", 0) < self.token:
                return 409, {**self._times(), "reason": "fence"}
            self.token = fields.get("fencingToken", 0)
            task, number = fields["task"], fields["runId"]
            if fields["deadlineMs"] <= self.clock_ms():
                return 409, {**self._times(), "reason": "late"}
            self._extend(fields["deadlineMs"])
            running = self.runs.get(task)
            if running is not None and running.number == number:
                return 200, self._times()
            if number <= self.highest.get(task, 0) or running is not None:
                return 409, {**self._times(), "reason": "old"}
            spec = json.loads(fields["spec"])
            used = sum(run.cpu for run in self.runs.values())
            if used + spec["cpu"] > self.cpu:
                return 409, {**self._times(), "reason": "room"}
            begun = self.runs[task] = Run(task, number, spec)
            self.history.append(
                {
                    "worker": self.name,
                    "life": self.life,
                    "task": task,
                    "run": number,
                    "began": self.record.now(),
                    "ended": None,
                    "how": None,
                }
            )
            self.record(self.name, f"run {number} of {task} begins")
        if self.on_begin:
            self.on_begin(self, begun)
        return 200, self._times()

    def _extend(self, deadline_ms: float) -> None:
        longest = self.clock_ms() + BOUNDS["maxHoldMs"]
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _stop(self, fields: dict[str, Any]) -> Any:
        task, number = fields["task"], fields["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            if self.stop_seconds:
                threading.Timer(self.stop_seconds, self._finish_stop, (run,)).start()
            else:
                self._end_stopped(run)
        self.record(self.name, f"stop of run {number} of {task}, answers 200")
        return 200, self._times()

    def _finish_stop(self, run: Run) -> None:
        with self.lock:
            if self.runs.get(run.task) is run:
                self._end_stopped(run)

    def _end_stopped(self, run: Run) -> None:
        self._end(run, "stopped")
        self._break_gang(run)

    def _hold(self, fields: dict[str, Any]) -> Any:
        life = self.life
        if "deadlineMs" in fields:
            self._extend(fields["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > fields.get("lastSeen", 0)]
        until = time.monotonic() + min(fields.get("waitMs", 0), 2000) / 1000
        while not self.ends and self.is_up and self.life == life:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.is_up or self.life != life:
            return None
        running = [
            [run.task, run.number, "", 100 if run.seconds is None else self._percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return 200, {**self._times(), "running": running, "finished": self.ends[:500]}

    @staticmethod
    def _percent(run: Run) -> int:
        return int(min(99.0, 100 * (time.monotonic() - run.began_at) / (run.seconds or 1.0)))


def request(
    address: str,
    method: str,
    path: str,
    fields: Any = None,
    timeout_seconds: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Send one request; status 0 means that no whole answer came."""
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    try:
        body = None if fields is None else json.dumps(fields).encode()
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, body, all_headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        connection.close()


class Link:
    """Passes the connections to an address; while it is cut, all bytes are held up."""

    def __init__(self, ip: str, port: int, target: tuple[str, int]) -> None:
        self.target = target
        self.is_open = threading.Event()
        self.is_open.set()
        self.listener = socket.create_server((ip, port), backlog=64)
        self.address = f"{ip}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self.is_open.wait()
        try:
            far = socket.create_connection(self.target, 2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for source, sink in ((near, far), (far, near)):
            source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(64 << 10):
                self.is_open.wait()
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Site:
    """A small deployment: three entries, and an agent beside each worker."""

    def __init__(self, record: Record, workers: int, cpu: int, entries: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_net(entries, workers)
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, Path] = {}
        self.store = Store(f"{self.net}.0.1", record)
        self.put_configuration(3)
        self.entries = {f"entry-{n}": f"{self.net}.1.{n}" for n in range(1, entries + 1)}
        self.agents = {f"agent-{n}": f"{self.net}.2.{n}" for n in range(1, workers + 1)}
        self.workers = [
            Worker(f"worker-{n}", f"{self.net}.2.{n}", cpu, record) for n in range(1, workers + 1)
        ]
        for name, ip in {**self.entries, **self.agents}.items():
            self._write_settings(name, ip)

    def put_configuration(self, version: int) -> None:
        """Write a configuration with one queue."""
        route = {
            "name": "jobs",
            "host": HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 4,
            "stretch": 2.0,
            "targetLatencyMs": 250,
        }
        fields = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "rejectsOverload": True}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(fields).encode())

    def start(self) -> None:
        """Start everything and wait until a job has been completed."""
        for name in self.settings:
            self.start_process(name)
        for worker in self.workers:
            worker.start()
        self.wait(lambda: all(request(self.ready(n), "GET", "/ready")[0] == 200 for n in self.entries))
        for number in range(2):
            probe = f"{number:016x}"
            spec = {"cpu": 100, "seconds": 0.2}
            self.wait(lambda: self.submit("entry-1", probe, spec, 100, 200) == 200)
            self.wait(lambda: self.state("entry-1", probe) == "completed")
        time.sleep(2.0)  # Every agent has reported by then.

    def start_process(self, name: str) -> None:
        """Start an entry or an agent with the command of the deploy file."""
        role = self.deploy["roles"][name.partition("-")[0]]
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment["ACACIASTAND_CONFIG"] = str(self.settings[name])
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(role["run"]),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record(name, "process started")

    def link(self, agent: str) -> Link:
        """Let the entries reach an agent through a link that can be cut; before `start`."""
        number = agent.partition("-")[2]
        target = (self.agents[agent], INTERNAL_PORTS[0])
        link = Link(f"{self.net}.3.{number}", INTERNAL_PORTS[0], target)
        with self.settings[agent].open("a", encoding="utf-8") as file:
            file.write(f'advertised_address = "{link.address}"\n')
        return link

    def kill(self, name: str) -> None:
        """Kill a process that this site started."""
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record(name, "process killed")

    def close(self) -> None:
        """End all processes that this site started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for worker in self.workers:
            worker.is_up = False
        shutil.rmtree(self.folder, ignore_errors=True)

    def front(self, entry: str) -> str:
        """Return the address of an entry for clients."""
        return f"{self.entries[entry]}:{FRONT_PORT}"

    def ready(self, entry: str) -> str:
        """Return the address of an entry for the platform's checks."""
        return f"{self.entries[entry]}:{READY_PORT}"

    def call(self, entry: str, method: str, path: str, fields: Any = None) -> tuple[int, Any]:
        """Make a client's call and record it with its answer."""
        headers = {"Host": HOST, "X-Deadline-Ms": "3000"}
        sent = self.record.now()
        status, answer = request(self.front(entry), method, PREFIX + path, fields, 3.0, headers)
        self.record("client", f"{method} {PREFIX}{path} to {entry}, sent at {sent:.3f}: {status} {answer}")
        return status, answer

    def submit(
        self, entry: str, job_id: str, spec: dict[str, Any], cpu: int, estimate_ms: int, **step: Any
    ) -> int:
        """Submit a job of one step and return the status."""
        steps = [{"count": 1, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms, **step}]
        return self.call(entry, "POST", job_id, {"spec": json.dumps(spec), "steps": steps})[0]

    def state(self, entry: str, job_id: str) -> str:
        """Return the state of a job, or the status of an answer without one."""
        status, answer = self.call(entry, "GET", job_id)
        return answer["state"] if status == 200 else str(status)

    def owner(self) -> str:
        """Return the entry that the store names as the owner of the jobs."""
        value = self.store.value("control/owner")
        return next((name for name in self.entries if name.encode() in value), "")

    def history(self) -> list[dict[str, Any]]:
        """Return all runs of all workers."""
        return [row for worker in self.workers for row in worker.history]

    def wait(self, condition: Callable[[], bool], seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError("the deployment does not start")
            time.sleep(0.1)

    def _write_settings(self, name: str, ip: str) -> None:
        role = self.deploy["roles"][name.partition("-")[0]]
        fields = {
            "nodeName": name,
            "zone": "zone-a",
            "region": "region-a",
            "ip": ip,
            "app": f"{ip}:{APP_PORT}",
            "listenAddrs": {
                "front": f"{ip}:{FRONT_PORT}",
                "ready": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            },
            "internalPorts": INTERNAL_PORTS,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0},
            "bounds": BOUNDS,
            "platform": {"addr": f"{self.net}.0.1:{STORE_PORT}"},
        }
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self.settings[name] = self.folder / f"{name}.toml"
        self.settings[name].write_text(render(template, fields), encoding="utf-8")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template: values, and sections that stand for a value that is present or not."""

    def find(name: str, scope: Any) -> Any:
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value = find(match[2], fields)
        is_shown = bool(value) if match[1] == "#" else not value
        return match[3].replace("{{.}}", str(value)) if is_shown else ""

    def value(match: re.Match[str]) -> str:
        found = find(match[1], fields)
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def _free_net(entries: int, workers: int) -> str:
    """Return the first two numbers of loopback addresses on which all ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}"
        needed = [(f"{net}.0.1", STORE_PORT)]
        ports = (FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT, INTERNAL_PORTS[0], METRICS_PORT)
        for kind, count in ((1, entries), (2, workers)):
            needed += [(f"{net}.{kind}.{n}", p) for n in range(1, count + 1) for p in ports]
        if all(_is_free(address) for address in needed):
            return net
    raise OSError("no free ports")


def _is_free(address: tuple[str, int]) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            return False
        return True


def play(folder: Path, case: Callable[[Record, bool], list[str]]) -> int:
    """Play a case, write its record and return the exit code: 1 broken, 0 held, 2 not run.

    `case` gets the record and whether the disruption is played. It returns what broke the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record("case", "with the disruption" if trouble else "without the disruption")
    try:
        broken = case(record, trouble)
    except Exception as error:
        record("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    for line in broken:
        record("case", f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record("case", "the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
