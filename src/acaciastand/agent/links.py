"""Which entries the agent is connected to."""

from __future__ import annotations

import random
from collections.abc import Iterable

from acaciastand.agent.link import Link, LinkEvents
from acaciastand.wire.messages import EntryAddress, Message

MAX_DIRECTORY = 256  # entries kept from a directory


class Links:
    """Connections to `fanout` entries, and to the owners of the shards that are needed.

    While the owner of a needed shard is unknown, all entries of the directory are dialled.

    Parameters
    ----------
    seeds
        Addresses from the settings file; dialled until a directory arrives.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        availability_zone: str,
        events: LinkEvents,
        rng: random.Random,
    ) -> None:
        self.seeds = list(seeds)
        self.availability_zone = availability_zone
        self.events = events
        self.rng = rng
        self.fanout = 3
        self.directory: dict[str, EntryAddress] = {}
        self.links: dict[str, Link] = {}
        self._order = {}  # type: dict[str, float]

    def learn(self, entries: list[EntryAddress]) -> None:
        """Replace the directory; an empty one is ignored."""
        if entries:
            self.directory = {entry.address: entry for entry in entries[:MAX_DIRECTORY]}

    def owner_of(self, shard: int) -> Link | None:
        """Return the open link whose entry owns the shard under the highest epoch."""
        owners = [link for link in self.links.values() if link.is_open and shard in link.owned]
        return max(owners, key=lambda link: link.owned[shard], default=None)

    def adjust(self, needed_shards: set[int]) -> None:
        """Open and close links to match the directory and the needed shards."""
        wanted = self._wanted(needed_shards)
        for address in [address for address in self.links if address not in wanted]:
            self.links.pop(address).stop()
        for address in wanted:
            if address not in self.links:
                link = self.links[address] = Link(address, self.events, self.rng)
                link.start()

    def send_all(self, message: Message) -> None:
        """Send a message on every open link; closed ones learn it from the next announcement."""
        for link in list(self.links.values()):
            if link.is_open and link.connection is not None:
                link.connection.send(message)

    def beat_now(self) -> None:
        """Send a heartbeat on every link without waiting for the interval."""
        for link in self.links.values():
            link.beat_now.set()

    def close(self) -> None:
        """Close all links."""
        while self.links:
            self.links.popitem()[1].stop()

    def _wanted(self, needed_shards: set[int]) -> set[str]:
        known = self._preferred()
        wanted = set(known[: self.fanout])
        owners = [self.owner_of(shard) for shard in needed_shards]
        if any(owner is None for owner in owners):
            return set(known)
        return wanted | {owner.address for owner in owners if owner is not None}

    def _preferred(self) -> list[str]:
        addresses = list(self.directory) or self.seeds
        if not any(link.is_open for link in self.links.values()):
            addresses = list(dict.fromkeys([*addresses, *self.seeds]))
        return sorted(addresses, key=self._rank)

    def _rank(self, address: str) -> tuple[bool, float]:
        # The random part is drawn once per address, so that agents spread over the entries and
        # each keeps its choice.
        entry = self.directory.get(address)
        other_zone = entry is None or entry.availability_zone != self.availability_zone
        return other_zone, self._order.setdefault(address, self.rng.random())
