import json
import socket
import time
import unittest

from standins.shapes import ADMIN_KEY, HOST
from standins.small_deployment import small_deployment

DAEMON = "oslo-1-a"
READ_TIMEOUT_S = 20.0


def post(body: bytes, *headers: str, path="/v1/query") -> bytes:
    """Builds a request; adds Content-Length unless a header frames the body."""
    lines = [f"POST {path} HTTP/1.1", "Host: x", *headers]
    if not any(h.lower().startswith(("content-l", "transfer")) for h in lines):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def query(**fields) -> bytes:
    """Builds a query with some fields replaced."""
    return post(json.dumps({"service": "s", "query": 1, **fields}).encode())


def nested(depth: int) -> bytes:
    """Builds a query with deeply nested lists."""
    text = '{"service": "s", "query": ' + "[" * depth + "]" * depth + "}"
    return post(text.encode())


JSON_CASES = {
    "empty": (post(b""), 400),
    "malformed": (post(b'{"service": '), 400),
    "not an object": (post(b"[1]"), 400),
    "invalid UTF-8": (post(b'{"service": "\xff\xfe", "query": 1}'), 400),
    "UTF-16": (post('{"service": "s", "query": 1}'.encode("utf-16")), 400),
    "NaN": (post(b'{"service": "s", "query": NaN}'), 400),
    "Infinity": (post(b'{"service": "s", "query": [-Infinity]}'), 400),
    "infinite number": (post(b'{"service": "s", "query": 1e999}'), 400),
    "endless digits": (
        post(b'{"service": "s", "query": ' + b"9" * 9999 + b"}"),
        400,
    ),
    "deep nesting": (nested(30_000), 400),
    "nesting above the models' limit": (nested(600), 400),
    "negative deadline": (query(deadline_ms=-1), 400),
    "huge deadline": (query(deadline_ms=10**30), 400),
    "deadline as text": (query(deadline_ms="5"), 400),
    "deadline NaN": (
        post(b'{"service": "s", "query": 1, "deadline_ms": NaN}'),
        400,
    ),
    "limit zero": (query(limit=0), 400),
    "wrong type": (query(service=7), 400),
    "unknown field": (query(servcie="s"), 400),
    "repeatable as text": (query(repeatable="no"), 400),
    "shards as text": (query(shards="abc"), 400),
    "lone surrogate": (query(service="\ud800"), 400),
}
HTTP_CASES = {
    "oversize": (post(b"x" * 100_000), 413),
    "oversize, unsent": (post(b"", "Content-Length: 99999999999"), 413),
    "no length": (b"POST /v1/query HTTP/1.1\r\n\r\n", 411),
    "negative length": (post(b"", "Content-Length: -5"), 400),
    "length as text": (post(b"", "Content-Length: x"), 400),
    "length with sign": (post(b"{}", "Content-Length: +2"), 411),
    "two lengths": (
        post(b"{}", "Content-Length: 2", "Content-Length: 99"),
        400,
    ),
    "chunked": (
        post(b"2\r\n{}\r\n0\r\n\r\n", "Transfer-Encoding: chunked"),
        411,
    ),
    "chunked and length": (
        post(b"{}", "Transfer-Encoding: chunked", "Content-Length: 2"),
        400,
    ),
    "header without colon": (post(b"{}", "nonsense"), 411),
    "long header": (post(b"{}", "A: " + "x" * 70_000), 400),
    "header flood": (post(b"{}", *(f"H{i}: x" for i in range(5000))), 431),
    "long path": (post(b"{}", path="/" + "x" * 20_000), 414),
    "garbage": (b"\x00\xff\x16\x03\x01\r\n\r\n", 400),
    "unknown version": (b"GET /v1/health HTTP/9.9\r\n\r\n", 505),
    "unknown method": (b"BREW /v1/query HTTP/1.1\r\n\r\n", 405),
    "wrong method": (b"GET /v1/query HTTP/1.1\r\n\r\n", 405),
    "unknown path": (b"GET /nothing HTTP/1.1\r\n\r\n", 404),
    "path with bytes": (b"GET /%ff%00/../v1 HTTP/1.1\r\n\r\n", 404),
    "administration": (
        b"GET /v1/status HTTP/1.1\r\n"
        b"Authorization: Bearer " + ADMIN_KEY.encode() + b"\r\n\r\n",
        404,
    ),
    "metrics": (b"GET /v1/metrics HTTP/1.1\r\n\r\n", 404),
}


class CallerBorderTest(unittest.TestCase):
    """Malformed and slow input to one running daemon."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = small_deployment(cls, zones=1, hosts="a")
        cls.deployment.start_daemon(DAEMON)
        settings = cls.deployment.settings[DAEMON]
        cls.port = settings["caller"]["port"]
        cls.admin_port = settings["admin"]["port"]
        cls.deployment.wait_until(
            lambda: cls.deployment.call("GET", cls.port, "/v1/health")
        )

    def connect(self):
        connection = socket.create_connection((HOST, self.port), READ_TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def exchange(self, data: bytes, end=False):
        """Sends bytes and returns status and body of the reply."""
        connection = self.connect()
        connection.sendall(data)
        if end:
            connection.shutdown(socket.SHUT_WR)
        file = connection.makefile("rb")
        status = int(file.readline().split()[1])
        length = 0
        while (line := file.readline().strip()) and line:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        return status, json.loads(file.read(length))

    def assert_still_serves(self):
        status, reply = self.exchange(query())
        self.assertEqual(status, 503)
        self.assertEqual(reply["error"]["reason"], "no_configuration")
        status = self.deployment.status(DAEMON)
        self.assertEqual(status["in_flight"], 0)

    def test_bad_input_gets_a_typed_error_and_is_not_run(self):
        for name, (data, expected) in {**JSON_CASES, **HTTP_CASES}.items():
            with self.subTest(name):
                status, reply = self.exchange(data)
                self.assertEqual(status, expected)
                self.assertEqual(reply["verdict"], "not_run")
                self.assertTrue(reply["error"]["reason"])
                self.assertTrue(reply["error"]["message"])
        self.assert_still_serves()

    def test_cut_off_body(self):
        data = post(b'{"serv', "Content-Length: 50")
        status, reply = self.exchange(data, end=True)
        self.assertEqual((status, reply["verdict"]), (400, "not_run"))
        self.connect().sendall(data)
        self.assert_still_serves()

    def test_slow_senders_are_ended_in_time(self):
        cases = {
            "silent": b"",
            "request line": b"POST /v1/qu",
            "headers": b"POST /v1/query HTTP/1.1\r\nA: b\r\nC",
            "body": post(b'{"serv', "Content-Length: 50"),
        }
        open_now = {name: self.connect() for name in cases}
        for name, connection in open_now.items():
            connection.sendall(cases[name])
        end = time.monotonic() + READ_TIMEOUT_S
        while open_now and time.monotonic() < end:
            for name, connection in list(open_now.items()):
                if self.has_ended(connection):
                    del open_now[name]
            time.sleep(0.2)
        self.assertEqual(list(open_now), [])
        self.assert_still_serves()

    def has_ended(self, connection) -> bool:
        """Sends one more byte; returns whether the server replied or closed."""
        connection.setblocking(False)
        try:
            connection.send(b"x")
            connection.recv(1)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def test_kept_connection_serves_after_a_bad_request(self):
        connection = self.connect()
        file = connection.makefile("rb")
        for data in (post(b"{}"), query(limit=-1), query()):
            connection.sendall(data)
            self.assertIn(file.readline().split()[1], (b"400", b"503"))
            while (line := file.readline()) != b"\r\n":
                if line.lower().startswith(b"content-length"):
                    length = int(line.split(b":")[1])
            file.read(length)

    def test_administration_answers_only_its_key(self):
        for key in ("", "wrong", "\xff"):
            with self.subTest(key=key):
                status, reply = self.deployment.call(
                    "GET", self.admin_port, "/v1/status", key=key
                )
                self.assertEqual(status, 401)
                self.assertEqual(reply["verdict"], "not_run")
        status, _ = self.deployment.call(
            "POST", self.admin_port, "/v1/query", {}, ADMIN_KEY
        )
        self.assertEqual(status, 404)


if __name__ == "__main__":
    unittest.main()
