"""Measures how control-plane cost grows with size; writes build/slopes.json.

Runs fleets of at most 60 daemons on loopback, one after the other. Larger sizes
are measured on the decision code alone, with a simulated clock.
"""

import argparse
import json
import multiprocessing
import pathlib
import shutil
import sys
import time
import traceback

from bench import slopes_decisions, slopes_fleet
from standins.shapes import OSLO

BUILD = pathlib.Path("build/slopes")
OUTPUT = pathlib.Path("build/slopes.json")
# Number of zones, hosts per zone, and the services configured.
FLEETS = (
    (1, 3, (slopes_fleet.DESK_SERVICE,)),
    (3, 3, (slopes_fleet.DESK_SERVICE,)),
    (3, 3, OSLO.services),
    (3, 9, (slopes_fleet.DESK_SERVICE,)),
    (3, 20, (slopes_fleet.DESK_SERVICE,)),
)
# Number of zones and hosts per zone.
CONTROL_TRAFFIC_SIZES = (
    (1, 9),
    (1, 27),
    (1, 60),
    (1, 118),
    (3, 9),
    (9, 9),
    (22, 9),
)
# Number of searchers, zones and hosts per zone in the state of one node.
NODE_SIZES = (
    (1_000, 3, 3),
    (3_000, 22, 118),
    (10_000, 22, 118),
    (30_000, 22, 118),
    (100_000, 22, 118),
)


def main() -> int:
    """Runs all measurements.

    Returns:
        The exit code, which is 0 even if a measurement failed; the output
        file lists failed measurements.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--max-daemons", type=int, default=60)
    arguments = parser.parse_args()
    shutil.rmtree(BUILD, ignore_errors=True)
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    figures = {
        "command": "make slopes",
        "started": time.strftime("%Y-%m-%dT%H:%M:%S"),
        "import_rss_mb": slopes_fleet.import_rss_mb(),
        "fleets": [],
        "gossip": [],
        "nodes": [],
        "failed": [],
    }
    for number, (zones, hosts, services) in enumerate(FLEETS):
        if zones * hosts <= arguments.max_daemons:
            folder = BUILD / str(number)
            _run_measurement(
                figures,
                "fleets",
                slopes_fleet.measure_fleet,
                (folder, zones, hosts, arguments.seconds, services),
            )
    for sizes in CONTROL_TRAFFIC_SIZES:
        _run_measurement(
            figures, "gossip", slopes_decisions.measure_control_traffic, sizes
        )
    for sizes in NODE_SIZES:
        _run_measurement(figures, "nodes", _run_in_process, sizes)
    print(f"written to {OUTPUT}")
    return 0


def _run_measurement(figures: dict, section: str, measure, arguments) -> None:
    started = time.monotonic()
    try:
        figures[section].append(measure(*arguments))
        print(json.dumps(figures[section][-1]), flush=True)
    except Exception as error:
        # A failed measurement is recorded and does not stop the others.
        traceback.print_exc()
        failed = {"section": section, "arguments": str(arguments)}
        figures["failed"].append({**failed, "error": str(error)})
    print(f"{section}: {time.monotonic() - started:.1f} s", flush=True)
    OUTPUT.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")


def _run_in_process(*sizes):
    """Measures a node in a new process, so that its memory is comparable."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(slopes_decisions.measure_node, sizes)


if __name__ == "__main__":
    sys.exit(main())
