import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import pathlib  # noqa: E402
import signal  # noqa: E402
import unittest  # noqa: E402

import urllib3  # noqa: E402

from standins.shapes import HOST  # noqa: E402
from standins.small_deployment import (  # noqa: E402
    DRAIN_S,
    SERVICE,
    small_deployment,
    start_small_deployment,
)

CLIENT_COUNT = 8
HEALTH_INTERVAL_S = 0.05


class Balancer:
    """Sends queries to the entry hosts whose health check succeeds.

    Attributes:
        failures: One line for each failed query.
        answered: Number of full answers, by daemon.
    """

    def __init__(self, deployment):
        self.pools = {
            name: urllib3.HTTPConnectionPool(
                HOST, settings["caller"]["port"], maxsize=CLIENT_COUNT
            )
            for name, settings in deployment.settings.items()
        }
        self.healthy = set()
        self.failures = []
        self.answered = dict.fromkeys(self.pools, 0)
        self.poll()
        self.running = True
        self.threads = [eventlet.spawn(self.keep_polling)]
        for number in range(CLIENT_COUNT):
            self.threads.append(eventlet.spawn(self.send, number))

    def keep_polling(self):
        while self.running:
            self.poll()
            eventlet.sleep(HEALTH_INTERVAL_S)

    def poll(self):
        for name, pool in self.pools.items():
            try:
                reply = pool.urlopen("GET", "/v1/health", retries=False)
                good = reply.status == 200
            except urllib3.exceptions.HTTPError:
                good = False
            (self.healthy.add if good else self.healthy.discard)(name)

    def send(self, number):
        body = json.dumps(
            {"service": SERVICE, "query": number, "deadline_ms": 3000}
        )
        while self.running:
            for name in sorted(self.healthy):
                self.query(name, body)

    def query(self, name, body):
        try:
            reply = self.pools[name].urlopen(
                "POST", "/v1/query", body=body, retries=False
            )
        except urllib3.exceptions.HTTPError as error:
            self.failures.append(f"{name}: {error!r}")
            return
        full = reply.status == 200 and reply.json()["coverage"]["full"]
        if full:
            self.answered[name] += 1
        else:
            self.failures.append(f"{name}: {reply.status} {reply.data}")

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.wait()


class GracefulStopTest(unittest.TestCase):
    """Planned stops of daemons."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = small_deployment(cls, zones=2, hosts="ab")
        start_small_deployment(cls.deployment)

    def test_stop_under_load_loses_no_query(self):
        name = "oslo-1-a"
        balancer = Balancer(self.deployment)
        self.deployment.wait_until(lambda: balancer.answered[name] >= 20)
        process = self.deployment.request_stop(name)
        self.deployment.wait_until(
            lambda: name not in balancer.healthy, DRAIN_S
        )
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(20.0), 0)
        count = sum(balancer.answered.values())
        self.deployment.wait_until(
            lambda: sum(balancer.answered.values()) >= count + 20
        )
        balancer.stop()
        self.assertEqual(balancer.failures, [])

    def test_stop_finishes_a_query_in_flight(self):
        searchers = self.deployment.files["10-shop-counter.json"]["searchers"]
        for name in searchers:
            self.deployment.set_fault(name, slow_factor=400.0)
            self.addCleanup(self.deployment.set_fault, name, slow_factor=1.0)
        body = {
            "service": SERVICE,
            "query": "slow",
            "deadline_ms": 9000,
            "repeatable": False,
        }
        daemons = ["oslo-1-b", "oslo-2-b"]
        threads = [
            eventlet.spawn(self.deployment.query, name, body)
            for name in daemons
        ]
        port = self.deployment.settings["oslo-1-b"]["caller"]["port"]
        idle = eventlet.connect((HOST, port))
        self.deployment.wait_until(lambda: self.all_busy(daemons))
        stops = [self.deployment.request_stop(name) for name in daemons]
        for thread in threads:
            status, reply = thread.wait()
            self.assertEqual(status, 200)
            self.assertEqual(reply["coverage"]["missing"], [])
        self.assertEqual(idle.recv(1), b"")
        self.assertEqual([p.wait(20.0) for p in stops], [0, 0])

    def all_busy(self, names):
        return all(self.deployment.status(n)["in_flight"] for n in names)


class StopDuringStartUpTest(unittest.TestCase):
    """A daemon that starts without store, host list and configuration."""

    def test_stop_during_start_up(self):
        deployment = small_deployment(type(self), zones=1, hosts="a")
        port = deployment.settings["oslo-1-a"]["caller"]["port"]
        stages = {
            "handler set": lambda: catches_sigterm(process.pid),
            "listening": lambda: deployment.call("GET", port, "/v1/health"),
        }
        for name, reached in stages.items():
            with self.subTest(name):
                deployment.start_daemon("oslo-1-a")
                process = deployment.processes["oslo-1-a"]
                deployment.wait_until(reached)
                self.assertEqual(deployment.stop("oslo-1-a"), 0)


def catches_sigterm(pid):
    """Returns whether a process has set a handler of SIGTERM."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    mask = status.partition("SigCgt:")[2].split()[0]
    return bool(int(mask, 16) >> (signal.SIGTERM - 1) & 1)


if __name__ == "__main__":
    unittest.main()
