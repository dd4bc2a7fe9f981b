"""Digests of held attempts, which replace the lists in heartbeats while nothing changes.

An entry remembers the last list of each connection. The agent sends a digest only for a set that
the entry has confirmed to know; the entry expands it to the remembered list and decides as if the
list had been sent. A reply renews by digest only when it renews everything that may be renewed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b

import cbor2

from acaciastand.record import Record
from acaciastand.wire.messages import (
    AttemptName,
    Heartbeat,
    HeartbeatReply,
    HeldAttempt,
    ShardEpoch,
)

DIGEST_BYTES = 8
KEPT_UNANSWERED = 8  # heartbeats of a connection whose replies can still be applied
ENDED_STATE = "ended"  # acaciastand.host.AttemptState.ENDED on the wire


def attempt_list_digest(attempts: Iterable[HeldAttempt]) -> int:
    """Return a stable digest of everything that an owner reads in a list; never 0."""
    rows = sorted(
        [i.task_id, i.attempt, i.shard, i.epoch, str(i.state) == ENDED_STATE] for i in attempts
    )
    return int.from_bytes(blake2b(cbor2.dumps(rows), digest_size=DIGEST_BYTES).digest()) or 1


def renewable(attempts: Iterable[HeldAttempt], owned: Iterable[ShardEpoch]) -> list[AttemptName]:
    """Return the attempts that the owner of `owned` may renew: all of its shards that run."""
    shards = {item.shard for item in owned}
    return [
        AttemptName(item.task_id, item.attempt)
        for item in attempts
        if item.shard in shards and str(item.state) != ENDED_STATE
    ]


class SentAttemptLists:
    """The agent's end of one connection: what its heartbeats listed.

    Attributes
    ----------
    known
        Digest of the list that the entry has confirmed to know; 0 for none.
    """

    __slots__ = ("known", "_sent")

    def __init__(self) -> None:
        self.known = 0
        self._sent: OrderedDict[int, _Sent] = OrderedDict()

    def abbreviate(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return the heartbeat to send: with a digest when the entry knows the list."""
        sent = _Sent(heartbeat.attempts, attempt_list_digest(heartbeat.attempts))
        self._sent[heartbeat.sequence] = sent
        while len(self._sent) > KEPT_UNANSWERED:
            self._sent.popitem(last=False)
        if not heartbeat.attempts or sent.digest != self.known:
            return heartbeat
        return heartbeat.replace(attempts=[], digest=self.known)

    def renewed(self, reply: HeartbeatReply) -> list[AttemptName]:
        """Return what a reply renews: at most what was held when its heartbeat was sent."""
        sent = self._sent.pop(reply.sequence, None)
        if sent is None:
            return []
        self.known = sent.digest if reply.knows_held else 0
        if not reply.renewed_digest:
            return reply.renewed
        if reply.renewed_digest != sent.digest:
            return []
        return renewable(sent.attempts, reply.owned_shards)


class KnownAttemptList:
    """The entry's end of one connection: the last list of the agent."""

    __slots__ = ("attempts", "_digest")

    def __init__(self) -> None:
        self.attempts: list[HeldAttempt] = []
        self._digest = 0

    def knows(self, heartbeat: Heartbeat) -> bool:
        """Return whether the heartbeat has its list or the digest of the remembered one."""
        if not heartbeat.digest:
            return True
        # Computed on demand: while tasks are short, lists change before their digest is needed.
        self._digest = self._digest or attempt_list_digest(self.attempts)
        return heartbeat.digest == self._digest

    def expand(self, heartbeat: Heartbeat) -> bool:
        """Put the list in place of the digest; return False when the list has to be sent."""
        if not self.knows(heartbeat):
            return False
        if heartbeat.digest:
            heartbeat.attempts = self.attempts
        else:
            self.attempts, self._digest = heartbeat.attempts, 0
        return True

    def abbreviate(self, heartbeat: Heartbeat, reply: HeartbeatReply) -> HeartbeatReply:
        """Return the reply to an expanded heartbeat, with a digest if that says the same."""
        reply.knows_held = True
        if not heartbeat.digest or not reply.renewed:
            return reply  # without a digest the agent may be of an earlier version
        everything = renewable(self.attempts, reply.owned_shards)
        if _as_set(reply.renewed) == _as_set(everything):
            reply.renewed_digest = heartbeat.digest
            reply.renewed = []
        return reply


def _as_set(names: list[AttemptName]) -> set[tuple[str, int]]:
    return {(name.task_id, name.attempt) for name in names}


class _Sent(Record):
    """A list and its digest."""

    __slots__ = ("attempts", "digest")

    def __init__(self, attempts: list[HeldAttempt], digest: int) -> None:
        self.attempts = attempts
        self.digest = digest
