"""Tests the verdicts of requests to an upstream that fails in any phase."""

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import socket  # noqa: E402
import threading  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402
from unittest import mock  # noqa: E402

from kumquatspur.core import actions, events  # noqa: E402
from kumquatspur.core.records import Address, Searcher  # noqa: E402
from kumquatspur.core.verdict import (  # noqa: E402
    Outcome,
    Phase,
    Verdict,
    verdict_of,
)
from kumquatspur.wire.upstream_client import UpstreamClient  # noqa: E402
from kumquatspur.wire.upstream_pool import Connection  # noqa: E402

CALL_TIMEOUT_S = 0.3
SHARD = "shard"


def item(item_id, deadline):
    return actions.Item(
        item_id, SHARD, "1", 5, 1, deadline, False, False, "sub"
    )


def reply(status, *entries):
    body = json.dumps({"items": entries}).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def ok(item_id):
    return {"item_id": item_id, "status": "ok", "shard": SHARD, "snapshot": 1}


def declined(item_id):
    return {"item_id": item_id, "status": "not_run"}


class Upstream:
    """Answers each connection with fixed bytes, then closes it.

    Attributes:
        answer: The bytes; None to send no answer.
        received: Whether a request was read.
    """

    def __init__(self, answer):
        self.answer = answer
        self.received = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.done = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        connection, _ = self.listener.accept()
        with connection:
            data = b""
            while b'"items"' not in data and (more := connection.recv(65536)):
                data += more
            self.received = bool(data)
            if self.answer is None:
                self.done.wait(5.0)
            elif self.received:
                connection.sendall(self.answer)

    def close(self):
        self.done.set()
        self.listener.close()


def search(port, ids=("a",), timeout_s=CALL_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    address = Address("127.0.0.1", port)
    searcher = Searcher("s", address, "z", 1, 4, (SHARD,), "g")
    items = tuple(item(item_id, deadline) for item_id in ids)
    call = actions.CallUpstream("call", searcher, items, deadline)
    return UpstreamClient(CALL_TIMEOUT_S).search(call)


def verdicts(event, ids=("a",)):
    """Returns the verdict of each item as the owner determines it."""
    if isinstance(event, events.UpstreamFailed):
        return [verdict_of(event.phase, event.outcome)] * len(ids)
    found = {entry.item_id: entry.result.verdict for entry in event.results}
    return [found.get(i, Verdict.MAY_HAVE_RUN) for i in ids]


NOT_RUN, RAN, MAY_HAVE_RUN = Verdict.NOT_RUN, Verdict.RAN, Verdict.MAY_HAVE_RUN


class UpstreamVerdictsTest(unittest.TestCase):
    def test_verdicts_by_answer(self):
        cases = [
            ("reset or closed", b"", [MAY_HAVE_RUN, MAY_HAVE_RUN]),
            ("silent", None, [MAY_HAVE_RUN, MAY_HAVE_RUN]),
            ("no HTTP", b"garbage\r\n\r\n", [MAY_HAVE_RUN, MAY_HAVE_RUN]),
            (
                "cut short",
                reply(200, ok("a"))[:-3],
                [MAY_HAVE_RUN, MAY_HAVE_RUN],
            ),
            (
                "status 500",
                reply(500, declined("a")),
                [MAY_HAVE_RUN, MAY_HAVE_RUN],
            ),
            ("bare 503", reply(503), [MAY_HAVE_RUN, MAY_HAVE_RUN]),
            ("503 by item", reply(503, declined("a")), [NOT_RUN, MAY_HAVE_RUN]),
            ("one ran", reply(200, ok("a"), declined("b")), [RAN, NOT_RUN]),
            ("one omitted", reply(200, ok("b")), [MAY_HAVE_RUN, RAN]),
            (
                "item of another request",
                reply(200, declined("z")),
                [MAY_HAVE_RUN, MAY_HAVE_RUN],
            ),
            (
                "contradiction",
                reply(200, declined("a"), ok("a"), declined("b")),
                [MAY_HAVE_RUN, NOT_RUN],
            ),
        ]
        for name, answer, expected in cases:
            with self.subTest(name):
                upstream = Upstream(answer)
                self.addCleanup(upstream.close)
                event = search(upstream.port, ("a", "b"))
                self.assertEqual(verdicts(event, ("a", "b")), expected)
                self.assertTrue(upstream.received)

    def test_connection_refused(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            event = search(unused.getsockname()[1])
        self.assertEqual(verdicts(event), [NOT_RUN])

    def test_nothing_is_sent_after_the_deadline(self):
        upstream = Upstream(b"")
        self.addCleanup(upstream.close)
        self.assertIs(search(upstream.port, (), 0.0).phase, Phase.QUEUED)
        connect = Connection.connect

        def slow_connect(connection):
            connect(connection)
            time.sleep(2 * CALL_TIMEOUT_S)

        with mock.patch.object(Connection, "connect", slow_connect):
            event = search(upstream.port)
        self.assertEqual(
            (event.phase, event.outcome),
            (Phase.CONNECTING, Outcome.TIMED_OUT),
        )
        self.assertFalse(upstream.received)


if __name__ == "__main__":
    unittest.main()
