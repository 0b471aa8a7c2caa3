"""Budget for extra attempts, as a share of first attempts."""

import dataclasses

HEDGE_BURST_TOKENS = 3.0
RETRY_BURST_TOKENS = 10.0
RETRY_SHARE = 0.1


@dataclasses.dataclass
class ExtraAttemptBudget:
    """Token bucket that first attempts fill and extra attempts drain.

    Attributes:
        share: Tokens earned a first attempt.
        burst: The most tokens kept.
        tokens: The tokens left; at first a full burst.
    """

    share: float
    burst: float
    tokens: float = dataclasses.field(init=False)

    def __post_init__(self):
        self.tokens = self.burst

    def earn(self, first_attempts: int) -> None:
        """Adds the tokens of some first attempts."""
        earned = self.tokens + first_attempts * self.share
        self.tokens = min(earned, self.burst)

    def refund(self) -> None:
        """Gives back the token of an attempt that did not run."""
        self.tokens += 1.0

    def spend(self) -> bool:
        """Takes a token.

        Returns:
            False if the budget is exhausted.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
