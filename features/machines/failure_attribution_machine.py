"""State machine of failure attribution against a simple oracle.

Guards against more quarantined workers than the capped share of an availability zone, against
healthy workers that are flagged because one job always fails, against two probes at once, against a
quarantined worker that may never be probed, and against one that stays quarantined after a success.
"""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from acaciastand.placement.failure_attribution import (
    AttemptOutcome,
    AttemptStart,
    EvidenceBasedAttribution,
)
from acaciastand.placement.quarantine import QuarantineRules
from acaciastand.placement.worker import WorkerView
from acaciastand.workflow.quarantine import RULES

FAILING_JOB = "failing-job"
WORKERS = 9
ZONES = 2
numbers = st.integers(0, WORKERS - 1)
jobs = st.sampled_from([f"job-{number}" for number in range(5)])
steps_of_time = st.sampled_from([0.0, 0.3, 2.0, 11.0, 90.0, 700.0])


class FailureAttributionMachine(RuleBasedStateMachine):
    """Workers 0 to `last_broken` fail every task; the others fail only those of `FAILING_JOB`."""

    limits = QuarantineRules()

    @initialize(last_broken=st.integers(-1, WORKERS - 1))
    def start(self, last_broken):
        self.now = 100.0
        self.failure_attribution = EvidenceBasedAttribution(self.limits)
        self.last_broken = last_broken
        self.views = [
            WorkerView(f"agent-{number}", "1", f"zone-{number % ZONES}")
            for number in range(WORKERS)
        ]
        self.running = {}
        self.probes = {}
        self.started = 0
        self.refresh_quarantine()

    def refresh_quarantine(self):
        self.quarantine = self.failure_attribution.current_quarantine(self.views, self.now)

    @rule(seconds=steps_of_time)
    def wait(self, seconds):
        self.now += seconds
        self.refresh_quarantine()

    @rule(number=numbers, job=st.one_of(jobs, st.just(FAILING_JOB)))
    def start_task(self, number, job):
        self.assign(number, job)

    def assign(self, number, job):
        agent_id = self.views[number].agent_id
        may_probe = self.quarantine.quarantined.get(agent_id)
        if may_probe is False:
            return False  # The scheduler assigns no task to it.
        self.started += 1
        task_id = f"{job}/{self.started}"
        incarnation = self.views[number].incarnation
        self.failure_attribution.record_start(
            AttemptStart(agent_id, incarnation, task_id, 1, self.now)
        )
        self.running[task_id] = (number, job)
        if may_probe:
            assert agent_id not in self.probes, "two probes at once"
            self.probes[agent_id] = task_id
        self.refresh_quarantine()
        return True

    @rule(number=numbers, job=st.one_of(jobs, st.just(FAILING_JOB)), count=st.integers(1, 4))
    def run_tasks(self, number, job, count):
        for _ in range(count):
            if self.assign(number, job):
                self.end_task(f"{job}/{self.started}", True)

    @precondition(lambda self: self.last_broken >= 0)
    @rule(number=numbers)
    def run_many_jobs(self, number):
        for job in range(3):
            self.run_tasks(number, f"job-{job}", 1)

    @precondition(lambda self: self.quarantine.quarantined)
    @rule(index=st.integers(0, 1000), job=jobs)
    def probe(self, index, job):
        agent_id = sorted(self.quarantine.quarantined)[index % len(self.quarantine.quarantined)]
        self.wait(11.0)
        self.assign(int(agent_id.partition("-")[2]), job)

    @precondition(lambda self: self.quarantine.quarantined and self.last_broken >= 0)
    @rule(index=st.integers(0, 1000), job=jobs)
    def probe_repaired(self, index, job):
        self.repair_workers()
        self.now += self.limits.max_probe_pause_seconds
        self.refresh_quarantine()
        started = self.started
        self.probe(index, job)
        if self.started > started:
            self.end_task(f"{job}/{self.started}", True)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 1000), outcome_known=st.booleans())
    def end(self, index, outcome_known):
        self.end_task(sorted(self.running)[index % len(self.running)], outcome_known)

    def end_task(self, task_id, outcome_known):
        number, job = self.running.pop(task_id)
        agent_id = self.views[number].agent_id
        fails = job == FAILING_JOB or number <= self.last_broken
        outcome = AttemptOutcome.FAILED if fails else AttemptOutcome.SUCCEEDED
        self.failure_attribution.record_end(
            task_id, 1, outcome if outcome_known else AttemptOutcome.UNKNOWN, self.now
        )
        if self.probes.get(agent_id) == task_id:
            del self.probes[agent_id]
            if outcome_known and not fails:
                quarantined = self.failure_attribution.current_quarantine(
                    self.views, self.now
                ).quarantined
                assert agent_id not in quarantined, f"{agent_id} is quarantined after a success"
        self.refresh_quarantine()

    @rule(number=numbers)
    def replace_worker(self, number):
        view = self.views[number]
        self.views[number] = view.replace(incarnation=str(int(view.incarnation) + 1))
        self.probes.pop(view.agent_id, None)
        self.refresh_quarantine()

    @rule()
    def lose_shard(self):
        self.failure_attribution.forget_attempts(list(self.running))
        self.running.clear()
        self.probes.clear()
        self.refresh_quarantine()

    @precondition(lambda self: self.quarantine.quarantined and not self.running)
    @rule()
    def probe_comes_in_time(self):
        self.now += self.limits.max_probe_pause_seconds
        self.refresh_quarantine()
        assert all(
            self.quarantine.quarantined.values()
        ), "a worker without a probe may not be probed"

    @precondition(lambda self: self.last_broken >= 0)
    @rule()
    def repair_workers(self):
        self.last_broken = -1

    @invariant()
    def check_share(self):
        if not hasattr(self, "quarantine"):
            return
        in_zone = Counter(view.availability_zone for view in self.views)
        quarantined = Counter(
            view.availability_zone
            for view in self.views
            if view.agent_id in self.quarantine.quarantined
        )
        for zone, count in quarantined.items():
            assert count <= self.limits.max_share * in_zone[zone], f"{count} quarantined in {zone}"

    @invariant()
    def check_healthy(self):
        """Check that only workers that were broken at some time are flagged."""
        if hasattr(self, "quarantine"):
            flagged = self.quarantine.quarantined.keys() | self.quarantine.suspected
            self.last_ever_broken = max(getattr(self, "last_ever_broken", -1), self.last_broken)
            healthy = {view.agent_id for view in self.views[self.last_ever_broken + 1 :]}
            assert not flagged & healthy, f"healthy workers {flagged & healthy} are flagged"


class JobSchedulerRulesMachine(FailureAttributionMachine):
    """The same with the limits of the scheduler of jobs of dependent steps."""

    limits = RULES


MACHINES = {"blame": FailureAttributionMachine}
