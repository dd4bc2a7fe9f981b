"""``/v1/jobs``."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import falcon

from acaciastand.entry.http_errors import read_body
from acaciastand.entry.http_requests import number_header, text_header
from acaciastand.entry.jobs import JobCalls
from acaciastand.errors import InvalidInput
from acaciastand.routing import Deadline

DEFAULT_TIMEOUT_MS = 10_000  # a commit takes up to 2 s at the target scale, more when it is slow


class _Timed:
    def __init__(self, jobs: JobCalls, clock: Callable[[], float]) -> None:
        self.jobs = jobs
        self.clock = clock

    def deadline(self, request: falcon.Request) -> Deadline:
        """Return the deadline that the caller stated, or the default."""
        timeout_ms = number_header(request, "Request-Timeout-Ms", DEFAULT_TIMEOUT_MS)
        return Deadline.after(self.clock(), timeout_ms)


class JobsResource(_Timed):
    """Submission of jobs."""

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Submit a job; it is accepted once it is committed."""
        deadline = self.deadline(request)
        key = text_header(request, "Idempotency-Key")
        response.media = self.jobs.submit(_json_object(read_body(request)), key, deadline)
        response.status = 201


class JobResource(_Timed):
    """One job."""

    def on_get(self, request: falcon.Request, response: falcon.Response, job_id: str) -> None:
        """Return the state of the job."""
        response.media = self.jobs.query(job_id, self.deadline(request))

    def on_delete(self, request: falcon.Request, response: falcon.Response, job_id: str) -> None:
        """Cancel the job."""
        response.media = self.jobs.cancel(job_id, self.deadline(request))


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidInput(f"the body is not JSON: {error}", "send a JSON object") from None
    if not isinstance(value, dict):
        raise InvalidInput("the body is no JSON object", "send a JSON object with the job's fields")
    return value
