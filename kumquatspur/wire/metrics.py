"""Metrics of one daemon: mergeable histograms and sliding event windows."""

import dataclasses

from kumquatspur.core import actions
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Objectives
from kumquatspur.policy.burn import EventCounts
from kumquatspur.policy.event_windows import EventWindows
from kumquatspur.policy.latency_histogram import new_histogram

# Refusals caused by the request itself; they do not count against the error
# budget.
CALLER_ERRORS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNKNOWN_SERVICE,
        Reason.UNKNOWN_SHARD,
        Reason.ALREADY_CLAIMED,
        Reason.CRASHES_UPSTREAMS,
    }
)


def count_events(action, seconds: float, objectives: Objectives) -> EventCounts:
    """Classifies the outcome of a query by the service's objectives.

    Args:
        action: The `AnswerCaller` or `RefuseCaller` that ended it.
        seconds: The duration of the query.
        objectives: The service's objectives.

    Returns:
        The events to add; all zero if the request itself caused the refusal.
    """
    if isinstance(action, actions.RefuseCaller):
        refused = action.refusal.reason not in CALLER_ERRORS
        return EventCounts(refused=int(refused))
    slow = seconds * 1000.0 > objectives.latency_ms
    partial = bool(action.answer.missing)
    return EventCounts(answered=1, partial=int(partial), slow=int(slow))


class Metrics:
    """Latency histograms and event windows by service.

    Attributes:
        latencies: Latency histograms by service, since the start.
        windows: Events by service, in sliding windows.
        totals: Events by service since the start.
    """

    def __init__(self):
        self.latencies = {}
        self.windows = EventWindows()
        self.totals = {}

    def record_query(self, service, action, seconds: float, now: float):
        """Records the outcome of a query.

        Args:
            service: The `Service` queried.
            action: The `AnswerCaller` or `RefuseCaller` that ended it.
            seconds: The duration of the query.
            now: The current time in seconds.
        """
        counts = count_events(action, seconds, service.objectives)
        self.windows.add(service.name, counts, now)
        total = self.totals.get(service.name, EventCounts())
        self.totals[service.name] = total.plus(counts)
        if isinstance(action, actions.AnswerCaller):
            self._record_latency(service.name, seconds)

    def export(self, now: float) -> dict:
        """Returns all metrics in a form that can be merged over hosts.

        Args:
            now: The current time in seconds.

        Returns:
            A JSON value; histograms are in HdrHistogram's V2 encoding.
        """
        return {
            "totals": [
                {"service": service, **dataclasses.asdict(counts)}
                for service, counts in sorted(self.totals.items())
            ],
            "windows": [
                {
                    "service": service,
                    "window_s": window_s,
                    **dataclasses.asdict(counts),
                }
                for (service, window_s), counts in sorted(
                    self.windows.totals(now).items()
                )
            ],
            "latencies": [
                {"service": service, "histogram": histogram.encode().decode()}
                for service, histogram in sorted(self.latencies.items())
            ],
        }

    def _record_latency(self, service: str, seconds: float) -> None:
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = new_histogram()
            self.latencies[service] = histogram
        histogram.record_value(int(seconds * 1_000_000))
