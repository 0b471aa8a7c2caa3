"""Another writer's entry under the key of a searcher that has crashed."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
HEARTBEAT_S = 1.2
SETTLE_S = 4.0
WORK_S = 0.2
CLIENTS_PER_HOST = 8
# RULES.md, LOST: more than three times.
MOST_LOST = 3
# "writer": another writer's entry, with a service that is named nowhere.
# "restart": the searcher starts again under its identifier, for another
# service.
VARIANT = os.environ.get("VARIANT", "writer")


class KeptClient:
    """A client that sends one request after the other on one connection."""

    def __init__(self, host, number: int, record):
        self.host, self.number, self.record = host, number, record
        self.answered = 0
        self.in_flight = None
        self.lost = None

    async def run(self) -> None:
        """Sends requests until the connection ends."""
        reader, writer = await asyncio.open_connection(
            standins.LOOPBACK, self.host.front
        )
        try:
            while True:
                request_id = f"{self.host.name}-{self.number}-{self.answered}"
                self.in_flight = request_id
                writer.write(
                    f"GET /desk/{request_id} HTTP/1.1\r\n"
                    f"Host: {standins.HOST_NAME}\r\n"
                    f"Kumquatspur-Attempt-Id: {request_id}\r\n"
                    "Kumquatspur-Deadline-Ms: 1200\r\n\r\n".encode()
                )
                head = await standins.read_head(reader)
                if head is None:
                    self.lost = request_id
                    self.record.write(f"client: {request_id} connection ended")
                    return
                await standins.read_body(reader, head[1])
                self.answered += 1
                if not head[0].startswith("HTTP/1.1 200"):
                    self.record.write(f"client: {request_id} {head[0]}")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.lost = self.in_flight
            self.record.write(f"client: {self.in_flight} connection reset")
        finally:
            writer.close()


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
        KeptClient(host, number, record)
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
    return judge(record, hosts, clients, named)


async def crash_searchers(record, store, named, trouble) -> None:
    """Crashes all searchers of a service; then one key is written again."""
    crashed = [named["i-buyer-ledger-0"], named["i-buyer-ledger-1"]]
    for searcher in crashed:
        record.write(f"{searcher.name} crashes")
        searcher.stop()
    await asyncio.sleep(3 * HEARTBEAT_S)
    for searcher in crashed:
        store.remove(f"servers/{searcher.name}")
    await asyncio.sleep(1.0)
    first = crashed[0]
    if trouble and VARIANT == "writer":
        record.write("another writer: an entry with an unknown service")
        store.put(f"servers/{first.name}", first.entry(service="unlisted"))
    if trouble and VARIANT == "restart":
        record.write(f"{first.name} starts again, for member-portal")
        first.service = "member-portal"
        await first.start()
        first.register(store)
    await asyncio.sleep(3.0)


def judge(record, hosts, clients, named) -> bool:
    """Returns whether the rule LOST held."""
    ran = {name for searcher in named.values() for name in searcher.runs}
    held = True
    for host in hosts:
        lost = [
            client.lost
            for client in clients
            if client.host is host and client.lost in ran
        ]
        answered = sum(c.answered for c in clients if c.host is host)
        ended = "runs" if host.is_running() else "has ended by itself"
        record.write(
            f"{host.name}: {answered} answered, {len(lost)} passed on and"
            f" ended without an answer; its process {ended}"
        )
        if not host.is_running():
            tail = host.log_path.read_text(errors="replace").splitlines()[-3:]
            record.write(f"{host.name}: last output {tail}")
        held = held and len(lost) <= MOST_LOST
    return held


standins.main(case)
