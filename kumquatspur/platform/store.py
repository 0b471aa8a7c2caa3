"""Client of the platform's metadata store."""

import base64
import dataclasses
import json
from urllib.parse import quote

import urllib3

from kumquatspur.core.records import Address

# A search for a lost connection must end well before an entry is acted upon.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0


class PlatformStoreError(Exception):
    """The store gave no usable answer.

    A write that raised this may have taken effect, or may yet.

    Attributes:
        status: HTTP status; 0 if there was no answer.
    """

    def __init__(self, message: str, status: int = 0):
        super().__init__(message)
        self.status = status


class HistoryUnavailableError(PlatformStoreError):
    """The store no longer has the changes that were asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChange:
    """A key as it was written, or its removal.

    Attributes:
        key: The key.
        revision: The store's revision of the change.
        value: The value; None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreView:
    """Keys at a revision.

    Attributes:
        revision: The store's revision.
        changes: Keys and values, or changes since an earlier revision.
    """

    revision: int
    changes: tuple[StoreChange, ...]


class PlatformStore:
    """Calls the platform's store; each call uses one kept connection.

    Attributes:
        calls: Number of calls made.
    """

    def __init__(self, address: Address):
        self.calls = 0
        self._pool = urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=2
        )

    def read_all(self, prefix: str) -> StoreView:
        """Reads all keys below a prefix.

        Pages are not a snapshot: the revision is that of the first page, so
        that changes made while reading are seen again.

        Args:
            prefix: Start of the keys.

        Returns:
            The keys.

        Raises:
            PlatformStoreError: No usable answer.
        """
        found = []
        revision = None
        path = f"/kv-range?prefix={quote(prefix, safe='')}"
        after = ""
        while True:
            reply = self._call("GET", path + after)
            try:
                page = [_decode_change(item) for item in reply["items"]]
                if found and page and page[-1].key <= found[-1].key:
                    raise ValueError("a page does not follow the one before")
                found += page
                if revision is None:
                    revision = _revision(reply["current-rev"])
                more = bool(reply["has-more"]) and bool(reply["items"])
            except (KeyError, TypeError, ValueError) as error:
                raise PlatformStoreError(f"bad reply: {error}") from error
            if not more:
                return StoreView(revision, tuple(found))
            after = f"&after={quote(found[-1].key, safe='')}"

    def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> StoreView:
        """Waits for changes.

        Args:
            prefix: Start of the keys.
            after: Revision up to which changes are known.
            wait_s: The longest wait, in seconds.

        Returns:
            The changes, possibly none.

        Raises:
            HistoryUnavailableError: The changes are no longer available.
            PlatformStoreError: No usable answer.
        """
        reply = self._call(
            "GET",
            f"/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
            f"&wait-ms={int(wait_s * 1000)}",
            wait_s + CALL_TIMEOUT_S,
        )
        try:
            return StoreView(
                _revision(reply["current-rev"]),
                tuple(_decode_change(item) for item in reply["events"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformStoreError(f"bad reply: {error}") from error

    def _call(self, method, path, timeout_s=CALL_TIMEOUT_S) -> dict:
        self.calls += 1
        try:
            response = self._pool.urlopen(
                method,
                path,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=timeout_s
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformStoreError(str(error)) from error
        if response.status == 410:
            raise HistoryUnavailableError("history is gone", 410)
        if response.status != 200:
            raise PlatformStoreError(
                f"status {response.status}", response.status
            )
        try:
            reply = json.loads(response.data)
        except (ValueError, RecursionError) as error:
            raise PlatformStoreError(f"bad reply: {error}") from error
        if not isinstance(reply, dict):
            raise PlatformStoreError("bad reply: not an object")
        return reply


def _decode_change(item: dict) -> StoreChange:
    if not isinstance(item, dict) or not isinstance(item["key"], str):
        raise TypeError("an item is no object with a key")
    # A removal has a flag in place of a value.
    if item.get("removed"):
        return StoreChange(item["key"], _revision(item["revision"]), None)
    value = base64.b64decode(item["value"], validate=True)
    return StoreChange(item["key"], _revision(item["revision"]), value)


def _revision(value) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"revision is {value!r}")
    return value
