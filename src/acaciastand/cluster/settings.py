"""Settings of the daemons that run jobs of steps."""

from __future__ import annotations

from typing import ClassVar

from acaciastand.settings.fields import Address, Choice, Integer, Number, Text, Url
from acaciastand.settings.process import LOG_LEVELS, Field, ProcessSettings

MAX_STOP_TIMEOUT_MS = 60_000
MAX_LEASE_MS = 600_000
MAX_ZONE_DRAIN_MS = 600_000
# The owner of 70 workers uses a third of a core, and a whole core during a takeover.
MIN_OWNER_CORES = 0.8
# The reports of 70 agents and the reads of all jobs fill a slower link.
MIN_OWNER_LINK_MBPS = 50.0

_LEVEL = Field(Choice(*LOG_LEVELS), "Least severe level that is logged.", "info")
_METRICS = Field(Address(empty=True), "Address that serves the metrics; empty for none.", "")
_ADVERTISED = Field(Address(empty=True), "Address that others dial; the peer address if empty.", "")
_ZONE = Field(Text(), "Availability zone of the host.")
_STORE = Field(Url(), "Base URL of the platform's key-value service.")


class DialledSettings(ProcessSettings):
    """Base of the settings of processes that other processes of the system connect to."""

    __slots__ = ()
    availability_zone: str
    peer_address: str
    advertised_address: str
    store_url: str
    metrics_address: str
    log_level: str

    @property
    def dialled_address(self) -> str:
        """Address that other processes connect to."""
        return self.advertised_address or self.peer_address


class JobEntrySettings(DialledSettings):
    """Settings of an entry for jobs of steps."""

    __slots__ = (
        "entry_id",
        "availability_zone",
        "http_address",
        "ready_address",
        "peer_address",
        "advertised_address",
        "store_url",
        "advice_address",
        "stop_timeout_ms",
        "zone_drain_ms",
        "processors",
        "processor_share",
        "link_mbps",
        "metrics_address",
        "log_level",
    )
    entry_id: str
    availability_zone: str
    http_address: str
    ready_address: str
    peer_address: str
    advertised_address: str
    store_url: str
    advice_address: str
    stop_timeout_ms: int
    zone_drain_ms: int
    processors: float
    processor_share: float
    link_mbps: float
    metrics_address: str
    log_level: str

    known: ClassVar[dict[str, Field]] = {
        "entry_id": Field(Text(), "Name of this entry, unique in the deployment."),
        "availability_zone": _ZONE,
        "http_address": Field(Address(listens=True), "Address for callers."),
        "ready_address": Field(Address(listens=True), "Address for the balancer's checks."),
        "peer_address": Field(Address(listens=True), "Address for other entries."),
        "advertised_address": _ADVERTISED,
        "store_url": _STORE,
        "advice_address": Field(
            Address(empty=True), "Address of the placement service; empty for none.", ""
        ),
        "stop_timeout_ms": Field(
            Integer(1, MAX_STOP_TIMEOUT_MS), "Longest time that a worker takes to stop a run.", 1000
        ),
        "zone_drain_ms": Field(
            Integer(0, MAX_ZONE_DRAIN_MS),
            "Longest time from a request to drain a zone to the last start there; 0 if the"
            " operators drain no zones.",
            0,
        ),
        "processors": Field(Number(), "Processors of the host.", 1.0),
        "processor_share": Field(Number(), "Share of each processor for this process.", 1.0),
        "link_mbps": Field(Number(), "Bandwidth of the host's link in megabits a second.", 1000.0),
        "metrics_address": _METRICS,
        "log_level": _LEVEL,
    }

    @property
    def is_small(self) -> bool:
        """Whether the host is too small to own the jobs while a larger one can."""
        cores = self.processors * self.processor_share
        return cores < MIN_OWNER_CORES or self.link_mbps < MIN_OWNER_LINK_MBPS


class JobAgentSettings(DialledSettings):
    """Settings of an agent that runs tasks of jobs of steps."""

    __slots__ = (
        "agent_id",
        "availability_zone",
        "announce_address",
        "peer_address",
        "advertised_address",
        "worker_address",
        "max_lease_ms",
        "store_url",
        "metrics_address",
        "log_level",
    )
    agent_id: str
    availability_zone: str
    announce_address: str
    peer_address: str
    advertised_address: str
    worker_address: str
    max_lease_ms: int
    store_url: str
    metrics_address: str
    log_level: str

    known: ClassVar[dict[str, Field]] = {
        "agent_id": Field(Text(), "Name of this agent, unique in the deployment."),
        "availability_zone": _ZONE,
        "announce_address": Field(Address(listens=True), "Address for the worker's heartbeats."),
        "peer_address": Field(Address(listens=True), "Address for entries."),
        "advertised_address": _ADVERTISED,
        "worker_address": Field(Address(), "Address of the worker's task interface."),
        "max_lease_ms": Field(
            Integer(1, MAX_LEASE_MS), "Longest lease of runs that the worker grants.", 10_000
        ),
        "store_url": _STORE,
        "metrics_address": _METRICS,
        "log_level": _LEVEL,
    }
