"""HTTP connection pools that accept only complete answers of limited size.

A server in trouble may send bytes without end: header lines, interim answers or
a body. All bytes of one answer are counted as they are read from the socket.

A server that stops may close the connection within a header line. The standard
library takes that for the end of the head, and without the lines that are lost,
an empty body for the whole one.
"""

import http.client
import io

import eventlet
import urllib3

from kumquatspur.policy.response_limits import max_chunks

# Answers of the metadata store have at most about 1 MB a page, and views of
# other hosts are compressed.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# A socket that always has bytes would otherwise keep all other green threads
# from running. A line is the size of a chunk, which may be one byte long.
BYTES_PER_TURN = 256 * 1024
LINES_PER_TURN = 1024


class AnswerTooLongError(OSError):
    """An answer exceeds `MAX_ANSWER_BYTES`, or has too many chunks."""


class _BoundedReader(io.RawIOBase):
    """Reads one answer from a socket.

    Attributes:
        raw: The unbuffered file of the socket.
        count: Bytes read so far.
    """

    def __init__(self, raw):
        super().__init__()
        self.raw = raw
        self.count = 0

    def readable(self) -> bool:
        """Returns True."""
        return True

    def readinto(self, buffer) -> int | None:
        """Reads into a buffer.

        Returns:
            The number of bytes read.

        Raises:
            AnswerTooLongError: The answer exceeds the limit.
        """
        size = self.raw.readinto(buffer)
        before = self.count
        self.count += size or 0
        if self.count > MAX_ANSWER_BYTES:
            raise AnswerTooLongError(
                f"answer has over {MAX_ANSWER_BYTES} bytes"
            )
        if before // BYTES_PER_TURN != self.count // BYTES_PER_TURN:
            eventlet.sleep(0)
        return size

    def close(self) -> None:
        """Closes the file of the socket."""
        self.raw.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Reads lines that must be complete: those of a head, or of chunk sizes.

    Attributes:
        count: Lines read so far.
    """

    def __init__(self, raw):
        super().__init__(raw)
        self.count = 0

    def readline(self, size: int = -1) -> bytes:
        """Returns a line, or as much of it as `size` allows.

        Raises:
            AnswerTooLongError: There are too many lines.
            RemoteDisconnected: The connection was closed within a head.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected(
                f"connection closed after {line[:40]!r} of a header line"
            )
        self.count += 1
        limit = max_chunks(self.raw.count)
        if self.count > limit:
            raise AnswerTooLongError(
                f"answer has over {limit} lines in {self.raw.count} bytes"
            )
        if self.count % LINES_PER_TURN == 0:
            eventlet.sleep(0)
        return line


class BoundedResponse(http.client.HTTPResponse):
    """A response of limited size, with a complete head."""

    def __init__(self, sock, *arguments, **options):
        super().__init__(sock, *arguments, **options)
        self.fp.close()
        self.fp = _LineReader(_BoundedReader(sock.makefile("rb", buffering=0)))


class _BoundedConnection(urllib3.connection.HTTPConnection):
    """A connection whose responses are of limited size."""

    response_class = BoundedResponse


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections to one server, with responses of limited size."""

    ConnectionCls = _BoundedConnection


def bounded_pool_manager(**options) -> urllib3.PoolManager:
    """Returns a manager of pools with responses of limited size.

    Args:
        **options: Arguments of `urllib3.PoolManager`.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": BoundedConnectionPool}
    return manager
