"""Some answers have no end; the hosts run out of memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("cdmx-a", "cdmx-b", "cdmx-c")
MEMORY_MB = 200
CHUNK_BYTES = 2
TIMEOUT_S = 5.0
INTERVAL_S = 0.02
LENGTH_S = 60.0
# Searchers in trouble, of ten, and which of their answers have no end.
GARBLING = 5
EVERY = 50
SETTLE_S = 4.0
MEMORY_CHECK_S = 0.02
RESTART_DELAY_S = 1.0
# RULES.md, Fault: two machines at least, three times.
LEAST_MACHINES = 2
MOST_ENDS = 2


class Platform:
    """Ends and restarts processes as DEPLOY.md says.

    Attributes:
        ends: How often each host's process exceeded its memory, or exited.
        peaks: The greatest memory seen of each host, in MB.
    """

    def __init__(self, hosts, record):
        self.hosts, self.record = hosts, record
        self.ends = dict.fromkeys((host.name for host in hosts), 0)
        self.peaks = dict.fromkeys((host.name for host in hosts), 0.0)

    async def watch(self, host) -> None:
        """Watches one host."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            used = host.memory_mb()
            self.peaks[host.name] = max(self.peaks[host.name], used)
            if host.is_running() and used <= MEMORY_MB:
                continue
            self.record.write(f"platform: {host.name} uses {used:.0f} MB")
            await host.end()
            self.ends[host.name] += 1
            await asyncio.sleep(RESTART_DELAY_S)
            await host.start()


async def case(record, folder, hosts, trouble) -> bool:
    """Sends requests to a service with searchers in trouble."""
    store = standins.Store(record)
    await store.start()
    searchers = []
    for number in range(10):
        searchers.append(
            standins.GarblingSearcher(
                f"i-portal-{number}",
                "florist-portal",
                ZONES[number % 3],
                record,
            )
        )
        every = EVERY if trouble and number < GARBLING else 0
        await searchers[-1].start_process(CHUNK_BYTES, every)
        searchers[-1].register(store)
    stock = standins.route(
        "stock",
        "/stock/",
        service="florist-portal",
        **{"timeout-ms": 5000, "target-latency-ms": 800},
    )
    store.put("op/config", standins.config(1, [stock]))
    for zone in ZONES:
        hosts.append(standins.Host(f"front-{zone}-1", zone, folder))
    watches = []
    try:
        for host in hosts:
            peers = [other.peer for other in hosts]
            host.write_settings(store.port, peers, ZONES, MEMORY_MB)
            await host.start()
        for host in hosts:
            await host.wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        platform = Platform(hosts, record)
        watches = [asyncio.create_task(platform.watch(h)) for h in hosts]
        await send_requests(record, hosts)
    finally:
        for task in watches:
            task.cancel()
        for searcher in searchers:
            await searcher.end()
    for host in hosts:
        record.write(
            f"{host.name}: over {MEMORY_MB} MB {platform.ends[host.name]}"
            f" times, at most {platform.peaks[host.name]:.0f} MB"
        )
    often = sum(count > MOST_ENDS for count in platform.ends.values())
    return often < LEAST_MACHINES


async def send_requests(record, hosts) -> None:
    """Sends requests to the hosts in turn."""

    async def call(number: int, host) -> None:
        request_id = f"stock{number:05d}"
        answer = await standins.send(
            host.front, "GET", f"/stock/{number}", request_id, TIMEOUT_S
        )
        record.write(f"client: {request_id} to {host.name}: {answer}")

    tasks = []
    for number in range(int(LENGTH_S / INTERVAL_S)):
        host = hosts[number % len(hosts)]
        tasks.append(asyncio.create_task(call(number, host)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


standins.main(case)
