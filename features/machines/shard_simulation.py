"""Simulation of the owners, agents and workers of one shard, with faults of links and the store.

`Shard`, `Scheduler`, `Host`, the journal and the ownership are the real implementations; clocks,
links, workers and the faults of the store are simulated. The oracle reads the simulated workers
and the journal, and the served buckets of the hosts, but never `Shard` or `Scheduler`.
"""

from collections import Counter
from contextlib import suppress

from acaciastand.coordination.entries import Entry
from acaciastand.coordination.faults import FaultPlan
from acaciastand.coordination.journal import Journal
from acaciastand.coordination.journal_errors import AppendUnresolved, CompactionNeeded, Fenced
from acaciastand.coordination.lease import LeaseSession
from acaciastand.coordination.memory import MemoryStore
from acaciastand.coordination.ownership import Ownership
from acaciastand.coordination.store import LeaseLost, StoreAnswerLost, StoreUnavailable
from acaciastand.entry.owner import fold
from acaciastand.errors import AcaciastandError
from acaciastand.host import AttemptResult, AttemptState, Grant, Host, WorkerCommandKind, WorkerTask
from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.placer import FirstFit
from acaciastand.placement.worker import WorkerView
from acaciastand.resources import Resources
from acaciastand.shard.contacts import ContactProcessor
from acaciastand.shard.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptStarted,
    JobCancelled,
    event_from_plain,
)
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import Timings
from acaciastand.shard.outbox import Grant as OutgoingGrant
from acaciastand.shard.runtime_state import (
    AgentContact,
    AttemptEndReport,
    LeaseDeadlines,
    ListedAttempt,
)
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.wire.attempt_lists import ENDED_STATE, KnownAttemptList, SentAttemptLists
from acaciastand.wire.messages import (
    AttemptName,
    Heartbeat,
    HeartbeatReply,
    HeldAttempt,
    ShardEpoch,
)

STEP_SECONDS = 0.25
HEARTBEAT_INTERVAL_SECONDS = 1.0
REPLY_TIMEOUT_SECONDS = 5.0
LEASE_SECONDS = 4.0
TIMINGS = Timings(grant_seconds=6.0, stop_seconds=2.0, outage_hold_seconds=20.0)
STOP_SECONDS = 1.9  # Time from the end of a lease until the worker pauses the task.
RUN_SECONDS = 5.0  # Run time of a task.
CORES = 2.0  # Cores of each worker.
SERVICE = "desk"
FINISH_TIMEOUT_SECONDS = 600.0


class RecordingStore(MemoryStore):
    """Store that records the events of all journal entries ever written in `history`."""

    def __init__(self, clock, faults):
        super().__init__(clock, faults)
        self.history = []

    def _put(self, key, value, expected_version, lease_id):
        version = super()._put(key, value, expected_version, lease_id)
        if key.startswith("shards/0/log/"):
            self.history += [event_from_plain(event) for event in Entry.decode(value).events]
        return version


class IsolatableStore:
    """Connection of one owner to the store; every call fails without effect while `isolated`."""

    def __init__(self, store):
        self.store = store
        self.isolated = False

    def __getattr__(self, name):
        if self.isolated:
            raise StoreUnavailable("the owner is cut off from the store", "wait")
        return getattr(self.store, name)


class DriftingClock:
    """Monotonic clock that runs at `rate` times the speed of the simulated time."""

    def __init__(self, simulation, rate, offset):
        self.simulation = simulation
        self.rate = rate
        self.offset = offset

    def now(self):
        """Return the present reading of the clock."""
        return self.simulation.time * self.rate + self.offset

    def true_time(self, reading):
        """Return the simulated time at which the clock shows `reading`."""
        return (reading - self.offset) / self.rate


class SimulatedWorker:
    """Worker that runs attempts under leases.

    Attributes
    ----------
    attempts
        Records by (task id, attempt number): the state, the end of the lease in simulated time and
        the seconds of work that are done.
    """

    def __init__(self, simulation, name):
        self.simulation = simulation
        self.name = name
        self.generation = 1
        self.attempts = {}

    @property
    def incarnation(self):
        """Id of the present incarnation of the worker."""
        return f"{self.name}-{self.generation}"

    def replace(self):
        """Replace the machine; all its attempts are lost."""
        self.generation += 1
        self.attempts = {}

    def start(self, name, lease_until, checkpoint):
        """Start an attempt, or extend its lease when it has already started."""
        if name in self.attempts:
            self.renew(name, lease_until)
            return
        self.simulation.oracle.check_start(name, checkpoint)
        done = self.simulation.progress_by_checkpoint.get(checkpoint, 0.0)
        self.attempts[name] = {"state": "running", "lease": lease_until, "done": done}

    def renew(self, name, lease_until, resume=False):
        """Extend the lease of an attempt; a paused one continues only if `resume` is true."""
        record = self.attempts.get(name)
        if record is not None:
            record["lease"] = max(record["lease"], lease_until)
            if resume and record["state"] == "paused":
                record["state"] = "running"

    def pause(self, name):
        """Pause a running attempt; it stays on the worker."""
        record = self.attempts.get(name)
        if record is not None and record["state"] == "running":
            record["state"] = "paused"

    def stop(self, name, keep_progress):
        """Stop an attempt, and return its checkpoint and whether it had already completed."""
        record = self.attempts.pop(name, None)
        if record is None:
            return "", False
        if record["state"] == "finished":
            return "", True
        return (
            self.simulation.new_checkpoint(name, record["done"]) if keep_progress else ""
        ), False

    def advance(self, seconds):
        """Advance the running attempts, and pause those whose lease has ended."""
        for name, record in self.attempts.items():
            if record["state"] != "running":
                continue
            if self.simulation.time >= record["lease"] + STOP_SECONDS:
                record["state"] = "paused"
                continue
            record["done"] += seconds
            if record["done"] >= RUN_SECONDS and name[0] not in self.simulation.endless_tasks:
                record["state"] = (
                    "failed" if name[0] in self.simulation.failing_tasks else "finished"
                )

    def running_tasks(self):
        """Return the ids of the running tasks."""
        return [name[0] for name, r in self.attempts.items() if r["state"] == "running"]


class Link:
    """Connection of an agent to an owner.

    Attributes
    ----------
    queues
        Messages in transit by destination, "agent" or "owner".
    sequence, received_sequence
        Sequence of the last heartbeat that the agent sent, and the highest that arrived.
    owned_epochs
        Epochs by shard that the owner stated in its last reply.
    free
        Free capacity that the agent stated in its last heartbeat.
    outstanding_grants
        Times at which the owner sent the grants without a reply, by (task id, attempt number).
    sent_lists, known_attempts
        The ends of the agent and of the owner for digests of attempt lists.
    """

    def __init__(self, number, agent, owner):
        self.number = number
        self.name = f"link-{number}"
        self.agent = agent
        self.owner = owner
        self.queues = {"agent": [], "owner": []}
        self.open = True
        self.sequence = 0
        self.received_sequence = 0
        self.next_heartbeat_at = 0.0
        self.owned_epochs = {}
        self.free = Resources(CORES, 1000, 0)
        self.incarnation = agent.worker.incarnation
        self.outstanding_grants = {}
        self.sent_lists = SentAttemptLists()
        self.known_attempts = KnownAttemptList()

    def send(self, destination, kind, *payload):
        """Queue a message for `destination`, and return whether the connection is open."""
        if self.open:
            path = (self.agent.name, self.owner.name)
            if (destination, *path) in self.agent.simulation.one_way_losses:
                return self.open
            delay = self.agent.simulation.delays.get(path, STEP_SECONDS)
            self.queues[destination].append((self.agent.simulation.time + delay, kind, payload))
        return self.open

    def receive(self, destination):
        """Remove and return the messages that have arrived at `destination`."""
        now = self.agent.simulation.time
        arrived = [item for item in self.queues[destination] if item[0] <= now]
        self.queues[destination] = [item for item in self.queues[destination] if item[0] > now]
        return [(kind, payload) for _, kind, payload in arrived]


class SimulatedAgent:
    """Agent process with a real `Host`; it does nothing while `frozen`."""

    def __init__(self, simulation, name, rate):
        self.simulation = simulation
        self.name = name
        self.clock = DriftingClock(simulation, rate, 1000.0 * rate)
        self.worker = SimulatedWorker(simulation, name)
        self.frozen = False
        self.links = {}
        self.restart()

    def restart(self):
        """Replace the agent process; its worker keeps running."""
        for link in list(self.links.values()):
            self.simulation.close(link)
        self.host = Host([SERVICE], grant_seconds=TIMINGS.grant_seconds)
        self.host.capacity = Resources(CORES, 1000, 0)
        self.host.worker_up = self.host.target_up = True

    def step(self):
        """Handle messages, poll the worker, connect to owners, and send reports and heartbeats."""
        for link in list(self.links.values()):
            for kind, payload in link.receive("agent"):
                self.handle_message(link, kind, payload)
        self.poll()
        self.connect_to_owners()
        for link in list(self.links.values()):
            self.send_reports(link)
            if self.simulation.time >= link.next_heartbeat_at:
                self.send_heartbeat(link)

    def poll(self):
        """Poll the tasks of the worker and execute the commands of the host."""
        now = self.clock.now()
        tasks = [
            WorkerTask(
                name[0],
                name[1],
                0,
                record["state"],
                Resources(1.0, 1, 0),
                Resources(),
                self.remaining_lease_seconds(record),
            )
            for name, record in self.worker.attempts.items()
        ]
        self.host.apply_target_status(True, [], now)
        self.host.apply_worker_tasks(tasks, now, now)
        for command in self.host.issue_commands(now):
            self.execute_command(command)

    def remaining_lease_seconds(self, record):
        """Return the rest of an attempt's lease in seconds of the agent's clock."""
        return (record["lease"] - self.simulation.time) * self.clock.rate

    def execute_command(self, command):
        """Execute a command of the host at the worker, and tell the host the result."""
        name = (command.task_id, command.attempt)
        attempt = self.host.ledger.find_attempt(*name)
        lease_until = self.clock.true_time(attempt.valid_until) if attempt is not None else 0.0
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            checkpoint, completed = self.worker.stop(name, command.keep_progress)
            self.host.record_stopped(command, checkpoint, 1.0, completed)
            return
        if command.kind is WorkerCommandKind.START:
            self.worker.start(name, lease_until, attempt.grant.checkpoint)
        elif command.kind is WorkerCommandKind.PAUSE:
            self.worker.pause(name)
        else:
            self.worker.renew(name, lease_until, command.kind is WorkerCommandKind.RESUME)
        self.host.record_command_done(command, self.clock.now())

    def connect_to_owners(self):
        """Connect to every reachable owner."""
        for owner in self.simulation.owners:
            is_partitioned = (self.name, owner.name) in self.simulation.partitions
            if owner.name not in self.links and not is_partitioned and not owner.frozen:
                link = self.simulation.connect(self, owner)
                link.send("owner", "hello", self.listed_attempts())

    def listed_attempts(self):
        """Return the attempts of the host as (task id, number, epoch, has ended)."""
        return [
            (a.task_id, a.number, a.grant.epoch, a.state is AttemptState.ENDED)
            for a in self.host.ledger
        ]

    def send_heartbeat(self, link):
        """Send a heartbeat with the attempts of the host, or with their digest."""
        link.sequence += 1
        link.next_heartbeat_at = self.simulation.time + HEARTBEAT_INTERVAL_SECONDS
        self.host.record_heartbeat(link.name, link.sequence, self.clock.now())
        listed = [
            HeldAttempt(0, epoch, task_id, number, ENDED_STATE if ended else "running")
            for task_id, number, epoch, ended in self.listed_attempts()
        ]
        message = link.sent_lists.abbreviate(Heartbeat(link.sequence, attempts=listed))
        self.simulation.digest_count += bool(message.digest)
        link.send("owner", "heartbeat", link.sequence, self.host.free_resources, message)

    def send_reports(self, link):
        """Report ended attempts, unless the agent knows of a newer owner than this one."""
        if link.owned_epochs.get(0, -1) < self.host.epochs.get(0, 0):
            return
        for attempt in self.host.unconfirmed_attempts():
            result = str(attempt.result)
            link.send(
                "owner", "report", attempt.task_id, attempt.number, result, attempt.end_checkpoint
            )

    def handle_message(self, link, kind, payload):
        """Handle a message from an owner."""
        now = self.clock.now()
        if kind == "reply":
            (reply,) = payload
            sequence = reply.sequence
            owned_epochs = {item.shard: item.epoch for item in reply.owned_shards}
            renewed = [(n.task_id, n.attempt) for n in link.sent_lists.renewed(reply)]
            link.owned_epochs = owned_epochs
            for shard, epoch in owned_epochs.items():
                self.host.observe_epoch(shard, epoch)
            if owned_epochs.get(0, -1) >= self.host.epochs.get(0, 0):
                for task_id, number in renewed:
                    seconds = TIMINGS.grant_seconds
                    self.host.renew_grant(link.name, sequence, task_id, number, seconds, now)
        elif kind == "grant":
            grant = Grant(**payload[0])
            reason = self.host.accept_grant(link.name, grant, now)
            link.send("owner", "granted", grant.task_id, grant.attempt, reason is None)
        elif kind == "stop":
            self.handle_stop(link, payload, now)
        elif kind == "confirmed":
            self.host.confirm_result(*payload, now)

    def handle_stop(self, link, payload, now):
        """Stop an attempt; one that the host does not run is reported as stopped at once."""
        epoch, task_id, number, keep_progress = payload
        if self.host.stop_attempt(0, epoch, task_id, number, keep_progress, now) is not None:
            return
        tracked = self.host.ledger.attempts.get(task_id)
        if tracked is None or tracked.number > number:
            link.send("owner", "report", task_id, number, str(AttemptResult.STOPPED), "")

    def served_buckets(self):
        """Return the ids of the buckets that this agent would serve now."""
        now = self.clock.now()
        return [
            a.task_id
            for a in self.host.ledger
            if a.is_bucket and a.state is AttemptState.RUNNING and now < a.valid_until
        ]


class SimulatedOwner:
    """Entry process with a real `Shard` while it owns the shard.

    Attributes
    ----------
    frozen
        Whether the process does nothing.
    passive
        Whether it leaves the shard to other owners instead of claiming it.
    in_doubt_count
        Number of events in the last append whose commit may still be unresolved.
    pending_submissions
        Submissions whose commit is outstanding.
    unconfirmed_reports
        Reports to confirm after their commit, as (ticket, link, task id, attempt number).
    """

    def __init__(self, simulation, name, rate):
        self.simulation = simulation
        self.name = name
        self.clock = DriftingClock(simulation, rate, 5000.0 * rate)
        self.frozen = False
        self.store = IsolatableStore(simulation.store)
        self.restart()

    def restart(self):
        """Replace the process, which loses its lease and its memory."""
        for link in [link for link in self.simulation.links if link.owner is self]:
            self.simulation.close(link)
        self.session = LeaseSession(self.store, LEASE_SECONDS)
        self.ownership = Ownership(self.store, 0, self.name)
        self.drop_shard()
        self.passive = False

    def drop_shard(self):
        """Drop the shard with everything that is not committed."""
        self.shard = None
        self.journal = None
        self.in_doubt_count = 0
        self.last_renewal = float("-inf")
        self.pending_submissions = []
        self.unconfirmed_reports = []

    def step(self):
        """Renew the lease, claim the shard, handle messages, schedule and commit."""
        self.renew_lease()
        if self.shard is not None and self.ownership.lease_id != self.session.lease_id:
            self.drop_shard()
        if self.shard is None and not self.passive:
            self.claim_shard()
        for link in [link for link in self.simulation.links if link.owner is self]:
            for kind, payload in link.receive("owner"):
                self.handle_message(link, kind, payload)
        if self.shard is not None:
            self.expire_and_schedule()
            self.commit()
        if self.shard is not None and self.shard.releasing:
            self.finish_release()

    def renew_lease(self):
        """Start the lease if there is none, and renew it."""
        try:
            if self.session.lease_id is None:
                self.session.start(self.clock.now())
            self.session.renew(self.clock.now())
        except AcaciastandError:
            pass

    def claim_shard(self):
        """Claim the shard, and take it over if the claim succeeds."""
        try:
            if not self.session.valid(self.clock.now()) or not self.ownership.claim(self.session):
                return
            self.take_over()
        except (StoreUnavailable, StoreAnswerLost, LeaseLost):
            return

    def take_over(self):
        """Take the journal over, and become the owner with the state that it holds."""
        journal = Journal(self.store, "shards/0", self.name, self.simulation.nonce)
        empty_shard = Shard(fold(0, None, []), TIMINGS)

        def events(epoch):
            event = empty_shard.takeover_event(self.name)
            return [event.replace(epoch=epoch).plain()]

        try:
            state = journal.take_over(events)
        except CompactionNeeded:
            loaded = journal.load()
            journal.compact(fold(0, loaded.snapshot, loaded.entries).snapshot())
            return
        *entries, last = state.entries
        self.shard = Shard(fold(0, state.snapshot, entries), TIMINGS)
        self.shard.apply_takeover(event_from_plain(last.events[0]), self.clock.now())
        self.journal = journal
        self.last_renewal = self.session.last_renewal
        self.scheduler = Scheduler(self.shard, 1, FirstFit(), SizeEstimator())
        self.simulation.takeover_count += 1

    def lease_deadlines(self):
        """Return the deadlines up to which attempts may be renewed."""
        self.last_renewal = self.session.last_renewal
        shard = self.shard
        renew_until = self.last_renewal + min(
            shard.timings.outage_hold_seconds, shard.state.timings.outage_hold_seconds
        )
        return LeaseDeadlines(self.session.valid_until, renew_until)

    def handle_message(self, link, kind, payload):
        """Handle a message from an agent."""
        if kind == "hello":
            self.process_contact(link, 0, payload[0])
        elif kind == "heartbeat":
            sequence, link.free, message = payload
            link.received_sequence = max(link.received_sequence, sequence)
            link.send("agent", "reply", self.heartbeat_reply(link, message.replace()))
        elif self.shard is None:
            return
        elif kind == "granted":
            task_id, attempt, accepted = payload
            link.outstanding_grants.pop((task_id, attempt), None)
            self.shard.record_grant_reply(task_id, attempt, accepted, self.clock.now())
        elif kind == "report":
            self.process_report(link, *payload)

    def heartbeat_reply(self, link, message):
        """Return the reply to a heartbeat; to an unknown digest it requests the whole list."""
        is_known = link.known_attempts.expand(message)
        listed = [
            (item.task_id, item.attempt, item.epoch, item.state == ENDED_STATE)
            for item in message.attempts
        ]
        renewed = self.process_contact(link, message.sequence, listed) if is_known else []
        owned = [ShardEpoch(0, self.shard.state.epoch)] if self.shard is not None else []
        names = [AttemptName(*name) for name in renewed]
        reply = HeartbeatReply(message.sequence, 0, owned, names)
        return link.known_attempts.abbreviate(message, reply) if is_known else reply

    def process_contact(self, link, sequence, listed):
        """Process a hello or heartbeat, and return the renewed attempts by id and number."""
        if self.shard is None:
            return []
        contact = AgentContact(
            link.agent.name,
            link.incarnation,
            link.number,
            sequence,
            [ListedAttempt(*fields) for fields in listed],
        )
        contacts = ContactProcessor(self.shard)
        renewed = contacts.process(contact, self.clock.now(), self.lease_deadlines())
        return [(attempt.task_id, attempt.attempt) for attempt in renewed]

    def process_report(self, link, task_id, number, result, checkpoint):
        """Process a report, and note it for confirmation after the commit of its ticket."""
        report = AttemptEndReport(link.agent.name, task_id, number, result, checkpoint)
        ticket = self.shard.process_report(report, self.clock.now())
        self.unconfirmed_reports.append((ticket, link, task_id, number))

    def expire_and_schedule(self):
        """Expire attempts, mark grants without a reply as unknown, and start what fits."""
        now = self.clock.now()
        for link in self.simulation.links:
            for name, sent_at in list(link.outstanding_grants.items()):
                if link.owner is self and (not link.open or now - sent_at > REPLY_TIMEOUT_SECONDS):
                    del link.outstanding_grants[name]
                    self.shard.record_lost_grant_reply(*name)
        self.shard.expire_attempts(now)
        if self.journal.unresolved or self.shard.releasing or self.simulation.faults.outage:
            return
        workers = [self.worker_view(link) for link in self.open_links() if link.received_sequence]
        self.scheduler.start_tasks(workers, {}, now)
        if self.simulation.buckets:
            self.scheduler.start_buckets(workers, now)

    def open_links(self):
        """Return the open connections of this owner."""
        return [link for link in self.simulation.links if link.owner is self and link.open]

    def worker_view(self, link):
        """Return the worker behind a connection as placement sees it."""
        capacity = Resources(CORES, 1000, 0)
        name = link.agent.name
        return WorkerView(name, link.incarnation, "gent", name, capacity, link.free, [SERVICE])

    def commit(self):
        """Append one batch to the journal, and send the messages whose events are committed."""
        events = self.shard.next_batch()
        try:
            if self.journal.unresolved:
                self.journal.resolve()
                self.complete_commit()
            elif events:
                if self.journal.compaction_due:
                    self.journal.compact(self.shard.committed_state.snapshot())
                self.in_doubt_count = len(events)
                self.journal.append([event.plain() for event in events])
                self.complete_commit()
        except (Fenced, AppendUnresolved):
            self.drop_shard()
            return
        except StoreAnswerLost:
            pass
        except (StoreUnavailable, CompactionNeeded):
            self.in_doubt_count = 0
            withdrawn = set(self.shard.withdraw_uncommitted_jobs())
            self.pending_submissions = [
                s for s in self.pending_submissions if s.job_id not in withdrawn
            ]
        self.send_ready_messages()

    def complete_commit(self):
        """Mark the events of the last append as committed, and accept the durable submissions."""
        self.shard.mark_committed(self.in_doubt_count)
        self.in_doubt_count = 0
        for submission in list(self.pending_submissions):
            if submission.ticket <= self.shard.committed_sequence:
                self.pending_submissions.remove(submission)
                self.simulation.accepted_jobs[submission.job_id] = self.simulation.time

    def send_ready_messages(self):
        """Confirm the committed reports, and send grants and stop requests."""
        for item in list(self.unconfirmed_reports):
            ticket, link, task_id, number = item
            if ticket <= self.shard.committed_sequence:
                self.unconfirmed_reports.remove(item)
                link.send("agent", "confirmed", task_id, number)
        for message in self.shard.pop_ready_messages():
            link = next((k for k in self.open_links() if k.agent.name == message.agent_id), None)
            if isinstance(message, OutgoingGrant):
                self.send_grant(link, message)
            elif link is not None:
                epoch = self.shard.state.epoch
                link.send(
                    "agent", "stop", epoch, message.task_id, message.attempt, message.keep_progress
                )

    def send_grant(self, link, grant):
        """Send a grant, or tell the shard that it was not sent."""
        now = self.clock.now()
        if link is None or not link.received_sequence:
            self.shard.record_unsent_grant(grant.task_id, grant.attempt, now)
            return
        if not self.shard.begin_sending_grant(grant.task_id, grant.attempt, now):
            return
        link.outstanding_grants[(grant.task_id, grant.attempt)] = now
        fields = {
            "shard": 0,
            "epoch": self.shard.state.epoch,
            "task_id": grant.task_id,
            "attempt": grant.attempt,
            "size": grant.size,
            "checkpoint": grant.checkpoint,
            "heartbeat_sequence": link.received_sequence,
            "grant_seconds": TIMINGS.grant_seconds,
        }
        link.send("agent", "grant", fields)

    def submit(self, job_id, spec):
        """Submit a job, which is accepted once its submission is committed."""
        if self.shard is not None and not self.shard.releasing:
            self.pending_submissions.append(self.shard.submit(spec, "", job_id))

    def release(self):
        """Begin a graceful release, and stay passive until the end of all faults or a restart."""
        if self.shard is None:
            return
        if not self.shard.releasing:
            self.release_ticket = self.shard.release()
            self.release_deadline = self.clock.now() + REPLY_TIMEOUT_SECONDS
            self.passive = True

    def finish_release(self):
        """Release the owner key once the release is committed or its deadline has passed."""
        is_committed = self.shard.committed_sequence >= self.release_ticket
        if not is_committed and self.clock.now() < self.release_deadline:
            return
        self.drop_shard()
        with suppress(AcaciastandError):
            self.ownership.release()


class Oracle:
    """Checks of what must hold at every moment, and of the journal at the end."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.started_attempts = set()

    def check_start(self, name, checkpoint):
        """Check that an attempt starts only once, and record the checkpoint that it resumes."""
        assert name not in self.started_attempts, f"attempt {name} was started twice"
        self.started_attempts.add(name)
        if not name[0].startswith("bucket/"):
            self.simulation.resumed_checkpoints.setdefault(name, checkpoint)

    def check_single_placement(self):
        """Check that no task runs on two workers and no bucket is served by two agents."""
        running = Counter()
        for worker in [agent.worker for agent in self.simulation.agents]:
            running.update(set(worker.running_tasks()))
        for task_id, count in running.items():
            assert count <= 1, f"{task_id} runs in two places"
        homes = Counter(name for agent in self.simulation.agents for name in agent.served_buckets())
        for name, count in homes.items():
            assert count <= 1, f"{name} has two homes"

    def check_journal(self, events):
        """Check the checkpoints, cancellations and completions in all events of the journal."""
        completed = Counter()
        checkpoints = {}
        cancelled = set()
        for event in events:
            if isinstance(event, JobCancelled):
                cancelled.add(event.job_id)
            elif isinstance(event, AttemptStarted):
                job_id = event.task_id.rpartition("/")[0]
                assert job_id not in cancelled, f"{event.task_id} started after its cancellation"
                resumed = self.simulation.resumed_checkpoints.get((event.task_id, event.attempt))
                expected = checkpoints.get(event.task_id, "")
                assert resumed in (None, expected), (
                    f"attempt {event.attempt} of {event.task_id} resumed {resumed!r}, "
                    f"not the checkpoint {expected!r}"
                )
            elif isinstance(event, AttemptEnded):
                expected = self.simulation.checkpoints_made.get(
                    (event.task_id, event.attempt), event.checkpoint
                )
                if event.end == AttemptEnd.EVICTED:
                    assert event.checkpoint == expected, (
                        f"attempt {event.attempt} of {event.task_id} ended with "
                        f"{event.checkpoint!r}, not the checkpoint {expected!r}"
                    )
                if event.checkpoint:
                    checkpoints[event.task_id] = event.checkpoint
                completed[event.task_id] += event.end == AttemptEnd.COMPLETED
        for task_id, count in completed.items():
            assert count <= 1, f"{task_id} was completed twice"


class ShardSimulation:
    """Simulated time, processes, links and faults of one shard.

    Parameters
    ----------
    owners, agents
        Number of entries that can own the shard, and of agents.
    rates
        Speeds of the clocks, assigned to owners from the first on and to agents from the last on.
    buckets
        Whether owners assign the buckets of the service.

    Attributes
    ----------
    time
        Simulated time in seconds.
    partitions
        Pairs of an agent and an owner that cannot connect, by name.
    one_way_losses
        Losses of all messages in one direction, as (destination, agent name, owner name).
    delays
        Delays in seconds of all messages of a pair, by (agent name, owner name).
    progress_by_checkpoint
        Seconds of work that a checkpoint holds.
    checkpoints_made
        Checkpoint that a worker made when it stopped an attempt, by (task id, number).
    resumed_checkpoints
        Checkpoint with which a worker started an attempt, by (task id, number).
    endless_tasks, failing_tasks
        Ids of tasks that never complete, and of tasks that fail at their end.
    accepted_jobs
        Time at which the submission of a job was committed, by job id.
    """

    def __init__(self, owners=3, agents=2, rates=(1.02, 0.98, 1.0), buckets=False):
        self.time = 0.0
        self.faults = FaultPlan()
        self.store = RecordingStore(lambda: self.time, self.faults)
        self.partitions = set()
        self.one_way_losses = set()
        self.delays = {}
        self.links = []
        self.link_count = 0
        self.nonce_count = 0
        self.progress_by_checkpoint = {}
        self.checkpoints_made = {}
        self.endless_tasks = set()
        self.failing_tasks = set()
        self.accepted_jobs = {}
        self.cancelled_jobs = set()
        self.resumed_checkpoints = {}
        self.takeover_count = 0
        self.digest_count = 0
        self.job_count = 0
        self.buckets = buckets
        self.oracle = Oracle(self)
        self.owners = []
        self.agents = []
        for number in range(owners):
            self.owners.append(SimulatedOwner(self, f"owner-{number}", rates[number % len(rates)]))
        for number in range(agents):
            self.agents.append(
                SimulatedAgent(self, f"agent-{number}", rates[-1 - number % len(rates)])
            )

    def nonce(self):
        """Return a nonce that was not returned before."""
        self.nonce_count += 1
        return self.nonce_count.to_bytes(16, "big")

    def new_checkpoint(self, name, done):
        """Create the checkpoint of a stopped attempt with `done` seconds of work."""
        checkpoint = f"checkpoint-{len(self.progress_by_checkpoint)}"
        self.progress_by_checkpoint[checkpoint] = done
        self.checkpoints_made[name] = checkpoint
        return checkpoint

    def connect(self, agent, owner):
        """Open a connection of an agent to an owner, and return it."""
        self.link_count += 1
        link = Link(self.link_count, agent, owner)
        agent.links[owner.name] = link
        self.links.append(link)
        return link

    def close(self, link):
        """Close a connection; messages in transit are lost."""
        link.open = False
        link.queues = {"agent": [], "owner": []}
        link.agent.host.heartbeats.forget_link(link.name)
        if link.agent.links.get(link.owner.name) is link:
            del link.agent.links[link.owner.name]
        if link.owner.shard is not None:
            for name in link.outstanding_grants:
                link.owner.shard.record_lost_grant_reply(*name)
        link.outstanding_grants = {}
        self.links = [other for other in self.links if other is not link]

    def current_owner(self):
        """Return the owner with the highest epoch, or None."""
        owners = [owner for owner in self.owners if owner.shard is not None]
        return max(owners, key=lambda owner: owner.shard.state.epoch, default=None)

    def submit(self, tasks=1, urgent=False):
        """Submit a job to the current owner, and return the id of the job."""
        self.job_count += 1
        job_id = f"j0-{self.job_count:012x}"
        owner = self.current_owner()
        if owner is not None and not owner.frozen:
            size = Resources(1.0, 1, 0)
            owner.submit(job_id, JobSpec("", "team", "class", urgent, tasks, size, RUN_SECONDS))
        return job_id

    def cancel(self, job_id):
        """Cancel a job at the current owner, if it is there; errors are ignored."""
        owner = self.current_owner()
        if owner is None or owner.frozen:
            return
        try:
            owner.shard.cancel(job_id)
        except AcaciastandError:
            return
        self.cancelled_jobs.add(job_id)

    def advance(self, seconds):
        """Advance the time; processes that are not frozen run, with checks after each step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.time += STEP_SECONDS
            for agent in self.agents:
                agent.worker.advance(STEP_SECONDS)
            self.oracle.check_single_placement()
            for process in [*self.owners, *self.agents]:
                if not process.frozen:
                    process.step()
                    self.oracle.check_single_placement()

    def partition(self, agent, owner):
        """Close the connection between an agent and an owner, and prevent new ones."""
        self.partitions.add((agent.name, owner.name))
        link = agent.links.get(owner.name)
        if link is not None:
            self.close(link)

    def end_faults(self):
        """End all faults, and deliver the delayed writes to the store."""
        self.partitions.clear()
        self.one_way_losses.clear()
        self.delays.clear()
        self.faults.clear()
        while self.faults.delayed:
            self.faults.deliver(0)
        for process in [*self.owners, *self.agents]:
            process.frozen = False
        for owner in self.owners:
            owner.passive = False
            owner.store.isolated = False

    def journal_state(self):
        """Return the state after all events of the journal."""
        journal = Journal(self.store, "shards/0", "oracle", self.nonce)
        loaded = journal.load()
        return fold(0, loaded.snapshot, loaded.entries)

    def finish_and_check(self):
        """End all faults, run until all jobs have finished, and check that none was lost."""
        self.end_faults()
        self.endless_tasks.clear()
        deadline = self.time + FINISH_TIMEOUT_SECONDS
        while self.time < deadline:
            state = self.journal_state()
            if not state.jobs:
                break
            self.advance(5.0)
        state = self.journal_state()
        for job_id in self.accepted_jobs:
            assert (
                job_id in state.finished_jobs
            ), f"accepted job {job_id} was lost or never finished"
            finished = state.finished_jobs[job_id]
            if not finished.cancelled:
                done_count = finished.counts[2]
                assert done_count == sum(
                    finished.counts
                ), f"job {job_id} ended as {finished.counts}"
        self.oracle.check_journal(self.store.history)
