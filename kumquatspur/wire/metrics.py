"""Metrics of one daemon: counters and mergeable latency histograms."""

import collections

from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class Metrics:
    """Counters and histograms.

    Attributes:
        counters: Counts by name and service.
        latencies: Latency histograms by service.
    """

    def __init__(self):
        self.counters = collections.Counter()
        self.latencies = {}

    def count(self, name: str, service: str = "") -> None:
        """Adds one to a counter."""
        self.counters[(name, service)] += 1

    def record_latency(self, service: str, seconds: float) -> None:
        """Records how long an answer took."""
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = new_histogram()
            self.latencies[service] = histogram
        histogram.record_value(int(seconds * 1_000_000))

    def count_bad_latency(self, service: str, seconds: float, record) -> None:
        """Counts an answer that missed the service's latency objective."""
        if seconds * 1000.0 > record.objectives.latency_ms:
            self.count("slow", service)

    def export(self) -> dict:
        """Returns all metrics in a form that other hosts' can be added to."""
        return {
            "counters": [
                {"name": name, "service": service, "value": value}
                for (name, service), value in sorted(self.counters.items())
            ],
            "latencies": [
                {
                    "service": service,
                    "histogram": histogram.encode().decode(),
                    "p50_us": histogram.get_value_at_percentile(50),
                    "p99_us": histogram.get_value_at_percentile(99),
                    "p999_us": histogram.get_value_at_percentile(99.9),
                }
                for service, histogram in sorted(self.latencies.items())
            ],
        }
