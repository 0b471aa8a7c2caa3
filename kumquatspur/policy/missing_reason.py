"""Why a shard is missing from an answer."""

from collections.abc import Iterable

from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult

# Where the replicas of a shard differ, the first of these causes is reported;
# a zone is to blame only if that holds for every replica.
_CAUSES = (
    Reason.SNAPSHOT_NOT_HELD,
    Reason.REFUSED,
    Reason.UPSTREAM_FAILED,
    Reason.NO_REPLICA,
    Reason.ZONE_UNREACHABLE,
)


def reason_without_replica(causes: Iterable[Reason]) -> Reason:
    """Returns why no replica of a shard could be asked.

    Args:
        causes: Why each of its replicas could not; empty if it has none.

    Returns:
        The reason to report.
    """
    return min(causes, key=_CAUSES.index, default=Reason.NO_REPLICA)


def reason_of_attempts(results: Iterable[ShardResult]) -> Reason:
    """Returns why no attempt for a shard succeeded.

    Args:
        results: The results of its attempts, oldest first; at least one.

    Returns:
        The reason of the latest attempt with the joined verdict, so that
        verdict and reason belong together.
    """
    results = tuple(results)
    verdict = verdicts.combine(result.verdict for result in results)
    reasons = [r.reason for r in results if r.verdict is verdict]
    return reasons[-1]
