"""Cold searchers get no more requests a second from all hosts than they take.

The searchers crash above their rate, as they do on the platform.
"""

import itertools
import time
import unittest

import eventlet

from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import (
    WARMUP_OVERRUN,
    WARMUP_SLACK,
    wait_until,
)
from standins.platform_path_case import PlatformPathCase
from standins.platform_searcher import make_config

COLD_PER_S = 10.0
BOUND = COLD_PER_S * WARMUP_OVERRUN + WARMUP_SLACK
WARMUP_S = 3.0
NAME, OTHER = "i-single-a", "i-single-b"
CLIENT_PAUSE_S = 0.01
AT_ONCE_S = 0.25


class ColdSearcherTest(PlatformPathCase):
    service_fields = {
        "warmup-s": WARMUP_S,
        "cold-per-s": COLD_PER_S,
        "health-path": "/health",
    }

    def put_config(self, version, routes):
        document = make_config(version, routes, self.service_fields)
        self.store.put_json("op/config", document)

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
            wait_until(lambda host=host: len(host.state.peers.peers) == 2)
        self.numbers = itertools.count()
        self.statuses = []
        self.searcher = self.searchers[NAME]
        self.searcher.crash_per_s = BOUND

    def send_load(self, host, until):
        sock = self.connect(host)
        while time.monotonic() < until:
            request_id = f"c{next(self.numbers)}"
            reply = self.exchange(sock, self.request("/one/x", request_id))
            self.statuses.append(reply[0])
            eventlet.sleep(CLIENT_PAUSE_S)

    def start_load(self, seconds):
        until = time.monotonic() + seconds
        return [
            eventlet.spawn(self.send_load, host, until)
            for host in self.hosts * 2
        ]

    def is_cold(self, host):
        return NAME in host.state.limits.cold_searchers(monotonic_s())

    def all_cold(self):
        return all(self.is_cold(host) for host in self.hosts)

    def assert_survived(self):
        """Checks that the searcher got some requests while cold, and lived."""
        times = self.searcher.cold_arrivals
        most = max(
            (sum(at <= b < at + 1.0 for b in times) for at in times), default=0
        )
        self.assertLessEqual(most, BOUND)
        self.assertGreater(len(times), COLD_PER_S * WARMUP_S * 0.2)
        self.assertEqual(self.searcher.crashes, 0)

    def test_searcher_that_restarts_is_not_crashed_again(self):
        """Its entry in the store still says that it is warm."""
        threads = self.start_load(13.0)
        eventlet.sleep(1.0)
        self.searcher.close()
        eventlet.sleep(0.7)
        # Hosts back off for up to 2.4 s of it.
        self.searcher.restart(2 * WARMUP_S)
        back_at = time.monotonic()
        for thread in threads:
            thread.wait()
        self.assert_survived()
        # The other searcher takes what this one cannot take.
        self.assertLess(sum(s != 200 for s in self.statuses), 5)
        # The traffic grows to the usual rate without a step.
        arrived = [at - back_at for at in self.searcher.arrived_at]
        per_s = [
            sum(start <= at < start + 1.0 for at in arrived)
            for start in (3.0, 6.2, 7.5, 9.5)
        ]
        self.assertEqual(per_s, sorted(per_s), per_s)
        self.assertGreater(per_s[-1], 2 * COLD_PER_S)

    def test_cold_again_without_a_restart_reaches_all_hosts(self):
        """Only an answer to a health check tells it, to one of the hosts."""
        wait_until(lambda: self.searcher.health_checks > 0)
        self.searcher.cold_until = time.monotonic() + 8.0
        wait_until(self.all_cold, 5.0)
        threads = self.start_load(4.0)
        for thread in threads:
            thread.wait()
        self.assert_survived()
        self.searcher.cold_until = 0.0
        wait_until(lambda: not any(map(self.is_cold, self.hosts)), 5.0)

    def test_searcher_that_is_new_is_cold_until_it_says_that_it_is_warm(self):
        entry = {"born": int(time.time() * 1000) - 60_000}
        searcher = self.add_searcher("i-single-c", "single", [])
        searcher.register(self.store, **entry)
        state = self.host.state
        wait_until(lambda: state.warmups.by_searcher.get("i-single-c"))
        self.assertTrue(state.warmups.is_cold("i-single-c", monotonic_s()))
        wait_until(
            lambda: "i-single-c" not in state.limits.by_searcher,
            WARMUP_S * 0.8,
        )

    def test_entry_that_states_a_warm_up_and_answers_that_do(self):
        self.searcher.register(self.store, **{"warmup-left-ms": 60_000})
        self.searcher.cold_until = time.monotonic() + 60.0
        wait_until(self.all_cold)
        self.searcher.states_warmup = True
        self.searcher.cold_until = 0.0
        for thread in self.start_load(2.0):
            thread.wait()
        wait_until(lambda: not any(map(self.is_cold, self.hosts)), 5.0)

    def test_invalid_warm_up_is_logged_counted_and_ignored(self):
        for value in ("-1", "soon", "nan", "1e3", "99999999999", ""):
            self.searcher.warmup_value = value
            count = sum(
                host.state.counters["invalid_warmups"] for host in self.hosts
            )
            wait_until(
                lambda count=count: (
                    sum(
                        host.state.counters["invalid_warmups"]
                        for host in self.hosts
                    )
                    > count
                )
            )
        self.assertFalse(any(map(self.is_cold, self.hosts)))

    def test_request_beyond_the_cold_rates_is_rejected_at_once(self):
        for name in (NAME, OTHER):
            self.searchers[name].cold_until = time.monotonic() + 60.0
            self.searchers[name].register(
                self.store, **{"warmup-left-ms": 60_000}
            )
        state = self.host.state
        wait_until(lambda: len(state.limits.cold_searchers(monotonic_s())) == 2)
        threads = self.start_load(2.0)
        for thread in threads:
            thread.wait()
        self.assertEqual(set(self.statuses), {200, 503})
        started = time.monotonic()
        replies = [
            self.ask("/one/x", request_id=f"r{next(self.numbers)}")
            for _ in range(5)
        ]
        self.assertLess(time.monotonic() - started, 5 * AT_ONCE_S)
        self.assertIn(b"searchers_limited\n", [reply[2] for reply in replies])
        self.assert_survived()


if __name__ == "__main__":
    unittest.main()
