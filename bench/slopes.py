"""Measures how the cost of control grows, and writes build/slopes.json.

Runs at most 60 daemons on loopback at a time, one fleet after the other, and
drives the decision code alone for larger sizes.
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
# Zones, hosts a zone, and the services configured.
FLEETS = (
    (1, 3, (slopes_fleet.DESK_SERVICE,)),
    (3, 3, (slopes_fleet.DESK_SERVICE,)),
    (3, 3, OSLO.services),
    (3, 9, (slopes_fleet.DESK_SERVICE,)),
    (3, 20, (slopes_fleet.DESK_SERVICE,)),
)
GOSSIP = ((1, 9), (1, 27), (1, 60), (1, 118), (3, 9), (9, 9), (22, 9))
# Searchers, zones, hosts a zone known to one node.
NODES = (
    (1_000, 3, 3),
    (3_000, 22, 118),
    (10_000, 22, 118),
    (30_000, 22, 118),
    (100_000, 22, 118),
)


def main() -> int:
    """Runs all measurements.

    Returns:
        The exit code; a measurement that failed is named in the output.
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
    for sizes in GOSSIP:
        _run_measurement(
            figures, "gossip", slopes_decisions.measure_gossip, sizes
        )
    for sizes in NODES:
        _run_measurement(figures, "nodes", _run_in_process, sizes)
    print(f"written to {OUTPUT}")
    return 0


def _run_measurement(figures: dict, section: str, measure, arguments) -> None:
    started = time.monotonic()
    try:
        figures[section].append(measure(*arguments))
        print(json.dumps(figures[section][-1]), flush=True)
    except Exception as error:
        # The other measurements are still worth having.
        traceback.print_exc()
        failed = {"section": section, "arguments": str(arguments)}
        figures["failed"].append({**failed, "error": str(error)})
    print(f"{section}: {time.monotonic() - started:.1f} s", flush=True)
    OUTPUT.write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")


def _run_in_process(*sizes):
    """Measures a node in a fresh process, for its memory."""
    context = multiprocessing.get_context("spawn")
    with context.Pool(1) as pool:
        return pool.apply(slopes_decisions.measure_node, sizes)


if __name__ == "__main__":
    sys.exit(main())
