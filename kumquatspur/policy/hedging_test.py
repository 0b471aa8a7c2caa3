import unittest

from kumquatspur.policy.hedging import (
    DEFAULT_DELAY_S,
    MIN_DELAY_S,
    WINDOW_SAMPLES,
    LatencyWindow,
    flush_delay_s,
    hedge_delay_s,
)


class HedgingTest(unittest.TestCase):
    def test_delay(self):
        cases = [
            ("nothing observed", [], 0.1, DEFAULT_DELAY_S),
            ("quantile", [0.001 * n for n in range(1, 102)], 1.0, 0.096),
            ("leaves time", [0.1] * 50, 0.14, 0.07),
            ("not at once", [0.0001] * 50, 0.14, MIN_DELAY_S),
        ]
        for name, latencies, time_left_s, expected in cases:
            window = LatencyWindow()
            for latency in latencies:
                window.add(latency)
            with self.subTest(name):
                delay = hedge_delay_s(window, 0.95, time_left_s)
                self.assertAlmostEqual(delay, expected)

    def test_results_are_held_back_for_less_than_the_hedge_delay(self):
        for latency in (0.001, 0.02, 0.1, 0.3):
            window = LatencyWindow()
            for _ in range(WINDOW_SAMPLES):
                window.add(latency)
            for time_left_s in (0.02, 0.14, 1.0):
                with self.subTest(latency=latency, time_left_s=time_left_s):
                    held = flush_delay_s(window, time_left_s)
                    hedge = hedge_delay_s(window, 0.95, time_left_s)
                    self.assertLessEqual(held, hedge)

    def test_old_latencies_are_dropped(self):
        window = LatencyWindow()
        for latency in [9.0] * WINDOW_SAMPLES + [0.01] * WINDOW_SAMPLES:
            window.add(latency)
        self.assertEqual(window.quantile(1.0), 0.01)
        self.assertEqual(len(window.recent), WINDOW_SAMPLES)


if __name__ == "__main__":
    unittest.main()
