"""Membership and failure detection of entry hosts.

At each heartbeat, every node probes a few hosts of its zone and one of another
zone. A probe is a heartbeat message that requests a reply. Changes are sent at
once along a tree within the zone and through relay hosts to other zones, and
again with the next heartbeats. Digests are compared to find and repair changes
that were not received.
"""

from kumquatspur.controllers import (
    membership_view,
    placement,
    replication,
    report_replication,
)
from kumquatspur.controllers.node_state import (
    UNREACHABLE_ZONE_FAILURES,
    Member,
    NodeState,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.messages import Status
from kumquatspur.core.records import Address

PROBES_PER_HEARTBEAT = 2
PROBE_TIMEOUT_SHARE = 0.8
# A host that sent a message within this share of the interval is not probed.
RECENT_MESSAGE_SHARE = 0.8
# If more intervals than this have passed since the last heartbeat of this node,
# it drops its pending probes, as the missing replies may be its own fault.
MAX_HEARTBEAT_GAP_INTERVALS = 2.0
MEMBER_EXPIRY_S = 600.0
DEAD_PROBE_INTERVAL_HEARTBEATS = 4


def on_hosts_listed(node: NodeState, event: events.HostsListed, now: float):
    """Adds unknown entry hosts of the platform's host list as members.

    Their status is unknown until a message about them arrives.

    Args:
        node: The state of this node.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    for host in event.hosts:
        if host.role != "entry" or host.name == node.settings.name:
            continue
        if host.name not in node.members:
            node.members[host.name] = Member(
                host.name, host.zone, host.address, status_changed_at=now
            )
    return []


def record_received(node: NodeState, peer: str, now: float) -> None:
    """Records that a message of a peer arrived, so that it is reachable.

    Args:
        node: The state of this node.
        peer: The sender.
        now: The current time.
    """
    member = node.members.get(peer)
    if member is None:
        return
    member.last_received_at = now
    gossip = node.gossip
    if member.unreachable:
        member.unreachable = False
        gossip.view_version += 1
    if (
        gossip.zone_probe_failures.pop(member.zone, 0)
        >= UNREACHABLE_ZONE_FAILURES
    ):
        gossip.view_version += 1


def on_heartbeat(node: NodeState, peer: str, message, now: float):
    """Handles a heartbeat of another entry host.

    Args:
        node: The state of this node.
        peer: The sender.
        message: The `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    if message.name == node.settings.name:
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
    delivery = replication.delivery_from(node, message.zone, "")
    replication.merge_member(node, entry, delivery, now)
    record_received(node, message.name, now)
    member = node.members[message.name]
    member.revision = max(member.revision, message.revision)
    node.gossip.pending_probes.pop(message.name, None)
    replication.merge_entries(
        node, message.entries, message.reports, delivery, now
    )
    new_actions = replication.check_digest(node, member, message, now)
    if message.wants_answer:
        new_actions.append(_heartbeat(node, member, False, now))
    return new_actions


def on_heartbeat_due(node: NodeState, event: events.HeartbeatDue, now):
    """Fails unanswered probes and sends new ones.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = node.settings.timing.heartbeat_s
    node.schedule(
        now + interval * node.rng.uniform(0.9, 1.1), events.HeartbeatDue()
    )
    node.counters["heartbeats"] += 1
    _end_probes(node, interval, now)
    report_replication.republish_reports(node, now)
    placement.update_failed_over(node, now)
    _remove_expired_members(node, now)
    new_actions = [
        _heartbeat(node, member, True, now)
        for member in _choose_probes(node, now)
    ]
    return new_actions + _probe_seeds(node, now)


def on_trust_due(node: NodeState, event: events.TrustDue, now: float):
    """Handles the end of a suspicion or of the damping of a host.

    Marks hosts as dead whose suspicion has ended. A host whose damping has
    ended counts as live again, so cached placements are outdated.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    gossip = node.gossip
    gossip.view_version += 1
    for name, end in list(gossip.suspicion_ends.items()):
        if end <= now:
            member = node.members[name]
            replication.set_status(node, member, Status.DEAD, now)
    return []


def on_stop(node: NodeState, event: events.StopRequested, now: float):
    """Announces to other hosts that this node is leaving.

    Args:
        node: The state of this node.
        event: The request to stop.
        now: The current time.

    Returns:
        Actions.
    """
    node.gossip.toggle_in_digest(membership_view.own_entry(node))
    node.stopping = True
    node.gossip.view_version += 1
    membership_view.change_own_entry(node, now)
    return replication.flush(node, now)


def on_peer_lost(node: NodeState, event: events.PeerLost, now: float):
    """Marks a host whose stream broke as unreachable until its next message.

    Args:
        node: The state of this node.
        event: The disconnected peer.
        now: The current time.

    Returns:
        Actions.
    """
    member = node.members.get(event.peer)
    if member is not None and member.status is not Status.UNKNOWN:
        _mark_unreachable(node, member, now)
    return []


def _mark_unreachable(node: NodeState, member: Member, now: float) -> None:
    gossip = node.gossip
    gossip.pending_probes.pop(member.name, None)
    if not member.unreachable:
        member.unreachable = True
        gossip.view_version += 1
    own_zone = member.zone == node.settings.zone
    if own_zone and member.status is Status.ALIVE:
        replication.set_status(node, member, Status.SUSPECT, now)


def _end_probes(node: NodeState, interval: float, now: float) -> None:
    gossip = node.gossip
    was_delayed = (
        now - gossip.last_heartbeat_at > MAX_HEARTBEAT_GAP_INTERVALS * interval
    )
    gossip.last_heartbeat_at = now
    if was_delayed:
        gossip.pending_probes.clear()
    for name, sent in list(gossip.pending_probes.items()):
        if now - sent < PROBE_TIMEOUT_SHARE * interval:
            continue
        member = node.members.get(name)
        if member is None:
            del gossip.pending_probes[name]
            continue
        _mark_unreachable(node, member, now)
        if member.zone != node.settings.zone:
            gossip.zone_probe_failures[member.zone] += 1
            gossip.view_version += 1
            if (
                gossip.zone_probe_failures[member.zone]
                < UNREACHABLE_ZONE_FAILURES
            ):
                gossip.zones_to_probe.append(member.zone)


def _choose_probes(node: NodeState, now: float) -> list[Member]:
    """Returns the hosts to probe at this heartbeat.

    These are hosts of this zone in random order, suspected hosts, and at most
    one each of another zone, of the unreachable and of the dead hosts.
    """
    gossip = node.gossip
    chosen = {}
    for _ in range(PROBES_PER_HEARTBEAT):
        if not gossip.hosts_to_probe:
            members = _zone_members(node, node.settings.zone)
            gossip.hosts_to_probe = [member.name for member in members]
            node.rng.shuffle(gossip.hosts_to_probe)
        while gossip.hosts_to_probe:
            member = node.members.get(gossip.hosts_to_probe.pop())
            if member is None or member.name in chosen:
                continue
            if not _received_recently(node, member, now):
                chosen[member.name] = member
            break
    for name in list(gossip.suspicion_ends)[:PROBES_PER_HEARTBEAT]:
        chosen[name] = node.members[name]
    others = (
        _pick_in_other_zone(node, now),
        _pick_unreachable(node),
        _pick_dead(node),
    )
    for member in others:
        if member is not None:
            chosen[member.name] = member
    for name, member in chosen.items():
        if member.status in (Status.ALIVE, Status.SUSPECT):
            gossip.pending_probes.setdefault(name, now)
    return list(chosen.values())


def _zone_members(node: NodeState, zone: str) -> list[Member]:
    """Returns the hosts of a zone that may be alive."""
    not_in_use = (Status.DEAD, Status.LEAVING)
    return [
        member
        for member in node.members.values()
        if member.zone == zone and member.status not in not_in_use
    ]


def _received_recently(node: NodeState, member: Member, now: float) -> bool:
    """Returns whether a recent message of a host makes a probe unnecessary."""
    if member.last_received_at is None or member.unreachable:
        return False
    interval = node.settings.timing.heartbeat_s
    return now - member.last_received_at < RECENT_MESSAGE_SHARE * interval


def _pick_in_other_zone(node: NodeState, now: float) -> Member | None:
    """Returns a random host of the next other zone, or None if not needed."""
    gossip = node.gossip
    if not gossip.zones_to_probe:
        zones = {member.zone for member in node.members.values()}
        gossip.zones_to_probe = sorted(zones - {node.settings.zone})
        node.rng.shuffle(gossip.zones_to_probe)
    if not gossip.zones_to_probe:
        return None
    members = _zone_members(node, gossip.zones_to_probe.pop())
    if not members or any(_received_recently(node, m, now) for m in members):
        return None
    return node.rng.choice(members)


def _pick_unreachable(node: NodeState) -> Member | None:
    """Returns a random host that is alive or suspected, but unreachable."""
    unreachable = [m for m in node.members.values() if m.unreachable]
    unreachable = [
        m for m in unreachable if m.status in (Status.ALIVE, Status.SUSPECT)
    ]
    return node.rng.choice(unreachable) if unreachable else None


def _pick_dead(node: NodeState) -> Member | None:
    """Returns a random dead host at some heartbeats; it may have restarted."""
    if node.counters["heartbeats"] % DEAD_PROBE_INTERVAL_HEARTBEATS:
        return None
    dead = [m for m in node.members.values() if m.status is Status.DEAD]
    return node.rng.choice(dead) if dead else None


def _probe_seeds(node: NodeState, now: float) -> list:
    if any(node.is_live(member, now) for member in node.members.values()):
        return []
    own = node.settings.peer.address()
    new_actions = []
    for seed in node.settings.seeds:
        address = seed.address()
        if address != own:
            name = f"{address.host}:{address.port}"
            new_actions.append(_send_probe(node, name, address, now))
    return new_actions


def _send_probe(node, name: str, address: Address, now: float):
    heartbeat = replication.build_heartbeat(node, "", True, now)
    return actions.SendPeer(name, address, heartbeat)


def _heartbeat(node, member: Member, wants_answer: bool, now: float):
    heartbeat = replication.build_heartbeat(
        node, member.name, wants_answer, now
    )
    return actions.SendPeer(member.name, member.address, heartbeat)


def _remove_expired_members(node: NodeState, now: float) -> None:
    """Removes hosts that have not been live for `MEMBER_EXPIRY_S`."""
    # Checked at every 128th heartbeat only.
    if node.counters["heartbeats"] % 128:
        return
    not_live = (Status.DEAD, Status.LEAVING, Status.UNKNOWN)
    for member in list(node.members.values()):
        if (
            member.status in not_live
            and now - member.status_changed_at > MEMBER_EXPIRY_S
        ):
            del node.members[member.name]
