"""Knows which entry hosts are alive, and spreads searcher reports."""

from kumquatspur.controllers import owner
from kumquatspur.controllers.blackboard import Blackboard, KnownReport, Member
from kumquatspur.controllers.designs import design_of
from kumquatspur.core import actions, events, messages

# Every report is sent again after this many heartbeats, for hosts that are new.
FULL_REPORT_INTERVAL = 4


def on_hosts_listed(board: Blackboard, event: events.HostsListed, now: float):
    """Takes the platform's host list as a hint of who exists.

    Args:
        board: The blackboard.
        event: The list.
        now: The current time.

    Returns:
        Actions.
    """
    for host in event.hosts:
        if host.role != "entry" or host.name == board.settings.name:
            continue
        if host.name not in board.members:
            board.members[host.name] = Member(
                host.name, host.zone, host.address
            )
    return []


def on_heartbeat(board: Blackboard, peer: str, message, now: float):
    """Takes a heartbeat of another entry host.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `Heartbeat`.
        now: The current time.

    Returns:
        Actions.
    """
    member = board.members.get(message.name)
    if member is None:
        member = Member(message.name, message.zone, message.address)
        board.members[message.name] = member
    if message.incarnation < member.incarnation:
        return []
    member.incarnation = message.incarnation
    member.zone = message.zone
    member.address = message.address
    member.revision = message.revision
    member.leaving = message.leaving
    member.last_heard = now
    take_reports(board, message.reports, now)
    return []


def take_reports(board: Blackboard, reports, now: float) -> None:
    """Stores reports of searchers that other hosts own.

    Args:
        board: The blackboard.
        reports: The reports.
        now: The current time.
    """
    if not design_of(board).shares_owners:
        return
    for report in reports:
        in_flight = board.in_flight[report.searcher]
        board.reports[report.searcher] = KnownReport(report, now, in_flight)


def on_heartbeat_due(board: Blackboard, event: events.HeartbeatDue, now):
    """Sends a heartbeat to every known entry host.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    interval = board.settings.timing.heartbeat_s
    board.schedule(
        now + interval * board.rng.uniform(0.9, 1.1), events.HeartbeatDue()
    )
    board.counters["heartbeats"] += 1
    return announce(board, now)


def announce(board: Blackboard, now: float):
    """Returns heartbeats to all members.

    Args:
        board: The blackboard.
        now: The current time.

    Returns:
        Actions.
    """
    if board.counters["heartbeats"] % FULL_REPORT_INTERVAL:
        names = board.changed_reports & board.queues.keys()
    else:
        names = set(board.queues)
    board.changed_reports.clear()
    heartbeat = messages.Heartbeat(
        name=board.settings.name,
        zone=board.settings.zone,
        incarnation=board.incarnation,
        address=board.settings.peer.address(),
        revision=board.configuration.revision,
        leaving=board.stopping,
        reports=tuple(
            owner.build_report(board.queues[name], now)
            for name in sorted(names)
            if owner.is_known(board, board.queues[name])
        ),
    )
    return [
        actions.SendPeer(member.name, member.address, heartbeat)
        for member in board.members.values()
    ]


def on_stop(board: Blackboard, event: events.StopRequested, now: float):
    """Announces that this node is leaving.

    Args:
        board: The blackboard.
        event: The request to stop.
        now: The current time.

    Returns:
        Actions.
    """
    board.stopping = True
    return announce(board, now)


def on_configuration(
    board: Blackboard, event: events.ConfigurationReceived, now: float
):
    """Puts a configuration in force if it is newer.

    Args:
        board: The blackboard.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    if event.configuration.revision <= board.configuration.revision:
        return []
    board.configuration = event.configuration
    fields = (("revision", event.configuration.revision),)
    return [actions.LogEvent("configuration_in_force", fields)]


def on_peer_lost(board: Blackboard, event: events.PeerLost, now: float):
    """Stops counting on a host whose stream broke until it is heard again.

    Args:
        board: The blackboard.
        event: The lost peer.
        now: The current time.

    Returns:
        Actions.
    """
    member = board.members.get(event.peer)
    if member is not None:
        member.last_heard = None
    return []
