"""Works out state, messages, processor time and memory of each role."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from acaciastand.entry.owned_shard import RETRY_SECONDS
from acaciastand.entry.owner import CLAIM_INTERVAL_SECONDS
from acaciastand.shard.limits import MAX_EVENTS_PER_COMMIT, MAX_JOBS, MAX_TASKS
from acaciastand_lab.capacity_table import Row, Slopes, Table
from acaciastand_lab.measurements import Slope
from acaciastand_lab.scale import SECONDS_PER_DAY, Scale

BYTES_LIMIT = 10_000  # bytes a second for control, of one daemon
PROCESSOR_LIMIT = 0.013  # share of a core for control, of one daemon
MEMORY_LIMIT_MB = 32
MB = 1_000_000
SNAPSHOT_INTERVAL_ENTRIES = 32
LEASE_RENEWAL_SECONDS = 4.0 / 3


def beat_rate(scale: Scale) -> float:
    """Return the heartbeats a second of one connection; each change of settings brings one on."""
    return 1.0 / scale.heartbeat_seconds + scale.changes


LONG_TASK_SECONDS = 600.0  # run time of the rows for long tasks


def long_tasks(scale: Scale) -> Scale:
    """Return the deployment with as many running tasks that each run for ten minutes."""
    return scale.replace(starts=scale.batch_running / LONG_TASK_SECONDS)


def heartbeat_bytes(scale: Scale, slopes: Slopes, name: str, digest_name: str) -> float:
    """Return the mean bytes of a heartbeat or of its reply, with lists and digests."""
    listed = slopes.at(name, scale.attempts_per_agent)
    share = scale.digest_share
    return share * slopes.per_item(digest_name) + (1.0 - share) * listed


def bytes_up(scale: Scale, slopes: Slopes) -> float:
    """Return the mean bytes of one heartbeat of an agent."""
    return heartbeat_bytes(scale, slopes, "bytes.heartbeat", "bytes.heartbeat_digest")


def bytes_down(scale: Scale, slopes: Slopes) -> float:
    """Return the mean bytes of the reply to a heartbeat."""
    return heartbeat_bytes(scale, slopes, "bytes.heartbeat_reply", "bytes.heartbeat_digest_reply")


def heartbeat_seconds(scale: Scale, slopes: Slopes, end: str) -> float:
    """Return the mean processor seconds of a heartbeat at one end."""
    share = scale.digest_share
    listed = slopes.per_item(f"processor.heartbeat_{end}")
    return share * slopes.per_item(f"processor.digest_{end}") + (1.0 - share) * listed


def digest_percent(scale: Scale) -> float:
    """Return the share of heartbeats with a digest in percent."""
    return 100.0 * scale.digest_share


def scaled(factor: float, value: Callable[[], float]) -> float:
    """Return a multiple of a value that may not have been measured."""
    return factor * value()


def start_bytes(slopes: Slopes) -> float:
    """Return the bytes between owner and agent over the life of one attempt."""
    names = ("bytes.grant", "bytes.grant_reply", "bytes.report", "bytes.report_confirmed")
    return sum(slopes.per_item(name) for name in names)


def agent_memory(scale: Scale, slopes: Slopes, name: str) -> float:
    """Return the memory of a connected agent in MB; `name` is a reading of smaps_rollup."""
    connections = scale.connections_per_agent * slopes.per_item("memory.connection_dialled")
    held = slopes.at(f"memory.agent_{name}", scale.attempts_per_agent)
    return (held + connections) / MB


def megabytes(slopes: Slopes, name: str) -> float:
    """Return the value per item of a slope in MB."""
    return slopes.per_item(name) / MB


def agent_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of the agent."""
    table = Table()
    beats = scale.connections_per_agent * beat_rate(scale)
    starts = scale.starts / scale.workers
    table.add(
        "batch attempts held",
        lambda: scale.attempts_per_agent,
        "attempts",
        "ledger of `host.Host`, bounded",
    )
    table.add(
        "connections",
        lambda: scale.connections_per_agent,
        "connections",
        "`entry_fanout`, nearest first, and the owners of the shards it runs tasks of",
    )
    table.add(
        "control bytes out",
        lambda: (
            beats * bytes_up(scale, slopes)
            + starts * (slopes.per_item("bytes.grant_reply") + slopes.per_item("bytes.report"))
        ),
        "bytes a second",
        "heartbeat interval set by the entry",
        BYTES_LIMIT,
    )
    table.add(
        "control bytes in",
        lambda: (
            beats * bytes_down(scale, slopes)
            + starts * (slopes.per_item("bytes.grant") + slopes.per_item("bytes.report_confirmed"))
            + scale.changes * scale.connections_per_agent * slopes.per_item("bytes.settings_update")
        ),
        "bytes a second",
        "all effective values on every connection at each change",
        BYTES_LIMIT,
    )
    table.add(
        "processor for control",
        lambda: (
            beats * heartbeat_seconds(scale, slopes, "sender")
            + starts * slopes.per_item("processor.attempt_agent")
        ),
        "of a core",
        "heartbeats and attempts; requests are the service's own work",
        PROCESSOR_LIMIT,
    )
    for name, limit, mechanism in (
        ("resident", MEMORY_LIMIT_MB, "the limit is held to this reading"),
        ("proportional", None, "shared pages are divided by the processes that map them"),
        ("anonymous", None, "what the process alone adds to its host"),
    ):
        table.add(
            f"memory, {name}",
            partial(agent_memory, scale, slopes, name),
            "MB",
            mechanism,
            limit,
        )
        table.add(
            f"memory before any connection, {name}",
            partial(megabytes, slopes, f"memory.agent_started_{name}"),
            "MB",
            "interpreter and libraries",
        )
    return table.rows


def entry_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of an entry without its shards."""
    table = Table()
    beats = scale.agents_per_entry * beat_rate(scale)
    peers = scale.entries / scale.regions - 1
    table.add("agents connected", lambda: scale.agents_per_entry, "agents", "fan-out over entries")
    table.add(
        "peer connections", lambda: max(peers, 0.0), "connections", "full mesh within a region"
    )
    for case, at in (("at the peak", scale), ("tasks of 10 minutes", long_tasks(scale))):
        table.add(
            f"heartbeats with a digest, {case}",
            partial(digest_percent, at),
            "%",
            "worked out from starts and ends; each changes the set",
        )
        table.add(
            f"heartbeat bytes in, {case}",
            partial(scaled, beats, partial(bytes_up, at, slopes)),
            "bytes a second",
            "listing only the attempts of the receiver's shards, or more entries, would carry it",
            BYTES_LIMIT,
        )
        table.add(
            f"heartbeat bytes out, {case}",
            partial(scaled, beats, partial(bytes_down, at, slopes)),
            "bytes a second",
            "more entries divide it; 118 of the bytes are headers and owned shards",
            BYTES_LIMIT,
        )
        table.add(
            f"processor for heartbeats, {case}",
            partial(scaled, beats, partial(heartbeat_seconds, at, slopes, "receiver")),
            "of a core",
            "entries are few and larger than agents; more entries per zone divide it",
            PROCESSOR_LIMIT,
        )
    table.add(
        "whole entry with idle agents, processor",
        lambda: slopes.at("processor.entry_agent", scale.agents_per_entry),
        "of a core",
        "measured up to 300 agents, worked out above",
        PROCESSOR_LIMIT,
    )
    table.add(
        "whole entry with idle agents, resident memory",
        lambda: slopes.at("memory.entry_agent", scale.agents_per_entry) / MB,
        "MB",
        "measured up to 300 agents, worked out above",
        MEMORY_LIMIT_MB,
    )
    table.add(
        "memory of connections and agents",
        lambda: (
            scale.agents_per_entry
            * (
                slopes.per_item("memory.connection_accepted")
                + slopes.per_item("memory.agent_session")
            )
            / MB
        ),
        "MB",
        "protocol objects without I/O",
        MEMORY_LIMIT_MB,
    )
    return table.rows


def owner_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of the owner role of one entry."""
    table = Table()
    starts = scale.starts_per_entry
    commits = min(scale.shards_per_entry / scale.commit_seconds, 2 * starts)
    table.add(
        "shards owned", lambda: scale.shards_per_entry, "shards", "rendezvous hash over entries"
    )
    table.add("tasks owned", lambda: scale.owned_per_entry, "tasks", "`shard.Shard`, bounded")
    table.add(
        "starts", lambda: starts, "a second", "group commit, then grants over the connections"
    )
    table.add(
        "bytes to and from agents",
        lambda: starts * start_bytes(slopes),
        "bytes a second",
        "more owners: agents can carry the role, the aggregate needs nothing of the entry",
        BYTES_LIMIT,
    )
    table.add(
        "bytes to the store",
        lambda: (
            commits * slopes.find("bytes.commit").base
            + 2 * starts * slopes.per_item("bytes.commit")
        ),
        "bytes a second",
        "ring journal: only new events are written",
        BYTES_LIMIT,
    )
    table.add(
        "processor for starts",
        lambda: starts * slopes.per_item("processor.start_owner"),
        "of a core",
        "placement, commit, grant and report; more owners divide it",
        PROCESSOR_LIMIT,
    )
    table.add(
        "processor for placement rounds",
        lambda: (
            scale.shards_per_entry
            / scale.commit_seconds
            * scale.agents_per_entry
            * slopes.per_item("processor.placement_round")
        ),
        "of a core",
        "a round copies the views of all workers; views kept between rounds would carry it",
        PROCESSOR_LIMIT,
    )
    table.add(
        "processor for renewals",
        lambda: (
            scale.owned_per_entry / scale.heartbeat_seconds * slopes.per_item("processor.renewal")
        ),
        "of a core",
        "one look-up for each attempt",
        PROCESSOR_LIMIT,
    )
    table.add(
        "memory of tasks",
        lambda: scale.owned_per_entry * slopes.per_item("memory.task_owned") / MB,
        "MB",
        "slotted classes",
        MEMORY_LIMIT_MB,
    )
    table.add(
        "running tasks of one shard",
        lambda: scale.batch_running / scale.shards,
        "tasks",
        "`MAX_TASKS`, which counts waiting tasks as well",
        MAX_TASKS,
    )
    table.add(
        "a day's jobs of one shard",
        lambda: scale.jobs_per_day / scale.shards,
        "jobs",
        "`MAX_JOBS`, if not one of them finished that day",
        MAX_JOBS,
    )
    table.add(
        "events of one commit",
        lambda: 2 * scale.starts / scale.shards * scale.commit_seconds,
        "events",
        "`MAX_EVENTS_PER_COMMIT`; a start and an end are an event each",
        MAX_EVENTS_PER_COMMIT,
    )
    table.add(
        "shards that the running tasks of a region fill",
        lambda: scale.batch_running / scale.regions / MAX_TASKS,
        "shards",
        "limit: the shards of a region",
        scale.shards / scale.regions,
    )
    return table.rows


def settings_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of settings distribution."""
    table = Table()
    table.add("changes", lambda: scale.changes, "a second", "multi-writer journal")
    table.add(
        "store writes", lambda: scale.changes, "a second", "one slot write a change", limit=None
    )
    table.add(
        "watches waiting", lambda: scale.entries, "calls", "one for each entry, on the next slot"
    )
    table.add(
        "pushes of one entry",
        lambda: (scale.changes * scale.agents_per_entry * slopes.per_item("bytes.settings_update")),
        "bytes a second",
        "each change sends all effective values to every agent; sending them only to agents whose "
        "values changed would carry it",
        BYTES_LIMIT,
    )
    table.add(
        "time until in force",
        lambda: scale.heartbeat_seconds + 1.0,
        "s",
        "push, confirmed by the next heartbeat; peers a second later",
        19.0,
    )
    table.add(
        "processor for changes",
        lambda: scale.changes * slopes.per_item("processor.settings_change"),
        "of a core",
        "each entry applies each change; measured with 2,000 paths",
        PROCESSOR_LIMIT,
    )
    table.add(
        "memory of the tree",
        lambda: scale.settings_nodes * slopes.per_item("memory.settings_node") / MB,
        "MB",
        "whole tree at entries, effective values at agents",
    )
    return table.rows


def store_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of one region's key-value service."""
    table = Table()
    regional_shards = scale.shards / scale.regions
    regional_starts = scale.starts / scale.regions
    regional_entries = scale.entries / scale.regions
    commits = min(regional_shards / scale.commit_seconds, 2 * regional_starts)
    snapshots = commits / SNAPSHOT_INTERVAL_ENTRIES
    leases = regional_entries / LEASE_RENEWAL_SECONDS
    table.add("commits", lambda: commits, "writes a second", "group commit")
    table.add(
        "writes in all",
        lambda: commits + snapshots + leases + scale.changes,
        "a second",
        "commits, snapshots, lease renewals of entries, settings",
        scale.store_writes_limit,
    )
    table.add(
        "writes without group commit",
        lambda: 2 * regional_starts,
        "a second",
        "what one write per start and end would take",
        scale.store_writes_limit,
    )
    looks = regional_entries * (regional_shards - scale.shards_per_entry) / CLAIM_INTERVAL_SECONDS
    table.add(
        "reads of owner keys",
        lambda: looks,
        "reads a second",
        "each entry reads the owner of each shard that it does not own, twice a second",
    )
    table.add(
        "reads in all, home region",
        lambda: looks + scale.entries,
        "calls a second",
        "owner keys and one waiting watch of each entry of all regions; reading the owners less "
        "often, or as one value, would carry growth",
        scale.store_reads_limit,
    )
    table.add(
        "appends tried during an outage",
        lambda: regional_shards / RETRY_SECONDS,
        "a second",
        "every shard with changes, each 0.25 s; a wait that doubles up to 2 s would carry it",
        scale.store_writes_limit,
    )
    table.add(
        "reads after the loss of an entry",
        lambda: scale.shards_per_entry * 65,
        "reads",
        "snapshot and 64 slots of each shard, spread over the surviving entries",
        scale.store_reads_limit,
    )
    return table.rows


def event_rows(scale: Scale, slopes: Slopes) -> list[Row]:
    """Return the rows of ordinary and rare events."""
    table = Table()
    zone_agents = scale.workers / scale.availability_zones
    churn = (scale.hosts_failed_per_day + scale.hosts_replaced_per_day) / SECONDS_PER_DAY
    table.add(
        "agents that announce themselves anew, ordinary day",
        lambda: churn,
        "a second",
        "one announcement and one settings snapshot each",
    )
    table.add(
        "attempts that end with hosts, ordinary day",
        lambda: scale.hosts_failed_per_day * scale.attempts_per_agent,
        "a day",
        "restarted by proof 3 after 20.75 s, earlier when the host is replaced",
    )
    table.add(
        "agents back at once after an availability zone",
        lambda: zone_agents,
        "agents",
        "reconnection with jittered back-off up to 5 s",
    )
    table.add(
        "attempts to restart after an availability zone",
        lambda: zone_agents * scale.attempts_per_agent,
        "attempts",
        "owners spread restarts over commits; bounded events a commit",
    )
    table.add(
        "announcements a second while a zone comes back",
        lambda: zone_agents * scale.connections_per_agent / 5.0 / scale.entries_per_zone,
        "a second and entry",
        "jitter over 5 s",
    )
    table.add(
        "urgent start through a takeover",
        lambda: 4.0 + 1.0 + scale.shards_per_entry * 65 / 500 + scale.commit_seconds + 0.1,
        "s",
        "lease 4 s, claim within 1 s, journal read at 500 reads a second, commit, grant",
        9.0,
    )
    return table.rows


def role_tables(scale: Scale, by_name: dict[str, Slope]) -> list[tuple[str, list[Row]]]:
    """Return title and rows of each role."""
    slopes = Slopes(by_name)
    return [
        ("Agent", agent_rows(scale, slopes)),
        ("Entry, without its shards", entry_rows(scale, slopes)),
        ("Owner of shards, per entry", owner_rows(scale, slopes)),
        ("Settings distribution", settings_rows(scale, slopes)),
        ("Key-value service, per region", store_rows(scale, slopes)),
        ("Events", event_rows(scale, slopes)),
    ]
