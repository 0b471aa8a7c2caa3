"""Measures the decision code alone, for fleets larger than one machine."""

import collections
import gc
import heapq
import json
import os
import random
import time

from bench.slopes_fleet import rss_mb
from kumquatspur.border import peer_codec
from kumquatspur.border.config_files import content_hash
from kumquatspur.border.config_head import Head, encode_head
from kumquatspur.border.settings import Settings
from kumquatspur.controllers import placement, replication
from kumquatspur.controllers.node import Node
from kumquatspur.core import events
from kumquatspur.core.messages import (
    MemberEntry,
    ReportEntry,
    StateUpdate,
    Status,
)
from kumquatspur.core.records import Address
from kumquatspur.policy.ownership import assign_chunks, split_groups
from standins.node_driver import NodeDriver

WARM_UP_S = 20.0
MEASURED_S = 10.0
START_SPREAD_S = 2.0
HOST = "127.0.0.1"
SEARCHER_ZONES = 22
SEARCHERS_PER_FILE = 100


def node_settings(name: str, zone: str, port: int) -> Settings:
    """Returns the settings of a node that uses no sockets."""
    endpoint = {"host": HOST, "port": 1 + port % 60_000}
    roles = ("caller", "peer", "admin", "store", "host_list")
    return Settings.model_validate(
        {
            "name": name,
            "zone": zone,
            "peer_key": "slopes-peer-key",
            "admin_key": "slopes-admin-key",
            **dict.fromkeys(roles, endpoint),
        }
    )


class CountingDriver(NodeDriver):
    """A driver for many nodes that counts encoded bytes and CPU time.

    Attributes:
        bytes_sent: Bytes sent, by message type.
        sent: Number of messages sent, by message type.
        cpu_s: CPU time of decisions and encoding, in seconds.
    """

    def __init__(self, settings, seed: int = 0):
        super().__init__(settings, seed)
        self.bytes_sent = collections.Counter()
        self.sent = collections.Counter()
        self.cpu_s = 0.0
        self._wakeups = []

    def inject(self, name: str, event) -> None:
        """Passes an event to a node and measures its CPU time."""
        started = time.process_time()
        super().inject(name, event)
        self.cpu_s += time.process_time() - started
        node = self.nodes.get(name)
        wakeup = node.next_wakeup() if node else None
        if wakeup is not None:
            heapq.heappush(self._wakeups, (wakeup, name))

    def run(self, seconds: float) -> None:
        """Advances the clock; checks only the nodes whose timers are due."""
        end = self.now + seconds
        while True:
            at = self._queue[0][0] if self._queue else float("inf")
            wakeup = self._wakeups[0][0] if self._wakeups else float("inf")
            if min(at, wakeup) > end:
                break
            self.now = max(self.now, min(at, wakeup))
            if at <= wakeup:
                _, _, name, event = heapq.heappop(self._queue)
                if name:
                    self.inject(name, event)
                else:
                    event()
            else:
                self._fire_timer(heapq.heappop(self._wakeups)[1])
        self.now = end

    def _fire_timer(self, name: str) -> None:
        node = self.nodes.get(name)
        due = node.next_wakeup() if node else None
        if due is not None and due <= self.now:
            self.inject(name, events.TimerFired())

    def _on_SendPeer(self, name, action):  # noqa: N802
        frame = peer_codec.encode(action.message)
        kind = type(action.message).__name__
        self.bytes_sent[kind] += len(frame)
        self.sent[kind] += 1
        super()._on_SendPeer(name, action)

    def accept_revision(self, revision: int, files: dict[str, str]) -> None:
        """Writes a revision to the store as the operator's tool does."""
        hashes = {name: content_hash(text) for name, text in files.items()}
        for name, digest in hashes.items():
            key = f"kumquatspur/content/{digest}"
            if key not in self.store.values:
                self.write_store(key, files[name])
        head = encode_head(Head(revision, hashes))
        self.write_store("kumquatspur/head", head)


def measure_control_traffic(zones: int, hosts: int) -> dict:
    """Measures the cost of idle nodes and of configuration changes.

    Args:
        zones: Number of availability zones.
        hosts: Hosts per zone.

    Returns:
        The measurements; rates and bytes per change are per node, except
        for store calls. bytes_total are the bytes sent by all nodes from the
        start until the first revision.
    """
    settings = [
        node_settings(f"z{zone}-{host}", f"z{zone}", zone * hosts + host)
        for zone in range(zones)
        for host in range(hosts)
    ]
    driver = CountingDriver(settings)
    for entry in settings:
        # Starts are spread: a simultaneous start would distort the result.
        driver.start(entry.name)
        driver.run(START_SPREAD_S / len(settings))
    driver.run(WARM_UP_S)
    count = len(settings)
    figures = {"zones": zones, "hosts_per_zone": hosts}
    figures.update(_measure_window(driver, count))
    text = json.dumps({"drain": []})
    driver.accept_revision(1, {"a": text})
    driver.run(5.0)
    bytes_total = sum(driver.bytes_sent.values())
    bytes_before = collections.Counter(driver.bytes_sent)
    for revision in range(2, 12):
        driver.accept_revision(revision, {"a": text + " " * revision})
        driver.run(1.0)
    kinds = ("ConfigurationUpdate", "ConfigurationRequest")
    used = sum(driver.bytes_sent[kind] - bytes_before[kind] for kind in kinds)
    figures["bytes_per_change"] = used / 10 / count
    figures["bytes_total"] = bytes_total
    revisions = {n.state.configuration.revision for n in driver.nodes.values()}
    figures["all_in_force"] = revisions == {11}
    return figures


def _measure_window(driver: CountingDriver, count: int) -> dict:
    before_bytes = sum(driver.bytes_sent.values())
    before_sent = sum(driver.sent.values())
    before_calls = sum(driver.store.calls.values())
    before_cpu = driver.cpu_s
    driver.run(MEASURED_S)
    host_seconds = MEASURED_S * count
    sent = sum(driver.sent.values()) - before_sent
    calls = sum(driver.store.calls.values()) - before_calls
    return {
        "bytes_sent_per_s": (sum(driver.bytes_sent.values()) - before_bytes)
        / host_seconds,
        "messages_per_s": sent / host_seconds,
        "store_calls_per_s": calls / MEASURED_S,
        "decision_cpu_share": (driver.cpu_s - before_cpu) / host_seconds,
    }


def searcher_files(searchers: int) -> dict[str, str]:
    """Returns the configuration files of many searchers, by file name."""
    files = {}
    for start in range(0, searchers, SEARCHERS_PER_FILE):
        number = start // SEARCHERS_PER_FILE
        names = [f"c{number}/{i}" for i in range(SEARCHERS_PER_FILE)]
        content = {
            "services": {f"s{number}": {"catalogues": [f"c{number}"]}},
            "catalogues": {f"c{number}": {"layouts": [{"shards": names}]}},
            "searchers": {
                f"{name}-0": {
                    "host": HOST,
                    "port": 9000,
                    "zone": f"z{number % SEARCHER_ZONES}",
                    "slots": 2,
                    "connections": 25,
                    "shards": [name],
                    "group": f"c{number}",
                }
                for name in names
            },
        }
        files[f"{number:05d}.json"] = json.dumps(content)
    return files


def measure_node(searchers: int, zones: int, hosts: int) -> dict:
    """Measures one node that has the state of a whole fleet.

    Must run in a new process, since it measures resident memory.

    Args:
        searchers: Number of searchers.
        zones: Number of availability zones.
        hosts: Hosts per zone.

    Returns:
        CPU times, and memory growth since the start in MB: members_mb with
        the members, configuration_mb also with the configuration, all_mb also
        with the reports, and increment_mb also after placement.
    """
    gc.collect()
    start_mb = rss_mb_self()
    figures = {"searchers": searchers, "zones": zones, "hosts_per_zone": hosts}
    node = Node(node_settings("z0-0", "z0", 1), random.Random(0), 1, 0.0)
    _add_members(node, zones, hosts)
    figures["members_mb"] = rss_mb_self() - start_mb
    figures.update(_measure_load(node, searchers))
    figures["configuration_mb"] = rss_mb_self() - start_mb
    figures.update(_add_reports(node))
    figures["all_mb"] = rss_mb_self() - start_mb
    figures.update(_measure_placement(node))
    figures["increment_mb"] = rss_mb_self() - start_mb
    return figures


def rss_mb_self() -> float:
    """Returns the resident memory of this process, in MB."""
    return rss_mb(os.getpid())


def _add_members(node: Node, zones: int, hosts: int) -> None:
    entries = [
        MemberEntry(
            f"z{zone}-{host}",
            f"z{zone}",
            Address(HOST, 7000),
            1,
            0,
            int(Status.ALIVE),
            False,
        )
        for zone in range(zones)
        for host in range(hosts)
    ]
    replication.merge_entries(node.state, entries, (), None, 0.0)


def _measure_load(node: Node, searchers: int) -> dict:
    files = searcher_files(searchers)
    hashes = {name: content_hash(text) for name, text in files.items()}
    texts = {hashes[name]: text for name, text in files.items()}
    loader = node.state.distribution.loader
    first = _timed(lambda: loader.load(hashes, texts.__getitem__, 1))
    name = min(files)
    text = files[name] + " "
    hashes = {**hashes, name: content_hash(text)}
    texts[hashes[name]] = text
    loaded = []
    change = _timed(
        lambda: loaded.append(loader.load(hashes, texts.__getitem__, 2)[0])
    )
    head_bytes = len(encode_head(Head(1, hashes)))
    texts.clear()
    files.clear()
    node.handle(events.ConfigurationReceived(loaded[0]), 0.0)
    return {
        "files": len(hashes),
        "first_load_s": first,
        "change_load_s": change,
        "head_bytes": head_bytes,
    }


def _add_reports(node: Node) -> dict:
    names = list(node.state.configuration.searchers)
    entries = [ReportEntry(name, 1, (1, 2), False, True) for name in names]
    seconds = _timed(
        lambda: replication.merge_entries(node.state, (), entries, None, 0.0)
    )
    update = StateUpdate("", (), tuple(entries[:1000]))
    size = len(peer_codec.encode(update)) / len(update.reports)
    return {
        "report_entry_cpu_us": seconds / max(1, len(names)) * 1e6,
        "report_entry_bytes": size,
    }


def _measure_placement(node: Node) -> dict:
    """Measures placement in a zone: initially and after a host failed."""
    state = node.state
    searchers = [
        s for s in state.configuration.searchers.values() if s.zone == "z1"
    ]
    members = [m.name for m in state.members.values() if m.zone == "z1"]
    chunks = split_groups(searchers)
    assignment = assign_chunks(chunks, members)
    initial = _timed(lambda: assign_chunks(chunks, members))
    after_loss = _timed(lambda: assign_chunks(chunks, members[1:], assignment))
    first = searchers[0]
    placement.ranked_owners(state, first, 0.0)
    lookup = _timed(
        lambda: [
            placement.ranked_owners(state, first, 0.0) for _ in range(1000)
        ]
    )
    for searcher in state.configuration.searchers.values():
        placement.ranked_owners(state, searcher, 0.0)
    return {
        "place_zone_s": initial,
        "place_zone_after_loss_s": after_loss,
        "owner_lookup_us": lookup / 1000 * 1e6,
        **_measure_moves(chunks, members),
    }


def _measure_moves(chunks, members) -> dict:
    """Measures which searchers change their owner if a host leaves or joins.

    Returns:
        largest_load and smallest_load, searchers of a host relative to an equal
        share; moved_per_lost_searcher, searchers with a new owner per searcher
        that the removed host owned; moved_by_join, searchers with a new owner
        relative to an equal share.
    """

    def owners(names):
        rankings = assign_chunks(chunks, names).owners
        return {searcher: ranking[0] for searcher, ranking in rankings.items()}

    before = owners(members)
    loads = collections.Counter(before.values())
    fair = len(before) / len(members)
    moved, removed_total = 0, 0
    for removed in members[:12]:
        after = owners([name for name in members if name != removed])
        moved += sum(after[name] != before[name] for name in before)
        removed_total += loads[removed]
    joined = owners([*members, "new"])
    moved_join = sum(joined[name] != before[name] for name in before)
    return {
        "largest_load": max(loads.values()) / fair,
        "smallest_load": min(loads[name] for name in members) / fair,
        "moved_per_lost_searcher": moved / max(1, removed_total),
        "moved_by_join": moved_join / fair,
    }


def _timed(function) -> float:
    started = time.process_time()
    function()
    return time.process_time() - started
