import random
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import LoadReport, SearcherEntry, SearcherState
from kumquatspur.policy.searcher_room import SearcherRooms

SLOTS = 5
ENTRY = SearcherEntry(
    "s", "shard", Address("10.0.0.1", 1), "a", SLOTS, SearcherState.READY, 0.0
)
MAX_CONNECTIONS = 40
WORK_S = 0.025
STEP_S = 0.001


class OneSearcher:
    """One searcher that several hosts ask, in steps of a millisecond.

    Attributes:
        hosts: The limits of each host.
        running: Pairs of end and host of the running requests.
        queue: Pairs of arrival and host of the waiting requests.
        in_flight: Requests in flight by host.
        longest_queue: Longest queue at the searcher after the first second.
        done: Requests that were finished, by host.
    """

    def __init__(self, hosts):
        self.hosts = [SearcherRooms() for _ in range(hosts)]
        self.running, self.queue = [], []
        self.in_flight = [0] * hosts
        self.done = [0] * hosts
        self.longest_queue = 0
        self.random = random.Random(3)

    def step(self, now, wanted, bounded=True):
        """Lets requests end and start.

        Args:
            now: The time in seconds.
            wanted: By host, whether it has a request to send.
            bounded: Whether the limits hold.
        """
        for end, host in [item for item in self.running if item[0] <= now]:
            self.running.remove((end, host))
            self.in_flight[host] -= 1
            self.done[host] += 1
            report = LoadReport(len(self.running), len(self.queue), SLOTS)
            self.hosts[host].record_report(
                ENTRY, report, self.in_flight[host], MAX_CONNECTIONS, now
            )
        for host in self.random.sample(range(len(wanted)), len(wanted)):
            has_room = self.hosts[host].has_room(ENTRY, self.in_flight[host])
            if wanted[host] and (has_room or not bounded):
                self.in_flight[host] += 1
                self.queue.append((now, host))
        while self.queue and len(self.running) < SLOTS:
            _, host = self.queue.pop(0)
            self.running.append((now + WORK_S, host))
        if now > 1.0:
            self.longest_queue = max(self.longest_queue, len(self.queue))


class SearcherRoomsTest(unittest.TestCase):
    """Guards against queues at a searcher that has too little room."""

    def play(self, hosts, share_wanted, bounded=True):
        searcher = OneSearcher(hosts)
        for step in range(6000):
            wanted = [searcher.random.random() < s for s in share_wanted]
            searcher.step(step * STEP_S, wanted, bounded)
        return searcher

    def test_queue_stays_short_while_more_is_wanted_than_there_is_room(self):
        # 300 requests a second where there is room for 200.
        wanted = [0.05] * 6
        bounded = self.play(6, wanted)
        self.assertLess(bounded.longest_queue, 4 * SLOTS)
        self.assertGreater(sum(bounded.done), 0.95 * 6 * SLOTS / WORK_S)
        # Without the limits, it grows as long as the load lasts.
        self.assertGreater(self.play(6, wanted, False).longest_queue, 200)

    def test_a_host_with_more_traffic_gets_more_room(self):
        searcher = self.play(3, [0.02, 0.02, 0.1])
        self.assertGreater(searcher.done[2], 1.5 * searcher.done[0])

    def test_limit_grows_to_what_one_host_needs(self):
        # The searcher answers without a queue, so nothing bounds the host.
        searcher = self.play(1, [0.19])
        self.assertGreater(searcher.done[0], 0.9 * 0.19 * 6000)

    def test_reports_of_one_moment_reduce_the_limit_once(self):
        rooms = SearcherRooms()
        long_queue = LoadReport(SLOTS, 3 * SLOTS, SLOTS)
        for _ in range(4):
            rooms.record_report(ENTRY, long_queue, 4, MAX_CONNECTIONS, 1.0)
        self.assertEqual(rooms.limit(ENTRY), 3.75)

    def test_searchers_without_reports_are_bound_by_connections_only(self):
        rooms = SearcherRooms()
        for step in range(2000):
            limit = int(rooms.limit(ENTRY))
            rooms.record_report(ENTRY, None, limit, 12, step * STEP_S)
        self.assertEqual(rooms.limit(ENTRY), 12)

    def test_at_least_one_attempt_is_possible(self):
        rooms = SearcherRooms()
        long_queue = LoadReport(SLOTS, 50, SLOTS)
        for step in range(100):
            rooms.record_report(ENTRY, long_queue, 0, 40, step * 0.1)
        self.assertTrue(rooms.has_room(ENTRY, 0))

    def test_removed_searchers_are_forgotten(self):
        rooms = SearcherRooms()
        rooms.record_report(ENTRY, None, 1, 40, 1.0)
        rooms.prune(())
        self.assertEqual(rooms.by_searcher, {})


if __name__ == "__main__":
    unittest.main()
