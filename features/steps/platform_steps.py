"""Steps for entries and agents that run as processes beside stand-ins for the platform."""

import signal
import time

import gevent
from behave import given, then, when

from acaciastand_lab.platform_site import Site, broken_promises, configuration

REFUSED_JOB_ID = "00000000000000ff"
CRASHING_JOB_ID = "00000000000000fe"


def job_id(number):
    return f"{number:016x}"


@given("a site of {entries:d} entries and {agents:d} agents")
def given_site(context, entries, agents):
    start_site(context, Site(entries, agents))


@given("a site of {entries:d} entries and {agents:d} agents whose links can be held")
def given_site_with_proxies(context, entries, agents):
    start_site(context, Site(entries, agents, proxies=True))


def start_site(context, site):
    context.site = site
    context.stack.callback(context.site.close)
    context.site.start_all()
    context.site.wait_ready()
    context.jobs = []


@given("{commits:d} percent of the commits and {starts:d} percent of the starts are not answered")
def given_lost_answers(context, commits, starts):
    context.site.store.lost_share = commits / 100
    for worker in context.site.workers:
        worker.unanswered_share = starts / 100


@given('the queue is advised and allows the workers "{workers}"')
def given_advised_queue(context, workers):
    context.site.advice.allowed = set(workers.split())
    for worker in context.site.workers:
        worker.tickets = context.site.advice
    context.site.store.write("op/config", configuration(2, advised=True))
    gevent.sleep(1.0)  # The entry's watch of the configuration returns in this time.


@then("only the allowed workers ran tasks")
def then_only_allowed_workers(context):
    assert {run.worker for run in context.site.history()} <= context.site.advice.allowed


@when("a job of {first:d} tasks and then {second:d} tasks is submitted at both entries")
def when_submitted_at_both(context, first, second):
    steps = ({"count": first, "cpu": 500}, {"count": second, "cpu": 500, "after": [0]})
    for entry in context.site.names("entry"):
        assert context.site.submit(entry, job_id(1), *steps) == 200
    context.jobs = [job_id(1)]


@when("{jobs:d} jobs of {tasks:d} tasks of {seconds:f} seconds are submitted")
def when_submitted(context, jobs, tasks, seconds, cpu=500):
    entries = context.site.names("entry")
    for number in range(jobs):
        step = {"count": tasks, "cpu": cpu, "estimateMs": int(seconds * 1000)}
        entry = entries[number % len(entries)]
        is_submitted = lambda e=entry, n=number, s=step: (  # noqa: E731
            context.site.submit(e, job_id(n + 1), s, seconds=seconds) == 200
        )
        context.site.wait(is_submitted)
        context.jobs.append(job_id(number + 1))


@when("the owner is killed")
def when_owner_killed(context):
    context.site.wait(context.site.owner)
    context.former_owner = context.site.owner()
    context.site.signal(context.former_owner, signal.SIGKILL)


@when("the store refuses the owner")
def when_owner_refused(context):
    context.site.wait(context.site.owner)
    context.refused_owner = context.site.owner()
    context.site.store_access[context.refused_owner].turned_away = True


@when("the store refuses an entry as soon as it has claimed the ownership")
def when_refused_in_takeover(context):
    context.site.wait(context.site.owner)
    first = context.site.owner()
    context.former_owner = next(e for e in context.site.names("entry") if e != first)
    context.site.store_access[context.former_owner].turned_away_in_takeover = True
    context.site.signal(first, signal.SIGKILL)
    context.site.wait(lambda: context.site.store_access[context.former_owner].turned_away)
    context.site.start(first)
    context.site.wait(lambda: context.site.call(first, "GET", "")[0] == 200)


@then("the owner is still the same after {seconds:d} seconds")
def then_same_owner(context, seconds):
    gevent.sleep(seconds)  # Another entry claims after a shorter time without a heartbeat.
    assert context.site.owner() == context.refused_owner, context.site.owner()


@when("every process is killed and started again")
def when_all_killed(context):
    for name in list(context.site.processes):
        context.site.signal(name, signal.SIGKILL)
    for name in list(context.site.processes):
        context.site.processes[name].wait()
        context.site.start(name)


@when("the store is down for {seconds:d} seconds")
def when_store_down(context, seconds):
    context.site.store.down = True
    gevent.sleep(0.3)
    submitted_at = time.monotonic()
    context.submission_status = context.site.submit(
        context.site.names("entry")[0], REFUSED_JOB_ID, {"count": 1, "cpu": 100}
    )
    context.submission_seconds = time.monotonic() - submitted_at
    gevent.sleep(seconds)
    context.site.store.down = False


@then("a submission during the outage is refused with 503 within 1 second")
def then_refused(context):
    assert context.submission_status == 503, context.submission_status
    assert context.submission_seconds < 1.0, context.submission_seconds


@then("the refused job never runs")
def then_never_runs(context):
    assert not any(run.task.startswith(REFUSED_JOB_ID) for run in context.site.history())
    assert context.site.state(REFUSED_JOB_ID) == "unknown"


@when("the jobs are cancelled")
def when_cancelled(context):
    context.site.wait(lambda: len(context.site.history()) == 2)
    for job in context.jobs:
        assert context.site.call(context.site.names("entry")[0], "DELETE", job)[0] == 200


@when("the worker restarts during the run")
def when_worker_restarts(context):
    context.site.wait(context.site.history)
    context.site.workers[0].crash()


@when("the owner is asked to stop")
def when_stop_requested(context):
    context.site.wait(context.site.owner)
    context.former_owner = context.site.owner()
    context.site.signal(context.former_owner, signal.SIGTERM)
    context.stop_requested_at = time.monotonic()


@then("the other entry owns the jobs within {seconds:f} seconds")
def then_owns(context, seconds):
    context.site.wait(lambda: context.site.owner() not in ("", context.former_owner), seconds)


def all_jobs_in_state(context, state, entries):
    return all(
        context.site.state(job, [entry]) == state for job in context.jobs for entry in entries
    )


@then('the job is "{state}" within {seconds:d} seconds at every entry')
@then('the jobs are "{state}" within {seconds:d} seconds at every entry')
def then_state_at_every_entry(context, state, seconds):
    context.site.wait(
        lambda: all_jobs_in_state(context, state, context.site.names("entry")), float(seconds)
    )


@then('the jobs are "{state}" within {seconds:d} seconds at the other entry')
def then_state_at_other_entry(context, state, seconds):
    others = [entry for entry in context.site.names("entry") if entry != context.former_owner]
    context.site.wait(lambda: all_jobs_in_state(context, state, others), float(seconds))


@then("each of its {count:d} tasks ran once")
def then_each_ran_once(context, count):
    history = context.site.history()
    assert len(history) == count == len({run.task for run in history}), history


@then("no promise is broken")
def then_no_promise_broken(context):
    problems = broken_promises(context.site.history(), time.monotonic())
    assert not problems, problems


@then("nothing runs within {seconds:d} seconds")
def then_nothing_runs(context, seconds):
    context.site.wait(lambda: not any(w.running for w in context.site.workers), float(seconds))


@then("a query for an unknown id is answered with 410")
def then_query_not_found(context):
    assert context.site.call("entry-1", "GET", job_id(99))[0] == 410


@then("a cancel of an unknown id is answered with 410")
def then_cancel_not_found(context):
    assert context.site.call("entry-1", "DELETE", job_id(99))[0] == 410


@then("a malformed job is answered with 400")
def then_malformed(context):
    assert context.site.call("entry-1", "POST", job_id(1), {"steps": [{"count": 0}]})[0] == 400


@then("a call outside all queues is answered with 404")
def then_path_not_found(context):
    assert context.site.call("entry-1", "GET", "not-an-id")[0] == 404


@when("the worker of the first task never answers again")
def when_worker_lost(context):
    context.site.wait(lambda: len(context.site.history()) == 2)
    context.first_run = context.site.history()[0]
    worker = next(w for w in context.site.workers if w.worker_id == context.first_run.worker)
    worker.heartbeats_stopped = True
    worker.gone = True


@when("the worker of the first task leaves, and its agent is stopped")
def when_worker_leaves(context):
    context.site.wait(lambda: len(context.site.history()) == 3)
    context.first_run = context.site.history()[0]
    number = next(
        n for n, w in enumerate(context.site.workers) if w.worker_id == context.first_run.worker
    )
    context.site.workers[number].leave()
    name = f"agent-{number + 1}"
    gevent.sleep(0.5)  # Two polls of the agent fail in this time.
    context.site.signal(name, signal.SIGTERM)
    context.site.wait(lambda: context.site.processes[name].poll() is not None)


@then("the first task starts at the other worker within {seconds:d} seconds")
def then_started_elsewhere(context, seconds):
    others = [w for w in context.site.workers if w.worker_id != context.first_run.worker]
    context.site.wait(
        lambda: any(run.task == context.first_run.task for w in others for run in w.history),
        float(seconds),
    )


@when('every process reloads settings with the log level "{level}"')
def when_reload(context, level):
    context.process_ids = {n: p.pid for n, p in context.site.processes.items()}
    # A process that is still being loaded has no handler for the signal.
    context.site.wait(lambda: all(has_started(context, name) for name in context.site.settings))
    for name, path in context.site.settings.items():
        text = path.read_text(encoding="utf-8")
        path.write_text(f'{text}log_level = "{level}"\n', encoding="utf-8")
        context.site.signal(name, signal.SIGHUP)
    context.site.wait(lambda: "settings reloaded" in entry_log(context))


def has_started(context, name):
    log = (context.site.folder / f"{name}.log").read_text(encoding="utf-8")
    return f"{name.partition('-')[0]} started" in log


@when("the entry reloads a malformed settings file")
def when_reload_malformed(context):
    context.site.settings["entry-1"].write_text("entry_id = ", encoding="utf-8")
    context.site.signal("entry-1", signal.SIGHUP)
    context.site.wait(lambda: "settings not reloaded" in entry_log(context))


def entry_log(context):
    return (context.site.folder / "entry-1.log").read_text(encoding="utf-8")


@then("no process has ended or been replaced")
def then_same_processes(context):
    for name, process in context.site.processes.items():
        assert process.poll() is None and process.pid == context.process_ids[name], name


@then('the log of the entry has the lines "{first}" and "{second}"')
def then_log_lines(context, first, second):
    assert first in entry_log(context) and second in entry_log(context)


@when("a job is submitted whose task takes each worker down for {seconds:f} seconds")
def when_crashing(context, seconds):
    step = {"count": 1, "cpu": 500, "estimateMs": 1000}
    entry = context.site.names("entry")[0]
    assert context.site.submit(entry, CRASHING_JOB_ID, step, crash_seconds=seconds) == 200


def crash_count(context):
    return sum(worker.crashes for worker in context.site.workers)


@when("the owner is killed once a worker has crashed")
def when_owner_killed_after_crash(context):
    context.site.wait(lambda: crash_count(context))
    when_owner_killed(context)


@then('that job is "{state}" within {seconds:d} seconds at the other entry')
def then_crashing_job(context, state, seconds):
    others = [entry for entry in context.site.names("entry") if entry != context.former_owner]
    context.site.wait(lambda: context.site.state(CRASHING_JOB_ID, others) == state, float(seconds))


@then("at most {count:d} workers have crashed under it")
def then_few_crashes(context, count):
    assert 1 <= crash_count(context) <= count, crash_count(context)


@when(
    "a worker restarts silently just before a job of {tasks:d} tasks of {seconds:f} seconds arrives"
)
def when_restarts_before(context, tasks, seconds):
    gevent.sleep(8.0)  # The clocks of the workers are that far ahead of a new one.
    context.site.workers[0].crash()
    when_submitted(context, 1, tasks, seconds)
    gevent.sleep(1.0)
    assert any(run.worker == context.site.workers[0].worker_id for run in context.site.history())


@when("its agent is paused for {seconds:d} seconds")
def when_agent_paused(context, seconds):
    name = context.site.names("agent")[0]
    context.site.signal(name, signal.SIGSTOP)
    gevent.sleep(seconds)
    context.site.signal(name, signal.SIGCONT)


@when(
    "{jobs:d} jobs of {tasks:d} tasks of {seconds:f} seconds are submitted {wait:d} seconds later"
)
def when_submitted_later(context, jobs, tasks, seconds, wait):
    gevent.sleep(wait)
    when_submitted(context, jobs, tasks, seconds, cpu=2000)
    context.site.wait(lambda: len(context.site.history()) == jobs * tasks)
    assert all(worker.running for worker in context.site.workers)


@when("the owner and one agent are cut off from all others for {seconds:d} seconds")
def when_cut_off(context, seconds):
    agent = context.site.names("agent")[0]
    owner = context.site.owner()
    context.site.isolate(owner, agent)
    gevent.sleep(seconds)
    assert context.site.owner() != owner  # Another entry has taken over meanwhile.
    context.site.heal()
