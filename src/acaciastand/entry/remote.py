"""Calls between entries as `Forward` and `ForwardReply`."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from acaciastand.errors import AcaciastandError, Outcome
from acaciastand.wire.messages import Forward, ForwardReply, Message

INTERNAL_ERROR_STATUS = 500

logger = logging.getLogger(__name__)

# Handles (call, payload, timeout in seconds) and returns the result.
CallHandler = Callable[[str, dict[str, Any], float], dict[str, Any]]


class RemoteError(AcaciastandError):
    """An error that another entry returned, with its code, outcome and status."""

    code = "remote_error"
    outcome: Outcome | None = Outcome.UNKNOWN

    def __init__(self, reply: ForwardReply) -> None:
        super().__init__(reply.message, reply.remedy)
        self.code = reply.code
        self.outcome = _outcome(reply.outcome)
        self.http_status = reply.status or INTERNAL_ERROR_STATUS


class UnexpectedReply(AcaciastandError):
    """Another entry answered with a message of another type; the call may have taken effect."""

    code = "unexpected_reply"
    outcome = Outcome.UNKNOWN
    http_status = 502


def answer_forward(handler: CallHandler, message: Forward) -> ForwardReply:
    """Run a forwarded call and return its result or error."""
    try:
        return ForwardReply(handler(message.call, message.payload, message.timeout_ms / 1000))
    except AcaciastandError as error:
        return ForwardReply(
            code=error.code,
            outcome=error.outcome.value if error.outcome else "",
            message=error.message,
            remedy=error.remedy,
            status=error.http_status,
        )
    except Exception:
        # The other entry must get an answer, and nothing is known about how far the call got.
        logger.exception("forwarded call failed", extra={"call": message.call})
        return ForwardReply(
            code="internal_error",
            outcome=Outcome.UNKNOWN.value,
            message="an internal error ended the call",
            remedy="read the log of the entry",
            status=INTERNAL_ERROR_STATUS,
        )


def result_of_forward(reply: Message) -> dict[str, Any]:
    """Return the result of a forwarded call; raises the error that it carries."""
    if not isinstance(reply, ForwardReply):
        raise UnexpectedReply(
            f"another entry answered with {type(reply).__name__}", "upgrade one version at a time"
        )
    if reply.code:
        raise RemoteError(reply)
    return reply.result


def _outcome(value: str) -> Outcome:
    # Anything but a clear statement that nothing ran leaves the outcome unknown.
    return Outcome.NOT_RUN if value == Outcome.NOT_RUN.value else Outcome.UNKNOWN
