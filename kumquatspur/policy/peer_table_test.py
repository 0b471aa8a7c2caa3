import dataclasses
import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity
from kumquatspur.policy.peer_table import (
    CAPACITY_WINDOW_S,
    ISOLATED_AFTER_S,
    MAX_PEERS_PER_MESSAGE,
    PEER_EXPIRY_S,
    SETTLE_S,
    SILENT_ZONE_AFTER_S,
    WATCHERS_PER_ZONE,
    Peer,
    PeerTable,
)

CAPACITY = HostCapacity(10.0, 0.5)


def new_table(name="own"):
    return PeerTable(name, "z", CAPACITY)


def address(number):
    return Address("10.0.0.1", 1000 + number)


def new_peer(name, zone, cores=0.5):
    return Peer(name, zone, address(1), 1.0, HostCapacity(10.0, cores))


class PeerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = new_table()

    def merge_peer(self, name, where, last_received_at, zone="z"):
        self.table.merge_peer(
            Peer(name, zone, where, last_received_at, CAPACITY)
        )

    def test_all_hosts_of_a_zone_choose_the_same_few_watchers(self):
        names = [f"h{number}" for number in range(30)]
        watchers = set()
        for own in names:
            table = new_table(own)
            for number, name in enumerate(names):
                table.merge_peer(
                    Peer(name, "z", address(number), 1.0, CAPACITY)
                )
                table.merge_peer(
                    Peer(f"o{name}", "y", address(number), 1.0, CAPACITY)
                )
            chosen = [
                own if peer is None else peer.name for peer in table.watchers()
            ]
            self.assertEqual(len(chosen), WATCHERS_PER_ZONE)
            watchers.update(chosen)
        self.assertEqual(len(watchers), WATCHERS_PER_ZONE)

    def test_each_zone_has_allocators_of_an_account(self):
        """A zone that is cut off needs one, and all hosts the same order."""
        names = [f"h{number}" for number in range(30)]
        found = set()
        for own in names:
            table = PeerTable(own, f"z{int(own[1:]) % 3}", CAPACITY)
            for number, name in enumerate(names):
                self.table = table
                self.merge_peer(name, address(1), 1.0, f"z{number % 3}")
            ranked = tuple(
                peer.name if peer else own
                for peer in table.account_allocators("shop")
            )
            self.assertEqual({int(n[1:]) % 3 for n in ranked}, {0, 1, 2})
            found.add(ranked)
        self.assertEqual(len(found), 1)

    def test_rank_of_an_account_follows_the_known_hosts(self):
        for number in range(30):
            self.merge_peer(f"h{number}", address(number), 1.0)
        first = self.table.account_allocators("shop")[0]
        del self.table.peers[first.name]
        self.merge_peer("new", address(1), 1.0)
        names = [p and p.name for p in self.table.account_allocators("shop")]
        self.assertNotIn(first.name, names)

    def tables(self, names, zones="xyz"):
        """Returns the tables of hosts that all know each other."""
        peers = [
            Peer(name, zones[number % len(zones)], address(1), 100.0, CAPACITY)
            for number, name in enumerate(names)
        ]
        tables = {}
        for own in peers:
            table = PeerTable(own.name, own.zone, CAPACITY)
            for peer in peers:
                table.merge_peer(peer)
            tables[own.name] = table
        return tables

    def sum_of_parts(self, tables, now):
        return sum(t.account_part("shop", now) for t in tables.values())

    def test_parts_of_a_quota_are_one_together(self):
        names = [f"h{number}" for number in range(30)]
        tables = self.tables(names)
        self.assertAlmostEqual(self.sum_of_parts(tables, 100.0), 1.0)
        first = tables["h0"].account_allocators("shop")[0]
        lenders = tables[names[-1]].account_lenders("shop")
        part = tables[first.name].account_part("shop", 100.0)
        self.assertAlmostEqual(part, lenders[first.name])

    def test_silent_zone_is_found_but_keeps_its_parts(self):
        """Its hosts may go on with their parts of the quotas."""
        for number in range(3):
            self.merge_peer(f"a{number}", address(number), 106.0)
            self.merge_peer(f"b{number}", address(number), 100.0, "y")
        part = self.table.account_part("shop", 100.0)
        self.table.update_silent_zones(100.0 + SILENT_ZONE_AFTER_S)
        self.assertEqual(self.table.silent_zones, set())
        self.table.update_silent_zones(100.1 + SILENT_ZONE_AFTER_S)
        self.assertEqual(self.table.silent_zones, {"y"})
        self.assertEqual(self.table.account_part("shop", 106.0), part)

    def test_lost_host_of_a_heard_zone_leaves_its_part(self):
        self.merge_peer("b0", address(0), 90.0, "y")
        self.merge_peer("b1", address(1), 100.0, "y")
        before = self.table.account_part("shop", 100.5)
        self.table.update_silent_zones(100.5)
        self.assertEqual(self.table.silent_zones, set())
        self.assertEqual(self.table.account_part("shop", 100.6), before)

    def test_parts_are_never_more_than_one_while_hosts_are_removed(self):
        """A zone is cut off, and each host removes the others by itself."""
        rng = random.Random(3)
        names = [f"h{number}" for number in range(30)]
        tables = self.tables(names)
        steps = []
        for own, table in tables.items():
            for name in table.peers:
                if (table.own_zone == "x") != (table.peers[name].zone == "x"):
                    steps.append((110.0 + 3.0 * rng.random(), own, name))
        for now, own, name in sorted(steps):
            table = tables[own]
            table.removed[name] = table.peers.pop(name), now
            table.removed_at = now
            table._clear_ranks()
            self.assertLessEqual(self.sum_of_parts(tables, now), 1.0 + 1e-9)
        later = 113.0 + SETTLE_S
        self.assertLessEqual(self.sum_of_parts(tables, later), 1.0 + 1e-9)
        self.assertGreater(self.sum_of_parts(tables, later), 0.95)

    def test_hosts_that_lost_each_other_divide_what_all_share_for_minutes(self):
        """Both sides of a long partition may serve clients and searchers."""
        for number in range(9):
            self.merge_peer(f"h{number}", address(number), 100.0)
        before = self.table.sharers(100.0, 1.0)
        self.table.most_known(100.0)
        self.table.remove_expired(100.0 + 2 * PEER_EXPIRY_S)
        self.merge_peer("h0", address(0), 280.0)
        later = 100.0 + 180.0
        self.assertEqual(self.table.sharers(later, 1.0), before)
        self.assertLessEqual(self.table.account_part("shop", later), 0.2)

    def test_host_of_an_earlier_build_holds_no_part(self):
        for number in range(4):
            self.merge_peer(f"h{number}", address(number), 100.0)
        for name in list(self.table.peers):
            peer = dataclasses.replace(
                self.table.peers[name],
                lends_quotas=False,
                last_received_at=101.0,
            )
            self.table.merge_peer(peer)
        self.assertEqual(self.table.account_lenders("shop"), {})
        self.assertEqual(self.table.account_part("shop", 101.0), 0.2)

    def test_hosts_rank_the_allocators_of_a_zone_alike(self):
        names = [f"h{number}" for number in range(6)]
        found = set()
        for own in names:
            table = new_table(own)
            for name in names:
                table.merge_peer(new_peer(name, "z"))
            table.merge_peer(new_peer("fast", "z", cores=2.0))
            table.merge_peer(new_peer("other", "y", cores=4.0))
            ranked = table.allocators("z")
            found.add(tuple(own if p is None else p.name for p in ranked))
        (ranked,) = found
        self.assertEqual(ranked[0], "fast")
        self.assertEqual(sorted(ranked[1:]), names)

    def test_hosts_of_other_zones_allocate_for_a_zone_without_hosts(self):
        self.table.merge_peer(new_peer("a", "y"))
        ranked = self.table.allocators("x")
        self.assertEqual(len(ranked), 2)
        self.assertIn(None, ranked)

    def test_host_that_hears_nobody_is_isolated(self):
        self.assertFalse(self.table.is_isolated(100.0))
        self.merge_peer("a", address(1), 10.0)
        self.merge_peer("b", address(2), 8.0)
        self.assertFalse(self.table.is_isolated(10.0 + ISOLATED_AFTER_S))
        self.assertTrue(self.table.is_isolated(10.1 + ISOLATED_AFTER_S))

    def test_host_without_peers_watches_the_store_itself(self):
        self.assertEqual(self.table.watchers(), [None])

    def test_seeds_stay_gossip_targets_when_peers_are_known(self):
        seeds = (address(1), address(2))
        self.assertEqual(self.table.gossip_targets(seeds), list(seeds))
        self.merge_peer("a", address(3), 1.0)
        expected = [address(1), address(2), address(3)]
        self.assertEqual(self.table.gossip_targets(seeds), expected)

    def test_most_messages_stay_in_the_zone(self):
        self.merge_peer("near", address(1), 1.0)
        self.merge_peer("far", address(2), 1.0, "y")
        seeds = (address(3),)
        self.assertEqual(self.table.gossip_targets(seeds, 0.9), [address(1)])
        expected = [address(1), address(2), address(3)]
        self.assertEqual(self.table.gossip_targets(seeds, 0.1), expected)

    def test_large_fleet_removes_no_live_host(self):
        """Each of 90 hosts in three zones sends one message per second."""
        rng = random.Random(9)
        zones = {f"h{number}": "xyz"[number % 3] for number in range(90)}
        tables = {n: PeerTable(n, z, CAPACITY) for n, z in zones.items()}
        address_of = {name: address(i) for i, name in enumerate(zones)}
        name_at = {address_of[name]: name for name in zones}
        seeds = [address_of["h0"], address_of["h1"], address_of["h2"]]
        removed = 0
        for second in range(40):
            for name, table in tables.items():
                now = second + rng.random()
                targets = table.gossip_targets(seeds, rng.random())
                other = name_at[rng.choice(targets)]
                for sender, receiver in ((name, other), (other, name)):
                    entries = [
                        Peer(
                            sender,
                            zones[sender],
                            address_of[sender],
                            now,
                            CAPACITY,
                        ),
                        *tables[sender].sample_peers(rng.sample),
                    ]
                    for peer in entries:
                        tables[receiver].merge_peer(peer)
                expired = table.remove_expired(now)
                removed += len(expired) if second > 15 else 0
        self.assertEqual({len(t.peers) for t in tables.values()}, {89})
        self.assertEqual(removed, 0)

    def test_hosts_that_know_one_peer_learn_of_all(self):
        """Eight hosts start at once with the same two seeds."""
        rng = random.Random(7)
        tables = {f"h{number}": new_table(f"h{number}") for number in range(8)}
        peers = {
            name: Peer(name, "z", address(number), 0.0, CAPACITY)
            for number, name in enumerate(tables)
        }
        by_address = {peer.address: name for name, peer in peers.items()}
        for _ in range(12):
            for name, table in tables.items():
                seeds = [address(0), address(1)]
                target = rng.choice(
                    [
                        item
                        for item in table.gossip_targets(seeds)
                        if item != peers[name].address
                    ]
                )
                other = by_address[target]
                tables[other].merge_peer(peers[name])
                for known in list(table.peers.values()):
                    tables[other].merge_peer(known)
                table.merge_peer(peers[other])
                for known in list(tables[other].peers.values()):
                    table.merge_peer(known)
        self.assertEqual({len(table.peers) for table in tables.values()}, {7})

    def test_own_entry_is_not_added_as_a_peer(self):
        self.merge_peer("own", address(1), 1.0)
        self.assertEqual(self.table.peers, {})

    def test_older_entry_changes_nothing(self):
        self.merge_peer("a", address(1), 5.0)
        self.merge_peer("a", address(2), 4.0)
        self.assertEqual(self.table.peers["a"].address, address(1))

    def test_host_without_recent_messages_is_removed(self):
        self.merge_peer("a", address(1), 1.0)
        self.merge_peer("b", address(2), 3.0)
        self.assertEqual(self.table.remove_expired(1.1 + PEER_EXPIRY_S), ["a"])
        self.assertEqual(list(self.table.peers), ["b"])

    def test_cut_off_hosts_still_count_for_the_budget(self):
        for number in range(8):
            self.merge_peer(str(number), address(number), 1.0)
        self.assertEqual(self.table.sharers(1.0, 16), 9)
        self.merge_peer("0", address(0), 12.0)
        self.table.remove_expired(12.0)
        self.assertEqual(self.table.sharers(12.0, 16), 9)
        late = 2.0 + CAPACITY_WINDOW_S
        self.assertEqual(self.table.sharers(late, 16), 2)

    def test_hosts_lost_after_a_long_time_still_count_for_the_budget(self):
        for number in range(8):
            self.merge_peer(f"p{number}", address(number), 1e6)
        lost_at = 0.9 * CAPACITY_WINDOW_S
        self.assertEqual(self.table.sharers(0.0, 16), 9)
        self.assertEqual(self.table.sharers(lost_at, 16), 9)
        for number in range(7):
            del self.table.peers[f"p{number}"]
        soon = lost_at + 0.5 * CAPACITY_WINDOW_S
        self.assertEqual(self.table.sharers(soon, 16), 9)
        late = lost_at + 1.1 * CAPACITY_WINDOW_S
        self.assertEqual(self.table.sharers(late, 16), 2)

    def test_host_without_peers_assumes_many_others(self):
        self.assertEqual(self.table.sharers(1.0, 16), 16)

    def test_hosts_share_in_proportion_to_their_links(self):
        """Eight hosts with a fast link and 64 with a slow one."""
        links = [70.0] * 8 + [7.0] * 64
        shares = []
        for own, link in enumerate(links):
            table = PeerTable(str(own), "z", HostCapacity(link, 1.0))
            for number, other in enumerate(links):
                capacity = HostCapacity(other, 1.0)
                where = address(number)
                table.merge_peer(Peer(str(number), "z", where, 1.0, capacity))
            shares.append(1.0 / table.sharers(1.0, 16))
        self.assertAlmostEqual(sum(shares), 1.0)
        self.assertAlmostEqual(shares[0] / shares[-1], 10.0)

    def test_message_size_is_bounded(self):
        for number in range(100):
            self.merge_peer(str(number), address(number), 1.0)
        peers = self.table.sample_peers(random.Random(1).sample)
        self.assertEqual(len(peers), MAX_PEERS_PER_MESSAGE)


if __name__ == "__main__":
    unittest.main()
