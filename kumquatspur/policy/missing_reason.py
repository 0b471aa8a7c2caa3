"""Chooses the reason that is reported for a shard missing from an answer."""

from collections.abc import Iterable

from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult

# By descending priority. If the replicas of a shard have different causes, the
# first one in this list is reported. An unreachable zone is therefore reported
# only if it is the cause for every replica.
_CAUSES = (
    Reason.SNAPSHOT_NOT_HELD,
    Reason.REFUSED,
    Reason.UPSTREAM_FAILED,
    Reason.NO_REPLICA,
    Reason.ZONE_UNREACHABLE,
)


def reason_without_replica(causes: Iterable[Reason]) -> Reason:
    """Returns the reason for a shard of which no replica could be asked.

    Args:
        causes: For each replica, why it could not be asked; empty if the shard
            has no replica.

    Returns:
        The reason to report.
    """
    return min(causes, key=_CAUSES.index, default=Reason.NO_REPLICA)


def reason_of_attempts(results: Iterable[ShardResult]) -> Reason:
    """Returns the reason for a shard of which every attempt failed.

    Args:
        results: The results of its attempts, oldest first; at least one.

    Returns:
        The reason of the latest attempt whose verdict equals the combined
        verdict, so that the reported verdict and reason agree.
    """
    results = tuple(results)
    verdict = verdicts.combine(result.verdict for result in results)
    reasons = [r.reason for r in results if r.verdict is verdict]
    return reasons[-1]
