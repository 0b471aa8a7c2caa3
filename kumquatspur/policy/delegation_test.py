import dataclasses
import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity, Route
from kumquatspur.policy.delegation import (
    BACKOFF_S,
    MAX_BUSY_SHARE,
    MAX_PEER_AGE_S,
    RECENTLY_SERVED_S,
    UNRESPONSIVE_BACKOFF_S,
    Candidate,
    Delegate,
    busy_s,
    choose_delegate,
    has_capacity,
    rank_reroutes,
)

SLOW = HostCapacity(7.0, 0.5)
FAST = HostCapacity(70.0, 2.0)
SHARDS = 36
TARGET_S = 0.1


def route(shards, name="r"):
    return Route(
        name,
        "shop.example",
        "/all/",
        True,
        0.6,
        TARGET_S,
        2,
        1,
        shards=tuple(f"s{number}" for number in range(shards)),
    )


class DelegationTest(unittest.TestCase):
    def setUp(self):
        self.random = random.Random(3)
        self.delegates = {}

    def candidate(
        self, name, capacity=FAST, same_zone=True, last_received_at=10.0
    ):
        delegate = self.delegates.setdefault(name, Delegate())
        address = Address("10.0.0.1", 1)
        return Candidate(
            name, address, capacity, same_zone, last_received_at, delegate
        )

    def choose(self, *candidates, own=SLOW, shards=SHARDS, now=10.0):
        found = choose_delegate(
            own, candidates, route(shards), now, self.random.random
        )
        return found and found.name

    def test_slow_host_delegates(self):
        self.assertEqual(self.choose(self.candidate("fast")), "fast")

    def test_equal_hosts_do_not_delegate(self):
        others = [self.candidate(str(number), SLOW) for number in range(9)]
        self.assertIsNone(self.choose(*others))
        self.assertIsNone(self.choose(self.candidate("fast"), own=FAST))

    def test_requests_with_few_shards_are_not_delegated(self):
        self.assertIsNone(self.choose(self.candidate("fast"), shards=3))

    def test_own_zone_is_preferred(self):
        near = self.candidate("near")
        far = self.candidate("far", same_zone=False)
        chosen = {self.choose(far, near) for _ in range(50)}
        self.assertEqual(chosen, {"near"})
        self.assertEqual(self.choose(far), "far")

    def test_host_in_a_cut_off_zone_gets_no_requests(self):
        """The zone of the fast hosts is cut off; each would have to fail."""
        near = self.candidate("near")
        suspect = dataclasses.replace(near, zone_suspect=True)
        self.assertIsNone(self.choose(suspect))
        self.assertEqual(self.choose(near), "near")

    def test_unreachable_host_is_used_again_after_the_backoff(self):
        failed = self.candidate("failed")
        self.delegates["failed"].record_failure(False, 10.0)
        self.assertIsNone(self.choose(failed))
        self.assertEqual(self.choose(failed, now=10.0 + BACKOFF_S[0]), "failed")
        for _ in range(9):
            self.delegates["failed"].record_failure(False, 10.0)
        failed = self.candidate("failed", last_received_at=9.9 + BACKOFF_S[-1])
        self.assertIsNone(self.choose(failed, now=9.9 + BACKOFF_S[-1]))

    def test_unresponsive_host_gets_a_longer_backoff(self):
        """A host has lost power, and every request to it fails."""
        self.candidate("off")
        self.delegates["off"].record_failure(True, 10.0)
        later = 9.9 + UNRESPONSIVE_BACKOFF_S
        candidate = self.candidate("off", last_received_at=later)
        self.assertIsNone(self.choose(candidate, now=later))
        self.assertEqual(self.choose(candidate, now=later + 0.2), "off")

    def test_answered_and_declined_requests_are_responses(self):
        delegate = Delegate()
        self.assertTrue(delegate.is_unresponsive(10.0))
        delegate.record_response("r", 10.1)
        self.assertFalse(delegate.is_unresponsive(10.0))
        delegate.record_declined(10.4)
        self.assertFalse(delegate.is_unresponsive(10.3))

    def test_host_without_recent_messages_is_not_used(self):
        expired = self.candidate(
            "expired", last_received_at=10.0 - MAX_PEER_AGE_S - 0.1
        )
        self.assertIsNone(self.choose(expired))

    def test_stuck_host_is_not_used(self):
        stuck = self.candidate("stuck")
        self.delegates["stuck"].in_flight[1] = 10.0 - 3 * TARGET_S
        self.assertIsNone(self.choose(stuck))

    def test_burst_is_spread_over_the_fast_hosts(self):
        """Many requests arrive at one slow host at the same moment."""
        fast = [self.candidate(f"fast-{number}") for number in range(3)]
        counts = {}
        for number in range(30):
            name = self.choose(*fast)
            counts[name] = counts.get(name, 0) + 1
            if name:
                self.delegates[name].in_flight[number] = 10.0
        given = [counts.get(f"fast-{number}", 0) for number in range(3)]
        self.assertLessEqual(max(given) - min(given), 1)
        # The rest would wait longer in the queues of the fast hosts.
        self.assertGreater(counts.get(None, 0), 0)

    def rank(self, *candidates, now=10.0, name="r"):
        found = rank_reroutes(
            candidates, route(SHARDS, name), now, self.random.random
        )
        return [candidate.name for candidate in found]

    def test_host_without_searchers_reroutes_to_hosts_of_any_size(self):
        near = self.candidate("near", SLOW)
        far = self.candidate("far", SLOW, same_zone=False)
        self.assertEqual(self.rank(far, near), ["near", "far"])

    def test_hosts_that_served_are_preferred_and_those_cut_off_are_last(self):
        names = ("a", "b", "c")
        a, b, c = (self.candidate(name) for name in names)
        a = dataclasses.replace(a, cut_off=True)
        self.delegates["c"].record_response("r", 9.9)
        self.assertEqual(self.rank(a, b, c), ["c", "b", "a"])
        later = 9.9 + RECENTLY_SERVED_S
        last_received = dataclasses.replace(c, last_received_at=later)
        self.assertFalse(last_received.delegate.has_served(later))

    def test_host_without_searchers_of_a_route_serves_other_routes(self):
        other = self.candidate("other")
        self.delegates["other"].record_unable("r", 10.0)
        self.assertEqual(self.rank(other), [])
        self.assertIsNone(self.choose(other))
        self.assertEqual(self.rank(other, name="r2"), ["other"])
        self.assertEqual(self.rank(other, now=10.1 + BACKOFF_S[0]), ["other"])
        self.delegates["other"].forget_unable(11.0)
        self.delegates["other"].record_unable("r", 11.0)
        self.assertEqual(self.rank(other, now=11.1 + BACKOFF_S[0]), [])
        self.delegates["other"].record_response("r", 12.0)
        self.assertEqual(self.rank(other, now=12.0), ["other"])

    def test_routes_without_searchers_are_forgotten_after_a_while(self):
        self.candidate("other")
        delegate = self.delegates["other"]
        delegate.record_unable("r", 10.0)
        delegate.forget_unable(10.1 + BACKOFF_S[0] + BACKOFF_S[-1])
        self.assertEqual(delegate.unable, {})

    def test_unreachable_hosts_get_no_rerouted_requests(self):
        failed = self.candidate("failed")
        self.delegates["failed"].record_failure(True, 10.0)
        silent = self.candidate("silent", last_received_at=1.0)
        suspect = dataclasses.replace(self.candidate("s"), zone_suspect=True)
        self.assertEqual(self.rank(failed, silent, suspect), [])

    def test_rerouted_requests_are_spread_over_the_hosts_that_serve(self):
        hosts = [self.candidate(f"host-{number}") for number in range(3)]
        given = dict.fromkeys(("host-0", "host-1", "host-2"), 0)
        for number in range(30):
            first = self.rank(*hosts)[0]
            given[first] += 1
            self.delegates[first].in_flight[number] = 10.0
        self.assertEqual(set(given.values()), {10})

    def test_fast_host_accepts_no_more_than_it_can_serve_in_time(self):
        """All slow hosts of a zone delegate to it at the same time."""
        taken = 0
        while has_capacity((taken + 1) * SHARDS, FAST, TARGET_S):
            taken += 1
        self.assertGreater(taken, 2)
        busy = busy_s(taken * SHARDS, FAST)
        self.assertLessEqual(busy, MAX_BUSY_SHARE * TARGET_S)


if __name__ == "__main__":
    unittest.main()
