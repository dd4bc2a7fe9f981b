"""Sizes of a deployment: the figures the capacity pages are worked out for."""

from __future__ import annotations

import math

from acaciastand.record import Record

SECONDS_PER_DAY = 86_400


class Scale(Record):
    """Figures of one deployment; rates are per second unless the name says otherwise.

    Parameters
    ----------
    workers, availability_zones, regions
        Size of the fleet; each worker has one agent.
    entries_per_zone, entry_fanout
        Entries in each availability zone, and how many of them an agent announces itself to.
    shards
        Shards of batch jobs over all regions.
    commit_seconds
        Commit interval of a shard.
    heartbeat_seconds
        Interval of the agents' heartbeats.
    starts, batch_running, services_running, jobs_per_day
        Batch starts at the peak, tasks running and jobs submitted.
    changes_per_day
        Settings changes.
    settings_nodes, teams
        Size of the settings tree.
    hosts_failed_per_day, hosts_replaced_per_day
        Ordinary churn.
    store_writes_limit, store_reads_limit
        Rates the platform's key-value service takes, one service for each region.
    """

    __slots__ = (
        "name",
        "workers",
        "availability_zones",
        "regions",
        "entries_per_zone",
        "entry_fanout",
        "shards",
        "commit_seconds",
        "heartbeat_seconds",
        "starts",
        "batch_running",
        "services_running",
        "jobs_per_day",
        "changes_per_day",
        "settings_nodes",
        "teams",
        "hosts_failed_per_day",
        "hosts_replaced_per_day",
        "store_writes_limit",
        "store_reads_limit",
    )

    def __init__(
        self,
        name: str,
        workers: int,
        availability_zones: int,
        regions: int,
        entries_per_zone: int,
        entry_fanout: int,
        shards: int,
        commit_seconds: float,
        heartbeat_seconds: float,
        starts: float,
        batch_running: int,
        services_running: int,
        jobs_per_day: int,
        changes_per_day: int,
        settings_nodes: int,
        teams: int,
        hosts_failed_per_day: float,
        hosts_replaced_per_day: float,
        store_writes_limit: int = 300,
        store_reads_limit: int = 2000,
    ) -> None:
        self.name = name
        self.workers = workers
        self.availability_zones = availability_zones
        self.regions = regions
        self.entries_per_zone = entries_per_zone
        self.entry_fanout = entry_fanout
        self.shards = shards
        self.commit_seconds = commit_seconds
        self.heartbeat_seconds = heartbeat_seconds
        self.starts = starts
        self.batch_running = batch_running
        self.services_running = services_running
        self.jobs_per_day = jobs_per_day
        self.changes_per_day = changes_per_day
        self.settings_nodes = settings_nodes
        self.teams = teams
        self.hosts_failed_per_day = hosts_failed_per_day
        self.hosts_replaced_per_day = hosts_replaced_per_day
        self.store_writes_limit = store_writes_limit
        self.store_reads_limit = store_reads_limit

    @property
    def entries(self) -> int:
        """Entries over all availability zones."""
        return self.entries_per_zone * self.availability_zones

    @property
    def connections_per_agent(self) -> float:
        """Entries of its region that an agent is connected to: the fan-out and shard owners.

        Shards are taken as spread evenly over the entries of the region, and the attempts of an
        agent over the shards.
        """
        regional = self.entries / self.regions
        fanout = min(float(self.entry_fanout), regional)
        owners = regional * (1.0 - (1.0 - 1.0 / regional) ** self.attempts_per_agent)
        return fanout + owners * (1.0 - fanout / regional)

    @property
    def agents_per_entry(self) -> float:
        """Agents connected to one entry."""
        return self.workers * self.connections_per_agent / self.entries

    @property
    def digest_share(self) -> float:
        """Share of the heartbeats whose attempts did not change since the one before.

        Starts and ends are taken as independent of each other.
        """
        changes = 2.0 * self.starts / self.workers * self.heartbeat_seconds
        return math.exp(-changes)

    @property
    def attempts_per_agent(self) -> float:
        """Batch attempts that one agent holds."""
        return self.batch_running / self.workers

    @property
    def owned_per_entry(self) -> float:
        """Running batch tasks whose shard one entry owns."""
        return self.batch_running / self.entries

    @property
    def starts_per_entry(self) -> float:
        """Starts a second that one entry commits and grants."""
        return self.starts / self.entries

    @property
    def shards_per_entry(self) -> float:
        """Shards that one entry owns."""
        return self.shards / self.entries

    @property
    def changes(self) -> float:
        """Settings changes a second."""
        return self.changes_per_day / SECONDS_PER_DAY


# Commit interval, heartbeat interval, entries, fan-out and shards are this project's choices; the
# rest are the users' figures for two years ahead.
TARGET = Scale(
    name="in two years",
    workers=9_600,
    availability_zones=19,
    regions=7,
    entries_per_zone=4,
    entry_fanout=3,
    shards=608,
    commit_seconds=1.0,
    heartbeat_seconds=5.0,
    starts=6_600,
    batch_running=62_000,
    services_running=48_000,
    jobs_per_day=70_000,
    changes_per_day=7_500,
    settings_nodes=2_000,
    teams=66,
    hosts_failed_per_day=69,
    hosts_replaced_per_day=1_700,
)

# The users give hosts, availability zones and slots; starts and running tasks are taken as one
# task to a core and two minutes a task.
MAISON_REPRISE = Scale(
    name="Maison Reprise today",
    workers=11,
    availability_zones=3,
    regions=1,
    entries_per_zone=1,
    entry_fanout=3,
    shards=4,
    commit_seconds=0.02,
    heartbeat_seconds=1.0,
    starts=3,
    batch_running=350,
    services_running=88,
    jobs_per_day=100,
    changes_per_day=20,
    settings_nodes=20,
    teams=3,
    hosts_failed_per_day=0.1,
    hosts_replaced_per_day=2,
)
BLUE_MAHOE = MAISON_REPRISE.replace(name="Blue Mahoe today", batch_running=176, starts=1.5)
