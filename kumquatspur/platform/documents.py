"""Decodes documents of operator and searchers in the metadata store."""

import hashlib
import ipaddress
import json
import re
from typing import Annotated, Literal

import pydantic

from kumquatspur.border.validation import validation_diagnostics
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

_PATH_PATTERN = re.compile(r"/[!-~]*")
_NonEmptyStr = Annotated[
    str, pydantic.StringConstraints(strict=True, min_length=1)
]
_NonNegativeInt = Annotated[int, pydantic.Field(strict=True, ge=0)]
_PositiveFloat = Annotated[float, pydantic.Field(strict=True, gt=0)]


def _parse_address(value) -> Address:
    host, _, port = str(value).rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is not an IPv4 address with a port")
    return Address(str(ipaddress.IPv4Address(host)), int(port))


def _parse_path(value) -> str:
    """Returns a path, or "" for a value that can't be sent as one.

    A service without a usable path has no health checks, which is no reason to
    reject the whole configuration.
    """
    usable = isinstance(value, str) and _PATH_PATTERN.fullmatch(value)
    return value if usable else ""


def _hyphenated(name: str) -> str:
    return name.replace("_", "-")


class _Document(pydantic.BaseModel):
    """Base of the platform's documents; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        alias_generator=_hyphenated,
        extra="ignore",
        frozen=True,
        allow_inf_nan=False,
    )


class _WeightedService(_Document):
    service: _NonEmptyStr
    weight: float = pydantic.Field(ge=0)


class _Route(_Document):
    name: _NonEmptyStr
    host: _NonEmptyStr
    prefix: Annotated[
        _NonEmptyStr, pydantic.StringConstraints(pattern="^/(.*/)?$")
    ]
    # Decides whether a request may be repeated; the HTTP method does not.
    route_type: Literal["idempotent", "non_idempotent"]
    timeout_ms: _PositiveFloat
    target_latency_ms: _PositiveFloat
    # Counts all searchers that get the request, not only retries.
    max_attempts: int = pydantic.Field(1, ge=1)
    # 0 is the highest priority.
    priority: int = 0
    service: _NonEmptyStr | None = None
    traffic_split: tuple[_WeightedService, ...] = ()
    # Each of these services holds one shard.
    fanout_services: tuple[_NonEmptyStr, ...] = ()
    result_limit: int = pydantic.Field(0, ge=0)
    min_shard_ratio: float = pydantic.Field(0.0, ge=0, le=1)
    auth_exempt: bool = False

    @pydantic.model_validator(mode="after")
    def _has_target(self):
        if not (self.service or self.traffic_split or self.fanout_services):
            raise ValueError(
                "has none of service, traffic-split and fanout-services"
            )
        return self

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


class _Service(_Document):
    name: _NonEmptyStr
    # Limit per searcher, in total over all hosts that connect to it.
    max_connections: int = pydantic.Field(ge=1)
    warmup_s: float = pydantic.Field(0.0, ge=0)
    # 0: a cold searcher's requests are not limited.
    cold_per_s: float = pydantic.Field(0.0, ge=0)
    # Answers to GET of this path state the remaining warm-up time.
    health_path: Annotated[str, pydantic.BeforeValidator(_parse_path)] = ""


class _Account(_Document):
    # Sent in a header, where control characters would end the line.
    name: Annotated[
        _NonEmptyStr,
        pydantic.StringConstraints(
            pattern=r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?$"
        ),
    ]
    api_keys: tuple[_NonEmptyStr, ...] = ()
    priority: int | None = None
    # 0: the account's requests are not limited.
    rate_per_s: float = pydantic.Field(0.0, ge=0)
    burst_size: float = pydantic.Field(0.0, ge=0)

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


class _Limits(_Document):
    header_bytes: int = pydantic.Field(gt=0)
    max_body_bytes: int = pydantic.Field(ge=0)
    header_timeout_ms: _PositiveFloat
    # Longest pause while a request's body arrives, between two requests, and
    # before the first request of a connection.
    idle_timeout_ms: _PositiveFloat


class _Config(_Document):
    config_version: _NonNegativeInt
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Account, ...] | None = None


class _Searcher(_Document):
    service: _NonEmptyStr
    address: Annotated[Address, pydantic.BeforeValidator(_parse_address)]
    zone: _NonEmptyStr
    # Version of the searcher's software, not of the operator's configuration.
    config_version: _NonEmptyStr
    slots: Annotated[int, pydantic.Field(strict=True, ge=1)]
    state: Literal["ready", "draining"]
    warmup_left_ms: Annotated[float, pydantic.Field(strict=True, ge=0)]
    sequence: _NonNegativeInt
    born: _NonNegativeInt = 0


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
    try:
        document = _Config.model_validate(json.loads(value))
    except pydantic.ValidationError as error:
        return None, validation_diagnostics(CONFIG_KEY, error)
    except (ValueError, RecursionError) as error:
        return None, [Diagnostic(CONFIG_KEY, f"is not JSON: {error}")]
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
                    service.health_path,
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
    try:
        document = _Searcher.model_validate(json.loads(value))
    except pydantic.ValidationError as error:
        return None, validation_diagnostics(key, error)
    except (ValueError, RecursionError) as error:
        return None, [Diagnostic(key, f"is not JSON: {error}")]
    return (
        SearcherEntry(
            searcher_id=key.removeprefix(SEARCHER_PREFIX),
            service=document.service,
            address=document.address,
            zone=document.zone,
            slots=document.slots,
            state=SearcherState(document.state),
            warmup_left_s=document.warmup_left_ms / 1000.0,
            started_unix_ms=document.born,
            sequence=document.sequence,
        ),
        [],
    )
