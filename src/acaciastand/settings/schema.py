"""Keys of the operators' settings tree with types, units, ranges and defaults."""

from __future__ import annotations

from typing import Any

from acaciastand.record import Record


class SettingSpec(Record):
    """One key.

    Parameters
    ----------
    name
        Key as operators write it.
    kind
        ``float``, ``int``, ``str``, ``list`` (of strings) or ``dict`` (of string to number).
    default
        Value when no level of the tree sets the key.
    unit
        Unit of the value, empty for plain numbers.
    minimum, maximum
        Allowed range of numbers, and of the numbers in a dict; None for no limit.
    choices
        Allowed strings; empty for any.
    description
        One sentence for operators.
    """

    __slots__ = ("name", "kind", "default", "unit", "minimum", "maximum", "choices", "description")

    def __init__(
        self,
        name: str,
        kind: type,
        default: Any,
        description: str,
        unit: str = "",
        minimum: float | None = None,
        maximum: float | None = None,
        choices: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.kind = kind
        self.default = default
        self.unit = unit
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices
        self.description = description


def _seconds(name: str, default: float, low: float, high: float, description: str) -> SettingSpec:
    return SettingSpec(name, float, default, description, "seconds", low, high)


def _fraction(name: str, default: float, description: str) -> SettingSpec:
    return SettingSpec(name, float, default, description, "", 0.0, 1.0)


SPECS: tuple[SettingSpec, ...] = (
    _seconds("grant_seconds", 15.0, 2.0, 300.0, "Time an agent may run a task without renewal."),
    _seconds("stop_seconds", 5.0, 0.5, 60.0, "Time a worker needs at most to stop a task."),
    _seconds(
        "outage_hold_seconds",
        600.0,
        10.0,
        7200.0,
        "Time an owner goes on renewing grants while the store is unreachable.",
    ),
    _seconds(
        "key_window_seconds", 600.0, 30.0, 7200.0, "Time the outcome of a keyed request is kept."
    ),
    _seconds("min_run_seconds", 30.0, 0.0, 3600.0, "Time a task runs before it may be evicted."),
    SettingSpec("draining", list, [], "Ids of agents that are to leave."),
    SettingSpec(
        "request_timeout_ms",
        int,
        2000,
        "Timeout of a request that states none.",
        "milliseconds",
        10,
        60_000,
    ),
    SettingSpec(
        "commit_interval_ms",
        int,
        20,
        "Time over which job changes are committed together.",
        "milliseconds",
        1,
        2000,
    ),
    SettingSpec("entry_fanout", int, 3, "Entries that an agent announces itself to.", "", 1, 16),
    _fraction("retry_budget", 0.2, "Retries as a share of requests."),
    _fraction("max_ejected", 0.34, "Largest share of a service's targets set aside at once."),
    _fraction("headroom", 0.1, "Share of a worker's processors kept free of batch tasks."),
    SettingSpec(
        "evictions_per_minute", int, 6, "Most evictions from one worker.", "per minute", 0, 600
    ),
    _fraction("tail_latency_weight", 0.5, "Weight of tail latency in decisions."),
    _fraction("throughput_weight", 0.3, "Weight of batch throughput in decisions."),
    _fraction("eviction_weight", 0.2, "Weight of evictions in decisions."),
    SettingSpec(
        "team_quotas", dict, {}, "Cores each team may use; no limit if absent.", "cores", 0, None
    ),
    SettingSpec(
        "log_level",
        str,
        "",
        "Least severe level that is logged; empty for the level of the settings file.",
        choices=("", "debug", "info", "warning", "error"),
    ),
)

SPEC_BY_NAME: dict[str, SettingSpec] = {spec.name: spec for spec in SPECS}


class EffectiveSettings:
    """Values in force at one path, as attributes named after the keys.

    Parameters
    ----------
    values
        Values by key; keys of a newer version are ignored, missing keys take their defaults.
    revision
        Revision of the tree the values come from.
    """

    __slots__ = ("values", "revision")

    def __init__(self, values: dict[str, Any] | None = None, revision: int = 0) -> None:
        known = {name: value for name, value in (values or {}).items() if name in SPEC_BY_NAME}
        self.values = {spec.name: spec.default for spec in SPECS} | known
        self.revision = revision

    def __getattr__(self, name: str) -> Any:
        """Return the value of the key `name`."""
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(f"no setting {name!r}; see settings/schema.py") from None
