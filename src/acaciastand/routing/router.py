"""Routing state of one entry: targets, their health, retry budgets and bucket homes."""

from __future__ import annotations

import random

from acaciastand.routing import target as target_module
from acaciastand.routing.budget import RetryBudget
from acaciastand.routing.chooser import TargetChooser
from acaciastand.routing.health import TargetHealth
from acaciastand.routing.keys import BucketHomes
from acaciastand.routing.target import TargetView

MAX_SERVICES = 1024  # Services with a state at one entry.


class ServiceState:
    """Targets, health and retry budget of one service."""

    __slots__ = ("targets", "health", "budget")

    def __init__(self, max_ejected: float, retry_budget: float) -> None:
        self.targets: dict[str, TargetView] = {}
        self.health = TargetHealth(max_ejected)
        self.budget = RetryBudget(retry_budget)


class Router:
    """Chooses targets for requests.

    Parameters
    ----------
    chooser
        Policy that chooses among the targets that accept the request.
    rng
        Source of randomness.
    max_ejected
        Largest share of a service's targets that are ejected at once, from the settings tree.
    retry_budget
        Retries as a share of the requests of a service, from the settings tree.
    """

    def __init__(
        self,
        chooser: TargetChooser,
        rng: random.Random,
        max_ejected: float,
        retry_budget: float,
    ) -> None:
        self.chooser = chooser
        self.rng = rng
        self.max_ejected = max_ejected
        self.retry_budget = retry_budget
        self.targets: dict[str, TargetView] = {}
        self.homes = BucketHomes()
        self.services: dict[str, ServiceState] = {}

    def configure(self, max_ejected: float, retry_budget: float) -> None:
        """Apply changed shares to all services."""
        self.max_ejected = max_ejected
        self.retry_budget = retry_budget
        for service in self.services.values():
            service.health.max_ejected_share = max_ejected
            service.budget.share = retry_budget

    def add(self, target: TargetView) -> None:
        """Add a target, or replace the state of a known one.

        Services beyond `MAX_SERVICES` are ignored; requests for them find no target.
        """
        self.remove(target.agent_id)
        self.targets[target.agent_id] = target
        for name in target.services:
            if name not in self.services and len(self.services) >= MAX_SERVICES:
                continue
            service = self.services.setdefault(
                name, ServiceState(self.max_ejected, self.retry_budget)
            )
            service.targets[target.agent_id] = target
            service.health.add(target.agent_id)

    def remove(self, agent_id: str) -> None:
        """Forget a target and its buckets; a service without targets is forgotten as well."""
        target = self.targets.pop(agent_id, None)
        self.homes.remove(agent_id)
        for name in target.services if target else ():
            service = self.services.get(name)
            if service is None:
                continue
            service.targets.pop(agent_id, None)
            service.health.remove(agent_id)
            if not service.targets:
                del self.services[name]

    def choose(self, service: str, tried: set[str], now: float) -> TargetView | None:
        """Return the target for a request without a key; None when no target accepts it.

        Parameters
        ----------
        tried
            Agents that already refused or failed this request.
        """
        state = self.services.get(service)
        if state is None:
            return None
        limit = target_module.MAX_OWN_IN_FLIGHT
        candidates = [
            target
            for target in state.targets.values()
            # The conditions of `accepts` are repeated; calling it took a third of the decision.
            if target.healthy and not target.draining and target.own_in_flight < limit
        ]
        if tried:
            candidates = [target for target in candidates if target.agent_id not in tried]
        if not state.health.has_ejected:
            return self.chooser.choose(candidates, self.rng)
        probe = state.health.start_probe([target.agent_id for target in candidates], now)
        if probe is not None:
            return self.targets[probe]
        available = [target for target in candidates if state.health.is_available(target.agent_id)]
        return self.chooser.choose(available or candidates, self.rng)

    def home_of(self, service: str, key: str) -> TargetView | None:
        """Return the target whose agent is the home of the key's bucket; None when unknown."""
        agent_id = self.homes.home_of(service, key)
        return self.targets.get(agent_id) if agent_id else None

    def free_slots(self) -> dict[str, int]:
        """Return the sum of the free slots of each service's healthy targets that do not drain."""
        free_slots: dict[str, int] = {}
        for target in self.targets.values():
            for name in target.services if target.healthy and not target.draining else ():
                free_slots[name] = free_slots.get(name, 0) + max(
                    target.slots - target.estimated_in_flight, 0
                )
        return free_slots
