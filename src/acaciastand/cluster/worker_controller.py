"""The agent's hold on its worker: looks, leases, orders and pace."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError
from acaciastand.platform.http import CallNotSent
from acaciastand.platform.tasks import LIFE_HEADER, TaskClient, TokenRefused, WorkerChanged
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.limits import CLOCK_DRIFT, HOLD_SECONDS
from acaciastand.workflow.pacing import Pacer, RunLimits, TailPacer
from acaciastand.workflow.reports import (
    AgentReport,
    Look,
    StartCommand,
    StartOutcome,
    WorkerIdentity,
)

LOOK_WAIT_SECONDS = 0.35  # a look waits this long for an end
UNSTORED_PAUSE_SECONDS = 0.08  # between looks while ends wait to be stored
FAILED_PAUSE_SECONDS = 0.1  # after a look that failed
SILENT_LOOKS = 2  # failed looks in a row after which the worker counts as silent
TOKEN_STEP = 10_000_000  # added to a token that was refused
RETRY_PAUSE_SECONDS = 0.05
LATE_CALL_SECONDS = 13.0  # a call without an answer may take effect up to this much later
PACE_REPEAT_SECONDS = 1.0  # between two repetitions of a pace that may have been overtaken

logger = logging.getLogger(__name__)


class PaceDoubt:
    """A change of pace without an answer, which may take effect after later ones."""

    __slots__ = ("repeat_at", "until")

    def __init__(self, sent_at: float) -> None:
        self.repeat_at = sent_at + PACE_REPEAT_SECONDS
        self.until = sent_at + LATE_CALL_SECONDS


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
    gentle
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
        self.left = False
        self.sequence = -1
        self.grant_until = float("-inf")
        self.lease_until = now() + HOLD_SECONDS * CLOCK_DRIFT  # of an earlier life of the agent
        self.lease_ms = 0
        self.clock_ms = 0.0
        self.clock_at = 0.0
        self.born_ms = 0
        self.looks_begun = 0
        self.look_number = 0
        self.last_look: Look | None = None
        self.failed_looks = 0
        self.acknowledged = 0
        self.stored = Event()
        self.limits: dict[str, RunLimits] = {}
        self.paces: dict[tuple[str, int], int] = {}
        self.pace_doubts: dict[tuple[str, int], PaceDoubt] = {}
        self.known_ends = 0
        self.gentle: frozenset[str] = frozenset()
        self.pace_percent = 100
        self.unsettled: dict[tuple[str, int], tuple[int, float]] = {}
        self.epoch = 0
        self.settled_look = 0
        self.settle_after = 0

    def owner_changed(self, epoch: int) -> None:
        """Take note of a new owner; what former owners ordered has to settle."""
        self.epoch = epoch
        self.settle_after = self.looks_begun
        for task, run in list(self.unsettled):
            gevent.spawn(self.stop, task, run, now() + HOLD_SECONDS)

    def announced(self, identity: WorkerIdentity, sequence: int) -> bool:
        """Take in an announcement; False if a newer one is known."""
        if identity.born_ms < self.born_ms:
            return False
        if identity.born_ms > self.born_ms:
            self._new_life(identity.born_ms)
        elif sequence < self.sequence:
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
        self.sequence = sequence
        self.identity = identity
        self.left = False
        self.client.life_header = {LIFE_HEADER: identity.worker_id}
        return True

    def gone(self) -> None:
        """Take note that the worker has left."""
        self.identity = None
        self.left = True

    @property
    def certainly_empty(self) -> bool:
        """Whether the worker has left and no longer answers, so that nothing can run on it."""
        return self.left and self.failed_looks >= SILENT_LOOKS

    def report(self) -> AgentReport:
        """Return what the owner has to know."""
        look = self.last_look
        silent = self.failed_looks >= SILENT_LOOKS
        lapsed = silent and now() > self.lease_until
        if look is None or lapsed:
            return AgentReport(self.identity, lapsed=lapsed, silent=True)
        settled = self.settled_look > self.settle_after
        return AgentReport(
            self.identity,
            self.look_number,
            look.running,
            look.ended,
            lapsed,
            silent,
            settled,
            self.pace_percent,
            self.pacer.tail_share,
        )

    def untold(self) -> list[str]:
        """Return running tasks whose limits are not known."""
        if self.last_look is None:
            return []
        return [run.task for run in self.last_look.running if run.task not in self.limits]

    def ends_stored(self, born_ms: int, number: int) -> None:
        """Take note that ends up to `number` are stored."""
        if born_ms == self.born_ms and number > self.acknowledged:
            self.acknowledged = number
            self.stored.set()

    def look_forever(self) -> None:
        """Look at the worker again and again."""
        while True:
            began = now()
            try:
                self._look_once()
            except AcaciastandError as error:
                self._look_failed(error)
                gevent.sleep(FAILED_PAUSE_SECONDS)
                continue
            if self._unstored():
                self.stored.clear()
                self.stored.wait(UNSTORED_PAUSE_SECONDS)
            elif now() - began < UNSTORED_PAUSE_SECONDS / 2:
                gevent.sleep(UNSTORED_PAUSE_SECONDS / 2)

    def start(self, command: StartCommand, not_after: float, epoch: int) -> StartOutcome:
        """Start a run, repeating an unanswered call until `not_after`."""
        self.limits[command.task] = RunLimits(command.target_ms, command.uses_leftover)
        key = (command.task, command.run)
        self.unsettled[key] = (epoch, now() + HOLD_SECONDS * CLOCK_DRIFT)
        outcome = self._start(command, not_after)
        if outcome != StartOutcome.UNKNOWN:
            self.unsettled.pop(key, None)
        return outcome

    def _start(self, command: StartCommand, not_after: float) -> StartOutcome:
        answered = True
        while now() < min(not_after, self.grant_until):
            try:
                outcome = self.client.start(command, self._lease_end())
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

    def _look_once(self) -> None:
        self.looks_begun += 1
        number = self.looks_begun
        settled = self._settled()
        wait = 0.0 if self._unstored() else LOOK_WAIT_SECONDS
        # An unanswered look may have extended the lease, so a silent worker is only looked at:
        # its runs have then certainly ended once the last extension is over.
        silent = self.failed_looks >= SILENT_LOOKS
        granted = self.clock_at and self.grant_until > now()
        lease_ms = self._lease_end() if granted and not silent else None
        # After a failure the worker may be in another life, whose ends have the same numbers; 0
        # acknowledges nothing.
        acknowledged = 0 if self.failed_looks else self.acknowledged
        try:
            look = self.client.look(lease_ms, acknowledged, wait)
        except TokenRefused:
            self._raise_token()
            raise
        except WorkerChanged:
            self.client.life_header = {}  # the next look learns which life this is
            raise
        if look.born_ms != self.born_ms:
            self._new_life(look.born_ms)
        if self.failed_looks >= SILENT_LOOKS:
            logger.info("worker regained", extra={"failed_looks": self.failed_looks})
        self.failed_looks = 0
        self.clock_ms = look.clock_ms
        self.clock_at = now()
        newest = max((end.number for end in look.ended), default=0)
        fresh = newest > self.known_ends
        self.known_ends = max(newest, self.known_ends)
        self.look_number = number
        self.settled_look = number if settled else self.settled_look
        self.last_look = look
        self._pace(look)
        if fresh:
            self.on_ends()

    def _look_failed(self, error: AcaciastandError) -> None:
        self.failed_looks += 1
        self.metrics.count("worker_calls_failed", "look")
        if self.failed_looks == SILENT_LOOKS:
            logger.warning("worker lost", extra={"error": str(error)})

    def _settled(self) -> bool:
        """Return whether no start of a former owner can take effect any more."""
        self.unsettled = {key: value for key, value in self.unsettled.items() if now() <= value[1]}
        return not any(epoch < self.epoch for epoch, _ in self.unsettled.values())

    def _unstored(self) -> bool:
        ended = self.last_look.ended if self.last_look else []
        return any(end.number > self.acknowledged for end in ended)

    def _lease_end(self) -> int:
        """Return the end of the lease on the worker's clock, and note when it ends at the latest.

        The worker's clock has gone on since the reading, so the lease is never longer than meant.
        """
        left = max(0.0, min(self.grant_until - now(), HOLD_SECONDS))
        age = now() - self.clock_at if self.clock_at else 0.0
        lease_ms = int(self.clock_ms + (age / CLOCK_DRIFT + left) * 1000)
        if lease_ms > self.lease_ms:
            self.lease_ms = lease_ms
            self.lease_until = max(self.lease_until, now() + left * CLOCK_DRIFT)
        return lease_ms

    def _new_life(self, born_ms: int) -> None:
        logger.info("worker restarted", extra={"born_ms": born_ms, "former_ms": self.born_ms})
        self.born_ms = born_ms
        self.identity = None  # it may return with other room; its next announcement tells
        self.acknowledged = 0
        self.known_ends = 0
        self.sequence = -1
        self.last_look = None
        self.clock_at = 0.0
        self.lease_ms = 0
        self.paces.clear()

    def _raise_token(self) -> None:
        self.client.token += TOKEN_STEP
        logger.warning("token refused", extra={"next_token": self.client.token})

    def _pace(self, look: Look) -> None:
        pace = self.pacer.update(look.running, self.limits, self.gentle, now())
        self.pace_percent = pace.disturbing
        running = {(run.task, run.run) for run in look.running}
        self.paces = {key: value for key, value in self.paces.items() if key in running}
        self.pace_doubts = {k: value for k, value in self.pace_doubts.items() if k in running}
        self.limits = {
            task: value
            for task, value in self.limits.items()
            if any(run.task == task for run in look.running) or len(self.limits) < 512
        }
        for run in look.running:
            limits = self.limits.get(run.task)
            if limits is None or not limits.uses_leftover:
                continue
            key = (run.task, run.run)
            gentle = run.task in self.gentle and run.task not in self.pacer.blamed
            percent = pace.gentle if gentle else pace.disturbing
            if self.paces.get(key, 100) != percent or self._pace_doubtful(key):
                gevent.spawn(self._send_pace, run.task, run.run, percent)
                self.paces[key] = percent

    def _pace_doubtful(self, key: tuple[str, int]) -> bool:
        """Return whether a call without an answer may have changed the pace since the last one."""
        doubt = self.pace_doubts.get(key)
        if doubt is None or now() < doubt.repeat_at:
            return False
        if now() >= doubt.until:
            del self.pace_doubts[key]
        else:
            doubt.repeat_at = now() + PACE_REPEAT_SECONDS
        return True

    def _send_pace(self, task: str, run: int, percent: int) -> None:
        try:
            self.client.pace(task, run, percent)
            logger.info("pace set", extra={"task": task, "run": run, "percent": percent})
        except AcaciastandError as error:
            self.paces.pop((task, run), None)  # the next look sends it again
            self.pace_doubts[(task, run)] = PaceDoubt(now())
            logger.warning("pace not set", extra={"task": task, "error": str(error)})
