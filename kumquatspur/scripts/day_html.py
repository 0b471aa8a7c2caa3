"""Renders the report of a day as an HTML page with plots."""

import html

from kumquatspur.policy.day_report import (
    CAUSES,
    MISSING_PARTS,
    DayReport,
    RequestStats,
    extra_share,
)
from kumquatspur.scripts.output import html_row, svg

_PAGE = """<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>Requests of a day</title>
<h1>Requests of a day</h1>
<p>{requests} requests, {kept:.1%} of their worth kept. {exclusions}</p>
{plot}
<table>
<tr><th>route<th>requests<th>kept{causes}<th>p50 ms<th>p99 ms
<th>extra attempts</tr>
{rows}
</table>
</html>
"""


def render(report: DayReport) -> str:
    """Renders a report.

    Args:
        report: The report.

    Returns:
        A self-contained HTML page.
    """
    exclusions = ""
    if report.lines_dropped or report.unreadable:
        exclusions = (
            f"<b>Not included: {report.lines_dropped} lines dropped, "
            f"{report.unreadable} unreadable.</b>"
        )
    rows = {**report.routes, "all": report.total}
    return _PAGE.format(
        requests=report.total.requests,
        kept=report.total.kept_share(),
        exclusions=exclusions,
        plot=_plot(report),
        causes="".join(f"<th>{cause}" for cause in CAUSES),
        rows="\n".join(_row(name, row) for name, row in rows.items()),
    )


def _row(name: str, row: RequestStats) -> str:
    divisor = max(1, row.requests)
    cells = [html.escape(name or "(none)"), row.requests]
    cells.append(f"{row.kept_share():.1%}")
    cells += [f"{row.lost[cause] / divisor:.2%}" for cause in CAUSES]
    cells += [f"{row.latency_ms(p):.1f}" for p in (50.0, 99.0)]
    cells.append(row.extra_attempts)
    return html_row(cells)


def _plot(report: DayReport) -> str:
    """Draws latency, losses, coverage and extra attempts against time."""
    # Imported here because it loads slowly and most commands do not use it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 10))
    latency, lost, coverage, extra = figure.subplots(4, 1, sharex=True)
    starts = list(report.intervals)
    intervals = list(report.intervals.values())
    for percentile in (50.0, 90.0, 99.0):
        values = [interval.latency_ms(percentile) for interval in intervals]
        latency.plot(starts, values, label=f"p{percentile:g}")
    for cause in CAUSES:
        # The coverage plot shows missing shards.
        if cause != MISSING_PARTS:
            values = [interval.lost[cause] for interval in intervals]
            lost.plot(starts, values, label=cause)
    coverage.plot(starts, [interval.coverage() for interval in intervals])
    extra.plot(starts, list(extra_share(report).values()))
    latency.set_ylabel("latency (ms)")
    lost.set_ylabel("requests lost")
    coverage.set_ylabel("share of shards in")
    extra.set_ylabel("extra attempts a shard")
    extra.set_xlabel("time (s)")
    for axes in (latency, lost):
        axes.legend(fontsize="x-small")
    return svg(figure)
