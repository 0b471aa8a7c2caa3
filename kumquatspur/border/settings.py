"""Settings of one daemon, from a JSON file."""

import pydantic

from kumquatspur.border.validation import read_json_file
from kumquatspur.core.records import Address, Diagnostic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Endpoint(_Model):
    """An IP address and a TCP port.

    Attributes:
        host: IP address.
        port: TCP port.
    """

    host: str = "127.0.0.1"
    port: int = pydantic.Field(ge=1, le=65535)

    def address(self) -> Address:
        """Returns the endpoint as a core record."""
        return Address(self.host, self.port)


class Timing(_Model):
    """Intervals and timeouts; the suffix of each name is its unit.

    Attributes:
        heartbeat_s: Interval between heartbeats.
        suspect_s: Time without messages after which a host is suspected.
        probe_s: Interval between status probes of a searcher.
        connect_s: Timeout for opening a connection.
        drain_s: How long a stopping daemon still accepts requests.
        host_list_s: Interval between reads of the platform's host list.
        max_deadline_ms: Longest deadline that a caller may set.
    """

    heartbeat_s: float = pydantic.Field(0.5, gt=0)
    suspect_s: float = pydantic.Field(2.0, gt=0)
    probe_s: float = pydantic.Field(0.5, gt=0)
    connect_s: float = pydantic.Field(0.1, gt=0)
    drain_s: float = pydantic.Field(1.0, ge=0)
    host_list_s: float = pydantic.Field(2.0, gt=0)
    max_deadline_ms: int = pydantic.Field(10_000, gt=0)


class Settings(_Model):
    """Settings of one daemon.

    Attributes:
        name: Unique name of the daemon.
        zone: The daemon's availability zone.
        caller: Endpoint that callers connect to.
        peer: Endpoint that other entry hosts connect to.
        admin: Endpoint that operators connect to.
        store: Endpoint of the platform's configuration store.
        host_list: Endpoint of the platform's host list.
        seeds: Peer endpoints of some entry hosts, used if the host list is
            not available at start.
        prefix: Key prefix of this system in the store.
        peer_key: Shared key of the entry hosts.
        admin_key: Key of the administration API.
        peer_routes: Endpoints of individual peers, by name, that replace the
            addresses that those peers report.
        design: "owner", or the name of a baseline design for benchmarks.
        max_body_bytes: Maximum size of a caller's request body.
        timing: Intervals and timeouts.
    """

    name: str = pydantic.Field(min_length=1, max_length=80)
    zone: str = pydantic.Field(min_length=1, max_length=80)
    caller: Endpoint
    peer: Endpoint
    admin: Endpoint
    store: Endpoint
    host_list: Endpoint
    seeds: tuple[Endpoint, ...] = ()
    prefix: str = "kumquatspur"
    peer_key: str = pydantic.Field(min_length=8)
    admin_key: str = pydantic.Field(min_length=8)
    peer_routes: dict[str, Endpoint] = {}
    design: str = pydantic.Field(
        "owner", pattern="^(owner|direct|two_choices)$"
    )
    max_body_bytes: int = pydantic.Field(65536, gt=0)
    timing: Timing = Timing()


def read_settings(path: str) -> tuple[Settings | None, list[Diagnostic]]:
    """Reads and checks a settings file.

    Args:
        path: Path of a JSON file.

    Returns:
        The settings, or None, and the errors found.
    """
    return read_json_file(path, Settings)
