"""HTTP/1.1 server for clients and other entry hosts."""

import collections
import contextlib
import logging
from collections.abc import Callable

import eventlet
from eventlet.green import socket

from kumquatspur.core.records import Address
from kumquatspur.core.routing import ClientLimits, ClientReply, ClientRequest
from kumquatspur.platform import headers
from kumquatspur.wire.containment import report_error
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.error_replies import error_reply
from kumquatspur.wire.http_messages import (
    HOST_HEADER_PREFIX,
    MessageError,
    RawMessage,
    RequestReader,
)
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.turns import give_turn

_log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
READ_BYTES = 65536
# Headers that hosts add to a request that they delegate.
DELEGATION_HEADER_BYTES = 2048
# Interval at which a connection without input checks its time limits.
CHECK_INTERVAL_S = 1.0
# Pipelined requests of one connection that are read before they are answered.
MAX_PENDING_REQUESTS = 16
# How long input is discarded after an error reply, so that the client can read
# the reply before the connection closes.
LINGER_S = 0.5
# A host that starts reads the configuration within this time, if the store is
# well. Requests wait that long before they are refused.
FIRST_CONFIGURATION_WAIT_S = 0.2
FIRST_CONFIGURATION_POLL_S = 0.005
_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class FrontServer:
    """Accepts connections and answers the requests on them.

    It takes over `listener`, a plain socket that listens already, if there is
    one.

    Attributes:
        state: The state of this host.
        serve: Returns the answer to a request.
        connections: The open connections.
        accepting: Whether connections are accepted.
        is_for_hosts: Whether requests come from other hosts, not from clients.
    """

    def __init__(
        self,
        state: EntryState,
        address: Address,
        serve: Callable[[ClientRequest], ClientReply],
        is_for_hosts: bool = False,
        listener: socket.socket | None = None,
    ):
        self.state = state
        self.is_for_hosts = is_for_hosts
        self.serve = serve
        self.connections = set()
        self.accepting = True
        if listener is not None:
            self._listener = eventlet.greenio.GreenSocket(listener)
        else:
            self._listener = eventlet.listen(
                (address.host, address.port),
                backlog=LISTEN_BACKLOG,
                reuse_port=False,
            )
        self._accept_thread = eventlet.spawn(self._accept)

    def stop_accepting(self) -> None:
        """Accepts the connections that are already open, then no more.

        The kernel resets connections that wait to be accepted when the
        listening socket closes, although clients may have sent requests.
        """
        if not self.accepting:
            return
        self.accepting = False
        self._accept_thread.kill()
        with contextlib.suppress(OSError):
            while True:
                # The plain socket does not block; it raises when none waits.
                sock, _ = self._listener.fd.accept()
                self._serve_connection(eventlet.greenio.GreenSocket(sock))
        self._listener.close()

    def close_idle(self) -> None:
        """Closes the connections that have no request in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def _accept(self) -> None:
        if not self.is_for_hosts:
            self._wait_for_configuration()
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                _log.warning("accept failed", extra={"error": str(error)})
                eventlet.sleep(0.05)
                continue
            self._serve_connection(sock)
            give_turn()

    def _wait_for_configuration(self) -> None:
        """Waits a moment until requests need not be refused any more."""
        end = monotonic_s() + FIRST_CONFIGURATION_WAIT_S
        while not self.state.is_configured() and monotonic_s() < end:
            eventlet.sleep(FIRST_CONFIGURATION_POLL_S)

    def _serve_connection(self, sock) -> None:
        connection = _ClientConnection(self, sock)
        self.connections.add(connection)
        eventlet.spawn_n(connection.run)


class _ClientConnection:
    """One connection of a client.

    Attributes:
        pending: Requests read but not yet started.
        worker: Green thread that answers a request; None if idle.
        is_first: Whether no request was answered on it yet.
        last_active_at: When the last answer was sent, a request began to
            arrive, or bytes of a body arrived; whichever is latest.
    """

    def __init__(self, server: FrontServer, sock):
        self.server = server
        self.state = server.state
        self.socket = sock
        self.pending = collections.deque()
        self.worker = None
        self.last_active_at = monotonic_s()
        self.closed = False
        self.is_first = True
        self.limits = ClientLimits()
        self.reader = RequestReader(0, 0)
        self._set_limits()

    def run(self) -> None:
        """Reads requests until the connection ends."""
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socket.settimeout(CHECK_INTERVAL_S)
            self._read()
        except OSError:
            self.reader.header_limit += DELEGATION_HEADER_BYTES
        finally:
            # The client has disconnected: stop the work for it.
            if self.worker is not None:
                self.state.counters["client_left"] += 1
                self.worker.kill()
            self._close()
            self.server.connections.discard(self)

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is in flight or arriving."""
        if self._is_idle():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def _is_idle(self) -> bool:
        is_between = self.reader.is_between_requests()
        if self.worker is not None or self.pending or not is_between:
            return False
        try:
            # Bytes that have arrived but were not read yet may be a request.
            return not self.socket.fd.recv(1, socket.MSG_PEEK)
        except OSError:
            # Nothing has arrived, or the connection has failed.
            return True

    def _set_limits(self) -> None:
        """Sets the limits in force, which hold for the next request."""
        table = self.state.table
        if table is not None:
            self.limits = table.config.limits
        self.reader.header_limit = self.limits.header_bytes
        self.reader.body_limit = self.limits.body_bytes
        if self.server.is_for_hosts:
            self.reader.header_limit += DELEGATION_HEADER_BYTES

    def _read(self) -> None:
        while not self.closed:
            try:
                data = self.socket.recv(READ_BYTES)
            except TimeoutError:
                if self._is_timed_out():
                    return
                continue
            if not data:
                return
            if self.reader.is_between_requests():
                self._set_limits()
            if self.reader.is_between_requests() or self.reader.is_in_body():
                self.last_active_at = monotonic_s()
            try:
                messages = self.reader.feed(data)
            except MessageError as error:
                self._reject(error)
                return
            self.pending.extend(messages)
            self._start_next()
            if not messages:
                give_turn()
            while len(self.pending) > MAX_PENDING_REQUESTS and not self.closed:
                eventlet.sleep(CHECK_INTERVAL_S / 10)

    def _is_timed_out(self) -> bool:
        if self.worker is not None or self.pending:
            return False
        age = monotonic_s() - self.last_active_at
        if self.reader.is_between_requests():
            return age > self.limits.idle_timeout_s
        if self.reader.is_in_body() and age <= self.limits.idle_timeout_s:
            return False
        if age <= self.limits.header_timeout_s:
            return False
        self._reject(MessageError("request not received in time", 408))
        return True

    def _reject(self, error: MessageError) -> None:
        """Sends an error reply to an unacceptable request, then closes."""
        while self.worker is not None:
            eventlet.sleep(CHECK_INTERVAL_S / 10)
        self.state.counters[f"rejected_{error.status}"] += 1
        self.state.log.write(
            "request_rejected", status=error.status, reason=str(error)
        )
        self._send(error_reply(error.status, str(error)), False)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            end = monotonic_s() + LINGER_S
            while monotonic_s() < end and self.socket.recv(READ_BYTES):
                give_turn()

    def _start_next(self) -> None:
        if self.worker is None and self.pending and not self.closed:
            message = self.pending.popleft()
            self.worker = eventlet.spawn(self._answer, message)

    def _answer(self, message: RawMessage) -> None:
        self.state.in_flight += 1
        try:
            reply = self._serve(message)
            keep = message.keep_alive and not self.state.stopping
            self._send(reply, keep, message.method == b"HEAD")
        except OSError:
            keep = False
        finally:
            self.state.in_flight -= 1
            self.last_active_at = monotonic_s()
        self.worker = None
        if keep:
            self._start_next()
            return
        self.closed = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def _serve(self, message: RawMessage) -> ClientReply:
        request = None
        try:
            request = decode_request(
                message, self.is_first, self.server.is_for_hosts
            )
            self.is_first = False
            if request is None:
                return error_reply(400, "request identifier or host is missing")
            return self.server.serve(request)
        except Exception as error:
            report_error(
                self.state,
                "serve_request",
                error,
                request_id=request.request_id if request else None,
            )
            return error_reply(502, "internal error")

    def _send(
        self, reply: ClientReply, keep: bool, is_to_head: bool = False
    ) -> None:
        """Sends a reply.

        Args:
            reply: The reply.
            keep: Whether the connection stays open.
            is_to_head: Whether it answers a HEAD request. A client would take
                content for the beginning of its next answer.
        """
        reason = _REASON_PHRASES.get(reply.status, "Status")
        lines = [f"HTTP/1.1 {reply.status} {reason}\r\n".encode()]
        for name, value in reply.headers:
            lines.append(b"%b: %b\r\n" % (name, value))
        lines.append(b"Content-Length: %d\r\n" % len(reply.body))
        if not keep:
            lines.append(b"Connection: close\r\n")
        lines += (b"\r\n", b"" if is_to_head else reply.body)
        self.socket.sendall(b"".join(lines))

    def _close(self) -> None:
        self.closed = True
        with contextlib.suppress(OSError):
            self.socket.close()


def decode_request(
    message: RawMessage, is_first: bool = False, is_from_host: bool = False
) -> ClientRequest | None:
    """Converts a message to a request; None if a required header is missing.

    Args:
        message: The message as read from the connection.
        is_first: Whether it is the first request on its connection.
        is_from_host: Whether another host sent it. A client's headers with the
            names that are used between hosts are removed.
    """
    found = dict(reversed(message.headers))
    request_id = found.get(headers.REQUEST_ID)
    host = found.get(b"host")
    if not request_id or not host:
        return None
    target = message.target.decode("latin-1")
    path = target.partition("?")[0]
    if not path.startswith("/"):
        # Absolute form of the target: remove scheme and host.
        path = "/" + path.partition("://")[2].partition("/")[2]
    time_left = found.get(headers.TIME_LEFT)
    return ClientRequest(
        method=message.method.decode("latin-1"),
        target=target,
        host=host.decode("latin-1").partition(":")[0].strip().lower(),
        path=path,
        headers=tuple(
            item
            for item in message.end_to_end_headers()
            if item[0] not in headers.OWN_REQUEST_HEADERS
            and (is_from_host or not item[0].startswith(HOST_HEADER_PREFIX))
        ),
        body=message.body(),
        request_id=request_id.decode("latin-1"),
        time_left_s=(
            headers.decode_time_left_s(time_left) if time_left else None
        ),
        received_at=monotonic_s(),
        is_first=is_first,
        authorization=(
            tuple(
                value
                # A trailer cannot authorize a request.
                for name, value in message.headers[: message.head_count]
                if name == headers.AUTHORIZATION
            )
            if headers.AUTHORIZATION in found
            else ()
        ),
    )
