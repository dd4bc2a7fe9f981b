"""Requests that are answered by another entry, in both directions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from acaciastand.entry.call import Answer, CallerRequest, Failure
from acaciastand.entry.peers import Peer, Peers
from acaciastand.errors import AcaciastandError, InvalidInput, Outcome
from acaciastand.reasons import Reason
from acaciastand.routing import Deadline, bucket_of
from acaciastand.wire.codec import ProtocolError
from acaciastand.wire.connection import ConnectionClosed, ReplyTimeout

CALL = "execute"

REASON_BY_ERROR: dict[type[AcaciastandError], Reason] = {
    ReplyTimeout: Reason.TIMED_OUT,
    ConnectionClosed: Reason.CONNECTION_LOST,
}


class PeerForwarder:
    """Forwards a request to one other entry, once."""

    def __init__(self, peers: Peers, clock: Callable[[], float]) -> None:
        self.peers = peers
        self.clock = clock

    def forward_execute(self, request: CallerRequest) -> Answer | Failure | None:
        """Return the other entry's result; None when no entry announces a target."""
        peer = self._peer_for(request)
        if peer is None:
            return None
        remaining = request.deadline.remaining_seconds(self.clock())
        try:
            result = self.peers.call(peer, CALL, payload_of(request), remaining)
        except ProtocolError as error:  # raised before anything was sent
            return Failure(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, error.message)
        except AcaciastandError as error:
            return Failure(
                error.outcome or Outcome.UNKNOWN,
                REASON_BY_ERROR.get(type(error), error.code),
                error.message,
            )
        return answer_of(result)

    def _peer_for(self, request: CallerRequest) -> Peer | None:
        if not request.routed_key:
            return self.peers.with_target(request.service)
        bucket = bucket_of(request.service, request.routed_key)
        return self.peers.with_bucket(bucket.service, bucket.number)


def payload_of(request: CallerRequest) -> dict[str, Any]:
    """Return the arguments of the forwarded call; the deadline travels as its timeout.

    `caller_gone` stays here: the other entry does not retry a forwarded request.
    """
    left_out = ("deadline", "forwarded", "caller_gone")
    return {name: getattr(request, name) for name in request.fields() if name not in left_out}


def request_of(payload: dict[str, Any], deadline: Deadline) -> CallerRequest:
    """Return the request of a forwarded call.

    Raises
    ------
    InvalidInput
        An argument is missing or has the wrong type.
    """
    request = CallerRequest("", "", b"", deadline, forwarded=True)
    for name in payload_of(request):
        value = payload.get(name)
        if type(value) is not type(getattr(request, name)):
            raise InvalidInput(
                f"argument {name!r} of a forwarded request is {type(value).__name__}",
                "upgrade one version at a time",
            )
        setattr(request, name, value)
    return request


def result_of(answer: Answer) -> dict[str, Any]:
    """Return an answer as the result of a forwarded call."""
    return {name: getattr(answer, name) for name in answer.fields()}


def answer_of(result: dict[str, Any]) -> Answer | Failure:
    """Return the answer in a result; one that makes no sense leaves the outcome unknown."""
    answer = Answer(0, b"", "")
    for name in answer.fields():
        value = result.get(name)
        if type(value) is not type(getattr(answer, name)):
            return Failure(
                Outcome.UNKNOWN, Reason.TARGET_BROKE_OFF, "another entry sent no complete answer"
            )
        setattr(answer, name, value)
    return answer
