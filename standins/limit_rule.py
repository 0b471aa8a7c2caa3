"""The users' rule for searchers that name a limit.

Later than the contact time after a searcher first named its limit, it gets in
no window more than the factor times what the limit allows, and some requests
more, from the hosts that it has told.
"""

from collections.abc import Iterable

WINDOW_S = 4.0
CONTACT_S = 4.0
FACTOR = 1.5
EXTRA_REQUESTS = 5


def allowed(limit_per_s: float) -> float:
    """Returns the requests that a window may have."""
    return FACTOR * limit_per_s * WINDOW_S + EXTRA_REQUESTS


def most_in_window(
    times: Iterable[float], start: float, window_s: float = WINDOW_S
) -> int:
    """Returns the most requests in a window that begins after a time.

    Args:
        times: When requests arrived, in seconds.
        start: When the first window may begin.
        window_s: Length of a window in seconds.
    """
    later = sorted(at for at in times if at >= start)
    first = most = 0
    for index, at in enumerate(later):
        while later[first] <= at - window_s:
            first += 1
        most = max(most, index - first + 1)
    return most
