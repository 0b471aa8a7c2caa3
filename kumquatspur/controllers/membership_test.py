import collections
import json
import unittest

from kumquatspur.border import peer_codec
from kumquatspur.border.config_files import load_configuration
from kumquatspur.border.settings import Settings
from kumquatspur.core import events
from standins.node_driver import NodeDriver
from standins.shapes import OSLO, config_files, daemon_settings

DETECTION_S = 3.0
PROPAGATION_S = 5.0
MAX_BYTES_PER_SECOND = 6000
ZONE = ("oslo-1-a", "oslo-1-b", "oslo-1-c")
OTHERS = tuple(f"oslo-{zone}-{host}" for zone in (2, 3) for host in "abc")


def start(hosts_per_zone=3, seed=0):
    settings = daemon_settings(OSLO, hosts_per_zone)
    driver = NodeDriver([Settings.model_validate(s) for s in settings], seed)
    files = {n: json.dumps(v) for n, v in config_files(OSLO).items()}
    for name in driver.settings:
        driver.start(name)
    driver.configure(load_configuration(files, 1)[0])
    driver.run(4.0)
    return driver


def live(driver, name):
    state = driver.nodes[name].state
    members = state.members.values()
    return {m.name for m in members if state.is_live(m, driver.now)}


def count_sent_bytes(driver):
    """Counts encoded bytes by sending host from now on."""
    sizes, send = collections.Counter(), driver._on_SendPeer

    def counting(name, action):
        sizes[name] += len(peer_codec.encode(action.message))
        send(name, action)

    driver._on_SendPeer = counting
    return sizes


def cut(driver, side, other):
    pairs = [(a, b) for a in side for b in other]
    driver.cut_links.update(pairs + [(b, a) for a, b in pairs])


class MembershipTest(unittest.TestCase):
    def test_stopped_hosts_are_detected_by_all(self):
        def kill(driver):
            driver.kill(ZONE[0])

        def freeze(driver):
            driver.frozen_nodes.add(ZONE[0])

        def stop(driver):
            driver.inject(ZONE[0], events.StopRequested())

        for fault in (kill, freeze, stop):
            with self.subTest(fault.__name__):
                driver = start()
                fault(driver)
                driver.run(DETECTION_S)
                for name in (*ZONE[1:], *OTHERS):
                    self.assertNotIn(ZONE[0], live(driver, name))
                    self.assertEqual(len(live(driver, name)), 7, name)

    def test_suspicion_is_refuted(self):
        driver = start()
        links = [(ZONE[1], ZONE[0])]
        driver.cut_links.update(links)
        driver.run(1.5)
        driver.cut_links.clear()
        driver.run(DETECTION_S)
        for name in driver.nodes:
            self.assertEqual(len(live(driver, name)), 8, name)

    def test_paused_node_suspects_no_other(self):
        driver = start()
        driver.frozen_nodes.add(ZONE[0])
        driver.run(1.0)
        driver.frozen_nodes.clear()
        driver.run(0.2)
        driver.run(DETECTION_S)
        for name in driver.nodes:
            self.assertEqual(len(live(driver, name)), 8, name)

    def test_restarted_host_is_live_and_its_old_entry_refuted(self):
        driver = start()
        driver.kill(ZONE[0])
        driver.run(DETECTION_S)
        driver.start(ZONE[0])
        driver.run(DETECTION_S)
        for name in driver.nodes:
            self.assertEqual(len(live(driver, name)), 8, name)

    def test_flapping_host_is_damped(self):
        driver = start()
        for _ in range(4):
            driver.kill(ZONE[0])
            driver.run(DETECTION_S)
            driver.start(ZONE[0])
            driver.run(1.0)
        self.assertNotIn(ZONE[0], live(driver, ZONE[1]))
        driver.run(35.0)
        self.assertIn(ZONE[0], live(driver, ZONE[1]))

    def test_zone_cut_and_healed(self):
        driver = start()
        cut(driver, ZONE, OTHERS)
        driver.run(PROPAGATION_S)
        self.assertEqual(live(driver, ZONE[0]), set(ZONE[1:]))
        for name in OTHERS:
            self.assertFalse(live(driver, name) & set(ZONE))
        driver.cut_links.clear()
        sizes = count_sent_bytes(driver)
        driver.run(PROPAGATION_S)
        for name in driver.nodes:
            self.assertEqual(len(live(driver, name)), 8, name)
        self.assertLess(
            max(sizes.values()), MAX_BYTES_PER_SECOND * PROPAGATION_S
        )

    def test_searcher_changes_reach_all_hosts(self):
        driver = start()
        searcher = "shop-counter.rammeverket-0-0"
        driver.searchers[searcher].draining = True
        driver.run(PROPAGATION_S)
        for node in driver.nodes.values():
            self.assertTrue(node.state.reports[searcher].report.draining)

    def test_new_host_receives_all_reports(self):
        driver = start()
        driver.kill(ZONE[0])
        driver.start(ZONE[0])
        node = driver.nodes[ZONE[0]]
        driver.run(PROPAGATION_S)
        wanted = driver.nodes[OTHERS[0]].state.gossip.report_entries
        self.assertEqual(node.state.gossip.report_entries, wanted)

    def test_missed_changes_are_repaired(self):
        driver = start()
        cut(driver, ZONE, OTHERS)
        searcher = "shop-counter.rammeverket-0-0"
        driver.searchers[searcher].held = (1, 2)
        driver.run(60.0)
        driver.cut_links.clear()
        driver.run(60.0)
        for node in driver.nodes.values():
            self.assertEqual(node.state.reports[searcher].report.held, (1, 2))

    def test_start_without_host_list_through_a_seed(self):
        driver = start()
        settings = driver.settings[ZONE[0]]
        seed = driver.settings[ZONE[1]].peer
        driver.settings[ZONE[0]] = settings.model_copy(
            update={"seeds": (seed,)}
        )
        driver.addresses = {f"{seed.host}:{seed.port}": ZONE[1]}
        driver.kill(ZONE[0])
        for name in driver.nodes:
            driver.nodes[name].state.members.pop(ZONE[0], None)
        driver.start(ZONE[0], listed=False)
        driver.run(PROPAGATION_S)
        self.assertEqual(len(live(driver, ZONE[0])), 8)

    def test_searchers_of_a_zone_without_hosts_are_owned_elsewhere(self):
        driver = start()
        for name in ZONE:
            driver.kill(name)
        driver.run(10.0)
        owners = {n for n in OTHERS if self.owned(driver, n, "oslo-1")}
        self.assertTrue(owners)
        self.assertEqual(len({name[:6] for name in owners}), 1)
        for name in ZONE:
            driver.start(name)
        driver.run(10.0)
        self.assertFalse(any(self.owned(driver, n, "oslo-1") for n in OTHERS))

    def owned(self, driver, name, zone):
        queues = driver.nodes[name].state.queues.values()
        return [q for q in queues if q.searcher.zone == zone]

    def test_cost_of_a_node_stays_within_the_budget(self):
        for hosts in (3, 10):
            with self.subTest(hosts=hosts):
                driver = start(hosts)
                driver.run(10.0)
                sizes = count_sent_bytes(driver)
                driver.run(10.0)
                self.assertLess(
                    max(sizes.values()) / 10.0, MAX_BYTES_PER_SECOND
                )


if __name__ == "__main__":
    unittest.main()
