"""Whether a request may have run.

Every attempt to run work on an upstream ends in one verdict. A state table
maps the phase an attempt had reached and the event that ended it to a verdict.
"""

import enum


class Verdict(enum.StrEnum):
    """Whether a piece of work was executed by an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class Phase(enum.StrEnum):
    """How far an attempt had come."""

    QUEUED = "queued"
    CONNECTING = "connecting"
    SENT = "sent"


class Outcome(enum.StrEnum):
    """The event that ended an attempt.

    FAILED is the loss of the connection; REJECTED is an answer that does not
    say what became of the work.
    """

    ANSWERED = "answered"
    DECLINED = "declined"
    FAILED = "failed"
    REJECTED = "rejected"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


# A declaration by the upstream that it did not run an item is the only event
# after sending that proves NOT_RUN.
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
        phase: How far the attempt had come.
        outcome: The event that ended it.

    Returns:
        The verdict. Pairs that cannot occur are MAY_HAVE_RUN, the verdict that
        promises least.
    """
    return _VERDICTS.get((phase, outcome), Verdict.MAY_HAVE_RUN)


_PRECEDENCE = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}


def combine(verdicts) -> Verdict:
    """Returns the verdict over several attempts.

    Args:
        verdicts: The verdicts of all attempts; may be empty.

    Returns:
        RAN if any attempt ran, else MAY_HAVE_RUN if any may have run, else
        NOT_RUN.
    """
    return max(verdicts, key=_PRECEDENCE.__getitem__, default=Verdict.NOT_RUN)
