"""Planned stops of entry hosts while clients send requests."""

import pathlib
import signal
import socket
import tempfile
import time
import unittest

import eventlet

from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import (
    LOOPBACK,
    PlatformDeployment,
    request_fields,
    wait_until,
)
from standins.platform_path_case import PlatformPathCase
from standins.platform_searcher import forwarded_route

CLIENTS = 6
PAUSE_S = 0.01
LOAD_S = 5.0
# A request that was sent this long before its connection ended had been read:
# the host reads as soon as it accepts, and refuses later connections.
READ_WITHIN_S = 0.05


def send_and_classify(port, number):
    """Sends one request on a new connection; returns how it ended."""
    sock = socket.socket()
    try:
        sock.settimeout(3.0)
        sock.connect((LOOPBACK, port))
    except OSError:
        sock.close()
        return "refused"
    fields = "".join(
        f"{name}: {value}\r\n"
        for name, value in request_fields(f"stop{number}").items()
    )
    sent_at = time.monotonic()
    received = b""
    try:
        sock.sendall(f"GET /one/x HTTP/1.1\r\n{fields}\r\n".encode())
        while b"\r\n\r\n" not in received:
            data = sock.recv(65536)
            if not data:
                break
            received += data
    except OSError:
        pass
    finally:
        sock.close()
    if b"\r\n\r\n" in received:
        return received.split()[1].decode()
    read = time.monotonic() - sent_at > READ_WITHIN_S
    return "cut" if read or received else "not read"


class PlannedStopTest(unittest.TestCase):
    def test_no_accepted_request_is_cut_under_load(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = PlatformDeployment(pathlib.Path(folder.name), ("z1",), 1)
        self.addCleanup(deployment.stop)
        deployment.start()
        (host,) = deployment.hosts.values()
        outcomes = []
        end = time.monotonic() + LOAD_S

        def load(client):
            number = 0
            while time.monotonic() < end:
                number += 1
                outcome = send_and_classify(host.ports[0], f"{client}-{number}")
                outcomes.append(outcome)
                eventlet.sleep(PAUSE_S)

        clients = [eventlet.spawn(load, number) for number in range(CLIENTS)]
        wait_until(lambda: outcomes.count("200") > 20)
        host.signal(signal.SIGTERM)
        for client in clients:
            client.wait()
        self.assertFalse(host.is_running())
        self.assertIn("refused", outcomes)
        # 504 is an answer too: the searcher was still at work when the host had
        # to answer, or at the deadline on a busy machine.
        self.assertLessEqual(
            set(outcomes), {"200", "503", "504", "refused", "not read"}
        )
        self.assertLessEqual(outcomes.count("not read"), 2)


class RequestAtStopTest(PlatformPathCase):
    def test_request_that_outlasts_the_stop_is_answered_before_it(self):
        route = forwarded_route("one", "/one/", "single", **{"timeout-ms": 9e3})
        self.put_config(2, [route])
        self.wait_ready()
        wait_until(lambda: self.host.state.table.config.version == 2)
        for copy in "ab":
            self.searchers[f"i-single-{copy}"].script.extend(["hang"] * 2)
        request = self.request("/one/x").replace(b"Ms: 500", b"Ms: 9000")
        start = time.monotonic()
        self.host.request_stop()
        status, fields, _ = self.exchange(self.connect(), request)
        self.assertEqual(status, 504)
        self.assertEqual(fields["connection"], "close")
        grace_s = self.host.settings.bounds.grace_s
        self.assertLess(time.monotonic() - start, grace_s)

    def test_late_request_that_must_not_repeat_is_refused(self):
        """It would be cut at work, and its client could not send it again."""
        self.wait_ready()
        state = self.host.state
        window = state.latency_window("once")
        for number in range(200):
            window.add(0.3 if number % 20 == 0 else 0.01)
        state.answer_by = monotonic_s() + 0.2
        status, _, _ = self.exchange(self.connect(), self.request("/once/x"))
        self.assertEqual(status, 503)
        state.answer_by = monotonic_s() + 30.0
        status, _, _ = self.exchange(self.connect(), self.request("/once/x"))
        self.assertEqual(status, 200)

    def test_connection_that_waits_to_be_accepted_is_served(self):
        self.wait_ready()
        front = self.host.front
        front._accept_thread.kill()
        sock = self.connect()
        sock.sendall(self.request("/one/x"))
        front.stop_accepting()
        # The request has arrived, but was not read yet.
        front.close_idle()
        status, _, _ = self.exchange(sock, b"")
        self.assertEqual(status, 200)
        with self.assertRaises(OSError):
            self.connect()


if __name__ == "__main__":
    unittest.main()
