"""The other entry hosts, as known by gossip.

At regular intervals, each host sends a random peer a list of the hosts that it
knows, with the age of the last message from each. A host is removed when no
host has received a message from it for a while.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

import xxhash

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity

PEER_EXPIRY_S = 8.0
# Share of the messages for which hosts of all zones are eligible. Most updates
# concern hosts of the same zone, and traffic between zones is expensive.
REMOTE_SHARE = 0.25
# Hosts of a zone that call the platform's metadata store; the others get its
# state from them. The second one serves while the first one is unreachable.
WATCHERS_PER_ZONE = 2
# Bounds the size of a message in a large fleet.
MAX_PEERS_PER_MESSAGE = 64
# A host that received no message for this time, directly or by way of another
# host, is cut off from all of them.
ISOLATED_AFTER_S = 2.0
# The allowance of extra attempts is divided by the largest capacity observed
# within this time, since hosts that became unreachable may still spend their
# part.
CAPACITY_WINDOW_S = 600.0
# A zone is silent if no message from its hosts has arrived for this time,
# directly or by way of others. News takes up to three seconds in a fleet.
SILENT_ZONE_AFTER_S = 4.0
# Hosts of each zone that hold a part of an account's quota. With the first four
# of all zones, a fifth of the accounts would have none in a partitioned zone.
ACCOUNT_ALLOCATORS_PER_ZONE = 2
# Part of an account's quota that the second allocator of a zone holds, which
# serves while the first one of its zone does not.
SECOND_ALLOCATOR_PART = 0.04
# The first allocators of the zones hold the rest in equal parts, except that
# the one that all hosts ask holds more, by this factor.
FIRST_ALLOCATOR_WEIGHT = 1.6
# A host holds a larger part of a quota only when all hosts have learned of the
# change of the fleet that gave it that part.
SETTLE_S = 4.0
# A host joins others if one of them has run for so much longer.
JOIN_DIFFERENCE_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry host.

    Attributes:
        name: Name of the host.
        zone: Its availability zone.
        address: Address where it listens for peers.
        last_received_at: When any host last received a message from it.
        capacity: Link rate and cores of its machine.
        relay_port: Port where it accepts delegated requests; 0 for none.
        cut_off: Whether it told that it reaches no searchers.
        knows_accounts: Whether it told that it checks the keys of accounts.
        lends_quotas: Whether it holds and lends parts of accounts' quotas.
            Hosts of earlier builds do not.
    """

    name: str
    zone: str
    address: Address
    last_received_at: float
    capacity: HostCapacity
    relay_port: int = 0
    cut_off: bool = False
    knows_accounts: bool = False
    lends_quotas: bool = True


@dataclasses.dataclass
class PeerTable:
    """The peers that are known.

    Attributes:
        own_name: Name of this host.
        own_zone: Availability zone of this host.
        own_capacity: Link rate and cores of this host's machine.
        peers: Peers by name.
        capacity_totals: Total link rate of all known hosts as a multiple of
            this host's. Each one is a pair of the time at which it was last
            observed and the total.
        known_counts: Numbers of known hosts, as pairs of the same kind.
        silent_zones: Zones of which no host was heard recently, as found by
            `update_silent_zones`.
        removed: Peers removed within `SETTLE_S`, by name, and when.
        removed_at: When a peer was last removed.
        joined: Whether another host had run for some time when this one
            started.
        account_ranks: Names of the allocators by account, until the known
            names change: at 2,600 hosts a ranking takes about a millisecond.
        settled_parts: This host's part by account among the hosts that lend
            quotas, with those in `removed`.
    """

    own_name: str
    own_zone: str
    own_capacity: HostCapacity
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    capacity_totals: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    known_counts: list[tuple[float, int]] = dataclasses.field(
        default_factory=list
    )

    silent_zones: set[str] = dataclasses.field(default_factory=set)
    removed: dict[str, tuple[Peer, float]] = dataclasses.field(
        default_factory=dict
    )
    removed_at: float = -math.inf
    joined: bool = False
    account_ranks: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    settled_parts: dict[str, float] = dataclasses.field(default_factory=dict)

    def merge_peer(self, peer: Peer) -> None:
        """Adds or updates a peer unless a newer entry is known."""
        known = self.peers.get(peer.name)
        if peer.name == self.own_name:
            return
        if known is None or known.lends_quotas != peer.lends_quotas:
            self.removed.pop(peer.name, None)
            self._clear_ranks()
        if known is None or known.last_received_at < peer.last_received_at:
            self.peers[peer.name] = peer

    def record_running(self, theirs_s: float, own_s: float) -> None:
        """Records how long another host and this one have run, in seconds."""
        if theirs_s > own_s + JOIN_DIFFERENCE_S:
            self.joined = True

    def watchers(self) -> list[Peer | None]:
        """Returns the hosts of this zone that watch the store for the others.

        Hosts that know the same names choose the same watchers. While some
        hosts do not know each other yet, more of them watch.

        Returns:
            The watchers; None for this host.
        """
        members = {self.own_name: None}
        members.update(
            (peer.name, peer)
            for peer in self.peers.values()
            if peer.zone == self.own_zone
        )
        chosen = sorted(members, key=_name_hash)
        return [members[name] for name in chosen[:WATCHERS_PER_ZONE]]

    def allocators(self, zone: str) -> list[Peer | None]:
        """Returns the hosts that may allocate shares of a zone's searchers.

        Hosts that know the same names rank them in the same order.

        Args:
            zone: Availability zone of the searchers.

        Returns:
            The hosts in order of preference, those with the most cores first;
            None for this host. If the zone has no hosts, those of all zones.
        """
        own = (self.own_name, self.own_zone, self.own_capacity, None)
        hosts = [own] + [
            (peer.name, peer.zone, peer.capacity, peer)
            for peer in self.peers.values()
        ]
        local = [host for host in hosts if host[1] == zone]
        ranked = sorted(
            local or hosts,
            key=lambda host: (-host[2].cores, _name_hash(host[0])),
        )
        return [peer for _, _, _, peer in ranked]

    def account_allocators(self, account: str) -> list[Peer | None]:
        """Returns the hosts that may allocate an account's quota.

        Hosts that know the same names rank them in the same order.

        Args:
            account: The account's name.

        Returns:
            The first ones in order of preference; None for this host.
        """
        return [self.peers.get(name) for name in self._account_rank(account)]

    def _account_rank(self, account: str) -> list[str]:
        chosen = self.account_ranks.get(account)
        if chosen is None:
            chosen = self._rank_for_account(account, self.peers)
            self.account_ranks[account] = chosen
        return chosen

    def account_lenders(self, account: str) -> dict[str, float]:
        """Returns the other hosts that hold parts of an account's quota.

        Returns:
            Their parts, by name.
        """
        zones = {
            name: self.peers[name].zone if name in self.peers else self.own_zone
            for name in self._account_rank(account)
            if name not in self.peers or self.peers[name].lends_quotas
        }
        parts = _parts(zones)
        parts.pop(self.own_name, None)
        return parts

    def account_part(self, account: str, now: float) -> float:
        """Returns the part of an account's quota that this host holds.

        The parts of all hosts are one together at most, also while they do not
        know the same peers: a peer that was removed keeps its part until all
        hosts have removed it, and hosts that lost each other divide the whole
        by the number of hosts before.

        Args:
            account: The account's name.
            now: Monotonic time in seconds.
        """
        ended = [k for k, v in self.removed.items() if now - v[1] >= SETTLE_S]
        for name in ended:
            del self.removed[name]
            self.settled_parts.clear()
        part = self.settled_parts.get(account)
        if part is None:
            known = (*self._removed_peers(), *self.peers.values())
            lending = {peer.name: peer for peer in known if peer.lends_quotas}
            zones = {
                name: lending[name].zone if name in lending else self.own_zone
                for name in self._rank_for_account(account, lending)
            }
            part = _parts(zones).get(self.own_name, 0.0)
            self.settled_parts[account] = part
        if not part:
            return 0.0
        # Hosts of earlier builds allocate whole quotas, without parts.
        lending = 1 + sum(
            peer.lends_quotas
            for peer in (*self.peers.values(), *self._removed_peers())
        )
        return part * lending / self.most_known(now)

    def _rank_for_account(
        self, account: str, peers: Mapping[str, Peer]
    ) -> list[str]:
        ranked = sorted(
            (self.own_name, *peers),
            key=lambda name: _name_hash(f"{account}/{name}"),
        )
        left = {}
        chosen = []
        for name in ranked:
            peer = peers.get(name)
            zone = peer.zone if peer else self.own_zone
            count = left.setdefault(zone, ACCOUNT_ALLOCATORS_PER_ZONE)
            if count:
                left[zone] = count - 1
                chosen.append(name)
        return chosen

    def _removed_peers(self) -> list[Peer]:
        return [peer for peer, _ in self.removed.values()]

    def _clear_ranks(self) -> None:
        self.account_ranks.clear()
        self.settled_parts.clear()

    def update_silent_zones(self, now: float) -> None:
        """Finds the zones of which no host was heard recently.

        Hosts of such a zone are not asked for quotas, which saves the time of
        asks that fail.

        Args:
            now: Monotonic time in seconds.
        """
        heard = {self.own_zone: now}
        for peer in self.peers.values():
            at = heard.get(peer.zone, peer.last_received_at)
            heard[peer.zone] = max(at, peer.last_received_at)
        self.silent_zones = {
            zone for zone, at in heard.items() if now - at > SILENT_ZONE_AFTER_S
        }

    def most_known(self, now: float) -> int:
        """Returns the most hosts known within `CAPACITY_WINDOW_S`.

        Args:
            now: Monotonic time in seconds.
        """
        self._update_known_counts(now)
        return max(count for _, count in self.known_counts)

    def _update_known_counts(self, now: float) -> int:
        """Records and returns the number of known hosts."""
        known = 1 + len(self.peers) + len(self.removed)
        counts = self.known_counts
        if counts and counts[-1] == (now, known):
            return known
        self.known_counts = [
            item
            for item in counts
            if now - item[0] < CAPACITY_WINDOW_S and item[1] > known
        ] + [(now, known)]
        return known

    def is_isolated(self, now: float) -> bool:
        """Returns whether this host is cut off from all hosts that it knows.

        Args:
            now: Monotonic time in seconds.
        """
        if not self.peers:
            return False
        last = max(peer.last_received_at for peer in self.peers.values())
        return now - last > ISOLATED_AFTER_S

    def remove_expired(self, now: float) -> list[str]:
        """Removes peers from which no host has received a recent message.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The names of the removed peers.
        """
        # Updates take longer if a message cannot list all hosts.
        expiry_s = PEER_EXPIRY_S * max(
            1.0, len(self.peers) / MAX_PEERS_PER_MESSAGE
        )
        expired = [
            peer.name
            for peer in self.peers.values()
            if now - peer.last_received_at > expiry_s
        ]
        for name in expired:
            self.removed[name] = self.peers.pop(name), now
            self.removed_at = now
            self._clear_ranks()
        return expired

    def gossip_targets(
        self, seeds: Iterable[Address], random_number: float = 0.0
    ) -> list[Address]:
        """Returns the addresses that a gossip message may be sent to.

        The seeds remain among them. Otherwise hosts that only know each other
        would never learn of the rest of the fleet.

        Args:
            seeds: Addresses of some hosts, which may not exist any more.
            random_number: A random number in [0, 1) that decides whether the
                message stays in this host's zone.
        """
        same_zone = {
            peer.address
            for peer in self.peers.values()
            if peer.zone == self.own_zone
        }
        if same_zone and random_number >= REMOTE_SHARE:
            return sorted(same_zone, key=str)
        known = {peer.address for peer in self.peers.values()}
        return sorted(known.union(seeds), key=str)

    def sample_peers(self, sample) -> list[Peer]:
        """Returns the peers to list in a message.

        Args:
            sample: Samples from a list without replacement, like
                `random.sample`.
        """
        peers = list(self.peers.values())
        if len(peers) <= MAX_PEERS_PER_MESSAGE:
            return peers
        return sample(peers, MAX_PEERS_PER_MESSAGE)

    def sharers(self, now: float, default_sharers: float) -> float:
        """Returns the divisor of an allowance that all hosts share.

        It is the total link rate of all hosts divided by this host's, so a host
        that can scatter more requests gets a larger part of the allowance.

        Args:
            now: Monotonic time in seconds.
            default_sharers: The result while no peer is known.
        """
        if not self.peers:
            return default_sharers
        own = self.own_capacity.link_mbps
        links = sum(peer.capacity.link_mbps for peer in self.peers.values())
        total = 1.0 + links / own
        self.capacity_totals = [
            item
            for item in self.capacity_totals
            if now - item[0] < CAPACITY_WINDOW_S
        ]
        if self.capacity_totals and self.capacity_totals[-1][1] == total:
            self.capacity_totals.pop()
        self.capacity_totals.append((now, total))
        return max(known for _, known in self.capacity_totals)


def _parts(zones: Mapping[str, str]) -> dict[str, float]:
    """Returns the parts of a quota that allocators hold.

    Args:
        zones: Their zones by name, in order of preference.
    """
    weights = {}
    for name, zone in zones.items():
        if zone not in (zones[other] for other in weights):
            weights[name] = 1.0 if weights else FIRST_ALLOCATOR_WEIGHT
    rest = 1.0 - SECOND_ALLOCATOR_PART * (len(zones) - len(weights))
    total = sum(weights.values())
    return {
        name: weights[name] / total * rest
        if name in weights
        else SECOND_ALLOCATOR_PART
        for name in zones
    }


def _name_hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
