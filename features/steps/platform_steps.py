"""Steps for entries and agents that run as processes beside stand-ins of the platform."""

import signal
import time

import gevent
from behave import given, then, when

from acaciastand_lab.platform_site import Site, broken_promises, configuration

LOST_ID = "00000000000000ff"


def job_id(number):
    return f"{number:016x}"


@given("a site of {entries:d} entries and {agents:d} agents")
def given_site(context, entries, agents):
    context.site = Site(entries, agents)
    context.stack.callback(context.site.close)
    context.site.start_all()
    context.site.wait_ready()
    context.jobs = []


@given("{commits:d} percent of the commits and {starts:d} percent of the starts are not answered")
def given_lost(context, commits, starts):
    context.site.store.lost_share = commits / 100
    for worker in context.site.workers:
        worker.unanswered_share = starts / 100


@given('the queue is advised and allows the workers "{workers}"')
def given_advised(context, workers):
    context.site.advice.allowed = set(workers.split())
    for worker in context.site.workers:
        worker.tickets = context.site.advice
    context.site.store.write("op/config", configuration(2, advised=True))
    gevent.sleep(1.0)  # the entry watches the configuration


@then("only the allowed workers ran tasks")
def then_allowed(context):
    assert {run.worker for run in context.site.history()} <= context.site.advice.allowed


@when("a job of {first:d} tasks and then {second:d} tasks is submitted at both entries")
def when_twice(context, first, second):
    steps = ({"count": first, "cpu": 500}, {"count": second, "cpu": 500, "after": [0]})
    for entry in context.site.names("entry"):
        assert context.site.submit(entry, job_id(1), *steps) == 200
    context.jobs = [job_id(1)]


@when("{jobs:d} jobs of {tasks:d} tasks of {seconds:f} seconds are submitted")
def when_submitted(context, jobs, tasks, seconds):
    entries = context.site.names("entry")
    for number in range(jobs):
        step = {"count": tasks, "cpu": 500, "estimateMs": int(seconds * 1000)}
        entry = entries[number % len(entries)]
        submitted = lambda e=entry, n=number, s=step: (  # noqa: E731
            context.site.submit(e, job_id(n + 1), s, seconds=seconds) == 200
        )
        context.site.wait(submitted)
        context.jobs.append(job_id(number + 1))


@when("the owner is killed")
def when_owner_killed(context):
    context.site.wait(context.site.owner)
    context.killed = context.site.owner()
    context.site.signal(context.killed, signal.SIGKILL)


@when("the store turns the owner away")
def when_owner_turned_away(context):
    context.site.wait(context.site.owner)
    context.turned_away = context.site.owner()
    context.site.store_access[context.turned_away].turned_away = True


@when("the store answers an entry no reads from its claim on")
def when_turned_away_in_takeover(context):
    context.site.wait(context.site.owner)
    first = context.site.owner()
    context.killed = next(e for e in context.site.names("entry") if e != first)
    context.site.store_access[context.killed].turned_away_in_takeover = True
    context.site.signal(first, signal.SIGKILL)
    context.site.wait(lambda: context.site.store_access[context.killed].turned_away)
    context.site.start(first)
    context.site.wait(lambda: context.site.call(first, "GET", "")[0] == 200)


@then("the owner is the same after {seconds:d} seconds")
def then_same_owner(context, seconds):
    gevent.sleep(seconds)  # longer than the silence after which another entry claims
    assert context.site.owner() == context.turned_away, context.site.owner()


@when("every process is killed and started again")
def when_all_killed(context):
    for name in list(context.site.processes):
        context.site.signal(name, signal.SIGKILL)
    for name in list(context.site.processes):
        context.site.processes[name].wait()
        context.site.start(name)


@when("the store is down for {seconds:d} seconds")
def when_down(context, seconds):
    context.site.store.down = True
    gevent.sleep(0.3)
    began = time.monotonic()
    context.refused = context.site.submit(
        context.site.names("entry")[0], LOST_ID, {"count": 1, "cpu": 100}
    )
    context.refused_after = time.monotonic() - began
    gevent.sleep(seconds)
    context.site.store.down = False


@then("a submission during the outage is refused with 503 within 1 second")
def then_refused(context):
    assert context.refused == 503, context.refused
    assert context.refused_after < 1.0, context.refused_after


@then("the refused job never runs")
def then_never_runs(context):
    assert not any(run.task.startswith(LOST_ID) for run in context.site.history())
    assert context.site.state(LOST_ID) == "unknown"


@when("the jobs are cancelled")
def when_cancelled(context):
    context.site.wait(lambda: len(context.site.history()) == 2)
    for job in context.jobs:
        assert context.site.call(context.site.names("entry")[0], "DELETE", job)[0] == 200


@when("the worker restarts during the run")
def when_restarts(context):
    context.site.wait(context.site.history)
    context.site.workers[0].crash()


@when("the owner is asked to stop")
def when_stop_requested(context):
    context.site.wait(context.site.owner)
    context.killed = context.site.owner()
    context.site.signal(context.killed, signal.SIGTERM)
    context.stop_requested_at = time.monotonic()


@then("the other entry owns the jobs within {seconds:f} seconds")
def then_owns(context, seconds):
    context.site.wait(lambda: context.site.owner() not in ("", context.killed), seconds)


def all_in(context, state, entries):
    return all(
        context.site.state(job, [entry]) == state for job in context.jobs for entry in entries
    )


@then('the job is "{state}" within {seconds:d} seconds at every entry')
@then('the jobs are "{state}" within {seconds:d} seconds at every entry')
def then_every(context, state, seconds):
    context.site.wait(lambda: all_in(context, state, context.site.names("entry")), float(seconds))


@then('the jobs are "{state}" within {seconds:d} seconds at the other entry')
def then_other(context, state, seconds):
    others = [entry for entry in context.site.names("entry") if entry != context.killed]
    context.site.wait(lambda: all_in(context, state, others), float(seconds))


@then("each of its {count:d} tasks ran once")
def then_once(context, count):
    history = context.site.history()
    assert len(history) == count == len({run.task for run in history}), history


@then("no promise is broken")
def then_no_promise(context):
    problems = broken_promises(context.site.history(), time.monotonic())
    assert not problems, problems


@then("nothing runs within {seconds:d} seconds")
def then_nothing_runs(context, seconds):
    context.site.wait(lambda: not any(w.running for w in context.site.workers), float(seconds))


@then("a query for an unknown id is answered with 410")
def then_gone(context):
    assert context.site.call("entry-1", "GET", job_id(99))[0] == 410


@then("a cancel of an unknown id is answered with 410")
def then_cancel_gone(context):
    assert context.site.call("entry-1", "DELETE", job_id(99))[0] == 410


@then("a malformed job is answered with 400")
def then_malformed(context):
    assert context.site.call("entry-1", "POST", job_id(1), {"steps": [{"count": 0}]})[0] == 400


@then("a call outside all queues is answered with 404")
def then_foreign(context):
    assert context.site.call("entry-1", "GET", "not-an-id")[0] == 404


@when("the worker of the first task is gone for good")
def when_gone(context):
    context.site.wait(lambda: len(context.site.history()) == 2)
    context.first = context.site.history()[0]
    gone = next(w for w in context.site.workers if w.worker_id == context.first.worker)
    gone.heartbeats_stopped = True
    gone.gone = True


@when("the worker of the first task leaves, and its agent is stopped")
def when_leaves(context):
    context.site.wait(lambda: len(context.site.history()) == 3)
    context.first = context.site.history()[0]
    number = next(
        n for n, w in enumerate(context.site.workers) if w.worker_id == context.first.worker
    )
    context.site.workers[number].leave()
    name = f"agent-{number + 1}"
    gevent.sleep(0.5)  # two looks of the agent that fail
    context.site.signal(name, signal.SIGTERM)
    context.site.wait(lambda: context.site.processes[name].poll() is not None)


@then("the first task starts at the other worker within {seconds:d} seconds")
def then_elsewhere(context, seconds):
    others = [w for w in context.site.workers if w.worker_id != context.first.worker]
    context.site.wait(
        lambda: any(run.task == context.first.task for w in others for run in w.history),
        float(seconds),
    )


@when('every process reloads settings with the log level "{level}"')
def when_reload(context, level):
    context.started = {n: p.pid for n, p in context.site.processes.items()}
    for name, path in context.site.settings.items():
        text = path.read_text(encoding="utf-8")
        path.write_text(f'{text}log_level = "{level}"\n', encoding="utf-8")
        context.site.signal(name, signal.SIGHUP)
    context.site.wait(lambda: "settings reloaded" in entry_log(context))


@when("the settings of the entry are damaged and it reloads them")
def when_damaged(context):
    context.site.settings["entry-1"].write_text("entry_id = ", encoding="utf-8")
    context.site.signal("entry-1", signal.SIGHUP)
    context.site.wait(lambda: "settings not reloaded" in entry_log(context))


def entry_log(context):
    return (context.site.folder / "entry-1.log").read_text(encoding="utf-8")


@then("every process is the one that was started")
def then_same_processes(context):
    for name, process in context.site.processes.items():
        assert process.poll() is None and process.pid == context.started[name], name


@then('the log of the entry has the lines "{first}" and "{second}"')
def then_log(context, first, second):
    assert first in entry_log(context) and second in entry_log(context)
