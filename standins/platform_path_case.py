"""Base of the tests that send requests through an entry host."""

import collections
import json
import pathlib
import tempfile
import unittest

import eventlet
from eventlet.green import socket

from kumquatspur.border.entry_settings import read_entry_settings
from kumquatspur.wire.entry_host import EntryHost
from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import (
    free_ports,
    host_settings,
    make_record,
    wait_until,
)
from standins.platform_searcher import (
    PlatformSearcher,
    forwarded_route,
    make_config,
    parse_reply,
    scattered_route,
)
from standins.platform_store import StandInStore

ZONE = "z"
WAIT_S = 15.0


class PlatformPathCase(unittest.TestCase):
    """Sends requests through an entry host to searchers, with a store.

    Attributes:
        store: The store.
        searchers: The searchers by identifier.
        routes: The routes of the first configuration.
        host: The entry host.
    """

    def setUp(self):
        """Starts the store, the searchers and one entry host."""
        self.store = StandInStore()
        self.addCleanup(self.store.close)
        self.searchers = collections.OrderedDict()
        for shard in ("s0", "s1", "s2", "s3"):
            for copy in "ab":
                number = int(shard[1])
                name = f"i-{shard}-{copy}"
                records = [make_record(number * 10 + item) for item in range(5)]
                self.add_searcher(name, shard, records)
        self.add_searcher("i-single-a", "single", [])
        self.add_searcher("i-single-b", "single", [])
        self.routes = [
            scattered_route("all", "/all/", ("s0", "s1", "s2", "s3")),
            forwarded_route("one", "/one/", "single"),
            forwarded_route(
                "once", "/once/", "single", **{"route-type": "non_idempotent"}
            ),
        ]
        self.put_config(1, self.routes)
        self.host = self.start_host("own")

    def add_searcher(self, name, service, records, zone=ZONE):
        """Starts and registers a searcher."""
        searcher = PlatformSearcher(name, service, zone, records)
        self.addCleanup(searcher.close)
        searcher.register(self.store)
        self.searchers[name] = searcher
        return searcher

    def put_config(self, version, routes):
        """Writes a configuration to the store."""
        self.store.put_json("op/config", make_config(version, routes))

    def start_host(self, name, store=None, seeds=(), **options):
        """Starts an entry host in this process."""
        address = (store or self.store).address
        ports = free_ports(5)
        text = json.dumps(
            host_settings(name, ZONE, ports, address, seeds, **options)
        )
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.json"
        path.write_text(text, encoding="utf-8")
        settings, errors = read_entry_settings(str(path))
        self.assertEqual(errors, [])
        host = EntryHost(settings, str(path))
        # Simulates a host that has run for longer than a retry budget window.
        host.state.extra_attempts.allowance_from = 0.0
        host.state.log.start = lambda: None
        host.state.log.flush = lambda: None
        thread = eventlet.spawn(host.run)
        self.addCleanup(thread.kill)
        return host

    def wait_ready(self, host=None):
        """Waits until a host serves and knows all searchers."""
        host = host or self.host
        wait_until(host.state.is_ready)
        count = len(self.searchers)
        wait_until(lambda: len(host.state.directory.by_id) >= count)

    def connect(self, host=None):
        """Returns a client connection to a host."""
        address = (host or self.host).settings.front
        sock = socket.create_connection((address.host, address.port))
        sock.settimeout(WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def exchange(self, sock, data):
        """Sends a request; returns status, headers and body of its response."""
        sock.sendall(data)
        received = b""
        while b"\r\n\r\n" not in received:
            data = sock.recv(65536)
            if not data:
                return None
            received += data
        status, fields, body = parse_reply(received)
        while len(body) < int(fields["content-length"]):
            body += sock.recv(65536)
        return status, fields, body

    def request(self, path, request_id="r1", method="GET", body=b"", **extra):
        """Returns the bytes of a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: shop.example",
            f"Kumquatspur-Attempt-Id: {request_id}",
            "Kumquatspur-Deadline-Ms: 500",
            *(f"{name}: {value}" for name, value in extra.items()),
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def ask(self, path, **options):
        """Sends a request on a new connection to the first host."""
        self.wait_ready()
        return self.exchange(self.connect(), self.request(path, **options))

    def no_s3_searcher_is_usable(self):
        """Returns whether shard s3 has no usable searcher."""
        return not self.host.state.directory.usable("s3", monotonic_s())

    def count_single_runs(self, request_id):
        """Returns how often the single service ran a request."""
        return sum(
            searcher.runs[request_id]
            for name, searcher in self.searchers.items()
            if searcher.service == "single"
        )

    def script(self, prefix, *behaviours):
        """Sets the next behaviours of searchers by prefix of their name."""
        for name, searcher in self.searchers.items():
            if name.startswith(prefix):
                searcher.script.extend(behaviours)
