"""From a caller's request to its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from acaciastand.entry.agents import AgentRegistry, AgentSession
from acaciastand.entry.call import Answer, CallerRequest, Failure, RequestRefused
from acaciastand.errors import Outcome
from acaciastand.pressure import RegionSurgeDetector
from acaciastand.reasons import Reason
from acaciastand.routing import Router, TargetView, may_retry
from acaciastand.telemetry import Counters
from acaciastand.wire.codec import ProtocolError
from acaciastand.wire.connection import ConnectionClosed, NotSent, ReplyTimeout
from acaciastand.wire.messages import Execute, ExecuteReply, Message

MAX_REQUESTS = 4096  # requests of callers in progress at one entry
REPLY_GRACE_SECONDS = 0.02  # the agent's own report of a timeout tells more than silence
# An agent that refuses for these reasons has no load, so load-aware choosers would prefer it.
UNAVAILABLE_REASONS = frozenset({Reason.TARGET_DOWN, Reason.DRAINING, Reason.RECOVERING})
LOWEST_STATUS = 100
HIGHEST_STATUS = 599


class Forwarder(Protocol):
    """Sends a request to another entry."""

    def forward_execute(self, request: CallerRequest) -> Answer | Failure | None:
        """Return the other entry's result; None when no entry announces a target."""


class RequestService:
    """Runs callers' requests on targets.

    Parameters
    ----------
    router, registry
        Targets and the sessions of their agents.
    forwarder
        Other entries.
    clock
        Seconds of the monotonic clock.
    """

    def __init__(
        self,
        router: Router,
        registry: AgentRegistry,
        forwarder: Forwarder,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self.router = router
        self.registry = registry
        self.forwarder = forwarder
        self.counters = counters
        self.clock = clock
        self.surges = RegionSurgeDetector()
        self.in_progress = 0
        self.draining = False

    def execute(self, request: CallerRequest) -> Answer:
        """Return the target's answer.

        Raises
        ------
        RequestRefused
            The request did not run.
        RequestUnknown
            The request may have run.
        """
        if self.in_progress >= MAX_REQUESTS:
            self.counters.increment(f"refused.{Reason.QUEUE_FULL}")
            raise RequestRefused(Reason.QUEUE_FULL, f"{MAX_REQUESTS} requests are in progress")
        self.in_progress += 1
        started = self.clock()
        try:
            result = self._attempts(request)
        finally:
            self.in_progress -= 1
        if isinstance(result, Failure):
            self.counters.increment(f"refused.{result.reason}")
            raise result.error()
        self.counters.timing("requests.answered", (self.clock() - started) * 1000)
        return result

    def _attempts(self, request: CallerRequest) -> Answer | Failure:
        tried: set[str] = set()
        failure: Failure | None = None
        unknown: Failure | None = None
        self._count_request(request)
        while True:
            attempts = len(tried)
            result = self._attempt(request, tried, failure)
            if isinstance(result, Answer):
                return result
            if unknown is None and result.outcome is Outcome.UNKNOWN:
                unknown = result  # a later refusal does not prove that this attempt did not run
            if len(tried) == attempts or not self._may_retry(request, result, tried):
                return unknown or result
            if request.caller_gone():
                self.counters.increment("requests.caller_gone")
                return unknown or result
            failure = result

    def _attempt(
        self, request: CallerRequest, tried: set[str], earlier: Failure | None
    ) -> Answer | Failure:
        """Make one attempt and add its agent to `tried`; a retry is paid from the budget."""
        hopeless = self._hopeless(request)
        if hopeless is not None:
            return earlier or hopeless
        target = self._select(request, tried)
        if target is None:
            return self._after_all_targets(request, earlier)
        if earlier is not None and not self._take_from_budget(request, earlier):
            message = f"the retry budget is spent; the last attempt ended with {earlier.reason}"
            return Failure(Outcome.NOT_RUN, Reason.RETRY_BUDGET_SPENT, message)
        tried.add(target.agent_id)
        return self._send(request, target)

    def _select(self, request: CallerRequest, tried: set[str]) -> TargetView | None:
        if not request.routed_key:
            return self.router.choose(request.service, tried, self.clock())
        home = self.router.home_of(request.service, request.routed_key)
        return None if home is None or home.agent_id in tried else home

    def _after_all_targets(
        self, request: CallerRequest, earlier: Failure | None
    ) -> Answer | Failure:
        """Forward a request that no target here takes; a refused one costs a retry.

        Each agent is connected to a few entries only, so others may have free slots.
        """
        if earlier is None:
            return self._elsewhere(request)
        if earlier.outcome is not Outcome.NOT_RUN or request.routed_key:
            return earlier
        if not self._take_from_budget(request, earlier):
            return earlier
        return self.forwarder.forward_execute(request) or earlier

    def _elsewhere(self, request: CallerRequest) -> Answer | Failure:
        if request.forwarded:
            return Failure(
                Outcome.NOT_RUN,
                Reason.FORWARD_LIMIT,
                f"the request was forwarded once and no target of {request.service} is here either",
            )
        result = self.forwarder.forward_execute(request)
        if result is not None:
            return result
        if request.routed_key:
            message = f"no agent announces the bucket of this key of {request.service}"
            return Failure(Outcome.NOT_RUN, Reason.BUCKET_NOT_HELD, message)
        message = f"no target accepts requests of {request.service}"
        return Failure(Outcome.NOT_RUN, Reason.NO_TARGET, message)

    def _hopeless(self, request: CallerRequest) -> Failure | None:
        now = self.clock()
        service = self.router.services.get(request.service)
        usual = service.health.lowest_latency_seconds(now) if service else None
        if not request.deadline.is_too_short(now, usual):
            return None
        remaining = request.deadline.remaining_seconds(now)
        reason = Reason.DEADLINE_TOO_SHORT if remaining else Reason.DEADLINE_PASSED
        message = f"{remaining * 1000:.1f} ms are left of the deadline"
        return Failure(Outcome.NOT_RUN, reason, message)

    def _count_request(self, request: CallerRequest) -> None:
        service = self.router.services.get(request.service)
        if service is not None and not request.forwarded:
            service.budget.record_request(self.clock())
            self.surges.count(request.service)

    def _may_retry(self, request: CallerRequest, failure: Failure, tried: set[str]) -> bool:
        return may_retry(
            failure.outcome, failure.reason, request.idempotent, len(tried), request.forwarded
        )

    def _take_from_budget(self, request: CallerRequest, earlier: Failure) -> bool:
        # A draining agent refuses before it does any work, so going elsewhere adds no load; without
        # this exception a planned stop would refuse requests of a service with little load.
        service = self.router.services.get(request.service)
        free = earlier.reason is Reason.DRAINING
        if service is None or not (free or service.budget.try_acquire(self.clock())):
            return False
        self.counters.increment(f"retried.{earlier.reason}")
        return True

    def _send(self, request: CallerRequest, target: TargetView) -> Answer | Failure:
        session = self.registry.get(target.agent_id)
        if session is None:
            return Failure(Outcome.NOT_RUN, Reason.NO_TARGET, "the agent has just left")
        started = self.clock()
        target.own_in_flight += 1
        try:
            result = self._exchange(request, target, session)
        finally:
            target.own_in_flight -= 1
        self._record_health(request, target, result, started)
        return result

    def _exchange(
        self, request: CallerRequest, target: TargetView, session: AgentSession
    ) -> Answer | Failure:
        now = self.clock()
        message = _execute_message(request, request.deadline.remaining_ms(now))
        timeout = request.deadline.remaining_seconds(now) + REPLY_GRACE_SECONDS
        try:
            reply = session.request(message, timeout)
        except NotSent as error:
            return Failure(Outcome.NOT_RUN, Reason.NO_CONNECTION, error.message)
        except ProtocolError as error:  # raised before anything was sent
            return Failure(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, error.message)
        except ReplyTimeout as error:
            return Failure(Outcome.UNKNOWN, Reason.TIMED_OUT, error.message)
        except ConnectionClosed as error:
            return Failure(Outcome.UNKNOWN, Reason.CONNECTION_LOST, error.message)
        if isinstance(reply, ExecuteReply) and reply.request_id == request.request_id:
            target.update_load(max(reply.in_flight, 0))
            if reply.reason in UNAVAILABLE_REASONS:
                target.healthy = False  # until the next heartbeat says otherwise
        return result_of(request.request_id, reply)

    def _record_health(
        self,
        request: CallerRequest,
        target: TargetView,
        result: Answer | Failure,
        started: float,
    ) -> None:
        service = self.router.services.get(request.service)
        if service is None:
            return
        now = self.clock()
        if isinstance(result, Answer):
            service.health.record_result(target.agent_id, True, now - started, now)
        elif result.outcome is Outcome.UNKNOWN:
            service.health.record_result(target.agent_id, False, now - started, now)


def _execute_message(request: CallerRequest, timeout_ms: int) -> Execute:
    return Execute(
        request_id=request.request_id,
        service=request.service,
        body=request.body,
        timeout_ms=timeout_ms,
        idempotent=request.idempotent,
        key=request.routed_key,
        attempt_number=request.attempt_number,
        content_type=request.content_type,
        key_age_ms=request.key_age_ms,
    )


def result_of(request_id: str, reply: Message) -> Answer | Failure:
    """Return what a reply says; a reply that makes no sense leaves the outcome unknown."""
    if not isinstance(reply, ExecuteReply) or reply.request_id != request_id:
        return Failure(
            Outcome.UNKNOWN, Reason.TARGET_BROKE_OFF, "the agent answered another request"
        )
    if LOWEST_STATUS <= reply.status <= HIGHEST_STATUS:
        return Answer(reply.status, reply.body, reply.content_type)
    reason = reply.reason or Reason.TARGET_BROKE_OFF
    message = f"the agent reported {reason}"
    if reply.status == 0 and reply.outcome == Outcome.NOT_RUN.value:
        return Failure(Outcome.NOT_RUN, reason, message)
    return Failure(Outcome.UNKNOWN, reason, message)
