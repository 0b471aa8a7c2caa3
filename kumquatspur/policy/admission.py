"""Refusing queries at the entry host while their shards are overloaded.

Additive increase, multiplicative decrease of the share admitted, driven by the
owners' declines, as in DAGOR (Zhou et al., 2018).
"""

import dataclasses

DECREASE = 0.9
# Declines that come closer together than this count as one.
DECREASE_INTERVAL_S = 0.1
QUIET_S = 0.5
INCREASE_PER_S = 0.15
MIN_SHARE = 0.05
MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass
class Throttle:
    """The share of one service's queries that an entry host admits.

    Attributes:
        share: The share admitted when it was last updated.
        declined_at: When an owner last declined work for overload.
        updated_at: When the share was last updated.
    """

    share: float = 1.0
    declined_at: float = float("-inf")
    updated_at: float = float("-inf")

    def admitted_share(self, now: float) -> float:
        """Returns the share of queries to admit.

        Args:
            now: The current time.

        Returns:
            A probability, at least `MIN_SHARE`, so that the end of an overload
            is noticed.
        """
        start = max(self.updated_at, self.declined_at + QUIET_S)
        grown = max(0.0, now - start) * INCREASE_PER_S
        self.share = min(1.0, self.share + grown)
        self.updated_at = now
        return self.share

    def record_decline(self, now: float) -> None:
        """Counts a query of which an owner declined a part for overload."""
        share = self.admitted_share(now)
        if now - self.declined_at >= DECREASE_INTERVAL_S:
            self.share = max(MIN_SHARE, share * DECREASE)
            self.declined_at = now


def retry_after_s(admitted_share: float) -> float:
    """Returns when a refused caller may come back.

    Args:
        admitted_share: The share of queries admitted now.

    Returns:
        Seconds: how long the share takes to return to one, at least a second.
    """
    growing_s = (1.0 - admitted_share) / INCREASE_PER_S
    return min(MAX_RETRY_AFTER_S, max(1.0, QUIET_S + growing_s))
