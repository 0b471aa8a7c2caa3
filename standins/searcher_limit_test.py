"""Searchers that name a limit get no more requests from all hosts together."""

import itertools
import time
import unittest

import eventlet

from kumquatspur.wire.searcher_pool import monotonic_s
from standins.limit_rule import CONTACT_S, WINDOW_S, allowed, most_in_window
from standins.platform_deployment import wait_until
from standins.platform_path_case import WAIT_S, ZONE, PlatformPathCase

LIMIT_PER_S = 5.0
CLIENT_PAUSE_S = 0.03
# Half of the deadline of the tests' requests: a rejection is not held back.
AT_ONCE_S = 0.25
LOAD_S = CONTACT_S + WINDOW_S + 1.0


class SearcherLimitTest(PlatformPathCase):
    def setUp(self):
        super().setUp()
        seeds = (self.host.settings.peer.port,)
        self.hosts = [
            self.host,
            self.start_host("second", seeds=seeds),
            self.start_host("third", seeds=seeds),
        ]
        for host in self.hosts:
            self.wait_ready(host)
        for host in self.hosts:
            wait_until(lambda host=host: len(host.state.peers.peers) == 2)
        self.numbers = itertools.count()
        self.statuses = []

    def send_load(self, host, path, until):
        """Sends one request after the other to a host until a time."""
        sock = self.connect(host)
        while time.monotonic() < until:
            request_id = f"l{next(self.numbers)}"
            reply = self.exchange(sock, self.request(path, request_id))
            self.statuses.append(reply[0])
            eventlet.sleep(CLIENT_PAUSE_S)

    def run_load(self, path, hosts):
        until = time.monotonic() + LOAD_S
        threads = [
            eventlet.spawn(self.send_load, host, path, until) for host in hosts
        ]
        for thread in threads:
            thread.wait()

    def assert_limits_hold(self, names, start):
        for name in names:
            arrived_at = self.searchers[name].arrived_at
            found = most_in_window(arrived_at, start + CONTACT_S)
            self.assertLessEqual(found, allowed(LIMIT_PER_S), name)

    def test_limit_of_searchers_holds_over_all_hosts(self):
        names = ("i-single-a", "i-single-b")
        for name in names:
            self.searchers[name].limit_per_s = LIMIT_PER_S
        start = time.monotonic()
        self.run_load("/one/x", self.hosts)
        self.assert_limits_hold(names, start)
        # Requests over the limit are rejected, not held or lost.
        self.assertLessEqual(set(self.statuses), {200, 503})

    def test_share_follows_the_requests(self):
        self.searchers["i-single-a"].limit_per_s = LIMIT_PER_S
        limits = self.host.state.limits

        def share():
            limit = limits.by_searcher.get("i-single-a")
            return limits.share(limit, monotonic_s()) if limit else 0.0

        self.ask_until(lambda: share() > 0.9)

    def test_share_is_leased_by_another_host_after_the_first_one_stops(self):
        """The allocator of the zone is any of the hosts, and stops."""
        first = self.host.state.peers.allocators(ZONE)[0]
        allocator = self.host_named(first.name) if first else self.host
        others = [host for host in self.hosts if host is not allocator]
        self.searchers["i-single-a"].limit_per_s = LIMIT_PER_S
        allocator.state.stopping = True
        asking = others[0]
        limits = asking.state.limits.by_searcher
        self.ask_until(
            lambda: (
                "i-single-a" in limits
                and limits["i-single-a"].share_until > monotonic_s()
            ),
            asking,
        )
        leases = [host.shares.ledger.leases for host in others]
        self.assertTrue(any("i-single-a" in found for found in leases))

    def host_named(self, name):
        (found,) = (h for h in self.hosts if h.settings.name == name)
        return found

    def test_other_hosts_learn_a_limit_and_its_end(self):
        self.searchers["i-single-a"].limit_per_s = LIMIT_PER_S
        limits = self.host.state.limits.by_searcher
        others = [host.state.limits.by_searcher for host in self.hosts[1:]]
        self.ask_until(lambda: "i-single-a" in limits)
        wait_until(lambda: all("i-single-a" in known for known in others))
        self.searchers["i-single-a"].limit_per_s = None
        self.ask_until(lambda: "i-single-a" not in limits)
        wait_until(lambda: not any("i-single-a" in known for known in others))

    def test_request_over_the_limits_is_rejected_at_once(self):
        names = ("i-single-a", "i-single-b")
        for name in names:
            self.searchers[name].limit_per_s = 0.0
        limits = self.host.state.limits.by_searcher
        self.ask_until(lambda: all(name in limits for name in names))
        start = time.monotonic()
        arrivals = [self.searchers[name].arrivals for name in names]
        status, fields, body = self.ask("/one/x", request_id="over")
        self.assertEqual((status, body), (503, b"searchers_limited\n"))
        self.assertLess(time.monotonic() - start, AT_ONCE_S)
        self.assertGreater(float(fields["retry-after"]), 0.0)
        self.assertEqual(
            [self.searchers[name].arrivals for name in names], arrivals
        )

    def test_searcher_without_a_limit_serves_the_rest(self):
        self.searchers["i-single-a"].limit_per_s = 0.0
        limits = self.host.state.limits.by_searcher
        self.ask_until(lambda: "i-single-a" in limits)
        statuses = [
            self.ask("/one/x", request_id=f"r{next(self.numbers)}")[0]
            for _ in range(20)
        ]
        self.assertEqual(statuses, [200] * 20)

    def test_limit_ends_with_the_statement(self):
        self.searchers["i-single-a"].limit_per_s = LIMIT_PER_S
        limits = self.host.state.limits
        self.ask_until(lambda: "i-single-a" in limits.by_searcher)
        self.searchers["i-single-a"].limit_per_s = None
        self.ask_until(lambda: "i-single-a" not in limits.by_searcher)

    def ask_until(self, condition, host=None):
        sock = self.connect(host)
        end = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), end)
            request = self.request("/one/x", f"u{next(self.numbers)}")
            self.exchange(sock, request)
            eventlet.sleep(CLIENT_PAUSE_S)


if __name__ == "__main__":
    unittest.main()
