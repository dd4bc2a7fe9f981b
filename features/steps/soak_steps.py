"""Steps for short runs of the soak."""

from behave import then, when

from acaciastand_lab.soak import Soak


@when(
    "the soak plays seed {seed:d} with {seconds:d} seconds of faults, crashes of workers among them"
)
def when_extended(context, seed, seconds):
    context.soak = Soak(seed, float(seconds), extended=True)
    context.problems = context.soak.run()


@when("the soak plays seed {seed:d} with {seconds:d} seconds of faults")
def when_plays(context, seed, seconds):
    context.soak = Soak(seed, float(seconds))
    context.problems = context.soak.run()


@when("the soak plays seed {seed:d} with {seconds:d} seconds of faults, with copies of tasks")
def when_copies(context, seed, seconds):
    context.soak = Soak(seed, float(seconds), extended=True, copies=True)
    context.problems = context.soak.run()
    runs = context.soak.site.history()
    assert any(run.task.rpartition(".")[0] in context.soak.copied_steps for run in runs)


@when("the soak plays seed {seed:d} with {seconds:d} seconds of partitions")
def when_partitions(context, seed, seconds):
    context.soak = Soak(seed, float(seconds), partitions=True)
    context.problems = context.soak.run()


@when("the soak plays seed {seed:d} with {seconds:d} seconds of faults and drained zones")
def when_drains(context, seed, seconds):
    context.soak = Soak(seed, float(seconds), extended=True, zone_drains=True)
    context.problems = context.soak.run()


@then("no promise was broken")
def then_kept(context):
    assert not context.problems, (context.problems, context.soak.faults)
    assert any(job.accepted for job in context.soak.jobs)
