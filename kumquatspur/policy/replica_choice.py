"""Which replica of a shard is asked."""

from collections.abc import Iterable

from kumquatspur.core.records import record


@record
class Replica:
    """A candidate and what is known of it.

    Attributes:
        searcher: The searcher's name.
        local: Whether it is in the entry host's own availability zone.
        reachable: Whether its last request or probe succeeded.
        backlog: Items waiting or running there.
        slots: Requests that it executes at once.
        latency_ms: Smoothed latency of one request.
    """

    searcher: str
    local: bool
    reachable: bool
    backlog: int
    slots: int
    latency_ms: float


ZONE_HOP_MS = 3.0
UNREACHABLE_PENALTY_MS = 10_000.0


def expected_ms(replica: Replica) -> float:
    """Estimates how long a replica takes to answer one more item.

    Args:
        replica: The candidate.

    Returns:
        Milliseconds: the queueing delay, the latency and the round trip to
        another zone.
    """
    latency = max(replica.latency_ms, 1.0)
    estimate = latency * (1.0 + replica.backlog / replica.slots)
    if not replica.local:
        estimate += ZONE_HOP_MS
    if not replica.reachable:
        estimate += UNREACHABLE_PENALTY_MS
    return estimate


def choose_replica(replicas: Iterable[Replica], rng) -> Replica | None:
    """Chooses the replica that should answer first.

    Args:
        replicas: The candidates.
        rng: A `random.Random`, for breaking ties.

    Returns:
        The best candidate, or None if there is none.
    """
    return min(
        replicas,
        key=lambda replica: (expected_ms(replica), rng.random()),
        default=None,
    )
