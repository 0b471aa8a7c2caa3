"""Local copy of the metadata store, updated by the store or by peers."""

import collections
from collections.abc import Iterable

import eventlet.event

from kumquatspur.core.routing import SearcherEntry
from kumquatspur.platform import documents
from kumquatspur.platform.store import StoreChange, StoreView
from kumquatspur.policy.store_position import (
    UNKNOWN_ERA,
    StorePosition,
    is_newer,
    is_same_era,
)
from kumquatspur.wire.containment import Containment
from kumquatspur.wire.entry_state import EntryState

# Changes kept for followers. One that lacks an older one gets a view instead.
RECENT_CHANGES = 400
RECENT_BYTES = 4 * 1024 * 1024


class StoreMirror:
    """Copy of the store's content, applied to the state of this host.

    Attributes:
        state: The state of this host.
        revision: Revision of the copy; None before the first read.
        era: Era of the store that the copy is from; `UNKNOWN_ERA` if unknown.
        config_item: The item of the configuration in force; None if there is
            none. After a restore of the store, its item may be older.
        items: The configuration and the searchers' entries, by key.
        recent_changes: The last changes by key, the oldest first, for the
            followers of this host. They need the latest change of a key only.
        recent_bytes: Length of the values in `recent_changes`.
        recent_from_revision: `recent_changes` has the latest changes of all
            keys that were changed after this revision.
        changed: Event that is sent at the next change.
    """

    def __init__(self, state: EntryState):
        self.state = state
        self.revision = None
        self.era = UNKNOWN_ERA
        self.config_item = None
        self.items = {}
        self.recent_changes = collections.OrderedDict()
        self.recent_bytes = 0
        self.recent_from_revision = 0
        self.changed = eventlet.event.Event()

    def replace(
        self, view: StoreView, requested_at: float, as_of: float, source: str
    ) -> None:
        """Replaces the copy by a full read of the store.

        A read that is older than the copy only renews its age. A read of a
        later era is from a store that was restored from a copy.

        Args:
            view: All items of the store, in its list of changes.
            requested_at: When the call that read them began, on the monotonic
                clock.
            as_of: When they were current, on the monotonic clock; earlier than
                now if a peer sent them.
            source: Their origin, for the log: "store", or a peer.
        """
        if self.is_behind(view):
            self.state.directory.record_store_contact(requested_at, as_of)
            return
        restored = self.is_restored(view)
        self._record_contact(view, requested_at, as_of)
        self.revision = view.revision
        self.recent_changes.clear()
        self.recent_bytes = 0
        self.recent_from_revision = self.revision
        wanted = [item for item in view.changes if _is_mirrored(item.key)]
        self.items = {item.key: item for item in wanted}
        entries = []
        for item in wanted:
            with self._contain(item):
                if item.key == documents.CONFIG_KEY:
                    self._apply_config(item, source)
                else:
                    entries.append(self._decode_searcher(item))
        found = [entry for entry in entries if entry is not None]
        known = {entry.searcher_id for entry in found}
        directory = self.state.directory
        if restored:
            directory.replace_restored(found, known, as_of)
            self.state.counters["store_restored"] += 1
            self.state.log.write(
                "store_restored",
                True,
                source=source,
                era=view.era,
                revision=view.revision,
                unconfirmed=len(directory.unconfirmed),
                config=self.state.table and self.state.table.config.version,
            )
        else:
            directory.replace(found, known, as_of)
        self.state.log.write(
            "store_read",
            True,
            source=source,
            revision=view.revision,
            searchers=len(known),
        )
        self._notify_followers()

    def is_restored(self, view: StoreView) -> bool:
        """Returns whether a full read shows a store restored from a copy."""
        if self.revision is None:
            return False
        if not is_same_era(view.era, self.era):
            return view.era > self.era
        # A store that names no era is restored if its revision went back.
        return view.era == UNKNOWN_ERA and view.revision < self.revision

    def is_behind(self, view: StoreView) -> bool:
        """Returns whether a full read is older than the copy.

        Another host may have brought a newer view while the store was read.
        """
        if self.revision is None or UNKNOWN_ERA in (view.era, self.era):
            return False
        return is_newer(self.position(), StorePosition(view.era, view.revision))

    def position(self) -> StorePosition:
        """Returns the state of the store that the copy shows."""
        return StorePosition(self.era, self.revision or 0)

    def apply(
        self, view: StoreView, requested_at: float, as_of: float, source: str
    ) -> None:
        """Applies the changes since the known revision.

        Args:
            view: The changes.
            requested_at: When the call that read them began, on the monotonic
                clock.
            as_of: When they were current, on the monotonic clock; earlier than
                now if a peer sent them.
            source: Their origin, for the log: "store", or a peer.
        """
        # A peer may have renewed the copy while the changes were waited for.
        known = self.revision or 0
        self._record_contact(view, requested_at, as_of)
        for change in view.changes:
            if change.revision <= known or not _is_mirrored(change.key):
                continue
            if change.value is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change
            with self._contain(change):
                if change.key == documents.CONFIG_KEY:
                    self._apply_config(change, source)
                else:
                    self._apply_searcher(change, as_of)
            self._keep_recent(change)
        if view.changes:
            self._notify_followers()

    def changes_after(self, revision: int) -> list[StoreChange] | None:
        """Returns the changes after a revision; None if some are not kept.

        Args:
            revision: A revision of this copy's era.
        """
        if revision < self.recent_from_revision:
            return None
        return [
            item
            for item in self.recent_changes.values()
            if item.revision > revision
        ]

    def _keep_recent(self, change: StoreChange) -> None:
        """Adds a change to the recent ones, and drops the oldest ones."""
        recent = self.recent_changes
        if replaced := recent.pop(change.key, None):
            self.recent_bytes -= len(replaced.value or b"")
        recent[change.key] = change
        self.recent_bytes += len(change.value or b"")
        while len(recent) > RECENT_CHANGES or self.recent_bytes > RECENT_BYTES:
            _, dropped = recent.popitem(last=False)
            self.recent_bytes -= len(dropped.value or b"")
            self.recent_from_revision = dropped.revision

    def view_for(self, revision: int) -> tuple[list[StoreChange], list[str]]:
        """Returns the content of the store for a host with an older copy.

        Args:
            revision: Revision of the host's copy; 0 if it has none.

        Returns:
            The items that have changed since, and the keys of the others.
        """
        items = self.items.values()
        changed = [item for item in items if item.revision > revision]
        kept = [item.key for item in items if item.revision <= revision]
        return changed, kept

    def merge_view(
        self,
        revision: int,
        changed: Iterable[StoreChange],
        kept: Iterable[str],
        era: int = UNKNOWN_ERA,
    ) -> StoreView | None:
        """Merges another host's changed items with unchanged items of this one.

        Args:
            revision: Revision of the other host's copy.
            changed: Items that are new or changed.
            kept: Keys of the unchanged items.
            era: Era of the other host's copy.

        Returns:
            The merged view; None if an unchanged item is missing here.
        """
        known = [self.items.get(key) for key in kept]
        if None in known:
            return None
        return StoreView(revision, (*known, *changed), era)

    def _notify_followers(self) -> None:
        changed, self.changed = self.changed, eventlet.event.Event()
        changed.send()

    def _record_contact(
        self, view: StoreView, requested_at: float, as_of: float
    ) -> None:
        self.state.directory.record_store_contact(requested_at, as_of)
        self.revision = max(self.revision or 0, view.revision)
        if view.era != UNKNOWN_ERA:
            self.era = view.era

    def apply_config_item(self, item: StoreChange, source: str) -> None:
        """Applies a configuration that another host has in force.

        Args:
            item: The item with the configuration.
            source: The other host, for the log.
        """
        self._apply_config(item, source)

    def _contain(self, change: StoreChange) -> Containment:
        """Returns a context in which an odd item does not stop the others."""
        return Containment(
            self.state,
            "apply_store_change",
            key=change.key,
            revision=change.revision,
        )

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
        if self.state.apply_config(config, source):
            self.config_item = change

    def _apply_searcher(self, change: StoreChange, as_of: float) -> None:
        searcher_id = change.key.removeprefix(documents.SEARCHER_PREFIX)
        directory = self.state.directory
        entry = None
        if change.value is not None:
            entry = self._decode_searcher(change)
        if entry is None:
            directory.remove(searcher_id, as_of)
            self.state.log.write(
                "searcher_gone",
                searcher=searcher_id,
                revision=change.revision,
                kept=searcher_id in directory.unconfirmed,
            )
            return
        previous = directory.by_id.get(searcher_id)
        directory.put(entry, as_of)
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
