"""A TCP proxy on loopback that harms the connections through it."""

import contextlib
import enum
import socket as plain_socket
import struct

import eventlet
from eventlet.green import socket

from kumquatspur.core.records import Address

READ_BYTES = 65536
HELD_POLL_S = 0.05


class Harm(enum.StrEnum):
    """What happens to the bytes."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    CUT_BACK = "cut_back"
    SILENT = "silent"


class Proxy:
    """Passes connections on to one address.

    Attributes:
        address: Where it listens.
        target: Where connections go.
        harm: What happens to the bytes now; RESET also refuses new connections.
        delay_s: How long bytes wait with DELAY, in seconds.
    """

    def __init__(self, target: Address):
        self.target = target
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self._connections = set()
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    def apply(self, harm: Harm, delay_s: float = 0.0) -> None:
        """Changes what happens to the bytes.

        Connections that were silenced stay so: what is between the two ends has
        lost track of them.

        Args:
            harm: What happens from now on.
            delay_s: How long bytes wait with DELAY, in seconds.
        """
        if self.harm in (Harm.SILENT, Harm.CUT_BACK):
            self._connections.clear()
        self.harm, self.delay_s = harm, delay_s
        if harm is Harm.RESET:
            for pair in list(self._connections):
                for sock in pair:
                    _reset(sock)
            self._connections.clear()

    def close(self) -> None:
        """Stops listening and resets all connections."""
        self._thread.kill()
        self._listener.close()
        self.apply(Harm.RESET)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self.harm is Harm.RESET:
                _reset(client)
                continue
            eventlet.spawn_n(self._connect, client)

    def _connect(self, client) -> None:
        try:
            server = socket.create_connection(
                (self.target.host, self.target.port), timeout=1.0
            )
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        pair = (client, server)
        self._connections.add(pair)
        eventlet.spawn_n(self._pump, client, server, pair, False)
        eventlet.spawn_n(self._pump, server, client, pair, True)

    def _pump(self, source, sink, pair, back: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                # A connection that is no longer known is silent for good.
                if self._is_held(back) or pair not in self._connections:
                    continue
                if self.harm is Harm.DELAY:
                    eventlet.sleep(self.delay_s)
                sink.sendall(data)
            while pair in self._connections and self._is_held(back):
                eventlet.sleep(HELD_POLL_S)
            if pair in self._connections:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            for sock in pair:
                _reset(sock)
            self._connections.discard(pair)

    def _is_held(self, back: bool) -> bool:
        cut = self.harm is Harm.CUT_BACK and back
        return cut or self.harm is Harm.SILENT


def _reset(sock) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_LINGER,
            struct.pack("ii", 1, 0),
        )
        sock.close()
