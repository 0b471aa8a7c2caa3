import unittest

from kumquatspur.policy.crash_suspects import (
    INCIDENT_TTL_S,
    ContentState,
    CrashSuspects,
    Incident,
)


def loss(searcher, contents, at=0.0, shard="s"):
    """Returns the incidents of one loss."""
    return [
        Incident(
            f"{searcher}@{at}/{content}",
            content,
            searcher,
            shard,
            len(contents) == 1,
            at,
            at + INCIDENT_TTL_S,
        )
        for content in contents
    ]


class CrashSuspectsTest(unittest.TestCase):
    def test_state_of_content_x(self):
        cases = {
            "one incident": ([loss("a", "x")], ContentState.SUSPECT),
            "alone twice": ([loss("a", "x"), loss("b", "x", 1)], "refused"),
            "alone once": ([loss("a", "xy"), loss("b", "x", 1)], "refused"),
            "twice the same": (
                [loss("a", "x"), loss("a", "x", 1)],
                ContentState.REFUSED,
            ),
            "told twice": ([loss("a", "x"), loss("a", "x")], "suspect"),
            "only common content of two replicas": (
                [loss("a", "xy"), loss("b", "xz", 0.01)],
                ContentState.REFUSED,
            ),
            "common content of two shards": (
                [loss("a", "xy"), loss("b", "xz", 0.01, "t")],
                ContentState.SUSPECT,
            ),
            "two common contents": (
                [loss("a", "xyv"), loss("b", "xyz", 1)],
                ContentState.SUSPECT,
            ),
            "another loss without it": (
                [loss("a", "x"), loss("b", "x", 0.01), loss("c", "y", 0.02)],
                ContentState.SUSPECT,
            ),
            "another loss without it, first": (
                [loss("c", "y"), loss("a", "xy"), loss("b", "xz", 0.01)],
                ContentState.SUSPECT,
            ),
            "another loss, later": (
                [loss("a", "x"), loss("b", "x"), loss("c", "y", 9)],
                ContentState.REFUSED,
            ),
        }
        for name, (losses, expected) in cases.items():
            with self.subTest(name):
                suspects = CrashSuspects()
                for incidents in losses:
                    suspects.add(incidents)
                self.assertEqual(suspects.state_of("x", 10.0), expected)
                after = suspects.state_of("x", 10.0 + INCIDENT_TTL_S)
                self.assertEqual(after, ContentState.CLEAR)

    def test_clear(self):
        suspects = CrashSuspects()
        suspects.add(loss("a", "x"))
        suspects.clear("x", ["b"])
        self.assertEqual(suspects.state_of("x", 1.0), ContentState.SUSPECT)
        suspects.clear("x", ["a", "b"])
        self.assertEqual(suspects.state_of("x", 1.0), ContentState.CLEAR)


if __name__ == "__main__":
    unittest.main()
