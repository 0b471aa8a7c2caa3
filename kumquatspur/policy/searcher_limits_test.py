import itertools
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.searcher_limits import (
    COLD_CREDIT_S,
    COLD_RAMP_S,
    CREDIT_S,
    ENDED_MEMORY_S,
    IDLE_S,
    MAX_TOLD_AGE_S,
    MIN_LIMIT_PER_S,
    ColdRate,
    SearcherLimits,
    cold_aim_per_s,
)
from standins.limit_simulation import LimitSimulation

COLD_PER_S = 10.0
COLD_BOUND = 20.0
WARMUP_S = 8.0


def entry(searcher_id):
    return SearcherEntry(
        searcher_id,
        "s",
        Address("10.0.0.1", 80),
        "z",
        2,
        SearcherState.READY,
        0.0,
    )


class SearcherLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = SearcherLimits(unleased_share=0.1)
        self.limited, self.free = entry("limited"), entry("free")

    def admitted(self, now, draw=1.0, entries=None, is_hedge=False):
        found = self.limits.first_admitted(
            entries or [self.limited], draw, now, is_hedge
        )
        if found is not None:
            self.limits.spend(found.searcher_id, now)
        return found

    def test_limit_holds_until_an_answer_names_none(self):
        self.assertTrue(self.limits.record("limited", 10.0, 1.0))
        self.assertFalse(self.limits.record("limited", 10.5, 2.0))
        self.assertEqual(self.limits.statements(2.0), [("limited", 10.5, 2.0)])
        self.assertTrue(self.limits.record("limited", 12.0, 3.0))
        self.assertTrue(self.limits.record("limited", None, 4.0))
        self.assertEqual(self.limits.statements(4.0), [("limited", None, 4.0)])
        self.assertFalse(self.limits.record("limited", None, 5.0))

    def test_older_statements_of_other_hosts_change_nothing(self):
        self.limits.record("limited", 10.0, 2.0)
        self.assertFalse(self.limits.record("limited", 50.0, 1.0))
        self.assertFalse(self.limits.record("limited", None, 1.0))
        self.assertEqual(self.limits.statements(2.0), [("limited", 10.0, 2.0)])
        self.limits.record("limited", None, 3.0)
        for _ in range(2):
            self.assertFalse(self.limits.record("limited", 10.0, 2.5))
        self.assertEqual(self.limits.by_searcher, {})
        self.assertTrue(self.limits.record("limited", 10.0, 4.0))

    def test_old_limits_are_not_told_to_other_hosts(self):
        self.limits.record("limited", 10.0, 2.0)
        self.assertEqual(self.limits.statements(2.0 + MAX_TOLD_AGE_S), [])
        self.assertLess(MAX_TOLD_AGE_S, ENDED_MEMORY_S)

    def test_searcher_without_a_limit_is_always_admitted(self):
        for _ in range(5):
            self.assertIs(self.admitted(1.0), self.limited)

    def test_requests_over_the_share_go_to_the_next_searcher(self):
        self.limits.record("limited", 10.0, 1.0)
        both = [self.limited, self.free]
        self.assertIs(self.admitted(2.0, entries=both), self.limited)
        self.assertIs(self.admitted(2.0, entries=both), self.free)
        self.assertIsNone(self.admitted(2.0))

    def test_leased_share_is_used_until_it_ends(self):
        self.limits.record("limited", 10.0, 1.0)
        self.limits.record_lease("limited", 0.4, 3.0, 1.0)
        found = [self.admitted(1.0 + n / 20.0) for n in range(41)]
        self.assertAlmostEqual(len(found) - found.count(None), 8, delta=1)
        # Without a lease, a request a second.
        found = [self.admitted(3.05 + n / 20.0) for n in range(41)]
        self.assertAlmostEqual(len(found) - found.count(None), 2, delta=1)

    def test_credit_does_not_accumulate_without_end(self):
        self.limits.record("limited", 10.0, 1.0)
        found = [self.admitted(100.0) for _ in range(20)]
        self.assertEqual(len(found) - found.count(None), 1.0 * CREDIT_S)

    def test_small_share_admits_some_requests(self):
        self.limits.record("limited", 1.0, 1.0)
        self.assertIsNone(self.admitted(11.0, draw=0.9))
        self.assertIs(self.admitted(11.0, draw=0.15), self.limited)
        # The credit that was lacking has to be earned.
        self.assertIsNone(self.admitted(15.0, draw=0.01))

    def test_hedge_uses_only_spare_credit(self):
        self.limits.record("limited", 10.0, 1.0)
        self.assertIsNone(self.admitted(2.0, is_hedge=True))
        self.assertIs(self.admitted(3.0, is_hedge=True), self.limited)

    def test_time_until_a_request_is_admitted(self):
        self.limits.record("limited", 10.0, 1.0)
        self.assertEqual(self.limits.admits_at("free", 0.5, 1.0), 1.0)
        self.assertAlmostEqual(
            self.limits.admits_at("limited", 0.5, 1.0), 1.5, places=6
        )
        self.assertEqual(self.limits.admits_at("limited", 0.5, 1.6), 1.6)

    def test_limit_of_zero_allows_rare_requests(self):
        self.limits.record("limited", 0.0, 1.0)
        self.limits.record_lease("limited", 1.0, 1000.0, 1.0)
        found = [self.admitted(1.0 + n, draw=0.5) for n in range(101)]
        expected = 100 * MIN_LIMIT_PER_S
        self.assertAlmostEqual(
            len(found) - found.count(None), expected, delta=1
        )

    def test_attempt_that_was_not_sent_is_refunded(self):
        self.limits.record("limited", 10.0, 1.0)
        self.admitted(2.0)
        self.limits.refund("limited")
        self.assertIs(self.admitted(2.0), self.limited)

    def test_wanted_counts_rejected_requests_too(self):
        self.limits.record("limited", 0.0, 1.0)
        self.assertEqual(self.limits.wanted(1.0), [])
        for number in range(200):
            now = 1.0 + number / 20.0
            if not self.admitted(now):
                self.limits.record_rejected([self.free], now)
        limit = self.limits.by_searcher["limited"]
        self.assertAlmostEqual(limit.current_wanted_per_s(11.0), 20.0, delta=1)
        self.limits.record_rejected([self.limited], 11.0)
        self.assertEqual(self.limits.wanted(11.0), ["limited"])
        self.assertEqual(self.limits.wanted(11.1 + IDLE_S), [])

    def test_searchers_that_are_gone_are_forgotten(self):
        self.limits.record("limited", 10.0, 1.0)
        self.limits.record("ended", 10.0, 1.0)
        self.limits.record("ended", None, 2.0)
        self.limits.prune({"limited", "ended"}, 3.0)
        self.assertEqual(len(self.limits.statements(3.0)), 2)
        self.limits.prune({"free"}, 3.0 + ENDED_MEMORY_S)
        self.assertEqual(self.limits.statements(4.0), [])

    def test_smaller_one_of_the_named_and_the_cold_rate_holds(self):
        cold = ColdRate(10.0, 5.0, 1.0)
        limit_of = self.limits.by_searcher
        self.limits.set_cold("limited", cold, 1.0)
        self.assertEqual(limit_of["limited"].current_per_s(1.0), 10.0)
        self.assertEqual(self.limits.statements(1.0), [])
        self.assertTrue(self.limits.record("limited", 4.0, 1.0))
        self.assertEqual(limit_of["limited"].current_per_s(1.0), 4.0)
        self.assertTrue(self.limits.record("limited", None, 2.0))
        self.assertFalse(self.limits.record("limited", None, 3.0))
        self.assertEqual(limit_of["limited"].current_per_s(1.0), 10.0)
        self.limits.record("limited", 4.0, 4.0)
        self.limits.set_cold("limited", None, 5.0)
        self.assertEqual(self.limits.named_searchers(), {"limited"})
        self.limits.record("limited", None, 6.0)
        self.assertEqual(limit_of, {})

    def test_cold_rate_grows_without_a_step(self):
        cold = ColdRate(10.0, 5.0, 100.0)
        times = [94.0 + n / 50.0 for n in range(50 * 11)]
        rates = [cold.per_s(now) for now in times]
        self.assertEqual(rates, sorted(rates))
        for before, after in itertools.pairwise(rates):
            self.assertLess(after, before * 1.05)
        self.assertEqual(cold.per_s(100.0), 10.0)
        self.assertGreater(rates[-1], 200.0)
        self.assertTrue(cold.is_over(100.0 + COLD_RAMP_S))

    def test_aim_leaves_room_to_the_bound(self):
        self.assertAlmostEqual(cold_aim_per_s(10.0, 1.5, 5.0), 8.4, delta=0.1)
        self.assertEqual(cold_aim_per_s(1.0, 1.5, 5.0), 1.0)
        self.assertLess(cold_aim_per_s(10.0, 1.0, 0.0), 5.0)

    def test_credit_for_a_cold_searcher_fits_a_second(self):
        """Neither a pause nor a frozen host may earn a burst."""
        self.limits.set_cold("limited", ColdRate(10.0, 1.0, 1000.0), 1.0)
        self.limits.record_lease("limited", 1.0, 1000.0, 1.0)
        found = [self.admitted(50.0, draw=0.5) for _ in range(20)]
        admitted = len(found) - found.count(None)
        self.assertLessEqual(admitted, 10.0 * COLD_CREDIT_S + 1)
        self.assertEqual(self.limits.cold_withheld, 20 - admitted)

    def test_requests_in_flight_count_when_a_searcher_becomes_cold(self):
        for in_flight, admits in ((0, True), (5, False)):
            self.limits = SearcherLimits(unleased_share=0.1)
            cold = ColdRate(10.0, 1.0, 1000.0)
            self.limits.set_cold("limited", cold, 1.0, in_flight)
            found = self.admitted(1.9, draw=0.1)
            self.assertEqual(found is not None, admits)


class ColdSearcherTest(unittest.TestCase):
    """A searcher is back, cold; hosts have far more requests than it takes."""

    def check(self, fault):
        used = 0.0
        for seed in range(3):
            simulation = LimitSimulation(9, None, lambda n, t: 30.0, seed)
            start = simulation.now
            simulation.set_cold(COLD_PER_S, WARMUP_S)
            simulation.run(4.0)
            fault(simulation)
            simulation.run(max(0.0, simulation.cold.until - simulation.now))
            most = simulation.most_while_cold(start)
            self.assertLessEqual(most, COLD_BOUND, f"seed {seed}")
            used += simulation.rate_between(start, simulation.now) / 3.0
        self.assertGreater(used, 0.4 * COLD_PER_S)

    def stop_for(self, simulation, numbers, seconds, restart):
        for number in numbers:
            simulation.hosts[number].up = False
        simulation.run(seconds)
        for number in numbers:
            simulation.hosts[number].up = True
            if restart:
                simulation.restart(number)

    def test_zone_that_comes_back(self):
        self.check(lambda simulation: None)

    def test_hosts_that_restart(self):
        for numbers in ((0,), range(9)):
            self.check(lambda s, n=numbers: self.stop_for(s, n, 1.0, True))

    def test_hosts_that_freeze(self):
        for seconds in (1.0, 3.0):
            self.check(
                lambda s, t=seconds: self.stop_for(s, (0, 3, 4, 5), t, False)
            )

    def test_hosts_that_are_cut_off_from_each_other(self):
        def split(simulation):
            for number in (5, 6, 7, 8):
                simulation.hosts[number].group = 1
            simulation.run(2.0)
            for number in (5, 6, 7, 8):
                simulation.hosts[number].group = 0

        self.check(split)


if __name__ == "__main__":
    unittest.main()
