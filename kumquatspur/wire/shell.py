"""Runs a node: converts I/O to events, and actions to I/O."""

import logging
import random
import time

import eventlet

from kumquatspur.controllers.node import Node
from kumquatspur.core import actions, events
from kumquatspur.core.verdict import Outcome
from kumquatspur.wire.admin_server import AdminServer
from kumquatspur.wire.caller_server import CallerServer
from kumquatspur.wire.http_server import (
    LISTEN_BACKLOG,
    HttpServer,
    wait_until,
)
from kumquatspur.wire.metrics import Metrics
from kumquatspur.wire.peer_stream import PeerStreams
from kumquatspur.wire.store_calls import STORE_ACTIONS, run_store_call
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreUnavailableError,
    read_host_list,
)
from kumquatspur.wire.upstream_client import UpstreamClient

_log = logging.getLogger(__name__)

# A stopping daemon stops accepting once no query arrived for this time.
QUIET_INTERVAL_S = 0.25
# Longest wait for such an interval, after the drain time has passed.
MAX_QUIET_WAIT_S = 10.0
# Longest wait for peers to acknowledge the last messages.
ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
STOP_POLL_INTERVAL_S = 0.2


class Shell:
    """The I/O layer of one daemon.

    Attributes:
        settings: The daemon's settings.
        node: The node, which makes all decisions without I/O.
        metrics: The daemon's metrics.
        caller_app: The HTTP application for callers.
        stop_requested: Whether a graceful stop was requested.
        reload_requested: Whether a reload was requested, which is not possible.
    """

    def __init__(self, settings):
        self.settings = settings
        self.metrics = Metrics()
        incarnation = int(time.time() * 1000)
        rng = random.Random()
        self.node = Node(settings, rng, incarnation, self.now())
        self.caller_app = CallerServer(self)
        self._admin = AdminServer(self)
        self._upstreams = UpstreamClient(settings.timing.connect_s)
        self._peers = PeerStreams(
            settings, incarnation, self.deliver, self._known_zone
        )
        self._store = StoreClient(settings.store.address())
        self.stop_requested = False
        self.reload_requested = False
        self._calls = {}
        self._wakeup_at = None
        self._wakeup = None
        self._actions = {
            actions.AnswerCaller: self._answer_caller,
            actions.RefuseCaller: self._refuse_caller,
            actions.SendPeer: self._send_peer,
            actions.CallUpstream: self._call_upstream,
            actions.CancelUpstream: self._cancel_upstream,
            actions.ProbeUpstream: self._probe_upstream,
            actions.LogEvent: self._log_event,
            **dict.fromkeys(STORE_ACTIONS, self._call_store),
        }

    def now(self) -> float:
        """Returns the time of the monotonic clock, in seconds."""
        return time.monotonic()

    def deliver(self, event) -> None:
        """Passes an event to the node and executes the resulting actions."""
        try:
            for action in self.node.handle(event, self.now()):
                self._actions[type(action)](action)
        except Exception:
            # An error in one decision must not stop the timers.
            _log.exception(
                "event failed", extra={"event": type(event).__name__}
            )
        self._set_wakeup()

    def run(self) -> None:
        """Serves until a graceful stop has finished."""
        settings = self.settings
        peer_listener = eventlet.listen(
            (settings.peer.host, settings.peer.port),
            backlog=LISTEN_BACKLOG,
            reuse_port=False,
        )
        http_server = HttpServer(settings.caller, self.caller_app)
        HttpServer(settings.admin, self._admin)
        eventlet.spawn_n(self._peers.serve, peer_listener)
        eventlet.spawn_n(self._follow_host_list)
        self._set_wakeup()
        _log.info("daemon started", extra={"daemon": settings.name})
        while not self.stop_requested:
            eventlet.sleep(STOP_POLL_INTERVAL_S)
            if self.reload_requested:
                self.reload_requested = False
                _log.warning("SIGHUP ignored: settings are read at the start")
        self._stop(http_server)
        _log.info("daemon stopped", extra={"daemon": settings.name})

    def wire_counters(self) -> dict[str, int]:
        """Returns the counts of stream and connection events by name."""
        return dict(self._peers.counters + self._upstreams.counters)

    def request_stop(self, _: float | None = None) -> None:
        """Begins a graceful stop; may be called by a signal handler."""
        self.stop_requested = True

    def request_reload(self) -> None:
        """Records that a reload was requested; safe in a signal handler."""
        self.reload_requested = True

    def _stop(self, http_server: HttpServer) -> None:
        self.deliver(events.StopRequested())
        http_server.closing = True
        _log.info("daemon stopping", extra={"daemon": self.settings.name})
        eventlet.sleep(self.settings.timing.drain_s)
        wait_until(self._is_quiet, MAX_QUIET_WAIT_S)
        http_server.stop()
        longest_s = self.settings.timing.max_deadline_ms / 1000.0
        wait_until(lambda: not self._in_flight(http_server), longest_s)
        wait_until(
            lambda: not self._peers.unacknowledged_frames(),
            ACKNOWLEDGEMENT_TIMEOUT_S,
        )

    def _is_quiet(self) -> bool:
        return self.now() - self.caller_app.last_query_at >= QUIET_INTERVAL_S

    def _in_flight(self, http_server: HttpServer) -> bool:
        state = self.node.state
        return bool(http_server.in_flight or state.queries or state.sub_queries)

    def _set_wakeup(self) -> None:
        at = self.node.next_wakeup()
        if at == self._wakeup_at:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup_at = at
        if at is not None:
            delay = max(0.0, at - self.now())
            self._wakeup = eventlet.spawn_after(delay, self._fire_timers)

    def _fire_timers(self) -> None:
        self._wakeup_at = None
        self._wakeup = None
        self.deliver(events.TimerFired())

    def _answer_caller(self, action: actions.AnswerCaller) -> None:
        self.caller_app.finish(action.answer.request_id, action)

    def _refuse_caller(self, action: actions.RefuseCaller) -> None:
        self.caller_app.finish(action.refusal.request_id, action)

    def _known_zone(self, name: str) -> str | None:
        if name == self.settings.name:
            # No peer has this zone, so a peer with this name is rejected.
            return ""
        member = self.node.state.members.get(name)
        return member.zone if member else None

    def _send_peer(self, action: actions.SendPeer) -> None:
        route = self.settings.peer_routes.get(action.peer)
        address = route.address() if route else action.address
        sent = self._peers.send(
            action.peer, address, action.message, self.now()
        )
        if not sent:
            eventlet.spawn_n(self.deliver, events.PeerLost(action.peer))

    def _call_upstream(self, action: actions.CallUpstream) -> None:
        thread = eventlet.spawn(self._run_call, action)
        self._calls[action.call_id] = thread

    def _run_call(self, action: actions.CallUpstream) -> None:
        event = self._upstreams.search(action)
        self._calls.pop(action.call_id, None)
        self.deliver(event)

    def _cancel_upstream(self, action: actions.CancelUpstream) -> None:
        thread = self._calls.pop(action.call_id, None)
        if thread is None:
            return
        phase = self._upstreams.phase(action.call_id)
        thread.kill()
        event = events.UpstreamFailed(action.call_id, phase, Outcome.CANCELLED)
        eventlet.spawn_n(self.deliver, event)

    def _probe_upstream(self, action: actions.ProbeUpstream) -> None:
        eventlet.spawn_n(self._run_probe, action.searcher)

    def _run_probe(self, searcher) -> None:
        self.deliver(self._upstreams.probe(searcher))

    def _call_store(self, action) -> None:
        eventlet.spawn_n(self._run_store_call, action)

    def _run_store_call(self, action) -> None:
        self.deliver(run_store_call(self._store, action))

    def _log_event(self, action: actions.LogEvent) -> None:
        _log.info(action.name, extra=dict(action.fields))

    def _follow_host_list(self) -> None:
        address = self.settings.host_list.address()
        while True:
            try:
                self.deliver(events.HostsListed(read_host_list(address)))
            except StoreUnavailableError as error:
                fields = {"error": str(error)}
                _log.warning("host list unavailable", extra=fields)
            interval = self.settings.timing.host_list_s
            eventlet.sleep(interval * random.uniform(0.8, 1.2))
