"""Which host scatters a request: the one that received it, or a faster one.

Load pattern: the partial results of many shards arrive at one host at the same
moment. On a slow link or a slow processor they queue for a large share of the
target latency, while another host processes them in a tenth of the time.
Requests are delegated to that host as long as it has capacity. A host that is
full or unreachable gets no further requests for a while.

Load pattern: some hosts, up to all of a zone, lose their links to all searchers
for seconds, while clients and other hosts still reach them. Such a host
reroutes its requests to hosts that reach searchers. It learns from their
answers which ones do, and prefers those.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity, Route

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
# A host that served a request within this time probably reaches searchers.
RECENTLY_SERVED_S = 5.0
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
        served_at: When it last answered a request.
        unable: By route, how often in a row it declined for lack of searchers,
            and until when it gets no requests of the route.
    """

    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    failures: int = 0
    backoff_until: float = 0.0
    answered_at: float = -1.0
    served_at: float = -math.inf
    unable: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def record_response(self, route: str, now: float) -> None:
        """Records an answer to a request of a route."""
        self.failures = 0
        self.answered_at = self.served_at = now
        self.unable.pop(route, None)

    def forget_unable(self, now: float) -> None:
        """Forgets routes for which it lacked searchers a while ago."""
        oldest = now - BACKOFF_S[-1]
        for route in [k for k, v in self.unable.items() if v[1] < oldest]:
            del self.unable[route]

    def has_served(self, now: float) -> bool:
        """Returns whether the host has served a request a moment ago."""
        return now - self.served_at < RECENTLY_SERVED_S

    def record_declined(self, now: float) -> None:
        """Starts a short backoff after the host declined a request."""
        self.backoff_until = now + DECLINED_BACKOFF_S
        self.answered_at = now

    def record_unable(self, route: str, now: float) -> None:
        """Starts a backoff after the host declined for lack of searchers.

        Args:
            route: The route of the request. Others may have searchers.
            now: Monotonic time in seconds.
        """
        count, _ = self.unable.get(route, (0, 0.0))
        step = min(count, len(BACKOFF_S) - 1)
        self.unable[route] = (count + 1, now + BACKOFF_S[step])
        self.answered_at = now

    def is_unable(self, route: str, now: float) -> bool:
        """Returns whether the host lacked searchers for a route lately."""
        _, until = self.unable.get(route, (0, 0.0))
        return now < until

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
        cut_off: Whether it has told that it reaches no searchers.
    """

    name: str
    address: Address
    capacity: HostCapacity
    same_zone: bool
    last_received_at: float
    delegate: Delegate
    zone_suspect: bool = False
    zone: str = ""
    cut_off: bool = False


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
    route: Route,
    now: float,
    random: Callable[[], float],
) -> Candidate | None:
    """Returns the host that should scatter a request, or None for this one.

    Args:
        own: Link rate and cores of this host's machine.
        candidates: The other hosts.
        route: The route of the request, with shards.
        now: Monotonic time in seconds.
        random: Returns a number in [0, 1).
    """
    best = None
    best_s = busy_s(len(route.shards), own)
    best_s -= MIN_GAIN_SHARE * route.target_latency_s
    for candidate in candidates:
        delegate_s = _expected_s(candidate, route, random)
        if delegate_s < best_s and _is_usable(candidate, route, now):
            best, best_s = candidate, delegate_s
    return best


def rank_reroutes(
    candidates: Iterable[Candidate],
    route: Route,
    now: float,
    random: Callable[[], float],
) -> list[Candidate]:
    """Returns the hosts to which a host without searchers may give a request.

    Args:
        candidates: The other hosts.
        route: The route of the request.
        now: Monotonic time in seconds.
        random: Returns a number in [0, 1).

    Returns:
        The hosts in order of preference: those that served requests a moment
        ago first, those that have told that they reach no searchers last.
    """
    ranked = []
    for index, candidate in enumerate(candidates):
        if not _is_usable(candidate, route, now):
            continue
        served = candidate.delegate.has_served(now)
        expected_s = _expected_s(candidate, route, random)
        key = (candidate.cut_off, not served, expected_s, index)
        ranked.append((key, candidate))
    ranked.sort(key=lambda item: item[0])
    return [candidate for _, candidate in ranked]


def _is_usable(candidate: Candidate, route: Route, now: float) -> bool:
    """Returns whether a request of a route may be given to a host now."""
    delegate = candidate.delegate
    return (
        not candidate.zone_suspect
        and now - candidate.last_received_at <= MAX_PEER_AGE_S
        and delegate.is_available(route.target_latency_s, now)
        and not delegate.is_unable(route.name, now)
    )


def _expected_s(
    candidate: Candidate, route: Route, random: Callable[[], float]
) -> float:
    """Returns how long a host needs for a request, in seconds."""
    attempts = max(1, len(route.shards))
    hop_s = HOP_S if candidate.same_zone else REMOTE_HOP_S
    # Assumes that the earlier requests have as many shards as this one.
    waiting = len(candidate.delegate.in_flight) * attempts
    work_s = busy_s(attempts + waiting, candidate.capacity)
    return hop_s + work_s + JITTER_S * random()
