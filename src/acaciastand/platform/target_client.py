"""Client of the target on this host."""

from __future__ import annotations

import json

from acaciastand.platform.http import CallBrokeOff, CallNotSent, HttpAnswer, HttpCaller
from acaciastand.record import Record

STATUS_SECONDS = 1.0
OK = 200


class TargetStatus(Record):
    """Health of the target and the ids of the requests it runs."""

    __slots__ = ("healthy", "active")

    def __init__(self, healthy: bool, active: list[str]) -> None:
        self.healthy = healthy
        self.active = active


class TargetClient:
    """Sends requests to the target.

    Parameters
    ----------
    url
        Base URL of the target.
    """

    def __init__(self, url: str) -> None:
        self.caller = HttpCaller(url)

    def status(self) -> TargetStatus:
        """Return health and active requests; a target that refuses connections runs none.

        Raises
        ------
        CallTimedOut, CallBrokeOff
            Nothing is known.
        """
        try:
            answer = self.caller.call("GET", "/v1/target", timeout_seconds=STATUS_SECONDS)
        except CallNotSent:
            return TargetStatus(False, [])
        try:
            fields = json.loads(answer.body)
            return TargetStatus(
                answer.status == OK and bool(fields["healthy"]), [str(i) for i in fields["active"]]
            )
        except (ValueError, KeyError, TypeError) as error:
            raise CallBrokeOff(
                f"the target's status is malformed: {error!r}", "check the target's version"
            ) from error

    def execute(
        self,
        request_id: str,
        service: str,
        key: str,
        body: bytes,
        content_type: str,
        timeout_seconds: float,
    ) -> HttpAnswer:
        """Run one request, never twice.

        Raises
        ------
        CallNotSent
            The request did not run.
        CallTimedOut, CallBrokeOff
            The request may have run.
        """
        headers = {
            "Request-Id": request_id,
            "Service": service,
            "Content-Type": content_type or "application/octet-stream",
        }
        if key:
            headers["Idempotency-Key"] = key
        return self.caller.call("POST", "/v1/requests", body, headers, timeout_seconds)

    def close(self) -> None:
        """Close the kept connections."""
        self.caller.close()
