"""Simulates hosts that share the limit of one searcher, with a given clock.

The searcher may be cold instead of naming a limit. Used by tests. Hosts get
requests at random times, ask an allocator for parts of the limit and may lose
it, restart, or be cut off from each other.
"""

import dataclasses
import random
from collections.abc import Callable

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.limit_shares import ShareAsk, ShareLedger
from kumquatspur.policy.peer_table import ISOLATED_AFTER_S
from kumquatspur.policy.searcher_limits import (
    UNLEASED_SHARE,
    ColdRate,
    SearcherLimits,
    cold_aim_per_s,
)
from standins.limit_rule import most_in_window

STEP_S = 0.01
ASK_TIMEOUT_S = 0.5
BACKOFF_S = 2.0
# The users' rule counts the requests of a host this long after it was told.
TOLD_S = 0.5
# The users' rule for a cold searcher, in any second.
COLD_WINDOW_S = 1.0
COLD_FACTOR = 1.5
COLD_EXTRA_REQUESTS = 5.0
SEARCHER = SearcherEntry(
    "i", "s", Address("10.0.0.1", 80), "z", 2, SearcherState.READY, 0.0
)


@dataclasses.dataclass
class SimulatedHost:
    """One host.

    Attributes:
        number: Its rank as an allocator; 0 is the first.
        limits: What it knows of the searcher's limit.
        ledger: What it has leased to others.
        up: Whether it runs.
        told_at: When the searcher first told it of the limit; None if never.
        group: Hosts of different groups cannot reach each other.
        asks_at: When it asks for a lease next.
        heard_at: When it last received a message.
        backoff_until: Until when it does not ask a host, by number.
    """

    number: int
    limits: SearcherLimits
    ledger: ShareLedger = dataclasses.field(default_factory=ShareLedger)
    up: bool = True
    told_at: float | None = None
    group: int = 0
    asks_at: float = 0.0
    heard_at: float = 0.0
    backoff_until: dict[int, float] = dataclasses.field(default_factory=dict)


class LimitSimulation:
    """Hosts, one searcher with a limit, and the time.

    Attributes:
        limit_per_s: The limit that the searcher names; None for none.
        rate: Requests per second at a host, by its number and the time.
        hosts: The hosts.
        now: The current time in seconds.
        arrivals: When each request reached the searcher, from hosts that had
            been told of the limit.
        cold: The cold rate of the searcher, which all hosts know; None if it
            is warm. All its requests are among the arrivals.
        excused: Numbers of hosts whose requests are not among the arrivals.
    """

    def __init__(
        self,
        count: int,
        limit_per_s: float | None,
        rate: Callable[[int, float], float],
        seed: int,
    ):
        self.limit_per_s = limit_per_s
        self.rate = rate
        self.random = random.Random(seed)
        self.now = 100.0
        self.arrivals = []
        self.cold = None
        self.excused = set()
        self.hosts = [self._new_host(number, count) for number in range(count)]

    def _new_host(self, number: int, count: int) -> SimulatedHost:
        limits = SearcherLimits(unleased_share=UNLEASED_SHARE / count)
        if self.cold is not None:
            limits.set_cold("i", self.cold, self.now)
        return SimulatedHost(number, limits)

    def restart(self, number: int) -> None:
        """Replaces a host by one that knows nothing."""
        group = self.hosts[number].group
        self.hosts[number] = self._new_host(number, len(self.hosts))
        self.hosts[number].group = group

    def set_cold(self, cold_per_s: float, warmup_s: float) -> None:
        """Makes the searcher cold, as if it were back."""
        aim_per_s = cold_aim_per_s(cold_per_s, COLD_FACTOR, COLD_EXTRA_REQUESTS)
        self.cold = ColdRate(aim_per_s, warmup_s, self.now + warmup_s)
        for host in self.hosts:
            host.limits.set_cold("i", self.cold, self.now)

    def most_while_cold(self, since: float) -> int:
        """Returns the most requests in a second of the warm-up.

        Args:
            since: When the searcher became cold.
        """
        times = [at for at in self.arrivals if at < self.cold.until]
        return most_in_window(times, since, COLD_WINDOW_S)

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for host in self.hosts:
                if host.up:
                    self._step(host)

    def _step(self, host: SimulatedHost) -> None:
        host.ledger.expire(self.now)
        expected = self.rate(host.number, self.now) * STEP_S
        while expected > 0.0:
            if self.random.random() < expected:
                self._request(host)
            expected -= 1.0
        if "i" in host.limits.by_searcher and self.now >= host.asks_at:
            self._ask(host)

    def _request(self, host: SimulatedHost) -> None:
        draw = 1.0 - self.random.random()
        if not host.limits.first_admitted([SEARCHER], draw, self.now):
            return
        if host.told_at is None:
            host.told_at = self.now
        told = self.now - host.told_at >= TOLD_S
        if (told or self.cold) and host.number not in self.excused:
            self.arrivals.append(self.now)
        host.limits.spend("i", self.now)
        host.limits.record("i", self.limit_per_s, self.now)

    def _ask(self, host: SimulatedHost) -> None:
        limits = host.limits
        if "i" not in limits.wanted(self.now) or self._is_isolated(host):
            host.asks_at = self.now + 0.1
            return
        for other in self.hosts:
            if self.now < host.backoff_until.get(other.number, 0.0):
                continue
            if not other.up or other.group != host.group:
                host.backoff_until[other.number] = self.now + BACKOFF_S
                host.asks_at = self.now + ASK_TIMEOUT_S
                return
            limit = limits.by_searcher["i"]
            held = max(limits.share(limit, self.now), limits.unleased_share)
            ask = ShareAsk(limit.current_wanted_per_s(self.now), held)
            name = f"host-{host.number}"
            share = other.ledger.renew(name, {"i": ask}, self.now)["i"]
            until = self.now + other.ledger.lease_s()
            limits.record_lease("i", share, until, self.now)
            jitter = self.random.uniform(0.8, 1.0)
            host.asks_at = self.now + other.ledger.renew_s() * jitter
            return

    def _is_isolated(self, host: SimulatedHost) -> bool:
        others = [h for h in self.hosts if h is not host and h.up]
        if not others or any(h.group == host.group for h in others):
            host.heard_at = self.now
        return self.now - host.heard_at > ISOLATED_AFTER_S

    def rate_between(self, start: float, end: float) -> float:
        """Returns the arrivals per second between two times."""
        count = sum(start <= at < end for at in self.arrivals)
        return count / (end - start)
