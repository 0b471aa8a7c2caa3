"""Faults injected into the network, the platform and host processes."""

import dataclasses
import json
import random
import signal
import time

import eventlet

from standins.platform_deployment import (
    LOOPBACK,
    HostProcess,
    PlatformDeployment,
)
from standins.platform_searcher import ENDLESS
from standins.relay import Relay

RELAY_FAULT_MODES = ("delay", "cut", "one_way", "stall")
DELAYS_S = (0.02, 0.3)
RESTART_S = (0.0, 1.0)
FAULTY_BEHAVIOURS = (
    "lost",
    "truncated",
    "extra",
    "other_id",
    "error",
    "shed",
    "hang",
)
FAULTY_REPLIES = 8
LIMITED_SHARE = 0.8
LIMITS_PER_S = (1.0, 8.0)


@dataclasses.dataclass(frozen=True, slots=True)
class StatedLimit:
    """A limit that a searcher named for a while.

    Attributes:
        searcher: Identifier of the searcher.
        per_s: Requests per second from all hosts together.
        since: When it was first named, in monotonic time.
        until: When it ended.
    """

    searcher: str
    per_s: float
    since: float
    until: float


@dataclasses.dataclass
class Environment:
    """The system that faults are injected into.

    Attributes:
        deployment: The deployment.
        searcher_relays: Relays in front of the searchers, by searcher.
        store_relays: Relays in front of the store, by entry host.
        rng: The source of randomness, seeded for the run.
        disturbed: Names of the hosts that were stopped, killed or paused.
        limits: The limits that searchers named.
    """

    deployment: PlatformDeployment
    searcher_relays: dict[str, Relay]
    store_relays: dict[str, Relay]
    rng: random.Random
    disturbed: set[str] = dataclasses.field(default_factory=set)
    limits: list[StatedLimit] = dataclasses.field(default_factory=list)

    def any_host(self) -> HostProcess:
        """Returns a random entry host."""
        return self.rng.choice(list(self.deployment.hosts.values()))


def _disturb_relays(
    relays: dict[str, Relay],
    environment: Environment,
    for_s: float,
    share: float,
):
    """Sets a random fault mode on a share of the relays for some seconds."""
    mode = environment.rng.choice(RELAY_FAULT_MODES)
    delay_s = environment.rng.uniform(*DELAYS_S)
    count = max(1, int(share * len(relays)))
    names = environment.rng.sample(sorted(relays), count)
    for name in names:
        relays[name].delay_s = delay_s
        relays[name].set_mode(mode)
    eventlet.sleep(for_s)
    for name in names:
        relays[name].set_mode("pass")


def harm_searchers(environment: Environment, for_s: float) -> None:
    """Disturbs the links to some searchers with a random relay mode."""
    _disturb_relays(
        environment.searcher_relays,
        environment,
        for_s,
        environment.rng.choice((0.1, 0.3)),
    )


def harm_store(environment: Environment, for_s: float) -> None:
    """Disturbs the links from some or all hosts to the store."""
    _disturb_relays(
        environment.store_relays,
        environment,
        for_s,
        environment.rng.choice((0.3, 1.0)),
    )


def refuse_at_store(environment: Environment, for_s: float) -> None:
    """Makes the store refuse all calls with status 429 or 503."""
    store = environment.deployment.store
    store.refuse_with = environment.rng.choice((429, 503))
    eventlet.sleep(for_s)
    store.refuse_with = 0


def lose_history(environment: Environment, for_s: float) -> None:
    """Changes the configuration, then discards the store's history."""
    environment.deployment.configure()
    environment.deployment.store.drop_history()


def spoil_answers(environment: Environment, for_s: float) -> None:
    """Makes some searchers send faulty answers, or none."""
    searchers = environment.deployment.searchers
    for name in environment.rng.sample(sorted(searchers), 4):
        kinds = environment.rng.choices(FAULTY_BEHAVIOURS, k=FAULTY_REPLIES)
        searchers[name].script.extend(kinds)
    eventlet.sleep(for_s)
    for searcher in searchers.values():
        searcher.script.clear()


def pause_host(environment: Environment, for_s: float) -> None:
    """Pauses a host's process with SIGSTOP."""
    host = environment.any_host()
    environment.disturbed.add(host.name)
    host.signal(signal.SIGSTOP)
    eventlet.sleep(for_s)
    host.signal(signal.SIGCONT)


def _restart(
    environment: Environment, hosts: list[HostProcess], signal_number: int
) -> None:
    processes = [host.process for host in hosts]
    environment.disturbed.update(host.name for host in hosts)
    for host in hosts:
        host.signal(signal.SIGCONT)
        host.signal(signal_number)
    # Waits on the old processes: another fault may have restarted a host.
    for process in processes:
        while process.poll() is None:
            eventlet.sleep(0.02)
    eventlet.sleep(environment.rng.uniform(*RESTART_S))
    for host in hosts:
        if not host.is_running():
            host.start()


def kill_host(environment: Environment, for_s: float) -> None:
    """Kills a host's process and restarts it."""
    _restart(environment, [environment.any_host()], signal.SIGKILL)


def kill_all(environment: Environment, for_s: float) -> None:
    """Kills all hosts at once and restarts them."""
    hosts = list(environment.deployment.hosts.values())
    _restart(environment, hosts, signal.SIGKILL)


def stop_host(environment: Environment, for_s: float) -> None:
    """Stops a host gracefully and restarts it."""
    _restart(environment, [environment.any_host()], signal.SIGTERM)


def reload_host(environment: Environment, for_s: float) -> None:
    """Reloads a host with an invalid settings file, then restores the file."""
    host = environment.any_host()
    text = host.settings_path.read_text(encoding="utf-8")
    fields = json.loads(text)
    if "bounds" not in fields:
        # Another fault has already made the file invalid.
        return
    del fields["bounds"]
    host.settings_path.write_text(json.dumps(fields), encoding="utf-8")
    host.signal(signal.SIGHUP)
    eventlet.sleep(min(for_s, 1.5))
    host.settings_path.write_text(text, encoding="utf-8")


def change_configuration(environment: Environment, for_s: float) -> None:
    """Writes several configuration versions with a new marker route each."""
    for _ in range(environment.rng.randint(1, 4)):
        environment.deployment.replace_marker_route()
        eventlet.sleep(environment.rng.uniform(0.05, 0.5))


def leave_by_answer(environment: Environment, for_s: float) -> None:
    """Makes a searcher say in its answers that it leaves, then restarts it."""
    name = environment.rng.choice(sorted(environment.deployment.searchers))
    searcher = environment.deployment.searchers[name]
    searcher.leaving = True
    eventlet.sleep(for_s)
    searcher.leaving = False
    searcher.starts += 1
    _register(environment, name)


def ask_for_pauses(environment: Environment, for_s: float) -> None:
    """Makes some searchers reject requests and ask for a pause."""
    searchers = environment.deployment.searchers
    for name in environment.rng.sample(sorted(searchers), 4):
        seconds = environment.rng.uniform(0.1, for_s)
        searchers[name].pause_value = f"{seconds:.2f}"
        searchers[name].script.append("pause")
    eventlet.sleep(for_s)


def send_without_end(environment: Environment, for_s: float) -> None:
    """Makes some searchers send bytes that never end."""
    searchers = environment.deployment.searchers
    for name in environment.rng.sample(sorted(searchers), 3):
        kind = environment.rng.choice(sorted(ENDLESS))
        searchers[name].script.append(kind)
    eventlet.sleep(for_s)


def restore_store(environment: Environment, for_s: float) -> None:
    """Restores the store from a copy; its writers then write again."""
    deployment = environment.deployment
    copy = deployment.store.copy()
    deployment.replace_marker_route()
    eventlet.sleep(for_s)
    deployment.store.restore(copy)
    eventlet.sleep(environment.rng.uniform(0.0, 0.5))
    for name in sorted(deployment.searchers):
        _register(environment, name)
    deployment.replace_marker_route()


def name_limits(environment: Environment, for_s: float) -> None:
    """Makes most or all searchers of some shards name limits."""
    deployment, rng = environment.deployment, environment.rng
    services = rng.sample(
        sorted({s.service for s in deployment.searchers.values()}), 2
    )
    limited = [
        searcher
        for searcher in deployment.searchers.values()
        if searcher.service in services and rng.random() < LIMITED_SHARE
    ]
    since = time.monotonic()
    for searcher in limited:
        searcher.limit_per_s = round(rng.uniform(*LIMITS_PER_S), 1)
    eventlet.sleep(for_s)
    until = time.monotonic()
    for searcher in limited:
        environment.limits.append(
            StatedLimit(
                searcher.searcher_id, searcher.limit_per_s, since, until
            )
        )
        searcher.limit_per_s = None


def _register(environment: Environment, name: str) -> None:
    """Writes a searcher's entry with the address of its relay."""
    searcher = environment.deployment.searchers[name]
    port = environment.searcher_relays[name].port
    searcher.register(
        environment.deployment.store,
        address=f"{LOOPBACK}:{port}",
        born=searcher.starts,
    )


FAULTS = (
    harm_searchers,
    harm_store,
    refuse_at_store,
    lose_history,
    spoil_answers,
    pause_host,
    kill_host,
    kill_all,
    stop_host,
    reload_host,
    change_configuration,
)
# Statements of searchers and of the store. A seed draws one of them besides its
# other faults, with its own source of randomness, so that these stay as they
# were for seeds that are kept.
STATEMENT_FAULTS = (
    leave_by_answer,
    ask_for_pauses,
    send_without_end,
    restore_store,
)
