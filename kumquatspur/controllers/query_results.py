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
    query_state: QueryState,
    peer: str,
    sub_id: str,
    result: ShardResult,
    now: float,
) -> list:
    """Applies the result of one attempt.

    A result that matches no unfinished attempt is dropped and counted.

    Args:
        node: The state of this node.
        query_state: The query.
        peer: The owner that sent the result.
        sub_id: The sub-query that it answers.
        result: The result.
        now: The current time.

    Returns:
        Actions, such as a retry.
    """
    attempt = _find_attempt(query_state, peer, sub_id, result)
    if attempt is None:
        past = sub_id in query_state.past_sub_ids
        node.counters["late_results" if past else "foreign_results"] += 1
        return []
    if not _is_valid(query_state, result):
        node.counters["invalid_results"] += 1
        result = ShardResult(
            result.shard,
            attempt.searcher,
            Verdict.MAY_HAVE_RUN,
            Reason.UPSTREAM_FAILED,
        )
    query_scatter.end_attempt(node, attempt, result)
    _record_latency(node, query_state, attempt, now)
    if result.shard in query_state.results:
        node.counters["late_results"] += 1
        return []
    if result.reason is None:
        query_state.results[result.shard] = result
        return crash_canary.on_shard_answered(
            node, query_state, result.shard, now
        )
    return _retry_or_give_up(node, query_state, result, now)


def _record_latency(
    node, query_state: QueryState, attempt: Attempt, now
) -> None:
    service = query_state.service.name
    if attempt.result.reason is None:
        window = query_scatter.latency_window(node, service)
        window.add(now - attempt.started_at)


def finish_if_complete(node: NodeState, query_state: QueryState) -> list:
    """Ends a query if its answer is complete.

    It is complete when every shard has its final result, or when an early
    answer is allowed and the early coverage is reached.

    Args:
        node: The state of this node.
        query_state: The query.

    Returns:
        Actions.
    """
    if query_state.query.request_id not in node.queries:
        return []
    shards = replica_selection.wanted_shards(query_state)
    if all(shard in query_state.results for shard in shards):
        return _finish(node, query_state)
    if query_state.early_answer_allowed and _has_early_coverage(
        query_state, shards
    ):
        return finish_now(node, query_state)
    return []


def _has_early_coverage(query_state: QueryState, shards) -> bool:
    covered = sum(
        shard in query_state.results
        and query_state.results[shard].reason is None
        for shard in shards
    )
    return covered >= query_state.service.profile.early_coverage * len(shards)


def finish_now(node: NodeState, query_state: QueryState) -> list:
    """Ends a query with the results received so far.

    Args:
        node: The state of this node.
        query_state: The query.

    Returns:
        Actions.
    """
    return _finish(node, query_state)


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


def _find_attempt(
    query_state: QueryState, peer, sub_id, result
) -> Attempt | None:
    for attempt in query_state.attempts.get(result.shard, ()):
        same = attempt.sub_id == sub_id and attempt.owner == peer
        # The owner names no searcher in the result of a withdrawn item.
        same = same and result.searcher in (attempt.searcher, "")
        if same and attempt.result is None:
            return attempt
    return None


def _is_valid(query_state: QueryState, result: ShardResult) -> bool:
    if result.reason is not None:
        return not result.hits
    own_hits = all(hit.shard == result.shard for hit in result.hits)
    ran = result.verdict is Verdict.RAN
    return own_hits and ran and result.snapshot == query_state.snapshot


def _retry_or_give_up(node, query_state: QueryState, result: ShardResult, now):
    shard = result.shard
    attempts = query_state.attempts[shard]
    crash_canary.handle_failed_attempt(query_state, result)
    if any(attempt.result is None for attempt in attempts):
        if result.verdict is Verdict.NOT_RUN:
            # A hedge that was not run is not charged to the budget.
            query_scatter.hedge_budget(node, query_state.service).refund()
        return []
    verdict = _shard_verdict(query_state, shard)
    remaining_s = query_scatter.time_left_s(query_state, now)
    # An attempt that its owner declined did not reach a searcher.
    reached = sum(not replica_selection.was_overloaded(a) for a in attempts)
    step = next_step(
        verdict, query_state.query.repeatable, remaining_s, reached
    )
    if step is NextStep.RETRY and not crash_canary.is_stopped(query_state):
        if crash_canary.defer_retry(query_state, shard):
            return []
        searcher = replica_selection.choose_searcher(
            node, query_state, shard, now
        )
        if searcher and _try_charge_retry(node, query_state, result):
            chosen = [(shard, searcher)]
            may_wait = not replica_selection.has_several_untried(
                node, query_state, shard, now
            )
            return query_scatter.send(
                node, query_state, chosen, now, may_wait=may_wait
            )
    reason = reason_of_attempts(attempt.result for attempt in attempts)
    unavailable = replica_selection.is_snapshot_unavailable(
        node, query_state, shard, now
    )
    if unavailable and verdict is Verdict.NOT_RUN:
        reason = Reason.SNAPSHOT_NOT_HELD
    query_state.results[shard] = ShardResult(
        shard, result.searcher, verdict, reason
    )
    if reason is Reason.OVERLOADED:
        name = query_state.service.name
        node.throttles.setdefault(name, Throttle()).record_decline(now)
    not_held = reason is Reason.SNAPSHOT_NOT_HELD
    if not_held and remaining_s > MIN_ATTEMPT_S and query_state.canary is None:
        return _rechoose(node, query_state, now)
    return crash_canary.on_shard_given_up(node, query_state, shard, now)


def _try_charge_retry(node: NodeState, query_state: QueryState, result) -> bool:
    """Returns whether a retry is allowed, and charges the retry budget.

    A retry is free if the work was not run because its searcher is draining.
    """
    was_not_run = result.verdict is Verdict.NOT_RUN
    if was_not_run and replica_selection.takes_no_work(node, result.searcher):
        return True
    if result.reason is Reason.OVERLOADED:
        # Free as well: the owner declined it before it reached a searcher.
        node.counters["bounces"] += 1
        return True
    if query_scatter.retry_budget(node, query_state.service).spend():
        node.counters["retries"] += 1
        return True
    return False


def _rechoose(node: NodeState, query_state: QueryState, now: float) -> list:
    """Moves a query to another snapshot, once, if that one covers more."""
    safe = (
        query_state.query.repeatable
        or _query_verdict(query_state) is Verdict.NOT_RUN
    )
    if query_state.snapshot_rechosen or not safe:
        return []
    snapshot = replica_selection.choose_snapshot(
        node,
        query_state.configuration,
        query_state.query,
        now,
        _reported_held(query_state),
        query_state.snapshot,
    )
    if snapshot in (0, query_state.snapshot):
        return []
    node.counters["snapshot_rechosen"] += 1
    new_actions = query_scatter.cancel_unfinished(node, query_state)
    _abandon_snapshot(query_state)
    query_state.snapshot = snapshot
    return new_actions + query_scatter.scatter(node, query_state, now)


def _reported_held(query_state: QueryState) -> dict[str, tuple[int, ...]]:
    """Returns the snapshots of searchers that lacked the query's snapshot.

    Returns:
        The snapshots reported with the result of each attempt, by searcher.
    """
    return {
        attempt.searcher: attempt.result.held
        for attempts in query_state.attempts.values()
        for attempt in attempts
        if attempt.result is not None
        and attempt.result.reason is Reason.SNAPSHOT_NOT_HELD
    }


def _abandon_snapshot(query_state: QueryState) -> None:
    query_state.snapshot_rechosen = True
    query_state.fallback = _collect_results(
        query_state, Reason.SNAPSHOT_ABANDONED
    )
    query_state.past_verdicts = {
        shard: _shard_verdict(query_state, shard)
        for shard in query_state.attempts
    }
    query_state.past_sub_ids = {
        attempt.sub_id
        for attempts in query_state.attempts.values()
        for attempt in attempts
    }
    query_state.attempts.clear()
    query_state.results.clear()


def _collect_results(
    query_state: QueryState, unfinished_reason: Reason
) -> SnapshotResults:
    """Returns the results at the current snapshot.

    Args:
        query_state: The query.
        unfinished_reason: Reason given for shards without a final result.

    Returns:
        The results of all wanted shards.
    """
    results = tuple(
        query_state.results.get(shard)
        or ShardResult(shard, "", Verdict.MAY_HAVE_RUN, unfinished_reason)
        for shard in replica_selection.wanted_shards(query_state)
    )
    return SnapshotResults(query_state.snapshot, results)


def _attempt_verdict(attempt: Attempt) -> Verdict:
    if attempt.result is None:
        return Verdict.MAY_HAVE_RUN
    return attempt.result.verdict


def _shard_verdict(query_state: QueryState, shard: str) -> Verdict:
    past = query_state.past_verdicts.get(shard, Verdict.NOT_RUN)
    attempts = query_state.attempts.get(shard, ())
    return verdicts.combine([past, *map(_attempt_verdict, attempts)])


def _query_verdict(query_state: QueryState) -> Verdict:
    shards = query_state.attempts.keys() | query_state.past_verdicts.keys()
    return verdicts.combine(
        _shard_verdict(query_state, shard) for shard in shards
    )


def _finish(node: NodeState, query_state: QueryState) -> list:
    query = query_state.query
    del node.queries[query.request_id]
    new_actions = query_scatter.cancel_unfinished(node, query_state)
    claims.release(node, query, _query_verdict(query_state))
    latest = _collect_results(query_state, Reason.TIMED_OUT)
    best = max(filter(None, (latest, query_state.fallback)), key=_covered_share)
    results = [_with_verdict(query_state, result) for result in best.results]
    answer = build_answer(query.request_id, best.snapshot, query.limit, results)
    if answer.covered:
        return [*new_actions, actions.AnswerCaller(answer)]
    reasons = collections.Counter(result.reason for result in results)
    reason = reasons.most_common(1)[0][0] if reasons else Reason.NO_REPLICA
    return [
        *new_actions,
        refuse(query.request_id, reason, _query_verdict(query_state)),
    ]


def _covered_share(snapshot_results: SnapshotResults) -> float:
    covered = sum(result.reason is None for result in snapshot_results.results)
    return covered / max(1, len(snapshot_results.results))


def _with_verdict(query_state: QueryState, result: ShardResult) -> ShardResult:
    """Replaces a failed shard's verdict by that over both snapshots."""
    if result.reason is None:
        return result
    verdict = _shard_verdict(query_state, result.shard)
    return dataclasses.replace(result, verdict=verdict)
