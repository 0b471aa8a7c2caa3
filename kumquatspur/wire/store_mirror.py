"""Applies the platform store's state to the blackboard, whoever sends it."""

import collections
from collections.abc import Iterable

import eventlet.event

from kumquatspur.core.routing import SearcherEntry
from kumquatspur.platform import documents
from kumquatspur.platform.store import StoreChange, StoreView
from kumquatspur.wire.entry_state import EntryState

RECENT_CHANGES = 400


class StoreMirror:
    """The state of the store as far as it is known here.

    Attributes:
        state: The blackboard.
        revision: Revision of the state; None before the first reading.
        items: The items that matter here, by key.
        recent_changes: The last changes, for those who follow this host.
        recent_from_revision: Revision after which `recent_changes` has all
            changes.
        changed: Event that is sent at the next change.
    """

    def __init__(self, state: EntryState):
        self.state = state
        self.revision = None
        self.items = {}
        self.recent_changes = collections.deque(maxlen=RECENT_CHANGES)
        self.recent_from_revision = 0
        self.changed = eventlet.event.Event()

    def replace(
        self, view: StoreView, requested_at: float, now: float, source: str
    ) -> None:
        """Takes a full reading.

        Args:
            view: The reading.
            requested_at: When the call began that read it.
            now: When it was current, on the steady clock.
            source: Where it comes from: "store", or a peer.
        """
        self._record_contact(view, requested_at, now)
        self.recent_changes.clear()
        self.recent_from_revision = self.revision
        wanted = [item for item in view.changes if _is_mirrored(item.key)]
        self.items = {item.key: item for item in wanted}
        entries = []
        for item in wanted:
            if item.key == documents.CONFIG_KEY:
                self._apply_config(item, source)
            else:
                entries.append(self._decode_searcher(item))
        found = [entry for entry in entries if entry is not None]
        known = {entry.searcher_id for entry in found}
        self.state.directory.replace(found, known, now)
        self.state.log.write(
            "store_read",
            True,
            source=source,
            revision=view.revision,
            searchers=len(known),
        )
        self._notify_followers()

    def apply(
        self, view: StoreView, requested_at: float, now: float, source: str
    ) -> None:
        """Takes changes since the known revision.

        Args:
            view: The changes.
            requested_at: When the call began that read them.
            now: When they were current, on the steady clock.
            source: Where they come from: "store", or a peer.
        """
        self._record_contact(view, requested_at, now)
        for change in view.changes:
            if not _is_mirrored(change.key):
                continue
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change
            if change.key == documents.CONFIG_KEY:
                self._apply_config(change, source)
            else:
                self._apply_searcher(change, now)
            if len(self.recent_changes) == RECENT_CHANGES:
                self.recent_from_revision = self.recent_changes[0].revision
            self.recent_changes.append(change)
        if view.changes:
            self._notify_followers()

    def changes_after(self, revision: int) -> list[StoreChange] | None:
        """Returns the changes after a revision, or None if some are gone."""
        if revision < self.recent_from_revision:
            return None
        return [
            item for item in self.recent_changes if item.revision > revision
        ]

    def view_for(self, revision: int) -> tuple[list[StoreChange], list[str]]:
        """Returns the state for a host that knows an earlier one.

        Args:
            revision: What the host knows; 0 for nothing.

        Returns:
            The items that changed since, and the keys of the others.
        """
        items = self.items.values()
        changed = [item for item in items if item.revision > revision]
        kept = [item.key for item in items if item.revision <= revision]
        return changed, kept

    def merge_view(
        self, revision: int, changed: Iterable[StoreChange], kept: Iterable[str]
    ) -> StoreView | None:
        """Returns another host's state from what it sent of it.

        Args:
            revision: Revision of the state.
            changed: The items that this host did not know.
            kept: Keys of the others.

        Returns:
            The state; None if one of the kept items is not known here.
        """
        known = [self.items.get(key) for key in kept]
        if None in known:
            return None
        return StoreView(revision, (*known, *changed))

    def _notify_followers(self) -> None:
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send()

    def _record_contact(
        self, view: StoreView, requested_at: float, now: float
    ) -> None:
        self.state.directory.record_store_contact(requested_at, now)
        self.revision = max(self.revision or 0, view.revision)

    def _apply_config(self, change: StoreChange, source: str) -> None:
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
        self.state.apply_config(config, source)

    def _apply_searcher(self, change: StoreChange, now: float) -> None:
        searcher_id = change.key.removeprefix(documents.SEARCHER_PREFIX)
        directory = self.state.directory
        entry = None
        if change.value is not None:
            entry = self._decode_searcher(change)
        if entry is None:
            directory.remove(searcher_id, now)
            self.state.log.write(
                "searcher_gone",
                searcher=searcher_id,
                revision=change.revision,
                kept=searcher_id in directory.unconfirmed,
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

    def _decode_searcher(self, item: StoreChange) -> SearcherEntry | None:
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


def _is_mirrored(key: str) -> bool:
    is_config = key == documents.CONFIG_KEY
    return is_config or key.startswith(documents.SEARCHER_PREFIX)
