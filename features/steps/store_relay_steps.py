"""Steps for store calls that one entry makes on behalf of another."""

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
    "the first is refused": {"entry-1": "down"},
    "the first is not answered": {"entry-1": "silent"},
    "the first is served but not answered": {"entry-1": "lost"},
    "all are refused": dict.fromkeys(ENTRIES, "down"),
    "the first is not answered and the others are refused": {
        "entry-1": "silent",
        "entry-2": "down",
        "entry-3": "down",
    },
    "the first two are refused": {"entry-1": "down", "entry-2": "down"},
}


class FaultyStore:
    """Access of one entry to the store.

    Parameters
    ----------
    store
        The store that all entries share.
    fault
        Fault of the calls: ``down`` (refused), ``silent`` (commits without effect and answer),
        ``lost`` (commits with effect, but without an answer) or empty for none. All faults but the
        empty one refuse reads.
    """

    def __init__(self, store, fault):
        self.store = store
        self.fault = fault
        self.commits = 0

    def commit(self, *arguments):
        """Commit, unless the fault prevents it."""
        self.commits += 1
        if self.fault == "down":
            raise StoreUnavailable("refused by the store", "try again later")
        if self.fault == "silent":
            raise StoreAnswerLost("no answer", "read the keys")
        revision = self.store.commit(*arguments)
        if self.fault == "lost":
            raise StoreAnswerLost("the answer was lost", "read the keys")
        return revision

    def get(self, key):
        """Read, unless the fault prevents it."""
        return self._read(lambda: self.store.get(key))

    def watch(self, prefix, after, wait_seconds):
        """Watch, unless the fault prevents it."""
        return self._read(lambda: self.store.watch(prefix, after, wait_seconds))

    def _read(self, call):
        if self.fault:
            raise StoreUnavailable("refused by the store", "try again later")
        return call()


class FakePeerLink:
    """Connection to another entry, whose messages are encoded and decoded as on the wire."""

    connection = True

    def __init__(self, entry_id, relayed):
        self.entry_id = entry_id
        self.relayed = relayed
        self.calls = []

    def call(self, name, payload, seconds):
        """Make the call at the other entry."""
        self.calls.append(name)
        message = decode(encode(Forward(name, payload, int(seconds * 1000)))).message
        reply = decode(encode(answer_forward(self.relayed.answer_call, message))).message
        if reply.code:
            error_class = Refused if reply.outcome == "not_run" else OutcomeUnknown
            raise error_class(reply.message, reply.remedy)
        return reply.result


@given("three entries of which {fault} by the store")
def given_entries(context, fault):
    context.store = MemoryTransactionalStore()
    faults = FAULTS[fault]
    context.stores = {e: FaultyStore(context.store, faults.get(e, "")) for e in ENTRIES}
    context.peers = [
        FakePeerLink(e, RelayedStore(context.stores[e], list, Metrics()))
        for e in ENTRIES
        if e != ENTRIES[0]
    ]
    context.first = RelayedStore(context.stores["entry-1"], lambda: context.peers, Metrics())


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


@then("the commit takes effect through another entry")
def then_committed(context):
    assert context.error is None, context.error
    assert context.store.get("a").revision == context.result
    assert sum(context.stores[e].commits for e in ENTRIES if e != "entry-1") == 1


@then("it receives a conflict that shows its own value")
def then_conflict(context):
    assert isinstance(context.error, CommitConflict), context.error
    assert context.error.current["a"].value == b"mine"


@then("it learns that nothing was written")
def then_nothing_written(context):
    assert isinstance(context.error, StoreUnavailable), context.error
    assert "refused by the store" in context.error.message  # The log of the refusal needs it.
    assert not context.store.items


@then("it learns that the outcome is unknown")
def then_unknown(context):
    assert isinstance(context.error, StoreAnswerLost), context.error


@then("the second entry was called once")
def then_called_once(context):
    assert [len(peer.calls) for peer in context.peers] == [1, 2], context.peers


@then("the first reads a key that another entry wrote")
def then_reads(context):
    revision = context.stores["entry-2"].commit({}, {"a": b"theirs"})
    item = context.first.get("a")
    assert (item.value, item.revision) == (b"theirs", revision), item


@then("the first receives a change that another entry makes")
def then_receives_change(context):
    revision_before = context.store.revision
    context.stores["entry-2"].commit({}, {"a/b": b"new"})
    changes = context.first.watch("a/", revision_before, 0.1)
    assert [item.value for item in changes.items] == [b"new"], changes
    assert changes.revision == context.store.revision


@then("the first learns that the history was dropped")
def then_dropped(context):
    context.store.forget_history()
    try:
        context.first.watch("a/", 1, 0.1)
    except HistoryDropped:
        return
    raise AssertionError("the watch went on without the dropped changes")
