"""Admission control at the entry host while shards are overloaded.

The admitted share of queries follows additive increase, multiplicative
decrease. Owners that decline work trigger the decrease, as in DAGOR (Zhou et
al., 2018).
"""

import dataclasses

DECREASE_FACTOR = 0.9
# Declines within this time after the last decrease cause no further decrease.
DECREASE_INTERVAL_S = 0.1
# Time after the last decrease before the share grows again.
INCREASE_DELAY_S = 0.5
INCREASE_PER_S = 0.15
MIN_SHARE = 0.05
MAX_RETRY_AFTER_S = 10.0


@dataclasses.dataclass
class Throttle:
    """The share of one service's queries that an entry host admits.

    Attributes:
        share: The admitted share as of `updated_at`.
        declined_at: When the share was last decreased because an owner
            declined work for overload.
        updated_at: When the share was last updated.
    """

    share: float = 1.0
    declined_at: float = float("-inf")
    updated_at: float = float("-inf")

    def admitted_share(self, now: float) -> float:
        """Returns the share of queries to admit.

        Args:
            now: The current time in seconds.

        Returns:
            A probability. It is at least `MIN_SHARE`, so that some queries
            reach the owners and show when the overload has ended.
        """
        start = max(self.updated_at, self.declined_at + INCREASE_DELAY_S)
        grown = max(0.0, now - start) * INCREASE_PER_S
        self.share = min(1.0, self.share + grown)
        self.updated_at = now
        return self.share

    def record_decline(self, now: float) -> None:
        """Decreases the share after an owner declined work for overload."""
        share = self.admitted_share(now)
        if now - self.declined_at >= DECREASE_INTERVAL_S:
            self.share = max(MIN_SHARE, share * DECREASE_FACTOR)
            self.declined_at = now


def retry_after_s(admitted_share: float) -> float:
    """Returns how long a refused caller should wait before it retries.

    Args:
        admitted_share: The share of queries admitted now.

    Returns:
        Seconds until the share would be back at 1, at least 1 and at most
        `MAX_RETRY_AFTER_S`.
    """
    recovery_s = (1.0 - admitted_share) / INCREASE_PER_S
    return min(MAX_RETRY_AFTER_S, max(1.0, INCREASE_DELAY_S + recovery_s))
