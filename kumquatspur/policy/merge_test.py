import unittest

from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Hit, ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.merge import build_answer


def result(shard, snapshot, *scores):
    hits = tuple(Hit(s, shard, f"k{s}", "null") for s in scores)
    return ShardResult(shard, "s", Verdict.RAN, None, snapshot, hits)


class MergeTest(unittest.TestCase):
    def test_best_hits_of_all_covered_shards(self):
        answer = build_answer(
            "r", 7, 2, [result("a", 7, 0.9, 0.1), result("b", 7, 0.5)]
        )
        self.assertEqual([hit.score for hit in answer.hits], [0.9, 0.5])
        self.assertEqual(answer.covered, ("a", "b"))
        self.assertEqual(answer.missing, ())

    def test_missing_shard_is_named_with_its_reason(self):
        missing_shard = ShardResult("b", "", Verdict.NOT_RUN, Reason.NO_REPLICA)
        answer = build_answer("r", 7, 2, [result("a", 7, 0.9), missing_shard])
        self.assertEqual(answer.covered, ("a",))
        self.assertEqual(answer.missing[0].shard, "b")
        self.assertIs(answer.missing[0].reason, Reason.NO_REPLICA)

    def test_other_snapshot_is_never_merged(self):
        answer = build_answer(
            "r", 7, 9, [result("a", 7, 0.9), result("b", 6, 1)]
        )
        self.assertEqual(answer.covered, ("a",))
        self.assertEqual({hit.shard for hit in answer.hits}, {"a"})
        (missing,) = answer.missing
        self.assertIs(missing.reason, Reason.SNAPSHOT_ABANDONED)


if __name__ == "__main__":
    unittest.main()
