"""Nothing is sent to the searchers of an evacuated zone."""

import contextlib
import io
import itertools
import pathlib
import signal
import tempfile
import time
import unittest

import eventlet
import msgspec

from kumquatspur.scripts.evacuate_command import run_evacuate
from kumquatspur.scripts.kumquatspur import EvacuateCommand
from kumquatspur.wire.searcher_pool import monotonic_s
from standins.http_helpers import fetch_text
from standins.platform_deployment import (
    READY_WAIT_S,
    PlatformDeployment,
    make_record,
    send_request,
    wait_until,
)
from standins.platform_path_case import ZONE, PlatformPathCase
from standins.platform_store import StandInStore
from standins.relay import Relay

KEY = f"op/evacuate/{ZONE}"
OTHER_ZONE = "y"
# The users' bound on the time until the evacuation holds.
BOUND_S = 5.0
# Half of the deadline of the tests' requests: a rejection is not held back.
AT_ONCE_S = 0.25
LOAD_S = 1.5


class EvacuationTest(PlatformPathCase):
    """The zone of the entry hosts is evacuated; shard s3 is only there."""

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count()
        for shard in ("s0", "s1", "s2"):
            records = [make_record(int(shard[1]) * 10 + i) for i in range(5)]
            self.add_searcher(f"i-{shard}-y", shard, records, OTHER_ZONE)
        self.add_searcher("i-single-y", "single", [], OTHER_ZONE)
        self.wait_ready()

    def zone_searchers(self, zone=ZONE):
        return [s for s in self.searchers.values() if s.zone == zone]

    def arrivals(self, zone=ZONE):
        return sum(s.arrivals for s in self.zone_searchers(zone))

    def evacuate(self, *hosts):
        self.store.put(KEY, b"")
        self.wait_evacuated(*hosts)

    def wait_evacuated(self, *hosts, zones=frozenset({ZONE})):
        for host in hosts or (self.host,):
            wait_until(lambda h=host: h.state.evacuations.active == zones)

    def send(self, path, host=None):
        request = self.request(path, f"e{next(self.numbers)}")
        return self.exchange(self.connect(host), request)

    def logged(self):
        """Collects the host's log lines from now on."""
        lines = []
        self.host.state.log.write = lambda event, urgent=False, **fields: (
            lines.append((event, fields))
        )
        return lines

    def test_shard_that_is_only_there_is_missing_from_the_answer(self):
        self.evacuate()
        before, lines = self.arrivals(), self.logged()
        status, fields, _ = self.send("/all/x")
        self.assertEqual(status, 200)
        self.assertEqual(fields["kumquatspur-missing-parts"], "1")
        self.assertEqual(self.arrivals(), before)
        (answered,) = (f for event, f in lines if event == "answered")
        self.assertEqual(answered["evacuated"], ["s3"])

    def test_request_with_too_few_shards_is_rejected_at_once(self):
        self.store.put(f"op/evacuate/{OTHER_ZONE}", b"")
        self.store.put(KEY, b"")
        self.wait_evacuated(zones=frozenset({ZONE, OTHER_ZONE}))
        for path in ("/all/x", "/one/x", "/once/x"):
            start = time.monotonic()
            status, fields, body = self.send(path)
            self.assertEqual((status, body), (503, b"zone_evacuated\n"))
            self.assertLess(time.monotonic() - start, AT_ONCE_S)
            self.assertGreater(float(fields["retry-after"]), 0.0)

    def test_hedges_and_retries_stay_out_of_the_zone(self):
        self.evacuate()
        before = self.arrivals()
        for behaviour in ("hang", "shed", "error", "lost"):
            self.script("i-s0-y", behaviour)
            self.script("i-single-y", behaviour)
            for path in ("/all/x", "/one/x"):
                self.send(path)
        self.assertEqual(self.arrivals(), before)

    def test_request_in_flight_ends_and_its_connection_closes(self):
        """The answer of a request sent before is delivered."""
        for searcher in self.searchers.values():
            searcher.work_s = 0.15
        pending = eventlet.spawn(self.send, "/all/x")
        wait_until(lambda: self.arrivals() > 0)
        self.evacuate()
        self.assertEqual(pending.wait()[0], 200)
        wait_until(
            lambda: not any(s.connections for s in self.zone_searchers())
        )

    def test_zone_serves_again_after_the_end(self):
        self.evacuate()
        before = self.arrivals()
        self.store.remove(KEY)
        self.wait_evacuated(zones=frozenset())
        status, fields, _ = self.send("/all/x")
        self.assertEqual(
            (status, fields["kumquatspur-missing-parts"]), (200, "0")
        )
        self.assertGreater(self.arrivals(), before)

    def test_probes_stay_out_of_the_zone(self):
        """A probe would go on for as long as the zone's machines are off."""
        self.evacuate()
        wait_until(
            lambda: not any(s.connections for s in self.zone_searchers())
        )
        now = monotonic_s()
        for searcher in self.zone_searchers():
            load = self.host.state.load(searcher.searcher_id)
            load.record_unreachable(now)
            self.host.state.zone_health.record_unresponsive(
                ZONE, searcher.searcher_id, now
            )
        wait_until(lambda: self.host.state.zone_health.is_suspect(ZONE, now))
        eventlet.sleep(1.0)
        counters = self.host.state.counters
        self.assertEqual(counters["zone_probes"], 0)
        self.assertEqual(counters["searcher_probes"], 0)

    def start_second(self, store=None):
        seeds = (self.host.settings.peer.port,)
        second = self.start_host("second", store, seeds)
        for host in (self.host, second):
            wait_until(lambda h=host: h.state.peers.peers)
        return second

    def test_delegated_requests_stay_out_of_the_zone(self):
        second = self.start_second()
        self.wait_ready(second)
        msgspec.structs.force_setattr(
            self.host.settings.machine, "link_mbps", 0.05
        )
        wait_until(
            lambda: (
                self.send("/all/x")[0] == 200
                and self.host.state.counters["handed_over"] > 0
            )
        )
        self.evacuate(self.host, second)
        before = self.arrivals()
        handed_over = self.host.state.counters["handed_over"]
        for _ in range(20):
            self.assertEqual(self.send("/all/x")[0], 200)
        self.assertGreater(self.host.state.counters["handed_over"], handed_over)
        self.assertEqual(self.arrivals(), before)

    def test_rerouted_requests_stay_out_of_the_zone(self):
        cut_store = StandInStore()
        self.addCleanup(cut_store.close)
        for name, searcher in self.searchers.items():
            relay = Relay(searcher.address.port)
            self.addCleanup(relay.close)
            relay.set_mode("closed")
            entry = searcher.store_entry(address=f"127.0.0.1:{relay.port}")
            cut_store.put_json(f"servers/{name}", entry)
        cut_store.put_json("op/config", {})
        cut_host = self.start_second(cut_store)
        wait_until(lambda: cut_host.state.table is not None)
        for store in (cut_store, self.store):
            store.put(KEY, b"")
        self.wait_evacuated(self.host, cut_host)
        before = self.arrivals()
        wait_until(lambda: self.send("/one/x", cut_host)[0] == 200)
        self.assertGreater(cut_host.state.counters["rerouted"], 0)
        self.assertEqual(self.arrivals(), before)

    def as_earlier_build(self, host):
        """Makes a host's messages lack evacuations, as earlier builds do."""
        header = host.exchange._exchange_header
        host.exchange._exchange_header = lambda: msgspec.structs.replace(
            header(), evacuations=None
        )

    def test_follower_of_an_earlier_build_reads_the_store(self):
        self.as_earlier_build(self.host)
        second = self.start_second()
        self.wait_ready(second)
        second.state.peers.watchers = lambda: [
            second.state.peers.peers[self.host.settings.name]
        ]
        self.evacuate(second)
        self.store.remove(KEY)
        self.wait_evacuated(second, zones=frozenset())

    def test_view_of_an_earlier_build_ends_nothing(self):
        """A host without the store gets the view of an earlier build."""
        own_store = StandInStore()
        self.addCleanup(own_store.close)
        own_store.items, own_store.revision = (
            dict(self.store.items),
            self.store.revision,
        )
        second = self.start_second(own_store)
        own_store.put(KEY, b"")
        self.wait_evacuated(second)
        self.as_earlier_build(self.host)
        own_store.refuse_with = 500
        for number in range(3):
            self.store.put_json(f"other/{number}", {})
        self.put_config(2, self.routes)
        wait_until(lambda: second.state.table.config.version == 2)
        wait_until(lambda: second.mirror.revision == self.store.revision)
        self.assertEqual(second.state.evacuations.active, {ZONE})
        # The evacuation ended in between; no watch would tell it.
        own_store.items = dict(self.store.items)
        own_store.revision = self.store.revision
        own_store.refuse_with = 0
        self.wait_evacuated(second, zones=frozenset())

    def test_host_without_the_store_learns_begin_and_end(self):
        second_store = StandInStore()
        self.addCleanup(second_store.close)
        second_store.refuse_with = 500
        second = self.start_second(second_store)
        self.wait_ready(second)
        self.evacuate(second)
        self.store.remove(KEY)
        self.wait_evacuated(second, zones=frozenset())

    def test_store_restored_without_the_key_does_not_end_it(self):
        copy = self.store.copy()
        self.evacuate()
        self.store.restore(copy)
        wait_until(lambda: self.host.state.counters["store_restored"] == 1)
        self.assertEqual(self.host.state.evacuations.active, {ZONE})
        self.store.put(KEY, b"")
        wait_until(lambda: self.host.state.evacuations.stored == {ZONE})
        self.store.remove(KEY)
        self.wait_evacuated(zones=frozenset())


class EvacuationProcessTest(unittest.TestCase):
    """Entry hosts as processes under load."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = PlatformDeployment(
            pathlib.Path(folder.name), ("z1", "z2"), 2
        )
        self.addCleanup(self.deployment.stop)
        self.numbers = itertools.count()
        self.statuses = {name: [] for name in self.deployment.hosts}
        self.running = True

    def send_load(self, host):
        while self.running:
            number = next(self.numbers)
            path = ("/all/x", "/one/x", "/once/x")[number % 3]
            reply = send_request(host, path, f"p{number}")
            self.statuses[host.name].append(reply and reply[0])

    def disturb_searchers(self):
        """Makes searchers of the other zone slow or unwilling at times."""
        names = [
            s for s in self.deployment.searchers.values() if s.zone == "z2"
        ]
        for number in itertools.count():
            searcher = names[number % len(names)]
            searcher.script.append(("shed", "hang", "lost")[number % 3])
            eventlet.sleep(0.05)

    def knows(self, host):
        try:
            text = fetch_text(host.ports[3])
        except OSError:
            return False
        return 'kumquatspur_zone_evacuated{zone="z1"} 1' in text

    def evacuate(self, **options):
        address = self.deployment.store.address
        command = EvacuateCommand(
            "z1", store=f"{address.host}:{address.port}", **options
        )
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(run_evacuate(command), 0)

    def test_nothing_arrives_after_the_bound(self):
        """The store fails after the first host knows; a host restarts."""
        deployment = self.deployment
        deployment.start()
        hosts = deployment.hosts
        threads = [eventlet.spawn(self.send_load, h) for h in hosts.values()]
        disturbance = eventlet.spawn(self.disturb_searchers)
        self.addCleanup(disturbance.kill)
        gone = [s for s in deployment.searchers.values() if s.zone == "z1"]
        wait_until(lambda: all(s.arrivals > 0 for s in gone))
        self.evacuate()
        acknowledged_at = time.monotonic()
        wait_until(lambda: any(self.knows(h) for h in hosts.values()), BOUND_S)
        deployment.store.unresponsive = True
        left_s = BOUND_S - (time.monotonic() - acknowledged_at)
        wait_until(lambda: all(self.knows(h) for h in hosts.values()), left_s)
        restarted = hosts["z1-0"]
        restarted.signal(signal.SIGKILL)
        restarted.wait_for_exit()
        restarted.start()
        wait_until(restarted.is_ready, READY_WAIT_S)
        eventlet.sleep(
            max(0.0, acknowledged_at + BOUND_S - time.monotonic()) + LOAD_S
        )
        disturbance.kill()
        for searcher in deployment.searchers.values():
            searcher.script.clear()
        served = {name: len(found) for name, found in self.statuses.items()}
        eventlet.sleep(LOAD_S)
        self.running = False
        for thread in threads:
            thread.wait()
        late = [
            (round(at - acknowledged_at, 3), searcher.searcher_id, request_id)
            for searcher in gone
            for at, request_id in searcher.arrived
            if at > acknowledged_at + BOUND_S
        ]
        self.assertEqual(late, [])
        # Hosts of the zone go on serving, through the other zone's searchers.
        for name, found in self.statuses.items():
            latest = found[served[name] :]
            self.assertIn(200, latest, name)
            self.assertLessEqual(set(latest), {200, 503, 504}, name)
        deployment.store.unresponsive = False
        self.evacuate(undo=True)
        wait_until(lambda: not any(self.knows(h) for h in hosts.values()))


if __name__ == "__main__":
    unittest.main()
