"""Runs the soak test: `python -m soak.run --seeds 50 --first 1000`."""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import dataclasses  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402

from kumquatspur.core.records import Address  # noqa: E402
from soak.clients import Client  # noqa: E402
from soak.faults import (  # noqa: E402
    FAULTS,
    STATEMENT_FAULTS,
    Environment,
    name_limits,
)
from soak.invariants import find_exceeded_limits, find_violations  # noqa: E402
from standins.platform_deployment import (  # noqa: E402
    LOOPBACK,
    PlatformDeployment,
    send_request,
    wait_until,
)
from standins.relay import Relay  # noqa: E402

BUILD = pathlib.Path("build/soak")
ZONES = ("z1", "z2", "z3")
HOSTS_PER_ZONE = 2
CLIENTS_PER_HOST = 2
FAULTS_PER_SEED = 5
FAULT_WINDOW_S = 6.0
FAULT_DURATION_S = (0.3, 3.0)
# Share of the seeds in which searchers name limits, and for how long: the rule
# holds for the last part of it.
LIMITS_SHARE = 0.5
LIMITS_DURATION_S = 10.0
# Timeout from the end of the last fault until every host serves all requests
# again; the platform requires recovery within 12 s.
RECOVERY_S = 12.0


def build_environment(folder: pathlib.Path, rng: random.Random) -> Environment:
    """Creates a deployment with a relay on each link that faults disturb."""
    deployment = PlatformDeployment(folder, ZONES, HOSTS_PER_ZONE)
    searcher_relays = {}
    for name, searcher in deployment.searchers.items():
        relay = searcher_relays[name] = Relay(searcher.address.port)
        address = f"{LOOPBACK}:{relay.port}"
        searcher.register(deployment.store, address=address)
    store_relays = {
        name: Relay(deployment.store.address.port) for name in deployment.hosts
    }
    return Environment(deployment, searcher_relays, store_relays, rng)


def has_recovered(environment: Environment) -> bool:
    """Returns whether every host serves all routes of the latest version."""
    deployment = environment.deployment
    for number, host in enumerate(deployment.hosts.values()):
        for path, status in deployment.marker_route_statuses():
            reply = send_request(host, path, f"end{number}{path}")
            if reply is None or reply[0] != status:
                return False
        reply = send_request(host, "/all/end", f"end{number}")
        if reply is None or reply[0] != 200:
            return False
        if reply[1].get("kumquatspur-missing-parts") != "0":
            return False
        reply = send_request(host, "/one/end", f"end{number}one")
        if reply is None or reply[0] != 200:
            return False
    return True


def plan_faults(environment: Environment, seed: int) -> list[tuple]:
    """Draws the faults of a seed.

    Returns:
        For each fault its time in seconds, the function and its arguments.
    """
    rng = environment.rng
    drawn = sorted(
        (rng.uniform(0.0, FAULT_WINDOW_S), index, rng.choice(FAULTS))
        for index in range(FAULTS_PER_SEED)
    )
    plan = [
        (at, fault, environment, rng.uniform(*FAULT_DURATION_S))
        for at, _, fault in drawn
    ]
    own_rng = random.Random(f"{seed} statement")
    plan.append(
        (
            own_rng.uniform(0.0, FAULT_WINDOW_S),
            own_rng.choice(STATEMENT_FAULTS),
            dataclasses.replace(environment, rng=own_rng),
            own_rng.uniform(*FAULT_DURATION_S),
        )
    )
    limit_rng = random.Random(f"{seed} limits")
    if limit_rng.random() < LIMITS_SHARE:
        limited = dataclasses.replace(environment, rng=limit_rng)
        plan.append((0.0, name_limits, limited, LIMITS_DURATION_S))
    return plan


def run_seed(seed: int) -> tuple[list[str], list[str]]:
    """Runs one seed.

    Args:
        seed: The seed.

    Returns:
        The names of its faults, and the violations.
    """
    folder = BUILD / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    rng = random.Random(seed)
    environment = build_environment(folder, rng)
    deployment = environment.deployment
    clients, faults, violations = [], [], []
    try:
        deployment.start(
            lambda name: Address(LOOPBACK, environment.store_relays[name].port)
        )
        for host in deployment.hosts.values():
            for number in range(CLIENTS_PER_HOST):
                clients.append(Client(host, f"{host.name}-{number}", seed))
        plan = plan_faults(environment, seed)
        faults = [fault.__name__ for _, fault, *_ in plan]
        threads = [eventlet.spawn_after(*planned) for planned in plan]
        for thread in threads:
            thread.wait()
        try:
            wait_until(lambda: has_recovered(environment), RECOVERY_S)
        except AssertionError:
            violations.append(
                f"not all requests are served {RECOVERY_S} s after the faults"
            )
        for host in deployment.hosts.values():
            if not host.is_running():
                violations.append(
                    f"{host.name} is not running after the faults"
                )
    finally:
        for client in clients:
            client.stop()
        deployment.stop()
        for relays in (environment.searcher_relays, environment.store_relays):
            for relay in relays.values():
                relay.close()
    requests = [item for client in clients for item in client.requests]
    if not any(item.reply and item.reply[0] == 200 for item in requests):
        violations.append("no request was served")
    violations += find_violations(deployment, requests)
    violations += find_exceeded_limits(environment)
    if not violations:
        shutil.rmtree(folder, ignore_errors=True)
    return faults, violations


def run_many(first: int, count: int, jobs: int) -> int:
    """Runs each seed as a process and prints the results.

    Returns:
        The number of failed seeds.
    """
    pool = eventlet.GreenPool(jobs)

    def run(seed):
        command = [sys.executable, "-W", "ignore", "-m", "soak.run"]
        command += ["--first", str(seed), "--seeds", "1"]
        process = subprocess.run(command, capture_output=True, text=True)
        print(process.stdout or process.stderr, end="", flush=True)
        return process.returncode != 0

    failed = sum(pool.imap(run, range(first, first + count)))
    print(f"{count} seeds from {first}: {failed} failed")
    return failed


def main() -> int:
    """Runs the soak test.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--first", type=int, default=1, help="the first one")
    parser.add_argument("--jobs", type=int, default=2, help="at a time")
    arguments = parser.parse_args()
    if arguments.seeds > 1:
        return int(
            run_many(arguments.first, arguments.seeds, arguments.jobs) > 0
        )
    faults, violations = run_seed(arguments.first)
    state = "failed" if violations else "ok"
    print(f"seed {arguments.first}: {state}: {', '.join(faults)}")
    for line in violations:
        print(f"    {line}")
    if violations:
        print(f"    logs: {BUILD / str(arguments.first) / 'logs'}")
    return int(bool(violations))


if __name__ == "__main__":
    sys.exit(main())
