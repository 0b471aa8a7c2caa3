"""The other entry hosts, by gossip.

Each host tells a random peer, at intervals, whom it has heard of and how long
ago. A host that nobody has heard of for a while is forgotten.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity

PEER_EXPIRY_S = 8.0
# Share of the messages that go to another zone; most news concerns the own
# zone, and bytes between zones cost.
REMOTE_SHARE = 0.25
# Hosts of a zone that call the platform's store; the others follow them. A
# second one serves while the first is lost.
WATCHERS_PER_ZONE = 2
# Hosts named in one message, so that its size does not grow with the fleet.
MAX_PEERS_PER_MESSAGE = 64
# The greatest capacity seen within this time shares the budget, since hosts
# that cannot be heard may still spend theirs.
COUNT_MEMORY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry host.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: Where it listens for peers.
        last_received_at: When anybody last heard of it.
        capacity: What its machine has.
        relay_port: Where it takes requests to be scattered; 0 for none.
    """

    name: str
    zone: str
    address: Address
    last_received_at: float
    capacity: HostCapacity
    relay_port: int = 0


@dataclasses.dataclass
class PeerTable:
    """The peers that are known.

    Attributes:
        own_name: The name of this host.
        own_zone: Its availability zone.
        own_capacity: What its machine has.
        peers: Peers by name.
        totals: Capacity of the live hosts seen, as a multiple of this host's,
            as pairs of time and total.
    """

    own_name: str
    own_zone: str
    own_capacity: HostCapacity
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    totals: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def merge_peer(self, peer: Peer) -> None:
        """Notes that a host was heard of."""
        known = self.peers.get(peer.name)
        if peer.name == self.own_name:
            return
        if known is None or known.last_received_at < peer.last_received_at:
            self.peers[peer.name] = peer

    def watchers(self) -> list[Peer | None]:
        """Returns the hosts of this zone that watch the store for the others.

        Each host works out the same few from the names alone. While hosts do
        not know each other yet, more of them watch.

        Returns:
            The watchers; None stands for this host.
        """
        members = {self.own_name: None}
        members.update(
            (peer.name, peer)
            for peer in self.peers.values()
            if peer.zone == self.own_zone
        )
        chosen = sorted(members, key=_rank)
        return [members[name] for name in chosen[:WATCHERS_PER_ZONE]]

    def remove_expired(self, now: float) -> list[str]:
        """Forgets hosts that nobody has heard of.

        Args:
            now: Steady time in seconds.

        Returns:
            Their names.
        """
        # With more hosts than a message names, news takes longer.
        patience_s = PEER_EXPIRY_S * max(
            1.0, len(self.peers) / MAX_PEERS_PER_MESSAGE
        )
        silent = [
            peer.name
            for peer in self.peers.values()
            if now - peer.last_received_at > patience_s
        ]
        for name in silent:
            del self.peers[name]
        return silent

    def gossip_targets(
        self, seeds: Iterable[Address], chance: float = 0.0
    ) -> list[Address]:
        """Returns where a message may go.

        Seeds stay among them, since hosts that have heard of each other first
        would otherwise never hear of the rest.

        Args:
            seeds: Addresses of some hosts; they may be gone.
            chance: A random number in [0, 1) that decides whether the message
                stays in the own zone.
        """
        near = {
            peer.address
            for peer in self.peers.values()
            if peer.zone == self.own_zone
        }
        if near and chance >= REMOTE_SHARE:
            return sorted(near, key=str)
        known = {peer.address for peer in self.peers.values()}
        return sorted(known.union(seeds), key=str)

    def sample_peers(self, sample) -> list[Peer]:
        """Returns the peers that a message names.

        Args:
            sample: Draws some of a list, like `random.sample`.
        """
        peers = list(self.peers.values())
        if len(peers) <= MAX_PEERS_PER_MESSAGE:
            return peers
        return sample(peers, MAX_PEERS_PER_MESSAGE)

    def sharers(self, now: float, least: float) -> float:
        """Returns how many hosts like this one may share what all may spend.

        A host that can scatter more requests gets a larger part, in proportion
        to its link.

        Args:
            now: Steady time in seconds.
            least: The number assumed while no peer has been heard.
        """
        if not self.peers:
            return least
        own = self.own_capacity.link_mbps
        links = sum(peer.capacity.link_mbps for peer in self.peers.values())
        total = 1.0 + links / own
        self.totals = [
            item for item in self.totals if now - item[0] < COUNT_MEMORY_S
        ]
        if not self.totals or self.totals[-1][1] != total:
            self.totals.append((now, total))
        return max(known for _, known in self.totals)


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
