"""Peers whose bytes are always ready: nobody else may have to wait for them."""

import io
import tracemalloc
import unittest
from unittest import mock

import eventlet
from greenlet import GreenletExit

from kumquatspur.border.bounded_http import (
    LINES_PER_TURN,
    AnswerTooLongError,
    _BoundedReader,
    _LineReader,
)
from kumquatspur.core import messages
from kumquatspur.core.records import Address
from kumquatspur.policy.response_limits import (
    BYTES_PER_CHUNK,
    MAX_BODY_BYTES,
    MAX_HEADERS,
    MIN_CHUNKS,
)
from kumquatspur.wire import http_server, peer_stream, searcher_pool
from kumquatspur.wire.front_server import FrontServer, _ClientConnection
from kumquatspur.wire.http_messages import (
    MessageError,
    RequestReader,
    ResponseReader,
)
from kumquatspur.wire.searcher_pool import CallError, TargetPool, monotonic_s
from standins.platform_deployment import new_test_state

READ_BYTES = 60_000
CHUNKED_REPLY = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_REQUEST = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# Reads that a test allows before it takes a loop for endless.
MOST_READS = 200_000


def chunks(length, count):
    return (b"%x\r\n%b\r\n" % (length, b"x" * length)) * count


class Endless:
    """A socket that always has bytes ready.

    Attributes:
        head: What it sends first.
        block: What it repeats.
        reads: How often it was read.
    """

    def __init__(self, head, block):
        self.head, self.block, self.reads = head, block, 0

    def recv(self, *_):
        self.reads += 1
        if self.reads > MOST_READS:
            raise AssertionError("read without end")
        data, self.head = self.head, b""
        return data or self.block

    def sendall(self, *_):
        pass

    settimeout = setsockopt = shutdown = sendall

    def close(self):
        pass


class TurnsTest(unittest.TestCase):
    def setUp(self):
        self.turns = 0
        thread = eventlet.spawn(self.count_turns)
        self.addCleanup(thread.kill)

    def count_turns(self):
        while True:
            self.turns += 1
            eventlet.sleep(0)

    def call(self, block):
        """Calls a searcher whose answer has no end; returns it and the error.

        It reads from memory, without ever having to wait.
        """
        source = Endless(CHUNKED_REPLY, block)
        pool = TargetPool(1000.0)
        address = Address("127.0.0.1", 1)
        connection = searcher_pool.Connection(source, address, monotonic_s())
        with (
            mock.patch.object(searcher_pool, "_connect", lambda *_: connection),
            mock.patch.object(searcher_pool, "wait_until_readable"),
            mock.patch.object(searcher_pool, "receive", source.recv),
            self.assertRaises(CallError) as caught,
        ):
            pool.call(
                "i-1",
                address,
                b"",
                lambda message: True,
                monotonic_s() + 60.0,
            )
        return source, str(caught.exception)

    def test_response_without_end_gives_turns(self):
        """Guards against a host that does nothing else meanwhile (review/4)."""
        source, error = self.call(chunks(READ_BYTES, 1))
        self.assertIn(f"limit {MAX_BODY_BYTES}", error)
        self.assertGreater(source.reads, MAX_BODY_BYTES // READ_BYTES)
        self.assertGreaterEqual(self.turns, source.reads - 1)

    def test_response_in_tiny_chunks_is_given_up_early(self):
        """Guards against seconds of work for few bytes (review/4)."""
        for length in (1, 2, 5, 16):
            block = chunks(length, READ_BYTES // (length + 5))
            source, error = self.call(block)
            self.assertIn("chunks for", error)
            most_bytes = 2 * MIN_CHUNKS * (length + 6)
            self.assertLess(source.reads * READ_BYTES, most_bytes)

    def test_body_in_many_chunks_is_accepted(self):
        """Guards against refused responses that do no harm."""
        for length, count in ((1, MIN_CHUNKS), (BYTES_PER_CHUNK + 1, 100_000)):
            reader = ResponseReader()
            data = CHUNKED_REPLY + chunks(length, count) + b"0\r\n\r\n"
            found = [
                message
                for at in range(0, len(data), READ_BYTES)
                for message in reader.feed(data[at : at + READ_BYTES])
            ]
            (message,) = found
            self.assertEqual(message.body(), b"x" * length * count)

    def test_body_in_tiny_chunks_takes_little_memory(self):
        """Guards against bodies that take many times their length."""
        count = 15_000
        data = chunks(2, count)
        reader = ResponseReader()
        reader.feed(CHUNKED_REPLY)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for at in range(0, len(data), 1000):
            reader.feed(data[at : at + 1000])
        after, _ = tracemalloc.get_traced_memory()
        self.assertEqual(len(reader.message.buffer), 2 * count)
        self.assertLess(after - before, 3 * 2 * count)

    def test_headers_without_length_are_limited(self):
        reader = ResponseReader()
        with self.assertRaises(MessageError):
            reader.feed(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * (MAX_HEADERS + 2))

    def test_request_with_chunk_extensions_without_end(self):
        """Guards against a client whose request never ends, nor times out."""
        reader = RequestReader(8192, 65536)
        reader.feed(CHUNKED_REQUEST)
        with self.assertRaises(MessageError) as caught:
            for _ in range(100):
                reader.feed(b"1;" + b"e" * 4000 + b"\r\nx\r\n")
        self.assertEqual(caught.exception.status, 413)

    def test_request_in_chunks_of_one_byte_is_accepted(self):
        """Guards against refused requests that do no harm."""
        reader = RequestReader(8192, 65536)
        data = CHUNKED_REQUEST + chunks(1, 65536) + b"0\r\n\r\n"
        found = []
        for at in range(0, len(data), 7000):
            found += reader.feed(data[at : at + 7000])
        self.assertEqual(len(found[0].body()), 65536)

    def connection(self, source):
        """Returns a client's connection to a host."""
        server = mock.Mock(spec=FrontServer)
        server.state, server.connections = new_test_state(), set()
        server.is_for_hosts = False
        connection = _ClientConnection(server, source)
        server.connections.add(connection)
        return connection

    def test_client_that_always_sends_gives_turns(self):
        """Guards against a client that keeps a host from serving others."""
        source = Endless(CHUNKED_REQUEST, chunks(READ_BYTES, 1))
        self.connection(source).run()
        self.assertGreater(source.reads, 10)
        self.assertGreaterEqual(self.turns, source.reads - 2)

    def test_client_that_sends_on_after_a_rejection_gives_turns(self):
        source = Endless(b"no request\r\n\r\n", b"x" * READ_BYTES)
        self.connection(source).run()
        self.assertGreaterEqual(self.turns, source.reads - 2)

    def test_caller_that_sends_on_after_an_error_reply_gives_turns(self):
        """Guards against a daemon that discards one caller's input for ever."""
        protocol = mock.Mock()
        protocol.connection = Endless(b"", b"x")
        with mock.patch.object(http_server, "LINGER_S", 0.05):
            http_server._Protocol._discard_input(protocol)
        self.assertGreaterEqual(self.turns, protocol.connection.reads - 2)

    def test_caller_that_sends_request_after_request_gives_turns(self):
        """Guards against a caller that does not wait for its replies."""
        protocol = http_server._Protocol.__new__(http_server._Protocol)
        protocol.header_timer = None
        with mock.patch("eventlet.wsgi.HttpProtocol.handle_one_request"):
            for _ in range(10):
                protocol.handle_one_request()
        self.assertGreaterEqual(self.turns, 10)

    def test_peer_that_always_sends_gives_turns(self):
        """Guards against a peer that keeps a daemon from serving callers."""
        frame = peer_stream.peer_codec.encode(messages.StreamAck(1))
        source = Endless(b"", frame * 100)
        streams = mock.Mock()
        hello = messages.Hello("a", "z", 1, "", Address("127.0.0.1", 1))
        with mock.patch(f"{__name__}.MOST_READS", 50):
            with self.assertRaises(AssertionError):
                peer_stream.PeerStreams._handle_frames(
                    streams,
                    source,
                    peer_stream.peer_codec.new_unpacker(),
                    hello,
                )
        self.assertGreaterEqual(self.turns, 50)

    def test_peer_that_connects_again_and_again_gives_turns(self):
        """Guards against connections that are always waiting."""
        count = 20

        def listener():
            accept = mock.Mock()
            accept.side_effect = [(mock.Mock(), count)] * count + [
                GreenletExit()
            ]
            return mock.Mock(accept=accept)

        front = mock.Mock(is_for_hosts=True, _listener=listener())
        streams = mock.Mock()
        for accept in (
            lambda: FrontServer._accept(front),
            lambda: peer_stream.PeerStreams.serve(streams, listener()),
        ):
            before = self.turns
            with self.assertRaises(GreenletExit):
                accept()
            self.assertGreaterEqual(self.turns - before, count)
        before = self.turns
        pool = http_server._ConnectionPool(100)
        for number in range(count):
            pool.spawn(lambda connection: None, [number, None, None])
        self.assertGreaterEqual(self.turns - before, count)

    def test_reply_of_a_store_in_tiny_chunks_is_given_up_early(self):
        """Guards against the standard library's work for each chunk."""
        source = Endless(b"", b"1\r\nx\r\n" * 1000)

        class Raw(io.RawIOBase):
            def readinto(self, buffer):
                data = source.recv()[: len(buffer)]
                buffer[: len(data)] = data
                return len(data)

        reader = _LineReader(_BoundedReader(Raw()))
        lines = 0
        with self.assertRaises(AnswerTooLongError):
            while True:
                reader.readline(65537)
                lines += 1
        self.assertLess(lines, 2 * MIN_CHUNKS)
        self.assertGreaterEqual(self.turns, lines // LINES_PER_TURN)


if __name__ == "__main__":
    unittest.main()
