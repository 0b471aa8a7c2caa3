"""Plain designs of replica choice, kept to measure against.

Round robin, and the better of two random choices by own requests in flight
(Mitzenmacher, 2001).
"""

from collections.abc import Sequence

from kumquatspur.policy.replica_choice import Replica


def usable(replicas: Sequence[Replica]) -> list[Replica]:
    """Returns the replicas that answered last, or all if none did."""
    reachable = [replica for replica in replicas if replica.reachable]
    return reachable or list(replicas)


def choose_round_robin(
    replicas: Sequence[Replica], turn: int
) -> Replica | None:
    """Chooses the replica whose turn it is.

    Args:
        replicas: The candidates.
        turn: Grows by one with every choice.

    Returns:
        A candidate, or None if there is none.
    """
    candidates = sorted(usable(replicas), key=lambda replica: replica.searcher)
    return candidates[turn % len(candidates)] if candidates else None


def choose_of_two(replicas: Sequence[Replica], rng) -> Replica | None:
    """Chooses the one of two random replicas with fewer items in flight.

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
