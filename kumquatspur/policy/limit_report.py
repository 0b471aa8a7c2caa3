"""Report of the requests that searchers with a limit got from all hosts.

The input is the decision logs of the hosts. Each host logs its attempts at such
searchers once a second, so the attempts of all hosts are added up in windows of
several seconds.
"""

import collections
import dataclasses
from collections.abc import Iterable

from kumquatspur.core.records import record

WINDOW_S = 4.0


@record
class LimitLine:
    """The log line of a host that received a new limit, or its end.

    Attributes:
        at_s: When the answer arrived, in seconds.
        host: The entry host.
        searcher: The searcher.
        per_s: Its limit in requests per second; None if it named none.
        attempts_before: Attempts of this host at the searcher in the second
            before.
    """

    at_s: float
    host: str
    searcher: str
    per_s: float | None
    attempts_before: int = 0


@record
class AttemptsLine:
    """The attempts of a host at one limited searcher in about a second.

    Attributes:
        at_s: The end of that second.
        host: The entry host.
        searcher: The searcher.
        by_kind: Number of attempts by kind.
    """

    at_s: float
    host: str
    searcher: str
    by_kind: dict[str, int]


@dataclasses.dataclass
class LimitedSearcher:
    """What a searcher with a limit got.

    Attributes:
        per_s: The greatest limit that it named, in requests per second.
        first_s: When a host first learnt a limit.
        last_s: When a host last learnt or used a limit.
        before_per_s: Attempts of all hosts in the second before each of them
            learnt the limit.
        peak: Most attempts of all hosts in `WINDOW_S`.
        peak_at_s: The end of that window.
        peak_by_kind: The attempts in that window by kind.
        peak_by_host: The attempts in that window by host.
    """

    per_s: float = 0.0
    first_s: float = float("inf")
    last_s: float = float("-inf")
    before_per_s: int = 0
    peak: int = 0
    peak_at_s: float = 0.0
    peak_by_kind: dict[str, int] = dataclasses.field(default_factory=dict)
    peak_by_host: dict[str, int] = dataclasses.field(default_factory=dict)

    def peak_share(self) -> float:
        """Returns the attempts of the busiest window relative to the limit."""
        allowed = self.per_s * WINDOW_S
        return self.peak / allowed if allowed else float("inf")


def build_limit_report(
    limits: Iterable[LimitLine], attempts: Iterable[AttemptsLine]
) -> dict[str, LimitedSearcher]:
    """Builds the report.

    Args:
        limits: The changes of limits, in any order.
        attempts: The attempts at limited searchers, in any order.

    Returns:
        The limited searchers by identifier.
    """
    found = collections.defaultdict(LimitedSearcher)
    told = set()
    for line in sorted(limits, key=lambda line: line.at_s):
        row = found[line.searcher]
        row.last_s = max(row.last_s, line.at_s)
        if line.per_s is None:
            continue
        row.per_s = max(row.per_s, line.per_s)
        row.first_s = min(row.first_s, line.at_s)
        if (line.searcher, line.host) not in told:
            told.add((line.searcher, line.host))
            row.before_per_s += line.attempts_before
    by_searcher = collections.defaultdict(list)
    for line in sorted(attempts, key=lambda line: line.at_s):
        by_searcher[line.searcher].append(line)
    for searcher, lines in by_searcher.items():
        _add_peak(found[searcher], lines)
    return dict(sorted(found.items()))


def _add_peak(row: LimitedSearcher, lines: list[AttemptsLine]) -> None:
    """Finds the window with the most attempts of all hosts."""
    window = collections.deque()
    total = 0
    for line in lines:
        window.append(line)
        total += sum(line.by_kind.values())
        while window[0].at_s <= line.at_s - WINDOW_S:
            total -= sum(window.popleft().by_kind.values())
        row.last_s = max(row.last_s, line.at_s)
        if total > row.peak:
            row.peak, row.peak_at_s = total, line.at_s
            kinds, hosts = collections.Counter(), collections.Counter()
            for item in window:
                kinds.update(item.by_kind)
                hosts[item.host] += sum(item.by_kind.values())
            row.peak_by_kind, row.peak_by_host = dict(kinds), dict(hosts)
