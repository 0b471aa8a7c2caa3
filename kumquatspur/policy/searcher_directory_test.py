import dataclasses
import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry, SearcherState
from kumquatspur.policy.searcher_directory import (
    DEPARTURE_MEMORY_S,
    EXPIRY_GRACE_S,
    RESTORE_HEARTBEATS,
    SearcherDirectory,
)

DRAIN_S = 3.0
HEARTBEAT_S = 1.2


def entry(searcher_id, state=SearcherState.READY, service="s"):
    return SearcherEntry(
        searcher_id, service, Address("10.0.0.1", 80), "z", 2, state, 0.0
    )


class SearcherDirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = SearcherDirectory(DRAIN_S, HEARTBEAT_S)
        self.directory.record_store_contact(0.0, 0.0)
        for searcher_id in ("a", "b"):
            self.directory.put(entry(searcher_id), 0.0)

    def usable(self, now, service="s"):
        found = self.directory.usable(service, now)
        return sorted(item.searcher_id for item in found)

    def test_draining_searcher_gets_no_work_while_another_is_ready(self):
        self.directory.put(entry("a", SearcherState.DRAINING), 1.0)
        self.assertEqual(self.usable(1.0), ["b"])

    def test_last_searcher_is_used_for_a_part_of_its_drain_time(self):
        self.directory.remove("b", 1.0)
        self.directory.put(entry("a", SearcherState.DRAINING), 9.0)
        self.assertEqual(self.usable(9.1), ["a"])
        self.assertEqual(self.usable(9.0 + DRAIN_S), [])

    def test_removed_searcher_gets_no_work(self):
        self.directory.record_store_contact(1.0, 1.0)
        self.directory.remove("a", 1.0)
        self.assertEqual(self.usable(1.0), ["b"])

    def test_watch_without_changes_is_no_outage(self):
        # A watch without changes blocks for several heartbeats.
        self.directory.record_store_contact(0.1, 5.0)
        self.directory.remove("a", 5.0)
        self.assertEqual(self.usable(5.0), ["b"])

    def test_entry_that_expired_in_an_outage_is_kept_for_the_grace_period(self):
        self.directory.record_store_contact(10.0, 10.0)
        self.directory.remove("a", 10.0)
        self.assertEqual(self.usable(10.1), ["a", "b"])
        self.directory.put(entry("a"), 11.0)
        self.assertEqual(self.directory.expire(10.0 + EXPIRY_GRACE_S), [])
        self.assertEqual(self.usable(13.0), ["a", "b"])

    def test_entry_that_does_not_return_after_an_outage_is_removed(self):
        self.directory.record_store_contact(10.0, 10.0)
        self.directory.replace([entry("b")], {"b"}, 10.0)
        expired = self.directory.expire(10.0 + EXPIRY_GRACE_S)
        self.assertEqual(expired, ["a"])
        self.assertEqual(self.usable(10.0 + EXPIRY_GRACE_S), ["b"])

    def test_drain_time_of_an_expired_entry_begins_at_its_removal(self):
        self.directory.remove("b", 1.0)
        self.directory.record_store_contact(10.0, 10.0)
        self.directory.remove("a", 10.0)
        self.directory.expire(10.0 + EXPIRY_GRACE_S)
        self.assertEqual(self.usable(10.0 + EXPIRY_GRACE_S), [])

    def test_draining_searcher_whose_entry_expires_gets_no_work(self):
        self.directory.put(entry("a", SearcherState.DRAINING), 9.0)
        self.directory.record_store_contact(10.0, 10.0)
        self.directory.remove("a", 10.0)
        self.assertEqual(self.usable(10.0), ["b"])

    def test_restart_under_the_same_identifier_is_used_again(self):
        self.directory.put(entry("a", SearcherState.DRAINING), 1.0)
        again = dataclasses.replace(entry("a"), started_unix_ms=5)
        self.directory.put(again, 2.0)
        self.assertEqual(self.usable(2.0), ["a", "b"])

    def test_searcher_that_changes_service_is_removed_from_the_old_one(
        self,
    ):
        self.directory.put(entry("a", service="t"), 1.0)
        self.assertEqual(self.usable(1.0), ["b"])
        self.assertEqual(self.usable(1.0, "t"), ["a"])

    def test_removed_searcher_is_deleted_after_its_drain_time(self):
        self.directory.remove("a", 1.0)
        self.directory.expire(1.1 + DRAIN_S)
        self.assertNotIn("a", self.directory.retired_services)
        self.assertNotIn("a", self.directory.retired.get("s", {}))

    def test_removed_searcher_that_is_back_for_another_service(self):
        """Guards against the KeyError that ended the main loop (review/1)."""
        for service in ("unlisted", "t"):
            for searcher_id in ("a", "b"):
                self.directory.put(entry(searcher_id), 1.0)
                self.directory.remove(searcher_id, 1.0)
            self.directory.put(entry("a", service=service), 1.4)
            self.assertEqual(self.usable(1.5), ["b"])
            self.assertEqual(self.usable(1.5, service), ["a"])
            self.directory.remove("a", 1.6)

    def test_each_searcher_is_listed_once_after_any_changes(self):
        """Guards against tables that disagree after some order of changes."""
        numbers = random.Random(42)
        for _ in range(500):
            directory = SearcherDirectory(DRAIN_S, HEARTBEAT_S)
            now = 0.0
            for _ in range(40):
                now += numbers.choice((0.0, 0.1, 1.0, 4.0))
                self.change_directory(directory, numbers, now)
                self.check_lists(directory, now)

    def change_directory(self, directory, numbers, now):
        searcher_id = numbers.choice("ab")
        entries = [
            dataclasses.replace(
                entry(name, numbers.choice(list(SearcherState)), service),
                started_unix_ms=numbers.randrange(3),
                sequence=numbers.randrange(3),
            )
            for name in "ab"
            if (service := numbers.choice(("s", "t", "")))
        ]
        known = {item.searcher_id for item in entries}
        change = numbers.randrange(7)
        if change in (0, 1) and entries:
            directory.put(entries[0], now)
        elif change == 2:
            directory.remove(searcher_id, now)
        elif change == 3:
            directory.record_leaving(searcher_id, numbers.randrange(3), now)
        elif change == 4:
            directory.expire(now)
        elif change == 5:
            directory.record_store_contact(now, now)
            directory.replace(entries, known, now)
        elif change == 6:
            directory.replace_restored(entries, known, now)

    def check_lists(self, directory, now):
        listed = [
            (searcher_id, service)
            for table in (directory.by_service, directory.retired)
            for service, searchers in table.items()
            for searcher_id in searchers
        ]
        names = [searcher_id for searcher_id, _ in listed]
        self.assertEqual(len(names), len(set(names)))
        for searcher_id, service in listed:
            known = directory.by_id.get(searcher_id)
            if known is not None:
                self.assertEqual(known.service, service)
        self.assertLessEqual(set(directory.by_id), set(names))
        for service in ("s", "t"):
            directory.usable(service, now)
            directory.is_evacuated(service)

    def started(self, searcher_id, born, sequence, state=SearcherState.READY):
        return dataclasses.replace(
            entry(searcher_id, state), started_unix_ms=born, sequence=sequence
        )

    def test_searcher_that_said_it_leaves_stays_out(self):
        self.directory.put(self.started("a", 5, 1), 0.0)
        self.assertTrue(self.directory.record_leaving("a", 5, 1.0))
        self.assertFalse(self.directory.record_leaving("a", 5, 1.5))
        self.directory.put(self.started("a", 5, 2), 2.0)
        self.assertEqual(self.usable(2.0), ["b"])
        everything = [self.started("a", 5, 3), entry("b")]
        self.directory.replace(everything, {"a", "b"}, 3.0)
        self.assertEqual(self.usable(3.0), ["b"])

    def test_new_start_of_a_searcher_that_left_is_used(self):
        self.directory.put(self.started("a", 5, 9), 0.0)
        self.directory.record_leaving("a", 5, 1.0)
        self.directory.put(self.started("a", 6, 1), 2.0)
        self.assertEqual(self.usable(2.0), ["a", "b"])
        self.assertFalse(self.directory.record_leaving("a", 5, 1.0))
        self.assertEqual(self.usable(2.0), ["a", "b"])

    def test_leaving_is_remembered_before_the_entry_is_known(self):
        self.directory.record_leaving("c", 5, 1.0)
        self.directory.put(self.started("c", 5, 1), 2.0)
        self.assertEqual(self.usable(2.0), ["a", "b"])

    def test_leaving_searcher_is_forgotten_after_its_entry_is_gone(self):
        self.directory.record_store_contact(1.0, 1.0)
        self.directory.record_leaving("a", 0, 1.0)
        self.directory.expire(1.0 + 2 * DEPARTURE_MEMORY_S)
        self.assertIn("a", self.directory.leaving)
        self.directory.remove("a", 1.0)
        self.directory.expire(1.0 + 2 * DEPARTURE_MEMORY_S)
        self.assertEqual(self.directory.leaving, {})
        self.assertEqual(self.directory.departed, {})

    def restore(self, *entries, at=5.0):
        known = {item.searcher_id for item in entries}
        self.directory.replace_restored(entries, known, at)

    def test_gone_searcher_stays_gone_after_a_restore(self):
        self.directory.record_store_contact(1.0, 1.0)
        self.directory.put(self.started("a", 5, 3), 1.0)
        self.directory.remove("a", 2.0)
        self.restore(self.started("a", 5, 2), entry("b"))
        self.assertEqual(self.usable(5.0), ["b"])
        self.restore(self.started("a", 5, 4), entry("b"))
        self.assertEqual(self.usable(5.0), ["a", "b"])

    def test_draining_searcher_stays_draining_after_a_restore(self):
        draining = self.started("a", 5, 3, SearcherState.DRAINING)
        self.directory.put(draining, 1.0)
        self.restore(self.started("a", 5, 2), entry("b"))
        self.assertEqual(self.usable(5.0), ["b"])
        self.restore(self.started("a", 5, 3), entry("b"))
        self.assertEqual(self.usable(5.0), ["b"])

    def test_entry_that_a_restored_copy_lacks_is_kept_for_a_while(self):
        self.restore(entry("b"))
        self.assertEqual(self.usable(5.0), ["a", "b"])
        later = 5.0 + RESTORE_HEARTBEATS * HEARTBEAT_S
        self.assertEqual(self.directory.expire(later), ["a"])
        self.assertEqual(self.usable(later), ["b"])


if __name__ == "__main__":
    unittest.main()
