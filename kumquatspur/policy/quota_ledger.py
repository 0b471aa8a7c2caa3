"""Grants requests of client accounts to the hosts that ask for them.

Load pattern: of many accounts, most are far below their quota and send a few
requests to a few hosts; one sends several times its usual rate to some tens of
hosts; meanwhile hosts are killed, frozen or partitioned.

The allocator of an account keeps its token bucket and grants requests in
advance. Credit and grants that may still be unused are together at most the
bucket's depth, so a window has no more than the depth and the rate times the
window, whenever the hosts use their grants.

A new allocator starts with a small credit and stores no more than it for a
lease's length, since hosts may still use grants of the one before. For that
time it also adds nothing at the account's rate: in a partition, the allocator
on the other side may not have noticed yet that it has lost hosts.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping

from kumquatspur.core.routing import Account

# Length of a lease in seconds.
LEASE_S = 2.0
# An allocator adds nothing for this time after it became one. For a fallback,
# it is longer than the time after which the first one does not count the hosts
# of a lost zone any more (2 s). For the first one, it is about the time until
# the fallback hears of it.
START_S = 1.0
FALLBACK_START_S = 2.5
# The requests that a window may have beyond rate and burst are divided: for
# the depth of the bucket, for the credit of a new allocator (two may become
# one within a window), and for hosts without a grant. The rest is a reserve
# for requests that are sent some time after they were admitted.
DEPTH_OVERRUN = 0.35
DEPTH_SLACK = 0.3
START_OVERRUN = 0.3
START_SLACK = 0.25
UNLEASED_SLACK = 0.15
# Part of the start credit of a host that still hears of a better allocator. If
# that one answers late, hosts ask several others within one window, and full
# start credits of these exceeded the bound (238 requests of 231 allowed).
UNSURE_START_SHARE = 0.3
# Part of the credit that one host gets beyond its waiting requests, and part of
# the depth that all hosts may hold so. The rest serves waiting requests: else
# hosts that hold a request each leave none to the others.
PREFETCH_SHARE = 0.5
HELD_SHARE = 0.6
# A host asks again, and is granted requests, for this time in seconds.
RENEW_S = 1.0
# A refused host asks again after this time at the earliest.
MIN_WAIT_S = 0.25
MAX_WAIT_S = 60.0
# Refused hosts of one account ask again at this rate together, but none waits
# longer for that than `MAX_SPREAD_S`.
MAX_ASKS_PER_S = 25.0
MAX_SPREAD_S = 2.0
# A ledger that was not updated for this time belongs to a host that was frozen:
# another host has become the allocator, so this one starts anew.
FROZEN_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTerms:
    """What a window may have beyond an account's rate and burst.

    Attributes:
        window_s: Length of the window in seconds.
        overrun: Share of rate and burst.
        slack: Requests.
    """

    window_s: float = 5.0
    overrun: float = 0.0
    slack: float = 0.0

    def bound(self, account: Account) -> float:
        """Returns the requests of an account that a window may have."""
        return self._base(account) * (1.0 + self.overrun) + self.slack

    def depth(self, account: Account) -> float:
        """Returns the depth of an account's token bucket."""
        extra = DEPTH_OVERRUN * self.overrun * self._base(account)
        return max(1.0, account.burst + extra + DEPTH_SLACK * self.slack)

    def start_credit(self, account: Account) -> float:
        """Returns the credit of a new allocator."""
        extra = START_OVERRUN * self.overrun * self._base(account)
        return extra + START_SLACK * self.slack

    def unleased(self) -> float:
        """Returns the requests in a window of all hosts without grants."""
        return UNLEASED_SLACK * self.slack

    def _base(self, account: Account) -> float:
        return account.rate_per_s * self.window_s + account.burst


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaAsk:
    """What a host needs of one account.

    Attributes:
        per_s: Requests per second that it gets.
        held: Granted requests that it has not used.
        waiting: Requests that wait for the answer.
        charged: Requests that it admitted without a grant.
        returned: Granted requests that it gives back.
    """

    per_s: float
    held: int = 0
    waiting: int = 0
    charged: int = 0
    returned: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaGrant:
    """An allocator's answer for one account.

    Attributes:
        granted: Requests that the host may send in addition.
        renew_s: Time after which it should ask again.
        wait_s: Time until credit returns; 0 if there is some.
    """

    granted: int
    renew_s: float
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Allocator:
    """What an allocator knows of itself at the time of an ask.

    Attributes:
        fraction: Part of the known hosts that it reaches, directly or through
            others.
        is_first: Whether it is the first choice for an account.
        hears_first: Whether it has recently heard of a better choice for an
            account, so that hosts will ask that one again.
    """

    fraction: float
    is_first: Callable[[str], bool]
    hears_first: Callable[[str], bool]


@dataclasses.dataclass(slots=True)
class AccountAllocation:
    """What an allocator has done with one account since the last report.

    Attributes:
        granted: Requests that it granted.
        charged: Requests that hosts reported as admitted without a grant.
        returned: Granted requests that hosts gave back.
        earned: Requests that it added at the account's rate.
        level: Requests that it may still grant.
        unused: Grants that may be unused.
        hosts: Hosts that asked recently.
        is_first: Whether it was the first choice for the account.
    """

    granted: int = 0
    charged: int = 0
    returned: int = 0
    earned: float = 0.0
    level: float = 0.0
    unused: int = 0
    hosts: int = 0
    is_first: bool = False


@dataclasses.dataclass(slots=True)
class _AccountEntry:
    """The token bucket of one account, and the grants of the hosts.

    Attributes:
        level: Requests that may be granted.
        at: When `level` was computed.
        starts_at: When the allocator begins to add credit.
        granted: Sum of the grants that may be unused.
        by_host: Granted requests and the lease's end by host.
        asked_at: When each host last asked.
        allocation: What was done since the last report.
    """

    level: float
    at: float
    starts_at: float
    granted: int = 0
    by_host: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    asked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    allocation: AccountAllocation = dataclasses.field(
        default_factory=AccountAllocation
    )

    def put(self, host: str, count: int, until: float) -> None:
        """Replaces what a host may have in hand."""
        self.granted += count - self.by_host.get(host, (0, 0.0))[0]
        if count:
            self.by_host[host] = (count, until)
        else:
            self.by_host.pop(host, None)

    def expire(self, now: float) -> None:
        """Forgets grants whose lease has ended; they count as used."""
        for host, (_, until) in list(self.by_host.items()):
            if until <= now:
                self.put(host, 0, now)
        oldest = now - 2.0 * LEASE_S
        for host in [k for k, at in self.asked_at.items() if at < oldest]:
            del self.asked_at[host]

    def add_credit(
        self,
        account: Account,
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> None:
        """Adds what has accrued, as far as the bucket's depth allows.

        While a better allocator is heard, it adds the credit: else both do
        until the last host has turned to it.
        """
        fraction = allocator.fraction
        began = max(self.at, self.starts_at)
        if allocator.hears_first(account.name):
            began = now
        earned = account.rate_per_s * fraction * max(0.0, now - began)
        self.at = now
        self.allocation.earned += earned
        room = max(0.0, terms.depth(account) * fraction - self.granted)
        if now < self.starts_at + LEASE_S:
            room = min(room, terms.start_credit(account) + earned)
        self.level = min(self.level + earned, room)


@dataclasses.dataclass
class QuotaLedger:
    """The token buckets that this host keeps as an allocator.

    Attributes:
        started_at: When this host started or woke up.
        updated_at: When `expire` was last called.
        entries: Token buckets by account.
    """

    started_at: float
    updated_at: float = -math.inf
    entries: dict[str, _AccountEntry] = dataclasses.field(default_factory=dict)

    def renew(
        self,
        host: str,
        asks: Mapping[str, QuotaAsk],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> dict[str, QuotaGrant]:
        """Grants requests to a host.

        Args:
            host: The host.
            asks: What it needs, by account.
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of itself.
            now: Monotonic time in seconds.

        Returns:
            The grants by account; none for accounts without a known limit.
        """
        self._check_frozen(now)
        granted = {}
        for name, ask in asks.items():
            account = accounts.get(name)
            if account is None or account.rate_per_s <= 0.0:
                continue
            entry = self.entries.get(name)
            if entry is None:
                entry = self._new_entry(account, terms, allocator, now)
                self.entries[name] = entry
            granted[name] = _grant(
                host, ask, account, entry, terms, allocator, now
            )
        return granted

    def _new_entry(
        self,
        account: Account,
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> _AccountEntry:
        settled = now - self.started_at >= terms.window_s + LEASE_S
        if settled and allocator.is_first(account.name):
            # Nobody has asked since this host became the allocator, or it has
            # forgotten a full bucket.
            level = terms.depth(account) * allocator.fraction
            return _AccountEntry(level, now, now - LEASE_S)
        is_first = allocator.is_first(account.name)
        start_s = START_S if is_first else FALLBACK_START_S
        level = terms.start_credit(account)
        if allocator.hears_first(account.name):
            level *= UNSURE_START_SHARE
        return _AccountEntry(level, now, now + start_s)

    def expire(
        self,
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> None:
        """Forgets grants that have ended, and buckets that tell nothing.

        A bucket that is full is as good as none for the first allocator. The
        bucket of a fallback allocator is stale when no host asks for it.

        Args:
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of itself.
            now: Monotonic time in seconds.
        """
        self.record_update(now)
        for name, entry in list(self.entries.items()):
            entry.expire(now)
            account = accounts.get(name)
            if account is None:
                del self.entries[name]
                continue
            if entry.by_host or now - entry.at < terms.window_s + LEASE_S:
                continue
            if not allocator.is_first(name):
                del self.entries[name]
                continue
            earned = account.rate_per_s * allocator.fraction * (now - entry.at)
            if entry.level + earned >= terms.depth(account):
                del self.entries[name]

    def take_allocations(
        self, allocator: Allocator
    ) -> dict[str, AccountAllocation]:
        """Returns what was done with the accounts that hosts asked for.

        Args:
            allocator: What this host knows of itself.
        """
        found = {}
        for name, entry in self.entries.items():
            done = entry.allocation
            if not (done.granted or done.charged or done.returned):
                continue
            entry.allocation = AccountAllocation()
            done.level = round(entry.level, 2)
            done.earned = round(done.earned, 2)
            done.unused = entry.granted
            done.hosts = len(entry.asked_at)
            done.is_first = allocator.is_first(name)
            found[name] = done
        return found

    def record_update(self, now: float) -> None:
        """Notes that this host runs, in place of `expire` without entries."""
        self._check_frozen(now)
        self.updated_at = now

    def _check_frozen(self, now: float) -> None:
        if self.updated_at > -math.inf and now - self.updated_at > FROZEN_S:
            self.entries.clear()
            self.started_at = self.updated_at = now


def _grant(
    host: str,
    ask: QuotaAsk,
    account: Account,
    entry: _AccountEntry,
    terms: QuotaTerms,
    allocator: Allocator,
    now: float,
) -> QuotaGrant:
    """Grants requests of one account to a host."""
    entry.expire(now)
    entry.asked_at[host] = now
    known = entry.by_host.get(host, (0, 0.0))[0]
    returned = min(ask.returned, max(0, known - ask.held))
    entry.put(host, ask.held, now + LEASE_S)
    entry.level += returned - ask.charged
    entry.allocation.returned += returned
    entry.allocation.charged += ask.charged
    entry.add_credit(account, terms, allocator, now)
    available = max(0, math.floor(entry.level))
    waiting = min(ask.waiting, available)
    ahead = max(0, math.floor(ask.per_s * RENEW_S) - ask.held)
    ahead = min(ahead, math.floor((available - waiting) * PREFETCH_SHARE))
    room = HELD_SHARE * terms.depth(account) * allocator.fraction
    ahead = max(0, min(ahead, math.floor(room - entry.granted)))
    granted = waiting + ahead
    entry.level -= granted
    entry.allocation.granted += granted
    # Waiting requests are sent on arrival of the answer, or their grants drop.
    entry.put(host, ask.held + ahead, now + LEASE_S)
    wait_s = 0.0
    if granted < ask.waiting:
        rate = account.rate_per_s * max(allocator.fraction, 0.01)
        lacking = max(0.0, 1.0 - entry.level)
        wait_s = max(0.0, entry.starts_at - now) + lacking / rate
        spread_s = min(MAX_SPREAD_S, len(entry.asked_at) / MAX_ASKS_PER_S)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, spread_s, wait_s))
    return QuotaGrant(granted, RENEW_S, wait_s)
