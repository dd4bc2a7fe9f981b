"""Routing of requests with an idempotency key to the home of the key's bucket (design.md 3.4)."""

from __future__ import annotations

import zlib

from acaciastand.record import Record

BUCKETS_PER_SERVICE = 32
BUCKET_PREFIX = "bucket/"
MAX_HOMES = BUCKETS_PER_SERVICE * 1024  # Buckets known to one entry: those of 1,024 services.


class BucketName(Record):
    """One bucket of a service's idempotency keys."""

    __slots__ = ("service", "number")

    def __init__(self, service: str, number: int) -> None:
        self.service = service
        self.number = number

    @property
    def task_id(self) -> str:
        """Id of the task under which the bucket is granted to its home."""
        return f"{BUCKET_PREFIX}{self.service}/{self.number}"

    @classmethod
    def parse(cls, task_id: str) -> BucketName | None:
        """Return the bucket of a task id; None for a task that is not a bucket."""
        if not task_id.startswith(BUCKET_PREFIX):
            return None
        service, _, number = task_id.removeprefix(BUCKET_PREFIX).rpartition("/")
        if not service or not number.isdecimal() or int(number) >= BUCKETS_PER_SERVICE:
            return None
        return cls(service, int(number))


def bucket_of(service: str, key: str) -> BucketName:
    """Return the bucket that holds `key`."""
    return BucketName(service, zlib.crc32(key.encode()) % BUCKETS_PER_SERVICE)


class BucketHomes:
    """Homes of the buckets that agents announce.

    The home of a bucket is the agent that announces it with the highest attempt number. A stale
    announcement is harmless, because an agent refuses requests for buckets that it does not hold.
    """

    def __init__(self) -> None:
        self._announced: dict[str, dict[str, int]] = {}  # Attempt by agent id and task id.
        self._homes: dict[str, dict[str, int]] = {}  # Attempt by task id and agent id.

    def __len__(self) -> int:
        return len(self._homes)

    def announce(self, agent_id: str, attempts: dict[str, int]) -> None:
        """Replace the buckets that an agent announces.

        Parameters
        ----------
        attempts
            Attempt numbers by task id. Tasks that are not buckets are ignored, and so are further
            buckets when `MAX_HOMES` are known.
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
        """Forget the buckets that an agent announced."""
        for task_id in self._announced.pop(agent_id, {}):
            attempts_by_agent = self._homes[task_id]
            del attempts_by_agent[agent_id]
            if not attempts_by_agent:
                del self._homes[task_id]

    def home_of(self, service: str, key: str) -> str | None:
        """Return the agent that is the home of the key's bucket; None when it is unknown."""
        attempts_by_agent = self._homes.get(bucket_of(service, key).task_id)
        if not attempts_by_agent:
            return None
        return max(attempts_by_agent, key=lambda agent_id: (attempts_by_agent[agent_id], agent_id))

    def bucket_masks(self) -> dict[str, int]:
        """Return the known buckets of each service as a bit mask, in which bit n is bucket n."""
        masks: dict[str, int] = {}
        for task_id in self._homes:
            bucket = BucketName.parse(task_id)
            if bucket is not None:
                masks[bucket.service] = masks.get(bucket.service, 0) | 1 << bucket.number
        return masks
