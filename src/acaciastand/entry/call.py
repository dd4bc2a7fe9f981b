"""A caller's request, its answer, and the errors a caller can receive instead."""

from __future__ import annotations

from collections.abc import Callable

from acaciastand.errors import Outcome, OutcomeUnknown, Refused
from acaciastand.reasons import Reason
from acaciastand.record import Record
from acaciastand.routing import Deadline

TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502

# More load makes these more frequent, so callers should slow down.
OVERLOAD_REASONS = frozenset(
    {Reason.NO_SLOT, Reason.NO_CONNECTION, Reason.QUEUE_FULL, Reason.RETRY_BUDGET_SPENT}
)
BROKEN_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.TARGET_BROKE_OFF})


class RequestRefused(Refused):
    """A request was refused and did not run."""

    def __init__(self, reason: str, message: str, remedy: str = "send it again later") -> None:
        super().__init__(message, remedy)
        self.code = str(reason)
        self.http_status = TOO_MANY_REQUESTS if reason in OVERLOAD_REASONS else 503


class RequestUnknown(OutcomeUnknown):
    """A request may have run, and its answer is lost."""

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message, "check whether it took effect before you send it again")
        self.code = str(reason)
        self.http_status = BAD_GATEWAY if reason in BROKEN_REASONS else 504


class CallerRequest(Record):
    """One request of a caller.

    Parameters
    ----------
    request_id
        Unique; the same for all attempts.
    key, attempt_number, key_age_ms
        As the caller stated them; empty, 0 and -1 when it did not.
    deadline
        When the caller stops waiting.
    forwarded
        Whether another entry received the request and forwarded it here.
    caller_gone
        Returns whether the caller has closed its connection.
    """

    __slots__ = (
        "request_id",
        "service",
        "body",
        "content_type",
        "idempotent",
        "key",
        "attempt_number",
        "key_age_ms",
        "deadline",
        "forwarded",
        "caller_gone",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        body: bytes,
        deadline: Deadline,
        content_type: str = "",
        idempotent: bool = False,
        key: str = "",
        attempt_number: int = 0,
        key_age_ms: int = -1,
        forwarded: bool = False,
        caller_gone: Callable[[], bool] = lambda: False,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.body = body
        self.content_type = content_type
        self.idempotent = idempotent
        self.key = key
        self.attempt_number = attempt_number
        self.key_age_ms = key_age_ms
        self.deadline = deadline
        self.forwarded = forwarded
        self.caller_gone = caller_gone

    @property
    def routed_key(self) -> str:
        """Key that decides the target; idempotent requests may run anywhere."""
        return "" if self.idempotent else self.key


class Answer(Record):
    """The target's complete answer."""

    __slots__ = ("status", "body", "content_type")

    def __init__(self, status: int, body: bytes, content_type: str) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type


class Failure(Record):
    """An attempt without an answer."""

    __slots__ = ("outcome", "reason", "message")

    def __init__(self, outcome: Outcome, reason: str, message: str) -> None:
        self.outcome = outcome
        self.reason = reason
        self.message = message

    def error(self) -> RequestRefused | RequestUnknown:
        """Return the error for the caller."""
        if self.outcome is Outcome.NOT_RUN:
            return RequestRefused(self.reason, self.message)
        return RequestUnknown(self.reason, self.message)
