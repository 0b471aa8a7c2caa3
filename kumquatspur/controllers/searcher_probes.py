"""Updates searcher states from probes, host list and configuration."""

from kumquatspur.controllers import placement, searcher_dispatch, searcher_state
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core import actions, events
from kumquatspur.policy.draining import Signal


def on_probe_due(node: NodeState, event: events.ProbeDue, now: float):
    """Probes owned searchers, and removes empty queues of all others.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = node.settings.timing.probe_s
    jitter = node.rng.uniform(0.9, 1.1)
    node.schedule(now + interval * jitter, events.ProbeDue())
    new_actions = []
    owned = {
        searcher.name: searcher
        for searcher in node.configuration.searchers.values()
        if placement.is_owned(node, searcher, now)
    }
    for searcher in owned.values():
        searcher_state.queue_of(node, searcher.name)
        new_actions.append(actions.ProbeUpstream(searcher))
    for name in node.queues.keys() - owned.keys():
        if not node.queues[name].backlog():
            del node.queues[name]
            node.drain_states.pop(name, None)
    return new_actions


def on_probe_answered(node: NodeState, event: events.ProbeAnswered, now):
    """Records a searcher's status, and sends it waiting items.

    Args:
        node: The state of this node.
        event: The status.
        now: The current time.

    Returns:
        Actions.
    """
    queue = node.queues.get(event.searcher)
    if queue is None:
        return []
    queue.record_probe()
    if event.draining:
        searcher_state.drain_state_of(node, queue).record_signal(
            Signal.PROBE, now
        )
    else:
        searcher_state.drain_state_of(node, queue).record_healthy_probe(now)
    searcher_state.record_state(node, queue, event.held, now)
    return searcher_dispatch.dispatch(node, queue, now)


def on_probe_failed(node: NodeState, event: events.ProbeFailed, now: float):
    """Marks a searcher as unreachable.

    Args:
        node: The state of this node.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    queue = node.queues.get(event.searcher)
    if queue is not None:
        queue.reachable = False
        searcher_state.drain_state_of(node, queue).record_probe_failure(now)
        searcher_state.publish(node, queue, now)
    return []


def on_hosts_listed(node: NodeState, event: events.HostsListed, now: float):
    """Updates which upstreams are leaving according to the host list.

    Args:
        node: The state of this node.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    leaving = [h for h in event.hosts if h.leaving and h.role == "upstream"]
    names = frozenset(host.name for host in leaving)
    node.leaving_upstreams = names | {host.address for host in leaving}
    return _update_queues(node, now)


def on_configuration(
    node: NodeState, event: events.ConfigurationReceived, now: float
):
    """Removes reports of removed searchers and empties queues of drained ones.

    Args:
        node: The state of this node.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    for name in node.reports.keys() - node.configuration.searchers.keys():
        del node.reports[name]
    return _update_queues(node, now)


def _update_queues(node: NodeState, now: float) -> list:
    """Updates the reports of all owned searchers and dispatches their queues.

    Items of searchers that may get no work are refused.
    """
    new_actions = []
    for queue in list(node.queues.values()):
        searcher_state.publish(node, queue, now, changed=False)
        new_actions += searcher_dispatch.dispatch(node, queue, now)
    return new_actions
