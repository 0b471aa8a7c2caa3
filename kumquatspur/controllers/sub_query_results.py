"""Collects the results of sub-queries and replies to their senders."""

from kumquatspur.controllers import placement, searcher_state
from kumquatspur.controllers.node_state import NodeState, SubQueryState
from kumquatspur.core import actions, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.merge import merge_hits


def failed_result(queue, item, verdict, reason) -> ShardResult:
    """Builds the result of an item that has no hits."""
    return ShardResult(item.shard, queue.searcher.name, verdict, reason)


def complete(node, item: actions.Item, result: ShardResult, now: float):
    """Records the result of an item, and replies if a reply is due.

    Args:
        node: The state of this node.
        item: The item.
        result: Its result.
        now: The current time.

    Returns:
        Actions.
    """
    sub_query_state = node.sub_queries.get(item.sub_id)
    if (
        sub_query_state is None
        or sub_query_state.pending.pop(item.shard, None) is None
    ):
        node.counters["late_item_results"] += 1
        return []
    sub_query_state.ready.append(result)
    return reply(node, sub_query_state, now)


def reply(node: NodeState, sub_query_state: SubQueryState, now: float):
    """Sends the results of a sub-query that are due.

    Args:
        node: The state of this node.
        sub_query_state: The sub-query.
        now: The current time.

    Returns:
        Actions.
    """
    if sub_query_state.sub_query.sub_id not in node.sub_queries:
        return []
    if sub_query_state.pending and not _is_due(sub_query_state):
        return []
    if not sub_query_state.pending:
        node.sub_queries.pop(sub_query_state.sub_query.sub_id, None)
    if not sub_query_state.ready:
        return []
    results = _trim_hits(sub_query_state.ready, sub_query_state.sub_query.limit)
    names = sorted({result.searcher for result in results})
    reports = tuple(
        searcher_state.build_report(node.queues[name], now)
        for name in names
        if name in node.queues
        and searcher_state.is_known(node, node.queues[name])
    )
    sub_query_state.ready = []
    answer = messages.SubAnswer(
        sub_query_state.sub_query.sub_id,
        sub_query_state.sub_query.request_id,
        results,
        reports,
    )
    return [placement.send_peer(node, sub_query_state.sender, answer)]


def abandon(node: NodeState, sub_query_state: SubQueryState, shards, now):
    """Ends some shards of a sub-query without a result.

    Args:
        node: The state of this node.
        sub_query_state: The sub-query.
        shards: The shards.
        now: The current time.

    Returns:
        Actions.
    """
    new_actions = []
    for shard in shards:
        verdict = withdraw(node, sub_query_state, shard, new_actions)
        sub_query_state.ready.append(
            ShardResult(shard, "", verdict, Reason.TIMED_OUT)
        )
    return new_actions + reply(node, sub_query_state, now)


def withdraw(
    node, sub_query_state: SubQueryState, shard: str, new_actions: list
) -> Verdict:
    """Removes an item from its queue, or cancels its call if it is the last.

    Args:
        node: The state of this node.
        sub_query_state: The sub-query.
        shard: The shard of the item.
        new_actions: List that a cancellation is appended to.

    Returns:
        Whether the item may have run.
    """
    item = sub_query_state.pending.pop(shard, None)
    if item is None:
        return Verdict.NOT_RUN
    targets = sub_query_state.sub_query.targets
    name = next(t.searcher for t in targets if t.shard == shard)
    queue = node.queues.get(name)
    if queue is not None and item in queue.waiting:
        queue.waiting.remove(item)
        return Verdict.NOT_RUN
    for call_id, call in queue.calls.items() if queue else ():
        if item in call.items and not _is_needed(node, call):
            new_actions.append(actions.CancelUpstream(call_id))
    return Verdict.MAY_HAVE_RUN


def _is_due(sub_query_state: SubQueryState) -> bool:
    """Returns whether ready results must be sent now.

    Results are delayed until the flush time to share a reply. A failure is
    sent at once, so that the coordinator can retry.
    """
    if sub_query_state.flush_time_passed and sub_query_state.ready:
        return True
    return any(result.reason is not None for result in sub_query_state.ready)


def _trim_hits(results, limit: int) -> tuple[ShardResult, ...]:
    best = set(merge_hits((result.hits for result in results), limit))
    return tuple(
        ShardResult(
            result.shard,
            result.searcher,
            result.verdict,
            result.reason,
            result.snapshot,
            tuple(hit for hit in result.hits if hit in best),
            result.held,
        )
        for result in results
    )


def _is_needed(node: NodeState, call) -> bool:
    """Returns whether a sub-query still waits for an item of a call."""
    for item in call.items:
        sub_query_state = node.sub_queries.get(item.sub_id)
        if (
            sub_query_state is not None
            and sub_query_state.pending.get(item.shard) is item
        ):
            return True
    return False
