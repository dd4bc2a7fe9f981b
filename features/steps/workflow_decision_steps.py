"""Steps for decisions apart from I/O: election, ownership, starts, pace, configuration, store."""

import json
import zlib
from contextlib import suppress
from itertools import pairwise
from unittest import mock

import gevent
from behave import given, then, when
from waiting import wait_for
from workflow_support import step

from acaciastand.cluster import pace_sender, worker_controller
from acaciastand.cluster.catalog_copy import CatalogCopy
from acaciastand.cluster.claim import claim
from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.committer import OwnershipLost
from acaciastand.cluster.election import SMALL_HOST_CLAIM_DELAY_SECONDS, Candidate, Observation
from acaciastand.cluster.job_api import JobApi, JobApiUnavailable
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    JOBS_PREFIX,
    OWNER_HEARTBEAT_KEY,
    OWNER_KEY,
    OwnerRecord,
    encode_fields,
    encode_job,
)
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.cluster.worker_controller import WorkerController
from acaciastand.coordination.store import StoreAnswerLost
from acaciastand.coordination.transactions import (
    HistoryDropped,
    Item,
    Listing,
    MemoryTransactionalStore,
)
from acaciastand.errors import AcaciastandError, OutcomeUnknown
from acaciastand.platform.http import CallNotSent, CallTimedOut
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job
from acaciastand.workflow.pacing import FullSpeed, RunLimits
from acaciastand.workflow.reports import ActiveRun, PollResult, StartCommand, StartOutcome
from acaciastand.workflow.spec import WorkflowSpec

POLL_SECONDS = 0.35
REPETITIONS = {
    "is accepted": StartOutcome.STARTED,
    "is refused": StartOutcome.REFUSED,
    "finds no free capacity": StartOutcome.NO_CAPACITY,
    "reaches no worker": CallNotSent("refused", "check that it is running"),
}
READ_SECONDS = 0.25


@given("a candidate that reads the store every 0.25 seconds")
def given_candidate(context):
    context.candidate, context.now, context.heartbeat = Candidate(), 100.0, 10


def read(context, owner=b"someone", revision=5):
    observation = Observation(Item("o", owner, revision), Item("b", b"", context.heartbeat))
    context.candidate.observe(observation, context.now, context.now + 0.01)


def read_for(context, seconds, rising=False):
    end = context.now + seconds
    while context.now < end:
        context.heartbeat += rising
        read(context)
        context.now += READ_SECONDS
    context.now -= READ_SECONDS


@given("a candidate on a small host that reads the store every 0.25 seconds")
def given_small(context):
    context.candidate, context.now, context.heartbeat = (
        Candidate(SMALL_HOST_CLAIM_DELAY_SECONDS),
        100.0,
        10,
    )


@when("no owner was ever recorded")
def when_none(context):
    read(context, b"", 0)


@when("the heartbeat rises for {seconds:d} seconds")
def when_rises(context, seconds):
    read_for(context, seconds, True)


@when("the heartbeat is unchanged for {seconds:f} seconds")
def when_unchanged(context, seconds):
    read_for(context, seconds + READ_SECONDS)


@when("the heartbeat is unchanged before and after a 3 second outage")
def when_outage(context):
    read_for(context, 1.0)
    context.now += 3.0
    read(context)


@when("the owner's address refuses connections and the heartbeat is unchanged for 1 second")
def when_refuses(context):
    read(context)
    context.now += READ_SECONDS
    context.candidate.record_connection_refused()
    read_for(context, 1.0)


@when("the owner released its key")
def when_released(context):
    read(context, b"", 7)


@when("the owner was an earlier incarnation of this entry")
def when_earlier_incarnation(context):
    read_for(context, 0.5)
    context.candidate.record_owner_ended()


@then("it claims")
def then_claims(context):
    assert context.candidate.should_claim(context.now)


@then("it does not claim")
def then_no_claim(context):
    assert not context.candidate.should_claim(context.now)


@given("an owner whose last heartbeat was stored {seconds:f} seconds ago")
def given_owner(context, seconds):
    context.call_outcome = ""
    context.store = MemoryTransactionalStore(lambda call: context.call_outcome)
    record = OwnerRecord("entry-1", "10.0.0.1:1", 1, b"nonce")
    fence = context.store.commit({OWNER_KEY: 0}, {OWNER_KEY: record.encode()})
    sent_at = now() - seconds
    context.owner = Owner(
        context.store, record, fence, sent_at, sent_at, Catalog(), 0.4, Metrics(), lambda _: None
    )
    context.job = Job("00000000000000aa", "checks", WorkflowSpec("", [step()]), 1.0)


@when("{old:d} jobs ended long ago and {recent:d} a moment ago")
def when_ended(context, old, recent):
    scheduler = context.owner.scheduler
    for number in range(old + recent):
        job = Job(f"{number:016x}", "checks", WorkflowSpec("", [step()]), 1.0)
        job.revision = context.store.commit(
            {}, {f"inbox/jobs/{job.job_id}": b"", f"progress/{job.job_id}": b""}
        )
        scheduler.add_job(job)
        scheduler.cancel_job(job.job_id, 1.0, 1.0 if number < old else now_unix())
        scheduler.mark_stored(job, job.version)


@then("one round removes the {old:d} from memory and store")
def then_removed(context, old):
    context.owner.job_retention.remove_expired()
    job_ids = set(context.owner.scheduler.jobs)
    assert job_ids == {f"{old:016x}"}, job_ids
    keys = {item.key for item in context.store.list("inbox/").items}
    assert keys == {f"inbox/jobs/{old:016x}"}, keys


@when("it is notified of a new job")
def when_notified(context):
    context.owner.apply_item(Item(JOBS_PREFIX + context.job.job_id, encode_job(context.job), 9))


@when("an agent registers")
def when_agent_registers(context):
    context.stack.callback(context.owner.stop)
    fields = encode_fields(["127.0.0.1:1", "zone-a"])
    context.owner._apply_items([Item(AGENTS_PREFIX + "agent-1", fields, 9)])


@then("it does not connect to the agent")
def then_not_connected(context):
    assert not context.owner.agents.links


@then("it connects to the agent")
def then_connects(context):
    assert set(context.owner.agents.links) == {"agent-1"}


@then("it does not schedule the job")
def then_not_scheduled(context):
    assert context.job.job_id not in context.owner.scheduler.jobs


@when("its heartbeat is stored")
def when_heartbeat(context):
    context.owner._record_confirmation(now())


@when("its next heartbeat is stored {seconds:f} seconds after it was sent")
def when_heartbeat_late(context, seconds):
    commit = context.store.commit

    def commit_late(*arguments):
        gevent.sleep(seconds)
        return commit(*arguments)

    context.store.commit = commit_late
    context.sent_at = now()
    context.owner._spawn(context.owner._heartbeat_forever)
    context.stack.callback(context.owner.stop)
    wait_for(lambda: context.store.get(OWNER_HEARTBEAT_KEY).revision)
    gevent.sleep(0.01)


@then("the ownership is confirmed at the time at which it was sent")
def then_confirmed_when_sent(context):
    assert 0.0 <= context.owner.confirmed_at - context.sent_at < 0.2


@when("the grant of an agent that has not reported has expired")
def when_grant_expired(context):
    owner = context.owner
    context.stack.callback(owner.stop)
    owner._spawn(owner._heartbeat_forever)
    wait_for(lambda: context.store.get(OWNER_HEARTBEAT_KEY).revision)
    context.heartbeat = context.store.get(OWNER_HEARTBEAT_KEY).revision
    owner.scheduler.add_worker("agent-1", False, now())
    owner.agents.links["agent-1"] = mock.Mock(connection=None)
    gevent.sleep(0.01)
    owner._plan()


@then("a heartbeat is stored within {seconds:f} seconds")
def then_heartbeat_stored(context, seconds):
    gevent.sleep(seconds)
    assert context.store.get(OWNER_HEARTBEAT_KEY).revision > context.heartbeat


@then("the agent counts as having reported")
def then_counts_as_reported(context):
    context.owner._plan()
    assert context.owner.scheduler.workers["agent-1"].has_reported


@when("it reads the jobs, of which one was accepted after its claim")
def when_reads_jobs(context):
    context.stack.callback(context.owner.stop)
    key = JOBS_PREFIX + context.job.job_id
    context.store.commit({}, {key: encode_job(context.job)})
    context.store.commit({}, {AGENTS_PREFIX + "agent-1": encode_fields(["127.0.0.1:1", "zone-a"])})
    assert context.owner._load()


@then("that job may start at once")
def then_job_waits(context):
    assert list(context.owner.scheduler.waiting) == [f"{context.job.job_id}.0.0.0"]


@then("that job waits for the reports of agents")
def then_job_uncertain(context):
    assert list(context.owner.scheduler.uncertain) == [f"{context.job.job_id}.0.0.0"]


@then("it schedules the job")
def then_scheduled(context):
    assert context.job.job_id in context.owner.scheduler.jobs


@when("it is notified of a new job while the answer to its release is on its way")
def when_notified_at_release(context):
    commit = context.store.commit

    def commit_and_notify(*arguments):
        revision = commit(*arguments)
        when_notified(context)
        return revision

    context.store.commit = commit_and_notify
    context.owner.release()


def read_keys(context):
    context.read = [context.store.get(OWNER_KEY), context.store.get(OWNER_HEARTBEAT_KEY)]


@when("another entry has read the owner key, and a held heartbeat is stored then")
def when_heartbeat_crosses(context):
    read_keys(context)
    context.store.commit({OWNER_KEY: context.owner.fence}, {OWNER_HEARTBEAT_KEY: b"1"})


@when("it has read the keys again")
def when_read_again(context):
    read_keys(context)


def claim_of_other(context):
    former = context.owner.record
    return claim(context.store, *context.read, former, "entry-2", "10.0.0.2:1", lambda _: None)


@then("its claim fails")
def then_claim_fails(context):
    assert claim_of_other(context) is None
    assert context.store.get(OWNER_KEY).value == context.owner.record.encode()


@then("its claim succeeds")
def then_claim_succeeds(context):
    record, fence = claim_of_other(context)
    assert context.store.get(OWNER_KEY) == Item(OWNER_KEY, record.encode(), fence)


@when("a read that takes {seconds:f} seconds shows another heartbeat")
def when_slow_read(context, seconds):
    read(context)
    context.now += READ_SECONDS
    context.heartbeat += 1
    observation = Observation(Item("o", b"someone", 5), Item("b", b"", context.heartbeat))
    context.candidate.observe(observation, context.now, context.now + seconds)


@then("the heartbeat may have been sent {seconds:f} seconds after the read began")
def then_sent_by(context, seconds):
    assert context.candidate.heartbeat_sent_by == context.now + seconds


@when("another entry claims the ownership")
def when_other_claims(context):
    context.store.commit({}, {OWNER_KEY: b"other"})


@then("its next commit loses the ownership and writes nothing")
def then_loses(context):
    scheduler = context.owner.scheduler
    scheduler.add_job(context.job)
    scheduler.cancel_job(context.job.job_id, 1.0, 1.0)
    try:
        context.owner.committer.commit_batch()
    except OwnershipLost:
        assert not context.store.list("progress/").items
        return
    raise AssertionError("the commit took effect")


@when("the answer to its commit of a job is lost")
def when_commit_lost(context):
    scheduler = context.owner.scheduler
    scheduler.add_job(context.job)
    scheduler.cancel_job(context.job.job_id, 1.0, 1.0)
    context.call_outcome = "lost"
    assert not context.owner.committer.commit_batch()
    context.call_outcome = ""


@then("the next commits store the job without losing the ownership")
def then_stored(context):
    committer = context.owner.committer
    while context.owner.scheduler.dirty:
        committer.commit_batch()
    job = context.owner.scheduler.jobs[context.job.job_id]
    assert job.revision == context.store.get(f"progress/{context.job.job_id}").revision
    assert job.stored_state.value == "cancelled"


@when("each of its watches finds the history dropped for {seconds:f} seconds")
def when_history_dropped(context, seconds):
    def watch(prefix, after, wait_seconds):
        gevent.sleep(0)
        raise HistoryDropped(after)

    def count_list(prefix, stale=False):
        context.lists += 1
        return Listing([], 1)

    context.lists = 0
    context.store.watch, context.store.list = watch, count_list
    context.owner.inbox_revision = 1
    following = gevent.spawn(context.owner._watch_inbox)
    gevent.sleep(seconds)
    following.kill()


@then("it has listed the jobs at most {count:d} times")
def then_few_lists(context, count):
    assert 1 <= context.lists <= count, context.lists


class FakeTaskClient:
    """Returns the results of polls from a list, or raises an error from it."""

    def __init__(self, answers):
        self.answers = answers
        self.acknowledged = []

    def poll(self, lease_ms, acknowledged, wait):
        self.acknowledged.append(acknowledged)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@given("an agent that has acknowledged 7 ends of its worker")
def given_agent(context):
    context.controller = WorkerController("10.0.0.1:1", 1, lambda: None, Metrics(), 10.0)
    failure = CallTimedOut("no answer", "poll again")
    results = [
        PollResult(5_000, 1.0, [], []),
        PollResult(5_000, 2.0, [], []),
        failure,
        PollResult(6_000, 1.0, [], []),
    ]
    context.controller.client = FakeTaskClient(results)
    context.controller._poll_once()
    context.controller.record_stored_ends(5_000, 7)
    context.controller._poll_once()


@when("a poll fails and the worker restarts")
def when_poll_fails(context):
    try:
        context.controller._poll_once()
    except CallTimedOut as error:
        context.controller._poll_failed(error)


@then("the next poll acknowledges nothing and shows the new incarnation")
def then_nothing_acknowledged(context):
    context.controller._poll_once()
    assert context.controller.client.acknowledged == [
        0,
        7,
        7,
        0,
    ], context.controller.client.acknowledged
    assert context.controller.born_ms == 6_000 and context.controller.acknowledged == 0


@given("an agent whose worker does not answer the first call of a start")
def given_unanswered_start(context):
    context.controller = WorkerController("10.0.0.1:1", 1, lambda: None, Metrics(), 10.0)
    context.controller.grant_until = now() + 5.0
    context.controller.lease.record_clock(1.0, now())
    context.answers = [CallTimedOut("no answer", "repeat the call")]


@when("the repetition {repetition}")
def when_repetition(context, repetition):
    context.answers.append(REPETITIONS[repetition])
    context.controller.client = FakeTaskClient([])
    context.controller.client.start = lambda command, lease_ms: answer_next(context.answers)
    command = StartCommand("00000000000000aa.0.0.0", 1)
    # A poll that is answered in between lets the agent repeat the start.
    context.stack.callback(
        gevent.spawn_later(0.1, context.controller.lease.record_clock, 1.0, now()).kill
    )
    context.outcome = context.controller.start(command, now() + 2.0, 1)


def answer_next(answers):
    answer = answers.pop(0)
    if isinstance(answer, Exception):
        raise answer
    return answer


@then('the outcome of the start is "{outcome}"')
def then_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@given("an agent that slows down a batch run beside a service")
def given_slowing_agent(context):
    context.controller = WorkerController(
        "10.0.0.1:1", 1, lambda: None, Metrics(), 10.0, FixedPacer(45)
    )
    context.controller.client = FakeTaskClient([])
    context.controller.limits["b"] = RunLimits(0.0, True)
    context.sent, context.failures = [], [CallTimedOut("no answer", "repeat the call")]
    context.controller.client.pace = lambda task, run, percent: send_pace(context, percent)
    context.poll_result = PollResult(5_000, 1.0, [ActiveRun("b", 1, measurement=3.0)], [])


class FixedPacer(FullSpeed):
    """Always returns the same pace."""

    def __init__(self, percent):
        super().__init__()
        self.percent = percent

    def update(self, running, limits, costs, now):
        return {run.task: self.percent for run in running}


def send_pace(context, percent):
    context.sent.append((context.now, percent))
    if context.failures:
        raise context.failures.pop()


@when("a change of pace is not answered and the next one is")
def when_pace_lost(context):
    context.now = 100.0
    with (
        mock.patch.object(worker_controller, "now", lambda: context.now),
        mock.patch.object(pace_sender, "now", lambda: context.now),
    ):
        while context.now < 120.0:
            context.controller._update_paces(context.poll_result)
            gevent.sleep(0)
            context.now += POLL_SECONDS


@then("the pace is sent again each second for 13 seconds, and not later")
def then_pace_repeated(context):
    times = [at for at, percent in context.sent if percent == 45]
    assert len(times) == len(context.sent)
    gaps = [later - earlier for earlier, later in pairwise(times)]
    assert max(gaps) <= 1.0 + 2 * POLL_SECONDS, times
    assert 113.0 <= times[-1] <= 113.0 + 1.0 + POLL_SECONDS, times


def stored_catalog(version):
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


@given("an entry with version {version:d} of the configuration")
def given_copy(context, version):
    store = MemoryTransactionalStore(lambda call: "")
    context.copy, context.copies = CatalogCopy(store, lambda catalog: None, Metrics()), 0
    context.copy.adopt(stored_catalog(version), "store")


@when("{count:d} other entries announce version {version:d} to it at the same time")
def when_notified_of(context, count, version):
    def call(name, payload, seconds):
        context.copies += 1
        gevent.sleep(0.05)
        return {"zlib": zlib.compress(stored_catalog(version))}

    fetches = [gevent.spawn(context.copy.fetch, version, "e", call) for _ in range(count)]
    gevent.joinall(fetches, raise_error=True)
    context.copy.fetch(version, "e", call)


@when("an entry that announces version {version:d} to it does not answer")
def when_no_answer(context, version):
    def call(name, payload, seconds):
        raise OutcomeUnknown("no answer", "repeat the call")

    with suppress(OutcomeUnknown):
        context.copy.fetch(version, "e", call)


def count_copies(context, version, seconds):
    """Return a call that delivers a copy after some seconds and counts those on their way."""

    def call(name, payload, timeout_seconds):
        context.copies += 1
        context.most_copies = max(context.most_copies, context.copies)
        gevent.sleep(seconds)
        context.copies -= 1
        return {"zlib": zlib.compress(stored_catalog(version))}

    return call


@when("an entry that announces version {version:d} to it sends its copy after {seconds:f} seconds")
def when_copy_held_up(context, version, seconds):
    context.most_copies = 0
    context.stack.callback(
        gevent.spawn(context.copy.fetch, version, "e", count_copies(context, version, seconds)).kill
    )
    gevent.sleep(0)


@when("{count:d} other entries announce version {version:d} to it each {seconds:f} seconds")
def when_announced_repeatedly(context, count, version, seconds):
    call = count_copies(context, version, 0.05)

    def announce():
        while True:
            context.copy.fetch(version, "e", call)
            gevent.sleep(seconds)

    for _ in range(count):
        context.stack.callback(gevent.spawn(announce).kill)


@then("the entry has version {version:d} within {seconds:f} seconds")
def then_version_within(context, version, seconds):
    wait_for(lambda: context.copy.version == version, f"version {version}", seconds)


@then("at most {count:d} copies are on their way at the same time")
def then_few_copies(context, count):
    assert context.most_copies <= count, context.most_copies


@when("another entry sends version {version:d}")
def when_sent(context, version):
    context.copy.adopt(stored_catalog(version), "e")


@then("{copies:d} copy is made and the entry has version {version:d}")
def then_copied(context, copies, version):
    assert context.copies == copies, context.copies
    assert context.copy.version == version


@then("the entry has version {version:d}")
def then_version(context, version):
    assert context.copy.version == version


@given("an entry whose store answers no write")
def given_away(context):
    context.unresponsive, context.commits = True, 0
    store = MemoryTransactionalStore(lambda call: "")
    commit = store.commit

    def commit_or_not(*arguments):
        context.commits += 1
        if context.unresponsive:
            raise StoreAnswerLost("no answer", "read the keys")
        return commit(*arguments)

    store.commit = commit_or_not
    context.relayed = RelayedStore(store, list, Metrics())
    context.job_api = JobApi(context.relayed, lambda: None, lambda: None)


def submit(context, seconds=1.0):
    """Submit a job and record the error, the time it took and the number of commits."""
    began, commits = now(), context.commits
    context.error = None
    try:
        spec = WorkflowSpec("", [step()])
        context.job_api.submit("00000000000000ab", "checks", spec, began + seconds)
    except AcaciastandError as error:
        context.error = error
    context.took, context.tries = now() - began, context.commits - commits


@when("{count:d} writes were not answered")
def when_unanswered(context, count):
    for _ in range(count):
        context.relayed.circuit_breaker.allows_call(now())
        context.relayed.circuit_breaker.record_failure()


@when("{count:d} writes were not answered and one is")
def when_answered(context, count):
    when_unanswered(context, count)
    context.relayed.circuit_breaker.record_success()


@when("a job is submitted with a deadline of {seconds:f} seconds")
def when_submitted_until(context, seconds):
    submit(context, seconds)


@then("the next submission is refused within {seconds:f} seconds and nothing was written")
def then_refused_at_once(context, seconds):
    submit(context)
    assert isinstance(context.error, JobApiUnavailable) and context.tries == 0, context.error
    assert context.took < seconds


@then("after {seconds:f} seconds one submission tries the store again")
def then_probes(context, seconds):
    gevent.sleep(seconds)
    context.unresponsive = False
    submit(context)
    assert context.error is None and context.tries == 1, context.error


@then("its outcome is not known, and the caller gets this answer within {seconds:f} seconds")
def then_answered(context, seconds):
    assert isinstance(context.error, OutcomeUnknown), context.error
    assert context.took < seconds, context.took


@then("the next submission tries the store")
def then_tries(context):
    context.unresponsive = False
    submit(context)
    assert context.error is None and context.tries == 1, context.error
