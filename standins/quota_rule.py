"""The users' rule for quotas of client accounts.

In no window are more requests of an account sent to searchers, from all hosts
together, than rate and burst allow, with the overrun and the slack.
"""

from collections.abc import Iterable

WINDOW_S = 5.0
OVERRUN = 0.1
SLACK = 20.0


def allowed(rate_per_s: float, burst: float) -> float:
    """Returns the requests that a window may have."""
    return (rate_per_s * WINDOW_S + burst) * (1.0 + OVERRUN) + SLACK


def most_in_window(times: Iterable[float]) -> int:
    """Returns the most requests in a window.

    Args:
        times: When requests arrived, in seconds.
    """
    ordered = sorted(times)
    first = most = 0
    for index, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_S:
            first += 1
        most = max(most, index - first + 1)
    return most
