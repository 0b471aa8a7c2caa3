"""Takes the results of a query's shards, and retries, chooses again or ends."""

from kumquatspur.controllers import query_scatter, replica_selection
from kumquatspur.controllers.blackboard import Attempt, Blackboard, QueryState
from kumquatspur.core import actions
from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Refusal, ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.admission import Throttle
from kumquatspur.policy.merge import build_answer
from kumquatspur.policy.retry import MIN_ATTEMPT_S, NextStep, next_step

RETRY_AFTER_S = 1.0

_MESSAGES = {
    Reason.NO_CONFIGURATION: "this host has no configuration yet",
    Reason.NO_SNAPSHOT: "no reachable searcher holds a snapshot",
    Reason.UNKNOWN_SERVICE: "the service is not configured",
    Reason.UNKNOWN_SHARD: "a shard named is not part of the service",
    Reason.OVERLOADED: "the searchers are busy; try again later",
    Reason.LEAVING: "this host is stopping",
}


def take_result(
    board: Blackboard,
    state: QueryState,
    peer: str,
    sub_id: str,
    result: ShardResult,
    now: float,
) -> list:
    """Takes the result of one attempt.

    A result that belongs to no attempt under way is dropped and counted.

    Args:
        board: The blackboard.
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
        board.counters["foreign_results"] += 1
        return []
    query_scatter.end_attempt(board, attempt, result)
    _note_attempt(board, state, attempt, now)
    if result.shard in state.results:
        board.counters["late_results"] += 1
        return []
    if result.reason is None and result.snapshot == state.snapshot:
        state.results[result.shard] = result
        return []
    return _retry_or_give_up(board, state, result, now)


def _note_attempt(board, state: QueryState, attempt: Attempt, now) -> None:
    service = state.service.name
    if attempt.result.reason is None:
        window = query_scatter.latency_window(board, service)
        window.add(now - attempt.started)
    elif replica_selection.bounced(attempt) and attempt.may_wait:
        board.throttles.setdefault(service, Throttle()).decline(now)


def finish_if_complete(board: Blackboard, state: QueryState) -> list:
    """Ends a query if every shard has its result.

    Args:
        board: The blackboard.
        state: The query.

    Returns:
        Actions.
    """
    if state.query.request_id not in board.queries:
        return []
    shards = replica_selection.wanted_shards(state)
    if all(shard in state.results for shard in shards):
        return _finish(board, state)
    if state.early and _suffices(state, shards):
        return finish_now(board, state)
    return []


def _suffices(state: QueryState, shards) -> bool:
    covered = sum(
        shard in state.results and state.results[shard].reason is None
        for shard in shards
    )
    return covered >= state.service.profile.early_coverage * len(shards)


def finish_now(board: Blackboard, state: QueryState) -> list:
    """Ends a query with the results that are there.

    Args:
        board: The blackboard.
        state: The query.

    Returns:
        Actions.
    """
    for shard in replica_selection.wanted_shards(state):
        if shard not in state.results:
            state.results[shard] = _unfinished(state, shard)
    return _finish(board, state)


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
        retry_after_s: When the caller may come back, in seconds.

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
        if same and attempt.result is None:
            return attempt
    return None


def _retry_or_give_up(board, state: QueryState, result: ShardResult, now):
    shard = result.shard
    attempts = state.attempts[shard]
    if any(attempt.result is None for attempt in attempts):
        if result.verdict is Verdict.NOT_RUN:
            # The hedge was declined and costs nothing.
            query_scatter.extra_budget(board, state.service).refund()
        return []
    verdict = verdicts.join(attempt.result.verdict for attempt in attempts)
    left = query_scatter.time_left_s(state, now)
    step = next_step(verdict, state.query.repeatable, left, len(attempts))
    if step is NextStep.RETRY:
        searcher = replica_selection.choose_searcher(board, state, shard, now)
        if searcher and _pay_for_retry(board, state, result):
            chosen = [(shard, searcher)]
            return query_scatter.send(board, state, chosen, now)
    if _should_rechoose(state, result, left):
        return _rechoose(board, state, result, now)
    state.results[shard] = ShardResult(
        shard, result.searcher, verdict, result.reason
    )
    return []


def _pay_for_retry(board, state: QueryState, result: ShardResult) -> bool:
    if result.reason is Reason.OVERLOADED:
        # An owner declined it at once: no searcher has seen it.
        board.counters["bounces"] += 1
        return True
    if query_scatter.extra_budget(board, state.service).spend():
        board.counters["retries"] += 1
        return True
    return False


def _should_rechoose(state: QueryState, result, left: float) -> bool:
    return (
        result.reason is Reason.SNAPSHOT_NOT_HELD
        and not state.rechosen
        and left > MIN_ATTEMPT_S
        and state.query.repeatable
    )


def _rechoose(board, state: QueryState, result: ShardResult, now: float):
    snapshot = replica_selection.choose_snapshot(
        board, state.configuration, state.query, {state.snapshot}
    )
    state.rechosen = True
    if not snapshot:
        state.results[result.shard] = result
        return []
    board.counters["snapshot_rechosen"] += 1
    for attempts in state.attempts.values():
        state.past_verdicts.extend(_verdict(attempt) for attempt in attempts)
    found = query_scatter.cancel_unfinished(board, state)
    state.snapshot = snapshot
    state.attempts.clear()
    state.results.clear()
    return found + query_scatter.scatter(board, state, now)


def _verdict(attempt: Attempt) -> Verdict:
    if attempt.result is None:
        return Verdict.MAY_HAVE_RUN
    return attempt.result.verdict


def _unfinished(state: QueryState, shard: str) -> ShardResult:
    attempts = state.attempts.get(shard, ())
    verdict = verdicts.join(_verdict(attempt) for attempt in attempts)
    return ShardResult(shard, "", verdict, Reason.TIMED_OUT)


def _finish(board: Blackboard, state: QueryState):
    query = state.query
    del board.queries[query.request_id]
    found = query_scatter.cancel_unfinished(board, state)
    answer = build_answer(
        query.request_id, state.snapshot, query.limit, state.results.values()
    )
    verdict = verdicts.join([answer.verdict, *state.past_verdicts])
    if not answer.covered:
        reasons = [missing.reason for missing in answer.missing]
        reason = reasons[0] if reasons else Reason.NO_REPLICA
        return [*found, refuse(query.request_id, reason, verdict)]
    return [*found, actions.AnswerCaller(answer)]
