"""Chooses the snapshot of a query and the searchers that are asked.

Catalogues and their shards come from the configuration that was in force when
the query arrived; searchers and drains from the one in force now, so that a
searcher that was removed or drained meanwhile gets no new work.
"""

from kumquatspur.controllers import designs, placement
from kumquatspur.controllers.blackboard import Attempt, Blackboard, QueryState
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Catalogue, Configuration, Query, Searcher
from kumquatspur.policy import snapshot as snapshots
from kumquatspur.policy.replica_choice import Replica


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
    """Returns the shards of all layouts that a query may meet."""
    return {
        shard
        for catalogue in catalogues_of(configuration, query)
        for layout in catalogue.layouts
        for shard in layout.shards
    }


def wanted_shards(state: QueryState) -> tuple[str, ...]:
    """Returns the shards that the answer to a query is counted against.

    Args:
        state: The query.

    Returns:
        The shards wanted that belong to the snapshot chosen.
    """
    catalogues = catalogues_of(state.configuration, state.query)
    shards = snapshots.shards_at(catalogues, state.snapshot)
    if state.query.shards:
        return tuple(shard for shard in shards if shard in state.query.shards)
    return shards


def choose_snapshot(
    board: Blackboard, configuration: Configuration, query: Query, excluded
) -> int:
    """Chooses the snapshot that a query is answered from.

    Args:
        board: The blackboard.
        configuration: The configuration that the query runs under.
        query: The query.
        excluded: Snapshots that must not be chosen.

    Returns:
        The snapshot, or 0 if no usable searcher holds any.
    """
    relevant = all_shards(configuration, query)
    held = {shard: _held(board, shard) for shard in relevant}
    catalogues = catalogues_of(configuration, query)
    wanted = frozenset(query.shards)
    return snapshots.choose_snapshot(catalogues, held, excluded, wanted)


def _held(board: Blackboard, shard: str) -> set[int]:
    """Returns the snapshots that usable replicas of a shard hold."""
    held = set()
    for searcher in board.configuration.replicas.get(shard, ()):
        if not _usable(board, searcher.name):
            continue
        report = board.reports[searcher.name].report
        if report.reachable:
            held.update(report.held)
    return held


def choose_searcher(
    board: Blackboard, state: QueryState, shard: str, now: float
) -> str:
    """Chooses a searcher for a shard that was not asked yet.

    Args:
        board: The blackboard.
        state: The query.
        shard: The shard.
        now: The current time.

    Returns:
        The searcher's name, or "" if there is none.
    """
    tried = {
        attempt.searcher
        for attempt in state.attempts.get(shard, ())
        if not bounced(attempt)
    }
    replicas = []
    for searcher in board.configuration.replicas.get(shard, ()):
        if searcher.name in tried or not _usable(board, searcher.name):
            continue
        if state.snapshot not in board.reports[searcher.name].report.held:
            continue
        if placement.ranked_owners(board, searcher, now):
            replicas.append(_replica(board, searcher))
    replica = designs.choose(board, shard, replicas, now)
    return replica.searcher if replica else ""


def bounced(attempt: Attempt) -> bool:
    """Returns whether an owner declined an attempt for overload."""
    result = attempt.result
    return result is not None and result.reason is Reason.OVERLOADED


def _replica(board: Blackboard, searcher: Searcher) -> Replica:
    known = board.reports[searcher.name]
    return Replica(
        searcher=searcher.name,
        local=searcher.zone == board.settings.zone,
        reachable=known.report.reachable,
        backlog=known.report.backlog,
        slots=searcher.slots,
        latency_ms=known.report.latency_ms,
        in_flight=board.in_flight[searcher.name],
        in_flight_reported=known.in_flight,
    )


def _usable(board: Blackboard, searcher: str) -> bool:
    known = board.reports.get(searcher)
    if known is None or searcher in board.configuration.drained:
        return False
    return not known.report.draining
