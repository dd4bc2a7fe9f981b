"""TCP proxy on loopback whose connections can be delayed, reset, silenced, muted or cut one way."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import cbor2
import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from websockets.frames import Frame
from websockets.streams import StreamReader

from acaciastand.wire.connection import split_address

READ_BYTES = 64 << 10


class _Pair:
    """A connection to the proxy and the one behind it.

    Attributes
    ----------
    is_upgraded
        Whether the caller has sent the request that opens a WebSocket.
    unparsed
        What the caller has sent on the WebSocket while its first message is not complete.
    hello
        First message of the caller on the WebSocket; it names an owner or an entry.
    is_mute
        Whether all further bytes are lost while both connections stay open.
    """

    __slots__ = ("near", "far", "is_upgraded", "unparsed", "hello", "is_mute")

    def __init__(self, near: Any, far: Any) -> None:
        self.near = near
        self.far = far
        self.is_upgraded = False
        self.unparsed = b""
        self.hello = b""
        self.is_mute = False

    def identify_caller(self, data: bytes) -> None:
        """Look for the first message of the caller in a piece that it has sent."""
        if b"Upgrade: websocket" in data:
            self.is_upgraded = True
        elif self.is_upgraded and not self.hello:
            self.unparsed += data
            self.hello = _first_payload(self.unparsed)

    def close(self) -> None:
        """Close both connections."""
        self.near.close()
        self.far.close()


class Gates:
    """Whether bytes pass.

    Attributes
    ----------
    forward, backward
        Set while bytes towards the target, and back, pass; cleared ones are held up.
    """

    __slots__ = ("forward", "backward")

    def __init__(self) -> None:
        self.forward = Event()
        self.backward = Event()
        self.open()

    def open(self) -> None:
        """Let everything pass."""
        self.forward.set()
        self.backward.set()

    def both(self) -> tuple[Event, Event]:
        """Return the gate towards the target and the one back."""
        return self.forward, self.backward

    def close(self, forward: bool, backward: bool) -> None:
        """Hold up all bytes in the named directions."""
        if forward:
            self.forward.clear()
        if backward:
            self.backward.clear()


class FaultProxy:
    """Passes bytes to `target`.

    Attributes
    ----------
    target
        ``ip:port`` behind the proxy.
    gates
        Gates of all connections.
    gates_by_caller
        Further gates of the connections whose first message contains the name of a caller.
    delay_seconds
        Time that each piece is held up.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.gates = Gates()
        self.gates_by_caller: dict[str, Gates] = {}
        self.delay_seconds = 0.0
        self.pairs: set[_Pair] = set()
        self.server = StreamServer(("127.0.0.1", 0), self._accept)
        self.heal()

    @property
    def address(self) -> str:
        """Address that the proxy is bound to."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def start(self) -> None:
        """Bind and pass connections."""
        self.server.start()

    def stop(self) -> None:
        """Close everything."""
        self.reset()
        self.server.stop(0.1)

    def heal(self) -> None:
        """Let everything pass again."""
        self.delay_seconds = 0.0
        for gates in (self.gates, *self.gates_by_caller.values()):
            gates.open()

    def silence(self, forward: bool = True, backward: bool = True, caller: str = "") -> None:
        """Hold up all bytes in the named directions, of new connections too.

        With a `caller`, only the connections whose first message contains its name are held up.
        """
        self.gates_of_caller(caller).close(forward, backward)

    def gates_of_caller(self, caller: str = "") -> Gates:
        """Return the gates of the connections of a caller, or those of all connections."""
        return self.gates_by_caller.setdefault(caller, Gates()) if caller else self.gates

    def mute(self) -> None:
        """Lose all further bytes of the connections that are open now; new ones pass."""
        for pair in self.pairs:
            pair.is_mute = True

    def reset(self) -> None:
        """Break all open connections."""
        for pair in list(self.pairs):
            pair.close()

    def _accept(self, near: Any, _address: Any) -> None:
        try:
            far = socket.create_connection(split_address(self.target), 2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(near, far)
        self.pairs.add(pair)
        loops = [
            gevent.spawn(self._pass, pair, near, far, True),
            gevent.spawn(self._pass, pair, far, near, False),
        ]
        gevent.joinall(loops, count=1)
        gevent.killall(loops, block=False)
        self.pairs.discard(pair)
        pair.close()

    def _pass(self, pair: _Pair, source: Any, sink: Any, is_forward: bool) -> None:
        with suppress(OSError):
            while data := source.recv(READ_BYTES):
                if is_forward:
                    pair.identify_caller(data)
                if self.delay_seconds:
                    gevent.sleep(self.delay_seconds)
                for gates in self._gates_of(pair):
                    (gates.forward if is_forward else gates.backward).wait()
                if not pair.is_mute:
                    sink.sendall(data)

    def _gates_of(self, pair: _Pair) -> list[Gates]:
        """Return the gates of a connection."""
        # The encoded text begins with its length, so that "entry-1" is not found in "entry-10".
        own = [g for name, g in self.gates_by_caller.items() if cbor2.dumps(name) in pair.hello]
        return [self.gates, *own]


def _first_payload(data: bytes) -> bytes:
    """Return the payload of the WebSocket frame at the start of `data`; empty if it is cut."""
    reader = StreamReader()
    reader.feed_data(data)
    try:
        next(Frame.parse(reader.read_exact, mask=True))
    except StopIteration as parsed:
        return bytes(parsed.value.data)
    return b""
