"""Finds contents that crash upstreams, and shares them between entry hosts.

The owner of a searcher notices that a connection broke after a request was
sent. Only if the next probe or connection fails too was the searcher lost.
"""

from collections.abc import Iterable

from kumquatspur.controllers import placement
from kumquatspur.controllers.blackboard import (
    Blackboard,
    QueryState,
    Trial,
    UpstreamBreak,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query, Refusal
from kumquatspur.core.verdict import Outcome, Phase, Verdict
from kumquatspur.policy import crash_suspects
from kumquatspur.policy.crash_suspects import ContentState, Incident
from kumquatspur.policy.searcher_queue import Call, SearcherQueue

MAX_REPORTS = 256


def refuse(board: Blackboard, query: Query, now: float) -> list:
    """Refuses a query whose content crashes upstreams.

    Args:
        board: The blackboard.
        query: The query.
        now: The current time.

    Returns:
        The refusal, or nothing if the content is not refused.
    """
    content = crash_suspects.fingerprint(query.service, query.content)
    if not is_refused(board, content, now):
        return []
    board.counters["crash_refusals"] += 1
    refusal = Refusal(
        query.request_id,
        Reason.CRASHES_UPSTREAMS,
        Verdict.NOT_RUN,
        board.crash_suspects.expires(content, now) - now,
        "upstreams were lost while they ran this query",
    )
    return [actions.RefuseCaller(refusal)]


def is_refused(board: Blackboard, content: str, now: float) -> bool:
    """Returns whether a content, given by its fingerprint, is refused."""
    state = board.crash_suspects.state_of(content, now)
    return state is ContentState.REFUSED


def suspect_of(board: Blackboard, content: str, now: float) -> str:
    """Returns a searcher that was lost under a content, or ""."""
    return next(iter(board.crash_suspects.crashed_searchers(content, now)), "")


def hold_back(board: Blackboard, state: QueryState, chosen: list, now: float):
    """Lets only one shard of a suspected content go first.

    Args:
        board: The blackboard.
        state: The query; gets a trial if it is suspected.
        chosen: Pairs of shard and searcher of the first attempts.
        now: The current time.

    Returns:
        The pairs that may be attempted now.
    """
    query = state.query
    content = crash_suspects.fingerprint(query.service, query.content)
    lost = board.crash_suspects.crashed_searchers(content, now)
    if not lost or not chosen:
        return chosen
    searchers = board.configuration.searchers
    shards = {
        shard
        for name in lost
        if name in searchers
        for shard in searchers[name].shards
    }
    first = next((pair for pair in chosen if pair[0] in shards), chosen[0])
    waiting = [shard for shard, _ in chosen if shard != first[0]]
    state.trial = Trial(lost[0], first[0], waiting)
    board.counters["crash_trials"] += 1
    return [first]


def on_call_failed(
    board: Blackboard, queue: SearcherQueue, call: Call, event, now: float
) -> list:
    """Looks for the cause of a failed call.

    Args:
        board: The blackboard.
        queue: The searcher's queue, without the call.
        call: The call.
        event: The `UpstreamFailed`.
        now: The current time.

    Returns:
        Actions: a probe, or reports to other entry hosts.
    """
    if event.outcome is not Outcome.FAILED:
        return []
    if event.phase is Phase.CONNECTING:
        return _confirm(board, queue.searcher.name, now)
    if event.phase is Phase.SENT:
        return _note_break(board, queue, call, now)
    return []


def on_probe_failed(board: Blackboard, event: events.ProbeFailed, now: float):
    """Takes a failed probe as proof that a searcher was lost.

    Args:
        board: The blackboard.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    return _confirm(board, event.searcher, now)


def on_probe_answered(board: Blackboard, event: events.ProbeAnswered, now):
    """Takes an answered probe as proof that only a connection broke.

    Args:
        board: The blackboard.
        event: The answer.
        now: The current time.

    Returns:
        Actions.
    """
    last = board.breaks.get(event.searcher)
    if last is not None:
        last.contents = {}
    return []


def on_reports(board: Blackboard, peer: str, message, now: float):
    """Takes the incidents that another entry host knows of.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `CrashReports`.
        now: The current time.

    Returns:
        Actions.
    """
    incidents = [
        Incident(
            report.incident_id,
            report.fingerprint,
            report.searcher,
            report.shard,
            report.alone,
            now - report.age_ms / 1000.0,
            now + report.remaining_ms / 1000.0,
        )
        for report in message.reports
    ]
    board.crash_suspects.add(incidents)
    return []


def on_heartbeat(board: Blackboard, peer: str, message, now: float):
    """Tells an entry host that just started what is refused.

    Args:
        board: The blackboard.
        peer: The sender.
        message: Its `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    if board.informed.get(message.name) == message.incarnation:
        return []
    board.informed[message.name] = message.incarnation
    return _tell(board, [message.name], board.crash_suspects.refused(now), now)


def on_heartbeat_due(board: Blackboard, event: events.HeartbeatDue, now):
    """Tells one other entry host what is refused, in case it missed it.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    refused = board.crash_suspects.refused(now)
    if not refused or not board.members:
        return []
    peer = board.rng.choice(sorted(board.members))
    return _tell(board, [peer], refused, now)


def _note_break(board: Blackboard, queue: SearcherQueue, call: Call, now):
    name = queue.searcher.name
    last = board.breaks.get(name)
    if last is not None and call.started <= last.at:
        return []
    if not call.reachable:
        # It had given no sign of life since it was lost.
        return []
    running = [*call.items]
    for other in queue.calls.values():
        running.extend(other.items)
    contents = {item.fingerprint: item.shard for item in running}
    board.breaks[name] = UpstreamBreak(now, contents)
    first = call.items[0]
    board.breaks[name].suspect_of = first.suspect_of
    return [actions.ProbeUpstream(queue.searcher)]


def _confirm(board: Blackboard, searcher: str, now: float):
    last = board.breaks.get(searcher)
    if last is None or not last.contents:
        return []
    contents, last.contents = last.contents, {}
    alone = len(contents) == 1
    incidents = [
        _incident(board, content, searcher, shard, alone, now)
        for content, shard in sorted(contents.items())
    ]
    if last.suspect_of:
        incidents += [
            _incident(board, content, last.suspect_of, shard, False, now)
            for content, shard in sorted(contents.items())
        ]
    return _remember(board, incidents, now)


def _incident(
    board: Blackboard, content, searcher, shard, alone, now
) -> Incident:
    expires = now + crash_suspects.INCIDENT_TTL_S
    return Incident(
        board.new_id(), content, searcher, shard, alone, now, expires
    )


def _remember(board: Blackboard, incidents: list[Incident], now: float):
    found = []
    board.crash_suspects.add(incidents)
    for incident in incidents:
        state = board.crash_suspects.state_of(incident.fingerprint, now)
        fields = (
            ("fingerprint", incident.fingerprint),
            ("searcher", incident.searcher),
            ("alone", incident.alone),
            ("state", str(state)),
        )
        found.append(actions.LogEvent("upstream_lost_under_query", fields))
    return found + _tell(board, list(board.members), incidents, now)


def _tell(board, peers: Iterable[str], incidents: list[Incident], now: float):
    reports = tuple(
        messages.CrashReport(
            incident.incident_id,
            incident.fingerprint,
            incident.searcher,
            incident.shard,
            incident.alone,
            (now - incident.observed_at) * 1000.0,
            (incident.expires - now) * 1000.0,
        )
        for incident in incidents[:MAX_REPORTS]
    )
    if not reports:
        return []
    message = messages.CrashReports(reports)
    return [placement.send_peer(board, peer, message) for peer in peers]
