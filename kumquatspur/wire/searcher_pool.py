"""Persistent connections to searchers and entry hosts.

Each connection carries one request at a time.
"""

import contextlib
import dataclasses
import errno
import math
import time

from eventlet import hubs
from eventlet.green import socket

from kumquatspur.core.records import Address
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.response_limits import max_body_bytes
from kumquatspur.wire.http_messages import (
    MessageError,
    RawMessage,
    ResponseReader,
)
from kumquatspur.wire.turns import give_turn

READ_BYTES = 65536
# A connection in the same region opens in milliseconds. Waiting for the
# retransmission of a lost packet takes longer than asking another replica.
CONNECT_TIMEOUT_S = 0.25
# Subtracted from the idle timeout that a searcher sends, so that it does not
# close a connection on which a request is just being sent.
IDLE_MARGIN_S = 1.0
# Idle limit of a connection if the searcher sends no idle timeout.
DEFAULT_MAX_IDLE_S = 0.8
MAX_TIMEOUT_DIGITS = 9
# A target may have dropped an idle connection unnoticed. A request sent on it
# is lost, and must not be sent again if its route is not repeatable. So such a
# request uses only a connection that was in use a moment ago.
NON_REPEATABLE_MAX_IDLE_S = 0.3
# Late responses to earlier requests that are skipped on one connection.
MAX_SKIPPED_RESPONSES = 2


def monotonic_s() -> float:
    """Returns the monotonic time in seconds, suspended time included.

    The modules of the platform's entry host use this clock, those of the daemon
    use time.monotonic(). Times of the two cannot be compared.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CallError(Exception):
    """A call that got no usable response.

    Attributes:
        verdict: Whether the target may have run the request.
        sent: Whether any byte may have reached the target.
        unresponsive: Whether a timeout passed without any reaction to the
            connection attempt or the request.
        connection_lost: Whether the connection was closed or reset before the
            first byte of a response.
        response_cut: Whether the connection was closed or reset after a part of
            a response.
        refused: Whether the connection attempt was refused.
        cut_off: Whether the call was given up because the target's zone is cut
            off from this host.
    """

    def __init__(
        self,
        message,
        sent=True,
        unresponsive=False,
        connection_lost=False,
        refused=False,
        cut_off=False,
        response_cut=False,
    ):
        super().__init__(message)
        self.verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
        self.sent = sent
        self.unresponsive = unresponsive
        self.connection_lost = connection_lost
        self.refused = refused
        self.cut_off = cut_off
        self.response_cut = response_cut


@dataclasses.dataclass(slots=True)
class Connection:
    """One connection to a searcher.

    Attributes:
        socket: The socket.
        address: Where it leads. The target may have come back elsewhere, and
            its address may have been given to another one.
        idle_since: When its last response was complete.
        idle_limit_s: How long it may be idle and still be used.
    """

    socket: socket.socket
    address: Address
    idle_since: float
    idle_limit_s: float = DEFAULT_MAX_IDLE_S

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Returns whether the connection can be used for a request.

        Args:
            now: The current time of the monotonic clock, in seconds.
            max_idle_s: Maximum idle time, in seconds.
        """
        if now - self.idle_since > min(self.idle_limit_s, max_idle_s):
            return False
        try:
            # A connection with unread bytes, or closed by the searcher, cannot
            # be used.
            self.socket.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self.socket.close()


@dataclasses.dataclass(slots=True)
class _TargetConnections:
    idle: list[Connection] = dataclasses.field(default_factory=list)
    open: int = 0


class TargetPool:
    """Pools of connections by target: a searcher or another entry host.

    Attributes:
        by_target: Idle connections and the number of open ones, by target.
        opened: Connections opened since the start.
        memory_mb: Memory limit of the process, in MB.
        in_flight: Number of calls in flight.
    """

    def __init__(self, memory_mb: float):
        self.by_target = {}
        self.opened = 0
        self.memory_mb = memory_mb
        self.in_flight = 0

    def call(
        self,
        target_id: str,
        address: Address,
        request: bytes,
        accepts,
        deadline: float,
        bodyless: bool = False,
        max_idle_s: float = math.inf,
    ) -> RawMessage:
        """Sends a request and returns its response.

        Args:
            target_id: Identifier of the searcher, or name of the host.
            address: Where the target listens.
            request: The bytes to send.
            accepts: Returns whether a response belongs to the request.
            deadline: When to give up, on the monotonic clock.
            bodyless: Whether the response has no body whatever its headers
                say.
            max_idle_s: Maximum idle time of a reused connection, in seconds.

        Returns:
            The complete response.

        Raises:
            CallError: No usable response.
        """
        connections = self.by_target.setdefault(target_id, _TargetConnections())
        connection = self._acquire(connections, address, deadline, max_idle_s)
        reusable = False
        self.in_flight += 1
        body_limit = (
            math.inf
            if bodyless
            else max_body_bytes(self.memory_mb, self.in_flight)
        )
        reader = ResponseReader(body_limit)
        try:
            message, reusable = _send_and_receive(
                connection, reader, request, accepts, deadline, bodyless
            )
            return message
        finally:
            self.in_flight -= 1
            # Also when the calling green thread is killed.
            if reusable:
                connections.idle.append(connection)
            else:
                connections.open -= 1
                connection.close()

    def prune(self, now: float, known) -> None:
        """Closes connections that idled too long or whose target was removed.

        Args:
            now: The current time of the monotonic clock, in seconds.
            known: Identifiers of the targets that still exist.
        """
        for target_id, connections in list(self.by_target.items()):
            kept = []
            for connection in connections.idle:
                expired = now - connection.idle_since > connection.idle_limit_s
                if target_id in known and not expired:
                    kept.append(connection)
                else:
                    connections.open -= 1
                    connection.close()
            connections.idle = kept
            if not connections.open and target_id not in known:
                del self.by_target[target_id]

    def _acquire(
        self, connections, address, deadline, max_idle_s
    ) -> Connection:
        now = monotonic_s()
        while connections.idle:
            connection = connections.idle.pop()
            if connection.address == address and connection.is_usable(
                now, max_idle_s
            ):
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
            f"connect timed out after {timeout_s:.3f} s",
            False,
            unresponsive=True,
        ) from error
    except OSError as error:
        sock.close()
        reason = errno.errorcode.get(error.errno, str(error))
        refused = error.errno == errno.ECONNREFUSED
        raise CallError(f"connect: {reason}", False, refused=refused) from error
    except BaseException:
        sock.close()
        raise
    return Connection(sock, address, monotonic_s())


def _send_and_receive(connection, reader, request, accepts, deadline, bodyless):
    """Sends a request and reads its response.

    Returns:
        The response, and whether the connection can be reused.
    """
    sock = connection.socket
    skipped = 0
    received = False
    try:
        sock.settimeout(max(deadline - monotonic_s(), 0.001))
        sock.sendall(request)
        # The response is never there yet, so a first read would be in vain.
        wait_until_readable(sock, deadline - monotonic_s())
        while True:
            time_left_s = deadline - monotonic_s()
            if time_left_s <= 0:
                raise TimeoutError
            data = receive(sock, time_left_s)
            if not data:
                message = reader.end()
                if message is not None and accepts(message):
                    return message, False
                raise CallError(
                    "connection closed before a complete response",
                    connection_lost=not received,
                    response_cut=received,
                )
            received = True
            messages = reader.feed(data)
            if bodyless and reader.message and reader.message.headers_done:
                # A response to HEAD has no body, but the parser expects one, so
                # the connection cannot be reused.
                messages.append(reader.message)
                reader.has_extra_bytes = True
            for index, message in enumerate(messages):
                if accepts(message):
                    trailing = reader.has_extra_bytes or index + 1 < len(
                        messages
                    )
                    return message, _mark_idle(connection, message, trailing)
                skipped += 1
            if skipped > MAX_SKIPPED_RESPONSES:
                raise CallError(f"{skipped} responses to other requests")
            give_turn()
    except TimeoutError as error:
        raise CallError(
            "no complete response by the deadline", unresponsive=not received
        ) from error
    except MessageError as error:
        raise CallError(f"not a response: {error}") from error
    except OSError as error:
        reason = errno.errorcode.get(error.errno, str(error))
        raise CallError(
            f"connection: {reason}",
            connection_lost=not received,
            response_cut=received,
        ) from error


def accepts_connections(address: Address) -> bool:
    """Returns whether a connection to an address can be opened."""
    try:
        _connect(address, CONNECT_TIMEOUT_S).close()
    except CallError:
        return False
    return True


def responds(address: Address) -> bool:
    """Returns whether an address reacts to a connection attempt in any way."""
    try:
        _connect(address, CONNECT_TIMEOUT_S).close()
    except CallError as error:
        return not error.unresponsive
    return True


def is_listening(address: Address) -> bool:
    """Returns whether a process may listen on an address."""
    try:
        _connect(address, CONNECT_TIMEOUT_S).close()
    except CallError as error:
        # A timeout does not show whether the process runs, and a searcher
        # resets connections beyond its limit. Only a refusal is a proof.
        return not error.refused
    return True


def wait_until_readable(sock, timeout_s: float) -> None:
    """Waits until a green socket has bytes or was closed.

    Args:
        sock: The green socket.
        timeout_s: The longest time to wait, in seconds.

    Raises:
        TimeoutError: Nothing happened in time.
    """
    hubs.trampoline(
        sock.fd,
        read=True,
        timeout=max(timeout_s, 0.001),
        timeout_exc=TimeoutError,
    )


def receive(sock, timeout_s: float) -> bytes:
    """Returns bytes from a green socket, or b"" at an orderly close.

    The recv of eventlet's socket also returns b"" for a connection that was
    reset, which would make a response without a length look complete.

    Args:
        sock: The green socket.
        timeout_s: The longest time to wait, in seconds.

    Raises:
        TimeoutError: No bytes arrived in time.
        OSError: The connection was reset or failed.
    """
    while True:
        try:
            return sock.fd.recv(READ_BYTES)
        except BlockingIOError:
            wait_until_readable(sock, timeout_s)


def _mark_idle(
    connection: Connection, message: RawMessage, trailing: bool
) -> bool:
    if trailing or not message.keep_alive:
        return False
    connection.idle_since = monotonic_s()
    connection.idle_limit_s = _idle_limit_s(message.header(b"keep-alive"))
    return connection.idle_limit_s > 0


def _idle_limit_s(keep_alive: bytes | None) -> float:
    for part in (keep_alive or b"").split(b","):
        name, _, value = part.partition(b"=")
        value = value.strip()
        is_number = value.isdigit() and len(value) <= MAX_TIMEOUT_DIGITS
        if name.strip().lower() == b"timeout" and is_number:
            seconds = int(value)
            return max(seconds - IDLE_MARGIN_S, seconds * 0.5)
    return DEFAULT_MAX_IDLE_S
