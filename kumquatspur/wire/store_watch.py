"""Follows the platform's store: configuration and searchers."""

import eventlet

from kumquatspur.platform import documents
from kumquatspur.platform.store import (
    HistoryLostError,
    PlatformStore,
    PlatformStoreError,
    StoreChange,
)
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import steady

# Longest silence of a watch; a silent connection is noticed soon after.
WAIT_S = 2.5
RETRY_S = (0.2, 0.5)
# Changes that come in quick succession are fetched together.
BATCH_S = 0.3
ALL_KEYS = ""


class StoreWatch:
    """Keeps the blackboard at the store's state.

    Attributes:
        state: The blackboard.
        store: The store's client.
        revision: Revision up to which changes are known; None before a full
            reading, or if the history was lost.
    """

    def __init__(self, state: EntryState, store: PlatformStore):
        self.state = state
        self.store = store
        self.revision = None

    def run(self) -> None:
        """Follows the store for good."""
        while True:
            try:
                self._step()
                self._note_contact()
            except HistoryLostError:
                self.revision = None
                self.state.log.write("store_history_lost", True)
            except PlatformStoreError as error:
                self._note_loss(error)
                eventlet.sleep(self.state.random.uniform(*RETRY_S))

    def _step(self) -> None:
        if self.revision is None:
            view = self.store.read_all(ALL_KEYS)
            self.state.directory.note_contact(view.revision, steady())
            self._replace(view.changes)
        else:
            view = self.store.wait_for_changes(ALL_KEYS, self.revision, WAIT_S)
            self.state.directory.note_contact(view.revision, steady())
            for change in view.changes:
                self._apply(change)
            if view.changes:
                eventlet.sleep(BATCH_S)
        self.revision = view.revision

    def _note_contact(self) -> None:
        if not self.state.store_ok:
            self.state.store_ok = True
            self.state.log.write(
                "store_regained",
                True,
                revision=self.revision,
                searchers=len(self.state.directory.by_id),
            )

    def _note_loss(self, error: PlatformStoreError) -> None:
        self.state.counters["store_errors"] += 1
        if self.state.store_ok:
            self.state.store_ok = False
            self.state.log.write(
                "store_lost",
                True,
                error=str(error),
                revision=self.revision,
            )

    def _replace(self, items: tuple[StoreChange, ...]) -> None:
        entries = []
        for item in items:
            if item.key == documents.CONFIG_KEY:
                self._apply_config(item)
            elif item.key.startswith(documents.SEARCHER_PREFIX):
                entries.append(self._decode_searcher(item))
        found = [entry for entry in entries if entry is not None]
        known = {entry.searcher_id for entry in found}
        self.state.directory.replace(found, known, steady())

    def _apply(self, change: StoreChange) -> None:
        if change.key == documents.CONFIG_KEY:
            self._apply_config(change)
        elif change.key.startswith(documents.SEARCHER_PREFIX):
            self._apply_searcher(change)

    def _apply_config(self, change: StoreChange) -> None:
        if change.value is None:
            self.state.log.write("config_removed_ignored", True)
            return
        config, errors = documents.decode_config(change.value)
        if config is None:
            self.state.log.write(
                "config_unreadable",
                True,
                revision=change.revision,
                errors=[f"{e.source}: {e.message}" for e in errors[:5]],
            )
            return
        self.state.apply_config(config, "store")

    def _apply_searcher(self, change: StoreChange) -> None:
        now = steady()
        searcher_id = change.key.removeprefix(documents.SEARCHER_PREFIX)
        directory = self.state.directory
        entry = None
        if change.value is not None:
            entry = self._decode_searcher(change)
        if entry is None:
            directory.remove(searcher_id, now)
            self.state.log.write(
                "searcher_gone", searcher=searcher_id, revision=change.revision
            )
            return
        previous = directory.by_id.get(searcher_id)
        directory.put(entry, now)
        if previous is None or previous.state is not entry.state:
            self.state.log.write(
                "searcher_state",
                searcher=searcher_id,
                service=entry.service,
                state=entry.state,
                revision=change.revision,
            )

    def _decode_searcher(self, item: StoreChange):
        entry, errors = documents.decode_searcher(item.key, item.value)
        if entry is None:
            self.state.counters["searcher_entries_unreadable"] += 1
            self.state.log.write(
                "searcher_unreadable",
                key=item.key,
                revision=item.revision,
                errors=[f"{e.source}: {e.message}" for e in errors[:5]],
            )
        return entry
