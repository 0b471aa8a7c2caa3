"""Reasons for missing shards and refused requests."""

import enum


class Reason(enum.StrEnum):
    """Why a shard is missing from an answer, or a request was refused.

    Attributes:
        NO_REPLICA: No known searcher serves the shard.
        TIMED_OUT: The deadline passed.
        REFUSED: The searcher declined the work without executing it, or
            receives no new work because it drains.
        OVERLOADED: The work could not finish in time because of queued work.
        ZONE_UNREACHABLE: The searcher's availability zone is unreachable.
        SNAPSHOT_NOT_HELD: The searcher does not have the snapshot.
        SNAPSHOT_ABANDONED: The query was restarted with another snapshot.
        UPSTREAM_FAILED: The searcher failed or returned an invalid answer.
        PEER_LOST: The connection to the entry host that owns the searcher
            was lost.
        NO_SNAPSHOT: No reachable searcher has a snapshot.
        NO_CONFIGURATION: This host has no configuration yet.
        UNKNOWN_SERVICE: The service is not configured.
        UNKNOWN_SHARD: A requested shard is not part of the service.
        BAD_REQUEST: The request is malformed.
        LEAVING: This host is stopping.
        CRASHES_UPSTREAMS: The content is suspected of crashing searchers.
        CLAIM_UNSETTLED: It is unknown whether the idempotency key was claimed.
        ALREADY_CLAIMED: Another query has claimed the idempotency key.
        SEARCHERS_PAUSED: All searchers of a needed shard asked this host to
            send nothing for a while.
        SEARCHERS_LIMITED: All searchers of a needed shard name a limit, of
            which this host has used up its part.
        UNKNOWN_KEY: The route needs the key of a client account, and the
            request has none that the configuration contains.
        OVER_QUOTA: The client account has used up its quota.
        ZONE_EVACUATED: All searchers of a needed shard are in zones that the
            operator has evacuated.
    """

    NO_REPLICA = "no_replica"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    OVERLOADED = "overloaded"
    ZONE_UNREACHABLE = "zone_unreachable"
    SNAPSHOT_NOT_HELD = "snapshot_not_held"
    SNAPSHOT_ABANDONED = "snapshot_abandoned"
    UPSTREAM_FAILED = "upstream_failed"
    PEER_LOST = "peer_lost"
    NO_SNAPSHOT = "no_snapshot"
    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_SHARD = "unknown_shard"
    BAD_REQUEST = "bad_request"
    LEAVING = "leaving"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    CLAIM_UNSETTLED = "claim_unsettled"
    ALREADY_CLAIMED = "already_claimed"
    SEARCHERS_PAUSED = "searchers_paused"
    SEARCHERS_LIMITED = "searchers_limited"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    ZONE_EVACUATED = "zone_evacuated"
