"""When a late shard is asked for a second time.

Hedged requests (Dean and Barroso, The Tail at Scale, 2013): a second attempt
is sent once the first has taken longer than a high quantile of the latency.
"""

import bisect
import collections

WINDOW = 400
MIN_SAMPLES = 20
FLUSH_QUANTILE = 0.5
UNKNOWN_FLUSH_S = 0.005
MIN_DELAY_S = 0.004
UNKNOWN_DELAY_S = 0.020
# A hedge must leave time for its own answer.
MAX_DELAY_SHARE = 0.5
# While shards stay late, they are looked at again after this time.
RECHECK_S = 0.010


class LatencyWindow:
    """Quantiles of the most recent latencies.

    Attributes:
        recent: The latencies in seconds, oldest first.
    """

    def __init__(self):
        self.recent = collections.deque()
        self._sorted = []

    def add(self, seconds: float) -> None:
        """Takes an observation."""
        if len(self.recent) == WINDOW:
            oldest = self.recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self.recent.append(seconds)
        bisect.insort(self._sorted, seconds)

    def quantile(self, share: float) -> float | None:
        """Returns a quantile, or None if too little was observed."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[int(share * (len(self._sorted) - 1))]


def flush_delay_s(window: LatencyWindow) -> float:
    """Returns how long an owner may hold results to send them together.

    It stays well below the delay of a hedge, so that no shard is asked again
    while its result waits at the owner.

    Args:
        window: Latencies of recent attempts.

    Returns:
        Seconds.
    """
    return window.quantile(FLUSH_QUANTILE) or UNKNOWN_FLUSH_S


def hedge_delay_s(
    window: LatencyWindow, quantile: float, time_left_s: float
) -> float:
    """Returns how long to wait for a first attempt.

    Args:
        window: Latencies of recent attempts.
        quantile: The quantile that a late attempt exceeds.
        time_left_s: Seconds until the deadline.

    Returns:
        Seconds.
    """
    delay = window.quantile(quantile) or UNKNOWN_DELAY_S
    return max(MIN_DELAY_S, min(delay, time_left_s * MAX_DELAY_SHARE))
