import eventlet

eventlet.monkey_patch()

import dataclasses  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

from standins.shapes import HOST, ServiceShape, config_files  # noqa: E402
from standins.small_deployment import (  # noqa: E402
    SERVICE,
    small_deployment,
    start_small_deployment,
)

RELAY_PORT_OFFSET = 150
SINGLE_ZONE_SERVICE = "purchasing"
SINGLE_ZONE_SHARD = "purchasing.orders/0"
ALL_SERVICE = "all-frames"
DEADLINE_MS = 1000
# Time limit for the detection of a cut and for changes to be in force.
DETECTION_TIMEOUT_S = 8.0
INTER_ZONE_LINKS = 8


class ZoneCutTest(unittest.TestCase):
    """Two availability zones with cut or stalled connections between them.

    Hosts of the second zone reach the first zone, the store and the host list
    through TCP relays. The first service has a replica of each shard in both
    zones, the second only in the first zone; the third queries all these
    shards.
    """

    @classmethod
    def setUpClass(cls):
        cls.deployment = deployment = small_deployment(cls, 2, "ab")
        single_zone = ServiceShape(
            SINGLE_ZONE_SERVICE, 1, 1, 2, 25, ("orders",)
        )
        services = (*deployment.shape.services, single_zone)
        shape = dataclasses.replace(deployment.shape, services=services)
        deployment.shape = shape
        deployment.files = config_files(shape)
        catalogues = [
            catalogue
            for value in deployment.files.values()
            for catalogue in value["catalogues"]
        ]
        deployment.files["90-all.json"] = {
            "services": {ALL_SERVICE: {"catalogues": catalogues}},
            "searchers": {},
        }
        cls.next_port = shape.base_port + RELAY_PORT_OFFSET
        cls.controls = []
        cls.arguments = []
        for name, settings in deployment.settings.items():
            cls.route_peers(name, settings)
        for settings in deployment.settings.values():
            if settings["zone"] == shape.zones[1]:
                for role in ("store", "host_list"):
                    settings[role] = cls.relay_to(settings[role])
        searchers = deployment.files["20-purchasing.json"]["searchers"]
        (single_zone_searcher,) = searchers.values()
        route = cls.relay_to(single_zone_searcher)
        cls.searcher_control = cls.controls.pop()
        deployment.spawn("relays", "standins.relay", *cls.arguments)
        start_small_deployment(
            deployment, lambda: single_zone_searcher.update(route)
        )

    @classmethod
    def route_peers(cls, name, target):
        """Makes hosts of the other zone reach a daemon through a relay."""
        route = cls.relay_to(target["peer"])
        for settings in cls.deployment.settings.values():
            if settings["zone"] != target["zone"]:
                settings.setdefault("peer_routes", {})[name] = route

    @classmethod
    def relay_to(cls, endpoint):
        port, control = cls.next_port, cls.next_port + 1
        cls.next_port += 2
        cls.controls.append(control)
        cls.arguments += ["--relay", port, endpoint["port"], control]
        cls.arguments = [str(argument) for argument in cls.arguments]
        return {"host": HOST, "port": port}

    def set_mode(self, mode):
        for control in self.controls:
            self.deployment.call("POST", control, "/fault", {"mode": mode})

    def attempts(self):
        """Returns the number of connection attempts between the zones."""
        replies = [
            self.deployment.call("GET", control, "/fault")[1]
            for control in self.controls[: len(self.deployment.settings)]
        ]
        return sum(reply["attempts"] for reply in replies)

    def query(self, daemon, service=SERVICE):
        body = {"service": service, "query": 1, "deadline_ms": DEADLINE_MS}
        started = time.monotonic()
        status, reply = self.deployment.query(daemon, body)
        late_s = time.monotonic() - started - DEADLINE_MS / 1000.0
        self.assertLess(late_s, 1.0)
        return status, reply

    def answers_in_full(self, daemon, service=SERVICE):
        status, reply = self.query(daemon, service)
        return status == 200 and reply["coverage"]["full"]

    def live_members(self, daemon):
        members = self.deployment.status(daemon)["members"]
        return {m["name"] for m in members if m["alive"]}

    def wait_until_recovered(self):
        others = len(self.deployment.settings) - 1
        for name in self.deployment.settings:
            self.deployment.wait_until(
                lambda name=name: len(self.live_members(name)) == others,
                DETECTION_TIMEOUT_S,
            )
            for service in (SERVICE, ALL_SERVICE):
                self.deployment.wait_until(
                    lambda n=name, s=service: self.answers_in_full(n, s),
                    DETECTION_TIMEOUT_S,
                )

    def test_each_side_serves_its_shards_and_heals(self):
        self.set_mode("stall")
        self.check_cut()
        self.check_recovery()

    def check_cut(self):
        names = list(self.deployment.settings)
        for name in names:
            self.query(name)
            self.deployment.wait_until(
                lambda name=name: len(self.live_members(name)) == 1,
                DETECTION_TIMEOUT_S,
            )
        before, started = self.attempts(), time.monotonic()
        for name in names * 5:
            self.assertTrue(self.answers_in_full(name), name)
        for name in names[:2]:
            self.assertTrue(self.answers_in_full(name, SINGLE_ZONE_SERVICE))
        for name in names[2:]:
            status, reply = self.query(name, SINGLE_ZONE_SERVICE)
            self.assertEqual((status, reply["verdict"]), (503, "not_run"))
            status, reply = self.query(name, ALL_SERVICE)
            self.assertEqual(status, 200)
            missing = {
                "shard": SINGLE_ZONE_SHARD,
                "reason": "zone_unreachable",
                "verdict": "not_run",
            }
            self.assertEqual(reply["coverage"]["missing"], [missing])
        eventlet.sleep(1.0)
        elapsed_s = time.monotonic() - started
        # At its longest backoff a stream connects at most once a second.
        bound = INTER_ZONE_LINKS * (elapsed_s + 2.0)
        self.assertLessEqual(self.attempts() - before, bound)

    def check_recovery(self):
        before, started = self.attempts(), time.monotonic()
        self.set_mode("pass")
        self.wait_until_recovered()
        elapsed_s = time.monotonic() - started
        self.assertLessEqual(
            self.attempts() - before, INTER_ZONE_LINKS * (elapsed_s + 2.0)
        )

    def test_silent_connections_to_a_searcher(self):
        names = list(self.deployment.settings)
        for _ in range(3):
            for name in names:
                self.assertTrue(
                    self.answers_in_full(name, SINGLE_ZONE_SERVICE), name
                )
            self.deployment.call(
                "POST", self.searcher_control, "/fault", {"mode": "silent"}
            )
        for name in names:
            self.assertTrue(
                self.answers_in_full(name, SINGLE_ZONE_SERVICE), name
            )

    def test_paused_entry_host(self):
        name = "oslo-1-b"
        others = [n for n in self.deployment.settings if n != name]
        process = self.deployment.processes[name]
        process.send_signal(signal.SIGSTOP)
        try:
            for other in others:
                self.deployment.wait_until(
                    lambda other=other: name not in self.live_members(other),
                    DETECTION_TIMEOUT_S,
                )
            for other in others * 5:
                self.assertTrue(self.answers_in_full(other), other)
                self.assertTrue(
                    self.answers_in_full(other, SINGLE_ZONE_SERVICE), other
                )
        finally:
            process.send_signal(signal.SIGCONT)
        for other in others * 5:
            self.assertTrue(self.answers_in_full(other), other)
        self.wait_until_recovered()
        log = (self.deployment.folder / f"{name}.log").read_text()
        messages = [json.loads(line)["message"] for line in log.splitlines()]
        self.assertNotIn("event failed", messages)


if __name__ == "__main__":
    unittest.main()
