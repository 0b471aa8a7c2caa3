import eventlet

eventlet.monkey_patch()

import socket  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

import msgpack  # noqa: E402

from kumquatspur.border import peer_codec  # noqa: E402
from kumquatspur.border.settings import Settings  # noqa: E402
from kumquatspur.core import events, messages  # noqa: E402
from kumquatspur.core.records import Address  # noqa: E402
from kumquatspur.wire.peer_stream import PeerStreams  # noqa: E402
from standins.relay import Relay  # noqa: E402

KEY = "peer-key-of-tests"
SUSPECT_S = 0.4


def make_settings(name, zone):
    endpoint = {"port": 1}
    roles = ("caller", "peer", "admin", "store", "host_list")
    return Settings.model_validate(
        {
            "name": name,
            "zone": zone,
            "peer_key": KEY,
            "admin_key": "admin-key",
            "timing": {"suspect_s": SUSPECT_S},
            **dict.fromkeys(roles, endpoint),
        }
    )


def make_heartbeat(name="a", zone="z1", reports=()):
    address = Address("127.0.0.1", 1)
    return messages.Heartbeat(
        name, zone, 1, 0, address, 0, False, False, False, reports=reports
    )


def make_hello(name="a", zone="z1", key=KEY):
    return messages.Hello(name, zone, 1, key, Address("127.0.0.1", 1))


class PeerStreamTest(unittest.TestCase):
    """A sender and a receiver, connected through a TCP relay."""

    def setUp(self):
        self.addCleanup(eventlet.hubs.use_hub)
        self.received = []
        self.sent_events = []
        zones = {"b": "", "c": "z3"}
        receiver = make_settings("b", "z2")
        self.receiver = PeerStreams(
            receiver, 1, self.received.append, zones.get
        )
        sender = make_settings("a", "z1")
        self.sender = PeerStreams(sender, 1, self.sent_events.append)
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.port = listener.getsockname()[1]
        self.relay = Relay(self.port)
        self.addCleanup(self.relay.close)
        unused = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(unused.close)
        eventlet.spawn_n(self.receiver.serve, listener)
        eventlet.spawn_n(self.sender.serve, unused)

    def send(self):
        address = Address("127.0.0.1", self.relay.port)
        return self.sender.send(
            "b", address, make_heartbeat(), time.monotonic()
        )

    def wait_until(self, condition, seconds=10.0):
        with eventlet.Timeout(seconds):
            while not condition():
                eventlet.sleep(0.01)

    def deliver_one(self):
        count = len(self.received)

        def arrived():
            if not self.sender.unacknowledged_frames():
                self.send()
            return len(self.received) > count

        self.wait_until(arrived)

    def test_broken_stream_is_detected_and_replaced(self):
        lost = events.PeerLost("b")
        for mode in ("silent", "cut"):
            with self.subTest(mode):
                self.deliver_one()
                self.sent_events.clear()
                self.relay.set_mode(mode)
                self.relay.set_mode("pass")
                if mode == "silent":
                    self.send()
                self.wait_until(lambda: lost in self.sent_events)
                self.deliver_one()

    def test_half_open_inbound_stream_is_closed(self):
        self.deliver_one()
        self.assertEqual(len(self.receiver.inbound), 1)
        self.relay.set_mode("silent")
        self.wait_until(lambda: not self.receiver.inbound)

    def test_idle_stream_closed_by_the_peer_reports_no_loss(self):
        self.deliver_one()
        self.wait_until(lambda: not self.receiver.inbound)
        eventlet.sleep(0.05)
        self.assertEqual(self.sent_events, [])
        self.deliver_one()

    def test_reconnects_to_an_unreachable_peer_back_off(self):
        self.relay.set_mode("refuse")
        end = time.monotonic() + 2.0
        while time.monotonic() < end:
            self.send()
            eventlet.sleep(0.005)
        # Delays of at least 0.1, 0.2, 0.4, 0.8, 1.0 s and so on.
        self.assertLessEqual(self.relay.attempts, 5)
        self.relay.set_mode("pass")
        self.deliver_one()

    def test_invalid_input_is_rejected(self):
        def pack(message, **fields):
            name, values = msgpack.unpackb(peer_codec.encode(message))
            return msgpack.packb([name, {**values, **fields}])

        hello = peer_codec.encode(make_hello())
        heartbeat = make_heartbeat()
        report = messages.SearcherReport(
            "s", (1,), False, True, 1, float("nan")
        )
        cases = {
            "wrong key": pack(make_hello(key="x" * 20)),
            "no handshake": peer_codec.encode(heartbeat),
            "own name": pack(make_hello("b", "z2")),
            "another zone": pack(make_hello("c", "z1")),
            "garbage": b"\xc1\xff\x00GET / HTTP/1.1\r\n\r\n",
            "http": b"GET /v1/status HTTP/1.1\r\n\r\n",
            "huge array": b"\xdd\x7f\xff\xff\xff",
            "oversize": hello + b"\xc6\x7f\xff\xff\xff" + b"x" * 100,
            "deep nesting": hello + b"\x91" * 5000 + b"\x00",
            "wrong type": hello + pack(heartbeat, incarnation="many"),
            "missing field": hello + msgpack.packb(["Heartbeat", {}]),
            "unknown type": hello + msgpack.packb(["Nonsense", {}]),
            "map key": hello + msgpack.packb({1: 2}),
            "other sender": hello + pack(heartbeat, name="c", zone="z3"),
            "not a number": hello
            + pack(messages.SubAnswer("s", "r", (), (report,))),
            "lone surrogate": pack(make_hello()).replace(
                KEY.encode(), b"\xed\xa0\x80" + KEY.encode()[3:]
            ),
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.received.clear()
                peer = socket.create_connection(("127.0.0.1", self.port), 5.0)
                peer.sendall(data)
                peer.settimeout(5.0)
                try:
                    self.assertEqual(peer.recv(1), b"")
                except ConnectionResetError:
                    pass
                peer.close()
                self.assertEqual(self.received, [])
        self.deliver_one()


if __name__ == "__main__":
    unittest.main()
