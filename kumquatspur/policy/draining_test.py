import unittest

from kumquatspur.policy.draining import SIGNAL_EXPIRY_S, DrainState, Signal

# Each case is a list of steps and whether the upstream is draining after them.
# A step is a signal, "failed" or "healthy" for a probe, or seconds to wait.
CASES = [
    ([], False),
    ([Signal.PROBE], True),
    ([Signal.PROBE, "healthy"], False),
    ([Signal.ANSWER, "healthy"], True),
    ([Signal.ANSWER, "failed", "healthy"], False),
    ([Signal.ANSWER, Signal.PROBE, "healthy"], False),
    ([Signal.PROBE, Signal.ANSWER, "healthy"], False),
    ([Signal.ANSWER, SIGNAL_EXPIRY_S - 1.0, "healthy"], True),
    ([Signal.ANSWER, SIGNAL_EXPIRY_S, "healthy"], False),
    ([Signal.ANSWER, SIGNAL_EXPIRY_S, "failed"], False),
    ([Signal.CONNECTION_REFUSED, "failed"], True),
    ([Signal.CONNECTION_REFUSED, "failed", "healthy"], False),
    (["failed", Signal.CONNECTION_REFUSED, "healthy"], True),
]


class DrainStateTest(unittest.TestCase):
    def test_what_ends_a_signal(self):
        for steps, draining in CASES:
            with self.subTest(steps=steps):
                state, now = DrainState(), 0.0
                for step in steps:
                    if isinstance(step, float):
                        now += step
                    elif isinstance(step, Signal):
                        state.record_signal(step, now)
                    elif step == "failed":
                        state.record_probe_failure(now)
                    else:
                        state.record_healthy_probe(now)
                self.assertIs(state.is_draining(), draining)


if __name__ == "__main__":
    unittest.main()
