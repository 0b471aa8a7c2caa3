import hashlib
import io
import json
import unittest

from kumquatspur.core.records import Team
from kumquatspur.policy.tenancy import Operator
from kumquatspur.wire.admin_config import FILES_PATH, AdminConfig
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import (
    StoreConflictError,
    StoredValue,
    StoreUnavailableError,
)

OPERATOR = Operator("operator", None)
DESK = Operator(
    "desk", Team("desk", "desk-", hashlib.sha256().hexdigest(), 9, 9999)
)
CATALOGUE = {"layouts": [{"shards": ["desk-c/0"]}]}
GOOD = json.dumps({"catalogues": {"desk-c": CATALOGUE}})


class MemoryStoreClient:
    """A store client on a dictionary."""

    def __init__(self):
        self.values = {}
        self.down = False

    def get(self, key):
        if self.down:
            raise StoreUnavailableError("store is down in this test")
        return self.values.get(key, StoredValue(None, 0))

    def put(self, key, value, version, lease=""):
        current = self.get(key).version
        if current != version:
            raise StoreConflictError(current)
        self.values[key] = StoredValue(value, version + 1)
        return version + 1


def environ(name="", text="", revision="", query=""):
    return {
        "PATH_INFO": FILES_PATH + name,
        "CONTENT_LENGTH": str(len(text)),
        "wsgi.input": io.BytesIO(text.encode()),
        "HTTP_IF_MATCH": revision,
        "QUERY_STRING": query,
    }


class AdminConfigTest(unittest.TestCase):
    def setUp(self):
        self.client = MemoryStoreClient()
        self.api = AdminConfig(ConfigStore(self.client, "p"))

    def write(self, name, text, revision, operator=OPERATOR, query=""):
        request = environ(name, text, revision, query)
        return self.api.write_file(request, operator)

    def test_write_read_remove(self):
        reply = self.write("desk-1.json", GOOD, '"0"', DESK)
        self.assertEqual(reply.body, {"revision": 1, "accepted": True})
        reply = self.api.read_file(environ("desk-1.json"), DESK)
        self.assertEqual(reply.body["text"], GOOD)
        self.assertIn(("ETag", '"1"'), reply.headers)
        request = environ("desk-1.json", revision='"1"')
        self.assertEqual(self.api.remove_file(request, DESK).status, 200)
        self.assertEqual(self.api.list_files({}, DESK).body["files"], {})

    def test_rejections_change_nothing(self):
        self.write("desk-1.json", GOOD, '"0"')
        cases = [
            ("no If-Match", "a.json", "{}", "", OPERATOR, 428),
            ("stale revision", "a.json", "{}", '"0"', OPERATOR, 412),
            ("bad JSON", "a.json", "{", '"1"', OPERATOR, 422),
            ("dangling", "a.json", '{"drain": ["x"]}', '"1"', OPERATOR, 422),
            ("not its file", "a.json", "{}", '"1"', DESK, 403),
            (
                "not its name",
                "desk-2.json",
                GOOD.replace("desk-c/0", "other/0"),
                '"1"',
                DESK,
                403,
            ),
        ]
        for name, file, text, revision, operator, status in cases:
            with self.subTest(name):
                reply = self.write(file, text, revision, operator)
                self.assertEqual(reply.status, status)
                self.assertEqual(reply.body["verdict"], "not_run")
        self.assertEqual(self.api.list_files({}, OPERATOR).body["revision"], 1)

    def test_dry_run_changes_nothing(self):
        reply = self.write("a.json", GOOD, '"0"', query="dry_run=1")
        self.assertEqual(reply.body, {"revision": 0, "accepted": False})
        self.assertEqual(self.api.list_files({}, OPERATOR).body["revision"], 0)

    def test_write_during_store_outage_is_not_run(self):
        self.client.down = True
        reply = self.write("a.json", GOOD, '"0"')
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.body["verdict"], "not_run")
        self.assertIn(("Retry-After", "2"), reply.headers)

    def test_change_is_audited(self):
        with self.assertLogs("kumquatspur.audit") as logs:
            self.write("desk-1.json", GOOD, '"0"', DESK)
        record = logs.records[0]
        self.assertEqual(
            (record.operator, record.file, record.revision),
            ("desk", "desk-1.json", 1),
        )


if __name__ == "__main__":
    unittest.main()
