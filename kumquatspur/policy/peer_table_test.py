import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.policy.peer_table import (
    COUNT_MEMORY_S,
    FORGET_S,
    MAX_NAMED,
    PeerTable,
)


def address(number):
    return Address("10.0.0.1", 1000 + number)


class PeerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable("own")

    def test_seeds_are_used_until_a_peer_is_known(self):
        seeds = (address(1), address(2))
        self.assertEqual(self.table.addresses(seeds), list(seeds))
        self.table.note("a", address(3), 1.0)
        self.assertEqual(self.table.addresses(seeds), [address(3)])

    def test_own_name_is_no_peer(self):
        self.table.note("own", address(1), 1.0)
        self.assertEqual(self.table.peers, {})

    def test_older_hearsay_changes_nothing(self):
        self.table.note("a", address(1), 5.0)
        self.table.note("a", address(2), 4.0)
        self.assertEqual(self.table.peers["a"].address, address(1))

    def test_silent_host_is_forgotten(self):
        self.table.note("a", address(1), 1.0)
        self.table.note("b", address(2), 3.0)
        self.assertEqual(self.table.forget_silent(1.1 + FORGET_S), ["a"])
        self.assertEqual(list(self.table.peers), ["b"])

    def test_cut_off_hosts_still_count_for_the_budget(self):
        for number in range(8):
            self.table.note(str(number), address(number), 1.0)
        self.assertEqual(self.table.host_count(1.0, 16), 9)
        self.table.note("0", address(0), 12.0)
        self.table.forget_silent(12.0)
        self.assertEqual(self.table.host_count(12.0, 16), 9)
        late = 2.0 + COUNT_MEMORY_S
        self.assertEqual(self.table.host_count(late, 16), 2)

    def test_lonely_host_assumes_many_others(self):
        self.assertEqual(self.table.host_count(1.0, 16), 16)

    def test_message_size_is_bounded(self):
        for number in range(100):
            self.table.note(str(number), address(number), 1.0)
        named = self.table.named(random.Random(1).sample)
        self.assertEqual(len(named), MAX_NAMED)


if __name__ == "__main__":
    unittest.main()
