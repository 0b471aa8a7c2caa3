"""Token bucket that limits extra attempts to a share of first attempts.

It applies to queries that are answered by way of the searchers' owners;
`extra_attempts` limits those of routed requests.
"""

import dataclasses

HEDGE_BURST_TOKENS = 3.0
RETRY_BURST_TOKENS = 10.0
RETRY_SHARE = 0.1


@dataclasses.dataclass
class ExtraAttemptBudget:
    """Token bucket that first attempts fill and extra attempts empty.

    Attributes:
        share: Tokens added per first attempt.
        burst: Maximum number of tokens.
        tokens: Tokens available. The bucket starts full.
    """

    share: float
    burst: float
    tokens: float = dataclasses.field(init=False)

    def __post_init__(self):
        self.tokens = self.burst

    def earn(self, first_attempts: int) -> None:
        """Adds the tokens for a number of first attempts, up to the burst."""
        earned = self.tokens + first_attempts * self.share
        self.tokens = min(earned, self.burst)

    def refund(self) -> None:
        """Returns the token of an extra attempt that was not executed."""
        self.tokens += 1.0

    def spend(self) -> bool:
        """Removes one token for an extra attempt.

        Returns:
            False if less than one token is available; then the attempt must
            not be made.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
