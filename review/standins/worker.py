"""Stand-in for a worker of the platform, after PROTOCOL.md.

The ``spec`` of a task is a JSON object: ``seconds`` that a run takes (absent for a task that lasts)
and ``fail_runs``, the numbers of the runs of each task that end ``failed``.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from http_server import NoAnswer, Request, ResetConnection, Server, call

HEARTBEAT_S = 1.1
ENDS_PER_ANSWER = 500
TICK_S = 0.01
STOP_S = 0.1  # A stop takes this long; the settings allow 0.4 s.
STARTUP_S = 0.3  # A task that lasts is at work after this long.


class Run:
    """A run on a worker."""

    def __init__(self, task: str, run: int, spec: dict[str, Any], worker: Worker) -> None:
        self.task = task
        self.run = run
        self.spec = spec
        self.worker = worker.name
        self.life = worker.life
        self.began = time.monotonic()
        self.stopped_at = 0.0  # When the order to stop arrived.
        self.ended = 0.0
        self.how = ""
        self.noted = False  # Whether `lastSeen` reached its end before the lease lapsed.
        self.lease_lapsed = False

    def result(self, now: float) -> str:
        """Return how the run ends now; empty while it goes on."""
        if self.stopped_at:
            return "stopped" if now >= self.stopped_at + STOP_S else ""
        seconds = self.spec.get("seconds")
        if seconds is None or now - self.began < seconds:
            return ""
        return "failed" if self.run in self.spec.get("fail_runs", []) else "done"


class Worker:
    """One worker beside its agent."""

    def __init__(
        self,
        name: str,
        service: str,
        address: tuple[str, int],
        control: str,
        record: Any,
        labels: list[str],
        cores: int = 16_000,
        memory_mb: int = 62_500,
        max_hold_ms: int = 10_000,
    ) -> None:
        self.name = name
        self.service = service
        self.server = Server(*address, self._serve)
        self.control = control
        self.record = record
        self.labels = labels
        self.cores = cores
        self.memory_mb = memory_mb
        self.max_hold_ms = max_hold_ms
        self.history: list[Run] = []
        self.life = 0
        self.up = False
        self.silent = False
        self.tasks: list[asyncio.Task[Any]] = []

    async def start(self, first_heartbeat_s: float = 0.0) -> None:
        """Begin a life: nothing is known of an earlier one."""
        self.life += 1
        self.silent = False
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.sequence = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ends: list[tuple[int, Run]] = []
        self.ends_count = 0
        await self.server.open()
        self.up = True
        self.record.write("worker up", worker=self.name, life=self.life)
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._announce_forever(first_heartbeat_s)),
            loop.create_task(self._tick()),
        ]

    async def crash(self, silent: bool = False) -> None:
        """End at once; everything that runs is gone.

        If it is silent, its connections stay open and are never answered.
        """
        self.up = False
        self.silent = silent
        for task in self.tasks:
            task.cancel()
        if silent:
            self.server.drop()
        else:
            await self.server.close()
        now = time.monotonic()
        for run in self.running.values():
            run.ended, run.how = now, "gone"
        self.record.write("worker crashed", worker=self.name, runs=sorted(self.running))
        self.running = {}

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock."""
        return 1_000 + int((time.monotonic() - self.began) * 1000)

    async def _announce_forever(self, first_heartbeat_s: float) -> None:
        await asyncio.sleep(first_heartbeat_s)
        while True:
            self.sequence += 1
            fields = {
                "service": self.service,
                "addr": self.server.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": {"cpu": self.cores, "memMb": self.memory_mb, "gpu": 0},
                "labels": self.labels,
                "clockMs": self.clock_ms,
                "seq": self.sequence,
                "born": self.born_ms,
            }
            status, _ = await call(
                self.control, "POST", f"/Instances.Heartbeat/{self.name}", fields, seconds=1.0
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.deadline_ms <= self.clock_ms
            for _, ended in self.ends if lapsed else []:
                ended.lease_lapsed = True
            for run in list(self.running.values()):
                how = run.result(now) or ("lapsed" if lapsed else "")
                if how:
                    self._end(run, how, now)

    def _end(self, run: Run, how: str, now: float) -> None:
        run.ended, run.how = now, how
        del self.running[run.task]
        self.ends_count += 1
        self.ends.append((self.ends_count, run))

    async def _serve(self, request: Request) -> tuple[int, Any]:
        self._check_life(self.life)
        fields = request.json()
        if request.headers.get("x-target-instance", self.name) != self.name:
            return self._answer(421)
        token = fields.get("fencingToken", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        if "deadlineMs" in fields:
            longest = self.clock_ms + self.max_hold_ms
            self.deadline_ms = max(self.deadline_ms, min(int(fields["deadlineMs"]), longest))
        if request.path == "/run-start":
            return self._start(fields)
        if request.path == "/run-stop":
            return self._stop(fields)
        if request.path == "/hold":
            return await self._hold(fields)
        if request.path == "/pace":
            return self._answer(200)
        return 404, {}

    def _check_life(self, life: int) -> None:
        if self.up and life == self.life:
            return
        raise NoAnswer if self.silent or life != self.life else ResetConnection

    def _answer(self, status: int, **fields: Any) -> tuple[int, Any]:
        return status, {"clockMs": self.clock_ms, "born": self.born_ms, **fields}

    def _start(self, fields: dict[str, Any]) -> tuple[int, Any]:
        task, number = fields["task"], fields["runId"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            return self._answer(200)
        if number <= self.highest.get(task, 0) or present is not None:
            return self._answer(409, reason="old")
        if fields["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        run = Run(task, number, json.loads(fields["spec"]), self)
        self.highest[task] = number
        self.running[task] = run
        self.history.append(run)
        return self._answer(200)

    def _stop(self, fields: dict[str, Any]) -> tuple[int, Any]:
        task, number = fields["task"], fields["runId"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        present = self.running.get(task)
        if present is not None and present.run <= number and not present.stopped_at:
            present.stopped_at = time.monotonic()
        return self._answer(200)

    async def _hold(self, fields: dict[str, Any]) -> tuple[int, Any]:
        life = self.life
        last_seen = fields["lastSeen"]
        for number, run in self.ends:
            run.noted = run.noted or (number <= last_seen and not run.lease_lapsed)
        self.ends = [row for row in self.ends if row[0] > last_seen]
        end = time.monotonic() + min(2_000, fields.get("waitMs", 0)) / 1000
        while not self.ends and time.monotonic() < end:
            await asyncio.sleep(TICK_S)
            self._check_life(life)
        finished = [
            [number, run.task, run.run, run.how, ""] for number, run in self.ends[:ENDS_PER_ANSWER]
        ]
        now = time.monotonic()
        running = [
            [run.task, run.run, "", 100 if now - run.began >= STARTUP_S else 0, 0]
            for run in self.running.values()
        ]
        return self._answer(200, running=running, finished=finished)
