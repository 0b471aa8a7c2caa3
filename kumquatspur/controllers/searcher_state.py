"""State of owned searchers, and the reports that owners make of them."""

from kumquatspur.controllers import designs, placement
from kumquatspur.controllers.node_state import NodeState, ReceivedReport
from kumquatspur.core import messages
from kumquatspur.policy.draining import DrainState, Signal
from kumquatspur.policy.searcher_queue import SearcherQueue

# A larger relative change of the latency marks the report as changed.
REPORT_CHANGE_SHARE = 0.3


def is_known(node: NodeState, queue: SearcherQueue) -> bool:
    """Returns whether an owner has information on a searcher.

    True once it was reached or found draining, here or by an earlier owner.
    """
    contacted = queue.reachable or drain_state_of(node, queue).confirmed
    return contacted or queue.draining or bool(queue.held)


def build_report(queue: SearcherQueue, now: float) -> messages.SearcherReport:
    """Builds the report of an owned searcher.

    Args:
        queue: The searcher's queue.
        now: The current time.

    Returns:
        The report for other entry hosts.
    """
    return messages.SearcherReport(
        searcher=queue.searcher.name,
        held=queue.held,
        draining=queue.draining,
        reachable=queue.reachable,
        backlog=queue.backlog(),
        latency_ms=queue.estimated_latency_s(now) * 1000.0,
    )


def queue_of(node: NodeState, name: str) -> SearcherQueue | None:
    """Returns the queue of a searcher, and creates it if there is none.

    Args:
        node: The state of this node.
        name: The searcher's name.

    Returns:
        The queue, or None if the searcher is not configured.
    """
    searcher = node.configuration.searchers.get(name)
    if searcher is None:
        return None
    queue = node.queues.get(name)
    if queue is None:
        queue = SearcherQueue(searcher)
        node.queues[name] = queue
        _adopt_report(node, queue)
    queue.searcher = searcher
    designs.limit_queue(node, queue)
    return queue


def drain_state_of(node: NodeState, queue: SearcherQueue) -> DrainState:
    """Returns the drain state of a searcher, and creates it if missing."""
    return node.drain_states.setdefault(queue.searcher.name, DrainState())


def takes_no_work(node: NodeState, queue: SearcherQueue) -> bool:
    """Returns whether an owned searcher must get no new work.

    It must not if it is draining by the signals that this owner has received,
    or if configuration or host list exclude it.
    """
    draining = drain_state_of(node, queue).is_draining()
    return draining or placement.is_excluded(node, queue.searcher.name)


def record_state(node, queue: SearcherQueue, held, now):
    """Records the snapshots of a searcher that answered.

    Args:
        node: The state of this node.
        queue: The searcher's queue.
        held: The snapshots that it has.
        now: The current time.
    """
    changed = held != queue.held or not queue.reachable
    queue.held = held
    queue.reachable = True
    publish(node, queue, now, changed)


def publish(node: NodeState, queue: SearcherQueue, now, changed=True):
    """Updates the report of a searcher.

    Args:
        node: The state of this node.
        queue: The searcher's queue.
        now: The current time.
        changed: Whether to mark the report as changed. It is marked in any case
            if the drain state has changed, or the latency has changed much.
    """
    draining = takes_no_work(node, queue)
    changed = changed or draining != queue.draining
    changed = changed or _latency_changed(node, queue, now)
    queue.draining = draining
    report = build_report(queue, now)
    configured = report.searcher in node.configuration.searchers
    if configured and is_known(node, queue):
        in_flight = node.in_flight[report.searcher]
        node.reports[report.searcher] = ReceivedReport(report, now, in_flight)
    if changed:
        node.changed_reports.add(report.searcher)


def _adopt_report(node: NodeState, queue: SearcherQueue) -> None:
    """Initializes a new queue from the report of the previous owner."""
    received = node.reports.get(queue.searcher.name)
    if received is not None:
        queue.held = received.report.held
        queue.reachable = received.report.reachable
        excluded = placement.is_excluded(node, queue.searcher.name)
        if received.report.draining and not excluded:
            drain_state_of(node, queue).record_signal(
                Signal.ANSWER, received.received_at
            )
    queue.draining = takes_no_work(node, queue)


def _latency_changed(node: NodeState, queue: SearcherQueue, now) -> bool:
    """Returns whether the latency differs much from the reference latency.

    If so, the current latency becomes the reference.
    """
    reference_ms = node.reference_latency_ms.get(queue.searcher.name, 0.0)
    current_ms = queue.estimated_latency_s(now) * 1000.0
    if abs(current_ms - reference_ms) <= REPORT_CHANGE_SHARE * reference_ms:
        return False
    node.reference_latency_ms[queue.searcher.name] = current_ms
    return True
