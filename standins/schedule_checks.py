"""Checks the guarantees after a run of `standins.fault_schedules`."""

import collections

from kumquatspur.core import actions
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query
from kumquatspur.core.verdict import Verdict
from standins.fault_schedules import (
    CRASHING_CONTENT,
    Schedule,
    SentQuery,
    shards_in_snapshot,
)
from standins.node_driver import NodeDriver

MAX_LATENESS_S = 0.002
# Requirement: at most this many upstreams may crash under one content.
MAX_CRASHES = 2

_HOST_FAULTS = {"host_killed", "host_restarted", "host_frozen"}
_CUT_FAULTS = {"zone_cut", "link_cut_one_way"}
_SNAPSHOT_CHANGES = {"snapshot_roll", "repartition"}

# A reason in an answer is valid only if one of these faults was injected.
CAUSES = {
    Reason.NO_REPLICA: _HOST_FAULTS | {"repartition", "searcher_removed"},
    Reason.REFUSED: {
        "content_crashes",
        "searcher_draining",
        "searcher_drained",
        "searcher_removed",
        "searcher_down",
        "host_list_says_leaving",
    },
    Reason.OVERLOADED: {
        "content_crashes",
        "searcher_slow",
        "searcher_frozen",
    },
    Reason.ZONE_UNREACHABLE: _HOST_FAULTS | _CUT_FAULTS,
    Reason.SNAPSHOT_NOT_HELD: _SNAPSHOT_CHANGES,
    Reason.SNAPSHOT_ABANDONED: _SNAPSHOT_CHANGES,
    Reason.UPSTREAM_FAILED: {
        "content_crashes",
        "searcher_down",
        "searcher_loses_answers",
    },
    Reason.CRASHES_UPSTREAMS: {
        "content_crashes",
        "searcher_down",
        "searcher_loses_answers",
    },
    Reason.CLAIM_UNSETTLED: _HOST_FAULTS
    | _CUT_FAULTS
    | {"store_down", "store_loses_answers"},
    Reason.PEER_LOST: _HOST_FAULTS,
    Reason.TIMED_OUT: _HOST_FAULTS
    | _CUT_FAULTS
    | {"searcher_slow", "searcher_frozen"},
    Reason.UNKNOWN_SHARD: {"repartition"},
    Reason.NO_SNAPSHOT: _HOST_FAULTS | _CUT_FAULTS,
    Reason.NO_CONFIGURATION: _HOST_FAULTS,
    Reason.UNKNOWN_SERVICE: {"service_removed"},
}
# If only these were injected, every answer must have full coverage.
HARMLESS_FAULTS = {
    "store_down",
    "store_loses_answers",
    "searcher_removed",
    "searcher_drained",
    "host_list_says_leaving",
}


def check_schedule(schedule: Schedule) -> list[str]:
    """Compares all outcomes with the items that the searchers executed.

    Args:
        schedule: A schedule after its run.

    Returns:
        A description of each violation.
    """
    executed = collections.defaultdict(list)
    for fake in schedule.driver.searchers.values():
        for item in fake.executed:
            executed[item.content].append((item.shard, item.snapshot))
    violations = []
    for sent in schedule.sent + schedule.final:
        runs = executed[sent.query.content]
        query_violations = _check_query(schedule.driver, sent, runs)
        query_violations += _check_reasons(schedule, sent)
        violations += [
            f"{sent.query.request_id}: {text}" for text in query_violations
        ]
    crashes = count_crashes(schedule)
    if crashes > _allowed_crashes(schedule):
        violations.append(f"{crashes} searchers crashed")
    for sent in schedule.final:
        (action,) = schedule.driver.outcomes[sent.query.request_id] or (None,)
        answer = getattr(action, "answer", None)
        if answer is None or answer.missing:
            violations.append(
                f"{sent.query.request_id}: no full answer after recovery:"
                f" {action}"
            )
    for name, node in schedule.driver.nodes.items():
        if node.state.queries or node.state.sub_queries:
            violations.append(f"{name}: queries left in the node state")
    return violations


def _allowed_crashes(schedule: Schedule) -> int:
    # The sides of a cut cannot exchange crash reports.
    sides = 2 if "zone_cut" in schedule.faults else 1
    return MAX_CRASHES * sides


def count_crashes(schedule: Schedule) -> int:
    """Returns the number of crashes of all searchers."""
    return sum(len(f.crashes) for f in schedule.driver.searchers.values())


def _check_reasons(schedule: Schedule, sent: SentQuery) -> list[str]:
    reasons = set()
    for action in schedule.driver.outcomes[sent.query.request_id]:
        if isinstance(action, actions.RefuseCaller):
            reasons.add(action.refusal.reason)
        else:
            reasons.update(entry.reason for entry in action.answer.missing)
    if sent.query.idempotency_key:
        reasons.discard(Reason.ALREADY_CLAIMED)
    if schedule.burst:
        reasons -= {Reason.TIMED_OUT, Reason.OVERLOADED}
    violations = [
        f"reason {reason} without a matching fault"
        for reason in reasons
        if CAUSES[reason].isdisjoint(schedule.faults)
    ]
    keyed = bool(sent.query.idempotency_key)
    if reasons and not keyed and HARMLESS_FAULTS.issuperset(schedule.faults):
        violations.append(
            f"refused or incomplete with harmless faults only: {reasons}"
        )
    return violations


def _check_query(driver: NodeDriver, sent: SentQuery, runs) -> list[str]:
    query = sent.query
    outcomes = driver.outcomes[query.request_id]
    if len(outcomes) > 1 or (sent.uninterrupted and not outcomes):
        return [f"{len(outcomes)} outcomes"]
    violations = []
    counts = collections.Counter(shard for shard, _ in runs)
    once = not query.repeatable or query.idempotency_key
    if once and any(n > 1 for n in counts.values()):
        violations.append(f"not repeatable, but executed {dict(counts)}")
    if not outcomes:
        return violations
    late = driver.outcome_times[query.request_id][0] - query.deadline
    if sent.uninterrupted and late > MAX_LATENESS_S:
        violations.append(f"answered {late:.4f} s after the deadline")
    if isinstance(outcomes[0], actions.RefuseCaller):
        if query.idempotency_key or query.content == CRASHING_CONTENT:
            # Other requests with the same content may have run.
            runs = runs if outcomes[0].refusal.verdict is Verdict.RAN else []
        return violations + _check_refusal(outcomes[0].refusal, runs)
    return violations + _check_answer(query, outcomes[0].answer, set(runs))


def _check_refusal(refusal, runs) -> list[str]:
    violations = []
    if refusal.verdict is Verdict.NOT_RUN and runs:
        violations.append(f"verdict not run, but executed {runs}")
    if refusal.verdict is Verdict.RAN and not runs:
        violations.append("verdict ran, but not executed")
    if refusal.retry_after_s <= 0 or not isinstance(refusal.reason, Reason):
        violations.append(f"refusal without reason or retry time: {refusal}")
    return violations


def _check_answer(query: Query, answer, runs) -> list[str]:
    violations = []
    missing = [entry.shard for entry in answer.missing]
    reported = sorted([*answer.covered, *missing])
    wanted = sorted(query.shards or shards_in_snapshot(answer.snapshot))
    if reported != wanted:
        violations.append(
            f"reports shards {reported} at snapshot {answer.snapshot},"
            f" expected {wanted}"
        )
    keys = sorted((hit.shard, hit.key, hit.fields) for hit in answer.hits)
    expected = sorted(
        (shard, f"{shard}@{answer.snapshot}", query.content)
        for shard in answer.covered
    )
    if keys != expected:
        violations.append(f"hits {keys}, expected {expected}")
    not_executed = {(shard, answer.snapshot) for shard in answer.covered} - runs
    if not_executed:
        violations.append(f"covered but not executed: {not_executed}")
    ran = {shard for shard, _ in runs}
    if query.content == CRASHING_CONTENT:
        return violations
    for entry in answer.missing:
        if not isinstance(entry.reason, Reason):
            violations.append(f"missing without a reason: {entry}")
        if entry.verdict is Verdict.NOT_RUN and entry.shard in ran:
            violations.append(f"verdict not run, but executed: {entry}")
        if entry.verdict is Verdict.RAN and entry.shard not in ran:
            violations.append(f"verdict ran, but not executed: {entry}")
    return violations
