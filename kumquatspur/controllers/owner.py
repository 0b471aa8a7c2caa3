"""Executes sub-queries on the searchers that this node owns."""

from kumquatspur.controllers import (
    crash_guard,
    searcher_dispatch,
    searcher_state,
    sub_query_results,
)
from kumquatspur.controllers.node_state import NodeState, SubQueryState
from kumquatspur.core import actions, events
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult
from kumquatspur.core.verdict import Outcome, Phase, Verdict, verdict_of
from kumquatspur.policy import crash_suspects
from kumquatspur.policy.draining import Signal
from kumquatspur.policy.searcher_queue import SearcherQueue

SUB_ID_RETENTION_S = 60.0

_FAILURE_REASON = {
    Outcome.DECLINED: Reason.REFUSED,
    Outcome.REJECTED: Reason.UPSTREAM_FAILED,
    Outcome.FAILED: Reason.UPSTREAM_FAILED,
    Outcome.TIMED_OUT: Reason.TIMED_OUT,
    Outcome.CANCELLED: Reason.TIMED_OUT,
}


def on_sub_query(node: NodeState, peer: str, message, now: float):
    """Queues the items of a sub-query.

    Args:
        node: The state of this node.
        peer: The entry host that sent it.
        message: The `SubQuery`.
        now: The current time.

    Returns:
        Actions.
    """
    if _is_duplicate(node, message, now):
        node.counters["duplicate_sub_queries"] += 1
        return []
    sub_query_state = SubQueryState(message, peer)
    node.sub_queries[message.sub_id] = sub_query_state
    deadline = now + message.remaining_ms / 1000.0
    flush_at = now + message.flush_after_ms / 1000.0
    node.schedule(deadline, events.SubQueryDeadlineDue(message.sub_id))
    node.schedule(flush_at, events.SubQueryFlushDue(message.sub_id))
    fingerprint = crash_suspects.fingerprint(message.service, message.content)
    crashed_searcher = message.suspect_of or crash_guard.find_crashed_searcher(
        node, fingerprint, now
    )
    admitted_queues = []
    for target in message.targets:
        queue = searcher_state.queue_of(node, target.searcher)
        item = _build_item(
            node, message, target, deadline, fingerprint, crashed_searcher
        )
        reason = _admit(node, queue, message, item, now)
        if reason is None:
            sub_query_state.pending[target.shard] = item
            admitted_queues.append(queue)
        else:
            sub_query_state.ready.append(
                ShardResult(
                    target.shard, target.searcher, Verdict.NOT_RUN, reason
                )
            )
    new_actions = []
    for queue in admitted_queues:
        new_actions += searcher_dispatch.dispatch(node, queue, now)
    return new_actions + sub_query_results.reply(node, sub_query_state, now)


def on_upstream_answered(
    node: NodeState, event: events.UpstreamAnswered, now: float
):
    """Completes the items of a request with the searcher's results.

    Args:
        node: The state of this node.
        event: The searcher's answer.
        now: The current time.

    Returns:
        Actions.
    """
    queue = node.queues.get(node.call_searchers.pop(event.call_id, ""))
    none_succeeded = all(entry.result.reason for entry in event.results)
    call = (
        queue.finish(event.call_id, now, not none_succeeded) if queue else None
    )
    if call is None:
        node.counters["late_upstream_answers"] += 1
        return []
    if event.draining:
        searcher_state.drain_state_of(node, queue).record_signal(
            Signal.ANSWER, now
        )
    searcher_state.record_state(node, queue, event.held, now)
    results = {entry.item_id: entry.result for entry in event.results}
    new_actions = []
    for item in call.items:
        result = results.get(item.item_id)
        if result is None or not _matches_item(item, result):
            result = sub_query_results.failed_result(
                queue, item, Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_FAILED
            )
        new_actions += sub_query_results.complete(node, item, result, now)
    return new_actions + searcher_dispatch.dispatch(node, queue, now)


def on_upstream_failed(
    node: NodeState, event: events.UpstreamFailed, now: float
):
    """Ends the items of a request that failed.

    Args:
        node: The state of this node.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    queue = node.queues.get(node.call_searchers.pop(event.call_id, ""))
    call = _end_failed_call(queue, event, now) if queue else None
    if call is None:
        return []
    new_actions = crash_guard.on_call_failed(node, queue, call, event, now)
    if _marks_unreachable(event):
        queue.reachable = False
        new_actions += _handle_connection_refused(node, queue, event, now)
        searcher_state.publish(node, queue, now)
    verdict = verdict_of(event.phase, event.outcome)
    reason = _FAILURE_REASON[event.outcome]
    for item in call.items:
        result = sub_query_results.failed_result(queue, item, verdict, reason)
        new_actions += sub_query_results.complete(node, item, result, now)
    return new_actions + searcher_dispatch.dispatch(node, queue, now)


def on_flush_due(node: NodeState, event: events.SubQueryFlushDue, now):
    """Sends the results of a sub-query that are ready.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    sub_query_state = node.sub_queries.get(event.sub_id)
    if sub_query_state is None:
        return []
    sub_query_state.flush_time_passed = True
    return sub_query_results.reply(node, sub_query_state, now)


def on_sub_query_deadline(
    node: NodeState, event: events.SubQueryDeadlineDue, now: float
):
    """Ends the unfinished items of a sub-query at its deadline.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    node.unexpired_sub_ids.discard(event.sub_id)
    sub_query_state = node.sub_queries.get(event.sub_id)
    if sub_query_state is None:
        return []
    sub_query_state.flush_time_passed = True
    return sub_query_results.abandon(
        node, sub_query_state, list(sub_query_state.pending), now
    )


def on_cancel(node: NodeState, peer: str, message, now: float):
    """Withdraws items whose results are no longer needed.

    Args:
        node: The state of this node.
        peer: The entry host that sent the sub-query.
        message: The `CancelSubQuery`.
        now: The current time.

    Returns:
        Actions.
    """
    sub_query_state = node.sub_queries.get(message.sub_id)
    if sub_query_state is None or sub_query_state.sender != peer:
        return []
    new_actions = []
    for shard in message.shards:
        sub_query_results.withdraw(node, sub_query_state, shard, new_actions)
    return new_actions + sub_query_results.reply(node, sub_query_state, now)


def _marks_unreachable(event: events.UpstreamFailed) -> bool:
    """Returns whether a failed call makes the searcher unreachable."""
    connecting = event.phase is Phase.CONNECTING
    connect_timed_out = connecting and event.outcome is Outcome.TIMED_OUT
    return connect_timed_out or event.outcome in (
        Outcome.FAILED,
        Outcome.REJECTED,
    )


def _end_failed_call(queue: SearcherQueue, event, now: float):
    if event.outcome is Outcome.CANCELLED:
        return queue.cancel(event.call_id, now)
    return queue.finish(event.call_id, now, succeeded=False)


def _build_item(
    node,
    message,
    target,
    deadline: float,
    fingerprint: str,
    crashed_searcher: str,
) -> actions.Item:
    return actions.Item(
        item_id=node.new_id(),
        shard=target.shard,
        content=message.content,
        limit=message.limit,
        snapshot=message.snapshot,
        deadline=deadline,
        repeatable=message.repeatable,
        hedge=message.hedge,
        sub_id=message.sub_id,
        fingerprint=fingerprint,
        suspect_of=crashed_searcher,
    )


def _admit(node, queue, message, item, now: float) -> Reason | None:
    if queue is None:
        return Reason.NO_REPLICA
    if item.suspect_of and not queue.reachable:
        # Only a reachable searcher can show whether the content crashes it.
        return Reason.UPSTREAM_FAILED
    return queue.admit(item, now, message.may_wait)


def _is_duplicate(node: NodeState, message, now: float) -> bool:
    """Returns whether a sub-query was received before."""
    if message.sub_id in node.unexpired_sub_ids:
        return True
    node.unexpired_sub_ids.add(message.sub_id)
    if message.repeatable:
        return False
    recent = node.unrepeatable_sub_ids
    while recent and next(iter(recent.values())) <= now:
        del recent[next(iter(recent))]
    if message.sub_id in recent:
        return True
    recent[message.sub_id] = now + SUB_ID_RETENTION_S
    return False


def _matches_item(item: actions.Item, result: ShardResult) -> bool:
    covers = result.reason is None
    same_snapshot = not covers or result.snapshot == item.snapshot
    return result.shard == item.shard and same_snapshot


def _handle_connection_refused(
    node, queue: SearcherQueue, event, now: float
) -> list:
    """Probes an upstream that refused a connection: is it draining or down?"""
    refused = (Phase.CONNECTING, Outcome.FAILED)
    if (event.phase, event.outcome) != refused:
        return []
    searcher_state.drain_state_of(node, queue).record_signal(
        Signal.CONNECTION_REFUSED, now
    )
    return [actions.ProbeUpstream(queue.searcher)]
