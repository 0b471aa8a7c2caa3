"""The state of an entry host."""

import collections
import dataclasses
import math
import random as random_numbers

from eventlet.greenthread import GreenThread

from kumquatspur.border.entry_settings import EntrySettings
from kumquatspur.core.routing import Route, RoutingConfig, SearcherEntry
from kumquatspur.policy.account_quotas import AccountQuotas
from kumquatspur.policy.answer_margin import AnswerMargin
from kumquatspur.policy.attempt_counts import AttemptCounts
from kumquatspur.policy.attempt_queue import AttemptQueues
from kumquatspur.policy.client_timing import ClientTiming
from kumquatspur.policy.crash_suspects import CrashSuspects
from kumquatspur.policy.delegation import Delegate
from kumquatspur.policy.evacuations import Evacuations
from kumquatspur.policy.extra_attempts import ExtraAttempts
from kumquatspur.policy.hedging import LatencyWindow
from kumquatspur.policy.latency_histogram import new_histogram
from kumquatspur.policy.outages import Outages
from kumquatspur.policy.peer_table import PeerTable
from kumquatspur.policy.request_plan import min_results
from kumquatspur.policy.route_table import RouteTable
from kumquatspur.policy.searcher_choice import (
    OpenCall,
    SearcherLoad,
    ZoneHealth,
)
from kumquatspur.policy.searcher_directory import SearcherDirectory
from kumquatspur.policy.searcher_limits import (
    UNLEASED_SHARE,
    SearcherLimits,
)
from kumquatspur.policy.searcher_pauses import SearcherPauses
from kumquatspur.policy.searcher_room import SearcherRooms
from kumquatspur.policy.warmups import Warmups
from kumquatspur.wire.decision_log import DecisionLog
from kumquatspur.wire.searcher_pool import monotonic_s

# Hosts assumed to share the allowance of extra attempts until peers are known.
ASSUMED_HOSTS = 16
MAX_ACCOUNTS_LOGGED = 5


@dataclasses.dataclass
class EntryState:
    """The state of an entry host, shared by its components.

    Attributes:
        settings: The settings.
        log: The decision log.
        directory: The known searchers.
        extra_attempts: Budget of extra attempts.
        peers: The other entry hosts.
        quotas: What this host may send for client accounts.
        suspects: Contents that may crash searchers.
        table: Routes in force; None before a configuration is known.
        loads: Load and failures of each searcher, by identifier.
        pauses: Searchers that want no requests from this host for a while.
        limits: Requests per second that searchers take from all hosts.
        rooms: This host's limits of attempts in flight at searchers.
        queues: Attempts that wait until a searcher has room.
        warmups: Searchers that are cold, or assumed to be.
        attempt_counts: Attempts at each searcher, for the log.
        zone_health: Tracks zones whose searchers are unreachable.
        peer_zones: Tracks zones whose entry hosts are unreachable.
        latencies: Recent latencies of attempts by route.
        open_calls: Calls that wait for searchers, by number.
        call_threads: Green threads of the open calls whose requests may be
            repeated, by number.
        client_timing: Time that passes between clients and this host.
        outages: Routes that this host cannot serve.
        answer_margin: Time that is planned for sending answers.
        counters: Counts since the start, by name.
        errors_reported: When an unexpected error was last logged, and how often
            it was raised since, by task and type.
        evacuations_reported: The evacuated zones that were last logged.
        histograms: Latency histograms in microseconds by route.
        store_ok: Whether the last call to the store succeeded.
        stopping: Whether a stop was requested.
        ended: Whether the host has ended, so that its loops end too.
        answer_by: When the last requests must be answered because the process
            exits; infinite unless it is stopping.
        in_flight: Number of client requests in flight.
        scattered_shards: Number of shards of the scattered requests in
            flight.
        delegates: Hosts that scatter requests for this one, by name.
        random: Source of random numbers.
    """

    settings: EntrySettings
    log: DecisionLog
    directory: SearcherDirectory
    extra_attempts: ExtraAttempts
    peers: PeerTable
    quotas: AccountQuotas = dataclasses.field(
        default_factory=lambda: AccountQuotas(monotonic_s())
    )
    suspects: CrashSuspects = dataclasses.field(default_factory=CrashSuspects)
    table: RouteTable | None = None
    loads: dict[str, SearcherLoad] = dataclasses.field(default_factory=dict)
    pauses: SearcherPauses = dataclasses.field(default_factory=SearcherPauses)
    limits: SearcherLimits = dataclasses.field(default_factory=SearcherLimits)
    rooms: SearcherRooms = dataclasses.field(default_factory=SearcherRooms)
    queues: AttemptQueues = dataclasses.field(default_factory=AttemptQueues)
    warmups: Warmups = dataclasses.field(default_factory=Warmups)
    attempt_counts: AttemptCounts = dataclasses.field(
        default_factory=AttemptCounts
    )
    zone_health: ZoneHealth = dataclasses.field(default_factory=ZoneHealth)
    peer_zones: ZoneHealth = dataclasses.field(default_factory=ZoneHealth)
    latencies: dict[str, LatencyWindow] = dataclasses.field(
        default_factory=dict
    )
    open_calls: dict[int, OpenCall] = dataclasses.field(default_factory=dict)
    call_threads: dict[int, GreenThread] = dataclasses.field(
        default_factory=dict
    )
    client_timing: ClientTiming = dataclasses.field(
        default_factory=ClientTiming
    )
    outages: Outages = dataclasses.field(default_factory=Outages)
    answer_margin: AnswerMargin = dataclasses.field(
        default_factory=AnswerMargin
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    errors_reported: dict[tuple[str, type], tuple[float, int]] = (
        dataclasses.field(default_factory=dict)
    )
    evacuations_reported: frozenset[str] = frozenset()
    histograms: dict = dataclasses.field(default_factory=dict)
    store_ok: bool = False
    stopping: bool = False
    ended: bool = False
    answer_by: float = math.inf
    in_flight: int = 0
    scattered_shards: int = 0
    delegates: dict[str, Delegate] = dataclasses.field(default_factory=dict)
    random: random_numbers.Random = dataclasses.field(
        default_factory=random_numbers.Random
    )

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated zones."""
        return self.directory.evacuations

    def is_configured(self) -> bool:
        """Returns whether this host knows enough to serve requests.

        At its start, it may get the searchers from a host of an earlier build,
        and then has to ask the store first for the evacuated zones.
        """
        return self.table is not None and self.evacuations.settled

    def load(self, searcher_id: str) -> SearcherLoad:
        """Returns the load record of a searcher; creates it if missing."""
        load = self.loads.get(searcher_id)
        if load is None:
            load = self.loads[searcher_id] = SearcherLoad()
        return load

    def latency_window(self, route: str) -> LatencyWindow:
        """Returns the recent latencies of a route's attempts."""
        window = self.latencies.get(route)
        if window is None:
            window = self.latencies[route] = LatencyWindow()
        return window

    def usable_searchers(self, service: str, now: float) -> list[SearcherEntry]:
        """Returns the searchers of a service that may get a request now."""
        return self.pauses.without_paused(
            self.directory.usable(service, now), now
        )

    def reachable_searchers(
        self, service: str, now: float
    ) -> list[SearcherEntry]:
        """Returns the searchers that an attempt for a service may be sent to.

        If there is one outside of suspected zones and not in backoff, the
        others are left out.
        """
        entries = self.usable_searchers(service, now)
        reached = [
            entry
            for entry in self.zone_health.reachable(entries, now)
            if self.load(entry.searcher_id).backoff_until <= now
        ]
        return reached or entries

    def has_room(self, entry: SearcherEntry) -> bool:
        """Returns whether a searcher may get one more attempt."""
        in_flight = len(self.load(entry.searcher_id).in_flight)
        return self.rooms.has_room(entry, in_flight)

    def max_connections(self, service: str) -> float:
        """Returns how many connections a searcher of a service accepts."""
        spec = self.table.config.services.get(service)
        return spec.max_connections if spec else math.inf

    def warmup_left_share(self, entry: SearcherEntry, now: float) -> float:
        """Returns the part of a searcher's warm-up that is left, from 1 to 0.

        Where cold searchers are not limited, only their entries tell, which do
        not say how much is left.
        """
        limit = self.limits.by_searcher.get(entry.searcher_id)
        if limit is not None and limit.cold is not None:
            return limit.cold.left_share(now)
        if entry.warmup_left_s <= 0.0:
            return 0.0
        spec = self.table.config.services.get(entry.service)
        return 0.0 if spec is not None and spec.cold_per_s > 0.0 else 1.0

    def resume_at(
        self, service: str, now: float, draw: float = 0.0
    ) -> float | None:
        """Returns when a service can execute a request again.

        A service cannot while all its searchers that can be reached pause, are
        in backoff or take no more requests per second from this host.

        Args:
            service: The service.
            now: Monotonic time in seconds.
            draw: The request's random number for the limits of searchers; 0 if
                limits do not matter.

        Returns:
            Monotonic time, `now` if it can now; None if no searcher can be
            reached.
        """
        earliest = None
        for entry in self.zone_health.reachable(
            self.directory.usable(service, now), now
        ):
            backoff_until = self.load(entry.searcher_id).backoff_until
            at = max(
                self.pauses.resume_at(entry.searcher_id, now), backoff_until
            )
            if draw:
                admits_at = self.limits.admits_at(entry.searcher_id, draw, now)
                at = max(at, admits_at)
            if at <= now:
                return now
            earliest = at if earliest is None else min(earliest, at)
        return earliest

    def is_unreachable(self, service: str, now: float) -> bool:
        """Returns whether this host reaches none of a service's searchers.

        It is False if the service has none: no other host reaches any either.
        """
        entries = self.directory.usable(service, now)
        return bool(entries) and not any(
            self.load(entry.searcher_id).backoff_until <= now
            for entry in self.zone_health.reachable(entries, now)
        )

    def is_cut_off(self, now: float) -> bool:
        """Returns whether this host reaches no searcher of most services."""
        services = [
            service
            for service in self.directory.by_service
            if self.directory.usable(service, now)
        ]
        unreachable = sum(
            self.is_unreachable(service, now) for service in services
        )
        return 2 * unreachable > len(services)

    def lacks_searchers(
        self, route: Route, shards: tuple[str, ...], now: float
    ) -> bool:
        """Returns whether other hosts may serve a request and this one cannot.

        Args:
            route: The route.
            shards: Its shards, or the service of a forwarded request.
            now: Monotonic time in seconds.
        """
        needed = min_results(route, len(shards))
        reached = sum(not self.is_unreachable(name, now) for name in shards)
        return reached < needed

    def record_answer(self, route: str, seconds: float) -> None:
        """Adds the latency of an answer to the histogram of its route."""
        histogram = self.histograms.get(route)
        if histogram is None:
            histogram = self.histograms[route] = new_histogram()
        histogram.record_value(int(seconds * 1_000_000))

    def apply_config(self, config: RoutingConfig, source: str) -> bool:
        """Puts a configuration in force if it is newer.

        Args:
            config: The configuration.
            source: Its origin, for the log: "store", or a peer.

        Returns:
            False if the same or a newer version is in force.
        """
        current = self.table.config.version if self.table else -1
        if config.version <= current:
            return False
        self.table = RouteTable(config)
        routes = {route.name for route in config.routes}
        for by_route in (self.latencies, self.histograms):
            for name in [key for key in by_route if key not in routes]:
                del by_route[name]
        self.log.write(
            "config_in_force",
            True,
            version=config.version,
            previous=current,
            routes=len(config.routes),
            source=source,
            accounts=None if config.accounts is None else len(config.accounts),
        )
        keys = self.table.keys
        if keys is not None and keys.shared:
            self.log.write(
                "account_keys_shared",
                True,
                version=config.version,
                count=len(keys.shared),
                accounts=keys.shared[:MAX_ACCOUNTS_LOGGED],
            )
        return True

    def is_ready(self) -> bool:
        """Returns whether this host should get new clients."""
        known = self.is_configured() and bool(self.directory.by_id)
        return known and not self.stopping


def new_state(settings: EntrySettings, log: DecisionLog) -> EntryState:
    """Returns the initial state of a host."""
    bounds = settings.bounds
    return EntryState(
        settings=settings,
        log=log,
        directory=SearcherDirectory(
            drain_s=bounds.drain_ms / 1000.0,
            heartbeat_s=settings.heartbeat_ms / 1000.0,
        ),
        extra_attempts=ExtraAttempts(
            window_s=bounds.retry_budget_window_s,
            ratio=bounds.retry_budget_ratio,
            allowance=bounds.retry_budget_slack,
            allowance_from=monotonic_s() + bounds.retry_budget_window_s,
            sharers=ASSUMED_HOSTS,
        ),
        limits=SearcherLimits(unleased_share=UNLEASED_SHARE / ASSUMED_HOSTS),
        peers=PeerTable(
            settings.name, settings.zone, settings.machine.capacity()
        ),
    )


def contact_age_s(state: EntryState) -> float:
    """Returns the time since the last contact with the store, in seconds."""
    return round(monotonic_s() - state.directory.last_contact_at, 3)
