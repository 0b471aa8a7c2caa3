import unittest

from kumquatspur.core import actions
from kumquatspur.core.reason import Reason
from kumquatspur.core.verdict import Verdict
from standins.fault_schedules import (
    OLD_SHARDS,
    send_query,
    start_schedule,
)
from standins.schedule_checks import check_schedule

HOST = "z1-a"
A0 = ("a-0-z1", "a-0-z2", "a-0-z3")


def _set(names, **fields):
    def apply(schedule):
        for name in names or schedule.driver.searchers:
            for field, value in fields.items():
                setattr(schedule.driver.searchers[name], field, value)

    return apply


def _configure(**change):
    return lambda schedule: schedule.configure(**change)


def _repartition(schedule):
    schedule.repartitioned = True
    schedule.configure()


def _cut_off_zone(schedule):
    schedule.configure(removed=("a-0-z1",))
    for name in schedule.driver.settings:
        if not name.startswith("z1"):
            schedule.driver.cut_links.add((name, HOST))
    schedule.run(3.0)


def _kill_owners(schedule):
    for name in sorted(set(schedule.driver.nodes) - {HOST}):
        schedule.driver.kill(name)


def _outcome(schedule, request_id="r"):
    (action,) = schedule.driver.outcomes[request_id]
    return action


class SnapshotTest(unittest.TestCase):
    def ask(self, before, after=None, settle_s=0.0):
        schedule = start_schedule(1)
        before(schedule)
        schedule.run(settle_s)
        send_query(schedule, "r", HOST)
        schedule.run(0.001)
        if after:
            after(schedule)
        schedule.run(0.4)
        counters = schedule.driver.nodes[HOST].state.counters
        return schedule, counters["snapshot_rechosen"]

    def test_dropped_everywhere_mid_query_moves_the_whole_query_once(self):
        schedule, rechosen = self.ask(_set((), held=(2,)))
        self.assertEqual(check_schedule(schedule), [])
        self.assertEqual(_outcome(schedule).answer.snapshot, 2)
        self.assertEqual(rechosen, 1)

    def test_late_results_of_the_abandoned_snapshot_are_dropped(self):
        def roll(schedule):
            _set((), held=(1, 2))(schedule)
            _set(A0, held=(1,))(schedule)
            schedule.run(1.0)
            _set((), service_s=0.02)(schedule)
            _set(A0, held=(2,), service_s=0.001)(schedule)

        schedule, rechosen = self.ask(roll)
        self.assertEqual(check_schedule(schedule), [])
        self.assertEqual(_outcome(schedule).answer.snapshot, 2)
        self.assertEqual(rechosen, 1)

    def test_stays_where_the_present_snapshot_covers_most(self):
        schedule, rechosen = self.ask(_set(A0, held=(2,)))
        answer = _outcome(schedule).answer
        self.assertEqual((answer.snapshot, rechosen), (1, 0))
        (missing,) = answer.missing
        self.assertIs(missing.reason, Reason.SNAPSHOT_NOT_HELD)

    def test_what_was_covered_before_a_bad_choice_is_kept(self):
        def mislead(schedule):
            _set((), held=(1, 2))(schedule)
            _set(A0, held=(1,))(schedule)
            schedule.run(1.0)
            _set((), held=(1,))(schedule)
            _set(A0, held=(2,), service_s=0.02)(schedule)

        schedule, rechosen = self.ask(mislead)
        answer = _outcome(schedule).answer
        self.assertEqual((answer.snapshot, rechosen), (1, 1))
        self.assertEqual(answer.covered, OLD_SHARDS[1:])

    def test_work_at_the_abandoned_snapshot_is_not_reported_as_not_run(self):
        def roll(schedule):
            for shard in ("a-0", "a-1", "b-0"):
                names = [f"{shard}-{zone}" for zone in ("z1", "z2", "z3")]
                _set(names, held=(2,), service_s=0.01)(schedule)

        schedule, rechosen = self.ask(roll)
        answer = _outcome(schedule).answer
        self.assertEqual((answer.snapshot, rechosen), (2, 1))
        (entry,) = answer.missing
        self.assertEqual(entry.shard, "b/1")
        self.assertIs(entry.verdict, Verdict.RAN)

    def test_configuration_changes_do_not_affect_running_queries(self):
        cases = [
            ("service removed", _configure(services=("other",))),
            ("searcher removed", _configure(removed=("a-0-z1",))),
            ("layout changed", _repartition),
        ]
        for name, change in cases:
            with self.subTest(name):
                schedule, _ = self.ask(_set((), service_s=0.03), change)
                self.assertEqual(check_schedule(schedule), [])


class CoverageTest(unittest.TestCase):
    def test_missing_shards_have_their_reason_and_verdict(self):
        not_run, may = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
        cases = [
            (_configure(removed=A0), Reason.NO_REPLICA, not_run),
            (_configure(drained=A0), Reason.REFUSED, not_run),
            (_set(A0, draining=True), Reason.REFUSED, not_run),
            (_set(A0, down=True), Reason.UPSTREAM_FAILED, not_run),
            (_set(A0, lose_answers=True), Reason.UPSTREAM_FAILED, may),
            (_set(A0, frozen=True), Reason.TIMED_OUT, may),
            (_set(A0, held=(7,)), Reason.SNAPSHOT_NOT_HELD, not_run),
            (_cut_off_zone, Reason.ZONE_UNREACHABLE, not_run),
        ]
        for wait_s in (0.0, 1.0):
            for fault, reason, verdict in cases:
                with self.subTest(reason=reason, verdict=verdict, wait=wait_s):
                    schedule = start_schedule(1)
                    fault(schedule)
                    schedule.run(wait_s)
                    send_query(schedule, "r", HOST)
                    schedule.run(0.4)
                    answer = _outcome(schedule).answer
                    (entry,) = answer.missing
                    self.assertEqual(entry.shard, "a/0")
                    self.assertEqual(
                        (entry.reason, entry.verdict), (reason, verdict)
                    )

    def test_disconnected_owners_are_reported(self):
        schedule = start_schedule(1)
        schedule.configure(removed=("a-0-z1",))
        _set(A0, service_s=0.05)(schedule)
        send_query(schedule, "r", HOST, repeatable=False)
        schedule.run(0.01)
        _kill_owners(schedule)
        schedule.run(0.4)
        (entry,) = _outcome(schedule).answer.missing
        self.assertIs(entry.reason, Reason.PEER_LOST)
        self.assertIs(entry.verdict, Verdict.MAY_HAVE_RUN)

    def test_refusals_are_immediate_and_have_a_retry_time(self):
        restart_cases = [(HOST, _kill_owners, Reason.NO_SNAPSHOT)]
        cases = restart_cases + [
            (HOST, _configure(services=("other",)), Reason.UNKNOWN_SERVICE),
            ("z2-a", lambda schedule: None, Reason.NO_CONFIGURATION),
        ]
        for host, change, reason in cases:
            with self.subTest(reason=reason):
                schedule = start_schedule(1)
                change(schedule)
                schedule.driver.kill(host)
                schedule.driver.start(host)
                if reason is not Reason.NO_CONFIGURATION:
                    schedule.send_configuration(host)
                send_query(schedule, "r", host)
                (at,) = schedule.driver.outcome_times["r"]
                refusal = _outcome(schedule).refusal
                self.assertEqual(at, schedule.driver.now)
                self.assertIs(refusal.reason, reason)
                self.assertIs(refusal.verdict, Verdict.NOT_RUN)
                self.assertGreater(refusal.retry_after_s, 0.0)

    def test_a_deadline_already_passed_is_refused_and_not_run(self):
        schedule = start_schedule(1)
        send_query(schedule, "r", HOST, deadline=schedule.driver.now)
        schedule.run(0.1)
        self.assertIsInstance(_outcome(schedule), actions.RefuseCaller)
        self.assertIs(_outcome(schedule).refusal.verdict, Verdict.NOT_RUN)
        self.assertEqual(schedule.driver.searchers["a-0-z1"].executed, [])


if __name__ == "__main__":
    unittest.main()
