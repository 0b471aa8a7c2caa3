"""Replicates the reports that owners make of their searchers."""

import dataclasses

from kumquatspur.controllers import membership_view, searcher_state
from kumquatspur.controllers.designs import design_of
from kumquatspur.controllers.gossip import REPORT, Delivery, EntryKey
from kumquatspur.controllers.node_state import NodeState, ReceivedReport
from kumquatspur.core import messages
from kumquatspur.core.messages import ReportEntry
from kumquatspur.policy.searcher_queue import INITIAL_S

REPUBLISH_INTERVAL_HEARTBEATS = 4
# Latency assumed for a searcher until an owner has reported one.
DEFAULT_LATENCY_MS = INITIAL_S * 1000.0
_DEFAULT_REPORT = messages.SearcherReport(
    searcher="",
    held=(),
    draining=False,
    reachable=True,
    backlog=0,
    latency_ms=DEFAULT_LATENCY_MS,
)


def merge_report_entry(
    node: NodeState,
    entry: ReportEntry,
    delivery: Delivery | None,
    now: float,
) -> None:
    """Stores and propagates a searcher's entry if it is newer.

    Args:
        node: The state of this node.
        entry: The entry.
        delivery: How to propagate it; None to not propagate it.
        now: The current time.
    """
    old = node.gossip.report_entries.get(entry.searcher)
    if old is not None and _entry_order(entry) <= _entry_order(old):
        return
    node.gossip.put_report(entry)
    membership_view.propagate(
        node, EntryKey(REPORT, entry.searcher), delivery, now
    )
    single_owner = design_of(node).single_owner
    if entry.searcher in node.queues or not single_owner:
        return
    received = node.reports.get(entry.searcher)
    base_report = received.report if received else _DEFAULT_REPORT
    report = dataclasses.replace(
        base_report,
        searcher=entry.searcher,
        held=entry.held,
        draining=entry.draining,
        reachable=entry.reachable,
    )
    # The entry has no load, so load and in-flight count stay as they were.
    in_flight = received.in_flight if received else 0
    node.reports[entry.searcher] = ReceivedReport(report, now, in_flight)


def store_reports(node: NodeState, reports, now: float) -> None:
    """Stores the searcher reports in an owner's answer.

    Unlike the entries that are propagated, they include the load.

    Args:
        node: The state of this node.
        reports: The reports.
        now: The current time.
    """
    if not design_of(node).single_owner:
        return
    for report in reports:
        in_flight = node.in_flight[report.searcher]
        node.reports[report.searcher] = ReceivedReport(report, now, in_flight)


def publish_reports(node: NodeState, now: float) -> None:
    """Publishes the changed reports of the searchers that this node owns."""
    gossip = node.gossip
    if not design_of(node).single_owner:
        node.changed_reports.clear()
    for name in node.changed_reports:
        queue = node.queues.get(name)
        if queue is None or not searcher_state.is_known(node, queue):
            continue
        report = searcher_state.build_report(queue, now)
        entry = _next_entry(gossip.report_entries.get(name), report)
        if entry is not None:
            gossip.put_report(entry)
            delivery = Delivery(node.settings.name, True)
            membership_view.propagate(
                node, EntryKey(REPORT, name), delivery, now
            )
    node.changed_reports.clear()


def _next_entry(
    old: ReportEntry | None, report: messages.SearcherReport
) -> ReportEntry | None:
    """Returns the next version of an entry, or None if it has not changed."""
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


def republish_reports(node: NodeState, now: float) -> None:
    """Publishes a report again if another host's entry has replaced it."""
    if node.counters["heartbeats"] % REPUBLISH_INTERVAL_HEARTBEATS == 0:
        node.changed_reports.update(node.queues.keys())
        publish_reports(node, now)


def _entry_order(entry: ReportEntry) -> tuple:
    """Returns a sort key of entries of a searcher; the highest is kept.

    The fields after the version order entries that two owners published with
    the same version.
    """
    return (entry.version, entry.held, entry.draining, entry.reachable)
