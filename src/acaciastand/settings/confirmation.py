"""Which revision every live process has confirmed, and which processes lag."""

from __future__ import annotations

from acaciastand.errors import Refused
from acaciastand.record import Record

MAX_PROCESSES = 20_000  # agents and peers of one entry
MAX_LISTED = 100  # lagging processes named in one report


class TooManyProcesses(Refused):
    """The entry already follows as many processes as it may."""

    code = "too_many_processes"


class Confirmed(Record):
    """The highest revision that one process has confirmed."""

    __slots__ = ("process_id", "revision", "reachable", "since")

    def __init__(self, process_id: str, revision: int, reachable: bool, since: float) -> None:
        self.process_id = process_id
        self.revision = revision
        self.reachable = reachable
        self.since = since


class InForce(Record):
    """What operators see about a revision.

    Parameters
    ----------
    revision
        Lowest revision of this process and all it can reach.
    lagging
        Ids of reachable processes below the own revision, at most `MAX_LISTED`.
    lagging_count
        How many there are.
    unreachable
        Ids of peers that were lost and whose revision is therefore not in force.
    """

    __slots__ = ("revision", "lagging", "lagging_count", "unreachable")

    def __init__(
        self, revision: int, lagging: list[str], lagging_count: int, unreachable: list[str]
    ) -> None:
        self.revision = revision
        self.lagging = lagging
        self.lagging_count = lagging_count
        self.unreachable = unreachable


class Confirmations:
    """Revisions confirmed by the agents and peers of one entry.

    A peer confirms the lowest revision of itself and its own agents.
    """

    __slots__ = ("_processes",)

    def __init__(self) -> None:
        self._processes: dict[str, Confirmed] = {}

    def join(self, process_id: str, revision: int, now: float) -> None:
        """Start to follow a process; its revision may be lower than before a restart.

        Raises
        ------
        TooManyProcesses
            `MAX_PROCESSES` are followed already.
        """
        if process_id not in self._processes and len(self._processes) >= MAX_PROCESSES:
            raise TooManyProcesses(
                f"this entry already follows {MAX_PROCESSES} processes", "connect to another entry"
            )
        self._processes[process_id] = Confirmed(process_id, revision, True, now)

    def confirm(self, process_id: str, revision: int) -> None:
        """Record a heartbeat's revision; lower ones and unknown processes are ignored.

        Hearing from a process that was lost shows that it is reachable.
        """
        process = self._processes.get(process_id)
        if process is not None:
            process.revision = max(process.revision, revision)
            process.reachable = True

    def lose(self, process_id: str, now: float) -> None:
        """Mark a process as unreachable but still part of the system."""
        process = self._processes.get(process_id)
        if process is not None and process.reachable:
            process.reachable = False
            process.since = now

    def leave(self, process_id: str) -> None:
        """Stop following a process that has ended or is no longer in the directory."""
        self._processes.pop(process_id, None)

    def in_force(self, own_revision: int) -> InForce:
        """Return the lowest revision in force and who lags behind `own_revision`."""
        reachable = [process for process in self._processes.values() if process.reachable]
        lowest = min((process.revision for process in reachable), default=own_revision)
        lagging = sorted(
            process.process_id for process in reachable if process.revision < own_revision
        )
        unreachable = sorted(
            process.process_id for process in self._processes.values() if not process.reachable
        )
        return InForce(
            min(lowest, own_revision), lagging[:MAX_LISTED], len(lagging), unreachable[:MAX_LISTED]
        )
