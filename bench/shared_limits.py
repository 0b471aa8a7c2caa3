"""Measures the division of limits and quotas among hosts.

Prints how far hosts together use the limit of a searcher, by simulation, the
processor time that an allocator takes to answer a host, and how far they use
and exceed the quotas of client accounts.

Usage: python -m bench.shared_limits
"""

import functools
import time

from bench.account_quotas import print_quotas
from kumquatspur.border import packing
from kumquatspur.border.share_codec import (
    LeasedShare,
    ShareNeed,
    ShareReply,
    ShareRequest,
)
from kumquatspur.policy.limit_shares import ShareAsk, ShareLedger
from standins.limit_rule import WINDOW_S, most_in_window
from standins.limit_simulation import (
    COLD_EXTRA_REQUESTS,
    COLD_FACTOR,
    LimitSimulation,
)

SEEDS = range(5)
SETTLE_S = 4.0
MEASURED_S = 20.0
GROWTH_AT_S = 112.0
# Hosts, limit per second, and requests per second at a host and time.
LOADS = {
    "9 hosts alike, 45/s": (9, 15.0, lambda host, now: 5.0),
    "all 45/s at one of 9 hosts": (
        9,
        15.0,
        lambda host, now: 45.0 if host == 4 else 0.0,
    ),
    "45/s move between 9 hosts each 3 s": (
        9,
        15.0,
        lambda host, now: 45.0 if host == int(now / 3.0) % 9 else 0.0,
    ),
    "9/s grow to 135/s at once": (
        9,
        15.0,
        lambda host, now: 1.0 if now < GROWTH_AT_S else 15.0,
    ),
    "9 hosts, limit of 1/s": (9, 1.0, lambda host, now: 5.0),
    "91 hosts alike, 82/s": (91, 13.0, lambda host, now: 0.9),
    "195 hosts alike, 98/s": (195, 10.0, lambda host, now: 0.5),
    "60/s at 15 of 195 hosts": (
        195,
        10.0,
        lambda host, now: 4.0 if host % 13 == 0 else 0.0,
    ),
}

COLD_WARMUP_S = 12.0
# Hosts, cold rate per second, and requests per second at a host and time, for a
# searcher of a zone that comes back. Its requests begin at once.
COLD_LOADS = {
    "9 hosts alike, 270/s": (9, 10.0, lambda host, now: 30.0),
    "9 hosts alike, 9/s": (9, 10.0, lambda host, now: 1.0),
    "9 hosts, cold rate of 2/s": (9, 2.0, lambda host, now: 10.0),
    "270/s at one of 9 hosts": (
        9,
        10.0,
        lambda host, now: 270.0 if host == 4 else 0.0,
    ),
    "270/s move between 9 hosts each 3 s": (
        9,
        10.0,
        lambda host, now: 270.0 if host == int(now / 3.0) % 9 else 0.0,
    ),
    "all requests of 2 s in a tenth of a second": (
        68,
        10.0,
        lambda host, now: 20.0 if now % 2.0 < 0.1 else 0.0,
    ),
    "68 hosts alike, 136/s": (68, 10.0, lambda host, now: 2.0),
    "68 hosts alike, cold rate of 40/s": (68, 40.0, lambda host, now: 2.0),
    "195 hosts alike, 98/s": (195, 10.0, lambda host, now: 0.5),
}
COLD_SEEDS = range(20)
# Of 9 hosts with 270/s: those that stop, for how long, and whether they know
# nothing afterwards. Host 0 is the allocator.
COLD_FAULTS = {
    "all hosts restart": (range(9), 1.0, True),
    "allocator restarts": ((0,), 2.0, True),
    "6 of 9 hosts join": (range(3, 9), 5.0, True),
    "4 of 9 hosts freeze for 1.5 s": ((0, 3, 4, 5), 1.5, False),
    "4 of 9 hosts freeze for 4 s": ((0, 3, 4, 5), 4.0, False),
}
FAULT_AFTER_S = 5.0


def _answer(ledger: ShareLedger, data: bytes, now: float) -> bytes:
    """Answers a host as `wire.share_exchange` does, without the HTTP server."""
    request = packing.unpack(data, ShareRequest)
    asks = {n.searcher: ShareAsk(n.per_s, n.held) for n in request.needs}
    granted = ledger.renew(request.host, asks, now)
    shares = tuple(
        LeasedShare(searcher=name, share=share)
        for name, share in granted.items()
    )
    return packing.pack(ShareReply(lease_s=2.0, renew_s=0.5, shares=shares))


def _answer_us(hosts: int, searchers: int) -> float:
    """Returns the processor time of an answer in microseconds.

    Args:
        hosts: Hosts that hold leases.
        searchers: Limited searchers that each host asks about.
    """
    ledger = ShareLedger()
    messages = [
        packing.pack(
            ShareRequest(
                host=f"front-{host}",
                needs=tuple(
                    ShareNeed(searcher=f"i-{item}", per_s=1.0, held=0.01)
                    for item in range(searchers)
                ),
            )
        )
        for host in range(hosts)
    ]
    for data in messages:
        _answer(ledger, data, 1.0)
    began = time.process_time()
    for data in messages:
        _answer(ledger, data, 1.5)
    return (time.process_time() - began) / hosts * 1e6


def print_costs() -> None:
    """Prints the processor time of an allocator's answers."""
    print("| hosts | limited searchers of the zone | us an answer |")
    print("| --- | --- | --- |")
    for hosts in (9, 195):
        for searchers in (1, 40):
            cost_us = _answer_us(hosts, searchers)
            print(f"| {hosts} | {searchers} | {cost_us:.0f} |")


def print_use() -> None:
    """Prints how far limits are used."""
    print("| load | limit/s | most in 4 s, of 4 limits | used, of the limit |")
    print("| --- | --- | --- | --- |")
    for name, (count, limit, rate) in LOADS.items():
        most, used = [], []
        for seed in SEEDS:
            simulation = LimitSimulation(count, limit, rate, seed)
            simulation.run(SETTLE_S)
            start = simulation.now
            simulation.run(MEASURED_S)
            found = most_in_window(simulation.arrivals, start)
            most.append(found / (WINDOW_S * limit))
            used.append(simulation.rate_between(start, simulation.now) / limit)
        mean_used = sum(used) / len(used)
        print(f"| {name} | {limit:g} | {max(most):.2f} | {mean_used:.2f} |")


def print_cold_use() -> None:
    """Prints what a searcher gets that comes back cold."""
    print(
        "| load | cold rate/s | most in 1 s, of the bound | seeds above it "
        "| used, of the cold rate |"
    )
    print("| --- | --- | --- | --- | --- |")
    for name, load in COLD_LOADS.items():
        _print_cold(name, load, lambda simulation: None)
    load = next(iter(COLD_LOADS.values()))
    for name, fault in COLD_FAULTS.items():
        _print_cold(name, load, functools.partial(_stop_hosts, fault=fault))
    _print_cold("hosts are split, 5 and 4, for 5 s", load, _split_hosts)


def _stop_hosts(simulation: LimitSimulation, fault) -> None:
    numbers, seconds, restart = fault
    for number in numbers:
        simulation.hosts[number].up = False
    simulation.run(seconds)
    for number in numbers:
        simulation.hosts[number].up = True
        if restart:
            simulation.restart(number)


def _split_hosts(simulation: LimitSimulation) -> None:
    for number in range(5, 9):
        simulation.hosts[number].group = 1
    simulation.run(5.0)
    for number in range(5, 9):
        simulation.hosts[number].group = 0


def _print_cold(name: str, load, fault) -> None:
    count, cold_per_s, rate = load
    bound = cold_per_s * COLD_FACTOR + COLD_EXTRA_REQUESTS
    most, used = [], []
    for seed in COLD_SEEDS:
        simulation = LimitSimulation(count, None, rate, seed)
        start = simulation.now
        simulation.set_cold(cold_per_s, COLD_WARMUP_S)
        simulation.run(FAULT_AFTER_S)
        fault(simulation)
        simulation.run(simulation.cold.until - simulation.now)
        most.append(simulation.most_while_cold(start) / bound)
        used.append(simulation.rate_between(start, simulation.now) / cold_per_s)
    above = sum(share > 1.0 for share in most)
    mean_used = sum(used) / len(used)
    print(
        f"| {name} | {cold_per_s:g} | {max(most):.2f} | "
        f"{above} of {len(most)} | {mean_used:.2f} |"
    )


def main() -> None:
    """Prints all tables."""
    print_use()
    print()
    print_cold_use()
    print()
    print_costs()
    print()
    print_quotas()


if __name__ == "__main__":
    main()
