import unittest

from kumquatspur.policy.outages import FORGET_S, MAX_WAIT_S, Outages


class OutagesTest(unittest.TestCase):
    """Guards against clients that return to an outage again and again."""

    def setUp(self):
        self.outages = Outages()

    def test_wait_grows_with_the_outage(self):
        waits = [
            self.outages.record_rejection("route", at)
            for at in (10.0, 10.5, 12.0, 13.9, 15.8, 17.7)
        ]
        self.assertEqual(waits[:3], [0.0, 0.5, 2.0])
        self.assertEqual(waits[-1], MAX_WAIT_S)

    def test_clients_return_less_often_than_at_a_fixed_delay(self):
        # 4 s without the searchers; a client returns when it is told to.
        def returns(wait_s):
            at, count = 0.01, 0
            while at < 4.0:
                at, count = at + wait_s(at) + 0.1, count + 1
            return count

        self.outages.record_rejection("route", 0.0)
        told = returns(lambda at: self.outages.record_rejection("route", at))
        self.assertLess(told, 8)
        self.assertGreater(returns(lambda at: 0.0), 30)

    def test_outage_ends_when_requests_can_be_sent(self):
        self.outages.record_rejection("route", 1.0)
        self.outages.record_servable("route")
        self.assertEqual(self.outages.record_rejection("route", 2.0), 0.0)

    def test_outage_without_requests_is_forgotten(self):
        self.outages.record_rejection("route", 1.0)
        later = 1.1 + FORGET_S
        self.assertEqual(self.outages.record_rejection("route", later), 0.0)

    def test_routes_are_separate(self):
        self.outages.record_rejection("route", 1.0)
        self.assertEqual(self.outages.record_rejection("other", 2.0), 0.0)


if __name__ == "__main__":
    unittest.main()
