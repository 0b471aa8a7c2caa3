"""State of the distribution of the configuration on one node."""

import collections
import dataclasses
import math
from collections.abc import Mapping

from kumquatspur.border.config_files import ConfigurationLoader

MAX_DELTAS_KEPT = 64


@dataclasses.dataclass(frozen=True)
class Revision:
    """A revision and the content hash of each of its files by name."""

    number: int = 0
    files: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class WantedRevision:
    """A newer revision that this node is fetching.

    Attributes:
        revision: The revision.
        source: The peer that announced it; "" for the store.
        origin: Root of the tree along which this node propagates the revision
            once it is in force; "" if it does not.
        wait_ticks: Ticks for which its contents have been missing.
        loaded: Whether it is valid and will be put in force next.
    """

    revision: Revision
    source: str
    origin: str
    wait_ticks: int = 0
    loaded: bool = False


@dataclasses.dataclass(frozen=True)
class RevisionDelta:
    """The files that differ between two revisions put in force in succession.

    Attributes:
        base: Number of the earlier revision.
        changed: Content hash by file name; "" where it was removed.
    """

    base: int
    changed: Mapping[str, str]


@dataclasses.dataclass
class WatcherLease:
    """A store lease that makes this node a watcher of the head key.

    Attributes:
        lease_id: The store's identifier of the lease.
        key: The key bound to the lease.
        key_version: The version of that key.
        renewed_at: When the last successful renewal was sent.
        renewal_sent_at: When the last renewal was sent.
    """

    lease_id: str
    key: str
    key_version: int
    renewed_at: float
    renewal_sent_at: float


class DistributionState:
    """Configuration revisions of a node, and its role as a watcher.

    Attributes:
        in_force: The revision in force.
        wanted: A newer revision that is being fetched, or None.
        rejected_number: The highest revision found invalid.
        contents: Packed file contents by content hash.
        deltas: The latest deltas, by number of the later revision.
        loader: Parses changed files.
        lease: The watcher's lease, or None if this node does not watch.
        watch_call: The call id of the watch in progress, or "".
        head_version: Version of the head key as last read or watched.
        polled_at: When the head key was last read.
        poll_share: Random share of the poll interval until the next read, so
            that hosts do not read all at once.
        next_take_at: Earliest time of the next attempt to take a watcher's key.
        store_failures: Number of consecutive failed calls to the store.
        reads_in_flight: Content hashes that are being read from the store.
        requested_at: When a revision was last requested from a peer.
    """

    def __init__(self):
        self.in_force = Revision()
        self.wanted: WantedRevision | None = None
        self.rejected_number = 0
        self.contents: dict[str, str] = {}
        self.deltas: collections.OrderedDict[int, RevisionDelta] = (
            collections.OrderedDict()
        )
        self.loader = ConfigurationLoader()
        self.lease: WatcherLease | None = None
        self.watch_call = ""
        self.head_version = 0
        self.polled_at = -math.inf
        self.poll_share = 1.0
        self.next_take_at = 0.0
        self.store_failures = 0
        self.reads_in_flight: set[str] = set()
        self.requested_at = 0.0

    def newest(self) -> int:
        """Returns the highest revision in force, rejected or being fetched."""
        wanted = self.wanted.revision.number if self.wanted else 0
        return max(self.in_force.number, self.rejected_number, wanted)

    def missing(self) -> list[str]:
        """Returns the content hashes that the wanted revision lacks."""
        if self.wanted is None:
            return []
        digests = self.wanted.revision.files.values()
        return sorted(set(digests) - self.contents.keys())

    def put_in_force(self, revision: Revision) -> None:
        """Puts a revision in force and stores its difference to the last."""
        old = self.in_force
        self.deltas[revision.number] = RevisionDelta(
            old.number, diff_files(old.files, revision.files)
        )
        if len(self.deltas) > MAX_DELTAS_KEPT:
            self.deltas.popitem(last=False)
        self.in_force = revision

    def prune_contents(self) -> None:
        """Drops contents that neither revision needs."""
        needed = set(self.in_force.files.values())
        if self.wanted is not None:
            needed.update(self.wanted.revision.files.values())
        for digest in self.contents.keys() - needed:
            del self.contents[digest]

    def changes_since(self, base: int) -> Mapping[str, str] | None:
        """Returns the files that differ from an earlier revision.

        Args:
            base: Number of the earlier revision.

        Returns:
            Content hash by file name ("" where removed), or None if the
            differences since that revision are no longer stored.
        """
        changed, number = {}, self.in_force.number
        while number > base:
            delta = self.deltas.get(number)
            if delta is None:
                return None
            changed = {**delta.changed, **changed}
            number = delta.base
        return changed if number == base else None


def diff_files(
    old: Mapping[str, str], new: Mapping[str, str]
) -> dict[str, str]:
    """Returns the new hash of each file that differs, "" where removed."""
    return {
        name: new.get(name, "")
        for name in {*old, *new}
        if old.get(name) != new.get(name)
    }


def apply_changes(
    old: Mapping[str, str], changed: Mapping[str, str]
) -> dict[str, str]:
    """Returns the content hash by file name after a change."""
    return {n: d for n, d in {**old, **changed}.items() if d}
