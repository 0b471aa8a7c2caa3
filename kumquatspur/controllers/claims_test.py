import collections
import dataclasses
import json
import unittest

from kumquatspur.controllers import claim_writer
from kumquatspur.core import actions, events
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy import claims
from standins.node_driver import start_driver
from standins.shapes import FRAMING_CATALOGUES, OSLO, ServiceShape

KEY = "booking-1"
SERVICE = "billing"
HOSTS_PER_ZONE = 2
SMALL = dataclasses.replace(
    OSLO, services=(ServiceShape(SERVICE, 4, 3, 2, 25, FRAMING_CATALOGUES),)
)
DIGEST = claims.digest_key(SERVICE, KEY)


def send(driver, host, request_id, key=KEY, repeatable=True):
    """Sends a request whose content is its id."""
    query = Query(
        request_id,
        SERVICE,
        f'"{request_id}"',
        5,
        driver.now + 0.14,
        repeatable,
        key,
    )
    driver.keys[request_id] = key
    driver.inject(host, events.QueryReceived(query))


def start(seed=0):
    driver = start_driver(SMALL, seed, HOSTS_PER_ZONE)
    driver.keys = {}
    return driver


def executed(driver):
    """Returns request id and shard of each item executed."""
    return [
        (json.loads(item.content), item.shard)
        for fake in driver.searchers.values()
        for item in fake.executed
    ]


def verdict(driver, request_id):
    (action,) = driver.outcomes[request_id]
    if isinstance(action, actions.AnswerCaller):
        return action.answer.verdict, None
    return action.refusal.verdict, action.refusal.reason


def set_searcher_faults(**faults):
    def apply(driver):
        for fake in driver.searchers.values():
            for name, value in faults.items():
                setattr(fake, name, value)

    return apply


def writer(driver):
    state = driver.nodes["oslo-1-a"].state
    return claim_writer.choose_writer(state, DIGEST, driver.now)


def other_host(driver):
    return next(n for n in sorted(driver.nodes) if n != writer(driver))


class ClaimTest(unittest.TestCase):
    def test_resend_to_another_host_runs_once_under_faults(self):
        cases = {
            "none": lambda d: None,
            "store answer lost": lambda d: setattr(d.store, "lose_writes", 1),
            "two store answers lost": lambda d: setattr(
                d.store, "lose_writes", 2
            ),
            "store down": lambda d: setattr(d.store, "down", True),
            "upstream answers lost": set_searcher_faults(lose_answers=True),
            "upstreams frozen": set_searcher_faults(frozen=True),
            "upstreams draining": set_searcher_faults(draining=True),
            "writer paused": lambda d: d.frozen_nodes.add(writer(d)),
            "writer killed": lambda d: d.kill(writer(d)),
            "replies of the writer lost": lambda d: d.cut_links.update(
                (writer(d), name) for name in d.nodes
            ),
        }
        for name, fault in cases.items():
            with self.subTest(name):
                driver = start()
                first = other_host(driver)
                fault(driver)
                send(driver, first, "r1")
                driver.run(0.3)
                driver.frozen_nodes.clear()
                for number, host in enumerate(sorted(driver.nodes)):
                    send(driver, host, f"again{number}")
                driver.run(0.5)
                self.assert_ran_at_most_once(driver)

    def test_random_faults(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                driver = start(seed)
                names = sorted(driver.nodes)
                for number in range(40):
                    self.disturb(driver)
                    host = driver.rng.choice(names)
                    key = f"k{number % 4}"
                    send(driver, host, f"r{number}", key)
                    driver.run(driver.rng.uniform(0.0, 0.03))
                driver.frozen_nodes.clear()
                driver.run(1.0)
                self.assert_ran_at_most_once(driver)

    def disturb(self, driver):
        rng = driver.rng
        driver.store.lose_writes = rng.choice([0, 0, 1])
        driver.store.down = rng.random() < 0.1
        driver.frozen_nodes = {
            name for name in driver.nodes if rng.random() < 0.1
        }
        if rng.random() < 0.1:
            name = rng.choice(sorted(driver.nodes))
            driver.kill(name)
            driver.start(name)
            driver.configure(driver.configuration)

    def assert_ran_at_most_once(self, driver):
        ran = executed(driver)
        runs = collections.Counter(
            (driver.keys[request], shard) for request, shard in ran
        )
        self.assertLessEqual(max(runs.values(), default=0), 1)
        for request in list(driver.outcomes):
            reported, reason = verdict(driver, request)
            if reported is Verdict.NOT_RUN or reason is Reason.ALREADY_CLAIMED:
                shards = [shard for name, shard in ran if name == request]
                self.assertEqual(shards, [])

    def test_second_request_is_refused_as_may_have_run(self):
        driver = start()
        send(driver, "oslo-1-a", "r1")
        driver.run(0.2)
        send(driver, "oslo-2-b", "r2")
        driver.run(0.2)
        self.assertEqual(verdict(driver, "r1"), (Verdict.RAN, None))
        expected = (Verdict.MAY_HAVE_RUN, Reason.ALREADY_CLAIMED)
        self.assertEqual(verdict(driver, "r2"), expected)
        self.assert_ran_at_most_once(driver)

    def test_claim_of_a_query_that_did_not_run_is_released(self):
        driver = start()
        set_searcher_faults(draining=True)(driver)
        send(driver, "oslo-1-a", "r1")
        driver.run(0.2)
        self.assertIs(verdict(driver, "r1")[0], Verdict.NOT_RUN)
        set_searcher_faults(draining=False)(driver)
        driver.run(3.0)
        send(driver, "oslo-2-b", "r2")
        driver.run(0.2)
        self.assertEqual(verdict(driver, "r2"), (Verdict.RAN, None))

    def test_claim_is_refused_while_the_store_is_down(self):
        driver = start()
        driver.store.down = True
        send(driver, "oslo-1-a", "r1")
        driver.run(0.2)
        expected = (Verdict.NOT_RUN, Reason.CLAIM_UNSETTLED)
        self.assertEqual(verdict(driver, "r1"), expected)
        self.assertEqual(executed(driver), [])

    def test_host_paused_between_claim_and_send_does_not_run(self):
        driver = start()
        host = other_host(driver)
        send(driver, host, "r1")
        driver.frozen_nodes.add(host)
        driver.run(5.0)
        driver.frozen_nodes.clear()
        driver.run(1.0)
        self.assertIs(verdict(driver, "r1")[0], Verdict.NOT_RUN)
        self.assertEqual(executed(driver), [])

    def test_many_claims_share_few_writes(self):
        driver = start()
        before = driver.store.calls["WriteStoreKey"]
        for number in range(1000):
            host = sorted(driver.nodes)[number % 6]
            send(driver, host, f"r{number}", f"k{number}")
        driver.run(0.5)
        writes = driver.store.calls["WriteStoreKey"] - before
        self.assertLessEqual(writes, 2 * claims.BUCKETS)

    def test_not_repeatable_is_neither_retried_nor_hedged(self):
        faults = [
            {"lose_answers": True},
            {"frozen": True},
            {"service_s": 0.1},
            {"lose_answers": True, "service_s": 0.05},
        ]
        for fault in faults:
            with self.subTest(fault):
                driver = start()
                set_searcher_faults(**fault)(driver)
                send(driver, "oslo-1-a", "r1", key="", repeatable=False)
                driver.run(0.5)
                self.assert_ran_at_most_once(driver)


class BucketTest(unittest.TestCase):
    def test_claim_expires_after_two_rotations(self):
        request = claims.ClaimRequest("d", "n1")
        bucket, _ = claims.apply_requests(claims.Bucket(), (request,))
        again = (claims.ClaimRequest("d", "n2"),)
        status = claims.ClaimStatus
        for expected in (status.TAKEN, status.TAKEN, status.WON):
            _, statuses = claims.apply_requests(bucket, again)
            self.assertEqual(statuses, {"n2": expected})
            text = claims.encode_bucket(claims.rotate(bucket))
            bucket = claims.decode_bucket(text)

    def test_full_bucket_fits_the_store_and_rejects_new_claims(self):
        full = {
            claims.digest_key("s", str(n)): claims.request_nonce(str(n))
            for n in range(claims.MAX_CLAIMS_PER_GENERATION)
        }
        bucket = claims.Bucket(2, full, full)
        self.assertLess(len(claims.encode_bucket(bucket)), 1_000_000)
        _, statuses = claims.apply_requests(
            bucket, (claims.ClaimRequest("d", "n"),)
        )
        self.assertEqual(statuses, {"n": claims.ClaimStatus.UNSETTLED})


if __name__ == "__main__":
    unittest.main()
