import unittest

from kumquatspur.policy.client_timing import MIN_SAMPLES, PERIOD_S, ClientTiming

DEADLINE_S = 0.6
ROUND_TRIP_S = 0.006


class ClientTimingTest(unittest.TestCase):
    def setUp(self):
        self.timing = ClientTiming()

    def lead(self, time_left_s, is_first=False, now=1.0, route="r"):
        return self.timing.lead_s(route, time_left_s, is_first, now)

    def learn(self):
        self.lead(DEADLINE_S)
        for _ in range(MIN_SAMPLES):
            self.lead(DEADLINE_S - ROUND_TRIP_S, is_first=True)

    def test_nothing_is_known_at_first(self):
        self.assertIsNone(self.lead(DEADLINE_S, is_first=True))
        self.assertIsNone(self.lead(None))
        self.assertIsNone(self.lead(DEADLINE_S))

    def test_request_on_a_connection_in_use_takes_a_round_trip(self):
        self.learn()
        self.assertAlmostEqual(self.lead(DEADLINE_S), ROUND_TRIP_S)

    def test_new_connection_takes_another_round_trip(self):
        self.learn()
        lead = self.lead(DEADLINE_S - ROUND_TRIP_S, is_first=True)
        self.assertAlmostEqual(lead, 2 * ROUND_TRIP_S)

    def test_retry_has_spent_the_time_of_the_earlier_attempt(self):
        self.learn()
        lead = self.lead(DEADLINE_S - 0.2, is_first=True)
        self.assertAlmostEqual(lead, 0.2 + ROUND_TRIP_S)

    def test_retries_do_not_distort_the_round_trip(self):
        self.learn()
        for number in range(20):
            self.lead(DEADLINE_S - 0.05 - number / 1000, is_first=True)
            self.lead(DEADLINE_S - ROUND_TRIP_S, is_first=True)
        self.assertAlmostEqual(self.timing.round_trip_s, ROUND_TRIP_S)

    def test_shorter_deadline_is_learnt(self):
        self.learn()
        for number in range(5):
            now = 1.0 + number * PERIOD_S
            lead = self.lead(DEADLINE_S / 2, now=now)
        self.assertAlmostEqual(lead, ROUND_TRIP_S)

    def test_routes_have_their_own_deadline(self):
        self.learn()
        self.assertAlmostEqual(self.lead(2.0, route="long"), ROUND_TRIP_S)


if __name__ == "__main__":
    unittest.main()
