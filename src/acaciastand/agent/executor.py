"""Execution of callers' requests at the target."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gevent.event import Event

from acaciastand.errors import Outcome
from acaciastand.host import AdmissionDecision, AdmissionResult, Host, RequestMetadata
from acaciastand.host.keyed import KeyedRequestState, KeyRecord
from acaciastand.platform.http import CallBrokeOff, CallNotSent, CallTimedOut, HttpAnswer
from acaciastand.platform.target_client import TargetClient
from acaciastand.reasons import Reason
from acaciastand.wire.codec import MAX_BODY_BYTES
from acaciastand.wire.messages import Execute, ExecuteReply

LATENCY_WEIGHT = 0.1  # Weight of the newest answer in the moving average of the latency.


class CounterSink(Protocol):
    """Interface of `acaciastand.telemetry.Counters` that the agent uses."""

    def increment(self, name: str) -> None:
        """Add one to a counter."""


class RequestExecutor:
    """Runs the requests that the host admits, and replies to all of them.

    Parameters
    ----------
    clock
        Returns monotonic seconds.

    Attributes
    ----------
    arrived_count
        Requests so far, including refused ones.
    recent_latency_seconds
        Moving average of the target's latency.
    """

    def __init__(
        self,
        host: Host,
        target: TargetClient,
        counters: CounterSink,
        clock: Callable[[], float],
    ) -> None:
        self.host = host
        self.target = target
        self.counters = counters
        self.clock = clock
        self.arrived_count = 0
        self.recent_latency_seconds = 0.0

    def execute(self, message: Execute) -> ExecuteReply:
        """Return the target's answer, or the outcome and reason when there is none.

        A request that joins a running one with the same key waits for its answer.
        """
        self.arrived_count += 1
        request = _request_metadata(message)
        admission = self.host.requests.admit(request, self.clock())
        if admission.decision is AdmissionDecision.REFUSE:
            return self._refusal_reply(request.request_id, admission)
        try:
            return self._execute_admitted(message, request, admission)
        finally:
            self.host.requests.release_connection()

    def _execute_admitted(
        self, message: Execute, request: RequestMetadata, admission: AdmissionResult
    ) -> ExecuteReply:
        record = admission.record
        if record is None or admission.decision is AdmissionDecision.RUN:
            return self._run_request(message, request, admission)
        if admission.decision is AdmissionDecision.JOIN:
            record.waiter.wait(request.timeout_seconds)
        return self._recorded_reply(request.request_id, record)

    def _run_request(
        self, message: Execute, request: RequestMetadata, admission: AdmissionResult
    ) -> ExecuteReply:
        if admission.record is not None:
            admission.record.waiter = Event()
        try:
            return self._call_target(message, request, admission.timeout_seconds)
        finally:
            if admission.record is not None:
                admission.record.waiter.set()

    def _call_target(
        self, message: Execute, request: RequestMetadata, timeout_seconds: float
    ) -> ExecuteReply:
        requests = self.host.requests
        started_at = self.clock()
        try:
            answer = self.target.execute(
                message.request_id,
                message.service,
                message.key,
                message.body,
                message.content_type,
                timeout_seconds,
            )
        except CallNotSent:
            self.host.target_up = False
            requests.record_not_run(request, self.clock())
            return self._failure_reply(request.request_id, Outcome.NOT_RUN, Reason.TARGET_DOWN)
        except (CallTimedOut, CallBrokeOff) as error:
            requests.record_unknown(request, self.clock())
            has_timed_out = isinstance(error, CallTimedOut)
            reason = Reason.TIMED_OUT if has_timed_out else Reason.TARGET_BROKE_OFF
            return self._failure_reply(request.request_id, Outcome.UNKNOWN, reason)
        except BaseException:
            requests.record_unknown(request, self.clock())
            raise
        self.recent_latency_seconds += (
            self.clock() - started_at - self.recent_latency_seconds
        ) * LATENCY_WEIGHT
        return self._record_answer(request, answer)

    def _record_answer(self, request: RequestMetadata, answer: HttpAnswer) -> ExecuteReply:
        if len(answer.body) > MAX_BODY_BYTES:
            self.host.requests.record_unknown(request, self.clock())
            return self._failure_reply(request.request_id, Outcome.UNKNOWN, Reason.BODY_TOO_LARGE)
        self.host.requests.record_answer(request, answer, len(answer.body), self.clock())
        self.counters.increment("agent.requests.answered")
        return self._answer_reply(request.request_id, answer)

    def _recorded_reply(self, request_id: str, record: KeyRecord) -> ExecuteReply:
        if record.state is KeyedRequestState.ANSWERED:
            self.counters.increment("agent.requests.recorded_answer")
            return self._answer_reply(request_id, record.answer)
        if record.state is KeyedRequestState.NOT_RUN:
            return self._failure_reply(request_id, Outcome.NOT_RUN, Reason.TARGET_DOWN)
        is_running = record.state is KeyedRequestState.RUNNING
        reason = Reason.TIMED_OUT if is_running else Reason.TARGET_BROKE_OFF
        return self._failure_reply(request_id, Outcome.UNKNOWN, reason)

    def _answer_reply(self, request_id: str, answer: HttpAnswer) -> ExecuteReply:
        return ExecuteReply(
            request_id=request_id,
            status=answer.status,
            body=answer.body,
            content_type=answer.content_type,
            in_flight=self.host.requests.slots.in_flight,
        )

    def _refusal_reply(self, request_id: str, admission: AdmissionResult) -> ExecuteReply:
        assert admission.outcome is not None and admission.reason is not None
        return self._failure_reply(request_id, admission.outcome, admission.reason)

    def _failure_reply(self, request_id: str, outcome: Outcome, reason: Reason) -> ExecuteReply:
        self.counters.increment(f"agent.requests.{outcome.value}.{reason}")
        return ExecuteReply(
            request_id=request_id,
            outcome=outcome.value,
            reason=reason,
            in_flight=self.host.requests.slots.in_flight,
        )


def _request_metadata(message: Execute) -> RequestMetadata:
    return RequestMetadata(
        message.request_id,
        message.service,
        len(message.body),
        message.timeout_ms / 1000.0,
        message.key,
        message.attempt_number,
        message.key_age_ms / 1000.0 if message.key_age_ms >= 0 else None,
    )
