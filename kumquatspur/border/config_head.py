"""Model and codec of the configuration's head key in the store."""

import dataclasses

import pydantic

MAX_HEAD_BYTES = 1_000_000
MAX_HISTORY = 100


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """One accepted change.

    Attributes:
        revision: The revision that the change created.
        change_id: The change's identifier.
        author: Who made the change.
        changed: New content hash by file name; "" for a removed file.
        previous: Old content hash by file name; "" for an added file.
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
        archive: Content hash of the `HistoryArchive` of earlier changes.
    """

    revision: int = 0
    files: dict[str, str] = dataclasses.field(default_factory=dict)
    history: tuple[HistoryEntry, ...] = ()
    archive: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryArchive:
    """Changes that no longer fit into the head.

    Attributes:
        entries: The changes, oldest first.
        earlier: Content hash of the preceding archive; "" if none.
    """

    entries: tuple[HistoryEntry, ...]
    earlier: str


_HEAD = pydantic.TypeAdapter(Head)
_ARCHIVE = pydantic.TypeAdapter(HistoryArchive)


def encode_head(head: Head) -> str:
    """Encodes the head key's value."""
    return _HEAD.dump_json(head).decode()


def decode_head(text: str | None) -> Head:
    """Decodes the head key's value.

    Args:
        text: The value; None if the key does not exist.

    Returns:
        The head.

    Raises:
        ValueError: The value is malformed.
    """
    return Head() if text is None else _HEAD.validate_json(text)


def encode_archive(archive: HistoryArchive) -> str:
    """Encodes an archive."""
    return _ARCHIVE.dump_json(archive).decode()


def decode_archive(text: str) -> HistoryArchive:
    """Decodes an archive.

    Raises:
        ValueError: The text is malformed.
    """
    return _ARCHIVE.validate_json(text)
