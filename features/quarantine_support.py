"""A simulated scheduler with workers and jobs that fail, for scenarios on quarantine."""

from workflow_support import WorkflowWorld, step

JOB = "00000000000000aa"
CORES = 16.0


class FailingWorld(WorkflowWorld):
    """A world in which workers, and runs of jobs, fail by the next report.

    `failing` has the ids of the agents, `hopeless` those of the jobs; `failed_runs` has the task
    and the agent of each run that failed so.
    """

    def __init__(self):
        super().__init__()
        self.failing = set()
        self.hopeless = set()
        self.failed_runs = []
        self.completes = True

    def report_all(self):
        for agent_id, worker in self.workers.items():
            for key in list(worker.running):
                if agent_id in self.failing or key[:16] in self.hopeless:
                    self.failed_runs.append((key, agent_id))
                    worker.end(key, "failed")
        super().report_all()

    def standing(self, agent_id):
        return self.scheduler.workers[agent_id].standing

    def others(self):
        """Return the views of all workers but the first."""
        return [view for view in self.scheduler.workers.values() if view.agent_id != "1"]

    def withhold_others(self, is_withheld):
        for view in self.others():
            view.starts_withheld = is_withheld


def add_workers(context, count, memory_mb=64_000):
    """Add workers; `memory_mb` is that of all but the first."""
    world = context.world = FailingWorld()
    for number in range(count):
        world.add_worker(str(number + 1), CORES, memory_mb if number else 64_000)
    return world


def fill_others(world):
    """Fill all workers but the first with tasks that last."""
    lasting = step(len(world.others()), CORES, continuous=True)
    world.submit("00000000000000bb", "watchers", lasting)
    world.plan()
    running = world.running()
    assert {f"00000000000000bb.0.0.{n}" for n in range(len(world.others()))} <= running.keys()


def fail_jobs(world, agent_id, jobs=6):
    """Have runs of some jobs on the first worker fail within one report."""
    world.withhold_others(True)
    for number in range(jobs):
        world.submit(f"{number:016x}", "checks", step(1, 1.0))
    world.plan()
    assert len(world.workers[agent_id].running) == jobs
    for key in list(world.workers[agent_id].running):
        world.workers[agent_id].end(key, "failed")
    world.report(agent_id)
    for number in range(jobs):
        world.scheduler.cancel_job(f"{number:016x}", world.now, world.now_unix)
    world.withhold_others(False)
    world.plan()
