"""Renders the burn report as an HTML page with a plot."""

import html

from kumquatspur.scripts.output import html_row, svg

_PAGE = """<!DOCTYPE html>
<html lang="en">
<meta charset="utf-8">
<title>Service-level burn</title>
<h1>Service-level burn</h1>
<p>{asked} daemons asked. {exclusions}</p>
{plot}
<table>
<tr><th>service<th>objective<th>window<th>bad<th>total<th>burn rate<th>budget
left</tr>
{rows}
</table>
</html>
"""


def render(report) -> str:
    """Renders a report.

    Args:
        report: A `BurnReport`.

    Returns:
        A self-contained HTML page.
    """
    exclusions = "All answered."
    if report.unreachable:
        addresses = html.escape(", ".join(report.unreachable))
        exclusions = f"<b>Not included, could not be asked: {addresses}.</b>"
    return _PAGE.format(
        asked=len(report.asked),
        exclusions=exclusions,
        plot=_plot(report.rows),
        rows="\n".join(_table_row(row) for row in report.rows),
    )


def _table_row(row) -> str:
    cells = (
        html.escape(row.service),
        row.objective,
        f"{row.window_s // 60} min",
        row.bad,
        row.total,
        f"{row.burn_rate:.2f}",
        f"{row.budget_left:.1%}",
    )
    return html_row(cells)


def _plot(rows) -> str:
    """Draws burn rate against window for each service and objective."""
    # Imported here because it loads slowly and most commands do not use it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    axes = figure.subplots()
    for key in sorted({(row.service, row.objective) for row in rows}):
        line = [row for row in rows if (row.service, row.objective) == key]
        axes.plot(
            [row.window_s / 60 for row in line],
            [row.burn_rate for row in line],
            marker="o",
            label=" ".join(key),
        )
    axes.axhline(1.0, color="grey", linestyle="--")
    axes.set_xscale("log")
    axes.set_xlabel("window (minutes)")
    axes.set_ylabel("burn rate")
    if rows:
        axes.legend(fontsize="x-small")
    return svg(figure)
