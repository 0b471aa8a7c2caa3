"""Admits requests by the quota of their account, together with other hosts.

A host asks the allocators of the accounts that it has requests for, with one
message per allocator, and acts as the allocator when other hosts ask it.
"""

import collections
import dataclasses
from collections.abc import Callable

import eventlet
import eventlet.event

from kumquatspur.border import packing
from kumquatspur.border.share_codec import (
    AccountGrant,
    AccountNeed,
    ShareReply,
    ShareRequest,
)
from kumquatspur.core.routing import Account
from kumquatspur.policy.account_quotas import ADMITTED, Admission
from kumquatspur.policy.peer_table import ISOLATED_AFTER_S, Peer
from kumquatspur.policy.quota_ledger import (
    Allocator,
    QuotaAsk,
    QuotaGrant,
    QuotaLedger,
    QuotaTerms,
)
from kumquatspur.wire.entry_state import ASSUMED_HOSTS, EntryState
from kumquatspur.wire.searcher_pool import monotonic_s

SHARES_PATH = "/shares"
CHECK_INTERVAL_S = 0.1
# A request waits at most this long for an allocator's answer.
MAX_WAIT_S = 0.25
# An ask is given up after this time, so that the next host of the ranking can
# answer while the request waits.
ASK_TIMEOUT_S = 0.12
# How long a host is not asked after a failure.
BACKOFF_S = 2.0
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
        self._fraction = 1.0
        self._accounts_of = None
        self._accounts = {}
        self._asking = set()
        self._waiters = collections.defaultdict(list)
        self._backoff_until = {}
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

    def refund(self, account: Account | None) -> None:
        """Returns the credit of an admitted request that ran nowhere."""
        if account is not None:
            self.state.quotas.refund(account, monotonic_s())

    def allocate(self, request: ShareRequest) -> tuple[AccountGrant, ...]:
        """Grants requests of accounts to a host, which may be this one."""
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
        granted = self.ledger.renew(
            request.host,
            asks,
            self._known_accounts(),
            self._terms(),
            self._as_allocator(),
            now,
        )
        return tuple(
            AccountGrant(account=name, **dataclasses.asdict(grant))
            for name, grant in granted.items()
        )

    def report_allocations(self) -> None:
        """Logs what this host has granted as an allocator."""
        done = self.ledger.take_allocations(self._as_allocator())
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
            now = monotonic_s()
            peers = self.state.peers
            self._fraction = peers.reached_fraction(now)
            quotas = self.state.quotas
            quotas.terms = self._terms()
            known = max(count for _, count in peers.known_counts)
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
        return Allocator(self._fraction, self._is_first, self._hears_first)

    def _is_first(self, account: str) -> bool:
        ranked = self._ranked(account, monotonic_s())
        return bool(ranked) and ranked[0] is None

    def _hears_first(self, account: str) -> bool:
        now = monotonic_s()
        for peer in self._ranked(account, now):
            if peer is None:
                return False
            if now - peer.last_received_at <= ISOLATED_AFTER_S:
                return True
        return False

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
        if not peers.is_isolated(now):
            for peer in self._ranked(account, now):
                if peer is None:
                    return peer
                backoff_until = self._backoff_until.get(peer.name, 0.0)
                if now >= backoff_until and peer.zone not in peers.silent_zones:
                    return peer
        raise LookupError(account)

    def _ask_soon(self, account: str) -> None:
        """Starts an ask for an account, unless one is on its way."""
        try:
            peer = self._allocator(account, monotonic_s())
        except LookupError:
            return
        if peer is None:
            self._ask(None)
        elif peer.name not in self._asking:
            self._asking.add(peer.name)
            eventlet.spawn_n(self._ask_peer, peer)

    def _ask_peer(self, peer: Peer) -> None:
        """Asks until no request waits that the last answer does not cover."""
        try:
            while self._ask(peer):
                pass
        finally:
            self._asking.discard(peer.name)

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
            else self._call(peer, request)
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

    def _call(
        self, peer: Peer, request: ShareRequest
    ) -> tuple[AccountGrant, ...] | None:
        """Returns an allocator's grants; None if it is unfit."""
        try:
            data = self.call(
                peer.address, SHARES_PATH, packing.pack(request), ASK_TIMEOUT_S
            )
            reply = packing.unpack(data, ShareReply)
            error = reply.declined
            if not error and reply.accounts is None:
                error = "earlier build"
                until = monotonic_s() + EARLIER_BUILD_S
                self._earlier_until[peer.name] = until
        except (OSError, ValueError) as failure:
            error = str(failure)
        if not error:
            return reply.accounts
        self._backoff_until[peer.name] = monotonic_s() + BACKOFF_S
        self.state.counters["quota_asks_failed"] += 1
        self.state.log.write(
            "allocator_unfit", True, allocator=peer.name, error=error[:120]
        )
        return None
