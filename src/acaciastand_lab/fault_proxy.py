"""TCP proxy on loopback whose connections can be delayed, reset, silenced, muted or cut one way."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from acaciastand.wire.connection import split_address

READ_BYTES = 64 << 10


class _Pair:
    """A connection to the proxy and the one behind it.

    Attributes
    ----------
    is_mute
        Whether all further bytes are lost while both connections stay open.
    """

    __slots__ = ("near", "far", "is_mute")

    def __init__(self, near: Any, far: Any) -> None:
        self.near = near
        self.far = far
        self.is_mute = False

    def close(self) -> None:
        """Close both connections."""
        self.near.close()
        self.far.close()


class FaultProxy:
    """Passes bytes to `target`.

    Attributes
    ----------
    target
        ``ip:port`` behind the proxy.
    forward, backward
        Set while bytes towards the target, and back, pass; cleared ones are held up.
    delay_seconds
        Time that each piece is held up.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.forward = Event()
        self.backward = Event()
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
        self.forward.set()
        self.backward.set()

    def silence(self, forward: bool = True, backward: bool = True) -> None:
        """Hold up all bytes in the named directions, of new connections too."""
        if forward:
            self.forward.clear()
        if backward:
            self.backward.clear()

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
            gevent.spawn(self._pass, pair, near, far, self.forward),
            gevent.spawn(self._pass, pair, far, near, self.backward),
        ]
        gevent.joinall(loops, count=1)
        gevent.killall(loops, block=False)
        self.pairs.discard(pair)
        pair.close()

    def _pass(self, pair: _Pair, source: Any, sink: Any, gate: Event) -> None:
        with suppress(OSError):
            while data := source.recv(READ_BYTES):
                if self.delay_seconds:
                    gevent.sleep(self.delay_seconds)
                gate.wait()
                if not pair.is_mute:
                    sink.sendall(data)
