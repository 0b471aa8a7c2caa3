"""Counts of this host's attempts by searcher, for the decision log."""

import collections
import dataclasses
from collections.abc import Container


@dataclasses.dataclass
class AttemptCounts:
    """Attempts in the current interval and in the one before.

    Attributes:
        current: Attempts in the current interval by searcher and kind.
        previous: Attempts in the interval before, by searcher and kind.
    """

    current: dict[str, collections.Counter] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    previous: dict[str, collections.Counter] = dataclasses.field(
        default_factory=dict
    )

    def add(self, searcher_id: str, kind: str) -> None:
        """Counts an attempt."""
        self.current[searcher_id][kind] += 1

    def end_interval(
        self, searchers: Container[str]
    ) -> dict[str, dict[str, int]]:
        """Ends the current interval.

        Args:
            searchers: The searchers whose attempts are returned.

        Returns:
            Their attempts in the interval by kind.
        """
        self.previous = dict(self.current)
        self.current.clear()
        return {
            searcher_id: dict(counts)
            for searcher_id, counts in self.previous.items()
            if searcher_id in searchers
        }

    def previous_total(self, searcher_id: str) -> int:
        """Returns the attempts at a searcher in the interval before."""
        return sum(self.previous.get(searcher_id, {}).values())
