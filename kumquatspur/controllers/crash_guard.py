"""Detects contents that crash upstreams, and shares them among entry hosts.

The owner of a searcher detects that a connection broke after a request was
sent. The searcher counts as crashed only if the next probe or connection
attempt fails too. The result is an incident for each content in flight, which
all entry hosts receive; they suspect or refuse the content accordingly.
"""

from collections.abc import Iterable

from kumquatspur.controllers import placement
from kumquatspur.controllers.node_state import (
    Canary,
    ConnectionBreak,
    NodeState,
    QueryState,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query, Refusal
from kumquatspur.core.verdict import Outcome, Phase, Verdict
from kumquatspur.policy import crash_suspects
from kumquatspur.policy.crash_suspects import ContentState, Incident
from kumquatspur.policy.searcher_queue import Call, SearcherQueue

MAX_CRASH_REPORTS_PER_MESSAGE = 256


def refuse(node: NodeState, query: Query, now: float) -> list:
    """Refuses a query whose content crashes upstreams.

    Args:
        node: The state of this node.
        query: The query.
        now: The current time.

    Returns:
        The refusal, or an empty list if the content is not refused.
    """
    fingerprint = crash_suspects.fingerprint(query.service, query.content)
    if not is_refused(node, fingerprint, now):
        return []
    node.counters["crash_refusals"] += 1
    refusal = Refusal(
        query.request_id,
        Reason.CRASHES_UPSTREAMS,
        Verdict.NOT_RUN,
        node.crash_suspects.expires(fingerprint, now) - now,
        "upstreams were lost while they ran this query",
    )
    return [actions.RefuseCaller(refusal)]


def is_refused(node: NodeState, fingerprint: str, now: float) -> bool:
    """Returns whether the content with this fingerprint is refused."""
    state = node.crash_suspects.state_of(fingerprint, now)
    return state is ContentState.REFUSED


def find_crashed_searcher(node: NodeState, fingerprint: str, now: float) -> str:
    """Returns a searcher that crashed while it ran a content, or ""."""
    return next(
        iter(node.crash_suspects.crashed_searchers(fingerprint, now)), ""
    )


def start_canary(
    node: NodeState, query_state: QueryState, chosen: list, now: float
):
    """Reduces the first attempts of a suspected content to a canary request.

    Args:
        node: The state of this node.
        query_state: The query; gets a canary if its content is suspected.
        chosen: Pairs of shard and searcher of the first attempts.
        now: The current time.

    Returns:
        The pairs that may be attempted now: the canary alone, or all.
    """
    query = query_state.query
    fingerprint = crash_suspects.fingerprint(query.service, query.content)
    crashed = node.crash_suspects.crashed_searchers(fingerprint, now)
    if not crashed or not chosen:
        return chosen
    searchers = node.configuration.searchers
    shards = {
        shard
        for name in crashed
        if name in searchers
        for shard in searchers[name].shards
    }
    first = next((pair for pair in chosen if pair[0] in shards), chosen[0])
    waiting = [shard for shard, _ in chosen if shard != first[0]]
    query_state.canary = Canary(crashed[0], first[0], waiting)
    node.counters["crash_trials"] += 1
    return [first]


def on_call_failed(
    node: NodeState, queue: SearcherQueue, call: Call, event, now: float
) -> list:
    """Checks whether a failed call is due to a crash of the searcher.

    Args:
        node: The state of this node.
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
        return _confirm_crash(node, queue.searcher.name, now)
    if event.phase is Phase.SENT:
        return _record_break(node, queue, call, now)
    return []


def on_probe_failed(node: NodeState, event: events.ProbeFailed, now: float):
    """Records a crash if a probe fails after a connection broke.

    Args:
        node: The state of this node.
        event: The failure.
        now: The current time.

    Returns:
        Actions.
    """
    return _confirm_crash(node, event.searcher, now)


def on_probe_answered(node: NodeState, event: events.ProbeAnswered, now):
    """Clears a broken connection: the searcher answers, so it did not crash.

    Args:
        node: The state of this node.
        event: The answer.
        now: The current time.

    Returns:
        Actions.
    """
    last = node.connection_breaks.get(event.searcher)
    if last is not None:
        last.contents = {}
    return []


def on_crash_reports(node: NodeState, peer: str, message, now: float):
    """Adds the incidents received from another entry host.

    Args:
        node: The state of this node.
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
    node.crash_suspects.add(incidents)
    return []


def on_heartbeat(node: NodeState, peer: str, message, now: float):
    """Sends the refused contents to an entry host that has just started.

    Args:
        node: The state of this node.
        peer: The sender.
        message: Its `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    if node.notified_incarnations.get(message.name) == message.incarnation:
        return []
    node.notified_incarnations[message.name] = message.incarnation
    return _send_reports(
        node, [message.name], node.crash_suspects.refused(now), now
    )


def on_heartbeat_due(node: NodeState, event: events.HeartbeatDue, now):
    """Sends the refused contents to one random host, which may lack them.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    refused = node.crash_suspects.refused(now)
    if not refused or not node.members:
        return []
    peer = node.rng.choice(sorted(node.members))
    return _send_reports(node, [peer], refused, now)


def _record_break(node: NodeState, queue: SearcherQueue, call: Call, now):
    """Records the contents in flight when a connection broke, and probes.

    Calls that were already in flight at the last break are ignored.
    """
    name = queue.searcher.name
    last = node.connection_breaks.get(name)
    if last is not None and call.started <= last.detected_at:
        return []
    if not call.reachable:
        # The searcher was already unreachable when the call started, so the
        # content of this call did not crash it.
        return []
    running = [*call.items]
    for other in queue.calls.values():
        running.extend(other.items)
    contents = {item.fingerprint: item.shard for item in running}
    node.connection_breaks[name] = ConnectionBreak(now, contents)
    first = call.items[0]
    node.connection_breaks[name].suspect_of = first.suspect_of
    return [actions.ProbeUpstream(queue.searcher)]


def _confirm_crash(node: NodeState, searcher: str, now: float):
    """Records incidents for the contents in flight when a connection broke."""
    last = node.connection_breaks.get(searcher)
    if last is None or not last.contents:
        return []
    contents, last.contents = last.contents, {}
    alone = len(contents) == 1
    incidents = [
        _incident(node, fingerprint, searcher, shard, alone, now)
        for fingerprint, shard in sorted(contents.items())
    ]
    if last.suspect_of:
        incidents += [
            _incident(node, fingerprint, last.suspect_of, shard, False, now)
            for fingerprint, shard in sorted(contents.items())
        ]
    return _record_incidents(node, incidents, now)


def _incident(
    node: NodeState, fingerprint, searcher, shard, alone, now
) -> Incident:
    expires = now + crash_suspects.INCIDENT_TTL_S
    return Incident(
        node.new_id(), fingerprint, searcher, shard, alone, now, expires
    )


def _record_incidents(node: NodeState, incidents: list[Incident], now: float):
    new_actions = []
    node.crash_suspects.add(incidents)
    for incident in incidents:
        state = node.crash_suspects.state_of(incident.fingerprint, now)
        fields = (
            ("fingerprint", incident.fingerprint),
            ("searcher", incident.searcher),
            ("alone", incident.alone),
            ("state", str(state)),
        )
        new_actions.append(
            actions.LogEvent("upstream_lost_under_query", fields)
        )
    return new_actions + _send_reports(node, list(node.members), incidents, now)


def _send_reports(
    node, peers: Iterable[str], incidents: list[Incident], now: float
):
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
        for incident in incidents[:MAX_CRASH_REPORTS_PER_MESSAGE]
    )
    if not reports:
        return []
    message = messages.CrashReports(reports)
    return [placement.send_peer(node, peer, message) for peer in peers]
