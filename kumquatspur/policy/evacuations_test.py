import dataclasses
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.evacuations import RESTORE_KEEP_S, Evacuations
from kumquatspur.policy.searcher_directory import SearcherDirectory
from kumquatspur.policy.store_position import StorePosition

DRAIN_S = 3.0


def at(revision, era=1):
    return StorePosition(era, revision)


class EvacuationsTest(unittest.TestCase):
    def setUp(self):
        self.evacuations = Evacuations()
        self.evacuations.replace(at(10), ["a"], 0.0)

    def test_older_state_of_the_store_ends_nothing(self):
        """A host that lags tells a set from before the write of the key."""
        self.assertFalse(self.evacuations.replace(at(9), [], 1.0))
        self.assertEqual(self.evacuations.active, {"a"})

    def test_newer_state_of_the_store_ends_it(self):
        self.assertTrue(self.evacuations.replace(at(11), ["b"], 1.0))
        self.assertEqual(self.evacuations.active, {"b"})

    def test_change_that_is_part_of_a_read_is_not_applied_again(self):
        """A watch from an older view replays changes that a read showed."""
        self.evacuations.record_change(9, "a", False)
        self.assertEqual(self.evacuations.active, {"a"})
        self.evacuations.record_change(11, "a", False)
        self.assertEqual(self.evacuations.active, frozenset())

    def test_set_is_behind_a_view_without_evacuations(self):
        """A view from an earlier build is newer than the known set."""
        self.assertTrue(self.evacuations.is_behind(at(11)))
        self.evacuations.advance(at(11))
        self.assertFalse(self.evacuations.is_behind(at(11)))

    def test_restored_store_without_the_key_keeps_it_for_a_time(self):
        self.evacuations.replace(at(5, era=2), [], 100.0)
        self.evacuations.expire(100.0 + RESTORE_KEEP_S - 0.1)
        self.assertEqual(self.evacuations.active, {"a"})
        self.evacuations.expire(100.0 + RESTORE_KEEP_S)
        self.assertEqual(self.evacuations.active, frozenset())

    def test_removal_after_a_restore_ends_it_at_once(self):
        self.evacuations.replace(at(5, era=2), [], 100.0)
        self.evacuations.record_change(6, "a", True)
        self.evacuations.record_change(7, "a", False)
        self.assertEqual(self.evacuations.active, frozenset())


class EvacuatedSearchersTest(unittest.TestCase):
    def setUp(self):
        self.directory = SearcherDirectory(DRAIN_S, 1.0)
        self.directory.record_store_contact(0.0, 0.0)
        for zone in "ab":
            self.directory.put(self.entry(zone), 0.0)
        self.directory.evacuations.replace(at(1), ["a"], 0.0)

    def entry(self, zone):
        address = Address("10.0.0.1", 80)
        ready = SearcherState.READY
        return SearcherEntry(f"in-{zone}", "s", address, zone, 2, ready, 0.0)

    def usable(self, now):
        return [e.searcher_id for e in self.directory.usable("s", now)]

    def drain(self, zone, now):
        entry = self.entry(zone)
        draining = SearcherState.DRAINING
        self.directory.put(dataclasses.replace(entry, state=draining), now)

    def test_evacuated_searcher_gets_no_work(self):
        self.assertEqual(self.usable(1.0), ["in-b"])
        self.assertFalse(self.directory.is_evacuated("s"))

    def test_evacuated_searcher_is_no_fallback_when_it_drains(self):
        self.drain("a", 1.0)
        self.directory.remove("in-b", 1.0)
        self.directory.retired["s"].pop("in-b")
        self.assertEqual(self.usable(1.1), [])
        self.assertTrue(self.directory.is_evacuated("s"))

    def test_draining_searcher_elsewhere_is_the_fallback(self):
        """The only ready searcher is evacuated, so it counts as missing."""
        self.drain("b", 1.0)
        self.assertEqual(self.usable(1.1), ["in-b"])


if __name__ == "__main__":
    unittest.main()
