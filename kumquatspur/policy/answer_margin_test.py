import unittest

from kumquatspur.policy.answer_margin import (
    MAX_MARGIN_SHARE,
    MERGE_S,
    AnswerMargin,
)

TARGET_S = 0.25


class AnswerMarginTest(unittest.TestCase):
    """Guards against answers of busy hosts that leave just too late."""

    def late(self, margin, delays):
        """Returns how many answers leave after the target."""
        return sum(
            delay + MERGE_S > margin.margin_s(TARGET_S) for delay in delays
        )

    def test_busy_host_answers_sooner(self):
        # A host wakes up 0 to 12 ms late.
        delays = [0.0005 * (step % 25) for step in range(200)]
        margin = AnswerMargin()
        for delay in delays:
            margin.record_delay(delay)
        self.assertLess(self.late(margin, delays), 0.1 * len(delays))
        idle = AnswerMargin()
        for _ in delays:
            idle.record_delay(0.0)
        self.assertGreater(self.late(idle, delays), 0.9 * len(delays))

    def test_idle_host_loses_no_time(self):
        margin = AnswerMargin()
        for _ in range(50):
            margin.record_delay(0.0001)
        self.assertAlmostEqual(margin.margin_s(TARGET_S), MERGE_S + 0.0001)

    def test_margin_is_bounded(self):
        margin = AnswerMargin()
        self.assertEqual(margin.margin_s(TARGET_S), MAX_MARGIN_SHARE * TARGET_S)
        for _ in range(50):
            margin.record_delay(1.0)
        self.assertEqual(margin.margin_s(TARGET_S), MAX_MARGIN_SHARE * TARGET_S)
        self.assertEqual(margin.margin_s(0.01), MERGE_S)


if __name__ == "__main__":
    unittest.main()
