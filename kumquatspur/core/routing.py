"""Records of the forwarding path: configuration, searchers and calls."""

import dataclasses
import enum

from kumquatspur.core.records import Address


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One target of a route.

    Attributes:
        service: The service's name.
        weight: Its share of the route's requests, relative to the others.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: The route's name.
        host: Host header, in lower case and without a port.
        prefix: Start of the path, from slash to slash.
        repeatable: Whether a request may run more than once.
        timeout_s: Longest time that a request is kept waiting.
        target_latency_s: Time within which an answer is wanted.
        max_attempts: Most searchers to which one request is sent; for a
            scattered request, for each shard.
        priority: Rank; 0 is the highest.
        targets: Services among which requests are divided; empty for a
            scattered route.
        shards: Services that are all asked; empty for a forwarded route.
        result_limit: Records wanted of a scattered request.
        min_shard_ratio: Least share of the shards in a scattered answer.
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

    def services(self) -> tuple[str, ...]:
        """Returns the services that may run requests of the route."""
        return self.shards or tuple(t.service for t in self.targets)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service of searchers.

    Attributes:
        name: The service's name.
        max_connections: Connections that each searcher accepts from all
            callers together.
    """

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    Attributes:
        header_bytes: Longest request line and headers.
        body_bytes: Longest body.
        header_timeout_s: Time for the request line and headers.
        idle_timeout_s: Time that a kept connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration.

    Attributes:
        version: The version; a later one is greater.
        routes: All routes.
        services: Services by name.
        limits: Limits for clients.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits


class SearcherState(enum.StrEnum):
    """What a searcher says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class SearcherEntry:
    """A searcher as it registered itself.

    Attributes:
        searcher_id: Identifier of the instance.
        service: Its service.
        address: Where it listens.
        zone: Its availability zone.
        slots: Requests that it processes concurrently.
        state: Whether it takes new work.
        warmup_left_s: How much longer it is slow after its start.
        started_unix_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    searcher_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: SearcherState
    warmup_left_s: float
    started_unix_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a searcher states in a response.

    Attributes:
        running: Requests being processed.
        waiting: Requests in its queue.
        slots: Requests that it can process concurrently.
        work_time_ratio: Current duration of work relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    work_time_ratio: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as it was read from a client.

    Attributes:
        method: HTTP method.
        target: Request target, unchanged.
        host: Host header, in lower case and without a port.
        path: Path of the target without the query.
        headers: End-to-end headers that are forwarded, as pairs of bytes.
        body: The whole body.
        request_id: Identifier of this client attempt.
        time_left_s: How long the client waits; None if it did not say.
        received_at: When it was read, in seconds of the steady clock.
    """

    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    time_left_s: float | None
    received_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostCapacity:
    """What the machine of an entry host has.

    Attributes:
        link_mbps: Bandwidth of its link, in Mbit/s.
        cores: Its processor, in cores of the usual speed.
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
        request_id: The request identifier that it repeats; "" if none.
        signature: Proof that a searcher made the response; "" if none.
        not_executed: Whether it states that the request did not run.
        has_content_encoding: Whether the body has a content encoding.
        load: The load that it states; None if it states none.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    request_id: str
    signature: str
    not_executed: bool
    has_content_encoding: bool
    load: LoadReport | None
