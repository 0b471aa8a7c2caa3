"""Which snapshot a query is answered from."""

from collections.abc import Iterable, Mapping, Set

from kumquatspur.core.records import Catalogue


def shards_at(
    catalogues: Iterable[Catalogue], snapshot: int
) -> tuple[str, ...]:
    """Returns the shards that make up a snapshot.

    The shard map belongs to the snapshot: after a repartition, coverage is
    counted against the shards of the snapshot answered from.

    Args:
        catalogues: The catalogues searched.
        snapshot: The snapshot.

    Returns:
        The names of all shards of all catalogues, in order.
    """
    shards = []
    for catalogue in catalogues:
        current = ()
        for layout in catalogue.layouts:
            if layout.first_snapshot <= snapshot:
                current = layout.shards
        shards.extend(current)
    return tuple(shards)


def choose_snapshot(
    catalogues: Iterable[Catalogue],
    held: Mapping[str, Set[int]],
    excluded: Set[int] = frozenset(),
    wanted: Set[str] = frozenset(),
) -> int:
    """Chooses the newest of the snapshots with the best coverage.

    Args:
        catalogues: The catalogues searched.
        held: The snapshots that usable replicas hold, by shard.
        excluded: Snapshots that must not be chosen.
        wanted: The shards wanted; empty for all.

    Returns:
        The snapshot, or 0 if no usable replica holds any.
    """
    catalogues = tuple(catalogues)
    candidates = set().union(*held.values()) if held else set()
    best = (0.0, 0)
    for snapshot in candidates - excluded:
        shards = shards_at(catalogues, snapshot)
        if wanted:
            shards = tuple(shard for shard in shards if shard in wanted)
        if not shards:
            continue
        holding = sum(snapshot in held.get(shard, ()) for shard in shards)
        best = max(best, (holding / len(shards), snapshot))
    return best[1]
