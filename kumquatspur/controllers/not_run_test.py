"""Work that a caller received a not-run verdict for did not run."""

import dataclasses
import itertools
import json
import unittest

from kumquatspur.core import actions, events, messages
from kumquatspur.core.records import Query
from kumquatspur.core.verdict import Outcome, Phase, Verdict
from standins.node_driver import NodeDriver, start_driver
from standins.shapes import FRAMING_CATALOGUES, OSLO, ServiceShape

SERVICE = "billing"
HOSTS_PER_ZONE = 2
SMALL = dataclasses.replace(
    OSLO, services=(ServiceShape(SERVICE, 4, 3, 2, 25, FRAMING_CATALOGUES),)
)
HOST = "oslo-1-a"
# An answer that declines or omits items is not a failure of the call.
FAILURES = [
    pair
    for pair in itertools.product(Phase, Outcome)
    if pair[1] is not Outcome.ANSWERED
]


def send(driver, request_id, host=HOST, repeatable=True):
    """Sends a request whose content is its id."""
    content = f'"{request_id}"'
    deadline = driver.now + 0.14
    query = Query(request_id, SERVICE, content, 5, deadline, repeatable)
    driver.inject(host, events.QueryReceived(query))


def searchers(driver, shard=""):
    known = driver.configuration.searchers
    return [
        fake
        for name, fake in driver.searchers.items()
        if not shard or shard in known[name].shards
    ]


def set_faults(fakes, **faults):
    for fake in fakes:
        for name, value in faults.items():
            setattr(fake, name, value)


def owners(driver):
    return [name for name in driver.nodes if name != HOST]


def kill_owners(driver):
    for name in owners(driver):
        driver.kill(name)


def refuse_in_queue(driver):
    set_faults(searchers(driver), service_s=0.1)
    for number in range(200):
        send(driver, f"load{number}")


def fill_and_freeze(driver):
    set_faults(searchers(driver), frozen=True)
    for number in range(40):
        send(driver, f"load{number}")


# Faults by name: set before the request is sent, and 2 ms after it.
FAULTS = {
    "queue refuses": (refuse_in_queue, None),
    "expires in queue": (fill_and_freeze, None),
    "connections refused": (
        lambda d: set_faults(searchers(d), down=True),
        None,
    ),
    "declined by item": (
        lambda d: set_faults(searchers(d), draining=True),
        None,
    ),
    "snapshot not held": (
        lambda d: set_faults(searchers(d), held=(2,)),
        None,
    ),
    "a result omitted": (
        lambda d: set_faults(searchers(d), omit_last_result=True),
        None,
    ),
    "answer lost": (
        lambda d: set_faults(searchers(d), lose_answers=True),
        None,
    ),
    "answer late": (lambda d: set_faults(searchers(d), service_s=0.3), None),
    "never answered": (lambda d: set_faults(searchers(d), frozen=True), None),
    "owners lost before sending": (kill_owners, None),
    "owners lost after sending": (None, kill_owners),
    "peer messages lost": (
        lambda d: d.cut_links.update((HOST, n) for n in owners(d)),
        None,
    ),
    "peer answers lost": (
        None,
        lambda d: d.cut_links.update((n, HOST) for n in owners(d)),
    ),
    "owners paused": (None, lambda d: d.frozen_nodes.update(owners(d))),
    "owners paused before": (lambda d: d.frozen_nodes.update(owners(d)), None),
    "daemons stopping": (
        None,
        lambda d: [d.inject(n, events.StopRequested()) for n in d.nodes],
    ),
    "entry host paused": (None, lambda d: d.frozen_nodes.add(HOST)),
}


class NotRunTest(unittest.TestCase):
    def assert_verdicts_match(self, driver: NodeDriver):
        """Checks the verdicts that callers received against executed items."""
        ran = {
            (json.loads(item.content), item.shard)
            for fake in driver.searchers.values()
            for item in fake.executed
        }
        requests_run = {request for request, _ in ran}
        for request, (action,) in driver.outcomes.items():
            if isinstance(action, actions.RefuseCaller):
                reported, missing = action.refusal.verdict, ()
            else:
                reported, missing = action.answer.verdict, action.answer.missing
            if reported is Verdict.NOT_RUN:
                self.assertFalse(request in requests_run, request)
            for entry in missing:
                if entry.verdict is Verdict.NOT_RUN:
                    pair = (request, entry.shard)
                    self.assertFalse(pair in ran, pair)

    def run_case(self, repeatable, before=None, after=None):
        driver = start_driver(SMALL, 0, HOSTS_PER_ZONE)
        if before is not None:
            before(driver)
        send(driver, "r", repeatable=repeatable)
        driver.run(0.002)
        if after is not None:
            after(driver)
        driver.run(0.5)
        driver.frozen_nodes.clear()
        driver.run(1.0)
        self.assertIn("r", driver.outcomes)
        self.assert_verdicts_match(driver)
        return driver

    def test_every_phase_and_outcome(self):
        for failure, repeatable in itertools.product(FAILURES, (True, False)):
            with self.subTest(failure=failure, repeatable=repeatable):
                self.run_case(
                    repeatable,
                    lambda d, f=failure: set_faults(searchers(d), failure=f),
                )

    def test_every_fault(self):
        for name, repeatable in itertools.product(FAULTS, (True, False)):
            with self.subTest(name, repeatable=repeatable):
                self.run_case(repeatable, *FAULTS[name])

    def test_faults_mixed_at_random(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                driver = start_driver(SMALL, seed, HOSTS_PER_ZONE)
                rng = driver.rng
                for number in range(60):
                    for fake in rng.sample(searchers(driver), 4):
                        fake.failure = rng.choice([None, *FAILURES])
                        fake.held = rng.choice([(1,), (1, 2), (2,)])
                        fake.omit_last_result = rng.random() < 0.2
                        fake.service_s = rng.choice([0.004, 0.004, 0.05])
                    host = rng.choice(sorted(driver.nodes))
                    send(driver, f"r{number}", host, rng.random() < 0.5)
                    driver.run(rng.uniform(0.0, 0.1))
                driver.run(1.0)
                self.assertEqual(len(driver.outcomes), 60)
                self.assert_verdicts_match(driver)

    def test_shard_that_ran_at_an_abandoned_snapshot(self):
        driver = start_driver(SMALL, 0, HOSTS_PER_ZONE)
        others = [
            fake
            for catalogue in FRAMING_CATALOGUES[1:]
            for fake in searchers(driver, f"{SERVICE}.{catalogue}/0")
        ]
        set_faults(others, held=(1, 2))
        driver.run(3.0)
        set_faults(others, held=(2,), service_s=0.02)
        send(driver, "r")
        driver.run(0.5)
        (action,) = driver.outcomes["r"]
        self.assertEqual(action.answer.snapshot, 2)
        self.assertTrue(action.answer.missing)
        self.assert_verdicts_match(driver)

    def test_snapshot_chosen_again_for_work_that_must_not_be_repeated(self):
        driver = start_driver(SMALL, 0, HOSTS_PER_ZONE)
        set_faults(searchers(driver), held=(2,))
        send(driver, "r", repeatable=False)
        driver.run(0.5)
        (action,) = driver.outcomes["r"]
        self.assertEqual(action.answer.snapshot, 2)
        self.assertEqual(action.answer.missing, ())
        self.assert_verdicts_match(driver)

    def test_owner_runs_a_duplicated_sub_query_once(self):
        for repeatable, gap_s in itertools.product((True, False), (0.0, 1.0)):
            with self.subTest(repeatable=repeatable, gap_s=gap_s):
                driver = start_driver(SMALL, 0, HOSTS_PER_ZONE)
                name, searcher = next(
                    iter(driver.configuration.searchers.items())
                )
                target = messages.Target(searcher.shards[0], name)
                message = messages.SubQuery(
                    sub_id="s",
                    request_id="r",
                    service=SERVICE,
                    content="1",
                    limit=5,
                    snapshot=1,
                    remaining_ms=100.0,
                    flush_after_ms=50.0,
                    repeatable=repeatable,
                    hedge=False,
                    may_wait=True,
                    targets=(target,),
                )
                event = events.PeerMessageReceived("oslo-2-a", message)
                driver.inject(HOST, event)
                driver.run(gap_s)
                driver.inject(HOST, event)
                driver.run(1.0)
                if not repeatable or not gap_s:
                    ran = driver.searchers[name].executed
                    self.assertEqual(len(ran), 1)


if __name__ == "__main__":
    unittest.main()
