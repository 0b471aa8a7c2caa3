"""When the shards of a request are asked, asked again, and answered without.

Load pattern: with many shards a request nearly always meets one that pauses,
is slow or has lost its replica. A late shard is asked again elsewhere, and a
shard that stays late is left out while the answer is still in time. Once so
many shards are lost that none of the others may be left out, these are asked
again sooner. A request that can no longer be served ends at once.
"""

import dataclasses
import enum
import math

from kumquatspur.core.routing import Route
from kumquatspur.core.verdict import Verdict

# Time kept for the answer's own way to the client: a fixed part for network
# and processing, and a share for the client's way here.
ANSWER_MARGIN_S = 0.005
ANSWER_MARGIN_SHARE = 0.04
# Once the target latency is missed, missing shards are waited for until this
# multiple of it.
LATE_MULTIPLE = 1.6
# Latest second attempt, as a share of the target latency, if latencies of the
# route are not known yet.
MAX_HEDGE_SHARE = 0.35
MIN_HEDGE_S = 0.004
# Time between attempts for one shard, as a share of the usual one, while other
# shards are lost and no further one may be left out.
URGENT_HEDGE_SHARE = 0.5
# Largest share of the shards for which that is done, so that hedges are not
# sent for shards that are merely not in yet.
URGENT_SHARDS_SHARE = 0.3
# Time needed for an attempt to be worth its start.
MIN_ATTEMPT_S = 0.003
# Time before the deadline at which a request is ended.
DEADLINE_MARGIN_S = 0.004
RATIO_TOLERANCE = 1e-9


class Outcome(enum.StrEnum):
    """How a request ends."""

    ANSWER = "answer"
    FAIL = "fail"


class AttemptKind(enum.StrEnum):
    """Why a searcher is asked."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@dataclasses.dataclass(slots=True)
class ShardProgress:
    """Attempts for one shard.

    Attributes:
        sent: Attempts that were handed to a searcher.
        in_flight: Start times of attempts under way.
        tried: Searchers asked or found unreachable.
        done: Whether its part is in.
        closed: Whether no further attempt is possible.
        verdicts: Verdicts of the attempts that failed.
        started: When the last attempt started.
        hedged: Whether a further attempt may start beside it.
    """

    sent: int = 0
    in_flight: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    done: bool = False
    closed: bool = False
    verdicts: list[Verdict] = dataclasses.field(default_factory=list)
    started: float = 0.0
    hedged: bool = False

    def is_open(self) -> bool:
        """Returns whether a part may still come."""
        return not self.done and (self.in_flight > 0 or not self.closed)


def hedge_delay_s(target_latency_s: float, typical_late_s: float | None):
    """Returns how long an attempt may take before another one starts.

    Args:
        target_latency_s: The latency wanted, in seconds.
        typical_late_s: A high quantile of the latency, or None.
    """
    longest = target_latency_s * MAX_HEDGE_SHARE
    if typical_late_s is None:
        return longest
    return max(MIN_HEDGE_S, min(typical_late_s, longest))


class RequestPlan:
    """The state of one request over its shards.

    Attributes:
        route: The route.
        shards: Progress by shard; a forwarded request has a single one.
        needed: Parts that an answer needs.
        answered: Parts that are in.
        answer_at: When an incomplete answer has to leave to be in time.
        target_at: When the target latency has passed.
        late_at: Until when a late answer waits for missing parts.
        deadline: When the request ends.
        hedge_delay_s: Time between attempts for one shard.
    """

    def __init__(
        self,
        route: Route,
        shards: tuple[str, ...],
        started: float,
        deadline: float,
        hedge_delay_s: float,
    ):
        target = route.target_latency_s
        self.route = route
        self.shards = {shard: ShardProgress() for shard in shards}
        wanted = route.min_shard_ratio * len(shards) - RATIO_TOLERANCE
        self.needed = max(1, math.ceil(wanted)) if route.shards else 1
        self.answered = 0
        self.target_at = started + target
        margin = ANSWER_MARGIN_S + ANSWER_MARGIN_SHARE * target
        self.answer_at = self.target_at - margin
        self.late_at = started + target * LATE_MULTIPLE
        self.deadline = deadline - DEADLINE_MARGIN_S
        self.hedge_delay_s = hedge_delay_s

    def due_attempts(self, now: float) -> list[tuple[str, AttemptKind]]:
        """Returns the shards that should be asked now, and why."""
        if self.deadline - now < MIN_ATTEMPT_S:
            return []
        found = []
        hedge_before = now - self._hedge_delay_now()
        for shard, progress in self.shards.items():
            if progress.done or progress.closed:
                continue
            if not progress.in_flight:
                first = not progress.tried
                kind = AttemptKind.FIRST if first else AttemptKind.RETRY
                found.append((shard, kind))
            elif progress.hedged and progress.started <= hedge_before:
                found.append((shard, AttemptKind.HEDGE))
        return found

    def _still_open(self) -> int:
        """Returns how many further parts may come."""
        return sum(p.is_open() for p in self.shards.values())

    def _hedge_delay_now(self) -> float:
        """Returns the time between attempts for one shard, in seconds."""
        if not self.route.shards:
            return self.hedge_delay_s
        still_open = self._still_open()
        possible = self.answered + still_open
        complete = possible == len(self.shards)
        few = still_open <= URGENT_SHARDS_SHARE * len(self.shards)
        if complete or possible > self.needed or not few:
            return self.hedge_delay_s
        return self.hedge_delay_s * URGENT_HEDGE_SHARE

    def record_start(self, shard: str, searcher_id: str, now: float) -> None:
        """Notes an attempt."""
        progress = self.shards[shard]
        progress.sent += 1
        progress.in_flight += 1
        progress.tried.add(searcher_id)
        progress.started = now
        progress.hedged = self.route.repeatable
        if progress.sent >= self.route.max_attempts:
            progress.closed = True

    def record_unavailable(self, shard: str, kind: AttemptKind, now: float):
        """Notes that no searcher, or no budget, is left for an attempt."""
        progress = self.shards[shard]
        if kind is AttemptKind.HEDGE:
            progress.started = now
        else:
            progress.closed = True

    def record_part(self, shard: str) -> bool:
        """Notes an answer.

        Returns:
            False if the shard was answered before.
        """
        progress = self.shards[shard]
        progress.in_flight -= 1
        if progress.done:
            return False
        progress.done = True
        self.answered += 1
        return True

    def record_failure(self, shard: str, verdict: Verdict, sent: bool) -> None:
        """Notes an attempt that failed.

        Args:
            shard: The shard.
            verdict: Whether the searcher may have run it.
            sent: Whether the request had reached a searcher.
        """
        progress = self.shards[shard]
        progress.in_flight -= 1
        progress.verdicts.append(verdict)
        if not sent:
            # An attempt that was never sent is not held against the limit.
            progress.sent -= 1
        ran = any(item is not Verdict.NOT_RUN for item in progress.verdicts)
        exhausted = progress.sent >= self.route.max_attempts
        progress.closed = exhausted or (ran and not self.route.repeatable)

    def outcome(self, now: float) -> Outcome | None:
        """Returns how the request ends, or None while it goes on."""
        if self.answered == len(self.shards):
            return Outcome.ANSWER
        enough = self.answered >= self.needed
        if now >= self.deadline:
            return Outcome.ANSWER if enough else Outcome.FAIL
        still_open = self._still_open()
        if enough and not still_open:
            return Outcome.ANSWER
        if self.answered + still_open < self.needed:
            return Outcome.FAIL
        if enough and self.answer_at <= now < self.target_at:
            return Outcome.ANSWER
        if enough and now >= self.late_at:
            return Outcome.ANSWER
        return None

    def wake_at(self, now: float) -> float:
        """Returns when the plan has to be looked at again."""
        times = [self.deadline]
        if self.answered >= self.needed:
            times += [t for t in (self.answer_at, self.late_at) if t > now]
        delay = self._hedge_delay_now()
        for progress in self.shards.values():
            if progress.in_flight and not (progress.done or progress.closed):
                if progress.hedged:
                    times.append(progress.started + delay)
        return min(times)

    def verdicts(self) -> list[Verdict]:
        """Returns the verdicts of all attempts, open ones included."""
        found = []
        for progress in self.shards.values():
            found += progress.verdicts
            found += [Verdict.MAY_HAVE_RUN] * progress.in_flight
            found += [Verdict.RAN] * progress.done
        return found
