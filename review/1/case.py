"""One searcher sends an answer without end; callers of all others wait."""

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
AUDIT_INTERVAL_S = 0.25
LENGTH_S = 15.0
SETTLE_S = 4.0
# A few late answers may have other causes.
LEAST_REQUESTS = 20


async def start_endless_searcher() -> tuple[asyncio.subprocess.Process, int]:
    """Starts the searcher in trouble; returns its process and its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(pathlib.Path(standins.__file__).with_name("endless.py")),
        stdout=asyncio.subprocess.PIPE,
    )
    return process, int(await process.stdout.readline())


async def case(record, folder, hosts, trouble) -> bool:
    """Sends quick requests, and slow ones that meet the searcher in trouble."""
    store = standins.Store(record)
    await store.start()
    searchers = []
    for service, count in (("fan-desk", 6), ("buyer-ledger", 10)):
        for number in range(count):
            searcher = standins.Searcher(
                f"i-{service}-{number}", service, ZONES[number % 3], record
            )
            await searcher.start()
            searchers.append(searcher)
    endless = None
    if trouble:
        endless, searchers[-1].port = await start_endless_searcher()
    for searcher in searchers:
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
    host = standins.Host("front-angus-1", "angus", folder)
    hosts.append(host)
    host.write_settings(store.port, [host.peer], ZONES)
    try:
        await host.start()
        await host.wait_until_ready()
        # The machine is in touch contact-ms after its start.
        await asyncio.sleep(SETTLE_S)
        return await judge(record, host)
    finally:
        if endless is not None:
            endless.kill()
            await endless.wait()


async def judge(record, host) -> bool:
    """Sends the requests; returns whether the rule held."""
    answers = []

    async def call(number: int, path: str, timeout_s: float, kept: list):
        request_id = f"{path[1:5]}{number:06d}"
        answer = await standins.send(
            host.front,
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
    return (
        len(unanswered) < LEAST_REQUESTS
        or 2 * len(unanswered) <= len(open_at_timeout)
    )


standins.main(case)
