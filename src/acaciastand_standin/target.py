"""Stand-in of a target: answers after a service time and counts executions."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import gevent
from gevent.event import Event

from acaciastand_standin.http import Answer, Truncated, serve_json
from acaciastand_standin.serving import serve_until_signal


class Target:
    """Executes requests.

    Parameters
    ----------
    service_seconds
        Time that each request takes.

    Attributes
    ----------
    break_off
        Number of next answers that are truncated after their execution.
    """

    def __init__(self, service_seconds: float = 0.005) -> None:
        self.service_seconds = service_seconds
        self.break_off = 0
        self.healthy = True
        self.thawed = Event()
        self.thawed.set()
        self.active: set[str] = set()
        self.most_active = 0
        self.by_request: Counter[str] = Counter()
        self.by_key: Counter[str] = Counter()

    def answer(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Answer:
        """Handle one call; a frozen target answers nothing but audits and fault settings."""
        if path == "/v1/audit":
            return 200, self._audit()
        if path == "/v1/faults":
            return self._set_faults(json.loads(body))
        self.thawed.wait()
        if method == "GET":
            return 200, {"healthy": self.healthy, "active": sorted(self.active)}
        return self._execute(body, headers)

    def _execute(self, body: bytes, headers: dict[str, str]) -> Answer:
        request_id = headers.get("request-id", "")
        self.by_request[request_id] += 1
        if "idempotency-key" in headers:
            self.by_key[headers["idempotency-key"]] += 1
        self.active.add(request_id)
        self.most_active = max(self.most_active, len(self.active))
        try:
            gevent.sleep(self.service_seconds)
            self.thawed.wait()
        finally:
            self.active.discard(request_id)
        result = b"answer to " + request_id.encode() + b": " + body
        if self.break_off:
            self.break_off -= 1
            return 200, Truncated(result)
        return 200, result

    def _audit(self) -> dict[str, Any]:
        return {
            "executions": self.by_request.total(),
            "executions_by_request": self.by_request,
            "executions_by_key": self.by_key,
            "most_active": self.most_active,
        }

    def _set_faults(self, fields: dict[str, Any]) -> Answer:
        self.service_seconds = float(fields.get("service_seconds", self.service_seconds))
        self.break_off = int(fields.get("break_off", self.break_off))
        self.healthy = bool(fields.get("healthy", self.healthy))
        if fields.get("frozen", not self.thawed.is_set()):
            self.thawed.clear()
        else:
            self.thawed.set()
        return 200, {}


def serve(listen: str, service_seconds: float = 0.005) -> None:
    """Serve one target on ``ip:port`` until killed."""
    serve_until_signal(serve_json(listen, Target(service_seconds).answer), "target")
