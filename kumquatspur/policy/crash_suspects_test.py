import unittest

from kumquatspur.policy.crash_suspects import (
    MEMORY_S,
    CrashSuspects,
    Death,
    Standing,
)


def loss(searcher, contents, at=0.0, shard="s"):
    """Returns the deaths of one loss."""
    return [
        Death(
            f"{searcher}@{at}/{content}",
            content,
            searcher,
            shard,
            len(contents) == 1,
            at,
            at + MEMORY_S,
        )
        for content in contents
    ]


class CrashSuspectsTest(unittest.TestCase):
    def test_standing_of_content_x(self):
        cases = {
            "one death": ([loss("a", "x")], Standing.SUSPECT),
            "alone twice": ([loss("a", "x"), loss("b", "x", 1)], "refused"),
            "alone once": ([loss("a", "xy"), loss("b", "x", 1)], "refused"),
            "twice the same": (
                [loss("a", "x"), loss("a", "x", 1)],
                Standing.REFUSED,
            ),
            "told twice": ([loss("a", "x"), loss("a", "x")], "suspect"),
            "only common content of two replicas": (
                [loss("a", "xy"), loss("b", "xz", 0.01)],
                Standing.REFUSED,
            ),
            "common content of two shards": (
                [loss("a", "xy"), loss("b", "xz", 0.01, "t")],
                Standing.SUSPECT,
            ),
            "two common contents": (
                [loss("a", "xyv"), loss("b", "xyz", 1)],
                Standing.SUSPECT,
            ),
            "another loss without it": (
                [loss("a", "x"), loss("b", "x", 0.01), loss("c", "y", 0.02)],
                Standing.SUSPECT,
            ),
            "another loss without it, first": (
                [loss("c", "y"), loss("a", "xy"), loss("b", "xz", 0.01)],
                Standing.SUSPECT,
            ),
            "another loss, later": (
                [loss("a", "x"), loss("b", "x"), loss("c", "y", 9)],
                Standing.REFUSED,
            ),
        }
        for name, (losses, expected) in cases.items():
            with self.subTest(name):
                suspects = CrashSuspects()
                for deaths in losses:
                    suspects.add(deaths)
                self.assertEqual(suspects.standing("x", 10.0), expected)
                after = suspects.standing("x", 10.0 + MEMORY_S)
                self.assertEqual(after, Standing.CLEAR)

    def test_acquittal(self):
        suspects = CrashSuspects()
        suspects.add(loss("a", "x"))
        suspects.acquit("x", ["b"])
        self.assertEqual(suspects.standing("x", 1.0), Standing.SUSPECT)
        suspects.acquit("x", ["a", "b"])
        self.assertEqual(suspects.standing("x", 1.0), Standing.CLEAR)


if __name__ == "__main__":
    unittest.main()
