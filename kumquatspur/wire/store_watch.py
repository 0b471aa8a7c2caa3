"""Watches the platform's metadata store."""

from collections.abc import Callable

import eventlet

from kumquatspur.platform.store import (
    HistoryUnavailableError,
    PlatformStore,
    PlatformStoreError,
    StoreView,
)
from kumquatspur.policy.store_position import is_same_era
from kumquatspur.wire import evacuation_sync
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.store_mirror import StoreMirror

# Longest wait of a watch. A connection without a response is detected soon
# after it.
WATCH_WAIT_S = 2.5
RETRY_DELAY_RANGE_S = (0.2, 0.5)
# After unexpected errors, the whole store is read again: with growing delays,
# as all hosts may do so at the same time.
MIN_ERROR_DELAY_S = 2.0
MAX_ERROR_DELAY_S = 8.0
# Delay after changes, so that a burst of changes is fetched in few calls.
BATCH_DELAY_S = 0.3
ALL_KEYS = ""
MAX_UNREADABLE_LOGGED = 10
# How long a host waits for a view from another host when the whole system
# starts for the first time. Clients arrive much later in that case.
FIRST_VIEW_WAIT_RANGE_S = (1.5, 3.0)
FIRST_VIEW_POLL_S = 0.05


class StoreWatch:
    """Keeps the mirror up to date with the store.

    Attributes:
        state: The state of this host.
        store: The client of the store.
        mirror: The local copy of the store.
        follow: Waits once for changes from another host of the zone; returns
            False if this host has to read the store itself.
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
        """Watches the store; does not return."""
        if self.state.settings.waits_for_peers():
            self._wait_for_first_view()
        delay_s = MIN_ERROR_DELAY_S
        while not self.state.ended:
            following = Containment(self.state, "follow_watcher")
            watching = Containment(self.state, "watch_store")
            followed = False
            with following:
                followed = self.follow()
            if not followed:
                # Some of the changes may not have been applied.
                self._history_lost |= following.failed
                with watching:
                    self._step_or_record_error()
            if following.failed or watching.failed:
                self._history_lost = True
                eventlet.sleep(delay_s)
                delay_s = min(2.0 * delay_s, MAX_ERROR_DELAY_S)
            else:
                delay_s = MIN_ERROR_DELAY_S

    def _step_or_record_error(self) -> None:
        try:
            self._step()
        except HistoryUnavailableError as error:
            self._history_lost = True
            self.state.log.write(
                "store_history_lost",
                True,
                error=str(error),
                revision=self.mirror.revision,
                era=self.mirror.era,
            )
        except PlatformStoreError as error:
            self._record_error(error)
            eventlet.sleep(self.state.random.uniform(*RETRY_DELAY_RANGE_S))

    def _wait_for_first_view(self) -> None:
        """Waits until another host has sent its view of the store.

        Load pattern: when all hosts of a large fleet start for the first time,
        they would all read the whole store at the same moment.
        """
        end = monotonic_s() + self.state.random.uniform(
            *FIRST_VIEW_WAIT_RANGE_S
        )
        while self.mirror.revision is None and monotonic_s() < end:
            eventlet.sleep(FIRST_VIEW_POLL_S)

    def _step(self) -> None:
        # Peers may have updated the mirror since the last step.
        revision = self.mirror.revision
        requested_at = monotonic_s()
        if revision is None or self._history_lost:
            view = self.store.read_all(ALL_KEYS)
            self._log_unreadable(view)
            if view.era < self.mirror.era and not is_same_era(
                view.era, self.mirror.era
            ):
                raise PlatformStoreError(
                    f"store is in era {view.era}, the copy in {self.mirror.era}"
                )
            evacuation_sync.apply_full_read(self.state, view)
            self.mirror.replace(view, requested_at, monotonic_s(), "store")
            self._history_lost = False
            self._record_contact()
            return
        evacuation_sync.catch_up(self.state, self.store, self.mirror.position())
        # After an error the first call returns at once, to check quickly
        # whether the store is available again.
        wait_s = WATCH_WAIT_S if self.state.store_ok else 0.0
        view = self.store.wait_for_changes(ALL_KEYS, revision, wait_s)
        self._log_unreadable(view)
        if not is_same_era(view.era, self.mirror.era):
            # The revisions of the changes belong to another history.
            raise HistoryUnavailableError(
                f"store is in era {view.era}, the copy in {self.mirror.era}"
            )
        evacuation_sync.apply_changes(self.state, view)
        self.mirror.apply(view, requested_at, monotonic_s(), "store")
        self._record_contact()
        if view.changes:
            eventlet.sleep(BATCH_DELAY_S)

    def _log_unreadable(self, view: StoreView) -> None:
        for key in view.unreadable[:MAX_UNREADABLE_LOGGED]:
            self.state.counters["store_keys_unreadable"] += 1
            self.state.log.write("store_key_unreadable", True, key=key)

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
        # Evacuations that are not known by now cannot be learned at present.
        self.state.evacuations.settled = True
        if self.state.store_ok:
            self.state.store_ok = False
            self.state.log.write(
                "store_lost",
                True,
                error=str(error),
                revision=self.mirror.revision,
            )
