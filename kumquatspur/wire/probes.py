"""Tests with a connection whether what is cut off or lost is back.

Requests for it are rejected or go elsewhere, so no request would notice. A
probe sends nothing: it takes no slot of a searcher, and no client waits for it.

Searchers of evacuated zones are not probed. They get no requests whatever a
probe finds, and their machines may be off for hours.
"""

import eventlet

from kumquatspur.core.routing import SearcherEntry
from kumquatspur.policy.peer_table import Peer
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import (
    CallError,
    accepts_connections,
    monotonic_s,
    responds,
)


def probe_lost_services(state: EntryState, now: float) -> None:
    """Probes a searcher of each service all of whose searchers are in backoff.

    Args:
        state: The state of this host.
        now: The current time of the monotonic clock, in seconds.
    """
    if state.table is None:
        return
    for service in state.table.services:
        at = state.resume_at(service, now)
        if at is None or at <= now:
            continue
        entries = [
            entry
            for entry in state.usable_searchers(service, now)
            if state.load(entry.searcher_id).backoff_until > now
        ]
        if entries:
            entry = state.random.choice(entries)
            eventlet.spawn_n(_probe_searcher, state, entry)


def probe_suspected_zones(state: EntryState, now: float) -> None:
    """Probes a searcher of each suspected zone that is due for a probe.

    Args:
        state: The state of this host.
        now: The current time of the monotonic clock, in seconds.
    """
    state.zone_health.record_late_calls(state.open_calls.values(), now)
    for zone in state.zone_health.zones_to_probe(now):
        if zone in state.evacuations.active:
            continue
        entries = [e for e in state.directory.by_id.values() if e.zone == zone]
        if entries:
            entry = state.random.choice(entries)
            eventlet.spawn_n(_probe_zone, state, entry)


def probe_suspected_peer_zones(state: EntryState, now: float) -> None:
    """Probes an entry host of each zone whose hosts seem unreachable.

    Args:
        state: The state of this host.
        now: The current time of the monotonic clock, in seconds.
    """
    for zone in state.peer_zones.zones_to_probe(now):
        peers = [p for p in state.peers.peers.values() if p.zone == zone]
        if peers:
            peer = state.random.choice(peers)
            eventlet.spawn_n(_probe_peer, state, peer)


def _probe_peer(state: EntryState, peer: Peer) -> None:
    reached = responds(peer.address)
    if reached:
        state.peer_zones.record_response(peer.zone, monotonic_s())
    else:
        state.peer_zones.record_failed_probe(peer.zone, monotonic_s())
    state.counters["peer_zone_probes"] += 1
    state.log.write(
        "peer_zone_probed", zone=peer.zone, peer=peer.name, reached=reached
    )


def _probe_searcher(state: EntryState, entry: SearcherEntry) -> None:
    reached = accepts_connections(entry.address)
    if reached:
        state.load(entry.searcher_id).end_backoff()
    state.counters["searcher_probes"] += 1
    state.log.write(
        "searcher_probed",
        searcher=entry.searcher_id,
        service=entry.service,
        reached=reached,
    )


def _probe_zone(state: EntryState, entry: SearcherEntry) -> None:
    reached = responds(entry.address)
    if reached:
        state.zone_health.record_response(entry.zone, monotonic_s())
    else:
        state.zone_health.record_failed_probe(entry.zone, monotonic_s())
        if state.zone_health.is_suspect(entry.zone, monotonic_s()):
            _give_up_calls(state, entry.zone)
    state.counters["zone_probes"] += 1
    state.log.write("zone_probed", zone=entry.zone, reached=reached)


def _give_up_calls(state: EntryState, zone: str) -> None:
    """Ends late calls to a zone that is cut off, if they may be repeated."""
    now = monotonic_s()
    late = [
        key
        for key, call in state.open_calls.items()
        if call.zone == zone and now >= call.late_at
    ]
    for key in late:
        thread = state.call_threads.get(key)
        if thread is not None:
            error = CallError(
                f"zone {zone} is cut off", unresponsive=True, cut_off=True
            )
            thread.kill(error)
            state.counters["calls_given_up"] += 1
