"""Stand-in of a worker: simulated tasks under leases, driven by a timer."""

from __future__ import annotations

import json
import time
import uuid
from typing import Any
from urllib.parse import unquote

import gevent

from acaciastand_standin.http import Answer, serve_json
from acaciastand_standin.serving import serve_until_signal

TICK_SECONDS = 0.02
USAGE_LAG_SECONDS = 0.2
ENDED_STATES = frozenset({"finished", "failed"})


class Task:
    """One simulated task; `progress` counts executed seconds."""

    def __init__(self, fields: dict[str, Any], now: float) -> None:
        self.task_id = str(fields["task_id"])
        self.attempt = int(fields["attempt"])
        self.shard = int(fields["shard"])
        self.batch_class = str(fields["batch_class"])
        self.urgent = bool(fields.get("urgent", False))
        self.limit_cores = 0.0  # 0 for no limit
        self.size = dict(fields["size"])
        self.run_seconds = float(fields["run_seconds"])
        self.progress = progress_of(str(fields["checkpoint"]))
        self.lease_until = float(fields["lease_until"])
        self.started = now
        self.held = False  # paused by a call, not by its lease
        self.run: dict[str, Any] | None = None
        self.state = "paused"

    @property
    def checkpoint(self) -> str:
        """Reference that carries the progress."""
        return f"progress:{self.progress:.3f}"


def progress_of(checkpoint: str) -> float:
    """Return the progress that a checkpoint carries; an empty one carries none."""
    return float(checkpoint.partition(":")[2]) if checkpoint else 0.0


class Worker:
    """Runs simulated tasks.

    Parameters
    ----------
    capacity
        Cores, memory in megabytes and accelerators by field name.

    Attributes
    ----------
    usage_factor
        Use of cores and accelerators as a multiple of the declared size.
    memory_factor
        Use of memory as a multiple of the declared size.
    service_cores
        Cores that the service on this host uses.
    fail_starts
        Refuse to start any task.
    guard
        Refuse starts that would exceed the capacity by declared size.
    """

    def __init__(self, capacity: dict[str, float], guard: bool = True) -> None:
        self.capacity = capacity
        self.guard = guard
        self.incarnation = uuid.uuid4().hex
        self.session = ""
        self.usage_factor = 1.0
        self.memory_factor = 1.0
        self.service_cores = 0.0
        self.fail_starts = False
        self.tasks: dict[str, Task] = {}
        self.stopped: dict[str, int] = {}
        self.runs: list[dict[str, Any]] = []
        self.last_tick = time.monotonic()

    def run_timer(self) -> None:
        """Advance all tasks until killed."""
        while True:
            gevent.sleep(TICK_SECONDS)
            self.tick(time.monotonic())

    def tick(self, now: float) -> None:
        """Advance running tasks to `now`; a lapsed lease pauses its task."""
        elapsed, self.last_tick = now - self.last_tick, now
        for task in self.tasks.values():
            if task.state != "running":
                continue
            ran = max(0.0, elapsed - max(0.0, now - task.lease_until))
            task.progress += ran * self._speed(task)
            if task.progress >= task.run_seconds:
                self._end_run(task, "finished", now)
            elif now >= task.lease_until:
                self._end_run(task, "paused", task.lease_until)

    def answer(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        """Handle one call."""
        self.tick(time.monotonic())
        if method == "GET":
            return self._read(path)
        if path == "/v1/session":
            self.session = uuid.uuid4().hex
            return 200, {"session": self.session}
        fields = json.loads(body or b"{}")
        if path == "/v1/faults":
            return self._set_faults(fields)
        if headers.get("session") != self.session:
            return 409, {"code": "session_ended"}
        if path == "/v1/tasks":
            return self._start(fields)
        task_path, _, call = path.removeprefix("/v1/tasks/").rpartition("/")
        return self._change(unquote(task_path), call, fields)

    def _read(self, path: str) -> Answer:
        if path == "/v1/audit":
            return 200, {"runs": self.runs}
        now = time.monotonic()
        return 200, {
            "incarnation": self.incarnation,
            "session": self.session,
            "clock": now,
            "capacity": self.capacity,
            "service_usage": {"cores": self.service_cores, "memory_mb": 0, "accelerators": 0},
            "tasks": [self._listed(task, now) for task in self.tasks.values()],
        }

    def _speed(self, task: Task) -> float:
        wanted = task.size["cores"] * self.usage_factor
        return min(1.0, task.limit_cores / wanted) if task.limit_cores and wanted else 1.0

    def use(self) -> dict[str, float]:
        """Return what service and running tasks use now, without the lag of the reports."""
        total = {"cores": self.service_cores, "memory_mb": 0.0}
        for task in self.tasks.values():
            if task.state == "running":
                cores = task.size["cores"] * self.usage_factor
                total["cores"] += cores * self._speed(task)
                total["memory_mb"] += task.size["memory_mb"] * self.memory_factor
        return total

    def _listed(self, task: Task, now: float) -> dict[str, Any]:
        lagging = now - task.started < USAGE_LAG_SECONDS
        factor = 0.0 if lagging else self.usage_factor
        usage = {name: amount * factor for name, amount in task.size.items()}
        usage["memory_mb"] = task.size["memory_mb"] * (self.memory_factor if factor else 0.0)
        usage["cores"] *= self._speed(task)
        names = ("task_id", "attempt", "shard", "batch_class", "urgent", "state", "size")
        fields = {name: getattr(task, name) for name in names}
        return {
            **fields,
            "lease_until": task.lease_until,
            "usage": usage,
            "checkpoint": task.checkpoint,
            "run_seconds": task.progress,
        }

    def _start(self, fields: dict[str, Any]) -> Answer:
        now = time.monotonic()
        task = Task(fields, now)
        known = self.tasks.get(task.task_id)
        if known is not None and known.attempt == task.attempt:
            return 200, {}
        if known is not None or task.attempt <= self.stopped.get(task.task_id, 0):
            return 422, {"code": "old_attempt"}
        if self.fail_starts:
            return 422, {"code": "start_failed"}
        if self.guard and not self._fits(task):
            return 422, {"code": "over_capacity"}
        self.tasks[task.task_id] = task
        self._resume(task, now)
        return 201, {}

    def _fits(self, task: Task) -> bool:
        held = [other for other in self.tasks.values() if other.state not in ENDED_STATES]
        return all(
            sum(other.size[name] for other in [*held, task]) <= limit + 1e-9
            for name, limit in self.capacity.items()
        )

    def _change(self, task_id: str, call: str, fields: dict[str, Any]) -> Answer:
        attempt = int(fields["attempt"])
        task = self.tasks.get(task_id)
        if call == "stop":
            return self._stop(task_id, attempt, bool(fields.get("keep_progress")))
        if task is None or task.attempt != attempt:
            return 404, {"code": "unknown_task"}
        now = time.monotonic()
        if call == "throttle":
            task.limit_cores = float(fields["cores"])
        if call == "checkpoint":
            return 200, {"checkpoint": task.checkpoint}
        if call == "pause":
            task.held = True
            self._end_run(task, "paused", now)
        elif call in ("renew", "resume"):
            task.lease_until = float(fields["lease_until"])
            task.held = task.held and call == "renew"
            self._resume(task, now)
        return 200, {}

    def _stop(self, task_id: str, attempt: int, keep_progress: bool) -> Answer:
        self.stopped[task_id] = max(attempt, self.stopped.get(task_id, 0))
        task = self.tasks.get(task_id)
        if task is None or task.attempt > attempt:
            return 200, {}
        now = time.monotonic()
        completed = task.state == "finished"
        self._end_run(task, "stopped", now)
        del self.tasks[task_id]
        checkpoint = task.checkpoint if keep_progress and not completed else ""
        return 200, {
            "checkpoint": checkpoint,
            "run_seconds": task.progress,
            "completed": completed,
        }

    def _resume(self, task: Task, now: float) -> None:
        if task.state != "paused" or task.held or now >= task.lease_until:
            return
        task.state = "running"
        task.run = {
            "task_id": task.task_id,
            "attempt": task.attempt,
            "started": now,
            "stopped": None,
            "from": task.progress,
            "end": "",
        }
        self.runs.append(task.run)

    def _end_run(self, task: Task, state: str, now: float) -> None:
        if task.state in ENDED_STATES:
            return
        task.state = state
        if task.run is not None:
            task.run.update(stopped=now, end=state)
            task.run = None

    def _set_faults(self, fields: dict[str, Any]) -> Answer:
        self.usage_factor = float(fields.get("usage_factor", self.usage_factor))
        self.service_cores = float(fields.get("service_cores", self.service_cores))
        self.memory_factor = float(fields.get("memory_factor", self.memory_factor))
        self.fail_starts = bool(fields.get("fail_starts", self.fail_starts))
        self.guard = bool(fields.get("guard", self.guard))
        return 200, {}


def serve(
    listen: str,
    cores: float = 32.0,
    memory_mb: int = 125_000,
    accelerators: int = 0,
    guard: bool = True,
) -> None:
    """Serve one worker on ``ip:port`` until killed."""
    capacity = {"cores": cores, "memory_mb": memory_mb, "accelerators": accelerators}
    worker = Worker(capacity, guard)
    gevent.spawn(worker.run_timer)
    serve_until_signal(serve_json(listen, worker.answer), "worker")
