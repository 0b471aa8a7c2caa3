"""Hosts of an earlier build beside hosts of this one, while they are replaced.

Each test takes an earlier build from the repository's history, replaces its
hosts one after the other by this build and back again, under load.
"""

import http.client
import io
import pathlib
import signal
import subprocess
import tarfile
import tempfile
import unittest

import eventlet

from standins.platform_deployment import (
    LOOPBACK,
    PlatformDeployment,
    send_request,
    wait_until,
)

ZONES = ("z1", "z2", "z3")
PAUSE_S = 0.02
MIXED_S = 1.0
CHANGE_WAIT_S = 10.0
LIMIT_PER_S = 40.0


def extract_build(commit, folder):
    """Writes the package of an earlier commit to a folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "kumquatspur"],
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tree:
        tree.extractall(folder, filter="data")
    return folder


def read_metrics(host):
    """Returns the metrics of a host by name."""
    connection = http.client.HTTPConnection(LOOPBACK, host.ports[3], timeout=5)
    try:
        connection.request("GET", "/metrics")
        lines = connection.getresponse().read().decode().splitlines()
    finally:
        connection.close()
    return dict(line.rsplit(" ", 1) for line in lines)


class MixedBuildsTest(unittest.TestCase):
    """Guards against messages that one of two builds does not understand."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.deployment = PlatformDeployment(self.folder, ZONES, 1)
        self.addCleanup(self.deployment.stop)
        self.statuses = []
        self.lost = []
        self.stopping = set()
        self.loading = True

    def load(self, host):
        number = 0
        while self.loading:
            number += 1
            was_stopping = host.name in self.stopping
            path = "/all/x" if number % 2 else "/one/x"
            reply = send_request(host, path, f"{host.name}-{number}")
            if reply is not None:
                self.statuses.append(reply[0])
            elif not was_stopping and host.name not in self.stopping:
                self.lost.append((host.name, path))
            eventlet.sleep(PAUSE_S)

    def replace(self, host, source):
        """Stops a host as planned and starts it with another build."""
        self.stopping.add(host.name)
        host.signal(signal.SIGTERM)
        host.wait_for_exit()
        host.source = source
        host.start()
        wait_until(host.is_ready)
        self.stopping.discard(host.name)

    def check_change_everywhere(self):
        """Changes the configuration, which all hosts must put in force."""
        self.deployment.replace_marker_route()
        for path, status in self.deployment.marker_route_statuses():
            for host in self.deployment.hosts.values():
                wait_until(
                    lambda host=host, path=path, status=status: (
                        self.status(host, path) == status
                    ),
                    CHANGE_WAIT_S,
                )

    def status(self, host, path):
        reply = send_request(host, path, "change")
        return reply and reply[0]

    def check_no_message_was_rejected(self):
        for host in self.deployment.hosts.values():
            metrics = read_metrics(host)
            self.assertNotIn(
                "kumquatspur_peer_messages_rejected", metrics, host.name
            )
            self.assertNotIn("kumquatspur_internal_errors", metrics, host.name)

    def roll_from(self, commit):
        earlier = extract_build(commit, self.folder / commit)
        hosts = list(self.deployment.hosts.values())
        for host in hosts:
            host.source = earlier
        name = "i-single-z1"
        self.deployment.searchers[name].limit_per_s = LIMIT_PER_S
        self.deployment.start()
        loads = [eventlet.spawn(self.load, host) for host in hosts]
        for source in (None, earlier):
            for host in hosts:
                self.replace(host, source)
                eventlet.sleep(MIXED_S)
                self.check_no_message_was_rejected()
                self.check_change_everywhere()
        # A host is lost while its build is not the others'.
        self.replace(hosts[0], None)
        self.stopping.add(hosts[1].name)
        hosts[1].signal(signal.SIGKILL)
        hosts[1].wait_for_exit()
        self.check_served(hosts[0])
        self.check_served(hosts[2])
        self.loading = False
        for load in loads:
            load.wait()
        self.assertEqual(self.lost, [])
        self.assertLessEqual(set(self.statuses), {200, 503, 504})
        share = self.statuses.count(200) / len(self.statuses)
        self.assertGreater(share, 0.95)

    def check_served(self, host):
        self.assertIn(self.status(host, "/all/x"), (200, 503))
        wait_until(lambda: self.status(host, "/all/x") == 200)

    def test_build_before_shared_rates(self):
        self.roll_from("4db04e5")

    def test_build_before_accounts_and_evacuation(self):
        self.roll_from("a764daa")

    def test_build_before_structs(self):
        self.roll_from("9fec08e")


if __name__ == "__main__":
    unittest.main()
