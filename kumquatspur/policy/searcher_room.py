"""How many attempts this host may have in flight at each searcher.

Load pattern: a shard has little room, because one of its searchers is left or
all of them are slow. If every host sends every request at once, the attempts
queue at the searcher, end there too late, and the connections that are closed
with them cost its slots: the more is sent, the less is answered in time.

Each host adapts its limit for a searcher to the queue that the searcher
reports, by additive increase and multiplicative decrease. So the hosts share a
searcher without messages between them, and a host with more traffic gets more.
"""

import dataclasses
from collections.abc import Container, Iterable

from kumquatspur.core.routing import LoadReport, SearcherEntry

# The limit is reduced while a searcher has this many waiting requests per slot,
# or more. Some have to wait, or its slots would be idle between requests.
LONG_QUEUE_PER_SLOT = 1.0
REDUCTION_FACTOR = 0.75
# All reports of requests that were sent together show the same queue, so they
# reduce the limit once.
REDUCTION_INTERVAL_S = 0.03
MIN_LIMIT = 1.0


@dataclasses.dataclass(slots=True)
class Room:
    """This host's limit for one searcher.

    Attributes:
        limit: Greatest number of attempts in flight.
        reduced_at: When the limit was last reduced.
    """

    limit: float
    reduced_at: float = -1.0

    def reduce(self, limit: float, now: float) -> None:
        """Reduces the limit, unless it was reduced a moment ago."""
        if now - self.reduced_at >= REDUCTION_INTERVAL_S:
            self.limit = max(MIN_LIMIT, min(self.limit, limit))
            self.reduced_at = now


@dataclasses.dataclass
class SearcherRooms:
    """This host's limits of attempts in flight.

    Attributes:
        by_searcher: The limit of each searcher that has answered.
    """

    by_searcher: dict[str, Room] = dataclasses.field(default_factory=dict)

    def limit(self, entry: SearcherEntry) -> float:
        """Returns the limit of a searcher; at first, its number of slots."""
        room = self.by_searcher.get(entry.searcher_id)
        return room.limit if room else max(MIN_LIMIT, entry.slots)

    def has_room(self, entry: SearcherEntry, in_flight: int) -> bool:
        """Returns whether a searcher may get one more attempt.

        Args:
            entry: The searcher.
            in_flight: This host's attempts in flight there.
        """
        return in_flight < int(self.limit(entry))

    def total(self, entries: Iterable[SearcherEntry]) -> float:
        """Returns the sum of the limits of some searchers."""
        return sum(self.limit(entry) for entry in entries)

    def record_report(
        self,
        entry: SearcherEntry,
        report: LoadReport | None,
        in_flight: int,
        max_limit: float,
        now: float,
    ) -> None:
        """Adapts the limit to the queue that an answer reports.

        Args:
            entry: The searcher.
            report: Its load; None if it reports none.
            in_flight: This host's attempts in flight there.
            max_limit: Upper bound of the limit.
            now: Monotonic time in seconds.
        """
        room = self._room(entry)
        waiting = report.waiting if report else 0
        if report and waiting >= LONG_QUEUE_PER_SLOT * max(1, report.slots):
            busy = min(room.limit, in_flight + 1)
            room.reduce(REDUCTION_FACTOR * busy, now)
        elif in_flight + 1 >= int(room.limit):
            room.limit = min(max_limit, room.limit + 1.0 / room.limit)

    def prune(self, known: Container[str]) -> None:
        """Forgets searchers that no longer exist."""
        for searcher_id in [s for s in self.by_searcher if s not in known]:
            del self.by_searcher[searcher_id]

    def _room(self, entry: SearcherEntry) -> Room:
        room = self.by_searcher.get(entry.searcher_id)
        if room is None:
            room = self.by_searcher[entry.searcher_id] = Room(self.limit(entry))
        return room
