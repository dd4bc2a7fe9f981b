"""Load that exceeds the room for batch jobs, replayed by the simulated scheduler."""

import random

from workflow_support import WorkflowWorld, step

from acaciastand.workflow.admission import BacklogView
from acaciastand.workflow.job import Job
from acaciastand.workflow.ranking import objective_seconds
from acaciastand.workflow.spec import WorkflowSpec
from acaciastand.workflow.work import total_core_seconds

WORKERS, CORES = 6, 16.0
MEAN_CORE_SECONDS = {"plans": 120.0, "checks": 8.0}
SHARES = {"plans": 0.8, "checks": 0.2}
BURST, BURST_SECONDS = 1.4, (6.0, 12.0)


def spread(rnd, mean, sigma, most):
    """Return a positive number around a mean with a long upper tail."""
    return min(most, mean * rnd.lognormvariate(-sigma * sigma / 2, sigma))


def batch_steps(rnd):
    """Return two steps of twenty tasks on average, on leftover processor time."""
    steps = []
    for number in range(max(1, round(spread(rnd, 2.0, 0.4, 5)))):
        count, cores = round(spread(rnd, 20.0, 0.6, 80)) or 1, spread(rnd, 1.5, 0.3, 3.0)
        after = [number - 1] if number else []
        seconds = spread(rnd, 2.0, 0.5, 20.0)
        steps.append(step(count, cores, seconds=seconds, after=after, uses_leftover=True))
    return steps


def urgent_steps(rnd):
    return [step(round(spread(rnd, 16.0, 0.8, 57)) or 1, 0.5, seconds=spread(rnd, 1.0, 0.5, 5.0))]


def replay(ranking, load, seconds, seed, admission=None):
    """Return the jobs of a load, of which those that have not ended are worth nothing any more.

    Jobs that `admission` refuses are among them; the scheduler does not get them.
    """
    rnd = random.Random(seed)
    world = WorkflowWorld(ranking)
    world.completes = True
    for number in range(WORKERS):
        world.add_worker(f"agent-{number}", CORES, 10**7)
    rates = {
        queue: WORKERS * CORES * load * share / MEAN_CORE_SECONDS[queue]
        for queue, share in SHARES.items()
    }
    due = {queue: rnd.expovariate(rate) for queue, rate in rates.items()}
    jobs, began = [], world.now
    while world.now < began + seconds + 30:
        world.advance(0.2, 0.2)
        now = world.now - began
        factor = BURST if BURST_SECONDS[0] <= now < BURST_SECONDS[1] else 1.0
        for queue, rate in rates.items():
            while due[queue] < min(now, seconds):
                due[queue] += rnd.expovariate(rate * factor)
                steps = batch_steps(rnd) if queue == "plans" else urgent_steps(rnd)
                jobs.append(submit(world, f"{len(jobs):016x}", queue, steps, admission))
    return world, jobs


def submit(world, job_id, queue, steps, admission):
    spec, estimate = WorkflowSpec("", steps), world.scheduler.backlog.estimate
    view = BacklogView(estimate, 0.0) if estimate else None
    row = world.scheduler.catalog.by_name(queue)
    if admission and admission.refusal(job_id, row, spec, view):
        return Job(job_id, queue, spec, world.now_unix)
    return world.submit(job_id, queue, *steps)


def served(world, jobs, queue, factor):
    """Return whether each job of a queue ended within `factor` objectives, the largest first."""
    by_size = sorted(jobs, key=lambda job: -total_core_seconds(job.spec))
    return list(served_by_id(world, by_size, queue, factor).values())


def served_by_id(world, jobs, queue, factor):
    """Return whether each job of a queue ended within `factor` objectives."""
    row = world.scheduler.catalog.by_name(queue)
    return {
        job.job_id: 0 < job.ended_unix <= job.accepted_unix + factor * objective_seconds(job, row)
        for job in jobs
        if job.queue == queue
    }
