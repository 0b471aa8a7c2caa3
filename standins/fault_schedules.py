"""Seeded random schedules of faults.

A schedule starts six entry hosts and twelve searchers in three availability
zones, injects two faults at random times while queries arrive, ends the faults
and queries every host again. `standins.schedule_checks` compares every answer
with the items that the fake searchers executed.
"""

import dataclasses
import functools
import json
import random

from kumquatspur.border.config_files import load_configuration
from kumquatspur.border.settings import Settings
from kumquatspur.core import events
from kumquatspur.core.records import Configuration, Host, Query
from standins.node_driver import FakeSearcher, NodeDriver
from standins.shapes import ServiceShape, Shape, daemon_settings

ZONES = ("z1", "z2", "z3")
SERVICE = "desk"
OLD_SHARDS = ("a/0", "a/1", "b/0", "b/1")
NEW_SHARDS = ("a/0", "a/2", "a/3", "b/0", "b/1")
FIRST_NEW_SNAPSHOT = 3
FAULT_PHASE_S = 2.5
RECOVERY_S = 6.0
QUERY_INTERVAL_S = 0.04
DEADLINES_S = (0.06, 0.14, 0.3)
BURST_S = 0.5
BURST_SERVICE_S = 0.03
KEYED_QUERIES = 8
RESEND_INTERVAL_S = 0.35
CRASHING_CONTENT = '"crash"'
SHAPE = Shape(
    "random",
    ZONES,
    (ServiceShape(SERVICE, 4, 3, 2, 25, ("a", "b")),),
    {},
    20000,
)


@dataclasses.dataclass
class SentQuery:
    """A query of a schedule.

    Attributes:
        query: The query.
        host: The entry host that received it.
        uninterrupted: Whether the host was neither killed nor frozen before
            the deadline.
    """

    query: Query
    host: str
    uninterrupted: bool = True


@dataclasses.dataclass
class Schedule:
    """One run of a schedule.

    Attributes:
        driver: The nodes, fake searchers and fake store.
        rng: The schedule's source of randomness.
        faults: The names of the faults.
        burst: Whether all queries arrive within `BURST_S`, at slow searchers.
        revision: The latest configuration revision.
        repartitioned: Whether the configuration has the new layout.
        sent: The queries sent in the fault phase.
        final: The queries sent after all faults have ended.
        pending: Functions to call, with time and sequence number.
    """

    driver: NodeDriver
    rng: random.Random
    faults: tuple[str, ...]
    burst: bool = False
    revision: int = 0
    repartitioned: bool = False
    sent: list[SentQuery] = dataclasses.field(default_factory=list)
    final: list[SentQuery] = dataclasses.field(default_factory=list)
    pending: list = dataclasses.field(default_factory=list)

    def at(self, time: float, step) -> None:
        """Schedules a function call for a time of the driver's clock."""
        self.pending.append((time, len(self.pending), step))

    def run(self, seconds: float) -> None:
        """Advances the driver's clock and calls the functions that are due."""
        end = self.driver.now + seconds
        while due := [entry for entry in self.pending if entry[0] <= end]:
            entry = min(due)
            self.pending.remove(entry)
            self.driver.run(max(0.0, entry[0] - self.driver.now))
            entry[2]()
        self.driver.run(end - self.driver.now)

    def configure(self, services=(SERVICE,), removed=(), drained=()) -> None:
        """Sends a new configuration revision to all hosts."""
        self.revision += 1
        configuration = build_configuration(
            self.revision, self.repartitioned, services, removed, drained
        )
        self.driver.configure(configuration)
        self.configuration = configuration

    def send_configuration(self, name: str) -> None:
        """Sends the current configuration to a host."""
        event = events.ConfigurationReceived(self.configuration)
        self.driver.inject(name, event)


def build_configuration(
    revision: int, repartitioned: bool, services, removed, drained
) -> Configuration:
    """Builds the configuration of a schedule.

    Args:
        revision: The revision.
        repartitioned: Whether catalogue a has its second layout.
        services: The services to define.
        removed: Searchers to leave out.
        drained: Searchers to drain.

    Returns:
        The configuration.

    Raises:
        ValueError: The configuration is invalid.
    """
    layouts = [{"first_snapshot": 1, "shards": ["a/0", "a/1"]}]
    if repartitioned:
        shards = ["a/0", "a/2", "a/3"]
        layouts.append({"first_snapshot": FIRST_NEW_SNAPSHOT, "shards": shards})
    shards = sorted(set(OLD_SHARDS + (NEW_SHARDS if repartitioned else ())))
    searchers = {
        f"{shard.replace('/', '-')}-{zone}": {
            "host": "127.0.0.1",
            "port": 20100 + 10 * index + number,
            "zone": zone,
            "slots": 2,
            "connections": 25,
            "shards": [shard],
            "group": shard[0],
        }
        for index, shard in enumerate(shards)
        for number, zone in enumerate(ZONES)
    }
    file = {
        "services": {name: {"catalogues": ["a", "b"]} for name in services},
        "catalogues": {
            "a": {"layouts": layouts},
            "b": {"layouts": [{"shards": ["b/0", "b/1"]}]},
        },
        "searchers": {n: v for n, v in searchers.items() if n not in removed},
        "drain": list(drained),
    }
    text = json.dumps(file)
    configuration, errors = load_configuration({"all.json": text}, revision)
    if configuration is None:
        raise ValueError(errors)
    return configuration


def shards_in_snapshot(snapshot: int) -> tuple[str, ...]:
    """Returns the shards of a snapshot: the layout changes at one snapshot."""
    return OLD_SHARDS if snapshot < FIRST_NEW_SNAPSHOT else NEW_SHARDS


def _searcher_fault(**faulty):
    """Returns a fault that sets fields of a random searcher until it ends."""

    def begin(schedule: Schedule, until: float) -> None:
        victim = schedule.rng.choice(sorted(schedule.driver.searchers))
        fake = schedule.driver.searchers[victim]
        healthy = FakeSearcher()
        for field, value in faulty.items():
            setattr(fake, field, value)

        def end_fault():
            for field in faulty:
                setattr(fake, field, getattr(healthy, field))

        schedule.at(until, end_fault)

    return begin


def _roll_snapshots(schedule: Schedule, until: float, snapshots=(2,)) -> None:
    """Makes every searcher load snapshots and later drop the older ones."""
    now = schedule.driver.now
    for name, fake in sorted(schedule.driver.searchers.items()):
        if not set(shards_in_snapshot(snapshots[-1])) & {
            name[:3].replace("-", "/")
        }:
            continue
        load = schedule.rng.uniform(now, until)
        drop = schedule.rng.uniform(load, until)
        schedule.at(load, lambda f=fake: _set_held(f, (*f.held, *snapshots)))
        schedule.at(
            drop, lambda f=fake: _drop_snapshots_before(f, snapshots[-1])
        )


def _set_held(fake: FakeSearcher, snapshots) -> None:
    fake.held = tuple(sorted(set(snapshots)))


def _drop_snapshots_before(fake: FakeSearcher, snapshot: int) -> None:
    _set_held(fake, [held for held in fake.held if held >= snapshot])


def _repartition(schedule: Schedule, until: float) -> None:
    if schedule.repartitioned:
        return
    schedule.repartitioned = True
    schedule.configure()
    for name, fake in schedule.driver.searchers.items():
        if name.startswith(("a-2", "a-3")):
            fake.held = ()

    def load():
        _roll_snapshots(schedule, max(until, schedule.driver.now), (3,))

    schedule.at(min(until, schedule.driver.now + 0.5), load)


def _kill_host(schedule: Schedule, until: float) -> None:
    name = schedule.rng.choice(sorted(schedule.driver.nodes))
    _mark_interrupted(schedule, name)
    schedule.driver.kill(name)
    schedule.at(until, lambda: _restart_host(schedule, name))


def _restart_host(schedule: Schedule, name: str) -> None:
    schedule.driver.start(name)
    schedule.send_configuration(name)


def _kill_and_restart_host(schedule: Schedule, until: float) -> None:
    name = schedule.rng.choice(sorted(schedule.driver.nodes))
    _mark_interrupted(schedule, name)
    schedule.driver.kill(name)
    _restart_host(schedule, name)


def _freeze_host(schedule: Schedule, until: float) -> None:
    name = schedule.rng.choice(sorted(schedule.driver.nodes))
    _mark_interrupted(schedule, name)
    schedule.driver.frozen_nodes.add(name)
    schedule.at(until, lambda: schedule.driver.frozen_nodes.discard(name))


def _mark_interrupted(schedule: Schedule, name: str) -> None:
    now = schedule.driver.now
    for sent in schedule.sent:
        if sent.host == name and sent.query.deadline >= now:
            sent.uninterrupted = False


def _cut_zone(schedule: Schedule, until: float) -> None:
    zone = schedule.rng.choice(ZONES)
    settings = schedule.driver.settings
    links = {
        (one, other)
        for one in settings
        for other in settings
        if (settings[one].zone == zone) != (settings[other].zone == zone)
    }
    _cut_links(schedule, until, links)


def _cut_one_way(schedule: Schedule, until: float) -> None:
    link = tuple(schedule.rng.sample(sorted(schedule.driver.settings), 2))
    _cut_links(schedule, until, {link})


def _cut_links(schedule: Schedule, until: float, links) -> None:
    links = links - schedule.driver.cut_links
    schedule.driver.cut_links |= links
    schedule.at(
        until, lambda: schedule.driver.cut_links.difference_update(links)
    )


def _store_down(schedule: Schedule, until: float) -> None:
    store = schedule.driver.store
    store.down = True
    schedule.at(until, lambda: setattr(store, "down", False))


def _store_loses_replies(schedule: Schedule, until: float) -> None:
    schedule.driver.store.lose_writes += 3


def _configuration_fault(field: str):
    """Returns a fault that changes the configuration until it ends."""

    def begin(schedule: Schedule, until: float) -> None:
        names = sorted(schedule.configuration.searchers)
        change = {
            "services": {"services": ("other",)},
            "removed": {"removed": (schedule.rng.choice(names),)},
            "drained": {"drained": (schedule.rng.choice(names),)},
        }[field]
        schedule.configure(**change)
        schedule.at(until, schedule.configure)

    return begin


def _host_list_reports_leaving(schedule: Schedule, until: float) -> None:
    victim = schedule.rng.choice(sorted(schedule.configuration.searchers))
    inject_host_list_entry(schedule, victim, True)
    schedule.at(until, lambda: inject_host_list_entry(schedule, victim, False))


def _crash_on_content(schedule: Schedule, until: float) -> None:
    """Makes a content crash the searchers of a shard, and sends it 8 times."""
    shard = schedule.rng.choice(OLD_SHARDS).replace("/", "-")
    for name, fake in schedule.driver.searchers.items():
        if name.startswith(shard):
            fake.crash_on = frozenset({CRASHING_CONTENT})
    for number in range(8):
        at = schedule.driver.now + number * RESEND_INTERVAL_S
        request_id = f"crash{number}-{schedule.driver.now:.6f}"
        schedule.at(
            at,
            lambda r=request_id: _send_to_random_host(
                schedule, r, CRASHING_CONTENT
            ),
        )


FAULTS = {
    "searcher_down": _searcher_fault(down=True),
    "searcher_frozen": _searcher_fault(frozen=True),
    "searcher_draining": _searcher_fault(draining=True),
    "searcher_loses_answers": _searcher_fault(lose_answers=True),
    "searcher_slow": _searcher_fault(service_s=0.25),
    "snapshot_roll": _roll_snapshots,
    "repartition": _repartition,
    "host_killed": _kill_host,
    "host_restarted": _kill_and_restart_host,
    "host_frozen": _freeze_host,
    "zone_cut": _cut_zone,
    "link_cut_one_way": _cut_one_way,
    "store_down": _store_down,
    "store_loses_answers": _store_loses_replies,
    "service_removed": _configuration_fault("services"),
    "searcher_removed": _configuration_fault("removed"),
    "searcher_drained": _configuration_fault("drained"),
    "host_list_says_leaving": _host_list_reports_leaving,
}


def start_schedule(seed: int, faults: tuple[str, ...] = ()) -> Schedule:
    """Starts all hosts and searchers and waits until the hosts are members.

    Args:
        seed: The seed.
        faults: The names of the faults of the schedule; none is injected yet.

    Returns:
        The schedule.
    """
    settings = [Settings.model_validate(s) for s in daemon_settings(SHAPE, 2)]
    driver = NodeDriver(settings, seed)
    driver.peer_jitter_s = 0.001
    driver.duplicate_share = 0.02
    schedule = Schedule(driver, random.Random(seed), faults)
    for name in driver.settings:
        driver.start(name)
    schedule.configure()
    schedule.run(1.5)
    return schedule


# A crashing content occurs only in schedules with keyed queries.
KEYED_FAULTS = {**FAULTS, "content_crashes": _crash_on_content}


def run_schedule(seed: int, keyed: bool = False) -> Schedule:
    """Runs the schedule of a seed.

    Args:
        seed: The seed, from which the faults and all times are drawn.
        keyed: Whether callers also send queries with idempotency keys, each
            to two hosts, and contents may crash searchers.

    Returns:
        The schedule after its run.
    """
    known = KEYED_FAULTS if keyed else FAULTS
    faults = tuple(random.Random(seed).choices(sorted(known), k=2))
    schedule = start_schedule(seed, faults)
    driver, rng = schedule.driver, schedule.rng
    schedule.burst = bool(seed % 2)
    if schedule.burst:
        for fake in driver.searchers.values():
            fake.service_s = BURST_SERVICE_S
    start = driver.now
    phase_s = BURST_S if schedule.burst else FAULT_PHASE_S
    for fault in faults:
        begin = rng.uniform(start, start + min(phase_s, 1.0))
        until = rng.uniform(begin + 0.05, start + FAULT_PHASE_S)
        schedule.at(begin, lambda f=fault, u=until: known[f](schedule, u))
    for number in range(int(FAULT_PHASE_S / QUERY_INTERVAL_S)):
        at = start + rng.uniform(0.0, phase_s)
        schedule.at(at, lambda n=number: _send_random_query(schedule, f"q{n}"))
    for number in range(KEYED_QUERIES if keyed else 0):
        at = start + rng.uniform(0.0, phase_s)
        for copy, delay in enumerate((0.0, rng.uniform(0.0, 0.3))):
            step = functools.partial(
                _send_to_random_host,
                schedule,
                f"k{number}.{copy}",
                f'"k{number}"',
            )
            schedule.at(at + delay, functools.partial(step, f"key{number}"))
    schedule.run(FAULT_PHASE_S + RECOVERY_S)
    for name in sorted(driver.settings):
        send_query(schedule, f"final-{name}", name)
    schedule.run(1.0)
    return schedule


def send_query(schedule: Schedule, request_id: str, host: str, **fields):
    """Sends a query that must get an answer with full coverage.

    For use when no fault is active.

    Args:
        schedule: The schedule.
        request_id: The query's identifier.
        host: The entry host.
        **fields: Fields of the `Query` to replace.
    """
    now = schedule.driver.now
    content = json.dumps(request_id)
    query = Query(request_id, SERVICE, content, 100, now + 0.3)
    query = dataclasses.replace(query, **fields)
    schedule.final.append(SentQuery(query, host))
    schedule.driver.inject(host, events.QueryReceived(query))


def inject_host_list_entry(
    schedule: Schedule, victim: str, leaving: bool
) -> None:
    """Sends every host a host list entry of a searcher.

    Args:
        schedule: The schedule.
        victim: The searcher.
        leaving: Whether the entry marks the searcher as leaving.
    """
    configuration = build_configuration(1, True, (SERVICE,), (), ())
    searcher = configuration.searchers[victim]
    host = Host(victim, searcher.zone, searcher.address, leaving, "upstream")
    for name in schedule.driver.settings:
        schedule.driver.inject(name, events.HostsListed((host,)))


def _send_to_random_host(
    schedule: Schedule, request_id: str, content: str, key: str = ""
) -> None:
    """Sends a query with a content shared by other queries to a random host."""
    driver = schedule.driver
    host = schedule.rng.choice(sorted(set(driver.nodes) - driver.frozen_nodes))
    deadline = driver.now + schedule.rng.choice(DEADLINES_S)
    query = Query(request_id, SERVICE, content, 100, deadline)
    query = dataclasses.replace(query, idempotency_key=key)
    schedule.sent.append(SentQuery(query, host))
    driver.inject(host, events.QueryReceived(query))


def _send_random_query(schedule: Schedule, request_id: str) -> None:
    driver, rng = schedule.driver, schedule.rng
    host = rng.choice(sorted(set(driver.nodes) - driver.frozen_nodes))
    query = Query(
        request_id,
        SERVICE,
        json.dumps(request_id),
        100,
        driver.now + rng.choice(DEADLINES_S),
        repeatable=rng.random() < 0.7,
        shards=() if rng.random() < 0.7 else ("a/0", "a/1"),
    )
    schedule.sent.append(SentQuery(query, host))
    driver.inject(host, events.QueryReceived(query))
