"""Partitions and freezes of a site that overlap, drawn from a seed."""

from __future__ import annotations

import random
import signal
import time
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand_lab.platform_site import Link, Site, describe_time

ISOLATION_SECONDS = (3.0, 9.0)
CUT_SECONDS = (1.0, 6.0)
FREEZE_SECONDS = (2.0, 7.0)
STORE_HOLD_SECONDS = (3.0, 9.0)
# A worker's link is held this much longer than its agent is frozen.
LATE_RELEASE_SECONDS = (0.2, 1.5)
# Time between two holds of the owner's link to the store, about as long as a takeover needs.
TAKEOVER_SECONDS = (1.5, 4.0)
MAX_TAKEOVERS = 4
MAX_RESTARTS = 3
# Faults come in series. A new owner needs the time between two of them to take over, to reach the
# agents and to start tasks.
PAUSE_SECONDS = (0.1, 1.2)
CALM_SECONDS = (6.0, 14.0)
LAST_SHARE = 0.3  # Share of the faults that end a series.
OWNER_SHARE = 0.7  # Share of the faults of one entry that act on the owner.
# Whether outgoing and incoming bytes are held.
DIRECTIONS = ((True, True), (True, False), (False, True))

Action = Callable[[], None]


class PartitionFaults:
    """Draws faults and undoes each after a time that is drawn too.

    Parameters
    ----------
    site
        The site, with proxies.
    seeded
        Source of all draws.
    """

    def __init__(self, site: Site, seeded: random.Random) -> None:
        self.site = site
        self.random = seeded
        self.holds: Counter[Event] = Counter()
        self.pending: list[Action] = []
        self.greenlets: list[gevent.Greenlet] = []

    def inject(self) -> str:
        """Begin a fault and return its time and its description."""
        fault = self.random.choice(
            (
                self._isolate,
                self._isolate,
                self._cut_from_agents,
                self._freeze,
                self._freeze_with_workers,
                self._hold_workers,
                self._hold_stores,
                self._restart,
            )
        )
        began = time.monotonic()
        return f"{describe_time(began)} {fault()}"

    def pause_seconds(self) -> float:
        """Return the time until the next fault."""
        is_last = self.random.random() < LAST_SHARE
        return self.random.uniform(*(CALM_SECONDS if is_last else PAUSE_SECONDS))

    def repair(self) -> None:
        """Undo every fault that is not over."""
        gevent.killall(self.greenlets)
        for action in list(self.pending):
            action()

    def _isolate(self) -> str:
        entry, agent = self._entry(), self.random.choice(self.site.names("agent"))
        directions = self.random.choice(DIRECTIONS)
        seconds = self.random.uniform(*ISOLATION_SECONDS)
        for link in self.site.links_around(entry, agent):
            self._hold(link, directions, seconds)
        return f"isolate {entry} with {agent}, {_describe(directions, seconds)}"

    def _cut_from_agents(self) -> str:
        entry, agents = self._entry(), self._sample(self.site.names("agent"))
        directions = self.random.choice(DIRECTIONS)
        seconds = self.random.uniform(*CUT_SECONDS)
        for agent in agents:
            self._hold(Link(f"{agent} peer", entry), directions, seconds)
        return f"cut {entry} from {' '.join(agents)}, {_describe(directions, seconds)}"

    def _freeze(self) -> str:
        return f"freeze {' '.join(self._freeze_all(self._sample(list(self.site.settings))))}"

    def _freeze_with_workers(self) -> str:
        agents = self._sample(self.site.names("agent"))
        frozen = self._freeze_all(agents)
        late = self.random.uniform(*LATE_RELEASE_SECONDS)
        for agent, seconds in zip(agents, frozen.values(), strict=True):
            self._hold(Link(f"{agent} worker"), (True, True), seconds + late)
        return f"freeze {' '.join(frozen)}, their workers' links held {late:.2f} s longer"

    def _freeze_all(self, names: list[str]) -> dict[str, float]:
        """Freeze processes and return the time of each by its description."""
        frozen = {}
        longest = self.random.uniform(*FREEZE_SECONDS)
        for name in names:
            seconds = self.random.uniform(FREEZE_SECONDS[0], longest)
            self.site.signal(name, signal.SIGSTOP)
            self._later(self._thaw(name), seconds)
            frozen[f"{name} ({seconds:.2f} s)"] = seconds
        return frozen

    def _thaw(self, name: str) -> Action:
        return lambda: self.site.signal(name, signal.SIGCONT)

    def _hold_workers(self) -> str:
        agents = self._sample(self.site.names("agent"))
        directions = self.random.choice(DIRECTIONS)
        seconds = self.random.uniform(*CUT_SECONDS)
        for agent in agents:
            self._hold(Link(f"{agent} worker"), directions, seconds)
        return f"hold workers of {' '.join(agents)}, {_describe(directions, seconds)}"

    def _hold_stores(self) -> str:
        """Hold the owner's link to the store, then its successor's, and so on."""
        directions = self.random.choice(DIRECTIONS)
        holds = [
            (self.random.uniform(*STORE_HOLD_SECONDS), self.random.uniform(*TAKEOVER_SECONDS))
            for _ in range(self.random.randint(1, MAX_TAKEOVERS))
        ]

        def hold_in_turn() -> None:
            for seconds, pause in holds:
                owner = self.site.owner()
                if owner:
                    self._hold(Link(f"{owner} store"), directions, seconds)
                gevent.sleep(pause)

        self.greenlets.append(gevent.spawn(hold_in_turn))
        times = " ".join(f"{seconds:.2f}/{pause:.2f}" for seconds, pause in holds)
        return f"hold store of successive owners, {_describe(directions)}, hold/pause {times} s"

    def _restart(self) -> str:
        names = self._sample(list(self.site.settings))[:MAX_RESTARTS]
        for name in names:
            self.site.restart(name)
        return f"restart {' '.join(names)}"

    def _entry(self) -> str:
        entries = self.site.names("entry")
        chosen = self.random.choice(entries)
        is_owner = self.random.random() < OWNER_SHARE
        return (self.site.owner() or chosen) if is_owner else chosen

    def _sample(self, names: list[str]) -> list[str]:
        return self.random.sample(names, self.random.randint(1, len(names)))

    def _hold(self, link: Link, directions: tuple[bool, bool], seconds: float) -> None:
        """Hold bytes until all holds that overlap are over."""
        outgoing, incoming = directions
        forward, backward = (incoming, outgoing) if link.is_inbound else (outgoing, incoming)
        gates = self.site.links[link.name].gates_of_caller(link.caller)
        held = [
            gate for gate, is_held in zip(gates.both(), (forward, backward), strict=True) if is_held
        ]
        for gate in held:
            self.holds[gate] += 1
            gate.clear()

        def release() -> None:
            for gate in held:
                self.holds[gate] -= 1
                if not self.holds[gate]:
                    gate.set()

        self._later(release, seconds)

    def _later(self, action: Action, seconds: float) -> None:
        """Call `action` after a time, or at the end of the faults."""
        self.pending.append(action)

        def act() -> None:
            if action in self.pending:
                self.pending.remove(action)
                action()

        self.greenlets.append(gevent.spawn_later(seconds, act))


def _describe(directions: tuple[bool, bool], seconds: float = 0.0) -> str:
    outgoing, incoming = directions
    way = "both ways" if outgoing and incoming else "outgoing" if outgoing else "incoming"
    return f"{way} {seconds:.2f} s" if seconds else way
