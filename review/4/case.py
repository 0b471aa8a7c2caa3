"""Some answers of one service have no end; callers of another one wait."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

import standins

ZONES = ("angus", "fife", "moray")
DESK_TIMEOUT_S = 0.5
AUDIT_TIMEOUT_S = 5.0
# RULES.md, CONFIG: an answer is due half a second after the route's timeout.
LATE_S = 0.5
DESK_INTERVAL_S = 0.05
AUDIT_INTERVAL_S = 0.025
LENGTH_S = 40.0
# Searchers in trouble, of ten, and which of their answers have no end.
GARBLING = 3
EVERY = 50
SETTLE_S = 4.0
# A few late answers may have other causes.
LEAST_REQUESTS = 8
CHUNK_BYTES = 1


async def case(record, folder, hosts, trouble) -> bool:
    """Sends quick requests, and others to searchers in trouble."""
    store = standins.Store(record)
    await store.start()
    garbling = []
    for number in range(6):
        searcher = standins.Searcher(
            f"i-desk-{number}", "fan-desk", ZONES[number % 3], record
        )
        await searcher.start()
        searcher.register(store)
    for number in range(10):
        searcher = standins.GarblingSearcher(
            f"i-ledger-{number}", "buyer-ledger", ZONES[number % 3], record
        )
        every = EVERY if trouble and number < GARBLING else 0
        await searcher.start_process(CHUNK_BYTES, every)
        garbling.append(searcher)
        searcher.register(store)
    routes = [
        standins.route(
            "desk",
            "/desk/",
            service="fan-desk",
            **{"timeout-ms": 500, "target-latency-ms": 95},
        ),
        standins.route(
            "audit",
            "/audit/",
            service="buyer-ledger",
            **{"timeout-ms": 5000, "target-latency-ms": 800},
        ),
    ]
    store.put("op/config", standins.config(1, routes))
    for zone in ZONES:
        hosts.append(standins.Host(f"front-{zone}-1", zone, folder))
    try:
        for host in hosts:
            host.write_settings(store.port, [h.peer for h in hosts], ZONES)
            await host.start()
        for host in hosts:
            await host.wait_until_ready()
        # The machines are in touch contact-ms after their start.
        await asyncio.sleep(SETTLE_S)
        return await judge(record, hosts)
    finally:
        for searcher in garbling:
            await searcher.end()


async def judge(record, hosts) -> bool:
    """Sends the requests; returns whether the rule held."""
    answers = []

    async def call(number: int, path: str, timeout_s: float, kept: list):
        request_id = f"{path[1:5]}{number:06d}"
        answer = await standins.send(
            hosts[number % len(hosts)].front,
            "GET",
            f"{path}{number}",
            request_id,
            timeout_s,
            timeout_s + LATE_S,
        )
        record.write(f"client: {request_id} {answer}")
        kept.append(answer)

    loop = asyncio.get_running_loop()
    began, tasks, audits = loop.time(), [], []
    desk_number = audit_number = 0
    while (now := loop.time() - began) < LENGTH_S:
        if desk_number * DESK_INTERVAL_S <= now:
            task = call(desk_number, "/desk/", DESK_TIMEOUT_S, answers)
            tasks.append(asyncio.create_task(task))
            desk_number += 1
        if audit_number * AUDIT_INTERVAL_S <= now:
            task = call(audit_number, "/audit/", AUDIT_TIMEOUT_S, audits)
            tasks.append(asyncio.create_task(task))
            audit_number += 1
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    open_at_timeout = [a for a in answers if a.seconds >= DESK_TIMEOUT_S]
    unanswered = [a for a in open_at_timeout if not a.status]
    record.write(
        f"desk requests: {len(answers)} sent, {len(open_at_timeout)} open at"
        f" the timeout, {len(unanswered)} of them without an answer"
        f" {LATE_S} s later"
    )
    return len(unanswered) < LEAST_REQUESTS or 2 * len(unanswered) <= len(
        open_at_timeout
    )


standins.main(case)
