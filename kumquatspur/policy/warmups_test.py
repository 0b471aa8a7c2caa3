import dataclasses
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState, ServiceSpec
from kumquatspur.policy.searcher_limits import COLD_RAMP_S
from kumquatspur.policy.warmups import (
    START_MEMORY_S,
    TOLD_S,
    WarmupKind,
    Warmups,
    checker_of,
)

SPEC = ServiceSpec("s", 26, 10.0, 5.0, "/health")
UNIX_S = 1_000_000.0
ENTRY = SearcherEntry(
    "i", "s", Address("10.0.0.1", 80), "z", 2, SearcherState.READY, 0.0
)
STATED, DOWN, ASSUMED = WarmupKind.STATED, WarmupKind.DOWN, WarmupKind.ASSUMED


class WarmupsTest(unittest.TestCase):
    def setUp(self):
        self.warmups = Warmups()

    def record(self, left_s, at, kind=STATED):
        return self.warmups.record("i", left_s, at, kind, SPEC.warmup_s)

    def put(self, at, left_s=0.0, age_s=None):
        started = 0 if age_s is None else int((UNIX_S - age_s) * 1000)
        entry = dataclasses.replace(
            ENTRY, warmup_left_s=left_s, started_unix_ms=started
        )
        self.warmups.observe_entry(entry, SPEC, at, UNIX_S)
        known = self.warmups.by_searcher.get("i")
        if known is None or not known.is_cold(at):
            return None
        return known.kind, round(known.until - at, 3)

    def test_statement_holds_until_the_warm_up_ends(self):
        self.assertTrue(self.record(4.0, 1.0))
        self.assertTrue(self.warmups.is_cold("i", 4.9))
        self.assertFalse(self.warmups.is_cold("i", 5.0))
        # It may become cold again at any time.
        self.assertTrue(self.record(4.0, 20.0))
        self.assertTrue(self.warmups.is_cold("i", 23.9))

    def test_older_statements_change_nothing(self):
        """A slow message would make a warm searcher cold, or the reverse."""
        self.record(0.0, 5.0)
        self.assertFalse(self.record(10.0, 4.0))
        self.assertFalse(self.record(10.0, 4.0, DOWN))
        self.assertTrue(self.record(10.0, 6.0, DOWN))
        self.assertFalse(self.record(0.0, 5.9))
        self.assertTrue(self.warmups.is_cold("i", 6.0))

    def test_known_statement_that_comes_back_changes_nothing(self):
        """Each host adds to the age; the warm-up would never end."""
        self.record(4.0, 1.0)
        for step in range(100):
            self.record(4.0, 1.0 + step / 500.0)
        self.assertEqual(self.warmups.by_searcher["i"].until, 5.0)

    def test_statement_ends_an_assumption_at_once(self):
        self.record(10.0, 1.0, ASSUMED)
        self.assertTrue(self.warmups.is_unchecked("i", 2.0))
        self.assertIsNotNone(self.warmups.cold_rate("i", 5.0, 2.0))
        self.record(0.0, 2.0)
        self.assertFalse(self.warmups.is_cold("i", 2.0))
        self.assertIsNone(self.warmups.cold_rate("i", 5.0, 2.0))

    def test_rate_grows_after_a_stated_warm_up(self):
        self.record(10.0, 1.0)
        self.record(0.0, 3.0)
        self.assertEqual(self.warmups.cold_rate("i", 5.0, 3.0).until, 3.0)
        self.record(0.0, 4.0)
        end = 3.0 + COLD_RAMP_S
        self.assertIsNotNone(self.warmups.cold_rate("i", 5.0, end - 0.1))
        self.assertIsNone(self.warmups.cold_rate("i", 5.0, end))

    def test_assumption_never_shortens_a_warm_up(self):
        self.record(30.0, 1.0)
        self.record(10.0, 2.0, ASSUMED)
        self.assertTrue(self.warmups.is_cold("i", 30.0))

    def test_changes_are_told_to_other_hosts(self):
        self.record(0.0, 1.0)
        self.assertEqual(self.warmups.told(1.0), [])
        self.record(4.0, 2.0)
        self.assertEqual([name for name, _ in self.warmups.told(5.0)], ["i"])
        self.record(0.0, 5.0)
        self.assertEqual(len(self.warmups.told(5.0 + TOLD_S - 0.1)), 1)
        self.assertEqual(self.warmups.told(5.0 + TOLD_S), [])

    def test_host_that_assumes_is_answered_by_a_newer_statement(self):
        self.record(0.0, 5.0)
        self.warmups.answer_assumption("i", 6.0, 6.0)
        self.assertEqual(self.warmups.told(6.0), [])
        self.warmups.answer_assumption("i", 4.0, 6.0)
        self.assertEqual(len(self.warmups.told(6.0)), 1)

    def test_entries_at_the_start_are_believed_if_they_agree(self):
        cases = {
            (0.0, None): None,
            (0.0, 60.0): None,
            (4.0, None): (STATED, 4.0),
            (4.0, 6.0): (STATED, 4.0),
            # Old, or cold again: the searcher has to tell.
            (4.0, 60.0): (ASSUMED, 4.0),
            # The entry lags behind the start.
            (0.0, 3.0): (ASSUMED, 7.0),
            (0.0, -1.0): (ASSUMED, 10.0),
        }
        for (left_s, age_s), expected in cases.items():
            self.warmups = Warmups()
            with self.subTest(left_s=left_s, age_s=age_s):
                self.assertEqual(self.put(1.0, left_s, age_s), expected)

    def test_new_searcher_is_cold_until_told_otherwise(self):
        self.warmups.first_view_at = 1.0
        self.assertEqual(self.put(2.0, 0.0, 60.0), (ASSUMED, 10.0))
        self.record(0.0, 3.0)
        # The same start again is not new; a later one is.
        self.assertIsNone(self.put(4.0, 0.0, 60.0))
        self.assertEqual(self.put(5.0, 0.0, 50.0), (ASSUMED, 10.0))

    def test_lapsed_entry_that_comes_back_is_not_new(self):
        """After an outage of the store, all searchers would seem cold."""
        self.put(1.0, 0.0, 60.0)
        self.warmups.prune(set(), 1.0 + START_MEMORY_S)
        self.assertIsNone(self.put(20.0, 0.0, 60.0))
        self.warmups.prune(set(), 21.0 + START_MEMORY_S)
        self.assertEqual(self.warmups.starts, {})

    def test_hosts_agree_on_who_checks(self):
        hosts = ["a", "b", "c"]
        found = [checker_of(f"i{n}", hosts) for n in range(300)]
        for host in hosts:
            self.assertAlmostEqual(found.count(host), 100, delta=40)


if __name__ == "__main__":
    unittest.main()
