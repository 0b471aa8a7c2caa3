"""Decides whether a failed attempt of a query may be retried.

It applies to queries that are answered by way of the searchers' owners;
`request_plan` decides on routed requests.
"""

import enum

from kumquatspur.core.verdict import Verdict


class NextStep(enum.StrEnum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    GIVE_UP = "give_up"


# For each verdict and whether the work is repeatable, the step that cannot
# execute non-repeatable work twice.
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
        verdict: Whether the failed attempt was executed.
        repeatable: Whether the work may be executed more than once.
        time_left_s: Seconds until the deadline.
        attempts: Number of attempts so far that reached a searcher.

    Returns:
        The next step. The caller still has to charge a retry to its budget.
    """
    if time_left_s < MIN_ATTEMPT_S or attempts >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    return _SAFE_STEP[(verdict, repeatable)]


# No attempt is made with less time than this before the deadline.
MIN_ATTEMPT_S = 0.002
# Attempts for one shard of a query.
MAX_ATTEMPTS = 4
