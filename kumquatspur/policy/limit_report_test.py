import unittest

from kumquatspur.policy.limit_report import (
    AttemptsLine,
    LimitLine,
    build_limit_report,
)


def attempts(at_s, host, first, **others):
    return AttemptsLine(at_s, host, "i", {"first": first, **others})


class LimitReportTest(unittest.TestCase):
    def test_attempts_of_all_hosts_are_added_up(self):
        report = build_limit_report(
            [LimitLine(6.0, "a", "i", 10.0, 7), LimitLine(6.1, "b", "i", 10.0)],
            [
                attempts(7.0, "a", 20),
                attempts(7.5, "b", 20, hedge=5),
                attempts(12.0, "a", 8),
            ],
        )
        row = report["i"]
        self.assertEqual((row.peak, row.peak_at_s), (45, 7.5))
        self.assertEqual(row.peak_by_kind, {"first": 40, "hedge": 5})
        self.assertEqual(row.peak_by_host, {"a": 20, "b": 25})
        self.assertAlmostEqual(row.peak_share(), 45 / 40)
        self.assertEqual((row.first_s, row.last_s), (6.0, 12.0))
        self.assertEqual(row.before_per_s, 7)

    def test_only_the_first_limit_of_a_host_tells_the_flow_before(self):
        report = build_limit_report(
            [
                LimitLine(6.0, "a", "i", 10.0, 7),
                LimitLine(9.0, "a", "i", None),
                LimitLine(9.5, "a", "i", 5.0, 3),
            ],
            [],
        )
        self.assertEqual(report["i"].before_per_s, 7)
        self.assertEqual(report["i"].per_s, 10.0)

    def test_limit_of_zero_allows_nothing(self):
        report = build_limit_report(
            [LimitLine(6.0, "a", "i", 0.0)], [attempts(7.0, "a", 1)]
        )
        self.assertEqual(report["i"].peak_share(), float("inf"))


if __name__ == "__main__":
    unittest.main()
