"""msgpack streams between entry hosts."""

import collections
import hmac
import logging

import eventlet
from eventlet.green import socket

from kumquatspur.border import peer_codec
from kumquatspur.core import events, messages
from kumquatspur.core.records import Address

_log = logging.getLogger(__name__)

READ_BYTES = 65536
MAX_QUEUED_BYTES = 8 * 1024 * 1024
CONNECT_S = 0.5
HANDSHAKE_S = 2.0
MIN_RECONNECT_S = 0.2


class OutboundStream:
    """A stream that this node opened to a peer.

    Attributes:
        peer: The peer's name.
        address: Where it listens.
    """

    def __init__(self, peer: str, address: Address, hello: bytes, deliver):
        self.peer = peer
        self.address = address
        self._hello = hello
        self._deliver = deliver
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._wake = eventlet.semaphore.Semaphore(0)
        self.closed = False
        eventlet.spawn(self._run)

    def send(self, frame: bytes) -> None:
        """Queues a frame; closes the stream if the peer does not read."""
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.closed = True
        if len(self._queue) == 1:
            self._wake.release()

    def _run(self) -> None:
        try:
            connection = socket.create_connection(
                (self.address.host, self.address.port), CONNECT_S
            )
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(self._hello)
            self._write(connection)
        except OSError as error:
            _log.info(
                "peer stream broke",
                extra={"peer": self.peer, "error": str(error)},
            )
        self.closed = True
        self._deliver(events.PeerLost(self.peer))

    def _write(self, connection) -> None:
        while not self.closed:
            self._wake.acquire()
            data = b"".join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            connection.sendall(data)


class PeerStreams:
    """All streams of one node.

    Each node sends over the streams that it opened and receives over those
    that its peers opened.
    """

    def __init__(self, settings, incarnation: int, deliver):
        self.settings = settings
        self._deliver = deliver
        self._outbound = {}
        self._retry_at = {}
        self._hello = peer_codec.encode(
            messages.Hello(
                settings.name,
                settings.zone,
                incarnation,
                settings.peer_key,
                settings.peer.address(),
            )
        )

    def send(self, peer: str, address: Address, message, now: float) -> bool:
        """Sends a message, opening a stream if there is none.

        Args:
            peer: The peer's name.
            address: Where it listens.
            message: One of `kumquatspur.core.messages`.
            now: The current time.

        Returns:
            False if the peer could not be reached a moment ago.
        """
        stream = self._outbound.get(peer)
        if stream is None or stream.closed or stream.address != address:
            if now < self._retry_at.get(peer, 0.0):
                return False
            self._retry_at[peer] = now + MIN_RECONNECT_S
            stream = OutboundStream(peer, address, self._hello, self._deliver)
            self._outbound[peer] = stream
        stream.send(peer_codec.encode(message))
        return True

    def serve(self, listener) -> None:
        """Accepts streams for ever."""
        while True:
            connection, _ = listener.accept()
            eventlet.spawn_n(self._receive, connection)

    def _receive(self, connection) -> None:
        connection.settimeout(HANDSHAKE_S)
        unpacker = peer_codec.new_unpacker()
        peer = ""
        try:
            while data := connection.recv(READ_BYTES):
                unpacker.feed(data)
                for frame in unpacker:
                    message = peer_codec.decode(frame)
                    if peer:
                        self._deliver(events.PeerMessageReceived(peer, message))
                        continue
                    peer = self._authenticate(message)
                    connection.settimeout(None)
        except (OSError, ValueError, peer_codec.CodecError) as error:
            _log.warning(
                "peer stream closed", extra={"peer": peer, "error": str(error)}
            )
        finally:
            connection.close()

    def _authenticate(self, message) -> str:
        if not isinstance(message, messages.Hello) or not hmac.compare_digest(
            message.key.encode(), self.settings.peer_key.encode()
        ):
            raise peer_codec.CodecError("handshake rejected")
        return message.name
