"""Routing of keyed requests to the home of the key's bucket (design.md 3.4)."""

from __future__ import annotations

import zlib

from acaciastand.record import Record

BUCKETS = 32
BUCKET_PREFIX = "bucket/"
MAX_HOMES = BUCKETS * 1024  # buckets known to one entry; 1,024 services


class BucketName(Record):
    """One bucket of a service's keys."""

    __slots__ = ("service", "number")

    def __init__(self, service: str, number: int) -> None:
        self.service = service
        self.number = number

    @property
    def task_id(self) -> str:
        """Task id under which the bucket is granted."""
        return f"{BUCKET_PREFIX}{self.service}/{self.number}"

    @classmethod
    def parse(cls, task_id: str) -> BucketName | None:
        """Return the bucket of a task id; None for other tasks."""
        if not task_id.startswith(BUCKET_PREFIX):
            return None
        service, _, number = task_id.removeprefix(BUCKET_PREFIX).rpartition("/")
        if not service or not number.isdecimal() or int(number) >= BUCKETS:
            return None
        return cls(service, int(number))


def bucket_of(service: str, key: str) -> BucketName:
    """Return the bucket that holds `key`."""
    return BucketName(service, zlib.crc32(key.encode()) % BUCKETS)


class BucketHomes:
    """The buckets that agents announce; the highest attempt is the home.

    A stale announcement is harmless: the agent refuses requests for buckets that it does not hold.
    """

    def __init__(self) -> None:
        self._announced: dict[str, dict[str, int]] = {}  # agent id -> task id -> attempt
        self._homes: dict[str, dict[str, int]] = {}  # task id -> agent id -> attempt

    def __len__(self) -> int:
        return len(self._homes)

    def announce(self, agent_id: str, attempts: dict[str, int]) -> None:
        """Replace what `agent_id` announces.

        Parameters
        ----------
        attempts
            Attempt numbers by task id; tasks that are not buckets are ignored, and so are buckets
            beyond `MAX_HOMES`.
        """
        self.remove(agent_id)
        announced = self._announced.setdefault(agent_id, {})
        for task_id, attempt in attempts.items():
            if BucketName.parse(task_id) is None:
                continue
            if task_id not in self._homes and len(self._homes) >= MAX_HOMES:
                continue
            announced[task_id] = attempt
            self._homes.setdefault(task_id, {})[agent_id] = attempt

    def remove(self, agent_id: str) -> None:
        """Forget what `agent_id` announced."""
        for task_id in self._announced.pop(agent_id, {}):
            attempts_by_agent = self._homes[task_id]
            del attempts_by_agent[agent_id]
            if not attempts_by_agent:
                del self._homes[task_id]

    def home_of(self, service: str, key: str) -> str | None:
        """Return the agent that announces the key's bucket with the highest attempt."""
        attempts_by_agent = self._homes.get(bucket_of(service, key).task_id)
        if not attempts_by_agent:
            return None
        return max(attempts_by_agent, key=lambda agent_id: (attempts_by_agent[agent_id], agent_id))

    def bucket_masks(self) -> dict[str, int]:
        """Return, by service, the known buckets as bits of a number."""
        masks: dict[str, int] = {}
        for task_id in self._homes:
            bucket = BucketName.parse(task_id)
            if bucket is not None:
                masks[bucket.service] = masks.get(bucket.service, 0) | 1 << bucket.number
        return masks
