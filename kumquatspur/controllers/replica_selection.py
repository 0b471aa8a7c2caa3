"""Chooses the snapshot of a query and the searchers for its shards.

Catalogues and their shards come from the configuration in force when the query
started. Searchers and drains come from the one in force now, so that a searcher
that has since been removed or drained gets no new work.
"""

import types
from collections import defaultdict
from collections.abc import Mapping

from kumquatspur.controllers import designs, placement
from kumquatspur.controllers.node_state import (
    Attempt,
    NodeState,
    QueryState,
)
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import (
    Catalogue,
    Configuration,
    Query,
    Searcher,
)
from kumquatspur.policy import snapshot as snapshots
from kumquatspur.policy.missing_reason import reason_without_replica
from kumquatspur.policy.replica_choice import Replica

_NOTHING_REPORTED = types.MappingProxyType({})


def catalogues_of(
    configuration: Configuration, query: Query
) -> list[Catalogue]:
    """Returns the catalogues that a query searches.

    Args:
        configuration: A configuration that has the query's service.
        query: The query.

    Returns:
        The catalogues of its service.
    """
    service = configuration.services[query.service]
    return [configuration.catalogues[name] for name in service.catalogues]


def all_shards(configuration: Configuration, query: Query) -> set[str]:
    """Returns the shards of all layouts of a query's catalogues."""
    return {
        shard
        for catalogue in catalogues_of(configuration, query)
        for layout in catalogue.layouts
        for shard in layout.shards
    }


def snapshot_shards(query_state: QueryState) -> tuple[str, ...]:
    """Returns the shards that make up the snapshot chosen for a query."""
    catalogues = catalogues_of(query_state.configuration, query_state.query)
    return snapshots.shards_at(catalogues, query_state.snapshot)


def wanted_shards(query_state: QueryState) -> tuple[str, ...]:
    """Returns the shards against which the coverage of a query is computed.

    Args:
        query_state: The query.

    Returns:
        The shards that the caller named, including those that the snapshot
        does not have. If the caller named none, all shards of the snapshot.
    """
    named = tuple(dict.fromkeys(query_state.query.shards))
    return named or snapshot_shards(query_state)


def choose_snapshot(
    node: NodeState,
    configuration: Configuration,
    query: Query,
    now: float,
    reported_held: Mapping[str, tuple[int, ...]] = _NOTHING_REPORTED,
    current: int = 0,
) -> int:
    """Chooses the snapshot that a query is answered from.

    Searchers reported as unreachable count only if no other has a snapshot.

    Args:
        node: The state of this node.
        configuration: The configuration that the query runs under.
        query: The query.
        now: The current time.
        reported_held: Snapshots that searchers reported in reply to this query,
            by searcher. They replace those of the latest reports.
        current: The snapshot to keep unless another one covers more.

    Returns:
        The snapshot, or 0 if no usable searcher has any.
    """
    catalogues = catalogues_of(configuration, query)
    wanted = frozenset(query.shards)
    usable = _usable_replicas(node, all_shards(configuration, query), now)
    reachable = [
        pair for pair in usable if node.reports[pair[1]].report.reachable
    ]
    for replicas in (reachable, usable):
        held = defaultdict(set)
        for shard, name in replicas:
            held[shard].update(
                reported_held.get(name, node.reports[name].report.held)
            )
        snapshot = snapshots.choose_snapshot(catalogues, held, wanted, current)
        if snapshot:
            return snapshot
    return 0


def _usable_replicas(
    node: NodeState, shards: set[str], now: float
) -> list[tuple[str, str]]:
    """Returns pairs of shard and searcher that may get work.

    The searcher has a report and is not draining, and its zone has an owner.
    """
    zone_has_owner = {}
    usable = []
    for shard in shards:
        for searcher in node.configuration.replicas.get(shard, ()):
            if searcher.zone not in zone_has_owner:
                owners = placement.ranked_owners(node, searcher, now)
                zone_has_owner[searcher.zone] = bool(owners)
            name = searcher.name
            has_report_and_owner = (
                name in node.reports and zone_has_owner[searcher.zone]
            )
            if has_report_and_owner and not takes_no_work(node, name):
                usable.append((shard, name))
    return usable


def choose_searcher(
    node: NodeState, query_state: QueryState, shard: str, now: float
) -> str:
    """Chooses a searcher for the next attempt at a shard.

    The candidates are the reachable searchers without an attempt. If there are
    fewer than two, they are all available searchers that no earlier attempt
    excludes, including unreachable ones.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: The shard.
        now: The current time.

    Returns:
        The searcher's name, or "" if there is none.
    """
    excluded = {
        a.searcher
        for a in query_state.attempts.get(shard, ())
        if _excludes_searcher(a)
    }
    candidates = _untried(node, query_state, shard, now)
    if len(candidates) < 2:
        candidates = [
            searcher
            for searcher in node.configuration.replicas.get(shard, ())
            if searcher.name not in excluded
            and _exclusion_reason(node, query_state, searcher, now) is None
        ]
    replicas = [_replica(node, searcher) for searcher in candidates]
    replica = designs.choose(node, shard, replicas, now)
    return replica.searcher if replica else ""


def _untried(
    node: NodeState, query_state: QueryState, shard: str, now: float
) -> list[Searcher]:
    """Returns the available, reachable replicas without an attempt."""
    attempted = {
        attempt.searcher for attempt in query_state.attempts.get(shard, ())
    }
    return [
        searcher
        for searcher in node.configuration.replicas.get(shard, ())
        if searcher.name not in attempted
        and _exclusion_reason(node, query_state, searcher, now) is None
        and node.reports[searcher.name].report.reachable
    ]


def _replica(node: NodeState, searcher: Searcher) -> Replica:
    received = node.reports[searcher.name]
    return Replica(
        searcher=searcher.name,
        local=searcher.zone == node.settings.zone,
        reachable=received.report.reachable,
        backlog=received.report.backlog,
        slots=searcher.slots,
        latency_ms=received.report.latency_ms,
        in_flight=node.in_flight[searcher.name],
        in_flight_at_report=received.in_flight,
    )


def has_several_untried(
    node: NodeState, query_state: QueryState, shard: str, now: float
) -> bool:
    """Returns whether two or more reachable replicas are still untried.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: The shard.
        now: The current time.

    Returns:
        True if so. The owner of the next attempt should then decline it when
        it has no free slot, as there is another replica to try.
    """
    return len(_untried(node, query_state, shard, now)) > 1


def was_overloaded(attempt: Attempt) -> bool:
    """Returns whether an owner declined an attempt due to overload."""
    result = attempt.result
    return result is not None and result.reason is Reason.OVERLOADED


def missing_reason(
    node: NodeState, query_state: QueryState, shard: str, now: float
) -> Reason:
    """Returns why no searcher is available for a shard.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: A shard for which `choose_searcher` found none.
        now: The current time.

    Returns:
        The reason.
    """
    if shard not in snapshot_shards(query_state):
        return Reason.UNKNOWN_SHARD
    reasons = [
        _exclusion_reason(node, query_state, searcher, now)
        for searcher in node.configuration.replicas.get(shard, ())
    ]
    return reason_without_replica(filter(None, reasons))


def is_snapshot_unavailable(
    node: NodeState, query_state: QueryState, shard: str, now: float
) -> bool:
    """Returns whether no replica of a shard has the query's snapshot any more.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: The shard.
        now: The current time.

    Returns:
        True if all replicas are excluded, at least one of them because it does
        not have the snapshot.
    """
    reasons = {
        _exclusion_reason(node, query_state, searcher, now)
        for searcher in node.configuration.replicas.get(shard, ())
    }
    return None not in reasons and Reason.SNAPSHOT_NOT_HELD in reasons


def _exclusion_reason(
    node: NodeState, query_state: QueryState, searcher: Searcher, now: float
) -> Reason | None:
    if placement.is_excluded(node, searcher.name):
        return Reason.REFUSED
    if not placement.ranked_owners(node, searcher, now):
        return Reason.ZONE_UNREACHABLE
    received = node.reports.get(searcher.name)
    if received is None:
        return Reason.NO_REPLICA
    if received.report.draining:
        reachable = received.report.reachable
        return Reason.REFUSED if reachable else Reason.UPSTREAM_FAILED
    # The snapshots of a searcher that its owner has never reached are unknown.
    unknown = not received.report.reachable and not received.report.held
    if unknown or query_state.snapshot in received.report.held:
        return None
    return Reason.SNAPSHOT_NOT_HELD


def _excludes_searcher(attempt: Attempt) -> bool:
    """Returns whether an attempt rules out another one at its searcher.

    It does not if the owner disconnected, or declined an attempt that could
    not wait for a slot.
    """
    if was_overloaded(attempt):
        return attempt.may_wait
    result = attempt.result
    return result is None or result.reason is not Reason.PEER_LOST


def takes_no_work(node: NodeState, name: str) -> bool:
    """Returns whether a searcher must get no new work.

    It must not if its latest report says draining, or if configuration or host
    list exclude it.
    """
    received = node.reports.get(name)
    reported_draining = received is not None and received.report.draining
    return reported_draining or placement.is_excluded(node, name)
