"""A scheduler with simulated workers in two zones, and a watch of requests over a small store."""

import gevent
from workflow_support import WorkflowWorld

from acaciastand.cluster.store_relay import RelayedStore
from acaciastand.coordination.store import StoreUnavailable
from acaciastand.coordination.transactions import MemoryTransactionalStore
from acaciastand.errors import Refused
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.reports import ActiveRun
from acaciastand.workflow.zone_drains import RequestedZoneDrains, ZoneDrainRequest
from acaciastand.workflow.zone_moves import GradualZoneMoves

BOUND_SECONDS = 5.0


class ZoneWorld(WorkflowWorld):
    """A scheduler whose zones can be drained, and whose view of them is confirmed all the time.

    A continuous task is at work `warm_up_seconds` after its start, unless its key is in `stuck`.
    """

    def __init__(self):
        super().__init__()
        self.drains = RequestedZoneDrains(BOUND_SECONDS, self.scheduler.record_decision)
        self.scheduler.zone_drains = self.drains
        placement = self.scheduler.start_planner.placement
        self.scheduler.zone_moves = GradualZoneMoves(self.scheduler, placement)
        self.confirms = True
        self.warm_up_seconds = 0.0
        self.stuck = set()
        self.absent = []
        self.confirm()

    def add_zone_worker(self, agent_id):
        """Add a worker to the zone that the first letter of its agent's id tells."""
        worker = self.add_worker(agent_id)
        worker.zone = self.zone_of(agent_id)
        self.report(agent_id)

    @staticmethod
    def zone_of(agent_id):
        return f"zone-{agent_id[0]}"

    def drain(self, zone, revision=7):
        self.drains.apply_changes([ZoneDrainRequest(zone, revision)], [], self.now, self.now)

    def end_drain(self, zone):
        self.drains.apply_changes([], [zone], self.now, self.now)

    def confirm(self):
        self.drains.apply_changes([], [], self.now, self.now)

    def report(self, agent_id, **changes):
        """Report the runs of a worker with their progress."""
        worker = self.workers[agent_id]
        running = [
            ActiveRun(key, run, "", self._percent(worker, key))
            for key, run in worker.running.items()
        ]
        super().report(agent_id, **{"running": running, **changes})

    def _percent(self, worker, key):
        is_ready = self.now - worker.started_at[key] >= self.warm_up_seconds
        return 100 if is_ready and key not in self.stuck else 0

    def play(self, seconds):
        """Let time pass and note how many tasks are absent."""
        for _ in range(round(seconds / 0.1)):
            if self.confirms:
                self.confirm()
            self.advance(0.1)
            at_work = sum(
                self._percent(worker, key) == 100
                for worker in self.workers.values()
                for key in worker.running
            )
            tasks = sum(len(job.tasks) for job in self.scheduler.jobs.values())
            self.absent.append(tasks - at_work)

    def zones_in_use(self):
        return {self.zone_of(agent_id) for agent_id in self.running().values()}


class WatchedStore(MemoryTransactionalStore):
    """Store that records the prefixes of reads, and refuses them while `is_away`."""

    def __init__(self):
        super().__init__()
        self.prefixes = []
        self.is_away = False

    def list(self, prefix, stale=False):
        """Read, unless the store is away."""
        self._check(prefix)
        return super().list(prefix, stale)

    def watch(self, prefix, after, wait_seconds):
        """Read after a moment, unless the store is away."""
        gevent.sleep(0.002)
        self._check(prefix)
        return super().watch(prefix, after, wait_seconds)

    def _check(self, prefix):
        self.prefixes.append(prefix)
        if self.is_away:
            raise StoreUnavailable("refused", "try again later")


class RefusedHost(WatchedStore):
    """Access of one host to a store, which refuses it while `is_away`."""

    def __init__(self, store):
        super().__init__()
        self.store = store

    def list(self, prefix, stale=False):
        """Read the shared store, unless it refuses this host."""
        self._check(prefix)
        return self.store.list(prefix, stale)

    def watch(self, prefix, after, wait_seconds):
        """Watch the shared store, unless it refuses this host."""
        gevent.sleep(0.002)
        self._check(prefix)
        return self.store.watch(prefix, after, wait_seconds)


class OtherEntry:
    """Connection to an entry that makes calls to the store on behalf of this one."""

    connection = True
    entry_id = "entry-2"

    def __init__(self, store):
        self.relayed = RelayedStore(store, list, Metrics())

    def call(self, name, payload, seconds):
        """Make the call at the other entry."""
        try:
            return self.relayed.answer_call(name, payload)
        except StoreUnavailable as error:
            raise Refused(error.message, error.remedy) from error
