import random
import unittest

from kumquatspur.policy.replica_choice import Replica, choose_replica


def make(name, latency_ms=20.0, backlog=0, local=True, **fields):
    fields = {"reachable": True, **fields}
    return Replica(
        searcher=name,
        local=local,
        backlog=backlog,
        slots=2,
        latency_ms=latency_ms,
        **fields,
    )


class ReplicaChoiceTest(unittest.TestCase):
    def test_choice(self):
        cases = [
            ("none", [], None),
            ("own zone", [make("a", local=False), make("b")], "b"),
            ("straggler", [make("a", 200.0), make("b", backlog=3)], "b"),
            ("backlog", [make("a", backlog=6), make("b", local=False)], "b"),
            ("unreachable", [make("a", reachable=False), make("b", 99.0)], "b"),
            ("all bad", [make("a", reachable=False)], "a"),
            (
                "own attempts since the report",
                [make("a", in_flight=5), make("b", backlog=2)],
                "b",
            ),
            (
                "attempts that the report counts already",
                [
                    make("a", backlog=2, in_flight=2, in_flight_at_report=2),
                    make("b", backlog=4),
                ],
                "a",
            ),
        ]
        for name, replicas, expected in cases:
            with self.subTest(name):
                chosen = choose_replica(replicas, random.Random(1))
                self.assertEqual(chosen and chosen.searcher, expected)

    def test_equal_replicas_share_the_load(self):
        rng = random.Random(1)
        replicas = [make("a"), make("b")]
        chosen = [choose_replica(replicas, rng).searcher for _ in range(100)]
        self.assertTrue(30 <= chosen.count("a") <= 70)


if __name__ == "__main__":
    unittest.main()
