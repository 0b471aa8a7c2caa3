"""Verdicts: whether a request may have been executed.

Every attempt to execute work on an upstream ends with one verdict. A table maps
the phase that the attempt had reached and the event that ended it to a verdict.
"""

import enum


class Verdict(enum.StrEnum):
    """Whether an upstream executed the work."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class Phase(enum.StrEnum):
    """Phase that an attempt had reached."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"


class Outcome(enum.StrEnum):
    """The event that ended an attempt.

    FAILED means that the connection failed. DECLINED means that the upstream
    declared that it did not execute the work. REJECTED means an answer that
    does not say whether the work was executed.
    """

    ANSWERED = "answered"
    DECLINED = "declined"
    FAILED = "failed"
    REJECTED = "rejected"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


# After sending, only DECLINED proves that the work did not run.
_VERDICTS = {
    (Phase.QUEUED, Outcome.FAILED): Verdict.NOT_RUN,
    (Phase.QUEUED, Outcome.TIMED_OUT): Verdict.NOT_RUN,
    (Phase.QUEUED, Outcome.CANCELLED): Verdict.NOT_RUN,
    (Phase.QUEUED, Outcome.DECLINED): Verdict.NOT_RUN,
    (Phase.CONNECTING, Outcome.FAILED): Verdict.NOT_RUN,
    (Phase.CONNECTING, Outcome.TIMED_OUT): Verdict.NOT_RUN,
    (Phase.CONNECTING, Outcome.CANCELLED): Verdict.NOT_RUN,
    (Phase.SENT, Outcome.ANSWERED): Verdict.RAN,
    (Phase.SENT, Outcome.DECLINED): Verdict.NOT_RUN,
    (Phase.SENT, Outcome.FAILED): Verdict.MAY_HAVE_RUN,
    (Phase.SENT, Outcome.REJECTED): Verdict.MAY_HAVE_RUN,
    (Phase.SENT, Outcome.TIMED_OUT): Verdict.MAY_HAVE_RUN,
    (Phase.SENT, Outcome.CANCELLED): Verdict.MAY_HAVE_RUN,
}


def verdict_of(phase: Phase, outcome: Outcome) -> Verdict:
    """Returns the verdict of an attempt.

    Args:
        phase: The phase that the attempt had reached.
        outcome: The event that ended the attempt.

    Returns:
        The verdict; MAY_HAVE_RUN, which guarantees least, for combinations
        that cannot occur.
    """
    return _VERDICTS.get((phase, outcome), Verdict.MAY_HAVE_RUN)


_PRECEDENCE = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(verdicts) -> Verdict:
    """Combines the verdicts of several attempts.

    Args:
        verdicts: The verdicts of all attempts; may be empty.

    Returns:
        RAN if any verdict is RAN, otherwise MAY_HAVE_RUN if any verdict is
        MAY_HAVE_RUN, otherwise NOT_RUN.
    """
    return max(verdicts, key=_PRECEDENCE.__getitem__, default=Verdict.NOT_RUN)
