import dataclasses
import unittest

from kumquatspur.core import events, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Hit, ShardResult
from kumquatspur.core.verdict import Verdict
from standins.fault_schedules import (
    send_query,
    start_schedule,
)
from standins.schedule_checks import check_schedule

HOST = "z1-a"
FORGED = Hit(99.0, "a/0", "forged", "null")


def _start_slow_query(**fields):
    schedule = start_schedule(1)
    schedule.driver.duplicate_share = 0.0
    for fake in schedule.driver.searchers.values():
        fake.service_s = 0.02
    send_query(schedule, "r", HOST, **fields)
    schedule.run(0.005)
    return schedule


def _forge(schedule, message=None, result=None, peer=None):
    """Sends the host a forged answer that differs in the given fields only."""
    state = schedule.driver.nodes[HOST].state.queries["r"]
    (attempt,) = state.attempts["a/0"]
    forged = ShardResult(
        "a/0", attempt.searcher, Verdict.RAN, None, 1, (FORGED,)
    )
    forged = dataclasses.replace(forged, **(result or {}))
    answer = messages.SubAnswer(attempt.sub_id, "r", (forged,), ())
    answer = dataclasses.replace(answer, **(message or {}))
    event = events.PeerMessageReceived(peer or attempt.owner, answer)
    schedule.driver.inject(HOST, event)


def _answer(schedule):
    schedule.run(0.4)
    (action,) = schedule.driver.outcomes["r"]
    return action.answer


MISMATCHED = [
    ("request id", {"message": {"request_id": "other"}}),
    ("sub-query id", {"message": {"sub_id": "z1-a.0.1"}}),
    ("peer", {"peer": "z3-b"}),
    ("searcher", {"result": {"searcher": "a-1-z1"}}),
    ("shard", {"result": {"shard": "b/0"}}),
    ("shard that was not requested", {"result": {"shard": "x/0"}}),
]
INVALID = [
    ("snapshot", {"result": {"snapshot": 2}}),
    ("hits of another shard", {"result": {"hits": (
        dataclasses.replace(FORGED, shard="b/0"),)}}),
    ("hits of work that did not run", {"result": {"verdict": Verdict.NOT_RUN}}),
    ("hits with a reason", {"result": {"reason": Reason.REFUSED}}),
]  # fmt: skip


class OwnAnswerTest(unittest.TestCase):
    def test_mismatched_results_are_dropped_and_the_answer_is_complete(self):
        for name, changes in MISMATCHED:
            with self.subTest(name):
                schedule = _start_slow_query()
                _forge(schedule, **changes)
                answer = _answer(schedule)
                self.assertEqual(check_schedule(schedule), [])
                self.assertEqual(answer.missing, ())

    def test_invalid_results_of_the_right_owner_cover_no_shard(self):
        for name, changes in INVALID:
            with self.subTest(name):
                schedule = _start_slow_query(repeatable=False)
                _forge(schedule, **changes)
                (entry,) = _answer(schedule).missing
                self.assertEqual(entry.shard, "a/0")
                self.assertIs(entry.reason, Reason.UPSTREAM_FAILED)
                self.assertIs(entry.verdict, Verdict.MAY_HAVE_RUN)

    def test_duplicated_and_reordered_messages_change_nothing(self):
        schedule = start_schedule(1)
        schedule.driver.duplicate_share = 1.0
        schedule.driver.peer_jitter_s = 0.02
        for number in range(40):
            fields = {"repeatable": number % 2 == 0}
            send_query(schedule, f"r{number}", HOST, **fields)
            schedule.run(0.01)
        schedule.run(1.0)
        self.assertEqual(check_schedule(schedule), [])

    def test_a_request_id_used_again_after_a_restart(self):
        schedule = _start_slow_query()
        schedule.driver.kill(HOST)
        schedule.driver.start(HOST)
        schedule.send_configuration(HOST)
        schedule.run(0.01)
        schedule.final.clear()
        # The late results of the first query arrive while this one runs.
        reports = schedule.driver.nodes["z2-a"].state.reports
        schedule.driver.nodes[HOST].state.reports.update(reports)
        send_query(schedule, "r", HOST, content='"second"')
        answer = _answer(schedule)
        self.assertEqual({hit.fields for hit in answer.hits}, {'"second"'})


class OwnItemTest(unittest.TestCase):
    def test_results_of_other_items_cover_no_shard(self):
        cases = [
            ("call", {"call_id": "other"}, {}, False),
            ("item", {"item_id": "other"}, {}, True),
            ("shard", {}, {"shard": "b/0"}, True),
            ("snapshot", {}, {"snapshot": 2}, True),
        ]
        for name, ids, result, missing in cases:
            with self.subTest(name):
                schedule = _start_slow_query(repeatable=False)
                self.inject(schedule, ids, result)
                reasons = [m.reason for m in _answer(schedule).missing]
                expected = [Reason.UPSTREAM_FAILED] if missing else []
                self.assertEqual(reasons, expected)

    def inject(self, schedule, ids, result):
        attempts = schedule.driver.nodes[HOST].state.queries["r"].attempts
        (attempt,) = attempts["a/0"]
        queue = schedule.driver.nodes[attempt.owner].state.queues
        ((call_id, call),) = queue[attempt.searcher].calls.items()
        forged = ShardResult(
            "a/0", attempt.searcher, Verdict.RAN, None, 1, (FORGED,)
        )
        item_id = ids.get("item_id", call.items[0].item_id)
        forged = dataclasses.replace(forged, **result)
        event = events.UpstreamAnswered(
            ids.get("call_id", call_id),
            (events.ItemResult(item_id, forged),),
            0,
            False,
            (1,),
        )
        schedule.driver.inject(attempt.owner, event)


if __name__ == "__main__":
    unittest.main()
