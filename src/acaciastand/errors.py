"""Typed errors with stable codes; each message names the remedy."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """What a refusal says about the work it refused."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class AcaciastandError(Exception):
    """Base of all errors of the system.

    Parameters
    ----------
    message
        What is wrong, with the values involved.
    remedy
        What the reader can do about it.
    """

    code = "internal_error"
    outcome: Outcome | None = None
    http_status = 500
    exit_code = 1

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class InvalidInput(AcaciastandError):
    """The caller or operator sent something that can never be accepted as it is."""

    code = "invalid_input"
    outcome = Outcome.NOT_RUN
    http_status = 400
    exit_code = 2


class NotFound(AcaciastandError):
    """The named object does not exist."""

    code = "not_found"
    outcome = Outcome.NOT_RUN
    http_status = 404
    exit_code = 3


class Conflict(AcaciastandError):
    """The object changed since the caller read it."""

    code = "conflict"
    outcome = Outcome.NOT_RUN
    http_status = 409
    exit_code = 4


class Refused(AcaciastandError):
    """The work was refused before anything ran; it is safe to send again later."""

    code = "refused"
    outcome = Outcome.NOT_RUN
    http_status = 503
    exit_code = 5


class OutcomeUnknown(AcaciastandError):
    """The work may have run; sending it again may repeat it."""

    code = "outcome_unknown"
    outcome = Outcome.UNKNOWN
    http_status = 504
    exit_code = 6
