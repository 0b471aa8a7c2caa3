"""Look-ups among the live entry hosts, and propagation of entries to them."""

from kumquatspur.controllers.gossip import MEMBER, Delivery, EntryKey
from kumquatspur.controllers.node_state import Member, NodeState
from kumquatspur.core import events
from kumquatspur.core.messages import MemberEntry, Status
from kumquatspur.policy.ownership import rank_members

FAN_OUT = 3
RELAY_HOSTS_PER_ZONE = 2
STATE_UPDATE_DELAY_S = 0.05


def live_in_zone(node: NodeState, zone: str, now: float) -> list[Member]:
    """Returns the other live entry hosts of a zone, in no order."""
    return [
        member
        for member in node.members.values()
        if member.zone == zone and node.is_live(member, now)
    ]


def zone_peers(node: NodeState, now: float) -> list[Member]:
    """Returns the other live entry hosts of this node's zone."""
    return live_in_zone(node, node.settings.zone, now)


def live_watchers(node: NodeState, now: float) -> list[str]:
    """Returns the live hosts of this zone that watch the store."""
    names = [m.name for m in zone_peers(node, now) if m.watching]
    if node.distribution.lease is not None:
        names.append(node.settings.name)
    return names


def tree_children(node: NodeState, origin: str, now: float) -> list[Member]:
    """Returns the hosts to which this node forwards messages of an origin.

    All live hosts of the zone form a tree with `FAN_OUT` children per host, in
    the order of their names, starting with the origin.

    Args:
        node: The state of this node.
        origin: The root of the tree.
        now: The current time.

    Returns:
        This node's children.
    """
    peers = {member.name: member for member in zone_peers(node, now)}
    own = node.settings.name
    names = sorted({*peers, own, origin})
    root = names.index(origin)
    names = names[root:] + names[:root]
    first = names.index(own) * FAN_OUT + 1
    children = names[first : first + FAN_OUT]
    return [peers[name] for name in children if name in peers]


def relay_hosts(node: NodeState, zone: str, now: float) -> list[str]:
    """Returns the hosts of a zone that exchange state with other zones."""
    names = [member.name for member in live_in_zone(node, zone, now)]
    if zone == node.settings.zone:
        names.append(node.settings.name)
    return rank_members("delegate", names)[:RELAY_HOSTS_PER_ZONE]


def own_entry(node: NodeState) -> MemberEntry:
    """Builds this node's own entry."""
    return MemberEntry(
        name=node.settings.name,
        zone=node.settings.zone,
        address=node.settings.peer.address(),
        incarnation=node.incarnation,
        sequence=node.gossip.sequence,
        status=int(Status.LEAVING if node.stopping else Status.ALIVE),
        watching=node.distribution.lease is not None,
    )


def change_own_entry(node: NodeState, now: float) -> None:
    """Publishes a change of this node's own entry as a new version."""
    node.gossip.toggle_in_digest(own_entry(node))
    node.gossip.sequence += 1
    node.gossip.toggle_in_digest(own_entry(node))
    key = EntryKey(MEMBER, node.settings.name)
    propagate(node, key, Delivery(node.settings.name, True), now)


def propagate(
    node: NodeState,
    key: EntryKey,
    delivery: Delivery | None,
    now: float,
) -> None:
    """Queues a changed entry for other hosts.

    Args:
        node: The state of this node.
        key: The entry.
        delivery: How to propagate it; None to not propagate it.
        now: The current time.
    """
    if delivery is None:
        return
    gossip = node.gossip
    gossip.outgoing[key] = delivery
    host_count = len(zone_peers(node, now)) + 1
    # About log2(number of hosts) rounds of heartbeats reach all hosts.
    gossip.piggyback[key] = host_count.bit_length()
    if not gossip.flush_due:
        gossip.flush_due = True
        node.schedule(now + STATE_UPDATE_DELAY_S, events.StateUpdateDue())
