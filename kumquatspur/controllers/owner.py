"""Executes sub-queries on the searchers that this node owns."""

from kumquatspur.controllers import crash_guard, designs, placement
from kumquatspur.controllers.blackboard import (
    Blackboard,
    KnownReport,
    SubQueryState,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import ShardResult
from kumquatspur.core.verdict import Outcome, Phase, Verdict, verdict_of
from kumquatspur.policy import crash_suspects
from kumquatspur.policy.leaving import LeavingState, Signal
from kumquatspur.policy.merge import merge_hits
from kumquatspur.policy.searcher_queue import SearcherQueue

REMEMBER_SUB_ID_S = 60.0
# A latency that changed by less is not announced before its turn.
REPORT_CHANGE_SHARE = 0.3

_FAILURE_REASON = {
    Outcome.DECLINED: Reason.REFUSED,
    Outcome.REJECTED: Reason.UPSTREAM_FAILED,
    Outcome.FAILED: Reason.UPSTREAM_FAILED,
    Outcome.TIMED_OUT: Reason.TIMED_OUT,
    Outcome.CANCELLED: Reason.TIMED_OUT,
}


def on_sub_query(board: Blackboard, peer: str, message, now: float):
    """Queues the items of a sub-query.

    Args:
        board: The blackboard.
        peer: The entry host that sent it.
        message: The `SubQuery`.
        now: The current time.

    Returns:
        Actions.
    """
    if _is_duplicate(board, message, now):
        board.counters["duplicate_sub_queries"] += 1
        return []
    state = SubQueryState(message, peer)
    board.sub_queries[message.sub_id] = state
    deadline = now + message.remaining_ms / 1000.0
    flush_at = now + message.flush_after_ms / 1000.0
    board.schedule(deadline, events.SubQueryDeadlineDue(message.sub_id))
    board.schedule(flush_at, events.SubQueryFlushDue(message.sub_id))
    content = crash_suspects.fingerprint(message.service, message.content)
    suspect = message.suspect_of or crash_guard.suspect_of(board, content, now)
    touched = []
    for target in message.targets:
        queue = _queue(board, target.searcher)
        item = _build_item(board, message, target, deadline, content, suspect)
        reason = _admit(board, queue, message, item, now)
        if reason is None:
            state.pending[target.shard] = item
            touched.append(queue)
        else:
            state.ready.append(
                ShardResult(
                    target.shard, target.searcher, Verdict.NOT_RUN, reason
                )
            )
    found = []
    for queue in touched:
        found += _dispatch(board, queue, now)
    return found + _reply(board, state, now)


def on_upstream_answered(
    board: Blackboard, event: events.UpstreamAnswered, now: float
):
    """Takes the results of a request to a searcher.

    Args:
        board: The blackboard.
        event: The searcher's answer.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(board.call_searchers.pop(event.call_id, ""))
    declined = all(entry.result.reason for entry in event.results)
    call = queue.finish(event.call_id, now, not declined) if queue else None
    if call is None:
        board.counters["late_upstream_answers"] += 1
        return []
    if event.draining:
        _leaving(board, queue).note(Signal.ANSWER, now)
    _note_state(board, queue, event.held, now)
    results = {entry.item_id: entry.result for entry in event.results}
    found = []
    for item in call.items:
        result = results.get(item.item_id)
        if result is None or not _belongs(item, result):
            result = _failed_result(
                queue, item, Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_FAILED
            )
        found += _complete(board, item, result, now)
    return found + _dispatch(board, queue, now)


def on_upstream_failed(
    board: Blackboard, event: events.UpstreamFailed, now: float
):
    """Ends the items of a request that failed.

    Args:
        board: The blackboard.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(board.call_searchers.pop(event.call_id, ""))
    call = _end_failed_call(queue, event, now) if queue else None
    if call is None:
        return []
    found = crash_guard.on_call_failed(board, queue, call, event, now)
    if _is_unreachable(event):
        queue.reachable = False
        found += _note_refusal(board, queue, event, now)
        _publish(board, queue, now)
    verdict = verdict_of(event.phase, event.outcome)
    reason = _FAILURE_REASON[event.outcome]
    for item in call.items:
        result = _failed_result(queue, item, verdict, reason)
        found += _complete(board, item, result, now)
    return found + _dispatch(board, queue, now)


def _is_unreachable(event: events.UpstreamFailed) -> bool:
    connecting = event.phase is Phase.CONNECTING
    late = connecting and event.outcome is Outcome.TIMED_OUT
    return late or event.outcome in (Outcome.FAILED, Outcome.REJECTED)


def _end_failed_call(queue: SearcherQueue, event, now: float):
    if event.outcome is Outcome.CANCELLED:
        return queue.cancel(event.call_id, now)
    return queue.finish(event.call_id, now, succeeded=False)


def on_flush_due(board: Blackboard, event: events.SubQueryFlushDue, now):
    """Sends the results of a sub-query that are there.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.sub_queries.get(event.sub_id)
    if state is None:
        return []
    state.flushed = True
    return _reply(board, state, now)


def on_sub_query_deadline(
    board: Blackboard, event: events.SubQueryDeadlineDue, now: float
):
    """Gives up on what is left of a sub-query.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    board.seen_sub_queries.discard(event.sub_id)
    state = board.sub_queries.get(event.sub_id)
    if state is None:
        return []
    state.flushed = True
    return _abandon(board, state, list(state.pending), now)


def on_cancel(board: Blackboard, peer: str, message, now: float):
    """Drops items whose results are no longer needed.

    Args:
        board: The blackboard.
        peer: The entry host that sent the sub-query.
        message: The `CancelSubQuery`.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.sub_queries.get(message.sub_id)
    if state is None or state.sender != peer:
        return []
    found = []
    for shard in message.shards:
        _withdraw(board, state, shard, found)
    return found + _reply(board, state, now)


def on_probe_due(board: Blackboard, event: events.ProbeDue, now: float):
    """Probes the searchers owned, and drops queues of those no longer owned.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = board.settings.timing.probe_s
    jitter = board.rng.uniform(0.9, 1.1)
    board.schedule(now + interval * jitter, events.ProbeDue())
    found = []
    owned = {
        searcher.name: searcher
        for searcher in board.configuration.searchers.values()
        if placement.is_owned(board, searcher, now)
    }
    for searcher in owned.values():
        _queue(board, searcher.name)
        found.append(actions.ProbeUpstream(searcher))
    for name in board.queues.keys() - owned.keys():
        if not board.queues[name].backlog():
            del board.queues[name]
            board.leaving.pop(name, None)
    return found


def on_probe_answered(board: Blackboard, event: events.ProbeAnswered, now):
    """Takes a searcher's status.

    Args:
        board: The blackboard.
        event: The status.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(event.searcher)
    if queue is None:
        return []
    queue.note_probe()
    if event.draining:
        _leaving(board, queue).note(Signal.PROBE, now)
    else:
        _leaving(board, queue).note_probe_healthy(now)
    _note_state(board, queue, event.held, now)
    return _dispatch(board, queue, now)


def on_probe_failed(board: Blackboard, event: events.ProbeFailed, now: float):
    """Notes that a searcher could not be reached.

    Args:
        board: The blackboard.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    queue = board.queues.get(event.searcher)
    if queue is not None:
        queue.reachable = False
        _leaving(board, queue).note_probe_failed(now)
        _publish(board, queue, now)
    return []


def on_hosts_listed(board: Blackboard, event: events.HostsListed, now: float):
    """Takes the upstreams that the platform's host list says are leaving.

    Args:
        board: The blackboard.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    leaving = [h for h in event.hosts if h.leaving and h.role == "upstream"]
    names = frozenset(host.name for host in leaving)
    board.listed_leaving = names | {host.address for host in leaving}
    return _note_withdrawals(board, now)


def on_configuration(
    board: Blackboard, event: events.ConfigurationReceived, now: float
):
    """Forgets searchers removed and declines what waits for those drained.

    Args:
        board: The blackboard.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    for name in board.reports.keys() - board.configuration.searchers.keys():
        del board.reports[name]
    return _note_withdrawals(board, now)


def _note_withdrawals(board: Blackboard, now: float) -> list:
    found = []
    for queue in list(board.queues.values()):
        _publish(board, queue, now, changed=False)
        found += _dispatch(board, queue, now)
    return found


def is_known(board: Blackboard, queue: SearcherQueue) -> bool:
    """Returns whether a searcher was tried, or another owner told of it."""
    tried = queue.reachable or _leaving(board, queue).confirmed
    return tried or queue.draining or bool(queue.held)


def build_report(queue: SearcherQueue, now: float) -> messages.SearcherReport:
    """Builds the report of an owned searcher.

    Args:
        queue: The searcher's queue.
        now: The current time.

    Returns:
        The report for other entry hosts.
    """
    return messages.SearcherReport(
        searcher=queue.searcher.name,
        held=queue.held,
        draining=queue.draining,
        reachable=queue.reachable,
        backlog=queue.backlog(),
        latency_ms=queue.score_s(now) * 1000.0,
    )


def _queue(board: Blackboard, name: str) -> SearcherQueue | None:
    searcher = board.configuration.searchers.get(name)
    if searcher is None:
        return None
    queue = board.queues.get(name)
    if queue is None:
        queue = SearcherQueue(searcher)
        board.queues[name] = queue
        _take_over(board, queue)
    queue.searcher = searcher
    designs.limit_queue(board, queue)
    return queue


def _build_item(
    board, message, target, deadline: float, content: str, suspect_of: str
) -> actions.Item:
    return actions.Item(
        item_id=board.new_id(),
        shard=target.shard,
        content=message.content,
        limit=message.limit,
        snapshot=message.snapshot,
        deadline=deadline,
        repeatable=message.repeatable,
        hedge=message.hedge,
        sub_id=message.sub_id,
        fingerprint=content,
        suspect_of=suspect_of,
    )


def _admit(board, queue, message, item, now: float) -> Reason | None:
    if queue is None:
        return Reason.NO_REPLICA
    if item.suspect_of and not queue.reachable:
        # Only a searcher known to live shows whether the content kills it.
        return Reason.UPSTREAM_FAILED
    return queue.admit(item, now, message.may_wait)


def _dispatch(board: Blackboard, queue: SearcherQueue, now: float):
    if queue.draining:
        return _decline_waiting(board, queue, now)
    found = []
    for item in queue.take_expired(now):
        result = _failed_result(queue, item, Verdict.NOT_RUN, Reason.OVERLOADED)
        found += _complete(board, item, result, now)
    found += _refuse_crashing(board, queue, now)
    while items := queue.take_batch(now):
        call_id = board.new_id()
        queue.start(call_id, items, now)
        board.call_searchers[call_id] = queue.searcher.name
        deadline = max(item.deadline for item in items)
        found.append(
            actions.CallUpstream(call_id, queue.searcher, items, deadline)
        )
    return found


def _refuse_crashing(board: Blackboard, queue: SearcherQueue, now: float):
    """Refuses waiting items whose content was found to crash upstreams."""
    found = []
    for item in list(queue.waiting):
        if not crash_guard.is_refused(board, item.fingerprint, now):
            continue
        queue.waiting.remove(item)
        result = _failed_result(
            queue, item, Verdict.NOT_RUN, Reason.CRASHES_UPSTREAMS
        )
        found += _complete(board, item, result, now)
    return found


def _is_duplicate(board: Blackboard, message, now: float) -> bool:
    """Returns whether a sub-query was received before."""
    if message.sub_id in board.seen_sub_queries:
        return True
    board.seen_sub_queries.add(message.sub_id)
    if message.repeatable:
        return False
    recent = board.recent_sub_ids
    while recent and next(iter(recent.values())) <= now:
        del recent[next(iter(recent))]
    if message.sub_id in recent:
        return True
    recent[message.sub_id] = now + REMEMBER_SUB_ID_S
    return False


def _belongs(item: actions.Item, result: ShardResult) -> bool:
    covers = result.reason is None
    same_snapshot = not covers or result.snapshot == item.snapshot
    return result.shard == item.shard and same_snapshot


def _decline_waiting(board, queue: SearcherQueue, now: float) -> list:
    found = []
    while queue.waiting:
        item = queue.waiting.pop(0)
        result = _failed_result(queue, item, Verdict.NOT_RUN, Reason.REFUSED)
        found += _complete(board, item, result, now)
    return found


def _leaving(board: Blackboard, queue: SearcherQueue) -> LeavingState:
    return board.leaving.setdefault(queue.searcher.name, LeavingState())


def _note_refusal(board, queue: SearcherQueue, event, now: float) -> list:
    """Probes an upstream that closed its listener: is it leaving or down?"""
    refused = (Phase.CONNECTING, Outcome.FAILED)
    if (event.phase, event.outcome) != refused:
        return []
    _leaving(board, queue).note(Signal.CONNECTION_REFUSED, now)
    return [actions.ProbeUpstream(queue.searcher)]


def _take_over(board: Blackboard, queue: SearcherQueue) -> None:
    """Starts from what the former owner reported."""
    known = board.reports.get(queue.searcher.name)
    if known is not None:
        queue.held = known.report.held
        queue.reachable = known.report.reachable
        withdrawn = placement.is_withdrawn(board, queue.searcher.name)
        if known.report.draining and not withdrawn:
            _leaving(board, queue).note(Signal.ANSWER, known.received)
    queue.draining = _takes_no_work(board, queue)


def _takes_no_work(board: Blackboard, queue: SearcherQueue) -> bool:
    leaving = _leaving(board, queue).is_leaving()
    return leaving or placement.is_withdrawn(board, queue.searcher.name)


def _failed_result(queue, item, verdict, reason) -> ShardResult:
    return ShardResult(item.shard, queue.searcher.name, verdict, reason)


def _complete(board, item: actions.Item, result: ShardResult, now: float):
    state = board.sub_queries.get(item.sub_id)
    if state is None or state.pending.pop(item.shard, None) is None:
        board.counters["late_item_results"] += 1
        return []
    state.ready.append(result)
    return _reply(board, state, now)


def _reply(board: Blackboard, state: SubQueryState, now: float):
    if state.sub_query.sub_id not in board.sub_queries:
        return []
    if state.pending and not _is_due(state):
        return []
    if not state.pending:
        board.sub_queries.pop(state.sub_query.sub_id, None)
    if not state.ready:
        return []
    results = _trim_hits(state.ready, state.sub_query.limit)
    names = sorted({result.searcher for result in results})
    reports = tuple(
        build_report(board.queues[name], now)
        for name in names
        if name in board.queues and is_known(board, board.queues[name])
    )
    state.ready = []
    answer = messages.SubAnswer(
        state.sub_query.sub_id, state.sub_query.request_id, results, reports
    )
    return [_send(board, state.sender, answer)]


def _is_due(state: SubQueryState) -> bool:
    """Results may be held to go together; a failure is told at once."""
    if state.flushed and state.ready:
        return True
    return any(result.reason is not None for result in state.ready)


def _trim_hits(results, limit: int) -> tuple[ShardResult, ...]:
    best = set(merge_hits((result.hits for result in results), limit))
    return tuple(
        ShardResult(
            result.shard,
            result.searcher,
            result.verdict,
            result.reason,
            result.snapshot,
            tuple(hit for hit in result.hits if hit in best),
            result.held,
        )
        for result in results
    )


def _send(board: Blackboard, peer: str, message):
    member = board.members.get(peer)
    address = member.address if member else board.settings.peer.address()
    return actions.SendPeer(peer, address, message)


def _abandon(board: Blackboard, state: SubQueryState, shards, now):
    found = []
    for shard in shards:
        verdict = _withdraw(board, state, shard, found)
        state.ready.append(ShardResult(shard, "", verdict, Reason.TIMED_OUT))
    return found + _reply(board, state, now)


def _withdraw(board, state: SubQueryState, shard: str, found: list) -> Verdict:
    """Removes an item from its queue, or cancels its call if it is the last."""
    item = state.pending.pop(shard, None)
    if item is None:
        return Verdict.NOT_RUN
    targets = state.sub_query.targets
    name = next(t.searcher for t in targets if t.shard == shard)
    queue = board.queues.get(name)
    if queue is not None and item in queue.waiting:
        queue.waiting.remove(item)
        return Verdict.NOT_RUN
    for call_id, call in queue.calls.items() if queue else ():
        if item in call.items and not _wanted(board, call):
            found.append(actions.CancelUpstream(call_id))
    return Verdict.MAY_HAVE_RUN


def _wanted(board: Blackboard, call) -> bool:
    """Returns whether anybody still waits for an item of a request."""
    for item in call.items:
        state = board.sub_queries.get(item.sub_id)
        if state is not None and state.pending.get(item.shard) is item:
            return True
    return False


def _note_state(board, queue: SearcherQueue, held, now):
    changed = held != queue.held or not queue.reachable
    queue.held = held
    queue.reachable = True
    _publish(board, queue, now, changed)


def _moved(board: Blackboard, queue: SearcherQueue, now) -> bool:
    """Returns whether a latency differs much from the one last announced."""
    announced = board.announced_ms.get(queue.searcher.name, 0.0)
    present = queue.score_s(now) * 1000.0
    if abs(present - announced) <= REPORT_CHANGE_SHARE * announced:
        return False
    board.announced_ms[queue.searcher.name] = present
    return True


def _publish(board: Blackboard, queue: SearcherQueue, now, changed=True):
    draining = _takes_no_work(board, queue)
    changed = changed or draining != queue.draining
    changed = changed or _moved(board, queue, now)
    queue.draining = draining
    report = build_report(queue, now)
    configured = report.searcher in board.configuration.searchers
    if configured and is_known(board, queue):
        in_flight = board.in_flight[report.searcher]
        board.reports[report.searcher] = KnownReport(report, now, in_flight)
    if changed:
        board.changed_reports.add(report.searcher)
