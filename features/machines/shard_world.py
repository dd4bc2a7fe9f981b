"""Owners, agents and workers of one shard on fake clocks, with bad links and a bad store.

The aggregates `Shard`, `Scheduler` and `Host`, the journal and the ownership are the real ones;
clocks, links, workers and the store's faults are models. Every oracle reads the models or the
journal, never the aggregates under test.
"""

from collections import Counter
from contextlib import suppress

from acaciastand.coordination.entries import Entry
from acaciastand.coordination.faults import FaultPlan
from acaciastand.coordination.journal import AppendUnresolved, CompactionNeeded, Fenced, Journal
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
from acaciastand.shard.effects import Grant as GrantEffect
from acaciastand.shard.events import (
    AttemptEnd,
    AttemptEnded,
    AttemptStarted,
    JobCancelled,
    event_from_plain,
)
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import Timings
from acaciastand.shard.runtime_state import AgentContact, AttemptEndReport, Authority, ListedAttempt
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
HEARTBEAT_SECONDS = 1.0
REPLY_SECONDS = 5.0
LEASE_SECONDS = 4.0
TIMINGS = Timings(grant_seconds=6.0, stop_seconds=2.0, outage_hold_seconds=20.0)
STOP_SECONDS = 1.9  # the worker stops a task this late after its lease
RUN_SECONDS = 5.0  # run time of a task
CORES = 2.0
SERVICE = "desk"
FINALE_SECONDS = 600.0


class RecordingStore(MemoryStore):
    """Keeps the events of every journal entry that was ever written."""

    def __init__(self, clock, faults):
        super().__init__(clock, faults)
        self.history = []

    def _put(self, key, value, expected_version, lease_id):
        version = super()._put(key, value, expected_version, lease_id)
        if key.startswith("shards/0/log/"):
            self.history += [event_from_plain(event) for event in Entry.decode(value).events]
        return version


class OwnerStore:
    """The store as one owner reaches it; nothing has an effect while `isolated`."""

    def __init__(self, store):
        self.store = store
        self.isolated = False

    def __getattr__(self, name):
        if self.isolated:
            raise StoreUnavailable("the owner is cut off from the store", "wait")
        return getattr(self.store, name)


class Clock:
    """A monotonic clock that runs at another rate than the true time."""

    def __init__(self, world, rate, offset):
        self.world = world
        self.rate = rate
        self.offset = offset

    def now(self):
        """Return the reading."""
        return self.world.time * self.rate + self.offset

    def true_time(self, reading):
        """Return the true time of a reading."""
        return (reading - self.offset) / self.rate


class WorkerModel:
    """Runs tasks under leases; `attempts` maps (task, attempt) to its record."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.generation = 1
        self.attempts = {}

    @property
    def incarnation(self):
        """Name of the present incarnation."""
        return f"{self.name}-{self.generation}"

    def replace(self):
        """Lose everything that runs, as a new machine does."""
        self.generation += 1
        self.attempts = {}

    def start(self, name, lease_until, checkpoint):
        """Start an attempt, once."""
        if name in self.attempts:
            self.renew(name, lease_until)
            return
        self.world.oracle.started(name, checkpoint)
        done = self.world.progress.get(checkpoint, 0.0)
        self.attempts[name] = {"state": "running", "lease": lease_until, "done": done}

    def renew(self, name, lease_until, resume=False):
        """Extend a lease; a paused task goes on only when it is resumed."""
        record = self.attempts.get(name)
        if record is not None:
            record["lease"] = max(record["lease"], lease_until)
            if resume and record["state"] == "paused":
                record["state"] = "running"

    def pause(self, name):
        """Pause a task in place."""
        record = self.attempts.get(name)
        if record is not None and record["state"] == "running":
            record["state"] = "paused"

    def stop(self, name, keep_progress):
        """Stop a task and return its checkpoint and whether it had completed."""
        record = self.attempts.pop(name, None)
        if record is None:
            return "", False
        if record["state"] == "finished":
            return "", True
        return (self.world.new_checkpoint(name, record["done"]) if keep_progress else ""), False

    def advance(self, seconds):
        """Let running tasks progress, and pause those whose lease ended."""
        for name, record in self.attempts.items():
            if record["state"] != "running":
                continue
            if self.world.time >= record["lease"] + STOP_SECONDS:
                record["state"] = "paused"
                continue
            record["done"] += seconds
            if record["done"] >= RUN_SECONDS and name[0] not in self.world.endless:
                record["state"] = "failed" if name[0] in self.world.failing else "finished"

    def running(self):
        """Return the tasks that run now."""
        return [name[0] for name, r in self.attempts.items() if r["state"] == "running"]


class Link:
    """A connection of an agent to an owner; messages wait in one queue per direction."""

    def __init__(self, number, agent, owner):
        self.number = number
        self.name = f"link-{number}"
        self.agent = agent
        self.owner = owner
        self.queues = {"agent": [], "owner": []}
        self.open = True
        self.sequence = 0
        self.received_sequence = 0
        self.next_heartbeat = 0.0
        self.owned = {}
        self.free = Resources(CORES, 1000, 0)
        self.incarnation = agent.worker.incarnation
        self.waiting = {}
        self.sent_lists = SentAttemptLists()
        self.known_attempts = KnownAttemptList()

    def send(self, end, kind, *payload):
        """Queue a message towards `end` and return whether the connection is open."""
        if self.open:
            pair = (self.agent.name, self.owner.name)
            if (end, *pair) in self.agent.world.deaf:
                return self.open
            delay = self.agent.world.delays.get(pair, STEP_SECONDS)
            self.queues[end].append((self.agent.world.time + delay, kind, payload))
        return self.open

    def receive(self, end):
        """Return the messages that have arrived at `end`."""
        now = self.agent.world.time
        due = [item for item in self.queues[end] if item[0] <= now]
        self.queues[end] = [item for item in self.queues[end] if item[0] > now]
        return [(kind, payload) for _, kind, payload in due]


class AgentModel:
    """The agent process around a real `Host`."""

    def __init__(self, world, name, rate):
        self.world = world
        self.name = name
        self.clock = Clock(world, rate, 1000.0 * rate)
        self.worker = WorkerModel(world, name)
        self.frozen = False
        self.links = {}
        self.restart()

    def restart(self):
        """Replace the process; the worker goes on."""
        for link in list(self.links.values()):
            self.world.close(link)
        self.host = Host([SERVICE], grant_seconds=TIMINGS.grant_seconds)
        self.host.capacity = Resources(CORES, 1000, 0)
        self.host.worker_up = self.host.target_up = True

    def step(self):
        """Handle messages, poll the worker, run commands, report, send heartbeats."""
        for link in list(self.links.values()):
            for kind, payload in link.receive("agent"):
                self.received(link, kind, payload)
        self.poll()
        self.dial()
        for link in list(self.links.values()):
            self.report(link)
            if self.world.time >= link.next_heartbeat:
                self.heartbeat(link)

    def poll(self):
        """List the worker's tasks and carry out the host's commands."""
        now = self.clock.now()
        tasks = [
            WorkerTask(
                name[0],
                name[1],
                0,
                record["state"],
                Resources(1.0, 1, 0),
                Resources(),
                self.lease_left(record),
            )
            for name, record in self.worker.attempts.items()
        ]
        self.host.apply_target_status(True, [], now)
        self.host.apply_worker_tasks(tasks, now, now)
        for command in self.host.issue_commands(now):
            self.carry_out(command)

    def lease_left(self, record):
        """Return what is left of a worker lease on the agent's clock."""
        return (record["lease"] - self.world.time) * self.clock.rate

    def carry_out(self, command):
        """Make one call to the worker."""
        name = (command.task_id, command.attempt)
        attempt = self.host.ledger.find_attempt(*name)
        lease = self.clock.true_time(attempt.valid_until) if attempt is not None else 0.0
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            checkpoint, completed = self.worker.stop(name, command.keep_progress)
            self.host.record_stopped(command, checkpoint, 1.0, completed)
            return
        if command.kind is WorkerCommandKind.START:
            self.worker.start(name, lease, attempt.grant.checkpoint)
        elif command.kind is WorkerCommandKind.PAUSE:
            self.worker.pause(name)
        else:
            self.worker.renew(name, lease, command.kind is WorkerCommandKind.RESUME)
        self.host.record_command_done(command, self.clock.now())

    def dial(self):
        """Connect to every reachable owner."""
        for owner in self.world.owners:
            blocked = (self.name, owner.name) in self.world.cut
            if owner.name not in self.links and not blocked and not owner.frozen:
                link = self.world.connect(self, owner)
                link.send("owner", "hello", self.listed_attempts())

    def listed_attempts(self):
        """Return what the agent lists, as (task, attempt, epoch, ended)."""
        return [
            (a.task_id, a.number, a.grant.epoch, a.state is AttemptState.ENDED)
            for a in self.host.ledger
        ]

    def heartbeat(self, link):
        """Send a heartbeat."""
        link.sequence += 1
        link.next_heartbeat = self.world.time + HEARTBEAT_SECONDS
        self.host.record_heartbeat(link.name, link.sequence, self.clock.now())
        listed = [
            HeldAttempt(0, epoch, task_id, number, ENDED_STATE if ended else "running")
            for task_id, number, epoch, ended in self.listed_attempts()
        ]
        message = link.sent_lists.abbreviate(Heartbeat(link.sequence, attempts=listed))
        self.world.digests += bool(message.digest)
        link.send("owner", "heartbeat", link.sequence, self.host.free_resources, message)

    def report(self, link):
        """Report ended attempts to the owner as far as the agent knows it."""
        if link.owned.get(0, -1) < self.host.epochs.get(0, 0):
            return
        for attempt in self.host.unconfirmed_attempts():
            result = str(attempt.result)
            link.send(
                "owner", "report", attempt.task_id, attempt.number, result, attempt.end_checkpoint
            )

    def received(self, link, kind, payload):
        """Handle a message of an owner."""
        now = self.clock.now()
        if kind == "reply":
            (reply,) = payload
            sequence = reply.sequence
            owned = {item.shard: item.epoch for item in reply.owned_shards}
            renewed = [(n.task_id, n.attempt) for n in link.sent_lists.renewed(reply)]
            link.owned = owned
            for shard, epoch in owned.items():
                self.host.observe_epoch(shard, epoch)
            if owned.get(0, -1) >= self.host.epochs.get(0, 0):
                for task_id, number in renewed:
                    seconds = TIMINGS.grant_seconds
                    self.host.renew_grant(link.name, sequence, task_id, number, seconds, now)
        elif kind == "grant":
            grant = Grant(**payload[0])
            reason = self.host.accept_grant(link.name, grant, now)
            link.send("owner", "granted", grant.task_id, grant.attempt, reason is None)
        elif kind == "stop":
            self.stop(link, payload, now)
        elif kind == "confirmed":
            self.host.confirm_result(*payload, now)

    def stop(self, link, payload, now):
        """Stop an attempt; one that is not held is reported as stopped at once."""
        epoch, task_id, number, keep_progress = payload
        if self.host.stop_attempt(0, epoch, task_id, number, keep_progress, now) is not None:
            return
        tracked = self.host.ledger.attempts.get(task_id)
        if tracked is None or tracked.number > number:
            link.send("owner", "report", task_id, number, str(AttemptResult.STOPPED), "")

    def homes(self):
        """Return the buckets that this agent would serve now."""
        now = self.clock.now()
        return [
            a.task_id
            for a in self.host.ledger
            if a.is_bucket and a.state is AttemptState.RUNNING and now < a.valid_until
        ]


class OwnerModel:
    """The entry process around a real `Shard`."""

    def __init__(self, world, name, rate):
        self.world = world
        self.name = name
        self.clock = Clock(world, rate, 5000.0 * rate)
        self.frozen = False
        self.store = OwnerStore(world.store)
        self.restart()

    def restart(self):
        """Replace the process; its lease and its memory are gone."""
        for link in [link for link in self.world.links if link.owner is self]:
            self.world.close(link)
        self.session = LeaseSession(self.store, LEASE_SECONDS)
        self.ownership = Ownership(self.store, 0, self.name)
        self.drop()
        self.passive = False

    def drop(self):
        """Forget the shard."""
        self.shard = None
        self.journal = None
        self.in_doubt = 0
        self.last_renewal = float("-inf")
        self.submissions = []
        self.reports = []

    def step(self):
        """One turn: lease, claim, messages, decisions, commit, effects."""
        self.renew_lease()
        if self.shard is not None and self.ownership.lease_id != self.session.lease_id:
            self.drop()
        if self.shard is None and not self.passive:
            self.claim()
        for link in [link for link in self.world.links if link.owner is self]:
            for kind, payload in link.receive("owner"):
                self.received(link, kind, payload)
        if self.shard is not None:
            self.decide()
            self.commit()
        if self.shard is not None and self.shard.releasing:
            self.finish_release()

    def renew_lease(self):
        """Start or renew the lease."""
        try:
            if self.session.lease_id is None:
                self.session.start(self.clock.now())
            self.session.renew(self.clock.now())
        except AcaciastandError:
            pass

    def claim(self):
        """Claim the shard and take its journal over."""
        try:
            if not self.session.valid(self.clock.now()) or not self.ownership.claim(self.session):
                return
            self.take_over()
        except (StoreUnavailable, StoreAnswerLost, LeaseLost):
            return

    def take_over(self):
        """Fold the journal and start as owner."""
        journal = Journal(self.store, "shards/0", self.name, self.world.nonce)
        probe = Shard(fold(0, None, []), TIMINGS)

        def events(epoch):
            event = probe.takeover_event(self.name)
            return [event.replace(epoch=epoch).plain()]

        try:
            state = journal.take_over(events)
        except CompactionNeeded:
            loaded = journal.load()
            journal.compact(fold(0, loaded.snapshot, loaded.entries).snapshot())
            return
        *entries, last = state.entries
        self.shard = Shard(fold(0, state.snapshot, entries), TIMINGS)
        self.shard.took_over(event_from_plain(last.events[0]), self.clock.now())
        self.journal = journal
        self.last_renewal = self.session.last_renewal
        self.scheduler = Scheduler(self.shard, 1, FirstFit(), SizeEstimator())
        self.world.takeovers += 1

    def authority(self):
        """Return until when attempts may be renewed."""
        self.last_renewal = self.session.last_renewal
        shard = self.shard
        renew_until = self.last_renewal + min(
            shard.timings.outage_hold_seconds, shard.state.timings.outage_hold_seconds
        )
        return Authority(self.session.valid_until, renew_until)

    def received(self, link, kind, payload):
        """Handle a message of an agent."""
        if kind == "hello":
            self.contact(link, 0, payload[0])
        elif kind == "heartbeat":
            sequence, link.free, message = payload
            link.received_sequence = max(link.received_sequence, sequence)
            link.send("agent", "reply", self.reply(link, message.replace()))
        elif self.shard is None:
            return
        elif kind == "granted":
            task_id, attempt, accepted = payload
            link.waiting.pop((task_id, attempt), None)
            self.shard.grant_answered(task_id, attempt, accepted, self.clock.now())
        elif kind == "report":
            self.report(link, *payload)

    def reply(self, link, message):
        """Return the reply to a heartbeat; a digest of an unknown list asks for the list."""
        known = link.known_attempts.expand(message)
        listed = [
            (item.task_id, item.attempt, item.epoch, item.state == ENDED_STATE)
            for item in message.attempts
        ]
        renewed = self.contact(link, message.sequence, listed) if known else []
        owned = [ShardEpoch(0, self.shard.state.epoch)] if self.shard is not None else []
        names = [AttemptName(*name) for name in renewed]
        reply = HeartbeatReply(message.sequence, 0, owned, names)
        return link.known_attempts.abbreviate(message, reply) if known else reply

    def contact(self, link, sequence, listed):
        """Take in a hello or heartbeat and return the renewed attempts."""
        if self.shard is None:
            return []
        contact = AgentContact(
            link.agent.name,
            link.incarnation,
            link.number,
            sequence,
            [ListedAttempt(*h) for h in listed],
        )
        renewed = self.shard.contact(contact, self.clock.now(), self.authority())
        return [(listed.task_id, listed.attempt) for listed in renewed]

    def report(self, link, task_id, number, result, checkpoint):
        """Take in a report; it is confirmed after its ticket is committed."""
        report = AttemptEndReport(link.agent.name, task_id, number, result, checkpoint)
        ticket = self.shard.report(report, self.clock.now())
        self.reports.append((ticket, link, task_id, number))

    def decide(self):
        """Expire, give up on lost replies and start what fits."""
        now = self.clock.now()
        for link in self.world.links:
            for name, sent in list(link.waiting.items()):
                if link.owner is self and (not link.open or now - sent > REPLY_SECONDS):
                    del link.waiting[name]
                    self.shard.grant_unknown(*name)
        self.shard.expire(now)
        if self.journal.unresolved or self.shard.releasing or self.world.faults.outage:
            return
        workers = [self.view(link) for link in self.open_links() if link.received_sequence]
        self.scheduler.start_tasks(workers, {}, now)
        if self.world.buckets:
            self.scheduler.start_buckets(workers, now)

    def open_links(self):
        """Return the connections of this owner."""
        return [link for link in self.world.links if link.owner is self and link.open]

    def view(self, link):
        """Return the worker behind a connection as placement sees it."""
        capacity = Resources(CORES, 1000, 0)
        name = link.agent.name
        return WorkerView(name, link.incarnation, "gent", name, capacity, link.free, [SERVICE])

    def commit(self):
        """Append one batch and carry out the effects of what is committed."""
        events = self.shard.batch()
        try:
            if self.journal.unresolved:
                self.journal.resolve()
                self.committed()
            elif events:
                if self.journal.compaction_due:
                    self.journal.compact(self.shard.durable.snapshot())
                self.in_doubt = len(events)
                self.journal.append([event.plain() for event in events])
                self.committed()
        except (Fenced, AppendUnresolved):
            self.drop()
            return
        except StoreAnswerLost:
            pass
        except (StoreUnavailable, CompactionNeeded):
            self.in_doubt = 0
            withdrawn = set(self.shard.withdraw_uncommitted_jobs())
            self.submissions = [s for s in self.submissions if s.job_id not in withdrawn]
        self.carry_out_effects()

    def committed(self):
        """Answer submissions and reports that are durable."""
        self.shard.batch_committed(self.in_doubt)
        self.in_doubt = 0
        for submission in list(self.submissions):
            if submission.ticket <= self.shard.committed:
                self.submissions.remove(submission)
                self.world.accepted[submission.job_id] = self.world.time

    def carry_out_effects(self):
        """Confirm reports, send grants and stops."""
        for item in list(self.reports):
            ticket, link, task_id, number = item
            if ticket <= self.shard.committed:
                self.reports.remove(item)
                link.send("agent", "confirmed", task_id, number)
        for effect in self.shard.pop_effects():
            link = next((k for k in self.open_links() if k.agent.name == effect.agent_id), None)
            if isinstance(effect, GrantEffect):
                self.send_grant(link, effect)
            elif link is not None:
                epoch = self.shard.state.epoch
                link.send(
                    "agent", "stop", epoch, effect.task_id, effect.attempt, effect.keep_progress
                )

    def send_grant(self, link, effect):
        """Send a grant, or tell that it was not sent."""
        now = self.clock.now()
        if link is None or not link.received_sequence:
            self.shard.grant_not_sent(effect.task_id, effect.attempt, now)
            return
        if not self.shard.grant_sending(effect.task_id, effect.attempt, now):
            return
        link.waiting[(effect.task_id, effect.attempt)] = now
        fields = {
            "shard": 0,
            "epoch": self.shard.state.epoch,
            "task_id": effect.task_id,
            "attempt": effect.attempt,
            "size": effect.size,
            "checkpoint": effect.checkpoint,
            "heartbeat_sequence": link.received_sequence,
            "grant_seconds": TIMINGS.grant_seconds,
        }
        link.send("agent", "grant", fields)

    def submit(self, job_id, spec):
        """Submit a job; it is accepted once committed."""
        if self.shard is not None and not self.shard.releasing:
            self.submissions.append(self.shard.submit(spec, "", job_id))

    def release(self):
        """Release the shard gracefully and stay passive until restarted."""
        if self.shard is None:
            return
        if not self.shard.releasing:
            self.release_ticket = self.shard.release()
            self.release_until = self.clock.now() + REPLY_SECONDS
            self.passive = True

    def finish_release(self):
        """Give up the owner key when the release is committed or took too long."""
        committed = self.shard.committed >= self.release_ticket
        if not committed and self.clock.now() < self.release_until:
            return
        self.drop()
        with suppress(AcaciastandError):
            self.ownership.release()


class Oracle:
    """What must hold at every moment."""

    def __init__(self, world):
        self.world = world
        self.seen = set()

    def started(self, name, checkpoint):
        """Check a start at a worker against the journal."""
        assert name not in self.seen, f"attempt {name} was started twice"
        self.seen.add(name)
        if not name[0].startswith("bucket/"):
            self.world.resumed.setdefault(name, checkpoint)

    def check(self):
        """Check that nothing runs or is served in two places."""
        running = Counter()
        for worker in [agent.worker for agent in self.world.agents]:
            running.update(set(worker.running()))
        for task_id, count in running.items():
            assert count <= 1, f"{task_id} runs in two places"
        homes = Counter(name for agent in self.world.agents for name in agent.homes())
        for name, count in homes.items():
            assert count <= 1, f"{name} has two homes"

    def check_journal(self, events):
        """Check checkpoints and completions over the whole history."""
        completed = Counter()
        checkpoints = {}
        cancelled = set()
        for event in events:
            if isinstance(event, JobCancelled):
                cancelled.add(event.job_id)
            elif isinstance(event, AttemptStarted):
                job_id = event.task_id.rpartition("/")[0]
                assert job_id not in cancelled, f"{event.task_id} started after its cancellation"
                resumed = self.world.resumed.get((event.task_id, event.attempt))
                expected = checkpoints.get(event.task_id, "")
                assert resumed in (None, expected), (
                    f"attempt {event.attempt} of {event.task_id} resumed {resumed!r}, "
                    f"not the checkpoint {expected!r}"
                )
            elif isinstance(event, AttemptEnded):
                made = self.world.made.get((event.task_id, event.attempt), event.checkpoint)
                if event.end == AttemptEnd.EVICTED:
                    assert event.checkpoint == made, (
                        f"attempt {event.attempt} of {event.task_id} ended with "
                        f"{event.checkpoint!r}, not the checkpoint {made!r}"
                    )
                if event.checkpoint:
                    checkpoints[event.task_id] = event.checkpoint
                completed[event.task_id] += event.end == AttemptEnd.COMPLETED
        for task_id, count in completed.items():
            assert count <= 1, f"{task_id} was completed twice"


class World:
    """All parties and the true time."""

    def __init__(self, owners=3, agents=2, rates=(1.02, 0.98, 1.0), buckets=False):
        self.time = 0.0
        self.faults = FaultPlan()
        self.store = RecordingStore(lambda: self.time, self.faults)
        self.cut = set()
        self.deaf = set()
        self.delays = {}
        self.links = []
        self.link_count = 0
        self.nonces = 0
        self.progress = {}
        self.made = {}
        self.endless = set()
        self.failing = set()
        self.accepted = {}
        self.cancelled = set()
        self.resumed = {}
        self.takeovers = 0
        self.digests = 0
        self.job_count = 0
        self.buckets = buckets
        self.oracle = Oracle(self)
        self.owners = []
        self.agents = []
        for number in range(owners):
            self.owners.append(OwnerModel(self, f"owner-{number}", rates[number % len(rates)]))
        for number in range(agents):
            self.agents.append(AgentModel(self, f"agent-{number}", rates[-1 - number % len(rates)]))

    def nonce(self):
        """Return a nonce that was never returned before."""
        self.nonces += 1
        return self.nonces.to_bytes(16, "big")

    def new_checkpoint(self, name, done):
        """Return the checkpoint that an attempt leaves."""
        checkpoint = f"checkpoint-{len(self.progress)}"
        self.progress[checkpoint] = done
        self.made[name] = checkpoint
        return checkpoint

    def connect(self, agent, owner):
        """Open a connection."""
        self.link_count += 1
        link = Link(self.link_count, agent, owner)
        agent.links[owner.name] = link
        self.links.append(link)
        return link

    def close(self, link):
        """Close a connection; messages under way are lost."""
        link.open = False
        link.queues = {"agent": [], "owner": []}
        link.agent.host.heartbeats.forget_link(link.name)
        if link.agent.links.get(link.owner.name) is link:
            del link.agent.links[link.owner.name]
        if link.owner.shard is not None:
            for name in link.waiting:
                link.owner.shard.grant_unknown(*name)
        link.waiting = {}
        self.links = [other for other in self.links if other is not link]

    def owner(self):
        """Return the owner with the highest epoch, or None."""
        active = [owner for owner in self.owners if owner.shard is not None]
        return max(active, key=lambda owner: owner.shard.state.epoch, default=None)

    def submit(self, tasks=1, urgent=False):
        """Submit a job to the present owner and return its id."""
        self.job_count += 1
        job_id = f"j0-{self.job_count:012x}"
        owner = self.owner()
        if owner is not None and not owner.frozen:
            size = Resources(1.0, 1, 0)
            owner.submit(job_id, JobSpec("", "team", "class", urgent, tasks, size, RUN_SECONDS))
        return job_id

    def cancel(self, job_id):
        """Cancel a job at the present owner; the answer does not matter here."""
        owner = self.owner()
        if owner is None or owner.frozen:
            return
        try:
            owner.shard.cancel(job_id)
        except AcaciastandError:
            return
        self.cancelled.add(job_id)

    def advance(self, seconds):
        """Let time pass for everybody who is not frozen, and check after each step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.time += STEP_SECONDS
            for agent in self.agents:
                agent.worker.advance(STEP_SECONDS)
            self.oracle.check()
            for party in [*self.owners, *self.agents]:
                if not party.frozen:
                    party.step()
                    self.oracle.check()

    def cut_link(self, agent, owner):
        """Cut the path between two parties."""
        self.cut.add((agent.name, owner.name))
        link = agent.links.get(owner.name)
        if link is not None:
            self.close(link)

    def heal(self):
        """End all faults."""
        self.cut.clear()
        self.deaf.clear()
        self.delays.clear()
        self.faults.clear()
        while self.faults.delayed:
            self.faults.deliver(0)
        for party in [*self.owners, *self.agents]:
            party.frozen = False
        for owner in self.owners:
            owner.passive = False
            owner.store.isolated = False

    def state(self):
        """Return the state that the journal holds."""
        journal = Journal(self.store, "shards/0", "oracle", self.nonce)
        loaded = journal.load()
        return fold(0, loaded.snapshot, loaded.entries)

    def finale(self):
        """Heal everything, run until all jobs are finished, and check that none was lost."""
        self.heal()
        self.endless.clear()
        deadline = self.time + FINALE_SECONDS
        while self.time < deadline:
            state = self.state()
            if not state.jobs:
                break
            self.advance(5.0)
        state = self.state()
        for job_id in self.accepted:
            assert job_id in state.finished, f"accepted job {job_id} was lost or never finished"
            finished = state.finished[job_id]
            if not finished.cancelled:
                done = finished.counts[2]
                assert done == sum(finished.counts), f"job {job_id} ended as {finished.counts}"
        self.oracle.check_journal(self.store.history)
