"""Simple replica selection policies that benchmarks compare against.

Round robin, and the power of two random choices by this host's attempts in
flight (Mitzenmacher, 2001).
"""

from collections.abc import Sequence

from kumquatspur.policy.replica_choice import Replica


def usable(replicas: Sequence[Replica]) -> list[Replica]:
    """Returns the reachable replicas, or all replicas if none is reachable."""
    reachable = [replica for replica in replicas if replica.reachable]
    return reachable or list(replicas)


def choose_round_robin(
    replicas: Sequence[Replica], round_robin_index: int
) -> Replica | None:
    """Chooses replicas in round-robin order.

    Args:
        replicas: The candidates.
        round_robin_index: A counter that the caller increments with every
            choice.

    Returns:
        A candidate, or None if there is none.
    """
    candidates = sorted(usable(replicas), key=lambda replica: replica.searcher)
    return (
        candidates[round_robin_index % len(candidates)] if candidates else None
    )


def choose_of_two(replicas: Sequence[Replica], rng) -> Replica | None:
    """Samples two replicas and chooses the one with fewer attempts in flight.

    Args:
        replicas: The candidates.
        rng: A `random.Random`.

    Returns:
        A candidate, or None if there is none.
    """
    candidates = usable(replicas)
    if len(candidates) > 1:
        candidates = rng.sample(candidates, 2)
    return min(candidates, key=lambda r: r.in_flight, default=None)
