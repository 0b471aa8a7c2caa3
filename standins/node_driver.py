"""Runs several nodes in one process with a simulated clock.

For tests of decisions: messages between nodes, searchers and the store are
simulated, and a test sets their faults directly. A run is deterministic for a
seed.
"""

import collections
import dataclasses
import heapq
import itertools
import json
import random
from typing import Any

from kumquatspur.border.config_files import load_configuration
from kumquatspur.border.settings import Settings
from kumquatspur.controllers.node import Node
from kumquatspur.core import actions, events
from kumquatspur.core.events import StoreCallEnded, StoreStatus
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Configuration, Hit, Host, ShardResult
from kumquatspur.core.verdict import Outcome, Phase, Verdict
from standins.shapes import Shape, config_files, daemon_settings

PEER_DELAY_S = 0.001
STORE_DELAY_S = 0.003
WARM_UP_S = 2.5


@dataclasses.dataclass
class FakeSearcher:
    """A searcher that answers after a fixed time.

    Attributes:
        held: The snapshots that it holds.
        service_s: Time to answer a request, in seconds.
        down: Refuse connections.
        frozen: Execute nothing and never answer.
        lose_answers: Execute, then break the connection.
        draining: Decline all work and report that it drains.
        failure: Phase and outcome with which every request fails, or None.
            Requests that were sent and not declined are executed.
        omit_last_result: Execute, but leave the last result out of the answer.
        crash_on: Contents whose execution crashes it.
        restart_s: Time from a crash to the restart, in seconds.
        down_until: Time of the restart.
        crashes: Contents that crashed it, in order.
        hides_draining: Report in status probes that it is not draining.
        calls_to_refuse: Number of next requests whose connection is refused;
            probes are still answered.
        executed: The items executed, in order.
        called_at: The times at which requests arrived.
        declined: The items declined, each with the reason.
    """

    held: tuple[int, ...] = (1,)
    service_s: float = 0.004
    down: bool = False
    frozen: bool = False
    lose_answers: bool = False
    draining: bool = False
    failure: tuple[Phase, Outcome] | None = None
    omit_last_result: bool = False
    crash_on: frozenset[str] = frozenset()
    restart_s: float = 1.0
    down_until: float = 0.0
    crashes: list[str] = dataclasses.field(default_factory=list)
    hides_draining: bool = False
    calls_to_refuse: int = 0
    executed: list = dataclasses.field(default_factory=list)
    called_at: list = dataclasses.field(default_factory=list)
    declined: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class FakeStore:
    """The configuration store in memory.

    Attributes:
        values: Value and version by key.
        down: Fail all calls as unavailable.
        lose_writes: Number of next writes that take effect but are reported as
            failed.
        cut: Nodes whose calls fail as unavailable.
        leases: Expiry time of each lease.
        key_leases: The lease of each key that has one.
        watches: Pending watches as node name and action.
        calls: Number of calls by action name.
    """

    values: dict = dataclasses.field(default_factory=dict)
    down: bool = False
    lose_writes: int = 0
    cut: set = dataclasses.field(default_factory=set)
    leases: dict = dataclasses.field(default_factory=dict)
    key_leases: dict = dataclasses.field(default_factory=dict)
    watches: list = dataclasses.field(default_factory=list)
    calls: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass
class PendingCallResult:
    """The scheduled result of a call; it fails if the searcher crashes first.

    Attributes:
        fake: The searcher.
        crashes: Its number of crashes when the call began.
        event: The result unless the searcher crashes.
    """

    fake: FakeSearcher
    crashes: int
    event: Any

    def resolve(self):
        """Returns the event that ends the call."""
        if len(self.fake.crashes) == self.crashes:
            return self.event
        return events.UpstreamFailed(
            self.event.call_id, Phase.SENT, Outcome.FAILED
        )


class NodeDriver:
    """Several nodes, fake searchers and a fake store.

    Attributes:
        now: The simulated time, in seconds.
        nodes: The running nodes by name.
        searchers: The fake searchers by name.
        store: The fake store.
        outcomes: Answers and refusals by request id.
        outcome_times: Times of the answers and refusals, by request id.
        addresses: Node names by address, for messages sent to an address.
        duplicate_share: Share of messages between nodes that arrive twice.
        peer_jitter_s: Largest extra delay of a message between nodes.
        logs: The log events of all nodes.
        cut_links: Pairs of names (sender, receiver) whose messages are lost.
        frozen_nodes: Nodes that handle no events while they are in this set.
        cancelled: Ids of the cancelled calls to searchers.
        configuration: The latest configuration sent to all nodes.
        rng: The source of all randomness.
    """

    def __init__(self, settings: list[Settings], seed: int = 0):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.settings = {entry.name: entry for entry in settings}
        self.nodes: dict[str, Node] = {}
        self.searchers: dict[str, FakeSearcher] = {}
        self.store = FakeStore()
        self.outcomes: dict[str, list] = collections.defaultdict(list)
        self.outcome_times = collections.defaultdict(list)
        self.duplicate_share = 0.0
        self.peer_jitter_s = 0.0
        self.logs: list[actions.LogEvent] = []
        self.addresses: dict[str, str] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.frozen_nodes: set[str] = set()
        self.cancelled: set[str] = set()
        self.configuration = Configuration()
        self._queue = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._lease_ids = itertools.count(1)
        self._versions = itertools.count(1)

    def start(self, name: str, listed: bool = True) -> None:
        """Starts a node, or restarts it with a new state.

        Args:
            name: The node.
            listed: Whether it receives the host list.
        """
        node = Node(
            self.settings[name],
            random.Random(self.rng.random()),
            next(self._incarnations),
            self.now,
        )
        self.nodes[name] = node
        if not listed:
            return
        hosts = tuple(
            Host(s.name, s.zone, s.peer.address(), False, "entry")
            for s in self.settings.values()
        )
        self.inject(name, events.HostsListed(hosts))

    def kill(self, name: str) -> None:
        """Kills a node; its peers see their streams break."""
        del self.nodes[name]
        for other in self.nodes:
            self.after(PEER_DELAY_S, other, events.PeerLost(name))

    def configure(self, configuration: Configuration) -> None:
        """Sends a configuration to all nodes and creates its searchers."""
        self.configuration = configuration
        for name in configuration.searchers:
            self.searchers.setdefault(name, FakeSearcher())
        for name in self.nodes:
            self.inject(name, events.ConfigurationReceived(configuration))

    def inject(self, name: str, event) -> None:
        """Passes an event to a node now and performs the resulting actions."""
        node = self.nodes.get(name)
        if node is None:
            return
        if name in self.frozen_nodes:
            self.after(0.01, name, event)
            return
        for action in node.handle(event, self.now):
            self._perform(name, action)

    def after(self, seconds: float, name: str, event) -> None:
        """Schedules an event for a node after a delay in seconds."""
        entry = (self.now + seconds, next(self._order), name, event)
        heapq.heappush(self._queue, entry)

    def at(self, when: float, function) -> None:
        """Schedules a function call for a time of the simulated clock."""
        entry = (when, next(self._order), "", function)
        heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        """Advances the clock and processes all events and timers due."""
        end = self.now + seconds
        while (at := self._next_time()) <= end:
            self.now = max(self.now, at)
            while self._queue and self._queue[0][0] <= self.now:
                _, _, name, event = heapq.heappop(self._queue)
                if isinstance(event, PendingCallResult):
                    event = event.resolve()
                if name:
                    self.inject(name, event)
                else:
                    event()
            for name in sorted(self.nodes):
                wakeup = self.nodes[name].next_wakeup()
                due = wakeup is not None and wakeup <= self.now
                if due and name not in self.frozen_nodes:
                    self.inject(name, events.TimerFired())
        self.now = end

    def _next_time(self) -> float:
        times = [self._queue[0][0]] if self._queue else []
        for name, node in self.nodes.items():
            wakeup = node.next_wakeup()
            if wakeup is not None and name not in self.frozen_nodes:
                times.append(wakeup)
        return min(times, default=float("inf"))

    def _perform(self, name: str, action) -> None:
        handler = getattr(self, f"_on_{type(action).__name__}")
        handler(name, action)

    def _on_AnswerCaller(self, name, action):  # noqa: N802
        self._record_outcome(action.answer.request_id, action)

    def _on_RefuseCaller(self, name, action):  # noqa: N802
        self._record_outcome(action.refusal.request_id, action)

    def _record_outcome(self, request_id, action):
        self.outcomes[request_id].append(action)
        self.outcome_times[request_id].append(self.now)

    def _on_LogEvent(self, name, action):  # noqa: N802
        self.logs.append(action)

    def _on_CancelUpstream(self, name, action):  # noqa: N802
        self.cancelled.add(action.call_id)
        event = events.UpstreamFailed(
            action.call_id, Phase.SENT, Outcome.CANCELLED
        )
        self.after(0.0, name, event)

    def _on_SendPeer(self, name, action):  # noqa: N802
        peer = self.addresses.get(action.peer, action.peer)
        if (name, peer) in self.cut_links:
            return
        if peer not in self.nodes:
            self.after(PEER_DELAY_S, name, events.PeerLost(action.peer))
            return
        event = events.PeerMessageReceived(name, action.message)
        copies = 1 + (self.rng.random() < self.duplicate_share)
        for _ in range(copies):
            jitter = self.rng.uniform(0.0, self.peer_jitter_s)
            self.after(PEER_DELAY_S + jitter, peer, event)

    def _on_ProbeUpstream(self, name, action):  # noqa: N802
        fake = self.searchers[action.searcher.name]
        if self.is_down(fake) or fake.frozen:
            event = events.ProbeFailed(action.searcher.name)
        else:
            draining = fake.draining and not fake.hides_draining
            event = events.ProbeAnswered(
                action.searcher.name, fake.held, draining, 0
            )
        self.after(PEER_DELAY_S, name, event)

    def _on_CallUpstream(self, name, action):  # noqa: N802
        fake = self.searchers[action.searcher.name]
        call_id = action.call_id
        if self.is_down(fake) or fake.calls_to_refuse:
            fake.calls_to_refuse = max(0, fake.calls_to_refuse - 1)
            event = events.UpstreamFailed(
                call_id, Phase.CONNECTING, Outcome.FAILED
            )
            self.after(PEER_DELAY_S, name, event)
            return
        if fake.frozen:
            event = events.UpstreamFailed(
                call_id, Phase.SENT, Outcome.TIMED_OUT
            )
            self.after(max(0.0, action.deadline - self.now), name, event)
            return
        fake.called_at.append(self.now)
        if fake.failure is not None:
            self._fail(name, action, fake)
            return
        crashes = len(fake.crashes)
        results = tuple(self._execute(action, fake, i) for i in action.items)
        if fake.omit_last_result:
            results = results[:-1]
        if fake.lose_answers:
            event = events.UpstreamFailed(call_id, Phase.SENT, Outcome.FAILED)
        else:
            event = events.UpstreamAnswered(
                call_id, results, 0, fake.draining, fake.held
            )
        self.after(
            fake.service_s, name, PendingCallResult(fake, crashes, event)
        )

    def crash(self, fake: FakeSearcher, content: str = "") -> None:
        """Crashes a searcher; all its calls in progress fail."""
        fake.crashes.append(content)
        fake.down_until = self.now + fake.restart_s

    def is_down(self, fake: FakeSearcher) -> bool:
        """Returns whether a searcher refuses connections."""
        return fake.down or self.now < fake.down_until

    def _fail(self, name, action, fake: FakeSearcher):
        phase, outcome = fake.failure
        if phase is Phase.SENT and outcome is not Outcome.DECLINED:
            for item in action.items:
                self._execute(action, fake, item)
        delay = fake.service_s
        if outcome is Outcome.TIMED_OUT:
            delay = max(0.0, action.deadline - self.now)
        event = events.UpstreamFailed(action.call_id, phase, outcome)
        self.after(delay, name, event)

    def _execute(self, action, fake: FakeSearcher, item: actions.Item):
        name = action.searcher.name
        declined = None
        if fake.draining:
            declined = Reason.REFUSED
        elif item.snapshot not in fake.held:
            declined = Reason.SNAPSHOT_NOT_HELD
        if declined is not None:
            fake.declined.append((item, declined))
            result = ShardResult(
                item.shard, name, Verdict.NOT_RUN, declined, held=fake.held
            )
            return events.ItemResult(item.item_id, result)
        fake.executed.append(item)
        if item.content in fake.crash_on and not self.is_down(fake):
            self.crash(fake, item.content)
        key = f"{item.shard}@{item.snapshot}"
        hit = Hit(1.0, item.shard, key, item.content)
        result = ShardResult(
            item.shard, name, Verdict.RAN, None, item.snapshot, (hit,)
        )
        return events.ItemResult(item.item_id, result)

    def write_store(self, key: str, value: str | None, lease="") -> int:
        """Writes a key as another client of the store would; notifies watches.

        Returns:
            The new version.
        """
        version = next(self._versions)
        self.store.values[key] = (value, version)
        if value is None:
            del self.store.values[key]
        self.store.key_leases[key] = lease
        waiting, self.store.watches = self.store.watches, []
        for name, action in waiting:
            if action.key == key:
                self._end_watch(name, action)
            else:
                self.store.watches.append((name, action))
        return version

    def _read_store(self, key: str):
        lease = self.store.key_leases.get(key)
        if lease and self.store.leases[lease] < self.now:
            self.store.values.pop(key, None)
            self.store.key_leases.pop(key)
        return self.store.values.get(key, (None, 0))

    def _on_ReadStoreKey(self, name, action):  # noqa: N802
        value, version = self._read_store(action.key)
        self._end_store_call(name, action, StoreStatus.OK, value, version)

    def _on_WriteStoreKey(self, name, action):  # noqa: N802
        _, version = self._read_store(action.key)
        ended = self.store.leases.get(action.lease, 0.0) < self.now
        conflict = version != action.version or (action.lease and ended)
        if self._store_is_unavailable(name) or conflict:
            # _end_store_call replaces the status if the store is unavailable.
            status = StoreStatus.CONFLICT
            self._end_store_call(name, action, status, None, version)
            return
        version = self.write_store(action.key, action.value, action.lease)
        status = StoreStatus.OK
        if self.store.lose_writes:
            self.store.lose_writes -= 1
            status = StoreStatus.UNAVAILABLE
        self._end_store_call(name, action, status, action.value, version)

    def _on_WatchStoreKey(self, name, action):  # noqa: N802
        _, version = self._read_store(action.key)
        if self._store_is_unavailable(name) or version != action.version:
            self._end_watch(name, action)
            return
        self.store.watches.append((name, action))
        self.at(self.now + action.wait_s, lambda: self._time_out(name, action))

    def _time_out(self, name, action):
        if (name, action) in self.store.watches:
            self.store.watches.remove((name, action))
            self._end_watch(name, action)

    def _end_watch(self, name, action):
        value, version = self._read_store(action.key)
        self._end_store_call(name, action, StoreStatus.OK, value, version)

    def _on_KeepStoreLease(self, name, action):  # noqa: N802
        lease = action.lease or f"lease-{next(self._lease_ids)}"
        status = StoreStatus.OK
        if action.lease and self.store.leases.get(lease, 0.0) < self.now:
            status = StoreStatus.UNAVAILABLE
        elif not self._store_is_unavailable(name):
            self.store.leases[lease] = self.now + action.ttl_s
        self._end_store_call(name, action, status, None, 0, lease)

    def _store_is_unavailable(self, name) -> bool:
        return self.store.down or name in self.store.cut

    def _end_store_call(self, name, action, status, value, version, lease=""):
        self.store.calls[type(action).__name__] += 1
        if self._store_is_unavailable(name):
            status, value, version, lease = StoreStatus.UNAVAILABLE, None, 0, ""
        event = StoreCallEnded(action.call_id, status, value, version, lease)
        self.after(STORE_DELAY_S, name, event)


def start_driver(
    shape: Shape, seed: int = 0, hosts_per_zone: int = 3
) -> NodeDriver:
    """Starts the nodes of a deployment and runs them for `WARM_UP_S`.

    Args:
        shape: The deployment.
        seed: Seed of all randomness.
        hosts_per_zone: Entry hosts in each availability zone.

    Returns:
        The driver.
    """
    settings = [
        Settings.model_validate(s)
        for s in daemon_settings(shape, hosts_per_zone)
    ]
    driver = NodeDriver(settings, seed)
    files = {name: json.dumps(v) for name, v in config_files(shape).items()}
    configuration, _ = load_configuration(files, 1)
    for name in driver.settings:
        driver.start(name)
    driver.configure(configuration)
    driver.run(WARM_UP_S)
    return driver
