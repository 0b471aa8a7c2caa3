"""The store comes back from a copy some seconds old, as in a drill."""

import json
import unittest

import eventlet

from kumquatspur.core.routing import SearcherState
from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import wait_until
from standins.platform_path_case import PlatformPathCase
from standins.platform_searcher import forwarded_route

REQUEST_INTERVAL_S = 0.02
HEARTBEAT_S = 1.0


class StoreDrillTest(PlatformPathCase):
    def setUp(self):
        super().setUp()
        self.wait_ready()
        # Entries that a restored copy lacks are kept for three heartbeats.
        self.host.state.directory.heartbeat_s = HEARTBEAT_S
        self.new_route = forwarded_route("new", "/new/", "single")

    def usable(self, service, host=None):
        state = (host or self.host).state
        entries = state.usable_searchers(service, monotonic_s())
        return {entry.searcher_id for entry in entries}

    def wait_for_restore(self, host=None, count=1):
        counters = (host or self.host).state.counters
        wait_until(lambda: counters["store_restored"] >= count)

    def start_peers(self, count=2):
        seeds = (self.host.settings.peer.port,)
        peers = [self.start_host(f"h{n}", seeds=seeds) for n in range(count)]
        for peer in peers:
            self.wait_ready(peer)
            peer.state.directory.heartbeat_s = HEARTBEAT_S
        hosts = [self.host, *peers]
        wait_until(
            lambda: all(len(h.state.peers.peers) == count for h in hosts)
        )
        return hosts

    def advance_store(self):
        """Changes the store, so that its revision is above that of a copy."""
        copy = self.store.copy()
        self.put_config(2, [*self.routes, self.new_route])
        self.add_searcher("i-late", "single", [])
        self.store.remove("servers/i-s3-b")
        self.searchers["i-s2-b"].register(
            self.store, state="draining", sequence=2
        )
        for number in range(30):
            self.store.put(f"other/{number}", b"x")
        return copy

    def wait_for_advance(self, host=None):
        state = (host or self.host).state
        wait_until(lambda: state.table.config.version == 2)
        wait_until(lambda: "i-late" in state.directory.by_id)
        wait_until(lambda: self.usable("s3", host) == {"i-s3-a"})
        wait_until(lambda: self.usable("s2", host) == {"i-s2-a"})

    def check_newer_state_in_force(self, host=None):
        state = (host or self.host).state
        self.assertEqual(state.table.config.version, 2)
        self.assertIn("i-late", self.usable("single", host))
        self.assertEqual(self.usable("s3", host), {"i-s3-a"})
        self.assertEqual(self.usable("s2", host), {"i-s2-a"})

    def test_state_of_before_stays_in_force(self):
        copy = self.advance_store()
        self.wait_for_advance()
        self.store.restore(copy)
        self.wait_for_restore()
        self.check_newer_state_in_force()
        # The store hands out revisions again that the host has seen.
        self.searchers["i-late"].register(self.store, sequence=3)
        self.put_config(3, [*self.routes, self.new_route])
        wait_until(lambda: self.host.state.table.config.version == 3)
        self.assertLess(self.store.revision, copy[0] + 30)

    def test_entry_that_is_not_written_again_is_removed(self):
        copy = self.advance_store()
        self.wait_for_advance()
        self.store.restore(copy)
        self.wait_for_restore()
        self.assertIn("i-late", self.usable("single"))
        wait_until(lambda: "i-late" not in self.usable("single"))

    def test_requests_are_served_during_a_drill(self):
        copy = self.advance_store()
        self.wait_for_advance()
        statuses = []

        def send_requests():
            number = 0
            while True:
                number += 1
                path = ("/all/x", "/new/x")[number % 2]
                reply = self.exchange(
                    self.connect(), self.request(path, f"d{number}")
                )
                statuses.append(reply[0])
                eventlet.sleep(REQUEST_INTERVAL_S)

        thread = eventlet.spawn(send_requests)
        self.addCleanup(thread.kill)
        self.store.unresponsive = True
        eventlet.sleep(0.3)
        self.store.restore(copy)
        self.store.unresponsive = False
        self.wait_for_restore()
        self.searchers["i-late"].register(self.store, sequence=3)
        restored_at = len(statuses)
        wait_until(lambda: len(statuses) > restored_at + 20)
        thread.kill()
        self.assertEqual(set(statuses), {200})

    def test_peers_change_to_the_new_era_together(self):
        hosts = self.start_peers()
        copy = self.advance_store()
        for host in hosts:
            self.wait_for_advance(host)
        self.store.restore(copy)
        for host in hosts:
            self.wait_for_restore(host)
            self.check_newer_state_in_force(host)
        self.put_config(3, [*self.routes, self.new_route])
        for host in hosts:
            wait_until(lambda: host.state.table.config.version == 3)  # noqa: B023
            self.assertEqual(host.mirror.era, self.store.era)
            wait_until(lambda: host.mirror.revision <= self.store.revision)  # noqa: B023

    def test_host_that_starts_in_a_drill_gets_the_configuration_in_force(self):
        copy = self.advance_store()
        self.wait_for_advance()
        self.store.restore(copy)
        self.wait_for_restore()
        seeds = (self.host.settings.peer.port,)
        late = self.start_host("late", seeds=seeds)
        wait_until(late.state.is_ready)
        wait_until(lambda: late.state.table.config.version == 2)

    def test_two_drills_in_a_row(self):
        copy = self.advance_store()
        self.wait_for_advance()
        self.store.restore(copy)
        self.wait_for_restore()
        self.searchers["i-late"].register(self.store, sequence=3)
        by_id = self.host.state.directory.by_id
        wait_until(lambda: by_id["i-late"].sequence == 3)
        self.store.restore(copy)
        self.wait_for_restore(count=2)
        self.check_newer_state_in_force()
        self.assertEqual(self.host.mirror.era, self.store.era)

    def test_watch_that_is_cut_in_a_drill(self):
        copy = self.advance_store()
        self.wait_for_advance()
        self.store.unresponsive = True
        self.store.restore(copy)
        # Revisions pass those of before, so that no watch gets status 410.
        for number in range(200):
            self.store.put(f"other/{number}", b"y")
        self.store.unresponsive = False
        self.wait_for_restore()
        self.check_newer_state_in_force()

    def test_drill_of_a_store_that_names_no_era(self):
        self.store.era = None
        self.put_config(2, [*self.routes, self.new_route])
        wait_until(lambda: self.host.state.table.config.version == 2)
        host = self.start_host("own2")
        self.wait_ready(host)
        copy = self.store.copy()
        for number in range(30):
            self.store.put(f"other/{number}", b"x")
        wait_until(lambda: host.mirror.revision == self.store.revision)
        self.store.restore(copy)
        self.wait_for_restore(host)
        self.put_config(3, [*self.routes, self.new_route])
        wait_until(lambda: host.state.table.config.version == 3)

    def test_searcher_that_left_stays_out_after_a_drill(self):
        searcher = self.searchers["i-single-a"]
        searcher.leaving = True
        directory = self.host.state.directory
        for number in range(50):
            self.ask("/one/x", request_id=f"l{number}")
            if "i-single-a" in directory.leaving:
                break
        copy = self.store.copy()
        self.store.put("other/1", b"x")
        self.store.restore(copy)
        self.wait_for_restore()
        self.assertEqual(self.usable("single"), {"i-single-b"})
        value = json.loads(self.store.items["servers/i-single-a"][0])
        self.assertEqual(value["state"], SearcherState.READY)


if __name__ == "__main__":
    unittest.main()
