import base64
import json
import random
import unittest
import zlib
from unittest import mock

import msgpack

from kumquatspur.border import exchange_codec
from kumquatspur.border.exchange_codec import Exchange, StoreItem
from kumquatspur.platform import documents
from kumquatspur.platform.documents import (
    CONFIG_KEY,
    MAX_ENTRY_BYTES,
    SEARCHER_PREFIX,
)
from kumquatspur.platform.store import StoreChange, StoreView, _decode_change
from kumquatspur.wire.store_mirror import RECENT_BYTES, StoreMirror
from standins.platform_deployment import new_test_state

SEARCHERS = 300
_random = random.Random(1)


def item(name, revision, state="ready"):
    entry = {
        "service": "s0",
        "address": f"10.{revision % 7}.{revision % 251}.{revision % 13}:8000",
        "zone": "z",
        "config-version": "v1",
        "slots": 2,
        "state": state,
        "warmup-left-ms": 0,
        "sequence": revision,
    }
    return StoreChange(
        f"{SEARCHER_PREFIX}{name}", revision, json.dumps(entry).encode()
    )


def filled_mirror(count=SEARCHERS):
    mirror = StoreMirror(new_test_state())
    names = ["i-1", "i-2"]
    names += [f"i-{_random.getrandbits(40):x}" for _ in range(count - 2)]
    items = tuple(item(name, at) for at, name in enumerate(names, 1))
    mirror.replace(StoreView(count, items), 0.0, 0.0, "store")
    return mirror


class StoreMirrorTest(unittest.TestCase):
    def test_host_with_a_recent_copy_gets_only_changed_items(self):
        ahead = filled_mirror()
        behind = StoreMirror(new_test_state())
        items = tuple(ahead.items.values())
        behind.replace(StoreView(SEARCHERS, items), 0.0, 0.0, "store")
        changes = (item("i-1", 301, "draining"), item("i-new", 302))
        gone = StoreChange(f"{SEARCHER_PREFIX}i-2", 303, None)
        ahead.apply(StoreView(303, (*changes, gone)), 1.0, 1.0, "store")
        changed, kept = ahead.view_for(behind.revision)
        self.assertEqual(changed, list(changes))
        view = behind.merge_view(303, changed, kept)
        behind.replace(view, 1.0, 1.0, "peer")
        self.assertEqual(behind.items, ahead.items)
        self.assertEqual(
            set(behind.state.directory.by_id), set(ahead.state.directory.by_id)
        )

    def test_changes_that_are_older_than_the_copy_are_skipped(self):
        """Guards against a state that falls back after a view of a peer."""
        mirror = filled_mirror(2)
        view = StoreView(9, (item("i-1", 8, "draining"), item("i-2", 2)))
        mirror.replace(view, 1.0, 1.0, "peer")
        changes = (item("i-1", 7), item("i-3", 10))
        mirror.apply(StoreView(10, changes), 0.5, 2.0, "store")
        found = mirror.state.directory.by_id
        self.assertEqual(found["i-1"].state, "draining")
        self.assertIn("i-3", found)
        self.assertEqual(mirror.items[f"{SEARCHER_PREFIX}i-1"].revision, 8)

    def test_versions_of_a_large_configuration_are_not_kept(self):
        """Guards against hosts that run out of memory (CASE=versions)."""
        mirror = filled_mirror(2)
        value = b"x" * 900_000
        for revision in range(3, 200):
            change = StoreChange(CONFIG_KEY, revision, value[revision:])
            with mock.patch.object(mirror, "_apply_config"):
                mirror.apply(StoreView(revision, (change,)), 1.0, 1.0, "store")
        (kept,) = mirror.changes_after(2)
        self.assertEqual(kept.revision, 199)
        self.assertLess(mirror.recent_bytes, 1_000_000)

    def test_recent_changes_are_limited_by_their_length(self):
        mirror = filled_mirror(2)
        value = b"x" * MAX_ENTRY_BYTES
        count = 2 * RECENT_BYTES // MAX_ENTRY_BYTES
        for revision in range(3, 3 + count):
            change = StoreChange(
                f"{SEARCHER_PREFIX}i-{revision}", revision, value
            )
            mirror.apply(StoreView(revision, (change,)), 1.0, 1.0, "store")
        self.assertLessEqual(mirror.recent_bytes, RECENT_BYTES)
        self.assertIsNone(mirror.changes_after(2))
        kept = mirror.changes_after(mirror.recent_from_revision)
        self.assertEqual(kept[-1].revision, 2 + count)
        self.assertEqual(
            sum(len(change.value) for change in kept), mirror.recent_bytes
        )

    def test_follower_gets_all_that_has_changed(self):
        """Guards against followers that lack a change or have a late one."""
        numbers = random.Random(3)
        ahead = filled_mirror(2)
        followers = [filled_mirror(2) for _ in range(3)]
        for follower in followers:
            follower.items = dict(ahead.items)
        for revision in range(3, 300):
            name = f"i-{numbers.randrange(6)}"
            change = item(name, revision)
            if numbers.random() < 0.3:
                change = StoreChange(f"{SEARCHER_PREFIX}{name}", revision, None)
            ahead.apply(StoreView(revision, (change,)), 1.0, 1.0, "store")
            for follower in followers:
                if numbers.random() < 0.2:
                    changes = tuple(ahead.changes_after(follower.revision))
                    view = StoreView(revision, changes)
                    follower.apply(view, 1.0, 1.0, "peer")
                    self.assertEqual(follower.items, ahead.items)

    def test_entry_of_great_length_is_not_kept(self):
        """Guards against another writer's entries that fill the memory."""
        item = {
            "key": f"{SEARCHER_PREFIX}i-long",
            "value": base64.b64encode(b"x" * 1_000_000).decode(),
            "revision": 3,
        }
        change = _decode_change(item)
        self.assertLess(len(change.value), 100)
        found, (error,) = documents.decode_searcher(change.key, change.value)
        self.assertIsNone(found)
        self.assertIn("1000000 bytes", error.message)
        change = _decode_change({**item, "key": CONFIG_KEY})
        self.assertEqual(len(change.value), 1_000_000)

    def test_view_for_a_host_with_a_recent_copy_is_small(self):
        mirror = filled_mirror()

        def size(revision):
            changed, kept = mirror.view_for(revision)
            items = [
                StoreItem(key=i.key, revision=i.revision, value=i.value)
                for i in changed
            ]
            message = Exchange(
                name="h", zone="z", ip="1", port=1, link_mbps=1, cores=1,
                revision=300, age_s=0.0, items=tuple(items), kept=tuple(kept),
            )  # fmt: skip
            return len(exchange_codec.encode(message))

        self.assertLess(size(295), size(0) / 2)

    def test_merge_fails_if_an_unchanged_item_is_missing(self):
        mirror = filled_mirror()
        self.assertIsNone(
            mirror.merge_view(301, [], [f"{SEARCHER_PREFIX}other"])
        )


class ExchangeCodecTest(unittest.TestCase):
    def test_error_shows_no_part_of_the_message(self):
        """A message may contain the configuration, with keys of accounts."""
        data = zlib.compress(msgpack.packb({"config": "secret", "name": "h"}))
        with self.assertRaises(ValueError) as raised:
            exchange_codec.decode(data)
        self.assertNotIn("secret", str(raised.exception))
        item = StoreItem(key=CONFIG_KEY, revision=1, value=b"secret")
        self.assertNotIn("secret", repr(item))

    def test_damaged_messages_are_refused(self):
        message = Exchange(
            name="h",
            zone="z",
            ip="1",
            port=1,
            link_mbps=1,
            cores=1,
            revision=1,
            age_s=0.0,
        )
        data = exchange_codec.encode(message)
        self.assertEqual(exchange_codec.decode(data), message)
        for damaged in (b"", data[:-3], data[3:], b"\0" + data, b"{}"):
            with self.assertRaises(ValueError):
                exchange_codec.decode(damaged)


if __name__ == "__main__":
    unittest.main()
