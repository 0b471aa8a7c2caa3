"""Searchers that want no requests from this host for a while.

Load pattern: a searcher that is out of room rejects a request and names the
time after which it takes work again. Until then, requests to it only lengthen
its overload. They go to the other replicas, and if all replicas of a needed
shard pause, the request is rejected at once.
"""

import dataclasses
from collections.abc import Iterable

from kumquatspur.core.routing import SearcherEntry

# Longer pauses are cut to this, so that a wrong value does not exclude a
# searcher for good.
MAX_PAUSE_S = 600.0


@dataclasses.dataclass
class SearcherPauses:
    """The current pauses.

    Attributes:
        ends: End of the pause by searcher, in monotonic time.
    """

    ends: dict[str, float] = dataclasses.field(default_factory=dict)

    def record(self, searcher_id: str, pause_s: float, now: float) -> float:
        """Starts or extends a pause; an earlier one is never shortened.

        Args:
            searcher_id: The searcher that rejected a request.
            pause_s: Time for which it wants no requests, in seconds.
            now: Monotonic time in seconds.

        Returns:
            The time by which the pause grew, in seconds; 0 if it did not.
        """
        end = now + min(pause_s, MAX_PAUSE_S)
        previous = max(self.ends.get(searcher_id, now), now)
        if end <= previous:
            return 0.0
        self.ends[searcher_id] = end
        return end - previous

    def is_paused(self, searcher_id: str, now: float) -> bool:
        """Returns whether the searcher wants no requests now."""
        return now < self.ends.get(searcher_id, 0.0)

    def without_paused(
        self, entries: Iterable[SearcherEntry], now: float
    ) -> list[SearcherEntry]:
        """Returns the searchers that do not pause."""
        if not self.ends:
            return list(entries)
        return [e for e in entries if not self.is_paused(e.searcher_id, now)]

    def resume_at(self, searcher_id: str, now: float) -> float:
        """Returns when a searcher takes work again; `now` if it does so now."""
        return max(now, self.ends.get(searcher_id, 0.0))

    def expire(self, now: float) -> list[str]:
        """Removes the pauses that have ended and returns their searchers."""
        ended = sorted(name for name, end in self.ends.items() if end <= now)
        for name in ended:
            del self.ends[name]
        return ended


def servable_at(
    resume_times: Iterable[float | None], needed: int
) -> float | None:
    """Returns when enough shards of a request can be searched again.

    Args:
        resume_times: For each shard, when one of its searchers takes work; None
            for a shard without a searcher.
        needed: Number of shards that an answer needs.

    Returns:
        Monotonic time; None if too few shards have a searcher at all.
    """
    known = sorted(time for time in resume_times if time is not None)
    return known[needed - 1] if len(known) >= needed else None
