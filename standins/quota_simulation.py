"""Simulates hosts that share the quotas of client accounts, by events.

Used by tests and by `bench.shared_limits`. Requests come at given times to
given hosts. Messages take no time, except that a call of a host that cannot be
reached times out. Hosts may be killed, frozen, or partitioned by zone.
"""

import collections
import dataclasses
import heapq
import math
import random

from kumquatspur.core.routing import Account, HostCapacity
from kumquatspur.policy.account_quotas import AccountQuotas
from kumquatspur.policy.peer_table import (
    PEER_EXPIRY_S,
    SILENT_ZONE_AFTER_S,
    Peer,
    PeerTable,
)
from kumquatspur.policy.quota_ledger import (
    MAX_LOAN_ROUNDS,
    Allocator,
    QuotaLedger,
    QuotaTerms,
)
from standins.quota_rule import OVERRUN, SLACK, WINDOW_S

TERMS = QuotaTerms(WINDOW_S, OVERRUN, SLACK)
TICK_S = 0.1
CALL_TIMEOUT_S = 0.12
# A waiting request is asked of this many hosts.
MAX_TRIES = 2
BACKOFF_S = 2.0
LOAN_BACKOFF_S = 1.0
# How often a host updates its peers. Hosts of larger fleets know all others
# all the time.
TABLE_S = 1.0
MAX_TABLES = 200
# Age of the last message from a host that can be reached.
MESSAGE_AGE_S = 1.0
# Part of the hosts that hear of another zone late, for a time of this length.
LATE_PART = 0.25
LATE_S = 6.0
# A host is heard if its last message is not older.
HEARD_S = SILENT_ZONE_AFTER_S
CAPACITY = HostCapacity(100.0, 1.0)
# Bytes of an ask and its answer without accounts, and for each account. Packed
# with `border.share_codec`, both have 214 bytes for one account and 314 for
# five; 280 bytes of HTTP headers are an estimate.
MESSAGE_BYTES = 470
ACCOUNT_BYTES = 25


@dataclasses.dataclass
class QuotaHost:
    """One host.

    Attributes:
        number: Its number; its name is `host-` and the number.
        zone: Its availability zone.
        quotas: What it may send.
        ledger: What it has granted as an allocator.
        accounts: Its configuration: the accounts by name.
        up: Whether it runs.
        frozen_until: Until when it does nothing.
        frozen_at: When it was frozen.
        down_at: When it was killed.
        side: Hosts on different sides of a partition cannot reach each other.
        backoff_until: Until when it does not ask a host, by number.
        zone_backoff_until: Until when it asks hosts of other zones, by zone.
        loan_backoff_until: Until when it borrows nothing of a host, by name.
        messages: Messages that it sent and answered.
        message_bytes: Their size.
    """

    number: int
    zone: int
    quotas: AccountQuotas
    ledger: QuotaLedger
    accounts: dict[str, Account]
    up: bool = True
    frozen_until: float = 0.0
    frozen_at: float = 0.0
    down_at: float = 0.0
    side: int = 0
    backoff_until: dict[int, float] = dataclasses.field(default_factory=dict)
    zone_backoff_until: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    loan_backoff_until: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    messages: int = 0
    message_bytes: int = 0


class QuotaSimulation:
    """Hosts, accounts, and the time.

    Attributes:
        now: The current time in seconds.
        hosts: The hosts.
        accounts: The newest configuration, by name.
        sent: When requests were sent, by account.
        refused: When requests were refused, by account.
        waited: Requests that waited for an allocator.
        late_age_s: Age of the last message that some hosts have of another
            zone. In a large fleet, messages take seconds to reach all hosts.
    """

    def __init__(self, count, accounts, seed, zones=3):
        self.random = random.Random(seed)
        self.late_age_s = MESSAGE_AGE_S
        self._age_seed = seed
        self.now = 100.0
        self.zones = zones
        self.accounts = {account.name: account for account in accounts}
        self.sent = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waited = 0
        self.changed_at = {0: 0.0}
        self.hosts = []
        self.hosts = [self._new_host(i, count, 0.0) for i in range(count)]
        self._events = []
        self._sequence = 0
        self._ticking = set()
        self._ranks = {}
        self._table = self._new_table(self.hosts[0])
        # They expire only when they are silent.
        self._peers = [
            Peer(f"host-{i}", str(i % zones), None, math.inf, CAPACITY)
            for i in range(count)
        ]
        for host in self.hosts[1:]:
            name = f"host-{host.number}"
            self._table.peers[name] = self._peers[host.number]
        self._tables = [self._new_table(host) for host in self.hosts]
        self._updated_at = [-math.inf] * count

    def _new_host(self, number, count, started_at):
        quotas = AccountQuotas(started_at, TERMS, hosts=count)
        ledger = QuotaLedger(started_at)
        zone = number % self.zones
        return QuotaHost(number, zone, quotas, ledger, dict(self.accounts))

    def _new_table(self, host):
        return PeerTable(f"host-{host.number}", str(host.zone), CAPACITY)

    def kill(self, *numbers):
        """Kills hosts."""
        for number in numbers:
            self.hosts[number].up = False
            self.hosts[number].down_at = self.now

    def freeze(self, number, seconds):
        """Lets a host do nothing for a time."""
        self.hosts[number].frozen_at = self.now
        self.hosts[number].frozen_until = self.now + seconds

    def restart(self, number):
        """Replaces a host by one that knows nothing but the configuration."""
        side = self.hosts[number].side
        fresh = self._new_host(number, len(self.hosts), self.now)
        fresh.side = side
        self.hosts[number] = fresh
        self._tables[number] = self._new_table(fresh)
        self._updated_at[number] = -math.inf

    def first_allocator(self, name):
        """Returns the number of the first allocator of an account."""
        return self._rank(name)[0]

    def cut(self, zone):
        """Partitions a zone from the others."""
        self._set_side(zone, 1)

    def heal(self, zone):
        """Ends the partition of a zone."""
        self._set_side(zone, 0)

    def _set_side(self, zone, side):
        self.changed_at[zone] = self.now
        for host in self.hosts:
            if host.zone == zone:
                host.side = side

    def configure(self, account, numbers):
        """Gives hosts a newer configuration of an account."""
        self.accounts[account.name] = account
        for number in numbers:
            self.hosts[number].accounts[account.name] = account

    def at(self, when, action, *arguments):
        """Calls a function at a time."""
        self._sequence += 1
        entry = (when, self._sequence, action, arguments)
        heapq.heappush(self._events, entry)

    def load(self, account, per_s, choose_host, start, end):
        """Lets clients send requests at random times.

        Args:
            account: The account's name.
            per_s: Requests per second.
            choose_host: Returns the number of a host for each request.
            start: When they begin, in seconds.
            end: When they end.
        """
        when = start + self.random.expovariate(per_s)
        if when < end:
            arguments = (account, per_s, choose_host, end)
            self.at(when, self._arrive, *arguments)

    def _arrive(self, account, per_s, choose_host, end):
        self.request(choose_host(), account)
        self.load(account, per_s, choose_host, self.now, end)

    def run(self, seconds):
        """Lets time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            when, _, action, arguments = heapq.heappop(self._events)
            self.now = max(self.now, when)
            action(*arguments)
        self.now = end

    def request(self, number, name):
        """Lets a client send a request to a host."""
        host = self.hosts[number]
        if not host.up or self.now < host.frozen_until:
            return
        account = host.accounts[name]
        draw = 1.0 - self.random.random()
        result = host.quotas.admit(account, self.now, draw)
        if result.asks:
            self.waited += 1
            host.quotas.begin_wait(account)
            self._ask(host, self._same_allocator(host, name))
            result = host.quotas.end_wait(account, self.now)
        times = self.sent if result.admitted else self.refused
        times[name].append(self.now)
        self._start_ticks(host)

    def _same_allocator(self, host, name):
        """Returns the due accounts that are asked in one message."""
        target = self._target(host, name)
        names = {name, *host.quotas.due(self.now)}
        return [n for n in names if self._target(host, n) is target]

    def _start_ticks(self, host):
        if host.number not in self._ticking:
            self._ticking.add(host.number)
            self.at(self.now + TICK_S, self._tick, host.number)

    def _tick(self, number):
        host = self.hosts[number]
        if self.now >= host.frozen_until:
            if host.up:
                self._expire(host)
                self._ask_due(host)
            host.quotas.prune(self.now)
        if host.up and (host.quotas.by_account or host.ledger.entries):
            self.at(self.now + TICK_S, self._tick, number)
        else:
            # An idle host ticks too; what it forgets then is not simulated.
            host.ledger.updated_at = float("-inf")
            self._ticking.discard(number)

    def _expire(self, host):
        if not host.ledger.entries:
            host.ledger.record_update(self.now)
            return
        host.ledger.expire(
            host.accounts, TERMS, self._allocator(host), self.now
        )

    def _ask_due(self, host):
        groups = collections.defaultdict(list)
        for name in host.quotas.due(self.now):
            target = self._target(host, name)
            groups[target and target.number].append(name)
        for names in groups.values():
            self._ask(host, names)

    def _rank(self, name):
        ranked = self._ranks.get(name)
        if ranked is None:
            peers = self._table.account_allocators(name)
            ranked = [int(p.name[5:]) if p else 0 for p in peers]
            self._ranks[name] = ranked
        return ranked

    def _target(self, host, name):
        """Returns the allocator that a host would ask; None for none."""
        if self._is_isolated(host):
            return None
        found = []
        for number in self._rank(name):
            other = self.hosts[number]
            silent = (
                other.zone != host.zone
                and self._silent_s(host, other) > HEARD_S
            )
            if self.now >= host.backoff_until.get(number, 0.0) and not silent:
                found.append(other)
        usual = [
            other
            for other in found
            if self.now >= host.zone_backoff_until.get(other.zone, 0.0)
        ]
        return next(iter(usual or found), None)

    def _is_isolated(self, host):
        alone = host.side and len(self.hosts) == self.zones
        lost_for = self.now - self.changed_at.get(host.zone, 0.0)
        return alone and lost_for > 2.0

    def _ask(self, host, names, tries=MAX_TRIES):
        target = self._target(host, names[0]) if names else None
        if target is None or not tries:
            return
        asks = host.quotas.asks(names, self.now)
        host.messages += 1
        size = MESSAGE_BYTES + ACCOUNT_BYTES * len(names)
        if target is not host:
            host.message_bytes += size
        down = not target.up or self.now < target.frozen_until
        if down or target.side != host.side:
            host.quotas.record_unanswered(asks)
            until = self.now + CALL_TIMEOUT_S + BACKOFF_S
            host.backoff_until[target.number] = until
            if target.zone != host.zone:
                host.zone_backoff_until[target.zone] = until
            self._ask(host, names[:1], tries - 1)
            return
        if target is not host:
            target.messages += 1
            target.message_bytes += size
        name = f"host-{host.number}"
        known = (target.accounts, TERMS, self._allocator(target), self.now)
        target.ledger.record_asks(name, asks, *known)
        self._borrow(target, asks)
        grants = target.ledger.grant(name, asks, *known)
        self._start_ticks(target)
        for name, grant in grants.items():
            host.quotas.record_grant(
                name, asks[name], grant, self.now, self.now
            )

    def _borrow(self, host, asks):
        """Lets an allocator borrow what it lacks."""
        for _ in range(MAX_LOAN_ROUNDS):
            plans = host.ledger.plan_loans(
                asks, host.accounts, TERMS, self._allocator(host), self.now
            )
            if not plans:
                break
            self._borrow_from(host, plans)

    def _borrow_from(self, host, plans):
        for lender, needs in plans.items():
            other = self.hosts[int(lender[5:])]
            size = MESSAGE_BYTES + ACCOUNT_BYTES * len(needs)
            host.messages += 1
            host.message_bytes += size
            down = not other.up or self.now < other.frozen_until
            if down or other.side != host.side:
                until = self.now + LOAN_BACKOFF_S
                host.loan_backoff_until[lender] = until
                continue
            other.messages += 1
            other.message_bytes += size
            loans = other.ledger.lend(
                f"host-{host.number}",
                needs,
                other.accounts,
                TERMS,
                self._allocator(other),
                self.now,
            )
            self._start_ticks(other)
            host.ledger.record_loans(lender, loans, self.now, self.now)

    def _allocator(self, host):
        """Returns what a host knows of the fleet, with its own peer table."""
        if len(self.hosts) > MAX_TABLES:
            return Allocator(
                lambda name: self._parts(name).get(f"host-{host.number}", 0.0),
                lambda name: self._lenders(name, host),
            )
        table = self._tables[host.number]
        self._update_table(host, table)
        return Allocator(
            lambda name: table.account_part(name, self.now),
            lambda name: {
                lender: part
                for lender, part in table.account_lenders(name).items()
                if self.now >= host.loan_backoff_until.get(lender, 0.0)
            },
            table.removed_at,
            table.joined,
        )

    def _parts(self, name):
        """Returns the parts of an account's quota in a fleet without change."""
        parts = self._table.account_lenders(name)
        parts["host-0"] = self._table.account_part(name, self.now)
        return parts

    def _lenders(self, name, host):
        return {
            lender: part
            for lender, part in self._parts(name).items()
            if lender != f"host-{host.number}"
            and part
            and self.now >= host.loan_backoff_until.get(lender, 0.0)
        }

    def _update_table(self, host, table):
        """Lets a host's peer table follow what the host hears."""
        if self.now < self._updated_at[host.number] + TABLE_S:
            return
        self._updated_at[host.number] = self.now
        for other in self.hosts:
            if other is host:
                continue
            heard_at = self.now - self._silent_s(host, other)
            peer = table.peers.get(f"host-{other.number}")
            if self.now - heard_at > PEER_EXPIRY_S:
                if peer is not None:
                    table.peers[peer.name] = dataclasses.replace(
                        peer, last_received_at=heard_at
                    )
            elif peer is None:
                table.merge_peer(self._peers[other.number])
                table.record_running(
                    self.now - other.ledger.started_at,
                    self.now - host.ledger.started_at,
                )
        table.remove_expired(self.now)

    def _silent_s(self, host, other):
        """Returns the age of the last message from another host."""
        if not other.up:
            return self.now - other.down_at + MESSAGE_AGE_S
        if self.now < other.frozen_until:
            return self.now - other.frozen_at + MESSAGE_AGE_S
        if host.side != other.side:
            since = max(
                self.changed_at.get(host.zone, 0.0),
                self.changed_at.get(other.zone, 0.0),
            )
            return self.now - since + MESSAGE_AGE_S
        return self._message_age_s(host, other)

    def _message_age_s(self, host, other):
        """Returns how old the news of another host's zone is at a host."""
        if other.zone == host.zone:
            return MESSAGE_AGE_S
        period = int(self.now / LATE_S)
        draw = random.Random(
            f"{self._age_seed} {host.number} {other.zone} {period}"
        )
        is_late = draw.random() < LATE_PART
        return self.late_age_s if is_late else MESSAGE_AGE_S
