"""Hosts that restart on both sides of a zone cut each grant a whole quota."""

import collections
import pathlib

import eventlet

from review import harness_2
from review.harness_2 import Host, request_bytes, run_case, send, wait_ready
from standins.platform_searcher import (
    PlatformSearcher,
    forwarded_route,
    make_config,
)
from standins.platform_store import StandInStore
from standins.relay import Relay

ZONES = ("a", "b", "c")
HOSTS_PER_ZONE = 3
# The bounds of the deployment flordebarrio-mx-grown.
WINDOW_S = 5.0
OVERRUN = 0.1
SLACK = 20
BOUNDS = {
    "quota_window_s": WINDOW_S,
    "quota_overrun": OVERRUN,
    "quota_slack": SLACK,
}
RATE_PER_S = 50
BURST = 20
KEY = "key-of-north"
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
REQUESTS_PER_S_AND_HOST = 21
WARM_UP_S = 12.0
# The longest zone cut of the deployment.
CUT_S = 6.0
RESTART_S = 0.3
AFTER_S = 3.0


class CountingSearcher(PlatformSearcher):
    """Records when each request of the tenant began to run."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.started = []

    def _send_reply(self, sock, behaviour, request_id, message):
        self.started.append((self.arrived_at[-1], request_id))
        return super()._send_reply(sock, behaviour, request_id, message)


def case(record, folder, hosts, disrupted) -> bool:
    """Returns whether the quota was kept."""
    store = StandInStore()
    searchers = []
    for zone in ZONES:
        for number in range(2):
            searcher = CountingSearcher(
                f"i-{zone}-{number}", "single", zone, (), 0.002
            )
            searcher.register(store, slots=16)
            searchers.append(searcher)
    config = make_config(1, [forwarded_route("one", "/one/", "single")])
    config["tenants"] = [
        {
            "name": "north",
            "api-keys": [KEY],
            "rate-per-s": RATE_PER_S,
            "burst-size": BURST,
        }
    ]
    store.put_json("op/config", config)
    hosts += [
        Host(f"host-{zone}-{number}", zone, folder)
        for zone in ZONES
        for number in range(HOSTS_PER_ZONE)
    ]
    firsts = {host.zone: host for host in hosts[::HOSTS_PER_ZONE]}
    # The path from one zone to the seed of another one.
    paths = {
        (own, other): Relay(firsts[other].ports[2])
        for own in ZONES
        for other in ZONES
        if own != other
    }
    for host in hosts:
        seeds = [
            firsts[zone].ports[2]
            if zone == host.zone
            else paths[host.zone, zone].port
            for zone in ZONES
        ]
        host.write_settings(store.address, seeds, BOUNDS)
        host.start()
    wait_ready(hosts)
    record.write("hosts ready", True)
    counts = collections.Counter()
    running = [True]

    def ask(host, request_id):
        data = request_bytes(
            "GET",
            "/one/x",
            request_id,
            500,
            lines=(f"Authorization: Bearer {KEY}",),
        )
        record.write(f"{request_id} sent to {host.name}")
        reply = send(host.ports[0], data, 1.0)
        status = reply[0] if reply else "none"
        counts[host.zone, status] += 1
        record.write(f"{request_id} answered {status}")

    def press(host):
        number = 0
        while running[0]:
            eventlet.spawn_n(ask, host, f"{host.name}-{number}")
            number += 1
            eventlet.sleep(1.0 / REQUESTS_PER_S_AND_HOST)

    for host in hosts:
        eventlet.spawn_n(press, host)
    eventlet.sleep(WARM_UP_S)
    record.write(f"before: {dict(counts)}", True)
    if disrupted:
        for host in hosts:
            host.kill()
        record.write("all hosts killed", True)
        eventlet.sleep(RESTART_S)
        for (own, other), path in paths.items():
            if "a" in (own, other):
                path.set_mode("cut")
        record.write("zone a cut from the others", True)
        for host in hosts:
            host.start()
        record.write("all hosts started", True)
    eventlet.sleep(CUT_S)
    for path in paths.values():
        path.set_mode("pass")
    record.write("zone a not cut any more", True)
    eventlet.sleep(AFTER_S)
    running[0] = False
    eventlet.sleep(0.5)
    record.write(f"after: {dict(counts)}", True)
    started = sorted(item for s in searchers for item in s.started)
    for at, request_id in started:
        record.write(f"{request_id} ran at {at - harness_2.STARTED_AT:.3f}")
    most, end = 0, 0.0
    first = 0
    for index, (at, _) in enumerate(started):
        while started[first][0] <= at - WINDOW_S:
            first += 1
        if index - first + 1 > most:
            most, end = index - first + 1, at
    record.write(
        f"{most} requests ran in the {WINDOW_S} s before"
        f" {end - harness_2.STARTED_AT:.3f}, allowed {ALLOWED:.1f}",
        True,
    )
    return most <= ALLOWED


run_case(pathlib.Path(__file__).parent, case)
