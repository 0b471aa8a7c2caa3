"""Events that a node's decision code handles.

Events and `kumquatspur.core.actions` are the complete interface between the
decision code and the I/O layer.
"""

import enum
from typing import Any

from kumquatspur.core.records import (
    Configuration,
    Host,
    Query,
    ShardResult,
    record,
)
from kumquatspur.core.verdict import Outcome, Phase


@record
class QueryReceived:
    """A caller sent a query."""

    query: Query


@record
class PeerMessageReceived:
    """A message arrived from another entry host."""

    peer: str
    message: Any


@record
class PeerLost:
    """The stream to another entry host failed or could not be opened."""

    peer: str


@record
class UpstreamAnswered:
    """A searcher answered a request.

    Attributes:
        call_id: The call that it answers.
        results: One result per item, in no particular order.
        load: Number of waiting and running requests that the searcher reports.
        draining: Whether the searcher reports that it is draining.
        held: The snapshots that the searcher reports to have.
    """

    call_id: str
    results: tuple["ItemResult", ...]
    load: int
    draining: bool
    held: tuple[int, ...]


@record
class ItemResult:
    """The result of one item."""

    item_id: str
    result: ShardResult


@record
class UpstreamFailed:
    """A request to a searcher ended without an answer.

    Attributes:
        call_id: The call that failed.
        phase: The phase that the call had reached.
        outcome: What ended the call.
        retry_after_s: Delay that the searcher requested before the next
            attempt, in seconds; 0 if it requested none.
    """

    call_id: str
    phase: Phase
    outcome: Outcome
    retry_after_s: float = 0.0


@record
class ProbeAnswered:
    """A searcher answered a status probe."""

    searcher: str
    held: tuple[int, ...]
    draining: bool
    load: int


@record
class ProbeFailed:
    """A status probe failed."""

    searcher: str


@record
class ConfigurationReceived:
    """A validated configuration arrived."""

    configuration: Configuration


@record
class HostsListed:
    """The platform's host list arrived."""

    hosts: tuple[Host, ...]


class StoreStatus(enum.StrEnum):
    """Outcome of a call to the configuration store."""

    OK = "ok"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@record
class StoreCallEnded:
    """A call to the configuration store ended.

    Attributes:
        call_id: The call.
        status: The outcome. A write that ended as UNAVAILABLE may have taken
            effect.
        value: The value read; None if the key does not exist.
        version: The version that was read or written, or the current version
            after a conflict.
        lease: The lease that was obtained or renewed.
    """

    call_id: str
    status: StoreStatus
    value: str | None = None
    version: int = 0
    lease: str = ""


@record
class StopRequested:
    """The operator requested a graceful stop."""


@record
class TimerFired:
    """The time returned by `Node.next_wakeup` was reached."""


@record
class QueryHedgeDue:
    """Timer: hedge the shards of a query that are late."""

    request_id: str


@record
class QueryEarlyDue:
    """Timer: the profile's early coverage now suffices for an answer."""

    request_id: str


@record
class QueryDeadlineDue:
    """Timer: the query must be answered now."""

    request_id: str


@record
class SubQueryFlushDue:
    """Timer: send the available results of a sub-query."""

    sub_id: str


@record
class SubQueryDeadlineDue:
    """Timer: give up on the unfinished items of a sub-query."""

    sub_id: str


@record
class HeartbeatDue:
    """Timer: send heartbeats."""


@record
class ConfigurationDue:
    """Timer: request newer configuration and renew the lease of a watcher.

    Watchers are the entry hosts that watch the configuration's head key for
    their availability zone.
    """


@record
class WatchDue:
    """Timer: restart the watch on the configuration's head key."""


@record
class StateUpdateDue:
    """Timer: propagate changes in the state of hosts and searchers."""


@record
class TrustDue:
    """Timer: end the suspicion or the flap damping of a host."""


@record
class ProbeDue:
    """Timer: probe the owned searchers."""


@record
class ClaimWriteDue:
    """Timer: write the pending claims of a bucket.

    A bucket is a key of the store with the claims of a group of idempotency
    keys. Its writer is the entry host that normally writes it.
    """

    bucket: int


@record
class ClaimRerouteDue:
    """Timer: send a claim to another writer of its bucket."""

    nonce: str


@record
class ClaimSettleDue:
    """Timer: stop waiting for the result of a claim."""

    nonce: str


@record
class ClaimReleaseDue:
    """Timer: release the claim of a query that did not run."""

    digest: str
    nonce: str
