"""Tests how many upstreams one content can crash.

Contents that do not crash upstreams must still be answered.
"""

import dataclasses
import unittest

from kumquatspur.core import actions, events
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query
from kumquatspur.core.verdict import Verdict
from standins.node_driver import start_driver
from standins.shapes import FRAMING_CATALOGUES, OSLO, ServiceShape

SERVICE = "billing"
SHARDS = 4
HOSTS_PER_ZONE = 2
SMALL = dataclasses.replace(
    OSLO,
    services=(ServiceShape(SERVICE, SHARDS, 3, 2, 25, FRAMING_CATALOGUES),),
)
SHARD = f"{SERVICE}.listverk/0"
BAD = '"bad"'


def start(crash_shards=(), seed=0, **faults):
    """Starts nodes whose searchers crash on BAD.

    Args:
        crash_shards: Only the searchers of these shards crash; () for all.
        seed: Seed of the driver.
        **faults: Fields to set on all fake searchers.

    Returns:
        The driver.
    """
    driver = start_driver(SMALL, seed, HOSTS_PER_ZONE)
    driver.sent = 0
    for name, searcher in driver.configuration.searchers.items():
        fake = driver.searchers[name]
        if not crash_shards or set(crash_shards) & set(searcher.shards):
            fake.crash_on = frozenset({BAD})
        for field, value in faults.items():
            setattr(fake, field, value)
    return driver


def send(driver, host, content=BAD, shards=(), repeatable=True):
    driver.sent += 1
    request_id = f"{content}{driver.sent}"
    query = Query(
        request_id,
        SERVICE,
        content,
        5,
        driver.now + 0.14,
        repeatable,
        shards=shards,
    )
    driver.inject(host, events.QueryReceived(query))
    return request_id


def crashes(driver):
    return sum(len(fake.crashes) for fake in driver.searchers.values())


def refusal_reason(driver, request_id):
    (action,) = driver.outcomes[request_id]
    if isinstance(action, actions.RefuseCaller):
        return action.refusal.reason
    return None


def resend_everywhere(driver, rounds=5, **options):
    """Sends BAD repeatedly to every entry host, one request at a time."""
    for _ in range(rounds):
        for host in sorted(driver.nodes):
            send(driver, host, **options)
            driver.run(0.3)


class CrashGuardTest(unittest.TestCase):
    def test_content_of_one_shard_crashes_at_most_two_upstreams(self):
        cases = {
            "whole query to one shard": {},
            "fast restart": {"restart_s": 0.02},
            "slow crash": {"service_s": 0.03},
            "not repeatable": {"repeatable": False},
        }
        for name, options in cases.items():
            with self.subTest(name):
                options = dict(options)
                repeatable = options.pop("repeatable", True)
                driver = start(**options)
                resend_everywhere(
                    driver, shards=(SHARD,), repeatable=repeatable
                )
                self.assertEqual(crashes(driver), 2)
                last = send(driver, "oslo-3-b", shards=(SHARD,))
                (action,) = driver.outcomes[last]
                refusal = action.refusal
                self.assertIs(refusal.reason, Reason.CRASHES_UPSTREAMS)
                self.assertIs(refusal.verdict, Verdict.NOT_RUN)
                self.assertGreater(refusal.retry_after_s, 60.0)

    def test_content_that_crashes_one_shard_of_many(self):
        for seed in range(3):
            with self.subTest(seed=seed):
                driver = start((SHARD,), seed)
                resend_everywhere(driver)
                self.assertEqual(crashes(driver), 2)

    def test_first_scatter_limits_the_crashes(self):
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                driver = start()
                resend_everywhere(driver, repeatable=repeatable)
                self.assertLessEqual(crashes(driver), SHARDS + 1)

    def test_under_load(self):
        """Each crash happens while other queries are in flight."""
        for seed in range(3):
            with self.subTest(seed=seed):
                driver = start((SHARD,), seed)
                good = []
                for number in range(300):
                    host = driver.rng.choice(sorted(driver.nodes))
                    good.append(send(driver, host, f'"good{number}"'))
                    if number % 10 == 0:
                        send(driver, host)
                    driver.run(0.002)
                driver.run(0.5)
                self.assertLessEqual(crashes(driver), 2)
                for request in good:
                    (action,) = driver.outcomes[request]
                    self.assertIsInstance(action, actions.AnswerCaller)
                    self.assertEqual(action.answer.missing, (), request)

    def test_crash_of_many_upstreams_refuses_no_content(self):
        driver = start(service_s=0.01)
        for number in range(60):
            host = driver.rng.choice(sorted(driver.nodes))
            send(driver, host, f'"good{number % 20}"')
            driver.run(0.001)
            if number % 15 == 10:
                for name in sorted(driver.searchers):
                    if name.endswith(f"-{number // 15 % 3}"):
                        driver.crash(driver.searchers[name])
        driver.run(2.0)
        for name in driver.nodes:
            state = driver.nodes[name].state
            self.assertEqual(state.crash_suspects.refused(driver.now), [])
        last = send(driver, "oslo-1-a", '"good0"')
        driver.run(0.3)
        self.assertIsNone(refusal_reason(driver, last))

    def test_broken_connections_refuse_no_content(self):
        driver = start(lose_answers=True)
        for name in driver.searchers:
            driver.searchers[name].crash_on = frozenset()
        for host in sorted(driver.nodes):
            send(driver, host, repeatable=False)
            driver.run(0.3)
        for fake in driver.searchers.values():
            fake.lose_answers = False
        last = send(driver, "oslo-1-a")
        driver.run(0.3)
        (action,) = driver.outcomes[last]
        self.assertEqual(action.answer.missing, ())

    def test_new_host_receives_the_refused_contents(self):
        driver = start((SHARD,))
        resend_everywhere(driver, rounds=1)
        driver.kill("oslo-1-b")
        driver.run(5.0)
        driver.start("oslo-1-b")
        driver.configure(driver.configuration)
        driver.run(1.0)
        last = send(driver, "oslo-1-b")
        self.assertIs(refusal_reason(driver, last), Reason.CRASHES_UPSTREAMS)
        self.assertEqual(crashes(driver), 2)

    def test_refusal_expires_and_a_fixed_content_is_answered(self):
        driver = start((SHARD,))
        resend_everywhere(driver, rounds=1)
        for fake in driver.searchers.values():
            fake.crash_on = frozenset()
        driver.now += 700.0
        driver.run(5.0)
        last = send(driver, "oslo-1-a")
        driver.run(0.3)
        (action,) = driver.outcomes[last]
        self.assertEqual(action.answer.missing, ())


if __name__ == "__main__":
    unittest.main()
