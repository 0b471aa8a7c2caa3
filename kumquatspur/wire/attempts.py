"""Calls searchers for one request, and observes their answers."""

import dataclasses
import math

import eventlet

from kumquatspur.core.routing import (
    ClientRequest,
    Route,
    SearcherEntry,
    SearcherReply,
)
from kumquatspur.platform import headers
from kumquatspur.policy.hedging import LatencyWindow
from kumquatspur.policy.request_plan import AttemptKind
from kumquatspur.policy.searcher_choice import OpenCall, late_at
from kumquatspur.policy.searcher_pauses import MAX_PAUSE_S
from kumquatspur.wire import warmup_watch
from kumquatspur.wire.crash_detector import CrashDetector
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.http_messages import split_request
from kumquatspur.wire.searcher_pool import (
    NON_REPEATABLE_MAX_IDLE_S,
    CallError,
    TargetPool,
    monotonic_s,
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to get an answer from a searcher.

    Attributes:
        shard: The shard, or the service of a forwarded request.
        entry: The searcher.
        kind: First attempt, hedge or retry.
        started_at: Start time, on the monotonic clock.
        charged: Whether it was charged to the budget of extra attempts.
        result: The response, or the error; None while in flight.
        ended_at: When the result arrived, on the monotonic clock.
        thread: The green thread that makes the call.
        is_whole: Whether the response is known to be whole.
    """

    shard: str
    entry: SearcherEntry
    kind: AttemptKind
    started_at: float
    charged: bool = False
    result: SearcherReply | CallError | None = None
    ended_at: float = 0.0
    thread: object = None
    is_whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallTiming:
    """Times that the calls of one request depend on, in seconds.

    Attributes:
        deadline: When the calls end, on the monotonic clock.
        typical_s: Typical latency of the route.
        late_latency_s: A high quantile of the latency of the route.
    """

    deadline: float
    typical_s: float
    late_latency_s: float


class AttemptCaller:
    """Calls searchers for one request.

    Attributes:
        state: The state of this host.
        pool: Connections to searchers.
        crash_detector: Detects requests that crash searchers.
        request: The client's request.
        route: Its route.
        window: Recent latencies of the route.
        timing: Times that the calls depend on.
        request_parts: The encoded request, to be joined by the headers that
            are added for a searcher.
    """

    def __init__(
        self,
        state: EntryState,
        pool: TargetPool,
        crash_detector: CrashDetector,
        request: ClientRequest,
        route: Route,
        timing: CallTiming,
    ):
        self.state = state
        self.pool = pool
        self.crash_detector = crash_detector
        self.request = request
        self.route = route
        self.window: LatencyWindow = state.latency_window(route.name)
        self.timing = timing
        self.request_parts = split_request(request)

    def replace_request(self, request: ClientRequest) -> None:
        """Replaces the request, whose account may have changed."""
        self.request = request
        self.request_parts = split_request(request)

    def call(self, attempt: Attempt) -> None:
        """Makes an attempt and records its result.

        Args:
            attempt: The attempt; its result and end are set.
        """
        entry = attempt.entry
        load = self.state.load(entry.searcher_id)
        key = id(attempt)
        started_at = attempt.started_at
        self.state.open_calls[key] = OpenCall(
            entry.searcher_id,
            entry.zone,
            started_at,
            late_at(started_at, self.timing.late_latency_s),
        )
        if self.route.repeatable:
            self.state.call_threads[key] = eventlet.getcurrent()
        try:
            if entry.zone in self.state.evacuations.active:
                raise CallError(f"zone {entry.zone} is evacuated", sent=False)
            message = self.pool.call(
                entry.searcher_id,
                entry.address,
                b"".join(
                    (
                        self.request_parts[0],
                        headers.encode_searcher_headers(
                            entry.searcher_id,
                            self.timing.deadline - monotonic_s(),
                            self.request.account_name(),
                        ),
                        self.request_parts[1],
                    )
                ),
                self._matches_request,
                self.timing.deadline,
                self.request.method == "HEAD",
                math.inf
                if self.route.repeatable
                else NON_REPEATABLE_MAX_IDLE_S,
            )
            attempt.result = headers.decode_reply(
                message.status,
                # A merged answer has none of the searchers' headers.
                message.headers
                if self.route.shards
                else message.end_to_end_headers(),
                message.body(),
            )
            attempt.is_whole = not message.ended_by_close
        except CallError as error:
            attempt.result = error
        finally:
            load.in_flight.pop(key, None)
            self.state.open_calls.pop(key, None)
            self.state.call_threads.pop(key, None)
            if attempt.result is None:
                self._observe_abandoned(attempt, load)
        attempt.ended_at = monotonic_s()
        self._observe(attempt, load)

    def _matches_request(self, message) -> bool:
        value = message.header(headers.REQUEST_ID)
        if value is None:
            # All requests on a connection name the same searcher, so a
            # misdirected reply without identifier applies to this one too.
            return message.status == headers.MISDIRECTED_REQUEST
        return value.decode("latin-1") == self.request.request_id

    def _observe(self, attempt: Attempt, load) -> None:
        """Updates load, zone and crash state from the result of an attempt."""
        entry, result, now = attempt.entry, attempt.result, attempt.ended_at
        if isinstance(result, CallError):
            reached = result.sent and not result.unresponsive
            record = load.record_error if reached else load.record_unreachable
            record(now)
            warmup_watch.observe_failure(self.state, entry, result)
            if result.connection_lost or result.response_cut:
                self.crash_detector.record_broken_connection(
                    self.request, self.route.name, entry
                )
            if result.unresponsive:
                self.state.zone_health.record_unresponsive(
                    entry.zone, entry.searcher_id, now
                )
            return
        self.state.zone_health.record_response(entry.zone, now)
        if result.load is not None:
            load.record_load(result.load, now)
        self.state.rooms.record_report(
            entry,
            result.load,
            len(load.in_flight),
            self.state.max_connections(entry.service),
            now,
        )
        if result.status == headers.MISDIRECTED_REQUEST:
            load.record_unreachable(now)
            return
        self._observe_wishes(entry, result, now)
        self._observe_limit(entry, result, now)
        warmup_watch.observe_reply(self.state, entry, result)
        if result.status >= 500 or result.not_executed:
            load.record_error(now)
        if 200 <= result.status < 300:
            seconds = now - attempt.started_at
            self.window.add(seconds)
            load.record_latency(seconds / self.timing.typical_s, now)
            if attempt.is_whole and result.signature:
                self.crash_detector.record_run(
                    self.request, self.route.name, entry
                )

    def _observe_wishes(
        self, entry: SearcherEntry, result: SearcherReply, now: float
    ) -> None:
        """Records that a searcher is leaving, or wants a pause."""
        state = self.state
        if result.leaving and state.directory.record_leaving(
            entry.searcher_id, entry.started_unix_ms, now
        ):
            state.counters["searchers_leaving"] += 1
            state.log.write(
                "searcher_leaving",
                True,
                searcher=entry.searcher_id,
                service=entry.service,
                source="answer",
                left=len(state.directory.usable(entry.service, now)),
            )
        if result.pause_s is None:
            return
        grown_s = state.pauses.record(entry.searcher_id, result.pause_s, now)
        if grown_s:
            state.counters["searcher_pauses"] += 1
            state.log.write(
                "searcher_pause",
                searcher=entry.searcher_id,
                service=entry.service,
                asked_s=result.pause_s,
                limit_s=MAX_PAUSE_S,
                grown_s=round(grown_s, 3),
            )

    def _observe_limit(
        self, entry: SearcherEntry, result: SearcherReply, now: float
    ) -> None:
        """Records the limit that a searcher names, or that it names none."""
        if result.limit_per_s is None and not result.signature:
            # A rejection or a damaged answer does not show that a limit ended.
            return
        limits = self.state.limits
        if not limits.record(entry.searcher_id, result.limit_per_s, now):
            return
        self.state.counters["searcher_limits"] += 1
        self.state.log.write(
            "searcher_limit",
            True,
            searcher=entry.searcher_id,
            service=entry.service,
            per_s=result.limit_per_s,
            attempts_before=self.state.attempt_counts.previous_total(
                entry.searcher_id
            ),
        )

    def _observe_abandoned(self, attempt: Attempt, load) -> None:
        """Records the latency so far of an attempt that was given up."""
        now = monotonic_s()
        ratio = (now - attempt.started_at) / self.timing.typical_s
        if ratio > load.current_slowness(now):
            load.record_latency(ratio, now)


def is_usual(attempt: Attempt, hedge_delay_s: float) -> bool:
    """Returns whether an attempt needs no line in the log.

    These are first attempts that succeeded before they would have been hedged.

    Args:
        attempt: The attempt.
        hedge_delay_s: The hedge delay of its request, in seconds.
    """
    result = attempt.result
    return (
        attempt.kind is AttemptKind.FIRST
        and isinstance(result, SearcherReply)
        and result.status == 200
        and attempt.ended_at - attempt.started_at <= hedge_delay_s
    )


def describe(attempt: Attempt, received_at: float) -> list:
    """Returns an attempt as it stands in the log.

    Args:
        attempt: The attempt.
        received_at: When the request was read, on the monotonic clock.

    Returns:
        Kind, searcher, its zone, start after `received_at` and duration in
        milliseconds, and the outcome.
    """
    result = attempt.result
    outcome = "open"
    if isinstance(result, CallError):
        outcome = str(result)
    elif result is not None:
        outcome = result.status
    took = (
        attempt.ended_at - attempt.started_at if attempt.ended_at else math.nan
    )
    return [
        attempt.kind,
        attempt.entry.searcher_id,
        attempt.entry.zone,
        round((attempt.started_at - received_at) * 1000, 1),
        None if math.isnan(took) else round(took * 1000, 1),
        outcome,
    ]
