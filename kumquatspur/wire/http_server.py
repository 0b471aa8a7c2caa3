"""HTTP server: eventlet's WSGI server with JSON errors and graceful close."""

import contextlib
import json
import logging
import time
from http import HTTPStatus

import eventlet
import eventlet.wsgi
from eventlet.green import socket

from kumquatspur.core.records import Diagnostic
from kumquatspur.wire.json_http import CLOSE_KEY, error_reply
from kumquatspur.wire.turns import give_turn

_log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
MAX_CONNECTIONS = 512
IDLE_TIMEOUT_S = 30.0
# Time limit for the arrival of the request line and the headers.
HEADERS_TIMEOUT_S = 5.0
# How long input is discarded after an error reply, so that the client can read
# the reply before the connection closes.
LINGER_S = 0.5
ACCEPT_RETRY_DELAY_S = 0.1
POLL_INTERVAL_S = 0.02
READ_BYTES = 65536

# Indices into the list that eventlet keeps for a connection.
_ADDRESS, _SOCKET, _STATE = range(3)


class HttpServer:
    """Serves one WSGI application on one port.

    Attributes:
        application: The WSGI application.
        listener: The listening socket.
        closing: Whether connections close after the current reply.
        in_flight: Number of requests in flight.
    """

    def __init__(self, address, application):
        self.application = application
        self.listener = eventlet.listen(
            (address.host, address.port),
            backlog=LISTEN_BACKLOG,
            reuse_port=False,
        )
        self.closing = False
        self.in_flight = 0
        self._pool = _ConnectionPool(MAX_CONNECTIONS)
        self._thread = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Closes idle connections, then stops accepting.

        A request already received on a kept connection is served before that
        connection closes.
        """
        self._pool.stop_reading_idle()
        eventlet.sleep(POLL_INTERVAL_S)
        self._thread.kill()
        # eventlet keeps a duplicate until the last request has finished.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _serve(self) -> None:
        while True:
            try:
                # eventlet closes the socket that it is given.
                eventlet.wsgi.server(
                    self.listener.dup(),
                    self.application,
                    protocol=self._new_protocol,
                    custom_pool=self._pool,
                    log_output=False,
                    socket_timeout=IDLE_TIMEOUT_S,
                    debug=False,
                )
            except OSError as error:
                _log.warning("accept failed", extra={"error": str(error)})
            eventlet.sleep(ACCEPT_RETRY_DELAY_S)

    def _new_protocol(self, connection, server):
        _Protocol(connection, server, self)


class _ConnectionPool(eventlet.GreenPool):
    """Green pool that tracks the connections that it serves."""

    def __init__(self, size: int):
        super().__init__(size)
        self.connections = {}

    def spawn(self, function, connection):
        self.connections[connection[_ADDRESS]] = connection
        thread = super().spawn(function, connection)
        thread.link(self._remove, connection[_ADDRESS])
        # The next connection may be waiting already.
        give_turn()
        return thread

    def stop_reading_idle(self) -> None:
        """Shuts down reading on connections without a request in flight."""
        for connection in list(self.connections.values()):
            if connection[_STATE] != eventlet.wsgi.STATE_IDLE:
                continue
            # Bytes received earlier are still read and served.
            with contextlib.suppress(OSError):
                connection[_SOCKET].shutdown(socket.SHUT_RD)

    def _remove(self, _, address) -> None:
        self.connections.pop(address, None)


class _Protocol(eventlet.wsgi.HttpProtocol):
    """One connection.

    Attributes:
        http_server: The `HttpServer`.
        header_timer: Limits the time for the request line and headers; None
            if it does not run.
        linger: Whether input is discarded before the connection closes.
        is_first_request: Whether no request has been read yet.
    """

    def __init__(self, connection, server, http_server):
        self.http_server = http_server
        self.header_timer = None
        self.linger = False
        self.is_first_request = True
        super().__init__(connection, server)

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wfile = _ErrorReplyWriter(self.wfile, self)

    def handle_one_request(self):
        # A client may send its next request without waiting for the reply.
        give_turn()
        try:
            super().handle_one_request()
        except TimeoutError:
            self.send_error(HTTPStatus.REQUEST_TIMEOUT)
        finally:
            self._cancel_timer()

    def _read_request_line(self):
        self.connection.settimeout(
            HEADERS_TIMEOUT_S if self.is_first_request else IDLE_TIMEOUT_S
        )
        self.is_first_request = False
        try:
            if not self.rfile.peek(1):
                return b""
        except (OSError, ValueError):
            return b""
        self.header_timer = eventlet.Timeout(
            HEADERS_TIMEOUT_S,
            TimeoutError("request line and headers timed out"),
        )
        return super()._read_request_line()

    def parse_request(self):
        try:
            return super().parse_request()
        finally:
            self._cancel_timer()

    def handle_one_response(self):
        if self.http_server.closing:
            self.close_connection = 1
        self.environ[CLOSE_KEY] = self.close_after_reply
        self.http_server.in_flight += 1
        try:
            super().handle_one_response()
        finally:
            self.http_server.in_flight -= 1

    def close_after_reply(self):
        """Closes the connection after the reply without parsing more input."""
        self.close_connection = 1
        self.linger = True

    def send_error(self, code, message=None, explain=None):
        """Replies to a request that could not be parsed; uses the JSON form."""
        self.wfile.write_error(HTTPStatus(code))

    def finish(self):
        if self.linger:
            self._discard_input()
        super().finish()

    def _discard_input(self):
        """Discards input until the client closes or LINGER_S has passed.

        Closing a socket with unread input resets the connection, and the
        client could lose the reply.
        """
        with contextlib.suppress(OSError, EOFError):
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            with eventlet.Timeout(LINGER_S, False):
                while self.connection.recv(READ_BYTES):
                    give_turn()

    def _cancel_timer(self):
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None


class _ErrorReplyWriter:
    """Output file that replaces eventlet's error replies by JSON ones."""

    def __init__(self, file, protocol):
        self._file = file
        self._protocol = protocol
        self.writelines = file.writelines
        self.flush = file.flush

    def write(self, data: bytes):
        """Writes bytes, or a JSON error reply in place of eventlet's."""
        # Only eventlet's own error replies have version 1.0.
        if data.startswith(b"HTTP/1.0 4"):
            self.write_error(HTTPStatus(int(data[9:12])))
        else:
            self._file.write(data)

    def write_error(self, status: HTTPStatus) -> None:
        """Writes an error reply and closes the connection after it."""
        errors = [Diagnostic("request", status.phrase)]
        reply = error_reply(status, "bad_request", errors)
        body = json.dumps(reply.body).encode() + b"\n"
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self._protocol.close_after_reply()
        with contextlib.suppress(OSError):
            self._file.write(head.encode() + body)

    def __getattr__(self, name):
        return getattr(self._file, name)


def wait_until(condition, seconds: float) -> bool:
    """Waits until a condition is true.

    Args:
        condition: A function without arguments.
        seconds: The longest time to wait.

    Returns:
        Whether the condition became true in time.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end:
            return False
        eventlet.sleep(POLL_INTERVAL_S)
    return True
