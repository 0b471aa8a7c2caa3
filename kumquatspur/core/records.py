"""Immutable records shared by all layers.

Times are seconds of the process's monotonic clock unless a name ends in
another unit.
"""

import dataclasses
from collections.abc import Mapping

from kumquatspur.core.reason import Reason
from kumquatspur.core.verdict import Verdict

record = dataclasses.dataclass(frozen=True, slots=True)


@record
class Address:
    """An IP address and a TCP port.

    Attributes:
        host: The IP address.
        port: The TCP port.
    """

    host: str
    port: int


@record
class Layout:
    """The shards of a catalogue as of a given snapshot.

    Attributes:
        first_snapshot: The first snapshot with this partitioning.
        shards: The names of all shards.
    """

    first_snapshot: int
    shards: tuple[str, ...]


@record
class Catalogue:
    """A searchable collection.

    Attributes:
        name: The unique name.
        layouts: The catalogue's layouts, by ascending first snapshot.
    """

    name: str
    layouts: tuple[Layout, ...]


@record
class Profile:
    """How a service trades coverage against latency.

    Attributes:
        deadline_ms: Deadline of a query that does not set one.
        hedge_share: Extra attempts allowed, as a share of first attempts.
        hedge_quantile: Latency quantile after which a hedge is sent.
        early_coverage: Coverage that suffices once `early_share` of the
            deadline has passed.
        early_share: Share of the deadline during which only full coverage
            ends the query.
    """

    deadline_ms: int = 140
    hedge_share: float = 0.05
    hedge_quantile: float = 0.95
    early_coverage: float = 1.0
    early_share: float = 1.0


@record
class Objectives:
    """Service-level objectives.

    Attributes:
        latency_ms: Longest latency of a good answer.
        latency_target: Share of answers that must be within `latency_ms`.
        coverage_target: Share of answers that must have full coverage.
        availability_target: Share of requests that must be answered.
    """

    latency_ms: int = 140
    latency_target: float = 0.99
    coverage_target: float = 0.999
    availability_target: float = 0.999


@record
class Service:
    """A caller-facing service and the catalogues that it may query."""

    name: str
    catalogues: tuple[str, ...]
    profile: Profile
    objectives: Objectives


@record
class Searcher:
    """An upstream: one server process that answers for some shards.

    Attributes:
        name: The unique name.
        address: The address that the searcher listens on.
        zone: The searcher's availability zone.
        slots: Number of requests that the searcher executes concurrently.
        connections: Number of connections that the searcher accepts.
        shards: The shards that the searcher serves.
        group: Placement group; searchers of one group share an owner.
    """

    name: str
    address: Address
    zone: str
    slots: int
    connections: int
    shards: tuple[str, ...]
    group: str


@record
class Team:
    """A group of operators that may change the files of one prefix.

    Attributes:
        name: The unique name.
        prefix: Required prefix of the names of the team's files and of all
            names that they define.
        key_sha256: Hexadecimal SHA-256 of the team's key for the
            administration API.
        max_files: Maximum number of files.
        max_bytes: Maximum total size of the files.
    """

    name: str
    prefix: str
    key_sha256: str
    max_files: int
    max_bytes: int


@record
class Configuration:
    """The operators' configuration at one revision.

    Attributes:
        revision: The revision; 0 before the first was received.
        services: Services by name.
        catalogues: Catalogues by name.
        searchers: Searchers by name.
        drained: Names of searchers that must receive no new work.
        teams: Teams by name.
        files: The content hash of each file, by file name.
        replicas: The searchers that serve each shard, by shard.
    """

    revision: int = 0
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    catalogues: Mapping[str, Catalogue] = dataclasses.field(
        default_factory=dict
    )
    searchers: Mapping[str, Searcher] = dataclasses.field(default_factory=dict)
    drained: frozenset[str] = frozenset()
    teams: Mapping[str, Team] = dataclasses.field(default_factory=dict)
    files: Mapping[str, str] = dataclasses.field(default_factory=dict)
    replicas: Mapping[str, tuple[Searcher, ...]] = dataclasses.field(
        default_factory=dict
    )


@record
class Host:
    """One row of the platform's host list: an entry host or an upstream.

    Attributes:
        name: The host's name.
        zone: The host's availability zone.
        address: Address of the peer port of an entry host, or of the upstream.
        leaving: Whether the platform reports that the host is leaving.
        role: "entry" or "upstream".
    """

    name: str
    zone: str
    address: Address
    leaving: bool
    role: str


@record
class Query:
    """A caller's request.

    Attributes:
        request_id: Identifier, unique across all entry hosts.
        service: The service queried.
        content: The query itself, opaque JSON text.
        limit: The maximum number of hits.
        deadline: When the answer is due.
        repeatable: Whether the query may be executed more than once.
        idempotency_key: Key for which at most one query is executed; "" for
            none.
        shards: The shards to search; empty for all of the service.
    """

    request_id: str
    service: str
    content: str
    limit: int
    deadline: float
    repeatable: bool = True
    idempotency_key: str = ""
    shards: tuple[str, ...] = ()


@record
class Hit:
    """One match.

    Attributes:
        score: The score; higher is better.
        shard: The shard that contains the match.
        key: Identifier of the match in the shard.
        fields: Stored fields, as JSON text.
    """

    score: float
    shard: str
    key: str
    fields: str


@record
class ShardResult:
    """The result of one shard of a query.

    Attributes:
        shard: The shard.
        searcher: The searcher that was sent the work; "" if none.
        verdict: Whether the searcher executed the work.
        reason: Why the shard is not covered; None if it is covered.
        snapshot: The snapshot that the hits come from; 0 if not covered.
        hits: The shard's best matches, best first.
        held: The snapshots that the searcher reported to have; empty if it
            reported none.
    """

    shard: str
    searcher: str
    verdict: Verdict
    reason: Reason | None
    snapshot: int = 0
    hits: tuple[Hit, ...] = ()
    held: tuple[int, ...] = ()


@record
class MissingShard:
    """A shard that an answer does not cover, with the reason."""

    shard: str
    reason: Reason
    verdict: Verdict


@record
class Answer:
    """The answer to a query.

    Attributes:
        request_id: The query's identifier.
        snapshot: The snapshot that all hits come from; 0 if none.
        hits: The best matches of all covered shards, best first.
        covered: The shards that were searched.
        missing: All other shards of the snapshot.
        verdict: Whether any part of the query was executed.
    """

    request_id: str
    snapshot: int
    hits: tuple[Hit, ...]
    covered: tuple[str, ...]
    missing: tuple[MissingShard, ...]
    verdict: Verdict


@record
class Refusal:
    """A final negative answer.

    Attributes:
        request_id: The query's identifier.
        reason: Why the query was refused.
        verdict: Whether the query may have been executed.
        retry_after_s: Delay before the caller may retry, in seconds.
        message: Explanation for a human reader.
    """

    request_id: str
    reason: Reason
    verdict: Verdict
    retry_after_s: float
    message: str


@record
class Diagnostic:
    """An error found in input.

    Attributes:
        source: Name of the input and, if known, line or path in it.
        message: Description of the error.
    """

    source: str
    message: str
