"""Measures control-plane cost and reaction times of daemons on loopback."""

import dataclasses
import datetime
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from kumquatspur.core.records import Address
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import StoreClient
from standins.demo import all_ready
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import (
    ADMIN_KEY,
    HOST,
    OSLO,
    ServiceShape,
    daemon_settings,
    searcher_specs,
)

DAEMON_PORT_OFFSET = 300
READY_S = 90.0
SETTLE_S = 6.0
REACTION_S = 10.0
CHANGES = 8
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
DESK_SERVICE = ServiceShape("desk", 4, 3, 2, 25, ("a", "b"))


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a fleet of daemons, as totals at one time.

    Attributes:
        time: Monotonic time, in seconds.
        cpu_s: CPU time of all daemons, in seconds.
        bytes_sent: Bytes sent to peers by all daemons.
        store_calls: Calls received by the store.
    """

    time: float
    cpu_s: float
    bytes_sent: int
    store_calls: int


class Fleet(Deployment):
    """Daemons in several zones, with their stand-ins.

    Attributes:
        config: The configuration in the store.
    """

    def __init__(self, folder: pathlib.Path, zones: int, hosts: int, services):
        base = find_free_base_port(DAEMON_PORT_OFFSET + 3 * zones * hosts + 20)
        names = tuple(f"zone-{number}" for number in range(zones))
        shape = dataclasses.replace(
            OSLO, base_port=base, zones=names, services=services
        )
        super().__init__(shape, folder)
        moved = dataclasses.replace(shape, base_port=base + DAEMON_PORT_OFFSET)
        self.settings = {}
        for entry in daemon_settings(moved, hosts):
            entry["store"]["port"] = base
            entry["host_list"]["port"] = base + 1
            self.settings[entry["name"]] = entry
        address = Address(HOST, base)
        self.config = ConfigStore(StoreClient(address), "kumquatspur")

    def searcher_count(self) -> int:
        """Returns the number of searchers."""
        return len(searcher_specs(self.files, self.service_ms))

    def wait_ready(self, revision: int) -> None:
        """Waits until all daemons run a revision and see all peers alive."""
        self.wait_until(lambda: all_ready(self, revision), READY_S)

    def metrics(self, name: str) -> dict:
        """Returns a daemon's metrics."""
        port = self.settings[name]["admin"]["port"]
        return self.call("GET", port, "/v1/metrics", key=ADMIN_KEY)[1]

    def usage(self) -> Usage:
        """Returns the current resource usage."""
        names = list(self.settings)
        sent = sum(
            self.metrics(name)["wire"].get("peer_bytes_sent", 0)
            for name in names
        )
        port = self.shape.base_port
        calls = sum(self.call("GET", port, "/calls")[1].values())
        cpu = sum(_cpu_s(self.processes[name].pid) for name in names)
        return Usage(time.monotonic(), cpu, sent, calls)

    def change(self) -> float:
        """Pushes a change of one file.

        Returns:
            The wall clock time before the push, in seconds since the epoch.
        """
        head = self.config.read_head()
        text = json.dumps({"drain": []}) + " " * (head.revision + 1)
        files = {n: self.config.read_file(d) for n, d in head.files.items()}
        started = time.time()
        _, errors = self.config.push(
            {**files, "99-change.json": text}, head.files, "slopes"
        )
        if errors:
            raise ValueError(str(errors))
        return started

    def log_times(self, event: str, **fields) -> dict[str, float]:
        """Returns when each daemon first logged an event with some fields.

        Returns:
            Wall clock time in seconds since the epoch, by daemon.
        """
        times = {}
        for name in self.settings:
            text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
            for line in text.splitlines():
                if event not in line or not line.startswith("{"):
                    continue
                entry = json.loads(line)
                wanted = {"message": event, **fields}
                if all(entry.get(k) == v for k, v in wanted.items()):
                    times[name] = _wall_time(entry["time"])
                    break
        return times

    def owners(self) -> dict[str, str]:
        """Returns the owner of each searcher, from the daemons' status."""
        return {
            searcher: name
            for name in self.settings
            if name in self.processes
            for searcher in self.status(name)["owned"]
        }


def _wall_time(text: str) -> float:
    return datetime.datetime.strptime(text, "%Y-%m-%d %H:%M:%S,%f").timestamp()


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def import_rss_mb() -> float:
    """Returns the resident memory of a process that only imports, in MB."""
    code = (
        "import eventlet; eventlet.monkey_patch();"
        "import kumquatspur.wire.shell, sys;"
        "sys.stdout.write('x'); sys.stdout.flush(); sys.stdin.read()"
    )
    process = subprocess.Popen(
        [sys.executable, "-W", "ignore", "-c", code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        process.stdout.read(1)
        return rss_mb(process.pid)
    finally:
        process.communicate()


def measure_fleet(folder, zones: int, hosts: int, seconds: float, services):
    """Measures idle cost and reaction times of one fleet.

    Args:
        folder: Folder for settings and logs.
        zones: Number of availability zones.
        hosts: Daemons per zone.
        seconds: Duration of the idle measurement.
        services: The services configured.

    Returns:
        The measurements by name.
    """
    fleet = Fleet(folder, zones, hosts, services)
    try:
        fleet.start()
        fleet.push()
        fleet.wait_ready(1)
        time.sleep(SETTLE_S)
        figures = {
            "daemons": zones * hosts,
            "zones": zones,
            "hosts_per_zone": hosts,
            "searchers": fleet.searcher_count(),
            **_measure_idle(fleet, seconds),
        }
        figures["in_force_s"] = _measure_changes(fleet, None)
        figures["in_force_watcher_killed_s"] = _measure_changes(
            fleet, signal.SIGKILL
        )
        figures["noticed_killed_s"] = _measure_loss(fleet, signal.SIGKILL)
        figures["noticed_frozen_s"] = _measure_loss(fleet, signal.SIGSTOP)
        return figures
    finally:
        for process in fleet.processes.values():
            process.send_signal(signal.SIGCONT)
        fleet.close()


def _measure_idle(fleet: Fleet, seconds: float) -> dict:
    before = fleet.usage()
    time.sleep(seconds)
    after = fleet.usage()
    count, elapsed = len(fleet.settings), after.time - before.time
    memory = [rss_mb(fleet.processes[name].pid) for name in fleet.settings]
    sent = after.bytes_sent - before.bytes_sent
    calls = after.store_calls - before.store_calls
    return {
        "cpu_share": (after.cpu_s - before.cpu_s) / elapsed / count,
        "bytes_sent_per_s": sent / elapsed / count,
        "store_calls_per_s": calls / elapsed,
        "rss_mb_mean": sum(memory) / count,
        "rss_mb_max": max(memory),
    }


def _summarize_times(values: list[float], missing: int) -> dict:
    values = sorted(max(0.0, value) for value in values)
    return {
        "p50": values[len(values) // 2] if values else None,
        "max": values[-1] if values else None,
        "missing": missing,
    }


def _measure_changes(fleet: Fleet, watcher_signal) -> dict:
    """Measures the time from a push until each daemon runs the change.

    Args:
        fleet: The fleet.
        watcher_signal: A signal that is sent to the store watchers of the
            first zone before the change; None for none.
    """
    values, missing = [], 0
    changes = 1 if watcher_signal else CHANGES
    for _ in range(changes):
        if watcher_signal:
            _end_watchers(fleet, watcher_signal)
        pushed_at = fleet.change()
        revision = fleet.config.read_head().revision
        running = [n for n in fleet.settings if n in fleet.processes]
        times = _wait_for_log(
            fleet, running, "configuration_in_force", revision=revision
        )
        values += [times[n] - pushed_at for n in running if n in times]
        missing += sum(name not in times for name in running)
    return _summarize_times(values, missing)


def _wait_for_log(fleet: Fleet, names, event: str, **fields):
    end = time.monotonic() + REACTION_S
    times = {}
    while time.monotonic() < end:
        times = fleet.log_times(event, **fields)
        if set(names) <= times.keys():
            break
        time.sleep(0.2)
    return times


def _end_watchers(fleet: Fleet, signal_number: int) -> None:
    """Ends both store watchers of the first zone and waits for their exit.

    Args:
        fleet: The fleet.
        signal_number: A signal that ends a process.
    """
    zone = fleet.shape.zones[0]
    for slot in range(2):
        path = f"/v1/kv/kumquatspur/watchers/{zone}/{slot}"
        name = fleet.call("GET", fleet.shape.base_port, path)[1]["value"]
        if name in fleet.processes:
            fleet.processes[name].send_signal(signal_number)
            fleet.processes.pop(name).wait()


def _measure_loss(fleet: Fleet, signal_number: int) -> dict:
    """Measures the time until the hosts of a zone report one as dead.

    Args:
        fleet: The fleet.
        signal_number: The signal sent to the host.

    Returns:
        The times, searchers_lost (owned by the host before the signal) and
        searchers_moved (with another owner afterwards).
    """
    zone = fleet.shape.zones[-1]
    peers = [
        name
        for name in fleet.settings
        if name in fleet.processes and name.startswith(f"{zone}-")
    ]
    if len(peers) < 2:
        return {}
    victim = peers.pop()
    owners = fleet.owners()
    started = time.time()
    fleet.processes[victim].send_signal(signal_number)
    times = _wait_for_log(
        fleet, peers, "host_status", host=victim, status="dead"
    )
    process = fleet.processes.pop(victim)
    time.sleep(2.0)
    moved = fleet.owners()
    process.kill()
    process.wait()
    values = [times[n] - started for n in peers if n in times]
    return {
        **_summarize_times(values, sum(name not in times for name in peers)),
        "searchers_lost": sum(owner == victim for owner in owners.values()),
        "searchers_moved": sum(
            owner != moved.get(searcher) for searcher, owner in owners.items()
        ),
    }
