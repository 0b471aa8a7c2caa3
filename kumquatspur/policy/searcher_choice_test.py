import collections
import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import LoadReport, SearcherEntry, SearcherState
from kumquatspur.policy.searcher_choice import (
    MIN_LATE_S,
    ZONE_PROBE_INTERVAL_S,
    ZONE_SUSPECT_S,
    ChoiceContext,
    OpenCall,
    SearcherLoad,
    ZoneHealth,
    choose_with_room,
    late_at,
    searcher_costs,
    slow_searchers,
)

TYPICAL_S = 0.09


def entry(searcher_id, zone="a", warmup_left_s=0.0):
    return SearcherEntry(
        searcher_id,
        "s",
        Address("10.0.0.1", 80),
        zone,
        4,
        SearcherState.READY,
        warmup_left_s,
    )


class SearcherChoiceTest(unittest.TestCase):
    def setUp(self):
        self.loads = collections.defaultdict(SearcherLoad)
        self.zones = ZoneHealth()
        self.random = random.Random(5)
        self.entries = [entry("near"), entry("far", "b"), entry("far-2", "c")]

    def choose(self, now, entries=None):
        context = ChoiceContext("a", TYPICAL_S, now, self.random.random)
        (_, found), *_ = searcher_costs(
            entries or self.entries,
            self.loads.__getitem__,
            self.zones,
            context,
        )
        return found.searcher_id

    def test_own_zone_is_preferred(self):
        self.assertEqual({self.choose(1.0) for _ in range(50)}, {"near"})

    def test_searcher_with_room_is_preferred_unless_it_is_much_slower(self):
        near, far, slow = self.entries
        costs = [(1.0, near), (1.4, far), (6.0, slow)]
        self.assertEqual(choose_with_room(costs, lambda e: True)[0], near)
        found = choose_with_room(costs, lambda e: e is not near)
        self.assertEqual(found, [far, slow])
        # Waiting for the best one is faster.
        self.assertEqual(choose_with_room(costs, lambda e: e is slow), [])
        self.assertEqual(choose_with_room(costs, lambda e: False), [])
        self.assertEqual(choose_with_room([], lambda e: True), [])

    def test_slow_searcher_is_avoided_until_the_slowness_decays(self):
        for at in (1.0, 1.1, 1.2):
            self.loads["near"].record_latency(8.0, at)
        self.assertNotEqual(self.choose(1.3), "near")
        self.assertEqual(self.choose(30.0), "near")

    def test_slowness_reported_by_other_hosts_is_used(self):
        for at in (1.0, 1.1, 1.2):
            self.loads["near"].record_latency(8.0, at)
        reported = slow_searchers(self.loads, 1.5)
        self.assertEqual([item[0] for item in reported], ["near"])
        other = collections.defaultdict(SearcherLoad)
        for searcher_id, slowness, age_s in reported:
            other[searcher_id].apply_reported_slowness(slowness, 101.5 - age_s)
        self.loads = other
        self.assertNotEqual(self.choose(101.5), "near")
        self.assertEqual(slow_searchers(other, 110.0), [])

    def test_own_newer_measurement_is_kept(self):
        load = self.loads["near"]
        load.record_latency(1.0, 5.0)
        load.apply_reported_slowness(9.0, 4.0)
        self.assertEqual(load.slowness, 1.0)

    def test_paused_searcher_is_avoided_while_a_call_is_stuck(self):
        self.loads["near"].in_flight[1] = 1.0
        self.assertNotEqual(self.choose(1.0 + 4 * TYPICAL_S), "near")

    def test_full_searcher_is_avoided(self):
        self.loads["near"].record_load(LoadReport(4, 6, 4), 1.0)
        self.assertNotEqual(self.choose(1.01), "near")

    def test_unreachable_searcher_is_avoided_for_a_while(self):
        self.loads["near"].record_unreachable(1.0)
        self.assertNotEqual(self.choose(1.1), "near")
        self.assertEqual(self.choose(2.0), "near")

    def test_zone_of_several_unresponsive_searchers_is_avoided(self):
        entries = [entry("x", "b"), entry("y", "c")]
        self.zones.record_unresponsive("b", "other-1", 1.0)
        self.assertFalse(self.zones.is_suspect("b", 1.0))
        self.zones.record_unresponsive("b", "other-2", 1.1)
        chosen = {self.choose(1.2, entries) for _ in range(50)}
        self.assertEqual(chosen, {"y"})
        self.zones.record_response("b", 1.0)
        self.assertFalse(self.zones.is_suspect("b", 1.2))

    def test_zone_that_is_cut_off_for_seconds_stays_suspected(self):
        for name in ("x", "y"):
            self.zones.record_unresponsive("b", name, 1.0)
        probes = 0
        for step in range(60):
            now = 1.0 + step / 10
            self.assertTrue(self.zones.is_suspect("b", now))
            for zone in self.zones.zones_to_probe(now):
                probes += 1
                self.zones.record_failed_probe(zone, now)
        self.assertLessEqual(probes, 6.0 / ZONE_PROBE_INTERVAL_S + 1)
        self.zones.record_response("b", 1.0)
        self.assertFalse(self.zones.is_suspect("b", 7.0))
        self.assertEqual(self.zones.zones_to_probe(7.0), [])

    def test_failed_probe_after_a_response_changes_nothing(self):
        for name in ("x", "y"):
            self.zones.record_unresponsive("b", name, 1.0)
        self.zones.record_response("b", 1.0)
        self.zones.record_failed_probe("b", 1.1)
        self.assertFalse(self.zones.is_suspect("b", 1.1))

    def test_searchers_in_a_cut_off_zone_are_not_reachable(self):
        """All searchers in b are unresponsive; c answers."""
        entries = [entry("x", "b"), entry("y", "b")]
        self.assertEqual(self.zones.reachable(entries, 1.0), entries)
        for name in "xy":
            self.zones.record_unresponsive("b", name, 1.0)
        self.zones.record_response("c", 1.0)
        self.assertEqual(self.zones.reachable(entries, 1.1), [])
        all_entries = [*entries, entry("z", "c")]
        self.assertEqual(
            self.zones.reachable(all_entries, 1.1), all_entries[2:]
        )
        later = 1.1 + ZONE_SUSPECT_S
        self.assertEqual(self.zones.reachable(entries, later), entries)
        self.zones.record_unresponsive("b", "x", later)
        self.zones.record_unresponsive("b", "y", later)
        self.zones.record_response("b", 1.0)
        self.assertEqual(self.zones.reachable(entries, later), entries)

    def test_cold_searcher_is_used_less(self):
        entries = [entry("cold", warmup_left_s=2.0), entry("warm")]
        chosen = {self.choose(1.0, entries) for _ in range(50)}
        self.assertEqual(chosen, {"warm"})

    def test_searchers_that_reject_with_free_capacity_are_avoided(self):
        """Two of three replicas reject requests and report zero load."""
        entries = [entry("a"), entry("b", "b"), entry("c", "c")]
        rejected = 0
        for step in range(200):
            now = step * 0.1
            name = self.choose(now, entries)
            load = self.loads[name]
            load.record_load(LoadReport(0, 0, 4), now)
            if name == "c":
                load.record_latency(1.0, now)
            else:
                load.record_error(now)
                rejected += 1
        self.assertLess(rejected, 30)

    def test_missing_responses_do_not_overload_the_healthy_searcher(self):
        """Three of four searchers fail to deliver a tenth of their responses.

        The fourth must not get all the work: queueing there costs more than the
        failures.
        """
        entries = [entry(str(number)) for number in range(4)]
        most = 0
        running = []
        for step in range(400):
            now = step * 0.02
            for finished in [item for item in running if item[0] <= now]:
                running.remove(finished)
                _, searcher_id, number = finished
                load = self.loads[searcher_id]
                load.in_flight.pop(number)
                busy = len(load.in_flight)
                load.record_load(LoadReport(min(4, busy), 0, 4), now)
                missing = searcher_id != "3" and self.random.random() < 0.1
                if missing:
                    load.record_error(now)
                else:
                    load.record_latency(1.0, now)
            searcher_id = self.choose(now, entries)
            load = self.loads[searcher_id]
            load.in_flight[step] = now
            most = max(most, len(load.in_flight))
            running.append((now + TYPICAL_S * 1.5, searcher_id, step))
        self.assertLessEqual(most, 4)

    def test_zone_that_falls_silent_under_open_calls_is_suspected(self):
        """Connections to the zone hang, so no call ends for a while."""
        self.zones.record_response("b", 0.9)
        calls = [OpenCall(name, "b", 1.0, late_at(1.0, 0.03)) for name in "pq"]
        self.zones.record_late_calls(calls, 0.99 + MIN_LATE_S)
        self.assertFalse(self.zones.is_suspect("b", 1.1))
        self.zones.record_late_calls(calls, 1.01 + MIN_LATE_S)
        self.assertTrue(self.zones.is_suspect("b", 1.2))
        self.zones.record_response("b", 1.2)
        self.zones.record_late_calls(calls, 1.3)
        self.assertFalse(self.zones.is_suspect("b", 1.3))

    def test_slow_calls_do_not_raise_suspicion_while_the_zone_responds(self):
        calls = [OpenCall(name, "b", 1.0, 1.5) for name in "pq"]
        self.zones.record_late_calls(calls, 1.4)
        self.zones.record_response("b", 1.4)
        self.zones.record_late_calls(calls, 1.6)
        self.assertFalse(self.zones.is_suspect("b", 1.6))

    def test_one_late_searcher_is_no_sign_of_a_cut(self):
        calls = [OpenCall("p", "b", 1.0, 1.1), OpenCall("p", "b", 1.2, 1.3)]
        self.zones.record_late_calls(calls, 2.0)
        self.assertFalse(self.zones.is_suspect("b", 2.0))

    def test_changes_of_suspicions_are_reported_once(self):
        for name in ("far", "far-2"):
            self.zones.record_unresponsive("b", name, 1.0)
        self.assertEqual(self.zones.take_changes(1.1), {"b": True})
        self.assertEqual(self.zones.take_changes(1.2), {})
        self.zones.record_response("b", 1.0)
        self.assertEqual(self.zones.take_changes(1.3), {"b": False})


if __name__ == "__main__":
    unittest.main()
