"""Simulated workers that are slow or cut off, for scenarios about second runs of tasks."""

from workflow_support import WorkflowWorld, check_consistency

from acaciastand.workflow.job import Job, TaskState
from acaciastand.workflow.job_progress import JobProgress
from acaciastand.workflow.limits import GRANT_SECONDS
from acaciastand.workflow.scheduler import Scheduler

LATE_SECONDS = 0.4  # An unanswered start is carried out after this time.
LEASE_MARGIN_SECONDS = 0.5  # A worker's lease ends this long before its agent's grant.


class CopyWorld(WorkflowWorld):
    """Simulated workers on racks of their own, with a check of all runs after each change.

    The tasks of the agents in `slow` take that many times as long. The agents in `cut_off` are
    heard of and reached by nobody, and their runs go on until their lease ends. The agents in
    `silent` get no answer from their workers. Starts at the agents in `unanswered` are carried out
    late, unless a stop came before. Without `stores`, nothing is stored until the next takeover.
    """

    def __init__(self, policy, **arguments):
        super().__init__(**arguments)
        self.completes = True
        self.slow = {}
        self.cut_off = {}
        self.silent = set()
        self.late_starts = []
        self.stopped_runs = {}
        self.done = set()
        self.stores = True
        self.stored = {}
        self.given_runs = set()  # Starts that the present owner has made or that are stored.
        self.scheduler.copy_planner.policy = policy

    def add_worker(self, agent_id, *arguments, **fields):
        """Add a worker; the first two share a rack."""
        worker = super().add_worker(agent_id, *arguments, **fields)
        rack = "rack-1" if agent_id in ("1", "2") else f"rack-{agent_id}"
        identity = worker.identity
        worker.identity = lambda: identity().replace(labels=["a", rack])
        self.report(agent_id)
        return worker

    def cut(self, agent_id):
        self.cut_off.setdefault(agent_id, self.now)
        self.scheduler.workers[agent_id].reachable = False

    def heal(self, agent_id):
        self.cut_off.pop(agent_id, None)
        self.scheduler.workers[agent_id].reachable = True

    def store_all(self):
        if not self.stores:
            return
        for job in self.scheduler.dirty.values():
            self.stored[job.job_id] = job.progress()
        super().store_all()

    def take_over(self, policy):
        """Continue with another owner, which has what is stored."""
        self.store_all()
        self.stores = True
        former = self.scheduler
        self.scheduler = Scheduler(None, None, former.stop_seconds)
        self.scheduler.catalog = former.catalog
        self.scheduler.copy_planner.policy = policy
        for job in list(former.jobs.values()):
            successor = Job(job.job_id, job.queue, job.spec, job.accepted_unix)
            successor.restore(self.stored.get(job.job_id, JobProgress()))
            self.scheduler.add_job(successor, certain=False)
        self.given_runs = {
            (key, run)
            for key, run in self.given_runs
            if run <= self.scheduler.find_task(key).last_run
        }
        for agent_id in self.workers:
            view = self.scheduler.add_worker(agent_id, False, self.now + GRANT_SECONDS)
            view.reachable = agent_id not in self.cut_off

    def report(self, agent_id, **changes):
        if agent_id in self.cut_off:
            return
        self.workers[agent_id].answers = agent_id not in self.silent
        super().report(agent_id, **{"silent": agent_id in self.silent, **changes})
        view = self.scheduler.workers[agent_id]
        if self.completes:
            self.store_all()
            self.scheduler.acknowledge_stored_ends(view)
        ends = [e for e in self.workers[agent_id].ended if e.number <= view.acknowledged]
        self.done |= {end.task for end in ends if end.how == "done"}
        self.check(agent_id, view)

    def check(self, agent_id, view):
        """Check the reserved resources and that each run on a worker is known."""
        reserved = sum(
            task.step.size.cores for task in view.tasks.values() if not task.step.uses_leftover
        )
        assert abs(view.reserved_cores - reserved) < 1e-6, (agent_id, view.reserved_cores)
        known = {(task.key, task.run) for task in view.tasks.values()} | set(view.leaving_runs)
        worker = self.workers[agent_id]
        if worker.crashed_at is None and worker.answers:
            unknown = set(worker.running.items()) - known
            assert not unknown, (agent_id, unknown, known)

    def live_runs(self, key):
        return [
            (worker.agent_id, worker.running[key])
            for worker in self.workers.values()
            if key in worker.running and worker.crashed_at is None
        ]

    def _carry_out_late(self):
        due = [late for late in self.late_starts if late[0] <= self.now]
        self.late_starts = [late for late in self.late_starts if late[0] > self.now]
        for _, agent_id, born_ms, key, run in due:
            worker = self.workers[agent_id]
            is_stopped = run <= self.stopped_runs.get((agent_id, born_ms, key), 0)
            if worker.born_ms == born_ms and worker.crashed_at is None and not is_stopped:
                worker.running[key] = run
                worker.started_at[key] = self.now

    def report_all(self):
        self._carry_out_late()
        for agent_id, since in self.cut_off.items():
            worker = self.workers[agent_id]
            if self.now >= since + GRANT_SECONDS - LEASE_MARGIN_SECONDS:
                for key in list(worker.running) if worker.crashed_at is None else ():
                    worker.end(key, "lapsed")
        super().report_all()

    def plan(self):
        starts = super().plan()
        check_consistency(self.scheduler)
        self._check_copies_end()
        for worker in self.workers.values():
            for key in worker.running:
                self._check_runs_of(key)
        return starts

    def _check_copies_end(self):
        """Check that copies of tasks that are done are being stopped."""
        for job in self.scheduler.jobs.values():
            for task in job.tasks.values():
                states = {copy.state for copy in task.copies}
                is_over = task.state == TaskState.DONE or job.has_ended
                assert not is_over or states <= {TaskState.STOPPING}, (task.key, states)

    def _check_runs_of(self, key):
        task = self.scheduler.find_task(key)
        runs = self.live_runs(key)
        allowed = 2 if task is not None and task.step.speculative else 1
        assert len(runs) <= allowed, f"{key} runs {len(runs)} times: {runs}"

    def _complete_runs(self):
        for worker in self.workers.values():
            if worker.crashed_at is not None:
                continue
            for key in list(worker.running):
                step = self.scheduler.find_task(key).step
                seconds = step.estimate_seconds * self.slow.get(worker.agent_id, 1.0)
                if not step.continuous and self.now - worker.started_at[key] >= seconds - 1e-9:
                    worker.end(key, "done")

    def _start(self, start):
        key, run = start.command.task, start.command.run
        assert key not in self.done, f"{key} starts after its end"
        assert (key, run) not in self.given_runs, f"run {run} of {key} starts again"
        assert run not in dict(self.live_runs(key)).values(), f"run {run} of {key} starts beside it"
        self.given_runs.add((key, run))
        if start.agent_id in self.unanswered:
            worker = self.workers[start.agent_id]
            late = (worker.agent_id, worker.born_ms, start.command.task, start.command.run)
            self.late_starts.append((self.now + LATE_SECONDS, *late))
        super()._start(start)

    def _stop(self, stop):
        if stop.agent_id in self.cut_off:
            return
        key = (stop.agent_id, self.workers[stop.agent_id].born_ms, stop.task_key)
        if stop.agent_id not in self.ignored_stops:
            self.stopped_runs[key] = max(stop.run, self.stopped_runs.get(key, 0))
        super()._stop(stop)
