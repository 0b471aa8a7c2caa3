"""Applies the results of a query's shards.

A failed shard is retried, moves the query to another snapshot, or gets its
final result. The query is answered when all shards have a final result.
"""

import collections
import dataclasses

from kumquatspur.controllers import (
    claims,
    crash_canary,
    query_scatter,
    replica_selection,
)
from kumquatspur.controllers.node_state import (
    Attempt,
    NodeState,
    QueryState,
    SnapshotResults,
)
from kumquatspur.core import actions
from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Refusal, ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.admission import Throttle
from kumquatspur.policy.merge import build_answer
from kumquatspur.policy.missing_reason import reason_of_attempts
from kumquatspur.policy.retry import MIN_ATTEMPT_S, NextStep, next_step

RETRY_AFTER_S = 1.0

_MESSAGES = {
    Reason.NO_CONFIGURATION: "this host has no configuration yet",
    Reason.NO_SNAPSHOT: "no reachable searcher holds a snapshot",
    Reason.UNKNOWN_SERVICE: "the service is not configured",
    Reason.UNKNOWN_SHARD: "a shard named is not part of the service",
    Reason.OVERLOADED: "the searchers are busy; try again later",
    Reason.TIMED_OUT: "the deadline passed before any shard answered",
    Reason.LEAVING: "this host is stopping",
}


def apply_result(
    node: NodeState,
    state: QueryState,
    peer: str,
    sub_id: str,
    result: ShardResult,
    now: float,
) -> list:
    """Applies the result of one attempt.

    A result that matches no unfinished attempt is dropped and counted.

    Args:
        node: The state of this node.
        state: The query.
        peer: The owner that sent the result.
        sub_id: The sub-query that it answers.
        result: The result.
        now: The current time.

    Returns:
        Actions, such as a retry.
    """
    attempt = _find_attempt(state, peer, sub_id, result)
    if attempt is None:
        past = sub_id in state.past_sub_ids
        node.counters["late_results" if past else "foreign_results"] += 1
        return []
    if not _is_valid(state, result):
        node.counters["invalid_results"] += 1
        result = ShardResult(
            result.shard,
            attempt.searcher,
            Verdict.MAY_HAVE_RUN,
            Reason.UPSTREAM_FAILED,
        )
    query_scatter.end_attempt(node, attempt, result)
    _record_latency(node, state, attempt, now)
    if result.shard in state.results:
        node.counters["late_results"] += 1
        return []
    if result.reason is None:
        state.results[result.shard] = result
        return crash_canary.on_shard_answered(node, state, result.shard, now)
    return _retry_or_give_up(node, state, result, now)


def _record_latency(node, state: QueryState, attempt: Attempt, now) -> None:
    service = state.service.name
    if attempt.result.reason is None:
        window = query_scatter.latency_window(node, service)
        window.add(now - attempt.started_at)


def finish_if_complete(node: NodeState, state: QueryState) -> list:
    """Ends a query if its answer is complete.

    It is complete when every shard has its final result, or when an early
    answer is allowed and the early coverage is reached.

    Args:
        node: The state of this node.
        state: The query.

    Returns:
        Actions.
    """
    if state.query.request_id not in node.queries:
        return []
    shards = replica_selection.wanted_shards(state)
    if all(shard in state.results for shard in shards):
        return _finish(node, state)
    if state.early_answer_allowed and _has_early_coverage(state, shards):
        return finish_now(node, state)
    return []


def _has_early_coverage(state: QueryState, shards) -> bool:
    covered = sum(
        shard in state.results and state.results[shard].reason is None
        for shard in shards
    )
    return covered >= state.service.profile.early_coverage * len(shards)


def finish_now(node: NodeState, state: QueryState) -> list:
    """Ends a query with the results received so far.

    Args:
        node: The state of this node.
        state: The query.

    Returns:
        Actions.
    """
    return _finish(node, state)


def refuse(
    request_id: str,
    reason: Reason,
    verdict: Verdict,
    retry_after_s: float = RETRY_AFTER_S,
):
    """Builds a refusal.

    Args:
        request_id: The query's identifier.
        reason: Why it is refused.
        verdict: Whether any of it may have run.
        retry_after_s: Time after which the caller may retry, in seconds.

    Returns:
        The action.
    """
    message = _MESSAGES.get(reason, str(reason))
    return actions.RefuseCaller(
        Refusal(request_id, reason, verdict, retry_after_s, message)
    )


def _find_attempt(state: QueryState, peer, sub_id, result) -> Attempt | None:
    for attempt in state.attempts.get(result.shard, ()):
        same = attempt.sub_id == sub_id and attempt.owner == peer
        # The owner names no searcher in the result of a withdrawn item.
        same = same and result.searcher in (attempt.searcher, "")
        if same and attempt.result is None:
            return attempt
    return None


def _is_valid(state: QueryState, result: ShardResult) -> bool:
    if result.reason is not None:
        return not result.hits
    own_hits = all(hit.shard == result.shard for hit in result.hits)
    ran = result.verdict is Verdict.RAN
    return own_hits and ran and result.snapshot == state.snapshot


def _retry_or_give_up(node, state: QueryState, result: ShardResult, now):
    shard = result.shard
    attempts = state.attempts[shard]
    crash_canary.handle_failed_attempt(state, result)
    if any(attempt.result is None for attempt in attempts):
        if result.verdict is Verdict.NOT_RUN:
            # A hedge that was not run is not charged to the budget.
            query_scatter.hedge_budget(node, state.service).refund()
        return []
    verdict = _shard_verdict(state, shard)
    remaining_s = query_scatter.time_left_s(state, now)
    # An attempt that its owner declined did not reach a searcher.
    reached = sum(not replica_selection.was_declined(a) for a in attempts)
    step = next_step(verdict, state.query.repeatable, remaining_s, reached)
    if step is NextStep.RETRY and not crash_canary.is_stopped(state):
        if crash_canary.defer_retry(state, shard):
            return []
        searcher = replica_selection.choose_searcher(node, state, shard, now)
        if searcher and _try_charge_retry(node, state, result):
            chosen = [(shard, searcher)]
            may_wait = not replica_selection.has_several_untried(
                node, state, shard, now
            )
            return query_scatter.send(
                node, state, chosen, now, may_wait=may_wait
            )
    reason = reason_of_attempts(attempt.result for attempt in attempts)
    unavailable = replica_selection.is_snapshot_unavailable(
        node, state, shard, now
    )
    if unavailable and verdict is Verdict.NOT_RUN:
        reason = Reason.SNAPSHOT_NOT_HELD
    state.results[shard] = ShardResult(shard, result.searcher, verdict, reason)
    if reason is Reason.OVERLOADED:
        name = state.service.name
        node.throttles.setdefault(name, Throttle()).record_decline(now)
    not_held = reason is Reason.SNAPSHOT_NOT_HELD
    if not_held and remaining_s > MIN_ATTEMPT_S and state.canary is None:
        return _rechoose(node, state, now)
    return crash_canary.on_shard_given_up(node, state, shard, now)


def _try_charge_retry(node: NodeState, state: QueryState, result) -> bool:
    """Returns whether a retry is allowed, and charges the retry budget.

    A retry is free if the work was not run because its searcher is draining.
    """
    was_not_run = result.verdict is Verdict.NOT_RUN
    if was_not_run and replica_selection.is_draining(node, result.searcher):
        return True
    if result.reason is Reason.OVERLOADED:
        # Free as well: the owner declined it before it reached a searcher.
        node.counters["bounces"] += 1
        return True
    if query_scatter.retry_budget(node, state.service).spend():
        node.counters["retries"] += 1
        return True
    return False


def _rechoose(node: NodeState, state: QueryState, now: float) -> list:
    """Moves a query to another snapshot, once, if that one covers more."""
    safe = state.query.repeatable or _query_verdict(state) is Verdict.NOT_RUN
    if state.snapshot_rechosen or not safe:
        return []
    snapshot = replica_selection.choose_snapshot(
        node,
        state.configuration,
        state.query,
        now,
        _reported_held(state),
        state.snapshot,
    )
    if snapshot in (0, state.snapshot):
        return []
    node.counters["snapshot_rechosen"] += 1
    new_actions = query_scatter.cancel_unfinished(node, state)
    _abandon_snapshot(state)
    state.snapshot = snapshot
    return new_actions + query_scatter.scatter(node, state, now)


def _reported_held(state: QueryState) -> dict[str, tuple[int, ...]]:
    """Returns the snapshots of searchers that lacked the query's snapshot.

    Returns:
        The snapshots reported with the result of each attempt, by searcher.
    """
    return {
        attempt.searcher: attempt.result.held
        for attempts in state.attempts.values()
        for attempt in attempts
        if attempt.result is not None
        and attempt.result.reason is Reason.SNAPSHOT_NOT_HELD
    }


def _abandon_snapshot(state: QueryState) -> None:
    state.snapshot_rechosen = True
    state.fallback = _collect_results(state, Reason.SNAPSHOT_ABANDONED)
    state.past_verdicts = {
        shard: _shard_verdict(state, shard) for shard in state.attempts
    }
    state.past_sub_ids = {
        attempt.sub_id
        for attempts in state.attempts.values()
        for attempt in attempts
    }
    state.attempts.clear()
    state.results.clear()


def _collect_results(
    state: QueryState, unfinished_reason: Reason
) -> SnapshotResults:
    """Returns the results at the current snapshot.

    Args:
        state: The query.
        unfinished_reason: Reason given for shards without a final result.

    Returns:
        The results of all wanted shards.
    """
    results = tuple(
        state.results.get(shard)
        or ShardResult(shard, "", Verdict.MAY_HAVE_RUN, unfinished_reason)
        for shard in replica_selection.wanted_shards(state)
    )
    return SnapshotResults(state.snapshot, results)


def _attempt_verdict(attempt: Attempt) -> Verdict:
    if attempt.result is None:
        return Verdict.MAY_HAVE_RUN
    return attempt.result.verdict


def _shard_verdict(state: QueryState, shard: str) -> Verdict:
    past = state.past_verdicts.get(shard, Verdict.NOT_RUN)
    attempts = state.attempts.get(shard, ())
    return verdicts.combine([past, *map(_attempt_verdict, attempts)])


def _query_verdict(state: QueryState) -> Verdict:
    shards = state.attempts.keys() | state.past_verdicts.keys()
    return verdicts.combine(_shard_verdict(state, shard) for shard in shards)


def _finish(node: NodeState, state: QueryState) -> list:
    query = state.query
    del node.queries[query.request_id]
    new_actions = query_scatter.cancel_unfinished(node, state)
    claims.release(node, query, _query_verdict(state))
    latest = _collect_results(state, Reason.TIMED_OUT)
    best = max(filter(None, (latest, state.fallback)), key=_covered_share)
    results = [_with_verdict(state, result) for result in best.results]
    answer = build_answer(query.request_id, best.snapshot, query.limit, results)
    if answer.covered:
        return [*new_actions, actions.AnswerCaller(answer)]
    reasons = collections.Counter(result.reason for result in results)
    reason = reasons.most_common(1)[0][0] if reasons else Reason.NO_REPLICA
    return [
        *new_actions,
        refuse(query.request_id, reason, _query_verdict(state)),
    ]


def _covered_share(snapshot_results: SnapshotResults) -> float:
    covered = sum(result.reason is None for result in snapshot_results.results)
    return covered / max(1, len(snapshot_results.results))


def _with_verdict(state: QueryState, result: ShardResult) -> ShardResult:
    """Replaces a failed shard's verdict by that over both snapshots."""
    if result.reason is None:
        return result
    verdict = _shard_verdict(state, result.shard)
    return dataclasses.replace(result, verdict=verdict)
