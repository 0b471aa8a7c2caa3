"""Messages between entry hosts.

All of them travel over msgpack streams. Durations are milliseconds, relative
to the moment of sending, because monotonic clocks differ between hosts.
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
        incarnation: Grows with every start of the sender.
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
    """What an owner knows of one of its searchers.

    Attributes:
        searcher: The searcher's name.
        held: The snapshots it holds.
        draining: Whether it is leaving.
        reachable: Whether its last request or probe succeeded.
        backlog: Items waiting or running there.
        latency_ms: Smoothed latency of one request.
    """

    searcher: str
    held: tuple[int, ...]
    draining: bool
    reachable: bool
    backlog: int
    latency_ms: float


class Status(enum.IntEnum):
    """What is known of an entry host; at equal age the greater one holds."""

    UNKNOWN = 0
    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


@record
class MemberEntry:
    """The state of one entry host, as passed on by others.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: Where it accepts streams.
        incarnation: Grows with every start of it.
        sequence: Grows with every change that it makes to its own entry.
        status: A `Status`.
        watching: Whether it watches the configuration in the store.
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
    """The lasting part of a `SearcherReport`, as passed on by others.

    Attributes:
        searcher: The searcher's name.
        version: Grows with each change, whichever host owns the searcher.
        held: The snapshots it holds.
        draining: Whether it is leaving.
        reachable: Whether its last request or probe succeeded.
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
        zone: Its availability zone.
        incarnation: Grows with every start of the sender.
        sequence: Grows with every change of the sender's own entry.
        address: Where it accepts streams.
        revision: The configuration revision in force there.
        leaving: Whether it is stopping.
        watching: Whether it watches the configuration in the store.
        wants_answer: Whether it is a probe.
        digest_topic: What `digest` covers: a zone, or some of the searchers.
        digest: Digest of all its entries.
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
    """Changes of entry hosts and searchers, sent at once along a tree.

    Attributes:
        origin: The root of the tree; "" if the receiver must not pass it on.
        entries: Entry hosts.
        reports: Searchers.
    """

    origin: str
    entries: tuple[MemberEntry, ...]
    reports: tuple[ReportEntry, ...]


@record
class StateRequest:
    """Asks for all that is known of some topics.

    Attributes:
        topics: The topics; empty for all.
    """

    topics: tuple[str, ...]


@record
class ConfigurationUpdate:
    """A revision as a difference, with some of its contents.

    Attributes:
        origin: The root of the tree along which it is sent on, or "".
        base: The revision that it differs from; 0 for no files.
        revision: The revision.
        changed: Content hash by file name; "" where it was removed.
        contents: Packed file contents by content hash.
    """

    origin: str
    base: int
    revision: int
    changed: Mapping[str, str]
    contents: Mapping[str, str]


@record
class ConfigurationRequest:
    """Asks for what follows a revision.

    Attributes:
        revision: The revision in force at the sender.
        digests: The contents wanted; empty for those that changed.
    """

    revision: int
    digests: tuple[str, ...]


@record
class Target:
    """A shard and the searcher chosen for it."""

    shard: str
    searcher: str


@record
class SubQuery:
    """The part of a query that goes to one owner.

    Attributes:
        sub_id: Unique over all entry hosts.
        request_id: The query it belongs to.
        service: The service queried.
        content: The query, opaque JSON text.
        limit: The number of hits wanted.
        snapshot: The snapshot to answer from.
        remaining_ms: Time left until the results are due.
        flush_after_ms: When to send the results that are there by then.
        repeatable: Whether the work may be executed more than once.
        hedge: Whether this is a hedge.
        may_wait: Whether items may wait for a slot; declined otherwise.
        targets: The shards wanted.
        suspect_of: Searcher that was lost under this content; "" if none. The
            items then travel alone.
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
        request_id: The query it belongs to.
        results: One result a shard.
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
    """How the claim of an idempotency key ended."""

    WON = "won"
    TAKEN = "taken"
    UNSETTLED = "unsettled"


@record
class ClaimKey:
    """Asks the writer of a bucket to claim an idempotency key.

    Attributes:
        digest: Digest of service and key.
        nonce: Identifies the query that claims it.
        remaining_ms: Time after which no answer is needed.
        release: Whether the claim is given back, because nothing was run.
    """

    digest: str
    nonce: str
    remaining_ms: float
    release: bool


@record
class ClaimReply:
    """Tells how a claim ended."""

    nonce: str
    status: ClaimStatus


@record
class CrashReport:
    """Loss of an upstream while a query content was in flight there.

    Attributes:
        incident_id: Unique over all entry hosts.
        fingerprint: The content.
        searcher: The upstream lost.
        shard: The shard that the content was to search there.
        alone: Whether no other content was in flight there.
        age_ms: Time since it was noted.
        remaining_ms: Time until it is forgotten.
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
    """Losses of upstreams that other entry hosts should know of."""

    reports: tuple[CrashReport, ...]


@record
class StreamAck:
    """Acknowledges the frames received on a stream, to its sender.

    Attributes:
        received: All frames received on this stream, without the `Hello`.
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
