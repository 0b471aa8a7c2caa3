"""Keeps the set of evacuated zones up to date, from the store and from peers.

Hosts of this build tell each other the whole set in each message, with the
state of the store that it is from; the newest one wins. It is not part of the
items of a view, so a view from a host of an earlier build neither begins nor
ends an evacuation.
"""

import json

from kumquatspur.border.exchange_codec import EvacuationStatement, Exchange
from kumquatspur.platform import documents
from kumquatspur.platform.store import PlatformStore, StoreView
from kumquatspur.policy.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_same_era,
)
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.warmup_watch import assume_zone_cold

STORE = "store"


def apply_full_read(state: EntryState, view: StoreView) -> None:
    """Applies a read of all keys, or of all keys of evacuations.

    Args:
        state: The state of this host.
        view: What was read from the store.
    """
    zones = {
        zone
        for item in view.changes
        if (zone := documents.evacuated_zone(item.key))
    }
    position = StorePosition(view.era, view.revision)
    evacuations = state.evacuations
    if view.era == UNKNOWN_ERA:
        # Such a store may have been restored if its revision went back.
        evacuations.position = None
    evacuations.replace(position, zones, monotonic_s())
    report(state, STORE)


def apply_changes(state: EntryState, view: StoreView) -> None:
    """Applies changes from the store.

    Args:
        state: The state of this host.
        view: The changes, in the era of this host's view.
    """
    for change in view.changes:
        zone = documents.evacuated_zone(change.key)
        if zone:
            state.evacuations.record_change(
                change.revision, zone, change.value is not None
            )
    state.evacuations.advance(StorePosition(view.era, view.revision))
    report(state, STORE)


def catch_up(
    state: EntryState, store: PlatformStore, position: StorePosition
) -> None:
    """Reads the evacuations if some of their changes may have been missed.

    This is the case after a view from a host of an earlier build.

    Args:
        state: The state of this host.
        store: The store.
        position: The state of the store that this host's view shows.

    Raises:
        PlatformStoreError: The store returned no usable answer.
    """
    if not state.evacuations.is_behind(position):
        return
    view = store.read_all(documents.EVACUATION_PREFIX)
    # A restored store is found by the watch, which follows.
    if is_same_era(view.era, position.era):
        apply_full_read(state, view)


def statement(state: EntryState) -> EvacuationStatement | None:
    """Returns what this host knows; None if it knows nothing yet."""
    evacuations = state.evacuations
    if evacuations.position is None:
        return None
    return EvacuationStatement(
        era=evacuations.position.era,
        revision=evacuations.position.revision,
        zones=tuple(sorted(evacuations.stored)),
    )


def apply_statement(state: EntryState, message: Exchange) -> None:
    """Applies what another host knows, if it is newer.

    Args:
        state: The state of this host.
        message: The other host's message.
    """
    told = message.evacuations
    if told is None:
        return
    position = StorePosition(told.era, told.revision)
    if state.evacuations.is_behind(position):
        state.evacuations.replace(position, told.zones, monotonic_s())
        report(state, f"peer {message.name}")


def report(state: EntryState, source: str) -> None:
    """Logs and counts the evacuations that have begun or ended.

    Searchers without requests for a while may be cold when they get some again.

    Args:
        state: The state of this host.
        source: Where the change was learned.
    """
    active, reported = state.evacuations.active, state.evacuations_reported
    if active == reported:
        return
    state.evacuations_reported = active
    for zone in reported - active:
        assume_zone_cold(state, zone, "evacuation")
    position = state.evacuations.position
    for name, zones in (
        ("evacuation_begun", active - reported),
        ("evacuation_ended", reported - active),
    ):
        for zone in sorted(zones):
            state.counters[name] += 1
            state.log.write(
                name,
                True,
                zone=zone,
                source=source,
                revision=position.revision,
                era=position.era,
                key_lost=zone in state.evacuations.kept_until,
                evacuated=sorted(active),
            )


def expire(state: EntryState) -> None:
    """Ends evacuations whose key a restored store has lost."""
    state.evacuations.expire(monotonic_s())
    report(state, "restored store")


def metric_lines(state: EntryState) -> list[str]:
    """Returns the lines of the metrics page."""
    active = sorted(state.evacuations.active)
    return [f"kumquatspur_evacuated_zones {len(active)}"] + [
        f"kumquatspur_zone_evacuated{{zone={json.dumps(zone)}}} 1"
        for zone in active
    ]
