import unittest
from unittest import mock

import eventlet
from eventlet.green import socket

from kumquatspur.core.records import Address
from kumquatspur.core.verdict import Verdict
from kumquatspur.wire import searcher_pool
from kumquatspur.wire.searcher_pool import (
    CallError,
    TargetPool,
    is_listening,
    monotonic_s,
)
from standins.http_helpers import reset_connection

MEMORY_MB = 200.0
REQUEST = b"GET /a/ HTTP/1.1\r\nhost: a\r\nid: 1\r\n\r\n"


def is_ours(message):
    return message.header(b"id") == b"1"


def with_length(body, request_id=b"1", extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nid: %b\r\nkeep-alive: timeout=9\r\n"
        b"content-length: %d\r\n\r\n%b%b" % (request_id, len(body), body, extra)
    )


class ListeningTest(unittest.TestCase):
    def test_only_a_refused_connection_means_not_listening(self):
        closed = eventlet.listen(("127.0.0.1", 0))
        address = Address(*closed.getsockname())
        self.assertTrue(is_listening(address))
        closed.close()
        self.assertFalse(is_listening(address))

    def test_searcher_that_resets_connections_over_its_limit_listens(self):
        error = CallError("connect: ECONNRESET", False)
        with mock.patch.object(searcher_pool, "_connect", side_effect=error):
            self.assertTrue(is_listening(Address("127.0.0.1", 1)))


class FakeSearcher:
    """Answers each request with the next scripted reply."""

    def __init__(self, *replies, reset_connection=False):
        self.replies = list(replies)
        self.reset_connection = reset_connection
        self.accepted = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        eventlet.spawn_n(self.run)

    def run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        while self.replies and sock.recv(65536):
            reply = self.replies.pop(0)
            sock.sendall(reply)
            if self.reset_connection:
                eventlet.sleep(0.05)
                reset_connection(sock)
                break
            if b"content-length" not in reply:
                break
        sock.close()


class SearcherPoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = TargetPool(MEMORY_MB)

    def call(self, searcher):
        self.addCleanup(searcher.listener.close)
        return self.pool.call(
            "i-1", searcher.address, REQUEST, is_ours, monotonic_s() + 2.0
        )

    def test_connection_is_kept(self):
        searcher = FakeSearcher(with_length(b"one"), with_length(b"two"))
        self.assertEqual(self.call(searcher).body(), b"one")
        self.assertEqual(self.call(searcher).body(), b"two")
        self.assertEqual(searcher.accepted, 1)

    def test_searcher_that_comes_back_elsewhere_gets_new_connections(self):
        """Guards against connections to whoever has its old address now."""
        before = FakeSearcher(with_length(b"one"), with_length(b"other"))
        self.call(before)
        after = FakeSearcher(with_length(b"two"))
        self.assertEqual(self.call(after).body(), b"two")
        self.assertEqual((before.accepted, after.accepted), (1, 1))
        self.assertEqual(self.pool.by_target["i-1"].open, 1)

    def test_connection_that_was_idle_too_long_is_not_used(self):
        searcher = FakeSearcher(with_length(b"one"), with_length(b"two"))
        self.call(searcher)
        eventlet.sleep(0.02)
        self.pool.call(
            "i-1",
            searcher.address,
            REQUEST,
            is_ours,
            monotonic_s() + 2.0,
            max_idle_s=0.01,
        )
        self.assertEqual(searcher.accepted, 2)

    def test_body_without_length_ends_with_the_connection(self):
        searcher = FakeSearcher(b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\nwhole")
        self.assertEqual(self.call(searcher).body(), b"whole")

    def test_body_without_length_that_is_reset_is_not_complete(self):
        searcher = FakeSearcher(
            b"HTTP/1.1 200 OK\r\nid: 1\r\n\r\npart", reset_connection=True
        )
        with self.assertRaises(CallError) as caught:
            self.call(searcher)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    def test_truncated_body_is_not_complete(self):
        reply = with_length(b"whole")[:-2]
        searcher = FakeSearcher(reply, reset_connection=True)
        with self.assertRaises(CallError):
            self.call(searcher)

    def test_bytes_after_a_response_end_the_connection(self):
        searcher = FakeSearcher(
            with_length(b"one", extra=with_length(b"one")),
            with_length(b"two"),
        )
        self.assertEqual(self.call(searcher).body(), b"one")
        self.assertEqual(self.call(searcher).body(), b"two")
        self.assertEqual(searcher.accepted, 2)

    def test_late_response_of_another_request_is_skipped(self):
        searcher = FakeSearcher(with_length(b"old", b"0") + with_length(b"one"))
        self.assertEqual(self.call(searcher).body(), b"one")

    def test_bytes_that_are_no_response(self):
        searcher = FakeSearcher(b"\x00\x01garbage\r\n\r\n")
        with self.assertRaises(CallError) as caught:
            self.call(searcher)
        self.assertTrue(caught.exception.sent)

    def test_refused_connection_proves_that_nothing_ran(self):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        listener.close()
        with self.assertRaises(CallError) as caught:
            self.pool.call(
                "i-1", address, REQUEST, is_ours, monotonic_s() + 1.0
            )
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def test_request_without_reply_may_have_run(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = Address(*listener.getsockname())
        with self.assertRaises(CallError) as caught:
            self.pool.call(
                "i-1", address, REQUEST, is_ours, monotonic_s() + 0.05
            )
        self.assertTrue(caught.exception.unresponsive)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)


if __name__ == "__main__":
    unittest.main()
