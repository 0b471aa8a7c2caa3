import unittest

from kumquatspur.policy.crash_suspects import (
    INCIDENT_TTL_S,
    MAX_CONTENTS,
    ContentState,
    CrashSuspects,
    Incident,
)


def crash(searcher, contents, at=0.0, shard="s"):
    """Returns the incidents of one crash."""
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
            "one incident": ([crash("a", "x")], ContentState.SUSPECT),
            "alone twice": ([crash("a", "x"), crash("b", "x", 1)], "refused"),
            "alone once": ([crash("a", "xy"), crash("b", "x", 1)], "refused"),
            "twice the same": (
                [crash("a", "x"), crash("a", "x", 1)],
                ContentState.REFUSED,
            ),
            "received twice": ([crash("a", "x"), crash("a", "x")], "suspect"),
            "only common content of two replicas": (
                [crash("a", "xy"), crash("b", "xz", 0.01)],
                ContentState.REFUSED,
            ),
            "common content of two shards": (
                [crash("a", "xy"), crash("b", "xz", 0.01, "t")],
                ContentState.SUSPECT,
            ),
            "two common contents": (
                [crash("a", "xyv"), crash("b", "xyz", 1)],
                ContentState.SUSPECT,
            ),
            "another crash without it": (
                [crash("a", "x"), crash("b", "x", 0.01), crash("c", "y", 0.02)],
                ContentState.SUSPECT,
            ),
            "another crash without it, first": (
                [crash("c", "y"), crash("a", "xy"), crash("b", "xz", 0.01)],
                ContentState.SUSPECT,
            ),
            "another crash, later": (
                [crash("a", "x"), crash("b", "x"), crash("c", "y", 9)],
                ContentState.REFUSED,
            ),
        }
        for name, (crashes, expected) in cases.items():
            with self.subTest(name):
                suspects = CrashSuspects()
                for incidents in crashes:
                    suspects.add(incidents)
                self.assertEqual(suspects.state_of("x", 10.0), expected)
                after = suspects.state_of("x", 10.0 + INCIDENT_TTL_S)
                self.assertEqual(after, ContentState.CLEAR)

    def test_clear(self):
        suspects = CrashSuspects()
        suspects.add(crash("a", "x"))
        suspects.clear("x", ["b"])
        self.assertEqual(suspects.state_of("x", 1.0), ContentState.SUSPECT)
        suspects.clear("x", ["a", "b"])
        self.assertEqual(suspects.state_of("x", 1.0), ContentState.CLEAR)

    def test_full_table_with_coinciding_crashes(self):
        """Many searchers crash at once under many contents."""
        suspects = CrashSuspects()
        contents = [f"c{number}" for number in range(MAX_CONTENTS)]
        for content in contents:
            # Two incidents each, so that the newest contents are evicted.
            suspects.add(crash("a", [content], 1.0))
            suspects.add(crash("b", [content], 2.0))
        suspects.add(crash("c", ["new"], 2.1))
        self.assertLessEqual(len(suspects.incidents), MAX_CONTENTS)
        self.assertNotIn("new", suspects.incidents)


if __name__ == "__main__":
    unittest.main()
