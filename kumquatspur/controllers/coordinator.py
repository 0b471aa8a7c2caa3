"""Coordinates queries: handles events of callers, owners and timers."""

import dataclasses

from kumquatspur.controllers import (
    claims,
    crash_guard,
    designs,
    query_results,
    query_scatter,
    replica_selection,
)
from kumquatspur.controllers.node_state import NodeState, QueryState
from kumquatspur.core import events
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query, ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.admission import retry_after_s
from kumquatspur.policy.hedging import RECHECK_S
from kumquatspur.policy.retry import MIN_ATTEMPT_S

CLOCK_TOLERANCE_S = 0.0005
# Hedges of a query may queue for a slot after this multiple of the hedge delay,
# at the latest after this share of the query's time limit.
QUEUED_HEDGE_DELAY_FACTOR = 2.0
MAX_QUEUED_HEDGE_SHARE = 0.6


def on_query(node: NodeState, event: events.QueryReceived, now: float):
    """Starts a query.

    Args:
        node: The state of this node.
        event: The caller's query.
        now: The current time.

    Returns:
        Actions: messages to owners, or a refusal.
    """
    query = event.query
    reason = _refusal_reason(node, query, now)
    if reason is not None:
        return [query_results.refuse(query.request_id, reason, Verdict.NOT_RUN)]
    if refusal := crash_guard.refuse(node, query, now):
        return refusal
    admitted = _admitted_share(node, query.service, now)
    if admitted < 1.0 and node.rng.random() >= admitted:
        return [
            query_results.refuse(
                query.request_id,
                Reason.OVERLOADED,
                Verdict.NOT_RUN,
                retry_after_s(admitted),
            )
        ]
    if query.idempotency_key:
        query = dataclasses.replace(query, repeatable=False)
        return claims.claim(node, query, start, now)
    return start(node, query, now)


def start(node: NodeState, query: Query, now: float) -> list:
    """Starts a query that may run.

    Args:
        node: The state of this node.
        query: The query.
        now: The current time.

    Returns:
        Actions: messages to owners, or a refusal.
    """
    # The configuration may have changed while the query waited for its claim.
    reason = _refusal_reason(node, query, now)
    snapshot = 0
    if reason is None:
        snapshot = replica_selection.choose_snapshot(
            node, node.configuration, query, now
        )
    if not snapshot:
        claims.release(node, query, Verdict.NOT_RUN)
        reason = reason or Reason.NO_SNAPSHOT
        return [query_results.refuse(query.request_id, reason, Verdict.NOT_RUN)]
    query_state = QueryState(query, node.configuration, snapshot, now)
    node.queries[query.request_id] = query_state
    node.schedule(
        max(now, query.deadline - query_scatter.ANSWER_MARGIN_S),
        events.QueryDeadlineDue(query.request_id),
    )
    new_actions = query_scatter.scatter(node, query_state, now)
    return new_actions + query_results.finish_if_complete(node, query_state)


def on_sub_answer(node: NodeState, peer: str, message, now: float):
    """Applies results received from an owner.

    Results of an unknown query or attempt are dropped and counted.

    Args:
        node: The state of this node.
        peer: The owner.
        message: The `SubAnswer`.
        now: The current time.

    Returns:
        Actions.
    """
    query_state = node.queries.get(message.request_id)
    if query_state is None:
        node.counters["late_results"] += len(message.results)
        return []
    new_actions = []
    for result in message.results:
        new_actions += query_results.apply_result(
            node, query_state, peer, message.sub_id, result, now
        )
    return new_actions + query_results.finish_if_complete(node, query_state)


def on_hedge_due(node: NodeState, event: events.QueryHedgeDue, now: float):
    """Sends second attempts, called hedges, for shards that are late.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    query_state = node.queries.get(event.request_id)
    if (
        query_state is None
        or query_state.canary
        or not query_state.query.repeatable
    ):
        return []
    delay_s = query_scatter.second_attempt_delay_s(node, query_state, now)
    budget = query_scatter.hedge_budget(node, query_state.service)
    chosen = []
    # Hedges of a query that is late for long may queue for a slot; earlier
    # ones are sent only where a slot is free.
    may_wait = now - query_state.started_at >= _queued_hedge_after_s(
        query_state, delay_s
    )
    for shard in _late_shards(query_state, now - delay_s):
        searcher = replica_selection.choose_searcher(
            node, query_state, shard, now
        )
        if searcher and budget.spend():
            chosen.append((shard, searcher))
    node.counters["hedges"] += len(chosen)
    if not designs.design_of(node).cancels_first:
        node.schedule(now + RECHECK_S, event)
        return query_scatter.send(
            node, query_state, chosen, now, hedge=True, may_wait=may_wait
        )
    shards = {shard for shard, _ in chosen}
    cancelled = query_scatter.cancel_unfinished(node, query_state, shards)
    return query_scatter.send(node, query_state, chosen, now) + cancelled


def _queued_hedge_after_s(query_state: QueryState, delay_s: float) -> float:
    """Returns the time after which hedges may queue, in seconds from start."""
    longest = MAX_QUEUED_HEDGE_SHARE * (
        query_state.query.deadline - query_state.started_at
    )
    return min(QUEUED_HEDGE_DELAY_FACTOR * delay_s, longest)


def _late_shards(query_state: QueryState, started_before: float) -> list[str]:
    """Returns the shards whose only unfinished attempt is late."""
    late = []
    for shard, attempts in query_state.attempts.items():
        running = [a for a in attempts if a.result is None]
        if shard in query_state.results or len(running) != 1:
            continue
        if running[0].started_at <= started_before + CLOCK_TOLERANCE_S:
            late.append(shard)
    return late


def on_early_due(node: NodeState, event: events.QueryEarlyDue, now: float):
    """Answers a query if it has the early coverage of its profile.

    Otherwise the query is answered as soon as that coverage is reached.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    query_state = node.queries.get(event.request_id)
    if query_state is None:
        return []
    query_state.early_answer_allowed = True
    return query_results.finish_if_complete(node, query_state)


def on_deadline_due(
    node: NodeState, event: events.QueryDeadlineDue, now: float
):
    """Answers a query with the results received by its deadline.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    query_state = node.queries.get(event.request_id)
    if query_state is None:
        return []
    return query_results.finish_now(node, query_state)


def on_peer_lost(node: NodeState, event: events.PeerLost, now: float):
    """Ends all unfinished attempts at an owner that disconnected.

    Args:
        node: The state of this node.
        event: The disconnected peer.
        now: The current time.

    Returns:
        Actions.
    """
    new_actions = []
    for query_state in list(node.queries.values()):
        unfinished = [
            (shard, attempt)
            for shard, attempts in query_state.attempts.items()
            for attempt in attempts
            if attempt.owner == event.peer and attempt.result is None
        ]
        for shard, attempt in unfinished:
            result = ShardResult(
                shard,
                attempt.searcher,
                Verdict.MAY_HAVE_RUN,
                Reason.PEER_LOST,
            )
            new_actions += query_results.apply_result(
                node, query_state, event.peer, attempt.sub_id, result, now
            )
        if unfinished:
            new_actions += query_results.finish_if_complete(node, query_state)
    return new_actions


def _admitted_share(node: NodeState, service: str, now: float) -> float:
    throttle = node.throttles.get(service)
    if throttle is None or not designs.design_of(node).throttles:
        return 1.0
    return throttle.admitted_share(now)


def _refusal_reason(node: NodeState, query: Query, now: float) -> Reason | None:
    configuration = node.configuration
    if not configuration.revision:
        return Reason.NO_CONFIGURATION
    if query.service not in configuration.services:
        return Reason.UNKNOWN_SERVICE
    known = replica_selection.all_shards(configuration, query)
    if not known.issuperset(query.shards):
        return Reason.UNKNOWN_SHARD
    if now + MIN_ATTEMPT_S > query.deadline - query_scatter.ANSWER_MARGIN_S:
        return Reason.TIMED_OUT
    return None
