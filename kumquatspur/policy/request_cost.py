"""Cost of a request to a searcher as a function of its number of items.

A linear model, seconds = fixed + items * each, fitted by exponentially
weighted least squares. With little variation in the number of items the fit
falls back to a prior that lets two items share a request, which keeps the model
informed.
"""

import dataclasses

WEIGHT = 0.05
# The effect of batches is remembered longer, so that it is seldom explored.
SPREAD_WEIGHT = 0.01
INITIAL_S = 0.005
# Share of a request's time that the prior gives to its items.
PRIOR_ITEM_SHARE = 0.45
PRIOR_VARIANCE = 0.005
# The items take at least this share of a request's time.
MIN_ITEM_SHARE = 0.05


@dataclasses.dataclass
class RequestCost:
    """Running estimate for one searcher.

    Attributes:
        count: Observations so far.
        items: Mean number of items a request.
        seconds: Mean time of a request, in seconds.
        variance: Variance of the number of items.
        covariance: Covariance of number of items and seconds.
    """

    count: int = 0
    items: float = 1.0
    seconds: float = INITIAL_S
    variance: float = 0.0
    covariance: float = 0.0

    def add(self, items: int, seconds: float) -> None:
        """Takes an observation.

        Args:
            items: The number of items of a request.
            seconds: How long it took.
        """
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        items_off = items - self.items
        seconds_off = seconds - self.seconds
        self.items += weight * items_off
        self.seconds += weight * seconds_off
        spread = max(SPREAD_WEIGHT, 1.0 / self.count)
        keep = 1.0 - spread
        self.variance = keep * (self.variance + spread * items_off**2)
        self.covariance = keep * (
            self.covariance + spread * items_off * seconds_off
        )

    def each_s(self) -> float:
        """Returns the time that each item adds, in seconds."""
        mean = self.seconds / self.items
        prior = PRIOR_ITEM_SHARE * mean
        total = self.covariance + PRIOR_VARIANCE * prior
        slope = total / (self.variance + PRIOR_VARIANCE)
        return min(max(slope, MIN_ITEM_SHARE * mean), mean)

    def predict_s(self, items: int) -> float:
        """Estimates the time of a request.

        Args:
            items: Its number of items.

        Returns:
            Seconds.
        """
        return self.seconds + (items - self.items) * self.each_s()

    def best_batch(self, most: int) -> int:
        """Returns how many items should share a request.

        One more item saves the fixed cost once and delays the others by its own
        time, so items join while the fixed cost is the larger one.

        Args:
            most: The upper bound.

        Returns:
            The number of items, at least 1.
        """
        each = self.each_s()
        fixed = max(0.0, self.predict_s(0))
        return max(1, min(most, 1 + int(fixed / each)))
