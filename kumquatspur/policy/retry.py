"""Whether a failed attempt may be repeated."""

import enum

from kumquatspur.core.verdict import Verdict


class NextStep(enum.StrEnum):
    """What follows a failed attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"


# (verdict, repeatable) to the step allowed by safety alone.
_SAFE_STEP = {
    (Verdict.NOT_RUN, True): NextStep.RETRY,
    (Verdict.NOT_RUN, False): NextStep.RETRY,
    (Verdict.MAY_HAVE_RUN, True): NextStep.RETRY,
    (Verdict.MAY_HAVE_RUN, False): NextStep.GIVE_UP,
    (Verdict.RAN, True): NextStep.RETRY,
    (Verdict.RAN, False): NextStep.GIVE_UP,
}


def next_step(
    verdict: Verdict, repeatable: bool, time_left_s: float, attempts: int
) -> NextStep:
    """Decides whether to retry a shard elsewhere.

    Args:
        verdict: Whether the failed attempt ran.
        repeatable: Whether the work may be executed more than once.
        time_left_s: Seconds until the deadline.
        attempts: Attempts made so far.

    Returns:
        The next step. The caller still has to pay for a retry from its budget.
    """
    if time_left_s < MIN_ATTEMPT_S or attempts >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    return _SAFE_STEP[(verdict, repeatable)]


MIN_ATTEMPT_S = 0.002
MAX_ATTEMPTS = 4
