"""Budget for extra attempts, as a share of first attempts."""

import dataclasses

BURST_TOKENS = 10.0


@dataclasses.dataclass
class ExtraAttemptBudget:
    """Token bucket that first attempts fill and extra attempts drain.

    Attributes:
        share: Tokens earned a first attempt.
        tokens: The tokens left.
    """

    share: float
    tokens: float = BURST_TOKENS

    def earn(self, first_attempts: int) -> None:
        """Adds the tokens of some first attempts."""
        earned = self.tokens + first_attempts * self.share
        self.tokens = min(earned, max(BURST_TOKENS, first_attempts))

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
