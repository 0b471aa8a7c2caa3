"""The known searchers, from their entries in the metadata store.

A removed or draining searcher gets no new work, unless no other searcher of its
service is ready. If an entry expired while the store was unavailable, it is
kept for a grace period after the store is back, because a searcher that is
still running writes it again.

Load pattern: a searcher says in its answers that it leaves before its entry in
the store says so, and old entries of it arrive later. The store may also be
restored from a copy some seconds old, which has searchers that have left since,
and lacks those that have come since.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.evacuations import Evacuations

# Entries that expired during an outage are back within 2 s of its end, and this
# host receives the change up to 0.3 s later.
EXPIRY_GRACE_S = 2.3
# Heartbeats that a searcher can miss before its entry may expire.
OUTAGE_HEARTBEATS = 2.0
# If no searcher is ready, a draining or removed one still gets new work for
# this share of its drain time, so that the work reaches it before it stops.
DRAIN_SHARE = 0.5
# After the store was restored from a copy, searchers write the entries that it
# lacks again within this number of heartbeats.
RESTORE_HEARTBEATS = 3.0
# How long it is remembered that a searcher left or that its entry was removed.
# A restored copy of the store is only some seconds old.
DEPARTURE_MEMORY_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A searcher that left, or whose entry was removed.

    Attributes:
        started_unix_ms: Unix time of its start in milliseconds; 0 if unknown.
        sequence: Sequence number of its last known entry.
        at: When it left.
    """

    started_unix_ms: int
    sequence: int
    at: float

    def order(self) -> tuple[int, int]:
        """Returns a key like that of `SearcherEntry.order`."""
        return (self.started_unix_ms, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredSearcher:
    """A searcher that is draining or removed.

    Attributes:
        entry: Its last known entry.
        at: When it was found draining or removed.
    """

    entry: SearcherEntry
    at: float


@dataclasses.dataclass
class SearcherDirectory:
    """Searchers by service.

    A searcher that is draining or removed is called retired.

    Attributes:
        drain_s: How long a draining searcher still serves, in seconds.
        heartbeat_s: Interval at which searchers renew their entries, in
            seconds.
        by_id: Entries by searcher.
        by_service: Searchers that accept new work, by service.
        retired: Draining or removed searchers, by service. No searcher is
            listed in it twice, nor in `by_service` as well.
        retired_services: The service under which a searcher is in `retired`.
        grace_until: Until this time, a removed entry may merely have expired
            during an outage of the store.
        unconfirmed: For each searcher whose entry was removed within the grace
            period, the time of the removal. The searcher still gets work.
        last_contact_at: When the state was last known to be current.
        leaving: Searchers that said in an answer that they leave.
        departed: Searchers whose entry was removed a short time ago.
        on_put: Called with each entry that was written, and the time.
        evacuations: The evacuated zones, whose searchers get no new work.
    """

    drain_s: float
    heartbeat_s: float
    by_id: dict[str, SearcherEntry] = dataclasses.field(default_factory=dict)
    by_service: dict[str, dict[str, SearcherEntry]] = dataclasses.field(
        default_factory=dict
    )
    retired: dict[str, dict[str, RetiredSearcher]] = dataclasses.field(
        default_factory=dict
    )
    retired_services: dict[str, str] = dataclasses.field(default_factory=dict)
    grace_until: float = -1.0
    unconfirmed: dict[str, float] = dataclasses.field(default_factory=dict)
    last_contact_at: float = -1.0
    leaving: dict[str, Departure] = dataclasses.field(default_factory=dict)
    departed: dict[str, Departure] = dataclasses.field(default_factory=dict)
    on_put: Callable[[SearcherEntry, float], None] | None = None
    evacuations: Evacuations = dataclasses.field(default_factory=Evacuations)

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
        """Applies an entry that was written to the store.

        An entry of a searcher that has said that it leaves counts as draining,
        unless it is from a later start.
        """
        searcher_id = entry.searcher_id
        if self.on_put is not None:
            self.on_put(entry, now)
        self.departed.pop(searcher_id, None)
        departure = self.leaving.get(searcher_id)
        if departure is not None:
            if entry.started_unix_ms > departure.started_unix_ms:
                del self.leaving[searcher_id]
                self._unretire(searcher_id)
            else:
                entry = dataclasses.replace(entry, state=SearcherState.DRAINING)
        previous = self.by_id.get(searcher_id)
        if previous is not None and previous.service != entry.service:
            _discard(self.by_service, previous.service, searcher_id)
        self.by_id[searcher_id] = entry
        self.unconfirmed.pop(searcher_id, None)
        if entry.state is SearcherState.DRAINING:
            self._retire(entry, now)
            return
        self._unretire(searcher_id)
        self.by_service.setdefault(entry.service, {})[searcher_id] = entry

    def remove(self, searcher_id: str, now: float) -> None:
        """Applies the removal of an entry from the store.

        Within the grace period, the removal is unconfirmed at first.
        """
        entry = self.by_id.get(searcher_id)
        if entry is None:
            return
        is_ready = searcher_id not in self.retired_services
        if now < self.grace_until and is_ready:
            self.unconfirmed.setdefault(searcher_id, now)
            return
        self.by_id.pop(searcher_id)
        self.departed[searcher_id] = Departure(
            entry.started_unix_ms, entry.sequence, now
        )
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

    def replace_restored(
        self, entries: Iterable[SearcherEntry], known: set[str], now: float
    ) -> None:
        """Applies the list of entries of a store that was restored from a copy.

        Entries that are older than the known ones change nothing, and a
        searcher that has left stays out. Searchers without an entry are kept
        for the time in which they write it again.

        Args:
            entries: The entries that could be parsed.
            known: All searchers with an entry, whether or not it could be
                parsed.
            now: Monotonic time in seconds.
        """
        self.grace_until = max(
            self.grace_until, now + RESTORE_HEARTBEATS * self.heartbeat_s
        )
        current = [entry for entry in entries if not self._is_outdated(entry)]
        self.replace(current, known, now)

    def _is_outdated(self, entry: SearcherEntry) -> bool:
        """Returns whether a later state of the searcher is known."""
        departure = self.departed.get(entry.searcher_id)
        if departure is not None:
            return entry.order() <= departure.order()
        previous = self.by_id.get(entry.searcher_id)
        if previous is None or entry.order() > previous.order():
            return False
        drained = previous.state is SearcherState.DRAINING
        return entry.order() < previous.order() or drained

    def record_leaving(
        self, searcher_id: str, started_unix_ms: int, at: float
    ) -> bool:
        """Records that a searcher said in an answer that it leaves.

        Args:
            searcher_id: The searcher.
            started_unix_ms: Unix time of its start in milliseconds; 0 if
                unknown.
            at: When the answer arrived, in monotonic time.

        Returns:
            Whether it was not known yet.
        """
        entry = self.by_id.get(searcher_id)
        if entry is not None and entry.started_unix_ms > started_unix_ms:
            return False
        known = self.leaving.get(searcher_id)
        if known is not None and known.started_unix_ms >= started_unix_ms:
            return False
        sequence = entry.sequence if entry is not None else 0
        self.leaving[searcher_id] = Departure(started_unix_ms, sequence, at)
        if entry is not None:
            entry = dataclasses.replace(entry, state=SearcherState.DRAINING)
            self.by_id[searcher_id] = entry
            self._retire(entry, at)
        return True

    def recently_left(self, now: float, max_age_s: float, count: int):
        """Returns the latest searchers that said that they leave.

        Args:
            now: Monotonic time in seconds.
            max_age_s: Greatest time since they said so, in seconds.
            count: Greatest number of searchers.

        Returns:
            Pairs of searcher and departure, the latest first.
        """
        recent = [
            item
            for item in self.leaving.items()
            if now - item[1].at < max_age_s
        ]
        recent.sort(key=lambda item: -item[1].at)
        return recent[:count]

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
        for searcher_id, service in list(self.retired_services.items()):
            at = self.retired[service][searcher_id].at
            if now - at > self.drain_s and searcher_id not in self.by_id:
                self._unretire(searcher_id)
        for remembered in (self.leaving, self.departed):
            for searcher_id, departure in list(remembered.items()):
                old = now - departure.at > DEPARTURE_MEMORY_S
                if old and searcher_id not in self.by_id:
                    del remembered[searcher_id]
        return expired

    def usable(self, service: str, now: float) -> list[SearcherEntry]:
        """Returns the searchers that may get new work.

        Args:
            service: The service.
            now: Monotonic time in seconds.

        Returns:
            The searchers that are ready, outside of evacuated zones. If there
            are none, those that were retired a short time ago.
        """
        ready = self.without_evacuated(self.by_service.get(service, {}))
        if ready:
            return ready
        return self.without_evacuated(
            {
                searcher_id: retired.entry
                for searcher_id, retired in self.retired.get(
                    service, {}
                ).items()
                if now - retired.at < self.drain_s * DRAIN_SHARE
            }
        )

    def without_evacuated(
        self, entries: Mapping[str, SearcherEntry]
    ) -> list[SearcherEntry]:
        """Returns the searchers that are not in an evacuated zone."""
        evacuated = self.evacuations.active
        if not evacuated:
            return list(entries.values())
        return [e for e in entries.values() if e.zone not in evacuated]

    def is_evacuated(self, service: str) -> bool:
        """Returns whether all searchers of a service are evacuated."""
        known = self.by_service.get(service) or {
            searcher_id: retired.entry
            for searcher_id, retired in self.retired.get(service, {}).items()
        }
        return bool(known) and not self.without_evacuated(known)

    def _retire(self, entry: SearcherEntry, now: float) -> None:
        """Moves a searcher to the retired ones of its service.

        If it is already there, the time of its retirement is kept.
        """
        searcher_id, service = entry.searcher_id, entry.service
        at = now
        if self.retired_services.get(searcher_id) == service:
            at = self.retired[service][searcher_id].at
        self._unretire(searcher_id)
        _discard(self.by_service, service, searcher_id)
        self.retired_services[searcher_id] = service
        self.retired.setdefault(service, {})[searcher_id] = RetiredSearcher(
            entry, at
        )

    def _unretire(self, searcher_id: str) -> None:
        """Removes a searcher from the retired ones, whichever its service."""
        service = self.retired_services.pop(searcher_id, None)
        if service is not None:
            _discard(self.retired, service, searcher_id)


def _discard(
    by_service: dict[str, dict], service: str, searcher_id: str
) -> None:
    """Removes a searcher from a service, and the service with its last one."""
    listed = by_service.get(service, {})
    listed.pop(searcher_id, None)
    if not listed:
        by_service.pop(service, None)
