"""``POST /v1/services/{service}/requests``."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import falcon

from acaciastand.entry.call import CallerRequest
from acaciastand.entry.http_errors import CALLER_GONE, read_body
from acaciastand.entry.requests import RequestService
from acaciastand.errors import InvalidInput
from acaciastand.routing import Deadline

MAX_NAME_CHARACTERS = 128  # service names and keys
MAX_NUMBER_DIGITS = 9
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class RequestsResource:
    """Requests of callers.

    Parameters
    ----------
    default_timeout_ms
        Returns the timeout of a service's requests that state none.
    """

    def __init__(
        self,
        requests: RequestService,
        default_timeout_ms: Callable[[str], int],
        clock: Callable[[], float],
    ) -> None:
        self.requests = requests
        self.default_timeout_ms = default_timeout_ms
        self.clock = clock

    def on_post(
        self, http_request: falcon.Request, response: falcon.Response, service: str
    ) -> None:
        """Run one request and write the target's answer."""
        request = self._read(http_request, service)
        response.set_header("Request-Id", request.request_id)
        request.body = read_body(http_request)
        answer = self.requests.execute(request)
        response.status = answer.status
        response.content_type = answer.content_type or DEFAULT_CONTENT_TYPE
        response.data = answer.body

    def _read(self, http_request: falcon.Request, service: str) -> CallerRequest:
        key = text_header(http_request, "Idempotency-Key")
        timeout_ms = number_header(http_request, "Request-Timeout-Ms", 0)
        idempotent = flag_header(http_request, "Idempotent")
        keyed = bool(key) and not idempotent
        _check_name("the service", service)
        request = CallerRequest(
            request_id=uuid.uuid4().hex,
            service=service,
            body=b"",
            deadline=Deadline.after(
                self.clock(), timeout_ms or self.default_timeout_ms(service), keyed
            ),
            content_type=http_request.content_type or "",
            idempotent=idempotent,
            key=key,
            attempt_number=number_header(http_request, "Attempt-Number", 0),
            key_age_ms=number_header(http_request, "Key-Age-Ms", -1),
            caller_gone=http_request.env[CALLER_GONE],
        )
        if keyed and request.attempt_number < 1:
            raise InvalidInput(
                "a request with Idempotency-Key has no Attempt-Number",
                "send Attempt-Number: 1 first and a higher one after an unknown outcome",
            )
        return request


def text_header(request: falcon.Request, name: str) -> str:
    """Return a header of at most `MAX_NAME_CHARACTERS`; empty when it is absent."""
    value = request.get_header(name) or ""
    _check_name(name, value)
    return value


def _check_name(what: str, value: str) -> None:
    if len(value) > MAX_NAME_CHARACTERS:
        raise InvalidInput(
            f"{what} has {len(value)} characters", f"use at most {MAX_NAME_CHARACTERS}"
        )


def number_header(request: falcon.Request, name: str, default: int) -> int:
    """Return a header that holds a whole number."""
    value = request.get_header(name)
    if value is None:
        return default
    if not (value.isascii() and value.isdecimal()) or len(value) > MAX_NUMBER_DIGITS:
        raise InvalidInput(
            f"{name} is {value[:40]!r}",
            f"send a whole number of at most {MAX_NUMBER_DIGITS} digits",
        )
    return int(value)


def flag_header(request: falcon.Request, name: str) -> bool:
    """Return a header that holds true or false; false when it is absent."""
    value = (request.get_header(name) or "false").lower()
    if value not in ("true", "false"):
        raise InvalidInput(f"{name} is {value[:40]!r}", "send true or false")
    return value == "true"
