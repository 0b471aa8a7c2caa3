"""Ranks the searchers of a service by expected latency.

Load pattern: replicas pause for a moment, become slow for seconds, start with
cold caches, fill up, or become unreachable together with their zone. Each case
is detected from this host's calls and the load reported in responses, and the
searcher gets less work within one typical latency.
"""

import dataclasses
from collections.abc import Callable, Iterable

from kumquatspur.core.routing import LoadReport, SearcherEntry

# Weight of a new latency in the moving mean.
LATENCY_WEIGHT = 0.3
# Slowness and error shares decay with this half-life, so that a searcher that
# has recovered gets work again.
SLOWNESS_HALF_LIFE_S = 3.0
# After this time, nothing of a value is left that matters.
DECAYED_AFTER_S = 10.0 * SLOWNESS_HALF_LIFE_S
MAX_SLOWNESS = 20.0
# Searchers with at least this slowness are reported to other hosts, up to this
# time after the measurement.
MIN_REPORTED_SLOWNESS = 2.5
MAX_REPORT_AGE_S = 3.0
MAX_REPORTED_SEARCHERS = 64
# A reported load is ignored after this multiple of the typical latency, or
# after this time if that is longer.
LOAD_EXPIRY_MULTIPLE = 2.0
MIN_LOAD_EXPIRY_S = 0.1
# Weight of an attempt in the moving mean of failures.
ERROR_WEIGHT = 0.2
# Cost of a failed attempt, relative to the typical latency. If a share p of the
# attempts fails, p / (1 - p) attempts fail before one succeeds.
ERROR_COST = 4.0
MAX_ERROR_SHARE = 0.95
# Additional cost of another zone, relative to the typical latency.
REMOTE_COST = 0.35
# Factor on the cost of a searcher that has just begun to warm up.
COLD_FACTOR = 1.6
# Additional cost as a searcher fills up to its last slot, and per request that
# has to wait for a slot.
NEARLY_FULL_COST = 0.3
WAITING_COST = 2.0
# A call in flight for longer than this multiple of the typical latency means
# that the searcher has paused.
STUCK_MULTIPLE = 2.5
# Backoff after the first, second, ... consecutive time that it was unreachable.
BACKOFF_S = (0.3, 0.6, 1.2, 2.4)
# Cost of a searcher in backoff or in a suspected zone. It is so high that the
# searcher is chosen only if there is no other.
BACKOFF_COST = 50.0
# A zone is suspected while this many of its searchers were unresponsive within
# this time.
ZONE_SUSPECT_S = 1.5
ZONE_SUSPECT_SEARCHERS = 2
# Interval at which a suspected zone is probed, so that its return is noticed
# without risking clients' requests.
ZONE_PROBE_INTERVAL_S = 0.4
# A response is late after this multiple of a high quantile of the latency, and
# after this time at least.
LATE_MULTIPLE = 2.0
MIN_LATE_S = 0.1
# A searcher with room is preferred to a better one without if it costs at most
# this multiple.
MAX_DETOUR = 2.0
# Range of the random tie-breaking term, relative to the typical latency.
JITTER_COST = 0.1


@dataclasses.dataclass
class SearcherLoad:
    """Load, latency, failures and backoff of one searcher.

    The values are from this host's calls, and the slowness may be from another
    host.

    Attributes:
        in_flight: Start times of calls in progress, by call number.
        slowness: Moving mean of the latency relative to the typical one.
        slowness_at: When `slowness` was measured.
        report: The last load that the searcher reported.
        reported_at: When that report was received.
        error_share: Moving mean of the share of failed attempts.
        error_at: When `error_share` was measured.
        failures: Consecutive times that the searcher was unreachable.
        backoff_until: Until then, BACKOFF_COST is added to its cost.
    """

    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    slowness: float = 1.0
    slowness_at: float = 0.0
    report: LoadReport | None = None
    reported_at: float = -1.0
    error_share: float = 0.0
    error_at: float = 0.0
    failures: int = 0
    backoff_until: float = 0.0

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, decayed towards 1 since its measurement."""
        return 1.0 + (self.slowness - 1.0) * _decay_factor(
            now - self.slowness_at
        )

    def current_error_share(self, now: float) -> float:
        """Returns the error share, decayed towards 0 since its measurement."""
        return self.error_share * _decay_factor(now - self.error_at)

    def record_latency(self, ratio: float, now: float) -> None:
        """Records the latency of a call and ends a backoff.

        Args:
            ratio: The latency relative to the typical one.
            now: Monotonic time in seconds.
        """
        current = self.current_slowness(now)
        ratio = min(ratio, MAX_SLOWNESS)
        self.slowness = current + LATENCY_WEIGHT * (ratio - current)
        self.slowness_at = now
        self.failures = 0
        self.backoff_until = 0.0
        self._update_error_share(0.0, now)

    def apply_reported_slowness(self, slowness: float, at: float) -> None:
        """Applies a slowness measured by another host if it is newer.

        Args:
            slowness: The slowness.
            at: When it was measured, in this host's monotonic time.
        """
        if at > self.slowness_at:
            self.slowness = min(slowness, MAX_SLOWNESS)
            self.slowness_at = at

    def record_load(self, report: LoadReport, now: float) -> None:
        """Records the load that the searcher reported in a response."""
        self.report, self.reported_at = report, now

    def record_error(self, now: float) -> None:
        """Records a missing, invalid or failed response, or a rejection.

        A searcher that rejects requests although it reports free capacity would
        otherwise appear to be the least loaded one.
        """
        self._update_error_share(1.0, now)

    def record_unreachable(self, now: float) -> None:
        """Starts a backoff after the searcher was unreachable.

        This is a failed connect, no response at all, or a response from another
        process that now uses the address.
        """
        step = min(self.failures, len(BACKOFF_S) - 1)
        self.failures += 1
        self.backoff_until = now + BACKOFF_S[step]

    def end_backoff(self) -> None:
        """Ends the backoff after the searcher accepted a connection."""
        self.backoff_until = 0.0

    def _update_error_share(self, value: float, now: float) -> None:
        share = self.current_error_share(now)
        self.error_share = share + ERROR_WEIGHT * (value - share)
        self.error_at = now


def _decay_factor(age: float) -> float:
    # Most values are much older than the half-life.
    if age > DECAYED_AFTER_S:
        return 0.0
    return 0.5 ** (max(0.0, age) / SLOWNESS_HALF_LIFE_S)


def slow_searchers(
    loads: dict[str, SearcherLoad], now: float
) -> list[tuple[str, float, float]]:
    """Returns the slow searchers to report to other hosts.

    Load pattern: in a large fleet, each host calls each searcher so rarely that
    it would send requests to most of the slow ones before it had measured them.

    Args:
        loads: What this host has observed, or other hosts have reported, by
            searcher.
        now: Monotonic time in seconds.

    Returns:
        Searcher, slowness and age of the measurement in seconds, the slowest
        first.
    """
    found = [
        (searcher_id, load.slowness, now - load.slowness_at)
        for searcher_id, load in loads.items()
        if load.slowness >= MIN_REPORTED_SLOWNESS
        and now - load.slowness_at < MAX_REPORT_AGE_S
    ]
    found.sort(key=lambda item: -item[1])
    return found[:MAX_REPORTED_SEARCHERS]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that waits for a searcher.

    Attributes:
        searcher_id: The searcher.
        zone: Its availability zone.
        started_at: When the call began.
        late_at: When its response is late.
    """

    searcher_id: str
    zone: str
    started_at: float
    late_at: float


def late_at(started_at: float, late_latency_s: float) -> float:
    """Returns when a response is so late that the searcher may be cut off.

    Args:
        started_at: When the call began.
        late_latency_s: A high quantile of the latency of its route, in seconds.
    """
    return started_at + max(MIN_LATE_S, LATE_MULTIPLE * late_latency_s)


@dataclasses.dataclass
class ZoneHealth:
    """Detects zones in which several searchers are unresponsive at once.

    Load pattern: a zone is cut off for seconds. A suspicion that merely expires
    sends requests there again and again, and all of them wait in vain until the
    zone is suspected once more. So a suspected zone is probed, and each failed
    probe extends the suspicion.

    Requests on open connections to the zone wait for their deadline. So late
    calls count as unresponsive before they end, if nothing at all has arrived
    from the zone since they began.

    Attributes:
        unresponsive_at: For each zone and searcher, when it was last
            unresponsive.
        responded_at: When each zone last responded.
        probed_at: For each suspected zone, when it was last probed.
        reported: The zones whose suspicion was last reported as begun.
    """

    unresponsive_at: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    responded_at: dict[str, float] = dataclasses.field(default_factory=dict)
    probed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    reported: frozenset[str] = frozenset()

    def record_unresponsive(
        self, zone: str, searcher_id: str, now: float
    ) -> None:
        """Records that a searcher did not respond at all."""
        self.unresponsive_at.setdefault(zone, {})[searcher_id] = now

    def record_late_calls(self, calls: Iterable[OpenCall], now: float) -> None:
        """Records searchers whose calls are late while their zone is silent.

        Args:
            calls: The calls in progress.
            now: Monotonic time in seconds.
        """
        for call in calls:
            responded_at = self.responded_at.get(call.zone, -1.0)
            if now >= call.late_at and responded_at < call.started_at:
                self.record_unresponsive(call.zone, call.searcher_id, now)

    def record_response(self, zone: str, now: float) -> None:
        """Records a response from a zone, which ends any suspicion of it."""
        self.responded_at[zone] = now
        self.unresponsive_at.pop(zone, None)
        self.probed_at.pop(zone, None)

    def zones_to_probe(self, now: float) -> list[str]:
        """Returns the suspected zones that are due for a probe.

        They are not due again before `ZONE_PROBE_INTERVAL_S` has passed.
        """
        due = [
            zone
            for zone in self.suspected_zones(now)
            if now - self.probed_at.get(zone, -1.0) >= ZONE_PROBE_INTERVAL_S
        ]
        self.probed_at.update(dict.fromkeys(due, now))
        return due

    def record_failed_probe(self, zone: str, now: float) -> None:
        """Extends the suspicion of a zone after a probe without any reaction.

        A probe that ends after a response from the zone changes nothing.
        """
        for searcher_id in self.unresponsive_at.get(zone, ()):
            self.unresponsive_at[zone][searcher_id] = now

    def is_suspect(self, zone: str, now: float) -> bool:
        """Returns whether a zone is probably cut off."""
        recent = self.unresponsive_at.get(zone)
        if not recent:
            return False
        count = sum(now - at < ZONE_SUSPECT_S for at in recent.values())
        return count >= ZONE_SUSPECT_SEARCHERS

    def suspected_zones(self, now: float) -> list[str]:
        """Returns the zones that are probably cut off."""
        return sorted(
            z for z in self.unresponsive_at if self.is_suspect(z, now)
        )

    def take_changes(self, now: float) -> dict[str, bool]:
        """Returns the changes of suspicions since the last call.

        Args:
            now: Monotonic time in seconds.

        Returns:
            By zone, whether its suspicion has begun.
        """
        current = frozenset(self.suspected_zones(now))
        changed = sorted(current ^ self.reported)
        self.reported = current
        return {zone: zone in current for zone in changed}

    def reachable(
        self, entries: Iterable[SearcherEntry], now: float
    ) -> list[SearcherEntry]:
        """Returns the searchers that are not in a suspected zone.

        Load pattern: a zone is cut off, and some shards have searchers in this
        zone only. Requests that need these shards would wait until they time
        out. Only a response, also one to a probe, ends the suspicion early.

        Args:
            entries: The searchers.
            now: Monotonic time in seconds.
        """
        if not self.unresponsive_at:
            return list(entries)
        return [e for e in entries if not self.is_suspect(e.zone, now)]


def _entry_left_share(entry: SearcherEntry) -> float:
    """Returns 1 for a searcher that is cold by its entry, else 0."""
    return 1.0 if entry.warmup_left_s > 0 else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceContext:
    """The inputs of a choice besides the searchers.

    Attributes:
        zone: This host's zone.
        typical_s: Typical latency in seconds: a quantile of this host's recent
            successful calls for the same route.
        now: Monotonic time in seconds.
        random: Returns a number in [0, 1).
        warmup_left_share: Returns the part of a searcher's warm-up that is
            left, from 1 to 0.
    """

    zone: str
    typical_s: float
    now: float
    random: Callable[[], float]
    warmup_left_share: Callable[[SearcherEntry], float] = _entry_left_share


def _queueing_cost(busy: float, slots: int) -> float:
    """Returns the time until a new request is done, relative to its work."""
    waiting = max(0.0, busy - slots + 1)
    # Requests already slow down a little before all slots are in use.
    return 1.0 + NEARLY_FULL_COST * busy / slots + WAITING_COST * waiting


def expected_cost(
    entry: SearcherEntry,
    load: SearcherLoad,
    zone_suspect: bool,
    context: ChoiceContext,
) -> float:
    """Returns the expected latency relative to the typical one.

    Args:
        entry: The searcher.
        load: What this host has observed of it.
        zone_suspect: Whether its zone is probably cut off.
        context: The other inputs.
    """
    now, slots = context.now, max(1, entry.slots)
    busy = len(load.in_flight)
    reported_factor = 1.0
    report_age = now - load.reported_at
    expiry_s = max(MIN_LOAD_EXPIRY_S, LOAD_EXPIRY_MULTIPLE * context.typical_s)
    if load.report is not None and report_age < expiry_s:
        reported = load.report.running + load.report.waiting
        weight = 1.0 - report_age / expiry_s
        # Add the reported requests but one, which is the call that brought the
        # report. The older the report, the less it counts.
        busy = max(busy, busy + (reported - 1) * weight)
        reported_factor = 1.0 + (load.report.work_time_ratio - 1.0) * weight
    cost = (
        load.current_slowness(now)
        * reported_factor
        * _queueing_cost(busy, slots)
    )
    failing = min(load.current_error_share(now), MAX_ERROR_SHARE)
    cost *= 1.0 + ERROR_COST * failing / (1.0 - failing)
    cost *= 1.0 + (COLD_FACTOR - 1.0) * context.warmup_left_share(entry)
    if load.in_flight:
        oldest = now - min(load.in_flight.values())
        if oldest > STUCK_MULTIPLE * context.typical_s:
            cost += oldest / context.typical_s
    if entry.zone != context.zone:
        cost += REMOTE_COST
    if now < load.backoff_until or zone_suspect:
        cost += BACKOFF_COST
    return cost + JITTER_COST * context.random()


def searcher_costs(
    entries: Iterable[SearcherEntry],
    loads: Callable[[str], SearcherLoad],
    zones: ZoneHealth,
    context: ChoiceContext,
) -> list[tuple[float, SearcherEntry]]:
    """Returns searchers with their expected costs, the lowest first.

    Args:
        entries: The searchers that may be used.
        loads: Returns what this host has observed of a searcher.
        zones: Detects zones that are probably cut off.
        context: The other inputs.
    """
    costs = []
    for index, entry in enumerate(entries):
        suspect = zones.is_suspect(entry.zone, context.now)
        cost = expected_cost(entry, loads(entry.searcher_id), suspect, context)
        costs.append((cost, index, entry))
    costs.sort()
    return [(cost, entry) for cost, _, entry in costs]


def choose_with_room(
    costs: list[tuple[float, SearcherEntry]],
    has_room: Callable[[SearcherEntry], bool],
) -> list[SearcherEntry]:
    """Returns the searchers that may get an attempt now, the best first.

    A searcher that costs much more than the best one is no alternative while
    the best one has no room: waiting for that one is faster.

    Args:
        costs: Searchers and their expected costs, the lowest first.
        has_room: Returns whether a searcher may get one more attempt.
    """
    found = [(cost, entry) for cost, entry in costs if has_room(entry)]
    if found and found[0][0] > MAX_DETOUR * costs[0][0]:
        return []
    return [entry for _, entry in found]
