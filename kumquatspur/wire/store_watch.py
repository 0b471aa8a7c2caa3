"""Follows the platform's store."""

from collections.abc import Callable

import eventlet

from kumquatspur.platform.store import (
    HistoryUnavailableError,
    PlatformStore,
    PlatformStoreError,
)
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.store_mirror import StoreMirror

# Longest silence of a watch; a silent connection is noticed soon after.
WATCH_WAIT_S = 2.5
RETRY_S = (0.2, 0.5)
# Changes that come in quick succession are fetched together.
BATCH_S = 0.3
ALL_KEYS = ""
# How long a host waits for another one's view when the whole system starts for
# the first time; clients come much later then.
FIRST_VIEW_S = (1.5, 3.0)
FIRST_VIEW_POLL_S = 0.05


class StoreWatch:
    """Keeps a mirror at the store's state.

    Attributes:
        state: The blackboard.
        store: The store's client.
        mirror: The mirror.
        follow: Follows another host of the zone for a moment; returns whether
            this host need not ask the store itself.
    """

    def __init__(
        self,
        state: EntryState,
        store: PlatformStore,
        mirror: StoreMirror,
        follow: Callable[[], bool],
    ):
        self.state = state
        self.store = store
        self.mirror = mirror
        self.follow = follow
        self._history_lost = False

    def run(self) -> None:
        """Follows the store for good."""
        if self.state.settings.waits_for_peers():
            self._wait_for_peers()
        while True:
            if self.follow():
                continue
            try:
                self._step()
            except HistoryUnavailableError:
                self._history_lost = True
                self.state.log.write("store_history_lost", True)
            except PlatformStoreError as error:
                self._record_error(error)
                eventlet.sleep(self.state.random.uniform(*RETRY_S))

    def _wait_for_peers(self) -> None:
        """Gives other hosts time to send their view.

        Load pattern: all hosts of a large fleet start for the first time, and
        would all read everything at the same moment.
        """
        end = monotonic_s() + self.state.random.uniform(*FIRST_VIEW_S)
        while self.mirror.revision is None and monotonic_s() < end:
            eventlet.sleep(FIRST_VIEW_POLL_S)

    def _step(self) -> None:
        # Peers may have advanced the mirror meanwhile.
        revision = self.mirror.revision
        requested_at = monotonic_s()
        if revision is None or self._history_lost:
            view = self.store.read_all(ALL_KEYS)
            self.mirror.replace(view, requested_at, monotonic_s(), "store")
            self._history_lost = False
            self._record_contact()
            return
        # After a loss the first call only asks whether the store is back.
        wait_s = WATCH_WAIT_S if self.state.store_ok else 0.0
        view = self.store.wait_for_changes(ALL_KEYS, revision, wait_s)
        self.mirror.apply(view, requested_at, monotonic_s(), "store")
        self._record_contact()
        if view.changes:
            eventlet.sleep(BATCH_S)

    def _record_contact(self) -> None:
        if not self.state.store_ok:
            self.state.store_ok = True
            self.state.log.write(
                "store_regained",
                True,
                revision=self.mirror.revision,
                searchers=len(self.state.directory.by_id),
            )

    def _record_error(self, error: PlatformStoreError) -> None:
        self.state.counters["store_errors"] += 1
        if self.state.store_ok:
            self.state.store_ok = False
            self.state.log.write(
                "store_lost",
                True,
                error=str(error),
                revision=self.mirror.revision,
            )
