"""The `report limits` command."""

import dataclasses

from kumquatspur.border.decision_lines import read_decision_logs
from kumquatspur.policy.limit_report import (
    WINDOW_S,
    LimitedSearcher,
    build_limit_report,
)
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json


def run_limits(arguments) -> int:
    """Prints the report.

    Args:
        arguments: A `LimitsCommand`.

    Returns:
        The exit code.
    """
    log, errors = read_decision_logs(arguments.folder)
    if errors:
        print_errors(errors)
        return http_calls.EXIT_BAD_INPUT
    report = build_limit_report(log.limits, log.limited_attempts)
    if arguments.json:
        print_json(
            {
                searcher: {
                    **dataclasses.asdict(row),
                    "peak_share": row.peak_share(),
                }
                for searcher, row in report.items()
            }
        )
    else:
        print("\n".join(as_text(report)))
    return http_calls.EXIT_OK


def as_text(report: dict[str, LimitedSearcher]) -> list[str]:
    """Formats the report as lines of text."""
    if not report:
        return ["no searcher named a limit"]
    window = f"most in {WINDOW_S:g} s"
    lines = [
        f"{'searcher':20}{'limit/s':>9}{'before/s':>9}{'from s':>10}"
        f"{'to s':>10}{window:>13}{'share':>7}{'at s':>10}{'hosts':>6}  kinds"
    ]
    for searcher, row in report.items():
        kinds = ", ".join(
            f"{kind} {count}"
            for kind, count in sorted(row.peak_by_kind.items())
        )
        lines.append(
            f"{searcher:20}{row.per_s:9.1f}{row.before_per_s:9d}"
            f"{row.first_s:10.2f}{row.last_s:10.2f}{row.peak:13d}"
            f"{row.peak_share():7.2f}{row.peak_at_s:10.2f}"
            f"{len(row.peak_by_host):6d}  {kinds}"
        )
    return lines
