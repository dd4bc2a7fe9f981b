"""The example settings files of the two firms, with addresses replaced by loopback ones."""

from __future__ import annotations

import itertools
import tomllib
from pathlib import Path
from typing import Any

EXAMPLES = Path("examples")
FIRMS = ("maison-reprise", "blue-mahoe")
WORKER_SIZES = {"maison-reprise": (32, 125_000), "blue-mahoe": (16, 60_000)}  # cores, megabytes


class Firm:
    """Settings files of one firm.

    Attributes
    ----------
    entries, agents
        Contents of the settings files; agents take turns over the availability zones.
    tree_file
        Initial settings tree.
    """

    def __init__(self, name: str) -> None:
        folder = EXAMPLES / name
        self.name = name
        self.cores, self.memory_mb = WORKER_SIZES[name]
        self.tree_file = folder / "tree.toml"
        self.entries = [_load(path) for path in sorted(folder.glob("entry-*.toml"))]
        agents = [_load(path) for path in sorted(folder.glob("agent-*.toml"))]
        self.agents = _in_turn(agents)

    @property
    def region_path(self) -> str:
        """Path of the firm's region in the settings tree."""
        return "/".join(self.entries[0]["path"].split("/")[:2])

    @property
    def service(self) -> str:
        """The service that all targets of the firm run."""
        return self.agents[0]["services"][0]


def _load(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text(encoding="utf-8"))


def _in_turn(agents: list[dict[str, Any]]) -> list[dict[str, Any]]:
    by_zone: dict[str, list[dict[str, Any]]] = {}
    for agent in agents:
        by_zone.setdefault(agent["availability_zone"], []).append(agent)
    rows = itertools.zip_longest(*by_zone.values())
    return [agent for row in rows for agent in row if agent is not None]
