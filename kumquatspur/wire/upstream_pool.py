"""Persistent HTTP connections to one searcher."""

import contextlib
import socket
import time

import eventlet
import urllib3
from eventlet import hubs
from urllib3.connection import HTTPConnection

from kumquatspur.border.bounded_http import BoundedResponse
from kumquatspur.core.records import Searcher
from kumquatspur.core.verdict import Phase
from kumquatspur.policy.connection_health import ConnectionHealth

MAX_REPLY_BYTES = 4 * 1024 * 1024
_HEADERS = {
    "Content-Type": "application/json",
    "User-Agent": urllib3.util.SKIP_HEADER,
    "Accept-Encoding": urllib3.util.SKIP_HEADER,
}


class HttpExchange:
    """One request and its progress.

    Attributes:
        method: The HTTP method.
        path: The path.
        body: The request's body.
        item_count: The number of items in the body; 0 for a status request.
        deadline: When the answer is due, in time.monotonic().
        phase: The phase reached: queued, connecting or sent.
        sent_at: When it was sent, in time.monotonic().
        connection: The connection used; None before and after its use.
        resent: Whether it was sent again on another connection.
    """

    def __init__(self, method, path, body, item_count: int, deadline: float):
        self.method = method
        self.path = path
        self.body = body
        self.item_count = item_count
        self.deadline = deadline
        self.phase = Phase.QUEUED
        self.sent_at = 0.0
        self.connection = None
        self.resent = False

    def time_left_s(self) -> float:
        """Returns the time left, in seconds."""
        return self.deadline - time.monotonic()


class Connection(HTTPConnection):
    """A connection to a searcher.

    Attributes:
        generation: The pool's generation when it was opened.
        reused: Whether a request was answered on it before.
    """

    response_class = BoundedResponse
    generation = 0
    reused = False
    _buffered = None

    def request(self, *args, **kwargs):
        """Sends the headers and body of a request in one write."""
        self._buffered = []
        try:
            super().request(*args, **kwargs)
        finally:
            data, self._buffered = b"".join(self._buffered), None
        self.send(data)

    def send(self, data):
        """Sends bytes, or buffers them while a request is being built."""
        if self._buffered is None:
            super().send(data)
        else:
            self._buffered.append(data)

    def is_open_without_input(self) -> bool:
        """Returns whether the connection is open and has no unread bytes."""
        if self.sock is None:
            return False
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class UpstreamPool:
    """Connections to one searcher.

    A connection is reused only after its answer was read completely. Any other
    outcome, such as the kill of the green thread, closes it.

    Attributes:
        searcher: The searcher.
        health: Decides which connections may be used or opened.
        idle: Idle connections, most recently used last.
        open_count: Connections open or being opened.
    """

    def __init__(self, searcher: Searcher, connect_s: float):
        self.searcher = searcher
        self.connect_s = connect_s
        self.health = ConnectionHealth(searcher.slots, searcher.connections)
        self.idle = []
        self.open_count = 0

    def start(self, exchange: HttpExchange, fresh: bool = False) -> None:
        """Obtains a connection and sends a request on it.

        Args:
            exchange: The request.
            fresh: Whether the connection must be a new one.

        Raises:
            OSError: The request could not be sent.
            urllib3.exceptions.HTTPError: The request could not be sent.
            TimeoutError: The deadline passed, or no connection may be opened
                before it.
        """
        connection = None if fresh else self._take_idle()
        if connection is None:
            connection = self._open(exchange, fresh)
        exchange.connection = connection
        try:
            if connection.sock is None:
                # A request that is sent again may have run, so its phase stays.
                if exchange.phase is Phase.QUEUED:
                    exchange.phase = Phase.CONNECTING
                connection.connect()
            if exchange.time_left_s() <= 0.0:
                raise TimeoutError(
                    "the deadline passed before the request was sent"
                )
            exchange.phase = Phase.SENT
            exchange.sent_at = time.monotonic()
            connection.sock.settimeout(max(0.001, exchange.time_left_s()))
            connection.request(
                exchange.method,
                exchange.path,
                body=exchange.body,
                headers=_HEADERS,
                preload_content=False,
            )
        except BaseException:
            self.discard(exchange)
            raise

    def wait(self, exchange: HttpExchange, seconds: float) -> bool:
        """Waits for the first byte of the answer.

        Args:
            exchange: A request that was sent.
            seconds: The longest time to wait.

        Returns:
            False if no byte arrived in time.
        """
        try:
            hubs.trampoline(
                exchange.connection.sock,
                read=True,
                timeout=max(0.0, seconds),
                timeout_exc=TimeoutError,
            )
        except TimeoutError:
            return False
        return True

    def finish(self, exchange: HttpExchange) -> tuple[int, bytes]:
        """Reads the answer and keeps the connection for the next request.

        Args:
            exchange: A request whose answer has begun.

        Returns:
            The HTTP status and the body.

        Raises:
            OSError: The answer could not be read, or not in time.
            urllib3.exceptions.HTTPError: The answer could not be read, or
                exceeds MAX_REPLY_BYTES.
        """
        connection = exchange.connection
        with eventlet.Timeout(max(0.0, exchange.time_left_s()), TimeoutError):
            response = connection.getresponse()
            body = _read_body(response)
        now = time.monotonic()
        self.health.on_answer(
            exchange.sent_at, exchange.item_count, connection.reused, now
        )
        self._keep(exchange, response)
        return response.status, body

    def retire(self, exchange: HttpExchange) -> bool:
        """Retires all connections of a stalled connection's generation.

        Args:
            exchange: The request on the stalled connection.

        Returns:
            False if they were retired before.
        """
        if not self.health.retire(exchange.connection.generation):
            return False
        for connection in self.idle:
            self._close(connection)
        self.idle.clear()
        return True

    def discard(self, exchange: HttpExchange) -> None:
        """Closes the connection of an exchange, if it has one."""
        if exchange.connection is not None:
            self._close(exchange.connection)
            exchange.connection = None

    def close_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self.idle:
            self._close(connection)
        self.idle.clear()

    def _take_idle(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open_without_input():
                return connection
            self._close(connection)
        return None

    def _open(self, exchange: HttpExchange, fresh: bool) -> Connection:
        while wait_s := self.health.open_wait_s(
            self.open_count, time.monotonic()
        ):
            if wait_s >= exchange.time_left_s():
                raise TimeoutError(
                    "no connection may be opened before the deadline"
                )
            eventlet.sleep(wait_s)
            connection = None if fresh else self._take_idle()
            if connection is not None:
                return connection
        address = self.searcher.address
        connection = Connection(
            address.host,
            address.port,
            timeout=max(0.001, min(self.connect_s, exchange.time_left_s())),
        )
        connection.generation = self.health.generation
        self.open_count += 1
        return connection

    def _keep(self, exchange: HttpExchange, response) -> None:
        connection = exchange.connection
        exchange.connection = None
        connection.reused = True
        closing = response.headers.get("Connection", "").lower() == "close"
        old = connection.generation != self.health.generation
        if closing or old or connection.sock is None:
            self._close(connection)
        else:
            self.idle.append(connection)

    def _close(self, connection: Connection) -> None:
        self.open_count -= 1
        with contextlib.suppress(OSError):
            connection.close()


def _read_body(response) -> bytes:
    length = response.length_remaining
    if length is not None and length <= MAX_REPLY_BYTES:
        return response.read()
    body = response.read(MAX_REPLY_BYTES + 1)
    if len(body) > MAX_REPLY_BYTES or response.read(1):
        raise urllib3.exceptions.HTTPError(
            f"answer exceeds {MAX_REPLY_BYTES} bytes"
        )
    return body
