"""Calls on jobs, answered here or by the entry that owns the job's shard."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any, Protocol

from acaciastand.entry.peers import Peer, Peers
from acaciastand.errors import InvalidInput, Refused
from acaciastand.reasons import Reason
from acaciastand.routing import Deadline
from acaciastand.telemetry import Counters
from acaciastand.wire.messages import ShardEpoch

QUERY = "query_job"
CANCEL = "cancel_job"
SUBMIT = "submit_job"


class NoOwner(Refused):
    """No reachable entry owns the shard at this moment."""

    code = str(Reason.NO_OWNER)


class JobOwner(Protocol):
    """The shards that this entry owns."""

    def owned_shards(self) -> list[ShardEpoch]:
        """Return the shards with their epochs."""

    def submit_job(self, payload: dict[str, Any], key: str, deadline: float) -> dict[str, Any]:
        """Return the accepted job once it is committed."""

    def query_job(self, job_id: str) -> dict[str, Any]:
        """Return the state of a job."""

    def cancel_job(self, job_id: str) -> dict[str, Any]:
        """Cancel a job and return its state."""


def shard_of_job(job_id: str) -> int:
    """Return the shard in a job id, ``j<shard>-...``.

    Raises
    ------
    InvalidInput
        This is no job id.
    """
    number = job_id.partition("-")[0].removeprefix("j")
    if not job_id.startswith("j") or not (number.isascii() and number.isdecimal()):
        raise InvalidInput(f"{job_id[:80]!r} is no job id", "use the id from the submission")
    return int(number)


def shard_of_key(key: str, shards: int) -> int:
    """Return the shard of all submissions with `key`, so that a repeated one finds the first."""
    return zlib.crc32(key.encode()) % shards


class JobCalls:
    """Finds the owner and makes the call there.

    Parameters
    ----------
    shards
        Number of shards.
    clock
        Seconds of the monotonic clock.
    """

    def __init__(
        self,
        owner: JobOwner,
        peers: Peers,
        shards: int,
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self.owner = owner
        self.peers = peers
        self.shards = shards
        self.counters = counters
        self.clock = clock

    def submit(self, payload: dict[str, Any], key: str, deadline: Deadline) -> dict[str, Any]:
        """Submit a job; with a key, always to the same shard."""
        if self._submits_here(key):
            return self.owner.submit_job(payload, key, deadline.expires_at)
        peer = self._owner_of_submission(key)
        arguments = {"payload": payload, "key": key}
        return self.peers.call(peer, SUBMIT, arguments, deadline.remaining_seconds(self.clock()))

    def query(self, job_id: str, deadline: Deadline) -> dict[str, Any]:
        """Return the state of a job."""
        return self._on_job(QUERY, job_id, deadline)

    def cancel(self, job_id: str, deadline: Deadline) -> dict[str, Any]:
        """Cancel a job."""
        return self._on_job(CANCEL, job_id, deadline)

    def answer(self, call: str, payload: dict[str, Any], timeout_seconds: float) -> dict[str, Any]:
        """Handle a call that another entry forwarded; it is not forwarded again."""
        if call == SUBMIT:
            arguments, key = payload.get("payload"), payload.get("key")
            if not isinstance(arguments, dict) or not isinstance(key, str):
                raise InvalidInput("the job is missing", "upgrade one version at a time")
            return self.owner.submit_job(arguments, key, self.clock() + timeout_seconds)
        return self._local(call, str(payload.get("job_id")))

    def _on_job(self, call: str, job_id: str, deadline: Deadline) -> dict[str, Any]:
        shard = shard_of_job(job_id)
        if self._owns(shard):
            return self._local(call, job_id)
        peer = self._peer(shard)
        remaining = deadline.remaining_seconds(self.clock())
        return self.peers.call(peer, call, {"job_id": job_id}, remaining)

    def _local(self, call: str, job_id: str) -> dict[str, Any]:
        handler = self.owner.query_job if call == QUERY else self.owner.cancel_job
        return handler(job_id)

    def _owns(self, shard: int) -> bool:
        return any(owned.shard == shard for owned in self.owner.owned_shards())

    def _submits_here(self, key: str) -> bool:
        if key:
            return self._owns(shard_of_key(key, self.shards))
        return bool(self.owner.owned_shards())

    def _owner_of_submission(self, key: str) -> Peer:
        if key:
            return self._peer(shard_of_key(key, self.shards))
        for peer in self.peers.connected():
            if peer.heartbeat.owned_shards:
                return peer
        raise self._no_owner("of any shard")

    def _peer(self, shard: int) -> Peer:
        peer = self.peers.owner_of(shard)
        if peer is None:
            raise self._no_owner(f"of shard {shard}")
        return peer

    def _no_owner(self, what: str) -> NoOwner:
        self.counters.increment(f"refused.{Reason.NO_OWNER}")
        return NoOwner(f"no owner {what} can be reached", "send it again in some seconds")
