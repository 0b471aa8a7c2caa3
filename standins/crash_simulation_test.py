import dataclasses
import unittest

from standins.crash_simulation import (
    CrashLoad,
    crashes_before_refusal,
    refused_innocents,
)

LOADS = {
    "usual": CrashLoad(),
    "few requests": CrashLoad(in_flight=0.5),
    "many requests": CrashLoad(in_flight=6.0),
    "many hosts": CrashLoad(hosts=60, in_flight=6.0),
    "popular contents": CrashLoad(hosts=60, in_flight=6.0, popularity=1.5),
}
# RULES.md allows three crashes and three retries after them.
MOST_CRASHES = 6
SEEDS = 60
CRASHES = 40


class CrashSimulationTest(unittest.TestCase):
    def test_harmful_content_is_refused(self):
        """Guards against crashes without end while other requests run."""
        for name, load in LOADS.items():
            with self.subTest(name):
                counts = [
                    crashes_before_refusal(load, seed, 30)
                    for seed in range(SEEDS)
                ]
                self.assertLessEqual(max(counts), MOST_CRASHES)

    def test_seeing_more_crashes_refuses_no_more_sound_contents(self):
        """Guards against refusals of requests that crash nothing."""
        for name, load in LOADS.items():
            with self.subTest(name):
                # As before: crashes after a part of an answer are not seen, and
                # a run proves nothing.
                before = dataclasses.replace(load, told=False)
                refused = [0, 0]
                for seed in range(10):
                    refused[0] += refused_innocents(
                        before, seed, CRASHES, sees_parts=False
                    )
                    refused[1] += refused_innocents(load, seed, CRASHES)
                self.assertLess(refused[1], refused[0])


if __name__ == "__main__":
    unittest.main()
