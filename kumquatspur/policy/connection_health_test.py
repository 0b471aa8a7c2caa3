import unittest

from kumquatspur.policy import connection_health
from kumquatspur.policy.connection_health import ConnectionHealth


class ConnectionHealthTest(unittest.TestCase):
    def test_new_connections_are_bounded_in_rate_and_number(self):
        health = ConnectionHealth(slots=2, max_connections=25)
        opened = [0.0 == health.open_wait_s(0, 5.0) for _ in range(20)]
        self.assertEqual(sum(opened), 6)
        wait_s = health.open_wait_s(0, 5.0)
        self.assertAlmostEqual(wait_s, 0.1)
        self.assertEqual(health.open_wait_s(0, 5.0 + wait_s + 1e-9), 0.0)
        self.assertGreater(
            health.open_wait_s(health.max_open_connections(), 99.0), 0.0
        )

    def test_stall_timeout_leaves_time_for_a_second_attempt(self):
        cases = [(1, 0.14, 0.03), (16, 10.0, 0.32), (16, 0.14, 0.056)]
        for items, time_left_s, expected in cases:
            with self.subTest(items=items, time_left_s=time_left_s):
                health = ConnectionHealth(2, 25)
                found = health.stall_timeout_s(items, time_left_s)
                self.assertAlmostEqual(found, expected)

    def test_progress_on_another_connection_delays_the_verification(self):
        health = ConnectionHealth(2, 25)
        self.assertEqual(health.verify_wait_s(1.0, 1, 1.03), 0.0)
        health.on_answer(1.0, 0, True, 1.01)
        self.assertAlmostEqual(health.verify_wait_s(1.0, 1, 1.03), 0.06)
        self.assertEqual(health.verify_wait_s(1.0, 1, 1.1), 0.0)

    def test_a_generation_is_retired_once(self):
        health = ConnectionHealth(2, 25)
        self.assertTrue(health.retire(0))
        self.assertFalse(health.retire(0))

    def test_a_searcher_with_one_connection_may_use_it(self):
        self.assertEqual(ConnectionHealth(1, 1).max_open_connections(), 1)
        self.assertEqual(connection_health.MAX_CONCURRENT_OWNERS, 2)


if __name__ == "__main__":
    unittest.main()
