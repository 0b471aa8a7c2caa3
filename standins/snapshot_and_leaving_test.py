import dataclasses
import pathlib
import tempfile
import time
import unittest

from standins.demo import all_answer_in_full, all_ready
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import FRAMING_CATALOGUES, HOST, OSLO, ServiceShape

SERVICE = "shop-counter"
SMALL = dataclasses.replace(
    OSLO, services=(ServiceShape(SERVICE, 4, 3, 2, 25, FRAMING_CATALOGUES),)
)
# Requirement: a draining searcher gets no new work this long after the first
# signal of it.
MAX_DRAIN_REACTION_S = 5.0


class SnapshotsAndDrainingTest(unittest.TestCase):
    """Snapshot changes and draining searchers, with real processes."""

    @classmethod
    def setUpClass(cls):
        shape = dataclasses.replace(SMALL, base_port=find_free_base_port(200))
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(
            shape, pathlib.Path(folder.name), hosts_per_zone=1
        )
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.deployment.push()
        cls.deployment.wait_until(lambda: all_ready(cls.deployment, 1))
        cls.deployment.wait_until(
            lambda: all_answer_in_full(cls.deployment, SERVICE)
        )
        files = cls.deployment.files["10-shop-counter.json"]
        cls.searchers = files["searchers"]
        cls.shards = sorted(
            {s for v in cls.searchers.values() for s in v["shards"]}
        )

    def ask(self):
        """Queries every daemon, checks each answer and returns the last one."""
        body = {"service": SERVICE, "query": 1, "deadline_ms": 1000}
        for daemon in self.deployment.settings:
            status, reply = self.deployment.query(daemon, body)
            self.assertEqual(status, 200, reply)
            coverage = reply["coverage"]
            missing = [entry["shard"] for entry in coverage["missing"]]
            self.assertEqual(sorted(coverage["covered"] + missing), self.shards)
            snapshots = {hit["fields"]["snapshot"] for hit in reply["hits"]}
            self.assertEqual(snapshots, {reply["snapshot"]})
        return reply

    def executed(self, name):
        port = self.deployment.searcher_port(name)
        return len(self.deployment.call("GET", port, "/executed")[1]["items"])

    def set_host_list_entry(self, name, leaving):
        searcher = self.searchers[name]
        upstream = {
            "name": name,
            "zone": searcher["zone"],
            "host": HOST,
            "port": searcher["port"],
            "leaving": leaving,
            "role": "upstream",
        }
        port = self.deployment.shape.base_port + 1
        hosts = self.deployment.call("GET", port, "/v1/hosts")[1]["hosts"]
        hosts = [h for h in hosts if h["role"] == "entry"] + [upstream]
        self.deployment.call("POST", port, "/hosts", {"hosts": hosts})

    def test_snapshots_roll_under_queries(self):
        for held in ([1, 2], [2]):
            for name in self.searchers:
                self.deployment.set_fault(name, held=held)
                self.ask()

        def snapshot_2_in_full():
            reply = self.ask()
            return reply["snapshot"] == 2 and reply["coverage"]["full"]

        self.deployment.wait_until(snapshot_2_in_full)

    def test_draining_searchers_get_no_new_work(self):
        shard = self.shards[0]
        listed, draining, _ = [
            name for name, s in self.searchers.items() if s["shards"] == [shard]
        ]

        def both_executed():
            self.ask()
            return min(self.executed(n) for n in (listed, draining)) > 0

        self.deployment.wait_until(both_executed)
        self.set_host_list_entry(listed, True)
        self.addCleanup(self.set_host_list_entry, listed, False)
        self.deployment.set_fault(draining, draining=True)
        self.addCleanup(self.deployment.set_fault, draining, draining=False)
        end = time.monotonic() + MAX_DRAIN_REACTION_S
        while time.monotonic() < end:
            self.ask()
        before = {name: self.executed(name) for name in (listed, draining)}
        self.assertGreater(min(before.values()), 0)
        for _ in range(50):
            self.assertTrue(self.ask()["coverage"]["full"])
        after = {name: self.executed(name) for name in (listed, draining)}
        self.assertEqual(after, before)


if __name__ == "__main__":
    unittest.main()
