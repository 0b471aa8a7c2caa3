"""The known searchers, from their entries in the metadata store.

A removed or draining searcher gets no new work, unless no other searcher of its
service is ready. If an entry expired while the store was unavailable, it is
kept for a grace period after the store is back, because a searcher that is
still running writes it again.
"""

import dataclasses
from collections.abc import Iterable

from kumquatspur.core.routing import SearcherEntry, SearcherState

# Entries that expired during an outage are back within 2 s of its end, and this
# host receives the change up to 0.3 s later.
EXPIRY_GRACE_S = 2.3
# Heartbeats that a searcher can miss before its entry may expire.
OUTAGE_HEARTBEATS = 2.0
# If no searcher is ready, a draining or removed one still gets new work for
# this share of its drain time, so that the work reaches it before it stops.
DRAIN_SHARE = 0.5


@dataclasses.dataclass
class SearcherDirectory:
    """Searchers by service.

    A searcher that is draining or removed is called retired.

    Attributes:
        drain_s: How long a draining searcher still serves, in seconds.
        heartbeat_s: Interval at which searchers renew their entries, in
            seconds.
        by_id: Entries by searcher.
        retired_at: When a searcher was found draining or removed.
        by_service: Searchers that accept new work, by service.
        retired: Draining or removed searchers, by service.
        grace_until: Until this time, a removed entry may merely have expired
            during an outage of the store.
        unconfirmed: For each searcher whose entry was removed within the grace
            period, the time of the removal. The searcher still gets work.
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

    def record_store_contact(self, asked_at: float, now: float) -> None:
        """Records that the state is current, and detects the end of an outage.

        Args:
            asked_at: When the successful call to the store began. A watch may
                take long without an outage, so the time of its end is not used.
            now: Monotonic time in seconds.
        """
        outage_s = OUTAGE_HEARTBEATS * self.heartbeat_s
        if (
            self.last_contact_at >= 0
            and asked_at - self.last_contact_at > outage_s
        ):
            self.grace_until = now + EXPIRY_GRACE_S
        self.last_contact_at = now

    def put(self, entry: SearcherEntry, now: float) -> None:
        """Applies an entry that was written to the store."""
        searcher_id = entry.searcher_id
        previous = self.by_id.get(searcher_id)
        if previous is not None and previous.service != entry.service:
            self._remove_from_lists(previous)
        self.by_id[searcher_id] = entry
        self.unconfirmed.pop(searcher_id, None)
        if entry.state is SearcherState.DRAINING:
            self._retire(entry, now)
            return
        self.retired_at.pop(searcher_id, None)
        self.retired.get(entry.service, {}).pop(searcher_id, None)
        self.by_service.setdefault(entry.service, {})[searcher_id] = entry

    def remove(self, searcher_id: str, now: float) -> None:
        """Applies the removal of an entry from the store.

        Within the grace period, the removal is unconfirmed at first.
        """
        entry = self.by_id.get(searcher_id)
        if entry is None:
            return
        if now < self.grace_until and searcher_id not in self.retired_at:
            self.unconfirmed.setdefault(searcher_id, now)
            return
        self.by_id.pop(searcher_id)
        self._retire(entry, self.unconfirmed.pop(searcher_id, now))

    def replace(
        self, entries: Iterable[SearcherEntry], known: set[str], now: float
    ) -> None:
        """Applies the complete list of entries in the store.

        Args:
            entries: The entries that could be parsed.
            known: All searchers with an entry, whether or not it could be
                parsed.
            now: Monotonic time in seconds.
        """
        for entry in entries:
            if self.by_id.get(entry.searcher_id) != entry:
                self.put(entry, now)
            else:
                self.unconfirmed.pop(entry.searcher_id, None)
        for searcher_id in [key for key in self.by_id if key not in known]:
            self.remove(searcher_id, now)

    def expire(self, now: float) -> list[str]:
        """Removes expired entries and searchers whose drain time has passed.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The searchers whose entry was not written again within the grace
            period.
        """
        expired = []
        if self.unconfirmed and now >= self.grace_until:
            expired = sorted(self.unconfirmed)
            for searcher_id in expired:
                self.remove(searcher_id, now)
        for searcher_id, at in list(self.retired_at.items()):
            if now - at > self.drain_s and searcher_id not in self.by_id:
                self.retired_at.pop(searcher_id)
                for retired in self.retired.values():
                    retired.pop(searcher_id, None)
        return expired

    def usable(self, service: str, now: float) -> list[SearcherEntry]:
        """Returns the searchers that may get new work.

        Args:
            service: The service.
            now: Monotonic time in seconds.

        Returns:
            The searchers that are ready. If there are none, those that were
            retired a short time ago.
        """
        ready = self.by_service.get(service)
        if ready:
            return list(ready.values())
        return [
            entry
            for searcher_id, entry in self.retired.get(service, {}).items()
            if now - self.retired_at[searcher_id] < self.drain_s * DRAIN_SHARE
        ]

    def _retire(self, entry: SearcherEntry, now: float) -> None:
        self.retired_at.setdefault(entry.searcher_id, now)
        self.by_service.get(entry.service, {}).pop(entry.searcher_id, None)
        self.retired.setdefault(entry.service, {})[entry.searcher_id] = entry

    def _remove_from_lists(self, entry: SearcherEntry) -> None:
        for listed in (self.by_service, self.retired):
            listed.get(entry.service, {}).pop(entry.searcher_id, None)
