"""Stand-in for a searcher on the platform."""

import collections
import time
import urllib.parse

import eventlet
import httptools

from kumquatspur.core.records import Address
from kumquatspur.wire.http_messages import RequestReader
from standins.http_helpers import reset_connection

READ_BYTES = 65536
MAX_MESSAGE_BYTES = 1_000_000
ENDLESS_WRITE_BYTES = 65536
LATE_COPY_DELAY_S = 0.05
MAX_REQUESTS_KEPT = 100
HEALTH_PATH = b"/health"
_OK_LINE = b"HTTP/1.1 200 OK\r\n"
# Start and repeated bytes of responses that never end.
ENDLESS = {
    "endless_header_lines": (_OK_LINE, b"X-Filler: some text\r\n"),
    "endless_header": (_OK_LINE + b"X-Filler: ", b"some text "),
    "endless_body": (_OK_LINE + b"\r\n", b"some text "),
    "endless_chunk_extension": (
        _OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n5;extension=",
        b"text",
    ),
    "endless_interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "endless_other_responses": (
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext",
    ),
    "endless_noise": (b"", b"text"),
}


class PlatformSearcher:
    """Answers requests with its records, or misbehaves as scripted.

    Attributes:
        searcher_id: Its identifier.
        service: Its service.
        zone: Its availability zone.
        address: The address that it listens on.
        records: The records that it returns.
        work_s: Time to run a request, in seconds.
        runs: Number of executions started, by request identifier.
        arrivals: Number of requests received.
        deadlines: The deadline header of each request run, in ms.
        script: Behaviours of the next requests: "ok", "shed", "lost",
            "truncated", "reset_body", "extra", "late_copy", "other_id",
            "error", "hang", "encoded", "unsigned", "crash",
            "crash_midway", "no_length", "pause" or a key of `ENDLESS`.
        leaving: Whether its answers say that it leaves.
        starts: Number of restarts.
        pause_value: Value of the header with which "pause" asks for a pause.
        limit_per_s: Limit that its answers name; None for none.
        arrived_at: When each request arrived, in monotonic time.
        arrived: The same with the identifier of each request.
        received: The headers of the latest requests.
        cold_until: End of its warm-up, in monotonic time.
        warmup_value: Value of the warm-up header in place of the true one;
            None for the true one.
        states_warmup: Whether all answers state the warm-up, not only those to
            health checks.
        crash_per_s: Requests in a second beyond which it crashes while it is
            cold; None for no number.
        cold_arrivals: When requests arrived while it was cold, those with
            another identifier of a searcher left out.
        crashes: Number of these crashes.
        health_checks: Number of health checks received.
    """

    def __init__(self, searcher_id, service, zone="z", records=(), work_s=0.0):
        self.searcher_id = searcher_id
        self.service = service
        self.zone = zone
        self.records = list(records)
        self.work_s = work_s
        self.runs = collections.Counter()
        self.arrivals = 0
        self.leaving = False
        self.starts = 0
        self.pause_value = "1"
        self.limit_per_s = None
        self.cold_until = 0.0
        self.warmup_value = None
        self.states_warmup = False
        self.crash_per_s = None
        self.cold_arrivals = []
        self.crashes = 0
        self.health_checks = 0
        self.arrived_at = []
        self.arrived = []
        self.received = collections.deque(maxlen=MAX_REQUESTS_KEPT)
        self.deadlines = []
        self.script = collections.deque()
        self._listen(0)

    def _listen(self, port: int) -> None:
        self.listener = eventlet.listen(("127.0.0.1", port))
        self.address = Address(*self.listener.getsockname())
        self.connections = set()
        self.threads = [eventlet.spawn(self._accept)]

    def restart(self, warmup_s: float) -> None:
        """Starts again at the same address, cold, after `close`."""
        self.starts += 1
        self.cold_until = time.monotonic() + warmup_s
        self._listen(self.address.port)

    def store_entry(self, **changes) -> dict:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.address.host}:{self.address.port}",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 2,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            **changes,
        }

    def register(self, store, **changes) -> None:
        """Writes its entry to a store."""
        store.put_json(
            f"servers/{self.searcher_id}", self.store_entry(**changes)
        )

    def close(self) -> None:
        """Stops like a crash: resets all connections."""
        self.listener.close()
        for sock in list(self.connections):
            reset_connection(sock)
        for thread in self.threads:
            if thread is not eventlet.getcurrent():
                thread.kill()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections.add(sock)
            self.threads.append(eventlet.spawn(self._serve_connection, sock))

    def _serve_connection(self, sock) -> None:
        reader = RequestReader(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
        try:
            while data := sock.recv(READ_BYTES):
                for message in reader.feed(data):
                    if not self._handle_request(sock, message):
                        return
        except (OSError, EOFError, httptools.HttpParserError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def _handle_request(self, sock, message) -> bool:
        """Answers a request; returns whether to keep the connection."""
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        self.received.append(message.headers)
        expected = message.header(b"kumquatspur-expected-instance")
        if expected and expected.decode() != self.searcher_id:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"
            )
            return True
        if time.monotonic() < self.cold_until and self._is_too_cold():
            self.crashes += 1
            self.close()
            return False
        if message.target == HEALTH_PATH:
            self.health_checks += 1
            lines = ["HTTP/1.1 200 OK", "content-length: 0"]
            lines.append(self._warmup_line())
            sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            return True
        behaviour = self.script.popleft() if self.script else "ok"
        request_id = message.header(b"kumquatspur-attempt-id").decode()
        self.arrived.append((self.arrived_at[-1], request_id))
        if behaviour in ("shed", "pause"):
            lines = [
                "HTTP/1.1 503 Full",
                "content-length: 0",
                "Kumquatspur-Not-Executed: 1",
                f"Kumquatspur-Attempt-Id: {request_id}",
            ]
            if behaviour == "pause":
                lines.append(f"Retry-After: {self.pause_value}")
            lines += self._statements()
            sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
            return True
        if behaviour in ENDLESS:
            start, unit = ENDLESS[behaviour]
            sock.sendall(start)
            while True:
                sock.sendall(unit * (ENDLESS_WRITE_BYTES // len(unit)))
        self.runs[request_id] += 1
        deadline = message.header(b"kumquatspur-deadline-ms")
        self.deadlines.append(int(deadline))
        if behaviour == "crash":
            self.close()
            return False
        if behaviour == "hang":
            eventlet.sleep(60)
        eventlet.sleep(self.work_s)
        return self._send_reply(sock, behaviour, request_id, message)

    def _is_too_cold(self) -> bool:
        """Counts a request to a cold searcher; returns whether it crashes."""
        now = self.arrived_at[-1]
        self.cold_arrivals.append(now)
        if self.crash_per_s is None:
            return False
        recent = sum(now - at < 1.0 for at in self.cold_arrivals)
        return recent > self.crash_per_s

    def _warmup_line(self) -> str:
        left_ms = max(0.0, self.cold_until - time.monotonic()) * 1000.0
        value = self.warmup_value
        value = f"{left_ms:.0f}" if value is None else value
        return f"Kumquatspur-Warmup-Ms: {value}"

    def _statements(self) -> list[str]:
        """Returns the header lines with which it speaks of itself."""
        lines = []
        if self.leaving:
            lines.append("Server-Leaving: 1")
        if self.limit_per_s is not None:
            lines.append(f"Server-Limit: {self.limit_per_s}")
        if self.states_warmup:
            lines.append(self._warmup_line())
        return lines

    def _send_reply(self, sock, behaviour, request_id, message) -> bool:
        body = b"".join(self.records)
        if message.method != b"GET":
            body = b"%b %b %b" % (
                message.method,
                message.target,
                message.body(),
            )
        lines = [
            "HTTP/1.1 500 Broken"
            if behaviour == "error"
            else "HTTP/1.1 200 OK",
            f"Kumquatspur-Attempt-Id: {request_id}"
            + ("0" if behaviour == "other_id" else ""),
            "Kumquatspur-Server-Load: 1,0,2",
            "Keep-Alive: timeout=5",
        ]
        lines += self._statements()
        if behaviour != "unsigned":
            seal = f"{self.searcher_id}.{request_id}"
            lines.append(f"Kumquatspur-Server-Seal: {seal}")
        if behaviour == "encoded":
            lines.append("Content-Encoding: gzip")
        if behaviour not in ("no_length", "reset_body"):
            lines.append(f"Content-Length: {len(body)}")
        reply = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        if behaviour == "lost":
            reset_connection(sock)
            return False
        if behaviour == "crash_midway":
            sock.sendall(reply[: -len(body) // 2])
            eventlet.sleep(0.02)
            self.close()
            return False
        if behaviour in ("truncated", "reset_body"):
            sock.sendall(reply[: -len(body) // 2])
            eventlet.sleep(0.02)
            reset_connection(sock)
            return False
        sock.sendall(reply * (2 if behaviour == "extra" else 1))
        if behaviour == "late_copy":
            eventlet.sleep(LATE_COPY_DELAY_S)
            sock.sendall(reply)
        return behaviour != "no_length"


def scattered_route(name, prefix, services, **changes) -> dict:
    """Returns a route over shards, in the format of the configuration."""
    shards = {
        "fanout-services": list(services),
        "result-limit": 5,
        "min-shard-ratio": 0.5,
    }
    return _route(name, prefix, {**shards, **changes})


def forwarded_route(name, prefix, service, **changes) -> dict:
    """Returns a route to one service, in the format of the configuration."""
    return _route(name, prefix, {"service": service, **changes})


def _route(name: str, prefix: str, fields: dict) -> dict:
    return {
        "name": name,
        "host": "shop.example",
        "prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": 600,
        "target-latency-ms": 200,
        "priority": 1,
        "max-attempts": 2,
        **fields,
    }


def make_config(version, routes, service_fields=None, **limits) -> dict:
    """Returns a configuration document as an operator would write it.

    Args:
        version: Its version.
        routes: Its routes.
        service_fields: Further fields of each service.
        **limits: Limits for clients that differ from the usual ones.
    """
    services = set()
    for route in routes:
        services.update(route.get("fanout-services", ()))
        services.update([route["service"]] if "service" in route else [])
    return {
        "config-version": version,
        "routes": routes,
        "services": [
            {"name": name, "max-connections": 26, **(service_fields or {})}
            for name in sorted(services)
        ],
        "limits": {
            "header-bytes": 8192,
            "max-body-bytes": 65536,
            "header-timeout-ms": 2000,
            "idle-timeout-ms": 5000,
            **limits,
        },
    }


def parse_reply(data: bytes) -> tuple[int, dict[str, str], bytes]:
    """Returns status, headers in lower case and body of one response."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = urllib.parse.unquote(value.strip())
    return int(lines[0].split()[1]), fields, body
