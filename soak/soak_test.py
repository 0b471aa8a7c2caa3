import subprocess
import sys
import unittest

from soak.faults import FAULTS, Environment, StatedLimit
from soak.invariants import (
    ClientRequest,
    find_exceeded_limits,
    find_violations,
)
from standins.platform_deployment import SHARDS, make_record

# Seeds that failed because of a bug that has been fixed, with the cause.
REGRESSIONS = {
    1: "a connection reset was counted as a removed searcher",
    4: "the stand-in relay continued to read sockets that it had closed",
}
# In one of them, searchers name limits.
SEEDS = (*REGRESSIONS, 8, 22)
SEED_TIMEOUT_S = 120.0


class FakeSearcher:
    def __init__(self, name, service, records=()):
        self.service = service
        self.records = list(records)
        self.runs = {}
        self.searcher_id = name


class FakeDeployment:
    def __init__(self):
        self.searchers = {
            f"i-{shard}": FakeSearcher(
                f"i-{shard}", shard, [make_record(number)]
            )
            for number, shard in enumerate(SHARDS)
        }


def scattered_reply(*names, missing, body, request_id="r"):
    seals = ", ".join(f"i-{name}.{request_id}" for name in names)
    fields = {
        "kumquatspur-part-seals": seals,
        "kumquatspur-missing-parts": str(missing),
    }
    return (200, fields, body)


class InvariantsTest(unittest.TestCase):
    """Tests that the checks report each kind of violation."""

    def check(self, **fields):
        deployment = FakeDeployment()
        for searcher in deployment.searchers.values():
            searcher.runs = {"twice": 1, "r": 0, "ran": 0}
        deployment.searchers["i-s0"].runs["ran"] = 1
        item = ClientRequest(**{"request_id": "r", "path": "/all/x", **fields})
        return find_violations(deployment, [item])

    def test_correct_answers_pass(self):
        two = make_record(1) + make_record(0)
        reply = scattered_reply("s0", "s1", missing=2, body=two)
        self.assertEqual(self.check(repeatable=True, reply=reply), [])

    def test_each_wrong_answer_is_reported(self):
        two = make_record(1) + make_record(0)
        wrong = {
            "order": scattered_reply("s0", "s1", missing=2, body=two[::-1]),
            "count": scattered_reply("s0", "s1", missing=1, body=two),
            "twice": scattered_reply("s0", "s0", missing=2, body=two),
            "other": scattered_reply(
                "s0", missing=3, body=make_record(0), request_id="q"
            ),
            "unknown": scattered_reply("s9", missing=3, body=make_record(0)),
        }
        for name, reply in wrong.items():
            with self.subTest(name):
                violations = self.check(repeatable=True, reply=reply)
                self.assertEqual(len(violations), 1)

    def test_executions(self):
        once = {"path": "/once/x", "repeatable": False}
        self.assertTrue(self.check(request_id="twice", **once))
        refused = (503, {}, b"")
        self.assertTrue(self.check(request_id="ran", reply=refused, **once))
        self.assertFalse(self.check(request_id="r", reply=refused, **once))


class ExceededLimitsTest(unittest.TestCase):
    """Tests that the check counts what the users' rule counts."""

    def check(self, host, start, disturbed=()):
        deployment = FakeDeployment()
        searcher = deployment.searchers["i-s0"]
        searcher.arrived = [
            (start + number / 100.0, f"7-{host}-0-{number}")
            for number in range(40)
        ]
        environment = Environment(deployment, {}, {}, None, set(disturbed))
        environment.limits.append(StatedLimit("i-s0", 5.0, 10.0, 20.0))
        return find_exceeded_limits(environment)

    def test_exceeded_limit_is_reported(self):
        self.assertEqual(len(self.check("z1-0", 14.1)), 1)

    def test_requests_before_the_contact_time_do_not_count(self):
        self.assertEqual(self.check("z1-0", 13.5), [])

    def test_requests_after_the_end_do_not_count(self):
        self.assertEqual(self.check("z1-0", 20.1), [])

    def test_requests_of_disturbed_hosts_do_not_count(self):
        self.assertEqual(self.check("z1-0", 14.1, ["z1-0"]), [])


class SoakTest(unittest.TestCase):
    def test_seeds(self):
        self.assertGreater(len(FAULTS), 5)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                command = [sys.executable, "-W", "ignore", "-m", "soak.run"]
                process = subprocess.run(
                    [*command, "--first", str(seed)],
                    capture_output=True,
                    text=True,
                    timeout=SEED_TIMEOUT_S,
                )
                self.assertEqual(
                    process.returncode, 0, process.stdout + process.stderr
                )


if __name__ == "__main__":
    unittest.main()
