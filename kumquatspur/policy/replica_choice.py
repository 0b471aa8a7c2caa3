"""Chooses the replica of a shard that is asked."""

from collections.abc import Iterable

from kumquatspur.core.records import record


@record
class Replica:
    """A candidate with its reported load.

    Attributes:
        searcher: The searcher's name.
        local: Whether it is in the entry host's own availability zone.
        reachable: Whether its last request or probe succeeded.
        backlog: Items waiting or running there, as last reported.
        slots: Requests that it executes concurrently.
        latency_ms: Smoothed latency of one request.
        in_flight: This host's attempts in flight there.
        in_flight_at_report: This host's own count of its attempts in flight
            there when the last report arrived.
    """

    searcher: str
    local: bool
    reachable: bool
    backlog: int
    slots: int
    latency_ms: float
    in_flight: int = 0
    in_flight_at_report: int = 0


ZONE_HOP_MS = 3.0
UNREACHABLE_PENALTY_MS = 10_000.0
# Estimates are randomly increased by up to this share, so that hosts with the
# same reports do not all choose the same replica.
JITTER_SHARE = 0.1


def current_backlog(replica: Replica) -> int:
    """Returns the estimated number of items waiting or running at a replica.

    The reported number is corrected by the change in this host's attempts
    since the report.
    """
    change = replica.in_flight - replica.in_flight_at_report
    return max(replica.in_flight, replica.backlog + change, 0)


def expected_ms(replica: Replica) -> float:
    """Estimates how long a replica takes to answer one more item.

    Args:
        replica: The candidate.

    Returns:
        Milliseconds: the latency, the wait while all slots are busy and the
        round trip to another zone.
    """
    latency = max(replica.latency_ms, 1.0)
    ahead = current_backlog(replica) + 1 - replica.slots
    estimate = latency * (1.0 + max(0, ahead) / replica.slots)
    # Prefer the replica with the lower backlog per slot, even if both have a
    # free slot.
    estimate += 0.1 * latency * current_backlog(replica) / replica.slots
    if not replica.local:
        estimate += ZONE_HOP_MS
    if not replica.reachable:
        estimate += UNREACHABLE_PENALTY_MS
    return estimate


def choose_replica(replicas: Iterable[Replica], rng) -> Replica | None:
    """Chooses the replica with the lowest expected latency.

    Args:
        replicas: The candidates.
        rng: A `random.Random` for the jitter.

    Returns:
        The best candidate, or None if there is none.
    """
    return min(
        replicas,
        key=lambda r: expected_ms(r) * rng.uniform(1.0, 1.0 + JITTER_SHARE),
        default=None,
    )
