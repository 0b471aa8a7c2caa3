import json
import unittest

from kumquatspur.border.config_files import content_hash
from kumquatspur.border.config_head import Head, encode_head
from kumquatspur.border.settings import Settings
from kumquatspur.controllers import watcher
from kumquatspur.core import events, messages
from standins.node_driver import NodeDriver
from standins.shapes import OSLO, daemon_settings

APPLY_S = 3.0
ZONE = ("oslo-1-a", "oslo-1-b", "oslo-1-c")


def catalogue(shards):
    layouts = [{"shards": [f"c/{n}" for n in range(shards)]}]
    return json.dumps({"catalogues": {"c": {"layouts": layouts}}})


class ConfigurationTest(unittest.TestCase):
    """Nine nodes, three per zone, with a store that the driver simulates."""

    def setUp(self):
        self.start()

    def start(self, seed=0):
        settings = [Settings.model_validate(s) for s in daemon_settings(OSLO)]
        self.driver = NodeDriver(settings, seed)
        for name in self.driver.settings:
            self.driver.start(name)
        self.driver.run(4.0)
        self.accepted = 0
        self.seen = {}

    def accept(self, **files):
        """Writes a revision to the store as the operator's tool does."""
        self.accepted += 1
        hashes = {}
        for name, text in files.items():
            hashes[name] = content_hash(text)
            key = f"kumquatspur/content/{hashes[name]}"
            self.driver.write_store(key, text)
        head = encode_head(Head(self.accepted, hashes))
        self.driver.write_store("kumquatspur/head", head)

    def revisions(self, names=None):
        nodes = self.driver.nodes
        return {
            n: nodes[n].state.configuration.revision for n in names or nodes
        }

    def run_and_check(self, seconds, step=0.05):
        """Runs the driver; the revision of a node must never decrease."""
        for _ in range(round(seconds / step)):
            self.driver.run(step)
            for name, node in self.driver.nodes.items():
                key = (name, node.state.incarnation)
                revision = node.state.configuration.revision
                self.assertGreaterEqual(revision, self.seen.get(key, 0))
                self.seen[key] = revision

    def watchers(self):
        nodes = self.driver.nodes
        return [n for n in nodes if nodes[n].state.distribution.lease]

    def test_revision_is_in_force_despite_watcher_faults(self):
        def no_fault(names):
            return []

        def kill(names):
            return [self.driver.kill(name) for name in names]

        def kill_and_lose_answers(names):
            self.driver.store.lose_writes = 4
            return kill(names)

        def freeze(names):
            self.driver.frozen_nodes.update(names)

        def cut(names):
            self.driver.store.cut.update(names)

        for fault in (no_fault, kill, kill_and_lose_answers, freeze, cut):
            with self.subTest(fault.__name__):
                self.start()
                self.accept(a=catalogue(1))
                self.run_and_check(APPLY_S)
                watchers = self.watchers()
                self.assertEqual(len(watchers), 6)
                fault(watchers)
                self.accept(a=catalogue(2))
                self.run_and_check(APPLY_S)
                running = self.driver.nodes.keys() - self.driver.frozen_nodes
                self.assertEqual(set(self.revisions(running).values()), {2})

    def test_paused_watcher_gives_up_its_role_and_never_reverts(self):
        paused = self.watchers()[0]
        self.driver.frozen_nodes.add(paused)
        self.accept(a=catalogue(1))
        self.run_and_check(8.0)
        self.driver.frozen_nodes.clear()
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {1})
        zone = [w for w in self.watchers() if w[:6] == paused[:6]]
        self.assertEqual(len(zone), 2)

    def test_store_outage_during_and_after_acceptance(self):
        self.accept(a=catalogue(1))
        self.driver.store.down = True
        self.run_and_check(30.0)
        self.driver.store.down = False
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {1})

    def test_zone_cut_from_the_store_follows_the_others(self):
        self.driver.store.cut.update(ZONE)
        self.run_and_check(5.0)
        self.accept(a=catalogue(1))
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {1})

    def test_restart_in_a_zone_that_is_cut_off(self):
        self.accept(a=catalogue(1), b="{}")
        self.run_and_check(APPLY_S)
        others = self.driver.settings.keys() - set(ZONE)
        pairs = [(a, b) for a in ZONE for b in others]
        self.driver.cut_links.update(pairs + [(b, a) for a, b in pairs])
        self.driver.store.cut.update(ZONE)
        self.run_and_check(5.0)
        self.driver.kill(ZONE[0])
        self.run_and_check(1.0)
        self.driver.start(ZONE[0])
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions(ZONE).values()), {1})
        self.accept(a=catalogue(2), b="{}")
        self.run_and_check(5.0)
        self.assertEqual(set(self.revisions(ZONE).values()), {1})
        self.driver.cut_links.clear()
        self.driver.store.cut.clear()
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {2})

    def test_pause_after_failed_calls_starts_at_its_base(self):
        self.assertEqual(watcher.backoff_s(0), 0.0)
        self.assertEqual(watcher.backoff_s(1), watcher.BACKOFF_BASE_S)
        self.assertEqual(watcher.backoff_s(2), 2 * watcher.BACKOFF_BASE_S)
        self.assertEqual(watcher.backoff_s(99), watcher.MAX_BACKOFF_S)

    def test_restarted_host_never_applies_a_withdrawn_revision(self):
        for store_down in (False, True):
            with self.subTest(store_down=store_down):
                self.start()
                # The first revision has a file that the second one withdraws.
                self.accept(a=catalogue(1), key="{}")
                self.run_and_check(APPLY_S)
                self.accept(a=catalogue(1))
                self.run_and_check(APPLY_S)
                self.driver.store.down = store_down
                for name in (ZONE[0], self.watchers()[0]):
                    self.driver.kill(name)
                    self.run_and_check(0.5)
                    self.driver.start(name)
                    revisions = set()
                    for _ in range(round(APPLY_S / 0.05)):
                        self.run_and_check(0.05)
                        revisions.update(self.revisions([name]).values())
                    # 0 is the empty configuration of a host that just started.
                    self.assertLessEqual(revisions, {0, 2})
                    self.assertIn(2, revisions)

    def test_invalid_head_or_content_replaces_nothing(self):
        self.accept(a=catalogue(1))
        self.run_and_check(APPLY_S)
        bad = json.dumps({"services": {"s": {"catalogues": ["none"]}}})
        self.accept(a=bad)
        self.run_and_check(APPLY_S)
        self.driver.write_store("kumquatspur/head", "{garbage")
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {1})
        self.accept(a=catalogue(3))
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {3})

    def test_an_older_head_changes_nothing(self):
        for shards in range(1, 4):
            self.accept(a=catalogue(shards))
        self.run_and_check(APPLY_S)
        self.accepted = 1
        self.accept(a=catalogue(1))
        self.run_and_check(35.0)
        self.assertEqual(set(self.revisions().values()), {3})

    def test_forged_contents_of_a_peer_are_rejected(self):
        self.accept(a=catalogue(1))
        self.run_and_check(APPLY_S)
        node = self.driver.nodes[ZONE[0]]
        update = messages.ConfigurationUpdate(
            ZONE[1], 1, 2, {"a": "0" * 32}, {"0" * 32: "not packed"}
        )
        event = events.PeerMessageReceived(ZONE[1], update)
        node.handle(event, self.driver.now)
        self.assertEqual(node.state.configuration.revision, 1)

    def test_store_calls_are_few(self):
        self.accept(a=catalogue(1))
        self.run_and_check(APPLY_S)
        before = sum(self.driver.store.calls.values())
        self.run_and_check(60.0, 1.0)
        calls = sum(self.driver.store.calls.values()) - before
        # Each of the two watchers per zone renews its lease once a second and
        # starts a watch every 10 s; all other hosts read the head every 15 to
        # 30 s.
        self.assertLess(calls / 60.0, 3 * 2 * 1.3 + 9 / 15.0)

    def test_large_configuration_travels_in_bounded_messages(self):
        sizes = []
        send = self.driver._on_SendPeer

        def count(name, action):
            if isinstance(action.message, messages.ConfigurationUpdate):
                sizes.append(sum(map(len, action.message.contents.values())))
            send(name, action)

        self.driver._on_SendPeer = count
        files = {
            f"f{n}": json.dumps({"drain": [], "teams": {}}) + " " * n
            for n in range(300)
        }
        self.accept(**files)
        self.run_and_check(APPLY_S)
        self.assertEqual(set(self.revisions().values()), {1})
        self.assertLess(max(sizes), 300_000)


if __name__ == "__main__":
    unittest.main()
