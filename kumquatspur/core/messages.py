"""Messages between entry hosts.

All messages are sent over msgpack streams. Times are sent as durations
relative to the time of sending, in milliseconds, because monotonic clocks
cannot be compared between hosts.
"""

import enum
from collections.abc import Mapping

from kumquatspur.core.records import Address, ShardResult, record


@record
class Hello:
    """First message on a stream, from the side that opened it.

    Attributes:
        name: The sender's name.
        zone: The sender's availability zone.
        incarnation: Number that increases with every start of the sender.
        key: The shared peer key.
        address: Where the sender accepts streams.
    """

    name: str
    zone: str
    incarnation: int
    key: str
    address: Address


@record
class SearcherReport:
    """The state of a searcher as its owner sees it.

    Attributes:
        searcher: The searcher's name.
        held: The snapshots that the searcher has.
        draining: Whether the searcher is draining.
        reachable: Whether the last request or probe succeeded.
        backlog: Number of items, each the search of one shard, that wait in
            the owner's queue for the searcher or run at the searcher.
        latency_ms: Smoothed latency of one request.
    """

    searcher: str
    held: tuple[int, ...]
    draining: bool
    reachable: bool
    backlog: int
    latency_ms: float


class Status(enum.IntEnum):
    """Status of an entry host.

    Of two entries with the same incarnation and sequence, the one with the
    greater status takes precedence.
    """

    UNKNOWN = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


@record
class MemberEntry:
    """The state of one entry host, as propagated between hosts.

    Attributes:
        name: The host's name.
        zone: The host's availability zone.
        address: Where the host accepts streams.
        incarnation: Number that increases with every start of the host.
        sequence: Number that increases with every change that the host makes
            to its own entry.
        status: A `Status`.
        watching: Whether the host watches the configuration in the store.
    """

    name: str
    zone: str
    address: Address
    incarnation: int
    sequence: int
    status: int
    watching: bool


@record
class ReportEntry:
    """The rarely changing part of a `SearcherReport`, as propagated.

    Attributes:
        searcher: The searcher's name.
        version: Number that increases with each change, also when the
            searcher gets another owner.
        held: The snapshots that the searcher has.
        draining: Whether the searcher is draining.
        reachable: Whether the last request or probe succeeded.
    """

    searcher: str
    version: int
    held: tuple[int, ...]
    draining: bool
    reachable: bool


@record
class Heartbeat:
    """A probe of another entry host, or the answer to one.

    Attributes:
        name: The sender's name.
        zone: The sender's availability zone.
        incarnation: Number that increases with every start of the sender.
        sequence: Number that increases with every change of the sender's own
            entry.
        address: Where the sender accepts streams.
        revision: The configuration revision in force at the sender.
        leaving: Whether the sender is stopping.
        watching: Whether the sender watches the configuration in the store.
        wants_answer: Whether this is a probe.
        digest_topic: What `digest` covers: a zone, or a group of searchers.
        digest: Digest of all entries of the topic.
        entries: Recent changes of entry hosts.
        reports: Recent changes of searchers.
    """

    name: str
    zone: str
    incarnation: int
    sequence: int
    address: Address
    revision: int
    leaving: bool
    watching: bool
    wants_answer: bool
    digest_topic: str = ""
    digest: int = 0
    entries: tuple[MemberEntry, ...] = ()
    reports: tuple[ReportEntry, ...] = ()


@record
class StateUpdate:
    """Changes of entry hosts and searchers, sent down a broadcast tree.

    Attributes:
        origin: The root of the tree; "" if the receiver must not forward the
            message.
        entries: Changed entry hosts.
        reports: Changed searchers.
    """

    origin: str
    entries: tuple[MemberEntry, ...]
    reports: tuple[ReportEntry, ...]


@record
class StateRequest:
    """Requests all entries of some topics.

    Attributes:
        topics: The topics; empty for all.
    """

    topics: tuple[str, ...]


@record
class ConfigurationUpdate:
    """A revision as a difference to an earlier one, with file contents.

    Attributes:
        origin: The root of the broadcast tree; "" if the receiver must not
            forward the message.
        base: The revision that the difference applies to; 0 for an empty
            configuration.
        revision: The new revision.
        changed: Content hash by file name; "" for a removed file.
        contents: Packed file contents by content hash.
    """

    origin: str
    base: int
    revision: int
    changed: Mapping[str, str]
    contents: Mapping[str, str]


@record
class ConfigurationRequest:
    """Requests the changes after a revision.

    Attributes:
        revision: The revision in force at the sender.
        digests: Hashes of the contents requested; empty for all that changed.
    """

    revision: int
    digests: tuple[str, ...]


@record
class Target:
    """A shard to search and the searcher chosen for it."""

    shard: str
    searcher: str


@record
class SubQuery:
    """The part of a query that is sent to one owner.

    Attributes:
        sub_id: Identifier, unique across all entry hosts.
        request_id: The query that the sub-query belongs to.
        service: The service queried.
        content: The query, opaque JSON text.
        limit: The maximum number of hits.
        snapshot: The snapshot to search.
        remaining_ms: Time until the results are due.
        flush_after_ms: Time after which the results available so far are
            sent.
        repeatable: Whether the work may be executed more than once.
        hedge: Whether this is a hedge.
        may_wait: Whether items may wait for a slot; otherwise, items without
            a free slot are declined.
        targets: The shards to search.
        suspect_of: Searcher that may have crashed on this content; "" if none.
            If set, each item is executed while nothing else is in flight at
            the searcher.
    """

    sub_id: str
    request_id: str
    service: str
    content: str
    limit: int
    snapshot: int
    remaining_ms: float
    flush_after_ms: float
    repeatable: bool
    hedge: bool
    may_wait: bool
    targets: tuple[Target, ...]
    suspect_of: str = ""


@record
class SubAnswer:
    """Results of a `SubQuery`; each shard's result is sent once.

    Attributes:
        sub_id: The sub-query answered.
        request_id: The query that the sub-query belongs to.
        results: One result per shard.
        reports: State of the searchers involved.
    """

    sub_id: str
    request_id: str
    results: tuple[ShardResult, ...]
    reports: tuple[SearcherReport, ...]


@record
class CancelSubQuery:
    """The sender no longer needs the results of some shards."""

    sub_id: str
    shards: tuple[str, ...]


class ClaimStatus(enum.StrEnum):
    """Outcome of the claim of an idempotency key."""

    WON = "won"
    TAKEN = "taken"
    UNSETTLED = "unsettled"


@record
class ClaimKey:
    """Requests that the writer of a claim bucket claims an idempotency key.

    Attributes:
        digest: Digest of service and key.
        nonce: Identifier of the query that claims the key.
        remaining_ms: Time after which the answer is no longer needed.
        release: Whether to release the claim because nothing was executed.
    """

    digest: str
    nonce: str
    remaining_ms: float
    release: bool


@record
class ClaimReply:
    """Reports the outcome of a claim."""

    nonce: str
    status: ClaimStatus


@record
class CrashReport:
    """Crash of an upstream while a query was in flight there.

    Attributes:
        incident_id: Identifier, unique across all entry hosts.
        fingerprint: Hash of the query's content.
        searcher: The upstream that crashed.
        shard: The shard that the upstream was to search.
        alone: Whether no query with other content was in flight there.
        age_ms: Time since the crash was recorded.
        remaining_ms: Time until the report expires.
    """

    incident_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    age_ms: float
    remaining_ms: float


@record
class CrashReports:
    """Crashes of upstreams, for the other entry hosts."""

    reports: tuple[CrashReport, ...]


@record
class StreamAck:
    """Acknowledges frames to the sender of a stream.

    Attributes:
        received: Number of frames received on this stream, without the
            `Hello`.
    """

    received: int


MESSAGE_TYPES = (
    Hello,
    Heartbeat,
    StateUpdate,
    StateRequest,
    ConfigurationUpdate,
    ConfigurationRequest,
    SubQuery,
    SubAnswer,
    CancelSubQuery,
    ClaimKey,
    ClaimReply,
    CrashReports,
    StreamAck,
)
