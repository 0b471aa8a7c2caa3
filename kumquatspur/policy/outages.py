"""When clients should return to a route that cannot be served.

Load pattern: a zone is cut off for seconds, and its host lacks the searchers of
too many shards. Each request is rejected at once. Clients that are told to
return within a fraction of a second are rejected again. An outage that has
lasted for some time is expected to last about that long again.
"""

import dataclasses

# A route whose last rejection is older than this is served again.
FORGET_S = 2.0
# Longest time that a client is told to wait.
MAX_WAIT_S = 5.0


@dataclasses.dataclass(slots=True)
class Outage:
    """Rejections of one route without a searcher.

    Attributes:
        began_at: When the first request was rejected.
        last_at: When the last one was.
    """

    began_at: float
    last_at: float


@dataclasses.dataclass
class Outages:
    """The routes that cannot be served.

    Attributes:
        by_route: The outage of each route that rejected requests lately.
    """

    by_route: dict[str, Outage] = dataclasses.field(default_factory=dict)

    def record_rejection(self, route: str, now: float) -> float:
        """Records a rejection; returns the expected rest of the outage.

        Args:
            route: The route.
            now: Monotonic time in seconds.
        """
        outage = self.by_route.get(route)
        if outage is None or now - outage.last_at > FORGET_S:
            outage = self.by_route[route] = Outage(now, now)
        outage.last_at = now
        return min(now - outage.began_at, MAX_WAIT_S)

    def record_servable(self, route: str) -> None:
        """Records that a request of a route could be sent to its searchers."""
        self.by_route.pop(route, None)
