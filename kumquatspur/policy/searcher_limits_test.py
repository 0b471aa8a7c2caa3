import unittest

from kumquatspur.policy.searcher_limits import SearcherLimits


class SearcherLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = SearcherLimits()

    def test_limit_holds_until_an_answer_names_none(self):
        self.assertTrue(self.limits.record("a", 10.0))
        self.assertFalse(self.limits.record("a", 10.5))
        self.assertEqual(self.limits.stated, {"a": 10.5})
        self.assertTrue(self.limits.record("a", 12.0))
        self.assertTrue(self.limits.record("a", None))
        self.assertEqual(self.limits.stated, {})
        self.assertFalse(self.limits.record("a", None))

    def test_attempts_of_limited_searchers_are_reported(self):
        for searcher, kind in (("a", "first"), ("a", "hedge"), ("b", "first")):
            self.limits.count_attempt(searcher, kind)
        self.limits.record("a", 10.0)
        self.assertEqual(
            self.limits.end_interval(), {"a": {"first": 1, "hedge": 1}}
        )
        self.assertEqual(self.limits.previous_attempts("a"), 2)
        self.assertEqual(self.limits.end_interval(), {})
        self.assertEqual(self.limits.previous_attempts("a"), 0)

    def test_searchers_that_are_gone_are_forgotten(self):
        self.limits.record("a", 10.0)
        self.limits.prune({"b"})
        self.assertEqual(self.limits.stated, {})


if __name__ == "__main__":
    unittest.main()
