"""Measures the processor time of a request's plan: `make bench-plan`.

Prints the time a shard for the whole life of a plan whose results arrive one by
one. It must not grow with the number of shards.
"""

import time

from kumquatspur.core.routing import Route
from kumquatspur.policy.request_plan import RequestPlan

SHARD_COUNTS = (10, 42, 63, 250)
REPEATS = 50
TARGET_S = 0.1
TIMEOUT_S = 0.6
HEDGE_S = 0.03
RESULT_INTERVAL_S = 0.0001


def run_plan(shards: tuple[str, ...]) -> None:
    """Runs the plan of one request with one result after the other."""
    route = Route(
        "r", "h", "/", True, TIMEOUT_S, TARGET_S, 2, 1,
        shards=shards, result_limit=50, min_shard_ratio=0.95,
    )  # fmt: skip
    plan = RequestPlan(route, shards, 0.0, TIMEOUT_S, HEDGE_S)
    for shard, _ in plan.due_attempts(0.0):
        plan.record_start(shard, f"{shard}-searcher", 0.0)
    now = 0.0
    for shard in shards:
        now += RESULT_INTERVAL_S
        plan.record_result(shard)
        plan.due_attempts(now)
        if plan.outcome(now) is None:
            plan.wake_at(now)


def seconds_a_shard(count: int) -> float:
    """Returns the least time a shard of several runs, in seconds."""
    shards = tuple(f"s{number}" for number in range(count))
    best = float("inf")
    for _ in range(REPEATS):
        started = time.perf_counter()
        run_plan(shards)
        best = min(best, time.perf_counter() - started)
    return best / count


def main() -> None:
    """Prints the figures."""
    for count in SHARD_COUNTS:
        print(f"{count:4d} shards: {seconds_a_shard(count) * 1e6:5.1f} us each")


if __name__ == "__main__":
    main()
