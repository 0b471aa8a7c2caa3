"""Passes on changes of entry hosts and searchers, and repairs losses."""

import dataclasses
from collections.abc import Iterable

from kumquatspur.controllers import report_replication, view
from kumquatspur.controllers.blackboard import (
    Blackboard,
    Member,
)
from kumquatspur.controllers.gossip import (
    MEMBER,
    REPORT,
    Delivery,
    EntryKey,
    report_topic,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.messages import MemberEntry, ReportEntry, Status
from kumquatspur.policy.members import damping_s, is_return, supersedes

PIGGYBACK_ENTRIES = 4
ENTRIES_PER_UPDATE = 200
MISMATCHES_TOLERATED = 2
REQUEST_INTERVAL_S = 1.0
SERVE_INTERVAL_S = 0.2
# Suspicion lasts this share of the setting `suspect_s`.
SUSPICION_SHARE = 0.4


def delivery_from(board: Blackboard, zone: str, origin: str) -> Delivery:
    """Returns how to pass on what a host of a zone sent.

    Args:
        board: The blackboard.
        zone: The sender's zone.
        origin: The root of the tree that the message travels along, or "".

    Returns:
        The delivery. What comes from another zone is spread in this one.
    """
    if zone == board.settings.zone:
        return Delivery(origin or board.settings.name, True)
    return Delivery(board.settings.name, False)


def on_state_update(board: Blackboard, peer: str, message, now: float):
    """Takes changes, or all state after a request.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `StateUpdate`.
        now: The current time.

    Returns:
        Actions.
    """
    member = board.members.get(peer)
    zone = member.zone if member else board.settings.zone
    delivery = delivery_from(board, zone, message.origin)
    if not message.origin:
        delivery = None
        board.gossip.synced = True
    take_entries(board, message.entries, message.reports, delivery, now)
    return []


def on_state_request(board: Blackboard, peer: str, message, now: float):
    """Sends all state of some topics.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `StateRequest`.
        now: The current time.

    Returns:
        Actions.
    """
    member = board.members.get(peer)
    state = board.gossip
    if member is None or now - state.served_at < SERVE_INTERVAL_S:
        return []
    state.served_at = now
    topics = set(message.topics)
    entries = [view.own_entry(board)]
    entries += [_member_entry(m) for m in board.members.values()]
    entries = [
        entry
        for entry in entries
        if entry.status != Status.UNKNOWN
        and (not topics or entry.zone in topics)
    ]
    reports = [
        entry
        for entry in state.reports.values()
        if not topics or report_topic(entry.searcher) in topics
    ]
    return _updates(member, "", entries, reports)


def on_state_update_due(board: Blackboard, event, now: float):
    """Sends on what changed.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    return flush(board, now)


def flush(board: Blackboard, now: float) -> list:
    """Sends on what changed.

    Args:
        board: The blackboard.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.gossip
    state.flush_due = False
    outgoing, state.outgoing = state.outgoing, {}
    found = []
    for origin in sorted({d.origin for d in outgoing.values()}):
        keys = [key for key, d in outgoing.items() if d.origin == origin]
        entries, reports = _resolve(board, keys)
        for child in view.tree_children(board, origin, now):
            found += _updates(child, origin, entries, reports)
    relayed = [
        key
        for key, d in outgoing.items()
        if d.relayed and _is_of_zone(board, key, now)
    ]
    return found + _relay(board, relayed, now)


def _relay(board: Blackboard, keys: list[EntryKey], now: float) -> list:
    """Sends changes of this zone to a delegate of each other zone."""
    own = board.settings.name
    ranked = view.delegates(board, board.settings.zone, now)
    if not keys or own not in ranked:
        return []
    entries, reports = _resolve(board, keys)
    found = []
    zones = {member.zone for member in board.members.values()}
    for zone in sorted(zones - {board.settings.zone}):
        names = view.delegates(board, zone, now)
        if names:
            receiver = board.members[names[ranked.index(own) % len(names)]]
            found += _updates(receiver, own, entries, reports)
    return found


def _is_of_zone(board: Blackboard, key: EntryKey, now: float) -> bool:
    """Returns whether other zones learn of an entry from this one."""
    if key.kind == MEMBER:
        member = board.members.get(key.name)
        return member is None or member.zone == board.settings.zone
    searcher = board.configuration.searchers.get(key.name)
    if searcher is None:
        return False
    if searcher.zone == board.settings.zone:
        return True
    return not view.live_in_zone(board, searcher.zone, now)


def take_entries(
    board: Blackboard,
    entries: Iterable[MemberEntry],
    reports: Iterable[ReportEntry],
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores what is newer than what this node knows, and passes it on.

    Args:
        board: The blackboard.
        entries: Entry hosts.
        reports: Searchers.
        delivery: How to pass on what is newer; None if it is not.
        now: The current time.
    """
    for entry in entries:
        take_member(board, entry, delivery, now)
    for entry in reports:
        report_replication.take_report(board, entry, delivery, now)


def take_member(
    board: Blackboard,
    entry: MemberEntry,
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores an entry host's entry if it is newer, and passes it on."""
    if entry.name == board.settings.name:
        _refute(board, entry, now)
        return
    member = board.members.get(entry.name)
    if member is None:
        member = Member(entry.name, entry.zone, entry.address)
        board.members[entry.name] = member
    if not supersedes(entry, member):
        return
    _apply(board, member, entry, now)
    view.pass_on(board, EntryKey(MEMBER, entry.name), delivery, now)


def set_status(
    board: Blackboard, member: Member, status: Status, now: float
) -> None:
    """Changes a host's status on this node's own evidence."""
    entry = dataclasses.replace(_member_entry(member), status=int(status))
    delivery = Delivery(board.settings.name, True)
    take_member(board, entry, delivery, now)


def _refute(board: Blackboard, entry: MemberEntry, now: float) -> None:
    own = view.own_entry(board)
    if not supersedes(entry, own):
        return
    state = board.gossip
    state.toggle_member(own)
    board.incarnation = max(board.incarnation, entry.incarnation)
    state.sequence = max(state.sequence, entry.sequence)
    state.toggle_member(view.own_entry(board))
    view.change_own_entry(board, now)


def _apply(board, member: Member, entry: MemberEntry, now: float) -> None:
    state = board.gossip
    state.toggle_member(_member_entry(member))
    restarted = entry.incarnation > member.incarnation
    if is_return(entry.status, member.status, restarted):
        member.returns = [*member.returns[-8:], now]
        member.trusted_from = now + damping_s(member.returns, now)
        board.schedule(member.trusted_from, events.TrustDue())
    if restarted:
        member.revision = 0
    if entry.status != member.status:
        member.changed_at = now
        _notice(board, entry)
    member.zone = entry.zone
    member.address = entry.address
    member.incarnation = entry.incarnation
    member.sequence = entry.sequence
    member.status = Status(entry.status)
    member.watching = entry.watching
    if member.status is Status.ALIVE:
        member.broken = False
    state.view_version += 1
    state.toggle_member(_member_entry(member))
    _note_suspicion(board, member, now)


def _notice(board: Blackboard, entry: MemberEntry) -> None:
    if entry.zone == board.settings.zone:
        status = Status(entry.status).name.lower()
        fields = (("host", entry.name), ("status", status))
        board.gossip.notices.append(actions.LogEvent("host_status", fields))


def _note_suspicion(board: Blackboard, member: Member, now: float) -> None:
    suspects = board.gossip.suspects
    if member.status is not Status.SUSPECT:
        suspects.pop(member.name, None)
    elif member.zone == board.settings.zone:
        end = now + board.settings.timing.suspect_s * SUSPICION_SHARE
        suspects.setdefault(member.name, end)
        board.schedule(end, events.TrustDue())


def build_heartbeat(board: Blackboard, peer: str, wants_answer: bool, now):
    """Builds a heartbeat with recent changes.

    Args:
        board: The blackboard.
        peer: The receiver.
        wants_answer: Whether it is a probe.
        now: The current time.

    Returns:
        The `Heartbeat`.
    """
    state = board.gossip
    keys = sorted(state.piggyback, key=state.piggyback.get, reverse=True)
    keys = keys[:PIGGYBACK_ENTRIES]
    for key in keys:
        state.piggyback[key] -= 1
        if not state.piggyback[key]:
            del state.piggyback[key]
    entries, reports = _resolve(board, keys)
    member = board.members.get(peer)
    if member is not None and member.status in (Status.SUSPECT, Status.DEAD):
        entries.append(_member_entry(member))
    own = view.own_entry(board)
    topic = _pick_topic(board)
    return messages.Heartbeat(
        name=own.name,
        zone=own.zone,
        incarnation=own.incarnation,
        sequence=own.sequence,
        address=own.address,
        revision=board.configuration.revision,
        leaving=board.stopping,
        watching=own.watching,
        wants_answer=wants_answer,
        digest_topic=topic,
        digest=state.digests.get(topic, 0),
        entries=tuple(entries),
        reports=tuple(reports),
    )


def check_digest(board: Blackboard, member: Member, message, now) -> list:
    """Requests state from a peer that seems to know more or other state.

    Args:
        board: The blackboard.
        member: The peer.
        message: Its `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.gossip
    topic = message.digest_topic
    if message.digest == state.digests.get(topic, 0):
        state.mismatches.pop(topic, None)
    else:
        state.mismatches[topic] += 1
    if now - state.requested_at < REQUEST_INTERVAL_S:
        return []
    topics = (topic,)
    if not state.synced:
        topics = ()
    elif state.mismatches.get(topic, 0) <= MISMATCHES_TOLERATED:
        return []
    state.requested_at = now
    state.mismatches.pop(topic, None)
    board.counters["state_requests"] += 1
    request = messages.StateRequest(topics)
    return [actions.SendPeer(member.name, member.address, request)]


def _pick_topic(board: Blackboard) -> str:
    topics = sorted(board.gossip.digests)
    if not topics or board.rng.random() < 0.3:
        return board.settings.zone
    return board.rng.choice(topics)


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


def _resolve(board: Blackboard, keys: Iterable[EntryKey]):
    """Returns the present entries of some keys."""
    entries, reports = [], []
    for key in keys:
        if key.kind == REPORT:
            entry = board.gossip.reports.get(key.name)
            if entry is not None:
                reports.append(entry)
        elif key.name == board.settings.name:
            entries.append(view.own_entry(board))
        elif key.name in board.members:
            entries.append(_member_entry(board.members[key.name]))
    return entries, reports


def _updates(member: Member, origin: str, entries, reports) -> list:
    """Returns messages of bounded size."""
    found = []
    for start in range(0, max(len(entries), len(reports)), ENTRIES_PER_UPDATE):
        end = start + ENTRIES_PER_UPDATE
        update = messages.StateUpdate(
            origin, tuple(entries[start:end]), tuple(reports[start:end])
        )
        found.append(actions.SendPeer(member.name, member.address, update))
    return found
