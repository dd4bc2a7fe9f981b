"""Steps for the record of tasks that wait for long."""

from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.workflow.exclusions import Exclusion

TASK = "00000000000000aa.0.0.0"


def drain(world):
    for worker in world.workers.values():
        worker.drain_seconds = 60.0


def disconnect(world):
    for view in world.scheduler.workers.values():
        view.reachable = False


def withhold(world):
    for view in world.scheduler.workers.values():
        view.starts_withheld = True


def fill(world):
    world.submit("00000000000000bb", "watchers", step(2, 4.0, continuous=True))
    world.plan()


def fill_with_batch(world):
    world.submit("00000000000000bb", "plans", step(2, 4.0, seconds=60.0))
    world.plan()


RULES = {
    "are draining": drain,
    "are not connected": disconnect,
    "are in a drained zone": withhold,
    "are full": fill,
    "have a run that does not end": fill_with_batch,
}


def waits(context):
    return [d for d in context.world.scheduler.decisions if d.what == "task waits"]


@given("two workers of 4 cores that {rule}")
def given_excluded(context, rule):
    context.world = WorkflowWorld()
    for number in range(2):
        context.world.add_worker(str(number + 1), 4.0)
    RULES[rule](context.world)
    context.world.report_all()


@when("a task that lasts and takes 4 cores waits for 3 seconds")
def when_waits(context):
    context.world.submit("00000000000000aa", "watchers", step(1, 4.0, continuous=True))
    context.world.advance(3.4)


@then('it is recorded once that both are passed over as "{name}"')
def then_recorded(context, name):
    (record,) = waits(context)
    assert record.subject == TASK, record
    assert record.inputs["passed_over"] == {Exclusion(name).value: 2}, record
    assert sorted(record.inputs["examples"][name]) == ["1", "2"], record


@then("the last check counted {count:d} excluded workers")
def then_counted(context, count):
    assert context.world.scheduler.wait_monitor.excluded_workers.total() == count


@when("a task that lasts and may have been started waits for 3 seconds")
def when_uncertain(context):
    task = step(1, 4.0, continuous=True)
    context.world.submit("00000000000000aa", "watchers", task, certain=False)
    context.world.advance(3.4)


@then("it is recorded that 1 agent has not reported")
def then_silent(context):
    (record,) = waits(context)
    assert record.inputs["silent_agents"] == 1 and record.inputs["examples"] == ["2"], record


@when("{jobs:d} jobs of {count:d} tasks wait for 10 seconds")
def when_many(context, jobs, count):
    for number in range(jobs):
        context.world.submit(f"{number:016x}", "plans", step(count, 4.0))
    context.world.advance(10.0)


@then("at most {count:d} lines are recorded, none of them longer than {length:d} characters")
def then_bounded(context, count, length):
    records = waits(context)
    assert 0 < len(records) <= count, len(records)
    assert max(len(str(record.inputs)) for record in records) <= length
