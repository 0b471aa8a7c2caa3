"""Statistics of runs: merging, medians and ratios."""

import statistics

from hdrh.histogram import HdrHistogram

from bench.arrivals import BIN_S, new_histogram

PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
COMPARED = ("p50_ms", "p99_ms", "p999_ms", "extra_load", "cpu_ms_a_query")
RECOVERED_SHARE = 0.9


def merge_histograms(encoded: list[str]) -> HdrHistogram:
    """Returns the sum of encoded histograms."""
    total = new_histogram()
    for text in encoded:
        total.add(HdrHistogram.decode(text.encode()))
    return total


def add_counts(parts: list[dict]) -> dict:
    """Returns the sum by key of dictionaries of numbers."""
    total = {}
    for part in parts:
        for key, value in part.items():
            total[key] = total.get(key, 0) + value
    return total


def percentiles(histogram: HdrHistogram) -> dict:
    """Returns the reported percentiles, in milliseconds."""
    return {
        name: histogram.get_value_at_percentile(percentile) / 1000.0
        for name, percentile in PERCENTILES.items()
    }


def run_figures(results: list[dict], usage: dict, load: dict) -> dict:
    """Computes the statistics of one run.

    Args:
        results: The results of each load generator.
        usage: Items and requests executed, CPU seconds and decision counters.
        load: Phases (queries per second and seconds), number of shards,
            capacity in items per second, and times in seconds.

    Returns:
        The statistics by name. Among them are extra_load, the items executed
        per shard answered (1.0 is no extra work), cpu_us_a_shard_call, the CPU
        time of the daemons per item executed, and standin_cpu, the share of a
        core that the busiest searcher process used.
    """
    histogram = merge_histograms([part["histogram"] for part in results])
    counts = add_counts([part["counts"] for part in results])
    bins = add_counts([part["bins"] for part in results])
    answered = max(1, counts.get("answered", 0))
    ended = counts.get("answered", 0)
    ended += counts.get("refused", 0) + counts.get("failed", 0)
    covered = max(1, counts.get("covered_items", 0))
    sent = max(1, counts.get("sent", 0))
    figures = percentiles(histogram)
    figures |= {
        "coverage": counts.get("coverage_ppm", 0) / answered / 1e6,
        "full_share": counts.get("full", 0) / answered,
        "late_share": counts.get("late", 0) / answered,
        "refused_share": counts.get("refused", 0) / max(1, ended),
        "failed": counts.get("failed", 0),
        "extra_load": usage["items"] / covered,
        "items_a_request": usage["items"] / max(1, usage["requests"]),
        "cpu_ms_a_query": usage["cpu_s"] * 1000.0 / sent,
        "cpu_us_a_shard_call": usage["cpu_s"] * 1e6 / max(1, usage["items"]),
        "refusal_ms": counts.get("refused_us", 0)
        / max(1, counts.get("refused", 0))
        / 1000.0,
        "goodput": _goodput(bins, load),
        "recovery_s": _recovery_s(bins, load),
        "standin_cpu": usage["standin_cpu_s"] / load["seconds"],
        "hedges": usage.get("hedges", 0),
        "retries": usage.get("retries", 0),
        "histogram": histogram.encode().decode(),
    }
    return figures


def _goodput(bins: dict, load: dict) -> float:
    """Returns shards answered on time in the first phase over capacity."""
    seconds = load["phases"][0][1]
    # Queues are still empty in the first bins.
    skip = round(load["warmup_s"] / BIN_S)
    last = int(seconds / BIN_S)
    total = sum(bins.get(str(number), 0) for number in range(skip, last))
    return total / ((last - skip) * BIN_S) / load["capacity_items"]


def _recovery_s(bins: dict, load: dict) -> float:
    """Returns seconds from the second phase until goodput matches load."""
    if len(load["phases"]) < 2:
        return 0.0
    (_, seconds), (rate, rest) = load["phases"][:2]
    begin = int(seconds / BIN_S)
    wanted = RECOVERED_SHARE * rate * load["shards"] * BIN_S
    # Pairs of bins: Poisson arrivals vary too much in a single bin.
    for number in range(begin, begin + int(rest / BIN_S) - 1):
        pair = bins.get(str(number), 0) + bins.get(str(number + 1), 0)
        if pair >= 2 * wanted:
            return (number - begin) * BIN_S
    return rest


def summary(runs: list[dict]) -> dict:
    """Returns the median of each statistic and percentiles over all runs."""
    merged = merge_histograms([run["histogram"] for run in runs])
    names = [name for name in runs[0] if name != "histogram"]
    medians = {
        name: statistics.median(run[name] for run in runs) for name in names
    }
    return {
        "median": medians,
        "all_runs": percentiles(merged),
        "histogram": merged.encode().decode(),
    }


def ratios(runs: list[dict], baseline: list[dict]) -> dict:
    """Compares a design with a baseline, run by run with equal seeds.

    Args:
        runs: The design's runs.
        baseline: The baseline's runs.

    Returns:
        Median, lowest and highest ratio, by statistic.
    """
    ratio_by_name = {}
    for name in COMPARED:
        values = [
            run[name] / max(other[name], 1e-9)
            for run, other in zip(runs, baseline, strict=True)
        ]
        ratio_by_name[name] = {
            "median": statistics.median(values),
            "low": min(values),
            "high": max(values),
        }
    return ratio_by_name
