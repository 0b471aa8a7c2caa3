"""Knows which entry hosts are alive.

Every node probes a few hosts of its zone, and one of another zone, at each
heartbeat. Changes travel at once along a tree in the zone and through
delegates to other zones, again with the next heartbeats, and are compared by
digests so that what was lost is repaired.
"""

from kumquatspur.controllers import (
    placement,
    replication,
    report_replication,
    view,
)
from kumquatspur.controllers.blackboard import (
    CUT_FAILURES,
    Blackboard,
    Member,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.messages import Status
from kumquatspur.core.records import Address

PROBES_PER_HEARTBEAT = 2
PROBE_TIMEOUT_SHARE = 0.8
# A host heard within this share of the interval is not probed.
HEARD_SHARE = 0.8
# A node that was itself held up for so many intervals accuses nobody.
SLOW_TICK_INTERVALS = 2.0
FORGET_S = 600.0
LOST_PROBE_INTERVAL = 4


def on_hosts_listed(board: Blackboard, event: events.HostsListed, now: float):
    """Takes the platform's host list as a hint of who exists.

    Args:
        board: The blackboard.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    for host in event.hosts:
        if host.role != "entry" or host.name == board.settings.name:
            continue
        if host.name not in board.members:
            board.members[host.name] = Member(
                host.name, host.zone, host.address, changed_at=now
            )
    return []


def note_heard(board: Blackboard, peer: str, now: float) -> None:
    """Notes that a peer's message arrived.

    Args:
        board: The blackboard.
        peer: The sender.
        now: The current time.
    """
    member = board.members.get(peer)
    if member is None:
        return
    member.last_heard = now
    state = board.gossip
    if member.broken:
        member.broken = False
        state.view_version += 1
    if state.zone_failures.pop(member.zone, 0) >= CUT_FAILURES:
        state.view_version += 1


def on_heartbeat(board: Blackboard, peer: str, message, now: float):
    """Takes a heartbeat of another entry host.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    if message.name == board.settings.name:
        return []
    status = Status.LEAVING if message.leaving else Status.ALIVE
    entry = messages.MemberEntry(
        message.name,
        message.zone,
        message.address,
        message.incarnation,
        message.sequence,
        int(status),
        message.watching,
    )
    delivery = replication.delivery_from(board, message.zone, "")
    replication.take_member(board, entry, delivery, now)
    note_heard(board, message.name, now)
    member = board.members[message.name]
    member.revision = max(member.revision, message.revision)
    board.gossip.awaiting.pop(message.name, None)
    replication.take_entries(
        board, message.entries, message.reports, delivery, now
    )
    found = replication.check_digest(board, member, message, now)
    if message.wants_answer:
        found.append(_heartbeat(board, member, False, now))
    return found


def on_heartbeat_due(board: Blackboard, event: events.HeartbeatDue, now):
    """Ends unanswered probes and sends new ones.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = board.settings.timing.heartbeat_s
    board.schedule(
        now + interval * board.rng.uniform(0.9, 1.1), events.HeartbeatDue()
    )
    board.counters["heartbeats"] += 1
    _end_probes(board, interval, now)
    report_replication.contest_reports(board, now)
    placement.update_failed_over(board, now)
    _forget(board, now)
    found = [
        _heartbeat(board, member, True, now)
        for member in _choose_probes(board, now)
    ]
    return found + _probe_seeds(board, now)


def on_trust_due(board: Blackboard, event: events.TrustDue, now: float):
    """Counts suspected hosts as dead, and damped ones as live again.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.gossip
    state.view_version += 1
    for name, end in list(state.suspects.items()):
        if end <= now:
            member = board.members[name]
            replication.set_status(board, member, Status.DEAD, now)
    return []


def on_stop(board: Blackboard, event: events.StopRequested, now: float):
    """Announces that this node is leaving.

    Args:
        board: The blackboard.
        event: The request to stop.
        now: The current time.

    Returns:
        Actions.
    """
    board.gossip.toggle_member(view.own_entry(board))
    board.stopping = True
    board.gossip.view_version += 1
    view.change_own_entry(board, now)
    return replication.flush(board, now)


def on_peer_lost(board: Blackboard, event: events.PeerLost, now: float):
    """Stops counting on a host whose stream broke until it is heard again.

    Args:
        board: The blackboard.
        event: The lost peer.
        now: The current time.

    Returns:
        Actions.
    """
    member = board.members.get(event.peer)
    if member is not None and member.status is not Status.UNKNOWN:
        _fail(board, member, now)
    return []


def _fail(board: Blackboard, member: Member, now: float) -> None:
    state = board.gossip
    state.awaiting.pop(member.name, None)
    if not member.broken:
        member.broken = True
        state.view_version += 1
    own_zone = member.zone == board.settings.zone
    if own_zone and member.status is Status.ALIVE:
        replication.set_status(board, member, Status.SUSPECT, now)


def _end_probes(board: Blackboard, interval: float, now: float) -> None:
    state = board.gossip
    held_up = now - state.ticked_at > SLOW_TICK_INTERVALS * interval
    state.ticked_at = now
    if held_up:
        state.awaiting.clear()
    for name, sent in list(state.awaiting.items()):
        if now - sent < PROBE_TIMEOUT_SHARE * interval:
            continue
        member = board.members.get(name)
        if member is None:
            del state.awaiting[name]
            continue
        _fail(board, member, now)
        if member.zone != board.settings.zone:
            state.zone_failures[member.zone] += 1
            state.view_version += 1
            if state.zone_failures[member.zone] < CUT_FAILURES:
                state.zone_order.append(member.zone)


def _choose_probes(board: Blackboard, now: float) -> list[Member]:
    """Returns hosts to probe: of this zone in turn, suspects, others."""
    state = board.gossip
    chosen = {}
    for _ in range(PROBES_PER_HEARTBEAT):
        if not state.probe_order:
            members = _zone_members(board, board.settings.zone)
            state.probe_order = [member.name for member in members]
            board.rng.shuffle(state.probe_order)
        while state.probe_order:
            member = board.members.get(state.probe_order.pop())
            if member is None or member.name in chosen:
                continue
            if not _heard_lately(board, member, now):
                chosen[member.name] = member
            break
    for name in list(state.suspects)[:PROBES_PER_HEARTBEAT]:
        chosen[name] = board.members[name]
    others = (_next_foreign(board, now), _next_broken(board), _next_lost(board))
    for member in others:
        if member is not None:
            chosen[member.name] = member
    for name, member in chosen.items():
        if member.status in (Status.ALIVE, Status.SUSPECT):
            state.awaiting.setdefault(name, now)
    return list(chosen.values())


def _zone_members(board: Blackboard, zone: str) -> list[Member]:
    """Returns the hosts of a zone that may be alive."""
    gone = (Status.DEAD, Status.LEAVING)
    return [
        member
        for member in board.members.values()
        if member.zone == zone and member.status not in gone
    ]


def _heard_lately(board: Blackboard, member: Member, now: float) -> bool:
    """Returns whether a host's own messages make a probe needless."""
    if member.last_heard is None or member.broken:
        return False
    interval = board.settings.timing.heartbeat_s
    return now - member.last_heard < HEARD_SHARE * interval


def _next_foreign(board: Blackboard, now: float) -> Member | None:
    state = board.gossip
    if not state.zone_order:
        zones = {member.zone for member in board.members.values()}
        state.zone_order = sorted(zones - {board.settings.zone})
        board.rng.shuffle(state.zone_order)
    if not state.zone_order:
        return None
    members = _zone_members(board, state.zone_order.pop())
    if not members or any(_heard_lately(board, m, now) for m in members):
        return None
    return board.rng.choice(members)


def _next_broken(board: Blackboard) -> Member | None:
    """Returns a host that this node alone may be unable to reach."""
    broken = [m for m in board.members.values() if m.broken]
    broken = [m for m in broken if m.status in (Status.ALIVE, Status.SUSPECT)]
    return board.rng.choice(broken) if broken else None


def _next_lost(board: Blackboard) -> Member | None:
    """Returns a host that is gone, now and then, as it may have come back."""
    if board.counters["heartbeats"] % LOST_PROBE_INTERVAL:
        return None
    lost = [m for m in board.members.values() if m.status is Status.DEAD]
    return board.rng.choice(lost) if lost else None


def _probe_seeds(board: Blackboard, now: float) -> list:
    if any(board.alive(member, now) for member in board.members.values()):
        return []
    own = board.settings.peer.address()
    found = []
    for seed in board.settings.seeds:
        address = seed.address()
        if address != own:
            name = f"{address.host}:{address.port}"
            found.append(_send_probe(board, name, address, now))
    return found


def _send_probe(board, name: str, address: Address, now: float):
    heartbeat = replication.build_heartbeat(board, "", True, now)
    return actions.SendPeer(name, address, heartbeat)


def _heartbeat(board, member: Member, wants_answer: bool, now: float):
    heartbeat = replication.build_heartbeat(
        board, member.name, wants_answer, now
    )
    return actions.SendPeer(member.name, member.address, heartbeat)


def _forget(board: Blackboard, now: float) -> None:
    """Drops hosts that have been gone for long."""
    if board.counters["heartbeats"] % 128:
        return
    gone = (Status.DEAD, Status.LEAVING, Status.UNKNOWN)
    for member in list(board.members.values()):
        if member.status in gone and now - member.changed_at > FORGET_S:
            del board.members[member.name]
