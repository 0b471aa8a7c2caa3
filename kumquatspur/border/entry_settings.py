"""Settings of an entry host on the platform, read from a JSON file."""

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


Endpoint = Annotated[Address, pydantic.BeforeValidator(_parse_address)]


def _none_is_empty(value):
    return () if value is None else value


Seeds = Annotated[
    tuple[Endpoint, ...], pydantic.BeforeValidator(_none_is_empty)
]


class Bounds(_Model):
    """What the operator promises and demands, in the unit of each name.

    Attributes:
        drain_ms: How long a leaving searcher still serves.
        grace_s: Time between a stop signal and the end by force.
        config_apply_ms: Time in which a configuration must be in force.
        retry_budget_ratio: Extra attempts allowed a request.
        retry_budget_window_s: Window over which extra attempts are counted.
        retry_budget_slack: Extra attempts allowed to all hosts besides.
    """

    drain_ms: float = pydantic.Field(gt=0)
    grace_s: float = pydantic.Field(gt=0)
    config_apply_ms: float = pydantic.Field(gt=0)
    retry_budget_ratio: float = pydantic.Field(ge=0)
    retry_budget_window_s: float = pydantic.Field(gt=0)
    retry_budget_slack: float = pydantic.Field(ge=0)


class Machine(_Model):
    """What the machine has.

    Attributes:
        cpu_share: Share of a core.
        cores: Speed of that share, relative to a core of the usual speed.
        memory_mb: Memory of a process.
        max_fds: Descriptors of a process.
        link_mbps: Bandwidth of the link.
    """

    cpu_share: float = pydantic.Field(gt=0)
    cores: float = pydantic.Field(gt=0)
    memory_mb: float = pydantic.Field(gt=0)
    max_fds: int = pydantic.Field(gt=0)
    link_mbps: float = pydantic.Field(gt=0)

    def capacity(self) -> HostCapacity:
        """Returns what decisions on load need of it."""
        return HostCapacity(self.link_mbps, self.cpu_share * self.cores)


class EntrySettings(_Model):
    """Settings of one entry host.

    Attributes:
        name: Unique name of the host.
        zone: Its availability zone.
        region: Its region.
        zones: Regions by availability zone.
        front: Where clients connect.
        ready: Where the platform asks whether this host takes clients.
        peer: Where other entry hosts connect.
        relay: Where other entry hosts hand over requests to be scattered; None
            to take none.
        seeds: Peer addresses of some entry hosts.
        metrics_port: Port of the metrics page.
        store: The platform's metadata store.
        heartbeat_ms: Interval at which searchers renew their entries.
        first_start: Whether the whole system starts for the first time.
        machine: What the machine has.
        bounds: What the operator promises and demands.
    """

    name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    region: str = ""
    zones: dict[str, str] = {}
    front: Endpoint
    ready: Endpoint
    peer: Endpoint | None = None
    relay: Endpoint | None = None
    seeds: Seeds = ()
    metrics_port: int = pydantic.Field(ge=1, le=65535)
    store: Endpoint
    heartbeat_ms: float = pydantic.Field(gt=0)
    first_start: bool = False
    machine: Machine
    bounds: Bounds

    def waits_for_peers(self) -> bool:
        """Returns whether to wait for other hosts before asking the store."""
        # The seeds ask the store, and the others ask the seeds.
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
