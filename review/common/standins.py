"""Stand-ins for the platform around entry hosts, and the processes under test.

The metadata store, the searchers and the clients run in the event loop of the
script; the entry hosts are processes of their own, started with the command
and the environment of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST_NAME = "shop.example"
# Below the range from which the kernel takes ports for outgoing connections.
PORTS = (12000, 32000)
_given_ports = set()
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# RULES.md, LOST: more than three times.
MOST_LOST = 3


def free_port() -> int:
    """Returns a TCP port that is free now, and not one for outgoing calls."""
    while True:
        port = random.randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


class NotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        print(line, file=self.file, flush=True)


async def read_head(reader) -> tuple[str, dict[str, str]] | None:
    """Reads a start line and headers; returns None at the end of the input."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields: dict[str, str]) -> bytes:
    """Reads a body with a length."""
    return await reader.readexactly(int(fields.get("content-length", 0)))


class Store:
    """The platform's metadata store: linearizable reads and watches.

    Attributes:
        revision: The latest revision.
        items: Value and revision by key.
        events: All changes as revision, key and value.
    """

    def __init__(self, record: Record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []
        self.port = 0
        self._changed = asyncio.Event()
        self._tasks = set()

    async def start(self) -> None:
        """Starts listening."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.server = server
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, value) -> None:
        """Writes a JSON value, or bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self.items[key] = (data, self.revision)
        self.events.append((self.revision, key, data))
        self.record.write(f"store: revision {self.revision} put {key}")
        self._notify()

    def remove(self, key: str) -> None:
        """Removes a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.events.append((self.revision, key, None))
        self.record.write(f"store: revision {self.revision} removed {key}")
        self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head[1])
                status, body = await self._answer(head[0])
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nStore-Era: 1\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line: str) -> tuple[int, dict]:
        target = urllib.parse.urlsplit(line.split()[1])
        query = dict(urllib.parse.parse_qsl(target.query, True))
        if target.path == "/kv-range":
            return 200, self._range(query)
        if target.path == "/kv-watch":
            return 200, await self._watch(query)
        return 404, {"error": "unknown call"}

    def _range(self, query: dict[str, str]) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [self._item(key, *self.items[key]) for key in keys[:500]],
            "has-more": len(keys) > 500,
            "current-rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict:
        end = time.monotonic() + int(query["wait-ms"]) / 1000.0
        while True:
            found = [
                self._event(*event)
                for event in self.events
                if event[0] > int(query["after"])
                and event[1].startswith(query["prefix"])
            ]
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                return {"events": found, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _event(self, revision: int, key: str, value: bytes | None) -> dict:
        if value is None:
            return {"key": key, "revision": revision, "removed": True}
        return self._item(key, value, revision)

    def _item(self, key: str, value: bytes, revision: int) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create-rev": revision,
            "lease": 0,
        }


class Searcher:
    """A sound searcher; `answer` may be replaced to misbehave.

    Attributes:
        runs: Identifiers of the requests that it has run, in order.
        answer: Coroutine function that answers a request: it gets this
            searcher, the request's line, headers and body, and the writer, and
            returns whether the connection stays open.
    """

    def __init__(
        self, name: str, service: str, zone: str, record: Record, work_s=0.01
    ):
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.answer = sound_answer
        self.port = 0
        self.writers = set()

    async def start(self) -> None:
        """Starts listening."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Ends the searcher and its connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def entry(self, **changes) -> dict:
        """Returns its entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
            **changes,
        }

    def register(self, store: Store, **changes) -> None:
        """Writes its entry to the store."""
        store.put(f"servers/{self.name}", self.entry(**changes))

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                if not await self.answer(self, line, fields, body, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, fields: dict[str, str]) -> str:
        """Records that a request runs; returns its identifier."""
        request_id = fields["kumquatspur-attempt-id"]
        self.runs.append(request_id)
        self.record.write(f"searcher {self.name}: runs {request_id}")
        return request_id

    def misdirected(self, fields: dict[str, str], writer) -> bool:
        """Answers 421 to a request that names another searcher."""
        expected = fields.get("kumquatspur-expected-instance", self.name)
        if expected == self.name:
            return False
        writer.write(
            b"HTTP/1.1 421 Misdirected\r\n"
            b"Kumquatspur-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
            % fields.get("kumquatspur-attempt-id", "").encode()
        )
        return True

    def reply(self, status: int, request_id: str, body: bytes) -> bytes:
        """Returns a signed answer."""
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"Kumquatspur-Attempt-Id: {request_id}\r\n"
            f"Kumquatspur-Server-Seal: {self.name}.{request_id}\r\n"
            "Keep-Alive: timeout=5\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body


async def sound_answer(searcher, line, fields, body, writer) -> bool:
    """Runs a request and answers it."""
    if searcher.misdirected(fields, writer):
        return True
    if line.startswith("GET /health "):
        writer.write(
            b"HTTP/1.1 200 OK\r\nKumquatspur-Instance-Id: %b\r\n"
            b"Content-Length: 0\r\n\r\n" % searcher.name.encode()
        )
        return True
    request_id = searcher.run(fields)
    await asyncio.sleep(searcher.work_s)
    text = f"{searcher.service} {request_id}\n".encode()
    writer.write(searcher.reply(200, request_id, text))
    return True


class Host:
    """One entry host as a process.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        process: The process; None before the start.
    """

    def __init__(self, name: str, zone: str, folder: pathlib.Path):
        self.name, self.zone, self.folder = name, zone, folder
        self.process = None
        ports = [free_port() for _ in range(5)]
        self.front, self.ready, self.peer, self.relay, self.metrics = ports
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"

    def write_settings(
        self, store_port: int, seeds, zones, memory_mb=300, **changes
    ) -> None:
        """Writes the settings file as deploy/settings.json.template has it."""
        bounds = {
            "drain_ms": 3000,
            "grace_s": 6,
            "config_apply_ms": 3000,
            "retry_budget_ratio": 0.2,
            "retry_budget_window_s": 10,
            "retry_budget_slack": 52,
        }
        settings = {
            "name": self.name,
            "zone": self.zone,
            "region": "scot-east",
            "zones": dict.fromkeys(zones, "scot-east"),
            "front": f"{LOOPBACK}:{self.front}",
            "ready": f"{LOOPBACK}:{self.ready}",
            "peer": f"{LOOPBACK}:{self.peer}",
            "relay": f"{LOOPBACK}:{self.relay}",
            "seeds": [f"{LOOPBACK}:{port}" for port in seeds],
            "metrics_port": self.metrics,
            "store": f"{LOOPBACK}:{store_port}",
            "heartbeat_ms": 1200,
            "first_start": False,
            "machine": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": memory_mb,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "bounds": {**bounds, **changes},
        }
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Starts the process with the command of deploy/system.toml."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        role = deploy["roles"]["entry"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role["env"]
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["KUMQUATSPUR_NODE_FILE"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        """Returns whether the readiness page answers 200."""
        answer = await send(self.ready, "GET", "/readiness", "", 1.0)
        return answer.status == 200

    async def wait_until_ready(self, seconds: float = 15.0) -> None:
        """Waits until the host is ready.

        Raises:
            NotRunError: It was not ready in time.
        """
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end:
                raise NotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def end(self) -> None:
        """Kills the process."""
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text(encoding="utf-8").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    def events(self, *names: str) -> list[dict]:
        """Returns the lines of its log with one of some events."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                item = json.loads(line)
            except ValueError:
                continue
            if isinstance(item, dict) and item.get("event") in names:
                found.append(item)
        return found


class Answer:
    """What a client has seen of one attempt.

    Attributes:
        status: HTTP status; 0 if there was no complete answer.
        fields: Its headers.
        body: Its body.
        seconds: How long the attempt took.
        error: Why there was no answer.
    """

    def __init__(self, status=0, fields=None, body=b"", seconds=0.0, error=""):
        self.status, self.fields, self.body = status, fields or {}, body
        self.seconds, self.error = seconds, error

    def __str__(self) -> str:
        text = f"{self.status}" if self.status else f"no answer: {self.error}"
        return f"{text} after {self.seconds:.3f} s"


async def send(
    port: int,
    method: str,
    path: str,
    request_id: str,
    deadline_s: float,
    patience_s: float | None = None,
    body: bytes = b"",
) -> Answer:
    """Sends a request on a new connection and reads the answer.

    Args:
        port: Port of the host.
        method: HTTP method.
        path: Request target.
        request_id: Identifier of the client attempt.
        deadline_s: Deadline that the request states.
        patience_s: How long to wait for the answer; the deadline if None.
        body: Body of the request.
    """
    began = time.monotonic()
    patience_s = deadline_s if patience_s is None else patience_s
    writer = None

    async def call() -> Answer:
        nonlocal writer
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Kumquatspur-Attempt-Id: {request_id}",
            f"Kumquatspur-Deadline-Ms: {deadline_s * 1000:.0f}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await read_head(reader)
        if head is None:
            return Answer(error="connection closed")
        data = await read_body(reader, head[1])
        return Answer(int(head[0].split()[1]), head[1], data)

    try:
        answer = await asyncio.wait_for(call(), patience_s)
    except TimeoutError:
        answer = Answer(error="timed out")
    except (OSError, asyncio.IncompleteReadError) as error:
        answer = Answer(error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()
    answer.seconds = time.monotonic() - began
    return answer


class GarblingSearcher(Searcher):
    """A searcher as a process; some of its answers have no end (endless.py).

    Attributes:
        process: The process; None before the start.
    """

    async def start_process(self, chunk_bytes: int, every: int) -> None:
        """Starts the process.

        Args:
            chunk_bytes: Length of the chunks of an answer without end.
            every: One of so many answers has no end; 0 for none.
        """
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).with_name("endless.py")),
            self.name,
            str(chunk_bytes),
            str(every),
            stdout=asyncio.subprocess.PIPE,
        )
        self.port = int(await self.process.stdout.readline())
        self.task = asyncio.create_task(self._log())

    async def _log(self) -> None:
        while line := await self.process.stdout.readline():
            self.record.write(f"searcher {self.name}: {line.decode().strip()}")

    async def end(self) -> None:
        """Kills the process."""
        self.task.cancel()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class KeptClient:
    """A client that sends one request after the other on one connection."""

    def __init__(self, host, number: int, record):
        self.host, self.number, self.record = host, number, record
        self.answered = 0
        self.in_flight = None
        self.lost = None

    async def run(self) -> None:
        """Sends requests until the connection ends."""
        reader, writer = await asyncio.open_connection(
            LOOPBACK, self.host.front
        )
        closes = False
        try:
            while not closes:
                request_id = f"{self.host.name}-{self.number}-{self.answered}"
                self.in_flight = request_id
                writer.write(
                    f"GET /desk/{request_id} HTTP/1.1\r\n"
                    f"Host: {HOST_NAME}\r\n"
                    f"Kumquatspur-Attempt-Id: {request_id}\r\n"
                    "Kumquatspur-Deadline-Ms: 1200\r\n\r\n".encode()
                )
                head = await read_head(reader)
                if head is None:
                    self.lost = request_id
                    self.record.write(f"client: {request_id} connection ended")
                    return
                await read_body(reader, head[1])
                self.answered += 1
                closes = head[1].get("connection") == "close"
                if not head[0].startswith("HTTP/1.1 200"):
                    self.record.write(f"client: {request_id} {head[0]}")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.lost = self.in_flight
            self.record.write(f"client: {self.in_flight} connection reset")
        finally:
            writer.close()


def rule_lost_held(record, hosts, clients, searchers) -> bool:
    """Returns whether RULES.md, LOST, held for requests on kept connections.

    Args:
        record: The record.
        hosts: The hosts.
        clients: Their clients, `KeptClient`.
        searchers: The searchers, all of them sound.
    """
    ran = {name for searcher in searchers for name in searcher.runs}
    held = True
    for host in hosts:
        lost = [
            client.lost
            for client in clients
            if client.host is host and client.lost in ran
        ]
        answered = sum(c.answered for c in clients if c.host is host)
        ended = "runs" if host.is_running() else "has ended by itself"
        record.write(
            f"{host.name}: {answered} answered, {len(lost)} passed on and"
            f" ended without an answer; its process {ended}"
        )
        if not host.is_running():
            tail = host.log_path.read_text(errors="replace").splitlines()[-3:]
            record.write(f"{host.name}: last output {tail}")
        held = held and len(lost) <= MOST_LOST
    return held


def route(name: str, prefix: str, **fields) -> dict:
    """Returns a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 600,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        **fields,
    }


def config(version: int, routes: list[dict]) -> dict:
    """Returns a configuration as the operator writes it."""
    services = set()
    for item in routes:
        services.update(item.get("fanout-services", ()))
        services.update([item["service"]] if "service" in item else [])
    return {
        "config-version": version,
        "routes": routes,
        "services": [
            {"name": name, "max-connections": 40, "health-path": "/health"}
            for name in sorted(services)
        ],
        "limits": {
            "header-bytes": 8192,
            "max-body-bytes": 65536,
            "header-timeout-ms": 2000,
            "idle-timeout-ms": 5000,
        },
    }


def main(case) -> None:
    """Runs a case and exits with its result.

    Args:
        case: Coroutine function that gets the record, a temporary folder, a
            list for the hosts that it starts and whether there is trouble, and
            returns whether the rule held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if trouble else 'no'}")

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            hosts = []
            try:
                held = await case(
                    record, pathlib.Path(temporary), hosts, trouble
                )
                code = EXIT_HELD if held else EXIT_BROKEN
            except (NotRunError, OSError) as error:
                record.write(f"not run: {error!r}")
                code = EXIT_NOT_RUN
            finally:
                for host in hosts:
                    await host.end()
            return code

    code = asyncio.run(run())
    record.write(f"exit code {code}")
    sys.exit(code)
