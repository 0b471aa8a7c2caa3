"""Replicates entries of hosts and searchers, and repairs missed changes."""

import dataclasses
import itertools
from collections.abc import Iterable

from kumquatspur.controllers import membership_view, report_replication
from kumquatspur.controllers.gossip import (
    MEMBER,
    MIN_MISSING_INTERVAL_S,
    REPORT,
    Delivery,
    EntryKey,
    report_topic,
)
from kumquatspur.controllers.node_state import (
    Member,
    NodeState,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.messages import MemberEntry, ReportEntry, Status
from kumquatspur.policy.members import damping_s, is_return, supersedes

PIGGYBACK_ENTRIES = 4
ENTRIES_PER_UPDATE = 200
MAX_DIGEST_MISMATCHES = 2
REQUEST_INTERVAL_S = 1.0
SERVE_INTERVAL_S = 0.2
# Searchers without a report entry whose topics one state request names.
MAX_MISSING_PER_REQUEST = 8
# The interval of these requests doubles while entries are still missing.
MAX_MISSING_INTERVAL_S = 8.0
# Duration of a suspicion as a share of the setting `suspect_s`.
SUSPICION_SHARE = 0.4


def delivery_from(node: NodeState, zone: str, origin: str) -> Delivery:
    """Returns how to propagate entries received from a host of a zone.

    Args:
        node: The state of this node.
        zone: The sender's zone.
        origin: The root of the tree that the message travels along, or "".

    Returns:
        The delivery. Entries from another zone are propagated in this zone
        only, with this node as the root.
    """
    if zone == node.settings.zone:
        return Delivery(origin or node.settings.name, True)
    return Delivery(node.settings.name, False)


def on_state_update(node: NodeState, peer: str, message, now: float):
    """Merges changes, or the reply to a state request, into the local state.

    Args:
        node: The state of this node.
        peer: The sender.
        message: The `StateUpdate`.
        now: The current time.

    Returns:
        Actions.
    """
    member = node.members.get(peer)
    zone = member.zone if member else node.settings.zone
    delivery = delivery_from(node, zone, message.origin)
    # Replies to a state request have no origin and are not propagated.
    if not message.origin:
        delivery = None
        node.gossip.synced = True
    merge_entries(node, message.entries, message.reports, delivery, now)
    return []


def on_state_request(node: NodeState, peer: str, message, now: float):
    """Replies to a state request with all entries of some topics.

    Args:
        node: The state of this node.
        peer: The sender.
        message: The `StateRequest`.
        now: The current time.

    Returns:
        Actions.
    """
    member = node.members.get(peer)
    gossip = node.gossip
    if member is None or now - gossip.served_at < SERVE_INTERVAL_S:
        return []
    gossip.served_at = now
    topics = set(message.topics)
    entries = [membership_view.own_entry(node)]
    entries += [_member_entry(m) for m in node.members.values()]
    entries = [
        entry
        for entry in entries
        if entry.status != Status.UNKNOWN
        and (not topics or entry.zone in topics)
    ]
    reports = [
        entry
        for entry in gossip.report_entries.values()
        if not topics or report_topic(entry.searcher) in topics
    ]
    return _updates(member, "", entries, reports)


def on_state_update_due(node: NodeState, event, now: float):
    """Sends the queued changes.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    return flush(node, now)


def flush(node: NodeState, now: float) -> list:
    """Sends the queued changes along the tree and to other zones.

    Args:
        node: The state of this node.
        now: The current time.

    Returns:
        Actions.
    """
    gossip = node.gossip
    gossip.flush_due = False
    outgoing, gossip.outgoing = gossip.outgoing, {}
    new_actions = []
    for origin in sorted({d.origin for d in outgoing.values()}):
        keys = [key for key, d in outgoing.items() if d.origin == origin]
        entries, reports = _resolve(node, keys)
        for child in membership_view.tree_children(node, origin, now):
            new_actions += _updates(child, origin, entries, reports)
    relayed = [
        key
        for key, d in outgoing.items()
        if d.relayed and _is_of_zone(node, key, now)
    ]
    return new_actions + _relay(node, relayed, now)


def _relay(node: NodeState, keys: list[EntryKey], now: float) -> list:
    """Sends changes of this zone to a relay host of each other zone."""
    own = node.settings.name
    ranked = membership_view.relay_hosts(node, node.settings.zone, now)
    if not keys or own not in ranked:
        return []
    entries, reports = _resolve(node, keys)
    new_actions = []
    zones = {member.zone for member in node.members.values()}
    for zone in sorted(zones - {node.settings.zone}):
        names = membership_view.relay_hosts(node, zone, now)
        if names:
            receiver = node.members[names[ranked.index(own) % len(names)]]
            new_actions += _updates(receiver, own, entries, reports)
    return new_actions


def _is_of_zone(node: NodeState, key: EntryKey, now: float) -> bool:
    """Returns whether this zone sends changes of an entry to other zones.

    A searcher's changes are sent by its own zone, or by any other zone while
    its own zone has no live host.
    """
    if key.kind == MEMBER:
        member = node.members.get(key.name)
        return member is None or member.zone == node.settings.zone
    searcher = node.configuration.searchers.get(key.name)
    if searcher is None:
        return False
    if searcher.zone == node.settings.zone:
        return True
    return not membership_view.live_in_zone(node, searcher.zone, now)


def merge_entries(
    node: NodeState,
    entries: Iterable[MemberEntry],
    reports: Iterable[ReportEntry],
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores and propagates entries that are newer than the local ones.

    Args:
        node: The state of this node.
        entries: Entries of hosts.
        reports: Entries of searchers.
        delivery: How to propagate newer entries; None to not propagate them.
        now: The current time.
    """
    for entry in entries:
        merge_member(node, entry, delivery, now)
    for entry in reports:
        report_replication.merge_report_entry(node, entry, delivery, now)


def merge_member(
    node: NodeState,
    entry: MemberEntry,
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores and propagates an entry host's entry if it is newer."""
    if entry.name == node.settings.name:
        _refute(node, entry, now)
        return
    member = node.members.get(entry.name)
    if member is None:
        member = Member(entry.name, entry.zone, entry.address)
        node.members[entry.name] = member
    if not supersedes(entry, member):
        return
    _apply_entry(node, member, entry, now)
    membership_view.propagate(node, EntryKey(MEMBER, entry.name), delivery, now)


def set_status(
    node: NodeState, member: Member, status: Status, now: float
) -> None:
    """Changes a host's status as observed by this node, and propagates it."""
    entry = dataclasses.replace(_member_entry(member), status=int(status))
    delivery = Delivery(node.settings.name, True)
    merge_member(node, entry, delivery, now)


def _refute(node: NodeState, entry: MemberEntry, now: float) -> None:
    own = membership_view.own_entry(node)
    if not supersedes(entry, own):
        return
    gossip = node.gossip
    gossip.toggle_in_digest(own)
    node.incarnation = max(node.incarnation, entry.incarnation)
    gossip.sequence = max(gossip.sequence, entry.sequence)
    gossip.toggle_in_digest(membership_view.own_entry(node))
    membership_view.change_own_entry(node, now)


def _apply_entry(node, member: Member, entry: MemberEntry, now: float) -> None:
    gossip = node.gossip
    gossip.toggle_in_digest(_member_entry(member))
    restarted = entry.incarnation > member.incarnation
    if is_return(entry.status, member.status, restarted):
        member.rejoin_times = [*member.rejoin_times[-8:], now]
        member.damped_until = now + damping_s(member.rejoin_times, now)
        node.schedule(member.damped_until, events.TrustDue())
    if restarted:
        member.revision = 0
    if entry.status != member.status:
        member.status_changed_at = now
        _log_status_change(node, entry)
    member.zone = entry.zone
    member.address = entry.address
    member.incarnation = entry.incarnation
    member.sequence = entry.sequence
    member.status = Status(entry.status)
    member.watching = entry.watching
    if member.status is Status.ALIVE:
        member.unreachable = False
    gossip.view_version += 1
    gossip.toggle_in_digest(_member_entry(member))
    _update_suspicion(node, member, now)


def _log_status_change(node: NodeState, entry: MemberEntry) -> None:
    if entry.zone == node.settings.zone:
        status = Status(entry.status).name.lower()
        fields = (("host", entry.name), ("status", status))
        node.gossip.log_events.append(actions.LogEvent("host_status", fields))


def _update_suspicion(node: NodeState, member: Member, now: float) -> None:
    suspicion_ends = node.gossip.suspicion_ends
    if member.status is not Status.SUSPECT:
        suspicion_ends.pop(member.name, None)
    elif member.zone == node.settings.zone:
        end = now + node.settings.timing.suspect_s * SUSPICION_SHARE
        suspicion_ends.setdefault(member.name, end)
        node.schedule(end, events.TrustDue())


def build_heartbeat(node: NodeState, peer: str, wants_answer: bool, now):
    """Builds a heartbeat with recent changes.

    Args:
        node: The state of this node.
        peer: The receiver.
        wants_answer: Whether the receiver must reply, as to a probe.
        now: The current time.

    Returns:
        The `Heartbeat`.
    """
    gossip = node.gossip
    keys = sorted(gossip.piggyback, key=gossip.piggyback.get, reverse=True)
    keys = keys[:PIGGYBACK_ENTRIES]
    for key in keys:
        gossip.piggyback[key] -= 1
        if not gossip.piggyback[key]:
            del gossip.piggyback[key]
    entries, reports = _resolve(node, keys)
    member = node.members.get(peer)
    if member is not None and member.status in (Status.SUSPECT, Status.DEAD):
        entries.append(_member_entry(member))
    own = membership_view.own_entry(node)
    topic = _pick_topic(node)
    return messages.Heartbeat(
        name=own.name,
        zone=own.zone,
        incarnation=own.incarnation,
        sequence=own.sequence,
        address=own.address,
        revision=node.configuration.revision,
        leaving=node.stopping,
        watching=own.watching,
        wants_answer=wants_answer,
        digest_topic=topic,
        digest=gossip.digests.get(topic, 0),
        entries=tuple(entries),
        reports=tuple(reports),
    )


def check_digest(node: NodeState, member: Member, message, now) -> list:
    """Requests entries from a peer whose digest differs repeatedly.

    Before the first full state arrives, all entries are requested.

    Args:
        node: The state of this node.
        member: The peer.
        message: Its `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    gossip = node.gossip
    topic = message.digest_topic
    if message.digest == gossip.digests.get(topic, 0):
        gossip.mismatches.pop(topic, None)
    else:
        gossip.mismatches[topic] += 1
    topics = _topics_to_request(node, member, topic, now)
    if topics is None:
        return []
    node.counters["state_requests"] += 1
    request = messages.StateRequest(topics)
    return [actions.SendPeer(member.name, member.address, request)]


def _topics_to_request(
    node: NodeState, member: Member, topic: str, now: float
) -> tuple[str, ...] | None:
    """Returns the topics to request from a peer: () for all, None for none."""
    gossip = node.gossip
    may_request = now - gossip.requested_at >= REQUEST_INTERVAL_S
    if not gossip.synced:
        # Any reply sets `synced`, so only all entries may be requested.
        if not may_request:
            return None
        gossip.requested_at = now
        return ()
    if may_request:
        if gossip.mismatches.get(topic, 0) > MAX_DIGEST_MISMATCHES:
            gossip.requested_at = now
            gossip.mismatches.pop(topic)
            return (topic,)
    if now - gossip.missing_requested_at < gossip.missing_interval_s:
        return None
    topics = _topics_without_report(node, member.zone)
    if not topics:
        return None
    gossip.missing_requested_at = now
    gossip.missing_interval_s = min(
        2.0 * gossip.missing_interval_s, MAX_MISSING_INTERVAL_S
    )
    return topics


def _topics_without_report(node: NodeState, zone: str) -> tuple[str, ...]:
    """Returns topics of a zone's searchers that have no report entry here.

    A host that joins while others join may get its first full state from a peer
    that lacks some entries. Without its report, a searcher gets no work. The
    hosts of the searcher's own zone have the report.

    Args:
        node: The state of this node.
        zone: The zone of the host that is to be asked.
    """
    known = node.gossip.report_entries
    searchers = node.configuration.searchers
    if len(known) >= len(searchers):
        node.gossip.missing_interval_s = MIN_MISSING_INTERVAL_S
        return ()
    missing = (
        searcher.name
        for searcher in searchers.values()
        if searcher.zone == zone and searcher.name not in known
    )
    first = itertools.islice(missing, MAX_MISSING_PER_REQUEST)
    return tuple(sorted({report_topic(name) for name in first}))


def _pick_topic(node: NodeState) -> str:
    topics = sorted(node.gossip.digests)
    if not topics or node.rng.random() < 0.3:
        return node.settings.zone
    return node.rng.choice(topics)


def _member_entry(member: Member) -> MemberEntry:
    return MemberEntry(
        member.name,
        member.zone,
        member.address,
        member.incarnation,
        member.sequence,
        int(member.status),
        member.watching,
    )


def _resolve(node: NodeState, keys: Iterable[EntryKey]):
    """Returns the current entries of some keys, as hosts and searchers."""
    entries, reports = [], []
    for key in keys:
        if key.kind == REPORT:
            entry = node.gossip.report_entries.get(key.name)
            if entry is not None:
                reports.append(entry)
        elif key.name == node.settings.name:
            entries.append(membership_view.own_entry(node))
        elif key.name in node.members:
            entries.append(_member_entry(node.members[key.name]))
    return entries, reports


def _updates(member: Member, origin: str, entries, reports) -> list:
    """Builds state updates with at most `ENTRIES_PER_UPDATE` entries of each.

    Returns:
        The actions that send them.
    """
    new_actions = []
    for start in range(0, max(len(entries), len(reports)), ENTRIES_PER_UPDATE):
        end = start + ENTRIES_PER_UPDATE
        update = messages.StateUpdate(
            origin, tuple(entries[start:end]), tuple(reports[start:end])
        )
        new_actions.append(
            actions.SendPeer(member.name, member.address, update)
        )
    return new_actions
