"""The state of one entry host, read and updated by its controllers."""

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

# Consecutive failed probes after which another zone counts as unreachable.
UNREACHABLE_ZONE_FAILURES = 2
_LIVE = (Status.ALIVE, Status.SUSPECT)


@dataclasses.dataclass
class Member:
    """Another entry host, as seen by this node.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        address: Where it accepts peer streams.
        incarnation: Start number of the host; a later start has a higher one.
        sequence: Version of its entry within the incarnation.
        status: Its latest known status.
        watching: Whether it watches the configuration in the store.
        last_received_at: Time of its last message; None before the first.
        revision: Highest configuration revision that it has sent.
        unreachable: Whether this node's stream to it broke or a probe failed.
        damped_until: Until when it does not count as live after a rejoin.
            Longer for a host that has rejoined repeatedly.
        rejoin_times: Times of its recent rejoins.
        status_changed_at: When its status last changed.
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
        """Whether it is shutting down gracefully."""
        return self.status is Status.LEAVING


@dataclasses.dataclass
class Attempt:
    """One attempt to search a shard.

    Attributes:
        sub_id: The sub-query that carries it.
        owner: The entry host that it was sent to.
        searcher: The searcher chosen.
        started_at: When it was sent.
        result: Its result, or None while it is in flight.
        may_wait: Whether the owner may queue it until a slot is free. If not,
            the owner declines it when the searcher has no free slot.
    """

    sub_id: str
    owner: str
    searcher: str
    started_at: float
    result: ShardResult | None = None
    may_wait: bool = True


@dataclasses.dataclass
class Canary:
    """Canary request for a query whose content may crash upstreams.

    The content was in flight at an upstream that may have crashed.

    Attributes:
        suspect_of: The searcher that the content may have crashed.
        shard: The canary shard, the only one that may be attempted.
        waiting: Shards that wait for the result of the canary shard.
        stopped: Whether a second searcher may have crashed. If so, no further
            attempt is sent.
    """

    suspect_of: str
    shard: str
    waiting: list[str] = dataclasses.field(default_factory=list)
    stopped: bool = False


@dataclasses.dataclass
class ConnectionBreak:
    """A broken connection to a searcher.

    Attributes:
        detected_at: When this node detected the break.
        contents: Shard of each content in flight at the searcher, by content
            fingerprint. Emptied once a probe has shown whether the searcher
            crashed.
        suspect_of: The searcher that crashed earlier with the same content, if
            the request was a canary; otherwise "".
    """

    detected_at: float
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
        configuration: The configuration in force when the query started. The
            coverage is computed against its shards.
        snapshot: The snapshot chosen.
        started_at: When the query started.
        attempts: All attempts at the current snapshot, by shard.
        results: The final result of each shard that has one.
        snapshot_rechosen: Whether the snapshot has been replaced by another.
        early_answer_allowed: Whether the profile's early coverage suffices now.
        past_verdicts: Verdict of each shard at the abandoned snapshot.
        past_sub_ids: The sub-queries at the abandoned snapshot.
        fallback: The results at the abandoned snapshot, or None.
        canary: Set while the content is suspected of crashing upstreams.
    """

    query: Query
    configuration: Configuration
    snapshot: int
    started_at: float
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
        pending: Unfinished items by shard.
        ready: Results that have not been sent yet.
        flush_time_passed: Whether ready results are sent without waiting for
            the pending items.
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
        received_at: When it was received.
        in_flight: Number of this node's attempts at the searcher at that time.
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
        writer_host: The entry host that the claim was sent to.
        settle_by: When the query is refused if no reply has arrived.
        proceed: Starts the query; called with node state, query and time.
    """

    query: Query
    digest: str
    writer_host: str
    settle_by: float
    proceed: Callable


class NodeState:
    """State of one entry host.

    All times are seconds of the node's monotonic clock.

    Attributes:
        settings: The daemon's settings.
        rng: Source of randomness, seeded by the caller.
        incarnation: Start number of this host; a later start has a higher one.
        configuration: The configuration in force.
        members: Other entry hosts by name.
        reports: The latest report of each searcher.
        queries: Unfinished queries by request id.
        queues: Queues of owned searchers by name.
        drain_states: Drain signals of each searcher that this node calls.
        leaving_upstreams: Names and addresses of the upstreams that the host
            list marks as leaving.
        sub_queries: Unfinished sub-queries by id.
        call_searchers: The searcher of each unfinished call, by call id.
        hedge_budgets: Budgets of hedges by service.
        reference_latency_ms: Latency of each owned searcher when a change of it
            last marked the searcher's report as changed.
        retry_budgets: Budgets of retries by service.
        in_flight: Number of this node's unfinished attempts by searcher.
        latencies: Latencies of recent attempts by service.
        throttles: Admission control by service.
        round_robin_indexes: Index of the next replica of each shard.
        unexpired_sub_ids: Ids of sub-queries received whose deadline has not
            passed. A sub-query with the same id is dropped as a duplicate.
        counters: Event counts by name.
        changed_reports: Searchers whose reports are to be published.
        store_calls: Callback of each unfinished call to the store, by call id.
            Called with node state, `StoreCallEnded` and time; returns actions.
        distribution: State of the distribution of the configuration.
        gossip: State of the exchange with other entry hosts.
        placement: Owners of the searchers, as last computed.
        unrepeatable_sub_ids: Ids of sub-queries that must not be repeated, with
            the time at which each id is dropped, oldest first.
        crash_suspects: Contents suspected of crashing upstreams.
        connection_breaks: The last broken connection of each searcher.
        notified_incarnations: Incarnation of each entry host when the refused
            contents were sent to it.
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
        self.drain_states: dict[str, DrainState] = {}
        self.leaving_upstreams: frozenset[str | Address] = frozenset()
        self.sub_queries: dict[str, SubQueryState] = {}
        self.call_searchers: dict[str, str] = {}
        self.hedge_budgets: dict[str, ExtraAttemptBudget] = {}
        self.reference_latency_ms: dict[str, float] = {}
        self.retry_budgets: dict[str, ExtraAttemptBudget] = {}
        self.in_flight = collections.Counter()
        self.latencies: dict[str, LatencyWindow] = {}
        self.throttles: dict[str, Throttle] = {}
        self.round_robin_indexes: dict[str, int] = {}
        self.unexpired_sub_ids: set[str] = set()
        self.counters = collections.Counter()
        self.changed_reports: set[str] = set()
        self.store_calls: dict[str, Callable] = {}
        self.distribution = DistributionState()
        self.gossip = GossipState()
        self.placement = PlacementCache()
        self.unrepeatable_sub_ids: dict[str, float] = {}
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
        """Returns an identifier unique across all entry hosts and starts."""
        return f"{self.settings.name}.{self.incarnation:x}.{next(self._ids):x}"

    def schedule(self, at: float, event: Any) -> None:
        """Schedules a timer event."""
        heapq.heappush(self._timers, (at, next(self._timer_order), event))

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timer, or None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Any | None:
        """Removes and returns the next timer event that is due, or None."""
        if self._timers and self._timers[0][0] <= now:
            return heapq.heappop(self._timers)[2]
        return None

    def is_live(self, member: Member, now: float) -> bool:
        """Returns whether a member counts as live and may get work.

        False for a host that is leaving, unreachable or damped, or whose zone
        is unreachable.
        """
        if member.status not in _LIVE or member.unreachable:
            return False
        if now < member.damped_until:
            return False
        return (
            self.gossip.zone_probe_failures.get(member.zone, 0)
            < UNREACHABLE_ZONE_FAILURES
        )
