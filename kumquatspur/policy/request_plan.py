"""Schedule of the attempts of a request, and when to answer without a shard.

Load pattern: a request with many shards almost always includes one that pauses,
is slow or has no reachable replica. A late shard is asked again at another
replica. If it stays late, the answer is sent without it while it is still in
time. If so many shards have failed that none of the others may be missing, the
others are hedged sooner. A request that can no longer be answered fails at
once.

A result costs the same whatever the number of shards: the shards that need an
attempt, the open shards and the hedge timers are kept up to date.

The plan applies to routed requests, which the entry host sends to searchers
directly. Queries by way of the searchers' owners use `hedging` and `retry`.
"""

import dataclasses
import enum
import heapq
import math

from kumquatspur.core.routing import Route
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.answer_margin import MERGE_S

# Time assumed to pass on the way from and to the client, as a share of the
# target latency and a fixed part, while it is not known.
DEFAULT_LEAD_S = 0.002
DEFAULT_LEAD_SHARE = 0.04
# An answer that has missed the target latency waits for missing shards until
# this multiple of it.
LATE_ANSWER_MULTIPLE = 1.6
# Upper bound of the hedge delay as a share of the target latency; used as the
# delay while latencies of the route are not known yet.
MAX_HEDGE_SHARE = 0.35
MIN_HEDGE_S = 0.004
# Factor on the hedge delay while other shards have failed and no further shard
# may be missing.
URGENT_HEDGE_SHARE = 0.5
# The factor is used only while at most this share of the shards is open, so
# that no hedges are sent for shards that have simply not answered yet.
URGENT_SHARDS_SHARE = 0.3
# No attempt is started with less time than this before the deadline.
MIN_ATTEMPT_S = 0.003
# A request is ended this long before its deadline.
DEADLINE_MARGIN_S = 0.004
RATIO_TOLERANCE = 1e-9


class PlanOutcome(enum.StrEnum):
    """Whether a request ends with an answer or with a failure."""

    ANSWER = "answer"
    FAIL = "fail"


class AttemptKind(enum.StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class SentBefore(enum.IntEnum):
    """What a host that reroutes a request has done with it.

    Its attempts and those of the next host are charged to one budget, to which
    the request counts once.
    """

    # Nothing, or it is not known.
    UNKNOWN = 0
    # It has counted the request for the budget of extra attempts.
    COUNTED = 1
    # Besides, an attempt of it may have reached a searcher.
    ARRIVED = 2


@dataclasses.dataclass(slots=True)
class ShardProgress:
    """Attempts for one shard.

    Attributes:
        sent_attempts: Number of attempts that count against the limit. An
            attempt whose request was not sent to the searcher does not.
        arrivals: Number of attempts that may have reached a searcher, those of
            other hosts for the same request included.
        in_flight: Number of attempts in progress.
        tried: Searchers that were asked or found unreachable.
        done: Whether the shard's result has arrived.
        closed: Whether no further attempt is possible.
        verdicts: Verdicts of the failed attempts.
        hedge_timer_start: From when the hedge delay counts: the start of the
            last attempt, or when a hedge was postponed.
        may_hedge: Whether the attempt in progress may be hedged.
        waiting: Whether an attempt waits for a searcher with room.
    """

    sent_attempts: int = 0
    arrivals: int = 0
    in_flight: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    done: bool = False
    closed: bool = False
    verdicts: list[Verdict] = dataclasses.field(default_factory=list)
    hedge_timer_start: float = 0.0
    may_hedge: bool = False
    waiting: bool = False

    def is_open(self) -> bool:
        """Returns whether the shard's result may still arrive."""
        return not self.done and (self.in_flight > 0 or not self.closed)


def hedge_delay_s(target_latency_s: float, high_quantile_s: float | None):
    """Returns how long an attempt may take before it is hedged, in seconds.

    Args:
        target_latency_s: Target latency of the route, in seconds.
        high_quantile_s: A high quantile of the latency in seconds, or None if
            it is not known.
    """
    longest = target_latency_s * MAX_HEDGE_SHARE
    if high_quantile_s is None:
        return longest
    return max(MIN_HEDGE_S, min(high_quantile_s, longest))


def min_results(route: Route, shards: int) -> int:
    """Returns how many results an answer needs.

    Args:
        route: The route.
        shards: Number of shards of the request; 1 for a forwarded request.
    """
    if not route.shards:
        return 1
    wanted = route.min_shard_ratio * shards - RATIO_TOLERANCE
    return max(1, math.ceil(wanted))


class RequestPlan:
    """The state of one request over its shards.

    Attributes:
        route: The route.
        shards: Progress by shard; a forwarded request has a single one.
        needed: Minimum number of results for an answer.
        answered: Number of results that have arrived.
        answer_at: When an incomplete answer must be sent to be in time.
        target_at: When an answer must leave this host to reach the client
            within the target latency.
        late_until: Until when a late answer waits for missing results.
        deadline: When the request is ended: `DEADLINE_MARGIN_S` before the
            deadline that was passed in.
        hedge_delay_s: Time between attempts for one shard.
        open_count: Number of shards whose results may still arrive.
    """

    def __init__(
        self,
        route: Route,
        shards: tuple[str, ...],
        started: float,
        deadline: float,
        hedge_delay_s: float,
        lead_s: float | None = None,
        margin_s: float = MERGE_S,
    ):
        target = route.target_latency_s
        if lead_s is None:
            lead_s = DEFAULT_LEAD_S + DEFAULT_LEAD_SHARE * target
        self.route = route
        self.shards = {shard: ShardProgress() for shard in shards}
        self.needed = min_results(route, len(shards))
        self.answered = 0
        self.target_at = started + target - lead_s
        self.answer_at = self.target_at - margin_s
        self.late_until = started + target * LATE_ANSWER_MULTIPLE
        self.deadline = deadline - DEADLINE_MARGIN_S
        self.hedge_delay_s = hedge_delay_s
        self.open_count = len(shards)
        # Shards without an attempt in flight that need one, in order.
        self._unasked = dict.fromkeys(shards)
        # Pairs of `hedge_timer_start` and shard. An entry is outdated if the
        # timer was started again or the shard must not be hedged any more.
        self._hedge_timers = []

    def due_attempts(self, now: float) -> list[tuple[str, AttemptKind]]:
        """Returns the shards to ask now, with the kind of each attempt."""
        if self.deadline - now < MIN_ATTEMPT_S:
            return []
        found = []
        for shard in self._unasked:
            first = not self.shards[shard].tried
            kind = AttemptKind.FIRST if first else AttemptKind.RETRY
            found.append((shard, kind))
        hedge_before = now - self._hedge_delay_now()
        due = []
        while (timer := self._next_hedge_timer()) and timer[0] <= hedge_before:
            due.append(heapq.heappop(self._hedge_timers))
        for timer in due:
            heapq.heappush(self._hedge_timers, timer)
            found.append((timer[1], AttemptKind.HEDGE))
        return found

    def needs_attempt(self) -> bool:
        """Returns whether a shard needs an attempt that is not a hedge."""
        return bool(self._unasked)

    def _next_hedge_timer(self) -> tuple[float, str] | None:
        """Returns the timer that ends next, and removes outdated ones."""
        timers = self._hedge_timers
        while timers:
            started, shard = timers[0]
            progress = self.shards[shard]
            if (
                started == progress.hedge_timer_start
                and progress.may_hedge
                and progress.in_flight
                and not progress.done
                and not progress.closed
            ):
                return timers[0]
            heapq.heappop(timers)
        return None

    def _start_hedge_timer(self, shard: str, now: float) -> None:
        self.shards[shard].hedge_timer_start = now
        heapq.heappush(self._hedge_timers, (now, shard))

    def _update(self, shard: str, was_open: bool) -> None:
        """Updates the counts after the progress of a shard has changed."""
        progress = self.shards[shard]
        self.open_count += progress.is_open() - was_open
        busy = progress.in_flight or progress.waiting
        if progress.done or progress.closed or busy:
            self._unasked.pop(shard, None)
        else:
            self._unasked[shard] = None

    def _hedge_delay_now(self) -> float:
        """Returns the current hedge delay in seconds.

        It is shorter if all open shards are needed for an answer.
        """
        if not self.route.shards:
            return self.hedge_delay_s
        still_open = self.open_count
        possible = self.answered + still_open
        complete = possible == len(self.shards)
        few_open = still_open <= URGENT_SHARDS_SHARE * len(self.shards)
        if complete or possible > self.needed or not few_open:
            return self.hedge_delay_s
        return self.hedge_delay_s * URGENT_HEDGE_SHARE

    def record_start(self, shard: str, searcher_id: str, now: float) -> None:
        """Records the start of an attempt."""
        progress = self.shards[shard]
        was_open = progress.is_open()
        progress.sent_attempts += 1
        progress.arrivals += 1
        progress.in_flight += 1
        progress.tried.add(searcher_id)
        progress.may_hedge = self.route.repeatable
        if progress.sent_attempts >= self.route.max_attempts:
            progress.closed = True
        elif progress.may_hedge:
            self._start_hedge_timer(shard, now)
        self._update(shard, was_open)

    def may_omit(self, shard: str) -> bool:
        """Returns whether the request can be answered without a shard."""
        possible = self.answered + self.open_count
        if self.shards[shard].is_open():
            possible -= 1
        return possible >= self.needed

    def record_waiting(self, shard: str) -> None:
        """Records that an attempt waits for a searcher with room."""
        self.shards[shard].waiting = True
        self._unasked.pop(shard, None)

    def record_resumed(self, shard: str) -> None:
        """Records that an attempt waits no more."""
        progress = self.shards[shard]
        progress.waiting = False
        self._update(shard, progress.is_open())

    def record_unavailable(self, shard: str, kind: AttemptKind, now: float):
        """Records that there is no searcher or no budget for an attempt.

        A hedge is postponed by the hedge delay. For a first attempt or a retry,
        the shard is closed.
        """
        if kind is AttemptKind.HEDGE:
            self._start_hedge_timer(shard, now)
            return
        progress = self.shards[shard]
        was_open = progress.is_open()
        progress.closed = True
        self._update(shard, was_open)

    def record_result(self, shard: str) -> bool:
        """Records that the result of a shard has arrived.

        Returns:
            False if the shard had already been answered.
        """
        progress = self.shards[shard]
        was_open = progress.is_open()
        progress.in_flight -= 1
        if progress.done:
            return False
        progress.done = True
        self.answered += 1
        self._update(shard, was_open)
        return True

    def record_earlier_arrivals(self) -> None:
        """Records that another host may have sent the request before."""
        for progress in self.shards.values():
            progress.arrivals += 1

    def record_failure(
        self,
        shard: str,
        verdict: Verdict,
        counts: bool,
        may_have_arrived: bool = True,
    ) -> None:
        """Records a failed attempt and whether another one is possible.

        The shard is closed if the limit of attempts is reached, or if work that
        is not repeatable may have been executed. Otherwise it is open again.

        Args:
            shard: The shard.
            verdict: Whether the searcher may have executed the attempt.
            counts: Whether the attempt counts against the route's limit.
            may_have_arrived: Whether it may have reached the searcher.
        """
        progress = self.shards[shard]
        was_open = progress.is_open()
        progress.in_flight -= 1
        progress.verdicts.append(verdict)
        if not counts:
            progress.sent_attempts -= 1
        if not may_have_arrived:
            progress.arrivals -= 1
        ran = any(item is not Verdict.NOT_RUN for item in progress.verdicts)
        exhausted = progress.sent_attempts >= self.route.max_attempts
        progress.closed = exhausted or (ran and not self.route.repeatable)
        if not (progress.closed or progress.done) and progress.in_flight:
            # The limit allows an attempt again that the timer was not started
            # for.
            self._start_hedge_timer(shard, progress.hedge_timer_start)
        self._update(shard, was_open)

    def outcome(self, now: float) -> PlanOutcome | None:
        """Returns the outcome of the request, or None while it continues."""
        if self.answered == len(self.shards):
            return PlanOutcome.ANSWER
        enough = self.answered >= self.needed
        if now >= self.deadline:
            return PlanOutcome.ANSWER if enough else PlanOutcome.FAIL
        still_open = self.open_count
        if enough and not still_open:
            return PlanOutcome.ANSWER
        if self.answered + still_open < self.needed:
            return PlanOutcome.FAIL
        if enough and self.answer_at <= now < self.target_at:
            return PlanOutcome.ANSWER
        if enough and now >= self.late_until:
            return PlanOutcome.ANSWER
        return None

    def wake_at(self, now: float) -> float:
        """Returns when the plan has to be evaluated again."""
        times = [self.deadline]
        if self.answered >= self.needed:
            times += [t for t in (self.answer_at, self.late_until) if t > now]
        timer = self._next_hedge_timer()
        if timer is not None:
            times.append(timer[0] + self._hedge_delay_now())
        return min(times)

    def verdicts(self) -> list[Verdict]:
        """Returns the verdicts of all attempts, those in progress included."""
        found = []
        for progress in self.shards.values():
            found += progress.verdicts
            found += [Verdict.MAY_HAVE_RUN] * progress.in_flight
            found += [Verdict.RAN] * progress.done
        return found
