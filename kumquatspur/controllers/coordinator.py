"""Coordinates queries: plan, scatter, hedge, retry, merge, answer."""

from collections import defaultdict

from kumquatspur.controllers import designs, placement
from kumquatspur.controllers.blackboard import Attempt, Blackboard, QueryState
from kumquatspur.core import actions, events, messages
from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import (
    Catalogue,
    Query,
    Refusal,
    Service,
    ShardResult,
)
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy import snapshot as snapshots
from kumquatspur.policy.budget import ExtraAttemptBudget
from kumquatspur.policy.merge import build_answer
from kumquatspur.policy.replica_choice import Replica
from kumquatspur.policy.retry import MIN_ATTEMPT_S, NextStep, next_step

RETRY_AFTER_S = 1.0
# Time kept back from the deadline for merging and sending the answer.
ANSWER_MARGIN_S = 0.005
MIN_HEDGE_DELAY_S = 0.004
UNKNOWN_SLOW_MS = 20.0

_MESSAGES = {
    Reason.NO_CONFIGURATION: "this host has no configuration yet",
    Reason.NO_SNAPSHOT: "no reachable searcher holds a snapshot",
    Reason.UNKNOWN_SERVICE: "the service is not configured",
    Reason.UNKNOWN_SHARD: "a shard named is not part of the service",
    Reason.LEAVING: "this host is stopping",
}


def on_query(board: Blackboard, event: events.QueryReceived, now: float):
    """Starts a query.

    Args:
        board: The blackboard.
        event: The caller's query.
        now: The current time.

    Returns:
        Actions: messages to owners, or a refusal.
    """
    query = event.query
    reason = _refusal_reason(board, query)
    if reason is None:
        snapshot = _choose_snapshot(board, query, frozenset(), now)
        if not snapshot:
            reason = Reason.NO_SNAPSHOT
    if reason is not None:
        return [_refuse(query.request_id, reason, Verdict.NOT_RUN)]
    state = QueryState(query, snapshot, now)
    board.queries[query.request_id] = state
    board.schedule(
        max(now, query.deadline - ANSWER_MARGIN_S),
        events.QueryDeadlineDue(query.request_id),
    )
    return _scatter(board, state, now)


def on_sub_answer(board: Blackboard, peer: str, message, now: float):
    """Takes results of an owner.

    Results of an unknown query or attempt are dropped and counted.

    Args:
        board: The blackboard.
        peer: The owner.
        message: The `SubAnswer`.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.queries.get(message.request_id)
    if state is None:
        board.counters["late_results"] += len(message.results)
        return []
    found = []
    for result in message.results:
        found += _take_result(board, state, peer, message.sub_id, result, now)
    return found + _finish_if_complete(board, state, now)


def on_hedge_due(board: Blackboard, event: events.QueryHedgeDue, now: float):
    """Sends a second attempt for shards that are late.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.queries.get(event.request_id)
    if state is None or not state.query.repeatable:
        return []
    budget = _budget(board, _service(board, state.query))
    chosen = []
    for shard, attempts in state.attempts.items():
        if shard in state.results or len(attempts) > 1:
            continue
        searcher = _choose_searcher(board, state, shard, now)
        if searcher and budget.spend():
            chosen.append((shard, searcher))
    board.counters["hedges"] += len(chosen)
    if not designs.design_of(board).cancels_first:
        return _send(board, state, chosen, True, now)
    shards = {shard for shard, _ in chosen}
    cancelled = _cancel_unfinished(board, state, shards)
    return _send(board, state, chosen, False, now) + cancelled


def on_deadline_due(
    board: Blackboard, event: events.QueryDeadlineDue, now: float
):
    """Answers a query with the results that are there.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.queries.get(event.request_id)
    if state is None:
        return []
    for shard in _shards(board, state.query, state.snapshot):
        if shard not in state.results:
            state.results[shard] = _unfinished(state, shard)
    return _finish(board, state)


def on_peer_lost(board: Blackboard, event: events.PeerLost, now: float):
    """Ends all attempts that were under way at a lost owner.

    Args:
        board: The blackboard.
        event: The lost peer.
        now: The current time.

    Returns:
        Actions.
    """
    found = []
    for state in list(board.queries.values()):
        lost = [
            (shard, attempt)
            for shard, attempts in state.attempts.items()
            for attempt in attempts
            if attempt.owner == event.peer and attempt.result is None
        ]
        for shard, attempt in lost:
            result = ShardResult(
                shard,
                attempt.searcher,
                Verdict.MAY_HAVE_RUN,
                Reason.PEER_LOST,
            )
            found += _take_result(
                board, state, event.peer, attempt.sub_id, result, now
            )
        if lost:
            found += _finish_if_complete(board, state, now)
    return found


def _service(board: Blackboard, query: Query) -> Service:
    return board.configuration.services[query.service]


def _catalogues(board: Blackboard, query: Query) -> list[Catalogue]:
    catalogues = board.configuration.catalogues
    return [catalogues[name] for name in _service(board, query).catalogues]


def _shards(board: Blackboard, query: Query, snapshot: int) -> tuple[str, ...]:
    if query.service not in board.configuration.services:
        return query.shards
    shards = snapshots.shards_at(_catalogues(board, query), snapshot)
    if query.shards:
        return tuple(shard for shard in shards if shard in query.shards)
    return shards


def _budget(board: Blackboard, service: Service) -> ExtraAttemptBudget:
    budget = board.budgets.get(service.name)
    if budget is None:
        budget = ExtraAttemptBudget(service.profile.hedge_share)
        board.budgets[service.name] = budget
    budget.share = designs.extra_share(board, service)
    return budget


def _refusal_reason(board: Blackboard, query: Query) -> Reason | None:
    if not board.configuration.revision:
        return Reason.NO_CONFIGURATION
    if query.service not in board.configuration.services:
        return Reason.UNKNOWN_SERVICE
    known = {
        shard
        for catalogue in _catalogues(board, query)
        for layout in catalogue.layouts
        for shard in layout.shards
    }
    if not known.issuperset(query.shards):
        return Reason.UNKNOWN_SHARD
    return None


def _refuse(request_id: str, reason: Reason, verdict: Verdict):
    message = _MESSAGES.get(reason, str(reason))
    return actions.RefuseCaller(
        Refusal(request_id, reason, verdict, RETRY_AFTER_S, message)
    )


def _usable(board: Blackboard, searcher: str) -> bool:
    known = board.reports.get(searcher)
    if known is None or searcher in board.configuration.drained:
        return False
    return not known.report.draining


def _choose_snapshot(board, query: Query, excluded, now: float) -> int:
    held = defaultdict(set)
    for name, searcher in board.configuration.searchers.items():
        if not _usable(board, name):
            continue
        report = board.reports[name].report
        if not report.reachable:
            continue
        for shard in searcher.shards:
            held[shard].update(report.held)
    catalogues = _catalogues(board, query)
    relevant = {
        shard
        for catalogue in catalogues
        for layout in catalogue.layouts
        for shard in layout.shards
    }
    held = {shard: held[shard] for shard in relevant if shard in held}
    wanted = frozenset(query.shards)
    return snapshots.choose_snapshot(catalogues, held, excluded, wanted)


def _choose_searcher(
    board: Blackboard, state: QueryState, shard: str, now: float
) -> str:
    tried = {a.searcher for a in state.attempts.get(shard, ())}
    replicas = []
    for searcher in board.configuration.searchers.values():
        if shard not in searcher.shards or searcher.name in tried:
            continue
        if not _usable(board, searcher.name):
            continue
        report = board.reports[searcher.name].report
        if state.snapshot not in report.held:
            continue
        if not placement.ranked_owners(board, searcher, now):
            continue
        replicas.append(
            Replica(
                searcher.name,
                searcher.zone == board.settings.zone,
                report.reachable,
                report.backlog,
                searcher.slots,
                report.latency_ms,
            )
        )
    replica = designs.choose(board, shard, replicas, now)
    return replica.searcher if replica else ""


def _scatter(board: Blackboard, state: QueryState, now: float):
    chosen = []
    for shard in _shards(board, state.query, state.snapshot):
        state.attempts.setdefault(shard, [])
        searcher = _choose_searcher(board, state, shard, now)
        if searcher:
            chosen.append((shard, searcher))
        else:
            state.results[shard] = ShardResult(
                shard, "", Verdict.NOT_RUN, Reason.NO_REPLICA
            )
    _budget(board, _service(board, state.query)).earn(len(chosen))
    delay_s = designs.attempt_timeout_s(board, _service(board, state.query))
    if delay_s is None:
        delay_s = _hedge_delay_s(board, chosen)
    if designs.design_of(board).second_attempts:
        due = events.QueryHedgeDue(state.query.request_id)
        board.schedule(now + delay_s, due)
    found = _send(board, state, chosen, False, now)
    return found + _finish_if_complete(board, state, now)


def _hedge_delay_s(board: Blackboard, chosen) -> float:
    slow = [board.reports[name].report.slow_ms for _, name in chosen]
    slow = sorted(value or UNKNOWN_SLOW_MS for value in slow)
    typical = slow[len(slow) // 2] if slow else UNKNOWN_SLOW_MS
    return max(MIN_HEDGE_DELAY_S, typical / 1000.0)


def _send(board: Blackboard, state: QueryState, chosen, hedge: bool, now):
    by_owner = defaultdict(list)
    for shard, name in chosen:
        searcher = board.configuration.searchers[name]
        owner = placement.ranked_owners(board, searcher, now)[0]
        by_owner[owner].append(messages.Target(shard, name))
    found = []
    query = state.query
    left_ms = (query.deadline - ANSWER_MARGIN_S - now) * 1000.0
    flush_ms = _hedge_delay_s(board, chosen) * 1000.0
    for owner, targets in by_owner.items():
        sub_query = messages.SubQuery(
            sub_id=board.new_id(),
            request_id=query.request_id,
            service=query.service,
            content=query.content,
            limit=query.limit,
            snapshot=state.snapshot,
            remaining_ms=left_ms,
            flush_after_ms=flush_ms,
            repeatable=query.repeatable,
            hedge=hedge,
            targets=tuple(targets),
        )
        for target in targets:
            state.attempts[target.shard].append(
                Attempt(sub_query.sub_id, owner, target.searcher, now)
            )
        found.append(_send_peer(board, owner, sub_query))
    return found


def _send_peer(board: Blackboard, peer: str, message):
    if peer == board.settings.name:
        address = board.settings.peer.address()
    else:
        address = board.members[peer].address
    return actions.SendPeer(peer, address, message)


def _take_result(board, state: QueryState, peer, sub_id, result, now):
    attempt = _find_attempt(state, peer, sub_id, result)
    if attempt is None:
        board.counters["foreign_results"] += 1
        return []
    attempt.result = result
    if result.shard in state.results:
        board.counters["late_results"] += 1
        return []
    if result.reason is None and result.snapshot == state.snapshot:
        state.results[result.shard] = result
        return []
    return _retry_or_give_up(board, state, result, now)


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
        return []
    verdict = verdicts.join(attempt.result.verdict for attempt in attempts)
    left = state.query.deadline - ANSWER_MARGIN_S - now
    step = next_step(verdict, state.query.repeatable, left, len(attempts))
    if step is NextStep.RETRY:
        searcher = _choose_searcher(board, state, shard, now)
        budget = _budget(board, _service(board, state.query))
        if searcher and budget.spend():
            board.counters["retries"] += 1
            return _send(board, state, [(shard, searcher)], False, now)
    if _should_rechoose(board, state, result, left):
        return _rechoose(board, state, result, now)
    state.results[shard] = ShardResult(
        shard, result.searcher, verdict, result.reason
    )
    return []


def _should_rechoose(board, state: QueryState, result, left: float) -> bool:
    return (
        result.reason is Reason.SNAPSHOT_NOT_HELD
        and not state.rechosen
        and left > MIN_ATTEMPT_S
        and state.query.repeatable
    )


def _rechoose(board, state: QueryState, result: ShardResult, now: float):
    snapshot = _choose_snapshot(board, state.query, {state.snapshot}, now)
    state.rechosen = True
    if not snapshot:
        state.results[result.shard] = result
        return []
    board.counters["snapshot_rechosen"] += 1
    for attempts in state.attempts.values():
        state.past_verdicts.extend(
            attempt.result.verdict if attempt.result else Verdict.MAY_HAVE_RUN
            for attempt in attempts
        )
    state.snapshot = snapshot
    state.attempts.clear()
    state.results.clear()
    return _scatter(board, state, now)


def _unfinished(state: QueryState, shard: str) -> ShardResult:
    found = [
        attempt.result.verdict if attempt.result else Verdict.MAY_HAVE_RUN
        for attempt in state.attempts.get(shard, ())
    ]
    return ShardResult(shard, "", verdicts.join(found), Reason.TIMED_OUT)


def _finish_if_complete(board, state: QueryState, now: float):
    if state.query.request_id not in board.queries:
        return []
    shards = _shards(board, state.query, state.snapshot)
    if all(shard in state.results for shard in shards):
        return _finish(board, state)
    return []


def _finish(board: Blackboard, state: QueryState):
    query = state.query
    del board.queries[query.request_id]
    found = _cancel_unfinished(board, state)
    answer = build_answer(
        query.request_id, state.snapshot, query.limit, state.results.values()
    )
    verdict = verdicts.join([answer.verdict, *state.past_verdicts])
    if not answer.covered:
        reasons = [missing.reason for missing in answer.missing]
        reason = reasons[0] if reasons else Reason.NO_REPLICA
        return [*found, _refuse(query.request_id, reason, verdict)]
    return [*found, actions.AnswerCaller(answer)]


def _cancel_unfinished(board: Blackboard, state: QueryState, only=None):
    late = defaultdict(list)
    for shard, attempts in state.attempts.items():
        if only is not None and shard not in only:
            continue
        for attempt in attempts:
            if attempt.result is None:
                late[(attempt.owner, attempt.sub_id)].append(shard)
    return [
        _send_peer(board, owner, messages.CancelSubQuery(sub_id, tuple(shards)))
        for (owner, sub_id), shards in late.items()
        if owner == board.settings.name or owner in board.members
    ]
