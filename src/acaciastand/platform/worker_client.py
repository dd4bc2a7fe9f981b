"""Client of the worker on this host.

Leases are sent as a time of the worker's own clock, which every answer of ``GET /v1/worker``
carries: a call that is delayed on the way, for example because the agent is frozen, then cannot
make a lease longer.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.host import Grant, WorkerTask
from acaciastand.platform.http import CallBrokeOff, HttpAnswer, HttpCaller
from acaciastand.record import Record
from acaciastand.resources import Resources

CALL_SECONDS = 2.0
CONFLICT = 409
GONE = 404


class SessionEnded(AcaciastandError):
    """The worker has a newer session or lost this one; the call had no effect."""

    code = "session_ended"
    outcome = Outcome.NOT_RUN


class StartRefused(AcaciastandError):
    """The worker did not start the task and will not."""

    code = "start_refused"
    outcome = Outcome.NOT_RUN


class WorkerStatus(Record):
    """The worker's state, as asked for at `asked_at` on the agent's clock."""

    __slots__ = ("incarnation", "session", "capacity", "service_usage", "tasks", "asked_at")

    def __init__(
        self,
        incarnation: str,
        session: str,
        capacity: Resources,
        service_usage: Resources,
        tasks: list[WorkerTask],
        asked_at: float,
    ) -> None:
        self.incarnation = incarnation
        self.session = session
        self.capacity = capacity
        self.service_usage = service_usage
        self.tasks = tasks
        self.asked_at = asked_at


class StopOutcome(Record):
    """What the worker knows of a task that it stopped."""

    __slots__ = ("checkpoint", "run_seconds", "completed")

    def __init__(self, checkpoint: str = "", run_seconds: float = 0.0, completed: bool = False):
        self.checkpoint = checkpoint
        self.run_seconds = run_seconds
        self.completed = completed


class WorkerClient:
    """Runs tasks at the worker under one session.

    Parameters
    ----------
    url
        Base URL of the worker.
    clock
        Monotonic seconds.
    """

    def __init__(self, url: str, clock: Callable[[], float]) -> None:
        self.caller = HttpCaller(url)
        self.clock = clock
        self.session = ""
        self._clock_offset = 0.0

    def open_session(self) -> None:
        """End the session of any earlier agent process and open one for this process."""
        self.session = str(self._json(self._call("POST", "/v1/session", {}))["session"])

    def status(self) -> WorkerStatus:
        """Return capacity and tasks, and learn the worker's clock."""
        asked_at = self.clock()
        fields = self._json(self._call("GET", "/v1/worker"))
        try:
            # The reading is at most as old as the answer, so this offset never overestimates.
            self._clock_offset = float(fields["clock"]) - self.clock()
            return _status(fields, asked_at)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise CallBrokeOff(
                f"the worker's status is malformed: {error!r}", "check the worker's version"
            ) from error

    def start(self, grant: Grant, valid_until: float) -> None:
        """Start a task under a lease that ends at `valid_until` of the agent's clock.

        Raises
        ------
        StartRefused, SessionEnded, CallNotSent
            The task was not started.
        CallTimedOut, CallBrokeOff
            The task may have been started; the call may be repeated.
        """
        payload = {
            "task_id": grant.task_id,
            "attempt": grant.attempt,
            "shard": grant.shard,
            "batch_class": grant.batch_class,
            "urgent": grant.urgent,
            "size": _resources_json(grant.size),
            "run_seconds": grant.run_seconds,
            "checkpoint": grant.checkpoint,
            "lease_until": self._worker_time(valid_until),
        }
        answer = self._call("POST", "/v1/tasks", payload)
        if 400 <= answer.status < 500:
            raise StartRefused(
                f"the worker refused the task: {answer.body[:200]!r}", "run it on another worker"
            )
        self._check(answer)

    def change(self, call: str, task_id: str, attempt: int, valid_until: float) -> None:
        """Send ``renew``, ``pause`` or ``resume``; a task the worker does not know is ignored."""
        payload = {"attempt": attempt, "lease_until": self._worker_time(valid_until)}
        answer = self._call("POST", f"/v1/tasks/{quote(task_id, safe='')}/{call}", payload)
        if answer.status != GONE:
            self._check(answer)

    def throttle(self, task_id: str, attempt: int, cores: float) -> None:
        """Limit the cores of a task, 0 for no limit; an unknown task is ignored."""
        payload = {"attempt": attempt, "cores": cores}
        answer = self._call("POST", f"/v1/tasks/{quote(task_id, safe='')}/throttle", payload)
        if answer.status != GONE:
            self._check(answer)

    def checkpoint(self, task_id: str, attempt: int) -> str:
        """Have a task save its progress and return the reference; empty for an unknown task."""
        payload = {"attempt": attempt}
        answer = self._call("POST", f"/v1/tasks/{quote(task_id, safe='')}/checkpoint", payload)
        return "" if answer.status == GONE else str(self._json(answer).get("checkpoint", ""))

    def stop(self, task_id: str, attempt: int, keep_progress: bool) -> StopOutcome:
        """Stop a task; the worker refuses this and lower attempts from then on."""
        payload = {"attempt": attempt, "keep_progress": keep_progress}
        answer = self._call("POST", f"/v1/tasks/{quote(task_id, safe='')}/stop", payload)
        fields = self._json(answer)
        return StopOutcome(
            str(fields.get("checkpoint", "")),
            float(fields.get("run_seconds", 0.0)),
            bool(fields.get("completed", False)),
        )

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()

    def _worker_time(self, agent_time: float) -> float:
        return agent_time + self._clock_offset

    def _call(self, method: str, path: str, payload: Any = None) -> HttpAnswer:
        body = b"" if payload is None else json.dumps(payload).encode()
        headers = {"Content-Type": "application/json", "Session": self.session}
        answer = self.caller.call(method, path, body, headers, CALL_SECONDS)
        if answer.status == CONFLICT:
            raise SessionEnded("the worker ended this session", "open a new session")
        return answer

    def _check(self, answer: HttpAnswer) -> None:
        if answer.status >= 300:
            raise CallBrokeOff(
                f"the worker answered {answer.status}: {answer.body[:200]!r}", "retry the call"
            )

    def _json(self, answer: HttpAnswer) -> dict[str, Any]:
        self._check(answer)
        try:
            fields = json.loads(answer.body)
        except ValueError as error:
            raise CallBrokeOff(f"the answer is not JSON: {error}", "retry the call") from error
        if not isinstance(fields, dict):
            raise CallBrokeOff("the answer is not a JSON object", "check the worker's version")
        return fields


def _resources(fields: dict[str, Any]) -> Resources:
    return Resources(float(fields["cores"]), int(fields["memory_mb"]), int(fields["accelerators"]))


def _resources_json(size: Resources) -> dict[str, float]:
    return dict(zip(size.fields(), size.values(), strict=True))


def _status(fields: dict[str, Any], asked_at: float) -> WorkerStatus:
    clock = float(fields["clock"])
    return WorkerStatus(
        str(fields["incarnation"]),
        str(fields["session"]),
        _resources(fields["capacity"]),
        _resources(fields["service_usage"]) if "service_usage" in fields else Resources(),
        [_task(task, clock) for task in fields["tasks"]],
        asked_at,
    )


def _task(fields: dict[str, Any], clock: float) -> WorkerTask:
    return WorkerTask(
        str(fields["task_id"]),
        int(fields["attempt"]),
        int(fields["shard"]),
        str(fields["state"]),
        _resources(fields["size"]),
        _resources(fields["usage"]),
        max(0.0, float(fields["lease_until"]) - clock),
        str(fields["checkpoint"]),
        float(fields["run_seconds"]),
        str(fields["batch_class"]),
        bool(fields.get("urgent", False)),
    )
