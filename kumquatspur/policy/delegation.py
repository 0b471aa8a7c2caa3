"""Which host scatters a request: the one that received it, or a faster one.

Load pattern: the partial results of many shards arrive at one host at the same
moment. On a slow link or a slow processor they queue for a large share of the
target latency, while another host processes them in a tenth of the time.
Requests are delegated to that host as long as it has capacity. A host that is
full or unreachable gets no further requests for a while.
"""

import dataclasses
from collections.abc import Callable, Iterable

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity

# Bytes of one shard's request and response on the network, headers included.
PART_BYTES = 800.0
# CPU time of one attempt on a core of average speed, system calls included.
ATTEMPT_CORE_S = 0.00025
# Additional latency of a delegated request, in this zone and in another one.
HOP_S = 0.002
REMOTE_HOP_S = 0.006
# Minimum gain for a delegation, as a share of the target latency.
MIN_GAIN_SHARE = 0.05
# Maximum time that a host needs for the work it has accepted, as a share of the
# target latency. Until a request ends, all its shards are counted, although
# most of the work may already be done.
MAX_BUSY_SHARE = 0.6
# A host gets no requests if no host has received a message from it for this
# time.
MAX_PEER_AGE_S = 3.0
# Backoff after the first, second, ... consecutive failure.
BACKOFF_S = (0.5, 1.0, 2.0, 4.0, 8.0)
# Minimum backoff for a host that did not respond at all. Its machine is
# probably without power or cut off, and every request to it would fail.
UNRESPONSIVE_BACKOFF_S = 4.0
# Backoff for a host that had no capacity or another configuration version.
DECLINED_BACKOFF_S = 0.1
# A host gets no requests while its oldest one has been in flight for longer
# than this multiple of the target latency.
STUCK_MULTIPLE = 2.0
# A delegated request is abandoned after this multiple of its target latency if
# the host has answered no request since it was sent. Complete answers take far
# less time.
RESPONSE_TIMEOUT_MULTIPLE = 2.5
# Range of the random tie-breaking term.
JITTER_S = 0.0005


@dataclasses.dataclass
class Delegate:
    """What this host has observed of a host that scatters for others.

    Attributes:
        in_flight: Start times of the requests delegated to it, by number.
        failures: Consecutive failures.
        backoff_until: It gets no requests before this time.
        answered_at: When it last answered a request or declined one.
    """

    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    backoff_until: float = 0.0
    answered_at: float = -1.0

    def record_response(self, now: float) -> None:
        """Records an answer and resets the failure count."""
        self.failures = 0
        self.answered_at = now

    def record_declined(self, now: float) -> None:
        """Starts a short backoff after the host declined a request."""
        self.backoff_until = now + DECLINED_BACKOFF_S
        self.answered_at = now

    def record_failure(self, unresponsive: bool, now: float) -> None:
        """Starts a backoff after the host was unreachable or disconnected.

        Args:
            unresponsive: Whether it did not respond at all.
            now: Monotonic time in seconds.
        """
        step = min(self.failures, len(BACKOFF_S) - 1)
        self.failures += 1
        backoff_s = max(
            BACKOFF_S[step], UNRESPONSIVE_BACKOFF_S if unresponsive else 0.0
        )
        self.backoff_until = now + backoff_s

    def is_unresponsive(self, since: float) -> bool:
        """Returns whether the host has answered nothing since a time."""
        return self.answered_at < since

    def is_available(self, target_s: float, now: float) -> bool:
        """Returns whether requests may be delegated to the host."""
        if now < self.backoff_until:
            return False
        oldest = min(self.in_flight.values(), default=now)
        return now - oldest <= STUCK_MULTIPLE * target_s


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A host that a request could be delegated to.

    Attributes:
        name: Name of the host.
        address: Address where it accepts delegated requests.
        capacity: Link rate and cores of its machine.
        same_zone: Whether it is in this host's zone.
        last_received_at: When any host last received a message from it.
        delegate: What this host has observed of it.
        zone_suspect: Whether its zone is probably cut off from this host.
        zone: Its availability zone.
    """

    name: str
    address: Address
    capacity: HostCapacity
    same_zone: bool
    last_received_at: float
    delegate: Delegate
    zone_suspect: bool = False
    zone: str = ""


def busy_s(attempts: int, capacity: HostCapacity) -> float:
    """Returns how long a host needs for a number of attempts, in seconds."""
    link_s = attempts * PART_BYTES * 8.0 / (capacity.link_mbps * 1e6)
    return max(link_s, attempts * ATTEMPT_CORE_S / capacity.cores)


def has_capacity(
    attempts: int, capacity: HostCapacity, target_s: float
) -> bool:
    """Returns whether a host should accept a delegated request.

    Args:
        attempts: Shards of all requests in progress, the new one included.
        capacity: Link rate and cores of its machine.
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
        own: Link rate and cores of this host's machine.
        candidates: The other hosts.
        shards: Number of shards of the request.
        target_s: Target latency of the request, in seconds.
        now: Monotonic time in seconds.
        random: Returns a number in [0, 1).
    """
    best = None
    best_s = busy_s(shards, own) - MIN_GAIN_SHARE * target_s
    for candidate in candidates:
        delegate = candidate.delegate
        hop_s = HOP_S if candidate.same_zone else REMOTE_HOP_S
        # Assumes that the earlier requests have as many shards as this one.
        waiting = len(delegate.in_flight) * shards
        delegate_s = hop_s + busy_s(shards + waiting, candidate.capacity)
        delegate_s += JITTER_S * random()
        if (
            delegate_s >= best_s
            or candidate.zone_suspect
            or now - candidate.last_received_at > MAX_PEER_AGE_S
        ):
            continue
        if delegate.is_available(target_s, now):
            best, best_s = candidate, delegate_s
    return best
