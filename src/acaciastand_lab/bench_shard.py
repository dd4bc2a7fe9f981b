"""Measures the owner's work: placement, starts, renewals, commits and settings changes."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from acaciastand.coordination.entries import Entry
from acaciastand.coordination.journal import Journal
from acaciastand.coordination.memory import MemoryStore
from acaciastand.placement.estimates import SizeEstimator
from acaciastand.placement.placer import BestFit
from acaciastand.placement.worker import WorkerView
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.settings.edits import Edit, EditBatch
from acaciastand.settings.repository import JOURNAL_NAME, SettingsRepository
from acaciastand.shard.contacts import ContactProcessor
from acaciastand.shard.events import AttemptEnd, AttemptEnded, AttemptStarted, Event
from acaciastand.shard.job import JobSpec
from acaciastand.shard.limits import MAX_TASKS, Timings
from acaciastand.shard.outbox import Grant
from acaciastand.shard.runtime_state import (
    AgentContact,
    AttemptEndReport,
    LeaseDeadlines,
    ListedAttempt,
)
from acaciastand.shard.scheduling import Scheduler
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import ShardState
from acaciastand.wire.codec import decode, encode
from acaciastand.wire.messages import AttemptReport, GrantAttempt, GrantReply, ReportConfirmed
from acaciastand_lab.measurements import Slope, fit

START_WORKERS = 500
START_COUNTS = [200, 400, 800, 1600]
START_BATCH = 100  # tasks of one job, started in one round
WORKER_COUNTS = [256, 512, 1024, 2400, 4800, 9600]
ROUNDS = 40
FLEET_TASKS = [1_000, 10_000, 40_000, 110_000]
RENEWED = [1, 4, 8, 16]
CONTACTS = 1_000
EVENT_COUNTS = [10, 50, 100, 200, 384]
COMMITS = 50
CHANGES = [50, 100, 200, 400]
SETTINGS_NODES = 2_000
TASK_SIZE = Resources(1.0, 2000, 0)
WORKER_SIZE = Resources(256.0, 1_000_000, 2)
ALWAYS = LeaseDeadlines(float("inf"), float("inf"))


class BenchShard(Record):
    """A shard in the hands of its owner, with a journal in memory and workers."""

    __slots__ = ("shard", "scheduler", "journal", "workers", "jobs")

    def __init__(
        self, shard: Shard, scheduler: Scheduler, journal: Journal, workers: list[WorkerView]
    ) -> None:
        self.shard = shard
        self.scheduler = scheduler
        self.journal = journal
        self.workers = workers
        self.jobs = 0


def new_journal(name: str = "shards/12") -> Journal:
    """Return a journal on a store in memory."""
    numbers = itertools.count(1)
    store = MemoryStore(lambda: 0.0)
    return Journal(store, name, "entry-1", lambda: next(numbers).to_bytes(16, "big"))


def new_shard(workers: int) -> BenchShard:
    """Return an owned shard without jobs, and `workers` free workers."""
    shard = Shard(ShardState(12), Timings())
    shard.apply_takeover(shard.takeover_event("entry-1"), 0.0)
    views = [worker_view(number) for number in range(workers)]
    for view in views:
        contact = AgentContact(view.agent_id, view.incarnation, 1, 1, [])
        ContactProcessor(shard).process(contact, 0.0, ALWAYS)
    journal = new_journal()
    journal.take_over()
    return BenchShard(shard, Scheduler(shard, 608, BestFit(), SizeEstimator()), journal, views)


def worker_view(number: int) -> WorkerView:
    """Return a free worker."""
    return WorkerView(
        f"agent-{number:06}",
        f"incarnation-{number:06}",
        f"zone-{number % 3}",
        f"rack-{number // 20}",
        WORKER_SIZE,
        WORKER_SIZE,
        ["order-desk"],
    )


def committed(owned: BenchShard) -> None:
    """Commit everything that is pending to the journal."""
    while events := owned.shard.next_batch():
        if owned.journal.compaction_due:
            owned.journal.compact(owned.shard.committed_state.snapshot())
        owned.journal.append([event.plain() for event in events])
        owned.shard.mark_committed(len(events))


def submit(owned: BenchShard, tasks: int) -> None:
    """Submit a job of `tasks` tasks and commit it."""
    owned.jobs += 1
    spec = JobSpec("print-run", "team-1", "print", False, tasks, TASK_SIZE, 60.0)
    owned.shard.submit(spec, f"team-1/key-{owned.jobs:012}", f"j12-{owned.jobs:012x}")
    committed(owned)


def grant_all(owned: BenchShard) -> list[Grant]:
    """Grant what is committed, with the agents' acceptance, and return the grants."""
    messages = owned.shard.pop_ready_messages()
    grants = [message for message in messages if isinstance(message, Grant)]
    for grant in grants:
        owned.shard.begin_sending_grant(grant.task_id, grant.attempt, 1.0)
        message = GrantAttempt(
            owned.shard.state.number,
            owned.shard.state.epoch,
            grant.task_id,
            grant.attempt,
            grant.size,
            grant.run_seconds,
            grant.checkpoint,
            grant.batch_class,
            1,
            15.0,
        )
        encode(message, 1)
        reply = decode(encode(GrantReply(12, grant.task_id, grant.attempt, True, ""), 1)).message
        assert isinstance(reply, GrantReply)
        owned.shard.record_grant_reply(grant.task_id, grant.attempt, reply.accepted, 1.0)
    return grants


def report_all(owned: BenchShard, grants: list[Grant]) -> None:
    """Take in and confirm the completion of every grant."""
    shard = owned.shard
    for grant in grants:
        report = AttemptReport(12, grant.task_id, grant.attempt, "completed", "", TASK_SIZE, 9.4)
        message: Any = decode(encode(report, 1)).message
        ended = AttemptEndReport(grant.agent_id, message.task_id, message.attempt, message.result)
        shard.process_report(ended, 2.0)
    committed(owned)
    for grant in grants:
        encode(ReportConfirmed(12, grant.task_id, grant.attempt), 1)


def processor_seconds(action: Callable[[], object]) -> float:
    """Return the processor time of `action`."""
    before = time.process_time()
    action()
    return time.process_time() - before


def _run_to_end(owned: BenchShard, tasks: int) -> None:
    for _ in range(tasks // START_BATCH):
        submit(owned, START_BATCH)
        owned.scheduler.start_tasks(owned.workers, {}, 0.0)
        committed(owned)
        report_all(owned, grant_all(owned))


def start_owner() -> Slope:
    """Return the owner's processor time over the life of an attempt, messages included."""
    _run_to_end(new_shard(START_WORKERS), START_BATCH)
    values = []
    for count in START_COUNTS:
        owned = new_shard(START_WORKERS)
        values.append(processor_seconds(partial(_run_to_end, owned, count)))
    return fit("processor.start_owner", "seconds per start", START_COUNTS, values)


def placement_round() -> Slope:
    """Return the processor time of one round that starts one task, as workers grow."""
    values = []
    for count in WORKER_COUNTS:
        owned = new_shard(count)
        submit(owned, ROUNDS)
        seconds = 0.0
        for _ in range(ROUNDS):
            owned.shard.not_before.clear()
            seconds += processor_seconds(partial(_one_start, owned))
        values.append(seconds / ROUNDS)
    return fit("processor.placement_round", "seconds per worker", WORKER_COUNTS, values)


def _one_start(owned: BenchShard) -> None:
    # A quota with room for one task ends the round after one start.
    owned.scheduler.start_tasks(owned.workers, {"team-1": TASK_SIZE.cores}, 0.0)


def placement() -> Slope:
    """Return the processor time to place tasks of a fleet that is spread over full shards."""
    values = []
    for count in FLEET_TASKS:
        left, seconds = count, 0.0
        while left:
            tasks = min(left, MAX_TASKS)
            owned = new_shard(START_WORKERS)
            for _ in range(tasks // START_BATCH):
                submit(owned, START_BATCH)
            seconds += processor_seconds(partial(_place_all, owned))
            left -= tasks
        values.append(seconds)
    return fit("processor.placement", "seconds per task", FLEET_TASKS, values)


def _place_all(owned: BenchShard) -> None:
    while owned.scheduler.has_waiting_tasks():
        owned.scheduler.start_tasks(owned.workers, {}, 0.0)


def renewal() -> Slope:
    """Return the owner's processor time per attempt that a heartbeat renews."""
    values = []
    for count in RENEWED:
        owned = new_shard(1)
        submit(owned, count)
        owned.scheduler.start_tasks(owned.workers, {}, 0.0)
        committed(owned)
        grants = grant_all(owned)
        epoch = owned.shard.state.epoch
        listed = [ListedAttempt(grant.task_id, grant.attempt, epoch) for grant in grants]
        contacts = ContactProcessor(owned.shard)
        before = time.process_time()
        for sequence in range(2, CONTACTS + 2):
            view = owned.workers[0]
            contact = AgentContact(view.agent_id, view.incarnation, 1, sequence, listed)
            assert len(contacts.process(contact, float(sequence), ALWAYS)) == count
        values.append((time.process_time() - before) / CONTACTS)
    return fit("processor.renewal", "seconds per attempt", RENEWED, values)


def sample_events(count: int) -> list[Event]:
    """Return the events of `count` / 2 starts and as many ends."""
    events: list[Event] = []
    for number in range(count // 2):
        task_id = f"j12-a1b2c3d4e5f6/{number:03}"
        incarnation = "incarnation-000123"
        events.append(AttemptStarted(task_id, 2, "agent-000123", incarnation, 7))
        events.append(AttemptEnded(task_id, 2, AttemptEnd.COMPLETED, ""))
    return events


def commit() -> list[Slope]:
    """Return the processor time and the bytes of a journal entry, per event."""
    seconds, sizes = [], []
    for count in EVENT_COUNTS:
        events = sample_events(count)
        journal = new_journal()
        journal.take_over()
        total = 0.0
        for _ in range(COMMITS):
            if journal.compaction_due:
                journal.compact([])
            total += processor_seconds(partial(_append, journal, events))
        seconds.append(total / COMMITS)
        plain = [event.plain() for event in events]
        sizes.append(float(len(Entry(100_000, 7, "entry-000123", bytes(16), plain).encode())))
    return [
        fit("processor.commit", "seconds per event", EVENT_COUNTS, seconds),
        fit("bytes.commit", "bytes per event", EVENT_COUNTS, sizes),
    ]


def _append(journal: Journal, events: list[Event]) -> None:
    journal.append([event.plain() for event in events])


def settings_change() -> Slope:
    """Return the processor time of an edit in a tree of `SETTINGS_NODES` paths."""
    repository = SettingsRepository(new_journal(JOURNAL_NAME), "firm")
    paths = [f"firm/region-{n % 7}/site-{n}" for n in range(SETTINGS_NODES)]
    for first in range(0, SETTINGS_NODES, 500):
        edits = [Edit(path, "request_timeout_ms", 1500) for path in paths[first : first + 500]]
        repository.edit(EditBatch(edits, repository.revision, "operator"))
    values = [processor_seconds(partial(_edit, repository, paths, n)) for n in CHANGES]
    return fit("processor.settings_change", "seconds per change", CHANGES, values)


def _edit(repository: SettingsRepository, paths: list[str], count: int) -> None:
    for number in range(count):
        edit = Edit(paths[number], "request_timeout_ms", 1000 + number)
        repository.edit(EditBatch([edit], repository.revision, "operator"))


def measure() -> list[Slope]:
    """Return all measurements of this module."""
    slopes = [start_owner(), placement_round(), placement(), renewal()]
    return [*slopes, *commit(), settings_change()]
