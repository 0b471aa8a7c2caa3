import unittest

from kumquatspur.core.records import Objectives
from kumquatspur.policy.burn import EventCounts, burn_rows, merge_windows

OBJECTIVES = Objectives(
    latency_target=0.99, coverage_target=0.999, availability_target=0.9
)


class BurnTest(unittest.TestCase):
    def test_rates_over_merged_hosts(self):
        merged = merge_windows(
            [
                {("s", 300): EventCounts(answered=600, slow=12, refused=100)},
                {("s", 300): EventCounts(answered=300, partial=1)},
            ]
        )
        rows = {r.objective: r for r in burn_rows(merged, {"s": OBJECTIVES})}
        cases = [
            ("latency", 12, 900, 4 / 3),
            ("coverage", 1, 900, 10 / 9),
            ("availability", 100, 1000, 1.0),
        ]
        for name, bad, total, rate in cases:
            with self.subTest(name):
                self.assertEqual(rows[name].bad, bad)
                self.assertEqual(rows[name].total, total)
                self.assertAlmostEqual(rows[name].burn_rate, rate)
                self.assertAlmostEqual(rows[name].budget_left, 1 - rate)

    def test_no_events_burn_nothing(self):
        rows = burn_rows({("s", 300): EventCounts()}, {"s": OBJECTIVES})
        self.assertEqual({row.burn_rate for row in rows}, {0.0})

    def test_unconfigured_service_is_left_out(self):
        self.assertEqual(burn_rows({("x", 300): EventCounts()}, {}), [])


if __name__ == "__main__":
    unittest.main()
