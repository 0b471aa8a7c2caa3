"""A host that reaches no searcher serves its callers through other hosts."""

import itertools
import time
import unittest

import eventlet
import msgspec

from kumquatspur.wire.crash_detector import SETTLE_S
from kumquatspur.wire.searcher_pool import monotonic_s as now
from standins.platform_deployment import SHARDS, wait_until
from standins.platform_path_case import WAIT_S, ZONE, PlatformPathCase
from standins.platform_searcher import forwarded_route, make_config
from standins.platform_store import StandInStore
from standins.relay import Relay

# The users' rule: later than this after the cut, first tries at a host without
# searchers are served at least two thirds as often as those at other hosts.
CONTACT_S = 4.0
SERVED_SHARE = 2.0 / 3.0
REQUESTS = 30
# Half of the deadline of the tests' requests: a rejection is not held back.
AT_ONCE_S = 0.25
CLIENT_PAUSE_S = 0.02
LONG_TIMEOUT_MS = 6000
CONCURRENT = 8
# Of the routes.
MAX_ATTEMPTS = 2
PATHS = ("/all/x", "/one/x", "/once/x")


class HostWithoutSearchersTest(PlatformPathCase):
    """One host reaches the searchers by relays, which can be cut."""

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()
        self.relays = []
        self.cut_store = StandInStore()
        self.addCleanup(self.cut_store.close)
        for name, searcher in self.searchers.items():
            relay = Relay(searcher.address.port)
            self.addCleanup(relay.close)
            self.relays.append(relay)
            entry = searcher.store_entry(address=f"127.0.0.1:{relay.port}")
            self.cut_store.put_json(f"servers/{name}", entry)
        self.cut_store.put_json("op/config", make_config(1, self.routes))
        seeds = (self.host.settings.peer.port,)
        self.cut_host = self.start_host("cut", self.cut_store, seeds)
        for host in (self.host, self.cut_host):
            self.wait_ready(host)
            wait_until(lambda host=host: host.state.peers.peers)

    def cut(self, *modes):
        for mode in modes:
            for relay in self.relays:
                relay.set_mode(mode)

    def ask_host(self, host, path):
        """Sends a request on a new connection; returns status and body."""
        request_id = f"w{next(self.numbers)}"
        reply = self.exchange(
            self.connect(host), self.request(path, request_id)
        )
        return reply and (reply[0], reply[2], request_id)

    def count_served(self, host, path):
        replies = [self.ask_host(host, path) for _ in range(REQUESTS)]
        return sum(reply is not None and reply[0] == 200 for reply in replies)

    def send_load(self, until):
        while time.monotonic() < until:
            for path in PATHS:
                self.ask_host(self.cut_host, path)
            eventlet.sleep(CLIENT_PAUSE_S)

    def check_served(self, *modes):
        """Cuts the host off and compares how callers of both are served."""
        for path in PATHS:
            self.assertEqual(self.count_served(self.cut_host, path), REQUESTS)
        self.cut(*modes)
        self.send_load(time.monotonic() + CONTACT_S)
        for path in PATHS:
            served = self.count_served(self.cut_host, path)
            others = self.count_served(self.host, path)
            self.assertGreaterEqual(served, SERVED_SHARE * others, path)
            self.assertEqual(others, REQUESTS, path)

    def test_callers_are_served_while_connections_hang(self):
        self.check_served("unreachable")

    def test_callers_are_served_while_new_connections_are_refused(self):
        self.check_served("closed")

    def test_callers_are_served_while_connections_are_reset(self):
        self.check_served("cut", "closed")

    def wait_cut_off(self, host):
        """Sends requests until a host knows that it reaches no searchers."""
        self.cut("unreachable")
        state = host.state

        def is_cut_off():
            for path in PATHS:
                self.ask_host(host, path)
            return state.is_cut_off(now())

        wait_until(is_cut_off, WAIT_S)

    def open_all_connections(self):
        """Makes the host keep a connection to each searcher of the shards.

        Afterwards requests may take `LONG_TIMEOUT_MS`.
        """
        routes = [
            {**route, "timeout-ms": LONG_TIMEOUT_MS} for route in self.routes
        ]
        self.cut_store.put_json("op/config", make_config(2, routes))
        self.store.put_json("op/config", make_config(2, routes))
        for host in (self.host, self.cut_host):
            wait_until(lambda h=host: h.state.table.config.version == 2)
        targets = self.cut_host.pool.by_target

        def are_all_open():
            threads = [
                eventlet.spawn(self.ask_host, self.cut_host, "/all/x")
                for _ in range(CONCURRENT)
            ]
            for thread in threads:
                thread.wait()
            return all(
                name in targets and targets[name].idle
                for name, searcher in self.searchers.items()
                if searcher.service != "single"
            )

        wait_until(are_all_open)

    def spawn_long_request(self, path, request_id):
        """Sends a request to the host; returns the thread of its reply."""
        request = self.request(path, request_id).replace(
            b"Deadline-Ms: 500", b"Deadline-Ms: %d" % LONG_TIMEOUT_MS
        )
        sock = self.connect(self.cut_host)
        thread = eventlet.spawn(self.exchange, sock, request)
        # Ends before the socket is closed, on which it may still wait.
        self.addCleanup(thread.kill)
        return thread

    def test_silence_is_noticed_while_requests_wait(self):
        """All connections that the request needs are open, and hang."""
        self.open_all_connections()
        self.cut("unreachable")
        waiting = self.spawn_long_request("/all/x", "hangs")
        health = self.cut_host.state.zone_health
        wait_until(lambda: waiting.dead or health.is_suspect(ZONE, now()))
        self.assertFalse(waiting.dead)

    def test_waiting_requests_are_given_to_another_host(self):
        self.open_all_connections()
        self.cut("unreachable")
        waiting = self.spawn_long_request("/all/x", "hangs")
        status, fields, _ = waiting.wait()
        self.assertEqual(status, 200)
        self.assertEqual(fields["kumquatspur-missing-parts"], "0")

    def count_extras(self, shard):
        return sum(
            counts.extras
            for host in (self.host, self.cut_host)
            for _, counts in host.state.extra_attempts.steps.get(shard, ())
        )

    def count_requests(self, shard):
        return sum(
            counts.requests
            for host in (self.host, self.cut_host)
            for _, counts in host.state.extra_attempts.steps.get(shard, ())
        )

    def test_attempts_of_the_next_host_are_extra_attempts(self):
        """The searchers got the request of the host that was cut off."""
        self.open_all_connections()
        shards = [s for s in self.searchers.values() if s.service != "single"]
        for searcher in shards:
            searcher.script.extend(["hang"] * 2)
        requests = {shard: self.count_requests(shard) for shard in SHARDS}
        extras = {shard: self.count_extras(shard) for shard in SHARDS}
        waiting = self.spawn_long_request("/all/x", "counted")
        wait_until(
            lambda: sum(s.runs["counted"] for s in shards) >= len(SHARDS)
        )
        self.cut("unreachable")
        for searcher in shards:
            searcher.script.clear()
        self.assertEqual(waiting.wait()[0], 200)
        for shard in SHARDS:
            runs = sum(s.runs["counted"] for s in shards if s.service == shard)
            added = self.count_extras(shard) - extras[shard]
            self.assertGreaterEqual(added, runs - 1, shard)
            added = self.count_requests(shard) - requests[shard]
            self.assertEqual(added, 1, shard)

    def test_reset_requests_are_given_to_another_host(self):
        self.open_all_connections()
        shards = [s for s in self.searchers.values() if s.service != "single"]
        for searcher in shards:
            searcher.script.extend(["hang"] * 2)
        waiting = self.spawn_long_request("/all/x", "reset")
        wait_until(lambda: sum(s.runs["reset"] for s in shards) >= len(SHARDS))
        self.cut("cut", "closed")
        for searcher in shards:
            searcher.script.clear()
        self.assertIn(waiting.wait()[0], (200, 502))
        for shard in SHARDS:
            runs = sum(s.runs["reset"] for s in shards if s.service == shard)
            self.assertLessEqual(runs, MAX_ATTEMPTS)

    def test_waiting_request_that_must_not_repeat_is_not_given_away(self):
        self.open_all_connections()
        for name in ("i-single-a", "i-single-b"):
            self.searchers[name].script.append("hang")
        waiting = self.spawn_long_request("/once/x", "once")
        wait_until(lambda: self.count_single_runs("once") == 1)
        self.cut("unreachable")
        self.assertEqual(waiting.wait()[0], 504)
        self.assertEqual(self.count_single_runs("once"), 1)

    def test_lost_links_are_not_taken_for_crashes_by_a_request(self):
        """The client of a host that lost its links sends the request again."""
        shards = [s for s in self.searchers.values() if s.service != "single"]
        for searcher in shards:
            searcher.script.extend(["hang"] * 2)
        request = self.request("/all/again", "first")
        first = eventlet.spawn(
            self.exchange, self.connect(self.cut_host), request
        )
        wait_until(lambda: sum(s.runs["first"] for s in shards) >= len(SHARDS))
        self.cut("cut", "closed")
        for searcher in shards:
            searcher.script.clear()
        self.assertNotEqual(first.wait()[0], 200)
        self.cut_host.exchange.exchange_now()
        time_to_confirm = 4 * SETTLE_S
        eventlet.sleep(time_to_confirm)
        for host in (self.host, self.cut_host):
            self.assertEqual(host.state.suspects.incidents, {})
        self.assertEqual(self.ask_host(self.host, "/all/again")[0], 200)

    def test_request_that_must_not_repeat_runs_once(self):
        self.wait_cut_off(self.cut_host)
        replies = [
            self.ask_host(self.cut_host, "/once/x") for _ in range(REQUESTS)
        ]
        for status, _, request_id in replies:
            runs = self.count_single_runs(request_id)
            self.assertLessEqual(runs, 1)
            self.assertEqual(status == 200, runs == 1)

    def test_request_is_rejected_at_once_if_no_host_reaches_searchers(self):
        for searcher in self.searchers.values():
            searcher.close()
        self.wait_cut_off(self.cut_host)
        wait_until(lambda: self.ask_host(self.host, "/all/x")[0] == 503)
        for path in PATHS:
            start = time.monotonic()
            status, _, _ = self.ask_host(self.cut_host, path)
            self.assertEqual(status, 503, path)
            self.assertLess(time.monotonic() - start, AT_ONCE_S)

    def test_rerouted_request_is_not_rerouted_again(self):
        """Neither host reaches searchers; each could give it to the other."""
        self.wait_cut_off(self.cut_host)
        asked = []
        self.host.delegator.try_reroute = lambda *fields: asked.append(fields)
        self.host.delegator.decline_reason = lambda *fields: ""
        self.host.state.directory.by_service.clear()
        status, _, _ = self.ask_host(self.cut_host, "/all/x")
        self.assertEqual(status, 503)
        self.assertGreater(self.cut_host.state.counters["handed_over"], 0)
        self.assertEqual(asked, [])

    def test_faster_host_without_searchers_declines(self):
        """The other host, which is slow, gives it all scattered requests."""
        slow = self.host
        msgspec.structs.force_setattr(slow.settings.machine, "link_mbps", 0.05)
        self.assertEqual(self.count_served(slow, "/all/x"), REQUESTS)
        self.assertGreater(slow.state.counters["handed_over"], 0)
        self.wait_cut_off(self.cut_host)
        declined = self.cut_host.state.counters["handed_over_declined"]
        self.assertEqual(self.count_served(slow, "/all/x"), REQUESTS)
        self.assertGreater(
            self.cut_host.state.counters["handed_over_declined"], declined
        )

    def test_request_at_another_host_is_answered_before_the_stop(self):
        """At the end of the grace period it would be cut without an answer."""
        self.open_all_connections()
        slow = self.host
        msgspec.structs.force_setattr(slow.settings.machine, "link_mbps", 0.05)
        for searcher in self.searchers.values():
            searcher.script.extend(["hang"] * 2)
        request = self.request("/all/x", "handed").replace(
            b"Deadline-Ms: 500", b"Deadline-Ms: 9000"
        )
        routes = [{**route, "timeout-ms": 9e3} for route in self.routes]
        for store in (self.store, self.cut_store):
            store.put_json("op/config", make_config(3, routes))
        for host in (self.host, self.cut_host):
            wait_until(lambda h=host: h.state.table.config.version == 3)
        start = time.monotonic()
        waiting = eventlet.spawn(self.exchange, self.connect(slow), request)
        self.addCleanup(waiting.kill)
        delegates = slow.state.delegates.values()
        wait_until(lambda: any(d.in_flight for d in delegates))
        for delegate in delegates:
            # It answers other requests meanwhile.
            delegate.answered_at = now() + WAIT_S
        slow.request_stop()
        reply = waiting.wait()
        self.assertIsNotNone(reply)
        self.assertIn(reply[0], (502, 504))
        grace_s = slow.settings.bounds.grace_s
        self.assertLess(time.monotonic() - start, grace_s)

    def test_service_that_was_chosen_by_weight_is_kept(self):
        targets = [
            {"service": "single", "weight": 1},
            {"service": "s0", "weight": 1},
        ]
        split = forwarded_route("split", "/split/", "single")
        del split["service"]
        split["traffic-split"] = targets
        for store in (self.store, self.cut_store):
            store.put_json("op/config", make_config(2, [*self.routes, split]))
        for host in (self.host, self.cut_host):
            wait_until(lambda h=host: h.state.table.config.version == 2)
        self.wait_cut_off(self.cut_host)
        table = self.cut_host.state.table
        table.choose_service = lambda route, number: "s0"
        for _ in range(REQUESTS):
            status, _, request_id = self.ask_host(self.cut_host, "/split/x")
            self.assertEqual(status, 200)
            self.assertEqual(self.count_single_runs(request_id), 0)

    def test_host_serves_by_itself_again_after_the_cut(self):
        self.cut("unreachable")
        self.send_load(time.monotonic() + 1.0)
        self.cut("pass")
        before = self.cut_host.pool.opened
        wait_until(
            lambda: (
                self.ask_host(self.cut_host, "/all/x")[0] == 200
                and self.cut_host.pool.opened > before
            ),
            WAIT_S,
        )


if __name__ == "__main__":
    unittest.main()
