"""Requests per second that searchers take from all hosts together.

Load pattern: a searcher in need names a limit in its answers. Each host sees
only its own requests, so hosts that obey the limit one by one exceed it
together. A host may use its share of each limit: a part that an allocator has
leased to it by the requests that the hosts have for the searcher, or a small
one that needs no agreement while it has no lease (see `limit_shares`).

A searcher that is cold after its start takes less, and crashes if it gets more
than a bound in any second. The hosts divide its cold rate in the same way; the
smaller one of both rates holds. Its bound is on one second, so hosts accumulate
less credit for it.

Requests beyond the share go to other searchers. If none is left, they are
rejected at once. A request draws one number for all its shards, so that of many
requests some get all their shards, instead of each one a part of them.
"""

import dataclasses
import math
from collections.abc import Container, Iterable

from kumquatspur.core.routing import SearcherEntry

# Credit that a host accumulates without requests, in seconds of its rate.
CREDIT_S = 2.0
# The same for a cold searcher, whose bound is on one second: credit for more
# time could be used by all hosts in the same second.
COLD_CREDIT_S = 0.5
# Hosts without a lease use this part of what they may use of a named limit.
COLD_UNLEASED_FACTOR = 0.5
# Requests of many hosts in a second scatter as independent ones. The aim leaves
# this many standard deviations to the bound.
COLD_DEVIATIONS = 4.0
# A cold rate begins at this part of the aim and grows to all of it.
COLD_START_SHARE = 0.5
# After the warm-up, the rate doubles in this time, and ends after `COLD_RAMP_S`
# at 32 times the cold rate, so that the traffic has no step.
COLD_DOUBLING_S = 1.0
COLD_RAMP_S = 5.0
# A searcher that takes nothing gets a request now and then all the same, since
# only an answer shows that its limit has ended.
MIN_LIMIT_PER_S = 0.25
# Time constant of the measured rate of wanted requests.
RATE_WINDOW_S = 2.0
# A searcher that was not wanted for this time needs no lease.
IDLE_S = 4.0
# Share of a limit that all hosts without a lease may use together.
UNLEASED_SHARE = 0.5
# A change of a limit by less than this part is not reported.
REPORTED_CHANGE = 0.1
# How long the end of a limit is remembered. Other hosts are told of a limit for
# a shorter time, so that none learns an old limit after it has ended.
ENDED_MEMORY_S = 10.0
MAX_TOLD_AGE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRate:
    """The rate of a searcher that warms up.

    Attributes:
        aim_per_s: Requests per second from all hosts at the end of the warm-up.
        warmup_s: Length of the whole warm-up.
        until: End of the warm-up, in monotonic time.
    """

    aim_per_s: float
    warmup_s: float
    until: float

    def left_share(self, now: float) -> float:
        """Returns the part of the warm-up that is left, from 1 to 0."""
        if self.warmup_s <= 0.0:
            return 0.0
        return min(1.0, max(0.0, (self.until - now) / self.warmup_s))

    def per_s(self, now: float) -> float:
        """Returns the requests per second from all hosts together."""
        if now <= self.until:
            saved = (1.0 - COLD_START_SHARE) * self.left_share(now)
            return self.aim_per_s * (1.0 - saved)
        # The exponent is bounded because the end is found some time later.
        ramp_s = min(now - self.until, COLD_RAMP_S)
        return self.aim_per_s * 2.0 ** (ramp_s / COLD_DOUBLING_S)

    def is_over(self, now: float) -> bool:
        """Returns whether the searcher takes its usual traffic again."""
        return now >= self.until + COLD_RAMP_S


def cold_aim_per_s(cold_per_s: float, overrun: float, slack: float) -> float:
    """Returns the rate that hosts aim for at a cold searcher.

    Args:
        cold_per_s: Requests per second that it takes.
        overrun: Factor on this rate that a second may have.
        slack: Requests that a second may have beyond that.
    """
    bound = cold_per_s * overrun + slack
    # The greatest mean m with m + COLD_DEVIATIONS * sqrt(m) = bound.
    half = COLD_DEVIATIONS / 2.0
    aim = (math.sqrt(half * half + bound) - half) ** 2
    return min(cold_per_s, aim)


@dataclasses.dataclass(slots=True)
class SearcherLimit:
    """The limit of one searcher, and this host's use of it.

    Attributes:
        per_s: Requests per second from all hosts together, as the searcher
            named it; infinite if it named none.
        stated_at: When the searcher last named it, to any host.
        reported_per_s: The limit that was last reported as a change.
        credit: Requests that this host may send now; negative after a request
            that was admitted on part of a credit.
        credit_at: When `credit` was computed.
        wanted_per_s: Requests that this host had for the searcher, admitted
            or not, as a moving rate.
        wanted_at: When the last of them came.
        share: Part of the limit that is leased to this host.
        share_until: End of the lease.
        cold: Its cold rate; None if it is warm.
    """

    per_s: float
    stated_at: float
    reported_per_s: float
    credit: float = 0.0
    credit_at: float = 0.0
    wanted_per_s: float = 0.0
    wanted_at: float = -math.inf
    share: float = 0.0
    share_until: float = -math.inf
    cold: ColdRate | None = None

    def is_named(self) -> bool:
        """Returns whether the searcher has named a limit."""
        return self.per_s < math.inf

    def current_per_s(self, now: float) -> float:
        """Returns the smaller one of the named and the cold rate."""
        named = max(self.per_s, MIN_LIMIT_PER_S)
        return named if self.cold is None else min(named, self.cold.per_s(now))

    def current_wanted_per_s(self, now: float) -> float:
        """Returns the rate of wanted requests, decayed since the last one."""
        age_s = now - self.wanted_at
        return self.wanted_per_s * math.exp(-age_s / RATE_WINDOW_S)

    def record_wanted(self, now: float) -> None:
        """Counts a request for the searcher, admitted or not."""
        rate = self.current_wanted_per_s(now)
        self.wanted_per_s = rate + 1.0 / RATE_WINDOW_S
        self.wanted_at = now


@dataclasses.dataclass
class SearcherLimits:
    """The limits that searchers name, and what this host may send them.

    Attributes:
        unleased_share: Part of a limit that this host may use without a lease.
        by_searcher: The current limits.
        ended_at: When a limit ended, by searcher; for `ENDED_MEMORY_S`.
        cold_withheld: Times that a cold searcher was passed over for its rate.
    """

    unleased_share: float = 0.0
    by_searcher: dict[str, SearcherLimit] = dataclasses.field(
        default_factory=dict
    )
    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)
    cold_withheld: int = 0

    def record(self, searcher_id: str, per_s: float | None, at: float) -> bool:
        """Records what a searcher has stated, to this host or to another one.

        Args:
            searcher_id: The searcher.
            per_s: Requests per second; None if it named no limit.
            at: When it answered, in monotonic time. A statement that is older
                than the known one changes nothing.

        Returns:
            Whether the limit began, ended or changed noticeably.
        """
        known = self.by_searcher.get(searcher_id)
        if per_s is None:
            if known is None or not known.is_named() or at < known.stated_at:
                return False
            if known.cold is None:
                del self.by_searcher[searcher_id]
            else:
                known.per_s = math.inf
            self.ended_at[searcher_id] = at
            return True
        if known is None or not known.is_named():
            if at <= self.ended_at.get(searcher_id, -math.inf):
                return False
            self.ended_at.pop(searcher_id, None)
            if known is None:
                self.by_searcher[searcher_id] = SearcherLimit(
                    per_s, at, per_s, credit_at=at
                )
            else:
                known.per_s = known.reported_per_s = per_s
                known.stated_at = at
            return True
        if at < known.stated_at:
            return False
        known.per_s, known.stated_at = per_s, at
        change = abs(per_s - known.reported_per_s)
        if change <= REPORTED_CHANGE * known.reported_per_s:
            return False
        known.reported_per_s = per_s
        return True

    def set_cold(
        self,
        searcher_id: str,
        cold: ColdRate | None,
        now: float,
        in_flight: int = 0,
    ) -> None:
        """Sets or ends the cold rate of a searcher.

        Args:
            searcher_id: The searcher.
            cold: The rate; None if the searcher is warm.
            now: Monotonic time in seconds.
            in_flight: Requests of this host at the searcher. At the begin of a
                cold rate, they count as the host's requests of one second.
        """
        limit = self.by_searcher.get(searcher_id)
        if cold is None:
            if limit is not None and limit.is_named():
                limit.cold = None
            elif limit is not None:
                del self.by_searcher[searcher_id]
            return
        if limit is None:
            limit = self.by_searcher[searcher_id] = SearcherLimit(
                math.inf, -math.inf, math.inf, credit_at=now
            )
        known = limit.cold
        if known is not None and (now < known.until or now >= cold.until):
            limit.cold = cold
            return
        credit = self._update_credit(limit, now)
        limit.cold = cold
        debt = min(float(in_flight), self._rate(limit, now))
        limit.credit = min(credit, 0.0) - debt

    def cold_searchers(self, now: float) -> list[str]:
        """Returns the searchers that are warming up now."""
        return [
            searcher_id
            for searcher_id, limit in self.by_searcher.items()
            if limit.cold is not None and now < limit.cold.until
        ]

    def named_searchers(self) -> set[str]:
        """Returns the searchers that name a limit."""
        return {k for k, v in self.by_searcher.items() if v.is_named()}

    def statements(self, now: float) -> list[tuple[str, float | None, float]]:
        """Returns what searchers have stated, for other hosts.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Searcher, limit and time of the statement; the limit is None if it
            has ended.
        """
        current = [
            (searcher_id, limit.per_s, limit.stated_at)
            for searcher_id, limit in self.by_searcher.items()
            if limit.is_named() and now - limit.stated_at < MAX_TOLD_AGE_S
        ]
        ended = [(name, None, at) for name, at in self.ended_at.items()]
        return current + ended

    def record_lease(
        self, searcher_id: str, share: float, until: float, now: float
    ) -> None:
        """Records the part of a limit that was leased to this host.

        Args:
            searcher_id: The searcher.
            share: The part of its limit.
            until: End of the lease, in monotonic time.
            now: The current monotonic time.
        """
        limit = self.by_searcher.get(searcher_id)
        if limit is not None:
            self._update_credit(limit, now)
            limit.share, limit.share_until = share, until

    def share(self, limit: SearcherLimit, now: float) -> float:
        """Returns the part of a limit that this host may use now."""
        if now < limit.share_until:
            return limit.share
        if limit.cold is not None:
            return self.unleased_share * COLD_UNLEASED_FACTOR
        return self.unleased_share

    def wanted(self, now: float) -> list[str]:
        """Returns the limited searchers that this host has requests for."""
        return [
            searcher_id
            for searcher_id, limit in self.by_searcher.items()
            if now - limit.wanted_at < IDLE_S
        ]

    def first_admitted(
        self,
        ranked: Iterable[SearcherEntry],
        draw: float,
        now: float,
        is_hedge: bool = False,
    ) -> SearcherEntry | None:
        """Returns the first searcher that this host may send a request to.

        Args:
            ranked: The searchers, the preferred ones first.
            draw: The request's random number in (0, 1].
            now: Monotonic time in seconds.
            is_hedge: Whether the request is a hedge. It uses only credit that
                no first attempt needs.

        Returns:
            The searcher; None if the limits admit none.
        """
        if not self.by_searcher:
            return next(iter(ranked), None)
        needed = draw + 1.0 if is_hedge else draw
        for entry in ranked:
            limit = self.by_searcher.get(entry.searcher_id)
            if limit is None:
                return entry
            if not is_hedge:
                limit.record_wanted(now)
            if self._update_credit(limit, now) >= needed:
                return entry
            if limit.cold is not None and not is_hedge:
                self.cold_withheld += 1
        return None

    def record_rejected(
        self, entries: Iterable[SearcherEntry], now: float
    ) -> None:
        """Counts a request that was rejected before any attempt.

        Args:
            entries: The searchers of its shards that do not admit it.
            now: Monotonic time in seconds.
        """
        for entry in entries:
            limit = self.by_searcher.get(entry.searcher_id)
            if limit is not None:
                limit.record_wanted(now)

    def spend(self, searcher_id: str, now: float) -> None:
        """Uses the credit for one attempt at a searcher."""
        limit = self.by_searcher.get(searcher_id)
        if limit is not None:
            limit.credit = self._update_credit(limit, now) - 1.0

    def refund(self, searcher_id: str) -> None:
        """Returns the credit of an attempt that did not reach the searcher."""
        limit = self.by_searcher.get(searcher_id)
        if limit is not None:
            limit.credit += 1.0

    def admits_at(self, searcher_id: str, draw: float, now: float) -> float:
        """Returns when this host may send a request to a searcher.

        Args:
            searcher_id: The searcher.
            draw: The request's random number in (0, 1].
            now: Monotonic time in seconds.

        Returns:
            Monotonic time, `now` if it may do so now; infinite if not within
            the foreseeable time.
        """
        limit = self.by_searcher.get(searcher_id)
        if limit is None:
            return now
        lacking = draw - self._update_credit(limit, now)
        if lacking <= 0.0:
            return now
        rate = self._rate(limit, now)
        return now + lacking / rate if rate > 0.0 else math.inf

    def prune(self, known: Container[str], now: float) -> None:
        """Forgets searchers that do not exist any more, and old ends.

        Args:
            known: Identifiers of the searchers that exist.
            now: Monotonic time in seconds.
        """
        for searcher_id in list(self.by_searcher):
            if searcher_id not in known:
                del self.by_searcher[searcher_id]
        for searcher_id, at in list(self.ended_at.items()):
            if now - at > ENDED_MEMORY_S:
                del self.ended_at[searcher_id]

    def _rate(self, limit: SearcherLimit, now: float) -> float:
        """Returns the requests per second that this host may send."""
        return self.share(limit, now) * limit.current_per_s(now)

    def _update_credit(self, limit: SearcherLimit, now: float) -> float:
        """Adds the credit that has accumulated; returns the total."""
        rate = self._rate(limit, now)
        earned = rate * max(0.0, now - limit.credit_at)
        credit_s = CREDIT_S if limit.cold is None else COLD_CREDIT_S
        limit.credit = min(rate * credit_s, limit.credit + earned)
        limit.credit_at = now
        return limit.credit
