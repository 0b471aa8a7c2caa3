"""Another writer's entry under the key of a searcher that has crashed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
HEARTBEAT_S = 1.2
# Within srv_crash, how all: both searchers are down for this time.
CRASHED_S = 4.5
SETTLE_S = 4.0
WORK_S = 0.2
CLIENTS_PER_HOST = 8
# "writer": another writer's entry, with a service that is named nowhere.
# "restart": the searcher starts again under its identifier, for another
# service.
VARIANT = os.environ.get("VARIANT", "writer")


async def case(record, folder, hosts, trouble) -> bool:
    """Serves one service while the searchers of another one crash."""
    store = standins.Store(record)
    await store.start()
    named = {}
    for service, count in (
        ("fan-desk", 9),
        ("buyer-ledger", 2),
        ("member-portal", 2),
    ):
        for number in range(count):
            searcher = standins.Searcher(
                f"i-{service}-{number}",
                service,
                ZONES[number % 3],
                record,
                WORK_S,
            )
            await searcher.start()
            searcher.register(store)
            named[searcher.name] = searcher
    routes = [
        standins.route(
            "desk", "/desk/", service="fan-desk", **{"timeout-ms": 1200}
        ),
        standins.route("audit", "/audit/", service="buyer-ledger"),
        standins.route("portal", "/portal/", service="member-portal"),
    ]
    store.put("op/config", standins.config(1, routes))
    for zone in ZONES:
        hosts.append(standins.Host(f"front-{zone}-1", zone, folder))
    for host in hosts:
        host.write_settings(store.port, [h.peer for h in hosts], ZONES)
        await host.start()
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(SETTLE_S)

    clients = [
        standins.KeptClient(host, number, record)
        for host in hosts
        for number in range(CLIENTS_PER_HOST)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    try:
        await crash_searchers(record, store, named, trouble)
        await asyncio.sleep(2.0)
    finally:
        for task in tasks:
            task.cancel()
    return standins.rule_lost_held(record, hosts, clients, named.values())


async def crash_searchers(record, store, named, trouble) -> None:
    """Crashes all searchers of a service; then one key is written again."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    crashed = [named["i-buyer-ledger-0"], named["i-buyer-ledger-1"]]
    for searcher in crashed:
        record.write(f"{searcher.name} crashes")
        searcher.stop()
    await asyncio.sleep(3 * HEARTBEAT_S)
    for searcher in crashed:
        store.remove(f"servers/{searcher.name}")
    await asyncio.sleep(0.4)
    first = crashed[0]
    if trouble and VARIANT == "writer":
        record.write("another writer: an entry with an unknown service")
        store.put(f"servers/{first.name}", first.entry(service="unlisted"))
    if trouble and VARIANT == "restart":
        record.write(f"{first.name} starts again, for member-portal")
        first.service = "member-portal"
        await first.start()
        first.register(store)
    await asyncio.sleep(max(0.0, began + CRASHED_S - loop.time()))
    for number in range(2):
        searcher = standins.Searcher(
            f"i-buyer-ledger-new-{number}",
            "buyer-ledger",
            ZONES[number],
            record,
            WORK_S,
        )
        await searcher.start()
        searcher.register(store)
    await asyncio.sleep(2.0)


standins.main(case)
