"""Where a day's requests lost their worth, from the hosts' decision logs.

Each request counts as one. It loses all of that if it was refused, failed or
late, and what is missing from its coverage otherwise, which falls with the
square of the shards that are in. A request without a route has nothing to lose.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from kumquatspur.core.records import record
from kumquatspur.policy.latency_histogram import new_histogram

BUCKET_S = 2.0
MISSING_PARTS = "parts left out"


class RequestOutcome(enum.StrEnum):
    """How a request ended, as its client sees it."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client left"
    NO_ROUTE = "no route"


# What a request can lose by, in the order of reports.
CAUSES = (
    RequestOutcome.LATE,
    RequestOutcome.REFUSED,
    RequestOutcome.FAILED,
    RequestOutcome.CLIENT_DISCONNECTED,
    MISSING_PARTS,
)


@record
class RequestLine:
    """The end of one request, as one host logged it.

    Attributes:
        at_s: When it ended, in seconds; the origin is the same for all lines.
        route: Name of its route, or "" if none matched.
        outcome: How it ended.
        reason: Why it was refused or failed, or "".
        duration_ms: From its arrival to its end; None if not logged.
        parts: Shards that are in.
        shards: Shards that were asked for; 0 if not logged.
        extra_attempts: Attempts besides the first at each shard.
    """

    at_s: float
    route: str
    outcome: RequestOutcome
    reason: str = ""
    duration_ms: float | None = None
    parts: int = 0
    shards: int = 0
    extra_attempts: int = 0


@record
class LostProcess:
    """A process that ended without having been told to stop.

    Requests that it was serving have left no line.

    Attributes:
        host: Its entry host.
        last_line_at_s: When it logged its last line.
        started_at_s: When the next process of the host started.
    """

    host: str
    last_line_at_s: float
    started_at_s: float


@dataclasses.dataclass
class RequestStats:
    """Requests of a route or a span, and what they lost.

    Attributes:
        requests: How many ended.
        lost: Requests lost by cause; fractions where shards are missing.
        reasons: Requests refused or failed, by reason.
        extra_attempts: Attempts besides the first at each shard.
        shards: Shards asked for.
        parts: Shards that were in.
        latencies: Durations of answers in microseconds.
    """

    requests: int = 0
    lost: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    reasons: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    extra_attempts: int = 0
    shards: int = 0
    parts: int = 0
    latencies: HdrHistogram = dataclasses.field(default_factory=new_histogram)

    def add(self, line: RequestLine) -> None:
        """Counts a request."""
        if line.outcome is RequestOutcome.NO_ROUTE:
            self.reasons[line.reason or line.outcome] += 1
            return
        self.requests += 1
        self.extra_attempts += line.extra_attempts
        answered = line.outcome in (RequestOutcome.IN_TIME, RequestOutcome.LATE)
        if answered and line.shards:
            self.shards += line.shards
            self.parts += line.parts
        if answered and line.duration_ms is not None:
            self.latencies.record_value(int(line.duration_ms * 1000))
        if line.outcome is not RequestOutcome.IN_TIME:
            self.lost[line.outcome] += 1.0
            self.reasons[line.reason or line.outcome] += 1
        elif line.shards:
            missing = 1.0 - (line.parts / line.shards) ** 2
            if missing:
                self.lost[MISSING_PARTS] += missing

    def coverage(self) -> float:
        """Returns the share of the shards that were in the answers."""
        return self.parts / self.shards if self.shards else 1.0

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the answers' durations, 0 without any."""
        if not self.latencies.get_total_count():
            return 0.0
        return self.latencies.get_value_at_percentile(percentile) / 1000.0

    def kept_share(self) -> float:
        """Returns the share of the requests' worth that was kept."""
        if not self.requests:
            return 1.0
        return 1.0 - sum(self.lost.values()) / self.requests


@dataclasses.dataclass
class DayReport:
    """Losses over a day.

    Attributes:
        total: All requests.
        routes: Losses by route.
        intervals: Losses by start of the span in seconds, in order of time.
        lost_processes: Processes that ended without having been told to.
        lines_dropped: Lines that hosts left out to bound their logs.
        unreadable: Lines that are no decision.
    """

    total: RequestStats
    routes: dict[str, RequestStats]
    intervals: dict[float, RequestStats]
    lost_processes: list[LostProcess] = dataclasses.field(default_factory=list)
    lines_dropped: int = 0
    unreadable: int = 0


def build_day_report(lines: Iterable[RequestLine]) -> DayReport:
    """Adds up the requests of a day.

    Args:
        lines: The ends of the requests, in any order.

    Returns:
        The report.
    """
    total = RequestStats()
    routes = collections.defaultdict(RequestStats)
    intervals = collections.defaultdict(RequestStats)
    for line in lines:
        start = line.at_s // BUCKET_S * BUCKET_S
        for stats in (total, routes[line.route], intervals[start]):
            stats.add(line)
    return DayReport(total, dict(sorted(routes.items())), _filled(intervals))


def find_lost_processes(
    log_events: Iterable[tuple[float, str, str]],
) -> list[LostProcess]:
    """Finds processes that were killed, crashed or lost their power.

    Args:
        log_events: Time in seconds, host and event of all lines; those of a
            host at the same time in their order.

    Returns:
        The processes in order of time.
    """
    last, found = {}, []
    for at_s, host, event in sorted(log_events, key=lambda mark: mark[0]):
        before = last.get(host)
        if event == "start" and before and before[1] != "stop":
            found.append(LostProcess(host, before[0], at_s))
        last[host] = (at_s, event)
    return found


def _filled(intervals: dict[float, RequestStats]) -> dict[float, RequestStats]:
    """Returns the spans in order, with empty ones where nothing ended."""
    if not intervals:
        return {}
    first, last = min(intervals), max(intervals)
    count = int((last - first) / BUCKET_S) + 1
    starts = (first + index * BUCKET_S for index in range(count))
    return {start: intervals.get(start, RequestStats()) for start in starts}


def extra_share(report: DayReport) -> dict[float, float]:
    """Returns extra attempts as a share of the shards asked, by span."""
    return {
        start: stats.extra_attempts / stats.shards if stats.shards else 0.0
        for start, stats in report.intervals.items()
    }
