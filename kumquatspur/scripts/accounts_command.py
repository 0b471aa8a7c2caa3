"""The `report accounts` command."""

import dataclasses

from kumquatspur.border.decision_lines import read_decision_logs
from kumquatspur.policy.account_report import (
    AccountUse,
    build_account_report,
)
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json


def run_accounts(arguments) -> int:
    """Prints the report.

    Args:
        arguments: An `AccountsCommand`.

    Returns:
        The exit code.
    """
    log, errors = read_decision_logs(arguments.folder)
    if errors:
        print_errors(errors)
        return http_calls.EXIT_BAD_INPUT
    report = build_account_report(log.account_use)
    if arguments.json:
        print_json(
            {
                account: {
                    **dataclasses.asdict(use),
                    "peak_share": use.peak_share(),
                }
                for account, use in report.items()
            }
        )
    else:
        print("\n".join(as_text(report)))
    return http_calls.EXIT_OK


def as_text(report: dict[str, AccountUse]) -> list[str]:
    """Formats the report as lines of text."""
    if not report:
        return ["no account with a quota sent requests"]
    lines = [
        f"{'account':20}{'rate/s':>9}{'burst':>8}{'admitted':>10}"
        f"{'refused':>9}{'below':>7}{'most':>7}{'bound':>9}{'share':>7}"
        f"{'at s':>11}{'hosts':>6}"
    ]
    for account, use in report.items():
        lines.append(
            f"{account:20}{use.rate_per_s:9.1f}{use.burst:8.0f}"
            f"{use.admitted:10d}{use.refused:9d}{use.refused_below:7d}"
            f"{use.peak:7d}{use.bound:9.1f}{use.peak_share():7.2f}"
            f"{use.peak_at_s:11.2f}{use.hosts:6d}"
        )
    return lines
