"""State of one host: which work is admitted, which attempts run and which results are reported."""

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
from acaciastand.host.commands import next_command
from acaciastand.host.heartbeats import SentHeartbeats
from acaciastand.host.ledger import Ledger
from acaciastand.host.requests import RequestAdmission
from acaciastand.reasons import Reason
from acaciastand.resources import Resources

MAX_SHARDS = 1024  # Shards whose highest epoch is kept.

ENDING_STATES = (AttemptState.STOPPING, AttemptState.ENDED)
RESULT_BY_TASK_STATE = {"finished": AttemptResult.COMPLETED, "failed": AttemptResult.FAILED}


class Host:
    """Aggregate root of one host, which alone decides what runs there.

    Times are monotonic seconds. The host never calls the worker: `issue_commands` returns the calls
    that the agent is to make, and the agent records their outcomes with `record_command_done`,
    `record_stopped`, `record_start_refused` and `record_unknown_outcome`.

    Parameters
    ----------
    services
        Services that the target of this host serves.
    slots, connections
        Requests that the target executes at once, and callers that may wait at once.
    grant_seconds
        Longest grant; updated with the settings.
    key_window_seconds
        How long outcomes of requests with a key are kept.

    Attributes
    ----------
    capacity
        Resources of the host.
    reserved
        Resources that the service uses.
    epochs
        Highest epoch seen of each shard's owner.
    draining
        Whether the host admits nothing and stops its attempts.
    shedding
        Whether the host is overloaded and accepts no new tasks.
    headroom
        Share of the cores that tasks leave free.
    worker_up, target_up
        Whether the last poll of the worker succeeded, and whether the target is reachable and
        healthy.
    worker_known, target_known
        Whether the worker has listed its tasks, and the target its requests, to this process.
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
        # Attempts that the worker is to forget, and whether the command has been issued.
        self._forget_issued: dict[tuple[str, int], bool] = {}

    @property
    def recovering(self) -> bool:
        """Whether this process does not know yet what runs on the host."""
        return not (self.worker_known and self.target_known)

    @property
    def free_resources(self) -> Resources:
        """Capacity without service, attempts and headroom; amounts can be negative.

        At most 0 while the host sheds load.
        """
        headroom = Resources(self.capacity.cores * self.headroom)
        free = (
            self.capacity.minus(self.reserved)
            .minus(self.ledger.counted_resources())
            .minus(headroom)
        )
        if not self.shedding:
            return free
        # With a positive amount, owners would continue to grant tasks that are then refused.
        return Resources(*(min(amount, 0) for amount in free.values()))

    @property
    def is_drained(self) -> bool:
        """Whether the host is draining, nothing runs and every result is confirmed."""
        return self.draining and not self.ledger.attempts and not self.requests.is_busy

    # Grants and epochs

    def record_heartbeat(self, link: str, sequence: int, now: float) -> None:
        """Record the send time of a heartbeat; to be called before the heartbeat is sent."""
        self.heartbeats.record(link, sequence, now)

    def observe_epoch(self, shard: int, epoch: int) -> bool:
        """Record the epoch of a shard's owner and return whether it is the highest one seen.

        Returns False also for a new shard when `MAX_SHARDS` are recorded.
        """
        highest = self.epochs.get(shard)
        if highest is None and len(self.epochs) >= MAX_SHARDS:
            return False
        if highest is not None and epoch < highest:
            return False
        self.epochs[shard] = epoch
        return True

    def accept_grant(self, link: str, grant: Grant, now: float) -> Reason | None:
        """Track the attempt of a grant, or return why it is refused; refused attempts never run.

        A grant for a tracked attempt extends its current grant.
        """
        if not self.observe_epoch(grant.shard, grant.epoch):
            return Reason.STALE_EPOCH
        valid_until = self._valid_until(link, grant, now)
        if valid_until is None:
            return Reason.STALE_GRANT
        tracked = self.ledger.find_attempt(grant.task_id, grant.attempt)
        if tracked is not None:
            self._extend_grant(tracked, valid_until, grant.epoch, now)
            return None
        attempt = Attempt(grant, valid_until, now)
        reason = self._grant_refusal(attempt, now)
        if reason is None:
            self._add_attempt(attempt)
        return reason

    def renew_grant(
        self, link: str, sequence: int, task_id: str, number: int, seconds: float, now: float
    ) -> bool:
        """Extend the grant of an attempt, counted from the sending of heartbeat `sequence`.

        Parameters
        ----------
        link
            Name of the connection on which the heartbeat was sent.
        number
            Attempt number.
        seconds
            Length of the grant; 0 for the length of the first grant.

        Returns
        -------
        bool
            False when the attempt is not tracked or has ended, or the heartbeat is unknown.
        """
        attempt = self.ledger.find_attempt(task_id, number)
        sent_at = self.heartbeats.sent_at(link, sequence)
        if attempt is None or sent_at is None or attempt.state is AttemptState.ENDED:
            return False
        length = seconds or min(attempt.grant.grant_seconds, self.grant_seconds)
        self._extend_grant(attempt, sent_at + length, self.epochs.get(attempt.grant.shard, 0), now)
        return True

    def stop_attempt(
        self, shard: int, epoch: int, task_id: str, number: int, keep_progress: bool, now: float
    ) -> Reason | None:
        """Stop attempts of a task up to `number` and refuse them from now on.

        Returns
        -------
        Reason or None
            None when the stop is in progress or done; the end of a tracked attempt appears in
            `unconfirmed_attempts`.
        """
        if not self.observe_epoch(shard, epoch):
            return Reason.STALE_EPOCH
        if self.recovering:
            return Reason.RECOVERING  # The task may run at the worker and not be tracked yet.
        if not self.ledger.close_numbers(task_id, number, now):
            return Reason.LEDGER_FULL
        tracked = self.ledger.attempts.get(task_id)
        if tracked is not None and tracked.number <= number:
            tracked.begin_stop(keep_progress)
        return None

    def confirm_result(self, task_id: str, number: int, now: float) -> None:
        """Forget the result of an ended attempt after its owner committed it."""
        attempt = self.ledger.find_attempt(task_id, number)
        if attempt is None or attempt.state is not AttemptState.ENDED:
            return
        if not self.ledger.close_numbers(task_id, number, now):
            return
        self.ledger.remove_attempt(attempt)
        if not attempt.is_bucket:
            self._forget_issued[(task_id, number)] = False

    def drain(self) -> None:
        """Admit nothing from now on and stop all attempts, keeping their progress."""
        self.draining = True
        for attempt in self.ledger.active_attempts():
            if attempt.state is not AttemptState.STOPPING:
                attempt.stop_result = AttemptResult.EVICTED
            attempt.begin_stop(keep_progress=True)

    def end_drain(self) -> None:
        """Admit work again."""
        self.draining = False

    def limit_cores(self, task_id: str, number: int, cores: float) -> bool:
        """Limit the cores of a task, 0 for no limit; return whether it can be limited."""
        attempt = self._find_batch_attempt(task_id, number)
        if attempt is None:
            return False
        attempt.limit_cores = cores
        return True

    def request_checkpoint(self, task_id: str, number: int) -> bool:
        """Have a task save its progress; return whether it can be asked to."""
        attempt = self._find_batch_attempt(task_id, number)
        if attempt is None:
            return False
        attempt.checkpoint_requested = True
        return True

    def evict(self, task_id: str, number: int) -> bool:
        """Stop a task, keeping its progress, so that its owner resumes it on another host.

        Returns whether the task can be evicted.
        """
        attempt = self._find_batch_attempt(task_id, number)
        if attempt is None:
            return False
        attempt.stop_result = AttemptResult.EVICTED
        attempt.begin_stop(keep_progress=True)
        return True

    def unconfirmed_attempts(self) -> list[Attempt]:
        """Return the ended attempts whose result the owner has not confirmed."""
        return self.ledger.ended_attempts()

    # Worker

    def apply_worker_tasks(self, tasks: list[WorkerTask], asked_at: float, now: float) -> None:
        """Update the attempts from the worker's list of tasks, which was requested at `asked_at`.

        Started attempts that are missing from the list end as lost. Tasks that are not tracked are
        adopted from the first list; if a later list has such tasks, the worker is to forget them.
        """
        listed = {(task.task_id, task.attempt): task for task in tasks}
        for task in tasks:
            self._apply_worker_task(task, asked_at, now)
        for attempt in self.ledger.active_attempts():
            is_missing = (attempt.task_id, attempt.number) not in listed
            started = attempt.state in (AttemptState.RUNNING, AttemptState.PAUSED)
            if is_missing and started and not attempt.is_bucket and attempt.confirmed_at < asked_at:
                attempt.end(AttemptResult.LOST, "the worker does not list the task")
        self._forget_issued = {
            name: issued for name, issued in self._forget_issued.items() if name in listed
        }
        self.worker_known = True

    def apply_target_status(self, healthy: bool, active: list[str], asked_at: float) -> None:
        """Update the target's health and release the slots of requests that it no longer runs.

        The first call counts the active requests as abandoned by a former agent process.
        """
        if self.target_known:
            self.requests.slots.release_ended(active, asked_at)
        else:
            self.requests.slots.adopt_requests(active, asked_at)
        self.target_up = healthy
        self.target_known = True

    def issue_commands(self, now: float) -> list[WorkerCommand]:
        """Return the calls to make to the worker now; each is returned once."""
        candidates = [self._next_command(attempt, now) for attempt in self.ledger.active_attempts()]
        commands = [command for command in candidates if command is not None]
        for (task_id, number), issued in list(self._forget_issued.items()):
            if not issued:
                self._forget_issued[(task_id, number)] = True
                commands.append(WorkerCommand(WorkerCommandKind.FORGET, task_id, number))
        return commands

    def record_command_done(self, command: WorkerCommand, now: float) -> None:
        """Record that the worker carried out a command."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.command_in_progress = False
        attempt.confirmed_at = now
        if command.kind is WorkerCommandKind.THROTTLE:
            attempt.limit_sent = command.limit_cores
        if command.kind is WorkerCommandKind.START and attempt.state is AttemptState.STARTING:
            attempt.state = AttemptState.RUNNING

    def record_checkpoint(self, command: WorkerCommand, checkpoint: str) -> None:
        """Record the reference of a checkpoint that the worker saved; empty for none."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is not None and checkpoint:
            attempt.checkpoint = checkpoint
            attempt.checkpoint_seconds = attempt.run_seconds

    def record_unknown_outcome(self, command: WorkerCommand) -> None:
        """Record that it is unknown whether a command was carried out.

        It is issued again as far as the state of the attempt still requires it.
        """
        self._forget_issued.pop((command.task_id, command.attempt), None)
        if command.kind is WorkerCommandKind.FORGET:
            self._forget_issued[(command.task_id, command.attempt)] = False
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None:
            return
        attempt.command_in_progress = False
        attempt.lease_until = 0.0
        if command.kind is WorkerCommandKind.THROTTLE:
            attempt.limit_sent = None
        attempt.start_unknown = attempt.start_unknown or command.kind is WorkerCommandKind.START

    def record_start_refused(self, command: WorkerCommand, detail: str) -> None:
        """Record that the worker refused to start a task, with its reason in `detail`."""
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state not in (AttemptState.STARTING, AttemptState.STOPPING):
            return
        if not attempt.start_unknown:
            attempt.end(AttemptResult.START_FAILED, detail)
            return
        # An earlier start call may still reach the worker; after a stop the worker refuses it.
        attempt.command_in_progress = False
        attempt.stop_result = AttemptResult.START_FAILED
        attempt.detail = detail
        attempt.state = AttemptState.STOPPING

    def record_stopped(
        self, command: WorkerCommand, checkpoint: str, run_seconds: float, completed: bool
    ) -> None:
        """Record that the worker stopped an attempt and will not run it again.

        Parameters
        ----------
        checkpoint
            Reference of the saved progress; empty when the stop saved none.
        run_seconds
            Run time of the task at the worker.
        completed
            Whether the task completed before the stop.
        """
        attempt = self.ledger.find_attempt(command.task_id, command.attempt)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.end(AttemptResult.COMPLETED if completed else attempt.stop_result)
        attempt.end_checkpoint = checkpoint or attempt.checkpoint
        attempt.run_seconds = run_seconds

    # Private

    def _find_batch_attempt(self, task_id: str, number: int) -> Attempt | None:
        """Return an attempt that is a task and is not being stopped, else None."""
        attempt = self.ledger.find_attempt(task_id, number)
        if attempt is None or attempt.is_bucket:
            return None
        return None if attempt.state in ENDING_STATES else attempt

    def _valid_until(self, link: str, grant: Grant, now: float) -> float | None:
        sent_at = self.heartbeats.sent_at(link, grant.heartbeat_sequence)
        if sent_at is None or sent_at + grant.grant_seconds <= now:
            return None
        return sent_at + grant.grant_seconds

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
        return (
            None if attempt.counted_resources.fits_in(self.free_resources) else Reason.OVER_CAPACITY
        )

    def _add_attempt(self, attempt: Attempt) -> None:
        self.ledger.add_attempt(attempt)
        if attempt.is_bucket:
            attempt.state = AttemptState.RUNNING

    def _extend_grant(self, attempt: Attempt, valid_until: float, epoch: int, now: float) -> None:
        attempt.valid_until = max(attempt.valid_until, valid_until)
        attempt.grant.epoch = max(attempt.grant.epoch, epoch)

    def _apply_worker_task(self, task: WorkerTask, asked_at: float, now: float) -> None:
        attempt = self.ledger.find_attempt(task.task_id, task.attempt)
        if attempt is None:
            attempt = self._adopt_task(task, asked_at, now)
        if attempt is None or attempt.state is AttemptState.ENDED:
            return
        attempt.observed = task.usage
        attempt.run_seconds = task.run_seconds
        if task.state in RESULT_BY_TASK_STATE:
            attempt.end(RESULT_BY_TASK_STATE[task.state])
            attempt.end_checkpoint = task.checkpoint
            return
        # Whether the list was requested after the worker had confirmed the last command.
        is_current = (
            attempt.start_sent
            and not attempt.command_in_progress
            and attempt.confirmed_at < asked_at
        )
        if attempt.state is AttemptState.STARTING and is_current:
            attempt.state = AttemptState.RUNNING
        elif attempt.state is AttemptState.RUNNING and is_current and task.state == "paused":
            # The lease expired, or a pause call arrived late; resumed while the grant is valid.
            attempt.state = AttemptState.PAUSED

    def _adopt_task(self, task: WorkerTask, asked_at: float, now: float) -> Attempt | None:
        # Only a former agent process can have started a task that is not tracked, so this happens
        # only with the first list after a restart.
        if self.worker_known or task.task_id in self.ledger.attempts:
            self._forget_issued.setdefault((task.task_id, task.attempt), False)
            return None
        grant = Grant(task.shard, 0, task.task_id, task.attempt, task.size)
        grant.batch_class = task.batch_class
        grant.urgent = task.urgent
        grant.grant_seconds = self.grant_seconds
        attempt = Attempt(grant, asked_at + task.lease_seconds, now)
        attempt.state = AttemptState.RUNNING
        attempt.start_sent = True
        attempt.lease_until = attempt.valid_until
        attempt.limit_sent = None  # The former process may have throttled the task.
        self.ledger.add_attempt(attempt)
        return attempt

    def _next_command(self, attempt: Attempt, now: float) -> WorkerCommand | None:
        if attempt.is_bucket:
            self._update_bucket(attempt, now)
            return None
        return next_command(attempt, now)

    def _update_bucket(self, attempt: Attempt, now: float) -> None:
        if attempt.state is AttemptState.STOPPING:
            if not self.requests.has_running_request(attempt.task_id):
                self.requests.drop_bucket(attempt.task_id)
                attempt.end(attempt.stop_result)
            return
        expired = now >= attempt.valid_until
        attempt.state = AttemptState.PAUSED if expired else AttemptState.RUNNING
