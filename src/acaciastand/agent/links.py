"""Which entries the agent is connected to."""

from __future__ import annotations

import itertools
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
        self.links: dict[str, Link] = {}
        self._preference: dict[str, float] = {}
        self._sources: dict[str, list[EntryAddress]] = {}

    def update_directory(self, source: str, entries: list[EntryAddress]) -> None:
        """Replace the directory of one entry; `source` is the address it came from.

        An entry lists only what it reaches itself, so the directory is the union over the open
        links; one entry that is leaving or cut off must not make the agent drop the others.
        """
        self._sources[source] = entries[:MAX_DIRECTORY]

    @property
    def directory(self) -> dict[str, EntryAddress]:
        """Entries that any connected entry lists, by address."""
        open_links = {link.address for link in self.links.values() if link.is_open}
        for source in self._sources.keys() - open_links:
            del self._sources[source]
        listed = (entry for entries in self._sources.values() for entry in entries)
        return {entry.address: entry for entry in itertools.islice(listed, MAX_DIRECTORY)}

    def owner_of(self, shard: int) -> Link | None:
        """Return the open link whose entry owns the shard under the highest epoch."""
        owners = [link for link in self.links.values() if link.is_open and shard in link.owned]
        return max(owners, key=lambda link: link.owned[shard], default=None)

    def adjust(self, needed_shards: set[int]) -> None:
        """Open and close links to match the directory and the needed shards."""
        wanted = self._wanted(needed_shards)
        if self._enough_open(wanted):
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

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat on every link without waiting for the interval."""
        for link in self.links.values():
            link.heartbeat_due.set()

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

    def _enough_open(self, wanted: set[str]) -> bool:
        # An open link is given up only once its replacements are open.
        return all(self.links[address].is_open for address in wanted if address in self.links)

    def _preferred(self) -> list[str]:
        directory = self.directory
        return sorted(directory or self.seeds, key=lambda address: self._rank(directory, address))

    def _rank(self, directory: dict[str, EntryAddress], address: str) -> tuple[bool, float]:
        # The random part is drawn once per address, so that agents spread over the entries and
        # each keeps its choice.
        entry = directory.get(address)
        other_zone = entry is None or entry.availability_zone != self.availability_zone
        return other_zone, self._preference.setdefault(address, self.rng.random())
