"""The decisions of one node: takes events, returns actions.

The node performs no I/O and reads no clock. The I/O layer passes events with
the current time to it and executes the actions that it returns. A test can
drive many nodes in one process in the same way.
"""

import random

from kumquatspur.border.settings import Settings
from kumquatspur.controllers import (
    claim_writer,
    claims,
    configuration,
    coordinator,
    crash_guard,
    membership,
    membership_view,
    owner,
    replication,
    report_replication,
    searcher_probes,
    watcher,
)
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core import actions, events, messages


def _on_sub_answer(state, peer, message, now):
    report_replication.store_reports(state, message.reports, now)
    return coordinator.on_sub_answer(state, peer, message, now)


def _on_heartbeat(state, peer, message, now):
    new_actions = membership.on_heartbeat(state, peer, message, now)
    return new_actions + crash_guard.on_heartbeat(state, peer, message, now)


def _on_store_call_ended(state, event, now):
    handler = state.store_calls.pop(event.call_id, None)
    return handler(state, event, now) if handler else []


_EVENT_HANDLERS = {
    events.StoreCallEnded: (_on_store_call_ended,),
    events.QueryReceived: (coordinator.on_query,),
    events.UpstreamAnswered: (owner.on_upstream_answered,),
    events.UpstreamFailed: (owner.on_upstream_failed,),
    events.ProbeAnswered: (
        searcher_probes.on_probe_answered,
        crash_guard.on_probe_answered,
    ),
    events.ProbeFailed: (
        searcher_probes.on_probe_failed,
        crash_guard.on_probe_failed,
    ),
    events.ConfigurationReceived: (
        configuration.on_configuration,
        searcher_probes.on_configuration,
    ),
    events.HostsListed: (
        membership.on_hosts_listed,
        searcher_probes.on_hosts_listed,
    ),
    events.PeerLost: (
        membership.on_peer_lost,
        coordinator.on_peer_lost,
        claims.on_peer_lost,
    ),
    events.StopRequested: (watcher.on_stop, membership.on_stop),
    events.QueryHedgeDue: (coordinator.on_hedge_due,),
    events.QueryEarlyDue: (coordinator.on_early_due,),
    events.QueryDeadlineDue: (coordinator.on_deadline_due,),
    events.SubQueryFlushDue: (owner.on_flush_due,),
    events.SubQueryDeadlineDue: (owner.on_sub_query_deadline,),
    events.HeartbeatDue: (
        membership.on_heartbeat_due,
        crash_guard.on_heartbeat_due,
    ),
    events.StateUpdateDue: (replication.on_state_update_due,),
    events.TrustDue: (membership.on_trust_due,),
    events.ConfigurationDue: (configuration.on_configuration_due,),
    events.WatchDue: (configuration.on_watch_due,),
    events.ProbeDue: (searcher_probes.on_probe_due,),
    events.ClaimWriteDue: (claim_writer.on_write_due,),
    events.ClaimRerouteDue: (claims.on_reroute_due,),
    events.ClaimReleaseDue: (claims.on_release_due,),
    events.ClaimSettleDue: (claims.on_settle_due,),
}

_MESSAGE_HANDLERS = {
    messages.StateUpdate: replication.on_state_update,
    messages.StateRequest: replication.on_state_request,
    messages.ConfigurationUpdate: configuration.on_update,
    messages.ConfigurationRequest: configuration.on_request,
    messages.Heartbeat: _on_heartbeat,
    messages.CrashReports: crash_guard.on_crash_reports,
    messages.SubQuery: owner.on_sub_query,
    messages.SubAnswer: _on_sub_answer,
    messages.CancelSubQuery: owner.on_cancel,
    messages.ClaimKey: claim_writer.on_claim,
    messages.ClaimReply: claims.on_reply,
}


class Node:
    """Dispatches the events of one entry host to its controllers.

    Attributes:
        state: The state of the node.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        incarnation: int,
        now: float,
    ):
        self.state = NodeState(settings, rng, incarnation)
        self.state.schedule(now, events.HeartbeatDue())
        self.state.schedule(now, events.ProbeDue())
        first = now + rng.uniform(0.0, configuration.CONFIGURATION_TICK_S)
        self.state.schedule(first, events.ConfigurationDue())
        self.state.gossip.toggle_in_digest(
            membership_view.own_entry(self.state)
        )

    def next_wakeup(self) -> float | None:
        """Returns when a `TimerFired` event is due, or None."""
        return self.state.next_wakeup()

    def handle(self, event, now: float) -> list:
        """Handles an event.

        Args:
            event: One of `kumquatspur.core.events`.
            now: The current time of the monotonic clock.

        Returns:
            Actions of `kumquatspur.core.actions`, in the order of execution.
        """
        if isinstance(event, events.TimerFired):
            new_actions = self._run_timers(now)
        else:
            new_actions = self._dispatch(event, now)
        if self.state.changed_reports:
            report_replication.publish_reports(self.state, now)
        new_actions = self._deliver_local(new_actions, now)
        if self.state.gossip.log_events:
            new_actions += self.state.gossip.log_events
            self.state.gossip.log_events = []
        return new_actions

    def _run_timers(self, now: float) -> list:
        new_actions = []
        while (event := self.state.pop_due(now)) is not None:
            new_actions += self._dispatch(event, now)
        return new_actions

    def _dispatch(self, event, now: float) -> list:
        if isinstance(event, events.PeerMessageReceived):
            handler = _MESSAGE_HANDLERS.get(type(event.message))
            if handler is None:
                return []
            membership.record_received(self.state, event.peer, now)
            return handler(self.state, event.peer, event.message, now)
        new_actions = []
        for handler in _EVENT_HANDLERS[type(event)]:
            new_actions += handler(self.state, event, now)
        return new_actions

    def _deliver_local(self, new_actions: list, now: float) -> list:
        """Dispatches messages that the node sends to itself at once.

        Returns:
            The other actions, with those that the messages gave rise to.
        """
        remaining = []
        while new_actions:
            action = new_actions.pop(0)
            if self._is_local(action):
                name = self.state.settings.name
                event = events.PeerMessageReceived(name, action.message)
                new_actions = self._dispatch(event, now) + new_actions
            else:
                remaining.append(action)
        return remaining

    def _is_local(self, action) -> bool:
        return (
            isinstance(action, actions.SendPeer)
            and action.peer == self.state.settings.name
        )
