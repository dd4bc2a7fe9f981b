"""Agents that the owner knows: their links, and the removal of those that are gone for good."""

from __future__ import annotations

import logging
from collections.abc import Callable

from acaciastand.cluster.agent_link import AgentLink
from acaciastand.cluster.clock import now
from acaciastand.cluster.committer import OwnershipLost
from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    OWNER_KEY,
    StoredItemUnreadable,
    decode_address,
)
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, Item, TransactionalStore
from acaciastand.telemetry.ignored_values import IgnoredValues
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.scheduler import Scheduler

# Silence of an agent after the end of its grant until it is removed. Longer than most interruptions
# of the network, since an agent that is removed by mistake returns only once it registers again.
REMOVE_AFTER_SECONDS = 15.0
# After a pause of the owner's process all agents have been silent for long, but can be reached.
MIN_FAILED_DIALS = 5
REMOVAL_INTERVAL_SECONDS = 1.0  # At most one commit is sent in this time.
# A commit may name 32 keys: each agent takes two of them and the owner key one.
MAX_AGENTS_PER_COMMIT = 15

logger = logging.getLogger(__name__)

LinkFactory = Callable[[str, str], AgentLink]


class AgentRegistry:
    """Links to the registered agents of one owner.

    A later owner waits for the grants of all registered agents, and takes an agent that registers
    after its takeover for one on which nothing was started. So nothing may be started on an agent
    without a registration: the owner drops its link before it sends the removal, and takes the
    agent back only from a registration that was written later.

    Parameters
    ----------
    fence
        Revision of the owner key at this owner's claim; a removal fails once it has changed.
    make_link
        Returns a link for the id and the address of an agent, which is dialled from then on.
    ignored
        Records registrations that cannot be decoded.

    Attributes
    ----------
    links
        Connections to the agents, by agent id.
    revisions
        Revision of the last known registration of each agent, also of those that were removed.
    removals
        Ids of the agents whose removal from the store is not known to have succeeded.
    """

    def __init__(
        self,
        store: TransactionalStore,
        scheduler: Scheduler,
        fence: int,
        make_link: LinkFactory,
        metrics: Metrics,
        ignored: IgnoredValues,
    ) -> None:
        self.store = store
        self.scheduler = scheduler
        self.fence = fence
        self.make_link = make_link
        self.metrics = metrics
        self.ignored = ignored
        self.links: dict[str, AgentLink] = {}
        self.revisions: dict[str, int] = {}
        self.removals: set[str] = set()
        self.store_availability = StoreAvailability("removal of agents")

    def add(self, item: Item, granted_until: float | None) -> None:
        """Connect to a registered agent, or adopt its new address.

        Parameters
        ----------
        item
            Registration of the agent; ignored unless it is newer than the last known one.
        granted_until
            When the grants that a former owner may have given it end; None for a new agent.
        """
        agent_id = item.key[len(AGENTS_PREFIX) :]
        try:
            address = decode_address(item)
        except StoredItemUnreadable as error:
            return self.ignored.record(AGENTS_PREFIX, error)
        if item.revision <= self.revisions.get(agent_id, 0):
            return
        self.revisions[agent_id] = item.revision
        self.removals.discard(agent_id)  # The removal expects the former registration.
        existing = self.links.get(agent_id)
        if existing is not None:
            existing.address = address  # The next connection uses it.
            return
        self.scheduler.add_worker(agent_id, granted_until is None, granted_until or now())
        self.links[agent_id] = self.make_link(agent_id, address)

    def remove_silent(self, confirmed_at: float) -> None:
        """Remove agents that have been silent for long, a bounded number per call.

        Parameters
        ----------
        confirmed_at
            Latest time at which it is certain that no other owner had been elected.

        Raises
        ------
        OwnershipLost
            The owner key has been rewritten since the claim.
        """
        room = MAX_AGENTS_PER_COMMIT - len(self.removals)
        for agent_id in self._silent_agents(confirmed_at)[:room]:
            self._forget(agent_id, confirmed_at)
        if self.removals:
            self._commit_removals()

    def _silent_agents(self, confirmed_at: float) -> list[str]:
        """Return the agents whose last grant and last sign of life are long over.

        Empty if no agent is connected, since the owner's own network has probably failed then.
        """
        if all(link.connection is None for link in self.links.values()):
            return []
        return [
            agent_id
            for agent_id, link in self.links.items()
            if link.connection is None
            and link.failed_dials >= MIN_FAILED_DIALS
            and not self.scheduler.workers[agent_id].depends_on_grant
            and confirmed_at - self._heard_until(agent_id) > REMOVE_AFTER_SECONDS
        ]

    def _heard_until(self, agent_id: str) -> float:
        granted_until = self.scheduler.workers[agent_id].granted_until
        return max(granted_until, self.links[agent_id].reported_at)

    def _forget(self, agent_id: str, confirmed_at: float) -> None:
        """Drop the link and the worker of an agent, and note that its registration is to go."""
        silent_s = round(confirmed_at - self._heard_until(agent_id), 1)
        self.links.pop(agent_id).stop()
        self.scheduler.remove_worker(agent_id)
        self.removals.add(agent_id)
        logger.warning("silent agent dropped", extra={"agent_id": agent_id, "silent_s": silent_s})

    def _commit_removals(self) -> None:
        """Remove registrations that are unchanged since their agents were dropped.

        An unanswered commit is repeated until an answer shows that each registration is gone or was
        written again. A registration that was written again stays, also if an unanswered commit
        takes effect only then.
        """
        expected = {
            AGENTS_PREFIX + agent_id: self.revisions[agent_id] for agent_id in self.removals
        }
        keys = list(expected)
        expected[OWNER_KEY] = self.fence
        try:
            self.store.commit(expected, {}, keys)
        except CommitConflict as conflict:
            return self._reconcile(conflict, expected)
        except (StoreUnavailable, StoreAnswerLost) as error:
            return self.store_availability.record_failure(error)
        self.store_availability.record_success()
        for key in keys:
            self._end_removal(key, "removed")

    def _reconcile(self, conflict: CommitConflict, expected: dict[str, int]) -> None:
        """End the removals of registrations that are not the expected ones any more.

        Raises
        ------
        OwnershipLost
            The owner key has been rewritten since the claim.
        """
        self.store_availability.record_success()
        if conflict.current[OWNER_KEY].revision != self.fence:
            raise OwnershipLost("the owner key was rewritten", "stop acting as the owner")
        for key, item in conflict.current.items():
            if item.revision != expected[key]:
                self._end_removal(key, "written again" if item.revision else "gone")

    def _end_removal(self, key: str, outcome: str) -> None:
        agent_id = key[len(AGENTS_PREFIX) :]
        if agent_id not in self.removals:
            return  # It has registered again meanwhile.
        self.removals.discard(agent_id)
        self.metrics.count("agents_dropped", outcome)
        logger.info(
            "removal of silent agent ended",
            extra={"agent_id": agent_id, "outcome": outcome},
        )
