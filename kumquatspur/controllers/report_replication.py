"""Passes on what owners know of their searchers."""

import dataclasses

from kumquatspur.controllers import searcher_state, view
from kumquatspur.controllers.blackboard import Blackboard, KnownReport
from kumquatspur.controllers.designs import design_of
from kumquatspur.controllers.gossip import REPORT, Delivery, EntryKey
from kumquatspur.core import messages
from kumquatspur.core.messages import ReportEntry
from kumquatspur.policy.searcher_queue import INITIAL_S

CONTEST_INTERVAL = 4
# Latency of a searcher before an owner's answer tells it.
UNKNOWN_LATENCY_MS = INITIAL_S * 1000.0
_UNKNOWN_LOAD = messages.SearcherReport(
    searcher="",
    held=(),
    draining=False,
    reachable=True,
    backlog=0,
    latency_ms=UNKNOWN_LATENCY_MS,
)


def take_report(
    board: Blackboard,
    entry: ReportEntry,
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores a searcher's entry if it is newer, and passes it on.

    Args:
        board: The blackboard.
        entry: The entry.
        delivery: How to pass it on; None if it is not.
        now: The current time.
    """
    old = board.gossip.reports.get(entry.searcher)
    if old is not None and _age(entry) <= _age(old):
        return
    board.gossip.put_report(entry)
    view.pass_on(board, EntryKey(REPORT, entry.searcher), delivery, now)
    shared = design_of(board).shares_owners
    if entry.searcher in board.queues or not shared:
        return
    known = board.reports.get(entry.searcher)
    load = known.report if known else _UNKNOWN_LOAD
    report = dataclasses.replace(
        load,
        searcher=entry.searcher,
        held=entry.held,
        draining=entry.draining,
        reachable=entry.reachable,
    )
    # The load is as old as before, and so is what was in flight then.
    in_flight = known.in_flight if known else 0
    board.reports[entry.searcher] = KnownReport(report, now, in_flight)


def take_reports(board: Blackboard, reports, now: float) -> None:
    """Stores reports that came with an owner's answer.

    Args:
        board: The blackboard.
        reports: The reports.
        now: The current time.
    """
    if not design_of(board).shares_owners:
        return
    for report in reports:
        in_flight = board.in_flight[report.searcher]
        board.reports[report.searcher] = KnownReport(report, now, in_flight)


def publish_reports(board: Blackboard, now: float) -> None:
    """Passes on what changed of the searchers that this node owns."""
    state = board.gossip
    if not design_of(board).shares_owners:
        board.changed_reports.clear()
    for name in board.changed_reports:
        queue = board.queues.get(name)
        if queue is None or not searcher_state.is_known(board, queue):
            continue
        report = searcher_state.build_report(queue, now)
        entry = _next_entry(state.reports.get(name), report)
        if entry is not None:
            state.put_report(entry)
            delivery = Delivery(board.settings.name, True)
            view.pass_on(board, EntryKey(REPORT, name), delivery, now)
    board.changed_reports.clear()


def _next_entry(
    old: ReportEntry | None, report: messages.SearcherReport
) -> ReportEntry | None:
    """Returns the entry that follows the old one, or None if none changed."""
    entry = ReportEntry(
        report.searcher,
        old.version if old else 1,
        report.held,
        report.draining,
        report.reachable,
    )
    if entry == old:
        return None
    if old is None:
        return entry
    return dataclasses.replace(entry, version=old.version + 1)


def contest_reports(board: Blackboard, now: float) -> None:
    """Publishes again where another host's entry hides this owner's."""
    if board.counters["heartbeats"] % CONTEST_INTERVAL == 0:
        board.changed_reports.update(board.queues.keys())
        publish_reports(board, now)


def _age(entry: ReportEntry) -> tuple:
    """Orders entries, also those that two owners made at once."""
    return (entry.version, entry.held, entry.draining, entry.reachable)
