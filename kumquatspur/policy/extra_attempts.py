"""Limits extra attempts of all hosts together over sliding windows.

Load pattern: when a service turns slow or loses replicas, every host wants to
ask again at once, and the extra attempts would take the capacity that is left.
Each host spends a share of its own recent requests and its part of a fixed
allowance, so that the sum over hosts keeps the limit without coordination.
"""

import collections
import dataclasses

# Width of the counted steps; windows are rounded against the spender.
STEP_S = 0.5
# Share of the allowance kept for arrivals that are seen by a searcher in
# another window than they were sent in.
SAFETY = 0.9


@dataclasses.dataclass
class _Counts:
    requests: int = 0
    extras: int = 0


@dataclasses.dataclass
class ExtraAttempts:
    """Requests and extra attempts of one host by service.

    Attributes:
        window_s: Length of the window in seconds.
        ratio: Extra attempts allowed a request.
        allowance: Extra attempts allowed to all hosts in a window besides.
        allowance_from: When this host may use its part of the allowance. What
            it spent before a restart still counts in the windows until then.
        sharers: Hosts like this one that share the allowance.
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
            now: Steady time in seconds.
            reserve_share: Share of the window's limit that is left untouched.
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
        return limit * SAFETY * (1.0 - reserve_share) - extras

    def spend(
        self, service: str, now: float, reserve_share: float = 0.0
    ) -> bool:
        """Takes an extra attempt.

        Args:
            service: The service that is asked again.
            now: Steady time in seconds.
            reserve_share: Share of the window's limit that must be left for
                more urgent use.

        Returns:
            False if the window allows no more.
        """
        if self.available(service, now, reserve_share) < 1.0:
            return False
        self._current(service, now).extras += 1
        return True

    def refund(self, service: str, now: float) -> None:
        """Gives back an extra attempt that reached no searcher."""
        self._current(service, now).extras -= 1

    def _current(self, service: str, now: float) -> _Counts:
        step = int(now / STEP_S)
        steps = self.steps.setdefault(service, collections.deque())
        if not steps or steps[-1][0] != step:
            oldest = step - int(self.window_s / STEP_S)
            while steps and steps[0][0] < oldest:
                steps.popleft()
            steps.append((step, _Counts()))
        return steps[-1][1]
