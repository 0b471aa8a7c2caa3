"""Sends queued items to searchers, and fails items that must not be sent."""

from kumquatspur.controllers import crash_guard, sub_query_results
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core import actions
from kumquatspur.core.reason import Reason
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.searcher_queue import SearcherQueue


def dispatch(node: NodeState, queue: SearcherQueue, now: float):
    """Sends waiting items to a searcher while slots are free.

    Args:
        node: The state of this node.
        queue: The searcher's queue.
        now: The current time.

    Returns:
        Actions.
    """
    if queue.draining:
        return _refuse_waiting(node, queue, now)
    new_actions = []
    for item in queue.take_expired(now):
        result = sub_query_results.failed_result(
            queue, item, Verdict.NOT_RUN, Reason.OVERLOADED
        )
        new_actions += sub_query_results.complete(node, item, result, now)
    new_actions += _refuse_crashing(node, queue, now)
    while items := queue.take_batch(now):
        call_id = node.new_id()
        queue.start(call_id, items, now)
        node.call_searchers[call_id] = queue.searcher.name
        deadline = max(item.deadline for item in items)
        new_actions.append(
            actions.CallUpstream(call_id, queue.searcher, items, deadline)
        )
    return new_actions


def _refuse_crashing(node: NodeState, queue: SearcherQueue, now: float):
    """Fails waiting items whose content is refused for crashing upstreams."""
    new_actions = []
    for item in list(queue.waiting):
        if not crash_guard.is_refused(node, item.fingerprint, now):
            continue
        queue.waiting.remove(item)
        result = sub_query_results.failed_result(
            queue, item, Verdict.NOT_RUN, Reason.CRASHES_UPSTREAMS
        )
        new_actions += sub_query_results.complete(node, item, result, now)
    return new_actions


def _refuse_waiting(node, queue: SearcherQueue, now: float) -> list:
    new_actions = []
    while queue.waiting:
        item = queue.waiting.pop(0)
        result = sub_query_results.failed_result(
            queue, item, Verdict.NOT_RUN, Reason.REFUSED
        )
        new_actions += sub_query_results.complete(node, item, result, now)
    return new_actions
