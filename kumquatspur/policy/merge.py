"""Merges the results of shards into one answer."""

import heapq
from collections.abc import Iterable

from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import (
    Answer,
    Hit,
    MissingShard,
    ShardResult,
)


def _rank_key(hit: Hit):
    return (-hit.score, hit.shard, hit.key)


def merge_hits(groups: Iterable[Iterable[Hit]], limit: int) -> tuple[Hit, ...]:
    """Merges the hits of several shards.

    Args:
        groups: The hits of each shard.
        limit: Maximum number of hits to return.

    Returns:
        The hits with the highest scores, best first. Ties are broken by shard
        and key.
    """
    hits = (hit for group in groups for hit in group)
    return tuple(heapq.nsmallest(limit, hits, key=_rank_key))


def build_answer(
    request_id: str,
    snapshot: int,
    limit: int,
    results: Iterable[ShardResult],
) -> Answer:
    """Builds the answer from the final result of each shard.

    A result from another snapshot is never merged. Its shard is reported as
    missing.

    Args:
        request_id: The query's identifier.
        snapshot: The snapshot that the query is answered from.
        limit: Maximum number of hits to return.
        results: The final result of every shard of the snapshot.

    Returns:
        The answer with its coverage.
    """
    results = sorted(results, key=lambda result: result.shard)
    covered = [
        result
        for result in results
        if result.reason is None and result.snapshot == snapshot
    ]
    covered_names = {result.shard for result in covered}
    missing = tuple(
        MissingShard(
            result.shard,
            result.reason or Reason.SNAPSHOT_ABANDONED,
            result.verdict,
        )
        for result in results
        if result.shard not in covered_names
    )
    return Answer(
        request_id=request_id,
        snapshot=snapshot,
        hits=merge_hits((result.hits for result in covered), limit),
        covered=tuple(result.shard for result in covered),
        missing=missing,
        verdict=verdicts.combine(result.verdict for result in results),
    )
