"""Admits requests by the quota of their account, together with other hosts.

A host asks the allocators of the accounts that it has requests for, with one
message per allocator, and acts as the allocator when other hosts ask it.
"""

import collections
import dataclasses
from collections.abc import Callable

import eventlet
import eventlet.event
import eventlet.semaphore

from kumquatspur.border import packing, share_codec
from kumquatspur.border.share_codec import (
    AccountGrant,
    AccountNeed,
    ShareReply,
    ShareRequest,
)
from kumquatspur.core.routing import Account
from kumquatspur.policy.account_quotas import ADMITTED, Admission
from kumquatspur.policy.peer_table import Peer
from kumquatspur.policy.quota_ledger import (
    MAX_LOAN_ROUNDS,
    START_VIEW_S,
    Allocator,
    Loan,
    LoanNeed,
    QuotaAsk,
    QuotaGrant,
    QuotaLedger,
    QuotaTerms,
)
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import ASSUMED_HOSTS, EntryState
from kumquatspur.wire.searcher_pool import monotonic_s

SHARES_PATH = "/shares"
CHECK_INTERVAL_S = 0.1
# A request waits at most this long for an allocator's answer.
MAX_WAIT_S = 0.25
# An ask is given up after this time, so that the next host of the ranking can
# answer while the request waits.
ASK_TIMEOUT_S = 0.12
# Another allocator that has not answered for this time lends nothing. The host
# that asked for grants is still answered in time.
LOAN_TIMEOUT_S = 0.04
# How long a host is not asked after a failure, for grants and for loans.
BACKOFF_S = 2.0
LOAN_BACKOFF_S = 1.0
# How long a host is known to run an earlier build, which allocates no accounts.
EARLIER_BUILD_S = 30.0
PRUNE_INTERVAL_S = 1.0


class QuotaExchange:
    """Asks allocators for requests of accounts, and acts as an allocator.

    Attributes:
        state: The state of this host.
        call: Sends a message to a path of another host, with a time-out in
            seconds, and returns the answer; raises OSError or ValueError.
        ledger: The token buckets that this host keeps as an allocator.
    """

    def __init__(
        self,
        state: EntryState,
        call: Callable[..., bytes],
    ):
        self.state = state
        self.call = call
        self.ledger = QuotaLedger(monotonic_s())
        self._loan_lock = eventlet.semaphore.Semaphore(1)
        self._accounts_of = None
        self._accounts = {}
        self._asking = set()
        self._waiters = collections.defaultdict(list)
        self._backoff_until = {}
        self._zone_backoff_until = {}
        self._loan_backoff_until = {}
        self._earlier_until = {}
        self._pruned_at = 0.0

    def start(self) -> None:
        """Starts asking for the accounts that this host has requests for."""
        eventlet.spawn_n(self._run)

    def admit(self, account: Account | None) -> Admission:
        """Decides whether a request may be sent; may wait for an answer.

        Args:
            account: The request's account; None if it has none.
        """
        if account is None or account.rate_per_s <= 0.0:
            return ADMITTED
        self._wait_for_fleet()
        quotas = self.state.quotas
        draw = 1.0 - self.state.random.random()
        result = quotas.admit(account, monotonic_s(), draw)
        if not result.asks:
            return result
        self.state.counters["quota_waits"] += 1
        answered = eventlet.event.Event()
        self._waiters[account.name].append(answered)
        quotas.begin_wait(account)
        try:
            self._ask_soon(account.name)
            answered.wait(timeout=MAX_WAIT_S)
        except BaseException:
            # The client has disconnected.
            quotas.cancel_wait(account)
            raise
        finally:
            if answered in self._waiters[account.name]:
                self._waiters[account.name].remove(answered)
        return quotas.end_wait(account, monotonic_s())

    def _wait_for_fleet(self) -> None:
        """Waits a moment if no host grants anything yet after a common start.

        The first requests would all be refused, although they can be served
        shortly after.
        """
        age_s = monotonic_s() - self.state.quotas.started_at
        peers = self.state.peers
        if age_s < START_VIEW_S and peers.peers and not peers.joined:
            eventlet.sleep(START_VIEW_S - age_s)

    def refund(self, account: Account | None) -> None:
        """Returns the credit of an admitted request that ran nowhere."""
        if account is not None:
            self.state.quotas.refund(account, monotonic_s())

    def allocate(self, request: ShareRequest) -> tuple[AccountGrant, ...]:
        """Grants requests of accounts to a host, which may be this one.

        It borrows from other allocators first if it lacks requests.
        """
        now = monotonic_s()
        for name in request.earlier_builds:
            if name in self.state.peers.peers:
                self._earlier_until[name] = now + EARLIER_BUILD_S
        asks = {
            need.account: QuotaAsk(
                need.per_s,
                need.held,
                need.waiting,
                need.charged,
                need.returned,
            )
            for need in request.accounts
        }
        known = (self._known_accounts(), self._terms(), self._as_allocator())
        self.ledger.record_asks(request.host, asks, *known, now)
        self._borrow(asks)
        granted = self.ledger.grant(request.host, asks, *known, monotonic_s())
        return tuple(
            AccountGrant(account=name, **dataclasses.asdict(grant))
            for name, grant in granted.items()
        )

    def lend(self, request: ShareRequest) -> tuple[share_codec.Loan, ...]:
        """Lends requests of accounts to another allocator."""
        needs = {
            need.account: LoanNeed(need.count, need.unused)
            for need in request.loans
        }
        loans = self.ledger.lend(
            request.host,
            needs,
            self._known_accounts(),
            self._terms(),
            self._as_allocator(),
            monotonic_s(),
        )
        return tuple(
            share_codec.Loan(account=name, **dataclasses.asdict(loan))
            for name, loan in loans.items()
        )

    def _borrow(self, asks: dict[str, QuotaAsk]) -> None:
        """Borrows what asks need, one set of loans after the other.

        A loan in flight is not known to be unused yet, so the same lender must
        not be asked again before its answer.
        """
        if not self._plan_loans(asks):
            return
        end = monotonic_s() + LOAN_TIMEOUT_S
        if not self._loan_lock.acquire(timeout=LOAN_TIMEOUT_S):
            return
        try:
            for _ in range(MAX_LOAN_ROUNDS):
                plans = self._plan_loans(asks)
                if not plans or monotonic_s() > end:
                    break
                calls = [
                    eventlet.spawn(self._borrow_from, lender, needs)
                    for lender, needs in plans.items()
                ]
                for call in calls:
                    call.wait()
        finally:
            self._loan_lock.release()

    def _plan_loans(
        self, asks: dict[str, QuotaAsk]
    ) -> dict[str, dict[str, LoanNeed]]:
        return self.ledger.plan_loans(
            asks,
            self._known_accounts(),
            self._terms(),
            self._as_allocator(),
            monotonic_s(),
        )

    def _borrow_from(self, lender: str, needs: dict[str, LoanNeed]) -> None:
        peer = self.state.peers.peers.get(lender)
        if peer is None:
            return
        asked_at = monotonic_s()
        request = ShareRequest(
            host=self.state.settings.name,
            needs=(),
            loans=tuple(
                share_codec.LoanNeed(account=name, **dataclasses.asdict(need))
                for name, need in needs.items()
            ),
        )
        self.state.counters["quota_loans"] += 1
        reply, error = self._call(peer, request, LOAN_TIMEOUT_S)
        now = monotonic_s()
        if error or reply.loans is None:
            self._loan_backoff_until[lender] = now + LOAN_BACKOFF_S
            if error and peer.zone != self.state.settings.zone:
                # The zone is probably cut off: further lenders there would
                # cost the same time.
                self._loan_backoff_until[peer.zone] = now + LOAN_BACKOFF_S
            self.state.counters["quota_loans_failed"] += 1
            return
        loans = {
            loan.account: Loan(loan.count, loan.left)
            for loan in reply.loans
            if loan.account in needs
        }
        self.ledger.record_loans(lender, loans, asked_at, now)

    def report_allocations(self) -> None:
        """Logs what this host has granted as an allocator."""
        done = self.ledger.take_allocations()
        if done:
            self.state.log.write(
                "account_allocated",
                True,
                accounts={
                    name: dataclasses.asdict(item)
                    for name, item in done.items()
                },
            )

    def _run(self) -> None:
        while not self.state.ended:
            eventlet.sleep(CHECK_INTERVAL_S)
            with Containment(self.state, "lease_quotas"):
                self._step(monotonic_s())

    def _step(self, now: float) -> None:
        """Updates what the quotas depend on, and asks for accounts."""
        peers = self.state.peers
        peers.update_silent_zones(now)
        quotas = self.state.quotas
        quotas.terms = self._terms()
        known = peers.most_known(now)
        quotas.hosts = known if peers.peers else ASSUMED_HOSTS
        if self.ledger.entries:
            self.ledger.expire(
                self._known_accounts(),
                quotas.terms,
                self._as_allocator(),
                now,
            )
        else:
            self.ledger.record_update(now)
        if now - self._pruned_at >= PRUNE_INTERVAL_S:
            self._pruned_at = now
            quotas.prune(now)
            for name in [k for k, v in self._waiters.items() if not v]:
                del self._waiters[name]
        for name in quotas.due(now):
            self._ask_soon(name)

    def _known_accounts(self) -> dict[str, Account]:
        """Returns the accounts of the configuration in force, by name."""
        table = self.state.table
        accounts = table.config.accounts if table else None
        if accounts is not self._accounts_of:
            self._accounts_of = accounts
            self._accounts = {item.name: item for item in accounts or ()}
        return self._accounts

    def _terms(self) -> QuotaTerms:
        bounds = self.state.settings.bounds
        return QuotaTerms(
            bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack
        )

    def _as_allocator(self) -> Allocator:
        peers = self.state.peers
        now = monotonic_s()
        own = self.state.settings.peer
        is_alone = not peers.peers and peers.most_known(now) == 1
        if is_alone and any(s != own for s in self.state.settings.seeds):
            # It has not heard of the others yet.
            return Allocator(lambda account: 0.0, lambda account: {})
        return Allocator(
            lambda account: peers.account_part(account, now),
            lambda account: {
                name: part
                for name, part in peers.account_lenders(account).items()
                if self._may_borrow_from(name, now)
            },
            peers.removed_at,
            peers.joined,
        )

    def _may_borrow_from(self, name: str, now: float) -> bool:
        """Returns whether another allocator is expected to answer."""
        zone = self.state.peers.peers[name].zone
        return (
            now >= self._loan_backoff_until.get(name, 0.0)
            and now >= self._loan_backoff_until.get(zone, 0.0)
            and now >= self._zone_backoff_until.get(zone, 0.0)
            and zone not in self.state.peers.silent_zones
        )

    def _ranked(self, account: str, now: float) -> list[Peer | None]:
        """Returns the hosts that may allocate an account, the first one first.

        Hosts of earlier builds are left out.
        """
        return [
            peer
            for peer in self.state.peers.account_allocators(account)
            if peer is None or now >= self._earlier_until.get(peer.name, 0.0)
        ]

    def _allocator(self, account: str, now: float) -> Peer | None:
        """Returns whom to ask for an account; None for this host.

        Raises:
            LookupError: No allocator can be asked.
        """
        peers = self.state.peers
        if peers.is_isolated(now):
            # A host that is cut off from all others grants its own part.
            if peers.account_part(account, now) > 0.0:
                return None
            raise LookupError(account)
        found = [
            peer
            for peer in self._ranked(account, now)
            if peer is None
            or (
                now >= self._backoff_until.get(peer.name, 0.0)
                and peer.zone not in peers.silent_zones
            )
        ]
        if not found:
            raise LookupError(account)
        # After a failure, a host of another zone is more likely to answer.
        return next(
            (
                peer
                for peer in found
                if peer is None
                or now >= self._zone_backoff_until.get(peer.zone, 0.0)
            ),
            found[0],
        )

    def _ask_soon(self, account: str) -> None:
        """Starts an ask for an account, unless one is on its way."""
        try:
            peer = self._allocator(account, monotonic_s())
        except LookupError:
            return
        name = peer.name if peer else self.state.settings.name
        if name not in self._asking:
            self._asking.add(name)
            eventlet.spawn_n(self._ask_allocator, name, peer)

    def _ask_allocator(self, name: str, peer: Peer | None) -> None:
        """Asks until no request waits that the last answer does not cover."""
        try:
            while self._ask(peer):
                pass
        finally:
            self._asking.discard(name)

    def _ask(self, peer: Peer | None) -> bool:
        """Asks an allocator for all accounts that are due.

        Returns:
            Whether it answered, and there was something to ask.
        """
        asked_at = monotonic_s()
        quotas = self.state.quotas
        names = [n for n in quotas.due(asked_at) if self._is_for(n, peer)]
        if not names:
            return False
        asks = quotas.asks(names, asked_at)
        request = self._request(asks, asked_at)
        self.state.counters["quota_asks"] += 1
        granted = (
            self.allocate(request)
            if peer is None
            else self._ask_for_grants(peer, request)
        )
        if granted is None:
            quotas.record_unanswered(asks)
            for name in names:
                # The next host of the ranking is asked.
                self._ask_soon(name)
            return False
        now = monotonic_s()
        for item in granted:
            if item.account in asks:
                grant = QuotaGrant(item.granted, item.renew_s, item.wait_s)
                quotas.record_grant(
                    item.account, asks[item.account], grant, asked_at, now
                )
        for name, ask in asks.items():
            # Requests that came later are in the next ask.
            waiters = self._waiters[name]
            for answered in waiters[: ask.waiting]:
                answered.send()
            del waiters[: ask.waiting]
        eventlet.sleep(0)
        return True

    def _is_for(self, account: str, peer: Peer | None) -> bool:
        try:
            found = self._allocator(account, monotonic_s())
        except LookupError:
            return False
        return (found and found.name) == (peer and peer.name)

    def _request(self, asks: dict[str, QuotaAsk], now: float) -> ShareRequest:
        earlier = [k for k, at in self._earlier_until.items() if now < at]
        return ShareRequest(
            host=self.state.settings.name,
            needs=(),
            accounts=tuple(
                AccountNeed(account=name, **dataclasses.asdict(ask))
                for name, ask in asks.items()
            ),
            earlier_builds=tuple(earlier),
        )

    def _ask_for_grants(
        self, peer: Peer, request: ShareRequest
    ) -> tuple[AccountGrant, ...] | None:
        """Returns an allocator's grants; None if it is unfit."""
        reply, error = self._call(peer, request, ASK_TIMEOUT_S)
        if not error and reply.accounts is not None:
            return reply.accounts
        now = monotonic_s()
        if not error:
            error = "earlier build"
            self._earlier_until[peer.name] = now + EARLIER_BUILD_S
        self._backoff_until[peer.name] = now + BACKOFF_S
        if peer.zone != self.state.settings.zone:
            self._zone_backoff_until[peer.zone] = now + BACKOFF_S
        self.state.counters["quota_asks_failed"] += 1
        self.state.log.write(
            "allocator_unfit", True, allocator=peer.name, error=error[:120]
        )
        return None

    def _call(
        self, peer: Peer, request: ShareRequest, timeout_s: float
    ) -> tuple[ShareReply | None, str]:
        """Returns another host's answer, and an error or ""."""
        try:
            data = self.call(
                peer.address, SHARES_PATH, packing.pack(request), timeout_s
            )
            reply = packing.unpack(data, ShareReply)
        except (OSError, ValueError) as failure:
            return None, str(failure) or type(failure).__name__
        return reply, reply.declined
