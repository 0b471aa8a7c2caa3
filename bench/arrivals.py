"""Poisson arrivals, and the resolution of the latencies recorded."""

import random

from hdrh.histogram import HdrHistogram

LOWEST_US = 100
HIGHEST_US = 10_000_000
SIGNIFICANT_DIGITS = 3
BIN_S = 0.25


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def arrivals(rng: random.Random, phases):
    """Yields the offsets of Poisson arrivals.

    Args:
        rng: The source of randomness.
        phases: Pairs of rate in 1/s and length in s.

    Yields:
        Arrival times in seconds after the start, ascending.
    """
    begin = 0.0
    for rate, seconds in phases:
        at = begin
        while rate > 0.0:
            at += rng.expovariate(rate)
            if at >= begin + seconds:
                break
            yield at
        begin += seconds
