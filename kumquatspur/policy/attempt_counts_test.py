import unittest

from kumquatspur.policy.attempt_counts import AttemptCounts


class AttemptCountsTest(unittest.TestCase):
    def test_attempts_of_some_searchers_are_returned(self):
        counts = AttemptCounts()
        for searcher, kind in (("a", "first"), ("a", "hedge"), ("b", "first")):
            counts.add(searcher, kind)
        self.assertEqual(
            counts.end_interval({"a"}), {"a": {"first": 1, "hedge": 1}}
        )
        self.assertEqual(counts.previous_total("a"), 2)
        self.assertEqual(counts.previous_total("b"), 1)
        self.assertEqual(counts.end_interval({"a"}), {})
        self.assertEqual(counts.previous_total("a"), 0)


if __name__ == "__main__":
    unittest.main()
