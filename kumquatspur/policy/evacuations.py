"""The availability zones that the operator has evacuated.

No request may be sent to a searcher of an evacuated zone. The set is a copy of
keys in the metadata store. It has a position in the store's history of its own,
because a host may get its view of the searchers from a host of an earlier
build, whose messages lack evacuations.

Load pattern: an operator empties a zone before maintenance, while other zones
have their usual load. Hosts learn it at different moments and from different
sources: the store, which may be restored from a copy some seconds old, or other
hosts, whose knowledge may be older or newer.
"""

import dataclasses
from collections.abc import Iterable

from kumquatspur.policy.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_newer,
    is_same_era,
)

# How long an evacuation goes on after the store was restored from a copy
# without its key. The operator did not end it, and can write the key again in
# this time.
RESTORE_KEEP_S = 30.0


@dataclasses.dataclass
class Evacuations:
    """The evacuated zones, as of a position in the store's history.

    Attributes:
        position: State of the store that the zones are from; None if nothing is
            known yet.
        stored: Zones with a key in the store.
        kept_until: Zones whose key was lost in a restore of the store, with the
            end of their evacuation in monotonic time.
        active: The evacuated zones.
        settled: Whether the zones are known, or could not be learned although
            the store was asked.
    """

    position: StorePosition | None = None
    stored: frozenset[str] = frozenset()
    kept_until: dict[str, float] = dataclasses.field(default_factory=dict)
    active: frozenset[str] = frozenset()
    settled: bool = False

    def replace(
        self, position: StorePosition, zones: Iterable[str], now: float
    ) -> bool:
        """Applies the complete set of zones with a key in the store.

        An older state of the store changes nothing. `is_behind` tells whether a
        state is newer than the known one.

        Args:
            position: The state of the store that they are from.
            zones: The zones.
            now: Monotonic time in seconds.

        Returns:
            Whether it was applied.
        """
        self.settled = True
        if self.position is not None and is_newer(self.position, position):
            return False
        zones = frozenset(zones)
        if self._is_restored(position):
            lost = self.stored - zones
            self.kept_until.update(dict.fromkeys(lost, now + RESTORE_KEEP_S))
        self.position = position
        self.stored = zones
        self._update_active()
        return True

    def record_change(self, revision: int, zone: str, evacuated: bool) -> None:
        """Applies the write or removal of a zone's key.

        Args:
            revision: Revision of the change, in the era of `position`.
            zone: The zone.
            evacuated: Whether the key was written.
        """
        if self.position is not None and revision <= self.position.revision:
            return
        self.kept_until.pop(zone, None)
        self.stored = (
            self.stored | {zone} if evacuated else self.stored - {zone}
        )
        self._update_active()

    def advance(self, position: StorePosition) -> None:
        """Records that all changes up to a state of the store were applied."""
        if self.position is None or is_newer(position, self.position):
            self.position = position
            self.settled = True

    def is_behind(self, position: StorePosition) -> bool:
        """Returns whether changes up to a state of the store may be missing."""
        return self.position is None or is_newer(position, self.position)

    def expire(self, now: float) -> None:
        """Ends evacuations whose key the store has lost for long enough."""
        if not self.kept_until:
            return
        ended = [zone for zone, at in self.kept_until.items() if at <= now]
        for zone in ended:
            del self.kept_until[zone]
        self._update_active()

    def _is_restored(self, position: StorePosition) -> bool:
        known = self.position
        if known is None or UNKNOWN_ERA in (known.era, position.era):
            return False
        return not is_same_era(known.era, position.era)

    def _update_active(self) -> None:
        for zone in self.stored:
            self.kept_until.pop(zone, None)
        self.active = self.stored.union(self.kept_until)
