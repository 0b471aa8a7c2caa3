"""Settings of an entry host on the platform, from a JSON file."""

from typing import Annotated

import pydantic

from kumquatspur.border.validation import read_json_file
from kumquatspur.core.records import Address, Diagnostic
from kumquatspur.core.routing import HostCapacity


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


def _parse_address(value) -> Address:
    if isinstance(value, Address):
        return value
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("is not HOST:PORT")
    return Address(host, int(port))


HostPort = Annotated[Address, pydantic.BeforeValidator(_parse_address)]


def _none_to_empty(value):
    return () if value is None else value


Seeds = Annotated[
    tuple[HostPort, ...], pydantic.BeforeValidator(_none_to_empty)
]


class Bounds(_Model):
    """Limits set by the operator; the suffix of a name is its unit.

    Attributes:
        drain_ms: How long a draining searcher still serves requests.
        grace_s: Time between the stop signal and the forced termination of
            this process.
        config_apply_ms: Time within which this host must put a new
            configuration in force.
        retry_budget_ratio: Extra attempts allowed per request.
        retry_budget_window_s: Window over which extra attempts are counted.
        retry_budget_slack: Extra attempts per window that all hosts together
            may make in addition.
        evacuation_ms: Time within which nothing may be sent any more to a zone
            that is evacuated.
        warmup_overrun: Factor on the rate of a cold searcher in a second.
        warmup_slack: Requests a second beyond that, per cold searcher.
        quota_window_s: Window over which the requests of an account are
            counted.
        quota_overrun: Share by which an account's quota may be exceeded.
        quota_slack: Requests per window beyond that, per account.
    """

    drain_ms: float = pydantic.Field(gt=0)
    grace_s: float = pydantic.Field(gt=0)
    config_apply_ms: float = pydantic.Field(gt=0)
    retry_budget_ratio: float = pydantic.Field(ge=0)
    retry_budget_window_s: float = pydantic.Field(gt=0)
    retry_budget_slack: float = pydantic.Field(ge=0)
    evacuation_ms: float = pydantic.Field(5000.0, gt=0)
    warmup_overrun: float = pydantic.Field(1.0, ge=1)
    warmup_slack: float = pydantic.Field(0.0, ge=0)
    quota_window_s: float = pydantic.Field(5.0, gt=0)
    quota_overrun: float = pydantic.Field(0.0, ge=0)
    quota_slack: float = pydantic.Field(0.0, ge=0)


class Machine(_Model):
    """Resources of the machine.

    Attributes:
        cpu_share: Share of a core that the process may use.
        cores: Speed of the machine's cores, as a factor of the speed of a
            standard core.
        memory_mb: Memory limit of a process.
        max_fds: Maximum number of file descriptors of a process.
        link_mbps: Bandwidth of the network link, in Mbit/s.
    """

    cpu_share: float = pydantic.Field(gt=0)
    cores: float = pydantic.Field(gt=0)
    memory_mb: float = pydantic.Field(gt=0)
    max_fds: int = pydantic.Field(gt=0)
    link_mbps: float = pydantic.Field(gt=0)

    def capacity(self) -> HostCapacity:
        """Returns the capacity record that load decisions use."""
        return HostCapacity(self.link_mbps, self.cpu_share * self.cores)


class EntrySettings(_Model):
    """Settings of one entry host.

    Attributes:
        name: Unique name of the host.
        zone: The host's availability zone.
        region: The host's region.
        zones: Regions by availability zone.
        front: Address that clients connect to.
        ready: Address of the readiness endpoint, which the platform polls.
        peer: Address that other entry hosts connect to; None if they do not.
        relay: Address to which other entry hosts delegate scattered requests;
            None to accept none.
        seeds: Peer addresses of some entry hosts, for discovery.
        metrics_port: Port of the metrics page.
        store: Address of the platform's metadata store.
        heartbeat_ms: Interval at which searchers renew their store entries.
        first_start: Whether the whole system starts for the first time.
        machine: Resources of the machine.
        bounds: Limits set by the operator.
    """

    name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    region: str = ""
    zones: dict[str, str] = {}
    front: HostPort
    ready: HostPort
    peer: HostPort | None = None
    relay: HostPort | None = None
    seeds: Seeds = ()
    metrics_port: int = pydantic.Field(ge=1, le=65535)
    store: HostPort
    heartbeat_ms: float = pydantic.Field(gt=0)
    first_start: bool = False
    machine: Machine
    bounds: Bounds

    def waits_for_peers(self) -> bool:
        """Returns whether to wait for other hosts before reading the store."""
        # On the first start, the seeds read the store and the other hosts get
        # the state from the seeds.
        asks_seeds = bool(self.seeds) and self.peer not in self.seeds
        return self.first_start and asks_seeds


def read_entry_settings(
    path: str,
) -> tuple[EntrySettings | None, list[Diagnostic]]:
    """Reads and checks a settings file.

    Args:
        path: Path of a JSON file.

    Returns:
        The settings, or None, and the errors found.
    """
    return read_json_file(path, EntrySettings)
