"""Which host scatters a request: the one that got it, or one better placed.

Load pattern: the parts of many shards arrive at one host in the same moment.
Over a slow link or on a slow processor they queue for a large share of the
target latency, while another host takes them in a tenth of the time. Requests
go there as long as it has room; a host that is full or lost is left at once.
"""

import dataclasses
from collections.abc import Callable, Iterable

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity

# Bytes of one shard's request and response on the wire, headers included.
PART_BYTES = 800.0
# Processor time of one attempt on a core of the usual speed, system calls
# included.
ATTEMPT_CORE_S = 0.00025
# Additional latency of a request that another host scatters.
HOP_S = 0.002
REMOTE_HOP_S = 0.006
# Least gain, as a share of the target latency.
MIN_GAIN_SHARE = 0.05
# Share of the target latency that the work accepted by a host may need. A
# request counts with all its shards until its end, when most of it is done.
MAX_BUSY_SHARE = 0.6
# A host is not used if nobody has heard of it for this time.
MAX_PEER_AGE_S = 3.0
# How long a host is left after failures in a row.
BACKOFF_S = (0.5, 1.0, 2.0, 4.0, 8.0)
# How long a host is left that gave no sign of life; its machine is probably
# dark or cut off, and each request to it would be lost.
UNRESPONSIVE_BACKOFF_S = 4.0
# How long a host is left that had no room or another configuration.
DECLINED_BACKOFF_S = 0.1
# A host whose oldest answer is overdue by this share of the target is stuck.
STUCK_MULTIPLE = 2.0
# A request is given up after this multiple of its target latency if the host
# has answered nothing since; complete answers leave it much earlier.
RESPONSE_TIMEOUT_MULTIPLE = 2.5
# Spread of random tie-breaking, in seconds.
JITTER_S = 0.0005


@dataclasses.dataclass
class Delegate:
    """What this host has seen of a host that scatters for others.

    Attributes:
        in_flight: Start times of requests under way there, by number.
        failures: Failures in a row.
        backoff_until: Until when it is left.
        answered_at: When it last answered anything.
    """

    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    backoff_until: float = 0.0
    answered_at: float = -1.0

    def record_response(self, now: float) -> None:
        """Notes that it answered."""
        self.failures = 0
        self.answered_at = now

    def record_declined(self, now: float) -> None:
        """Notes that it did not take a request."""
        self.backoff_until = now + DECLINED_BACKOFF_S
        self.answered_at = now

    def record_failure(self, silent: bool, now: float) -> None:
        """Notes that it could not be reached, or broke off.

        Args:
            silent: Whether it did not react at all.
            now: Steady time in seconds.
        """
        step = min(self.failures, len(BACKOFF_S) - 1)
        self.failures += 1
        pause_s = max(
            BACKOFF_S[step], UNRESPONSIVE_BACKOFF_S if silent else 0.0
        )
        self.backoff_until = now + pause_s

    def is_unresponsive(self, since: float) -> bool:
        """Returns whether it has answered nothing since a time."""
        return self.answered_at < since

    def is_available(self, target_s: float, now: float) -> bool:
        """Returns whether it may get a request."""
        if now < self.backoff_until:
            return False
        oldest = min(self.in_flight.values(), default=now)
        return now - oldest <= STUCK_MULTIPLE * target_s


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A host that could scatter a request.

    Attributes:
        name: Its name.
        address: Where it takes requests of other hosts.
        capacity: What its machine has.
        same_zone: Whether it stands in this host's zone.
        last_received_at: When anybody last heard of it.
        delegate: What was seen of it.
    """

    name: str
    address: Address
    capacity: HostCapacity
    same_zone: bool
    last_received_at: float
    delegate: Delegate


def busy_s(attempts: int, capacity: HostCapacity) -> float:
    """Returns how long a host is busy with attempts, in seconds."""
    link_s = attempts * PART_BYTES * 8.0 / (capacity.link_mbps * 1e6)
    return max(link_s, attempts * ATTEMPT_CORE_S / capacity.cores)


def has_capacity(
    attempts: int, capacity: HostCapacity, target_s: float
) -> bool:
    """Returns whether a host should take a request of another host.

    Args:
        attempts: Shards of the requests under way, the new one included.
        capacity: What its machine has.
        target_s: Target latency of the new request, in seconds.
    """
    return busy_s(attempts, capacity) <= MAX_BUSY_SHARE * target_s


def choose_delegate(
    own: HostCapacity,
    candidates: Iterable[Candidate],
    shards: int,
    target_s: float,
    now: float,
    random: Callable[[], float],
) -> Candidate | None:
    """Returns the host that should scatter a request, or None for this one.

    Args:
        own: What this host's machine has.
        candidates: The other hosts.
        shards: Shards of the request.
        target_s: Its target latency, in seconds.
        now: Steady time in seconds.
        random: Returns a number in [0, 1).
    """
    best = None
    best_s = busy_s(shards, own) - MIN_GAIN_SHARE * target_s
    for candidate in candidates:
        delegate = candidate.delegate
        hop_s = HOP_S if candidate.same_zone else REMOTE_HOP_S
        waiting = len(delegate.in_flight) * shards
        there_s = hop_s + busy_s(shards + waiting, candidate.capacity)
        there_s += JITTER_S * random()
        if (
            there_s >= best_s
            or now - candidate.last_received_at > MAX_PEER_AGE_S
        ):
            continue
        if delegate.is_available(target_s, now):
            best, best_s = candidate, there_s
    return best
