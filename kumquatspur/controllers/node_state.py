"""The state of one node, which its controllers read and write."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from kumquatspur.border.settings import Settings
from kumquatspur.controllers.config_distribution import DistributionState
from kumquatspur.controllers.gossip import GossipState
from kumquatspur.controllers.placement_cache import PlacementCache
from kumquatspur.core.actions import Item
from kumquatspur.core.messages import SearcherReport, Status, SubQuery
from kumquatspur.core.records import (
    Address,
    Configuration,
    Query,
    Service,
    ShardResult,
)
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.admission import Throttle
from kumquatspur.policy.budget import ExtraAttemptBudget
from kumquatspur.policy.claims import BucketWriter
from kumquatspur.policy.crash_suspects import CrashSuspects
from kumquatspur.policy.draining import DrainState
from kumquatspur.policy.hedging import LatencyWindow
from kumquatspur.policy.searcher_queue import SearcherQueue

# Failed probes in a row after which another zone counts as cut off.
UNREACHABLE_ZONE_FAILURES = 2
_LIVE = (Status.ALIVE, Status.SUSPECT)


@dataclasses.dataclass
class Member:
    """What is known of another entry host.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: Where it accepts streams.
        incarnation: Grows with every start of it.
        sequence: Grows with each change that it makes to its own entry.
        status: Whether it is live, as far as is known.
        watching: Whether it watches the configuration in the store.
        last_received_at: Time of its last message; None before the first.
        revision: The configuration revision in force there.
        unreachable: Whether this node cannot reach it.
        damped_until: When it is counted on again after coming and going.
        rejoin_times: Times at which it came back.
        status_changed_at: When its status changed.
    """

    name: str
    zone: str
    address: Address
    incarnation: int = 0
    sequence: int = 0
    status: Status = Status.UNKNOWN
    watching: bool = False
    last_received_at: float | None = None
    revision: int = 0
    unreachable: bool = False
    damped_until: float = 0.0
    rejoin_times: list[float] = dataclasses.field(default_factory=list)
    status_changed_at: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it is stopping."""
        return self.status is Status.LEAVING


@dataclasses.dataclass
class Attempt:
    """One attempt to have a shard searched.

    Attributes:
        sub_id: The sub-query that carries it.
        owner: The entry host that it was sent to.
        searcher: The searcher chosen.
        started: When it was sent.
        result: How it ended, or None while it is under way.
        may_wait: Whether it may wait for a slot there.
    """

    sub_id: str
    owner: str
    searcher: str
    started: float
    result: ShardResult | None = None
    may_wait: bool = True


@dataclasses.dataclass
class Canary:
    """Caution with a query whose content was in flight at a lost upstream.

    Attributes:
        suspect_of: The searcher lost.
        shard: The one shard that may be attempted.
        waiting: Shards that wait for its result.
        stopped: Whether another searcher was lost; nothing more is sent.
    """

    suspect_of: str
    shard: str
    waiting: list[str] = dataclasses.field(default_factory=list)
    stopped: bool = False


@dataclasses.dataclass
class ConnectionBreak:
    """The moment when a connection to a searcher broke.

    Attributes:
        at: When it was noticed.
        contents: Shard by fingerprint of what was in flight there, until a
            probe told whether the searcher was lost.
        suspect_of: The searcher lost before under the same content, if the
            request was on trial; otherwise "".
    """

    at: float
    contents: dict[str, str]
    suspect_of: str = ""


@dataclasses.dataclass
class SnapshotResults:
    """The final result of every shard at one snapshot."""

    snapshot: int
    results: tuple[ShardResult, ...]


@dataclasses.dataclass
class QueryState:
    """A query that this node coordinates.

    Attributes:
        query: The query.
        configuration: The configuration in force when it arrived, which its
            shards are counted against.
        snapshot: The snapshot chosen.
        started: When it arrived.
        attempts: All attempts, by shard.
        results: The final result of each shard that has one.
        snapshot_rechosen: Whether the snapshot was already chosen again.
        early_answer_allowed: Whether the profile's early coverage suffices now.
        past_verdicts: Verdict of each shard at the abandoned snapshot.
        past_sub_ids: The sub-queries at the abandoned snapshot.
        fallback: What the abandoned snapshot gave, or None.
        canary: Set while the content is suspected of crashing upstreams.
    """

    query: Query
    configuration: Configuration
    snapshot: int
    started: float
    attempts: dict[str, list[Attempt]] = dataclasses.field(default_factory=dict)
    results: dict[str, ShardResult] = dataclasses.field(default_factory=dict)
    snapshot_rechosen: bool = False
    early_answer_allowed: bool = False
    past_verdicts: dict[str, Verdict] = dataclasses.field(default_factory=dict)
    past_sub_ids: set[str] = dataclasses.field(default_factory=set)
    fallback: "SnapshotResults | None" = None
    canary: Canary | None = None

    @property
    def service(self) -> Service:
        """The service queried."""
        return self.configuration.services[self.query.service]


@dataclasses.dataclass
class SubQueryState:
    """A sub-query that this node executes as owner.

    Attributes:
        sub_query: The sub-query.
        sender: The entry host that sent it.
        pending: Items not finished yet, by shard.
        ready: Results not sent yet.
        flush_time_passed: Whether the flush time has passed.
    """

    sub_query: SubQuery
    sender: str
    pending: dict[str, Item] = dataclasses.field(default_factory=dict)
    ready: list[ShardResult] = dataclasses.field(default_factory=list)
    flush_time_passed: bool = False


@dataclasses.dataclass
class ReceivedReport:
    """A searcher report and when it was received.

    Attributes:
        report: The report.
        received_at: When it came.
        in_flight: Attempts of this node under way at the searcher then.
    """

    report: SearcherReport
    received_at: float
    in_flight: int = 0


@dataclasses.dataclass
class PendingClaim:
    """A query that waits for its claim.

    Attributes:
        query: The query.
        digest: Digest of its idempotency key.
        writer: The entry host asked to write the claim.
        settle_by: When the query is refused if nothing was heard.
        proceed: Starts the query; takes blackboard, query and time.
    """

    query: Query
    digest: str
    writer: str
    settle_by: float
    proceed: Callable


class NodeState:
    """State of one node.

    Attributes:
        settings: The daemon's settings.
        rng: Source of randomness, seeded by the caller.
        incarnation: Grows with every start.
        configuration: The configuration in force.
        members: Other entry hosts by name.
        reports: The latest report of each searcher.
        queries: Queries under way by request id.
        queues: Queues of owned searchers by name.
        leaving: Signs that a searcher called from here is leaving, by name.
        listed_draining: Names and addresses of the upstreams that the host
            list says are leaving.
        sub_queries: Sub-queries under way by id.
        call_searchers: The searcher of each call under way.
        hedge_budgets: Budgets of hedges by service.
        published_latency_ms: Latency last announced of each owned searcher.
        retry_budgets: Budgets of retries by service.
        in_flight: Attempts of this node under way at each searcher.
        latencies: Latencies of recent attempts by service.
        throttles: Admission of each service's queries.
        round_robin_indexes: Round-robin position of each shard.
        seen_sub_queries: Sub-queries received whose deadline is to come.
        counters: Event counts by name.
        store_calls: What to do when a call to the store ends, by call id: a
            function of blackboard, `StoreCallEnded` and time that returns
            actions.
        distribution: State of the distribution of the configuration.
        gossip: State of the exchange with other entry hosts.
        placement: Owners of the searchers, as last computed.
        recent_sub_ids: When to forget each sub-query of work that must not
            be repeated, by id, oldest first.
        crash_suspects: Contents suspected of crashing upstreams.
        connection_breaks: The last broken connection of each searcher.
        notified_incarnations: Incarnation of each entry host that was sent the
            refused contents.
        claims: Queries that wait for their claim, by nonce.
        claim_writers: Claim buckets that this node writes, by number.
        stopping: Whether a graceful stop has begun.
    """

    def __init__(
        self, settings: Settings, rng: random.Random, incarnation: int
    ):
        self.settings = settings
        self.rng = rng
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.members: dict[str, Member] = {}
        self.reports: dict[str, ReceivedReport] = {}
        self.queries: dict[str, QueryState] = {}
        self.queues: dict[str, SearcherQueue] = {}
        self.leaving: dict[str, DrainState] = {}
        self.listed_draining: frozenset[str | Address] = frozenset()
        self.sub_queries: dict[str, SubQueryState] = {}
        self.call_searchers: dict[str, str] = {}
        self.hedge_budgets: dict[str, ExtraAttemptBudget] = {}
        self.published_latency_ms: dict[str, float] = {}
        self.retry_budgets: dict[str, ExtraAttemptBudget] = {}
        self.in_flight = collections.Counter()
        self.latencies: dict[str, LatencyWindow] = {}
        self.throttles: dict[str, Throttle] = {}
        self.round_robin_indexes: dict[str, int] = {}
        self.seen_sub_queries: set[str] = set()
        self.counters = collections.Counter()
        self.changed_reports: set[str] = set()
        self.store_calls: dict[str, Callable] = {}
        self.distribution = DistributionState()
        self.gossip = GossipState()
        self.placement = PlacementCache()
        self.recent_sub_ids: dict[str, float] = {}
        self.crash_suspects = CrashSuspects()
        self.connection_breaks: dict[str, ConnectionBreak] = {}
        self.notified_incarnations: dict[str, int] = {}
        self.claims: dict[str, PendingClaim] = {}
        self.claim_writers: dict[int, BucketWriter] = {}
        self.stopping = False
        self._timers = []
        self._timer_order = itertools.count()
        self._ids = itertools.count(1)

    def new_id(self) -> str:
        """Returns an identifier unique over all entry hosts."""
        return f"{self.settings.name}.{self.incarnation:x}.{next(self._ids):x}"

    def schedule(self, at: float, event: Any) -> None:
        """Schedules a timer event."""
        heapq.heappush(self._timers, (at, next(self._timer_order), event))

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timer, or None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Any | None:
        """Returns the next timer event that is due, or None."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2]
        return None

    def is_live(self, member: Member, now: float) -> bool:
        """Returns whether a member counts as live and not leaving."""
        if member.status not in _LIVE or member.unreachable:
            return False
        if now < member.damped_until:
            return False
        return (
            self.gossip.zone_failures.get(member.zone, 0)
            < UNREACHABLE_ZONE_FAILURES
        )
