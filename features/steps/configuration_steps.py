"""Steps for an entry's copy of the configuration behind a proxy with faults."""

import json

import gevent
from behave import given, then, when
from waiting import wait_for

from acaciastand.cluster.catalog_copy import CatalogCopy
from acaciastand.platform.kv import PlatformStore
from acaciastand.telemetry.metrics import Metrics
from acaciastand_lab.fault_proxy import FaultProxy
from acaciastand_standin.platform_store import PlatformStoreStandIn

CONFIG_KEY = "op/config"


def stored_configuration(version):
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


def calls(context, outcome):
    """Return how often the copy has asked the store with this outcome."""
    registry = context.metrics.registry
    name = "acaciastand_configuration_calls_total"
    return registry.get_sample_value(name, {"outcome": outcome}) or 0.0


@given("a copy of the configuration that follows the store")
def given_copy(context):
    context.store = PlatformStoreStandIn()
    context.store.start()
    context.stack.callback(context.store.stop)
    context.store.write(CONFIG_KEY, stored_configuration(1))
    context.proxy = FaultProxy(context.store.address)
    context.proxy.start()
    context.stack.callback(context.proxy.stop)
    context.client = PlatformStore(f"http://{context.proxy.address}")
    context.stack.callback(context.client.close)
    context.metrics = Metrics()
    context.copy = CatalogCopy(context.client, lambda catalog: None, context.metrics)
    context.stack.callback(gevent.spawn(context.copy.follow_forever).kill)
    wait_for(lambda: context.copy.version == 1)


@when("{count:d} calls of this host leave their connections idle")
def when_idle(context, count):
    context.store.delay_seconds = 0.1
    reads = [gevent.spawn(context.client.get, "control/owner") for _ in range(count)]
    gevent.joinall(reads, raise_error=True)
    context.store.delay_seconds = 0.0


@when("all open connections to the store go silent just after a watch was sent")
def when_silent(context):
    before = context.store.calls
    wait_for(lambda: context.store.calls > before)
    context.proxy.mute()


@when("the operators change the configuration")
def when_changed(context):
    context.store.write(CONFIG_KEY, stored_configuration(context.copy.version + 1))
    context.expected_version = context.copy.version + 1


@then("the copy has the change within {seconds:f} seconds")
def then_has_change(context, seconds):
    wait_for(
        lambda: context.copy.version == context.expected_version, "the change is in force", seconds
    )


@then("the metrics count a read at the start and a watch with a change")
def then_counted(context):
    assert calls(context, "read.start") == 1
    assert calls(context, "watch.changed") == 1


@then("the copy was confirmed within the last {seconds:f} seconds")
def then_confirmed(context, seconds):
    assert context.copy.age_seconds < seconds


@then("the copy was not confirmed within the last {seconds:f} seconds")
def then_not_confirmed(context, seconds):
    assert context.copy.age_seconds > seconds


@when("the store is down for {seconds:f} seconds")
def when_down(context, seconds):
    context.store.down = True
    gevent.sleep(seconds)


@then("the metrics count failed calls")
def then_failed_calls(context):
    assert calls(context, "read.failed") + calls(context, "watch.failed") >= 2


@when("other keys are written and the store drops its history")
def when_history_dropped(context):
    for number in range(3):
        context.store.write(f"servers/{number}", b"")
    context.store.store.forget_history()


@when("one call of the copy fails")
def when_call_fails(context):
    failed_before = calls(context, "watch.failed") + calls(context, "read.failed")
    context.proxy.reset()
    wait_for(lambda: calls(context, "watch.failed") + calls(context, "read.failed") > failed_before)


@then("the copy makes at most {count:d} calls in {seconds:f} seconds")
def then_few_calls(context, count, seconds):
    before = context.store.calls
    gevent.sleep(seconds)
    made = context.store.calls - before
    assert made <= count, made
