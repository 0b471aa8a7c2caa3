import unittest

from kumquatspur.core.actions import Item
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Address, Searcher
from kumquatspur.policy.searcher_queue import (
    REMEASURE_INTERVAL_S,
    SearcherQueue,
)

SEARCHER = Searcher("s", Address("127.0.0.1", 1), "z", 2, 25, ("a",), "g")


def make_item(name="i", deadline=10.0, repeatable=True):
    return Item(name, "a", "null", 1, 1, deadline, repeatable, False, "sub")


def make_queue(fixed_s=0.0, each_s=0.02, slots=2):
    queue = SearcherQueue(SEARCHER, max_calls=slots, last_ended_at=0.0)
    for items in (1, 2, 3, 1, 2, 3) * 20:
        queue.cost.add(items, fixed_s + items * each_s)
    return queue


def busy(queue, now=0.0):
    """Fills all slots."""
    for number in range(queue.max_calls):
        queue.start(f"c{number}", (make_item(),), now)
    return queue


class SearcherQueueTest(unittest.TestCase):
    def test_admission_by_deadline_and_wait(self):
        cases = [
            ("free slot", make_queue(), 0.1, True, None),
            (
                "no time even with a free slot",
                make_queue(),
                0.02,
                True,
                "overloaded",
            ),
            ("busy, in time", busy(make_queue()), 0.1, True, None),
            ("busy, not in time", busy(make_queue()), 0.03, True, "overloaded"),
            (
                "busy, may not wait",
                busy(make_queue()),
                0.1,
                False,
                "overloaded",
            ),
        ]
        for name, queue, deadline, may_wait, expected in cases:
            with self.subTest(name):
                item = make_item(deadline=deadline)
                reason = queue.admit(item, 0.0, may_wait)
                wanted = Reason.OVERLOADED if expected else None
                self.assertIs(reason, wanted)

    def test_slow_searcher_gets_one_item_per_interval(self):
        queue = make_queue(each_s=0.4)
        late = REMEASURE_INTERVAL_S
        for now, expected in [(0.1, False), (late, True), (late, False)]:
            with self.subTest(now=now):
                reason = queue.admit(make_item(deadline=now + 0.14), now)
                self.assertEqual(reason is None, expected)

    def test_batches(self):
        not_repeatable = [make_item("1", repeatable=False), make_item("2")]
        urgent = [make_item(str(n), 0.025) for n in range(8)]
        many = [make_item(str(n)) for n in range(8)]
        cases = [
            ("cost in items", 0.0, 0.02, many, [1, 1]),
            ("fixed cost", 0.018, 0.002, many, [4, 2]),
            ("little time left", 0.018, 0.002, urgent, [1, 1]),
            ("not repeatable", 0.018, 0.002, not_repeatable, [1, 1]),
        ]
        for name, fixed, each, items, sizes in cases:
            queue = make_queue(fixed, each)
            queue.waiting.extend(items)
            taken = []
            while batch := queue.take_batch(0.0):
                queue.start(batch[0].item_id, batch, 0.0)
                taken.append(len(batch))
            with self.subTest(name):
                self.assertEqual(taken, sizes)

    def test_earliest_deadline_first_and_late_items_are_removed(self):
        queue = busy(make_queue())
        for deadline in (0.3, 0.1, 0.2):
            queue.admit(make_item(str(deadline), deadline), 0.0)
        self.assertEqual([i.item_id for i in queue.waiting][0], "0.1")
        expired = queue.take_expired(0.15)
        self.assertEqual([i.item_id for i in expired], ["0.1"])

    def test_estimated_latency(self):
        cases = [
            ("answered", lambda q: q.finish("c0", 0.02), 0.01, 0.03),
            ("failed", lambda q: q.finish("c0", 0.02, False), 0.03, 0.2),
            ("cancelled early", lambda q: q.cancel("c0", 0.001), 0.0, 0.021),
            ("overdue", lambda q: None, 0.9, 1.1),
        ]
        for name, end, low, high in cases:
            queue = make_queue(slots=1)
            queue.penalized_latency_s = 0.02
            busy(queue)
            end(queue)
            with self.subTest(name):
                self.assertTrue(low < queue.estimated_latency_s(1.0) <= high)

    def test_idle_estimate_decreases_with_each_probe(self):
        queue = make_queue()
        queue.penalized_latency_s = 0.4
        for _ in range(30):
            queue.record_probe()
        self.assertLess(queue.penalized_latency_s, 0.05)


if __name__ == "__main__":
    unittest.main()
