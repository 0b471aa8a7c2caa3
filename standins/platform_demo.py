"""Demonstration of entry hosts on the platform; run by `make demo-platform`.

Six entry hosts in three availability zones serve requests while a host is
killed, a searcher says that it leaves, another one asks for a pause, a third
one sends bytes without end, all searchers of a shard are removed, the store is
unresponsive, and it comes back from an older copy.
"""

import eventlet

eventlet.monkey_patch()

import collections  # noqa: E402
import pathlib  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

from kumquatspur.scripts.day_command import run_day  # noqa: E402
from kumquatspur.scripts.kumquatspur import DayCommand  # noqa: E402
from standins.platform_deployment import (  # noqa: E402
    READY_WAIT_S,
    SHARDS,
    PlatformDeployment,
    send_request,
    wait_until,
)

BUILD = pathlib.Path("build/demo-platform")
ZONES = ("z1", "z2", "z3")
HOSTS_PER_ZONE = 2
REQUESTS = 60
CONCURRENT = 6


def serve(deployment: PlatformDeployment, title: str) -> bool:
    """Sends requests to all running hosts and prints the outcomes.

    Args:
        deployment: The deployment.
        title: The heading printed above the outcomes.

    Returns:
        Whether all requests were answered with status 200.
    """
    hosts = [host for host in deployment.hosts.values() if host.is_running()]
    paths = ("/all/x", "/all/y", "/one/z")

    def send(number: int) -> str:
        host = hosts[number % len(hosts)]
        path = paths[number % len(paths)]
        reply = send_request(host, path, f"{title}-{number}".replace(" ", "-"))
        if reply is None:
            return "no response"
        status, fields, _ = reply
        if "kumquatspur-missing-parts" not in fields:
            return f"{status}"
        missing = int(fields["kumquatspur-missing-parts"])
        return f"{status}, {len(SHARDS) - missing} of {len(SHARDS)} shards"

    pool = eventlet.GreenPool(CONCURRENT)
    outcomes = collections.Counter(pool.imap(send, range(REQUESTS)))
    print(f"\n{title}: {REQUESTS} requests to {len(hosts)} hosts")
    for outcome, count in sorted(outcomes.items()):
        print(f"  {outcome}: {count}")
    return all(outcome.startswith("200") for outcome in outcomes)


def main() -> int:
    """Runs the demonstration.

    Returns:
        The exit code.
    """
    shutil.rmtree(BUILD, ignore_errors=True)
    deployment = PlatformDeployment(BUILD, ZONES, HOSTS_PER_ZONE)
    try:
        deployment.start()
        answered = serve(deployment, "calm")

        victim = deployment.hosts["z1-0"]
        victim.signal(signal.SIGKILL)
        victim.wait_for_exit()
        answered &= serve(deployment, "one host killed")
        victim.start()
        wait_until(victim.is_ready, READY_WAIT_S)

        first, second, third = (
            deployment.searchers[f"i-{SHARDS[1]}-{zone}"] for zone in ZONES
        )
        first.leaving = True
        answered &= serve(deployment, "one searcher leaves")
        first.leaving = False
        first.register(deployment.store, born=1)
        second.script.append("pause")
        third.script.append("endless_header_lines")
        answered &= serve(deployment, "one pauses and one sends without end")

        for zone in ZONES:
            name = f"i-{SHARDS[0]}-{zone}"
            deployment.searchers[name].close()
            deployment.store.remove(f"servers/{name}")
        answered &= serve(deployment, "one shard lost")

        copy = deployment.store.copy()
        deployment.replace_marker_route()
        deployment.store.unresponsive = True
        answered &= serve(deployment, "store silent")
        deployment.store.restore(copy)
        deployment.store.unresponsive = False
        answered &= serve(deployment, "store restored from a copy")
    finally:
        deployment.stop()
    print(f"\n$ kumquatspur report day {BUILD / 'logs'}")
    run_day(DayCommand(str(BUILD / "logs"), html=str(BUILD / "day.html")))
    print(f"\nplots: {BUILD / 'day.html'}")
    return 0 if answered else 1


if __name__ == "__main__":
    sys.exit(main())
