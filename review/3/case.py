"""A request crashes each searcher that runs it, after part of an answer."""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
CONTACT_S = 4.0
# The searcher is back after some seconds.
DOWN_S = 3.0
RETRY_INTERVAL_S = 3.0
RETRIES = 12
HARMFUL = "/audit/harmful"
# RULES.md, BUDGET: the third searcher, and more than three retries.
CRASHES = 3
MOST_RETRIES = 3
# "partial": the searcher has sent part of its answer when it crashes.
# "silent": it has sent nothing.
VARIANT = os.environ.get("VARIANT", "partial")


class FragileSearcher(standins.Searcher):
    """A searcher that a harmful request crashes.

    Attributes:
        crashed_at: When it crashed.
    """

    crashes: list

    async def crash(self) -> None:
        """Ends all connections, and starts again some seconds later."""
        self.record.write(f"searcher {self.name}: crashes")
        self.crashes.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.server = await asyncio.start_server(
            self._serve, standins.LOOPBACK, self.port
        )
        self.record.write(f"searcher {self.name}: is back")


async def fragile_answer(searcher, line, fields, body, writer) -> bool:
    """Runs a request; a harmful one crashes the searcher."""
    if HARMFUL not in line:
        return await standins.sound_answer(searcher, line, fields, body, writer)
    if searcher.misdirected(fields, writer):
        return True
    request_id = searcher.run(fields)
    await asyncio.sleep(searcher.work_s)
    if VARIANT == "partial":
        reply = searcher.reply(200, request_id, b"x" * 4000)
        writer.write(reply[:-2000])
        await writer.drain()
        await asyncio.sleep(searcher.work_s)
    searcher.restart = asyncio.create_task(searcher.crash())
    return False


async def case(record, folder, hosts, trouble) -> bool:
    """Sends one request again and again, beside others."""
    store = standins.Store(record)
    await store.start()
    searchers, crashes = [], []
    for number in range(9):
        searcher = FragileSearcher(
            f"i-ledger-{number}", "buyer-ledger", ZONES[number % 3], record
        )
        searcher.crashes = crashes
        if trouble:
            searcher.answer = fragile_answer
        await searcher.start()
        searcher.register(store)
        searchers.append(searcher)
    audit = standins.route(
        "audit",
        "/audit/",
        service="buyer-ledger",
        **{"timeout-ms": 2000, "target-latency-ms": 800},
    )
    store.put("op/config", standins.config(1, [audit]))
    for zone in ZONES:
        hosts.append(standins.Host(f"front-{zone}-1", zone, folder))
    for host in hosts:
        host.write_settings(store.port, [h.peer for h in hosts], ZONES)
        await host.start()
    for host in hosts:
        await host.wait_until_ready()
    await asyncio.sleep(CONTACT_S)

    others = asyncio.create_task(send_others(record, hosts))
    retries = []
    for number in range(RETRIES):
        request_id = f"harmful{number:03d}"
        sent_at = time.monotonic()
        host = hosts[number % len(hosts)]
        answer = await standins.send(
            host.front, "GET", HARMFUL, request_id, 2.0, 2.5
        )
        ran = sum(request_id in item.runs for item in searchers)
        record.write(
            f"client: {request_id} to {host.name}: {answer};"
            f" reached {ran} searchers"
        )
        if ran:
            retries.append(sent_at)
        await asyncio.sleep(RETRY_INTERVAL_S)
    others.cancel()
    if len(crashes) < CRASHES:
        record.write(f"{len(crashes)} searchers crashed")
        return True
    counted = [at for at in retries if at > crashes[CRASHES - 1] + CONTACT_S]
    record.write(
        f"{len(crashes)} crashes; {len(counted)} retries reached searchers"
        f" later than {CONTACT_S} s after the third"
    )
    return len(counted) <= MOST_RETRIES


async def send_others(record, hosts) -> None:
    """Sends harmless requests."""
    number = 0
    while True:
        request_id = f"audit{number:04d}"
        host = hosts[number % len(hosts)]
        answer = await standins.send(
            host.front, "GET", f"/audit/{number}", request_id, 2.0
        )
        if answer.status != 200:
            record.write(f"client: {request_id} {answer}")
        number += 1
        await asyncio.sleep(0.05)


standins.main(case)
