"""Steps for tasks that crash the workers that start them."""

import random

from behave import given, then, when
from workflow_support import WorkflowWorld, step

from acaciastand.workflow.job import JobState

TICK_SECONDS = 0.1
SHORT_TASK_SECONDS = 1.5
# Time in which all jobs can end after the last one was submitted.
SETTLE_SECONDS = 30.0


class CrashingSite:
    """A simulated deployment with a steady load of short tasks."""

    def __init__(self, workers, services, tasks_per_second):
        self.world = WorkflowWorld()
        self.world.completes = True
        for number in range(workers):
            self.world.add_worker(f"agent-{number + 1}")
        self.tasks_per_second = tasks_per_second
        self.job_count = 0
        self.ordinary_jobs = []
        self.deadly_jobs = []
        self.lost_at = {}
        self.longest_wait = 0.0
        for _ in range(services):
            self.submit(step(4, 1.0, continuous=True, image="s", target_ms=50.0), "watchers")

    def submit(self, step_spec, queue="checks", **repetition):
        """Submit an ordinary job and return it."""
        self.job_count += 1
        job = self.world.submit(f"{self.job_count:016x}", queue, step_spec, **repetition)
        self.ordinary_jobs.append(job)
        return job

    def submit_deadly(self, seconds, step_spec=None, queue="checks", **repetition):
        """Submit a job whose first task crashes each worker after some seconds."""
        step_spec = step_spec or step(2, 1.0, seconds=seconds + 1.0)
        job = self.submit(step_spec, queue, **repetition)
        self.ordinary_jobs.remove(job)
        self.deadly_jobs.append(job)
        self.world.deadly[f"{job.job_id}.0.0.0"] = seconds
        return job

    def advance(self, seconds, with_load=True):
        """Let time pass."""
        for _ in range(round(seconds / TICK_SECONDS)):
            if with_load:
                count = round(self.tasks_per_second * TICK_SECONDS)
                self.submit(step(count, 0.5, seconds=SHORT_TASK_SECONDS))
            self.world.advance(TICK_SECONDS)
            self._measure_waits()

    def _measure_waits(self):
        """Measure how long tasks wait for another start after the loss of their run was known."""
        for decision in self.world.scheduler.decisions:
            if decision.what == "run lost":
                self.lost_at[decision.subject] = self.world.now
            elif decision.what == "start" and decision.subject in self.lost_at:
                waited = self.world.now - self.lost_at.pop(decision.subject)
                self.longest_wait = max(self.longest_wait, waited)
        self.world.scheduler.decisions.clear()

    def change_owner(self):
        """Let another owner take over with what is stored."""
        former = self.world
        former.store_all()
        world = self.world = WorkflowWorld(has_reported=False)
        world.now, world.completes = former.now, True
        world.deadly, world.crashes = former.deadly, former.crashes
        world.started, world.workers = former.started, former.workers
        for job in list(former.scheduler.jobs.values()):
            fresh = type(job)(job.job_id, job.queue, job.spec, job.accepted_unix)
            fresh.restore(job.progress())
            world.scheduler.add_job(fresh, certain=False)
            for jobs in (self.ordinary_jobs, self.deadly_jobs):
                if job in jobs:
                    jobs[jobs.index(job)] = fresh
        for agent_id in world.workers:
            world.scheduler.add_worker(agent_id, False, world.now + 5.0).reachable = True


@given("{workers:d} workers with {services:d} services and {rate:d} short tasks a second")
def given_site(context, workers, services, rate):
    context.site = CrashingSite(workers, services, rate)
    context.site.advance(3.0)


@when("a job is submitted whose task crashes each worker {seconds:f} seconds after its start")
def when_deadly(context, seconds):
    context.site.submit_deadly(seconds)


@when("{count:d} such jobs are submitted whose tasks crash after {seconds:f} seconds")
def when_several_deadly(context, count, seconds):
    for _ in range(count):
        context.site.submit_deadly(seconds)


@when("a job with a {kind} task is submitted that crashes each worker")
def when_deadly_of_kind(context, kind):
    site = context.site
    if kind == "continuous":
        steps = step(2, 1.0, continuous=True, image="d", target_ms=50.0)
        site.submit_deadly(0.01, steps, "watchers")
    elif kind == "batch":
        site.submit_deadly(0.01, step(3, 2.0, uses_leftover=True, image="b", seconds=3.0), "plans")
    elif kind == "repeated":
        due_unix = site.world.now_unix + 0.5
        site.submit_deadly(0.01, repeats=2, first_due_unix=due_unix, interval_seconds=1.0)
    else:
        site.submit_deadly(0.01, step(3, 1.0, seconds=20.0, gang=True))


@when("the owner changes after each crash")
def when_owner_changes(context):
    site = context.site
    changed = 0
    for _ in range(400):
        site.advance(TICK_SECONDS)
        crashed = sum(site.world.crashes.values())
        if crashed > changed:
            changed = crashed
            site.advance(2.0)
            site.change_owner()


@when("{count:d} of the workers crash by turns every {gap:d} seconds for {seconds:d} seconds")
def when_flapping(context, count, gap, seconds):
    site = context.site
    for turn in range(seconds // gap):
        site.world.crash(f"agent-{turn % count + 1}")
        site.advance(float(gap))


@when("a worker crashes just after {count:d} tasks of {seconds:f} seconds have started on it")
def when_shared(context, count, seconds):
    site = context.site
    world = site.world
    others = [w for a, w in world.scheduler.workers.items() if a != "agent-8"]
    for view in others:
        view.full_until = world.now + 0.15
    context.shared = site.submit(step(count, 0.5, seconds=seconds))
    world.advance(TICK_SECONDS)
    started = [row for row in world.started if row[0].startswith(context.shared.job_id)]
    assert {agent for _, _, agent in started} == {"agent-8"} and len(started) == count, started
    world.crash("agent-8")


@then("these tasks run on within {seconds:f} seconds after the loss of their runs is known")
def then_run_on(context, seconds):
    context.site.advance(3.2 + seconds)
    started = [r for r in context.site.world.started if r[0].startswith(context.shared.job_id)]
    assert len(started) == 2 * len(context.shared.tasks), started


@then("they are cleared within {seconds:f} seconds more")
def then_cleared(context, seconds):
    assert any(task.crashes for task in context.shared.tasks.values())
    context.site.advance(seconds)
    assert not any(task.crashes for task in context.shared.tasks.values())
    context.site.advance(SETTLE_SECONDS, with_load=False)
    assert context.shared.state is JobState.COMPLETED


@when("workers crash under tasks and by themselves for {seconds:d} seconds by seed {seed:d}")
def when_random(context, seconds, seed):
    chance = random.Random(seed)
    site = context.site
    for _ in range(seconds):
        if chance.random() < 0.15:
            site.submit_deadly(chance.choice((0.01, 0.01, 0.05, 0.4, 0.9, 2.0)))
        if chance.random() < 0.06:
            site.world.crash(chance.choice(sorted(site.world.workers)), chance.uniform(0.0, 0.1))
        site.advance(1.0)
    site.advance(SETTLE_SECONDS)


@then("the job is failed after at most {count:d} crashes")
@then("the jobs are failed after at most {count:d} crashes each")
def then_given_up(context, count):
    context.site.advance(SETTLE_SECONDS)
    for job in context.site.deadly_jobs:
        crashes = context.site.world.crashes.get(f"{job.job_id}.0.0.0", 0)
        assert job.state is JobState.FAILED, (job.state, crashes)
        assert crashes <= count, crashes


@then("each of these tasks is started fewer than three times after three crashes")
def then_within_budget(context):
    for job in context.site.deadly_jobs:
        crashes = context.site.world.crashes.get(f"{job.job_id}.0.0.0", 0)
        assert job.state is JobState.FAILED, (job.state, crashes)
        assert crashes < 6, crashes


@then("no other job is failed")
def then_none_failed(context):
    failed = [job.job_id for job in context.site.ordinary_jobs if job.state is JobState.FAILED]
    assert not failed, failed


@then("no other job is failed, and lost runs start again within {seconds:f} seconds")
def then_completed(context, seconds):
    then_none_failed(context)
    site = context.site
    site.advance(SETTLE_SECONDS, with_load=False)
    assert site.longest_wait <= seconds, site.longest_wait
    for job in site.ordinary_jobs:
        is_service = any(step_spec.continuous for step_spec in job.spec.steps)
        assert is_service or job.state is JobState.COMPLETED, (job.job_id, job.state)
