"""Settings files of the processes.

Examples
--------
An agent's file::

    agent_id = "gent-worker-1"
    path = "maison-reprise/flanders/gent"
    availability_zone = "gent"
    rack = "gent-rack-1"
    services = ["order-desk"]
    target_url = "http://10.1.0.11:8080"
    worker_url = "http://10.1.0.11:8081"
    entries = ["10.1.0.2:7001", "10.2.0.2:7001"]
"""

from __future__ import annotations

from os import PathLike
from typing import Any, ClassVar, Self

from acaciastand.record import Record
from acaciastand.settings.fields import (
    Address,
    Choice,
    FieldKind,
    Integer,
    ListOf,
    Text,
    TreePath,
    Url,
)
from acaciastand.settings.file_errors import BadFileValue, MissingFileKey, UnknownFileKey
from acaciastand.settings.toml_file import read_toml

MAX_SHARDS = 4096
MAX_SLOTS = 1024
MAX_CONNECTIONS = 65_536

LOG_LEVELS = ("debug", "info", "warning", "error")
SITE_LEVELS = ("firm", "region", "site")


class Field:
    """One key of a settings file.

    Parameters
    ----------
    kind
        What values are allowed.
    description
        One sentence for operators.
    default
        Value when the key is absent; None if the key is required.
    """

    __slots__ = ("kind", "description", "default")

    def __init__(self, kind: FieldKind, description: str, default: Any = None) -> None:
        self.kind = kind
        self.description = description
        self.default = default


class ProcessSettings(Record):
    """Base of the settings of one process."""

    __slots__ = ()
    known: ClassVar[dict[str, Field]] = {}

    def __init__(self, **values: Any) -> None:
        for name, field in self.known.items():
            value = values.pop(name, field.default)
            setattr(self, name, list(value) if isinstance(value, list) else value)
        if values:
            raise TypeError(f"{type(self).__name__} has no field {next(iter(values))!r}")

    @classmethod
    def load(cls, path: str | PathLike[str]) -> Self:
        """Read and check a settings file.

        Parameters
        ----------
        path
            Path of a TOML file.

        Raises
        ------
        FileUnreadable, FileNotToml, UnknownFileKey, MissingFileKey, BadFileValue
            The file cannot be used; the message names the key and what is allowed.
        """
        return cls.from_table(read_toml(path), str(path))

    @classmethod
    def from_table(cls, table: dict[str, Any], file: str) -> Self:
        """Check values that were read from `file`."""
        for key in table:
            if key not in cls.known:
                allowed = f"remove it; allowed keys are {', '.join(cls.known)}"
                raise UnknownFileKey(file, key, "the key is not known", allowed)
        for key, field in cls.known.items():
            _check_field(file, key, field, table)
        return cls(**table)


def _check_field(file: str, key: str, field: Field, table: dict[str, Any]) -> None:
    if key not in table:
        if field.default is None:
            raise MissingFileKey(file, key, "the key is missing", f"set it to {field.kind.allowed}")
        return
    if not field.kind.accepts(table[key]):
        problem = f"the value {_shortened(table[key])} is not allowed"
        raise BadFileValue(file, key, problem, f"set it to {field.kind.allowed}")


def _shortened(value: Any, limit: int = 80) -> str:
    text = repr(value)
    return text if len(text) <= limit else text[:limit] + "..."


_PATH = Field(TreePath(*SITE_LEVELS), "Path of the site in the settings tree.")
_ZONE = Field(Text(), "Availability zone of the host.")
_STATSD = Field(Address(empty=True), "Address of the statsd server; empty for none.", "")
_LOG_LEVEL = Field(Choice(*LOG_LEVELS), "Least severe level that is logged.", "info")


class EntrySettings(ProcessSettings):
    """Settings of one entry process; the keys are listed in docs/SETTINGS.md."""

    __slots__ = (
        "entry_id",
        "path",
        "availability_zone",
        "http_address",
        "peer_address",
        "entries",
        "store_url",
        "shards",
        "statsd_address",
        "log_level",
    )
    entry_id: str
    path: str
    availability_zone: str
    http_address: str
    peer_address: str
    entries: list[str]
    store_url: str
    shards: int
    statsd_address: str
    log_level: str

    known: ClassVar[dict[str, Field]] = {
        "entry_id": Field(Text(), "Name of this entry, unique in the firm."),
        "path": _PATH,
        "availability_zone": _ZONE,
        "http_address": Field(Address(listens=True), "Address for callers and operators."),
        "peer_address": Field(Address(listens=True), "Address for agents and other entries."),
        "entries": Field(ListOf(Address()), "Peer addresses of all entries of the region."),
        "store_url": Field(Url(), "Base URL of the platform's key-value service."),
        "shards": Field(
            Integer(1, MAX_SHARDS), "Number of job shards; the same on all entries of a region."
        ),
        "statsd_address": _STATSD,
        "log_level": _LOG_LEVEL,
    }


class AgentSettings(ProcessSettings):
    """Settings of one agent process; the keys are listed in docs/SETTINGS.md."""

    __slots__ = (
        "agent_id",
        "path",
        "availability_zone",
        "rack",
        "services",
        "target_url",
        "worker_url",
        "slots",
        "connections",
        "entries",
        "statsd_address",
        "log_level",
    )
    agent_id: str
    path: str
    availability_zone: str
    rack: str
    services: list[str]
    target_url: str
    worker_url: str
    slots: int
    connections: int
    entries: list[str]
    statsd_address: str
    log_level: str

    known: ClassVar[dict[str, Field]] = {
        "agent_id": Field(Text(), "Name of this agent, unique in the firm."),
        "path": _PATH,
        "availability_zone": _ZONE,
        "rack": Field(Text(), "Rack of the host."),
        "services": Field(ListOf(Text(), minimum=1), "Services that the target serves."),
        "target_url": Field(Url(), "Base URL of the target on this host."),
        "worker_url": Field(Url(), "Base URL of the worker on this host."),
        "slots": Field(Integer(1, MAX_SLOTS), "Requests and tasks that run at once.", 8),
        "connections": Field(Integer(1, MAX_CONNECTIONS), "Connections to the target.", 64),
        "entries": Field(ListOf(Address(), minimum=1), "Peer addresses of entries to dial first."),
        "statsd_address": _STATSD,
        "log_level": _LOG_LEVEL,
    }
