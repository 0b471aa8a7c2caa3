"""An entry host on the platform: its components, start and stop."""

import functools
import json
import pathlib
import socket

import eventlet

from kumquatspur.border.entry_settings import (
    EntrySettings,
    decode_entry_settings,
    read_settings_text,
)
from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherEntry
from kumquatspur.platform import headers
from kumquatspur.platform.store import PlatformStore
from kumquatspur.wire import evacuation_sync, probes, warmup_watch
from kumquatspur.wire.containment import (
    Containment,
    PeriodicTask,
    run_due,
)
from kumquatspur.wire.crash_detector import CrashDetector
from kumquatspur.wire.decision_log import DecisionLog
from kumquatspur.wire.delegator import Delegator
from kumquatspur.wire.entry_state import contact_age_s, new_state
from kumquatspur.wire.forwarder import Forwarder
from kumquatspur.wire.front_server import FrontServer
from kumquatspur.wire.http_server import HttpServer
from kumquatspur.wire.peer_calls import PeerCalls
from kumquatspur.wire.peer_exchange import PeerExchange
from kumquatspur.wire.searcher_pool import TargetPool, monotonic_s
from kumquatspur.wire.share_exchange import SHARES_PATH, ShareExchange
from kumquatspur.wire.store_mirror import StoreMirror
from kumquatspur.wire.store_watch import StoreWatch

LOOP_INTERVAL_S = 0.1
PRUNE_INTERVAL_S = 0.5
SETTINGS_CHECK_INTERVAL_S = 1.0
SERVICE_PROBE_INTERVAL_S = 0.4
LIMIT_REPORT_INTERVAL_S = 1.0
# The platform checks readiness once a second and stops sending new clients
# after two failed checks.
READINESS_DELAY_S = 2.5
# The process exits EXIT_MARGIN_S before the platform kills it at the end of the
# grace period, or LAST_EXIT_MARGIN_S if requests are still in flight. Idle
# connections are closed IDLE_CLOSE_MARGIN_S before that end.
IDLE_CLOSE_MARGIN_S = 1.5
EXIT_MARGIN_S = 0.4
LAST_EXIT_MARGIN_S = 0.15
# Requests are answered this long before the exit, in time to be sent.
LAST_ANSWER_MARGIN_S = 0.3


class EntryHost:
    """One entry host.

    `listener` is a socket that listens for clients already; without one, the
    host opens it when it runs. `settings_text` is the content of the file from
    which the settings were read.

    Attributes:
        settings: The settings.
        state: The state of this host.
        front: The server for clients; None before the start.
    """

    def __init__(
        self,
        settings: EntrySettings,
        path: str,
        listener: socket.socket | None = None,
        settings_text: str | None = None,
    ):
        self.settings = settings
        self.state = new_state(settings, DecisionLog(settings.name))
        self.pool = TargetPool(settings.machine.memory_mb)
        self.mirror = StoreMirror(self.state)
        calls = PeerCalls()
        self.shares = ShareExchange(self.state, calls.call)
        self.exchange = PeerExchange(
            self.state, self.mirror, calls, {SHARES_PATH: self.shares.serve}
        )
        crash_detector = CrashDetector(self.state, self.exchange.exchange_now)
        self.delegator = Delegator(self.state)
        self.forwarder = Forwarder(
            self.state,
            self.pool,
            crash_detector,
            self.delegator,
            self.shares.quotas,
        )
        self.state.directory.on_put = self._observe_entry
        self.warmups = warmup_watch.WarmupWatch(
            self.state, self.exchange.exchange_with
        )
        self._path = pathlib.Path(path)
        # A later check finds a change since `settings` were read.
        self._text = (
            self._read_settings_text()
            if settings_text is None
            else settings_text
        )
        self.front = None
        self._listener = listener
        self._stop_at = None
        self._reload = False
        self._settings_checked_at = monotonic_s()

    def _observe_entry(self, entry: SearcherEntry, at: float) -> None:
        with Containment(
            self.state, "observe_entry", searcher=entry.searcher_id
        ):
            warmup_watch.observe_entry(self.state, entry, at)

    def request_stop(self, at: float | None = None) -> None:
        """Requests a graceful stop; safe in a signal handler.

        Args:
            at: When the signal came, in monotonic time; now if None.
        """
        if self._stop_at is None:
            self._stop_at = monotonic_s() if at is None else at

    def request_reload(self) -> None:
        """Requests a reload of the settings file."""
        self._reload = True

    def run(self) -> None:
        """Serves until a requested stop has finished."""
        try:
            self._serve_until_stopped()
        finally:
            self.state.ended = True

    def _serve_until_stopped(self) -> None:
        self.state.log.start()
        self.state.log.write("start", True, zone=self.settings.zone)
        HttpServer(self.settings.ready, self._ready_page)
        self._serve_metrics()
        front = self.front = FrontServer(
            self.state,
            self.settings.front,
            self.forwarder.serve,
            listener=self._listener,
        )
        if self.settings.relay is not None:
            FrontServer(
                self.state,
                self.settings.relay,
                self.forwarder.serve_delegated,
                is_for_hosts=True,
            )
        store = PlatformStore(self.settings.store)
        watch = StoreWatch(self.state, store, self.mirror, self.exchange.follow)
        eventlet.spawn_n(watch.run)
        self.exchange.start()
        self.shares.start()
        eventlet.spawn_n(self.warmups.run)
        tasks = self._periodic_tasks(monotonic_s())
        while not self._has_stopped(front):
            eventlet.sleep(LOOP_INTERVAL_S)
            run_due(self.state, tasks, monotonic_s())
        self.state.log.write("stop", True, in_flight=self.state.in_flight)
        self.state.log.flush()

    def _periodic_tasks(self, now: float) -> tuple[PeriodicTask, ...]:
        """Returns the tasks of the main loop.

        Args:
            now: Monotonic time in seconds, from which their intervals count.
        """
        state = self.state
        return (
            PeriodicTask("expire_searchers", self._expire_searchers),
            PeriodicTask(
                "expire_evacuations", lambda _: evacuation_sync.expire(state)
            ),
            PeriodicTask(
                "probe_services",
                functools.partial(probes.probe_lost_services, state),
                SERVICE_PROBE_INTERVAL_S,
                now,
            ),
            PeriodicTask(
                "probe_zones",
                functools.partial(probes.probe_suspected_zones, state),
            ),
            PeriodicTask(
                "probe_peer_zones",
                functools.partial(probes.probe_suspected_peer_zones, state),
            ),
            PeriodicTask("report_zones", self._report_zones),
            PeriodicTask(
                "report_limits",
                lambda _: self._report_limits(),
                LIMIT_REPORT_INTERVAL_S,
                now,
            ),
            PeriodicTask(
                "report_accounts",
                lambda _: self._report_accounts(),
                LIMIT_REPORT_INTERVAL_S,
                now,
            ),
            PeriodicTask("prune", self._prune, PRUNE_INTERVAL_S, now),
            PeriodicTask("check_settings", self._check_settings_if_due),
        )

    def _expire_searchers(self, now: float) -> None:
        for searcher_id in self.state.directory.expire(now):
            self.state.log.write("searcher_lapsed", searcher=searcher_id)
        for searcher_id in self.state.pauses.expire(now):
            self.state.log.write("searcher_pause_ended", searcher=searcher_id)

    def _prune(self, now: float) -> None:
        """Closes connections and forgets what is not needed any more."""
        directory = self.state.directory
        kept = {
            entry.searcher_id
            for entry in directory.without_evacuated(directory.by_id)
        }
        self.pool.prune(now, kept)
        self.state.limits.prune(directory.by_id, now)
        self.state.rooms.prune(directory.by_id)
        self.delegator.prune(now)

    def _report_limits(self) -> None:
        """Logs this host's attempts at searchers that name a limit."""
        attempts = self.state.attempt_counts.end_interval(
            self.state.limits.named_searchers()
        )
        if attempts:
            self.state.log.write("limited_attempts", True, attempts=attempts)

    def _report_accounts(self) -> None:
        """Logs this host's requests of accounts that have a quota."""
        self.shares.quotas.report_allocations()
        used = self.state.quotas.take_used()
        if used:
            bounds = self.state.settings.bounds
            self.state.log.write(
                "account_use",
                True,
                accounts=used,
                window_s=bounds.quota_window_s,
                overrun=bounds.quota_overrun,
                slack=bounds.quota_slack,
            )

    def _report_zones(self, now: float) -> None:
        """Logs which zones seem cut off from this host, when that changes."""
        for zone, begun in self.state.zone_health.take_changes(now).items():
            self.state.log.write(
                "zone_suspected" if begun else "zone_reachable",
                True,
                zone=zone,
                suspected=sorted(self.state.zone_health.reported),
            )

    def _serve_metrics(self) -> None:
        address = Address(self.settings.ready.host, self.settings.metrics_port)
        try:
            HttpServer(address, self._metrics_page)
        except OSError as error:
            # Requests can be served without the metrics page.
            self.state.log.write("metrics_unavailable", True, error=str(error))

    def _has_stopped(self, front: FrontServer) -> bool:
        """Advances a graceful stop; returns whether the process ends."""
        with Containment(self.state, "stop"):
            return self._advance_stop(front)
        exit_after_s = self.settings.bounds.grace_s - LAST_EXIT_MARGIN_S
        return monotonic_s() - self._stop_at >= exit_after_s

    def _advance_stop(self, front: FrontServer) -> bool:
        """Advances a graceful stop; returns whether it has finished."""
        if self._stop_at is None:
            return False
        now = monotonic_s()
        grace = self.settings.bounds.grace_s
        if not self.state.stopping:
            self.state.stopping = True
            self.state.answer_by = (
                self._stop_at + grace - EXIT_MARGIN_S - LAST_ANSWER_MARGIN_S
            )
            self.state.log.write(
                "stopping", True, in_flight=self.state.in_flight
            )
        age = now - self._stop_at
        if age < READINESS_DELAY_S:
            return False
        if age >= grace - IDLE_CLOSE_MARGIN_S:
            front.stop_accepting()
            front.close_idle()
        if age >= grace - EXIT_MARGIN_S:
            is_last_moment = age >= grace - LAST_EXIT_MARGIN_S
            return is_last_moment or not self.state.in_flight
        if front.connections or self.state.in_flight:
            return False
        if front.accepting:
            front.stop_accepting()
            return False
        return True

    def _read_settings_text(self) -> str:
        text, errors = read_settings_text(str(self._path))
        for error in errors:
            self.state.log.write(
                "settings_unreadable", True, error=error.message
            )
        return text or ""

    def _check_settings_if_due(self, now: float) -> None:
        age_s = now - self._settings_checked_at
        if self._reload or age_s >= SETTINGS_CHECK_INTERVAL_S:
            self._settings_checked_at, self._reload = now, False
            self._check_settings()

    def _check_settings(self) -> None:
        """Puts the settings file in force if it has changed."""
        text = self._read_settings_text()
        if not text or text == self._text:
            return
        self._text = text
        settings, errors = decode_entry_settings(str(self._path), text)
        if settings is None:
            self.state.log.write(
                "settings_rejected",
                True,
                errors=[f"{e.source}: {e.message}" for e in errors[:5]],
            )
            return
        self.settings = self.state.settings = settings
        bounds = settings.bounds
        budget = self.state.extra_attempts
        budget.window_s = bounds.retry_budget_window_s
        budget.ratio = bounds.retry_budget_ratio
        budget.allowance = bounds.retry_budget_slack
        self.state.directory.drain_s = bounds.drain_ms / 1000.0
        self.state.log.write("settings_reloaded", True)

    def _ready_page(self, environ, start_response):
        ready = environ["PATH_INFO"] == headers.READY_PATH
        ready = ready and self.state.is_ready()
        status = "200 OK" if ready else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ready\n" if ready else b"not ready\n"]

    def _metrics_page(self, environ, start_response):
        lines = [
            f"kumquatspur_{name} {value}"
            for name, value in sorted(self.state.counters.items())
        ]
        table = self.state.table
        version = table.config.version if table else -1
        limited = len(self.state.limits.named_searchers())
        cold = len(self.state.limits.cold_searchers(monotonic_s()))
        suspected = len(self.state.zone_health.reported)
        allocated = len(self.shares.quotas.ledger.entries)
        lines += [
            f"kumquatspur_config_version {version}",
            f"kumquatspur_searchers {len(self.state.directory.by_id)}",
            f"kumquatspur_limited_searchers {limited}",
            f"kumquatspur_cold_searchers {cold}",
            f"kumquatspur_cold_not_sent {self.state.limits.cold_withheld}",
            f"kumquatspur_suspected_zones {suspected}",
            f"kumquatspur_active_accounts {len(self.state.quotas.by_account)}",
            f"kumquatspur_allocated_accounts {allocated}",
            f"kumquatspur_searchers_age_seconds {contact_age_s(self.state)}",
            f"kumquatspur_store_up {int(self.state.store_ok)}",
            f"kumquatspur_connections_opened {self.pool.opened}",
            f"kumquatspur_requests_in_flight {self.state.in_flight}",
            f"kumquatspur_log_lines_dropped {self.state.log.dropped}",
        ]
        lines += evacuation_sync.metric_lines(self.state)
        for route, histogram in sorted(self.state.histograms.items()):
            label = json.dumps(route)
            for quantile in (50.0, 90.0, 99.0, 99.9):
                value = histogram.get_value_at_percentile(quantile) / 1e6
                lines.append(
                    f"kumquatspur_latency_seconds{{route={label},"
                    f'quantile="{quantile / 100}"}} {value}'
                )
        start_response("200 OK", [("Content-Type", "text/plain")])
        return ["\n".join(lines).encode() + b"\n"]
