"""Report of a day's requests and what their value was lost to.

The input is the decision logs of the hosts. Each request has the value 1. A
request that was refused, failed or late, or whose client disconnected, loses
all of it. An answer in time keeps the square of its share of shards. A request
without a route, or without the key that its route needs, has no value; only its
reason is counted.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from kumquatspur.core.records import record
from kumquatspur.policy.latency_histogram import new_histogram

INTERVAL_S = 2.0
MISSING_PARTS = "parts left out"


class RequestOutcome(enum.StrEnum):
    """The outcome of a request as its client sees it."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "client left"
    NO_ROUTE = "no route"
    NO_KEY = "no key"


# Causes of lost value, in the order of the report's columns.
CAUSES = (
    RequestOutcome.LATE,
    RequestOutcome.REFUSED,
    RequestOutcome.FAILED,
    RequestOutcome.CLIENT_DISCONNECTED,
    MISSING_PARTS,
)


_WITHOUT_VALUE = frozenset({RequestOutcome.NO_ROUTE, RequestOutcome.NO_KEY})


@record
class RequestLine:
    """The log line that a host wrote when a request ended.

    Attributes:
        at_s: When the request ended, in seconds. All lines have the same
            origin of time.
        route: Name of the route, or "" if none matched.
        outcome: The outcome.
        reason: Why the request was refused or failed, or "".
        duration_ms: Time from arrival to end; None if not logged.
        parts: Number of shards in the answer.
        shards: Number of shards requested; 0 if not logged.
        extra_attempts: Attempts beyond the first one for each shard.
        host: The entry host that logged the end of the request; "" if unknown.
        account: Name of the client account; "" if none is known.
    """

    at_s: float
    route: str
    outcome: RequestOutcome
    reason: str = ""
    duration_ms: float | None = None
    parts: int = 0
    shards: int = 0
    extra_attempts: int = 0
    host: str = ""
    account: str = ""


@record
class LostProcess:
    """A process that ended without logging a stop.

    The requests in progress at that time have no log line.

    Attributes:
        host: The entry host that it ran on.
        last_line_at_s: Time of its last log line, in seconds.
        started_at_s: When the next process of the host started, in seconds.
    """

    host: str
    last_line_at_s: float
    started_at_s: float


@dataclasses.dataclass
class RequestStats:
    """Statistics of the requests of a route or an interval.

    Attributes:
        requests: Number of requests that ended.
        lost: Lost value by cause, in requests; a fraction of a request where
            shards are missing.
        reasons: Number of requests not answered in time, by reason, or by
            outcome if no reason is known.
        extra_attempts: Attempts beyond the first one for each shard.
        shards: Shards requested, summed over the answers.
        parts: Shards in the answers, summed over the answers.
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
        """Adds a request."""
        if line.outcome in _WITHOUT_VALUE:
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
        """Returns the share of the requested shards that were answered."""
        return self.parts / self.shards if self.shards else 1.0

    def latency_ms(self, percentile: float) -> float:
        """Returns a percentile of the answers' durations, 0 if none."""
        if not self.latencies.get_total_count():
            return 0.0
        return self.latencies.get_value_at_percentile(percentile) / 1000.0

    def kept_share(self) -> float:
        """Returns the share of the requests' value that was not lost."""
        if not self.requests:
            return 1.0
        return 1.0 - sum(self.lost.values()) / self.requests


@dataclasses.dataclass
class AccountStats:
    """Statistics of the requests of a client account.

    They have no histogram, since there may be very many accounts.

    Attributes:
        requests: Number of requests that ended.
        reasons: Number of requests not answered in time, by reason, or by
            outcome if no reason is known.
    """

    requests: int = 0
    reasons: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, line: RequestLine) -> None:
        """Adds a request."""
        self.requests += 1
        if line.outcome is not RequestOutcome.IN_TIME:
            self.reasons[line.reason or line.outcome] += 1


@dataclasses.dataclass
class DayReport:
    """Statistics of a day.

    Attributes:
        total: Statistics of all requests.
        routes: Statistics by route.
        hosts: Statistics by entry host.
        intervals: Statistics by start of the interval in seconds, in order of
            time.
        accounts: Statistics by client account.
        lost_processes: Processes that ended without logging a stop.
        lines_dropped: Lines that hosts dropped to bound their logs.
        unreadable: Lines that could not be parsed as a decision.
    """

    total: RequestStats
    routes: dict[str, RequestStats]
    hosts: dict[str, RequestStats]
    intervals: dict[float, RequestStats]
    accounts: dict[str, AccountStats] = dataclasses.field(default_factory=dict)
    lost_processes: list[LostProcess] = dataclasses.field(default_factory=list)
    lines_dropped: int = 0
    unreadable: int = 0


def build_day_report(lines: Iterable[RequestLine]) -> DayReport:
    """Builds the report of a day.

    Args:
        lines: One line per request, in any order.

    Returns:
        The report.
    """
    total = RequestStats()
    routes = collections.defaultdict(RequestStats)
    hosts = collections.defaultdict(RequestStats)
    intervals = collections.defaultdict(RequestStats)
    accounts = collections.defaultdict(AccountStats)
    for line in lines:
        if line.account:
            accounts[line.account].add(line)
        start = line.at_s // INTERVAL_S * INTERVAL_S
        for stats in (
            total,
            routes[line.route],
            hosts[line.host],
            intervals[start],
        ):
            stats.add(line)
    return DayReport(
        total,
        dict(sorted(routes.items())),
        dict(sorted(hosts.items())),
        _fill_gaps(intervals),
        dict(sorted(accounts.items())),
    )


def find_lost_processes(
    log_events: Iterable[tuple[float, str, str]],
) -> list[LostProcess]:
    """Finds processes that were killed, crashed or lost power.

    Args:
        log_events: Time in seconds, host and event name of all log lines. Lines
            of one host with the same time are in their original order.

    Returns:
        The processes in order of time.
    """
    last, found = {}, []
    for at_s, host, event in sorted(
        log_events, key=lambda log_event: log_event[0]
    ):
        before = last.get(host)
        if event == "start" and before and before[1] != "stop":
            found.append(LostProcess(host, before[0], at_s))
        last[host] = (at_s, event)
    return found


def _fill_gaps(
    intervals: dict[float, RequestStats],
) -> dict[float, RequestStats]:
    """Returns the intervals in order, with empty ones added in gaps."""
    if not intervals:
        return {}
    first, last = min(intervals), max(intervals)
    count = int((last - first) / INTERVAL_S) + 1
    starts = (first + index * INTERVAL_S for index in range(count))
    return {start: intervals.get(start, RequestStats()) for start in starts}


def extra_share(report: DayReport) -> dict[float, float]:
    """Returns the ratio of extra attempts to requested shards, by interval.

    The extra attempts are those of all requests; the shards are those of
    answered requests only.
    """
    return {
        start: stats.extra_attempts / stats.shards if stats.shards else 0.0
        for start, stats in report.intervals.items()
    }
