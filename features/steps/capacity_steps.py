"""Steps for the pages of capacity."""

from behave import then, when

from acaciastand.shard.limits import MAX_EVENTS_PER_COMMIT, MAX_JOBS, MAX_TASKS
from acaciastand_lab.capacity import pages
from acaciastand_lab.capacity_table import Row
from acaciastand_lab.measurements import MIN_SIZES, fit, load
from acaciastand_lab.scale import TARGET


@when("the capacity pages are generated from the stored measurements")
def step_generate(context):
    context.pages = pages()


@then("they equal the stored pages")
def step_equal(context):
    for page in context.pages:
        stored = page.path.read_text(encoding="utf-8")
        assert stored == page.text, f"{page.path} is not current; run make capacity"


@then("no row says that it is not measured")
def step_measured(context):
    for page in context.pages:
        missing = [line for line in page.text.splitlines() if line.startswith("| not measured")]
        assert not missing, "\n".join(missing)


@then("each stored slope has at least 4 sizes and its residual")
def step_sizes(context):
    for slope in load().values():
        assert len(slope.sizes) == len(slope.values_at) >= MIN_SIZES, slope.name
        assert 0.0 <= slope.residual <= 1.0, slope.name


@then("a fit over 3 sizes is refused")
def step_refused(context):
    try:
        fit("memory.any", "bytes", [1, 2, 3], [1.0, 2.0, 3.0])
    except ValueError as error:
        assert "memory.any" in str(error)
    else:
        raise AssertionError("three sizes were accepted")


@then('a row of {value:d} with the limit {limit:d} says "{verdict}"')
def step_verdict(context, value, limit, verdict):
    assert Row("quantity", value, "items", limit, "mechanism").verdict == verdict


@then("the running tasks, a day's jobs and the events of a commit fit into each shard")
def step_bounds(context):
    assert TARGET.batch_running / TARGET.shards <= MAX_TASKS
    assert TARGET.jobs_per_day / TARGET.shards <= MAX_JOBS
    events = 2 * TARGET.starts / TARGET.shards * TARGET.commit_seconds
    assert events <= MAX_EVENTS_PER_COMMIT
