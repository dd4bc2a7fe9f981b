"""Stand-in for a worker with the platform's task interface.

The payload of a task is a JSON object: ``seconds`` it runs, ``failures``, the number of its first
attempts that fail, and ``crash_seconds``, for which each start takes the worker down.
"""

from __future__ import annotations

import json
import random
import time
from contextlib import suppress
from typing import Any

import gevent
from gevent import GreenletExit
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import HttpCaller
from acaciastand.platform.tasks import MAX_LISTED_ENDS
from acaciastand.record import Record
from acaciastand.wire.connection import split_address
from acaciastand_standin.platform_advice import AdviceStandIn

HEARTBEAT_SECONDS = 0.3
TICK_SECONDS = 0.01
MAX_LEASE_MS = 10_000  # a longer lease is shortened to this
STOP_SECONDS = 0.05  # a stop takes this long, as checkpoints are written


class Run(Record):
    """A run with its times, for the check of the promises.

    Attributes
    ----------
    arrived
        When the command to start it reached the worker.
    listed_at, noted_at
        When a poll listed its end first, and when ``lastSeen`` reached it; 0 if neither happened.
    """

    __slots__ = (
        "task",
        "run",
        "worker",
        "arrived",
        "began",
        "ends",
        "ended",
        "how",
        "percent",
        "acknowledged",
        "lease_lapsed",
        "listed_at",
        "noted_at",
    )

    def __init__(
        self, task: str, run: int, worker: str, arrived: float, began: float, ends: float
    ) -> None:
        self.task = task
        self.run = run
        self.worker = worker
        self.arrived = arrived
        self.began = began
        self.ends = ends
        self.ended = 0.0
        self.how = ""
        self.percent = 100
        self.acknowledged = False  # whether the system has taken note of its end
        self.lease_lapsed = False  # whether the worker's lease has lapsed since its end
        self.listed_at = 0.0
        self.noted_at = 0.0


class PlatformWorkerStandIn:
    """One worker: runs tasks under a lease, refuses lower tokens and older runs.

    Attributes
    ----------
    history
        All runs of all its lives.
    heartbeats_stopped, gone
        Whether it announces itself no more, and whether it answers no more calls.
    unanswered_share
        Share of the starts that are carried out and not answered.
    crashes
        Number of crashes under a task that takes the worker down.
    is_down
        Whether it has crashed and not begun another incarnation yet.
    """

    def __init__(
        self,
        worker_id: str,
        announce_address: str,
        service: str = "desk",
        address: str = "127.0.0.1:0",
        cores: float = 16.0,
        seed: int = 1,
        availability_zone: str = "zone-a",
    ) -> None:
        self.worker_id = worker_id
        self.availability_zone = availability_zone
        self.caller = HttpCaller(f"http://{announce_address}")
        self.service = service
        self.cores = cores
        self.random = random.Random(seed)
        self.unanswered_share = 0.0
        self.crashes = 0
        self.is_down = False
        self.history: list[Run] = []
        self.end_added = Event()  # Wakes the polls that wait for an end.
        self.failures: dict[str, int] = {}
        self.tickets: AdviceStandIn | None = None  # checks the tickets of all starts
        self.draining = False
        self.heartbeats_stopped = False
        self.gone = False
        self.server = self._build_server(address)
        self._begin_incarnation()

    @property
    def address(self) -> str:
        """Address that the server is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Bind, announce and run."""
        self.server.start()
        self.greenlets = [gevent.spawn(self._announce_forever), gevent.spawn(self._tick_forever)]

    def stop(self) -> None:
        """Stop everything."""
        gevent.killall(self.greenlets)
        self.caller.close()
        self.server.stop(0.1)

    def go_down(self, seconds: float) -> None:
        """Crash, and refuse connections for some seconds before another incarnation begins."""
        if self.is_down:
            return
        self.is_down = True
        address = self.address
        self.heartbeats_stopped = True
        self.server.stop(0.0)
        self.crash()

        def come_back() -> None:
            self._begin_incarnation()
            self.server = self._build_server(address)
            self.server.start()
            self.heartbeats_stopped = self.is_down = False

        self.greenlets.append(gevent.spawn_later(seconds, come_back))

    def _build_server(self, address: str) -> WSGIServer:
        return WSGIServer(split_address(address), self._serve, log=None, error_log=None)

    def crash(self) -> None:
        """Lose everything that runs and begin another life under the same id."""
        for run in self.running.values():
            run.ended = time.monotonic()
            run.how = "crashed"
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.sequence = 0
        self.ends: list[list[Any]] = []
        self.ends_count = 0
        self.unacknowledged: dict[int, Run] = {}
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}

    def leave(self) -> None:
        """Say good-bye and end; everything that runs ends with it."""
        self.heartbeats_stopped = True
        with suppress(AcaciastandError):
            self.caller.call("POST", f"/Instances.Deregister/{self.worker_id}", b"", {}, 1.0)
        self.gone = True
        for run in self.running.values():
            run.ended = time.monotonic()
            run.how = "left"
        self.running.clear()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self.began) * 1000) + 1_000

    def _announce_forever(self) -> None:
        while True:
            if not self.heartbeats_stopped:
                self._announce()
            gevent.sleep(HEARTBEAT_SECONDS)

    def _announce(self) -> None:
        self.sequence += 1
        fields = {
            "service": self.service,
            "addr": self.address,
            "zone": self.availability_zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": int(self.cores * 1000), "memMb": 64_000, "gpu": 0},
            "labels": ["a", "rack-1"],
            "clockMs": self._clock_ms(),
            "seq": self.sequence,
            "born": self.born_ms,
        }
        path = f"/Instances.Heartbeat/{self.worker_id}"
        with suppress(AcaciastandError):  # an agent that is down finds the next announcement
            self.caller.call("POST", path, json.dumps(fields).encode(), {}, 1.0)

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self._end_due_runs()

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        expired = self.lease_ms <= self._clock_ms()
        for run in self.unacknowledged.values():
            run.lease_lapsed = run.lease_lapsed or expired
        for run in list(self.running.values()):
            if run.how == "stopping":
                if now >= run.ends:
                    self._end(run, "stopped")
            elif expired:
                self._end(run, "lapsed")
            elif now >= run.ends:
                self._end(run, self._result(run))

    def _result(self, run: Run) -> str:
        return "failed" if run.run <= self.failures.get(run.task, 0) else "done"

    def _end(self, run: Run, how: str) -> None:
        run.how = how
        run.ended = time.monotonic()
        del self.running[run.task]
        self.ends_count += 1
        self.unacknowledged[self.ends_count] = run
        self.ends.append([self.ends_count, run.task, run.run, how, ""])
        self.end_added.set()
        self.end_added.clear()

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        if self.gone or self.is_down:
            raise GreenletExit  # the connection closes without an answer
        arrived = time.monotonic()
        fields = json.loads(environ["wsgi.input"].read())
        # A lease that is over stays so, even if this call extends it before the next tick.
        self._end_due_runs()
        answer: dict[str, Any] = {}
        intended = environ.get("HTTP_X_TARGET_INSTANCE", self.worker_id)
        if intended != self.worker_id:
            status = 421
        elif fields.get("fencingToken", 0) < self.token:
            status, answer = 409, {"reason": "fence"}
        else:
            self.token = fields.get("fencingToken", 0)
            longest_ms = self._clock_ms() + MAX_LEASE_MS
            self.lease_ms = max(self.lease_ms, min(fields.get("deadlineMs", 0), longest_ms))
            status, answer = self._call(environ["PATH_INFO"], fields, arrived)
        answer = {"clockMs": self._clock_ms(), "born": self.born_ms, **answer}
        if environ["PATH_INFO"] == "/run-start" and self.random.random() < self.unanswered_share:
            raise GreenletExit  # no traceback is printed
        data = json.dumps(answer).encode()
        start_response(f"{status} Answer", [("Content-Length", str(len(data)))])
        return [data]

    def _call(
        self, path: str, fields: dict[str, Any], arrived: float
    ) -> tuple[int, dict[str, Any]]:
        if path == "/run-start":
            return self._start(fields, arrived)
        if path == "/run-stop":
            return self._stop(fields)
        if path == "/pace":
            return 200, {}
        if path == "/hold":
            return self._poll(fields)
        return 404, {}

    def _start(self, fields: dict[str, Any], arrived: float) -> tuple[int, dict[str, Any]]:
        task, run = fields["task"], fields["runId"]
        present = self.running.get(task)
        if present is not None and present.run == run:
            return 200, {}
        if run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        if fields["deadlineMs"] <= self._clock_ms():
            return 409, {"reason": "late"}
        step = task.rpartition(".")[0]
        if self.tickets and not self.tickets.valid(fields.get("ticket", ""), step, self.worker_id):
            return 409, {"reason": "ticket"}
        payload = json.loads(fields["spec"])
        self.failures = {**self.failures, task: payload.get("failures", 0)}
        now = time.monotonic()
        begun = Run(task, run, self.worker_id, arrived, now, now + payload["seconds"])
        self.highest[task] = run
        self.running[task] = begun
        self.history.append(begun)
        if payload.get("crash_seconds"):
            self.crashes += 1
            gevent.spawn(self.go_down, payload["crash_seconds"])
        return 200, {}

    def _stop(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = fields["task"], fields["runId"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present.run <= run and present.how != "stopping":
            present.how = "stopping"
            present.ends = time.monotonic() + STOP_SECONDS
        return 200, {}

    def _poll(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for number, run in list(self.unacknowledged.items()):
            if number <= fields["lastSeen"]:
                run.acknowledged = True
                run.noted_at = time.monotonic()
                del self.unacknowledged[number]
        self.ends = [row for row in self.ends if row[0] > fields["lastSeen"]]
        with gevent.Timeout(fields.get("waitMs", 0) / 1000, False):
            while not self.ends and fields.get("waitMs"):
                self.end_added.wait()
        # A run that is being stopped is listed neither as running nor as ended.
        running = [
            [run.task, run.run, "", run.percent, 0]
            for run in self.running.values()
            if run.how != "stopping"
        ]
        listed = self.ends[:MAX_LISTED_ENDS]
        for number, *_ in listed:
            ended = self.unacknowledged[number]
            ended.listed_at = ended.listed_at or time.monotonic()
        return 200, {"running": running, "finished": listed}
