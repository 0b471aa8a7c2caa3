"""Records for forwarding HTTP requests: routes, searchers and replies."""

import dataclasses
import enum

from kumquatspur.core.records import Address


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route.

    Attributes:
        service: The service's name.
        weight: Weight of the service relative to the route's other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The targets of requests with a given host and path prefix.

    A forwarded route sends each request to one service; a scattered route
    sends each request to all its shards and merges the answers.

    Attributes:
        name: The route's name.
        host: Host header, in lower case and without a port.
        prefix: Path prefix that starts and ends with a slash.
        repeatable: Whether a request may be executed more than once.
        timeout_s: Maximum time until a request is answered.
        target_latency_s: Latency objective.
        max_attempts: Maximum number of searchers that one request is sent to;
            for a scattered request, per shard.
        priority: Priority; 0 is the highest.
        targets: Weighted services among which the requests of a forwarded
            route are divided; empty for a scattered route.
        shards: Names of the services that are all asked, one per shard; empty
            for a forwarded route.
        result_limit: Maximum number of records in a scattered answer.
        min_shard_ratio: Minimum share of the shards in a scattered answer.
        needs_key: Whether requests need the key of a client account, if the
            configuration has accounts.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    result_limit: int = 0
    min_shard_ratio: float = 1.0
    needs_key: bool = True

    def services(self) -> tuple[str, ...]:
        """Returns the services that may execute requests of the route."""
        return self.shards or tuple(t.service for t in self.targets)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A group of interchangeable searchers that routes refer to.

    Not to be confused with `kumquatspur.core.records.Service`, a service that
    callers query and that consists of catalogues.

    Attributes:
        name: The service's name.
        max_connections: Maximum number of connections that each searcher of
            the service accepts, in total over all hosts that connect to it.
        warmup_s: How long a searcher of the service is cold after its start.
        cold_per_s: Requests per second that a cold searcher takes from all
            hosts together; 0 if it is not limited.
        health_path: Path of the searchers' health checks; "" if they have none.
    """

    name: str
    max_connections: int
    warmup_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account: a customer's keys and its quota.

    Attributes:
        name: The account's name.
        key_digests: SHA-256 digests of its keys.
        priority: Priority of its requests, which overrides the route's; 0 is
            the highest. None if the route's applies.
        rate_per_s: Requests per second that all hosts together accept; 0 if
            they are not limited.
        burst: Requests that may be accepted at once after a pause, beyond the
            rate.
    """

    name: str
    key_digests: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size limits and timeouts of client connections.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the body.
        header_timeout_s: Timeout for receiving the request line and headers.
        idle_timeout_s: Timeout of an idle keep-alive connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration.

    Attributes:
        version: The version, which increases with every change.
        routes: All routes.
        services: Services by name.
        limits: Limits for clients.
        accounts: Client accounts; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits
    accounts: tuple[Account, ...] | None = None


class SearcherState(enum.StrEnum):
    """State that a searcher reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class SearcherEntry:
    """A searcher, as it registered itself in the platform's metadata store.

    Attributes:
        searcher_id: Identifier of the instance.
        service: The searcher's service.
        address: The address that the searcher listens on.
        zone: The searcher's availability zone.
        slots: Number of requests that the searcher processes concurrently.
        state: Whether the searcher accepts new work.
        warmup_left_s: Remaining warm-up time, in which the searcher is slow.
        started_unix_ms: Unix time of the start in milliseconds; 0 if unknown.
        sequence: Number that grows with each entry that the searcher writes
            after one start.
    """

    searcher_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: SearcherState
    warmup_left_s: float
    started_unix_ms: int = 0
    sequence: int = 0

    def order(self) -> tuple[int, int]:
        """Returns a key that orders the entries of one searcher by age."""
        return (self.started_unix_ms, self.sequence)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a searcher reports in a response.

    Attributes:
        running: Number of requests being processed.
        waiting: Number of queued requests.
        slots: Number of requests that the searcher processes concurrently.
        work_time_ratio: Current processing time divided by the searcher's
            usual processing time, as the searcher reports it.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that was read from a client.

    Attributes:
        method: HTTP method.
        target: HTTP request target, unchanged.
        host: Host header, in lower case and without a port.
        path: Path of the target without the query.
        headers: End-to-end headers that are forwarded, as pairs of bytes.
        body: The whole body.
        request_id: Identifier of this attempt of the client; if the client
            retries, the retry has a new one.
        time_left_s: Time until the client gives up; None if not sent.
        received_at: When the request was read, in seconds of the monotonic
            clock.
        is_first: Whether it is the first request on its connection.
        lead_s: How much of the target latency passes outside of the hosts; None
            if it is not known. Set on delegated requests.
        authorization: Values of its Authorization headers.
        account: The client account whose key it has; None if its route needs
            none, or before its key is checked.
        key_digest: SHA-256 digest of its key, once the key was checked; b"" if
            it has none.
    """

    method: str
    target: str
    host: str
    path: str
    # May contain the key of an account, which must not get into logs.
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(repr=False)
    body: bytes
    request_id: str
    time_left_s: float | None
    received_at: float
    is_first: bool = False
    lead_s: float | None = None
    authorization: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    account: Account | None = None
    key_digest: bytes = dataclasses.field(default=b"", repr=False)

    def account_name(self) -> str | None:
        """Returns the name of its account; None if it has none."""
        return self.account.name if self.account else None


@dataclasses.dataclass(frozen=True, slots=True)
class HostCapacity:
    """Resources of an entry host's machine.

    Attributes:
        link_mbps: Bandwidth of the network link, in Mbit/s.
        cores: Computing power, as a number of cores of standard speed.
    """

    link_mbps: float
    cores: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClientReply:
    """An answer to a client.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, as pairs of bytes.
        body: The body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class SearcherReply:
    """A complete response of a searcher.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, as pairs of bytes.
        body: The body.
        request_id: The request identifier in the response; "" if none.
        signature: Signature that proves that a searcher made the response; ""
            if none.
        not_executed: Whether the searcher declares that it did not execute
            the request.
        has_content_encoding: Whether the body has a content encoding.
        load: The reported load; None if none was reported.
        leaving: Whether the searcher declares that it will stop.
        pause_s: Time in which the searcher wants no requests from this host;
            None if it rejected nothing or named no time.
        limit_per_s: Requests per second that the searcher takes from all hosts
            together; None if it names no limit.
        warmup_left_s: Remaining warm-up time; None if it is not stated, or not
            validly.
        invalid_warmup: The stated warm-up time if it is invalid; "" otherwise.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    signature: str
    not_executed: bool
    has_content_encoding: bool
    load: LoadReport | None
    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None
    warmup_left_s: float | None = None
    invalid_warmup: str = ""
