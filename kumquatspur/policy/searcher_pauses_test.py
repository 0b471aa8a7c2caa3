import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.searcher_pauses import (
    MAX_PAUSE_S,
    SearcherPauses,
    servable_at,
)


def entry(searcher_id):
    return SearcherEntry(
        searcher_id,
        "s",
        Address("10.0.0.1", 80),
        "z",
        2,
        SearcherState.READY,
        0.0,
    )


class SearcherPausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = SearcherPauses()

    def test_searcher_is_paused_until_the_end(self):
        self.assertEqual(self.pauses.record("a", 2.0, 10.0), 2.0)
        self.assertTrue(self.pauses.is_paused("a", 10.0))
        self.assertTrue(self.pauses.is_paused("a", 11.9))
        self.assertFalse(self.pauses.is_paused("a", 12.0))
        self.assertFalse(self.pauses.is_paused("b", 10.0))

    def test_later_answer_does_not_shorten_a_pause(self):
        self.pauses.record("a", 2.0, 10.0)
        self.assertEqual(self.pauses.record("a", 0.5, 10.5), 0.0)
        self.assertTrue(self.pauses.is_paused("a", 11.9))
        self.assertAlmostEqual(self.pauses.record("a", 2.0, 11.0), 1.0)

    def test_pause_is_cut_to_the_longest_one(self):
        self.pauses.record("a", 1e18, 10.0)
        self.assertTrue(self.pauses.is_paused("a", 9.0 + MAX_PAUSE_S))
        self.assertFalse(self.pauses.is_paused("a", 10.0 + MAX_PAUSE_S))

    def test_paused_searchers_are_left_out(self):
        self.pauses.record("a", 2.0, 10.0)
        left = self.pauses.without_paused([entry("a"), entry("b")], 10.5)
        self.assertEqual([e.searcher_id for e in left], ["b"])

    def test_paused_searcher_resumes_at_the_end(self):
        self.pauses.record("a", 5.0, 10.0)
        self.assertEqual(self.pauses.resume_at("a", 10.5), 15.0)
        self.assertEqual(self.pauses.resume_at("a", 15.5), 15.5)
        self.assertEqual(self.pauses.resume_at("c", 10.5), 10.5)

    def test_ended_pauses_are_removed(self):
        self.pauses.record("a", 2.0, 10.0)
        self.assertEqual(self.pauses.expire(11.0), [])
        self.assertEqual(self.pauses.expire(12.0), ["a"])
        self.assertEqual(self.pauses.ends, {})


class ServableAtTest(unittest.TestCase):
    def test_needed_number_of_shards_decides(self):
        times = [3.0, None, 1.0, 2.0]
        self.assertEqual(servable_at(times, 1), 1.0)
        self.assertEqual(servable_at(times, 3), 3.0)
        self.assertIsNone(servable_at(times, 4))


if __name__ == "__main__":
    unittest.main()
