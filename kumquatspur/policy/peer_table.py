"""The other entry hosts, by gossip.

Each host tells a random peer, at intervals, whom it has heard of and how long
ago. A host that nobody has heard of for a while is forgotten.
"""

import dataclasses
from collections.abc import Iterable

from kumquatspur.core.records import Address

FORGET_S = 8.0
# Hosts named in one message, so that its size does not grow with the fleet.
MAX_NAMED = 24
# The greatest number of hosts seen within this time shares the budget, since
# hosts that cannot be heard may still spend theirs.
COUNT_MEMORY_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry host.

    Attributes:
        name: Its name.
        address: Where it listens for peers.
        heard: When anybody last heard of it.
    """

    name: str
    address: Address
    heard: float


@dataclasses.dataclass
class PeerTable:
    """The peers that are known.

    Attributes:
        own_name: The name of this host.
        peers: Peers by name.
        counts: Numbers of live hosts seen, as pairs of time and number.
    """

    own_name: str
    peers: dict[str, Peer] = dataclasses.field(default_factory=dict)
    counts: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def note(self, name: str, address: Address, heard: float) -> None:
        """Notes that a host was heard of."""
        known = self.peers.get(name)
        if name != self.own_name and (known is None or known.heard < heard):
            self.peers[name] = Peer(name, address, heard)

    def forget_silent(self, now: float) -> list[str]:
        """Forgets hosts that nobody has heard of.

        Args:
            now: Steady time in seconds.

        Returns:
            Their names.
        """
        silent = [
            peer.name
            for peer in self.peers.values()
            if now - peer.heard > FORGET_S
        ]
        for name in silent:
            del self.peers[name]
        return silent

    def addresses(self, seeds: Iterable[Address]) -> list[Address]:
        """Returns where a message may go: known peers, or else seeds."""
        known = sorted({peer.address for peer in self.peers.values()}, key=str)
        return known or list(seeds)

    def named(self, sample) -> list[Peer]:
        """Returns the peers that a message names.

        Args:
            sample: Draws some of a list, like `random.sample`.
        """
        peers = list(self.peers.values())
        if len(peers) <= MAX_NAMED:
            return peers
        return sample(peers, MAX_NAMED)

    def host_count(self, now: float, least: int) -> int:
        """Returns how many hosts may be live, this one included.

        Args:
            now: Steady time in seconds.
            least: The number assumed while few peers have been heard.
        """
        count = len(self.peers) + 1
        if not self.peers:
            return least
        self.counts = [
            item for item in self.counts if now - item[0] < COUNT_MEMORY_S
        ]
        if not self.counts or self.counts[-1][1] != count:
            self.counts.append((now, count))
        return max(number for _, number in self.counts)
