"""A host refuses a new route while the store rejects two others of its zone."""

import pathlib
import time

import eventlet

from review.harness_2 import (
    Host,
    request_bytes,
    run_case,
    send,
    wait_ready,
)
from standins.platform_searcher import (
    PlatformSearcher,
    forwarded_route,
    make_config,
)
from standins.platform_store import StandInStore
from standins.relay import Relay

# Hosts and bounds of the deployment ramme-sok.
HOSTS = {"oslo-a": 4, "oslo-b": 3, "oslo-c": 2}
BOUNDS = {
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "retry_budget_slack": 58,
}
HEARTBEAT_MS = 1200
CONFIG_APPLY_S = 3.0
# These two of nine call the store for their zone.
REJECTED = ("front-oslo-a-2", "front-oslo-a-4")
ASKED = ("front-oslo-a-1", "front-oslo-a-3")
REJECTED_S = 5.6
PAUSE_S = 3.6
ROUNDS = 11
CHANGE_AFTER_S = 0.2
ASK_EACH_S = 0.05
HEARTBEATS_S = 1.2


def case(record, folder, hosts, disrupted) -> bool:
    """Returns whether each version was in force in time."""
    store = StandInStore()
    searchers = [
        PlatformSearcher(f"i-{zone}", "single", zone, (), 0.002)
        for zone in HOSTS
    ]
    sequence = [0]

    def heartbeats():
        while True:
            sequence[0] += 1
            for searcher in searchers:
                searcher.register(store, slots=5, sequence=sequence[0], born=1)
            eventlet.sleep(HEARTBEATS_S)

    eventlet.spawn_n(heartbeats)
    routes = [forwarded_route("one", "/one/", "single")]
    store.put_json("op/config", make_config(1, routes))
    hosts += [
        Host(f"front-{zone}-{number + 1}", zone, folder)
        for zone, count in HOSTS.items()
        for number in range(count)
    ]
    by_name = {host.name: host for host in hosts}
    seeds = [by_name[f"front-{zone}-1"].ports[2] for zone in HOSTS]
    paths = {}
    for host in hosts:
        address = store.address
        if host.name in REJECTED:
            paths[host.name] = Relay(store.address.port)
            address = type(address)(address.host, paths[host.name].port)
        host.write_settings(address, seeds, BOUNDS, heartbeat_ms=HEARTBEAT_MS)
        host.start()
    wait_ready(hosts)
    record.write("hosts ready", True)
    eventlet.sleep(PAUSE_S)
    late = []

    def ask(name, request_id, path, acked_at):
        after_s = time.monotonic() - acked_at
        record.write(f"{request_id} sent to {name}, {after_s:.3f} s after")
        data = request_bytes("GET", path, request_id, 500)
        reply = send(by_name[name].ports[0], data, 1.0)
        status = reply[0] if reply else None
        record.write(f"{request_id} answered {status}")
        if status == 404 and after_s > CONFIG_APPLY_S:
            late.append((request_id, after_s))

    for number in range(ROUNDS):
        began = time.monotonic()
        if disrupted:
            for path in paths.values():
                path.set_mode("stall")
        eventlet.sleep(CHANGE_AFTER_S)
        prefix = f"/new{number}/"
        routes = [*routes, forwarded_route(f"new{number}", prefix, "single")]
        store.put_json("op/config", make_config(number + 2, routes))
        acked_at = time.monotonic()
        record.write(f"version {number + 2} acknowledged")
        count = 0
        while time.monotonic() - began < REJECTED_S:
            for name in ASKED:
                request_id = f"r{number}-{count}-{name}"
                eventlet.spawn_n(ask, name, request_id, f"{prefix}x", acked_at)
            count += 1
            eventlet.sleep(ASK_EACH_S)
        for path in paths.values():
            path.set_mode("pass")
        eventlet.sleep(PAUSE_S)
        found = [item for item in late if item[0].startswith(f"r{number}-")]
        last = max((after_s for _, after_s in found), default=0.0)
        record.write(
            f"version {number + 2}: {len(found)} requests refused later than"
            f" {CONFIG_APPLY_S} s after, the last {last:.2f} s after",
            True,
        )
    ran = sum(sum(searcher.runs.values()) for searcher in searchers)
    record.write(f"{ran} requests ran, {len(late)} were refused late", True)
    return not late


run_case(pathlib.Path(__file__).parent, case)
