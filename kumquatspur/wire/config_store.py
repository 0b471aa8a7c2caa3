"""The operators' configuration as kept in the platform's store.

The head key holds the revision and the content hash of each file. A change is
accepted at the moment the head is replaced by compare-and-swap.
"""

import dataclasses
import json
import uuid
from collections.abc import Mapping

from kumquatspur.border.config_files import content_hash, load_configuration
from kumquatspur.core.records import Diagnostic
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreConflictError,
    StoreUnavailableError,
)

MAX_HISTORY = 100
MAX_TRIES = 8


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted change.

    Attributes:
        revision: The revision that it made.
        change_id: The change's identifier.
        author: Who made it.
        changed: New content hash by file name; "" where it was removed.
        previous: Old content hash by file name; "" where it was added.
    """

    revision: int
    change_id: str
    author: str
    changed: dict[str, str]
    previous: dict[str, str]


@dataclasses.dataclass(frozen=True)
class Head:
    """The value of the head key.

    Attributes:
        revision: The revision; 0 before the first change.
        files: Content hash by file name.
        history: The latest changes, oldest first.
    """

    revision: int = 0
    files: dict[str, str] = dataclasses.field(default_factory=dict)
    history: tuple[HistoryEntry, ...] = ()


@dataclasses.dataclass(frozen=True)
class PushResult:
    """What became of a push.

    Attributes:
        revision: The revision now in the store.
        changed: Names of the files that the push changed.
    """

    revision: int
    changed: tuple[str, ...]


def _encode_head(head: Head) -> str:
    return json.dumps(dataclasses.asdict(head))


def decode_head(text: str | None) -> Head:
    """Decodes the head key's value.

    Args:
        text: The value; None if the key does not exist.

    Returns:
        The head.
    """
    if text is None:
        return Head()
    raw = json.loads(text)
    history = tuple(HistoryEntry(**entry) for entry in raw["history"])
    return Head(raw["revision"], raw["files"], history)


class ConfigStore:
    """Reads and changes the configuration in the store."""

    def __init__(self, client: StoreClient, prefix: str):
        self._client = client
        self._prefix = prefix

    def head_key(self) -> str:
        """Returns the key of the head."""
        return f"{self._prefix}/head"

    def read_head(self) -> Head:
        """Reads the head.

        Raises:
            StoreUnavailableError: No answer.
        """
        return decode_head(self._client.get(self.head_key()).value)

    def read_file(self, digest: str) -> str:
        """Reads the content of a file.

        Raises:
            StoreUnavailableError: No answer, or the content is not there.
        """
        stored = self._client.get(f"{self._prefix}/content/{digest}")
        if stored.value is None:
            raise StoreUnavailableError(f"content {digest} is missing")
        return stored.value

    def push(
        self,
        files: Mapping[str, str],
        base: Mapping[str, str],
        author: str,
    ) -> tuple[PushResult | None, list[Diagnostic]]:
        """Replaces the folder, keeping others' edits of other files.

        Args:
            files: The wanted content of each file by name.
            base: The content hashes that the edits started from.
            author: Who makes the change.

        Returns:
            The result, or None, and the errors found.

        Raises:
            StoreUnavailableError: The store stayed out of reach.
        """
        _, errors = load_configuration(files)
        if errors:
            return None, errors
        wanted = {name: content_hash(text) for name, text in files.items()}
        edits = {
            name: wanted.get(name, "")
            for name in {*wanted, *base}
            if wanted.get(name) != base.get(name)
        }
        change_id = uuid.uuid4().hex
        for name, digest in edits.items():
            if digest:
                self._write_content(digest, files[name])
        return self._swap(edits, base, author, change_id)

    def _swap(self, edits, base, author: str, change_id: str):
        for _ in range(MAX_TRIES):
            stored = self._client.get(self.head_key())
            head = decode_head(stored.value)
            if any(entry.change_id == change_id for entry in head.history):
                return PushResult(head.revision, tuple(sorted(edits))), []
            conflicts = _conflicts(head, edits, base, author)
            if conflicts:
                return None, conflicts
            new_head = _apply(head, edits, author, change_id)
            if new_head.files == head.files:
                return PushResult(head.revision, ()), []
            try:
                self._client.put(
                    self.head_key(), _encode_head(new_head), stored.version
                )
            except (StoreConflictError, StoreUnavailableError):
                # The change id in the history tells whether a write whose
                # answer was lost took effect.
                continue
            return PushResult(new_head.revision, tuple(sorted(edits))), []
        raise StoreUnavailableError("the head could not be replaced")

    def _write_content(self, digest: str, text: str) -> None:
        try:
            self._client.put(f"{self._prefix}/content/{digest}", text, 0)
        except StoreConflictError:
            return


def _conflicts(head: Head, edits, base, author: str) -> list[Diagnostic]:
    errors = []
    for name in sorted(edits):
        current = head.files.get(name)
        if current == base.get(name) or current == (edits[name] or None):
            continue
        other = _last_author(head, name)
        errors.append(
            Diagnostic(
                name,
                f"was changed by {other} as {author} was changing it;"
                " read it again and repeat the change",
            )
        )
    return errors


def _last_author(head: Head, name: str) -> str:
    for entry in reversed(head.history):
        if name in entry.changed:
            return entry.author
    return "another operator"


def _apply(head: Head, edits, author: str, change_id: str) -> Head:
    files = dict(head.files)
    previous = {name: files.get(name, "") for name in edits}
    for name, digest in edits.items():
        if digest:
            files[name] = digest
        else:
            files.pop(name, None)
    entry = HistoryEntry(
        head.revision + 1, change_id, author, dict(edits), previous
    )
    history = (*head.history, entry)[-MAX_HISTORY:]
    return Head(head.revision + 1, files, history)
