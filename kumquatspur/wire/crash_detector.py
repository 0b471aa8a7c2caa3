"""Notices requests that crash the searchers which run them.

A connection that breaks while a request is at a searcher is followed by one
attempt to connect. If nothing listens there any more, the searcher crashed
under all requests that broke with it.
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
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import is_listening, monotonic_s

# Time for other requests at the same searcher to break as well.
SETTLE_S = 0.05


class CrashDetector:
    """Holds lost searchers against the contents that were there.

    Attributes:
        state: The blackboard.
        notify_peers: Called when other hosts should be told at once.
    """

    def __init__(self, state: EntryState, notify_peers):
        self.state = state
        self.notify_peers = notify_peers
        self._broken = {}
        self._count = 0

    def is_refused(self, request: ClientRequest, service: str) -> bool:
        """Returns whether a request has crashed searchers before."""
        suspects = self.state.suspects
        if not suspects.incidents:
            return False
        content = fingerprint(request, service)
        refused = (
            suspects.state_of(content, monotonic_s()) is ContentState.REFUSED
        )
        if refused:
            self.state.log.write(
                "crashing_request_refused",
                True,
                request_id=request.request_id,
                fingerprint=content,
                searchers=suspects.crashed_searchers(content, monotonic_s()),
            )
        return refused

    def record_success(self, request: ClientRequest, service: str) -> None:
        """Notes that a request ran without harm."""
        suspects = self.state.suspects
        if suspects.incidents:
            suspects.clear(fingerprint(request, service), ())

    def record_broken_connection(
        self, request: ClientRequest, service: str, entry: SearcherEntry
    ) -> None:
        """Notes that a connection broke while a request was there.

        Args:
            request: The request.
            service: The service that its route names first.
            entry: The searcher.
        """
        contents = self._broken.get(entry.searcher_id)
        if contents is None:
            contents = self._broken[entry.searcher_id] = set()
            eventlet.spawn_n(self._confirm, entry)
        contents.add(fingerprint(request, service))

    def _confirm(self, entry: SearcherEntry) -> None:
        eventlet.sleep(SETTLE_S)
        crashed = not is_listening(entry.address)
        contents = self._broken.pop(entry.searcher_id)
        if not crashed:
            return
        now = monotonic_s()
        self._count += 1
        incidents = [
            Incident(
                f"{self.state.settings.name}-{now:.3f}-{self._count}-{number}",
                content,
                entry.searcher_id,
                entry.service,
                len(contents) == 1,
                now,
                now + INCIDENT_TTL_S,
            )
            for number, content in enumerate(sorted(contents))
        ]
        self.state.suspects.add(incidents)
        self.state.counters["searcher_crashes_seen"] += 1
        self.state.log.write(
            "searcher_crashed",
            True,
            searcher=entry.searcher_id,
            service=entry.service,
            contents=len(contents),
            settle_s=SETTLE_S,
            coincidence_s=COINCIDENCE_WINDOW_S,
        )
        self.notify_peers()


def fingerprint(request: ClientRequest, service: str) -> str:
    """Returns the fingerprint of what a request asks, whoever repeats it."""
    content = "\0".join(
        (
            request.method,
            request.host,
            request.target,
            request.body.decode("latin-1"),
        )
    )
    return crash_suspects.fingerprint(service, content)
