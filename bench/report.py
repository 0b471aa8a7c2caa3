"""Table, JSON value and plots of the benchmark results."""

import pathlib

from hdrh.histogram import HdrHistogram

from bench import figures

OWN_DESIGN = "owner"
PLOT_PERCENTILES = (50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9)
_COLUMNS = (
    ("p50_ms", "p50 ms", "{:.1f}"),
    ("p99_ms", "p99 ms", "{:.1f}"),
    ("p999_ms", "p99.9 ms", "{:.1f}"),
    ("coverage", "coverage", "{:.4f}"),
    ("full_share", "full", "{:.4f}"),
    ("refused_share", "refused", "{:.3f}"),
    ("failed", "failed", "{:.0f}"),
    ("late_share", "late", "{:.4f}"),
    ("extra_load", "load x", "{:.3f}"),
    ("goodput", "goodput", "{:.2f}"),
    ("recovery_s", "recov s", "{:.2f}"),
    ("cpu_ms_a_query", "cpu ms/q", "{:.2f}"),
    ("cpu_us_a_shard_call", "cpu us/it", "{:.0f}"),
    ("items_a_request", "it/req", "{:.2f}"),
    ("standin_cpu", "standin", "{:.2f}"),
)


def progress(repeat: int, scenario: str, results: dict) -> str:
    """Returns a progress line for one repeat of a scenario."""
    parts = [
        f"{design} p99 {run['p99_ms']:.0f} full {run['full_share']:.3f}"
        f" x{run['extra_load']:.2f}"
        for design, run in results.items()
    ]
    return f"repeat {repeat + 1} {scenario}: " + ", ".join(parts)


def build(runs: dict, designs) -> dict:
    """Builds the JSON value: runs, medians and ratios by scenario."""
    scenarios = {}
    for name, by_design in runs.items():
        own = by_design.get(OWN_DESIGN)
        if not all(by_design.values()):
            continue
        scenarios[name] = {
            "repeats": len(next(iter(by_design.values()))),
            "designs": {
                design: figures.summary(by_design[design]) for design in designs
            },
            "ratios": {
                design: figures.ratios(own, by_design[design])
                for design in designs
                if own and design != OWN_DESIGN
            },
            "runs": by_design,
        }
    return {"scenarios": scenarios}


def table(shape: str, results: dict) -> str:
    """Returns the medians and ratios as text."""
    lines = []
    header = "".join(f"{title:>10}" for _, title, _ in _COLUMNS)
    for name, scenario in results["scenarios"].items():
        lines.append(f"\n{shape} {name}, {scenario['repeats']} repeats, median")
        lines.append(f"{'design':<12}{header}")
        for design, entry in scenario["designs"].items():
            median = entry["median"]
            cells = [f.format(median[key]) for key, _, f in _COLUMNS]
            row = "".join(f"{cell:>10}" for cell in cells)
            lines.append(f"{design:<12}{row}")
        for design, ratios in scenario["ratios"].items():
            lines.append(_ratio_line(design, ratios))
    before, after = (
        results["load_average_before"],
        results["load_average_after"],
    )
    lines.append(f"\nload average before {before:.1f}, after {after:.1f}")
    return "\n".join(lines)


def _ratio_line(design: str, ratios: dict) -> str:
    parts = [
        f"{key} {value['median']:.2f} [{value['low']:.2f}..{value['high']:.2f}]"
        for key, value in ratios.items()
    ]
    return f"  {OWN_DESIGN}/{design}: " + ", ".join(parts)


def plot(results: dict, path: pathlib.Path) -> None:
    """Plots the latency percentiles of all scenarios to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    scenarios = results["scenarios"]
    if not scenarios:
        return
    rows = (len(scenarios) + 1) // 2
    _, axes = pyplot.subplots(rows, 2, figsize=(11, 3.4 * rows), squeeze=False)
    for axis, (name, scenario) in zip(
        axes.flat, scenarios.items(), strict=False
    ):
        _draw(axis, name, scenario)
    pyplot.tight_layout()
    pyplot.savefig(path)
    pyplot.close()


def _draw(axis, name: str, scenario: dict) -> None:
    positions = [1.0 / (1.0 - p / 100.0) for p in PLOT_PERCENTILES]
    for design, entry in scenario["designs"].items():
        histogram = HdrHistogram.decode(entry["histogram"].encode())
        values = [
            histogram.get_value_at_percentile(p) / 1000.0
            for p in PLOT_PERCENTILES
        ]
        axis.plot(positions, values, marker=".", label=design)
    axis.set_xscale("log")
    axis.set_xticks(positions, [str(p) for p in PLOT_PERCENTILES])
    axis.minorticks_off()
    axis.set_title(name)
    axis.set_xlabel("percentile")
    axis.set_ylabel("latency in ms")
    axis.set_ylim(bottom=0)
    axis.legend()
