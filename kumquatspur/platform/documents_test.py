import json
import unittest

from kumquatspur.core.records import Address
from kumquatspur.core.routing import SearcherState
from kumquatspur.platform.documents import decode_config, decode_searcher

SEARCHER = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "config-version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {
    "name": "r",
    "host": "Host.example",
    "prefix": "/a/",
    "route-type": "non_idempotent",
    "timeout-ms": 600,
    "target-latency-ms": 118,
    "priority": 1,
    "max-attempts": 2,
    "service": "s",
}
CONFIG = {
    "config-version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "max-connections": 26, "protocol": "h1"}],
    "limits": {
        "header-bytes": 100,
        "max-body-bytes": 200,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 4000,
    },
}


def encode_document(document, **changes):
    changed = {**document, **changes}
    changed = {k: v for k, v in changed.items() if v is not ...}
    return json.dumps(changed).encode()


class SearcherTest(unittest.TestCase):
    def test_fields(self):
        entry, errors = decode_searcher(
            "servers/i-1", encode_document(SEARCHER)
        )
        self.assertEqual(errors, [])
        self.assertEqual(entry.searcher_id, "i-1")
        self.assertEqual(entry.address, Address("10.0.0.9", 8080))
        self.assertIs(entry.state, SearcherState.READY)
        self.assertEqual(entry.warmup_left_s, 1.5)
        self.assertEqual(entry.started_unix_ms, 1700000000000)

    def test_unknown_fields_are_ignored(self):
        entry, _ = decode_searcher(
            "servers/i", encode_document(SEARCHER, rack="q")
        )
        self.assertIsNotNone(entry)

    def test_invalid_searcher_entries(self):
        invalid = {
            "state": ["ended", None, 1, ...],
            "slots": ["2", 0, True, ...],
            "address": ["10.0.0.9", 5, "10.0.0.9:x", ...],
            "service": ["", None, ...],
            "zone": [7, ...],
            "sequence": ["4", -1, ...],
            "warmup-left-ms": ["0", -1, ...],
            "config-version": [1, ...],
            "born": [1.5, "x"],
        }
        for field, values in invalid.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    data = encode_document(SEARCHER, **{field: value})
                    entry, errors = decode_searcher("servers/i", data)
                    self.assertIsNone(entry)
                    self.assertTrue(errors[0].message)
                    self.assertIn("servers/i", errors[0].source)

    def test_malformed_bytes(self):
        for data in (b"", b"\xff\xfe", b"[]", b"{", b"null", b"7"):
            with self.subTest(data=data):
                entry, errors = decode_searcher("servers/i", data)
                self.assertIsNone(entry)
                self.assertTrue(errors)


class ConfigTest(unittest.TestCase):
    def test_forwarded_route(self):
        config, errors = decode_config(encode_document(CONFIG))
        self.assertEqual(errors, [])
        (route,) = config.routes
        self.assertEqual(config.version, 7)
        self.assertEqual(route.host, "host.example")
        self.assertFalse(route.repeatable)
        self.assertEqual(route.timeout_s, 0.6)
        self.assertEqual(route.services(), ("s",))
        self.assertEqual(config.services["s"].max_connections, 26)
        self.assertEqual(config.limits.idle_timeout_s, 4.0)

    def test_split_route(self):
        split = [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}]
        changed = {**ROUTE, "service": None, "traffic-split": split}
        config, _ = decode_config(encode_document(CONFIG, routes=[changed]))
        weights = [target.weight for target in config.routes[0].targets]
        self.assertEqual(weights, [3.0, 1.0])

    def test_scattered_route(self):
        changed = {
            **ROUTE,
            "service": None,
            "fanout-services": ["s", "t"],
            "result-limit": 5,
            "min-shard-ratio": 0.5,
        }
        config, _ = decode_config(encode_document(CONFIG, routes=[changed]))
        route = config.routes[0]
        self.assertEqual(route.shards, ("s", "t"))
        self.assertEqual(route.result_limit, 5)
        self.assertEqual(route.min_shard_ratio, 0.5)

    def test_account_names_that_cannot_be_a_header_are_refused(self):
        """A line end in a name would let it add headers to requests."""
        for name, valid in (
            ("n", True),
            ("süd 1", True),
            ("a\r\nx: y", False),
            ("a\n", False),
            (" a", False),
            ("\x7f", False),
            ("a\ud800", False),
        ):
            tenants = [{"name": name, "api-keys": ["k"]}]
            config, _ = decode_config(encode_document(CONFIG, tenants=tenants))
            self.assertEqual(config is not None, valid, repr(name))

    def test_keys_that_are_no_text_are_refused(self):
        """They must not stop the host, nor be shown in the error."""
        for keys in (["\ud800secret"], [{"secret": 1}], "secret", [""]):
            tenants = [{"name": "n", "api-keys": keys}]
            config, errors = decode_config(
                encode_document(CONFIG, tenants=tenants)
            )
            self.assertIsNone(config)
            self.assertNotIn("secret", repr(errors))

    def test_health_path_that_cannot_be_sent_rejects_no_configuration(self):
        service = {"name": "s", "max-connections": 26}
        for value, expected in (
            ("/health?deep=1", "/health?deep=1"),
            ("/a b", ""),
            ("/a\r\nX: y", ""),
            ("health", ""),
            (None, ""),
        ):
            config, errors = decode_config(
                encode_document(
                    CONFIG, services=[{**service, "health-path": value}]
                )
            )
            self.assertEqual(errors, [])
            self.assertEqual(config.services["s"].health_path, expected)

    def test_errors_name_the_invalid_field(self):
        invalid = {
            "config-version": encode_document(
                CONFIG, **{"config-version": "7"}
            ),
            "routes.0.prefix": encode_document(
                CONFIG, routes=[{**ROUTE, "prefix": "a"}]
            ),
            "routes.0.timeout-ms": encode_document(
                CONFIG, routes=[{**ROUTE, "timeout-ms": 0}]
            ),
            "routes.0": encode_document(
                CONFIG, routes=[{**ROUTE, "service": None}]
            ),
        }
        for field, data in invalid.items():
            with self.subTest(field=field):
                config, errors = decode_config(data)
                self.assertIsNone(config)
                self.assertIn(field, errors[0].source)

    def test_whole_numbers_may_have_a_decimal_point(self):
        route = {**ROUTE, "max-attempts": 2.0, "priority": 1.0}
        config, errors = decode_config(encode_document(CONFIG, routes=[route]))
        self.assertEqual(errors, [])
        (decoded,) = config.routes
        self.assertEqual((decoded.max_attempts, decoded.priority), (2, 1))
        self.assertIsInstance(decoded.max_attempts, int)
        route["max-attempts"] = 2.5
        config, errors = decode_config(encode_document(CONFIG, routes=[route]))
        self.assertIsNone(config)
        self.assertIn("max_attempts", str(errors[0]))

    def test_malformed_bytes(self):
        config, errors = decode_config(b"\xff")
        self.assertIsNone(config)
        self.assertTrue(errors)


if __name__ == "__main__":
    unittest.main()
