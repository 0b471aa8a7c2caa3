import unittest

from kumquatspur.policy.admission import MIN_SHARE, Throttle, retry_after_s


def simulate(throttle, load, capacity, seconds, start=0.0):
    """Sends queries at `load` per second to owners with limited capacity.

    Owners decline what is admitted beyond the capacity. Returns the mean share
    admitted over the last second.
    """
    shares = []
    for step in range(int(seconds * load)):
        now = start + step / load
        share = throttle.admitted_share(now)
        shares.append(share)
        excess = share * load / capacity - 1.0
        if excess > 0.0 and step % max(1, int(1.0 / excess)) == 0:
            throttle.record_decline(now)
    return sum(shares[-load:]) / load


class ThrottleTest(unittest.TestCase):
    def test_share_follows_the_capacity(self):
        cases = [(50, 100, 1.0, 1.0), (150, 100, 0.55, 0.8)]
        for load, capacity, low, high in cases:
            with self.subTest(load=load):
                share = simulate(Throttle(), load, capacity, 10.0)
                self.assertTrue(low <= share <= high, share)

    def test_recovers_within_five_seconds_of_an_overload(self):
        throttle = Throttle()
        simulate(throttle, 150, 100, 8.0)
        self.assertLess(throttle.share, 0.9)
        simulate(throttle, 50, 100, 4.0, 8.0)
        self.assertEqual(throttle.share, 1.0)

    def test_never_refuses_everything(self):
        throttle = Throttle()
        for step in range(1000):
            throttle.record_decline(step * 0.1)
        self.assertEqual(throttle.share, MIN_SHARE)

    def test_retry_after(self):
        for share, expected in [(1.0, 1.0), (0.7, 2.5), (0.05, 6.8)]:
            with self.subTest(share=share):
                self.assertAlmostEqual(retry_after_s(share), expected, 1)


if __name__ == "__main__":
    unittest.main()
