"""Steps on store calls that one entry makes for another."""

from behave import given, then, when

from acaciastand.cluster.peers import answer_forward
from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    CommitConflict,
    HistoryDropped,
    MemoryTransactionalStore,
)
from acaciastand.errors import OutcomeUnknown, Refused
from acaciastand.telemetry.metrics import Metrics
from acaciastand.wire.codec import decode, encode
from acaciastand.wire.messages import Forward

ENTRIES = ("entry-1", "entry-2", "entry-3")
FAULTS = {
    "the first turned away": {"entry-1": "down"},
    "the first unanswered": {"entry-1": "silent"},
    "the first done but unanswered": {"entry-1": "lost"},
    "all turned away": dict.fromkeys(ENTRIES, "down"),
    "the first unanswered and the others turned away": {
        "entry-1": "silent",
        "entry-2": "down",
        "entry-3": "down",
    },
    "the first two turned away": {"entry-1": "down", "entry-2": "down"},
}


class Access:
    """The store as one entry reaches it; the fate of its calls is that of its host."""

    def __init__(self, store, fate):
        self.store = store
        self.fate = fate
        self.commits = 0

    def commit(self, *arguments):
        """Commit unless the host is turned away."""
        self.commits += 1
        if self.fate == "down":
            raise StoreUnavailable("turned away", "try again later")
        if self.fate == "silent":
            raise StoreAnswerLost("no answer", "read the keys")
        revision = self.store.commit(*arguments)
        if self.fate == "lost":
            raise StoreAnswerLost("the answer was lost", "read the keys")
        return revision

    def get(self, key, seconds=None):
        """Read unless the host is turned away."""
        return self._read(lambda: self.store.get(key))

    def watch(self, prefix, after, wait_seconds):
        """Watch unless the host is turned away."""
        return self._read(lambda: self.store.watch(prefix, after, wait_seconds))

    def _read(self, call):
        if self.fate:
            raise StoreUnavailable("turned away", "try again later")
        return call()


class Peer:
    """Connection to another entry; messages pass the codec as they do on the wire."""

    connection = True

    def __init__(self, entry_id, relayed):
        self.entry_id = entry_id
        self.relayed = relayed
        self.calls = []

    def call(self, name, payload, seconds):
        """Have the call made there."""
        self.calls.append(name)
        message = decode(encode(Forward(name, payload, int(seconds * 1000)))).message
        reply = decode(encode(answer_forward(self.relayed.answer_call, message))).message
        if reply.code:
            kind = Refused if reply.outcome == "not_run" else OutcomeUnknown
            raise kind(reply.message, reply.remedy)
        return reply.result


@given("three entries of which the store leaves {fault}")
def given_entries(context, fault):
    context.store = MemoryTransactionalStore()
    fates = FAULTS[fault]
    context.access = {e: Access(context.store, fates.get(e, "")) for e in ENTRIES}
    context.peers = [
        Peer(e, RelayedStore(context.access[e], list, Metrics()))
        for e in ENTRIES
        if e != ENTRIES[0]
    ]
    context.first = RelayedStore(context.access["entry-1"], lambda: context.peers, Metrics())


def commit(context, key="a"):
    context.result = context.error = None
    try:
        context.result = context.first.commit({key: 0}, {key: b"mine"})
    except (CommitConflict, StoreUnavailable, StoreAnswerLost) as error:
        context.error = error


@when("the first commits a key that is absent")
def when_commits(context):
    commit(context)


@when("the first commits a second key")
def when_commits_again(context):
    commit(context, "b")
    assert context.error is None, context.error


@then("the commit is done and another entry made it")
def then_done(context):
    assert context.error is None, context.error
    assert context.store.get("a").revision == context.result
    assert sum(context.access[e].commits for e in ENTRIES if e != "entry-1") == 1


@then("it is told of a conflict that shows its own value")
def then_conflict(context):
    assert isinstance(context.error, CommitConflict), context.error
    assert context.error.current["a"].value == b"mine"


@then("it is told that nothing was written")
def then_nothing(context):
    assert isinstance(context.error, StoreUnavailable), context.error
    assert "turned away" in context.error.message  # why, for the log of the refusal
    assert not context.store.items


@then("it is told that the outcome is not known")
def then_unknown(context):
    assert isinstance(context.error, StoreAnswerLost), context.error


@then("the second entry was asked once")
def then_asked_once(context):
    assert [len(peer.calls) for peer in context.peers] == [1, 2], context.peers


@then("the first reads a key that another entry wrote")
def then_reads(context):
    revision = context.access["entry-2"].commit({}, {"a": b"theirs"})
    item = context.first.get("a")
    assert (item.value, item.revision) == (b"theirs", revision), item


@then("the first is told of a change that another entry makes")
def then_receives_change(context):
    before = context.store.revision
    context.access["entry-2"].commit({}, {"a/b": b"new"})
    changes = context.first.watch("a/", before, 0.1)
    assert [item.value for item in changes.items] == [b"new"], changes
    assert changes.revision == context.store.revision


@then("the first is told that the history was dropped")
def then_dropped(context):
    context.store.forget_history()
    try:
        context.first.watch("a/", 1, 0.1)
    except HistoryDropped:
        return
    raise AssertionError("the watch went on without the dropped changes")
