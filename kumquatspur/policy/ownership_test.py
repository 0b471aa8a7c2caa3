import collections
import json
import unittest

from kumquatspur.border.config_files import load_configuration
from kumquatspur.core.records import Address, Searcher
from kumquatspur.policy.ownership import (
    CHUNK_SEARCHERS,
    assign_chunks,
    failover_zone,
    load_bound,
    rank_members,
    split_groups,
)
from standins.shapes import SHAPES, config_files

ADDRESS = Address("127.0.0.1", 1)


def searcher(name, group):
    return Searcher(name, ADDRESS, "z", 2, 25, (name,), group)


def zone(groups, size):
    """Returns the chunks of a zone whose groups have the same size."""
    return split_groups(
        searcher(f"{group}-{number}", f"group-{group}")
        for group in range(groups)
        for number in range(size)
    )


def hosts(count):
    return [f"host-{number}" for number in range(count)]


def owners(chunks, members):
    assigned = assign_chunks(chunks, members).owners
    return {name: ranking[0] for name, ranking in assigned.items()}


def moves(before, after):
    return sum(before[name] != after[name] for name in before)


class OwnershipTest(unittest.TestCase):
    def test_order_of_input_does_not_matter(self):
        chunks, members = zone(40, 5), hosts(9)
        self.assertEqual(
            assign_chunks(chunks, members),
            assign_chunks(list(chunks), members[::-1]),
        )
        self.assertEqual(
            rank_members("g", members), rank_members("g", members[::-1])
        )

    def test_owners_are_balanced(self):
        for shape in SHAPES.values():
            files = {n: json.dumps(v) for n, v in config_files(shape).items()}
            configuration, _ = load_configuration(files, 1)
            for name in shape.zones:
                self.check_balance(
                    split_groups(
                        s
                        for s in configuration.searchers.values()
                        if s.zone == name
                    ),
                    [f"{name}-{letter}" for letter in "abc"],
                )
        self.check_balance(zone(180, 25), hosts(118))

    def check_balance(self, chunks, members):
        loads = collections.Counter(owners(chunks, members).values())
        total = sum(loads.values())
        largest = max(len(chunk.searchers) for chunk in chunks)
        bound = load_bound(total, len(members), largest)
        self.assertLessEqual(max(loads.values()), bound)
        self.assertLess(bound, 1.25 * total / len(members) + 1)
        self.assertEqual(len(loads), len(members))

    def test_few_searchers_move_with_a_host(self):
        # Number of groups, number of hosts, maximum ratio of searchers that
        # move to those that have to move, and additional chunks that may move
        # when a host joins. With few groups per host, one additional chunk may
        # move.
        cases = [
            (180, 9, 1.5, 0),
            (180, 118, 1.5, 0),
            (18, 118, 2.0, 1),
            (54, 118, 2.0, 1),
        ]
        for groups, count, max_move_ratio, extra_chunks in cases:
            chunks, members = zone(groups, 25), hosts(count)
            before = owners(chunks, members)
            loads = collections.Counter(before.values())
            moved = 0
            for failed in members[:9]:
                rest = [member for member in members if member != failed]
                moved += moves(before, owners(chunks, rest))
            failed_host_searchers = sum(loads[member] for member in members[:9])
            self.assertLess(moved, max_move_ratio * failed_host_searchers)
            joined = owners(chunks, [*members, "host-new"])
            mean_load = len(before) / count
            moved = moves(before, joined)
            extra = extra_chunks * len(chunks[0].searchers)
            self.assertLess(moved, max_move_ratio * mean_load + extra)

    def test_previous_assignment_changes_nothing(self):
        chunks = zone(60, 25)
        previous, members = None, hosts(30)
        for step in range(12):
            members = [*members[2:], f"new-{step}"]
            previous = assign_chunks(chunks, members, previous)
            fresh = assign_chunks(chunks, members)
            for name, ranking in fresh.owners.items():
                self.assertEqual(previous.owners[name][:2], ranking[:2])

    def test_a_query_reaches_few_owners(self):
        chunks = zone(18, 250)
        assigned = owners(chunks, hosts(118))
        reached = {o for name, o in assigned.items() if name.startswith("3-")}
        self.assertLessEqual(len(reached), 250 / CHUNK_SEARCHERS + 1)

    def test_zone_without_hosts_fails_over_to_one_other(self):
        live = {"a": [], "b": ["h1"], "c": ["h2"]}
        self.assertEqual(failover_zone("b", live), "b")
        self.assertIn(failover_zone("a", live), ("b", "c"))
        self.assertIsNone(failover_zone("a", {"a": []}))


if __name__ == "__main__":
    unittest.main()
