"""Starts the attempts of one request, now or when a searcher has room."""

from collections.abc import Callable

import eventlet

from kumquatspur.core.routing import SearcherEntry
from kumquatspur.policy.attempt_queue import WaitingAttempt, expected_wait_s
from kumquatspur.policy.request_plan import AttemptKind, RequestPlan
from kumquatspur.policy.searcher_choice import (
    ChoiceContext,
    choose_with_room,
    searcher_costs,
)
from kumquatspur.wire.attempts import Attempt
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import monotonic_s

# Share of the extra attempts that hedges leave for retries of failed attempts.
HEDGE_RESERVE_SHARE = 0.15


class AttemptStarter:
    """Starts the attempts of one request.

    Attributes:
        state: The state of this host.
        plan: Schedule of the attempts.
        typical_s: Typical latency of the route, in seconds.
        draw: The request's random number in (0, 1] for the limits of searchers.
        may_send: Returns whether the request may still be sent.
        call: Makes an attempt, in a green thread of its own.
        wake: Wakes the request, whose plan has changed.
        attempts: All attempts so far.
        waiting: The attempts that wait for room, by shard.
        without_room: Shards given up because no searcher had room in time.
    """

    def __init__(
        self,
        state: EntryState,
        plan: RequestPlan,
        typical_s: float,
        may_send: Callable[[], bool],
        call: Callable[[Attempt], None],
        wake: Callable[[], None],
    ):
        self.state = state
        self.plan = plan
        self.typical_s = typical_s
        self.draw = 1.0 - state.random.random()
        self.may_send = may_send
        self.call = call
        self.wake = wake
        self.attempts = []
        self.waiting = {}
        self.without_room = []

    def start(self, shard: str, kind: AttemptKind, now: float) -> None:
        """Starts an attempt, or queues it until a searcher has room."""
        if not self.may_send():
            self.plan.record_unavailable(shard, kind, now)
            return
        progress = self.plan.shards[shard]
        entries = [
            entry
            for entry in self.state.reachable_searchers(shard, now)
            if entry.searcher_id not in progress.tried
        ]
        if not entries or self._is_cut_off_and_optional(shard, entries, now):
            self.plan.record_unavailable(shard, kind, now)
            return
        admitted = self._with_room(shard, kind, entries, now)
        if not admitted and kind is not AttemptKind.HEDGE:
            self._queue(shard, kind, entries, now)
            return
        limits = self.state.limits
        entry = limits.first_admitted(
            admitted, self.draw, now, kind is AttemptKind.HEDGE
        )
        # An attempt after others that were never sent is not an extra one.
        extra = progress.arrivals > 0
        if entry is None or (extra and not self._charge(shard, kind, now)):
            self.plan.record_unavailable(shard, kind, now)
            return
        limits.spend(entry.searcher_id, now)
        self.plan.record_start(shard, entry.searcher_id, now)
        attempt = Attempt(shard, entry, kind, now, extra)
        self.attempts.append(attempt)
        self.state.attempt_counts.add(entry.searcher_id, kind)
        self.state.load(entry.searcher_id).in_flight[id(attempt)] = now
        attempt.thread = eventlet.spawn(self.call, attempt)
        # Also called if the thread is killed before it runs.
        attempt.thread.link(self._release, attempt)

    def _is_cut_off_and_optional(
        self, shard: str, entries: list[SearcherEntry], now: float
    ) -> bool:
        """Returns whether to answer without a shard that cannot be reached.

        Probes notice when its zone can be reached again.
        """
        reachable = self.state.zone_health.reachable(entries, now)
        return not reachable and self.plan.may_omit(shard)

    def _with_room(
        self,
        shard: str,
        kind: AttemptKind,
        entries: list[SearcherEntry],
        now: float,
    ) -> list[SearcherEntry]:
        """Returns the searchers that may get an attempt now, best first."""
        state = self.state
        if kind is AttemptKind.HEDGE and state.queues.length(shard):
            return []
        context = ChoiceContext(
            state.settings.zone,
            self.typical_s,
            now,
            state.random.random,
            lambda entry: state.warmup_left_share(entry, now),
        )
        return choose_with_room(
            searcher_costs(entries, state.load, state.zone_health, context),
            state.has_room,
        )

    def _queue(
        self,
        shard: str,
        kind: AttemptKind,
        entries: list[SearcherEntry],
        now: float,
    ) -> None:
        """Queues an attempt, or gives it up if its turn would come too late."""
        state, plan = self.state, self.plan
        required = not plan.may_omit(shard)
        useful_until = self._useful_until(required, now)
        wait_s = expected_wait_s(
            state.queues.length(shard),
            state.rooms.total(entries),
            self.typical_s,
        )
        if now + wait_s > useful_until:
            self._give_up(shard, kind, now)
            return
        state.counters["attempts_queued"] += 1
        plan.record_waiting(shard)
        waiting = WaitingAttempt(
            shard, required, useful_until, lambda: self._resume(shard, kind)
        )
        self.waiting[shard] = waiting
        state.queues.add(waiting)

    def _useful_until(self, required: bool, now: float) -> float:
        """Returns when an attempt must have started to be of use."""
        plan = self.plan
        answer_at = plan.answer_at if now < plan.answer_at else plan.late_until
        end = plan.deadline if required else min(answer_at, plan.deadline)
        return end - self.typical_s

    def _resume(self, shard: str, kind: AttemptKind) -> None:
        """Starts an attempt whose turn has come, or queues it again."""
        self.state.queues.remove(self.waiting.pop(shard))
        self.plan.record_resumed(shard)
        self.start(shard, kind, monotonic_s())
        self.wake()

    def give_up_late(self, now: float) -> None:
        """Gives up the waiting attempts that are too late to be of use."""
        for shard, waiting in list(self.waiting.items()):
            if waiting.useful_until > now:
                continue
            self.state.queues.remove(waiting)
            if self.plan.may_omit(shard) or waiting.required:
                del self.waiting[shard]
                self.plan.record_resumed(shard)
                self._give_up(shard, AttemptKind.FIRST, now)
                continue
            # Other shards were lost meanwhile, so a late part helps as well.
            waiting.required = True
            waiting.useful_until = self._useful_until(True, now)
            self.state.queues.add(waiting)

    def _give_up(self, shard: str, kind: AttemptKind, now: float) -> None:
        """Closes a shard whose searchers have no room in time."""
        self.state.counters["attempts_without_room"] += 1
        self.without_room.append(shard)
        self.plan.record_unavailable(shard, kind, now)

    def wake_at(self) -> float:
        """Returns when the next waiting attempt is too late."""
        return min(
            (item.useful_until for item in self.waiting.values()),
            default=float("inf"),
        )

    def withdraw(self) -> None:
        """Removes the attempts that still wait."""
        for waiting in self.waiting.values():
            self.state.queues.remove(waiting)
        self.waiting.clear()

    def _charge(self, shard: str, kind: AttemptKind, now: float) -> bool:
        reserve = HEDGE_RESERVE_SHARE if kind is AttemptKind.HEDGE else 0.0
        charged = self.state.extra_attempts.spend(shard, now, reserve)
        self.state.counters[f"{kind}_{'sent' if charged else 'unpaid'}"] += 1
        return charged

    def _release(self, _thread, attempt: Attempt) -> None:
        """Frees the room of an attempt that has ended."""
        load = self.state.load(attempt.entry.searcher_id)
        load.in_flight.pop(id(attempt), None)
        start_waiting(self.state, attempt.shard)


def start_waiting(state: EntryState, service: str) -> None:
    """Starts the waiting attempts of a service for which there is room."""
    if not state.queues.length(service):
        return
    now = monotonic_s()
    entries = state.reachable_searchers(service, now)
    for waiting in state.queues.useful(service, now):
        if not any(state.has_room(entry) for entry in entries):
            return
        waiting.start()
