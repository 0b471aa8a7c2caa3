"""Chooses the searcher of a service that will probably answer first.

Load pattern: replicas pause for a moment, turn slow for seconds, start cold,
fill up, or fall silent with their zone. Each is recognised from calls of this
host and the load in responses, and left within one typical latency.
"""

import dataclasses
from collections.abc import Callable, Iterable

from kumquatspur.core.routing import LoadReport, SearcherEntry

# Weight of a new latency in the moving mean.
LATENCY_WEIGHT = 0.3
# Time in which slowness and errors are half forgotten, so that a searcher that
# has recovered is found again.
SLOWNESS_HALF_LIFE_S = 3.0
MAX_SLOWNESS = 20.0
# Slowness that is reported to other hosts, and for how long.
REPORTED_SLOWNESS = 2.5
REPORT_AGE_S = 3.0
MAX_REPORTED = 64
# A stated load says little after this multiple of the typical latency, or
# after this time if that is longer.
LOAD_MEMORY_MULTIPLE = 2.0
MIN_LOAD_MEMORY_S = 0.1
# Weight of a failed attempt in the moving mean of failures.
ERROR_WEIGHT = 0.2
# Cost of a failed attempt, relative to a typical latency; with a share of
# failures p there are p / (1 - p) of them until an attempt succeeds.
ERROR_COST = 4.0
MAX_ERROR_SHARE = 0.95
# Additional cost of another zone, relative to a typical latency.
REMOTE_COST = 0.35
COLD_FACTOR = 1.6
# Cost of a request when all other slots are taken, and of each waiting one.
NEARLY_FULL_COST = 0.3
WAITING_COST = 2.0
# A call older than this multiple of the typical latency marks a pause.
STUCK_MULTIPLE = 2.5
BACKOFF_S = (0.3, 0.6, 1.2, 2.4)
BACKOFF_COST = 50.0
ZONE_SUSPECT_S = 1.5
ZONE_SUSPECT_SEARCHERS = 2
# Spread of random tie-breaking, relative to a typical latency.
JITTER = 0.1


@dataclasses.dataclass
class SearcherLoad:
    """What this host has seen of one searcher.

    Attributes:
        in_flight: Start times of calls under way, by call number.
        slowness: Moving mean of latency relative to the typical one.
        slowness_at: When it was measured.
        report: The last load stated.
        report_at: When it was stated.
        error_share: Moving mean of failed attempts.
        error_at: When it was measured.
        failures: Times in a row that it could not be reached.
        backoff_until: Until when it is avoided.
    """

    in_flight: dict[int, float] = dataclasses.field(default_factory=dict)
    slowness: float = 1.0
    slowness_at: float = 0.0
    report: LoadReport | None = None
    report_at: float = -1.0
    error_share: float = 0.0
    error_at: float = 0.0
    failures: int = 0
    backoff_until: float = 0.0

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, forgotten by half each half-life."""
        return 1.0 + (self.slowness - 1.0) * _memory(now - self.slowness_at)

    def current_error_share(self, now: float) -> float:
        """Returns the share of errors, forgotten by half each half-life."""
        return self.error_share * _memory(now - self.error_at)

    def record_latency(self, ratio: float, now: float) -> None:
        """Takes a latency relative to the typical one."""
        current = self.current_slowness(now)
        ratio = min(ratio, MAX_SLOWNESS)
        self.slowness = current + LATENCY_WEIGHT * (ratio - current)
        self.slowness_at = now
        self.failures = 0
        self.backoff_until = 0.0
        self._note_error_share(0.0, now)

    def apply_reported_slowness(self, slowness: float, at: float) -> None:
        """Takes the slowness that another host has measured.

        Args:
            slowness: The slowness.
            at: When it was measured, on this host's steady clock.
        """
        if at > self.slowness_at:
            self.slowness = min(slowness, MAX_SLOWNESS)
            self.slowness_at = at

    def record_load(self, report: LoadReport, now: float) -> None:
        """Takes a load that the searcher states."""
        self.report, self.report_at = report, now

    def record_error(self, now: float) -> None:
        """Takes a lost, spoiled or failed response, or a rejection.

        A searcher that rejects requests although it states that it has room
        would otherwise look like the least loaded one.
        """
        self._note_error_share(1.0, now)

    def record_unreachable(self, now: float) -> None:
        """Takes a failed connect, silence, or an address in other hands."""
        step = min(self.failures, len(BACKOFF_S) - 1)
        self.failures += 1
        self.backoff_until = now + BACKOFF_S[step]

    def _note_error_share(self, value: float, now: float) -> None:
        share = self.current_error_share(now)
        self.error_share = share + ERROR_WEIGHT * (value - share)
        self.error_at = now


def _memory(age: float) -> float:
    return 0.5 ** (max(0.0, age) / SLOWNESS_HALF_LIFE_S)


def slow_searchers(
    loads: dict[str, SearcherLoad], now: float
) -> list[tuple[str, float, float]]:
    """Returns the searchers that other hosts should know to be slow.

    Load pattern: in a large fleet each host calls each searcher so rarely that
    it would meet most of the slow ones before it knew them.

    Args:
        loads: What this host has seen or was reported by others.
        now: Steady time in seconds.

    Returns:
        Searcher, slowness and its age in seconds, the slowest first.
    """
    found = [
        (searcher_id, load.slowness, now - load.slowness_at)
        for searcher_id, load in loads.items()
        if load.slowness >= REPORTED_SLOWNESS
        and now - load.slowness_at < REPORT_AGE_S
    ]
    found.sort(key=lambda item: -item[1])
    return found[:MAX_REPORTED]


@dataclasses.dataclass
class ZoneHealth:
    """Zones in which several searchers went silent at once.

    Attributes:
        unresponsive_at: Time of the last silence by zone and searcher.
    """

    unresponsive_at: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

    def record_unresponsive(
        self, zone: str, searcher_id: str, now: float
    ) -> None:
        """Notes a searcher that did not react at all."""
        self.unresponsive_at.setdefault(zone, {})[searcher_id] = now

    def record_response(self, zone: str) -> None:
        """Notes that a zone is reachable."""
        self.unresponsive_at.pop(zone, None)

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

    def reachable(
        self, entries: Iterable[SearcherEntry], now: float
    ) -> list[SearcherEntry]:
        """Returns the searchers that do not stand in a zone cut off from here.

        Load pattern: a zone is cut off and holds some shards only. Requests
        that need the others would wait until their time is up. No answer can
        clear a zone that is not asked, so it is tried again once the silence
        is older than what makes it suspect.

        Args:
            entries: The searchers.
            now: Steady time in seconds.
        """
        if not self.unresponsive_at:
            return list(entries)
        return [e for e in entries if not self.is_suspect(e.zone, now)]


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What a choice depends on besides the searchers.

    Attributes:
        zone: This host's zone.
        typical_s: Typical latency of the work.
        now: Steady time in seconds.
        random: Returns a number in [0, 1).
    """

    zone: str
    typical_s: float
    now: float
    random: Callable[[], float]


def _queueing(busy: float, slots: int) -> float:
    """Returns the time until a new request has run, relative to its work."""
    waiting = max(0.0, busy - slots + 1)
    # Work also slows down a little before all slots are taken.
    return 1.0 + NEARLY_FULL_COST * busy / slots + WAITING_COST * waiting


def expected_cost(
    entry: SearcherEntry,
    load: SearcherLoad,
    zone_suspect: bool,
    context: ChoiceContext,
) -> float:
    """Returns the expected latency relative to a typical one.

    Args:
        entry: The searcher.
        load: What was seen of it.
        zone_suspect: Whether its zone is probably cut off.
        context: The circumstances.
    """
    now, slots = context.now, max(1, entry.slots)
    busy = len(load.in_flight)
    factor = 1.0
    report_age = now - load.report_at
    memory = max(MIN_LOAD_MEMORY_S, LOAD_MEMORY_MULTIPLE * context.typical_s)
    if load.report is not None and report_age < memory:
        stated = load.report.running + load.report.waiting
        weight = 1.0 - report_age / memory
        busy = max(busy, busy + (stated - 1) * weight)
        factor = 1.0 + (load.report.work_time_ratio - 1.0) * weight
    cost = load.current_slowness(now) * factor * _queueing(busy, slots)
    failing = min(load.current_error_share(now), MAX_ERROR_SHARE)
    cost *= 1.0 + ERROR_COST * failing / (1.0 - failing)
    if entry.warmup_left_s > 0:
        cost *= COLD_FACTOR
    if load.in_flight:
        oldest = now - min(load.in_flight.values())
        if oldest > STUCK_MULTIPLE * context.typical_s:
            cost += oldest / context.typical_s
    if entry.zone != context.zone:
        cost += REMOTE_COST
    if now < load.backoff_until or zone_suspect:
        cost += BACKOFF_COST
    return cost + JITTER * context.random()


def choose_searcher(
    entries: Iterable[SearcherEntry],
    loads: Callable[[str], SearcherLoad],
    zones: ZoneHealth,
    context: ChoiceContext,
) -> SearcherEntry | None:
    """Returns the searcher with the least expected latency, or None.

    Args:
        entries: The searchers that may be used.
        loads: Returns what was seen of a searcher.
        zones: Which zones are probably cut off.
        context: The circumstances.
    """
    best, best_cost = None, float("inf")
    for entry in entries:
        suspect = zones.is_suspect(entry.zone, context.now)
        cost = expected_cost(entry, loads(entry.searcher_id), suspect, context)
        if cost < best_cost:
            best, best_cost = entry, cost
    return best
