"""Which entry host owns a searcher.

Rendezvous hashing (Thaler and Ravishankar, 1998): every host computes the same
ranking of hosts for a placement group, and the loss of a host moves only the
groups that it owned.
"""

import functools
from collections.abc import Iterable

import xxhash


@functools.lru_cache(maxsize=65536)
def _weight(group: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{group}\0{member}".encode())


def rank_members(group: str, members: Iterable[str]) -> list[str]:
    """Ranks members for a placement group.

    Args:
        group: The placement group.
        members: Names of the live members.

    Returns:
        The members, owner first, then the standbys.
    """
    return sorted(
        members,
        key=lambda member: (_weight(group, member), member),
        reverse=True,
    )
