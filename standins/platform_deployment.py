"""Entry hosts on the platform, as processes on loopback with stand-ins.

The hosts run `kumquatspur.scripts.platform_daemon` and find their searchers in
the platform's metadata store. `standins.deployment` starts the other daemon,
`kumquatspurd`, whose configuration is in the configuration store.
"""

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time

import eventlet
import msgspec

from kumquatspur.border.entry_settings import EntrySettings
from kumquatspur.core.records import Address
from kumquatspur.wire.decision_log import DecisionLog
from kumquatspur.wire.entry_state import EntryState, new_state
from standins.deployment import find_free_base_port
from standins.platform_searcher import (
    PlatformSearcher,
    forwarded_route,
    make_config,
    scattered_route,
)
from standins.platform_store import StandInStore

LOOPBACK = "127.0.0.1"
SHARDS = ("s0", "s1", "s2", "s3")
SINGLE_SERVICE = "single"
RECORDS_PER_SHARD = 20
RECORD_BYTES = 16
READY_WAIT_S = 20.0
# Timeout for conditions that are certain to be met; long for busy machines.
WAIT_S = 15.0
STOP_WAIT_S = 10.0
CALL_TIMEOUT_S = 3.0
DEADLINE_MS = 500
SHARD_WORK_S = 0.005
SINGLE_WORK_S = 0.02
GRACE_S = 3
WARMUP_OVERRUN = 1.5
WARMUP_SLACK = 5


def free_ports(count: int) -> list[int]:
    """Returns consecutive free TCP ports outside the ephemeral port range."""
    base = find_free_base_port(count)
    return list(range(base, base + count))


def wait_until(condition, seconds: float = WAIT_S) -> None:
    """Waits until a condition is true.

    Args:
        condition: A function that returns the condition.
        seconds: The timeout.

    Raises:
        AssertionError: The condition was not met within the timeout.
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"condition not met within {seconds} s")
        eventlet.sleep(0.005)


def make_record(number: int) -> bytes:
    """Returns a record of `RECORD_BYTES` bytes that sorts like its number."""
    return number.to_bytes(RECORD_BYTES, "big")


def host_settings(
    name,
    zone,
    ports,
    store: Address,
    seeds,
    link_mbps=100.0,
    first_start=False,
) -> dict:
    """Returns the settings of an entry host.

    Args:
        name: Its name.
        zone: Its availability zone.
        ports: Ports for clients, readiness, peers, metrics and requests
            delegated by other hosts.
        store: Address of the store.
        seeds: Peer ports of some entry hosts.
        link_mbps: Bandwidth of its network link, in Mbit/s.
        first_start: Whether the whole system starts for the first time.
    """
    front, ready, peer, metrics, relay = ports
    return {
        "name": name,
        "zone": zone,
        "front": f"{LOOPBACK}:{front}",
        "ready": f"{LOOPBACK}:{ready}",
        "peer": f"{LOOPBACK}:{peer}",
        "relay": f"{LOOPBACK}:{relay}",
        "seeds": [f"{LOOPBACK}:{port}" for port in seeds],
        "metrics_port": metrics,
        "store": f"{store.host}:{store.port}",
        "heartbeat_ms": 200,
        "first_start": first_start,
        "machine": {
            "cpu_share": 1,
            "cores": 1,
            "memory_mb": 300,
            "max_fds": 1000,
            "link_mbps": link_mbps,
        },
        "bounds": {
            "drain_ms": 500,
            "grace_s": GRACE_S,
            "config_apply_ms": 3000,
            "retry_budget_ratio": 0.2,
            "retry_budget_window_s": 10,
            "retry_budget_slack": 400,
            "warmup_overrun": WARMUP_OVERRUN,
            "warmup_slack": WARMUP_SLACK,
        },
    }


def new_test_state() -> EntryState:
    """Returns the state of an entry host without starting the host."""
    ports = (1, 2, 3, 4, 5)
    fields = host_settings("own", "z", ports, Address(LOOPBACK, 6), ())
    settings = msgspec.convert(fields, EntrySettings)
    return new_state(settings, DecisionLog(settings.name))


class HostProcess:
    """One entry host as a process.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ports: Ports for clients, readiness, peers, metrics and requests
            delegated by other hosts.
        process: The latest process; None before the first start.
        settings_path: Its settings file.
        log_path: The file that receives its standard output and error.
        source: Folder with the package of another build; None for this one.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.zone = zone
        self.ports = free_ports(5)
        self.process = None
        self.source = None
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / "logs" / f"{name}.log"

    def write_settings(self, store: Address, seeds) -> None:
        """Writes the settings file."""
        settings = host_settings(self.name, self.zone, self.ports, store, seeds)
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Starts the process, which appends to the log file."""
        command = [
            sys.executable,
            *("-W", "ignore", "-m", "kumquatspur.scripts.platform_daemon"),
            *("--settings", str(self.settings_path)),
        ]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=self.source,
            )

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    def wait_for_exit(self, seconds: float = STOP_WAIT_S) -> None:
        """Waits until the process has exited, and kills it after a timeout."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Returns whether the host reports that it accepts clients."""
        connection = http.client.HTTPConnection(
            LOOPBACK, self.ports[1], timeout=1
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class PlatformDeployment:
    """Entry hosts as processes; searchers and the store in this process.

    Attributes:
        store: The store.
        searchers: The searchers by identifier.
        hosts: The entry hosts by name.
        folder: Folder of the settings and logs.
        version: Version of the configuration in the store.
    """

    def __init__(self, folder: pathlib.Path, zones, hosts_per_zone: int):
        self.folder = folder
        (folder / "logs").mkdir(parents=True, exist_ok=True)
        self.store = StandInStore()
        self.zones = tuple(zones)
        self.searchers = {}
        for index, shard in enumerate(SHARDS):
            first = index * RECORDS_PER_SHARD
            records = [
                make_record(first + item) for item in range(RECORDS_PER_SHARD)
            ]
            for zone in self.zones:
                self.add_searcher(shard, zone, records, SHARD_WORK_S)
        for zone in self.zones:
            self.add_searcher(SINGLE_SERVICE, zone, (), SINGLE_WORK_S)
        self.version = 0
        self._marker_number = 0
        self._marker_version = 0
        self.configure()
        names = [
            (f"{zone}-{number}", zone)
            for zone in self.zones
            for number in range(hosts_per_zone)
        ]
        self.hosts = {
            name: HostProcess(name, zone, folder) for name, zone in names
        }

    def add_searcher(self, service, zone, records, work_s) -> None:
        """Starts a searcher and registers it."""
        name = f"i-{service}-{zone}"
        searcher = PlatformSearcher(name, service, zone, records, work_s)
        self.searchers[name] = searcher
        searcher.register(self.store)

    def routes(self) -> list[dict]:
        """Returns the routes in the format of the operator's configuration."""
        once = {"route-type": "non_idempotent"}
        return [
            scattered_route("all", "/all/", SHARDS),
            forwarded_route("one", "/one/", SINGLE_SERVICE),
            forwarded_route("once", "/once/", SINGLE_SERVICE, **once),
        ]

    def configure(self, routes=None) -> None:
        """Writes the next version of the configuration."""
        self.version += 1
        document = make_config(self.version, routes or self.routes())
        self.store.put_json("op/config", document)

    def replace_marker_route(self) -> None:
        """Writes a configuration whose marker route has a new path.

        The status of the marker paths shows which version a host runs.
        """
        self._marker_number += 1
        marker = forwarded_route(
            "mark", f"/mark{self._marker_number}/", SINGLE_SERVICE
        )
        self.configure([*self.routes(), marker])
        self._marker_version = self.version

    def marker_route_statuses(self) -> list[tuple[str, int]]:
        """Returns marker paths with their status under the latest version."""
        if not self._marker_number:
            return []
        paths = [(f"/mark{self._marker_number - 1}/x", 404)]
        if self._marker_version == self.version:
            paths.append((f"/mark{self._marker_number}/x", 200))
        return paths

    def start(self, store_of=None) -> None:
        """Starts all entry hosts and waits until they are ready.

        Args:
            store_of: Returns the address at which a host, given by name,
                reaches the store; by default the address of the store itself.
        """
        seeds = [host.ports[2] for host in list(self.hosts.values())[:3]]
        for host in self.hosts.values():
            store = store_of(host.name) if store_of else self.store.address
            host.write_settings(store, seeds)
            host.start()
        for host in self.hosts.values():
            wait_until(host.is_ready, READY_WAIT_S)

    def stop(self) -> None:
        """Stops all entry hosts, searchers and the store."""
        for host in self.hosts.values():
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGTERM)
        for host in self.hosts.values():
            if host.process is not None:
                host.wait_for_exit()
        for searcher in self.searchers.values():
            searcher.close()
        self.store.close()


def connect(host: HostProcess) -> http.client.HTTPConnection:
    """Returns a client connection to an entry host."""
    return http.client.HTTPConnection(
        LOOPBACK, host.ports[0], timeout=CALL_TIMEOUT_S
    )


def request_fields(request_id: str, deadline_ms: int = DEADLINE_MS) -> dict:
    """Returns the headers of a request."""
    return {
        "Host": "shop.example",
        "Kumquatspur-Attempt-Id": request_id,
        "Kumquatspur-Deadline-Ms": str(deadline_ms),
    }


def read_reply(connection: http.client.HTTPConnection):
    """Returns status, headers in lower case and body of a response."""
    response = connection.getresponse()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return response.status, headers, response.read()


def send_request(host: HostProcess, path: str, request_id: str):
    """Sends one request to an entry host.

    Args:
        host: The host.
        path: The request's path.
        request_id: Its identifier.

    Returns:
        Status, headers in lower case and body; None if the connection ended
        without a response.
    """
    connection = connect(host)
    try:
        connection.request("GET", path, None, request_fields(request_id))
        return read_reply(connection)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
