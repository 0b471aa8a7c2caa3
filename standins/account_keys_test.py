"""Requests with keys of client accounts, through entry hosts."""

import dataclasses
import hashlib
import json
import unittest
from unittest import mock

import eventlet
import msgspec

from kumquatspur.platform import documents
from kumquatspur.wire.delegator import ACCOUNT_HEADER, KEY_DIGEST_HEADER
from kumquatspur.wire.forwarder import MAX_UNKNOWN_KEYS_LOGGED_PER_S
from kumquatspur.wire.searcher_pool import CallError, monotonic_s
from standins.platform_deployment import wait_until
from standins.platform_path_case import PlatformPathCase
from standins.platform_searcher import forwarded_route, make_config
from standins.platform_store import StandInStore

KEYS = ("sesame-north-1", "sesame-north-2", "sesame-south-1")
NORTH = {"name": "north", "api-keys": list(KEYS[:2])}
SOUTH = {"name": "süd 100%", "api-keys": [KEYS[2]]}
NORTH_KEY = b"Authorization: Bearer " + KEYS[0].encode()
SOUTH_KEY = b"aUTHORIZATION: bEARER " + KEYS[2].encode()
SOUTH_NAME = [SOUTH["name"].encode()]
WRONG_KEY = b"Authorization: Bearer wrong"
FORGED = b"kUMQUATSPUR-Tenant-Name: north"
NAMED = ACCOUNT_HEADER + b": north"
DIGEST = hashlib.sha256(KEYS[0].encode()).hexdigest().encode()
DIGEST_LINE = KEY_DIGEST_HEADER + b": " + DIGEST
CHUNKED = b"Transfer-Encoding: chunked"
SLOW_WORK_S = 0.1
REFUSALS = 150


class AccountKeysTest(PlatformPathCase):
    def setUp(self):
        self.tenants = [NORTH, SOUTH]
        self.version = 1
        super().setUp()
        self.hosts = [self.host]
        self.wait_ready()

    def tearDown(self):
        """No key may be in a log line, whatever a test has done."""
        for host in self.hosts:
            text = b"".join(host.state.log._lines).decode()
            for key in KEYS:
                self.assertNotIn(key, text + repr(host.state.table))

    def put_config(self, version, routes):
        exempt = {"auth-exempt": True}
        routes = [
            *routes,
            forwarded_route("open", "/open/", "single", **exempt),
        ]
        self.document = make_config(version, routes)
        if self.tenants is not None:
            self.document["tenants"] = self.tenants
        self.store.put_json("op/config", self.document)

    def reconfigure(self, tenants):
        """Writes a configuration and waits until all hosts have it."""
        self.tenants, self.version = tenants, self.version + 1
        self.put_config(self.version, self.routes)
        for state in [host.state for host in self.hosts]:
            wait_until(lambda s=state: s.table.config.version == self.version)

    def apply(self, tenants, host=None):
        """Puts a configuration in force at once."""
        self.version += 1
        changes = {"config-version": self.version, "tenants": tenants}
        data = json.dumps({**self.document, **changes}).encode()
        config, _ = documents.decode_config(data)
        (host or self.host).state.apply_config(config, "test")

    def status(self, path, *lines, body=b"", host=None, sock=None):
        """Sends a request with header lines; returns its status."""
        method = "POST" if body else "GET"
        data = self.request(path, method=method).removesuffix(b"\r\n")
        data += b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body
        return self.exchange(sock or self.connect(host), data)[0]

    def take_received(self):
        """Returns and forgets the headers that searchers have received."""
        found = []
        for searcher in self.searchers.values():
            found += searcher.received
            searcher.received.clear()
        return found

    def check_received(self, names, keys=()):
        """Checks account names and keys of the requests received since."""
        found = self.take_received()
        self.assertTrue(found)
        for fields in found:
            named = [v for n, v in fields if b"tenant" in n]
            authorized = [v for n, v in fields if n == b"authorization"]
            self.assertEqual((named, authorized), (names, list(keys)))
            self.assertFalse([n for n, _ in fields if n.startswith(b"x-kumq")])

    def test_unknown_keys_are_refused_before_anything_is_sent(self):
        for lines in (
            (),
            (b"Authorization:",),
            (b"Authorization: Basic " + KEYS[0].encode(),),
            (b"Authorization: Bearer \xff\xfe\x80",),
            (b"Authorization: Bearer " + b"x" * 7000,),
            (NORTH_KEY, NORTH_KEY),
            (NORTH_KEY, b"AUTHORIZATION: Bearer x"),
            (NAMED, DIGEST_LINE),
            (FORGED, WRONG_KEY),
        ):
            for path in ("/all/x", "/one/x", "/once/x"):
                with self.subTest(lines=lines, path=path):
                    self.assertEqual(self.status(path, *lines), 401)
        body = b"0\r\n" + NORTH_KEY + b"\r\n\r\n"
        self.assertEqual(self.status("/one/x", CHUNKED, body=body), 401)
        self.assertEqual(self.status("/none/x"), 404)
        self.assertEqual(self.take_received(), [])

    def test_refusals_use_up_few_lines_of_the_log(self):
        sock, start = self.connect(), monotonic_s()
        for _ in range(REFUSALS):
            self.status("/one/x", sock=sock)
        seconds = monotonic_s() - start + 2.0
        lines = b"".join(self.host.state.log._lines).count(b"unknown_key")
        self.assertLessEqual(lines, seconds * MAX_UNKNOWN_KEYS_LOGGED_PER_S)
        counters = self.host.state.counters
        self.assertEqual(counters["refused_unknown_key"], REFUSALS)

    def test_searchers_get_the_name_and_never_the_key(self):
        listed = b"Connection: keep-alive, authorization"
        others = (b"Kumquatspur_Tenant_Name: x", b"X-Kumquatspur-Rerouted: 9")
        for path in ("/all/x", "/one/x"):
            for lines in ((SOUTH_KEY, FORGED, FORGED), (SOUTH_KEY, listed)):
                self.assertEqual(self.status(path, *lines, *others), 200)
                self.check_received(SOUTH_NAME)
        body = b"0\r\n" + SOUTH_KEY + b"\r\n" + FORGED + b"\r\n\r\n"
        self.assertEqual(
            self.status("/one/x", SOUTH_KEY, CHUNKED, body=body), 200
        )
        self.check_received(SOUTH_NAME)

    def test_exempt_route_needs_no_key_and_names_no_account(self):
        for lines in ((), (NORTH_KEY, FORGED), (WRONG_KEY,)):
            self.assertEqual(self.status("/open/x", *lines), 200)
            self.check_received([])

    def test_without_accounts_the_header_is_passed_on(self):
        self.reconfigure(None)
        self.assertEqual(self.status("/one/x", WRONG_KEY, FORGED), 200)
        self.check_received([], [b"Bearer wrong"])

    def test_keys_change_on_a_kept_connection(self):
        def statuses():
            keys = (NORTH_KEY, WRONG_KEY)
            return [self.status("/one/x", key, sock=sock) for key in keys]

        sock = self.connect()
        self.assertEqual(statuses(), [200, 401])
        self.reconfigure([{**NORTH, "api-keys": ["wrong"]}])
        self.assertEqual(statuses(), [401, 200])

    def test_unreadable_configuration_shows_no_key(self):
        """Errors of validation may quote the input; tearDown looks for it."""
        mirror = self.host.mirror
        for tenants in (
            [{"name": KEYS[0], "api-keys": KEYS[1]}],
            [{"name": "\n", "api-keys": [KEYS[0], 7, {KEYS[1]: KEYS[2]}]}],
            {KEYS[0]: KEYS[1]},
        ):
            data = json.dumps({**self.document, "tenants": tenants}).encode()
            for value in (data, data[:-5]):
                self.store.put("op/config", value)
                wait_until(lambda: mirror.revision >= self.store.revision)
        lines = b"".join(self.host.state.log._lines)
        self.assertEqual(lines.count(b"config_unreadable"), 6)
        self.assertEqual(self.status("/one/x", NORTH_KEY), 200)

    def test_removed_key_is_not_sent_again_after_an_attempt(self):
        single = [s for s in self.searchers.values() if s.service == "single"]
        for searcher in single:
            searcher.work_s = SLOW_WORK_S
            searcher.script.append("error")
        thread = eventlet.spawn(self.status, "/one/x", NORTH_KEY)
        wait_until(lambda: sum(s.arrivals for s in single))
        self.apply([SOUTH])
        self.assertEqual(thread.wait(), 500)
        self.assertEqual(sum(s.arrivals for s in single), 1)

    def failing_calls(self, host, tenants, first_only=False):
        """Lets calls of a host fail unsent, and its configuration change."""
        call = host.pool.call

        def fail(*arguments):
            if first_only:
                host.pool.call = call
            self.apply(tenants, host)
            raise CallError("not sent", sent=False)

        return mock.patch.object(host.pool, "call", fail)

    def test_request_whose_key_is_removed_before_it_is_sent(self):
        for path in ("/all/x", "/one/x", "/once/x"):
            self.apply([NORTH, SOUTH])
            with self.failing_calls(self.host, [SOUTH]):
                self.assertEqual(self.status(path, NORTH_KEY), 401, path)
        self.assertEqual(self.take_received(), [])

    def test_accounts_that_appear_while_a_request_waits(self):
        """A retry must not pass on the key that the first attempt had."""
        self.reconfigure(None)
        with self.failing_calls(self.host, [NORTH], first_only=True):
            self.assertEqual(self.status("/one/x", NORTH_KEY), 200)
        self.check_received([b"north"])

    def start_fast_host(self):
        """Starts a host whose link is so fast that it is given requests."""
        port = self.host.settings.peer.port
        fast = self.start_host("fast", seeds=(port,), link_mbps=100_000.0)
        self.hosts.append(fast)
        msgspec.structs.force_setattr(
            self.host.settings.machine, "link_mbps", 0.05
        )
        self.wait_ready(fast)
        wait_until(lambda: "fast" in self.host.state.peers.peers)
        return fast

    def test_delegated_request_has_the_account_and_not_the_key(self):
        fast = self.start_fast_host()
        pool = self.host.delegator.pool
        with mock.patch.object(pool, "call", side_effect=pool.call) as call:
            self.assertEqual(self.status("/all/x", SOUTH_KEY), 200)
        self.assertNotIn(KEYS[2], repr(call.call_args))
        self.assertEqual(fast.state.counters["answered_200"], 1)
        self.check_received(SOUTH_NAME)
        # If the configurations differ, the request is served here.
        with mock.patch.object(fast.state.table.keys, "by_digest", {}):
            self.assertEqual(self.status("/all/x", SOUTH_KEY), 200)
        self.assertEqual(fast.state.counters["handed_over_declined"], 1)
        self.check_received(SOUTH_NAME)

    def test_key_that_is_removed_while_another_host_has_the_request(self):
        fast = self.start_fast_host()
        with self.failing_calls(fast, [NORTH]):
            self.assertEqual(self.status("/all/x", SOUTH_KEY), 401)
        self.assertEqual(self.take_received(), [])

    def test_request_is_delegated_only_to_hosts_that_know_accounts(self):
        """Searchers would not learn the account from an earlier build."""
        fast = self.start_fast_host()
        peers = self.host.state.peers
        merge = peers.merge_peer
        peers.merge_peer = lambda peer: merge(
            dataclasses.replace(peer, knows_accounts=False)
        )
        wait_until(lambda: not peers.peers["fast"].knows_accounts)
        self.assertEqual(self.status("/all/x", SOUTH_KEY), 200)
        self.assertEqual(fast.state.counters["answered_200"], 0)

    def test_requests_from_other_hosts(self):
        """An earlier build names no account and passes the key on."""
        msgspec.structs.force_setattr(
            self.host.settings, "front", self.host.settings.relay
        )
        for status, *lines in (
            (421,),
            (421, NAMED),
            (421, NAMED, KEY_DIGEST_HEADER + b": zz"),
            (421, ACCOUNT_HEADER + b": south", DIGEST_LINE),
            (401, WRONG_KEY),
            (200, NAMED, DIGEST_LINE),
            (200, NORTH_KEY, FORGED),
        ):
            with self.subTest(lines):
                lines.append(b"X-Kumquatspur-Config: 1")
                self.assertEqual(self.status("/all/x", *lines), status)
                if status == 200:
                    self.check_received([b"north"])

    def test_host_without_store_gets_keys_from_other_hosts(self):
        closed = StandInStore()
        closed.close()
        lone = self.start_host("lone", store=closed)
        wait_until(lambda: lone.front is not None)
        self.assertEqual(self.status("/one/x", NORTH_KEY, host=lone), 503)
        port = self.host.settings.peer.port
        cut = self.start_host("cut", store=closed, seeds=(port,))
        self.hosts.append(cut)
        self.wait_ready(cut)
        self.assertEqual(self.status("/one/x", NORTH_KEY, host=cut), 200)
        self.reconfigure([SOUTH])
        self.assertEqual(self.status("/one/x", NORTH_KEY, host=cut), 401)


if __name__ == "__main__":
    unittest.main()
