"""Decodes documents of operator and searchers in the metadata store."""

import hashlib
import ipaddress
import re
from typing import Annotated, Any, Literal

import msgspec

from kumquatspur.border.structs import decode_json
from kumquatspur.core.records import Address, Diagnostic
from kumquatspur.core.routing import (
    Account,
    ClientLimits,
    Route,
    RoutingConfig,
    SearcherEntry,
    SearcherState,
    ServiceSpec,
    WeightedService,
)

CONFIG_KEY = "op/config"
SEARCHER_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"

# Entries of searchers have some hundred bytes. Any writer may store as much as
# the store allows, and each host keeps all entries.
MAX_ENTRY_BYTES = 16 * 1024
_TOO_LONG = b"too long: "

# Greater numbers are no statements of a searcher, and would do harm later: in
# messages between hosts, in sums, or in the order of entries.
MAX_SLOTS = 100_000
MAX_WARMUP_MS = 3_600_000
MAX_SEQUENCE = 2**53
# The year 2100.
MAX_BORN_MS = 4_102_444_800_000
MAX_PORT = 65535
# From here on, and up to there, IPv4 addresses are those of machines.
_FIRST_MACHINE = int(ipaddress.IPv4Address("1.0.0.0"))
_FIRST_MULTICAST = int(ipaddress.IPv4Address("224.0.0.0"))

# Identifiers stand in headers of requests.
_SEARCHER_ID_PATTERN = re.compile(r"[!-~]{1,200}")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_PATH_PATTERN = re.compile(r"/[!-~]*")
_NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_AtLeastOne = Annotated[float, msgspec.Meta(ge=1)]
_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


def _make_whole(document: msgspec.Struct, *fields: str) -> None:
    """Converts fields to int: the configuration may state 2 as 2.0.

    Raises:
        ValueError: A field is not a whole number.
    """
    for field in fields:
        value = getattr(document, field)
        if value is None:
            continue
        if value != int(value):
            raise ValueError(f"{field}: {value} is not a whole number")
        msgspec.structs.force_setattr(document, field, int(value))


def _parse_address(value: str) -> Address:
    """Returns an address that a searcher can listen on.

    Raises:
        ValueError: It is none.
    """
    host, _, port = value.rpartition(":")
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(
            f"{value[:40]!r} has no port from 1 to {MAX_PORT} at its end"
        )
    address = ipaddress.IPv4Address(host)
    if not _FIRST_MACHINE <= int(address) < _FIRST_MULTICAST:
        raise ValueError(f"{host} is not the address of a machine")
    return Address(str(address), int(port))


def _parse_path(value) -> str:
    """Returns a path, or "" for a value that can't be sent as one.

    A service without a usable path has no health checks, which is no reason to
    reject the whole configuration.
    """
    usable = isinstance(value, str) and _PATH_PATTERN.fullmatch(value)
    return value if usable else ""


def _hyphenated(name: str) -> str:
    return name.replace("_", "-")


class _Document(msgspec.Struct, frozen=True, rename=_hyphenated):
    """Base of the platform's documents; unknown fields are ignored."""


class _WeightedService(_Document, kw_only=True):
    service: _NonEmptyStr
    weight: _NonNegativeFloat


class _Route(_Document, kw_only=True):
    name: _NonEmptyStr
    host: _NonEmptyStr
    prefix: Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z")]
    # Decides whether a request may be repeated; the HTTP method does not.
    route_type: Literal["idempotent", "non_idempotent"]
    timeout_ms: _PositiveFloat
    target_latency_ms: _PositiveFloat
    # Counts all searchers that get the request, not only retries.
    max_attempts: _AtLeastOne = 1
    # 0 is the highest priority.
    priority: float = 0
    service: _NonEmptyStr | None = None
    traffic_split: tuple[_WeightedService, ...] = ()
    # Each of these services holds one shard.
    fanout_services: tuple[_NonEmptyStr, ...] = ()
    result_limit: _NonNegativeFloat = 0
    min_shard_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    auth_exempt: bool = False

    def __post_init__(self):
        _make_whole(self, "max_attempts", "priority", "result_limit")
        if not (self.service or self.traffic_split or self.fanout_services):
            raise ValueError(
                "has none of service, traffic-split and fanout-services"
            )

    def to_route(self) -> Route:
        targets = tuple(
            WeightedService(item.service, item.weight)
            for item in self.traffic_split
        )
        if self.service:
            targets = (WeightedService(self.service, 1.0),)
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            repeatable=self.route_type == "idempotent",
            timeout_s=self.timeout_ms / 1000.0,
            target_latency_s=self.target_latency_ms / 1000.0,
            max_attempts=self.max_attempts,
            priority=self.priority,
            targets=() if self.fanout_services else targets,
            shards=self.fanout_services,
            result_limit=self.result_limit,
            min_shard_ratio=self.min_shard_ratio,
            needs_key=not self.auth_exempt,
        )


class _Service(_Document, kw_only=True):
    name: _NonEmptyStr
    # Limit per searcher, in total over all hosts that connect to it.
    max_connections: _AtLeastOne
    warmup_s: _NonNegativeFloat = 0.0
    # 0: a cold searcher's requests are not limited.
    cold_per_s: _NonNegativeFloat = 0.0
    # Answers to GET of this path state the remaining warm-up time.
    health_path: Any = ""

    def __post_init__(self):
        _make_whole(self, "max_connections")


class _Account(_Document, kw_only=True):
    # Sent in a header, where control characters would end the line.
    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z"
        ),
    ]
    api_keys: tuple[_NonEmptyStr, ...] = ()
    priority: float | None = None
    # 0: the account's requests are not limited.
    rate_per_s: _NonNegativeFloat = 0.0
    burst_size: _NonNegativeFloat = 0.0

    def __post_init__(self):
        _make_whole(self, "priority")

    def to_account(self) -> Account:
        return Account(
            name=self.name,
            key_digests=tuple(
                hashlib.sha256(key.encode()).digest() for key in self.api_keys
            ),
            priority=self.priority,
            rate_per_s=self.rate_per_s,
            burst=self.burst_size,
        )


class _Limits(_Document, kw_only=True):
    header_bytes: _AtLeastOne
    max_body_bytes: _NonNegativeFloat
    header_timeout_ms: _PositiveFloat
    # Longest pause while a request's body arrives, between two requests, and
    # before the first request of a connection.
    idle_timeout_ms: _PositiveFloat

    def __post_init__(self):
        _make_whole(self, "header_bytes", "max_body_bytes")


class _Config(_Document, kw_only=True):
    config_version: _NonNegativeInt
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Account, ...] | None = None


class _Searcher(_Document, kw_only=True):
    service: _NonEmptyStr
    address: str
    zone: _NonEmptyStr
    # Version of the searcher's software, not of the operator's configuration.
    config_version: _NonEmptyStr
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_WARMUP_MS)]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


def without_excess(key: str, value: bytes) -> bytes:
    """Returns a value, or a note in its place if it is too long for its key."""
    if key == CONFIG_KEY or len(value) <= MAX_ENTRY_BYTES:
        return value
    return _TOO_LONG + b"%d bytes, limit %d" % (len(value), MAX_ENTRY_BYTES)


def evacuated_zone(key: str) -> str:
    """Returns the zone that a key evacuates; "" if it evacuates none."""
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)


def decode_config(
    value: bytes,
) -> tuple[RoutingConfig | None, list[Diagnostic]]:
    """Decodes and validates the operator's configuration.

    Args:
        value: The stored bytes.

    Returns:
        The configuration, or None, and the errors found.
    """
    document, errors = decode_json(CONFIG_KEY, value, _Config)
    if document is None:
        return None, errors
    accounts = document.tenants
    if accounts is not None:
        accounts = tuple(account.to_account() for account in accounts)
    limits = ClientLimits()
    if document.limits:
        limits = ClientLimits(
            header_bytes=document.limits.header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_timeout_s=document.limits.header_timeout_ms / 1000.0,
            idle_timeout_s=document.limits.idle_timeout_ms / 1000.0,
        )
    return (
        RoutingConfig(
            version=document.config_version,
            routes=tuple(route.to_route() for route in document.routes),
            services={
                service.name: ServiceSpec(
                    service.name,
                    service.max_connections,
                    service.warmup_s,
                    service.cold_per_s,
                    _parse_path(service.health_path),
                )
                for service in document.services
            },
            limits=limits,
            accounts=accounts,
        ),
        [],
    )


def decode_searcher(
    key: str, value: bytes
) -> tuple[SearcherEntry | None, list[Diagnostic]]:
    """Decodes and validates the entry of a searcher.

    Args:
        key: The entry's key in the store.
        value: The stored bytes.

    Returns:
        The entry, or None, and the errors found.
    """
    searcher_id = key.removeprefix(SEARCHER_PREFIX)
    if not _SEARCHER_ID_PATTERN.fullmatch(searcher_id):
        return None, [Diagnostic(repr(key), "is not the key of a searcher")]
    if value.startswith(_TOO_LONG):
        return None, [Diagnostic(key, value.decode())]
    document, errors = decode_json(key, value, _Searcher)
    if document is None:
        return None, errors
    try:
        address = _parse_address(document.address)
    except ValueError as error:
        return None, [Diagnostic(f"{key}: address", str(error))]
    return (
        SearcherEntry(
            searcher_id=searcher_id,
            service=document.service,
            address=address,
            zone=document.zone,
            slots=document.slots,
            state=SearcherState(document.state),
            warmup_left_s=document.warmup_left_ms / 1000.0,
            started_unix_ms=document.born,
            sequence=document.sequence,
        ),
        [],
    )
