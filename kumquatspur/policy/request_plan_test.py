import random
import unittest

from kumquatspur.core.routing import Route
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy.request_plan import (
    AttemptKind,
    PlanOutcome,
    RequestPlan,
    hedge_delay_s,
)

SHARDS = tuple(f"s{number}" for number in range(10))
TARGET_S = 0.1
TIMEOUT_S = 0.6
HEDGE_S = 0.03


def route(shards=SHARDS, repeatable=True, ratio=0.89, attempts=2):
    return Route(
        "r", "h", "/", repeatable, TIMEOUT_S, TARGET_S, attempts, 1,
        shards=shards, result_limit=5, min_shard_ratio=ratio,
    )  # fmt: skip


class RequestPlanTest(unittest.TestCase):
    def new_plan(self, shards=SHARDS, **options):
        chosen = route(shards if len(shards) > 1 else (), **options)
        return RequestPlan(chosen, shards, 0.0, TIMEOUT_S, HEDGE_S)

    def start_all(self, plan, now=0.0):
        for shard, kind in plan.due_attempts(now):
            plan.record_start(shard, f"{shard}-{kind}", now)

    def test_all_shards_are_asked_at_once(self):
        plan = self.new_plan()
        self.assertEqual(
            plan.due_attempts(0.0),
            [(shard, AttemptKind.FIRST) for shard in SHARDS],
        )

    def test_shard_that_waits_for_room_is_open_and_not_asked_again(self):
        plan = self.new_plan()
        plan.record_waiting("s0")
        due = [shard for shard, _ in plan.due_attempts(0.0)]
        self.assertEqual(due, list(SHARDS[1:]))
        self.assertEqual(plan.open_count, len(SHARDS))
        plan.record_resumed("s0")
        self.assertIn(("s0", AttemptKind.FIRST), plan.due_attempts(0.0))

    def test_only_so_many_shards_may_be_omitted(self):
        plan = self.new_plan()
        self.assertTrue(plan.may_omit("s0"))
        plan.record_unavailable("s1", AttemptKind.FIRST, 0.0)
        self.assertFalse(plan.may_omit("s0"))
        # A shard that is lost already makes no difference.
        self.assertTrue(plan.may_omit("s1"))

    def test_complete_answer_is_sent_at_once(self):
        plan = self.new_plan()
        self.start_all(plan)
        for shard in SHARDS:
            self.assertIsNone(plan.outcome(0.01))
            plan.record_result(shard)
        self.assertIs(plan.outcome(0.01), PlanOutcome.ANSWER)

    def test_paused_shard_is_asked_again_after_the_delay(self):
        plan = self.new_plan()
        self.start_all(plan)
        for shard in SHARDS[1:]:
            plan.record_result(shard)
        self.assertEqual(plan.due_attempts(HEDGE_S / 2), [])
        self.assertEqual(plan.wake_at(0.01), HEDGE_S)
        self.assertEqual(
            plan.due_attempts(HEDGE_S), [("s0", AttemptKind.HEDGE)]
        )

    def test_needed_shard_is_hedged_sooner_after_another_failed(self):
        """One shard has no reachable replica, and others are on slow hosts."""
        plan = self.new_plan()
        self.start_all(plan)
        plan.record_failure("s0", Verdict.NOT_RUN, False)
        plan.record_unavailable("s0", AttemptKind.RETRY, 0.002)
        for shard in SHARDS[2:]:
            plan.record_result(shard)
        self.assertEqual(plan.wake_at(0.002), HEDGE_S / 2)
        self.assertEqual(
            plan.due_attempts(HEDGE_S / 2), [("s1", AttemptKind.HEDGE)]
        )
        plan.record_start("s1", "second", HEDGE_S / 2)
        self.assertEqual(plan.due_attempts(HEDGE_S), [])

    def test_hedge_delay_is_unchanged_while_more_shards_may_be_missing(self):
        plan = self.new_plan(ratio=0.5)
        self.start_all(plan)
        plan.record_failure("s0", Verdict.NOT_RUN, False)
        plan.record_unavailable("s0", AttemptKind.RETRY, 0.002)
        self.assertEqual(plan.due_attempts(HEDGE_S / 2), [])

    def test_answer_is_sent_in_time_without_a_late_shard(self):
        plan = self.new_plan()
        self.start_all(plan)
        for shard in SHARDS[1:]:
            plan.record_result(shard)
        self.assertIsNone(plan.outcome(plan.answer_at - 0.001))
        self.assertIs(plan.outcome(plan.answer_at), PlanOutcome.ANSWER)
        self.assertLess(plan.answer_at, TARGET_S)

    def test_answer_leaves_in_time_for_its_way_to_the_client(self):
        plan = RequestPlan(
            route(), SHARDS, 0.0, TIMEOUT_S, HEDGE_S, lead_s=0.02
        )
        self.assertAlmostEqual(plan.target_at, TARGET_S - 0.02)
        self.assertLess(plan.answer_at, plan.target_at)

    def test_answer_that_is_late_anyway_waits_for_all_shards(self):
        """A retry whose earlier attempt has used up the target latency."""
        plan = RequestPlan(
            route(), SHARDS, 0.0, TIMEOUT_S, HEDGE_S, lead_s=2 * TARGET_S
        )
        self.start_all(plan)
        for shard in SHARDS[1:]:
            plan.record_result(shard)
        self.assertIsNone(plan.outcome(0.01))
        self.assertIs(plan.outcome(plan.late_until), PlanOutcome.ANSWER)

    def test_answer_waits_until_enough_shards_have_arrived(self):
        plan = self.new_plan()
        self.start_all(plan)
        for shard in SHARDS[2:]:
            plan.record_result(shard)
        self.assertIsNone(plan.outcome(plan.answer_at))
        plan.record_result("s1")
        self.assertIs(plan.outcome(plan.answer_at), PlanOutcome.ANSWER)

    def test_late_answer_waits_a_little_for_all_shards(self):
        plan = self.new_plan()
        self.start_all(plan)
        for shard in SHARDS[1:]:
            plan.record_result(shard)
        self.assertIsNone(plan.outcome(TARGET_S + 0.01))
        self.assertIs(plan.outcome(plan.late_until), PlanOutcome.ANSWER)

    def test_request_that_cannot_be_answered_fails_at_once(self):
        plan = self.new_plan(attempts=1)
        self.start_all(plan)
        for shard in SHARDS[:2]:
            plan.record_failure(shard, Verdict.MAY_HAVE_RUN, True)
        self.assertIs(plan.outcome(0.01), PlanOutcome.FAIL)

    def test_failed_attempt_is_repeated_within_the_limit(self):
        plan = self.new_plan()
        self.start_all(plan)
        plan.record_failure("s0", Verdict.MAY_HAVE_RUN, True)
        self.assertEqual(plan.due_attempts(0.01), [("s0", AttemptKind.RETRY)])
        plan.record_start("s0", "other", 0.01)
        plan.record_failure("s0", Verdict.MAY_HAVE_RUN, True)
        self.assertEqual(plan.due_attempts(0.02), [])

    def test_attempt_that_was_never_sent_is_not_counted(self):
        plan = self.new_plan(attempts=1)
        self.start_all(plan)
        plan.record_failure("s0", Verdict.NOT_RUN, False)
        self.assertEqual(plan.due_attempts(0.01), [("s0", AttemptKind.RETRY)])

    def test_request_that_may_have_run_is_not_repeated(self):
        plan = self.new_plan(("only",), repeatable=False)
        self.start_all(plan)
        self.assertEqual(plan.due_attempts(HEDGE_S * 2), [])
        plan.record_failure("only", Verdict.MAY_HAVE_RUN, True)
        self.assertEqual(plan.due_attempts(0.01), [])
        self.assertIs(plan.outcome(0.01), PlanOutcome.FAIL)

    def test_request_that_has_not_run_is_repeated(self):
        plan = self.new_plan(("only",), repeatable=False)
        self.start_all(plan)
        plan.record_failure("only", Verdict.NOT_RUN, True)
        self.assertEqual(plan.due_attempts(0.01), [("only", AttemptKind.RETRY)])

    def test_second_answer_of_a_shard_is_dropped(self):
        plan = self.new_plan()
        self.start_all(plan)
        plan.record_start("s0", "other", HEDGE_S)
        self.assertTrue(plan.record_result("s0"))
        self.assertFalse(plan.record_result("s0"))
        self.assertEqual(plan.answered, 1)

    def test_deadline_ends_the_request(self):
        plan = self.new_plan()
        self.start_all(plan)
        self.assertIs(plan.outcome(TIMEOUT_S), PlanOutcome.FAIL)
        for shard in SHARDS[1:]:
            plan.record_result(shard)
        self.assertIs(plan.outcome(TIMEOUT_S), PlanOutcome.ANSWER)

    def test_verdicts_cover_attempts_under_way(self):
        plan = self.new_plan(("only",), repeatable=False)
        self.start_all(plan)
        self.assertEqual(plan.verdicts(), [Verdict.MAY_HAVE_RUN])

    def test_hedge_delay_has_bounds(self):
        self.assertEqual(hedge_delay_s(0.1, 0.02), 0.02)
        self.assertAlmostEqual(hedge_delay_s(0.1, 0.09), 0.035)
        self.assertAlmostEqual(hedge_delay_s(0.1, None), 0.035)
        self.assertEqual(hedge_delay_s(0.1, 0.0001), 0.004)

    def walk(self, plan, now):
        """Returns due shards, open shards and hedge times by a plain walk."""
        due, open_count, hedge_times = set(), 0, []
        for shard, progress in plan.shards.items():
            open_count += progress.is_open()
            if progress.done or progress.closed:
                continue
            if not progress.in_flight:
                due.add(shard)
            elif progress.may_hedge:
                at = progress.hedge_timer_start + plan._hedge_delay_now()
                hedge_times.append(at)
                if at <= now:
                    due.add(shard)
        return due, open_count, hedge_times

    def test_counts_agree_with_a_walk_over_all_shards(self):
        for seed in range(300):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                plan = self.new_plan(
                    ratio=rng.choice((0.5, 0.8, 0.95)),
                    attempts=rng.choice((1, 2, 3)),
                    repeatable=rng.random() < 0.8,
                )
                self.run_at_random(plan, rng)

    def run_at_random(self, plan, rng):
        now, searchers = 0.0, 0
        for _ in range(60):
            # Binary fractions add up exactly, so that times can be compared.
            now += rng.choice((0, 1, 2)) / 1024
            due, open_count, hedge_times = self.walk(plan, now)
            self.assertEqual(plan.open_count, open_count)
            in_time = plan.deadline - now >= 0.003
            found = plan.due_attempts(now)
            self.assertEqual({s for s, _ in found}, due if in_time else set())
            self.assertEqual(len(found), len({s for s, _ in found}))
            if hedge_times:
                self.assertLessEqual(plan.wake_at(now), min(hedge_times))
            for shard, kind in found:
                searchers += 1
                if rng.random() < 0.8:
                    plan.record_start(shard, f"i-{searchers}", now)
                else:
                    plan.record_unavailable(shard, kind, now)
            busy = [s for s, p in plan.shards.items() if p.in_flight]
            for shard in rng.sample(busy, min(2, len(busy))):
                if rng.random() < 0.6:
                    plan.record_result(shard)
                else:
                    verdict = rng.choice(list(Verdict))
                    plan.record_failure(shard, verdict, rng.random() < 0.7)


if __name__ == "__main__":
    unittest.main()
