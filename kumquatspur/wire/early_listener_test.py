import json
import pathlib
import socket
import tempfile
import unittest
import unittest.mock

from eventlet.patcher import original

from kumquatspur.wire import early_listener
from kumquatspur.wire.early_listener import any_accepts, open_early_listener
from standins.platform_deployment import free_ports

HOST = "127.0.0.1"


class EarlyListenerTest(unittest.TestCase):
    """Guards against clients refused by all hosts while these load."""

    def setUp(self):
        # It runs before eventlet is loaded.
        unpatched = unittest.mock.patch.multiple(
            early_listener, socket=original("socket"), select=original("select")
        )
        unpatched.start()
        self.addCleanup(unpatched.stop)
        self.front, self.own, self.other = free_ports(3)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        self.write({})

    def write(self, changes):
        settings = {
            "front": f"{HOST}:{self.front}",
            "peer": f"{HOST}:{self.own}",
            "seeds": [f"{HOST}:{self.own}", f"{HOST}:{self.other}"],
        }
        self.path.write_text(json.dumps({**settings, **changes}))

    def open(self):
        listener = open_early_listener(str(self.path))
        if listener is not None:
            self.addCleanup(listener.close)
        return listener

    def serve_other(self):
        # A green socket is closed when nothing refers to it any more.
        self.server = socket.create_server((HOST, self.other))
        self.addCleanup(self.server.close)

    def test_clients_can_connect_if_no_other_host_runs(self):
        listener = self.open()
        client = socket.create_connection((HOST, self.front), timeout=2.0)
        self.addCleanup(client.close)
        client.sendall(b"request")
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.recv(100), b"request")

    def test_clients_are_refused_if_another_host_runs(self):
        self.serve_other()
        self.assertIsNone(self.open())
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((HOST, self.front), timeout=2.0)

    def test_own_address_is_no_other_host(self):
        own = socket.create_server((HOST, self.own))
        self.addCleanup(own.close)
        self.assertIsNotNone(self.open())

    def test_faulty_settings_are_left_to_the_later_check(self):
        for changes in (
            {"front": None},
            {"front": "nowhere"},
            {"front": f"{HOST}:x"},
            {"seeds": 3},
            {"seeds": ["x:y"]},
        ):
            with self.subTest(changes=changes):
                self.write(changes)
                self.assertIsNone(self.open())
        self.path.write_text("{")
        self.assertIsNone(self.open())
        self.assertIsNone(open_early_listener("/nowhere"))

    def test_address_in_use(self):
        taken = socket.create_server((HOST, self.front))
        self.addCleanup(taken.close)
        self.assertIsNone(self.open())

    def test_hosts_without_an_answer_are_not_waited_for(self):
        full = socket.socket()
        self.addCleanup(full.close)
        full.bind((HOST, self.other))
        self.assertFalse(any_accepts([(HOST, self.other)], 0.02))


if __name__ == "__main__":
    unittest.main()
