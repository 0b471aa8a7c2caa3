"""Scenarios: the load over time and the faults injected during it."""

import dataclasses

SERVICES = {"oslo": "shop-counter", "salish": "rota-board"}
WARMUP_S = 0.6


@dataclasses.dataclass(frozen=True)
class Phase:
    """An interval of constant load.

    Attributes:
        share: Arrival rate as a share of the searchers' capacity.
        seconds: Its length, in seconds.
    """

    share: float
    seconds: float


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of faults during the run.

    Attributes:
        at_s: Seconds after the start of the load; negative for before it.
        select: Name of a selection of searchers in `SELECTIONS`, or
            `KILL_ENTRY_HOST` or `RESTART_ENTRY_HOSTS`.
        faults: Fault switches to set on the selected searchers.
    """

    at_s: float
    select: str
    faults: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The load and the faults of a run.

    Attributes:
        name: Its name.
        phases: The load.
        changes: The faults.
        short: Whether it also runs without `--full`.
    """

    name: str
    phases: tuple[Phase, ...]
    changes: tuple[Change, ...] = ()
    short: bool = False


def one_in_ten(searchers: dict) -> list[str]:
    """Selects every tenth searcher."""
    return sorted(searchers)[4::10]


def first_searcher(searchers: dict) -> list[str]:
    """Selects one searcher."""
    return sorted(searchers)[:1]


def first_zone(searchers: dict) -> list[str]:
    """Selects all searchers of one availability zone."""
    zone = min(searcher["zone"] for searcher in searchers.values())
    return [name for name, s in searchers.items() if s["zone"] == zone]


def all_searchers(searchers: dict) -> list[str]:
    """Selects all searchers."""
    return sorted(searchers)


SELECTIONS = {
    "one_in_ten": one_in_ten,
    "first": first_searcher,
    "first_zone": first_zone,
    "everything": all_searchers,
}
KILL_ENTRY_HOST = "kill_entry_host"
RESTART_ENTRY_HOSTS = "restart_entry_hosts"

_BEFORE_START_S = -0.1
_FAULT_AT_S = 1.2


def _constant_load(share: float, seconds: float = 3.0) -> tuple[Phase, ...]:
    return (Phase(share, seconds),)


_STRAGGLER = Change(_BEFORE_START_S, "one_in_ten", {"slow_factor": 10.0})

SCENARIOS = (
    Scenario("calm_30", _constant_load(0.3)),
    Scenario("calm_60", _constant_load(0.6), short=True),
    Scenario("calm_85", _constant_load(0.85)),
    Scenario("straggler", _constant_load(0.5), (_STRAGGLER,), short=True),
    Scenario(
        "frozen",
        _constant_load(0.5),
        (Change(_FAULT_AT_S, "first", {"frozen": True}),),
    ),
    Scenario(
        "replica_lost",
        _constant_load(0.5),
        (Change(_FAULT_AT_S, "first", {"down": True}),),
    ),
    Scenario(
        "zone_lost",
        _constant_load(0.5),
        (Change(_FAULT_AT_S, "first_zone", {"down": True}),),
    ),
    Scenario(
        "cold_start",
        _constant_load(0.5),
        (
            Change(_FAULT_AT_S, "one_in_ten", {"down": True}),
            Change(_FAULT_AT_S + 0.3, "one_in_ten", {"restart_cold_ms": 1000}),
        ),
    ),
    Scenario(
        "lying_load",
        _constant_load(0.5),
        (
            Change(
                _BEFORE_START_S,
                "one_in_ten",
                {"slow_factor": 5.0, "reported_load": 0},
            ),
        ),
    ),
    Scenario(
        "shedding",
        _constant_load(0.5),
        (Change(_BEFORE_START_S, "one_in_ten", {"shed": 0.5}),),
    ),
    Scenario(
        "overload",
        (Phase(1.5, 2.0), Phase(0.5, 2.0)),
        short=True,
    ),
    Scenario(
        # All searchers load snapshot 2, then drop snapshot 1.
        "index_rolling",
        _constant_load(0.5),
        (
            Change(_BEFORE_START_S, "everything", {"held": [1, 2]}),
            Change(_FAULT_AT_S, "everything", {"held": [2]}),
        ),
    ),
    Scenario(
        "entry_host_lost",
        _constant_load(0.5),
        (Change(_FAULT_AT_S, KILL_ENTRY_HOST),),
        short=True,
    ),
)
