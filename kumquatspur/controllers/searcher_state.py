"""What an owner knows of its searchers, and what it tells others."""

from kumquatspur.controllers import designs, placement
from kumquatspur.controllers.blackboard import Blackboard, KnownReport
from kumquatspur.core import messages
from kumquatspur.policy.draining import DrainState, Signal
from kumquatspur.policy.searcher_queue import SearcherQueue

# A latency that changed by less is not announced before its turn.
REPORT_CHANGE_SHARE = 0.3


def is_known(board: Blackboard, queue: SearcherQueue) -> bool:
    """Returns whether a searcher was tried, or another owner told of it."""
    tried = queue.reachable or leaving_of(board, queue).confirmed
    return tried or queue.draining or bool(queue.held)


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
        latency_ms=queue.score_s(now) * 1000.0,
    )


def queue_of(board: Blackboard, name: str) -> SearcherQueue | None:
    """Returns the queue of a searcher, and makes it if there is none.

    Args:
        board: The blackboard.
        name: The searcher's name.

    Returns:
        The queue, or None if the searcher is not configured.
    """
    searcher = board.configuration.searchers.get(name)
    if searcher is None:
        return None
    queue = board.queues.get(name)
    if queue is None:
        queue = SearcherQueue(searcher)
        board.queues[name] = queue
        _take_over(board, queue)
    queue.searcher = searcher
    designs.limit_queue(board, queue)
    return queue


def leaving_of(board: Blackboard, queue: SearcherQueue) -> DrainState:
    """Returns what is known of a searcher's leaving."""
    return board.leaving.setdefault(queue.searcher.name, DrainState())


def takes_no_work(board: Blackboard, queue: SearcherQueue) -> bool:
    """Returns whether a searcher must get no new work."""
    leaving = leaving_of(board, queue).is_draining()
    return leaving or placement.is_withdrawn(board, queue.searcher.name)


def note_state(board, queue: SearcherQueue, held, now):
    """Takes what a searcher that answered says it holds.

    Args:
        board: The blackboard.
        queue: The searcher's queue.
        held: The snapshots that it holds.
        now: The current time.
    """
    changed = held != queue.held or not queue.reachable
    queue.held = held
    queue.reachable = True
    publish(board, queue, now, changed)


def publish(board: Blackboard, queue: SearcherQueue, now, changed=True):
    """Brings the report of a searcher up to date.

    Args:
        board: The blackboard.
        queue: The searcher's queue.
        now: The current time.
        changed: Whether other entry hosts have to be told.
    """
    draining = takes_no_work(board, queue)
    changed = changed or draining != queue.draining
    changed = changed or _moved(board, queue, now)
    queue.draining = draining
    report = build_report(queue, now)
    configured = report.searcher in board.configuration.searchers
    if configured and is_known(board, queue):
        in_flight = board.in_flight[report.searcher]
        board.reports[report.searcher] = KnownReport(report, now, in_flight)
    if changed:
        board.changed_reports.add(report.searcher)


def _take_over(board: Blackboard, queue: SearcherQueue) -> None:
    """Starts from what the former owner reported."""
    known = board.reports.get(queue.searcher.name)
    if known is not None:
        queue.held = known.report.held
        queue.reachable = known.report.reachable
        withdrawn = placement.is_withdrawn(board, queue.searcher.name)
        if known.report.draining and not withdrawn:
            leaving_of(board, queue).record_signal(
                Signal.ANSWER, known.received
            )
    queue.draining = takes_no_work(board, queue)


def _moved(board: Blackboard, queue: SearcherQueue, now) -> bool:
    """Returns whether a latency differs much from the one last announced."""
    announced = board.announced_ms.get(queue.searcher.name, 0.0)
    present = queue.score_s(now) * 1000.0
    if abs(present - announced) <= REPORT_CHANGE_SHARE * announced:
        return False
    board.announced_ms[queue.searcher.name] = present
    return True
