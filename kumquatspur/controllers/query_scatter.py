"""Sends the sub-queries of a query to the owners of the chosen searchers."""

from collections import defaultdict

from kumquatspur.controllers import (
    crash_guard,
    designs,
    placement,
    replica_selection,
)
from kumquatspur.controllers.node_state import Attempt, NodeState, QueryState
from kumquatspur.core import events, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Service, ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.budget import (
    HEDGE_BURST_TOKENS,
    RETRY_BURST_TOKENS,
    RETRY_SHARE,
    ExtraAttemptBudget,
)
from kumquatspur.policy.hedging import (
    LatencyWindow,
    flush_delay_s,
    hedge_delay_s,
)

# Time reserved before the deadline to merge and send the answer.
ANSWER_MARGIN_S = 0.005


def scatter(node: NodeState, query_state: QueryState, now: float) -> list:
    """Makes the first attempt for each shard of the snapshot chosen.

    Args:
        node: The state of this node.
        query_state: The query; shards without a replica get their final result.
        now: The current time.

    Returns:
        Actions.
    """
    chosen = []
    for shard in replica_selection.wanted_shards(query_state):
        query_state.attempts.setdefault(shard, [])
        searcher = replica_selection.choose_searcher(
            node, query_state, shard, now
        )
        if searcher:
            chosen.append((shard, searcher))
        else:
            reason = replica_selection.missing_reason(
                node, query_state, shard, now
            )
            query_state.results[shard] = ShardResult(
                shard, "", Verdict.NOT_RUN, reason
            )
    chosen = crash_guard.start_canary(node, query_state, chosen, now)
    hedge_budget(node, query_state.service).earn(len(chosen))
    retry_budget(node, query_state.service).earn(len(chosen))
    _schedule(node, query_state, now)
    # The first attempt at a shard with several replicas must not wait for
    # a slot: if none is free, the owner declines it and another one is tried.
    queueable, immediate = _split_by_replica_count(node, query_state, chosen)
    return [
        *send(node, query_state, queueable, now),
        *send(node, query_state, immediate, now, may_wait=False),
    ]


def _schedule(node: NodeState, query_state: QueryState, now: float) -> None:
    request_id = query_state.query.request_id
    if designs.design_of(node).hedges:
        due = now + second_attempt_delay_s(node, query_state, now)
        node.schedule(due, events.QueryHedgeDue(request_id))
    share = query_state.service.profile.early_share
    if share < 1.0:
        due = now + share * time_left_s(query_state, now)
        node.schedule(due, events.QueryEarlyDue(request_id))


def _split_by_replica_count(node: NodeState, query_state: QueryState, chosen):
    """Splits attempts into those that may wait for a slot and all others."""
    if query_state.canary or not designs.design_of(node).single_owner:
        return chosen, []
    replicas = node.configuration.replicas
    immediate = [pair for pair in chosen if len(replicas[pair[0]]) > 1]
    return [pair for pair in chosen if pair not in immediate], immediate


def send(
    node: NodeState,
    query_state: QueryState,
    chosen,
    now: float,
    *,
    hedge: bool = False,
    may_wait: bool = True,
) -> list:
    """Sends attempts, with one message to each owner.

    Args:
        node: The state of this node.
        query_state: The query.
        chosen: Pairs of shard and searcher.
        now: The current time.
        hedge: Whether the attempts are hedges.
        may_wait: Whether owners may queue them until a slot is free.

    Returns:
        Actions.
    """
    by_owner = defaultdict(list)
    for shard, name in chosen:
        searcher = node.configuration.searchers[name]
        owner = placement.ranked_owners(node, searcher, now)[0]
        by_owner[owner].append(messages.Target(shard, name))
    new_actions = []
    for owner, targets in by_owner.items():
        sub_query = _build_sub_query(
            node, query_state, targets, now, hedge, may_wait
        )
        for target in targets:
            node.in_flight[target.searcher] += 1
            attempt = Attempt(
                sub_query.sub_id,
                owner,
                target.searcher,
                now,
                may_wait=may_wait,
            )
            query_state.attempts[target.shard].append(attempt)
        new_actions.append(placement.send_peer(node, owner, sub_query))
    return new_actions


def _build_sub_query(
    node: NodeState, query_state: QueryState, targets, now, hedge, may_wait
) -> messages.SubQuery:
    query = query_state.query
    return messages.SubQuery(
        sub_id=node.new_id(),
        request_id=query.request_id,
        service=query.service,
        content=query.content,
        limit=query.limit,
        snapshot=query_state.snapshot,
        remaining_ms=time_left_s(query_state, now) * 1000.0,
        flush_after_ms=flush_delay_s(
            _window(node, query_state), time_left_s(query_state, now)
        )
        * 1000.0,
        repeatable=query.repeatable,
        hedge=hedge,
        may_wait=may_wait,
        targets=tuple(targets),
        suspect_of=query_state.canary.suspect_of if query_state.canary else "",
    )


def cancel_unfinished(
    node: NodeState, query_state: QueryState, only=None
) -> list:
    """Cancels the unfinished attempts of a query.

    Args:
        node: The state of this node.
        query_state: The query.
        only: The shards to cancel; None for all.

    Returns:
        Actions.
    """
    unfinished = defaultdict(list)
    for shard, attempts in query_state.attempts.items():
        if only is not None and shard not in only:
            continue
        for attempt in attempts:
            if attempt.result is None:
                end_attempt(node, attempt, _cancelled(shard, attempt))
                unfinished[(attempt.owner, attempt.sub_id)].append(shard)
    return [
        placement.send_peer(
            node, owner, messages.CancelSubQuery(sub_id, tuple(shards))
        )
        for (owner, sub_id), shards in unfinished.items()
        if owner == node.settings.name or owner in node.members
    ]


def _cancelled(shard: str, attempt: Attempt) -> ShardResult:
    return ShardResult(
        shard, attempt.searcher, Verdict.MAY_HAVE_RUN, Reason.TIMED_OUT
    )


def end_attempt(node: NodeState, attempt: Attempt, result: ShardResult) -> None:
    """Records the result of an attempt.

    Args:
        node: The state of this node.
        attempt: An unfinished attempt.
        result: Its result.
    """
    attempt.result = result
    node.in_flight[attempt.searcher] -= 1


def time_left_s(query_state: QueryState, now: float) -> float:
    """Returns the seconds until a query's answer must be built."""
    return query_state.query.deadline - ANSWER_MARGIN_S - now


def hedge_budget(node: NodeState, service: Service) -> ExtraAttemptBudget:
    """Returns the budget of a service's hedges.

    Retries of shards that waited for a canary are charged to it too.

    Args:
        node: The state of this node.
        service: The service.

    Returns:
        The budget. Its share is updated at each call, as the configuration may
        have changed.
    """
    budget = node.hedge_budgets.get(service.name)
    if budget is None:
        share = service.profile.hedge_share
        budget = ExtraAttemptBudget(share, HEDGE_BURST_TOKENS)
        node.hedge_budgets[service.name] = budget
    budget.share = designs.hedge_share(node, service)
    return budget


def retry_budget(node: NodeState, service: Service) -> ExtraAttemptBudget:
    """Returns the budget of a service's retries of work that may have run."""
    budget = node.retry_budgets.get(service.name)
    if budget is None:
        budget = ExtraAttemptBudget(RETRY_SHARE, RETRY_BURST_TOKENS)
        node.retry_budgets[service.name] = budget
    return budget


def second_attempt_delay_s(
    node: NodeState, query_state: QueryState, now: float
) -> float:
    """Returns the delay after which a shard gets a second attempt.

    Args:
        node: The state of this node.
        query_state: The query.
        now: The current time.

    Returns:
        The delay in seconds, from the first attempt.
    """
    timeout_s = designs.attempt_timeout_s(node, query_state.service)
    if timeout_s is not None:
        return timeout_s
    return hedge_delay_s(
        _window(node, query_state),
        query_state.service.profile.hedge_quantile,
        time_left_s(query_state, now),
    )


def _window(node: NodeState, query_state: QueryState) -> LatencyWindow:
    return latency_window(node, query_state.service.name)


def latency_window(node: NodeState, service: str) -> LatencyWindow:
    """Returns the latencies of recent attempts for a service."""
    return node.latencies.setdefault(service, LatencyWindow())
