"""Detects requests that crash the searchers which run them.

When a connection breaks while a searcher has a request, this module tries to
connect again. If the connection is refused, and another searcher accepts one,
the searcher has crashed, and all requests whose connections broke with it are
recorded as possible causes. If all connections are refused, this host has
probably lost its links.
"""

import eventlet

from kumquatspur.core.routing import ClientRequest, SearcherEntry
from kumquatspur.policy import crash_suspects
from kumquatspur.policy.crash_suspects import (
    COINCIDENCE_WINDOW_S,
    INCIDENT_TTL_S,
    ContentState,
    Incident,
)
from kumquatspur.wire import warmup_watch
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import (
    accepts_connections,
    is_listening,
    monotonic_s,
)

# Delay in which the other connections to a crashed searcher break as well.
SETTLE_S = 0.05
# Other searchers that are tried. With a third of them down, one of four accepts
# in 99 of 100 cases.
MAX_OTHERS_TRIED = 4


class CrashDetector:
    """Records searcher crashes as incidents of the contents in flight.

    Attributes:
        state: The state of this host.
        notify_peers: Called to send new incidents to other hosts at once.
    """

    def __init__(self, state: EntryState, notify_peers):
        self.state = state
        self.notify_peers = notify_peers
        self._broken_fingerprints = {}
        self._crashes = 0

    def is_refused(self, request: ClientRequest, route: str) -> bool:
        """Returns whether a request's content has crashed searchers before.

        Refused requests are logged.
        """
        suspects = self.state.suspects
        if not suspects.incidents:
            return False
        request_fingerprint = fingerprint(request, route)
        refused = (
            suspects.state_of(request_fingerprint, monotonic_s())
            is ContentState.REFUSED
        )
        if refused:
            self.state.log.write(
                "crashing_request_refused",
                True,
                request_id=request.request_id,
                fingerprint=request_fingerprint,
                searchers=suspects.crashed_searchers(
                    request_fingerprint, monotonic_s()
                ),
            )
        return refused

    def record_run(
        self, request: ClientRequest, route: str, entry: SearcherEntry
    ) -> None:
        """Clears a request's content after it ran without a crash.

        Args:
            request: The request.
            route: Name of its route.
            entry: The searcher that ran it.
        """
        suspects = self.state.suspects
        if suspects.incidents and suspects.record_run(
            fingerprint(request, route), entry.service, monotonic_s()
        ):
            self.state.counters["crash_suspects_cleared"] += 1

    def record_broken_connection(
        self, request: ClientRequest, route: str, entry: SearcherEntry
    ) -> None:
        """Records that a connection broke with a request in flight.

        The searcher may have sent a part of its answer.

        Args:
            request: The request.
            route: Name of its route.
            entry: The searcher.
        """
        fingerprints = self._broken_fingerprints.get(entry.searcher_id)
        if fingerprints is None:
            fingerprints = self._broken_fingerprints[entry.searcher_id] = set()
            eventlet.spawn_n(self._confirm_crash, entry)
        fingerprints.add(fingerprint(request, route))

    def _reaches_others(self, entry: SearcherEntry) -> bool:
        """Returns whether a connection to another searcher can be opened."""
        others = [
            other
            for other in self.state.directory.without_evacuated(
                self.state.directory.by_id
            )
            if other.searcher_id != entry.searcher_id
        ]
        count = min(MAX_OTHERS_TRIED, len(others))
        return any(
            accepts_connections(other.address)
            for other in self.state.random.sample(others, count)
        )

    def _confirm_crash(self, entry: SearcherEntry) -> None:
        crashed = False
        try:
            eventlet.sleep(SETTLE_S)
            crashed = not is_listening(entry.address) and self._reaches_others(
                entry
            )
        finally:
            # Later crashes of the searcher would not be checked otherwise.
            fingerprints = self._broken_fingerprints.pop(entry.searcher_id)
        # Searchers of an evacuated zone are stopped by the operator.
        if not crashed or entry.zone in self.state.evacuations.active:
            return
        now = monotonic_s()
        self._crashes += 1
        incidents = [
            Incident(
                f"{self.state.settings.name}-{now:.3f}-{self._crashes}-{number}",
                request_fingerprint,
                entry.searcher_id,
                # A searcher serves one service; the incident's shard names it.
                entry.service,
                len(fingerprints) == 1,
                now,
                now + INCIDENT_TTL_S,
            )
            for number, request_fingerprint in enumerate(sorted(fingerprints))
        ]
        self.state.suspects.add(incidents)
        self.state.counters["searcher_crashes_seen"] += 1
        self.state.log.write(
            "searcher_crashed",
            True,
            searcher=entry.searcher_id,
            service=entry.service,
            contents=len(fingerprints),
            settle_s=SETTLE_S,
            coincidence_s=COINCIDENCE_WINDOW_S,
        )
        warmup_watch.observe_crash(self.state, entry)
        self.notify_peers()


def fingerprint(request: ClientRequest, route: str) -> str:
    """Returns the fingerprint of a request, the same for each repetition."""
    content = "\0".join(
        (
            request.method,
            request.host,
            request.target,
            request.body.decode("latin-1"),
        )
    )
    return crash_suspects.fingerprint(route, content)
