"""Kept connections to searchers, with one request at a time on each."""

import contextlib
import dataclasses
import errno
import math
import time

from eventlet import hubs
from eventlet.green import socket

from kumquatspur.core.records import Address
from kumquatspur.core.verdict import Verdict
from kumquatspur.wire.http_messages import (
    MessageError,
    RawMessage,
    ResponseReader,
)

READ_BYTES = 65536
# A connection in the same region opens in milliseconds; a lost packet costs
# more than another replica.
CONNECT_TIMEOUT_S = 0.25
# A kept connection is not used this close to its stated end.
IDLE_MARGIN_S = 1.0
# Idle time that is safe where a searcher states none.
DEFAULT_MAX_IDLE_S = 0.8
# Late responses to earlier requests that are skipped on one connection.
MAX_SKIPPED = 2


def monotonic_s() -> float:
    """Returns a clock in seconds that also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CallError(Exception):
    """A call that got no usable response.

    Attributes:
        verdict: Whether the searcher may have run the request.
        sent: Whether any byte may have reached the searcher.
        unresponsive: Whether the searcher did not react at all.
        connection_lost: Whether the connection was lost while the request was
            there.
        refused: Whether nothing listens at the address.
    """

    def __init__(
        self,
        message,
        sent=True,
        unresponsive=False,
        connection_lost=False,
        refused=False,
    ):
        super().__init__(message)
        self.verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        self.sent = sent
        self.unresponsive = unresponsive
        self.connection_lost = connection_lost
        self.refused = refused


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection to a searcher.

    Attributes:
        socket: The socket.
        idle_since: When its last response was complete.
        idle_limit_s: How long it may be idle.
    """

    socket: socket.socket
    idle_since: float
    idle_limit_s: float = DEFAULT_MAX_IDLE_S

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Returns whether it can carry a request.

        Args:
            now: Time of the steady clock.
            max_idle_s: How long it may have been idle at most.
        """
        if now - self.idle_since > min(self.idle_limit_s, max_idle_s):
            return False
        try:
            # Bytes without a request, or the end, make it useless.
            self.socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes it."""
        with contextlib.suppress(OSError):
            self.socket.close()


@dataclasses.dataclass(slots=True)
class _SearcherConnections:
    idle: list[Connection] = dataclasses.field(default_factory=list)
    open: int = 0


class SearcherPool:
    """Connections by searcher.

    Attributes:
        by_searcher: Idle connections and their number by searcher.
        opened: Connections opened since the start.
    """

    def __init__(self):
        self.by_searcher = {}
        self.opened = 0

    def call(
        self,
        searcher_id: str,
        address: Address,
        request: bytes,
        accepts,
        deadline: float,
        bodyless: bool = False,
        max_idle_s: float = math.inf,
    ) -> RawMessage:
        """Sends a request and returns its response.

        Args:
            searcher_id: The searcher.
            address: Where it listens.
            request: The bytes to send.
            accepts: Returns whether a response belongs to the request.
            deadline: When to give up, on the steady clock.
            bodyless: Whether the response has no body whatever it says.
            max_idle_s: How long a kept connection may have been idle.

        Returns:
            The whole response.

        Raises:
            CallError: No usable response.
        """
        connections = self.by_searcher.setdefault(
            searcher_id, _SearcherConnections()
        )
        connection = self._acquire(connections, address, deadline, max_idle_s)
        reusable = False
        try:
            message, reusable = _exchange(
                connection, request, accepts, deadline, bodyless
            )
            return message
        finally:
            # Also when the calling green thread is killed.
            if reusable:
                connections.idle.append(connection)
            else:
                connections.open -= 1
                connection.close()

    def prune(self, now: float, known) -> None:
        """Closes connections that are too old, or whose searcher is gone.

        Args:
            now: Time of the steady clock.
            known: Identifiers of the searchers that still exist.
        """
        for searcher_id, connections in list(self.by_searcher.items()):
            kept = []
            for connection in connections.idle:
                expired = now - connection.idle_since > connection.idle_limit_s
                if searcher_id in known and not expired:
                    kept.append(connection)
                else:
                    connections.open -= 1
                    connection.close()
            connections.idle = kept
            if not connections.open and searcher_id not in known:
                del self.by_searcher[searcher_id]

    def _acquire(
        self, connections, address, deadline, max_idle_s
    ) -> Connection:
        now = monotonic_s()
        while connections.idle:
            connection = connections.idle.pop()
            if connection.is_usable(now, max_idle_s):
                return connection
            connections.open -= 1
            connection.close()
        connections.open += 1
        try:
            connection = _connect(
                address, min(CONNECT_TIMEOUT_S, deadline - now)
            )
        except BaseException:
            connections.open -= 1
            raise
        self.opened += 1
        return connection


def _connect(address: Address, timeout_s: float) -> Connection:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(max(timeout_s, 0.001))
        sock.connect((address.host, address.port))
    except TimeoutError as error:
        sock.close()
        raise CallError(
            "connect timed out", False, unresponsive=True
        ) from error
    except OSError as error:
        sock.close()
        reason = errno.errorcode.get(error.errno, str(error))
        refused = error.errno == errno.ECONNREFUSED
        raise CallError(f"connect: {reason}", False, refused=refused) from error
    except BaseException:
        sock.close()
        raise
    return Connection(sock, monotonic_s())


def _exchange(connection, request, accepts, deadline, bodyless):
    """Returns a response, and whether the connection can be used again."""
    sock = connection.socket
    reader = ResponseReader()
    skipped = 0
    received = False
    try:
        sock.settimeout(max(deadline - monotonic_s(), 0.001))
        sock.sendall(request)
        while True:
            left = deadline - monotonic_s()
            if left <= 0:
                raise TimeoutError
            data = receive(sock, left)
            if not data:
                message = reader.end()
                if message is not None and accepts(message):
                    return message, False
                raise CallError(
                    "connection closed", connection_lost=not received
                )
            received = True
            messages = reader.feed(data)
            if bodyless and reader.message and reader.message.headers_done:
                messages.append(reader.message)
                reader.has_extra_bytes = True
            for index, message in enumerate(messages):
                if accepts(message):
                    trailing = reader.has_extra_bytes or index + 1 < len(
                        messages
                    )
                    return message, _keep(connection, message, trailing)
                skipped += 1
            if skipped > MAX_SKIPPED:
                raise CallError("responses of other requests")
    except TimeoutError as error:
        raise CallError(
            "no response in time", unresponsive=not received
        ) from error
    except MessageError as error:
        raise CallError(f"not a response: {error}") from error
    except OSError as error:
        reason = errno.errorcode.get(error.errno, str(error))
        raise CallError(
            f"connection: {reason}", connection_lost=not received
        ) from error


def is_listening(address: Address) -> bool:
    """Returns whether a connection to an address can be opened."""
    try:
        _connect(address, CONNECT_TIMEOUT_S).close()
    except CallError as error:
        # Silence tells nothing about the process, and a searcher resets
        # connections beyond its limit.
        return not error.refused
    return True


def receive(sock, timeout_s: float) -> bytes:
    """Returns bytes from a green socket, or b"" at its orderly end.

    The library's own method also returns b"" for a connection that was reset,
    which would make a response without a length look complete.

    Args:
        sock: The green socket.
        timeout_s: How long to wait, in seconds.

    Raises:
        TimeoutError: Nothing came in time.
        OSError: The connection was lost.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            hubs.trampoline(
                sock.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError
            )


def _keep(connection: Connection, message: RawMessage, trailing: bool) -> bool:
    if trailing or not message.keep_alive:
        return False
    connection.idle_since = monotonic_s()
    connection.idle_limit_s = _idle_limit_s(message.header(b"keep-alive"))
    return connection.idle_limit_s > 0


def _idle_limit_s(keep_alive: bytes | None) -> float:
    for part in (keep_alive or b"").split(b","):
        name, _, value = part.partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            seconds = int(value)
            return max(seconds - IDLE_MARGIN_S, seconds * 0.5)
    return DEFAULT_MAX_IDLE_S
