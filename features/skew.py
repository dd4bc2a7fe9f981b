"""Frames of other protocol versions."""

import cbor2

from acaciastand.wire.messages import PROTOCOL_VERSION, HeartbeatReply, Hello

# A process one version behind lacks the newest field of these messages.
NEWEST_FIELD = {message.type_number for message in (Hello, HeartbeatReply)}


def of_version(data, version):
    """Return a frame as a process of protocol version `version` would send it."""
    _, type_number, *rest = cbor2.loads(data)
    if version < PROTOCOL_VERSION and type_number in NEWEST_FIELD:
        rest = rest[:-1]
    if version > PROTOCOL_VERSION:
        rest = [*rest, "field of a newer version"]
    return cbor2.dumps([version, type_number, *rest])
