"""Checks of all promises after a schedule of `standins.fault_schedules`."""

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

ANSWER_GRACE_S = 0.002
# The target: upstreams that may be lost under one content.
MAX_CRASHES = 2

_ANY_HOST = {"host_killed", "host_restarted", "host_frozen"}
_ANY_CUT = {"zone_cut", "link_cut_one_way"}
_SNAPSHOT_CHANGES = {"snapshot_roll", "repartition"}

# The faults of which one must have happened where a reason is given.
CAUSES = {
    Reason.NO_REPLICA: _ANY_HOST | {"repartition", "searcher_removed"},
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
    Reason.ZONE_UNREACHABLE: _ANY_HOST | _ANY_CUT,
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
    Reason.CLAIM_UNSETTLED: _ANY_HOST
    | _ANY_CUT
    | {"store_down", "store_loses_answers"},
    Reason.PEER_LOST: _ANY_HOST,
    Reason.TIMED_OUT: _ANY_HOST
    | _ANY_CUT
    | {"searcher_slow", "searcher_frozen"},
    Reason.UNKNOWN_SHARD: {"repartition"},
    Reason.NO_SNAPSHOT: _ANY_HOST | _ANY_CUT,
    Reason.NO_CONFIGURATION: _ANY_HOST,
    Reason.UNKNOWN_SERVICE: {"service_removed"},
}
# Under these alone every answer is whole.
HARMLESS_FAULTS = {
    "store_down",
    "store_loses_answers",
    "searcher_removed",
    "searcher_drained",
    "host_list_says_leaving",
}


def check_schedule(schedule: Schedule) -> list[str]:
    """Checks all promises against what the searchers executed.

    Args:
        schedule: A schedule after its run.

    Returns:
        One text a violation.
    """
    executed = collections.defaultdict(list)
    for fake in schedule.driver.searchers.values():
        for item in fake.executed:
            executed[item.content].append((item.shard, item.snapshot))
    found = []
    for sent in schedule.sent + schedule.final:
        runs = executed[sent.query.content]
        faults = _check_query(schedule.driver, sent, runs)
        faults += _check_reasons(schedule, sent)
        found += [f"{sent.query.request_id}: {text}" for text in faults]
    crashes = count_crashes(schedule)
    if crashes > _allowed_crashes(schedule):
        found.append(f"{crashes} searchers crashed")
    for sent in schedule.final:
        (action,) = schedule.driver.outcomes[sent.query.request_id] or (None,)
        answer = getattr(action, "answer", None)
        if answer is None or answer.missing:
            found.append(f"{sent.query.request_id}: not healed: {action}")
    for name, node in schedule.driver.nodes.items():
        if node.state.queries or node.state.sub_queries:
            found.append(f"{name}: queries left behind")
    return found


def _allowed_crashes(schedule: Schedule) -> int:
    # The sides of a cut cannot tell each other.
    sides = 2 if "zone_cut" in schedule.faults else 1
    return MAX_CRASHES * sides


def count_crashes(schedule: Schedule) -> int:
    """Returns how often a searcher crashed."""
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
    found = [
        f"{reason} without a cause"
        for reason in reasons
        if CAUSES[reason].isdisjoint(schedule.faults)
    ]
    keyed = bool(sent.query.idempotency_key)
    if reasons and not keyed and HARMLESS_FAULTS.issuperset(schedule.faults):
        found.append(f"not whole: {reasons}")
    return found


def _check_query(driver: NodeDriver, sent: SentQuery, runs) -> list[str]:
    query = sent.query
    outcomes = driver.outcomes[query.request_id]
    if len(outcomes) > 1 or (sent.uninterrupted and not outcomes):
        return [f"{len(outcomes)} outcomes"]
    found = []
    counts = collections.Counter(shard for shard, _ in runs)
    once = not query.repeatable or query.idempotency_key
    if once and any(n > 1 for n in counts.values()):
        found.append(f"not repeatable, executed {dict(counts)}")
    if not outcomes:
        return found
    late = driver.outcome_times[query.request_id][0] - query.deadline
    if sent.uninterrupted and late > ANSWER_GRACE_S:
        found.append(f"answered {late:.4f} s after the deadline")
    if isinstance(outcomes[0], actions.RefuseCaller):
        if query.idempotency_key or query.content == CRASHING_CONTENT:
            # Other requests with the same content may have run.
            runs = runs if outcomes[0].refusal.verdict is Verdict.RAN else []
        return found + _check_refusal(outcomes[0].refusal, runs)
    return found + _check_answer(query, outcomes[0].answer, set(runs))


def _check_refusal(refusal, runs) -> list[str]:
    found = []
    if refusal.verdict is Verdict.NOT_RUN and runs:
        found.append(f"said not run, executed {runs}")
    if refusal.verdict is Verdict.RAN and not runs:
        found.append("said that it ran, not executed")
    if refusal.retry_after_s <= 0 or not isinstance(refusal.reason, Reason):
        found.append(f"refusal without reason or retry time: {refusal}")
    return found


def _check_answer(query: Query, answer, runs) -> list[str]:
    found = []
    missing = [entry.shard for entry in answer.missing]
    claimed = sorted([*answer.covered, *missing])
    wanted = sorted(query.shards or shards_in_snapshot(answer.snapshot))
    if claimed != wanted:
        found.append(f"claims {claimed} at {answer.snapshot}, not {wanted}")
    keys = sorted((hit.shard, hit.key, hit.fields) for hit in answer.hits)
    expected = sorted(
        (shard, f"{shard}@{answer.snapshot}", query.content)
        for shard in answer.covered
    )
    if keys != expected:
        found.append(f"hits {keys}, not {expected}")
    unproved = {(shard, answer.snapshot) for shard in answer.covered} - runs
    if unproved:
        found.append(f"covered but not executed: {unproved}")
    ran = {shard for shard, _ in runs}
    if query.content == CRASHING_CONTENT:
        return found
    for entry in answer.missing:
        if not isinstance(entry.reason, Reason):
            found.append(f"missing without a reason: {entry}")
        if entry.verdict is Verdict.NOT_RUN and entry.shard in ran:
            found.append(f"executed: {entry}")
        if entry.verdict is Verdict.RAN and entry.shard not in ran:
            found.append(f"not executed: {entry}")
    return found
