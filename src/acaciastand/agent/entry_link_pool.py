"""Links to the entries that the agent needs."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

from acaciastand.agent.entry_link import EntryLink, EntryLinkHandler
from acaciastand.wire.messages import EntryAddress, Message

MAX_DIRECTORY_ENTRIES = 256  # Entries kept from a directory.


class EntryLinkPool:
    """Links to `fanout` entries, and to the owners of the shards that are needed.

    While the owner of a needed shard is unknown, there are links to all entries of the directory.

    Parameters
    ----------
    seeds
        Addresses from the settings file, used until an entry sends a directory.
    availability_zone
        Zone of this agent; entries of the same zone are preferred.
    handler
        Receiver of the events of all links.
    rng
        Source of jitter and of the agent's preference among entries.

    Attributes
    ----------
    fanout
        Number of entries to which there are links, whatever shards are needed.
    links
        Links by the address of their entry.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        availability_zone: str,
        handler: EntryLinkHandler,
        rng: random.Random,
    ) -> None:
        self.seeds = list(seeds)
        self.availability_zone = availability_zone
        self.handler = handler
        self.rng = rng
        self.fanout = 3
        self.links: dict[str, EntryLink] = {}
        self._random_ranks: dict[str, float] = {}
        self._directories: dict[str, list[EntryAddress]] = {}

    def update_directory(self, source: str, entries: list[EntryAddress]) -> None:
        """Replace the directory that the entry at address `source` sent last.

        An entry lists only what it reaches itself, so the directory is the union over the open
        links; one entry that is leaving or cut off must not make the agent drop the others.
        """
        self._directories[source] = entries[:MAX_DIRECTORY_ENTRIES]

    @property
    def directory(self) -> dict[str, EntryAddress]:
        """Entries that at least one connected entry lists, by address."""
        open_addresses = {link.address for link in self.links.values() if link.is_open}
        for source in self._directories.keys() - open_addresses:
            del self._directories[source]
        listed = (entry for entries in self._directories.values() for entry in entries)
        return {entry.address: entry for entry in itertools.islice(listed, MAX_DIRECTORY_ENTRIES)}

    def owner_of(self, shard: int) -> EntryLink | None:
        """Return the open link whose entry owns the shard under the highest epoch."""
        owners = [
            link for link in self.links.values() if link.is_open and shard in link.owned_epochs
        ]
        return max(owners, key=lambda link: link.owned_epochs[shard], default=None)

    def adjust(self, needed_shards: set[int]) -> None:
        """Start and stop links to match the directory and the needed shards."""
        wanted = self._wanted_addresses(needed_shards)
        if self._wanted_links_are_open(wanted):
            for address in [address for address in self.links if address not in wanted]:
                self.links.pop(address).stop()
        for address in wanted:
            if address not in self.links:
                link = self.links[address] = EntryLink(address, self.handler, self.rng)
                link.start()

    def send_all(self, message: Message) -> None:
        """Send a message on every open link; other entries get the next announcement instead."""
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

    def _wanted_addresses(self, needed_shards: set[int]) -> set[str]:
        addresses = self._addresses_by_preference()
        wanted = set(addresses[: self.fanout])
        owners = [self.owner_of(shard) for shard in needed_shards]
        if any(owner is None for owner in owners):
            return set(addresses)
        return wanted | {owner.address for owner in owners if owner is not None}

    def _wanted_links_are_open(self, wanted: set[str]) -> bool:
        # A link is stopped only after all links that replace it are open.
        return all(self.links[address].is_open for address in wanted if address in self.links)

    def _addresses_by_preference(self) -> list[str]:
        directory = self.directory
        return sorted(
            directory or self.seeds, key=lambda address: self._preference(directory, address)
        )

    def _preference(self, directory: dict[str, EntryAddress], address: str) -> tuple[bool, float]:
        # The random part is drawn once per address, so that agents spread over the entries and
        # each keeps its choice.
        entry = directory.get(address)
        other_zone = entry is None or entry.availability_zone != self.availability_zone
        return other_zone, self._random_ranks.setdefault(address, self.rng.random())
