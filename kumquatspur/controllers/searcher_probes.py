"""Learns from probes, host list and configuration how searchers are."""

from kumquatspur.controllers import placement, searcher_dispatch, searcher_state
from kumquatspur.controllers.blackboard import Blackboard
from kumquatspur.core import actions, events
from kumquatspur.policy.draining import Signal


def on_probe_due(board: Blackboard, event: events.ProbeDue, now: float):
    """Probes the searchers owned, and drops queues of those no longer owned.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = board.settings.timing.probe_s
    jitter = board.rng.uniform(0.9, 1.1)
    board.schedule(now + interval * jitter, events.ProbeDue())
    found = []
    owned = {
        searcher.name: searcher
        for searcher in board.configuration.searchers.values()
        if placement.is_owned(board, searcher, now)
    }
    for searcher in owned.values():
        searcher_state.queue_of(board, searcher.name)
        found.append(actions.ProbeUpstream(searcher))
    for name in board.queues.keys() - owned.keys():
        if not board.queues[name].backlog():
            del board.queues[name]
            board.leaving.pop(name, None)
    return found


def on_probe_answered(board: Blackboard, event: events.ProbeAnswered, now):
    """Takes a searcher's status.

    Args:
        board: The blackboard.
        event: The status.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(event.searcher)
    if queue is None:
        return []
    queue.record_probe()
    if event.draining:
        searcher_state.leaving_of(board, queue).record_signal(Signal.PROBE, now)
    else:
        searcher_state.leaving_of(board, queue).record_healthy_probe(now)
    searcher_state.note_state(board, queue, event.held, now)
    return searcher_dispatch.dispatch(board, queue, now)


def on_probe_failed(board: Blackboard, event: events.ProbeFailed, now: float):
    """Notes that a searcher could not be reached.

    Args:
        board: The blackboard.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(event.searcher)
    if queue is not None:
        queue.reachable = False
        searcher_state.leaving_of(board, queue).record_probe_failure(now)
        searcher_state.publish(board, queue, now)
    return []


def on_hosts_listed(board: Blackboard, event: events.HostsListed, now: float):
    """Takes the upstreams that the platform's host list says are leaving.

    Args:
        board: The blackboard.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    leaving = [h for h in event.hosts if h.leaving and h.role == "upstream"]
    names = frozenset(host.name for host in leaving)
    board.listed_leaving = names | {host.address for host in leaving}
    return _note_withdrawals(board, now)


def on_configuration(
    board: Blackboard, event: events.ConfigurationReceived, now: float
):
    """Forgets searchers removed and declines what waits for those drained.

    Args:
        board: The blackboard.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    for name in board.reports.keys() - board.configuration.searchers.keys():
        del board.reports[name]
    return _note_withdrawals(board, now)


def _note_withdrawals(board: Blackboard, now: float) -> list:
    found = []
    for queue in list(board.queues.values()):
        searcher_state.publish(board, queue, now, changed=False)
        found += searcher_dispatch.dispatch(board, queue, now)
    return found
