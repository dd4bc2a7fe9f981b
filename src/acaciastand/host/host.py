"""The aggregate root of one host: what it admits, what it runs and what it reports."""

from __future__ import annotations

from acaciastand.host.attempts import (
    Attempt,
    AttemptResult,
    AttemptState,
    Grant,
    WorkerCommand,
    WorkerCommandKind,
    WorkerTask,
)
from acaciastand.host.grants import SentHeartbeats
from acaciastand.host.ledger import Ledger
from acaciastand.host.requests import RequestAdmission
from acaciastand.reasons import Reason
from acaciastand.resources import Resources

MAX_SHARDS = 1024  # shards whose highest epoch is remembered
RENEW_BELOW = 2 / 3  # share of the grant left on the lease at which the lease is extended

ENDING_STATES = (AttemptState.STOPPING, AttemptState.ENDED)
LISTED_RESULTS = {"finished": AttemptResult.COMPLETED, "failed": AttemptResult.FAILED}


class Host:
    """Admission of attempts to one host; the only authority on what runs there.

    Times are monotonic seconds. The host never calls the worker: `issue_commands` returns what is
    to be asked, and the agent tells the result with `record_command_done` and `apply_worker_tasks`.

    Parameters
    ----------
    slots, connections
        Requests executed at once, and callers waiting at once.
    grant_seconds
        Longest grant; updated with the settings.
    key_window_seconds
        How long outcomes of keyed requests are kept.

    Attributes
    ----------
    shedding
        Whether the host is over and takes no new tasks.
    headroom
        Share of the cores that tasks leave free.
    """

    def __init__(
        self,
        services: list[str],
        slots: int = 8,
        connections: int = 64,
        grant_seconds: float = 15.0,
        key_window_seconds: float = 600.0,
    ) -> None:
        self.capacity = Resources()
        self.reserved = Resources()
        self.grant_seconds = grant_seconds
        self.heartbeats = SentHeartbeats()
        self.ledger = Ledger()
        self.requests = RequestAdmission(self, services, slots, connections, key_window_seconds)
        self.epochs: dict[int, int] = {}
        self.draining = False
        self.shedding = False
        self.headroom = 0.0
        self.worker_up = False
        self.target_up = False
        self.worker_known = False
        self.target_known = False
        self._orphans: dict[tuple[str, int], bool] = {}

    @property
    def recovering(self) -> bool:
        """Whether it is still unknown what runs on this host."""
        return not (self.worker_known and self.target_known)

    @property
    def free_resources(self) -> Resources:
        """What tasks may still use: without the service, attempts and headroom; can be negative."""
        kept = Resources(self.capacity.cores * self.headroom)
        free = self.capacity.minus(self.reserved).minus(self.ledger.counted()).minus(kept)
        if not self.shedding:
            return free
        # Owners would go on offering tasks that are then refused.
        return Resources(*(min(amount, 0) for amount in free.values()))

    @property
    def drained(self) -> bool:
        """Whether nothing runs here and every result is confirmed."""
        return self.draining and not self.ledger.attempts and not self.requests.busy

    # Grants and epochs

    def record_heartbeat(self, link: str, sequence: int, now: float) -> None:
        """Record the sending of a heartbeat; call it before the heartbeat leaves."""
        self.heartbeats.record(link, sequence, now)

    def observe_epoch(self, shard: int, epoch: int) -> bool:
        """Record the epoch of a shard's owner and return whether it is the highest one seen."""
        known = self.epochs.get(shard)
        if known is None and len(self.epochs) >= MAX_SHARDS:
            return False
        if known is not None and epoch < known:
            return False
        self.epochs[shard] = epoch
        return True

    def accept_grant(self, link: str, grant: Grant, now: float) -> Reason | None:
        """Take an attempt, or return why it is refused; refused attempts never run."""
        if not self.observe_epoch(grant.shard, grant.epoch):
            return Reason.STALE_EPOCH
        valid_until = self._valid_until(link, grant, now)
        if valid_until is None:
            return Reason.STALE_GRANT
        tracked = self.ledger.find_attempt(grant.task_id, grant.attempt)
        if tracked is not None:
            self._extend(tracked, valid_until, grant.epoch, now)
            return None
        attempt = Attempt(grant, valid_until, now)
        reason = self._grant_refusal(attempt, now)
        if reason is None:
            self._accept(attempt)
        return reason

    def renew_grant(
        self, link: str, sequence: int, task_id: str, number: int, seconds: float, now: float
    ) -> bool:
        """Extend a grant from the sending of heartbeat `sequence`; return whether it was held.

        Parameters
        ----------
        seconds
            Length of the grant; 0 for the length of the first grant.
        """
        attempt = self.ledger.find_attempt(task_id, number)
        sent = self.heartbeats.sent_at(link, sequence)
        if attempt is None or sent is None or attempt.state is AttemptState.ENDED:
            return False
        length = seconds or min(attempt.grant.grant_seconds, self.grant_seconds)
        self._extend(attempt, sent + length, self.epochs.get(attempt.grant.shard, 0), now)
        return True

    def stop_attempt(
        self, shard: int, epoch: int, task_id: str, number: int, keep_progress: bool, now: float
    ) -> Reason | None:
        """Stop attempts of a task up to `number` and refuse them from now on.

        Returns
        -------
        Reason or None
            None when the stop is under way or done; `unconfirmed_attempts` tells when it is done.
        """
        if not self.observe_epoch(shard, epoch):
            return Reason.STALE_EPOCH
        if self.recovering:
            return Reason.RECOVERING  # the task may run at the worker without being known here
        if not self.ledger.close(task_id, number, now):
            return Reason.LEDGER_FULL
        tracked = self.ledger.attempts.get(task_id)
        if tracked is not None and tracked.number <= number:
            self._begin_stop(tracked, keep_progress)
        return None

    def confirm_result(self, task_id: str, number: int, now: float) -> None:
        """Forget a result that its owner committed."""
        attempt = self.ledger.find_attempt(task_id, number)
        if attempt is None or attempt.state is not AttemptState.ENDED:
            return
        if not self.ledger.close(task_id, number, now):
            return
        self.ledger.drop(attempt)
        if not attempt.is_bucket:
            self._orphans[(task_id, number)] = False

    def drain(self) -> None:
        """Admit nothing from now on and stop all attempts with their progress."""
        self.draining = True
        for attempt in self.ledger.active():
            if attempt.state is not AttemptState.STOPPING:
                attempt.stop_result = AttemptResult.EVICTED
            self._begin_stop(attempt, keep_progress=True)

    def end_drain(self) -> None:
        """Admit work again."""
        self.draining = False

    def throttle(self, task_id: str, number: int, cores: float) -> bool:
        """Limit the cores of a task, 0 for no limit; return whether it can be throttled."""
        attempt = self._batch(task_id, number)
        if attempt is None:
            return False
        attempt.limit_cores = cores
        return True

    def checkpoint(self, task_id: str, number: int) -> bool:
        """Have a task save its progress; return whether it can."""
        attempt = self._batch(task_id, number)
        if attempt is None:
            return False
        attempt.checkpoint_wanted = True
        return True

    def evict(self, task_id: str, number: int) -> bool:
        """Stop a task with its progress, so that its owner resumes it elsewhere."""
        attempt = self._batch(task_id, number)
        if attempt is None:
            return False
        attempt.stop_result = AttemptResult.EVICTED
        self._begin_stop(attempt, keep_progress=True)
        return True

    def unconfirmed_attempts(self) -> list[Attempt]:
        """Return the ended attempts whose result waits for confirmation."""
        return self.ledger.ended()

    # Worker

    def apply_worker_tasks(self, tasks: list[WorkerTask], asked_at: float, now: float) -> None:
        """Take the worker's list of tasks, which was asked for at `asked_at`."""
        listed = {(task.task_id, task.attempt): task for task in tasks}
        for task in tasks:
            self._task_listed(task, asked_at, now)
        for attempt in self.ledger.active():
            missing = (attempt.task_id, attempt.number) not in listed
            confirmed = attempt.state in (AttemptState.RUNNING, AttemptState.PAUSED)
            if missing and confirmed and not attempt.is_bucket and attempt.confirmed_at < asked_at:
                attempt.end(AttemptResult.LOST, "the worker does not list the task")
        self._orphans = {name: sent for name, sent in self._orphans.items() if name in listed}
        self.worker_known = True

    def apply_target_status(self, healthy: bool, active: list[str], asked_at: float) -> None:
        """Take the target's health and its active requests."""
        if self.target_known:
            self.requests.slots.listed(active, asked_at)
        else:
            self.requests.slots.adopt(active, asked_at)
        self.target_up = healthy
        self.target_known = True

    def issue_commands(self, now: float) -> list[WorkerCommand]:
        """Return the calls that the worker is to receive now; each is returned once."""
        found = [self._command(attempt, now) for attempt in self.ledger.active()]
        result = [command for command in found if command is not None]
        for (task_id, number), sent in list(self._orphans.items()):
            if not sent:
                self._orphans[(task_id, number)] = True
                result.append(WorkerCommand(WorkerCommandKind.FORGET, task_id, number))
        return result

    def record_command_done(self, command: WorkerCommand, now: float) -> None:
        """Record that the worker carried out a command."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.busy = False
        attempt.confirmed_at = now
        if command.kind is WorkerCommandKind.THROTTLE:
            attempt.limit_sent = command.limit_cores
        if command.kind is WorkerCommandKind.START and attempt.state is AttemptState.STARTING:
            attempt.state = AttemptState.RUNNING

    def checkpointed(self, command: WorkerCommand, checkpoint: str) -> None:
        """Record the checkpoint that the worker made."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is not None and checkpoint:
            attempt.checkpoint = checkpoint
            attempt.checkpoint_seconds = attempt.run_seconds

    def command_unknown(self, command: WorkerCommand) -> None:
        """Record that nobody knows whether a command was carried out; it is repeated."""
        self._orphans.pop((command.task_id, command.attempt), None)
        if command.kind is WorkerCommandKind.FORGET:
            self._orphans[(command.task_id, command.attempt)] = False
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None:
            return
        attempt.busy = False
        attempt.lease_until = 0.0
        if command.kind is WorkerCommandKind.THROTTLE:
            attempt.limit_sent = None
        attempt.start_unknown = attempt.start_unknown or command.kind is WorkerCommandKind.START

    def start_refused(self, command: WorkerCommand, detail: str) -> None:
        """Record that the worker refused to start a task."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state not in (AttemptState.STARTING, AttemptState.STOPPING):
            return
        if not attempt.start_unknown:
            attempt.end(AttemptResult.START_FAILED, detail)
            return
        # An earlier start call may still arrive; a stop makes the worker refuse it.
        attempt.busy = False
        attempt.stop_result = AttemptResult.START_FAILED
        attempt.detail = detail
        attempt.state = AttemptState.STOPPING

    def record_stopped(
        self, command: WorkerCommand, checkpoint: str, run_seconds: float, completed: bool
    ) -> None:
        """Record that the worker stopped a task and will not run it again."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.end(AttemptResult.COMPLETED if completed else attempt.stop_result)
        attempt.end_checkpoint = checkpoint or attempt.checkpoint
        attempt.run_seconds = run_seconds

    # Private

    def _batch(self, task_id: str, number: int) -> Attempt | None:
        """Return an attempt that pressure may act on: a task that is not being stopped."""
        attempt = self.ledger.find_attempt(task_id, number)
        if attempt is None or attempt.is_bucket:
            return None
        return None if attempt.state in ENDING_STATES else attempt

    def _valid_until(self, link: str, grant: Grant, now: float) -> float | None:
        sent = self.heartbeats.sent_at(link, grant.heartbeat_sequence)
        if sent is None or sent + grant.grant_seconds <= now:
            return None
        return sent + grant.grant_seconds

    def _grant_refusal(self, attempt: Attempt, now: float) -> Reason | None:
        if self.draining:
            return Reason.DRAINING
        if self.recovering:
            return Reason.RECOVERING
        reason = self.ledger.refusal(attempt.task_id, attempt.number, now)
        if reason is not None:
            return reason
        if attempt.is_bucket:
            return self.requests.bucket_refusal(attempt.task_id)
        if not self.worker_up:
            return Reason.WORKER_UNAVAILABLE
        if self.shedding:
            return Reason.SHEDDING
        return None if attempt.counted.fits_in(self.free_resources) else Reason.OVER_CAPACITY

    def _accept(self, attempt: Attempt) -> None:
        self.ledger.add(attempt)
        if attempt.is_bucket:
            attempt.state = AttemptState.RUNNING

    def _extend(self, attempt: Attempt, valid_until: float, epoch: int, now: float) -> None:
        attempt.valid_until = max(attempt.valid_until, valid_until)
        attempt.grant.epoch = max(attempt.grant.epoch, epoch)

    def _begin_stop(self, attempt: Attempt, keep_progress: bool) -> None:
        if attempt.state is AttemptState.ENDED:
            return
        if attempt.is_bucket:
            attempt.state = AttemptState.STOPPING
            return
        if attempt.state is AttemptState.STARTING and not attempt.start_sent:
            attempt.end(attempt.stop_result, "stopped before it started")
            attempt.end_checkpoint = attempt.grant.checkpoint
            return
        attempt.keep_progress = attempt.keep_progress or keep_progress
        attempt.state = AttemptState.STOPPING

    def _task_listed(self, task: WorkerTask, asked_at: float, now: float) -> None:
        attempt = self.ledger.find_attempt(task.task_id, task.attempt)
        if attempt is None:
            attempt = self._adopt(task, asked_at, now)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.observed = task.usage
        attempt.run_seconds = task.run_seconds
        if task.state in LISTED_RESULTS:
            attempt.end(LISTED_RESULTS[task.state])
            attempt.end_checkpoint = task.checkpoint
            return
        settled = attempt.start_sent and not attempt.busy and attempt.confirmed_at < asked_at
        if attempt.state is AttemptState.STARTING and settled:
            attempt.state = AttemptState.RUNNING
        elif attempt.state is AttemptState.RUNNING and settled and task.state == "paused":
            attempt.state = AttemptState.PAUSED  # a lapsed lease or a late pause; resumed if valid

    def _adopt(self, task: WorkerTask, asked_at: float, now: float) -> Attempt | None:
        # Only a former agent process can have started a task that the ledger does not hold.
        if self.worker_known or task.task_id in self.ledger.attempts:
            self._orphans.setdefault((task.task_id, task.attempt), False)
            return None
        grant = Grant(task.shard, 0, task.task_id, task.attempt, task.size)
        grant.batch_class = task.batch_class
        grant.urgent = task.urgent
        grant.grant_seconds = self.grant_seconds
        attempt = Attempt(grant, asked_at + task.lease_seconds, now)
        attempt.state = AttemptState.RUNNING
        attempt.start_sent = True
        attempt.lease_until = attempt.valid_until
        attempt.limit_sent = None  # the former process may have throttled it
        self.ledger.add(attempt)
        return attempt

    def _command(self, attempt: Attempt, now: float) -> WorkerCommand | None:
        if attempt.is_bucket:
            self._move_bucket(attempt, now)
            return None
        if attempt.busy:
            return None
        kind = self._next_kind(attempt, now)
        if kind is None:
            return None
        attempt.busy = True
        if kind in (WorkerCommandKind.START, WorkerCommandKind.RENEW, WorkerCommandKind.RESUME):
            attempt.lease_until = attempt.valid_until
        return WorkerCommand(
            kind,
            attempt.task_id,
            attempt.number,
            attempt.valid_until,
            attempt.keep_progress,
            attempt.limit_cores,
        )

    def _next_kind(self, attempt: Attempt, now: float) -> WorkerCommandKind | None:
        expired = now >= attempt.valid_until
        if attempt.state is AttemptState.STOPPING:
            return WorkerCommandKind.STOP
        if attempt.state is AttemptState.STARTING:
            return self._start_kind(attempt, expired)
        if attempt.state is AttemptState.RUNNING and expired:
            attempt.state = AttemptState.PAUSED
            return WorkerCommandKind.PAUSE
        # The worker's clock is estimated low, so a lease ends before its grant by up to the time
        # of a status call; a resume for that rest would end in one more pause.
        if attempt.state is AttemptState.PAUSED and not expired and attempt.extended:
            attempt.state = AttemptState.RUNNING
            return WorkerCommandKind.RESUME
        if attempt.state is not AttemptState.RUNNING:
            return None
        due = attempt.lease_until - now < attempt.grant.grant_seconds * RENEW_BELOW
        if due and attempt.extended:
            return WorkerCommandKind.RENEW  # before throttle calls, which may fail again and again
        return self._pressure_kind(attempt)

    def _pressure_kind(self, attempt: Attempt) -> WorkerCommandKind | None:
        if attempt.limit_cores != attempt.limit_sent:
            return WorkerCommandKind.THROTTLE
        if attempt.checkpoint_wanted:
            attempt.checkpoint_wanted = False
            return WorkerCommandKind.CHECKPOINT
        return None

    def _start_kind(self, attempt: Attempt, expired: bool) -> WorkerCommandKind | None:
        if not expired:
            attempt.start_sent = True
            return WorkerCommandKind.START
        attempt.stop_result = AttemptResult.EVICTED
        self._begin_stop(attempt, keep_progress=True)
        return WorkerCommandKind.STOP if attempt.state is AttemptState.STOPPING else None

    def _move_bucket(self, attempt: Attempt, now: float) -> None:
        if attempt.state is AttemptState.STOPPING:
            if not self.requests.bucket_running(attempt.task_id):
                self.requests.drop_bucket(attempt.task_id)
                attempt.end(attempt.stop_result)
            return
        expired = now >= attempt.valid_until
        attempt.state = AttemptState.PAUSED if expired else AttemptState.RUNNING
