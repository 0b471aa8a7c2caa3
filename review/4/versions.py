"""Many versions of a large configuration; the hosts run out of memory."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("cdmx-a", "cdmx-b", "cdmx-c")
MEMORY_MB = 200
SETTLE_S = 4.0
MEMORY_CHECK_S = 0.02
WORK_S = 0.2
CLIENTS_PER_HOST = 8
FEW_ROUTES = 40
MANY_ROUTES = FEW_ROUTES + 3 * 1400
STORMS = 18
STORM_S = 4.0
GAP_S = 0.33
PAUSE_S = 0.5


async def watch(host, record, peaks) -> None:
    """Ends a process that exceeds its memory, as DEPLOY.md says."""
    while host.is_running():
        await asyncio.sleep(MEMORY_CHECK_S)
        used = host.memory_mb()
        peaks[host.name] = max(peaks[host.name], used)
        if used > MEMORY_MB:
            record.write(f"platform: {host.name} uses {used:.0f} MB")
            await host.end()


async def case(record, folder, hosts, trouble) -> bool:
    """Writes versions in quick succession while requests come."""
    store = standins.Store(record)
    await store.start()
    searchers = []
    for number in range(9):
        searcher = standins.Searcher(
            f"i-portal-{number}",
            "florist-portal",
            ZONES[number % 3],
            record,
            WORK_S,
        )
        await searcher.start()
        searcher.register(store)
        searchers.append(searcher)
    count = MANY_ROUTES if trouble else FEW_ROUTES
    routes = [
        standins.route(
            f"route-{number}",
            f"/stock/{number:05d}/",
            service="florist-portal",
        )
        for number in range(count)
    ]
    routes.append(
        standins.route(
            "desk", "/desk/", service="florist-portal", **{"timeout-ms": 1200}
        )
    )
    first = standins.config(1, routes)
    record.write(f"the configuration has {len(json.dumps(first))} bytes")
    store.put("op/config", first)
    for zone in ZONES:
        hosts.append(standins.Host(f"front-{zone}-1", zone, folder))
    for host in hosts:
        peers = [other.peer for other in hosts]
        host.write_settings(store.port, peers, ZONES, MEMORY_MB)
        await host.start()
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    clients = [
        standins.KeptClient(host, number, record)
        for host in hosts
        for number in range(CLIENTS_PER_HOST)
    ]
    peaks = dict.fromkeys((host.name for host in hosts), 0.0)
    tasks = [asyncio.create_task(watch(h, record, peaks)) for h in hosts]
    tasks += [asyncio.create_task(client.run()) for client in clients]
    try:
        await write_versions(record, store, routes, hosts, peaks)
    finally:
        for task in tasks:
            task.cancel()
    return standins.rule_lost_held(record, hosts, clients, searchers)


async def write_versions(record, store, routes, hosts, peaks) -> None:
    """Writes versions in storms, until all hosts have ended."""
    version = 1
    for _ in range(STORMS):
        for _ in range(int(STORM_S / GAP_S)):
            version += 1
            store.put("op/config", standins.config(version, routes))
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
        memory = {name: round(peak) for name, peak in peaks.items()}
        record.write(f"version {version}: memory in MB: {memory}")
        if not any(host.is_running() for host in hosts):
            return


standins.main(case)
