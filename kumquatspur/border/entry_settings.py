"""Settings of an entry host on the platform, from a JSON file."""

import pathlib
from typing import Annotated

import msgspec

from kumquatspur.border.structs import decode_json
from kumquatspur.core.records import Address, Diagnostic
from kumquatspur.core.routing import HostCapacity

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
_Factor = Annotated[float, msgspec.Meta(ge=1)]
_NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
# Written as HOST:PORT, and parsed when the settings are read.
HostPort = Address | str


class _Settings(msgspec.Struct, frozen=True):
    """Base of the settings; unknown fields are ignored."""


def _parse_address(field: str, value: HostPort) -> Address:
    if isinstance(value, Address):
        return value
    host, _, port = value.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{field}: {value!r} is not HOST:PORT")
    return Address(host, int(port))


class Bounds(_Settings, kw_only=True):
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

    drain_ms: _Positive
    grace_s: _Positive
    config_apply_ms: _Positive
    retry_budget_ratio: _NonNegative
    retry_budget_window_s: _Positive
    retry_budget_slack: _NonNegative
    evacuation_ms: _Positive = 5000.0
    warmup_overrun: _Factor = 1.0
    warmup_slack: _NonNegative = 0.0
    quota_window_s: _Positive = 5.0
    quota_overrun: _NonNegative = 0.0
    quota_slack: _NonNegative = 0.0


class Machine(_Settings, kw_only=True):
    """Resources of the machine.

    Attributes:
        cpu_share: Share of a core that the process may use.
        cores: Speed of the machine's cores, as a factor of the speed of a
            standard core.
        memory_mb: Memory limit of a process.
        max_fds: Maximum number of file descriptors of a process.
        link_mbps: Bandwidth of the network link, in Mbit/s.
    """

    cpu_share: _Positive
    cores: _Positive
    memory_mb: _Positive
    max_fds: _PositiveInt
    link_mbps: _Positive

    def capacity(self) -> HostCapacity:
        """Returns the capacity record that load decisions use."""
        return HostCapacity(self.link_mbps, self.cpu_share * self.cores)


class EntrySettings(_Settings, kw_only=True):
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

    name: _NonEmptyStr
    zone: _NonEmptyStr
    region: str = ""
    zones: dict[str, str] = {}
    front: HostPort
    ready: HostPort
    peer: HostPort | None = None
    relay: HostPort | None = None
    seeds: tuple[HostPort, ...] | None = ()
    metrics_port: _Port
    store: HostPort
    heartbeat_ms: _Positive
    first_start: bool = False
    machine: Machine
    bounds: Bounds

    def __post_init__(self):
        for field in ("front", "ready", "peer", "relay", "store"):
            value = getattr(self, field)
            if value is not None:
                address = _parse_address(field, value)
                msgspec.structs.force_setattr(self, field, address)
        seeds = tuple(_parse_address("seeds", s) for s in self.seeds or ())
        msgspec.structs.force_setattr(self, "seeds", seeds)

    def waits_for_peers(self) -> bool:
        """Returns whether to wait for other hosts before reading the store."""
        # On the first start, the seeds read the store and the other hosts get
        # the state from the seeds.
        asks_seeds = bool(self.seeds) and self.peer not in self.seeds
        return self.first_start and asks_seeds


def read_settings_text(path: str) -> tuple[str | None, list[Diagnostic]]:
    """Reads a settings file without checking it.

    Args:
        path: Path of the file.

    Returns:
        Its content, or None, and the errors found.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8"), []
    except (OSError, UnicodeDecodeError) as error:
        return None, [Diagnostic(path, f"cannot be read: {error}")]


def decode_entry_settings(
    path: str, text: str
) -> tuple[EntrySettings | None, list[Diagnostic]]:
    """Checks the content of a settings file.

    Args:
        path: Path of the file, for errors.
        text: Its content.

    Returns:
        The settings, or None, and the errors found.
    """
    return decode_json(path, text.encode(), EntrySettings, strict=False)


def read_entry_settings(
    path: str,
) -> tuple[EntrySettings | None, list[Diagnostic]]:
    """Reads and checks a settings file.

    Args:
        path: Path of a JSON file.

    Returns:
        The settings, or None, and the errors found.
    """
    text, errors = read_settings_text(path)
    return (None, errors) if text is None else decode_entry_settings(path, text)
