"""Requests per second that searchers take from all hosts together.

Load pattern: a searcher in need names a limit in its answers. The limit is for
the sum over all hosts, of which each sees its own requests only.
"""

import collections
import dataclasses

# A change of the limit by less than this share is not reported.
REPORTED_CHANGE_SHARE = 0.1


@dataclasses.dataclass
class SearcherLimits:
    """Limits that searchers name, and this host's attempts at the searchers.

    Attributes:
        stated: Current limit in requests per second, by searcher.
        reported: Limit that was last reported as a change, by searcher.
        attempts: Attempts in the current interval by searcher and kind.
        previous: Attempts in the interval before, by searcher and kind.
    """

    stated: dict[str, float] = dataclasses.field(default_factory=dict)
    reported: dict[str, float] = dataclasses.field(default_factory=dict)
    attempts: dict[str, collections.Counter] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )
    previous: dict[str, collections.Counter] = dataclasses.field(
        default_factory=dict
    )

    def record(self, searcher_id: str, per_s: float | None) -> bool:
        """Records the limit that an answer names.

        Args:
            searcher_id: The searcher that answered.
            per_s: Requests per second; None if the answer names no limit.

        Returns:
            Whether the limit began, ended or changed noticeably.
        """
        if per_s is None:
            self.stated.pop(searcher_id, None)
            return self.reported.pop(searcher_id, None) is not None
        self.stated[searcher_id] = per_s
        reported = self.reported.get(searcher_id)
        if reported is not None:
            change = abs(per_s - reported)
            if change <= REPORTED_CHANGE_SHARE * reported:
                return False
        self.reported[searcher_id] = per_s
        return True

    def count_attempt(self, searcher_id: str, kind: str) -> None:
        """Counts an attempt at a searcher, limited or not."""
        self.attempts[searcher_id][kind] += 1

    def end_interval(self) -> dict[str, dict[str, int]]:
        """Ends an interval and returns its attempts at limited searchers."""
        self.previous = dict(self.attempts)
        self.attempts.clear()
        return {
            searcher_id: dict(counts)
            for searcher_id, counts in self.previous.items()
            if searcher_id in self.stated
        }

    def previous_attempts(self, searcher_id: str) -> int:
        """Returns the attempts at a searcher in the interval before."""
        return sum(self.previous.get(searcher_id, {}).values())

    def prune(self, known) -> None:
        """Forgets searchers that do not exist any more.

        Args:
            known: Identifiers of the searchers that exist.
        """
        for searcher_id in [key for key in self.stated if key not in known]:
            del self.stated[searcher_id]
            self.reported.pop(searcher_id, None)
