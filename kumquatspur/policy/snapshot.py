"""Chooses the snapshot that a query is answered from."""

from collections.abc import Iterable, Mapping, Set

from kumquatspur.core.records import Catalogue


def shards_at(
    catalogues: Iterable[Catalogue], snapshot: int
) -> tuple[str, ...]:
    """Returns the shards that make up a snapshot.

    Each snapshot has its own shard layout. After a repartition, coverage is
    computed for the shards of the snapshot that the query is answered from.

    Args:
        catalogues: The catalogues to search.
        snapshot: The snapshot.

    Returns:
        The names of the shards of all catalogues, in order, without
        duplicates.
    """
    shards = []
    for catalogue in catalogues:
        layout_shards = ()
        for layout in catalogue.layouts:
            if layout.first_snapshot <= snapshot:
                layout_shards = layout.shards
        shards.extend(layout_shards)
    return tuple(dict.fromkeys(shards))


def choose_snapshot(
    catalogues: Iterable[Catalogue],
    held: Mapping[str, Set[int]],
    requested_shards: Set[str] = frozenset(),
    current: int = 0,
) -> int:
    """Chooses a snapshot with the best coverage.

    If several have the best coverage, this is the current one if it is among
    them, else the newest. Requested shards that a snapshot does not have count
    as not covered.

    Args:
        catalogues: The catalogues to search.
        held: For each shard, the snapshots that its usable replicas have.
        requested_shards: The requested shards; empty for all.
        current: The snapshot to keep unless another one has better coverage.

    Returns:
        The snapshot, or 0 if no usable replica has one.
    """
    catalogues = tuple(catalogues)
    candidates = set().union(*held.values()) if held else set()
    best = (0.0, False, 0)
    for snapshot in candidates:
        shards = set(shards_at(catalogues, snapshot))
        requested = requested_shards or shards
        covered = sum(
            snapshot in held.get(shard, ()) for shard in shards & requested
        )
        if covered:
            share = covered / len(requested)
            best = max(best, (share, snapshot == current, snapshot))
    return best[2]
