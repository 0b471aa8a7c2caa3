import dataclasses
import pathlib
import tempfile
import unittest

from standins.demo import all_answer_in_full, all_ready
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import FRAMING_CATALOGUES, OSLO, ServiceShape

SMALL = dataclasses.replace(
    OSLO,
    services=(ServiceShape("shop-counter", 4, 3, 2, 25, FRAMING_CATALOGUES),),
)


class DeploymentTest(unittest.TestCase):
    """Queries daemons, store and searchers that run as separate processes."""

    @classmethod
    def setUpClass(cls):
        shape = dataclasses.replace(SMALL, base_port=find_free_base_port(200))
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.deployment = Deployment(shape, pathlib.Path(folder.name))
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.deployment.push()
        cls.deployment.wait_until(lambda: all_ready(cls.deployment, 1))
        cls.deployment.wait_until(
            lambda: all_answer_in_full(cls.deployment, "shop-counter")
        )

    def test_partial_answer_names_the_missing_shard(self):
        searchers = self.deployment.files["10-shop-counter.json"]["searchers"]
        shard = "shop-counter.listverk/0"
        shard_searchers = [
            n for n, s in searchers.items() if s["shards"] == [shard]
        ]
        for name in shard_searchers:
            self.deployment.set_fault(name, down=True)
            self.addCleanup(self.deployment.set_fault, name, down=False)
        body = {"service": "shop-counter", "query": 1, "deadline_ms": 2000}
        status, reply = self.deployment.query("oslo-1-a", body)
        self.assertEqual(status, 200)
        missing = [entry["shard"] for entry in reply["coverage"]["missing"]]
        self.assertEqual(missing, [shard])

    def test_bad_requests_are_refused_and_not_run(self):
        cases = [
            ({"service": "nobody", "query": 1}, 404),
            ({"service": "shop-counter"}, 400),
            ({"service": "shop-counter", "query": 1, "limit": "3"}, 400),
            ({"service": "shop-counter", "query": 1, "shards": ["x"]}, 400),
            ({"service": "s", "query": 1, "deadline_ms": 10**9}, 400),
            ({"service": "s", "query": "x" * 100_000}, 413),
        ]
        for body, expected in cases:
            with self.subTest(body=str(body)[:60]):
                status, reply = self.deployment.query("oslo-1-a", body)
                self.assertEqual(status, expected)
                self.assertEqual(reply["verdict"], "not_run")

    def test_graceful_stop(self):
        self.assertEqual(self.deployment.stop("oslo-3-c"), 0)


if __name__ == "__main__":
    unittest.main()
