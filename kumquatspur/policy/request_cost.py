"""Time of a request to a searcher as a function of its number of items.

A linear model, seconds = fixed + items * per_item, fitted by exponentially
weighted least squares. If the number of items varies too little for a fit, the
time per item comes from a prior. With the prior, requests of two items are
worthwhile, so the number of items varies again and the fit gets new data.
"""

import dataclasses

MEAN_WEIGHT = 0.05
# Variance and covariance are averaged over more requests than the means, so
# that the time per item remains known longer while the number of items is
# constant.
VARIANCE_WEIGHT = 0.01
INITIAL_S = 0.005
# Share of a request's time that the prior attributes to its items.
PRIOR_ITEM_SHARE = 0.45
# Weight of the prior, as a variance of the number of items.
PRIOR_VARIANCE = 0.005
# Lower bound of the share of a request's time attributed to its items.
MIN_ITEM_SHARE = 0.05


@dataclasses.dataclass
class RequestCost:
    """Running estimate for one searcher.

    Attributes:
        count: Number of requests observed.
        items: Mean number of items per request.
        seconds: Mean time per request, in seconds.
        variance: Variance of the number of items.
        covariance: Covariance of number of items and seconds.
    """

    count: int = 0
    items: float = 1.0
    seconds: float = INITIAL_S
    variance: float = 0.0
    covariance: float = 0.0

    def add(self, items: int, seconds: float) -> None:
        """Updates the estimate with an observed request.

        Args:
            items: Number of items of the request.
            seconds: How long it took.
        """
        self.count += 1
        weight = max(MEAN_WEIGHT, 1.0 / self.count)
        items_error = items - self.items
        seconds_error = seconds - self.seconds
        self.items += weight * items_error
        self.seconds += weight * seconds_error
        variance_weight = max(VARIANCE_WEIGHT, 1.0 / self.count)
        keep = 1.0 - variance_weight
        self.variance = keep * (
            self.variance + variance_weight * items_error**2
        )
        self.covariance = keep * (
            self.covariance + variance_weight * items_error * seconds_error
        )

    def per_item_s(self) -> float:
        """Returns the estimated time per additional item, in seconds."""
        mean = self.seconds / self.items
        prior = PRIOR_ITEM_SHARE * mean
        total = self.covariance + PRIOR_VARIANCE * prior
        slope = total / (self.variance + PRIOR_VARIANCE)
        return min(max(slope, MIN_ITEM_SHARE * mean), mean)

    def predict_s(self, items: int) -> float:
        """Estimates the time of a request.

        Args:
            items: Number of items of the request.

        Returns:
            Seconds.
        """
        return self.seconds + (items - self.items) * self.per_item_s()

    def best_batch(self, max_items: int) -> int:
        """Returns how many items should share a request.

        One more item saves one fixed cost and delays the others by its own
        time. So items are added while the fixed cost exceeds the sum of these
        delays.

        Args:
            max_items: Upper bound of the result.

        Returns:
            The number of items, at least 1.
        """
        per_item = self.per_item_s()
        fixed = max(0.0, self.predict_s(0))
        return max(1, min(max_items, 1 + int(fixed / per_item)))
