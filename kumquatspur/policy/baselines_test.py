import random
import unittest

from kumquatspur.policy.baselines import choose_of_two, choose_round_robin
from kumquatspur.policy.replica_choice import Replica


def replica(name, in_flight=0, reachable=True):
    return Replica(name, True, reachable, 0, 2, 5.0, in_flight=in_flight)


class BaselinesTest(unittest.TestCase):
    def test_round_robin_over_reachable_replicas(self):
        replicas = [replica("b"), replica("a"), replica("c", reachable=False)]
        names = [choose_round_robin(replicas, t).searcher for t in range(4)]
        self.assertEqual(names, ["a", "b", "a", "b"])

    def test_choice_of_two_by_in_flight(self):
        cases = [
            ([], None),
            ([replica("a", 3)], "a"),
            ([replica("a", 3), replica("b", 1)], "b"),
            ([replica("a", 0, False), replica("b", 9)], "b"),
            ([replica("a", 2, False)], "a"),
        ]
        for replicas, expected in cases:
            with self.subTest(replicas=replicas):
                chosen = choose_of_two(replicas, random.Random(1))
                self.assertEqual(chosen and chosen.searcher, expected)


if __name__ == "__main__":
    unittest.main()
