"""The agent's hold on its worker: looks, leases, orders and pace."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import CallNotSent
from acaciastand.platform.tasks import INCARNATION_HEADER, TaskClient, TokenRefused, WorkerChanged
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.limits import CLOCK_DRIFT, RUN_LEASE_SECONDS
from acaciastand.workflow.pacing import Pacer, RunLimits, TailPacer
from acaciastand.workflow.reports import (
    AgentReport,
    PollResult,
    StartCommand,
    StartOutcome,
    WorkerIdentity,
)

POLL_WAIT_SECONDS = 0.35  # a look waits this long for an end
UNSTORED_PAUSE_SECONDS = 0.08  # between looks while ends wait to be stored
FAILED_POLL_PAUSE_SECONDS = 0.1  # after a look that failed
UNRESPONSIVE_POLLS = 2  # failed looks in a row after which the worker counts as silent
TOKEN_STEP = 10_000_000  # added to a token that was refused
RETRY_PAUSE_SECONDS = 0.05
MAX_CALL_DELAY_SECONDS = 13.0  # a call without an answer may take effect up to this much later
PACE_REPEAT_INTERVAL_SECONDS = 1.0  # between two repetitions of a pace that may have been overtaken

logger = logging.getLogger(__name__)


class UnconfirmedPace:
    """A change of pace without an answer, which may take effect after later ones."""

    __slots__ = ("repeat_at", "settled_at")

    def __init__(self, sent_at: float) -> None:
        self.repeat_at = sent_at + PACE_REPEAT_INTERVAL_SECONDS
        self.settled_at = sent_at + MAX_CALL_DELAY_SECONDS


class WorkerController:
    """Runs tasks on one worker for as long as the owner grants.

    Parameters
    ----------
    address
        ``ip:port`` of the worker.
    token
        First token of this life of the agent.
    on_ends
        Called when a look shows new ends.

    Attributes
    ----------
    grant_until
        End of the owner's grant on this host's clock.
    non_interfering
        Tasks that are known to disturb no service on this worker, by the owner's last answer.
    unsettled
        Starts that may still take effect, with the epoch of their owner and the time after which
        the worker rejects them as too late.
    lease_until
        Latest moment at which a run can still be alive at a worker that is not reached again.
    """

    def __init__(
        self,
        address: str,
        token: int,
        on_ends: Callable[[], None],
        metrics: Metrics,
        pacer: Pacer | None = None,
    ) -> None:
        self.client = TaskClient(address, token)
        self.on_ends = on_ends
        self.metrics = metrics
        self.pacer = pacer or TailPacer()
        self.identity: WorkerIdentity | None = None
        self.has_left = False
        self.announcement_sequence = -1
        self.grant_until = float("-inf")
        # The lease may be one of an earlier life of the agent.
        self.lease_until = now() + RUN_LEASE_SECONDS * CLOCK_DRIFT
        self.lease_end_ms = 0
        self.worker_clock_ms = 0.0
        self.worker_clock_read_at = 0.0
        self.born_ms = 0
        self.polls_begun = 0
        self.poll_number = 0
        self.last_poll: PollResult | None = None
        self.failed_polls = 0
        self.acknowledged = 0
        self.ends_stored = Event()
        self.limits: dict[str, RunLimits] = {}
        self.sent_paces: dict[tuple[str, int], int] = {}
        self.unconfirmed_paces: dict[tuple[str, int], UnconfirmedPace] = {}
        self.last_end_number = 0
        self.non_interfering: frozenset[str] = frozenset()
        self.pace_percent = 100
        self.unsettled: dict[tuple[str, int], tuple[int, float]] = {}
        self.epoch = 0
        self.settled_poll = 0
        self.epoch_began_at_poll = 0

    def begin_epoch(self, epoch: int) -> None:
        """Take note of a new owner; what former owners ordered has to settle."""
        self.epoch = epoch
        self.epoch_began_at_poll = self.polls_begun
        for task, run in list(self.unsettled):
            gevent.spawn(self.stop, task, run, now() + RUN_LEASE_SECONDS)

    def apply_announcement(self, identity: WorkerIdentity, sequence: int) -> bool:
        """Take in an announcement; False if a newer one is known."""
        if identity.born_ms < self.born_ms:
            return False
        if identity.born_ms > self.born_ms:
            self._begin_incarnation(identity.born_ms)
        elif sequence < self.announcement_sequence:
            return False
        if self.identity is None or identity.draining != self.identity.draining:
            logger.info(
                "worker announced",
                extra={
                    "worker": identity.worker_id,
                    "born_ms": identity.born_ms,
                    "draining": identity.draining,
                    "remaining_s": identity.remaining_seconds,
                },
            )
        self.announcement_sequence = sequence
        self.identity = identity
        self.has_left = False
        self.client.incarnation_header = {INCARNATION_HEADER: identity.worker_id}
        return True

    def record_departure(self) -> None:
        """Take note that the worker has left."""
        self.identity = None
        self.has_left = True

    @property
    def is_certainly_empty(self) -> bool:
        """Whether the worker has left and no longer answers, so that nothing can run on it."""
        return self.has_left and self.failed_polls >= UNRESPONSIVE_POLLS

    def report(self) -> AgentReport:
        """Return what the owner has to know."""
        result = self.last_poll
        unresponsive = self.failed_polls >= UNRESPONSIVE_POLLS
        expired = unresponsive and now() > self.lease_until
        if result is None or expired:
            return AgentReport(self.identity, lapsed=expired, silent=True)
        settled = self.settled_poll > self.epoch_began_at_poll
        return AgentReport(
            self.identity,
            self.poll_number,
            result.running,
            result.ended,
            expired,
            unresponsive,
            settled,
            self.pace_percent,
            self.pacer.tail_share,
        )

    def tasks_without_limits(self) -> list[str]:
        """Return running tasks whose limits are not known."""
        if self.last_poll is None:
            return []
        return [run.task for run in self.last_poll.running if run.task not in self.limits]

    def record_stored_ends(self, born_ms: int, number: int) -> None:
        """Take note that ends up to `number` are stored."""
        if born_ms == self.born_ms and number > self.acknowledged:
            self.acknowledged = number
            self.ends_stored.set()

    def poll_forever(self) -> None:
        """Look at the worker again and again."""
        while True:
            began = now()
            try:
                self._poll_once()
            except AcaciastandError as error:
                self._poll_failed(error)
                gevent.sleep(FAILED_POLL_PAUSE_SECONDS)
                continue
            if self._has_unstored_ends():
                self.ends_stored.clear()
                self.ends_stored.wait(UNSTORED_PAUSE_SECONDS)
            elif now() - began < UNSTORED_PAUSE_SECONDS / 2:
                gevent.sleep(UNSTORED_PAUSE_SECONDS / 2)

    def start(self, command: StartCommand, not_after: float, epoch: int) -> StartOutcome:
        """Start a run, repeating an unanswered call until `not_after`."""
        self.limits[command.task] = RunLimits(command.target_ms, command.uses_leftover)
        key = (command.task, command.run)
        self.unsettled[key] = (epoch, now() + RUN_LEASE_SECONDS * CLOCK_DRIFT)
        outcome = self._send_start(command, not_after)
        if outcome != StartOutcome.UNKNOWN:
            self.unsettled.pop(key, None)
        return outcome

    def _send_start(self, command: StartCommand, not_after: float) -> StartOutcome:
        answered = True
        while now() < min(not_after, self.grant_until):
            try:
                outcome = self.client.start(command, self._extend_lease())
            except CallNotSent:
                break
            except TokenRefused:
                self._raise_token()
            except AcaciastandError as error:
                answered = False
                self.metrics.count("worker_calls_failed", "start")
                logger.warning(
                    "start unanswered",
                    extra={"task": command.task, "run": command.run, "error": str(error)},
                )
                gevent.sleep(RETRY_PAUSE_SECONDS)
            else:
                if answered or outcome == StartOutcome.STARTED:
                    return outcome
                break
        # After a call without an answer a refusal proves nothing: the run may be over already.
        return StartOutcome.REFUSED if answered else StartOutcome.UNKNOWN

    def stop(self, task: str, run: int, not_after: float) -> bool:
        """Stop a run and return whether the worker has taken the order."""
        while now() < not_after:
            try:
                self.client.stop(task, run)
                self.unsettled.pop((task, run), None)
                return True
            except TokenRefused:
                self._raise_token()
            except AcaciastandError as error:
                self.metrics.count("worker_calls_failed", "stop")
                logger.warning(
                    "stop unanswered", extra={"task": task, "run": run, "error": str(error)}
                )
                gevent.sleep(RETRY_PAUSE_SECONDS)
        return False

    def _poll_once(self) -> None:
        self.polls_begun += 1
        number = self.polls_begun
        settled = self._is_settled()
        wait = 0.0 if self._has_unstored_ends() else POLL_WAIT_SECONDS
        # An unanswered look may have extended the lease, so a silent worker is only looked at:
        # its runs have then certainly ended once the last extension is over.
        unresponsive = self.failed_polls >= UNRESPONSIVE_POLLS
        granted = self.worker_clock_read_at and self.grant_until > now()
        lease_ms = self._extend_lease() if granted and not unresponsive else None
        # After a failure the worker may be in another life, whose ends have the same numbers; 0
        # acknowledges nothing.
        acknowledged = 0 if self.failed_polls else self.acknowledged
        try:
            result = self.client.poll(lease_ms, acknowledged, wait)
        except TokenRefused:
            self._raise_token()
            raise
        except WorkerChanged:
            self.client.incarnation_header = {}  # the next look learns which life this is
            raise
        if result.born_ms != self.born_ms:
            self._begin_incarnation(result.born_ms)
        if self.failed_polls >= UNRESPONSIVE_POLLS:
            logger.info("worker regained", extra={"failed_polls": self.failed_polls})
        self.failed_polls = 0
        self.worker_clock_ms = result.clock_ms
        self.worker_clock_read_at = now()
        newest = max((end.number for end in result.ended), default=0)
        fresh = newest > self.last_end_number
        self.last_end_number = max(newest, self.last_end_number)
        self.poll_number = number
        self.settled_poll = number if settled else self.settled_poll
        self.last_poll = result
        self._update_paces(result)
        if fresh:
            self.on_ends()

    def _poll_failed(self, error: AcaciastandError) -> None:
        self.failed_polls += 1
        self.metrics.count("worker_calls_failed", "look")
        if self.failed_polls == UNRESPONSIVE_POLLS:
            logger.warning("worker lost", extra={"error": str(error)})

    def _is_settled(self) -> bool:
        """Return whether no start of a former owner can take effect any more."""
        self.unsettled = {key: value for key, value in self.unsettled.items() if now() <= value[1]}
        return not any(epoch < self.epoch for epoch, _ in self.unsettled.values())

    def _has_unstored_ends(self) -> bool:
        ended = self.last_poll.ended if self.last_poll else []
        return any(end.number > self.acknowledged for end in ended)

    def _extend_lease(self) -> int:
        """Return the end of the lease on the worker's clock, and note when it ends at the latest.

        The worker's clock has gone on since the reading, so the lease is never longer than meant.
        """
        left = max(0.0, min(self.grant_until - now(), RUN_LEASE_SECONDS))
        age = now() - self.worker_clock_read_at if self.worker_clock_read_at else 0.0
        lease_ms = int(self.worker_clock_ms + (age / CLOCK_DRIFT + left) * 1000)
        if lease_ms > self.lease_end_ms:
            self.lease_end_ms = lease_ms
            self.lease_until = max(self.lease_until, now() + left * CLOCK_DRIFT)
        return lease_ms

    def _begin_incarnation(self, born_ms: int) -> None:
        logger.info("worker restarted", extra={"born_ms": born_ms, "former_ms": self.born_ms})
        self.born_ms = born_ms
        self.identity = None  # it may return with other room; its next announcement tells
        self.acknowledged = 0
        self.last_end_number = 0
        self.announcement_sequence = -1
        self.last_poll = None
        self.worker_clock_read_at = 0.0
        self.lease_end_ms = 0
        self.sent_paces.clear()

    def _raise_token(self) -> None:
        self.client.token += TOKEN_STEP
        logger.warning("token refused", extra={"next_token": self.client.token})

    def _update_paces(self, result: PollResult) -> None:
        pace = self.pacer.update(result.running, self.limits, self.non_interfering, now())
        self.pace_percent = pace.interfering
        running = {(run.task, run.run) for run in result.running}
        self.sent_paces = {key: value for key, value in self.sent_paces.items() if key in running}
        self.unconfirmed_paces = {
            k: value for k, value in self.unconfirmed_paces.items() if k in running
        }
        self.limits = {
            task: value
            for task, value in self.limits.items()
            if any(run.task == task for run in result.running) or len(self.limits) < 512
        }
        for run in result.running:
            limits = self.limits.get(run.task)
            if limits is None or not limits.uses_leftover:
                continue
            key = (run.task, run.run)
            is_non_interfering = (
                run.task in self.non_interfering and run.task not in self.pacer.found_interfering
            )
            percent = pace.non_interfering if is_non_interfering else pace.interfering
            if self.sent_paces.get(key, 100) != percent or self._must_repeat_pace(key):
                gevent.spawn(self._send_pace, run.task, run.run, percent)
                self.sent_paces[key] = percent

    def _must_repeat_pace(self, key: tuple[str, int]) -> bool:
        """Return whether a call without an answer may have changed the pace since the last one."""
        unconfirmed = self.unconfirmed_paces.get(key)
        if unconfirmed is None or now() < unconfirmed.repeat_at:
            return False
        if now() >= unconfirmed.settled_at:
            del self.unconfirmed_paces[key]
        else:
            unconfirmed.repeat_at = now() + PACE_REPEAT_INTERVAL_SECONDS
        return True

    def _send_pace(self, task: str, run: int, percent: int) -> None:
        try:
            self.client.pace(task, run, percent)
            logger.info("pace set", extra={"task": task, "run": run, "percent": percent})
        except AcaciastandError as error:
            self.sent_paces.pop((task, run), None)  # the next look sends it again
            self.unconfirmed_paces[(task, run)] = UnconfirmedPace(now())
            logger.warning("pace not set", extra={"task": task, "error": str(error)})
