"""Steps for heartbeats with digests: both ends of a connection, and a running entry."""

from behave import given, then, when
from entry_support import Entry, FakeAgent

from acaciastand.wire.attempt_lists import KnownAttemptList, SentAttemptLists, attempt_list_digest
from acaciastand.wire.codec import decode, encode
from acaciastand.wire.messages import (
    AttemptName,
    Heartbeat,
    HeartbeatReply,
    HeldAttempt,
    ShardEpoch,
)

SHARD = 3
REFUSED_TASK = "c"


class OldSentAttemptLists:
    """An agent of the version before: it sends lists and applies lists."""

    def abbreviate(self, heartbeat):
        return heartbeat

    def renewed(self, reply):
        return reply.renewed


def attempts_of(text):
    """Return attempts such as ``a/1``; ``!`` marks an ended one and ``^`` a newer epoch."""
    attempts = []
    for item in text.split():
        task_id, number = item.strip("!^").split("/")
        state = "ended" if "!" in item else "running"
        attempts.append(HeldAttempt(SHARD, 7 + ("^" in item), task_id, int(number), state))
    return attempts


def text_of(names):
    """Return names in the form of the scenarios."""
    return " ".join(f"{name.task_id}/{name.attempt}" for name in names)


def exchange(context, message):
    """Carry one heartbeat to the entry and its reply back, through the codec."""
    arrived = decode(encode(message)).message
    context.carried.append(arrived.replace())
    known = context.known.expand(arrived)
    renewed = []
    if known:
        context.asked.append(arrived.sequence)
        renewed = [
            AttemptName(item.task_id, item.attempt)
            for item in arrived.attempts
            if item.state != "ended" and item.task_id != REFUSED_TASK
            # The owner knows the first attempts only.
            and item.attempt == 1
        ]
    reply = HeartbeatReply(arrived.sequence, 0, [ShardEpoch(SHARD, 7)], renewed)
    if known and not context.old_entry:
        reply = context.known.abbreviate(arrived, reply)
    return decode(encode(reply)).message


@given("an agent and an entry that know digests")
def step_both(context):
    context.sent, context.known, context.old_entry = SentAttemptLists(), KnownAttemptList(), False
    context.carried, context.replies, context.renewed, context.asked = [], [], [], []


@given("an agent and an entry of which the {old} knows no digests")
def step_old(context, old):
    step_both(context)
    context.old_entry = old == "entry"
    if old == "agent":
        context.sent = OldSentAttemptLists()


@when('the agent sends {count:d} heartbeats that hold "{text}"')
def step_send(context, count, text):
    for _ in range(count):
        sequence = len(context.carried) + 1
        message = context.sent.abbreviate(Heartbeat(sequence, attempts=attempts_of(text)))
        reply = exchange(context, message)
        context.replies.append(reply)
        context.renewed.append(text_of(context.sent.renewed(reply)))


@when("the entry forgets the list")
def step_forget(context):
    context.known = KnownAttemptList()


@then("heartbeat {first:d} carries its list and heartbeats 2 and 3 carry digests")
def step_list_then_digests(context, first):
    assert context.carried[first - 1].attempts
    assert [bool(m.digest) for m in context.carried] == [False, True, True]
    assert not any(message.attempts for message in context.carried[1:])
    assert not any(reply.renewed for reply in context.replies[1:])


@then('each reply renews "{text}"')
def step_each(context, text):
    assert context.renewed == [text] * len(context.carried), context.renewed


@then("heartbeat {number:d} carries its list")
def step_list(context, number):
    message = context.carried[number - 1]
    assert message.attempts and not message.digest, message


@then("heartbeat {number:d} carries a digest")
def step_digest(context, number):
    message = context.carried[number - 1]
    assert message.digest and not message.attempts, message


@then("all heartbeats carry lists")
def step_lists(context):
    assert all(m.attempts and not m.digest for m in context.carried)
    assert not any(reply.renewed_digest for reply in context.replies)


@then('the last reply renews "{text}"')
def step_last(context, text):
    assert context.renewed[-1] == text, context.renewed


@then('the last reply lists "{text}"')
def step_last_lists(context, text):
    assert text_of(context.replies[-1].renewed) == text == context.renewed[-1]
    assert not context.replies[-1].renewed_digest


@then("heartbeat {number:d} renews nothing and the entry's owner is not asked")
def step_nothing(context, number):
    assert context.renewed[number - 1] == ""
    assert not context.replies[number - 1].knows_held
    assert number not in context.asked


@then('a late reply to heartbeat 3 renews only "{text}" after the agent took "{other}"')
def step_late(context, text, other):
    message = context.sent.abbreviate(Heartbeat(3, attempts=attempts_of(text)))
    reply = exchange(context, message)
    context.sent.abbreviate(Heartbeat(4, attempts=attempts_of(f"{text} {other}")))
    assert reply.renewed_digest
    assert text_of(context.sent.renewed(reply)) == text


@then('a reply whose digest is of "{text}" renews nothing')
def step_other_digest(context, text):
    message = context.sent.abbreviate(Heartbeat(3, attempts=attempts_of("a/1 b/1")))
    reply = exchange(context, message).replace(
        renewed_digest=attempt_list_digest(attempts_of(text))
    )
    assert context.sent.renewed(reply) == []


@given("a running entry, and an agent that holds an attempt of its shard")
def step_running(context):
    context.entry = Entry(context.stack)
    context.entry.owner.shards = [ShardEpoch(SHARD, 7)]
    context.asked = []
    context.entry.owner.on_heartbeat = lambda _session, message: [
        context.asked.append(message.sequence) or AttemptName(item.task_id, item.attempt)
        for item in message.attempts
    ]
    context.agent = FakeAgent(context.stack, "agent-1", attempts=attempts_of("a/1"))
    context.agent.dial(context.entry.address)


@when("it sends a heartbeat with a digest that the entry does not know")
def step_unknown_digest(context):
    context.reply = context.agent.heartbeat(attempts=[], digest=12345)


@then("the reply renews nothing and asks for the list")
def step_asks(context):
    assert not context.reply.renewed and not context.reply.renewed_digest
    assert not context.reply.knows_held and not context.asked


@then("a heartbeat with its list and then one with its digest are renewed")
def step_renewed(context):
    sent = SentAttemptLists()
    for digest in (False, True):
        message = sent.abbreviate(
            Heartbeat(context.agent.sequence + 1, attempts=context.agent.attempts)
        )
        assert bool(message.digest) == digest
        reply = context.agent.heartbeat(attempts=message.attempts, digest=message.digest)
        assert text_of(sent.renewed(reply)) == "a/1"
    assert len(context.asked) == 2
