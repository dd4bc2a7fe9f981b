"""Stand-in for the operators' placement service."""

from __future__ import annotations

import json
import time
from typing import Any

import gevent
from gevent.lock import Semaphore
from gevent.pywsgi import WSGIServer

from acaciastand.record import Record
from acaciastand.wire.connection import split_address

DECIDE_SECONDS = 0.02
WORKER_SECONDS = 0.002
VALID_SECONDS = 2.0


class IssuedTicket(Record):
    """A ticket for the tasks of one step on one worker."""

    __slots__ = ("step", "worker_id", "expires_at")

    def __init__(self, step: str, worker_id: str, expires_at: float) -> None:
        self.step = step
        self.worker_id = worker_id
        self.expires_at = expires_at


class AdviceStandIn:
    """Answers one question at a time.

    Attributes
    ----------
    allowed
        Ids of the workers that may run any step.
    requests
        Numbers of workers named in each question.
    """

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        self.allowed: set[str] = set()
        self.requests: list[int] = []
        self.issued: dict[str, IssuedTicket] = {}
        self.turn = Semaphore()
        self.server = WSGIServer(split_address(address), self._serve, log=None, error_log=None)

    @property
    def address(self) -> str:
        """Address that the server is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Bind and serve."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop(0.1)

    def valid(self, text: str, step: str, worker_id: str) -> bool:
        """Return whether a ticket allows a start."""
        ticket = self.issued.get(text)
        return (
            ticket is not None
            and (ticket.step, ticket.worker_id) == (step, worker_id)
            and time.monotonic() < ticket.expires_at
        )

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        fields = json.loads(environ["wsgi.input"].read())
        workers = fields["workers"]
        self.requests.append(len(workers))
        with self.turn:
            gevent.sleep(DECIDE_SECONDS + WORKER_SECONDS * len(workers))
        good = [[w, self._issue(fields["step"], w)] for w in workers if w in self.allowed]
        data = json.dumps({"good": good, "validityMs": int(VALID_SECONDS * 1000)}).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]

    def _issue(self, step: str, worker_id: str) -> str:
        text = f"ticket-{len(self.issued)}"
        self.issued[text] = IssuedTicket(step, worker_id, time.monotonic() + VALID_SECONDS)
        return text
