"""Limits the extra attempts of all hosts together over sliding windows.

Load pattern: when a service becomes slow or loses replicas, every host hedges
and retries at once, and these extra attempts would use up the capacity that is
left. Each host may spend a share of its own recent requests plus its part of a
fixed allowance, so that the sum over all hosts stays within the limit without
coordination.

The limit applies to routed requests, which the entry host sends to searchers
directly. Queries by way of the searchers' owners use `budget`.
"""

import collections
import dataclasses

# Resolution of the counts. A window includes the step in which it begins for
# extra attempts, but not for requests, so that rounding only lowers the limit.
STEP_S = 0.5
# The limit is reduced to this share, because a searcher may receive attempts in
# another window than the one in which they were sent.
SAFETY_FACTOR = 0.9


@dataclasses.dataclass
class _Counts:
    requests: int = 0
    extras: int = 0


@dataclasses.dataclass
class ExtraAttempts:
    """Requests and extra attempts of one host by service.

    Attributes:
        window_s: Length of the window in seconds.
        ratio: Extra attempts allowed per recorded request to a service.
        allowance: Additional extra attempts that all hosts together may make
            per window.
        allowance_from: When this host may start to use its part of the
            allowance. Until then, attempts from before a restart may still
            count in the current windows.
        sharers: Total capacity of the hosts that share the allowance, as a
            multiple of this host's. This is their number if all are equal.
        steps: Counts by service, as pairs of step number and counts.
    """

    window_s: float
    ratio: float
    allowance: float
    allowance_from: float = 0.0
    sharers: float = 1.0
    steps: dict[str, collections.deque] = dataclasses.field(
        default_factory=dict
    )

    def record_request(self, service: str, now: float) -> None:
        """Counts a request for a service."""
        self._current(service, now).requests += 1

    def available(
        self, service: str, now: float, reserve_share: float = 0.0
    ) -> float:
        """Returns how many extra attempts the window still allows.

        Args:
            service: The service.
            now: Monotonic time in seconds.
            reserve_share: Share of the window's limit that is not available.
        """
        oldest = int(now / STEP_S) - int(self.window_s / STEP_S)
        requests = extras = 0
        for step, counts in self.steps.get(service, ()):
            if step >= oldest:
                extras += counts.extras
            if step > oldest:
                requests += counts.requests
        limit = self.ratio * requests
        if now >= self.allowance_from:
            limit += self.allowance / max(1.0, self.sharers)
        return limit * SAFETY_FACTOR * (1.0 - reserve_share) - extras

    def spend(
        self, service: str, now: float, reserve_share: float = 0.0
    ) -> bool:
        """Spends one extra attempt.

        Args:
            service: The service that is asked again.
            now: Monotonic time in seconds.
            reserve_share: Share of the window's limit that must remain for
                more urgent use.

        Returns:
            False if the window allows no more.
        """
        if self.available(service, now, reserve_share) < 1.0:
            return False
        self._current(service, now).extras += 1
        return True

    def refund(self, service: str, spent_at: float) -> None:
        """Refunds an extra attempt that reached no searcher.

        It is refunded where it was spent: later, it would leave room for one
        more in windows without the attempt itself.

        Args:
            service: The service.
            spent_at: Monotonic time at which it was spent.
        """
        spent_step = int(spent_at / STEP_S)
        for step, counts in self.steps.get(service, ()):
            if step == spent_step:
                counts.extras -= 1

    def _current(self, service: str, now: float) -> _Counts:
        step = int(now / STEP_S)
        steps = self.steps.setdefault(service, collections.deque())
        if not steps or steps[-1][0] != step:
            oldest = step - int(self.window_s / STEP_S)
            while steps and steps[0][0] < oldest:
                steps.popleft()
            steps.append((step, _Counts()))
        return steps[-1][1]
