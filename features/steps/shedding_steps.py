"""Steps on load shedding by the agent, which agent_steps sets up."""

import time

import gevent
from agent_steps import CAPACITY, SERVICE, grant
from behave import given, then, when
from waiting import wait_for

from acaciastand.agent.shedder import MAX_CORE_OVERLOAD_SECONDS, MAX_MEMORY_OVERLOAD_SECONDS
from acaciastand.settings.schema import EffectiveSettings

NORMAL_SECONDS = 30.0  # Time for all steps back to normal; each one takes 5 s.
WATCH_SECONDS = 8.0


def apply_settings(context, **values):
    context.agent.shedder.apply_settings(EffectiveSettings(values))


@given("tasks may be evicted after {seconds:d} s, at most {count:d} a minute")
def step_limits(context, seconds, count):
    apply_settings(context, min_run_seconds=float(seconds), evictions_per_minute=count)


@when("the entry grants {count:d} tasks of 1 core and they have run for {seconds:f} s")
def step_tasks(context, count, seconds):
    for number in range(count):
        assert context.entry.request(grant(context, f"job/{number}", seconds=600)).accepted
    wait_for(lambda: len(context.worker.runs) == count, "the tasks start")
    gevent.sleep(seconds)


@when("tasks use {factor:d} times their size and the service uses {cores:f} of 4 cores")
def step_use(context, factor, cores):
    context.worker.usage_factor, context.worker.service_cores = float(factor), cores


@when("tasks use {factor:d} times their memory")
def step_memory(context, factor):
    context.worker.memory_factor = float(factor)


def longest_overload(context, name):
    """Return the longest time that real use exceeds the capacity, in seconds.

    The host is watched for `WATCH_SECONDS`.
    """
    longest, overloaded_since = 0.0, None
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end:
        now = time.monotonic()
        if context.worker.use()[name] <= CAPACITY[name] + 1e-6:
            overloaded_since = None
        else:
            overloaded_since = overloaded_since or now
            longest = max(longest, now - overloaded_since)
        gevent.sleep(0.02)
    return longest


@then("the use of cores exceeds the capacity for at most the stated bound")
def step_over_cores(context):
    longest = longest_overload(context, "cores")
    assert 0.0 < longest <= MAX_CORE_OVERLOAD_SECONDS, longest


@then("the use of memory exceeds the capacity for at most the stated bound")
def step_over_memory(context):
    longest = longest_overload(context, "memory_mb")
    assert 0.0 < longest <= MAX_MEMORY_OVERLOAD_SECONDS, longest
    assert context.agent.counters.totals()["pressure.evicted.memory"] == 1


@then('{count:d} tasks were throttled, checkpointed and then evicted because of "{cause}"')
def step_counted(context, count, cause):
    totals = context.agent.counters.totals()
    assert totals["pressure.throttled"] >= count, totals
    assert totals["pressure.checkpointed"] == totals[f"pressure.evicted.{cause}"] == count, totals


@then("the entry receives {count:d} reports of evicted tasks with a checkpoint")
def step_reports(context, count):
    wait_for(lambda: len(context.entry.reports) >= count, "the reports")
    reports = {report.task_id: report for report in context.entry.reports}
    assert len(reports) == count and {item.result for item in reports.values()} == {"evicted"}
    assert all(report.checkpoint.startswith("progress:") for report in reports.values())


@then("the worker runs {count:d} task")
def step_running(context, count):
    running = [task for task in context.worker.tasks.values() if task.state == "running"]
    assert len(running) == count


@when("the load ends")
def step_gone(context):
    context.worker.usage_factor, context.worker.service_cores = 1.0, 0.0


@then("the remaining task has no limit and the host no longer sheds load")
def step_normal(context):
    end = time.monotonic() + NORMAL_SECONDS
    limits = [-1.0]
    while time.monotonic() < end and (context.host.shedding or any(limits)):
        gevent.sleep(0.05)
        limits = [task.limit_cores for task in context.worker.tasks.values()]
    assert not context.host.shedding and limits == [0.0], limits


@given("the host sheds load")
def step_sheds(context):
    gevent.kill(context.agent._tasks[-1])  # The loop that would end the shedding.
    context.host.shedding = True


@then('a grant of a task is refused because of "{reason}" and one of a bucket is accepted')
def step_refused(context, reason):
    assert context.entry.request(grant(context, "job/1")).reason == reason
    assert context.entry.request(grant(context, f"bucket/{SERVICE}/0", cores=0)).accepted


@then("the agent announces no free cores")
def step_no_free(context):
    link = next(iter(context.agent.link_pool.links.values()))
    assert context.agent.prepare_heartbeat(link, 10_000).free.cores == 0


@given("a headroom of {share:f}")
def step_headroom(context, share):
    apply_settings(context, headroom=share)


@then('the agent announces {free:d} free cores and refuses a task of {cores:f} cores as "{reason}"')
def step_free(context, free, cores, reason):
    link = next(iter(context.agent.link_pool.links.values()))
    assert context.agent.prepare_heartbeat(link, 10_000).free.cores == free
    assert context.entry.request(grant(context, "job/1", cores=cores)).reason == reason
    assert context.entry.request(grant(context, "job/1", cores=float(free))).accepted


@given("a task that a former agent process limited to {cores:f} cores")
def step_former(context, cores):
    assert context.entry.request(grant(context, "job/1", seconds=600)).accepted
    wait_for(lambda: context.worker.runs, "the task starts")
    context.worker.tasks["job/1"].limit_cores = cores
    context.host.ledger.attempts.clear()
    context.host.worker_known = False
    wait_for(lambda: context.host.ledger.attempts, "the task is adopted")


@when("the entry reports {article} surge of the region")
def step_region(context, article):
    context.entry.surging = article == "a"


@then("the agent's headroom is above {share:f}")
def step_raised(context, share):
    wait_for(lambda: context.host.headroom > share, "the headroom rises")


@then("the agent's headroom returns to {share:f}")
def step_returned(context, share):
    end = time.monotonic() + NORMAL_SECONDS
    while time.monotonic() < end and context.host.headroom != share:
        gevent.sleep(0.05)
    assert context.host.headroom == share
