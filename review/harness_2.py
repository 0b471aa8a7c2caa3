"""Runs entry hosts with the command of the deploy file, for review cases.

A case starts a `Fleet`, sends requests with `send` and records what happened.
All addresses are on loopback, and all processes end with the case.
"""

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import shlex  # noqa: E402
import signal  # noqa: E402
import socket  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import tomllib  # noqa: E402

from standins.platform_deployment import (  # noqa: E402
    LOOPBACK,
    free_ports,
    host_settings,
    wait_until,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 30.0
EXIT_S = 8.0
STARTED_AT = time.monotonic()


class Record:
    """Writes what was sent, answered and run to a file and to the output."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str, shown: bool = False) -> None:
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - STARTED_AT:8.3f} {text}"
        print(line, file=self._file, flush=True)
        if shown:
            print(line, flush=True)


class Host:
    """One entry host as a process.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ports: Ports for clients, readiness, peers, metrics and relayed
            requests.
        process: The latest process.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.zone = zone
        self.ports = free_ports(5)
        self.process = None
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"

    def write_settings(self, store, seeds, bounds: dict, **changes) -> None:
        """Writes the settings file."""
        settings = host_settings(self.name, self.zone, self.ports, store, seeds)
        settings["bounds"].update(bounds)
        settings.update(changes)
        self._path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "KUMQUATSPUR_NODE_FILE": str(self._path),
            **role.get("env", {}),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                shlex.split(role["run"]),
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
                env=environment,
            )

    def is_ready(self) -> bool:
        """Returns whether the host reports that it accepts clients."""
        request = b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n"
        try:
            with socket.create_connection(
                (LOOPBACK, self.ports[1]), timeout=1
            ) as sock:
                sock.sendall(request)
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number: int) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


def request_bytes(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    lines: tuple[str, ...] = (),
) -> bytes:
    """Returns the bytes of a client's request."""
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"Kumquatspur-Attempt-Id: {request_id}",
        f"Kumquatspur-Deadline-Ms: {deadline_ms}",
        *lines,
    ]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def read_reply(sock) -> tuple[int, dict[str, str], bytes] | None:
    """Reads one answer; None if the connection ends before it is complete."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65536)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    while len(body) < int(fields.get("content-length", 0)):
        received = sock.recv(65536)
        if not received:
            return None
        body += received
    return int(first.split()[1]), fields, body


def send(port: int, data: bytes, timeout_s: float):
    """Sends a request on a new connection; returns its answer or None."""
    try:
        with socket.create_connection((LOOPBACK, port), timeout_s) as sock:
            sock.sendall(data)
            return read_reply(sock)
    except OSError:
        return None


def run_case(folder: pathlib.Path, case) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: The folder of the case, which gets `record.txt`.
        case: Called with the record, the folder for settings and logs, the list
            of hosts to end, and whether there is the disruption; returns
            whether the rule held.
    """
    record = Record(folder / "record.txt")
    hosts = []
    disrupted = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {disrupted}", True)
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as work:
        try:
            held = case(record, pathlib.Path(work), hosts, disrupted)
            code = HELD if held else BROKEN
        except Exception as error:
            record.write(f"not run: {error!r}", True)
        finally:
            for host in hosts:
                host.signal(signal.SIGCONT)
                host.kill()
    record.write(f"exit code {code}", True)
    sys.stdout.flush()
    os._exit(code)


def wait_ready(hosts) -> None:
    """Waits until all hosts are ready."""
    for host in hosts:
        wait_until(host.is_ready, READY_S)
