"""Stand-in for the platform's metadata store: reads, watches and writes."""

import base64
import collections
import json
import urllib.parse

import eventlet
import eventlet.wsgi

from kumquatspur.core.records import Address
from standins.http_helpers import read_json

PAGE_ITEMS = 50
MAX_HISTORY_EVENTS = 500
POLL_S = 0.005


class StandInStore:
    """Keeps items in memory and answers over HTTP.

    Attributes:
        address: The address that it listens on.
        revision: The latest revision; each change increments it.
        items: Value and revision by key.
        calls: Number of calls by path.
        refuse_with: HTTP status with which all calls are refused; 0 for none.
        forbids_writes: Whether writes are refused with status 403.
        unresponsive: Whether calls wait without an answer.
        era: Number of the store's era, sent with all answers; None to send
            none.
    """

    def __init__(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*listener.getsockname())
        self.revision = 1
        self.items = {}
        self.calls = collections.Counter()
        self.refuse_with = 0
        self.forbids_writes = False
        self.unresponsive = False
        self.era = 1
        self._events = collections.deque(maxlen=MAX_HISTORY_EVENTS)
        self._history_start = 0
        self._thread = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            self._serve,
            log_output=False,
            debug=False,
        )

    def close(self) -> None:
        """Stops answering."""
        self._thread.kill()

    def put(self, key: str, value: bytes) -> None:
        """Writes an item."""
        self.revision += 1
        self.items[key] = (value, self.revision)
        self._events.append((self.revision, key, value))

    def put_json(self, key: str, value) -> None:
        """Writes a JSON value."""
        self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._events.append((self.revision, key, None))

    def copy(self) -> tuple[int, dict]:
        """Returns a copy of the content, for `restore`."""
        return self.revision, dict(self.items)

    def restore(self, copy: tuple[int, dict]) -> None:
        """Replaces the content by an earlier copy, as in a drill.

        Revisions go back and are handed out again.
        """
        self.revision, items = copy
        self.items = dict(items)
        self._events.clear()
        self._history_start = self.revision
        if self.era is not None:
            self.era += 1

    def drop_history(self) -> None:
        """Discards the change history; watches from before get status 410."""
        self._history_start = self.revision
        self._events.clear()

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        query = dict(
            urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""), True)
        )
        self.calls[path] += 1
        while self.unresponsive:
            eventlet.sleep(POLL_S)
        status, body = 404, {"error": "unknown call"}
        if self.refuse_with:
            status, body = self.refuse_with, {"error": "refused"}
        elif path == "/kv-range":
            status, body = 200, self._range(query)
        elif path == "/kv-watch":
            status, body = self._watch(query)
        elif path == "/kv-txn":
            status, body = self._write(read_json(environ))
        fields = [("Content-Type", "application/json")]
        if self.era is not None:
            fields.append(("Store-Era", str(self.era)))
        start_response(f"{status} Status", fields)
        return [json.dumps(body).encode()]

    def _range(self, query) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        page = keys[:PAGE_ITEMS]
        return {
            "items": [self._item(key, *self.items[key]) for key in page],
            "has-more": len(keys) > len(page),
            "current-rev": self.revision,
        }

    def _watch(self, query) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query["prefix"]
        left_s = int(query["wait-ms"]) / 1000.0
        while True:
            if after < self._history_start or after > self.revision:
                return 410, {"error": "history is gone"}
            changes = [
                event
                for event in self._events
                if event[0] > after and event[1].startswith(prefix)
            ]
            if changes or left_s <= 0:
                break
            eventlet.sleep(POLL_S)
            left_s -= POLL_S
        events = [
            self._item(key, value, revision)
            if value is not None
            else {"key": key, "revision": revision, "removed": True}
            for revision, key, value in changes
        ]
        return 200, {"events": events, "current-rev": self.revision}

    def _write(self, document) -> tuple[int, dict]:
        if self.forbids_writes:
            return 403, {"error": "forbidden"}
        for row in document["precondition"]:
            if self.items.get(row["key"], (b"", 0))[1] != row["revision"]:
                return 412, {"items": []}
        for item in document["set-keys"]:
            self.put(item["key"], base64.b64decode(item["value"]))
        for key in document["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _item(self, key, value, revision) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create-rev": revision,
            "lease": 0,
        }
