"""Servers that close the connection in the middle of an answer's head.

Each client has to fail then, at whichever byte the head ends: an answer with an
empty or short body must not look whole.
"""

import time
import unittest

import eventlet
import urllib3
from eventlet.green import socket

from kumquatspur.border.bounded_http import BoundedConnectionPool
from kumquatspur.core import actions, events
from kumquatspur.core.records import Address, Searcher
from kumquatspur.scripts import http_calls
from kumquatspur.wire.peer_calls import PeerCallError, PeerCalls
from kumquatspur.wire.searcher_pool import CallError, TargetPool, monotonic_s
from kumquatspur.wire.store_client import StoreClient, StoreUnavailableError
from kumquatspur.wire.upstream_client import UpstreamClient
from standins.platform_path_case import PlatformPathCase

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Kumquatspur-Attempt-Id: r1\r\nKumquatspur-Server-Seal: s\r\n"
    b"Content-Length: 12\r\n\r\n"
)
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
OFFSETS = range(1, len(HEAD))
# Slower clients are tried at the ends of words and lines only.
SOME_OFFSETS = [12, 15, 17, 19, 32, 40, 50, 78, 79, 109, 127, 128, 129, 130]


class CuttingServer:
    """Answers each request with the beginning of a head, then closes.

    Attributes:
        offset: How many bytes of the head are sent.
    """

    def __init__(self):
        self.offset = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.thread = eventlet.spawn(self.run)

    def run(self):
        while True:
            sock, _ = self.listener.accept()
            sock.recv(65536)
            sock.sendall(HEAD[: self.offset])
            sock.shutdown(socket.SHUT_WR)
            sock.close()

    def close(self):
        self.thread.kill()
        self.listener.close()


class CutHeadsTest(unittest.TestCase):
    def setUp(self):
        self.server = CuttingServer()
        self.addCleanup(self.server.close)

    def cut_at(self, offset):
        self.server.offset = offset
        return self.subTest(sent=HEAD[:offset])

    def test_host_calls_a_searcher_or_a_host(self):
        pool = TargetPool(200.0)
        for offset in OFFSETS:
            with self.cut_at(offset):
                with self.assertRaises(CallError):
                    pool.call(
                        "i",
                        self.server.address,
                        REQUEST,
                        lambda message: True,
                        monotonic_s() + 2.0,
                    )

    def test_pool_of_the_stores_and_the_command_line(self):
        address = self.server.address
        pool = BoundedConnectionPool(address.host, address.port)
        for offset in OFFSETS:
            with self.cut_at(offset):
                with self.assertRaises(urllib3.exceptions.HTTPError):
                    pool.urlopen("GET", "/", retries=False, timeout=2.0)

    def test_host_exchanges_messages_with_a_host(self):
        calls = PeerCalls()
        for offset in SOME_OFFSETS:
            with self.cut_at(offset):
                with self.assertRaises(PeerCallError):
                    calls.call(self.server.address, "/", b"", 2.0)

    def test_daemon_calls_a_searcher(self):
        searcher = Searcher("s", self.server.address, "z", 2, 25, ("a",), "g")
        client = UpstreamClient(0.5)
        for offset in SOME_OFFSETS:
            with self.cut_at(offset):
                deadline = time.monotonic() + 2.0
                item = actions.Item(
                    "1", "a", "1", 3, 1, deadline, False, False, "q"
                )
                found = client.search(
                    actions.CallUpstream("1", searcher, (item,), deadline)
                )
                self.assertIsInstance(found, events.UpstreamFailed)
                self.assertIsInstance(
                    client.probe(searcher), events.ProbeFailed
                )

    def test_daemon_calls_its_store(self):
        client = StoreClient(self.server.address)
        for offset in SOME_OFFSETS:
            with self.cut_at(offset):
                with self.assertRaises(StoreUnavailableError):
                    client.get("key")

    def test_command_line_calls_a_daemon(self):
        for offset in SOME_OFFSETS:
            with self.cut_at(offset):
                reply, errors = http_calls.call("GET", self.server.address, "/")
                self.assertIsNone(reply)
                self.assertEqual(len(errors), 1)


class CutAnswersOfSearchersTest(PlatformPathCase):
    """The client of an entry host gets no success."""

    def setUp(self):
        super().setUp()
        self.server = CuttingServer()
        self.addCleanup(self.server.close)
        for name in ("i-single-a", "i-single-b"):
            entry = self.searchers[name].store_entry(
                address=f"127.0.0.1:{self.server.address.port}"
            )
            self.store.put_json(f"servers/{name}", entry)
        self.wait_ready()

    def test_client_gets_a_failure(self):
        for path in ("/one/x", "/once/x"):
            for offset in SOME_OFFSETS:
                self.server.offset = offset
                status, fields, _ = self.exchange(
                    self.connect(), self.request(path)
                )
                self.assertGreaterEqual(status, 500, HEAD[:offset])
                self.assertNotIn("kumquatspur-server-seal", fields)

    def test_client_that_stops_within_a_head_runs_nothing(self):
        request = self.request("/all/x", "cut")
        for size in range(1, len(request)):
            sock = self.connect()
            sock.sendall(request[:size])
            sock.close()
        eventlet.sleep(0.1)
        runs = sum(s.runs["cut"] for s in self.searchers.values())
        self.assertEqual(runs, 0)


if __name__ == "__main__":
    unittest.main()
