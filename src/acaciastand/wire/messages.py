"""All messages between entries and agents, and between entries.

The wire form of a message is its fields in slot order, so new fields go at the end and have a
default: a peer one version behind leaves them out, a peer one version ahead adds more.
"""

from __future__ import annotations

from acaciastand.wire.attempts import (
    AttemptReport,
    GrantAttempt,
    GrantReply,
    ReportConfirmed,
    StopAttempt,
)
from acaciastand.wire.membership import (
    Directory,
    Drain,
    Heartbeat,
    HeartbeatReply,
    Hello,
    SettingsUpdate,
    Welcome,
)
from acaciastand.wire.peers import Forward, ForwardReply, PeerHeartbeat, PeerHello
from acaciastand.wire.requests import Execute, ExecuteReply
from acaciastand.wire.runs import (
    EndsStored,
    OwnerHello,
    OwnerHelloReply,
    RunGrant,
    RunReply,
    RunReport,
    StartRun,
    StopRun,
)
from acaciastand.wire.values import (
    AttemptName,
    EntryAddress,
    HeldAttempt,
    Message,
    MessageValue,
    ShardEpoch,
)

__all__ = [
    "AttemptName",
    "AttemptReport",
    "Directory",
    "Drain",
    "EndsStored",
    "EntryAddress",
    "Execute",
    "ExecuteReply",
    "Forward",
    "ForwardReply",
    "GrantAttempt",
    "GrantReply",
    "Heartbeat",
    "HeartbeatReply",
    "HeldAttempt",
    "Hello",
    "MESSAGE_TYPES",
    "Message",
    "OwnerHello",
    "OwnerHelloReply",
    "PROTOCOL_VERSION",
    "MessageValue",
    "PeerHeartbeat",
    "PeerHello",
    "ReportConfirmed",
    "RunGrant",
    "RunReply",
    "RunReport",
    "SettingsUpdate",
    "ShardEpoch",
    "StartRun",
    "StopAttempt",
    "StopRun",
    "Welcome",
]

PROTOCOL_VERSION = 1

MESSAGE_TYPES: dict[int, type[Message]] = {
    cls.type_number: cls
    for cls in (
        Hello,
        Welcome,
        Directory,
        Heartbeat,
        HeartbeatReply,
        Execute,
        ExecuteReply,
        GrantAttempt,
        GrantReply,
        StopAttempt,
        AttemptReport,
        ReportConfirmed,
        SettingsUpdate,
        Drain,
        PeerHello,
        PeerHeartbeat,
        Forward,
        ForwardReply,
        OwnerHello,
        OwnerHelloReply,
        RunReport,
        RunGrant,
        EndsStored,
        StartRun,
        StopRun,
        RunReply,
    )
}
