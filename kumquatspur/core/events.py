"""Events that a node's decision code reacts to.

Together with `kumquatspur.core.actions` they are the whole interface between
decisions and I/O.
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
    """The stream to another entry host broke or could not be opened."""

    peer: str


@record
class UpstreamAnswered:
    """A searcher answered a request.

    Attributes:
        call_id: The call that it answers.
        results: One result an item, in no particular order, by item id.
        load: Requests that the searcher says are waiting or running.
        draining: Whether it says that it is leaving.
        held: The snapshots it says it holds.
    """

    call_id: str
    results: tuple["ItemResult", ...]
    load: int
    draining: bool
    held: tuple[int, ...]


@record
class ItemResult:
    """An item's identifier and its result."""

    item_id: str
    result: ShardResult


@record
class UpstreamFailed:
    """A request to a searcher ended without an answer.

    Attributes:
        call_id: The call that failed.
        phase: How far it had come.
        outcome: What ended it.
        retry_after_s: When the searcher asked to be tried again; 0 if unsaid.
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
    """How a call to the platform's store ended."""

    OK = "ok"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"


@record
class StoreCallEnded:
    """A call to the platform's store ended.

    Attributes:
        call_id: The call.
        status: How it ended. A write that ended UNAVAILABLE may have taken
            effect.
        value: The value read; None if the key does not exist.
        version: The version read, written or conflicting.
        lease: The lease obtained or renewed.
    """

    call_id: str
    status: StoreStatus
    value: str | None = None
    version: int = 0
    lease: str = ""


@record
class StopRequested:
    """The operator asked for a graceful stop."""


@record
class TimerFired:
    """The time that `Node.next_wakeup` named has come."""


@record
class QueryHedgeDue:
    """Timer: look for shards of a query that are late."""

    request_id: str


@record
class QueryEarlyDue:
    """Timer: from now on the profile's coverage suffices for an answer."""

    request_id: str


@record
class QueryDeadlineDue:
    """Timer: the query must be answered now."""

    request_id: str


@record
class SubQueryFlushDue:
    """Timer: send the results of a sub-query that are there."""

    sub_id: str


@record
class SubQueryDeadlineDue:
    """Timer: give up on what is left of a sub-query."""

    sub_id: str


@record
class HeartbeatDue:
    """Timer: send heartbeats."""


@record
class ConfigurationDue:
    """Timer: look for newer configuration, keep the watcher's role."""


@record
class WatchDue:
    """Timer: watch the head key of the configuration again."""


@record
class StateUpdateDue:
    """Timer: send on what changed in the state of hosts and searchers."""


@record
class TrustDue:
    """Timer: a host that came and went may be counted on again."""


@record
class ProbeDue:
    """Timer: probe the owned searchers."""


@record
class ClaimWriteDue:
    """Timer: write the claims that wait for a bucket."""

    bucket: int


@record
class ClaimRerouteDue:
    """Timer: ask another writer for a claim."""

    nonce: str


@record
class ClaimSettleDue:
    """Timer: give up on a claim."""

    nonce: str


@record
class ClaimReleaseDue:
    """Timer: give back the claim of a query that was not run."""

    digest: str
    nonce: str
