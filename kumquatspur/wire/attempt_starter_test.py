import types
import unittest

import eventlet

from kumquatspur.core.records import Address
from kumquatspur.core.routing import (
    LoadReport,
    Route,
    SearcherEntry,
    SearcherState,
)
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.request_plan import (
    AttemptKind,
    PlanOutcome,
    RequestPlan,
)
from kumquatspur.wire.attempt_starter import AttemptStarter
from kumquatspur.wire.attempts import Attempt
from kumquatspur.wire.request_run import RequestRun
from kumquatspur.wire.searcher_pool import monotonic_s
from standins.platform_deployment import new_test_state

SHARDS = ("short", "wide")
TARGET_S = 1.0
TIMEOUT_S = 5.0
TYPICAL_S = 0.01
SLOTS = 4


def searcher(name, shard, zone="z"):
    return SearcherEntry(
        name, shard, Address("10.0.0.1", 1), zone, SLOTS, SearcherState.READY, 0
    )


class AttemptStarterTest(unittest.TestCase):
    """Guards against a shard with one searcher that delays all answers."""

    def setUp(self):
        self.state = new_test_state()
        for entry in (searcher("only", "short"), searcher("other", "wide")):
            self.state.directory.put(entry, 0.0)
        self.calls = []
        self.may_send = True

    def new_starter(self, ratio=0.5, target_s=TARGET_S):
        route = Route(
            "r", "h", "/", True, TIMEOUT_S, target_s, 2, 1,
            shards=SHARDS, min_shard_ratio=ratio,
        )  # fmt: skip
        now = monotonic_s()
        plan = RequestPlan(route, SHARDS, now, now + TIMEOUT_S, TIMEOUT_S)
        return AttemptStarter(
            self.state,
            plan,
            TYPICAL_S,
            lambda: self.may_send,
            self.call,
            lambda: None,
        )

    def call(self, attempt):
        ended = eventlet.event.Event()
        self.calls.append((attempt, ended))
        ended.wait()

    def start(self, starter):
        now = monotonic_s()
        for shard, kind in starter.plan.due_attempts(now):
            starter.start(shard, kind, now)
        eventlet.sleep(0)

    def asked(self, shard="short"):
        return sum(attempt.shard == shard for attempt, _ in self.calls)

    def end_one(self, shard="short"):
        for attempt, ended in self.calls:
            if attempt.shard == shard and not ended.ready():
                ended.send()
                break
        eventlet.sleep(0.001)

    def test_attempts_beyond_the_room_wait_until_one_ends(self):
        starters = [self.new_starter() for _ in range(SLOTS + 3)]
        for starter in starters:
            self.start(starter)
        self.assertEqual(self.asked(), SLOTS)
        self.assertEqual(self.state.queues.length("short"), 3)
        self.end_one()
        self.assertEqual(self.asked(), SLOTS + 1)
        self.assertEqual(self.state.queues.length("short"), 2)

    def test_required_part_goes_first(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        self.start(self.new_starter())
        required = self.new_starter(ratio=1.0)
        self.start(required)
        self.end_one()
        self.assertEqual([a.shard for a in required.attempts], ["short"])

    def test_attempt_that_would_wait_too_long_is_left_out_at_once(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        hurried = self.new_starter(target_s=TYPICAL_S)
        self.start(hurried)
        self.assertEqual(self.state.queues.length("short"), 0)
        hurried.plan.record_result("wide")
        self.assertIs(hurried.plan.outcome(monotonic_s()), PlanOutcome.ANSWER)

    def test_attempt_that_has_waited_too_long_is_given_up(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        starter = self.new_starter()
        self.start(starter)
        starter.give_up_late(starter.wake_at())
        self.assertEqual(self.state.queues.length("short"), 0)
        self.assertTrue(starter.plan.shards["short"].closed)

    def test_part_that_has_become_required_waits_until_the_deadline(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        starter = self.new_starter()
        self.start(starter)
        starter.plan.needed = 2
        late_at = starter.wake_at()
        starter.give_up_late(late_at)
        self.assertEqual(self.state.queues.length("short"), 1)
        self.assertGreater(starter.wake_at(), late_at)

    def test_withdrawn_attempts_leave_the_queue(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        starter = self.new_starter()
        self.start(starter)
        starter.withdraw()
        self.assertEqual(self.state.queues.by_service, {})

    def test_room_is_freed_if_a_call_is_killed_before_it_runs(self):
        starter = self.new_starter()
        now = monotonic_s()
        for shard, kind in starter.plan.due_attempts(now):
            starter.start(shard, kind, now)
        for attempt in starter.attempts:
            attempt.thread.kill()
        self.assertFalse(self.state.load("only").in_flight)

    def test_waiting_attempt_is_not_sent_once_the_key_is_removed(self):
        for _ in range(SLOTS):
            self.start(self.new_starter())
        starter = self.new_starter()
        self.start(starter)
        self.may_send = False
        self.end_one()
        self.assertEqual(self.asked(), SLOTS)
        self.assertTrue(starter.plan.shards["short"].closed)

    def test_shard_of_a_cut_off_zone_is_left_out_if_it_may_be(self):
        now = monotonic_s()
        self.state.directory.put(searcher("far", "wide", "cut"), now)
        self.state.directory.remove("other", now)
        for name in ("far", "further"):
            self.state.zone_health.record_unresponsive("cut", name, now)
        starter = self.new_starter()
        self.start(starter)
        self.assertEqual(self.asked("wide"), 0)
        required = self.new_starter(ratio=1.0)
        self.start(required)
        self.assertEqual(self.asked("wide"), 1)

    def count_extras(self, shard):
        steps = self.state.extra_attempts.steps.get(shard, ())
        return sum(counts.extras for _, counts in steps)

    def test_retry_of_an_attempt_that_was_cut_off_is_an_extra_attempt(self):
        """It may have arrived before the cut, or in a cut of the way back."""
        self.state.directory.put(searcher("next", "short"), 0.0)
        self.state.extra_attempts.allowance_from = 0.0
        starter = self.new_starter()
        self.start(starter)
        starter.plan.record_failure("short", Verdict.MAY_HAVE_RUN, False)
        self.start(starter)
        self.assertEqual(self.asked(), 2)
        self.assertEqual(self.count_extras("short"), 1)

    def test_attempt_after_one_that_was_never_sent_is_no_extra_attempt(self):
        self.state.directory.put(searcher("next", "short"), 0.0)
        starter = self.new_starter()
        self.start(starter)
        starter.plan.record_failure("short", Verdict.NOT_RUN, False, False)
        self.start(starter)
        self.assertEqual(self.asked(), 2)
        self.assertEqual(self.count_extras("short"), 0)

    def test_late_refund_leaves_no_room_when_the_attempt_has_left(self):
        """A host that was frozen learns late that an attempt was not sent."""
        budget = self.state.extra_attempts
        budget.allowance_from = 0.0
        ended_at = 1.0 + budget.window_s - 2.0
        budget.spend("short", 1.0)
        attempt = Attempt(
            "short", searcher("only", "short"), AttemptKind.HEDGE, 1.0, True
        )
        attempt.ended_at = ended_at
        budget.record_request("short", ended_at)
        run = types.SimpleNamespace(state=self.state)
        RequestRun._refund(run, attempt)
        later = 1.0 + budget.window_s + 1.0
        budget.record_request("other", later)
        self.assertAlmostEqual(
            budget.available("short", later) - budget.available("other", later),
            0.0,
        )

    def test_long_queue_at_the_searcher_reduces_what_is_sent(self):
        entry = searcher("only", "short")
        report = LoadReport(SLOTS, 4 * SLOTS, SLOTS)
        self.state.rooms.record_report(entry, report, 3, 40, 1.0)
        for _ in range(SLOTS):
            self.start(self.new_starter())
        self.assertEqual(self.asked(), 3)


if __name__ == "__main__":
    unittest.main()
