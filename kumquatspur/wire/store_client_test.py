import json
import unittest

from kumquatspur.core.records import Address
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreUnavailableError,
    read_host_list,
)
from standins import http_helpers
from standins.platform_deployment import LOOPBACK, free_ports

DEEP = b"[" * 100_000
ROW = {
    "name": "oslo-1-a",
    "zone": "oslo-1",
    "host": "10.0.0.1",
    "port": 7000,
    "leaving": False,
    "role": "entry",
}
ODD_ROWS = (
    {**ROW, "port": 99_999},
    {**ROW, "port": "7000"},
    {**ROW, "name": ""},
    {**ROW, "leaving": None},
    {key: value for key, value in ROW.items() if key != "zone"},
    [1],
    None,
)


class OddRepliesTest(unittest.TestCase):
    """Replies that must not end the green thread that asked for them."""

    def setUp(self):
        self.reply, self.status = b"", "200 OK"
        (port,) = free_ports(1)

        def application(environ, start_response):
            start_response(
                self.status, [("Content-Length", str(len(self.reply)))]
            )
            return [self.reply]

        self.listener = http_helpers.serve(port, application)
        self.addCleanup(self.listener.close)
        self.address = Address(LOOPBACK, port)

    def test_odd_reply_of_the_store_is_a_failed_call(self):
        """Guards against a daemon that asks its store no more."""
        client = StoreClient(self.address)
        calls = (
            lambda: client.get("key"),
            lambda: client.put("key", "text", 1),
            lambda: client.watch("key", 1, 0.0),
            lambda: client.keep_lease("", 1.0),
        )
        for self.status in ("200 OK", "409 Conflict"):
            for self.reply in (
                DEEP,
                b"[]",
                b"null",
                b"{}",
                b'{"version": "1", "value": 1, "lease": 1}',
                b'{"version": 1' + b"0" * 5000 + b"}",
                b"\xff",
            ):
                for call in calls:
                    with self.assertRaises(StoreUnavailableError):
                        call()

    def test_odd_host_list_is_a_failed_call(self):
        """Guards against a daemon that reads its host list no more."""
        for self.reply in (DEEP, b"{}", b'{"hosts": 1}', b"[]"):
            with self.assertRaises(StoreUnavailableError):
                read_host_list(self.address)

    def test_odd_row_leaves_the_other_hosts(self):
        """Guards against one row that makes the whole list unreadable."""
        for odd in ODD_ROWS:
            self.reply = json.dumps({"hosts": [odd, ROW]}).encode()
            with self.assertLogs("kumquatspur.wire.store_client") as logs:
                hosts = read_host_list(self.address)
            self.assertEqual([host.name for host in hosts], ["oslo-1-a"])
            self.assertIn("hosts.0", logs.records[0].error)


if __name__ == "__main__":
    unittest.main()
