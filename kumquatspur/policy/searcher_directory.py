"""The searchers that are known, from changes in the platform's store.

A removed or draining searcher gets no new work. An entry that disappeared
while the store was away is kept for a moment after the store's return, since
a searcher that lives writes it again.
"""

import dataclasses
from collections.abc import Iterable

from kumquatspur.core.routing import SearcherEntry, SearcherState

# Entries that lapsed during an outage are back within two seconds of its end;
# the rest allows for the time until the change is seen here.
LAPSE_GRACE_S = 2.3
# Heartbeats that a searcher can miss before its entry may lapse.
OUTAGE_HEARTBEATS = 2.0
# Work for a draining searcher must reach it within the drain time; this share
# of it is used only while no other replica is known.
DRAIN_SHARE = 0.5


@dataclasses.dataclass
class SearcherDirectory:
    """Searchers by service.

    Attributes:
        drain_s: How long a draining searcher still serves.
        heartbeat_s: Interval at which searchers renew their entries.
        by_id: Entries by searcher.
        retired_at: When a searcher was seen draining or removed.
        by_service: Searchers that take new work, by service.
        retired: Draining or removed searchers by service.
        grace_until: Until when a removal may be a lapse.
        unconfirmed: When a searcher was removed within the grace.
        last_contact_at: When the state was last known to be current.
    """

    drain_s: float
    heartbeat_s: float
    by_id: dict[str, SearcherEntry] = dataclasses.field(default_factory=dict)
    retired_at: dict[str, float] = dataclasses.field(default_factory=dict)
    by_service: dict[str, dict[str, SearcherEntry]] = dataclasses.field(
        default_factory=dict
    )
    retired: dict[str, dict[str, SearcherEntry]] = dataclasses.field(
        default_factory=dict
    )
    grace_until: float = -1.0
    unconfirmed: dict[str, float] = dataclasses.field(default_factory=dict)
    last_contact_at: float = -1.0

    def record_store_contact(self, asked: float, now: float) -> None:
        """Notes that the state is current.

        Args:
            asked: When the call that succeeded began; a watch may take long
                without an outage.
            now: Steady time in seconds.
        """
        outage_s = OUTAGE_HEARTBEATS * self.heartbeat_s
        if (
            self.last_contact_at >= 0
            and asked - self.last_contact_at > outage_s
        ):
            self.grace_until = now + LAPSE_GRACE_S
        self.last_contact_at = now

    def put(self, entry: SearcherEntry, now: float) -> None:
        """Takes an entry as it was written."""
        searcher_id = entry.searcher_id
        previous = self.by_id.get(searcher_id)
        if previous is not None and previous.service != entry.service:
            self._unlist(previous)
        self.by_id[searcher_id] = entry
        self.unconfirmed.pop(searcher_id, None)
        if entry.state is SearcherState.DRAINING:
            self._leave(entry, now)
            return
        self.retired_at.pop(searcher_id, None)
        self.retired.get(entry.service, {}).pop(searcher_id, None)
        self.by_service.setdefault(entry.service, {})[searcher_id] = entry

    def remove(self, searcher_id: str, now: float) -> None:
        """Takes the removal of an entry."""
        entry = self.by_id.get(searcher_id)
        if entry is None:
            return
        if now < self.grace_until and searcher_id not in self.retired_at:
            self.unconfirmed.setdefault(searcher_id, now)
            return
        self.by_id.pop(searcher_id)
        self._leave(entry, self.unconfirmed.pop(searcher_id, now))

    def replace(
        self, entries: Iterable[SearcherEntry], known: set[str], now: float
    ) -> None:
        """Takes a full reading of the store.

        Args:
            entries: The entries that could be read.
            known: All searchers that have an entry, readable or not.
            now: Steady time in seconds.
        """
        for entry in entries:
            if self.by_id.get(entry.searcher_id) != entry:
                self.put(entry, now)
            else:
                self.unconfirmed.pop(entry.searcher_id, None)
        for searcher_id in [key for key in self.by_id if key not in known]:
            self.remove(searcher_id, now)

    def expire(self, now: float) -> list[str]:
        """Drops entries that did not return, and leavers that have ended.

        Args:
            now: Steady time in seconds.

        Returns:
            The searchers whose lapsed entry did not return.
        """
        gone = []
        if self.unconfirmed and now >= self.grace_until:
            gone = sorted(self.unconfirmed)
            for searcher_id in gone:
                self.remove(searcher_id, now)
        for searcher_id, at in list(self.retired_at.items()):
            if now - at > self.drain_s and searcher_id not in self.by_id:
                self.retired_at.pop(searcher_id)
                for retired in self.retired.values():
                    retired.pop(searcher_id, None)
        return gone

    def usable(self, service: str, now: float) -> list[SearcherEntry]:
        """Returns the searchers that may get new work.

        Args:
            service: The service.
            now: Steady time in seconds.

        Returns:
            Searchers that are ready; if there are none, those that began to
            leave a short time ago.
        """
        ready = self.by_service.get(service)
        if ready:
            return list(ready.values())
        return [
            entry
            for searcher_id, entry in self.retired.get(service, {}).items()
            if now - self.retired_at[searcher_id] < self.drain_s * DRAIN_SHARE
        ]

    def _leave(self, entry: SearcherEntry, now: float) -> None:
        self.retired_at.setdefault(entry.searcher_id, now)
        self.by_service.get(entry.service, {}).pop(entry.searcher_id, None)
        self.retired.setdefault(entry.service, {})[entry.searcher_id] = entry

    def _unlist(self, entry: SearcherEntry) -> None:
        for listed in (self.by_service, self.retired):
            listed.get(entry.service, {}).pop(entry.searcher_id, None)
