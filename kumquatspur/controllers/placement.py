"""Assigns the owner of each searcher from the known members."""

import collections

from kumquatspur.controllers.designs import design_of
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.controllers.placement_cache import PlacementCache
from kumquatspur.core import actions
from kumquatspur.core.records import Searcher
from kumquatspur.policy.ownership import (
    Chunk,
    assign_chunks,
    failover_zone,
    rank_members,
    split_groups,
)

# A zone must be without live hosts for this time before another zone's hosts
# own its searchers.
FAILOVER_DELAY_S = 5.0


def ranked_owners(node: NodeState, searcher: Searcher, now: float) -> list[str]:
    """Ranks the entry hosts that may own a searcher.

    Args:
        node: The state of this node.
        searcher: The searcher.
        now: The current time.

    Returns:
        Names, owner first; empty if no live host is known. The searchers of a
        zone without live hosts are owned in another zone.
    """
    if not design_of(node).single_owner:
        return [node.settings.name]
    cache = _refresh(node, now)
    zone = searcher.zone
    owners = cache.owners.get(zone)
    if owners is None:
        owners = _assign(node, cache, zone)
    return owners.get(searcher.name, [])


def is_owned(node: NodeState, searcher: Searcher, now: float) -> bool:
    """Returns whether this node owns a searcher."""
    owners = ranked_owners(node, searcher, now)
    return bool(owners) and owners[0] == node.settings.name


def update_failed_over(node: NodeState, now: float) -> None:
    """Updates the zones that have been without live hosts for too long.

    Their searchers are owned by hosts of another zone.

    Args:
        node: The state of this node.
        now: The current time.
    """
    cache, gossip = _refresh(node, now), node.gossip
    empty = {zone for zone in cache.chunks if not cache.live.get(zone)}
    gossip.empty_since = {z: gossip.empty_since.get(z, now) for z in empty}
    failed_over_zones = {
        zone
        for zone, since in gossip.empty_since.items()
        if now - since >= FAILOVER_DELAY_S
    }
    if failed_over_zones != gossip.failed_over_zones:
        gossip.failed_over_zones = failed_over_zones
        gossip.view_version += 1


def _assign(
    node: NodeState, cache: PlacementCache, zone: str
) -> dict[str, list[str]]:
    """Returns the owners of a zone's searchers.

    They are computed again only if the searchers or the hosts have changed.
    """
    chunks = cache.chunks.get(zone, [])
    owning_zone = zone
    if zone in node.gossip.failed_over_zones:
        owning_zone = failover_zone(zone, cache.live)
    members = sorted(cache.live.get(owning_zone, []))
    source, assignment = cache.assigned.get(zone, (None, None))
    if source != (chunks, members):
        assignment = assign_chunks(chunks, members, assignment)
        cache.assigned[zone] = ((chunks, members), assignment)
    cache.owners[zone] = assignment.owners
    return assignment.owners


def _refresh(node: NodeState, now: float) -> PlacementCache:
    cache = node.placement
    searchers = node.configuration.searchers
    key = (node.gossip.view_version, node.configuration.revision)
    if cache.key == key and cache.searchers is searchers:
        return cache
    if cache.searchers is not searchers:
        cache.chunks = _split_by_zone(searchers)
        cache.searchers = searchers
    cache.key = key
    cache.owners = {}
    cache.live = _live_by_zone(node, now)
    return cache


def _split_by_zone(searchers) -> dict[str, list[Chunk]]:
    by_zone = collections.defaultdict(list)
    for searcher in searchers.values():
        by_zone[searcher.zone].append(searcher)
    return {
        zone: split_groups(zone_searchers)
        for zone, zone_searchers in by_zone.items()
    }


def _live_by_zone(node: NodeState, now: float) -> dict[str, list[str]]:
    live = collections.defaultdict(list)
    for member in node.members.values():
        if node.is_live(member, now):
            live[member.zone].append(member.name)
    if not node.stopping:
        live[node.settings.zone].append(node.settings.name)
    return dict(live)


def rank_hosts(node: NodeState, key: str, now: float) -> list[str]:
    """Ranks the live entry hosts of all zones, this one included.

    Args:
        node: The state of this node.
        key: Key by which the hosts are ranked, such as a claim bucket's.
        now: The current time.

    Returns:
        Names, first choice first; never empty.
    """
    names = [m.name for m in node.members.values() if node.is_live(m, now)]
    if not names or not node.stopping:
        names.append(node.settings.name)
    return rank_members(key, names)


def send_peer(node: NodeState, peer: str, message) -> actions.SendPeer:
    """Builds the action that sends a message to an entry host.

    Args:
        node: The state of this node.
        peer: A member, or this node itself.
        message: One of `kumquatspur.core.messages`.

    Returns:
        The action.
    """
    member = node.members.get(peer)
    address = member.address if member else node.settings.peer.address()
    return actions.SendPeer(peer, address, message)


def is_excluded(node: NodeState, name: str) -> bool:
    """Returns whether configuration or host list exclude a searcher.

    Args:
        node: The state of this node.
        name: The searcher's name.

    Returns:
        True if the searcher is not configured, is drained by the configuration
        or is leaving by the host list. It must get no new work then.
    """
    searcher = node.configuration.searchers.get(name)
    if searcher is None or name in node.configuration.drained:
        return True
    return bool(node.leaving_upstreams & {name, searcher.address})
