"""Burn rates: how fast services consume their error budgets.

The burn rate follows the multi-window method of The Site Reliability Workbook,
chapter 5: the share of bad events in a window, divided by the share that the
objective allows. A rate of 1 consumes the budget exactly as fast as allowed.
"""

from collections.abc import Iterable, Mapping

from kumquatspur.core.records import Objectives, record


@record
class EventCounts:
    """Event counts of one service in one window.

    Attributes:
        answered: Queries that were answered, in full or in part.
        partial: Answers in which at least one shard is missing.
        slow: Answers slower than the latency objective.
        refused: Queries that were refused or failed.
    """

    answered: int = 0
    partial: int = 0
    slow: int = 0
    refused: int = 0

    def plus(self, other: "EventCounts") -> "EventCounts":
        """Returns the sum of two counts."""
        return EventCounts(
            self.answered + other.answered,
            self.partial + other.partial,
            self.slow + other.slow,
            self.refused + other.refused,
        )


@record
class BurnRow:
    """Burn of one objective of one service in one window.

    Attributes:
        service: The service.
        objective: "latency", "coverage" or "availability".
        window_s: Length of the window in seconds.
        bad: Bad events in the window.
        total: All events in the window.
        burn_rate: Share of bad events divided by the share that the objective
            allows; 0 without events.
        budget_left: Remaining share of the window's error budget; negative if
            more than the budget was used.
    """

    service: str
    objective: str
    window_s: int
    bad: int
    total: int
    burn_rate: float
    budget_left: float


# For each objective, functions that return its bad events and all its events.
_OBJECTIVES = {
    "latency": (lambda c: c.slow, lambda c: c.answered),
    "coverage": (lambda c: c.partial, lambda c: c.answered),
    "availability": (lambda c: c.refused, lambda c: c.answered + c.refused),
}


def merge_windows(
    hosts: Iterable[Mapping[tuple[str, int], EventCounts]],
) -> dict[tuple[str, int], EventCounts]:
    """Sums the counts of several hosts.

    Args:
        hosts: For each host, its counts by service and window in seconds.

    Returns:
        The sums by service and window in seconds.
    """
    merged = {}
    for windows in hosts:
        for key, counts in windows.items():
            merged[key] = merged.get(key, EventCounts()).plus(counts)
    return merged


def burn_rows(
    windows: Mapping[tuple[str, int], EventCounts],
    objectives: Mapping[str, Objectives],
) -> list[BurnRow]:
    """Computes the burn rate of every objective of every service.

    Args:
        windows: Counts by service and window in seconds.
        objectives: Objectives by service. Services without objectives get no
            rows.

    Returns:
        Rows sorted by service, objective and window.
    """
    rows = []
    for (service, window_s), counts in windows.items():
        if service not in objectives:
            continue
        for name in _OBJECTIVES:
            target = getattr(objectives[service], f"{name}_target")
            rows.append(_row(service, name, window_s, counts, target))
    return sorted(
        rows, key=lambda row: (row.service, row.objective, row.window_s)
    )


def _row(service, name, window_s, counts: EventCounts, target) -> BurnRow:
    count_bad, count_total = _OBJECTIVES[name]
    bad, total = count_bad(counts), count_total(counts)
    rate = bad / total / (1.0 - target) if total else 0.0
    return BurnRow(service, name, window_s, bad, total, rate, 1.0 - rate)
