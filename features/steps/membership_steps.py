"""Steps on the directory of entries."""

import time

from behave import given, step, then, when
from entry_support import Entry, FakeAgent
from waiting import wait_for

from acaciastand.coordination import MemoryStore
from acaciastand.entry.membership import PREFIX
from acaciastand.wire.messages import Directory


@given("two entries that share a store and know no addresses")
def step_two(context):
    context.store = MemoryStore(time.monotonic)
    context.entries = [
        Entry(context.stack, f"entry-{number}", store=context.store) for number in range(2)
    ]
    for entry in context.entries:  # the first list can precede the other entry's announcement
        wait_for(lambda entry=entry: entry.daemon.membership._announced_lease, "announced")
        entry.daemon.membership._next_list = float("-inf")


def peer_ids(entry):
    return {peer.entry.entry_id for peer in entry.daemon.peers.connected() if peer.entry.entry_id}


@step("each is connected to the other")
def step_connected(context):
    first, second = context.entries
    wait_for(lambda: peer_ids(first) == {"entry-1"}, "the first knows the second")
    wait_for(lambda: peer_ids(second) == {"entry-0"}, "the second knows the first")


def named(context):
    return [found.key.removeprefix(PREFIX) for found in context.store.list(PREFIX)]


@then("the store names both under their leases")
def step_both(context):
    wait_for(lambda: named(context) == ["entry-0", "entry-1"], "both are named")


@when("the lease of the first entry is revoked at the store")
def step_revoke(context):
    lease = context.entries[0].daemon.lease
    context.store.revoke_lease(lease.lease_id)
    assert named(context) == ["entry-1"]
    lease.next_renewal = time.monotonic()


@when("the first entry stops")
def step_stop(context):
    context.entries[0].daemon.stop()


@then("the store names only the second")
def step_only_second(context):
    assert named(context) == ["entry-1"]


@then("the second reports the first as unreachable")
def step_unreachable(context):
    second = context.entries[1]
    wait_for(lambda: not second.daemon.peers.connected(), "the connection ended")
    report = second.call("GET", "/v1/status")
    assert report.status == 200
    assert second.daemon.in_force().unreachable == ["entry-0"]


@given("three entries of which the second and third know only the first")
def step_three(context):
    first = Entry(context.stack, "entry-0")
    others = [Entry(context.stack, f"entry-{number}", [first.address]) for number in (1, 2)]
    context.entries = [first, *others]


@given("an agent at the first entry")
def step_agent(context):
    context.agent = FakeAgent(context.stack, "a").dial(context.entries[0].address)


@then("the second and third entry are connected to each other")
def step_introduced(context):
    wait_for(lambda: peer_ids(context.entries[1]) == {"entry-0", "entry-2"}, "second meets third")
    wait_for(lambda: peer_ids(context.entries[2]) == {"entry-0", "entry-1"}, "third meets second")


@then("the agent is told of all three")
def step_agent_received(context):
    def has_arrived():
        known = [context.agent.welcome.entries] + [
            message.entries for message in context.agent.received if isinstance(message, Directory)
        ]
        names = {entry.entry_id for entry in known[-1]}
        return names == {"entry-0", "entry-1", "entry-2"}

    wait_for(has_arrived, "the directory arrived")
