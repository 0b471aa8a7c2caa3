"""Grants requests of client accounts to the hosts that ask for them.

Load pattern: of many accounts, most are far below their quota and send a few
requests to a few hosts; one sends several times its usual rate to some tens of
hosts; meanwhile hosts are killed, frozen or partitioned.

A few hosts, the allocators of an account, hold parts of its quota that are one
together (`PeerTable.account_part`). Each adds credit at its part of the rate,
to its part of the bucket's depth, whether it is heard by others or not. An
allocator that is asked for more borrows requests from the others. So it does
not matter which allocators the hosts ask, or whether all ask the same.

Credit, unused grants and borrowed requests of all allocators are together at
most the bucket's depth: a lender's part of the depth is smaller by what it has
lent until it is used or has ended. So a window has no more than the depth and
the rate times the window, whenever the hosts use their grants.

A host that starts does not know what was granted before. It adds no credit
until the grants and loans of its predecessor have ended and all hosts know of
it, and starts with a part of a small credit that is reserved for restarts.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping

from kumquatspur.core.routing import Account
from kumquatspur.policy.peer_table import SETTLE_S

# Length of a lease in seconds.
LEASE_S = 2.0
# A lender counts a loan as unused for this time, if the borrower tells nothing
# else: it may grant it at the end of a lease for another one.
LOAN_S = 2.0 * LEASE_S
# A host grants nothing for this time after its start, in which it learns of
# most other hosts: it may hold a smaller part of a quota than it knows.
START_VIEW_S = 0.5
# Hosts that start together add credit from this time on: they know almost all
# others, and nobody holds grants of before.
FLEET_START_S = 1.5
# The requests that a window may have beyond rate and burst are divided: for
# the depth of the bucket, for hosts that start, and for hosts without a grant.
# Hosts that start together hold up to three times their parts after
# `START_VIEW_S`, since each of them knows only some of the others.
DEPTH_OVERRUN = 0.35
DEPTH_SLACK = 0.3
START_OVERRUN = 0.2
START_SLACK = 0.24
UNLEASED_SLACK = 0.15
# Part of the credit that one host gets beyond its waiting requests, and part of
# the depth that all hosts may hold so, if several hosts ask. The rest serves
# waiting requests: else hosts that hold a request each leave none to others.
PREFETCH_SHARE = 0.5
HELD_SHARE = 0.6
# A host asks again, and is granted requests, for this time in seconds.
RENEW_S = 1.0
AHEAD_S = 1.4
# A refused host asks again after this time at the earliest.
MIN_WAIT_S = 0.25
MAX_WAIT_S = 60.0
# Refused hosts of one account ask again at this rate together, but none waits
# longer for that than `MAX_SPREAD_S`.
MAX_ASKS_PER_S = 25.0
MAX_SPREAD_S = 2.0
# A lender is asked when it is expected to have a request, or what it earns in
# this time.
LOAN_INTERVAL_S = 0.5
# A lender with this part of what it can store is taken for full.
FULL_SHARE = 0.9
# Smaller parts are borrowed only for requests that wait.
LEAST_PART = 0.1
# Lenders may have less than expected. So often an allocator asks further ones
# before it answers.
MAX_LOAN_ROUNDS = 3
# A ledger that was not updated for this time belongs to a host that was frozen.
# Others may have removed it and hold its parts, so it starts anew.
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
        """Returns the credit of all allocators together when they start."""
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
class LoanNeed:
    """What an allocator wants to borrow of one account.

    Attributes:
        count: Requests that it wants.
        unused: Requests borrowed before that may still be unused.
    """

    count: float
    unused: float


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Requests of one account that a lender passes to another allocator.

    Attributes:
        count: Requests that the borrower may grant.
        left: Requests that the lender still has.
    """

    count: float
    left: float


@dataclasses.dataclass(frozen=True, slots=True)
class Allocator:
    """What an allocator knows of the fleet at the time of an ask.

    Attributes:
        part: Returns the part of an account's quota that it holds.
        lenders: Returns the parts of the others that can be asked, by name.
        changed_at: When it may last have been given a larger part.
        joins: Whether others had run for some time when it started.
    """

    part: Callable[[str], float]
    lenders: Callable[[str], Mapping[str, float]]
    changed_at: float = -math.inf
    joins: bool = True


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
        borrowed: Requests that other allocators lent it.
        lent: Requests that it lent to others.
        part: Part of the account's quota that it holds.
    """

    granted: int = 0
    charged: int = 0
    returned: int = 0
    borrowed: float = 0.0
    lent: float = 0.0
    earned: float = 0.0
    level: float = 0.0
    unused: int = 0
    hosts: int = 0
    part: float = 0.0


@dataclasses.dataclass(slots=True)
class _AccountEntry:
    """This host's part of the token bucket of one account, and the grants.

    Attributes:
        level: Requests that may be granted or lent.
        at: When `level` was computed.
        starts_at: When the allocator begins to add credit.
        part: Part of the quota that the host held at `at`.
        granted: Sum of the grants that may be unused.
        by_host: Granted requests and the lease's end by host.
        asked_at: When each host last asked.
        borrowed: Borrowed requests that may be unused, and until when they may
            be granted, by lender.
        lent: Lent requests that may be unused, and until when, by borrower.
        supplies: What each lender had left, and when.
        allocation: What was done since the last report.
    """

    level: float
    at: float
    starts_at: float
    part: float
    granted: int = 0
    by_host: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    asked_at: dict[str, float] = dataclasses.field(default_factory=dict)
    borrowed: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    lent: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    supplies: dict[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
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
        """Forgets grants and loans that have ended; they count as used."""
        for host, (_, until) in list(self.by_host.items()):
            if until <= now:
                self.put(host, 0, now)
        for loans in (self.borrowed, self.lent):
            for name in [k for k, v in loans.items() if v[1] <= now]:
                del loans[name]
        oldest = now - 2.0 * LEASE_S
        for host in [k for k, at in self.asked_at.items() if at < oldest]:
            del self.asked_at[host]

    def update(
        self, account: Account, terms: QuotaTerms, part: float, now: float
    ) -> None:
        """Adds what has accrued, as far as the bucket's depth allows.

        Args:
            account: The account.
            terms: What a window may have beyond rate and burst.
            part: Part of the quota that the host holds now.
            now: Monotonic time in seconds.
        """
        self.expire(now)
        earning_s = max(0.0, now - max(self.at, self.starts_at))
        earned = account.rate_per_s * min(self.part, part) * earning_s
        self.at, self.part = now, part
        self.allocation.earned += earned
        lent = sum(count for count, _ in self.lent.values())
        borrowed = sum(count for count, _ in self.borrowed.values())
        own = max(0.0, terms.depth(account) * part - lent)
        room = max(0.0, own + borrowed - self.granted)
        self.level = min(self.level + earned, room)
        # What was used counts as borrowed first, so that lenders can store
        # again.
        unused = max(0.0, max(0.0, self.level) + self.granted - own)
        if unused < borrowed:
            for lender, (count, until) in self.borrowed.items():
                self.borrowed[lender] = (count * unused / borrowed, until)

    def supply(
        self, lender: str, full: float, per_s: float, now: float
    ) -> float:
        """Returns how many requests a lender is expected to have.

        Args:
            lender: The lender.
            full: How many it has at most.
            per_s: Requests per second that it earns.
            now: Monotonic time in seconds.
        """
        left, at = self.supplies.get(lender, (full, now))
        return min(full, left + per_s * (now - at))

    def is_idle(self) -> bool:
        """Returns whether no grants and no loans are unused."""
        return not (self.by_host or self.borrowed or self.lent)


@dataclasses.dataclass
class QuotaLedger:
    """The parts of token buckets that this host keeps as an allocator.

    Attributes:
        started_at: When this host started or woke up.
        has_started: Whether it started at `started_at`, and did not wake up.
        updated_at: When `expire` was last called.
        entries: Token buckets by account.
    """

    started_at: float
    has_started: bool = True
    updated_at: float = -math.inf
    entries: dict[str, _AccountEntry] = dataclasses.field(default_factory=dict)

    def record_asks(
        self,
        host: str,
        asks: Mapping[str, QuotaAsk],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> None:
        """Records what a host reports with its asks.

        Args:
            host: The host.
            asks: What it has and needs, by account.
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of the fleet.
            now: Monotonic time in seconds.
        """
        self._check_frozen(now)
        for name, ask in asks.items():
            returned = 0
            entry = self.entries.get(name)
            if entry is not None:
                # Before credit is added, since it makes room for it.
                entry.expire(now)
                known = entry.by_host.get(host, (0, 0.0))[0]
                returned = min(ask.returned, max(0, known - ask.held))
                entry.put(host, ask.held, now + LEASE_S)
            entry = self._entry(name, accounts, terms, allocator, now)
            if entry is not None:
                entry.put(host, ask.held, now + LEASE_S)
                entry.asked_at[host] = now
                entry.level += returned - ask.charged
                entry.allocation.returned += returned
                entry.allocation.charged += ask.charged
                entry.update(accounts[name], terms, entry.part, now)

    def plan_loans(
        self,
        asks: Mapping[str, QuotaAsk],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> dict[str, dict[str, LoanNeed]]:
        """Returns what to borrow before asks can be granted.

        Args:
            asks: What a host needs, by account.
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of the fleet.
            now: Monotonic time in seconds.

        Returns:
            What to ask each lender for, by account.
        """
        plans = {}
        for name, ask in asks.items():
            entry = self._entry(name, accounts, terms, allocator, now)
            if entry is None:
                continue
            account = accounts[name]
            plan = _plan_account_loans(
                ask, account, terms, entry, allocator.lenders(name), now
            )
            for lender, need in plan.items():
                plans.setdefault(lender, {})[name] = need
        return plans

    def lend(
        self,
        borrower: str,
        needs: Mapping[str, LoanNeed],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> dict[str, Loan]:
        """Lends requests to another allocator.

        Args:
            borrower: The other allocator.
            needs: What it wants, by account.
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of the fleet.
            now: Monotonic time in seconds.

        Returns:
            The loans by account; none for accounts without a known limit.
        """
        self._check_frozen(now)
        loans = {}
        for name, need in needs.items():
            self._record_unused(name, borrower, need.unused)
            entry = self._entry(name, accounts, terms, allocator, now)
            if entry is None:
                continue
            unused = entry.lent.get(borrower, (0.0, 0.0))[0]
            count = min(need.count, max(0.0, entry.level))
            entry.level -= count
            entry.lent[borrower] = (unused + count, now + LOAN_S)
            entry.allocation.lent += count
            loans[name] = Loan(count, max(0.0, entry.level))
        return loans

    def _record_unused(self, name: str, borrower: str, unused: float) -> None:
        """Records how much of what was lent is still unused."""
        entry = self.entries.get(name)
        if entry is not None and borrower in entry.lent:
            count, until = entry.lent[borrower]
            entry.lent[borrower] = (min(count, unused), until)

    def record_loans(
        self,
        lender: str,
        loans: Mapping[str, Loan],
        asked_at: float,
        now: float,
    ) -> None:
        """Records what a lender has answered.

        Args:
            lender: The lender.
            loans: The loans by account.
            asked_at: When it was asked; the loans count from then.
            now: Monotonic time in seconds.
        """
        for name, loan in loans.items():
            entry = self.entries.get(name)
            if entry is None:
                continue
            unused = entry.borrowed.get(lender, (0.0, 0.0))[0]
            entry.borrowed[lender] = (unused + loan.count, asked_at + LEASE_S)
            entry.level += loan.count
            entry.supplies[lender] = (loan.left, now)
            entry.allocation.borrowed += loan.count

    def renew(
        self,
        host: str,
        asks: Mapping[str, QuotaAsk],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> dict[str, QuotaGrant]:
        """Grants requests to a host, of what is not lent or borrowed.

        Args:
            host: The host.
            asks: What it has and needs, by account.
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of the fleet.
            now: Monotonic time in seconds.

        Returns:
            The grants by account; none for accounts without a known limit.
        """
        self.record_asks(host, asks, accounts, terms, allocator, now)
        return self.grant(host, asks, accounts, terms, allocator, now)

    def grant(
        self,
        host: str,
        asks: Mapping[str, QuotaAsk],
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> dict[str, QuotaGrant]:
        """Grants requests to a host whose asks were recorded (see `renew`)."""
        granted = {}
        for name, ask in asks.items():
            entry = self._entry(name, accounts, terms, allocator, now)
            if entry is not None:
                granted[name] = _grant(
                    host, ask, accounts[name], entry, terms, now
                )
        return granted

    def _entry(
        self,
        name: str,
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> _AccountEntry | None:
        """Returns the updated bucket of an account; None if it has no limit."""
        account = accounts.get(name)
        if account is None or account.rate_per_s <= 0.0:
            return None
        part = allocator.part(name)
        entry = self.entries.get(name)
        if entry is None:
            entry = self._new_entry(account, terms, allocator, part, now)
            if now - self.started_at >= START_VIEW_S:
                self.entries[name] = entry
        # It may have learned since that others have run for some time.
        entry.starts_at = max(entry.starts_at, self._starts_at(allocator))
        entry.update(account, terms, part, now)
        return entry

    def _new_entry(
        self,
        account: Account,
        terms: QuotaTerms,
        allocator: Allocator,
        part: float,
        now: float,
    ) -> _AccountEntry:
        starts_at = self._starts_at(allocator)
        # Nothing was granted since, or a full bucket was forgotten.
        since = max(starts_at, allocator.changed_at + SETTLE_S)
        level = account.rate_per_s * part * max(0.0, now - since)
        age_s = now - self.started_at
        if self.has_started and START_VIEW_S <= age_s < SETTLE_S:
            level += part * terms.start_credit(account)
        return _AccountEntry(level, now, starts_at, part)

    def _starts_at(self, allocator: Allocator) -> float:
        """Returns when this host begins to add credit."""
        settle_s = SETTLE_S
        if self.has_started and not allocator.joins:
            settle_s = FLEET_START_S
        return self.started_at + settle_s

    def expire(
        self,
        accounts: Mapping[str, Account],
        terms: QuotaTerms,
        allocator: Allocator,
        now: float,
    ) -> None:
        """Forgets grants that have ended, and buckets that are full.

        Args:
            accounts: The accounts with a limit that this host knows.
            terms: What a window may have beyond rate and burst.
            allocator: What this host knows of the fleet.
            now: Monotonic time in seconds.
        """
        self.record_update(now)
        for name, entry in list(self.entries.items()):
            entry.expire(now)
            account = accounts.get(name)
            if account is None:
                del self.entries[name]
                continue
            if not entry.is_idle() or now - entry.at < LEASE_S:
                continue
            part = allocator.part(name)
            since = max(
                self._starts_at(allocator), allocator.changed_at + SETTLE_S
            )
            depth = terms.depth(account) * part
            earned = account.rate_per_s * part * (now - entry.at)
            if (
                entry.level + earned >= depth
                and account.rate_per_s * part * (now - since) >= depth
            ):
                del self.entries[name]

    def take_allocations(self) -> dict[str, AccountAllocation]:
        """Returns what was done with the accounts since the last call."""
        found = {}
        for name, entry in self.entries.items():
            done = entry.allocation
            if not (done.granted or done.charged or done.returned or done.lent):
                continue
            entry.allocation = AccountAllocation()
            for field in ("earned", "borrowed", "lent"):
                setattr(done, field, round(getattr(done, field), 2))
            done.level = round(entry.level, 2)
            done.part = round(entry.part, 3)
            done.unused = entry.granted
            done.hosts = len(entry.asked_at)
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
            self.has_started = False


def _ahead(ask: QuotaAsk) -> int:
    """Returns the requests that a host needs until it asks again."""
    return max(0, math.floor(ask.per_s * AHEAD_S) - ask.held)


def _plan_account_loans(
    ask: QuotaAsk,
    account: Account,
    terms: QuotaTerms,
    entry: _AccountEntry,
    lenders: Mapping[str, float],
    now: float,
) -> dict[str, LoanNeed]:
    """Returns what to borrow of an account, by lender.

    If waiting requests lack credit, all lenders are asked that are expected to
    have some. Else only those are whose buckets are almost full, since what
    they earn would be lost.
    """
    short = ask.waiting - entry.level
    lacking = short + _ahead(ask)
    room = terms.depth(account) * entry.part - entry.level - entry.granted
    found = []
    for lender, part in lenders.items():
        full, per_s = terms.depth(account) * part, account.rate_per_s * part
        supply = entry.supply(lender, full, per_s, now)
        is_full = supply >= FULL_SHARE * full and part >= LEAST_PART
        if is_full or supply >= min(1.0, per_s * LOAN_INTERVAL_S):
            found.append((supply, is_full, lender))
    plan = {}
    for supply, is_full, lender in sorted(found, reverse=True):
        if short <= 0.0 and not (is_full and supply <= max(lacking, room)):
            continue
        count = min(supply, max(lacking, room, 1.0))
        short -= count
        lacking -= count
        room -= count
        unused = entry.borrowed.get(lender, (0.0, 0.0))[0]
        plan[lender] = LoanNeed(count, unused)
    return plan


def _grant(
    host: str,
    ask: QuotaAsk,
    account: Account,
    entry: _AccountEntry,
    terms: QuotaTerms,
    now: float,
) -> QuotaGrant:
    """Grants requests of one account to a host."""
    available = max(0, math.floor(entry.level))
    waiting = min(ask.waiting, available)
    share = PREFETCH_SHARE if len(entry.asked_at) > 1 else 1.0
    ahead = min(_ahead(ask), math.floor((available - waiting) * share))
    room = HELD_SHARE * terms.depth(account)
    ahead = max(0, min(ahead, math.floor(room - entry.granted)))
    granted = waiting + ahead
    entry.level -= granted
    entry.allocation.granted += granted
    # Waiting requests are sent on arrival of the answer, or their grants drop.
    entry.put(host, ask.held + ahead, now + LEASE_S)
    wait_s = 0.0
    if granted < ask.waiting:
        lacking = max(0.0, 1.0 - entry.level)
        wait_s = lacking / account.rate_per_s
        spread_s = min(MAX_SPREAD_S, len(entry.asked_at) / MAX_ASKS_PER_S)
        wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, spread_s, wait_s))
    return QuotaGrant(granted, RENEW_S, wait_s)
