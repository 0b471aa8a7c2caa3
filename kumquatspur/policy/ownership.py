"""Which entry host owns a searcher.

Rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads (after
Mirrokni, Thorup and Zadimoghaddam, 2018). The searchers of a placement group
are cut into pieces; every host computes the same ranking of hosts for a piece
and gives the piece to the first host whose load stays within the bound. The
loss of a host moves the pieces that it owned and the few that a changed bound
displaces.
"""

import collections
import dataclasses
import functools
import heapq
import math
from collections.abc import Iterable, Mapping

import xxhash

from kumquatspur.core.records import Searcher

PIECE_SEARCHERS = 8
LOAD_BOUND = 1.15
RANKS_KEPT = 4
# Owners that may use a searcher at once while their views differ.
OWNERS_AT_ONCE = 2


@functools.lru_cache(maxsize=65536)
def _weight(piece: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{piece}\0{member}".encode())


def rank_members(piece: str, members: Iterable[str]) -> list[str]:
    """Ranks members for a piece or another name.

    Args:
        piece: The name.
        members: Names of the live members.

    Returns:
        The members, the first choice first.
    """
    return sorted(
        members,
        key=lambda member: (_weight(piece, member), member),
        reverse=True,
    )


@dataclasses.dataclass(frozen=True)
class Piece:
    """Searchers of one placement group that share an owner.

    Attributes:
        name: Its name, which its ranking is derived from.
        searchers: Names of the searchers.
    """

    name: str
    searchers: tuple[str, ...]


def cut_groups(searchers: Iterable[Searcher]) -> list[Piece]:
    """Cuts the placement groups of one zone into pieces of like size.

    Args:
        searchers: The searchers of the zone.

    Returns:
        The pieces, those of most searchers first.
    """
    groups = collections.defaultdict(list)
    for searcher in searchers:
        groups[searcher.group].append(searcher.name)
    pieces = []
    for group, names in groups.items():
        names.sort()
        count = math.ceil(len(names) / PIECE_SEARCHERS)
        for number in range(count):
            start = number * len(names) // count
            end = (number + 1) * len(names) // count
            piece = Piece(f"{group}\0{number}", tuple(names[start:end]))
            pieces.append(piece)
    pieces.sort(key=lambda piece: (-len(piece.searchers), piece.name))
    return pieces


def assign_pieces(
    pieces: Iterable[Piece], members: Iterable[str]
) -> dict[str, list[str]]:
    """Assigns each piece an owner and standbys.

    Args:
        pieces: The pieces of a zone, those of most searchers first.
        members: Names of the live members.

    Returns:
        By searcher name the members, owner first; empty without members.
    """
    pieces, members = list(pieces), sorted(members)
    if not members:
        return {}
    total = sum(len(piece.searchers) for piece in pieces)
    bound = math.ceil(LOAD_BOUND * total / len(members))
    loads = dict.fromkeys(members, 0)
    owners = {}
    for piece in pieces:
        ranking = _choose(piece, members, loads, bound)
        loads[ranking[0]] += len(piece.searchers)
        owners.update(dict.fromkeys(piece.searchers, ranking))
    return owners


def _choose(piece: Piece, members, loads, bound: int) -> list[str]:
    size = len(piece.searchers)
    ranking = _first_ranks(piece.name, members)
    fitting = [m for m in ranking if loads[m] + size <= bound]
    if not fitting:
        whole = rank_members(piece.name, members)
        fitting = [m for m in whole if loads[m] + size <= bound]
    if not fitting:
        fitting = [min(members, key=lambda m: (loads[m], m))]
    owner = fitting[0]
    return [owner, *(m for m in ranking if m != owner)]


def _first_ranks(piece: str, members: list[str]) -> list[str]:
    return heapq.nlargest(
        RANKS_KEPT, members, key=lambda member: (_weight(piece, member), member)
    )


def connection_share(searcher: Searcher) -> int:
    """Returns how many connections one owner may open to a searcher.

    Two hosts that both take themselves for the owner together stay within the
    connections that the searcher allows.

    Args:
        searcher: The searcher.
    """
    return max(1, searcher.connections // OWNERS_AT_ONCE)


def foster_zone(zone: str, live: Mapping[str, list[str]]) -> str | None:
    """Chooses whose hosts own the searchers of a zone.

    Args:
        zone: The searchers' zone.
        live: Names of the live hosts by zone.

    Returns:
        The zone itself if it has live hosts, else another, or None.
    """
    if live.get(zone):
        return zone
    others = [name for name, members in live.items() if members]
    return rank_members(f"foster\0{zone}", others)[0] if others else None
