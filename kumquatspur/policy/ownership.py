"""Which entry host owns a searcher.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (after
Mirrokni, Thorup and Zadimoghaddam, 2018). The searchers of a placement group
are split into chunks, and every host computes the same ranking of hosts for a
chunk. Chunks are assigned to hosts by deferred acceptance (Gale and Shapley,
1962): each chunk is offered to the hosts in the order of its ranking, and a
host above its load bound rejects the chunks with the lowest weight for it. The
result depends only on the set of live hosts, which are called members here. If
a host fails, the chunks that it owned and a few others move.
"""

import collections
import dataclasses
import functools
import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

from kumquatspur.core.records import Searcher

# Zones with at most this many searchers use the small chunk size.
SMALL_ZONE_SEARCHERS = 256
# Maximum number of searchers per chunk, in small and in larger zones.
SMALL_CHUNK_SEARCHERS = 4
CHUNK_SEARCHERS = 8
# The load bound is rounded up to a power of this, so that it rarely changes
# when hosts join or fail.
BOUND_STEP = 1.1
# Load bound before rounding, as a multiple of the mean number of searchers per
# host.
LOAD_BOUND_FACTOR = 1.1
# Highest ranked members kept per chunk. The standbys are taken from them.
RANKS_KEPT = 6

_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


@functools.lru_cache(maxsize=32768)
def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _weight(name_hash: int, member: str) -> int:
    return ((name_hash ^ _hash(member)) * _HASH_MULTIPLIER) & _MASK


def rank_members(name: str, members: Iterable[str]) -> list[str]:
    """Ranks members for a chunk or another name by rendezvous hashing.

    Args:
        name: The name to rank for.
        members: Names of the live members.

    Returns:
        The members, the highest rank first.
    """
    return _first_ranks(name, list(members), None)


def _first_ranks(name: str, members: list[str], count) -> list[str]:
    name_hash = _hash(name)
    ranked = sorted(
        ((_weight(name_hash, member), member) for member in members),
        reverse=True,
    )
    return [member for _, member in ranked[:count]]


@dataclasses.dataclass(frozen=True)
class Chunk:
    """Searchers of one placement group that have the same owner.

    Attributes:
        name: Name of the chunk; the ranking of members is derived from it.
        searchers: Names of the searchers.
    """

    name: str
    searchers: tuple[str, ...]


def split_groups(searchers: Iterable[Searcher]) -> list[Chunk]:
    """Splits the placement groups of one zone into chunks of similar size.

    Args:
        searchers: The searchers of the zone.

    Returns:
        The chunks, the largest first.
    """
    groups = collections.defaultdict(list)
    for searcher in searchers:
        groups[searcher.group].append(searcher.name)
    total = sum(len(names) for names in groups.values())
    small = total <= SMALL_ZONE_SEARCHERS
    size = SMALL_CHUNK_SEARCHERS if small else CHUNK_SEARCHERS
    chunks = []
    for group, names in groups.items():
        names.sort()
        count = math.ceil(len(names) / size)
        for number in range(count):
            start = number * len(names) // count
            end = (number + 1) * len(names) // count
            chunk = Chunk(f"{group}\0{number}", tuple(names[start:end]))
            chunks.append(chunk)
    chunks.sort(key=lambda chunk: (-len(chunk.searchers), chunk.name))
    return chunks


@dataclasses.dataclass(frozen=True)
class Assignment:
    """The owners of a zone's searchers.

    Attributes:
        members: The live members that the assignment was computed from.
        rankings: The highest ranked members of each chunk, by chunk name.
        owners: For each searcher name, the owner and then its standbys.
    """

    members: frozenset[str] = frozenset()
    rankings: Mapping[str, list[str]] = dataclasses.field(default_factory=dict)
    owners: Mapping[str, list[str]] = dataclasses.field(default_factory=dict)


def assign_chunks(
    chunks: Iterable[Chunk],
    members: Iterable[str],
    previous: Assignment | None = None,
) -> Assignment:
    """Assigns each chunk an owner and standbys.

    Args:
        chunks: The chunks of a zone, the largest first.
        members: Names of the live members.
        previous: An earlier assignment, whose rankings are reused to save
            work. It does not change the owners.

    Returns:
        The assignment; without owners if there are no members.
    """
    chunks, members = list(chunks), sorted(members)
    if not members:
        return Assignment()
    rankings = _rank_chunks(chunks, members, previous or Assignment())
    owners = {}
    for chunk, owner in _Matching(chunks, members, rankings).run().items():
        standbys = rankings[chunk.name][:RANKS_KEPT]
        ranking = [owner, *(m for m in standbys if m != owner)]
        owners.update(dict.fromkeys(chunk.searchers, ranking))
    return Assignment(frozenset(members), rankings, owners)


def _rank_chunks(chunks, members: list[str], previous: Assignment):
    """Ranks the members for each chunk, from the previous rankings if valid.

    A chunk is ranked anew if too few members of its previous ranking are live,
    or if more members joined than a ranking has.
    """
    live = frozenset(members)
    joined = live - previous.members
    rankings = {}
    for chunk in chunks:
        kept = previous.rankings.get(chunk.name, ())[:RANKS_KEPT]
        ranking = [member for member in kept if member in live]
        if len(ranking) < RANKS_KEPT // 2 or len(joined) > RANKS_KEPT:
            ranking = _first_ranks(chunk.name, members, RANKS_KEPT)
        elif joined:
            ranking = _insert_joined(chunk.name, ranking, joined)
        rankings[chunk.name] = ranking
    return rankings


def _insert_joined(chunk: str, ranking: list[str], joined) -> list[str]:
    """Merges members that joined into a ranking.

    The result ends at the last member of the old ranking, because the order of
    the members after it is not known.
    """
    merged = rank_members(chunk, [*ranking, *joined])
    return merged[: merged.index(ranking[-1]) + 1]


def load_bound(searchers: int, hosts: int, largest: int) -> int:
    """Returns how many searchers a host may own.

    Args:
        searchers: Number of searchers of the zone.
        hosts: Number of live hosts.
        largest: Number of searchers of the largest chunk.
    """
    target_load = max(1.0, LOAD_BOUND_FACTOR * searchers / hosts)
    steps = math.ceil(math.log(target_load, BOUND_STEP) - 1e-9)
    return max(math.ceil(BOUND_STEP**steps), 2 * largest)


class _Matching:
    """One run of deferred acceptance.

    Attributes:
        rankings: The highest ranked members of each chunk. A ranking is
            extended to all members when the run needs more of them.
    """

    def __init__(self, chunks, members: list[str], rankings):
        self.rankings = rankings
        self._chunks = chunks
        self._members = members
        self._sizes = {chunk.name: len(chunk.searchers) for chunk in chunks}
        sizes = self._sizes.values()
        largest = max(sizes, default=1)
        self._bound = load_bound(sum(sizes), len(members), largest)
        self._loads = dict.fromkeys(members, 0)
        self._accepted = {member: [] for member in members}
        self._offer_counts = dict.fromkeys(rankings, 0)

    def run(self) -> dict[Chunk, str]:
        """Returns the owner of each chunk."""
        by_name = {chunk.name: chunk for chunk in self._chunks}
        waiting, unplaced = list(self._chunks), []
        while waiting:
            chunk = waiting.pop()
            member = self._next_choice(chunk)
            if member is None:
                unplaced.append(chunk)
                continue
            rejected = self._offer(chunk, member)
            waiting.extend(by_name[name] for name in rejected)
        owners = {
            by_name[name]: member
            for member, accepted in self._accepted.items()
            for _, name in accepted
        }
        for chunk in sorted(unplaced, key=lambda chunk: chunk.name):
            owner = min(self._members, key=lambda m: (self._loads[m], m))
            self._loads[owner] += len(chunk.searchers)
            owners[chunk] = owner
        return owners

    def _next_choice(self, chunk: Chunk) -> str | None:
        offers = self._offer_counts[chunk.name]
        if offers == len(self._members):
            return None
        if offers == len(self.rankings[chunk.name]):
            ranking = rank_members(chunk.name, self._members)
            self.rankings[chunk.name] = ranking
        self._offer_counts[chunk.name] = offers + 1
        return self.rankings[chunk.name][offers]

    def _offer(self, chunk: Chunk, member: str) -> list[str]:
        """Offers a chunk to a member and returns the chunks it rejects."""
        accepted, rejected = self._accepted[member], []
        weight = _weight(_hash(chunk.name), member)
        heapq.heappush(accepted, (weight, chunk.name))
        self._loads[member] += len(chunk.searchers)
        while self._loads[member] > self._bound:
            _, name = heapq.heappop(accepted)
            self._loads[member] -= self._sizes[name]
            rejected.append(name)
        return rejected


def failover_zone(zone: str, live: Mapping[str, list[str]]) -> str | None:
    """Chooses the zone whose hosts own the searchers of a zone.

    Args:
        zone: The searchers' zone.
        live: Names of the live hosts by zone.

    Returns:
        The zone itself if it has live hosts, else another zone that has, or
        None if there is none.
    """
    if live.get(zone):
        return zone
    others = [name for name, members in live.items() if members]
    return rank_members(f"failover\0{zone}", others)[0] if others else None
