"""The `report day` command."""

import dataclasses

from kumquatspur.border.decision_lines import read_decision_logs
from kumquatspur.policy.day_report import (
    CAUSES,
    DayReport,
    RequestStats,
    build_day_report,
    extra_share,
    find_lost_processes,
)
from kumquatspur.scripts import day_html, http_calls
from kumquatspur.scripts.output import print_errors, print_json, write_page

MAX_INTERVALS_SHOWN = 3
MAX_HOSTS_SHOWN = 6
MAX_ACCOUNTS_SHOWN = 6
MAX_REASONS_SHOWN = 3


def run_day(arguments) -> int:
    """Prints the report and writes the HTML page if requested.

    Args:
        arguments: A `DayCommand`.

    Returns:
        The exit code.
    """
    log, errors = read_decision_logs(arguments.folder)
    if errors:
        print_errors(errors)
        return http_calls.EXIT_BAD_INPUT
    report = build_day_report(log.requests)
    report.lost_processes = find_lost_processes(log.log_events)
    report.lines_dropped = log.lines_dropped
    report.unreadable = log.unreadable
    if arguments.json:
        print_json(as_json(report))
    else:
        print("\n".join(as_text(report)))
    if arguments.html:
        if write_page(arguments.html, day_html.render(report)):
            return http_calls.EXIT_BAD_INPUT
    return http_calls.EXIT_OK


def as_text(report: DayReport) -> list[str]:
    """Formats the report as lines of text."""
    headings = "".join(f"{cause:>15}" for cause in CAUSES)
    lines = [
        f"{'route':16}{'requests':>9}{'kept':>8}{headings}"
        f"{'p50 ms':>8}{'p99 ms':>8}{'extra':>8}"
    ]
    rows = {**report.routes, "all": report.total}
    lines += [_text_row(name or "(none)", row) for name, row in rows.items()]
    lines.append("")
    for reason, count in report.total.reasons.most_common():
        lines.append(f"{reason}: {count}")
    worst = sorted(
        (stats.kept_share(), start)
        for start, stats in report.intervals.items()
        if stats.requests
    )[:MAX_INTERVALS_SHOWN]
    first_start = next(iter(report.intervals), 0.0)
    hosts = sorted(
        (stats.kept_share(), host)
        for host, stats in report.hosts.items()
        if stats.requests
    )[:MAX_HOSTS_SHOWN]
    kept_by_host = ", ".join(f"{host}: {kept:.1%}" for kept, host in hosts)
    lines.append(f"least kept at hosts {kept_by_host}")
    intervals = ", ".join(
        f"{start - first_start:g} s: {kept:.0%}" for kept, start in worst
    )
    lines.append(f"least kept in spans that begin after {intervals}")
    lines += _account_lines(report)
    for process in report.lost_processes:
        gap_s = process.started_at_s - process.last_line_at_s
        lines.append(
            f"{process.host} ended without a stop after "
            f"{process.last_line_at_s - first_start:.1f} s; it started again "
            f"{gap_s:.1f} s later"
        )
    if report.lines_dropped:
        lines.append(f"not included: {report.lines_dropped} lines dropped")
    if report.unreadable:
        lines.append(f"not included: {report.unreadable} unreadable lines")
    return lines


def _account_lines(report: DayReport) -> list[str]:
    """Returns a line for each account that lost the most requests."""
    worst = sorted(
        report.accounts.items(),
        key=lambda item: (-item[1].reasons.total(), item[0]),
    )
    return [
        f"account {name}: {stats.requests} requests, not in time: "
        + ", ".join(
            f"{reason} {count}"
            for reason, count in stats.reasons.most_common(MAX_REASONS_SHOWN)
        )
        for name, stats in worst[:MAX_ACCOUNTS_SHOWN]
        if stats.reasons
    ]


def _text_row(name: str, row: RequestStats) -> str:
    divisor = max(1, row.requests)
    causes = "".join(f"{row.lost[c] / divisor:15.2%}" for c in CAUSES)
    return (
        f"{name:16}{row.requests:9d}{row.kept_share():8.1%}{causes}"
        f"{row.latency_ms(50.0):8.1f}{row.latency_ms(99.0):8.1f}"
        f"{row.extra_attempts:8d}"
    )


def as_json(report: DayReport) -> dict:
    """Returns the report as a JSON value; latencies are in milliseconds."""
    shares = extra_share(report)
    intervals = [
        {"start_s": start, "extra_share": shares[start], **_json_row(stats)}
        for start, stats in report.intervals.items()
    ]
    return {
        "total": _json_row(report.total),
        "routes": {n: _json_row(row) for n, row in report.routes.items()},
        "hosts": {n: _json_row(row) for n, row in report.hosts.items()},
        "accounts": {
            name: {
                "requests": stats.requests,
                "reasons": {
                    str(key): n for key, n in sorted(stats.reasons.items())
                },
            }
            for name, stats in report.accounts.items()
        },
        "spans": intervals,
        "lost_processes": [
            dataclasses.asdict(process) for process in report.lost_processes
        ],
        "lines_dropped": report.lines_dropped,
        "unreadable": report.unreadable,
    }


def _json_row(row: RequestStats) -> dict:
    return {
        "requests": row.requests,
        "kept_share": row.kept_share(),
        "lost": {str(cause): row.lost[cause] for cause in CAUSES},
        "reasons": {str(key): n for key, n in sorted(row.reasons.items())},
        "coverage": row.coverage(),
        "extra_attempts": row.extra_attempts,
        "p50_ms": row.latency_ms(50.0),
        "p99_ms": row.latency_ms(99.0),
    }
