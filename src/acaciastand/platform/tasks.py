"""Client of the task interface of the worker on this host, and its announcements."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from acaciastand.checks import (
    MALFORMED,
    check_address,
    check_integer,
    check_list,
    check_map,
    check_number,
    check_text,
    decode_rows,
    load_json_map,
    shorten,
)
from acaciastand.errors import AcaciastandError, InvalidInput, Outcome
from acaciastand.platform.http import CallBrokeOff, HttpCaller
from acaciastand.resources import Resources
from acaciastand.workflow.reports import (
    ActiveRun,
    EndedRun,
    PollResult,
    StartCommand,
    StartOutcome,
    WorkerIdentity,
    check_active_run,
    check_ended_run,
)

ANNOUNCE_PATH = "/Instances.Heartbeat/"
LEAVE_PATH = "/Instances.Deregister/"
STATES = frozenset({"ready", "draining"})
JSON_HEADERS = {"Content-Type": "application/json"}
COMMAND_SECONDS = 0.4  # for the answer to a start, stop or change of pace
POLL_SECONDS = 0.5  # for the answer to a look, beyond the time it waits
MAX_LISTED_ENDS = 500  # The worker lists further ends once these are acknowledged.
WRONG_INCARNATION = 421
INCARNATION_HEADER = "X-Target-Instance"  # holds the worker's id


class TokenRefused(AcaciastandError):
    """The worker has seen a higher token; the call had no effect."""

    code = "token_refused"
    outcome = Outcome.NOT_RUN


class WorkerChanged(AcaciastandError):
    """The worker is in another life than the call is meant for; it had no effect."""

    code = "worker_changed"
    outcome = Outcome.NOT_RUN


class TaskClient:
    """Calls of one worker.

    Parameters
    ----------
    address
        ``ip:port`` of the worker.
    token
        Token that orders the lives of the agent; a worker refuses lower ones.
    on_ignored
        Called with the error of each run or end that a poll lists and that cannot be decoded.
    """

    def __init__(self, address: str, token: int, on_ignored: Callable[[Exception], None]) -> None:
        self.caller = HttpCaller(f"http://{address}")
        self.token = token
        self.on_ignored = on_ignored
        self.incarnation_header: dict[str, str] = {}

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()

    def poll(
        self, lease_until_ms: int | None, acknowledged: int, wait_seconds: float
    ) -> PollResult:
        """Extend the lease of all runs, acknowledge ends and return what runs and has ended.

        Parameters
        ----------
        lease_until_ms
            End of the lease on the worker's clock; None to leave it.
        acknowledged
            Number of the last end that is stored.
        wait_seconds
            How long the worker waits for a new end.

        Raises
        ------
        TokenRefused, WorkerChanged, CallNotSent, CallTimedOut, CallBrokeOff
            The worker gave no such answer.
        """
        body: dict[str, Any] = {"fencingToken": self.token, "lastSeen": acknowledged}
        if lease_until_ms is not None:
            body["deadlineMs"] = lease_until_ms
        if wait_seconds > 0:
            body["waitMs"] = int(wait_seconds * 1000)
        status, fields = self._call("/hold", body, POLL_SECONDS + wait_seconds)
        self._check(status, fields)
        try:
            ended = fields.get("finished") or []
            return PollResult(
                check_integer(fields.get("born", 0)),
                check_number(fields["clockMs"]),
                decode_rows(fields.get("running"), _running, self.on_ignored),
                decode_rows(ended, _ended, self.on_ignored),
                len(ended) >= MAX_LISTED_ENDS,
            )
        except MALFORMED as error:
            raise CallBrokeOff(f"the poll cannot be decoded: {error}", "poll again") from error

    def start(self, command: StartCommand, lease_until_ms: int) -> StartOutcome:
        """Start a run; repeating the call for the same run is harmless.

        Raises
        ------
        TokenRefused, WorkerChanged, CallNotSent
            Nothing was started.
        CallTimedOut, CallBrokeOff
            It may have started, or may still start before the lease ends.
        """
        body: dict[str, Any] = {
            "task": command.task,
            "runId": command.run,
            "spec": command.payload,
            "deadlineMs": lease_until_ms,
            "fencingToken": self.token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        status, fields = self._call("/run-start", body, COMMAND_SECONDS)
        if status == 200:
            return StartOutcome.STARTED
        if status == 409 and fields.get("reason") == "room":
            return StartOutcome.NO_CAPACITY
        if status == 409 and fields.get("reason") == "ticket":
            return StartOutcome.NO_TICKET
        if status in (400, 429, 503) or (status == 409 and fields.get("reason") != "fence"):
            return StartOutcome.REFUSED
        self._check(status, fields)
        return StartOutcome.UNKNOWN

    def stop(self, task: str, run: int) -> None:
        """Stop a run; this and lower runs are refused from then on."""
        body = {"task": task, "runId": run, "fencingToken": self.token}
        self._check(*self._call("/run-stop", body, COMMAND_SECONDS))

    def pace(self, task: str, run: int, percent: int) -> None:
        """Let a run work at `percent` of its speed."""
        body = {"task": task, "runId": run, "percent": percent, "fencingToken": self.token}
        self._check(*self._call("/pace", body, COMMAND_SECONDS))

    def _call(self, path: str, body: dict[str, Any], seconds: float) -> tuple[int, dict[str, Any]]:
        headers = {**JSON_HEADERS, **self.incarnation_header}
        answer = self.caller.call("POST", path, json.dumps(body).encode(), headers, seconds)
        try:
            fields = load_json_map(answer.body) if answer.body else {}
        except MALFORMED as error:
            raise CallBrokeOff(
                f"the answer cannot be decoded: {error}", "repeat the call"
            ) from error
        return answer.status, fields

    def _check(self, status: int, fields: dict[str, Any]) -> None:
        if status == 200:
            return
        if status == WRONG_INCARNATION:
            raise WorkerChanged("the worker has been restarted", "wait for its announcement")
        if status == 409 and fields.get("reason") == "fence":
            raise TokenRefused(f"token {self.token} is too low", "use a higher one")
        raise CallBrokeOff(f"the worker answered {status}", "repeat the call")


def _running(row: Any) -> ActiveRun:
    task, run, checkpoint, percent, *measurements = check_list(row)
    measurement = (measurements[0] if measurements else None) or 0.0
    return check_active_run(ActiveRun(task, run, checkpoint or "", percent, measurement))


def _ended(row: Any) -> EndedRun:
    number, task, run, how, checkpoint = check_list(row)
    return check_ended_run(EndedRun(number, task, run, how, checkpoint or ""))


def decode_announcement(worker_id: str, body: bytes) -> tuple[WorkerIdentity, int]:
    """Return what a worker announces, and the sequence number of the announcement.

    Raises
    ------
    InvalidInput
        It comes from another writer or is malformed and names no worker.
    """
    try:
        fields = load_json_map(body)
        if check_text(fields["state"]) not in STATES:
            raise ValueError(f"unknown state {shorten(fields['state'])}")
        capacity = check_map(fields["capacity"])
        identity = WorkerIdentity(
            worker_id,
            check_integer(fields["born"]) if "born" in fields else 0,
            check_text(fields["service"]),
            check_address(fields["addr"]),
            check_text(fields.get("zone", "")),
            Resources(
                check_integer(capacity["cpu"]) / 1000,  # thousandths of a core on the wire
                check_integer(capacity["memMb"]),
                check_integer(capacity.get("gpu", 0)),
            ),
            [check_text(label) for label in check_list(fields.get("labels", []))],
            fields["state"] == "draining",
            check_number(fields.get("remainingMs", 0)) / 1000,
            check_number(fields.get("coldLeftMs", 0)) / 1000,
        )
        return identity, check_integer(fields["seq"])
    except MALFORMED as error:
        raise InvalidInput(f"the announcement names no worker: {error}", "ignore it") from error
