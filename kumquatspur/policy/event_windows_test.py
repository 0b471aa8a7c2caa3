import unittest

from kumquatspur.policy.burn import EventCounts
from kumquatspur.policy.event_windows import EventWindows

ONE = EventCounts(answered=1)


class EventWindowsTest(unittest.TestCase):
    def test_events_leave_their_windows(self):
        windows = EventWindows()
        windows.add("s", ONE, 1000.0)
        windows.add("s", ONE, 3000.0)
        totals = windows.totals(3100.0)
        self.assertEqual(totals[("s", 300)].answered, 1)
        self.assertEqual(totals[("s", 3600)].answered, 2)
        self.assertNotIn(("s", 300), windows.totals(9000.0))

    def test_memory_is_bounded(self):
        windows = EventWindows()
        for minute in range(10_000):
            windows.add("s", ONE, minute * 60.0)
        self.assertLessEqual(len(windows.buckets), 21_600 // 60 + 1)


if __name__ == "__main__":
    unittest.main()
