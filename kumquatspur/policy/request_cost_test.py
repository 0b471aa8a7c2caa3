import random
import unittest

from kumquatspur.policy.request_cost import RequestCost


class RequestCostTest(unittest.TestCase):
    def test_batch_follows_the_cost_model(self):
        cases = [
            ("all cost in items", 0.000, 0.020, 1, 1),
            ("half and half", 0.010, 0.010, 1, 3),
            ("mostly fixed", 0.018, 0.002, 6, 16),
        ]
        for name, fixed, each, low, high in cases:
            cost = RequestCost()
            rng = random.Random(1)
            for _ in range(300):
                items = rng.randint(1, 4)
                noise = rng.uniform(0.9, 1.1)
                cost.add(items, (fixed + items * each) * noise)
            with self.subTest(name):
                self.assertTrue(low <= cost.best_batch(16) <= high)
                expected = fixed + 3 * each
                self.assertAlmostEqual(cost.predict_s(3), expected, delta=0.005)

    def test_unknown_cost_tries_a_small_batch(self):
        cost = RequestCost()
        for _ in range(100):
            cost.add(1, 0.02)
        self.assertEqual(cost.best_batch(16), 2)
        self.assertAlmostEqual(cost.predict_s(1), 0.02, places=3)


if __name__ == "__main__":
    unittest.main()
