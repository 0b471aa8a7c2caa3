"""Searchers that leave, ask for a pause or send bytes without end."""

import itertools
import time
import unittest

import eventlet

from kumquatspur.policy.response_limits import MAX_HEAD_BYTES
from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import wait_until
from standins.platform_path_case import WAIT_S, PlatformPathCase
from standins.platform_searcher import (
    ENDLESS,
    forwarded_route,
    scattered_route,
)

# Rule: an endless response is given up well before the deadline.
GIVE_UP_S = 0.5
# Half of the deadline of the tests' requests: a rejection is not held back.
AT_ONCE_S = 0.25


class SearcherSignalsTest(PlatformPathCase):
    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()

    def ask_often(self, path, count):
        """Sends requests one after the other; returns their statuses."""
        return [
            self.ask(path, request_id=f"n{next(self.numbers)}")[0]
            for _ in range(count)
        ]

    def arrivals_after(self, name, start):
        return [at for at in self.searchers[name].arrived_at if at > start]

    def usable(self, service, host=None):
        host = host or self.host
        entries = host.state.usable_searchers(service, monotonic_s())
        return {entry.searcher_id for entry in entries}

    def make_leave(self, name):
        """Sends requests until a searcher has said that it leaves."""
        self.wait_ready()
        self.searchers[name].leaving = True
        directory = self.host.state.directory
        for _ in range(50):
            self.ask_often("/one/x", 1)
            if name in directory.leaving:
                return time.monotonic()
        raise AssertionError(f"{name} was not asked")

    def test_searcher_that_says_it_leaves_gets_no_new_work(self):
        start = self.make_leave("i-single-a")
        # A heartbeat that still says that it is ready changes nothing.
        self.searchers["i-single-a"].register(self.store, sequence=7)
        entry = self.host.state.directory.by_id
        wait_until(lambda: entry["i-single-a"].sequence == 7)
        self.assertEqual(set(self.ask_often("/one/x", 20)), {200})
        self.assertEqual(self.arrivals_after("i-single-a", start), [])

    def test_new_start_of_a_searcher_that_left_gets_work(self):
        self.make_leave("i-single-a")
        self.searchers["i-single-a"].leaving = False
        self.searchers["i-single-a"].register(self.store, born=5)
        wait_until(lambda: "i-single-a" in self.usable("single"))

    def test_last_searcher_that_leaves_serves_while_it_may(self):
        self.wait_ready()
        self.store.remove("servers/i-single-b")
        del self.searchers["i-single-b"]
        wait_until(lambda: self.usable("single") == {"i-single-a"})
        directory = self.host.state.directory
        directory.drain_s = WAIT_S
        self.make_leave("i-single-a")
        self.assertEqual(self.ask_often("/one/x", 1), [200])
        directory.drain_s = 0.0
        start = time.monotonic()
        self.assertEqual(self.ask_often("/one/x", 1), [503])
        self.assertEqual(self.arrivals_after("i-single-a", start), [])

    def test_other_hosts_learn_that_a_searcher_leaves(self):
        seeds = (self.host.settings.peer.port,)
        other = self.start_host("other", seeds=seeds)
        self.wait_ready(other)
        self.make_leave("i-single-a")
        wait_until(lambda: self.usable("single", other) == {"i-single-b"})
        # A host that starts now learns it too, although the store does not
        # tell it.
        late = self.start_host("late", seeds=seeds)
        wait_until(lambda: self.usable("single", late) == {"i-single-b"})

    def test_headers_for_this_host_do_not_reach_the_client(self):
        self.wait_ready()
        for name in ("i-single-a", "i-single-b"):
            self.searchers[name].leaving = True
        _, fields, _ = self.ask("/one/x")
        self.assertNotIn("server-leaving", fields)

    def pause(self, name, value):
        """Makes a searcher reject one request with a time to wait.

        Returns:
            When the rejected request arrived; the pause begins after it.
        """
        self.wait_ready()
        self.searchers[name].pause_value = value
        self.searchers[name].script.append("pause")
        for _ in range(50):
            self.ask_often("/one/x", 1)
            if not self.searchers[name].script:
                return self.searchers[name].arrived_at[-1]
        raise AssertionError(f"{name} was not asked")

    def test_searcher_that_asks_for_a_pause_gets_no_requests(self):
        start = self.pause("i-single-a", "1.0")
        self.assertEqual(set(self.ask_often("/one/x", 20)), {200})
        in_pause = [
            at
            for at in self.arrivals_after("i-single-a", start)
            if at < start + 1.0
        ]
        self.assertEqual(in_pause, [])
        wait_until(lambda: "i-single-a" in self.usable("single"))
        self.assertGreater(time.monotonic() - start, 0.9)

    def test_retry_uses_no_searcher_that_pauses(self):
        self.pause("i-single-a", "30")
        self.searchers["i-single-b"].script.append("shed")
        start = time.monotonic()
        self.assertEqual(self.ask_often("/one/x", 1), [503])
        self.assertEqual(self.arrivals_after("i-single-a", start), [])

    def test_request_is_rejected_at_once_if_all_searchers_pause(self):
        self.pause("i-single-a", "30")
        self.pause("i-single-b", "20")
        start = time.monotonic()
        status, fields, body = self.ask("/one/x")
        self.assertEqual((status, body), (503, b"searchers_paused\n"))
        self.assertLess(time.monotonic() - start, AT_ONCE_S)
        self.assertAlmostEqual(float(fields["retry-after"]), 20.0, delta=2.0)
        for name in ("i-single-a", "i-single-b"):
            self.assertEqual(self.arrivals_after(name, start), [])

    def test_scattered_request_leaves_a_paused_shard_out(self):
        self.wait_ready()
        for copy in "ab":
            self.searchers[f"i-s3-{copy}"].pause_value = "30"
            self.searchers[f"i-s3-{copy}"].script.append("pause")
        for _ in range(3):
            self.ask_often("/all/x", 1)
        self.assertEqual(self.usable("s3"), set())
        status, fields, _ = self.ask("/all/x")
        self.assertEqual(status, 200)
        self.assertEqual(fields["kumquatspur-missing-parts"], "1")

    def test_values_that_state_no_time_start_no_pause(self):
        for value in ("-5", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9", ""):
            with self.subTest(value=value):
                self.host.state.loads.clear()
                self.pause("i-single-a", value)
                self.assertIn("i-single-a", self.usable("single"))

    def test_endless_responses_are_given_up(self):
        routes = [
            forwarded_route("one", "/one/", "single", **{"timeout-ms": 5000}),
            scattered_route("all", "/all/", ("s0", "s1", "s2", "s3")),
        ]
        self.put_config(2, routes)
        for behaviour in ENDLESS:
            with self.subTest(behaviour=behaviour):
                self.wait_ready()
                wait_until(lambda: self.host.state.table.config.version == 2)
                self.host.state.loads.clear()
                for copy in "ab":
                    searcher = self.searchers[f"i-single-{copy}"]
                    searcher.script.clear()
                    searcher.script.append(behaviour)
                request = self.request("/one/x", f"e-{behaviour}").replace(
                    b"Deadline-Ms: 500", b"Deadline-Ms: 5000"
                )
                start = time.monotonic()
                status, _, _ = self.exchange(self.connect(), request)
                # Both searchers send bytes without end, and the route allows
                # two attempts.
                self.assertEqual(status, 502)
                self.assertLess(time.monotonic() - start, 2 * GIVE_UP_S)

    def test_endless_response_is_replaced_by_another_searcher(self):
        self.searchers["i-s0-a"].script.append("endless_header_lines")
        self.searchers["i-s0-b"].script.append("endless_noise")
        statuses = self.ask_often("/all/x", 4)
        self.assertEqual(statuses, [200] * 4)

    def test_request_for_lost_searchers_is_rejected_at_once(self):
        """All searchers of a service have crashed and come back later."""
        self.wait_ready()
        for copy in "ab":
            self.searchers[f"i-single-{copy}"].close()
        first = self.ask("/one/x", request_id="lost1")
        self.assertIn(first[0], (502, 503))
        start = time.monotonic()
        sent = self.host.pool.opened
        status, fields, body = self.ask("/one/x", request_id="lost2")
        self.assertEqual((status, body), (503, b"no_replica\n"))
        self.assertLess(time.monotonic() - start, AT_ONCE_S)
        self.assertEqual(self.host.pool.opened, sent)
        self.assertGreater(float(fields["retry-after"]), 0.0)

    def test_return_of_lost_searchers_is_noticed(self):
        self.wait_ready()
        loads = [self.host.state.load(f"i-single-{copy}") for copy in "ab"]
        for load in loads:
            for _ in range(5):
                load.record_unreachable(monotonic_s())
        self.assertEqual(self.ask_often("/one/x", 1), [503])
        start = time.monotonic()
        wait_until(lambda: self.ask_often("/one/x", 1) == [200])
        self.assertLess(time.monotonic() - start, 2.0)

    def test_late_copy_of_a_response_answers_no_other_request(self):
        self.wait_ready()
        for copy in "ab":
            self.searchers[f"i-single-{copy}"].script.append("late_copy")
        for number in range(8):
            body = b"body %d" % number
            request = self.request("/one/x", f"c{number}", "POST", body)
            status, _, answer = self.exchange(self.connect(), request)
            self.assertEqual(status, 200)
            self.assertTrue(answer.endswith(body))
            # The copy arrives before, during and after the next request.
            eventlet.sleep(0.01 * number)

    def test_head_limit_is_above_the_headers_of_the_platform(self):
        self.assertGreaterEqual(MAX_HEAD_BYTES, 2 * 8192)


if __name__ == "__main__":
    unittest.main()
