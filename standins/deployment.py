"""Starts a deployment of `kumquatspurd` daemons and stand-ins on loopback.

`Deployment` starts every process and stops exactly those.
"""

import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

import urllib3

from kumquatspur.core.records import Address
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import StoreClient
from standins.shapes import (
    ADMIN_KEY,
    HOST,
    Shape,
    config_files,
    daemon_settings,
    searcher_specs,
)

READY_S = 30.0


class PortRegion:
    """A range of TCP ports reserved for this process.

    Test processes that run in parallel use different regions. A process
    reserves a region by keeping a socket bound to its first port. All regions
    are below the kernel's ephemeral port range, so that no outgoing connection
    gets one of their ports.

    Attributes:
        first: The first port, which is bound as the reservation.
        next: The next port to try.
    """

    FIRST = 10_000
    SIZE = 2_000
    COUNT = 11

    def __init__(self):
        self._guard = socket.socket()
        regions = list(range(self.COUNT))
        random.SystemRandom().shuffle(regions)
        for number in regions:
            self.first = self.FIRST + number * self.SIZE
            try:
                self._guard.bind((HOST, self.first))
            except OSError:
                continue
            self.next = self.first + 1
            return
        raise RuntimeError(
            f"all {self.COUNT} port regions from port {self.FIRST} are in use"
        )

    def allocate(self, count: int) -> int:
        """Allocates a block of consecutive free ports.

        Args:
            count: The number of ports.

        Returns:
            The first port.

        Raises:
            RuntimeError: No block was found.
        """
        for _ in range(2 * self.SIZE):
            if self.next + count > self.first + self.SIZE:
                self.next = self.first + 1
            base = self.next
            if all(_is_free(base + offset) for offset in range(count)):
                self.next = base + count
                return base
            self.next += 1
        raise RuntimeError(
            f"no {count} consecutive free ports in the region from port"
            f" {self.first}"
        )


@functools.cache
def _process_region() -> PortRegion:
    return PortRegion()


def find_free_base_port(count: int) -> int:
    """Allocates consecutive free TCP ports on loopback for this process.

    Args:
        count: The number of ports, at most 1,999.

    Returns:
        The first port.

    Raises:
        RuntimeError: No block was found.
    """
    return _process_region().allocate(count)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class Deployment:
    """A deployment on loopback: daemons and stand-ins as processes.

    Attributes:
        shape: Zones, services and ports of the deployment.
        folder: Where settings, specifications and logs are written.
        processes: The processes started, by name.
        settings: The settings of each daemon, by name.
        files: The JSON values of the configuration files, by file name.
    """

    def __init__(
        self,
        shape: Shape,
        folder: pathlib.Path,
        service_ms: float = 4.0,
        hosts_per_zone: int = 3,
    ):
        self.shape = shape
        self.folder = folder
        self.service_ms = service_ms
        self.processes = {}
        self.files = config_files(shape)
        self.settings = {
            s["name"]: s for s in daemon_settings(shape, hosts_per_zone)
        }
        self.http = urllib3.PoolManager(retries=False, timeout=5.0)

    def start(self) -> None:
        """Starts stand-ins and daemons."""
        self.start_standins()
        for name in self.settings:
            self.start_daemon(name)

    def start_standins(self) -> None:
        """Starts the store, the host list and the searchers."""
        base = self.shape.base_port
        hosts = [
            {
                "name": s["name"],
                "zone": s["zone"],
                "host": s["peer"]["host"],
                "port": s["peer"]["port"],
                "leaving": False,
                "role": "entry",
            }
            for s in self.settings.values()
        ]
        specs = searcher_specs(self.files, self.service_ms)
        hosts_file = self.write("hosts.json", {"hosts": hosts})
        specs_file = self.write("searchers.json", {"searchers": specs})
        self.spawn("store", "standins.store", "--port", str(base))
        self.spawn(
            "host_list",
            "standins.host_list",
            "--port",
            str(base + 1),
            "--hosts",
            hosts_file,
        )
        self.spawn("searchers", "standins.searcher", "--spec", specs_file)

    def start_daemon(self, name: str) -> None:
        """Starts a daemon."""
        path = self.write(f"{name}.json", self.settings[name])
        self.spawn(name, "kumquatspur.scripts.kumquatspurd", "--settings", path)

    def write(self, name: str, value) -> str:
        """Writes a JSON file and returns its path."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / name
        path.write_text(json.dumps(value, indent=2), encoding="utf-8")
        return str(path)

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Starts a Python module as a process that logs to `NAME.log`."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-W", "ignore", "-m", module, *arguments],
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    def call(self, method: str, port: int, path: str, body=None, key=""):
        """Sends a JSON request to a port on loopback.

        Returns:
            The status and the decoded body.
        """
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        data = json.dumps(body) if body is not None else None
        response = self.http.request(
            method, f"http://{HOST}:{port}{path}", body=data, headers=headers
        )
        return response.status, json.loads(response.data)

    def push(self) -> None:
        """Pushes the deployment's configuration folder to the store."""
        address = Address(HOST, self.shape.base_port)
        store = ConfigStore(StoreClient(address), "kumquatspur")
        files = {name: json.dumps(v) for name, v in self.files.items()}
        self.wait_until(self._store_answers)
        _, errors = store.push(files, {}, "deployment")
        if errors:
            raise ValueError(str(errors))

    def _store_answers(self) -> bool:
        return self.call("GET", self.shape.base_port, "/calls")[0] == 200

    def query(self, daemon: str, body: dict):
        """Sends a query to a daemon."""
        port = self.settings[daemon]["caller"]["port"]
        return self.call("POST", port, "/v1/query", body)

    def status(self, daemon: str) -> dict:
        """Returns a daemon's status."""
        port = self.settings[daemon]["admin"]["port"]
        return self.call("GET", port, "/v1/status", key=ADMIN_KEY)[1]

    def searcher_port(self, name: str) -> int:
        """Returns the port of a searcher."""
        for value in self.files.values():
            if name in value["searchers"]:
                return value["searchers"][name]["port"]
        raise KeyError(name)

    def set_fault(self, searcher: str, **faults) -> None:
        """Sets fault switches of a searcher."""
        self.call("POST", self.searcher_port(searcher), "/fault", faults)

    def wait_until(self, condition, seconds: float = READY_S) -> None:
        """Waits until a condition is true.

        Args:
            condition: A function; connection errors count as False.
            seconds: The timeout.

        Raises:
            TimeoutError: The condition was not met within the timeout.
        """
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (urllib3.exceptions.HTTPError, OSError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"condition not met within {seconds} s")

    def request_stop(self, name: str) -> subprocess.Popen:
        """Sends SIGTERM to a process and returns the process."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process

    def stop(self, name: str, seconds: float = 20.0) -> int:
        """Stops a process gracefully and returns its exit code."""
        return self.request_stop(name).wait(seconds)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def close(self) -> None:
        """Kills all processes that are still running."""
        for name in list(self.processes):
            self.kill(name)
