"""Owners that follow each other over one store, with the same simulated workers."""

from collections import defaultdict
from unittest import mock

from workflow_support import QUEUES, WorkflowWorld

from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import JOBS_PREFIX, OWNER_KEY, OwnerRecord, encode_job
from acaciastand.cluster.owner import Owner
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job
from acaciastand.workflow.spec import WorkflowSpec

JOB = "00000000000000aa"
GRANT_SECONDS = 5.0


class TakeoverWorld(WorkflowWorld):
    """Simulated workers that outlive the owners, each of which reads its jobs from the store.

    The agents in `cut_off` have no connection to the owner. Workers answer starts with their
    outcome in `refusals`, if there is one, and do nothing.
    """

    def __init__(self):
        super().__init__(has_reported=False)
        self.store = MemoryTransactionalStore()
        self.fence = 0
        self.cut_off = set()
        self.refusals = {}

    def take_over(self):
        """Let a new owner claim the ownership and read the jobs."""
        record = OwnerRecord("entry-1", "10.0.0.1:1", self.fence + 1, b"nonce")
        self.fence = self.store.commit({OWNER_KEY: self.fence}, {OWNER_KEY: record.encode()})
        catalog = Catalog(1, list(QUEUES), ["desk"])
        self.owner = Owner(
            self.store,
            record,
            self.fence,
            now(),
            now(),
            catalog,
            0.4,
            Metrics(),
            lambda _: None,
        )
        self.owner.agents.links = defaultdict(
            lambda: mock.create_autospec(AgentLink, instance=True)
        )
        self.owner.is_ready = self.owner._load()
        self.scheduler = self.owner.scheduler
        for agent_id in self.workers:
            self.scheduler.add_worker(agent_id, False, self.now + GRANT_SECONDS)
        self.reconnect()

    def reconnect(self):
        """Connect the owner to all agents that are not cut off."""
        for agent_id, view in self.scheduler.workers.items():
            view.reachable = agent_id not in self.cut_off

    def submit_stored(self, queue, *steps):
        """Store a job as an entry does, and notify the owner."""
        job = Job(JOB, queue, WorkflowSpec("text", list(steps)), self.now_unix)
        self.store.commit({JOBS_PREFIX + JOB: 0}, {JOBS_PREFIX + JOB: encode_job(job)})
        self.owner.apply_item(self.store.get(JOBS_PREFIX + JOB))
        return self.job

    @property
    def job(self):
        """The job as the present owner knows it."""
        return self.scheduler.jobs[JOB]

    def store_progress(self):
        """Store all changes."""
        while self.scheduler.dirty:
            assert self.owner.committer.commit_batch()

    def _start(self, start):
        refusal = self.refusals.get(start.agent_id)
        if refusal is None:
            return super()._start(start)
        self.started.append((start.command.task, start.command.run, start.agent_id))
        return self.answer_start(start, refusal)
