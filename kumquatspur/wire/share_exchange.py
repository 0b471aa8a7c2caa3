"""Divides limits of searchers and quotas of accounts among entry hosts.

A host asks the allocator of a zone for parts of the limits of that zone's
searchers, and acts as the allocator when other hosts ask it.
"""

from collections.abc import Callable

import eventlet
import eventlet.semaphore

from kumquatspur.border import packing
from kumquatspur.border.share_codec import (
    LeasedShare,
    ShareNeed,
    ShareReply,
    ShareRequest,
)
from kumquatspur.policy.limit_shares import RENEW_S, ShareAsk, ShareLedger
from kumquatspur.policy.peer_table import Peer
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.quota_exchange import SHARES_PATH, QuotaExchange
from kumquatspur.wire.searcher_pool import monotonic_s

CHECK_INTERVAL_S = 0.1
# How long a host is not asked after a failure.
BACKOFF_S = 2.0
# Allocators that are tried at once, one after the other.
MAX_TRIES = 2
# Hosts ask at different times.
RENEW_JITTER = (0.8, 1.0)


class ShareExchange:
    """Asks allocators for parts of limits, and acts as an allocator.

    Attributes:
        state: The state of this host.
        call: Sends a message to a path of another host and returns the answer;
            raises OSError or ValueError.
        ledger: The parts that this host has leased to others.
        quotas: Divides the quotas of accounts with the same messages.
    """

    def __init__(
        self,
        state: EntryState,
        call: Callable[..., bytes],
    ):
        self.state = state
        self.call = call
        self.ledger = ShareLedger()
        self.quotas = QuotaExchange(state, call)
        self._asks_at = {}
        self._asking = set()
        self._backoff_until = {}

    def start(self) -> None:
        """Starts asking for parts of the limits that matter to this host."""
        eventlet.spawn_n(self._run)
        self.quotas.start()

    def serve(self, data: bytes) -> bytes:
        """Answers another host as an allocator.

        Args:
            data: Its message.

        Raises:
            ValueError: The message is not valid.
        """
        request = packing.unpack(data, ShareRequest)
        if request.loans:
            return packing.pack(ShareReply(loans=self.quotas.lend(request)))
        if request.accounts:
            # A host that is stopping keeps the buckets of its accounts: no
            # other host adds credit at its part of the rate.
            accounts = self.quotas.allocate(request)
            return packing.pack(ShareReply(accounts=accounts))
        if self.state.stopping:
            return packing.pack(ShareReply(declined="stopping"))
        return packing.pack(self._allocate(request))

    def _run(self) -> None:
        while not self.state.ended:
            eventlet.sleep(CHECK_INTERVAL_S)
            with Containment(self.state, "lease_limits"):
                self._renew_due(monotonic_s())

    def _renew_due(self, now: float) -> None:
        """Starts the asks that are due."""
        self.ledger.expire(now)
        for zone, needed in self._needed_by_zone(now).items():
            if self._is_due(zone, needed, now):
                self._asking.add(zone)
                eventlet.spawn_n(self._renew, zone, needed)

    def _needed_by_zone(self, now: float) -> dict[str, list[str]]:
        """Returns the limited searchers that this host has requests for."""
        by_zone = {}
        for searcher_id in self.state.limits.wanted(now):
            entry = self.state.directory.by_id.get(searcher_id)
            if entry is not None:
                by_zone.setdefault(entry.zone, []).append(searcher_id)
        return by_zone

    def _is_due(self, zone: str, needed: list[str], now: float) -> bool:
        if zone in self._asking:
            return False
        if now >= self._asks_at.get(zone, 0.0):
            return True
        by_searcher = self.state.limits.by_searcher
        return any(
            name in by_searcher and by_searcher[name].share_until < 0.0
            for name in needed
        )

    def _renew(self, zone: str, needed: list[str]) -> None:
        """Asks the allocator of a zone for parts of limits."""
        asked_at = monotonic_s()
        request = self._request(needed, asked_at)
        reply = None
        try:
            reply = self._ask(zone, request)
        finally:
            self._asking.discard(zone)
            renew_s = reply.renew_s if reply else RENEW_S
            jitter = self.state.random.uniform(*RENEW_JITTER)
            self._asks_at[zone] = monotonic_s() + renew_s * jitter
        if reply is None:
            return
        # The allocator counts the lease from a later moment.
        until = asked_at + reply.lease_s
        for leased in reply.shares:
            self.state.limits.record_lease(
                leased.searcher, leased.share, until, monotonic_s()
            )

    def _ask(self, zone: str, request: ShareRequest) -> ShareReply | None:
        """Returns the answer of the first allocator that gives one.

        A host that is cut off from all others is no allocator, not even for
        itself: the others have another one.
        """
        now = monotonic_s()
        if self.state.peers.is_isolated(now):
            return None
        ranked = [
            peer
            for peer in self.state.peers.allocators(zone)
            if peer is None or now >= self._backoff_until.get(peer.name, 0.0)
        ]
        for peer in ranked[:MAX_TRIES]:
            if peer is None:
                return self._allocate(request)
            reply = self._ask_peer(peer, request)
            if reply is not None:
                return reply
        return None

    def _ask_peer(self, peer: Peer, request: ShareRequest) -> ShareReply | None:
        try:
            data = self.call(peer.address, SHARES_PATH, packing.pack(request))
            reply = packing.unpack(data, ShareReply)
            error = reply.declined
        except (OSError, ValueError) as failure:
            error = str(failure)
        if not error:
            return reply
        self._backoff_until[peer.name] = monotonic_s() + BACKOFF_S
        self.state.counters["share_asks_failed"] += 1
        self.state.log.write(
            "allocator_unfit", True, allocator=peer.name, error=error[:120]
        )
        return None

    def _allocate(self, request: ShareRequest) -> ShareReply:
        """Leases parts to a host, which may be this one."""
        now = monotonic_s()
        asks = {
            need.searcher: ShareAsk(need.per_s, need.held)
            for need in request.needs
        }
        granted = self.ledger.renew(request.host, asks, now)
        return ShareReply(
            lease_s=self.ledger.lease_s(),
            renew_s=self.ledger.renew_s(),
            shares=tuple(
                LeasedShare(searcher=name, share=share)
                for name, share in granted.items()
            ),
        )

    def _request(self, needed: list[str], now: float) -> ShareRequest:
        limits = self.state.limits
        needs = []
        for name in needed:
            limit = limits.by_searcher.get(name)
            if limit is None:
                continue
            needs.append(
                ShareNeed(
                    searcher=name,
                    per_s=limit.current_wanted_per_s(now),
                    held=max(limits.share(limit, now), limits.unleased_share),
                )
            )
        return ShareRequest(
            host=self.state.settings.name,
            needs=tuple(needs),
        )
