"""Steps for statements on a worker that cross commands on their way to it."""

import signal
from unittest import mock

import gevent
from behave import given, then, when
from lease_support import poll, start
from waiting import wait_for

from acaciastand.cluster import worker_controller
from acaciastand.cluster.clock import now
from acaciastand.platform.http import CallTimedOut
from acaciastand.workflow.reports import PollPosition, StartCommand, StartOutcome

TASK = "00000000000000aa.0.0.0"
# After this time in its term, a grant that an owner gives ends later than those that a former owner
# may have given, which it awaits as well.
FORMER_GRANTS_SECONDS = 6.0


@given("the agents keep the starts that they get")
def given_kept(context):
    context.world.keeps_starts = True


@when("the agent of the task reports that the lease of its runs has expired")
def when_lease_expired(context):
    report_expired_lease(context.world, context.world.started[0][2])


@when("the agent of the second start reports that the lease of its runs has expired")
def when_second_lease_expired(context):
    report_expired_lease(context.world, context.world.started[1][2])


def report_expired_lease(world, agent_id):
    world.report(agent_id, position=PollPosition(), running=[], lapsed=True, silent=True)
    world.scheduler.workers[agent_id].reachable = False
    world.advance(0.3)


@when("the agent answers that the run has started")
def when_answered(context):
    world = context.world
    [start_decision] = world.kept_starts
    world.answer_start(start_decision, StartOutcome.STARTED)
    world.advance(0.3)


@when("its worker does not answer until the lease has expired")
def when_silent(context):
    context.worker.errors += [CallTimedOut("no answer", "poll again") for _ in range(9)]
    for _ in range(2):
        poll(context)
    context.controller.lease.alive_until = now() - 0.1


@when("a start for the silent worker is commanded")
def when_start_commanded(context):
    context.starting = start(context)
    gevent.sleep(0.1)


@when("the time for the start has passed")
def when_start_over(context):
    context.starting.join(2.0)


@then("the agent reports that the lease of its runs has expired")
def then_expired(context):
    assert context.controller.report().lapsed


@then("the agent does not report that the lease of its runs has expired")
def then_not_expired(context):
    assert not context.controller.report().lapsed


@when(
    "an agent is paused for {paused:f} seconds"
    " and its worker does not answer for {longer:d} seconds longer"
)
def when_paused(context, paused, longer):
    site = context.site
    gevent.sleep(FORMER_GRANTS_SECONDS)
    site.links["agent-1 worker"].silence()
    site.signal("agent-1", signal.SIGSTOP)
    gevent.sleep(paused)
    site.signal("agent-1", signal.SIGCONT)
    gevent.spawn_later(longer, site.links["agent-1 worker"].heal)


@when("jobs arrive as soon as the agent goes on")
def when_jobs_arrive(context):
    step = {"count": 2, "cpu": 500, "estimateMs": 2000}
    for number in range(10):
        job_id = f"{number + 1:016x}"
        context.jobs.append(job_id)
        assert context.site.submit("entry-1", job_id, step, seconds=2.0) == 200
        gevent.sleep(0.04)
    gevent.sleep(2.0)


@when("a call of a start is not answered")
def when_start_not_answered(context):
    context.worker.errors.append(CallTimedOut("no answer", "repeat the call"))
    context.first_call_at = now()
    context.starting = start(context)
    gevent.sleep(0.02)
    assert context.worker.starts == 1


@when("two calls of a start are not answered, the second one {seconds:f} seconds after the first")
def when_two_not_answered(context, seconds):
    when_start_not_answered(context)
    gevent.sleep(seconds)
    context.worker.errors.append(CallTimedOut("no answer", "repeat the call"))
    context.controller.lease.record_clock(context.worker.clock_ms(), now())
    gevent.sleep(0.1)
    assert context.worker.starts == 2


@when("a new owner is followed whose stops are not answered")
def when_new_owner(context):
    context.controller.begin_epoch(2)


@when("the worker restarts after the start has been given up")
def when_restarts(context):
    context.starting.join(2.0)
    context.worker.restart()
    poll(context)


@when("a stop for {seconds:f} seconds is in progress and a new owner is followed")
def when_stop_and_new_owner(context, seconds):
    context.starting.join(2.0)
    stopping = gevent.spawn(context.controller.stop, TASK, 1, now() + seconds)
    context.stack.callback(stopping.kill)
    gevent.sleep(0.02)
    context.controller.begin_epoch(2)


@when("the worker answers stops {seconds:f} seconds after its restart")
def when_answers_stops(context, seconds):
    gevent.sleep(seconds - 0.2)
    context.was_settled = not context.controller._unsettled_starts()
    gevent.sleep(0.2)
    context.worker.answers_stops = True


@then("the starts of the former owner have not settled 0.2 seconds earlier")
def then_was_not_settled(context):
    assert not context.was_settled


@then("the starts of the former owner have settled within {seconds:f} seconds")
def then_settled_within(context, seconds):
    controller = context.controller
    wait_for(lambda: not controller._unsettled_starts(), "the starts have settled", seconds)


@when("a new owner is followed whose stop the worker accepts")
def when_stop_accepted(context):
    context.starting.join(2.0)
    context.worker.answers_stops = True
    context.controller.begin_epoch(2)
    gevent.sleep(0.1)
    context.worker.answers_stops = False
    poll(context)


@when("a new owner is followed whose stop the worker accepts while it restarts")
def when_stop_accepted_late(context):
    context.starting.join(2.0)
    context.worker.stop = lambda task, run: gevent.sleep(0.2)
    context.controller.begin_epoch(2)
    gevent.sleep(0.1)
    del context.worker.stop
    context.worker.restart()
    poll(context)
    gevent.sleep(0.2)


@then("the agent reports that the starts of the former owner have settled")
def then_reports_settled(context):
    assert context.controller.report().settled


@then("the agent does not report that the starts of the former owner have settled")
def then_not_reports_settled(context):
    report = context.controller.report()
    assert report.position.number and not report.settled


@then("the starts of the former owner have not settled")
def then_not_settled(context):
    assert context.controller._unsettled_starts()


@then("the starts of the former owner have not settled {seconds:f} seconds after the first call")
def then_not_settled_after(context, seconds):
    assert not is_settled_after(context, seconds)


@then("the starts of the former owner have settled {seconds:f} seconds after the first call")
def then_settled_after(context, seconds):
    assert is_settled_after(context, seconds)


def is_settled_after(context, seconds):
    context.starting.join(2.0)
    later = context.first_call_at + seconds
    with mock.patch.object(worker_controller, "now", lambda: later):
        return not context.controller._unsettled_starts()


@then("the start is not repeated after the next poll")
def then_not_repeated(context):
    poll(context)
    gevent.sleep(0.2)
    assert context.worker.starts == 1


@given("starts and stops are not answered")
def given_unanswered(context):
    context.world.unanswered = set(context.world.workers)
    context.world.ignored_stops = set(context.world.workers)


@when("the worker of the task restarts")
def when_worker_of_task_restarts(context):
    world = context.world
    world.workers[world.started[0][2]].restart()
    world.advance(2.0)


@when("starts and stops are answered again")
def when_answered_again(context):
    context.world.unanswered = set()
    context.world.ignored_stops = set()
    context.world.advance(2.0)


@when("the other agent reports run 1 of the task as running")
def when_first_run_listed(context):
    context.world.workers["1"].running[TASK] = 1
    context.world.advance(0.3)


def first_agent(context):
    """Return the worker whose agent has not reported, and let it report."""
    world = context.world
    worker = next(w for w in world.workers.values() if w.agent_id != "1")
    world.scheduler.workers[worker.agent_id].reachable = True
    worker.running[TASK] = 2
    worker.started_at[TASK] = world.now - 1.0
    return worker


@when("the first agent reports that run 2 of the task has lapsed")
def when_lapsed(context):
    first_agent(context).end(TASK, "lapsed")
    context.world.advance(2.0)


@when("the first agent reports that run 2 of the task crashed its worker")
def when_crashed(context):
    first_agent(context).crash(context.world.now)
    context.world.advance(5.0)


@then("nothing is stopped and nothing has started")
def then_nothing_happened(context):
    assert not context.world.stopped and not context.world.started


@when("run 1 of the task ends as failed")
def when_run_fails(context):
    context.world.workers["1"].end(TASK, "failed")
    context.world.advance(0.5)


@then("run 3 of the task starts")
def then_third_run(context):
    assert [run for task, run, _ in context.world.started if task == TASK] == [3]


@when("the worker stands still while it stops the run")
def when_stands_still(context):
    world = context.world
    worker = context.worker = world.workers[world.started[0][2]]
    [task] = world.scheduler.workers[worker.agent_id].tasks.values()
    del worker.running[task.key]  # It is listed neither as running nor as ended.
    world.scheduler.request_stop(task, world.now)
    world.advance(0.3)
    worker.answers = False
    world.advance(0.3)
    context.begun = worker.begun_position
    world.advance(2.2)
    assert task.stop_confirmed_at


@when("the worker answers a poll that began before the stop was over")
def when_answers_early_poll(context):
    world, worker = context.world, context.worker
    worker.poll_number = context.begun.number
    world.advance(0.2)


@when("the worker goes on and does not list the run")
def when_goes_on(context):
    context.worker.answers = True
    context.world.advance(1.0)


@when("the run fails and the agents keep the starts that they get")
def when_run_fails_and_kept(context):
    context.world.keeps_starts = True
    context.world.end(context.world.started[0][0], "failed")
    context.world.advance(0.5)
    assert len(context.world.started) == 2


@when("the stop of its run is requested before the start is repeated")
def when_stop_requested(context):
    controller = context.controller
    controller.client = mock.Mock()
    controller.client.start.side_effect = [*context.answers, StartOutcome.STARTED]
    controller.client.stop.side_effect = lambda task, run: gevent.sleep(0.8)
    stopping = gevent.spawn(controller.stop, TASK, 1, now() + 0.5)
    # A poll that is answered in between would let the agent repeat the start.
    polling = gevent.spawn_later(0.1, controller.lease.record_clock, 1.0, now())
    context.stack.callback(gevent.killall, [stopping, polling])
    context.outcome = controller.start(StartCommand(TASK, 1), now() + 0.5, 1)


@then("the worker was called once to start the run")
def then_called_once(context):
    assert context.controller.client.start.call_count == 1
