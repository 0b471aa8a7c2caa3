"""HEAD requests for a service that has lost its searchers."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
SETTLE_S = 4.0
HEARTBEAT_S = 1.2
ROUNDS = 10
PAUSE_S = 0.2


class KeptClient:
    """A client that reads answers strictly as HTTP/1.1 has them.

    Attributes:
        foreign: How often it got bytes that are no answer.
    """

    def __init__(self, port: int, record):
        self.port, self.record = port, record
        self.streams = None
        self.sent = 0
        self.foreign = 0

    async def send(self, method: str, path: str) -> None:
        """Sends a request on the kept connection, and reads its answer."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(
                standins.LOOPBACK, self.port
            )
        reader, writer = self.streams
        request_id = f"{method.lower()}{self.sent:04d}"
        self.sent += 1
        writer.write(
            f"{method} {path} HTTP/1.1\r\n"
            f"Host: {standins.HOST_NAME}\r\n"
            f"Kumquatspur-Attempt-Id: {request_id}\r\n"
            "Kumquatspur-Deadline-Ms: 600\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(standins.read_head(reader), 2.0)
        line = head[0] if head else "end of the connection"
        self.record.write(f"client: {request_id} {method} {path}: {line!r}")
        if head is not None and not line.startswith("HTTP/1.1 "):
            self.foreign += 1
        if head is None or not line.startswith("HTTP/1.1 "):
            writer.close()
            self.streams = None
            return
        # RFC 9110, 9.3.2: an answer to HEAD has no content.
        if method != "HEAD":
            await standins.read_body(reader, head[1])


async def answer_head(searcher, line, fields, body, writer) -> bool:
    """Runs a request; the answer to HEAD has no content."""
    if not line.startswith("HEAD "):
        return await standins.sound_answer(searcher, line, fields, body, writer)
    if searcher.misdirected(fields, writer):
        return True
    request_id = searcher.run(fields)
    reply = searcher.reply(200, request_id, b"100 bytes of a report")
    writer.write(reply[: reply.index(b"\r\n\r\n") + 4])
    return True


async def case(record, folder, hosts, trouble) -> bool:
    """Sends HEAD and GET requests in turn on one connection."""
    store = standins.Store(record)
    await store.start()
    named = {}
    for service in ("buyer-ledger", "member-portal"):
        for number in range(3):
            searcher = standins.Searcher(
                f"i-{service}-{number}", service, ZONES[number], record
            )
            searcher.answer = answer_head
            await searcher.start()
            searcher.register(store)
            named[searcher.name] = searcher
    routes = [
        standins.route("audit", "/audit/", service="buyer-ledger"),
        standins.route("portal", "/portal/", service="member-portal"),
    ]
    store.put("op/config", standins.config(1, routes))
    host = standins.Host("front-angus-1", "angus", folder)
    hosts.append(host)
    host.write_settings(store.port, [host.peer], ZONES)
    await host.start()
    await host.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    if trouble:
        for number in range(3):
            named[f"i-buyer-ledger-{number}"].stop()
        await asyncio.sleep(3 * HEARTBEAT_S)
        for number in range(3):
            store.remove(f"servers/i-buyer-ledger-{number}")
        await asyncio.sleep(SETTLE_S)

    client = KeptClient(host.front, record)
    for number in range(ROUNDS):
        await client.send("HEAD", f"/audit/{number}")
        await client.send("GET", f"/portal/{number}")
        await asyncio.sleep(PAUSE_S)
    record.write(f"{client.foreign} of {client.sent} answers are no answers")
    return client.foreign == 0


standins.main(case)
