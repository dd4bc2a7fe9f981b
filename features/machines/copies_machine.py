"""Random failures under tasks of which some may run twice at the same time.

Guards against a second run of a task whose step does not allow copies, a start after the end of a
task was acknowledged, resources that stay reserved, and tasks that never end.
"""

from copies_support import CopyWorld
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from workflow_support import step

from acaciastand.workflow.copies import CopyPolicy

AGENTS = ("1", "2", "3", "4")
AGENT = st.sampled_from(AGENTS)
SETTLE_SECONDS = 120.0  # A worker that fails tasks gets probes at pauses of up to 24 s.


class CopyAllRuns(CopyPolicy):
    """Copies each run at once, so that most plays have copies in each state."""

    def reason(self, task, suspicion, finished, now):
        return "test"


class CopiesMachine(RuleBasedStateMachine):
    """One owner after another, four workers, and jobs with and without copies."""

    def __init__(self):
        super().__init__()
        self.world = CopyWorld(CopyAllRuns())
        for agent_id in AGENTS:
            self.world.add_worker(agent_id, 8.0)
        self.job_count = 0
        self.submit(True, 3, False)
        self.submit(False, 3, False)

    @rule(speculative=st.booleans(), count=st.integers(1, 4), has_steps=st.booleans())
    def submit(self, speculative, count, has_steps):
        self.job_count += 1
        steps = [step(count, speculative=speculative, saves_progress=has_steps)]
        if has_steps:
            steps.append(step(1, speculative=not speculative, after=[0]))
        self.world.submit(f"{self.job_count:016x}", "plans", *steps)
        self.world.plan()

    @rule(seconds=st.floats(0.1, 3.0))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(agent_id=AGENT)
    def cut(self, agent_id):
        self.world.cut(agent_id)

    @rule()
    def heal(self):
        self.world.slow.clear()
        self.world.stores = True
        for agent_id in AGENTS:
            self.world.heal(agent_id)
        self.world.unanswered.clear()
        self.world.ignored_stops.clear()

    @rule(agent_id=AGENT, factor=st.sampled_from((1.0, 3.0, 12.0)))
    def slow(self, agent_id, factor):
        self.world.slow[agent_id] = factor

    @rule(agent_id=AGENT)
    def crash(self, agent_id):
        self.world.crash(agent_id)
        self.world.plan()

    @rule(agent_id=AGENT, with_agent=st.booleans())
    def restart(self, agent_id, with_agent):
        worker = self.world.workers[agent_id]
        if worker.crashed_at is None and agent_id not in self.world.cut_off:
            worker.restart()
            if with_agent:
                worker.restart_agent()

    @rule(agent_id=AGENT, kind=st.sampled_from(("unanswered", "ignored_stops")))
    def lose_commands(self, agent_id, kind):
        getattr(self.world, kind).add(agent_id)

    @rule(agent_id=AGENT, is_listed=st.booleans())
    def fail_run(self, agent_id, is_listed):
        worker = self.world.workers[agent_id]
        if worker.running and worker.crashed_at is None:
            worker.end(next(iter(worker.running)), "failed")
            if not is_listed:
                worker.ended.pop()

    @rule(number=st.integers(1, 9))
    def cancel(self, number):
        world = self.world
        world.scheduler.cancel_job(f"{number:016x}", world.now, world.now_unix)

    @rule(speculative=st.booleans(), agent_id=AGENT)
    def take_over_unstored(self, speculative, agent_id):
        """Take over without the last starts, and let runs fail before one agent has reported."""
        self.world.stores = False
        self.submit(speculative, 3, False)
        self.world.advance(0.3)
        self.world.cut(agent_id)
        self.take_over()
        self.world.advance(0.3)
        for other in sorted({*AGENTS} - {agent_id}):
            self.fail_run(other, True)

    @rule()
    def take_over(self):
        self.world.take_over(CopyAllRuns())

    def teardown(self):
        self.heal()
        self.world.advance(SETTLE_SECONDS)
        for job in self.world.scheduler.jobs.values():
            assert job.has_ended, f"{job.job_id} is {job.state} after {SETTLE_SECONDS} s"
        for worker in self.world.scheduler.workers.values():
            assert not worker.tasks, f"worker {worker.agent_id} still has {list(worker.tasks)}"
