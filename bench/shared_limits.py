"""Measures how far hosts together use the limit of a searcher, by simulation.

Usage: python -m bench.shared_limits
"""

from standins.limit_rule import WINDOW_S, most_in_window
from standins.limit_simulation import LimitSimulation

SEEDS = range(5)
SETTLE_S = 4.0
MEASURED_S = 20.0
GROWTH_AT_S = 112.0
# Hosts, limit per second, and requests per second at a host and time.
LOADS = {
    "9 hosts alike, 45/s": (9, 15.0, lambda host, now: 5.0),
    "all 45/s at one of 9 hosts": (
        9,
        15.0,
        lambda host, now: 45.0 if host == 4 else 0.0,
    ),
    "45/s move between 9 hosts each 3 s": (
        9,
        15.0,
        lambda host, now: 45.0 if host == int(now / 3.0) % 9 else 0.0,
    ),
    "9/s grow to 135/s at once": (
        9,
        15.0,
        lambda host, now: 1.0 if now < GROWTH_AT_S else 15.0,
    ),
    "9 hosts, limit of 1/s": (9, 1.0, lambda host, now: 5.0),
    "91 hosts alike, 82/s": (91, 13.0, lambda host, now: 0.9),
    "195 hosts alike, 98/s": (195, 10.0, lambda host, now: 0.5),
    "60/s at 15 of 195 hosts": (
        195,
        10.0,
        lambda host, now: 4.0 if host % 13 == 0 else 0.0,
    ),
}


def main() -> None:
    """Prints a table."""
    print("| load | limit/s | most in 4 s, of 4 limits | used, of the limit |")
    print("| --- | --- | --- | --- |")
    for name, (count, limit, rate) in LOADS.items():
        most, used = [], []
        for seed in SEEDS:
            simulation = LimitSimulation(count, limit, rate, seed)
            simulation.run(SETTLE_S)
            start = simulation.now
            simulation.run(MEASURED_S)
            found = most_in_window(simulation.arrivals, start)
            most.append(found / (WINDOW_S * limit))
            used.append(simulation.rate_between(start, simulation.now) / limit)
        mean_used = sum(used) / len(used)
        print(f"| {name} | {limit:g} | {max(most):.2f} | {mean_used:.2f} |")


if __name__ == "__main__":
    main()
