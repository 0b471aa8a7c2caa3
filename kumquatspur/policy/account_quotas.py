"""What this host may send for client accounts whose quota all hosts share.

Load pattern: most accounts send less than a request a second, to a few hosts
and to others in the next second; some send several times their usual rate.

The allocator of an account grants requests in advance (see `quota_ledger`). A
host without a grant may admit a few without one; they are reported with the
next ask. A request for which neither suffices waits for the allocator's answer.
"""

import dataclasses
import math
from collections.abc import Iterable

from kumquatspur.core.routing import Account
from kumquatspur.policy.quota_ledger import (
    LEASE_S,
    QuotaAsk,
    QuotaGrant,
    QuotaTerms,
)

# Time constant of the measured rate of requests.
RATE_WINDOW_S = 2.0
# A host asks when it holds less than this part of what it needs for an
# interval.
LOW_SHARE = 0.5
# Unused grants are renewed, or returned if the account is idle, this long
# before the end of their lease.
RETURN_S = 0.5
IDLE_S = 1.0
# Records of accounts without requests are kept for this time.
MEMORY_S = 30.0
# Wait that a refused client is told if the allocator did not answer.
UNANSWERED_WAIT_S = 1.0
# Accounts in one log line; the requests of further ones are not listed.
MAX_REPORTED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request of an account may be sent.

    Attributes:
        admitted: Whether it may be sent now.
        wait_s: Time until credit returns, if it is refused.
        asks: Whether the allocator has to be asked first.
    """

    admitted: bool
    wait_s: float = 0.0
    asks: bool = False


ADMITTED = Admission(True)
ASKS = Admission(False, asks=True)


@dataclasses.dataclass(slots=True)
class AccountCredit:
    """What this host may send for one account.

    Attributes:
        depth: Depth of the account's bucket by this host's configuration.
        held: Granted requests that are not used.
        until: End of their lease.
        per_s: Requests per second at `wanted_at`, admitted or not.
        wanted_at: When the last request came.
        unleased: Requests that may be admitted without a grant.
        unleased_at: When `unleased` was computed.
        charged: Requests admitted without a grant since the last ask.
        waiting: Requests that wait for an answer.
        refused_until: When credit returns, by the allocator's last answer.
        renew_s: Interval between asks.
        asks_at: When to ask again at the earliest.
    """

    depth: float
    unleased: float
    unleased_at: float
    held: int = 0
    until: float = -math.inf
    per_s: float = 0.0
    wanted_at: float = -math.inf
    charged: int = 0
    waiting: int = 0
    refused_until: float = -math.inf
    renew_s: float = 1.0
    asks_at: float = -math.inf

    def current_per_s(self, now: float) -> float:
        """Returns the rate of requests, decayed since the last one."""
        age_s = now - self.wanted_at
        return self.per_s * math.exp(-age_s / RATE_WINDOW_S)

    def record_wanted(self, now: float) -> None:
        """Counts a request, admitted or not."""
        self.per_s = self.current_per_s(now) + 1.0 / RATE_WINDOW_S
        self.wanted_at = now

    def drop_ended(self, now: float) -> None:
        """Drops the grants if their lease has ended."""
        if now >= self.until:
            self.held = 0

    def is_due(self, now: float) -> bool:
        """Returns whether the allocator should be asked."""
        if self.waiting:
            return True
        if now < self.asks_at:
            return False
        if self.held and self.until - now <= RETURN_S:
            return True
        needed = self.current_per_s(now) * self.renew_s
        low = needed >= 1.0 and self.held < LOW_SHARE * needed
        return low and now >= self.refused_until


@dataclasses.dataclass
class AccountQuotas:
    """What this host may send for client accounts.

    Attributes:
        started_at: When this host started.
        terms: What a window may have beyond an account's rate and burst.
        hosts: Number of hosts that divide what needs no grant.
        by_account: Accounts that had requests recently.
        used: Admitted and refused requests since the last report, with the
            account's rate and burst, by account.
    """

    started_at: float
    terms: QuotaTerms = dataclasses.field(default_factory=QuotaTerms)
    hosts: float = 1.0
    by_account: dict[str, AccountCredit] = dataclasses.field(
        default_factory=dict
    )
    used: dict[str, list[float]] = dataclasses.field(default_factory=dict)

    def admit(self, account: Account, now: float, draw: float) -> Admission:
        """Decides on a new request.

        Args:
            account: Its account.
            now: Monotonic time in seconds.
            draw: The request's random number in (0, 1].

        Returns:
            The decision; if it asks, the request has to `begin_wait`, and
            `end_wait` when the allocator has answered or the time is over.
        """
        if account.rate_per_s <= 0.0:
            return ADMITTED
        credit = self._credit(account, now)
        credit.record_wanted(now)
        if self._take(account, credit, now):
            return ADMITTED
        if self._take_unleased(credit, now) >= draw:
            credit.unleased -= 1.0
            credit.charged += 1
            self._count(account, 0)
            return ADMITTED
        if now < credit.refused_until:
            return self._refuse(account, credit.refused_until - now)
        return ASKS

    def begin_wait(self, account: Account) -> None:
        """Counts a request that waits for the allocator's answer."""
        self.by_account[account.name].waiting += 1

    def end_wait(self, account: Account, now: float) -> Admission:
        """Decides on a request that has waited."""
        credit = self._credit(account, now)
        credit.waiting = max(0, credit.waiting - 1)
        if self._take(account, credit, now):
            return ADMITTED
        wait_s = credit.refused_until - now
        return self._refuse(
            account, wait_s if wait_s > 0.0 else UNANSWERED_WAIT_S
        )

    def cancel_wait(self, account: Account) -> None:
        """Forgets a waiting request whose client has disconnected."""
        credit = self.by_account.get(account.name)
        if credit is not None:
            credit.waiting = max(0, credit.waiting - 1)

    def refund(self, account: Account, now: float) -> None:
        """Returns the credit of an admitted request that was never sent."""
        credit = self.by_account.get(account.name)
        if account.rate_per_s <= 0.0 or credit is None:
            return
        if credit.charged:
            credit.charged -= 1
            credit.unleased += 1.0
        elif now < credit.until:
            credit.held += 1
        counts = self.used.get(account.name)
        if counts and counts[0]:
            counts[0] -= 1

    def due(self, now: float) -> list[str]:
        """Returns the accounts whose allocators should be asked."""
        found = []
        for name, credit in self.by_account.items():
            credit.drop_ended(now)
            if credit.is_due(now):
                found.append(name)
        return found

    def asks(self, names: Iterable[str], now: float) -> dict[str, QuotaAsk]:
        """Returns what to ask for; what it reports is not reported again."""
        found = {}
        for name in names:
            credit = self.by_account.get(name)
            if credit is None:
                continue
            credit.drop_ended(now)
            returned = 0
            if not credit.waiting and now - credit.wanted_at > IDLE_S:
                returned, credit.held = credit.held, 0
            per_s = 0.0 if returned else credit.current_per_s(now)
            found[name] = QuotaAsk(
                per_s, credit.held, credit.waiting, credit.charged, returned
            )
            credit.charged = 0
            credit.asks_at = now + credit.renew_s
        return found

    def record_unanswered(self, asks: dict[str, QuotaAsk]) -> None:
        """Keeps what an ask without an answer has reported as used."""
        for name, ask in asks.items():
            credit = self.by_account.get(name)
            if credit is not None:
                credit.charged += ask.charged

    def record_grant(
        self,
        name: str,
        ask: QuotaAsk,
        grant: QuotaGrant,
        asked_at: float,
        now: float,
    ) -> None:
        """Records an allocator's answer.

        Args:
            name: The account.
            ask: What was asked.
            grant: The answer.
            asked_at: When the ask was sent; the lease counts from then.
            now: The current monotonic time.
        """
        credit = self.by_account.get(name)
        if credit is None:
            return
        credit.drop_ended(now)
        # The allocator counts the grants of waiting requests as used.
        gone = max(0, ask.waiting - credit.waiting)
        credit.held += max(0, grant.granted - gone)
        credit.until = asked_at + LEASE_S
        credit.renew_s = grant.renew_s
        credit.asks_at = now + grant.renew_s
        credit.refused_until = now + grant.wait_s if grant.wait_s else -math.inf

    def prune(self, now: float) -> None:
        """Forgets accounts without recent requests."""
        for name, credit in list(self.by_account.items()):
            if not credit.waiting and now - credit.wanted_at > MEMORY_S:
                del self.by_account[name]

    def take_used(self) -> dict[str, list[float]]:
        """Returns what accounts have used since the last call (see `used`).

        At most `MAX_REPORTED` accounts are listed, those with the most
        requests.
        """
        used, self.used = self.used, {}
        if len(used) > MAX_REPORTED:
            ranked = sorted(used.items(), key=lambda item: -sum(item[1][:2]))
            used = dict(ranked[:MAX_REPORTED])
        return used

    def _credit(self, account: Account, now: float) -> AccountCredit:
        depth = self.terms.depth(account)
        credit = self.by_account.get(account.name)
        if credit is None:
            # A host that has just started may have used its part before.
            running = now - self.started_at >= self.terms.window_s
            unleased = self._unleased_depth() if running else 0.0
            credit = AccountCredit(depth, unleased, now)
            self.by_account[account.name] = credit
        elif depth != credit.depth:
            if depth < credit.depth:
                credit.held = math.floor(credit.held * depth / credit.depth)
            credit.depth = depth
        return credit

    def _take(
        self, account: Account, credit: AccountCredit, now: float
    ) -> bool:
        if not credit.held or now >= credit.until:
            return False
        credit.held -= 1
        self._count(account, 0)
        return True

    def _unleased_depth(self) -> float:
        return self.terms.unleased() / self.hosts / 2.0

    def _take_unleased(self, credit: AccountCredit, now: float) -> float:
        """Adds what has accrued without a grant; returns the total."""
        depth = self._unleased_depth()
        earned = depth * (now - credit.unleased_at) / self.terms.window_s
        credit.unleased = min(depth, credit.unleased + max(0.0, earned))
        credit.unleased_at = now
        return credit.unleased

    def _refuse(self, account: Account, wait_s: float) -> Admission:
        self._count(account, 1)
        return Admission(False, wait_s)

    def _count(self, account: Account, index: int) -> None:
        counts = self.used.setdefault(account.name, [0, 0, 0.0, 0.0])
        counts[index] += 1
        counts[2:] = account.rate_per_s, account.burst
