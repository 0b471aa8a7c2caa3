import unittest

from kumquatspur.policy.response_limits import (
    MAX_BODY_BYTES,
    MIN_BODY_BYTES,
    max_body_bytes,
)

SMALL_HOST_MB = 200


class ResponseLimitsTest(unittest.TestCase):
    def test_limit_shrinks_with_the_calls_in_flight(self):
        limits = [max_body_bytes(SMALL_HOST_MB, calls) for calls in range(200)]
        self.assertEqual(limits, sorted(limits, reverse=True))
        self.assertEqual(limits[1], MAX_BODY_BYTES)
        self.assertEqual(limits[-1], MIN_BODY_BYTES)

    def test_all_bodies_together_fit_a_small_host(self):
        # Two calls for each of 42 shards, and each body is held twice.
        calls = 84
        bodies = sum(
            max_body_bytes(SMALL_HOST_MB, number)
            for number in range(1, calls + 1)
        )
        self.assertLess(2 * bodies, SMALL_HOST_MB * 1e6)


if __name__ == "__main__":
    unittest.main()
