"""Which searchers are cold, by what they state and what this host assumes.

Load pattern: searchers of a zone come back all at once, or become cold again
while requests arrive. Their entries in the store lag behind, so the first
requests would reach them at the usual rate and crash them. So a searcher that
was unreachable, or is new, is assumed to be cold until it is known whether it
is. The assumption costs capacity if it is wrong, so it is checked at once.

A later statement or assumption replaces an earlier one, whichever host it is
from.
"""

import dataclasses
import enum
import math
from collections.abc import Container, Sequence

import xxhash

from kumquatspur.core.routing import SearcherEntry, ServiceSpec
from kumquatspur.policy.searcher_limits import COLD_RAMP_S, ColdRate

# Differences of the clocks of searchers and hosts.
CLOCK_SKEW_S = 2.0
# The age of a statement that is passed on grows inexact with each host. A
# statement that differs by less is the known one.
ECHO_S = 0.25
# How long a change is told to other hosts after the warm-up.
TOLD_S = 10.0
# How long the start of a searcher without an entry is remembered. A lapsed
# entry comes back with the same start.
START_MEMORY_S = 120.0


class WarmupKind(enum.StrEnum):
    """Why a searcher is taken for cold or warm."""

    # The searcher has stated its remaining warm-up time.
    STATED = "stated"
    # It refused a connection or dropped a request: its process is gone.
    DOWN = "down"
    # It is new, or this host did not reach it, or its entry is doubtful.
    ASSUMED = "assumed"


@dataclasses.dataclass(frozen=True, slots=True)
class Warmup:
    """What is known of the warm-up of one searcher.

    Attributes:
        left_s: Remaining warm-up time when it was stated or assumed.
        at: When it was stated or assumed, in monotonic time.
        kind: Why it is taken for cold or warm.
        until: End of the warm-up; minus infinity if there was none.
        warmup_s: Length of the whole warm-up in seconds.
        told_until: Until when other hosts are told, cold or not.
    """

    left_s: float
    at: float
    kind: WarmupKind
    until: float
    warmup_s: float
    told_until: float = -math.inf

    def is_cold(self, now: float) -> bool:
        """Returns whether the searcher warms up."""
        return now < self.until

    def is_unchecked(self, now: float) -> bool:
        """Returns whether the searcher is only assumed to be cold."""
        return self.kind is not WarmupKind.STATED and self.is_cold(now)


@dataclasses.dataclass
class Warmups:
    """The warm-ups of all searchers.

    Attributes:
        by_searcher: What is known, by searcher.
        starts: Unix time in ms of the last known start of each searcher, and
            when its entry was last seen.
        first_view_at: When the first entries became known. They are not new.
    """

    by_searcher: dict[str, Warmup] = dataclasses.field(default_factory=dict)
    starts: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    first_view_at: float | None = None

    def record(
        self,
        searcher_id: str,
        left_s: float,
        at: float,
        kind: WarmupKind,
        usual_s: float,
    ) -> bool:
        """Records a statement or an assumption.

        Args:
            searcher_id: The searcher.
            left_s: Its remaining warm-up time, in seconds.
            at: When it was stated or assumed, in monotonic time.
            kind: The kind.
            usual_s: Length of its service's warm-up, in seconds.

        Returns:
            Whether anything changed.
        """
        known = self.by_searcher.get(searcher_id)
        until = at + left_s if left_s > 0.0 else -math.inf
        if known is not None:
            if at <= known.at:
                return False
            if (
                kind is known.kind
                and at - known.at < ECHO_S
                and (until == known.until or abs(until - known.until) < ECHO_S)
            ):
                return False
            if kind is not WarmupKind.STATED:
                until = max(until, known.until)
            elif left_s <= 0.0 and known.kind is WarmupKind.STATED:
                # The end of a warm-up, after which the rate still grows.
                until = min(known.until, at)
        changed = known is None or known.is_cold(at) != (at < until)
        told_until = at + TOLD_S if changed and known is not None else -math.inf
        if known is not None:
            told_until = max(told_until, known.told_until)
        self.by_searcher[searcher_id] = Warmup(
            left_s, at, kind, until, max(usual_s, left_s), told_until
        )
        return True

    def answer_assumption(
        self, searcher_id: str, at: float, now: float
    ) -> None:
        """Has a newer statement told to a host that still assumes.

        Args:
            searcher_id: The searcher that another host assumes to be cold.
            at: When it began to assume so, in this host's monotonic time.
            now: The current monotonic time.
        """
        known = self.by_searcher.get(searcher_id)
        if (
            known is not None
            and known.kind is WarmupKind.STATED
            and known.at > at
        ):
            self.by_searcher[searcher_id] = dataclasses.replace(
                known, told_until=now + TOLD_S
            )

    def is_cold(self, searcher_id: str, now: float) -> bool:
        """Returns whether a searcher warms up."""
        known = self.by_searcher.get(searcher_id)
        return known is not None and known.is_cold(now)

    def is_unchecked(self, searcher_id: str, now: float) -> bool:
        """Returns whether a searcher is only assumed to be cold."""
        known = self.by_searcher.get(searcher_id)
        return known is not None and known.is_unchecked(now)

    def cold_rate(
        self, searcher_id: str, aim_per_s: float, now: float
    ) -> ColdRate | None:
        """Returns the rate of a searcher; None if it is not limited.

        Args:
            searcher_id: The searcher.
            aim_per_s: Requests per second that hosts aim for while it is cold.
            now: Monotonic time in seconds.
        """
        known = self.by_searcher.get(searcher_id)
        if known is None or now >= known.until + COLD_RAMP_S:
            return None
        return ColdRate(aim_per_s, known.warmup_s, known.until)

    def told(self, now: float) -> list[tuple[str, Warmup]]:
        """Returns what other hosts should know."""
        return [
            (searcher_id, known)
            for searcher_id, known in self.by_searcher.items()
            if known.is_cold(now) or now < known.told_until
        ]

    def observe_entry(
        self,
        entry: SearcherEntry,
        spec: ServiceSpec | None,
        at: float,
        unix_s: float,
        is_old: bool = False,
    ) -> bool:
        """Records what the entry of a searcher shows.

        Args:
            entry: The entry, as it was written to the store.
            spec: The searcher's service; None if its cold searchers are not
                limited.
            at: When the entry was current, in monotonic time.
            unix_s: The current Unix time.
            is_old: Whether the entry was known before the service was limited.

        Returns:
            Whether anything changed.
        """
        if self.first_view_at is None:
            self.first_view_at = at
        previous = self.starts.get(entry.searcher_id)
        self.starts[entry.searcher_id] = (entry.started_unix_ms, at)
        is_new = at != self.first_view_at and (
            previous is None or entry.started_unix_ms > previous[0]
        )
        if spec is None:
            return False
        found = _entry_warmup(entry, is_new, spec.warmup_s, unix_s)
        if found is None:
            return False
        kind, left_s = found
        if is_old:
            kind = WarmupKind.ASSUMED
        return self.record(entry.searcher_id, left_s, at, kind, spec.warmup_s)

    def prune(self, known: Container[str], now: float) -> None:
        """Forgets searchers that do not exist any more.

        Args:
            known: Identifiers of the searchers that exist.
            now: Monotonic time in seconds.
        """
        for searcher_id in [k for k in self.by_searcher if k not in known]:
            del self.by_searcher[searcher_id]
        for searcher_id, (started, seen_at) in list(self.starts.items()):
            if searcher_id in known:
                self.starts[searcher_id] = (started, now)
            elif now - seen_at > START_MEMORY_S:
                del self.starts[searcher_id]


def _entry_warmup(
    entry: SearcherEntry, is_new: bool, warmup_s: float, unix_s: float
) -> tuple[WarmupKind, float] | None:
    """Returns the kind and the remaining time that an entry shows, if any."""
    started_s = entry.started_unix_ms / 1000.0
    age_s = max(0.0, unix_s - started_s) if started_s else None
    left_s = entry.warmup_left_s
    if left_s > 0.0:
        # The entry of a searcher that started long ago may be as old, or the
        # searcher may have become cold again.
        doubtful = age_s is not None and age_s + left_s > (
            warmup_s + CLOCK_SKEW_S
        )
        kind = WarmupKind.ASSUMED if doubtful else WarmupKind.STATED
        return kind, left_s
    if age_s is not None and age_s < warmup_s:
        return WarmupKind.ASSUMED, warmup_s - age_s
    return (WarmupKind.ASSUMED, warmup_s) if is_new else None


def checker_of(searcher_id: str, hosts: Sequence[str]) -> str:
    """Returns the host that checks a searcher's health regularly.

    Hosts that know the same names agree on it.

    Args:
        searcher_id: The searcher.
        hosts: Names of the hosts that may check it, sorted.
    """
    return hosts[xxhash.xxh3_64_intdigest(searcher_id.encode()) % len(hosts)]
