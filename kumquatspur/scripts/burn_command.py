"""The `report burn` command."""

import dataclasses
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from kumquatspur.core.records import Objectives, record
from kumquatspur.policy.burn import (
    BurnRow,
    EventCounts,
    burn_rows,
    merge_windows,
)
from kumquatspur.scripts import burn_html, http_calls
from kumquatspur.scripts.output import print_errors, print_json, write_page
from kumquatspur.scripts.status_commands import error_sources, read_from_daemons

PERCENTILES = (50.0, 99.0, 99.9)


@record
class BurnReport:
    """Error-budget burn and latency, merged over all daemons that answered.

    Attributes:
        asked: Names of the daemons that answered.
        unreachable: Addresses on the command line that are malformed or whose
            daemon did not answer or refused the request; the report does not
            include their events.
        rows: Burn by service, objective and window.
        latencies_ms: Latency in milliseconds by service and percentile.
    """

    asked: tuple[str, ...]
    unreachable: tuple[str, ...]
    rows: tuple[BurnRow, ...]
    latencies_ms: dict[str, dict[float, float]]


def run_burn(arguments) -> int:
    """Prints the report and writes the HTML page if requested.

    Args:
        arguments: A `BurnCommand`.

    Returns:
        The exit code: EXIT_UNREACHABLE if metrics of a daemon are missing or
        the page could not be written.
    """
    bodies, errors = read_from_daemons(arguments, "/v1/metrics")
    report = build_report(bodies, error_sources(errors))
    if arguments.json:
        print_json(dataclasses.asdict(report))
    else:
        _print_report(report)
        print_errors(errors)
    if arguments.html:
        errors += write_page(arguments.html, burn_html.render(report))
    return http_calls.EXIT_UNREACHABLE if errors else http_calls.EXIT_OK


def build_report(bodies: list[dict], unreachable: Iterable[str]) -> BurnReport:
    """Merges the metrics of several daemons.

    Args:
        bodies: The metrics of each daemon that answered.
        unreachable: Addresses without usable metrics.

    Returns:
        The report.
    """
    objectives = {}
    for body in bodies:
        for name, fields in body["objectives"].items():
            objectives[name] = Objectives(**fields)
    windows = merge_windows(_windows(body) for body in bodies)
    return BurnReport(
        asked=tuple(sorted(body["name"] for body in bodies)),
        unreachable=tuple(unreachable),
        rows=tuple(burn_rows(windows, objectives)),
        latencies_ms=_percentiles(bodies),
    )


def _windows(body: dict) -> dict[tuple[str, int], EventCounts]:
    windows = {}
    for entry in body["windows"]:
        fields = dict(entry)
        key = (fields.pop("service"), fields.pop("window_s"))
        windows[key] = EventCounts(**fields)
    return windows


def _percentiles(bodies: list[dict]) -> dict[str, dict[float, float]]:
    # The histograms contain latencies in microseconds.
    merged = {}
    for body in bodies:
        for entry in body["latencies"]:
            histogram = HdrHistogram.decode(entry["histogram"])
            if entry["service"] in merged:
                merged[entry["service"]].add(histogram)
            else:
                merged[entry["service"]] = histogram
    return {
        service: {
            percentile: histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in PERCENTILES
        }
        for service, histogram in sorted(merged.items())
    }


def _print_report(report: BurnReport) -> None:
    print(f"{len(report.asked)} daemons asked")
    for address in report.unreachable:
        print(f"not included: {address} could not be asked")
    for service, values in report.latencies_ms.items():
        figures = ", ".join(f"p{p:g} {ms:.1f} ms" for p, ms in values.items())
        print(f"{service}: {figures}")
    for row in report.rows:
        print(
            f"{row.service:20} {row.objective:12} {row.window_s // 60:4d} min"
            f"  {row.bad:6d} of {row.total:8d} bad"
            f"  burn rate {row.burn_rate:8.2f}"
            f"  budget left {row.budget_left:8.1%}"
        )
