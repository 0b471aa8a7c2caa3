import json
import random
import unittest
import zlib

import msgpack

from kumquatspur.border import exchange_codec
from kumquatspur.border.exchange_codec import Exchange, StoreItem
from kumquatspur.platform.documents import CONFIG_KEY, SEARCHER_PREFIX
from kumquatspur.platform.store import StoreChange, StoreView
from kumquatspur.wire.store_mirror import StoreMirror
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
