"""Finds out which searchers are cold, and limits the requests to them.

The sources are searchers' entries in the store, their answers, other hosts, and
health checks. A health check is a request, and needs the credit of one while
its searcher is limited.
"""

import itertools
import math
import time

import eventlet

from kumquatspur.border.exchange_codec import WarmupStatement
from kumquatspur.core.routing import SearcherEntry, SearcherReply, ServiceSpec
from kumquatspur.platform import headers
from kumquatspur.policy.peer_table import Peer
from kumquatspur.policy.searcher_limits import cold_aim_per_s
from kumquatspur.policy.warmups import ECHO_S, WarmupKind, checker_of
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import CallError, TargetPool, monotonic_s

STEP_S = 0.25
# One host checks each searcher that may become cold at this interval.
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 1.0
# A zone that seems cut off for less is not assumed to have restarted searchers.
ZONE_DOWN_S = 0.5
# Interval at which the host that checks a searcher is asked about it.
ASK_INTERVAL_S = 0.5
# Bounds the size of a message while many searchers are cold.
MAX_WARMUPS_REPORTED = 64
# Interval at which the hosts that check searchers are determined.
HOSTS_INTERVAL_S = 2.0


def cold_spec(state: EntryState, service: str) -> ServiceSpec | None:
    """Returns a service's record if its cold searchers are limited."""
    if state.table is None:
        return None
    spec = state.table.config.services.get(service)
    return spec if spec is not None and spec.cold_per_s > 0.0 else None


def observe_entry(
    state: EntryState, entry: SearcherEntry, at: float, is_old: bool = False
) -> None:
    """Records what a searcher's entry in the store shows.

    Args:
        state: The state of this host.
        entry: The entry.
        at: When it was current, in monotonic time.
        is_old: Whether it was known before its service was limited.
    """
    spec = cold_spec(state, entry.service)
    was_cold = state.warmups.is_cold(entry.searcher_id, monotonic_s())
    if state.warmups.observe_entry(entry, spec, at, time.time(), is_old):
        _apply(state, entry, spec, was_cold, "entry")


def observe_reply(
    state: EntryState,
    entry: SearcherEntry,
    reply: SearcherReply,
    source: str = "answer",
) -> None:
    """Records the warm-up time that an answer states.

    Args:
        state: The state of this host.
        entry: The searcher that answered.
        reply: Its answer, which is not one of another process.
        source: Kind of the answer, for the log.
    """
    if reply.invalid_warmup:
        state.counters["invalid_warmups"] += 1
        state.log.write(
            "warmup_invalid",
            True,
            searcher=entry.searcher_id,
            value=reply.invalid_warmup,
        )
    if reply.warmup_left_s is not None:
        _record(state, entry, reply.warmup_left_s, WarmupKind.STATED, source)


def observe_failure(
    state: EntryState, entry: SearcherEntry, error: CallError
) -> None:
    """Assumes that a searcher is cold when it is back after a failed call.

    A request that only waits in vain does not show that the process is gone.
    """
    spec = cold_spec(state, entry.service)
    unreached = error.unresponsive and not error.sent
    if spec is None or not (
        error.refused or error.connection_lost or unreached
    ):
        return
    now = monotonic_s()
    known = state.warmups.by_searcher.get(entry.searcher_id)
    if known and known.is_unchecked(now) and now - known.at < ECHO_S:
        return
    # A host that has lost its links gets refusals as well.
    gone = error.refused and not state.is_cut_off(now)
    kind = WarmupKind.DOWN if gone else WarmupKind.ASSUMED
    _record(state, entry, spec.warmup_s, kind, "failure")


def observe_crash(state: EntryState, entry: SearcherEntry) -> None:
    """Assumes that a searcher is cold when it is back after a crash.

    A call that failed after a part of an answer alone does not show a crash.
    """
    spec = cold_spec(state, entry.service)
    if spec is not None:
        _record(state, entry, spec.warmup_s, WarmupKind.DOWN, "crash")


def assume_zone_cold(state: EntryState, zone: str, source: str) -> None:
    """Assumes that all searchers of a zone are cold when it is back.

    Args:
        state: The state of this host.
        zone: The availability zone.
        source: Why, for the log.
    """
    for entry in list(state.directory.by_id.values()):
        spec = cold_spec(state, entry.service)
        if entry.zone == zone and spec is not None:
            _record(state, entry, spec.warmup_s, WarmupKind.ASSUMED, source)


def statements(state: EntryState, now: float) -> tuple[WarmupStatement, ...]:
    """Returns what other hosts should know of searchers' warm-ups."""
    told = state.warmups.told(now)
    if len(told) > MAX_WARMUPS_REPORTED:
        told = state.random.sample(told, MAX_WARMUPS_REPORTED)
    return tuple(
        WarmupStatement(
            searcher=name,
            left_s=known.left_s,
            kind=known.kind,
            age_s=round(max(0.0, now - known.at), 3),
        )
        for name, known in told
    )


def apply_statements(
    state: EntryState, received: tuple[WarmupStatement, ...], peer: str
) -> None:
    """Applies what another host knows of searchers' warm-ups.

    Args:
        state: The state of this host.
        received: Its statements.
        peer: Its name.
    """
    now = monotonic_s()
    for item in received:
        entry = state.directory.by_id.get(item.searcher)
        if entry is None or cold_spec(state, entry.service) is None:
            continue
        at = now - item.age_s
        if item.kind in (WarmupKind.STATED, WarmupKind.DOWN):
            kind = WarmupKind(item.kind)
            _record(state, entry, item.left_s, kind, f"peer {peer}", at)
        # What another host only assumes does not hold for this one: it may
        # have lost its links.
        if item.kind != WarmupKind.STATED:
            state.warmups.answer_assumption(item.searcher, at, now)


def _record(
    state: EntryState,
    entry: SearcherEntry,
    left_s: float,
    kind: WarmupKind,
    source: str,
    at: float | None = None,
) -> None:
    spec = cold_spec(state, entry.service)
    if spec is None:
        return
    now = monotonic_s()
    was_cold = state.warmups.is_cold(entry.searcher_id, now)
    if state.warmups.record(
        entry.searcher_id,
        left_s,
        now if at is None else at,
        kind,
        spec.warmup_s,
    ):
        _apply(state, entry, spec, was_cold, source)


def _apply(
    state: EntryState,
    entry: SearcherEntry,
    spec: ServiceSpec,
    was_cold: bool,
    source: str,
) -> None:
    """Limits the requests to a searcher by what is now known of it."""
    now = monotonic_s()
    known = state.warmups.by_searcher[entry.searcher_id]
    _set_rate(state, entry.searcher_id, spec, now)
    if known.is_cold(now) == was_cold:
        return
    state.counters["searcher_warmups"] += not was_cold
    state.log.write(
        "searcher_warm" if was_cold else "searcher_cold",
        True,
        searcher=entry.searcher_id,
        service=entry.service,
        left_s=round(max(0.0, known.until - now), 3)
        if known.until > -math.inf
        else 0.0,
        why=known.kind,
        source=source,
        age_s=round(now - known.at, 3),
    )


def _set_rate(
    state: EntryState, searcher_id: str, spec: ServiceSpec | None, now: float
) -> None:
    rate = None
    if spec is not None:
        bounds = state.settings.bounds
        aim_per_s = cold_aim_per_s(
            spec.cold_per_s, bounds.warmup_overrun, bounds.warmup_slack
        )
        rate = state.warmups.cold_rate(searcher_id, aim_per_s, now)
    in_flight = len(state.load(searcher_id).in_flight)
    state.limits.set_cold(searcher_id, rate, now, in_flight)


class WarmupWatch:
    """Checks searchers, and ends their cold rates.

    Attributes:
        state: The state of this host.
        exchange_with: Exchanges state with the host at a peer address.
        pool: Connections for health checks.
    """

    def __init__(self, state: EntryState, exchange_with):
        self.state = state
        self.exchange_with = exchange_with
        self.pool = TargetPool(state.settings.machine.memory_mb)
        self._numbers = itertools.count()
        self._checking = set()
        self._checked_at = {}
        self._zone_down_since = {}
        self._asked_at = -math.inf
        self._limited = frozenset()
        self._hosts = {}
        self._hosts_at = -math.inf

    def run(self) -> None:
        """Runs until the process ends."""
        while not self.state.ended:
            eventlet.sleep(STEP_S)
            with Containment(self.state, "watch_warmups"):
                self._step(monotonic_s())

    def _step(self, now: float) -> None:
        state = self.state
        if state.table is None:
            return
        specs = {
            name: spec
            for name in state.table.services
            if (spec := cold_spec(state, name)) is not None
        }
        if specs.keys() - self._limited:
            for entry in list(state.directory.by_id.values()):
                if (
                    entry.service in specs.keys() - self._limited
                    and entry.searcher_id not in state.warmups.by_searcher
                ):
                    observe_entry(state, entry, now, is_old=True)
        self._limited = frozenset(specs)
        self._refresh_rates(now)
        if not specs:
            return
        self._assume_lost_zones(now)
        if state.stopping:
            return
        if now - self._hosts_at >= HOSTS_INTERVAL_S:
            self._hosts, self._hosts_at = {}, now
        checkers = []
        for service, spec in specs.items():
            for entry in state.directory.usable(service, now):
                checker = self._check_if_due(entry, spec, now)
                if checker is not None:
                    checkers.append(checker)
        if checkers and now - self._asked_at >= ASK_INTERVAL_S:
            self._asked_at = now
            checker = state.random.choice(checkers)
            eventlet.spawn_n(self.exchange_with, checker.address)

    def _refresh_rates(self, now: float) -> None:
        """Ends the rates of searchers that are warm, or no longer limited."""
        state = self.state
        for searcher_id, limit in list(state.limits.by_searcher.items()):
            if limit.cold is None:
                continue
            entry = state.directory.by_id.get(searcher_id)
            spec = cold_spec(state, entry.service) if entry else None
            _set_rate(state, searcher_id, spec, now)
        self.pool.prune(now, state.directory.by_id)
        state.warmups.prune(state.directory.by_id, now)

    def _assume_lost_zones(self, now: float) -> None:
        lost = self.state.zone_health.suspected_zones(now)
        self._zone_down_since = {
            zone: self._zone_down_since.get(zone, now) for zone in lost
        }
        for zone, since in self._zone_down_since.items():
            if now - since >= ZONE_DOWN_S:
                assume_zone_cold(self.state, zone, "zone cut off")

    def _checker(self, entry: SearcherEntry) -> Peer | None:
        """Returns the host that checks a searcher; None for this host."""
        if entry.zone not in self._hosts:
            peers = {
                peer.name if peer else self.state.settings.name: peer
                for peer in self.state.peers.allocators(entry.zone)
            }
            self._hosts[entry.zone] = (sorted(peers), peers)
        names, peers = self._hosts[entry.zone]
        return peers[checker_of(entry.searcher_id, names)]

    def _check_if_due(
        self, entry: SearcherEntry, spec: ServiceSpec, now: float
    ) -> Peer | None:
        """Checks a searcher if it is due.

        Returns:
            The other host that checks it, if this host only assumes that it is
            cold; None otherwise.
        """
        state, name = self.state, entry.searcher_id
        checker = self._checker(entry)
        unchecked = state.warmups.is_unchecked(name, now)
        if checker is not None and not unchecked:
            return None
        due = unchecked or (
            now - self._checked_at.get(name, -math.inf) >= CHECK_INTERVAL_S
        )
        if (
            due
            and spec.health_path
            and name not in self._checking
            and state.load(name).backoff_until <= now
        ):
            draw = 1.0 - state.random.random()
            if state.limits.first_admitted([entry], draw, now) is not None:
                state.limits.spend(name, now)
                self._checked_at[name] = now
                self._checking.add(name)
                eventlet.spawn_n(self._check, entry, spec)
        return checker

    def _check(self, entry: SearcherEntry, spec: ServiceSpec) -> None:
        state, name = self.state, entry.searcher_id
        request_id = f"check-{state.settings.name}-{next(self._numbers)}"
        state.counters["health_checks"] += 1
        try:
            message = self.pool.call(
                name,
                entry.address,
                headers.encode_health_check(
                    spec.health_path, entry.address, name, request_id
                ),
                lambda message: True,
                monotonic_s() + CHECK_TIMEOUT_S,
            )
        except CallError as error:
            if not error.sent:
                state.limits.refund(name)
            state.counters["health_checks_failed"] += 1
            observe_failure(state, entry, error)
            return
        finally:
            self._checking.discard(name)
        if message.status != headers.MISDIRECTED_REQUEST:
            reply = headers.decode_reply(message.status, message.headers, b"")
            observe_reply(state, entry, reply, "health check")
