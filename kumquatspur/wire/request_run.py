"""One client request: its attempts at searchers, and the answer from them."""

import math

import eventlet
import eventlet.semaphore

from kumquatspur.core import verdict as verdicts
from kumquatspur.core.reason import Reason
from kumquatspur.core.routing import (
    ClientReply,
    ClientRequest,
    Route,
    SearcherReply,
)
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.request_plan import (
    PlanOutcome,
    RequestPlan,
    SentBefore,
    hedge_delay_s,
)
from kumquatspur.policy.route_table import RouteTable
from kumquatspur.policy.searcher_pauses import servable_at
from kumquatspur.wire.attempt_starter import AttemptStarter
from kumquatspur.wire.attempts import (
    Attempt,
    AttemptCaller,
    CallTiming,
    describe,
    is_usual,
)
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import contact_age_s
from kumquatspur.wire.error_replies import error_reply
from kumquatspur.wire.key_check import check_key
from kumquatspur.wire.searcher_pool import (
    CallError,
    monotonic_s,
)
from kumquatspur.wire.searcher_replies import answer_reply, failure_reply

# An attempt that takes longer than this quantile of the latency is hedged.
HEDGE_QUANTILE = 0.9
TYPICAL_QUANTILE = 0.5
LONGEST_QUANTILE = 0.99
# Assumed typical latency, as a share of the target, until latencies are known.
DEFAULT_TYPICAL_SHARE = 0.2
# How long an attempt may continue after the request was answered, so that its
# connection can be kept.
SURPLUS_ATTEMPT_TIMEOUT_S = 0.3
DEFAULT_TIME_LEFT_S = 60.0
MIN_WAIT_S = 0.0005
# A request in flight notices within this time that the host stops.
MAX_WAIT_S = 1.0


class RequestRun:
    """One request in flight.

    Attributes:
        forwarder: The `Forwarder` that serves it.
        state: The state of this host.
        request: The client's request.
        route: Its route.
        may_reroute: Whether it may be given to another host.
        sent_before: What the host that rerouted it has done with it.
        table: Routes and keys with which its key was last checked.
        key_removed: Whether its key was removed while it was in flight.
        version: Version of the configuration that routed it.
        plan: Schedule of its attempts.
        caller: Calls the searchers.
        starter: Starts its attempts.
        parts: The accepted responses by shard.
        failure: The last failure that a searcher answered with; None if none.
        finished: Whether the outcome is decided or the client has left.
    """

    def __init__(
        self,
        forwarder,
        request: ClientRequest,
        route: Route,
        shards: tuple[str, ...],
        may_reroute: bool,
        table: RouteTable,
        sent_before: SentBefore = SentBefore.UNKNOWN,
    ):
        self.forwarder = forwarder
        self.may_reroute = may_reroute
        self.state = forwarder.state
        self.request = request
        self.route = route
        self.table = table
        self.key_removed = False
        self.version = table.config.version
        self.window = self.state.latency_window(route.name)
        time_left = request.time_left_s or DEFAULT_TIME_LEFT_S
        self.deadline = request.received_at + min(time_left, route.timeout_s)
        late_latency_s = self.window.quantile(HEDGE_QUANTILE)
        self.plan = RequestPlan(
            route,
            shards,
            request.received_at,
            self.deadline,
            hedge_delay_s(route.target_latency_s, late_latency_s),
            request.lead_s,
            self.state.answer_margin.margin_s(route.target_latency_s),
        )
        self.late_latency_s = late_latency_s or self.plan.hedge_delay_s
        typical = self.window.quantile(TYPICAL_QUANTILE)
        self.typical_s = typical or (
            route.target_latency_s * DEFAULT_TYPICAL_SHARE
        )
        self.caller = AttemptCaller(
            self.state,
            forwarder.pool,
            forwarder.crash_detector,
            request,
            route,
            CallTiming(self.deadline, self.typical_s, self.late_latency_s),
        )
        self.wake = eventlet.semaphore.Semaphore(0)
        self.starter = AttemptStarter(
            self.state,
            self.plan,
            self.typical_s,
            self._has_valid_key,
            self._call,
            self.wake.release,
        )
        self.sent_before = sent_before
        if sent_before is SentBefore.ARRIVED:
            self.plan.record_earlier_arrivals()
        self.finished = False
        self.parts = {}
        self.failure = None

    def run(self) -> ClientReply:
        """Returns the answer."""
        now = monotonic_s()
        state = self.state
        if state.answer_by - now < self._needed_s():
            return self.forwarder.refuse(
                self.request, self.route, 503, Reason.LEAVING
            )
        resume_times = [
            state.resume_at(shard, now, self.starter.draw)
            for shard in self.plan.shards
        ]
        if resume_times.count(now) < self.plan.needed:
            attempts = self.route.max_attempts
            rerouted = self._reroute(attempts)
            return rerouted or self._refuse_unservable(resume_times, now)
        state.outages.record_servable(self.route.name)
        if self.sent_before is SentBefore.UNKNOWN:
            for shard in self.plan.shards:
                self.state.extra_attempts.record_request(shard, now)
            self.sent_before = SentBefore.COUNTED
        scattered = len(self.route.shards)
        self.state.scattered_shards += scattered
        try:
            outcome = self._wait()
            self.finished = True
        finally:
            self.state.scattered_shards -= scattered
            self._stop_attempts()
            if not self.finished:
                self.finished = True
                self._log_client_disconnect()
        if outcome is PlanOutcome.FAIL:
            if self.key_removed and self._combined_verdict() is Verdict.NOT_RUN:
                return self.forwarder.refuse(
                    self.request, self.route, 401, Reason.UNKNOWN_KEY
                )
            rerouted = self._reroute(self._attempts_left())
            if rerouted is not None:
                return rerouted
        reply = self._reply(outcome)
        self._log(outcome, reply)
        return reply

    def _needed_s(self) -> float:
        """Returns how long this host must still run to take the request.

        A request that must not be repeated is lost for its client if it is
        still at work when the host stops, so it is taken only if it almost
        certainly is not.
        """
        if self.route.repeatable:
            return self.late_latency_s
        longest_s = self.window.quantile(LONGEST_QUANTILE) or 0.0
        return max(longest_s, self.late_latency_s, self.route.target_latency_s)

    def _reroute(self, attempts: int) -> ClientReply | None:
        """Returns another host's answer if this host lacks searchers.

        Args:
            attempts: Attempts that the other host may make for each shard.
        """
        shards = tuple(self.plan.shards)
        now = monotonic_s()
        if (
            not self.may_reroute
            or attempts <= 0
            or now >= self.plan.deadline
            or not self._has_valid_key()
            or not self.state.lacks_searchers(self.route, shards, now)
        ):
            return None
        sent_before = self.sent_before
        if any(p.arrivals for p in self.plan.shards.values()):
            sent_before = SentBefore.ARRIVED
        return self.forwarder.delegator.try_reroute(
            self.request, self.route, shards, attempts, sent_before
        )

    def _attempts_left(self) -> int:
        """Returns how many attempts another host may make for each shard."""
        never_sent = all(
            isinstance(attempt.result, CallError) and not attempt.result.sent
            for attempt in self.starter.attempts
        )
        if not self.route.repeatable and not never_sent:
            return 0
        made = max(p.sent_attempts for p in self.plan.shards.values())
        return self.route.max_attempts - made

    def _refuse_unservable(
        self, resume_times: list[float | None], now: float
    ) -> ClientReply:
        """Rejects a request for which too few shards have a searcher.

        Args:
            resume_times: For each shard, when it can be searched again; None if
                it has no searcher that can be reached.
            now: The current time of the monotonic clock, in seconds.
        """
        state = self.state
        lost = [
            entry
            for shard, at in zip(self.plan.shards, resume_times, strict=True)
            if at != now
            for entry in state.directory.usable(shard, now)
        ]
        state.limits.record_rejected(lost, now)
        reason = Reason.NO_REPLICA
        if any(e.searcher_id in state.limits.by_searcher for e in lost):
            reason = Reason.SEARCHERS_LIMITED
        if any(state.pauses.is_paused(e.searcher_id, now) for e in lost):
            reason = Reason.SEARCHERS_PAUSED
        at = servable_at(resume_times, self.plan.needed)
        outage_left_s = state.outages.record_rejection(self.route.name, now)
        if at is None and self._evacuated_shards():
            reason = Reason.ZONE_EVACUATED
        return self.forwarder.refuse(
            self.request,
            self.route,
            503,
            reason,
            outage_left_s if at is None else at - now,
        )

    def _evacuated_shards(self) -> list[str]:
        """Returns the missing shards whose searchers are all evacuated."""
        if not self.state.evacuations.active:
            return []
        is_evacuated = self.state.directory.is_evacuated
        return [
            shard
            for shard in self.plan.shards
            if shard not in self.parts and is_evacuated(shard)
        ]

    def _pause_left_s(self, now: float) -> float:
        """Returns when enough shards take work again, in seconds from now.

        It is 0 if they do so now, or if too few of them have a searcher.
        """
        at = servable_at(
            (
                self.state.resume_at(shard, now, self.starter.draw)
                for shard in self.plan.shards
            ),
            self.plan.needed,
        )
        return 0.0 if at is None else at - now

    def _wait(self) -> PlanOutcome:
        wake_at = math.inf
        while True:
            now = monotonic_s()
            if wake_at == self.plan.answer_at and now >= wake_at:
                self.state.answer_margin.record_delay(now - wake_at)
            # A stop may begin while the request is in flight.
            self.plan.deadline = min(self.plan.deadline, self.state.answer_by)
            for shard, kind in self.plan.due_attempts(now):
                self.starter.start(shard, kind, now)
            self.starter.give_up_late(now)
            outcome = self.plan.outcome(now)
            if outcome is not None:
                return outcome
            wake_at = min(self.plan.wake_at(now), self.starter.wake_at())
            wait = max(MIN_WAIT_S, wake_at - now)
            self.wake.acquire(timeout=min(wait, MAX_WAIT_S))

    def _has_valid_key(self) -> bool:
        """Returns whether the request may still be sent.

        A newer configuration may have removed its key.
        """
        table = self.state.table
        if table is not self.table:
            self.table = table
            request = self.request
            route = table.find(request.host, request.path) or self.route
            checked = check_key(table, request, route)
            if checked is None:
                self.key_removed = True
            else:
                self.request = checked
                self.caller.replace_request(checked)
        return not self.key_removed

    def _call(self, attempt: Attempt) -> None:
        with Containment(
            self.state,
            "call_searcher",
            searcher=attempt.entry.searcher_id,
            request_id=self.request.request_id,
        ) as containment:
            self.caller.call(attempt)
        if containment.failed and attempt.result is None:
            attempt.result = CallError("internal error")
            attempt.ended_at = monotonic_s()
        if not self.finished:
            self._handle_result(attempt)

    def _handle_result(self, attempt: Attempt) -> None:
        """Updates the plan from the result of an attempt.

        The request's green thread is woken only if it has something to do. Most
        results of a scattered request change nothing else.
        """
        answered = self.plan.answered
        self._record_result(attempt)
        plan = self.plan
        if (
            plan.answered == answered
            or plan.answered == plan.needed
            or plan.outcome(attempt.ended_at) is not None
        ):
            self.wake.release()

    def _record_result(self, attempt: Attempt) -> None:
        result, shard = attempt.result, attempt.shard
        if isinstance(result, CallError):
            if not result.sent:
                self._refund(attempt)
            # An attempt at a searcher that is cut off leaves the route's limit
            # to others, as one that was not sent.
            counts = result.sent and not result.cut_off
            self.plan.record_failure(shard, result.verdict, counts, result.sent)
            return
        if result.not_executed:
            self.plan.record_failure(shard, Verdict.NOT_RUN, True)
            return
        if self._is_answer(result):
            if self.plan.record_result(shard):
                self.parts[shard] = result
            return
        self.failure = result
        self.plan.record_failure(shard, Verdict.RAN, True)

    def _refund(self, attempt: Attempt) -> None:
        """Returns what an attempt that reached no searcher was charged."""
        self.state.limits.refund(attempt.entry.searcher_id)
        if attempt.charged:
            self.state.extra_attempts.refund(attempt.shard, attempt.started_at)

    def _is_answer(self, result: SearcherReply) -> bool:
        if not result.signature or result.has_content_encoding:
            return False
        if self.route.shards:
            return result.status == 200 and "," not in result.signature
        return result.status < 500

    def _stop_attempts(self) -> None:
        self.starter.withdraw()
        for attempt in self.starter.attempts:
            if attempt.result is not None:
                continue
            if self.finished:
                eventlet.spawn_after(
                    SURPLUS_ATTEMPT_TIMEOUT_S, attempt.thread.kill
                )
            else:
                attempt.thread.kill()

    def _reply(self, outcome: PlanOutcome) -> ClientReply:
        if outcome is PlanOutcome.ANSWER:
            missing = len(self.plan.shards) - len(self.parts)
            return answer_reply(self.route, list(self.parts.values()), missing)
        now = monotonic_s()
        if self._combined_verdict() is Verdict.NOT_RUN:
            wait_s = self.forwarder.retry_after_s(self._pause_left_s(now))
            return error_reply(503, Reason.OVERLOADED, wait_s)
        failure = self.failure if not self.route.shards else None
        return failure_reply(failure, now >= self.plan.deadline)

    def _combined_verdict(self) -> Verdict:
        return verdicts.combine(self.plan.verdicts())

    def _log_client_disconnect(self) -> None:
        self.state.log.write(
            "client_left",
            request_id=self.request.request_id,
            account=self.request.account_name(),
            route=self.route.name,
            config=self.version,
            ms=round((monotonic_s() - self.request.received_at) * 1000, 1),
            in_flight=sum(a.result is None for a in self.starter.attempts),
        )

    def _log(self, outcome: PlanOutcome, reply: ClientReply) -> None:
        now = monotonic_s()
        elapsed = now - self.request.received_at
        counters = self.state.counters
        counters[f"answered_{reply.status}"] += 1
        if outcome is PlanOutcome.ANSWER:
            self.state.record_answer(self.route.name, elapsed)
        self.state.log.write(
            "answered",
            request_id=self.request.request_id,
            account=self.request.account_name(),
            route=self.route.name,
            config=self.version,
            searchers_age_s=contact_age_s(self.state),
            status=reply.status,
            outcome=outcome,
            ms=round(elapsed * 1000, 1),
            hedge_ms=round(self.plan.hedge_delay_s * 1000, 1),
            target_ms=round(self.route.target_latency_s * 1000),
            parts=f"{len(self.parts)}/{len(self.plan.shards)}",
            missing=[s for s in self.plan.shards if s not in self.parts],
            evacuated=self._evacuated_shards(),
            without_room=self.starter.without_room,
            attempts=[
                describe(attempt, self.request.received_at)
                for attempt in self.starter.attempts
                if not is_usual(attempt, self.plan.hedge_delay_s)
            ],
        )
