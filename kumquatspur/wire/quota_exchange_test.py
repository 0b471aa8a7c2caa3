import dataclasses
import hashlib
import unittest

import eventlet
import msgspec

from kumquatspur.border import packing
from kumquatspur.border.share_codec import ShareReply, ShareRequest
from kumquatspur.core.records import Address
from kumquatspur.core.routing import (
    Account,
    ClientLimits,
    ClientRequest,
    HostCapacity,
    RoutingConfig,
)
from kumquatspur.platform import headers
from kumquatspur.policy.peer_table import (
    ISOLATED_AFTER_S,
    Peer,
)
from kumquatspur.policy.quota_ledger import START_VIEW_S
from kumquatspur.policy.route_table import RouteTable
from kumquatspur.wire.entry_state import new_state
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.share_exchange import ShareExchange
from standins.platform_path_case import PlatformPathCase

KEY = b"key-of-a"
ACCOUNT = Account(
    "a", (hashlib.sha256(KEY).digest(),), rate_per_s=1.0, burst=2.0
)
CAPACITY = HostCapacity(100.0, 1.0)


class NoLog:
    def write(self, *arguments, **fields):
        """Discards a line."""


class QuotaCase(PlatformPathCase):
    """Hosts without network that call each other's handlers."""

    def setUp(self):
        super().setUp()
        self.wait_ready()
        bounds = msgspec.structs.replace(
            self.host.settings.bounds, quota_overrun=0.1, quota_slack=20.0
        )
        self.settings = msgspec.structs.replace(
            self.host.settings, bounds=bounds
        )
        self.hosts = {}
        self.calls = []
        self.loan_calls = []
        self.down = set()

    def add_host(self, name, zone="z"):
        settings = msgspec.structs.replace(self.settings, name=name, zone=zone)
        state = new_state(settings, NoLog())
        config = RoutingConfig(1, (), {}, ClientLimits(), (ACCOUNT,))
        state.apply_config(config, "store")
        exchange = ShareExchange(state, self.call)
        # A host that has run for longer than a window.
        exchange.quotas.ledger.started_at -= 100.0
        state.quotas.started_at -= 100.0
        exchange.quotas.start()
        for other in self.hosts.values():
            self.introduce(other.state, state)
            self.introduce(state, other.state)
        self.hosts[name] = exchange
        return exchange

    def introduce(self, state, other):
        address = Address(other.settings.name, 1)
        now = monotonic_s() + 60.0
        name, zone = other.settings.name, other.settings.zone
        peer = Peer(name, zone, address, now, CAPACITY)
        state.peers.merge_peer(peer)

    def call(self, address, path, data, timeout_s=0.5):
        is_loan = bool(packing.unpack(data, ShareRequest).loans)
        (self.loan_calls if is_loan else self.calls).append(address.host)
        if address.host in self.down:
            eventlet.sleep(timeout_s)
            raise OSError("timed out")
        eventlet.sleep(0.001)
        return self.hosts[address.host].serve(data)

    def ranked(self, exchange):
        peers = exchange.state.peers.account_allocators("a")
        own = exchange.state.settings.name
        return [peer.name if peer else own for peer in peers]


class QuotaExchangeTest(QuotaCase):
    def setUp(self):
        super().setUp()
        # A zone has at most two allocators.
        for name, zone in (("h1", "x"), ("h2", "y"), ("h3", "z")):
            self.add_host(name, zone)
        self.first, self.second, self.last = self.ranked(self.hosts["h1"])[:3]

    def test_hosts_share_the_quota(self):
        admitted = 0
        for _ in range(10):
            for exchange in self.hosts.values():
                admitted += exchange.quotas.admit(ACCOUNT).admitted
        depth = self.hosts["h1"].quotas._terms().depth(ACCOUNT)
        self.assertGreaterEqual(admitted, int(depth))
        self.assertLessEqual(admitted, depth + 4)
        refused = self.hosts["h1"].quotas.admit(ACCOUNT)
        self.assertFalse(refused.admitted)
        self.assertGreater(refused.wait_s, 0.0)

    def test_refusal_needs_no_message(self):
        for _ in range(20):
            self.hosts[self.last].quotas.admit(ACCOUNT)
        self.calls.clear()
        self.loan_calls.clear()
        for _ in range(100):
            self.hosts[self.last].quotas.admit(ACCOUNT)
        self.assertLessEqual(len(self.calls) + len(self.loan_calls), 2)

    def test_requests_at_once_are_asked_together(self):
        exchange = self.hosts[self.last]
        threads = [
            eventlet.spawn(exchange.quotas.admit, ACCOUNT) for _ in range(5)
        ]
        self.assertTrue(all(thread.wait().admitted for thread in threads))
        self.assertLessEqual(len(self.calls), 3)

    def test_allocator_that_is_down(self):
        """The request waits until the next host has answered."""
        self.down.add(self.first)
        self.assertTrue(self.hosts[self.last].quotas.admit(ACCOUNT).admitted)
        self.assertEqual(self.calls, [self.first, self.second])

    def test_no_allocator_answers(self):
        self.down.update((self.first, self.second))
        exchange = self.hosts[self.last]
        began = monotonic_s()
        exchange.quotas.admit(ACCOUNT)
        self.assertLess(monotonic_s() - began, 0.4)

    def test_earlier_build_is_no_allocator(self):
        """It answers without the accounts, and the next host is asked."""
        old = self.hosts[self.first]
        old.serve = lambda data: packing.pack(
            ShareReply(lease_s=2.0, renew_s=0.5)
        )
        exchange = self.hosts[self.last]
        self.assertTrue(exchange.quotas.admit(ACCOUNT).admitted)
        second = self.hosts[self.second].quotas
        self.assertIsNone(second._ranked("a", monotonic_s())[0])
        self.calls.clear()
        exchange.state.quotas.by_account.clear()
        self.assertTrue(exchange.quotas.admit(ACCOUNT).admitted)
        self.assertEqual(self.calls, [self.second])

    def test_allocator_borrows_what_it_lacks(self):
        """Any host can grant the whole quota while the others are reached."""
        self.down.update((self.first, self.second))
        exchange = self.hosts[self.last]
        exchange.quotas.admit(ACCOUNT)
        self.down.clear()
        exchange.quotas._loan_backoff_until.clear()
        exchange.quotas._zone_backoff_until.clear()
        admitted = 1
        for _ in range(20):
            admitted += exchange.quotas.admit(ACCOUNT).admitted
        depth = exchange.quotas._terms().depth(ACCOUNT)
        self.assertGreaterEqual(admitted, int(depth))
        self.assertLessEqual(admitted, depth + 2)

    def test_lender_that_does_not_answer_costs_little_time(self):
        self.down.update((self.second, self.last))
        exchange = self.hosts[self.first]
        began = monotonic_s()
        results = [exchange.quotas.admit(ACCOUNT) for _ in range(9)]
        self.assertLess(monotonic_s() - began, 0.3)
        self.assertIn(True, [result.admitted for result in results])

    def test_host_cut_off_from_all_others_grants_its_own_part(self):
        self.down.update((self.second, self.last))
        exchange = self.hosts[self.first]
        peers = exchange.state.peers
        part = peers.account_part("a", monotonic_s())
        for name, peer in peers.peers.items():
            peers.peers[name] = dataclasses.replace(
                peer, last_received_at=monotonic_s() - ISOLATED_AFTER_S - 1.0
            )
        results = [exchange.quotas.admit(ACCOUNT) for _ in range(9)]
        admitted = [result.admitted for result in results].count(True)
        depth = exchange.quotas._terms().depth(ACCOUNT)
        self.assertGreater(admitted, 0)
        self.assertLessEqual(admitted, part * depth + 1)

    def test_first_requests_after_a_common_start_wait_for_the_hosts(self):
        exchange = self.hosts[self.last]
        exchange.state.quotas.started_at = monotonic_s()
        began = monotonic_s()
        self.assertTrue(exchange.quotas.admit(ACCOUNT).admitted)
        self.assertGreater(monotonic_s() - began, 0.9 * START_VIEW_S)
        exchange.state.quotas.started_at = monotonic_s()
        exchange.state.peers.joined = True
        began = monotonic_s()
        exchange.quotas.admit(ACCOUNT)
        self.assertLess(monotonic_s() - began, 0.5 * START_VIEW_S)

    def test_message_of_an_earlier_build(self):
        request = ShareRequest(host="old", needs=())
        data = self.hosts["h1"].serve(packing.pack(request))
        self.assertEqual(packing.unpack(data, ShareReply).shares, ())

    def test_host_that_is_stopping_still_allocates(self):
        self.hosts[self.first].state.stopping = True
        self.assertTrue(self.hosts[self.last].quotas.admit(ACCOUNT).admitted)
        self.assertEqual(self.calls, [self.first])

    def test_client_that_disconnects_while_waiting(self):
        self.down.update((self.first, self.second))
        exchange = self.hosts[self.last]
        thread = eventlet.spawn(exchange.quotas.admit, ACCOUNT)
        eventlet.sleep(0.02)
        thread.kill()
        eventlet.sleep(0.0)
        self.assertEqual(exchange.state.quotas.by_account["a"].waiting, 0)


class ForwarderQuotaTest(PlatformPathCase):
    def serve(self, path, number):
        request = ClientRequest(
            "GET",
            path,
            "shop.example",
            path,
            (
                (b"Host", b"shop.example"),
                (headers.REQUEST_ID, f"r{number}".encode()),
            ),
            b"",
            f"r{number}",
            0.5,
            monotonic_s(),
            authorization=(b"Bearer " + KEY,),
        )
        return self.host.forwarder.serve(request)

    def setUp(self):
        super().setUp()
        self.wait_ready()
        quota = self.host.shares.quotas
        quota.ledger.started_at -= 100.0
        quota._known_accounts = lambda: {"a": ACCOUNT}
        self.set_accounts((ACCOUNT,))

    def set_accounts(self, accounts):
        """Puts a configuration with these accounts in force."""
        config = self.host.state.table.config
        self.host.state.table = RouteTable(
            dataclasses.replace(config, accounts=accounts)
        )

    def test_requests_beyond_the_quota_are_refused_with_a_wait(self):
        for path in ("/one/x", "/all/x"):
            self.host.shares.quotas.ledger.entries.clear()
            self.host.state.quotas.by_account.clear()
            replies = [self.serve(path, f"{path}{n}") for n in range(6)]
            statuses = [reply.status for reply in replies]
            self.assertEqual(statuses, [200] * 2 + [429] * 4, path)
            waits = {
                float(dict(reply.headers)[b"Retry-After"])
                for reply in replies[2:]
            }
            self.assertEqual(len(waits), 4)
            self.assertGreater(min(waits), 0.2)

    def test_requests_without_an_account_have_no_quota(self):
        self.set_accounts(None)
        for number in range(6):
            self.assertEqual(self.serve("/one/x", number).status, 200)

    def test_request_that_was_never_sent_is_refunded(self):
        for name in ("i-single-a", "i-single-b"):
            self.searchers[name].close()
        statuses = [self.serve("/one/x", n).status for n in range(6)]
        self.assertNotIn(429, statuses)


if __name__ == "__main__":
    unittest.main()
