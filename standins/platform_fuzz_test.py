"""Fuzz tests of the platform decoders and the HTTP readers."""

import ipaddress
import json
import math
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from kumquatspur.border import exchange_codec
from kumquatspur.border.decision_lines import DecisionLogReader
from kumquatspur.core.records import Address
from kumquatspur.platform import documents, headers
from kumquatspur.platform.store import PlatformStore, PlatformStoreError
from kumquatspur.policy.route_table import RouteTable
from kumquatspur.policy.searcher_pauses import MAX_PAUSE_S, SearcherPauses
from kumquatspur.wire.delegator import decode_delegated_request
from kumquatspur.wire.front_server import decode_request
from kumquatspur.wire.http_messages import (
    MessageError,
    RequestReader,
    ResponseReader,
    split_request,
)
from kumquatspur.wire.key_check import check_key
from standins.platform_searcher import (
    forwarded_route,
    make_config,
    scattered_route,
)

# Derandomized: every run uses the same examples.
fuzz = settings(max_examples=150, derandomize=True, deadline=None)

HEADER_LIMIT = 2000
BODY_LIMIT = 3000
SEARCHER_ENTRY = {
    "service": "s0",
    "address": "10.0.0.1:8000",
    "zone": "z",
    "config-version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 1,
    "born": 5,
}
CONFIG = make_config(
    3,
    [
        scattered_route("a", "/a/", ("s0", "s1")),
        forwarded_route("b", "/b/", "s2"),
    ],
)
TENANTS = [{"name": "n", "api-keys": ["k"]}]
KEYS_CONFIG, _ = documents.decode_config(
    json.dumps({**CONFIG, "tenants": TENANTS}).encode()
)
KEYS_TABLE = RouteTable(KEYS_CONFIG)
KEYS_ROUTE = KEYS_CONFIG.routes[0]
ITEM = {"key": "servers/i", "value": "e30=", "revision": 3, "lease": 0}
VALID = "GET /a HTTP/1.1\r\nHost: h\r\nKumquatspur-Attempt-Id: i"
REMOVAL = {"key": "servers/j", "revision": 4, "removed": True}
STORE_REPLY = {
    "items": [ITEM],
    "events": [ITEM, REMOVAL],
    "has-more": False,
    "current-rev": 4,
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(
        ["ready", "10.0.0.1:99999", ":1", "[::1]:80", "a:1", "/"]
    ),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)
TOKEN = st.text("abcXYZ-09", min_size=1, max_size=8)
VALUE = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=12)
CUTS = st.lists(st.integers(0, 6000), max_size=6)
NAMES = [
    "Host",
    "Content-Length",
    "Transfer-Encoding",
    "Connection",
    "Expect",
    "Kumquatspur-Attempt-Id",
    "Kumquatspur-Deadline-Ms",
    "Kumquatspur-Server-Load",
    "x-kumquatspur-age-us",
    "x-kumquatspur-key-digest",
    "Upgrade",
]
VALUES = ["5", "0", "-1", "1e9", "chunked", "close", "100-continue", "a, b"]
FIELD = st.tuples(
    st.sampled_from(NAMES) | TOKEN, st.sampled_from(VALUES) | VALUE
)

KEY_FIELD = st.tuples(
    st.sampled_from(
        ["Authorization", "aUTHORIZATION", "x-kumquatspur-account"]
    ),
    st.sampled_from(["Bearer k", "bearer  k ", "Bearer", "Bearer x"]) | VALUE,
)


@st.composite
def damaged_json(draw, document):
    """Draws a JSON document with a field replaced, left out or added."""
    result = json.loads(json.dumps(document))
    where = result
    while True:
        keys = list(where) if isinstance(where, dict) else range(len(where))
        if not keys:
            return result
        key = draw(st.sampled_from(list(keys)))
        inner = where[key]
        if isinstance(inner, dict | list) and draw(st.booleans()):
            where = inner
            continue
        if draw(st.booleans()):
            where[key] = draw(JSON)
        else:
            del where[key]
        return result


@st.composite
def messages(draw, first_lines):
    """Draws the bytes of an HTTP message that may be malformed."""
    lines = [draw(st.sampled_from(first_lines))]
    for name, value in draw(st.lists(FIELD, max_size=6)):
        lines.append(f"{name}: {value}")
    body = draw(st.binary(max_size=40))
    if draw(st.booleans()):
        lines.append(f"Content-Length: {len(body)}")
    end = draw(st.sampled_from(["\r\n", "\r\n", "\n"]))
    data = end.join([*lines, "", ""]).encode("latin-1") + body
    return data * draw(st.integers(1, 2))


def split_at(data, cuts):
    """Splits bytes at the given offsets, modulo the length."""
    positions = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in zip(positions, positions[1:], strict=False)]


def read_all(reader, parts):
    """Returns the messages read, and whether the bytes were malformed."""
    result = []
    try:
        for part in parts:
            result += reader.feed(part)
    except MessageError:
        return result, True
    return result, False


def summary(message):
    return (message.method, message.target, message.status, message.body())


class PlatformFuzzTest(unittest.TestCase):
    @fuzz
    @given(st.binary(max_size=60) | damaged_json(SEARCHER_ENTRY))
    def test_searcher_entry_is_usable_or_refused(self, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        entry, errors = documents.decode_searcher("servers/i", value)
        self.assertEqual(entry is None, bool(errors))
        if entry is not None:
            ipaddress.IPv4Address(entry.address.host)
            self.assertTrue(0 < entry.address.port < 65536)
            self.assertTrue(math.isfinite(entry.warmup_left_s))

    @fuzz
    @given(st.binary(max_size=60) | damaged_json(CONFIG))
    def test_configuration_is_usable_or_refused(self, value):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        result, errors = documents.decode_config(value)
        self.assertEqual(result is None, bool(errors))
        if result is not None:
            for route in result.routes:
                self.assertTrue(math.isfinite(route.timeout_s))
                self.assertTrue(math.isfinite(route.target_latency_s))
                weights = [target.weight for target in route.targets]
                self.assertTrue(all(map(math.isfinite, weights)))

    def test_unusable_addresses_are_refused(self):
        for address in (":1", "a:1", "10.0.0.1:0", "10.0.0.1:65536", "[::1]:9"):
            with self.subTest(address):
                value = json.dumps(
                    {**SEARCHER_ENTRY, "address": address}
                ).encode()
                entry, _ = documents.decode_searcher("servers/i", value)
                self.assertIsNone(entry)

    def test_non_finite_numbers_are_refused(self):
        value = json.dumps(
            {**SEARCHER_ENTRY, "warmup-left-ms": math.inf}
        ).encode()
        self.assertIsNone(documents.decode_searcher("servers/i", value)[0])
        for field in ("timeout-ms", "target-latency-ms"):
            route = {**CONFIG["routes"][0], field: math.inf}
            value = json.dumps({**CONFIG, "routes": [route]}).encode()
            self.assertIsNone(documents.decode_config(value)[0])

    def test_deep_nesting_is_refused(self):
        value = b"[" * 100_000
        self.assertIsNone(documents.decode_searcher("servers/i", value)[0])
        self.assertIsNone(documents.decode_config(value)[0])

    @fuzz
    @given(st.binary(max_size=30) | st.from_regex(rb"[0-9,._ e-]{0,20}"))
    def test_header_values(self, value):
        load = headers.decode_load(value)
        if load is not None:
            self.assertTrue(math.isfinite(load.work_time_ratio))
        left_s = headers.decode_time_left_s(value)
        if left_s is not None:
            self.assertTrue(math.isfinite(left_s))
            headers.encode_searcher_headers("i", left_s)

    @fuzz
    @given(
        messages(["GET /a HTTP/1.1", "POST /b?c HTTP/1.0", "GET", "é / HTTP"]),
        CUTS,
    )
    def test_requests_do_not_depend_on_how_they_are_split(self, data, cuts):
        unsplit = read_all(RequestReader(HEADER_LIMIT, BODY_LIMIT), [data])
        split = read_all(
            RequestReader(HEADER_LIMIT, BODY_LIMIT), split_at(data, cuts)
        )
        self.assertEqual(unsplit[1], split[1])
        if not unsplit[1]:
            self.assertEqual(
                [summary(m) for m in unsplit[0]], [summary(m) for m in split[0]]
            )
        for message in split[0]:
            request = decode_request(message, is_from_host=True)
            if request is not None:
                decode_delegated_request(request)

    @fuzz
    @given(st.lists(KEY_FIELD, max_size=3))
    def test_keys_are_never_passed_on(self, fields):
        lines = [VALID, *(f"{name}: {value}" for name, value in fields)]
        data = "\r\n".join([*lines, "", ""]).encode()
        for message in read_all(RequestReader(HEADER_LIMIT, 0), [data])[0]:
            request = decode_request(message)
            checked = check_key(KEYS_TABLE, request, KEYS_ROUTE)
            valid = [value.lower().split() for _, value in fields]
            if checked is not None:
                self.assertIn(["bearer", "k"], valid)
                sent = b"".join(split_request(checked)).lower()
                self.assertNotIn(b"bearer", sent)

    @fuzz
    @given(st.binary(max_size=200), CUTS)
    def test_readers_raise_only_message_errors(self, data, cuts):
        read_all(RequestReader(HEADER_LIMIT, BODY_LIMIT), split_at(data, cuts))
        read_all(ResponseReader(), split_at(data, cuts))

    @fuzz
    @given(messages(["HTTP/1.1 200 OK", "HTTP/1.1 503 Full", "HTTP/1.1"]), CUTS)
    def test_responses_do_not_depend_on_how_they_are_split(self, data, cuts):
        unsplit = read_all(ResponseReader(), [data])
        split = read_all(ResponseReader(), split_at(data, cuts))
        first = [summary(m) for m in unsplit[0]][:1]
        self.assertEqual(first, [summary(m) for m in split[0]][:1])

    @fuzz
    @given(st.binary(min_size=1, max_size=60), st.data())
    def test_response_cut_short_is_not_complete(self, body, data):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        message = head.encode() + body
        cut = data.draw(st.integers(0, len(message) - 1))
        reader = ResponseReader()
        self.assertEqual(reader.feed(message[:cut]), [])
        self.assertIsNone(reader.end())

    def read_store(self, reply, era="3"):
        store = PlatformStore(Address("127.0.0.1", 1))
        fields = {"Store-Era": era}
        response = mock.Mock(status=200, data=reply, headers=fields)
        with mock.patch.object(store, "_pool") as pool:
            pool.urlopen.return_value = response
            for call in (
                lambda: store.read_all("x"),
                lambda: store.wait_for_changes("x", 1, 0.1),
            ):
                try:
                    view = call()
                except PlatformStoreError:
                    continue
                self.assertGreaterEqual(view.era, -1)
                for change in view.changes:
                    self.assertIsInstance(change.key, str)
                    self.assertIsInstance(change.revision, int)

    @fuzz
    @given(damaged_json(STORE_REPLY) | JSON)
    def test_malformed_store_reply(self, reply):
        self.read_store(json.dumps(reply).encode())

    @fuzz
    @given(st.text(max_size=12) | st.integers(-(10**30), 10**30).map(str))
    def test_malformed_store_era(self, era):
        self.read_store(json.dumps(STORE_REPLY).encode(), era)

    @fuzz
    @given(
        st.binary(max_size=30) | st.from_regex(rb"[-+0-9.e]{1,24}"),
        st.binary(max_size=5),
        st.sampled_from([200, 429, 503]),
        st.binary(max_size=30) | st.from_regex(rb"[-+0-9.e]{1,24}"),
    )
    def test_wishes_of_searchers(self, pause, leaving, status, limit):
        fields = (
            (b"retry-after", pause),
            (b"server-leaving", leaving),
            (b"server-limit", limit),
        )
        reply = headers.decode_reply(status, fields, b"")
        self.assertEqual(reply.headers, ())
        if reply.limit_per_s is not None:
            self.assertTrue(0 <= reply.limit_per_s < math.inf)
        if reply.pause_s is not None:
            self.assertEqual(status, 503)
            self.assertTrue(0 <= reply.pause_s < math.inf)
            pauses = SearcherPauses()
            pauses.record("i", reply.pause_s, 10.0)
            self.assertFalse(pauses.is_paused("i", 10.0 + MAX_PAUSE_S))

    def test_deeply_nested_store_reply(self):
        self.read_store(b"[" * 100_000)

    @fuzz
    @given(st.binary(max_size=100))
    def test_messages_between_hosts(self, data):
        with self.assertRaises(ValueError):
            exchange_codec.decode(data)

    @fuzz
    @given(JSON, st.text(max_size=20))
    def test_decision_logs(self, value, text):
        lines = DecisionLogReader()
        nested = '{"a":' * 50_000
        lines.read(f"{json.dumps(value)}\n{text}\n{nested}")
        line = {"time": 1, "host": "h", "event": "answered", "route": value}
        lines.read(json.dumps(line))


if __name__ == "__main__":
    unittest.main()
