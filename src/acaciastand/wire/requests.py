"""Messages that carry callers' requests to agents."""

from __future__ import annotations

from acaciastand.wire.values import Message


class Execute(Message):
    """A caller's request for the agent's target.

    Parameters
    ----------
    timeout_ms
        What is left of the deadline when the message is sent.
    attempt_number, key_age_ms
        As the caller stated them; `key_age_ms` is -1 when it did not.
    """

    __slots__ = (
        "request_id",
        "service",
        "body",
        "timeout_ms",
        "idempotent",
        "key",
        "attempt_number",
        "content_type",
        "key_age_ms",
    )
    type_number = 6

    def __init__(
        self,
        request_id: str = "",
        service: str = "",
        body: bytes = b"",
        timeout_ms: int = 0,
        idempotent: bool = False,
        key: str = "",
        attempt_number: int = 0,
        content_type: str = "",
        key_age_ms: int = -1,
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.body = body
        self.timeout_ms = timeout_ms
        self.idempotent = idempotent
        self.key = key
        self.attempt_number = attempt_number
        self.content_type = content_type
        self.key_age_ms = key_age_ms


class ExecuteReply(Message):
    """Answer to `Execute`.

    Parameters
    ----------
    status
        HTTP status of the target's answer; 0 when there is none and `reason` says why.
    outcome
        Value of `acaciastand.errors.Outcome` when there is no answer, else empty.
    in_flight
        Requests that hold a slot at the agent, for load-aware choice.
    """

    __slots__ = ("request_id", "status", "body", "content_type", "outcome", "reason", "in_flight")
    type_number = 7

    def __init__(
        self,
        request_id: str = "",
        status: int = 0,
        body: bytes = b"",
        content_type: str = "",
        outcome: str = "",
        reason: str = "",
        in_flight: int = 0,
    ) -> None:
        self.request_id = request_id
        self.status = status
        self.body = body
        self.content_type = content_type
        self.outcome = outcome
        self.reason = reason
        self.in_flight = in_flight
