"""Reasons for missing shards and refused requests."""

import enum


class Reason(enum.StrEnum):
    """Why a shard is missing from an answer, or a request was refused."""

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
