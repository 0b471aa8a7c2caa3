"""Divides the limits of searchers among the hosts.

Load pattern: requests for a searcher arrive at some hosts only, at other hosts
in the next second, and hosts join, leave and restart meanwhile. The parts that
the hosts may use have to follow the requests, and their sum must not exceed the
limit.

One host, the allocator, leases the parts. It is in the searcher's zone, so that
a host which is cut off from it is cut off from the searcher as well. Nothing
has to be agreed or kept: hosts rank the candidates in the same way, a lease
ends by itself, and a new allocator learns from the hosts what they hold. While
two hosts act as the allocator of a searcher, each of them keeps its own sum.
"""

import dataclasses
from collections.abc import Mapping

# A host asks again after this time, or later if so many hosts ask that the
# allocator would have to answer more than `MAX_ASKS_PER_S`.
RENEW_S = 0.5
MAX_ASKS_PER_S = 200.0
# A lease lasts for this multiple of the time after which it is renewed.
LEASE_MULTIPLE = 4.0
# Factor by which a host's part may grow with each renewal. It bounds what hosts
# can hold beyond the limit after another host has become the allocator.
MAX_GROWTH = 2.0
# Assumed part of a host that holds none, so that its part can grow.
MIN_SHARE = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class ShareAsk:
    """What a host needs of one searcher.

    Attributes:
        per_s: Requests per second that it has for the searcher.
        held: Part of the limit that it may use now.
    """

    per_s: float
    held: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    per_s: float
    share: float
    until: float


_NO_LEASE = _Lease(0.0, 0.0, 0.0)


@dataclasses.dataclass(slots=True)
class _SearcherLeases:
    """The leases of one searcher, with their sums.

    Attributes:
        by_host: Leases by host.
        share: Sum of the leased parts.
        per_s: Sum of the hosts' requests per second.
    """

    by_host: dict[str, _Lease] = dataclasses.field(default_factory=dict)
    share: float = 0.0
    per_s: float = 0.0

    def put(self, host: str, lease: _Lease) -> None:
        """Replaces the lease of a host."""
        old = self.by_host.get(host, _NO_LEASE)
        self.share += lease.share - old.share
        self.per_s += lease.per_s - old.per_s
        self.by_host[host] = lease

    def expire(self, now: float) -> None:
        """Removes the leases that have ended."""
        ended = [k for k, v in self.by_host.items() if v.until <= now]
        for host in ended:
            del self.by_host[host]
        if ended:
            # Adding up again removes rounding errors too.
            self.share = sum(lease.share for lease in self.by_host.values())
            self.per_s = sum(lease.per_s for lease in self.by_host.values())


@dataclasses.dataclass
class ShareLedger:
    """The parts that this host has leased as an allocator.

    The cost of an answer does not depend on the number of hosts.

    Attributes:
        leases: Leases by searcher.
        asked_at: When each host last asked.
    """

    leases: dict[str, _SearcherLeases] = dataclasses.field(default_factory=dict)
    asked_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def renew_s(self) -> float:
        """Returns the time after which a host should ask again, in seconds."""
        return max(RENEW_S, len(self.asked_at) / MAX_ASKS_PER_S)

    def lease_s(self) -> float:
        """Returns the length of a lease in seconds."""
        return self.renew_s() * LEASE_MULTIPLE

    def renew(
        self, host: str, asks: Mapping[str, ShareAsk], now: float
    ) -> dict[str, float]:
        """Leases parts of limits to a host.

        Args:
            host: The host.
            asks: What it needs, by searcher.
            now: Monotonic time in seconds.

        Returns:
            The parts by searcher. They replace those leased before.
        """
        self.asked_at[host] = now
        until = now + self.lease_s()
        granted = {}
        for searcher_id, ask in asks.items():
            leases = self.leases.setdefault(searcher_id, _SearcherLeases())
            share = _share(ask, leases, leases.by_host.get(host, _NO_LEASE))
            leases.put(host, _Lease(ask.per_s, share, until))
            granted[searcher_id] = share
        return granted

    def expire(self, now: float) -> None:
        """Forgets leases that have ended and hosts that no longer ask.

        Until this is called, an ended lease counts as held.
        """
        for searcher_id, leases in list(self.leases.items()):
            leases.expire(now)
            if not leases.by_host:
                del self.leases[searcher_id]
        oldest = now - self.lease_s()
        for host in [k for k, at in self.asked_at.items() if at < oldest]:
            del self.asked_at[host]


def _share(ask: ShareAsk, leases: _SearcherLeases, own: _Lease) -> float:
    """Returns the part for a host beside the leases of the other hosts."""
    if ask.per_s <= 0.0:
        return 0.0
    wanted = ask.per_s + max(0.0, leases.per_s - own.per_s)
    left = 1.0 - (leases.share - own.share)
    growth = MAX_GROWTH * max(ask.held, MIN_SHARE)
    return max(0.0, min(ask.per_s / wanted, growth, left))
