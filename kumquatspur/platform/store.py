"""Client of the platform's metadata store."""

import base64
import dataclasses
import json
from collections.abc import Iterable, Mapping
from urllib.parse import quote

import urllib3

from kumquatspur.border.bounded_http import BoundedConnectionPool
from kumquatspur.core.records import Address
from kumquatspur.platform.documents import without_excess
from kumquatspur.policy.store_position import UNKNOWN_ERA

# Both timeouts are short, so that a host detects that the store is unreachable
# well before it would stop using searchers whose entries seem to have expired.
READ_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
ERA_HEADER = "Store-Era"
# Status of a write whose preconditions do not hold.
PRECONDITION_FAILED = 412


class PlatformStoreError(Exception):
    """The store returned no usable answer.

    The store may have processed the request, or may still process it.

    Attributes:
        status: HTTP status; 0 if there was no answer or a malformed one.
    """

    def __init__(self, message: str, status: int = 0):
        super().__init__(message)
        self.status = status


class PreconditionFailedError(PlatformStoreError):
    """A key of a write was changed by somebody else."""


class HistoryUnavailableError(PlatformStoreError):
    """The store no longer has the requested changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChange:
    """The write or removal of a key.

    Attributes:
        key: The key.
        revision: The store's revision of the change.
        value: The value; None if the key was removed.
    """

    key: str
    revision: int
    # May contain the keys of accounts, which must not get into logs.
    value: bytes | None = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class StoreView:
    """The store's state at a revision, or its changes up to that revision.

    `PlatformStore.read_all` returns the state, and
    `PlatformStore.wait_for_changes` returns the changes.

    Attributes:
        revision: The store's revision.
        changes: All keys with their values, or the changes since an earlier
            revision.
        era: Era of the store; `UNKNOWN_ERA` if it names none.
        unreadable: Keys, as Python literals, that are no text. Their items are
            left out.
    """

    revision: int
    changes: tuple[StoreChange, ...]
    era: int = UNKNOWN_ERA
    unreadable: tuple[str, ...] = ()


class PlatformStore:
    """Client of the metadata store that keeps its connections open.

    Attributes:
        calls: Number of HTTP requests made.
    """

    def __init__(self, address: Address):
        self.calls = 0
        self._pool = BoundedConnectionPool(
            address.host, address.port, maxsize=2
        )

    def read_all(self, prefix: str) -> StoreView:
        """Reads all keys with a prefix.

        The pages together are not a consistent snapshot. The revision is that
        of the first page, so that a later watch returns the changes that were
        made while the pages were read.

        Args:
            prefix: Prefix of the keys.

        Returns:
            The keys and values.

        Raises:
            PlatformStoreError: The store returned no usable answer.
        """
        changes, unreadable, last_key = [], [], ""
        revision = era = None
        path = f"/kv-range?prefix={quote(prefix, safe='')}"
        after = ""
        while True:
            reply, page_era = self._call("GET", path + after)
            if era not in (None, page_era):
                raise PlatformStoreError(
                    f"era changed from {era} to {page_era} between pages"
                )
            era = page_era
            try:
                page, odd_keys, page_end = _decode_changes(reply["items"])
                if page_end and page_end <= last_key:
                    raise ValueError(
                        f"page ends at key {page_end!r}, not after {last_key!r}"
                    )
                last_key = page_end
                changes += page
                unreadable += odd_keys
                if revision is None:
                    revision = _parse_revision(reply["current-rev"])
                more = bool(reply["has-more"]) and bool(reply["items"])
            except (KeyError, TypeError, ValueError) as error:
                raise PlatformStoreError(
                    f"malformed reply to {path + after}: {error}"
                ) from error
            if not more:
                return StoreView(
                    revision, tuple(changes), era, tuple(unreadable)
                )
            after = f"&after={quote(last_key, safe='', errors='surrogatepass')}"

    def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> StoreView:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Maximum time to wait, in seconds.

        Returns:
            The changes, possibly none.

        Raises:
            HistoryUnavailableError: The store no longer has the changes.
            PlatformStoreError: The store returned no usable answer.
        """
        reply, era = self._call(
            "GET",
            f"/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
            f"&wait-ms={int(wait_s * 1000)}",
            wait_s + READ_TIMEOUT_S,
        )
        try:
            changes, unreadable, _ = _decode_changes(reply["events"])
            return StoreView(
                _parse_revision(reply["current-rev"]),
                tuple(changes),
                era,
                tuple(unreadable),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformStoreError(
                f"malformed reply to a watch of {prefix}: {error}"
            ) from error

    def write(
        self,
        preconditions: Iterable[tuple[str, int]],
        puts: Mapping[str, bytes],
        removes: Iterable[str] = (),
    ) -> None:
        """Writes and removes keys together, or none of them.

        Args:
            preconditions: Pairs of key and revision; the revision of a key that
                must not exist is 0.
            puts: Values to write, by key.
            removes: Keys to remove.

        Raises:
            PreconditionFailedError: A key has another revision; nothing was
                written.
            PlatformStoreError: The store returned no usable answer, and may
                have written; or it refuses the write.
        """
        document = {
            "precondition": [
                {"key": key, "revision": revision}
                for key, revision in preconditions
            ],
            "set-keys": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": 0,
                }
                for key, value in puts.items()
            ],
            "remove": list(removes),
        }
        try:
            self._call("POST", "/kv-txn", body=json.dumps(document).encode())
        except PlatformStoreError as error:
            if error.status == PRECONDITION_FAILED:
                raise PreconditionFailedError(
                    str(error), error.status
                ) from error
            raise

    def _call(
        self, method, path, timeout_s=READ_TIMEOUT_S, body=None
    ) -> tuple[dict, int]:
        """Returns the reply's JSON object and the store's era."""
        self.calls += 1
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=body,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformStoreError(str(error)) from error
        if response.status == 410:
            raise HistoryUnavailableError(
                f"store no longer has the changes for {path}", 410
            )
        if response.status != 200:
            raise PlatformStoreError(
                f"{method} {path} returned HTTP status {response.status}",
                response.status,
            )
        try:
            reply = json.loads(response.data)
        except (ValueError, RecursionError) as error:
            raise PlatformStoreError(
                f"reply to {path} is not JSON: {error}"
            ) from error
        if not isinstance(reply, dict):
            raise PlatformStoreError(f"reply to {path} is not a JSON object")
        return reply, _decode_era(response.headers.get(ERA_HEADER))


def _decode_changes(
    items: list,
) -> tuple[list[StoreChange], list[str], str]:
    """Decodes the items of a reply.

    Returns:
        The changes, the keys that are no text, and the last key of all.
    """
    changes, unreadable, last_key = [], [], ""
    for item in items:
        change = _decode_change(item)
        last_key = change.key
        try:
            # Other hosts could not be told of it.
            last_key.encode()
        except UnicodeEncodeError:
            unreadable.append(ascii(last_key))
            continue
        changes.append(change)
    return changes, unreadable, last_key


def _decode_change(item: dict) -> StoreChange:
    if not isinstance(item, dict) or not isinstance(item["key"], str):
        raise TypeError("item is not an object with a string as key")
    # A removal has the flag "removed" and no value.
    if item.get("removed"):
        return StoreChange(item["key"], _parse_revision(item["revision"]), None)
    value = base64.b64decode(item["value"], validate=True)
    return StoreChange(
        item["key"],
        _parse_revision(item["revision"]),
        without_excess(item["key"], value),
    )


def _decode_era(value: str | None) -> int:
    if value is None or not value.strip().isdecimal():
        return UNKNOWN_ERA
    return int(value)


def _parse_revision(value) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"revision is {value!r}, not an integer")
    return value
