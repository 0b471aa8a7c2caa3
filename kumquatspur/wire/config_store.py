"""Reads and changes the configuration files in the configuration store.

The head key contains the revision and the content hash of each file. A change
is accepted when the head has been replaced by compare-and-swap.
"""

import dataclasses
import uuid
from collections.abc import Callable, Iterator, Mapping

import tenacity

from kumquatspur.border.config_files import content_hash, load_configuration
from kumquatspur.border.config_head import (
    MAX_HEAD_BYTES,
    MAX_HISTORY,
    Head,
    HistoryArchive,
    HistoryEntry,
    decode_archive,
    decode_head,
    encode_archive,
    encode_head,
)
from kumquatspur.core.records import Diagnostic
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreConflictError,
    StoreUnavailableError,
)

__all__ = ["ConfigStore", "Head", "HistoryEntry", "PushResult", "decode_head"]

MAX_ATTEMPTS = 12
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0

_retry_unavailable = tenacity.retry(
    retry=tenacity.retry_if_exception_type(StoreUnavailableError),
    stop=tenacity.stop_after_attempt(MAX_ATTEMPTS),
    wait=tenacity.wait_random_exponential(MIN_BACKOFF_S, MAX_BACKOFF_S),
    reraise=True,
)


@dataclasses.dataclass(frozen=True)
class PushResult:
    """The result of a push.

    Attributes:
        revision: The revision that the push created, or the current one if
            nothing changed.
        changed: Names of the files that the push changed.
    """

    revision: int
    changed: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class _Change:
    """A change of files.

    Attributes:
        edits: New content hash by file name; "" removes the file.
        base: Content hashes on which the edits are based.
        author: Who makes the change.
        change_id: Identifies the change in the history.
    """

    edits: dict[str, str]
    base: Mapping[str, str]
    author: str
    change_id: str


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
            StoreUnavailableError: The store did not answer.
        """
        return decode_head(self._client.get(self.head_key()).value)

    def read_file(self, digest: str) -> str:
        """Reads the content of a file.

        Raises:
            StoreUnavailableError: The store did not answer, or has no such
                content.
        """
        stored = self._client.get(f"{self._prefix}/content/{digest}")
        if stored.value is None:
            raise StoreUnavailableError(f"content {digest} is missing")
        return stored.value

    def read_history(self, head: Head) -> Iterator[HistoryEntry]:
        """Yields all accepted changes up to a head, latest first.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        yield from reversed(head.history)
        digest = head.archive
        while digest:
            archive = decode_archive(self._read_retrying(digest))
            yield from reversed(archive.entries)
            digest = archive.earlier

    def push(
        self,
        files: Mapping[str, str],
        base: Mapping[str, str],
        author: str,
    ) -> tuple[PushResult | None, list[Diagnostic]]:
        """Replaces all files but keeps concurrent edits of unchanged ones.

        Args:
            files: The new content of each file by name.
            base: The content hashes on which the edits are based.
            author: Who makes the change.

        Returns:
            The result, or None, and the errors found.

        Raises:
            StoreUnavailableError: The store did not answer in MAX_ATTEMPTS
                attempts.
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
        for name, digest in edits.items():
            if digest:
                self._write_content(digest, files[name])
        texts = {wanted[name]: text for name, text in files.items()}
        change = _Change(edits, base, author, uuid.uuid4().hex)
        return self._swap(change, texts)

    def rollback(
        self, revision: int, author: str
    ) -> tuple[PushResult | None, list[Diagnostic]]:
        """Creates a revision with the files of an earlier revision.

        Args:
            revision: The earlier revision.
            author: Who makes the change.

        Returns:
            The result, or None, and the errors found.

        Raises:
            StoreUnavailableError: The store did not answer in MAX_ATTEMPTS
                attempts.
        """
        head = _retry_unavailable(self.read_head)()
        files = self._files_at(head, revision)
        if files is None:
            return None, [Diagnostic(str(revision), "is no earlier revision")]
        edits = {
            name: files.get(name, "")
            for name in {*files, *head.files}
            if files.get(name) != head.files.get(name)
        }
        change = _Change(edits, head.files, author, uuid.uuid4().hex)
        return self._swap(change, {})

    def _files_at(self, head: Head, revision: int) -> dict[str, str] | None:
        files = dict(head.files)
        if not 0 < revision <= head.revision:
            return None
        for entry in self.read_history(head):
            if entry.revision <= revision:
                break
            _apply_edits(files, entry.previous)
        return files

    def _swap(self, change: _Change, texts: dict[str, str]):
        first_attempted_revision = None
        for _ in range(MAX_ATTEMPTS):
            stored = self._get_retrying(self.head_key())
            head = decode_head(stored.value)
            accepted = self._find_change(
                head, change.change_id, first_attempted_revision
            )
            if accepted is not None:
                return _push_result(accepted), []
            errors = _find_conflicts(head, change)
            new_head = _apply(head, change, self._write_text)
            errors = errors or self._validate(new_head, texts)
            if errors:
                return None, errors
            if new_head.files == head.files:
                return PushResult(head.revision, ()), []
            first_attempted_revision = (
                new_head.revision
                if first_attempted_revision is None
                else first_attempted_revision
            )
            try:
                self._client.put(
                    self.head_key(), encode_head(new_head), stored.version
                )
            except (StoreConflictError, StoreUnavailableError):
                # If the reply was lost, the change id in the history shows
                # whether the write took effect.
                continue
            return _push_result(new_head.history[-1]), []
        raise StoreUnavailableError("the head could not be replaced")

    def _find_change(
        self, head: Head, change_id: str, first_attempted_revision: int | None
    ):
        """Returns the history entry of a change that is accepted already."""
        if first_attempted_revision is None:
            return None
        for entry in self.read_history(head):
            if entry.change_id == change_id:
                return entry
            if entry.revision <= first_attempted_revision:
                return None
        return None

    def _validate(self, head: Head, texts: dict[str, str]) -> list[Diagnostic]:
        """Validates all files of a head, concurrent edits included."""
        if len(encode_head(head).encode()) > MAX_HEAD_BYTES:
            message = f"the folder's index exceeds {MAX_HEAD_BYTES} bytes"
            return [Diagnostic("head", message)]
        for digest in set(head.files.values()) - texts.keys():
            texts[digest] = self._read_retrying(digest)
        files = {name: texts[digest] for name, digest in head.files.items()}
        return load_configuration(files)[1]

    def _write_text(self, text: str) -> str:
        digest = content_hash(text)
        self._write_content(digest, text)
        return digest

    @_retry_unavailable
    def _write_content(self, digest: str, text: str) -> None:
        try:
            self._client.put(f"{self._prefix}/content/{digest}", text, 0)
        except StoreConflictError:
            # The key is a hash of the content, so the content is stored.
            return

    @_retry_unavailable
    def _get_retrying(self, key: str):
        return self._client.get(key)

    @_retry_unavailable
    def _read_retrying(self, digest: str) -> str:
        return self.read_file(digest)


def _push_result(entry: HistoryEntry) -> PushResult:
    return PushResult(entry.revision, tuple(sorted(entry.changed)))


def _find_conflicts(head: Head, change: _Change) -> list[Diagnostic]:
    errors = []
    for name in sorted(change.edits):
        current = head.files.get(name)
        wanted = change.edits[name] or None
        if current in (change.base.get(name), wanted):
            continue
        other = _last_author(head, name)
        errors.append(
            Diagnostic(
                name,
                f"was changed by {other} as {change.author} was changing it;"
                " read it again and repeat the change",
            )
        )
    return errors


def _last_author(head: Head, name: str) -> str:
    for entry in reversed(head.history):
        if name in entry.changed:
            return entry.author
    return "another operator"


def _apply_edits(files: dict[str, str], edits: Mapping[str, str]) -> None:
    for name, digest in edits.items():
        if digest:
            files[name] = digest
        else:
            files.pop(name, None)


def _apply(
    head: Head, change: _Change, write_text: Callable[[str], str]
) -> Head:
    edits = {
        name: digest
        for name, digest in change.edits.items()
        if head.files.get(name, "") != digest
    }
    files = dict(head.files)
    previous = {name: files.get(name, "") for name in edits}
    _apply_edits(files, edits)
    revision = head.revision + 1
    entry = HistoryEntry(
        revision, change.change_id, change.author, edits, previous
    )
    history, archive = (*head.history, entry), head.archive
    if len(history) > MAX_HISTORY:
        split = len(history) - MAX_HISTORY // 2
        old = HistoryArchive(history[:split], archive)
        history, archive = history[split:], write_text(encode_archive(old))
    return Head(revision, files, history, archive)
