import unittest

from kumquatspur.policy.attempt_queue import (
    AttemptQueues,
    WaitingAttempt,
    expected_wait_s,
)


class AttemptQueuesTest(unittest.TestCase):
    """Guards against attempts that wait for nothing, or in a bad order."""

    def setUp(self):
        self.queues = AttemptQueues()

    def add(self, useful_until, required=False, service="shard"):
        waiting = WaitingAttempt(service, required, useful_until, lambda: None)
        self.queues.add(waiting)
        return waiting

    def test_required_attempts_go_first_then_the_most_urgent(self):
        late, soon = self.add(2.0), self.add(1.0)
        required = self.add(5.0, required=True)
        self.assertEqual(
            self.queues.useful("shard", 0.0), [required, soon, late]
        )

    def test_attempts_that_are_too_late_are_left_out(self):
        self.add(1.0)
        useful = self.add(2.0)
        self.assertEqual(self.queues.useful("shard", 1.5), [useful])

    def test_services_wait_separately(self):
        self.add(1.0)
        self.assertEqual(self.queues.useful("other", 0.0), [])

    def test_removed_attempts_leave_nothing_behind(self):
        waiting = self.add(1.0)
        self.queues.remove(waiting)
        self.queues.remove(waiting)
        self.assertEqual(self.queues.by_service, {})
        self.assertEqual(self.queues.length("shard"), 0)

    def test_wait_grows_with_the_queue_and_shrinks_with_the_room(self):
        self.assertAlmostEqual(expected_wait_s(0, 5.0, 0.1), 0.02)
        self.assertAlmostEqual(expected_wait_s(9, 5.0, 0.1), 0.2)
        self.assertAlmostEqual(expected_wait_s(0, 0.0, 0.1), 0.1)


if __name__ == "__main__":
    unittest.main()
