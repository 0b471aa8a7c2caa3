import unittest

from kumquatspur.core.records import Catalogue, Layout
from kumquatspur.policy.snapshot import choose_snapshot, shards_at

CATALOGUE = Catalogue("c", (Layout(1, ("a", "b")), Layout(5, ("a", "b", "d"))))


class SnapshotTest(unittest.TestCase):
    def test_layout_belongs_to_the_snapshot(self):
        self.assertEqual(shards_at([CATALOGUE], 4), ("a", "b"))
        self.assertEqual(shards_at([CATALOGUE], 5), ("a", "b", "d"))
        self.assertEqual(shards_at([CATALOGUE], 0), ())

    def test_choice(self):
        cases = [
            ("nothing held", {}, 0),
            ("newest of equals", {"a": {3, 4}, "b": {3, 4}}, 4),
            ("coverage first", {"a": {3, 4}, "b": {3}}, 3),
            ("repartition not loaded yet", {"a": {4, 5}, "b": {4, 5}}, 4),
        ]
        for name, held, expected in cases:
            with self.subTest(name):
                self.assertEqual(choose_snapshot([CATALOGUE], held), expected)


if __name__ == "__main__":
    unittest.main()
