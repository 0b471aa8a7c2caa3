"""msgpack streams between entry hosts.

Each node sends over the streams that it opened and receives over those that
its peers opened. The receiver acknowledges frames on the same stream, so that
the sender detects a stream that has stalled.
"""

import collections
import contextlib
import hmac
import logging
import random
import time

import eventlet
import msgpack
from eventlet.green import socket

from kumquatspur.border import peer_codec
from kumquatspur.core import events, messages
from kumquatspur.core.records import Address
from kumquatspur.policy.stream_health import ReconnectBackoff, StreamHealth
from kumquatspur.wire.turns import give_turn

_log = logging.getLogger(__name__)

READ_BYTES = 65536
MAX_QUEUED_BYTES = 8 * 1024 * 1024
MAX_HELLO_BYTES = 4096
CONNECT_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 2.0
SWEEP_INTERVAL_S = 0.1
ACCEPT_RETRY_DELAY_S = 0.1
# An outbound stream has stalled if nothing was acknowledged for this share of
# the suspicion timeout (timing.suspect_s).
STALL_SHARE = 0.5
# Read timeout of an inbound stream, as a multiple of the suspicion timeout.
INBOUND_TIMEOUT_FACTOR = 2.0

_STREAM_ERRORS = (
    OSError,
    EOFError,
    ValueError,
    msgpack.UnpackException,
    peer_codec.CodecError,
)


class OutboundStream:
    """A stream that this node opened to a peer.

    Attributes:
        peer: The peer's name.
        address: Where the peer listens.
        health: Frames sent and acknowledged.
        closed: Whether the stream was closed.
    """

    def __init__(self, peer: str, address: Address, hello: bytes, on_end):
        self.peer = peer
        self.address = address
        self.health = StreamHealth()
        self.closed = False
        self._hello = hello
        self._on_end = on_end
        self._queue = collections.deque()
        self._queued_bytes = 0
        self._wake = eventlet.semaphore.Semaphore(0)
        self._connection = None
        self._writer = eventlet.spawn(self._run)

    def send(self, frame: bytes, now: float) -> None:
        """Queues a frame; closes the stream if the queue is full."""
        self.health.on_sent(now)
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.close(f"more than {MAX_QUEUED_BYTES} bytes queued")
        elif len(self._queue) == 1:
            self._wake.release()

    def close(self, cause: str) -> None:
        """Closes the stream.

        Args:
            cause: The cause, for the log.
        """
        if self.closed:
            return
        self.closed = True
        if self._connection is not None:
            with contextlib.suppress(OSError):
                self._connection.shutdown(socket.SHUT_RDWR)
        # In a new green thread, because the caller may be the writer, which
        # _end kills.
        eventlet.spawn_n(self._end, cause)

    def _end(self, cause: str) -> None:
        self._writer.kill()
        if self._connection is not None:
            self._connection.close()
        self._on_end(self, cause)

    def _run(self) -> None:
        try:
            self._connection = socket.create_connection(
                (self.address.host, self.address.port), CONNECT_TIMEOUT_S
            )
            self._connection.settimeout(None)
            self._connection.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            eventlet.spawn_n(self._read, self._connection)
            self._connection.sendall(self._hello)
            self._write()
        except OSError as error:
            self.close(str(error))

    def _write(self) -> None:
        while not self.closed:
            self._wake.acquire()
            data = b"".join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            self._connection.sendall(data)

    def _read(self, connection) -> None:
        unpacker = peer_codec.new_unpacker()
        cause = "closed by the peer"
        try:
            while data := connection.recv(READ_BYTES):
                unpacker.feed(data)
                for frame in unpacker:
                    self._handle_acknowledgement(peer_codec.decode(frame))
                give_turn()
        except _STREAM_ERRORS as error:
            cause = str(error)
        self.close(cause)

    def _handle_acknowledgement(self, message) -> None:
        if not isinstance(message, messages.StreamAck):
            raise peer_codec.CodecError("frame is not an acknowledgement")
        self.health.on_acknowledged(message.received, time.monotonic())


class PeerStreams:
    """All streams of one node.

    Attributes:
        settings: The daemon's settings.
        counters: Counts of stream events by name.
        inbound: The open inbound connections.
    """

    def __init__(self, settings, incarnation: int, deliver, known_zone=None):
        self.settings = settings
        self.counters = collections.Counter()
        self.inbound = set()
        self._deliver = deliver
        self._known_zone = known_zone or (lambda name: None)
        self._rng = random.Random()
        self._outbound = {}
        self._backoff = collections.defaultdict(ReconnectBackoff)
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
            address: Where the peer listens.
            message: One of `kumquatspur.core.messages`.
            now: The current time.

        Returns:
            False if the backoff after a failed connection has not elapsed.
        """
        stream = self._outbound.get(peer)
        if stream is not None and stream.address != address:
            stream.close("the address of the peer has changed")
        if stream is None or stream.closed:
            if not self._backoff[peer].try_connect(now, self._rng):
                return False
            self.counters["peer_connects"] += 1
            stream = OutboundStream(peer, address, self._hello, self._on_end)
            self._outbound[peer] = stream
        frame = peer_codec.encode(message)
        self.counters["peer_bytes_sent"] += len(frame)
        stream.send(frame, now)
        return True

    def serve(self, listener) -> None:
        """Accepts streams; does not return."""
        eventlet.spawn_n(self._close_stalled)
        while True:
            try:
                connection, _ = listener.accept()
            except OSError as error:
                _log.warning("accept failed", extra={"error": str(error)})
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            eventlet.spawn_n(self._receive, connection)
            give_turn()

    def unacknowledged_frames(self) -> int:
        """Returns the number of unacknowledged frames on open streams."""
        return sum(
            stream.health.frames_sent - stream.health.acknowledged
            for stream in self._outbound.values()
            if not stream.closed
        )

    def _close_stalled(self) -> None:
        """Periodically closes streams whose receiver acknowledges nothing."""
        stall_s = self.settings.timing.suspect_s * STALL_SHARE
        while True:
            eventlet.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for stream in list(self._outbound.values()):
                if not stream.closed and stream.health.is_stalled(stall_s, now):
                    self.counters["peer_streams_silent"] += 1
                    stream.close(f"the stream went silent for {stall_s} s")
                elif stream.health.acknowledged:
                    self._backoff[stream.peer].reset()

    def _on_end(self, stream: OutboundStream, cause: str) -> None:
        if self._outbound.get(stream.peer) is stream:
            del self._outbound[stream.peer]
        fields = {"peer": stream.peer, "error": cause}
        _log.info("peer stream broke", extra=fields)
        idle_s = self.settings.timing.suspect_s
        if not stream.health.is_idle(idle_s, time.monotonic()):
            self._deliver(events.PeerLost(stream.peer))

    def _receive(self, connection) -> None:
        self.inbound.add(connection)
        peer = ""
        try:
            unpacker = peer_codec.new_unpacker()
            with eventlet.Timeout(
                HANDSHAKE_TIMEOUT_S, TimeoutError("no handshake in time")
            ):
                hello = _read_hello(connection, unpacker)
            self._authenticate(hello)
            peer = hello.name
            read_timeout_s = (
                self.settings.timing.suspect_s * INBOUND_TIMEOUT_FACTOR
            )
            connection.settimeout(read_timeout_s)
            self._handle_frames(connection, unpacker, hello)
        except _STREAM_ERRORS as error:
            self.counters["peer_streams_rejected"] += 1
            fields = {"peer": peer, "error": str(error)[:200]}
            _log.warning("peer stream closed", extra=fields)
        finally:
            self.inbound.discard(connection)
            connection.close()

    def _handle_frames(self, connection, unpacker, hello) -> None:
        received = 0
        while True:
            previously_received = received
            for frame in unpacker:
                message = peer_codec.decode(frame)
                _check_sender(hello, message)
                self._deliver(events.PeerMessageReceived(hello.name, message))
                received += 1
            if received > previously_received:
                acknowledgement = messages.StreamAck(received)
                connection.sendall(peer_codec.encode(acknowledgement))
            give_turn()
            data = connection.recv(READ_BYTES)
            if not data:
                return
            unpacker.feed(data)

    def _authenticate(self, hello) -> None:
        wanted = self.settings.peer_key.encode()
        given = hello.key.encode(errors="replace")
        if not hmac.compare_digest(given, wanted):
            raise peer_codec.CodecError("handshake rejected: wrong peer key")
        zone = self._known_zone(hello.name)
        if zone is not None and zone != hello.zone:
            raise peer_codec.CodecError(
                f"the name belongs to another zone: {zone!r}"
            )


def _read_hello(connection, unpacker):
    received = 0
    while received <= MAX_HELLO_BYTES:
        data = connection.recv(READ_BYTES)
        if not data:
            raise EOFError("connection closed before the handshake")
        received += len(data)
        unpacker.feed(data)
        for frame in unpacker:
            message = peer_codec.decode(frame)
            if isinstance(message, messages.Hello):
                return message
            raise peer_codec.CodecError("handshake rejected: other message")
    raise peer_codec.CodecError(
        f"the handshake is longer than {MAX_HELLO_BYTES} bytes"
    )


def _check_sender(hello, message) -> None:
    if not isinstance(message, messages.Heartbeat):
        return
    if (message.name, message.zone) != (hello.name, hello.zone):
        raise peer_codec.CodecError(
            f"heartbeat from {hello.name} names sender {message.name}"
        )
