"""Latency histograms that can be merged over hosts."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of latencies in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
