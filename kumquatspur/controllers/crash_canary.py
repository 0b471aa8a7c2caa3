"""Limits a query whose content may have crashed an upstream to one shard.

While the query has a canary, one shard at a time is attempted. If the canary
shard is answered, the content is no longer suspected and all other shards are
attempted. If another searcher may have crashed, the query ends.
"""

from kumquatspur.controllers import query_scatter, replica_selection
from kumquatspur.controllers.node_state import Canary, NodeState, QueryState
from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy import crash_suspects


def is_possible_crash(result: ShardResult) -> bool:
    """Returns whether the upstream may have crashed while it ran the work.

    True if the connection failed after the request was sent.
    """
    return (
        result.reason is Reason.UPSTREAM_FAILED
        and result.verdict is Verdict.MAY_HAVE_RUN
    )


def handle_failed_attempt(query_state: QueryState, result: ShardResult) -> None:
    """Starts a canary, or stops the query, after a failed attempt.

    Args:
        query_state: The query.
        result: The result of the attempt, which is already recorded in it.
    """
    if _must_stop(query_state, result):
        _stop(query_state, result)
    elif query_state.canary is None and is_possible_crash(result):
        query_state.canary = Canary(result.searcher, result.shard)


def defer_retry(query_state: QueryState, shard: str) -> bool:
    """Queues the retry of a shard behind the canary of another shard.

    Returns:
        Whether the retry was queued.
    """
    canary = query_state.canary
    if canary is None or canary.shard == shard:
        return False
    canary.waiting.append(shard)
    return True


def is_stopped(query_state: QueryState) -> bool:
    """Returns whether the canary allows no further attempt."""
    return query_state.canary is not None and query_state.canary.stopped


def on_shard_answered(
    node: NodeState, query_state: QueryState, shard: str, now: float
):
    """Attempts all waiting shards once the canary shard is answered.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: A shard that was answered.
        now: The current time.

    Returns:
        Actions.
    """
    canary = query_state.canary
    if canary is None or canary.stopped or canary.shard != shard:
        return []
    searchers = [
        searcher.name
        for searcher in node.configuration.searchers.values()
        if shard in searcher.shards
    ]
    query = query_state.query
    fingerprint = crash_suspects.fingerprint(query.service, query.content)
    node.crash_suspects.clear(fingerprint, searchers)
    query_state.canary = None
    chosen = []
    for waiting in canary.waiting:
        chosen += _choose(node, query_state, waiting, now)
    return query_scatter.send(node, query_state, chosen, now)


def on_shard_given_up(
    node: NodeState, query_state: QueryState, shard: str, now: float
):
    """Makes the next waiting shard the canary if the current one has failed.

    Args:
        node: The state of this node.
        query_state: The query.
        shard: The shard that got its final result.
        now: The current time.

    Returns:
        Actions.
    """
    canary = query_state.canary
    if canary is None or canary.stopped or canary.shard != shard:
        return []
    while canary.waiting:
        canary.shard = canary.waiting.pop(0)
        if chosen := _choose(node, query_state, canary.shard, now):
            return query_scatter.send(node, query_state, chosen, now)
    query_state.canary = None
    return []


def final_result(
    query_state: QueryState, shard: str, reason: Reason, searcher: str = ""
) -> ShardResult:
    """Builds the final result of a shard that is not answered.

    Args:
        query_state: The query.
        shard: The shard; none of its attempts is unfinished.
        reason: Why there are no hits.
        searcher: The searcher of the last attempt.

    Returns:
        The result with the combined verdict of all attempts.
    """
    attempts = query_state.attempts.get(shard, ())
    verdict = verdicts.combine(attempt.result.verdict for attempt in attempts)
    return ShardResult(shard, searcher, verdict, reason)


def _must_stop(query_state: QueryState, result: ShardResult) -> bool:
    if result.reason is Reason.CRASHES_UPSTREAMS:
        return True
    if not is_possible_crash(result):
        return False
    ended = [
        attempt.result
        for attempt in query_state.attempts[result.shard]
        if attempt.result is not None
    ]
    if sum(map(is_possible_crash, ended)) > 1:
        return True
    return (
        query_state.canary is not None
        and query_state.canary.shard == result.shard
    )


def _stop(query_state: QueryState, result: ShardResult) -> None:
    """Fails all waiting shards, and allows no further attempt."""
    if query_state.canary is None:
        query_state.canary = Canary(result.searcher, result.shard)
    query_state.canary.stopped = True
    for shard in query_state.canary.waiting:
        query_state.results[shard] = final_result(
            query_state, shard, Reason.CRASHES_UPSTREAMS
        )
    query_state.canary.waiting.clear()


def _choose(node, query_state: QueryState, shard: str, now: float) -> list:
    """Chooses a searcher for a waiting shard, or sets its final result."""
    attempts = query_state.attempts[shard]
    searcher = replica_selection.choose_searcher(node, query_state, shard, now)
    budget = query_scatter.hedge_budget(node, query_state.service)
    if searcher and (not attempts or budget.spend()):
        return [(shard, searcher)]
    reason = attempts[-1].result.reason if attempts else Reason.NO_REPLICA
    query_state.results[shard] = final_result(query_state, shard, reason)
    return []
