"""Delays of hedged requests and of batched results.

Hedged requests (Dean and Barroso, The Tail at Scale, 2013): a second attempt
is sent once the first has taken longer than a high quantile of the latency.
The delays apply to queries that are answered by way of the searchers' owners;
`request_plan` has those of routed requests.
"""

import bisect
import collections

WINDOW_SAMPLES = 400
MIN_SAMPLES = 20
FLUSH_QUANTILE = 0.5
DEFAULT_FLUSH_S = 0.005
MIN_DELAY_S = 0.004
DEFAULT_DELAY_S = 0.020
# Largest hedge delay as a share of the time left, so that the hedge itself can
# still be answered in time.
MAX_DELAY_SHARE = 0.5
# The same for results that are held back, so that they arrive before the hedge.
MAX_FLUSH_SHARE = 0.25
# Interval at which shards that are still late are checked again.
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
        """Adds a latency and drops the oldest one if the window is full."""
        if len(self.recent) == WINDOW_SAMPLES:
            oldest = self.recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        self.recent.append(seconds)
        bisect.insort(self._sorted, seconds)

    def quantile(self, share: float) -> float | None:
        """Returns a quantile, or None with fewer than `MIN_SAMPLES`."""
        if len(self._sorted) < MIN_SAMPLES:
            return None
        return self._sorted[int(share * (len(self._sorted) - 1))]


def flush_delay_s(window: LatencyWindow, time_left_s: float) -> float:
    """Returns how long an owner may delay results to send them together.

    This is the median of the latencies, but always below the hedge delay, so
    that no shard is asked again while its result waits at the owner.

    Args:
        window: Latencies of recent attempts.
        time_left_s: Seconds until the deadline.

    Returns:
        Seconds.
    """
    delay = window.quantile(FLUSH_QUANTILE) or DEFAULT_FLUSH_S
    return min(delay, time_left_s * MAX_FLUSH_SHARE)


def hedge_delay_s(
    window: LatencyWindow, quantile: float, time_left_s: float
) -> float:
    """Returns how long to wait for the first attempt before hedging.

    Args:
        window: Latencies of recent attempts.
        quantile: The latency quantile after which an attempt counts as late.
        time_left_s: Seconds until the deadline.

    Returns:
        Seconds.
    """
    delay = window.quantile(quantile) or DEFAULT_DELAY_S
    return max(MIN_DELAY_S, min(delay, time_left_s * MAX_DELAY_SHARE))
