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

    def test_contents_of_several_hosts_at_one_crash_are_not_alone(self):
        """Guards against refusals of what was in flight at another host."""
        for first, second in (("x", "y"), ("y", "x")):
            suspects = CrashSuspects()
            for number in range(2):
                searcher = "ab"[number]
                suspects.add(crash(searcher, first, 10.0 * number))
                suspects.add(crash(searcher, second, 10.0 * number + 0.1))
            for content in "xy":
                state = suspects.state_of(content, 20.0)
                self.assertEqual(state, ContentState.SUSPECT)
            suspects.add(crash("c", "x", 15.0))
            self.assertEqual(suspects.state_of("x", 20.0), ContentState.REFUSED)
            self.assertEqual(suspects.state_of("y", 20.0), ContentState.SUSPECT)

    def test_run_discards_incidents_of_its_shard(self):
        """Guards against refusals of contents that crash nothing."""
        suspects = CrashSuspects()
        suspects.add(crash("a", "x", 1.0))
        suspects.add(crash("t-a", "x", 1.0, "t"))
        self.assertTrue(suspects.record_run("x", "s", 2.0))
        self.assertEqual(suspects.crashed_searchers("x", 3.0), ["t-a"])
        self.assertFalse(suspects.record_run("x", "s", 2.5))
        # Another host sends the incident again, and a later one.
        suspects.add(crash("a", "x", 1.0))
        self.assertEqual(suspects.crashed_searchers("x", 3.0), ["t-a"])
        suspects.add(crash("b", "x", 4.0))
        self.assertEqual(suspects.crashed_searchers("x", 5.0), ["b", "t-a"])

    def test_run_that_another_host_has_seen(self):
        suspects = CrashSuspects()
        suspects.learn_runs([("x", "s", 2.0)])
        suspects.add(crash("a", "x", 1.0))
        self.assertEqual(suspects.state_of("x", 3.0), ContentState.CLEAR)
        # The same run, by way of other hosts.
        for echo in range(1, 100):
            suspects.learn_runs([("x", "s", 2.0 + 0.01 * echo)])
        self.assertEqual(suspects.recent_runs(3.0, 9), [("x", "s", 2.0)])
        suspects.learn_runs([("y", "s", 4.0), ("x", "s", 8.0)])
        self.assertEqual(suspects.recent_runs(9.0, 1), [("x", "s", 8.0)])
        self.assertEqual(suspects.recent_runs(9.0 + INCIDENT_TTL_S, 9), [])

    def test_memory_of_runs_is_limited(self):
        suspects = CrashSuspects()
        for number in range(2 * MAX_CONTENTS):
            suspects.learn_runs([(f"c{number}", "s", 1.0)])
        self.assertEqual(len(suspects.ran_at), MAX_CONTENTS)

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
