"""Measures how hosts share the quotas of client accounts, by simulation.

Used by `bench.shared_limits`. Most accounts are at 1/1.6 of their quota, each
with clients at a few hosts. One sends several times its rate for 8 s.
"""

import dataclasses

from kumquatspur.core.routing import Account
from standins.quota_rule import allowed, most_in_window
from standins.quota_simulation import QuotaSimulation

HOSTS_OF_ACCOUNT = 3
USUAL_PART = 1.0 / 1.6
BURST = (108.0, 116.0)
END = 124.0
BIG = Account("big", rate_per_s=40.0, burst=40.0)


@dataclasses.dataclass(frozen=True)
class QuotaLoad:
    """One line of the table.

    Attributes:
        hosts: Number of hosts.
        accounts: Number of accounts.
        simulated: Number of accounts that are simulated. The messages of small
            accounts are scaled to all of them.
        spread: Hosts that get the requests of the large account.
        factor: Its requests in the burst, as a multiple of its rate.
    """

    hosts: int
    accounts: int
    simulated: int
    spread: int
    factor: float


LOADS = (
    QuotaLoad(9, 76, 76, 9, 4.0),
    QuotaLoad(68, 76, 76, 20, 7.5),
    QuotaLoad(68, 76, 76, 60, 7.5),
    QuotaLoad(195, 2_000, 2_000, 60, 7.5),
    QuotaLoad(2_600, 100_000, 2_000, 60, 7.5),
)


def _small(number: int) -> Account:
    rate = (0.2, 0.5, 0.8, 2.0)[number % 4]
    return Account(f"a{number}", rate_per_s=rate, burst=1.0 + 2.0 * rate)


def _run(load: QuotaLoad, is_cut: bool) -> str:
    accounts = [_small(number) for number in range(load.simulated - 1)]
    simulation = QuotaSimulation(load.hosts, (BIG, *accounts), 7)
    numbers = simulation.random

    def chooser(count):
        homes = numbers.sample(range(load.hosts), min(count, load.hosts))
        return lambda: numbers.choice(homes)

    for account in accounts:
        simulation.load(
            account.name,
            account.rate_per_s * USUAL_PART,
            chooser(HOSTS_OF_ACCOUNT),
            100.0,
            END,
        )
    choose = chooser(load.spread)
    begin, end = BURST
    rate = BIG.rate_per_s
    simulation.load("big", rate * USUAL_PART, choose, 100.0, begin)
    simulation.load("big", rate * load.factor, choose, begin, end)
    simulation.load("big", rate * USUAL_PART, choose, end, END)
    if is_cut:
        simulation.at(begin, simulation.cut, 1)
        simulation.at(begin + 6.0, simulation.heal, 1)
    simulation.run(END - 100.0)
    sent = simulation.sent["big"]
    most = most_in_window(sent) / allowed(rate, BIG.burst)
    used = sum(begin + 2.0 <= at < end for at in sent) / 6.0 / rate
    small_sent = sum(len(simulation.sent[a.name]) for a in accounts)
    small_refused = sum(len(simulation.refused[a.name]) for a in accounts)
    refused = small_refused / (small_sent + small_refused)
    seconds = END - 100.0
    scale = load.accounts / load.simulated / load.hosts / seconds
    messages = sum(host.messages for host in simulation.hosts) * scale
    size = sum(host.message_bytes for host in simulation.hosts) * scale
    busiest = max(host.message_bytes for host in simulation.hosts) / seconds
    worst = max(
        most_in_window(simulation.sent[a.name]) / allowed(a.rate_per_s, a.burst)
        for a in accounts
    )
    return (
        f"| {load.hosts} | {load.accounts} | {load.spread} | {load.factor:g} "
        f"| {'yes' if is_cut else 'no'} | {used:.2f} | {most:.2f} "
        f"| {worst:.2f} | {100.0 * refused:.2f} | {messages:.1f} "
        f"| {size / 1e3:.2f} | {busiest / 1e3:.1f} |"
    )


def print_quotas() -> None:
    """Prints how far quotas are used and exceeded, and the messages."""
    print(
        "| hosts | accounts | hosts of the large account | times its rate "
        "| zone cut | used, of its rate | most in 5 s, of the bound "
        "| the same, small accounts | small requests refused, % "
        "| messages/s a host | KB/s a host | KB/s of the busiest |"
    )
    print("|" + " --- |" * 12)
    for load in LOADS:
        for is_cut in (False, True):
            print(_run(load, is_cut), flush=True)
