"""A new configuration raises a limit while clients keep their connections."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
SETTLE_S = 4.0
CONFIG_APPLY_S = 3.0
CLIENTS = 20
SMALL_BODY = b"x" * 1000
LARGE_BODY = b"x" * 32_000
OLD_LIMIT = 16_384
NEW_LIMIT = 65_536
# RULES.md, DENIED: more than 5 + one in 500 of all requests.
MOST_DENIED = 5
DENIED_RATIO = 1 / 500


class KeptClient:
    """A client that keeps its connection while the host lets it."""

    def __init__(self, host, number: int, record):
        self.host, self.number, self.record = host, number, record
        self.sent = 0
        self.statuses = []
        self.streams = None

    async def send(self, body: bytes) -> None:
        """Sends a request, on the kept connection if there is one."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(
                standins.LOOPBACK, self.host.front
            )
        reader, writer = self.streams
        request_id = f"audit-{self.number}-{self.sent}"
        self.sent += 1
        writer.write(
            f"POST /audit/{request_id} HTTP/1.1\r\n"
            f"Host: {standins.HOST_NAME}\r\n"
            f"Kumquatspur-Attempt-Id: {request_id}\r\n"
            "Kumquatspur-Deadline-Ms: 2000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        head = await standins.read_head(reader)
        status, fields = 0, {}
        if head is not None:
            status, fields = int(head[0].split()[1]), head[1]
            await standins.read_body(reader, fields)
        self.statuses.append(status)
        self.record.write(f"client: {request_id} {len(body)} bytes: {status}")
        if head is None or fields.get("connection") == "close":
            writer.close()
            self.streams = None


async def case(record, folder, hosts, trouble) -> bool:
    """Raises max-body-bytes; long after, clients send longer bodies."""
    store = standins.Store(record)
    await store.start()
    for number in range(3):
        searcher = standins.Searcher(
            f"i-ledger-{number}", "buyer-ledger", ZONES[number], record
        )
        await searcher.start()
        searcher.register(store)
    audit = standins.route(
        "audit", "/audit/", service="buyer-ledger", **{"timeout-ms": 2000}
    )
    first = standins.config(1, [audit])
    first["limits"]["max-body-bytes"] = OLD_LIMIT if trouble else NEW_LIMIT
    store.put("op/config", first)
    host = standins.Host("front-angus-1", "angus", folder)
    hosts.append(host)
    host.write_settings(store.port, [host.peer], ZONES)
    await host.start()
    await host.wait_until_ready()
    await asyncio.sleep(SETTLE_S)

    clients = [KeptClient(host, number, record) for number in range(CLIENTS)]
    await asyncio.gather(*(c.send(SMALL_BODY) for c in clients))
    second = standins.config(2, [audit])
    second["limits"]["max-body-bytes"] = NEW_LIMIT
    store.put("op/config", second)
    # Twice config-apply-ms, with requests on the kept connections.
    for _ in range(4):
        await asyncio.sleep(CONFIG_APPLY_S / 2)
        await asyncio.gather(*(c.send(SMALL_BODY) for c in clients))
    for _ in range(2):
        await asyncio.gather(*(c.send(LARGE_BODY) for c in clients))
    sent = sum(c.sent for c in clients)
    denied = sum(c.statuses.count(413) for c in clients)
    record.write(f"{denied} of {sent} requests were answered with 413")
    return denied <= MOST_DENIED + DENIED_RATIO * sent


standins.main(case)
