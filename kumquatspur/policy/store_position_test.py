import unittest

from kumquatspur.policy.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_newer,
    is_same_era,
)


class StorePositionTest(unittest.TestCase):
    def test_era_counts_before_revision(self):
        self.assertTrue(is_newer(StorePosition(2, 5), StorePosition(1, 900)))
        self.assertFalse(is_newer(StorePosition(1, 900), StorePosition(2, 5)))

    def test_revision_counts_within_an_era(self):
        self.assertTrue(is_newer(StorePosition(2, 6), StorePosition(2, 5)))
        self.assertFalse(is_newer(StorePosition(2, 5), StorePosition(2, 5)))

    def test_revision_counts_if_an_era_is_unknown(self):
        unknown = StorePosition(UNKNOWN_ERA, 6)
        self.assertTrue(is_newer(unknown, StorePosition(2, 5)))
        self.assertFalse(is_newer(unknown, StorePosition(2, 7)))
        self.assertTrue(is_newer(StorePosition(2, 7), unknown))

    def test_unknown_era_is_the_same_as_any(self):
        self.assertTrue(is_same_era(UNKNOWN_ERA, 4))
        self.assertTrue(is_same_era(4, 4))
        self.assertFalse(is_same_era(4, 5))


if __name__ == "__main__":
    unittest.main()
