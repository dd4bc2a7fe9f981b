"""Errors as JSON answers, and the limits on what callers may send."""

from __future__ import annotations

import logging
from contextlib import suppress
from typing import Any

import falcon
import gevent

from acaciastand.errors import AcaciastandError, InvalidInput, Outcome, Refused
from acaciastand.reasons import Reason
from acaciastand.telemetry import Counters
from acaciastand.wire.codec import MAX_BODY_BYTES

BODY_SECONDS = 10.0  # a caller has this long to send its body
MAX_DISCARDED_BYTES = 2 * MAX_BODY_BYTES  # read of a body that is too large
RETRY_AFTER_SECONDS = "1"
CALLER_GONE = "acaciastand.caller_gone"  # key of the WSGI environment

logger = logging.getLogger(__name__)


class BodyTooLarge(InvalidInput):
    """The body exceeds the limit; nothing was run."""

    code = str(Reason.BODY_TOO_LARGE)
    http_status = 413


class SlowCaller(Refused):
    """The body did not arrive in time; nothing was run."""

    code = "slow_caller"
    http_status = 408


class BodyIncomplete(InvalidInput):
    """The body ended early; nothing was run."""

    code = "body_incomplete"


def read_body(request: falcon.Request) -> bytes:
    """Return the complete body.

    Raises
    ------
    BodyTooLarge, SlowCaller, BodyIncomplete
        The caller is to be disconnected.
    """
    if (request.content_length or 0) > MAX_BODY_BYTES:
        _discard(request)
        raise _too_large()
    try:
        with gevent.Timeout(BODY_SECONDS, TimeoutError()):
            body = request.env["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except TimeoutError:
        raise SlowCaller(
            f"the body did not arrive within {BODY_SECONDS:g} s", "send the body without pauses"
        ) from None
    except OSError as error:
        raise BodyIncomplete(f"the body cannot be read: {error}", "send it completely") from None
    if len(body) > MAX_BODY_BYTES:
        raise _too_large()
    return body


def _discard(request: falcon.Request) -> None:
    # Closing a connection with unread data resets it, and the caller might lose the answer.
    with gevent.Timeout(BODY_SECONDS, False), suppress(OSError):
        request.env["wsgi.input"].read(MAX_DISCARDED_BYTES)


def _too_large() -> BodyTooLarge:
    return BodyTooLarge(f"the body exceeds {MAX_BODY_BYTES} bytes", "send a smaller body")


def add_error_handlers(app: falcon.App, counters: Counters) -> None:
    """Answer all errors of the application as JSON and count them by code."""

    def counted(
        request: falcon.Request,
        response: falcon.Response,
        error: AcaciastandError,
        params: dict[str, Any],
    ) -> None:
        counters.increment(f"http.errors.{error.code}")
        handle_typed(request, response, error, params)

    app.add_error_handler(Exception, _handle_unexpected)
    app.add_error_handler(falcon.HTTPError, _handle_framework)
    app.add_error_handler(AcaciastandError, counted)


def handle_typed(
    request: falcon.Request,
    response: falcon.Response,
    error: AcaciastandError,
    _params: dict[str, Any],
) -> None:
    """Write a typed error."""
    outcome = error.outcome.value if error.outcome else None
    _write(response, error.http_status, error.code, outcome, error.message, error.remedy)
    if error.http_status in (429, 503):
        response.set_header("Retry-After", RETRY_AFTER_SECONDS)
    if isinstance(error, BodyTooLarge | SlowCaller | BodyIncomplete):
        _abandon_body(request, response)


def _handle_framework(
    _request: falcon.Request,
    response: falcon.Response,
    error: falcon.HTTPError,
    _params: dict[str, Any],
) -> None:
    code = "not_found" if error.status_code == 404 else "invalid_input"
    message = error.description or error.title or "the call is not known"
    _write(response, error.status_code, code, "not_run", message, "see docs/design.md 4.4")
    for name, value in dict(error.headers or {}).items():
        response.set_header(name, value)


def _handle_unexpected(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    _params: dict[str, Any],
) -> None:
    logger.error("call failed", exc_info=error, extra={"path": request.path})
    unknown = Outcome.UNKNOWN.value  # nothing is known about how far the call got
    message = "an internal error ended the call"
    _write(response, 500, "internal_error", unknown, message, "read the log of the entry")


def _write(
    response: falcon.Response,
    status: int,
    code: str,
    outcome: str | None,
    message: str,
    remedy: str,
) -> None:
    response.status = status
    response.media = {"code": code, "outcome": outcome, "message": message, "remedy": remedy}


def _abandon_body(request: falcon.Request, response: falcon.Response) -> None:
    # The server would otherwise read the rest of the body before it takes the next request.
    stream = request.env["wsgi.input"]
    stream.content_length = 0
    stream.chunked_input = False
    response.set_header("Connection", "close")
