"""Control of a worker by the agent beside it: polls, leases, starts, stops and pace."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult, Event

from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.pace_sender import PaceSender
from acaciastand.cluster.repeated_stops import RepeatedStops
from acaciastand.cluster.run_lease import RunLease
from acaciastand.cluster.unanswered_starts import UnansweredStarts
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import CallBrokeOff, CallNotSent, CallTimedOut
from acaciastand.platform.tasks import INCARNATION_HEADER, TaskClient, TokenRefused, WorkerChanged
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.crash_witness import CrashWitness
from acaciastand.workflow.headroom_pacing import HeadroomPacer
from acaciastand.workflow.pacing import FULL_PERCENT, BatchCost, Pacer, RunLimits
from acaciastand.workflow.reports import (
    AgentReport,
    PollPosition,
    PollResult,
    StartCommand,
    StartOutcome,
    WorkerIdentity,
)

POLL_WAIT_SECONDS = 0.35  # Longest time that a poll waits for a run to end.
UNSTORED_PAUSE_SECONDS = 0.08  # Pause between polls while ends of runs wait to be stored.
FAILED_POLL_PAUSE_SECONDS = 0.1  # Pause after a failed poll.
UNRESPONSIVE_POLLS = 2  # Failed polls in a row after which the worker counts as unresponsive.
TOKEN_STEP = 10_000_000  # Increment of a fencing token that the worker refused.
RETRY_PAUSE_SECONDS = 0.05  # Pause before a failed start or stop is repeated.
MAX_RETRY_PAUSE_SECONDS = 0.4  # Pauses between stops of one run double up to this.
INCARNATION_BITS = 53  # Size of the random number of an incarnation of the agent.

logger = logging.getLogger(__name__)


class WorkerController:
    """Runs tasks on one worker for as long as the owner grants.

    Times are seconds on the clock of `now` unless stated otherwise.

    Parameters
    ----------
    address
        ``ip:port`` of the worker.
    token
        First fencing token of this incarnation of the agent.
    on_ends
        Called when a poll returns ends of runs that are new.
    max_lease_seconds
        Longest lease that the worker grants.
    pacer
        Decides on the pace of batch tasks; a `HeadroomPacer` by default.

    Attributes
    ----------
    identity
        Last announcement of the worker; None before the first of its incarnation, or after it left.
    has_left
        Whether the worker has deregistered and not been announced again.
    announcement_sequence
        Sequence number of the last announcement; -1 before the first.
    grant_until
        End of the owner's grant.
    lease
        Lease of the runs at the worker.
    born_ms
        Start time of the worker in Unix milliseconds; identifies its incarnation.
    agent_incarnation
        Random number that identifies this incarnation of the agent.
    polls_begun
        Number of polls that have begun.
    poll_number, last_poll
        Number and result of the last successful poll.
    failed_polls
        Number of failed polls since the last successful one.
    refuses_connections
        Whether the last failed poll found that nothing listens at the worker's address.
    crash_witness
        Runs that are on the worker, and its last crash.
    acknowledged
        Number of the worker's last end whose effect is stored.
    ends_stored
        Set when `acknowledged` rises.
    last_end_number
        Highest number of an end that a poll has returned.
    limits
        Latency target of each task and whether it uses leftover processor time.
    costs
        What the batch tasks take from the services on this worker, by the owner's last grant.
    starting
        Epoch of the owner of each start in progress, by task and run.
    unanswered_starts
        Starts that have ended without an answer and may still take effect.
    stops
        Results of the stops in progress, by task and run.
    repeated_stops
        Stops of runs whose starts may still take effect.
    epoch
        Highest epoch of an owner that this agent has accepted.
    epoch_began_at_poll
        Number of polls that had begun when that epoch was accepted.
    unsettled
        Starts of former owners that could still take effect when the last successful poll began.
    """

    def __init__(
        self,
        address: str,
        token: int,
        on_ends: Callable[[], None],
        metrics: Metrics,
        max_lease_seconds: float,
        pacer: Pacer | None = None,
    ) -> None:
        ignored = IgnoredValues(metrics, now)
        self.client = TaskClient(address, token, ignored.recorder("poll"))
        self.on_ends = on_ends
        self.metrics = metrics
        self.pacer = pacer or HeadroomPacer()
        self.identity: WorkerIdentity | None = None
        self.has_left = False
        self.announcement_sequence = -1
        self.grant_until = float("-inf")
        self.lease = RunLease(max_lease_seconds, now())
        self.born_ms = 0
        self.agent_incarnation = secrets.randbits(INCARNATION_BITS)
        self.polls_begun = 0
        self.poll_number = 0
        self.last_poll: PollResult | None = None
        self.failed_polls = 0
        self.refuses_connections = False
        self.crash_witness = CrashWitness()
        self.acknowledged = 0
        self.ends_stored = Event()
        self.limits: dict[str, RunLimits] = {}
        self.pace_sender = PaceSender(self._send_pace)
        self.last_end_number = 0
        self.costs: dict[str, BatchCost] = {}
        self.pace_percent = FULL_PERCENT
        self.starting: dict[tuple[str, int], int] = {}
        self.unanswered_starts = UnansweredStarts()
        self.stops: dict[tuple[str, int], AsyncResult] = {}
        self.repeated_stops = RepeatedStops(self.stop, self._may_take_effect)
        self.epoch = 0
        self.unsettled: set[tuple[str, int]] = set()
        self.epoch_began_at_poll = 0

    def begin_epoch(self, epoch: int) -> None:
        """Follow a new owner, and stop all runs that former owners may still be starting."""
        self.epoch = epoch
        self.epoch_began_at_poll = self.polls_begun
        self.repeated_stops.add([*self.starting, *self.unanswered_starts.unsettled(now())])

    def apply_announcement(self, identity: WorkerIdentity, sequence: int) -> bool:
        """Adopt an announcement of the worker; return False if a newer one is known."""
        if identity.born_ms < self.born_ms:
            return False
        if identity.born_ms > self.born_ms:
            self._begin_incarnation(identity.born_ms)
        elif sequence < self.announcement_sequence:
            return False
        if (
            self.identity is None
            or identity.draining != self.identity.draining
            or identity.capacity != self.identity.capacity
        ):
            logger.info(
                "worker announced",
                extra={
                    "worker": identity.worker_id,
                    "born_ms": identity.born_ms,
                    "draining": identity.draining,
                    "remaining_s": identity.remaining_seconds,
                    "capacity": list(identity.capacity.values()),
                },
            )
        self.announcement_sequence = sequence
        self.identity = identity
        self.has_left = False
        self.client.incarnation_header = {INCARNATION_HEADER: identity.worker_id}
        return True

    def record_departure(self) -> None:
        """Record that the worker has deregistered."""
        self.identity = None
        self.has_left = True

    @property
    def is_certainly_empty(self) -> bool:
        """Whether the worker has left and no longer answers, so that nothing can run on it."""
        return self.has_left and self.failed_polls >= UNRESPONSIVE_POLLS

    def report(self) -> AgentReport:
        """Return the report for the owner: worker, runs, ends, pace and state of the lease."""
        result = self.last_poll
        position = PollPosition(self.agent_incarnation, self.poll_number)
        unresponsive = self.failed_polls >= UNRESPONSIVE_POLLS
        # A start in progress may still begin a run.
        expired = unresponsive and now() > self.lease.alive_until and not self.starting
        if expired and self.refuses_connections:
            self._record_crash()
        crashes = self.crash_witness.crashes
        alive_seconds = max(0.0, self.lease.alive_until - now())
        if result is None or expired:
            return AgentReport(
                self.identity,
                lapsed=expired,
                silent=True,
                crashes=crashes,
                alive_seconds=alive_seconds,
            )
        is_of_epoch = self.poll_number > self.epoch_began_at_poll
        return AgentReport(
            self.identity,
            position,
            result.running,
            result.ended,
            expired,
            unresponsive,
            is_of_epoch and not self.unsettled,
            self.pace_percent,
            self.pacer.tail_share,
            crashes,
            result.has_more_ends,
            alive_seconds,
            [run.task for run in result.running if run.task not in self.limits],
            sorted(self.unsettled) if is_of_epoch else [],
        )

    def record_stored_ends(self, born_ms: int, number: int) -> None:
        """Record that the effects of all ends up to `number` of an incarnation are stored."""
        if born_ms == self.born_ms and number > self.acknowledged:
            self.acknowledged = number
            self.ends_stored.set()

    def poll_forever(self) -> None:
        """Poll the worker until the greenlet is killed."""
        while True:
            started_at = now()
            try:
                self._poll_once()
            except AcaciastandError as error:
                self._poll_failed(error)
                gevent.sleep(FAILED_POLL_PAUSE_SECONDS)
                continue
            if self._has_unstored_ends():
                self.ends_stored.clear()
                self.ends_stored.wait(UNSTORED_PAUSE_SECONDS)
            elif now() - started_at < UNSTORED_PAUSE_SECONDS / 2:
                gevent.sleep(UNSTORED_PAUSE_SECONDS / 2)

    def start(self, command: StartCommand, not_after: float, epoch: int) -> StartOutcome:
        """Start a run, repeating an unanswered call.

        Parameters
        ----------
        command
            Task, run and the arguments of the start.
        not_after
            Time after which no call is begun.
        epoch
            Epoch of the owner that sent the command.
        """
        self.limits[command.task] = RunLimits(command.target_ms, command.uses_leftover)
        key = (command.task, command.run)
        self.crash_witness.record_start(command.task, command.run, now())
        self.starting[key] = epoch
        try:
            outcome = self._send_start(command, not_after, epoch, self.born_ms)
        finally:
            del self.starting[key]
        if outcome == StartOutcome.UNKNOWN:
            self.unanswered_starts.record(command.task, command.run, epoch, now())
        elif outcome == StartOutcome.STARTED:
            self.crash_witness.confirm_start(command.task, command.run)
        else:
            self.crash_witness.discard_start(command.task, command.run)
        return outcome

    def _send_start(
        self, command: StartCommand, not_after: float, epoch: int, born_ms: int
    ) -> StartOutcome:
        """Send a start to the incarnation `born_ms` of the worker, which may restart meanwhile.

        Nothing is sent for an owner that has been succeeded, or once the run is to be stopped.
        """
        all_answered = True
        while (
            now() < min(not_after, self.grant_until)
            and self.born_ms == born_ms
            and self.epoch <= epoch
            and (command.task, command.run) not in self.stops
        ):
            lease_ms = self.lease.extend(self.grant_until, now())
            if lease_ms is None:  # The next poll shows which incarnation answers.
                gevent.sleep(RETRY_PAUSE_SECONDS)
                continue
            try:
                outcome = self.client.start(command, lease_ms)
            except CallNotSent:
                break
            except TokenRefused:
                self._raise_token()
            except AcaciastandError as error:
                all_answered = False
                self.lease.record_unanswered(now())
                if isinstance(error, CallTimedOut):
                    self.lease.record_timed_out_start(now())
                self.metrics.count("worker_calls_failed", "start")
                logger.warning(
                    "start unanswered",
                    extra={"task": command.task, "run": command.run, "error": str(error)},
                )
                gevent.sleep(RETRY_PAUSE_SECONDS)
            else:
                if self.born_ms != born_ms:
                    return StartOutcome.UNKNOWN
                if all_answered or outcome == StartOutcome.STARTED:
                    return outcome
                break
        # After an unanswered call a refusal proves nothing, since the run may have ended already.
        return StartOutcome.REFUSED if all_answered else StartOutcome.UNKNOWN

    def stop(self, task: str, run: int, not_after: float) -> bool:
        """Stop a run, repeating an unanswered call, and return whether the worker accepted it.

        No call is begun after `not_after`. The owner repeats its command meanwhile; all commands
        for one run share the calls of the first.
        """
        key = (task, run)
        if key in self.stops:
            return bool(self.stops[key].get())
        result = self.stops[key] = AsyncResult()
        accepted = False
        try:
            accepted = self._send_stop(task, run, not_after)
        finally:
            del self.stops[key]
            result.set(accepted)
        return accepted

    def _send_stop(self, task: str, run: int, not_after: float) -> bool:
        pause = RETRY_PAUSE_SECONDS
        while now() < not_after:
            born_ms = self.born_ms
            try:
                self.client.stop(task, run)
                if self.born_ms == born_ms:
                    self.unanswered_starts.record_stop(task, run)
                return True
            except TokenRefused:
                self._raise_token()
            except AcaciastandError as error:
                self.metrics.count("worker_calls_failed", "stop")
                if pause == RETRY_PAUSE_SECONDS:
                    logger.warning(
                        "stop unanswered", extra={"task": task, "run": run, "error": str(error)}
                    )
                gevent.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)
        return False

    def _poll_once(self) -> None:
        self.polls_begun += 1
        began_at = now()
        poll_number = self.polls_begun
        unsettled = self._unsettled_starts()
        wait_seconds = 0.0 if self._has_unstored_ends() else POLL_WAIT_SECONDS
        # After an unanswered call no lease is sent until a poll is answered. The runs of a worker
        # that is lost have thus certainly ended once the lease expires.
        is_granted = self.grant_until > now()
        lease_ms = self.lease.extend(self.grant_until, now()) if is_granted else None
        # After a failed poll the worker may be in another incarnation, whose ends have the same
        # numbers. 0 acknowledges none of them.
        acknowledged = 0 if self.failed_polls else self.acknowledged
        born_ms = self.born_ms
        try:
            result = self.client.poll(lease_ms, acknowledged, wait_seconds)
        except TokenRefused:
            self._raise_token()
            raise
        except WorkerChanged:
            # The next poll is for any incarnation and returns which one answers.
            self.client.incarnation_header = {}
            raise
        except (CallTimedOut, CallBrokeOff):
            if lease_ms is not None:
                self.lease.record_unanswered(now())
            raise
        if self.born_ms not in (born_ms, result.born_ms):
            raise CallBrokeOff("the worker restarted during a poll", "poll again")
        if result.born_ms != self.born_ms:
            self._begin_incarnation(result.born_ms)
            unsettled |= self._unsettled_starts()  # The new incarnation may carry out more.
        if self.failed_polls >= UNRESPONSIVE_POLLS:
            logger.info("worker regained", extra={"failed_polls": self.failed_polls})
        self.failed_polls = 0
        self.crash_witness.record_poll(result.born_ms, result.running, began_at)
        self.lease.record_clock(result.clock_ms, now())
        newest = max((end.number for end in result.ended), default=0)
        has_new_ends = newest > self.last_end_number
        self.last_end_number = max(newest, self.last_end_number)
        self.poll_number = poll_number
        self.unsettled = unsettled
        self.last_poll = result
        self._update_paces(result)
        if has_new_ends:
            self.on_ends()

    def _poll_failed(self, error: AcaciastandError) -> None:
        self.failed_polls += 1
        self.refuses_connections = isinstance(error, CallNotSent)
        if self.refuses_connections:
            self.lease.record_refused()
        else:
            self.lease.forget_clock()
        self.crash_witness.record_failure(now())
        self.metrics.count("worker_calls_failed", "look")
        if self.failed_polls == UNRESPONSIVE_POLLS:
            logger.warning("worker lost", extra={"error": str(error)})

    def _unsettled_starts(self) -> set[tuple[str, int]]:
        """Return the starts of former owners that may still take effect."""
        epochs = {**self.starting, **self.unanswered_starts.unsettled(now())}
        return {key for key, epoch in epochs.items() if epoch < self.epoch}

    def _may_take_effect(self, key: tuple[str, int]) -> bool:
        return key in self.starting or key in self.unanswered_starts.unsettled(now())

    def _has_unstored_ends(self) -> bool:
        """Return whether the last poll returned ends that are not stored yet."""
        ended = self.last_poll.ended if self.last_poll else []
        return any(end.number > self.acknowledged for end in ended)

    def _begin_incarnation(self, born_ms: int) -> None:
        logger.info("worker restarted", extra={"born_ms": born_ms, "former_ms": self.born_ms})
        restarted_at = now() - (now_unix() - born_ms / 1000)
        if self.born_ms and not self._was_leaving():
            self._record_crash(restarted_at)
        self.crash_witness.begin_incarnation(now(), restarted_at)
        self.born_ms = born_ms
        self.identity = None  # The capacity may have changed; the next announcement states it.
        self.acknowledged = 0
        self.last_end_number = 0
        self.announcement_sequence = -1
        self.last_poll = None
        self.lease.begin_incarnation()
        self.pace_sender.clear()
        self.repeated_stops.add(self.unanswered_starts.begin_incarnation(now()))

    def _was_leaving(self) -> bool:
        """Return whether the worker has announced that it leaves, so that its end is no crash."""
        return self.has_left or (self.identity is not None and self.identity.draining)

    def _record_crash(self, restarted_at: float | None = None) -> None:
        """Record that the current incarnation of the worker has crashed."""
        crash = self.crash_witness.record_crash(self.born_ms, now(), restarted_at)
        if crash is None:
            return
        self.metrics.count("worker_crashes")
        newest = min(crash.runs, key=lambda run: run.ran_seconds)
        logger.warning(
            "worker crashed",
            extra={
                "born_ms": crash.born_ms,
                "runs": len(crash.runs),
                "task": newest.task,
                "run": newest.run,
                "ran_s": round(newest.ran_seconds, 3),
            },
        )

    def _raise_token(self) -> None:
        self.client.token += TOKEN_STEP
        logger.warning("token refused", extra={"next_token": self.client.token})

    def _update_paces(self, result: PollResult) -> None:
        """Decide on the pace of the running batch tasks and send what has changed."""
        paces = self.pacer.update(result.running, self.limits, self.costs, now())
        self.pace_percent = min(paces.values(), default=FULL_PERCENT)
        self.limits = {
            task: value
            for task, value in self.limits.items()
            if any(run.task == task for run in result.running) or len(self.limits) < 512
        }
        self.pace_sender.send(result.running, paces)

    def _send_pace(self, task: str, run: int, percent: int) -> None:
        self.client.pace(task, run, percent)
