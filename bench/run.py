"""Benchmarks all designs on scenarios, interleaved, and reports results."""

import argparse
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

from bench import figures, report
from bench.cluster import DESIGNS, Cluster
from bench.scenarios import (
    KILL_ENTRY_HOST,
    RESTART_ENTRY_HOSTS,
    SCENARIOS,
    SELECTIONS,
    SERVICES,
    WARMUP_S,
    Scenario,
)

BUILD = pathlib.Path("build")
GENERATORS = 2
GENERATOR_START_S = 0.9
PAUSE_AFTER_RUN_S = 0.2
EXIT_STOPPED = 143


def capacity_queries(cluster: Cluster) -> float:
    """Returns the queries per second that fill all slots of the service."""
    shards = {s["shards"][0] for s in cluster.searchers.values()}
    slots = sum(s["slots"] for s in cluster.searchers.values())
    options = cluster.options
    return slots / len(shards) / (options.service_ms + options.request_ms) * 1e3


class Experiment:
    """One run of one scenario with one design.

    Attributes:
        cluster: The running processes.
        scenario: The scenario.
        design: The design under load.
        seed: Seed of the arrivals.
    """

    def __init__(self, cluster, scenario: Scenario, design: str, seed: int):
        self.cluster = cluster
        self.scenario = scenario
        self.design = design
        self.seed = seed

    def run(self) -> dict:
        """Runs the scenario and returns its statistics."""
        cluster = self.cluster
        cluster.wait_until(lambda: cluster.ensure_ready(self.design), 30.0)
        before = self._usage()
        start_at = time.monotonic() + GENERATOR_START_S
        generators = [
            self._start_generator(number, start_at)
            for number in range(GENERATORS)
        ]
        self._apply_changes(start_at)
        results = [self._finish(process, out) for process, out in generators]
        usage = self._usage_since(before)
        cluster.clear_faults()
        time.sleep(PAUSE_AFTER_RUN_S)
        return figures.run_figures(results, usage, self._load())

    def _usage(self) -> dict:
        cluster = self.cluster
        decisions = cluster.decisions(self.design)
        return {
            **cluster.executed(),
            "cpu_s": cluster.cpu_s(self.design),
            "standin_cpu_s": cluster.standin_cpu_s(),
            "hedges": decisions.get("hedges", 0),
            "retries": decisions.get("retries", 0),
        }

    def _usage_since(self, before: dict) -> dict:
        after = self._usage()
        return {key: max(0, after[key] - before[key]) for key in before}

    def _load(self) -> dict:
        queries = capacity_queries(self.cluster)
        shards = {s["shards"][0] for s in self.cluster.searchers.values()}
        phases = [
            (phase.share * queries, phase.seconds)
            for phase in self.scenario.phases
        ]
        return {
            "phases": phases,
            "shards": len(shards),
            "capacity_items": queries * len(shards),
            "warmup_s": WARMUP_S,
            "seconds": sum(seconds for _, seconds in phases),
        }

    def _start_generator(self, number: int, start_at: float):
        cluster = self.cluster
        targets = [
            (s["caller"]["host"], s["caller"]["port"])
            for s in (cluster.settings[n] for n in cluster.daemons(self.design))
        ]
        spec = {
            "seed": self.seed * GENERATORS + number,
            "start_at": start_at,
            "warmup_s": WARMUP_S,
            "phases": [
                (rate / GENERATORS, seconds)
                for rate, seconds in self._load()["phases"]
            ],
            "targets": targets[number:] + targets[:number],
            "deadline_ms": cluster.options.deadline_ms,
            "body": {
                "service": cluster.service,
                "deadline_ms": cluster.options.deadline_ms,
            },
        }
        path = cluster.write(f"load-{number}.json", spec)
        out = cluster.folder / f"load-{number}-out.json"
        arguments = ["-m", "bench.load", "--spec", path, "--out", str(out)]
        command = [sys.executable, "-W", "ignore", *arguments]
        return subprocess.Popen(command), out

    def _finish(self, process, out: pathlib.Path) -> dict:
        process.wait(self._load()["seconds"] + 20.0)
        return json.loads(out.read_text(encoding="utf-8"))

    def _apply_changes(self, start_at: float) -> None:
        for change in sorted(self.scenario.changes, key=lambda c: c.at_s):
            self.cluster.sleep_until(start_at + change.at_s)
            if change.select == KILL_ENTRY_HOST:
                rng = random.Random(self.seed)
                self.cluster.kill(rng.choice(self.cluster.daemons(self.design)))
            elif change.select == RESTART_ENTRY_HOSTS:
                for name in self.cluster.daemons(self.design):
                    self.cluster.kill(name)
            else:
                select = SELECTIONS[change.select]
                for name in select(self.cluster.searchers):
                    self.cluster.set_fault(name, **change.faults)


def run_all(cluster: Cluster, scenarios, options, clock=time.monotonic):
    """Runs all scenarios, designs interleaved, until the time limit.

    The first repeat always runs in full.

    Args:
        cluster: The running processes.
        scenarios: The scenarios.
        options: The command's options.
        clock: Returns monotonic time in seconds.

    Returns:
        Statistics of each run, by scenario and design.
    """
    end = clock() + options.seconds
    runs = {s.name: {d: [] for d in options.designs} for s in scenarios}
    for repeat in range(options.repeats):
        for scenario in scenarios:
            if repeat and clock() > end:
                return runs
            results = {
                design: Experiment(
                    cluster, scenario, design, options.seed + repeat
                ).run()
                for design in options.designs
            }
            for design, run in results.items():
                runs[scenario.name][design].append(run)
            print(report.progress(repeat, scenario.name, results), flush=True)
    return runs


def parse_options(arguments=None):
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true")
    parser.add_argument("--scenarios", default="")
    parser.add_argument("--shapes", default="oslo")
    parser.add_argument("--designs", default=",".join(DESIGNS))
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=270.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--service-ms", type=float, default=20.0)
    parser.add_argument("--request-ms", type=float, default=0.0)
    parser.add_argument("--deadline-ms", type=float, default=140.0)
    parser.add_argument(
        "--time-scale",
        type=float,
        default=2.0,
        help="multiplies service, request and deadline times, for a small"
        " test machine",
    )
    parser.add_argument("--out", default=str(BUILD / "bench.json"))
    options = parser.parse_args(arguments)
    options.service_ms *= options.time_scale
    options.request_ms *= options.time_scale
    options.deadline_ms = round(options.deadline_ms * options.time_scale)
    options.designs = tuple(options.designs.split(","))
    return options


def select_scenarios(options) -> list[Scenario]:
    """Returns the scenarios selected by the options."""
    names = options.scenarios.split(",") if options.scenarios else []
    return [
        scenario
        for scenario in SCENARIOS
        if scenario.name in names
        or (not names and (options.full or scenario.short))
    ]


def run_shape(shape: str, options) -> dict:
    """Runs the scenarios on one deployment and returns the report."""
    options.service = SERVICES[shape]
    cluster = Cluster(shape, BUILD / "bench" / shape, options)
    load_before = os.getloadavg()[0]
    try:
        cluster.start()
        runs = run_all(cluster, select_scenarios(options), options)
    finally:
        cluster.close()
    results = report.build(runs, options.designs)
    results["load_average_before"] = load_before
    results["load_average_after"] = os.getloadavg()[0]
    return results


def main() -> int:
    """Runs the benchmark.

    Returns:
        The exit code: 0, independent of the results.
    """
    # SystemExit on SIGTERM runs the cleanup that kills all started processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_STOPPED))
    options = parse_options()
    shapes = options.shapes.split(",")
    options.seconds /= len(shapes)
    reports = {shape: run_shape(shape, options) for shape in shapes}
    out = pathlib.Path(options.out)
    out.parent.mkdir(parents=True, exist_ok=True)
    settings = {k: v for k, v in vars(options).items() if k != "out"}
    value = {"options": settings, "shapes": reports}
    out.write_text(json.dumps(value, indent=1), encoding="utf-8")
    for shape, results in reports.items():
        print(report.table(shape, results))
        report.plot(results, out.with_name(f"{out.stem}-{shape}.png"))
    print(f"written: {out}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
