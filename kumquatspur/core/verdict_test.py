import itertools
import unittest

from kumquatspur.core.verdict import (
    Outcome,
    Phase,
    Verdict,
    combine,
    verdict_of,
)


class VerdictTest(unittest.TestCase):
    def test_not_run_after_sending_only_if_declined(self):
        for phase, outcome in itertools.product(Phase, Outcome):
            with self.subTest(phase=phase, outcome=outcome):
                verdict = verdict_of(phase, outcome)
                if verdict is Verdict.NOT_RUN and phase is Phase.SENT:
                    self.assertIs(outcome, Outcome.DECLINED)

    def test_combine(self):
        cases = [
            ([], Verdict.NOT_RUN),
            ([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN], Verdict.MAY_HAVE_RUN),
            ([Verdict.RAN, Verdict.MAY_HAVE_RUN], Verdict.RAN),
        ]
        for verdicts, expected in cases:
            with self.subTest(verdicts=verdicts):
                self.assertIs(combine(verdicts), expected)


if __name__ == "__main__":
    unittest.main()
