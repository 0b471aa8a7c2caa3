"""Hosts are told to stop while they start; some go on until they are killed."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
GRACE_S = 6.0
MACHINES = 6
# Four rolls of three machines, one at a time.
STOPS = 12
GAP_S = 1.3
# The stop comes at this part of the time that a host needs to be ready.
STOP_RANGE = (0.15, 0.6)
CLIENTS_PER_HOST = 4
WORK_S = 0.4


async def measure_start_s(record, folder, hosts, store_port: int) -> float:
    """Returns how long a host takes to be ready."""
    host = standins.Host("front-measured", ZONES[0], folder)
    hosts.append(host)
    host.write_settings(store_port, [host.peer], ZONES)
    began = time.monotonic()
    await host.start()
    while not await host.is_ready():
        await asyncio.sleep(0.005)
    seconds = time.monotonic() - began
    await host.end()
    hosts.remove(host)
    record.write(f"a host is ready after {seconds:.3f} s")
    return seconds


async def stop_host(record, host, ready_s: float, trouble: bool) -> None:
    """Starts a host, tells it to stop, and kills it after the grace."""
    await host.start()
    if trouble:
        await asyncio.sleep(ready_s)
    else:
        await host.wait_until_ready()
        await asyncio.sleep(1.0)
    record.write(f"platform: SIGTERM to {host.name}")
    host.process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(host.process.wait(), GRACE_S)
    except TimeoutError:
        record.write(f"platform: SIGKILL to {host.name}, {GRACE_S} s later")
        host.killed = True
        await host.end()


async def connect_and_send(client) -> None:
    """Sends requests on one connection as soon as its host accepts it."""
    while True:
        try:
            await client.run()
            return
        except OSError:
            await asyncio.sleep(0.02)


async def case(record, folder, hosts, trouble) -> bool:
    """Starts and stops hosts in turn while clients send to them."""
    store = standins.Store(record)
    await store.start()
    searchers = []
    for number in range(9):
        searcher = standins.Searcher(
            f"i-desk-{number}", "fan-desk", ZONES[number % 3], record, WORK_S
        )
        await searcher.start()
        searcher.register(store)
        searchers.append(searcher)
    desk = standins.route(
        "desk", "/desk/", service="fan-desk", **{"timeout-ms": 1200}
    )
    store.put("op/config", standins.config(1, [desk]))
    start_s = await measure_start_s(record, folder, hosts, store.port)

    clients, senders, killed = [], [], 0
    for number in range(MACHINES):
        zone = ZONES[number % 3]
        host = standins.Host(f"front-{zone}-{number}", zone, folder)
        hosts.append(host)
    for host in hosts:
        host.write_settings(store.port, [h.peer for h in hosts[:3]], ZONES)
    low, high = STOP_RANGE
    loop = asyncio.get_running_loop()
    for number in range(STOPS):
        host = hosts[number % MACHINES]
        host.killed = False
        next_at = loop.time() + GAP_S
        for index in range(CLIENTS_PER_HOST):
            name = f"{number}-{index}"
            client = standins.KeptClient(host, name, record)
            clients.append(client)
            senders.append(asyncio.create_task(connect_and_send(client)))
        at_s = start_s * (low + (high - low) * number / STOPS)
        await stop_host(record, host, at_s, trouble)
        killed += host.killed
        # Their clients see the end of the connections.
        await asyncio.sleep(0.2)
        for sender in senders[-CLIENTS_PER_HOST:]:
            sender.cancel()
        await asyncio.sleep(max(0.0, next_at - loop.time()))
    ran = {name for searcher in searchers for name in searcher.runs}
    lost = [c.lost for c in clients if c.lost in ran]
    record.write(
        f"{STOPS} hosts told to stop, {killed} killed at the end of the grace;"
        f" {len(lost)} requests at sound searchers ended without an answer"
    )
    return not lost


standins.main(case)
