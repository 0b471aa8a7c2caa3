import json
import pathlib
import tempfile
import threading
import unittest

from kumquatspur.core.records import Address
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreConflictError,
    StoredValue,
    StoreUnavailableError,
)
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import Shape

PUSHES = 12


def catalogue(name, shards=1):
    layouts = [{"shards": [f"{name}/{n}" for n in range(shards)]}]
    return json.dumps({"catalogues": {name: {"layouts": layouts}}})


def service(name, of):
    return json.dumps({"services": {name: {"catalogues": [of]}}})


class LossyStoreClient:
    """A store client on a dictionary that can lose the replies to writes.

    Attributes:
        values: Stored values by key.
        lost: Parts of keys; the next write to a matching key takes effect but
            raises StoreUnavailableError.
        after_lost: Called after such a write, before the error is raised.
    """

    def __init__(self):
        self.values = {}
        self.lost = set()
        self.after_lost = None

    def get(self, key):
        return self.values.get(key, StoredValue(None, 0))

    def put(self, key, value, version, lease=""):
        current = self.get(key).version
        if current != version:
            raise StoreConflictError(current)
        self.values[key] = StoredValue(value, current + 1)
        if any(part in key for part in self.lost):
            self.lost.clear()
            if self.after_lost:
                self.after_lost()
            raise StoreUnavailableError("reply lost in this test")
        return current + 1


class ConfigStoreTest(unittest.TestCase):
    def setUp(self):
        self.client = LossyStoreClient()
        self.store = ConfigStore(self.client, "p")

    def push(self, files, author="ann"):
        head = self.store.read_head()
        return self.store.push(files, head.files, author)

    def test_change_is_accepted_once_if_its_reply_is_lost(self):
        for part in ("content", "head"):
            with self.subTest(part):
                self.client.lost = {part}
                before = self.store.read_head().revision
                result, errors = self.push({"a": catalogue(part)})
                self.assertEqual(errors, [])
                self.assertEqual(result.revision, before + 1)
                self.assertEqual(self.store.read_head().revision, before + 1)

    def test_lost_answer_is_settled_after_the_history_rolled_over(self):
        def race():
            for number in range(250):
                files = {"a": catalogue("a"), "z": catalogue("z", number + 1)}
                ConfigStore(self.client, "p").push(
                    files, self.store.read_head().files, "bob"
                )

        self.client.lost = {"head"}
        self.client.after_lost = race
        result, errors = self.push({"a": catalogue("a")})
        self.assertEqual((result.revision, errors), (1, []))
        head = self.store.read_head()
        self.assertEqual(head.revision, 251)
        entries = list(self.store.read_history(head))
        self.assertEqual([e.revision for e in entries], [*range(251, 0, -1)])

    def test_same_file_conflicts_and_names_both_authors(self):
        self.push({"a": catalogue("a")})
        base = self.store.read_head().files
        self.store.push({"a": catalogue("a", 2)}, base, "ann")
        result, errors = self.store.push({"a": catalogue("a", 3)}, base, "bob")
        self.assertIsNone(result)
        self.assertEqual(errors[0].source, "a")
        self.assertIn("ann", errors[0].message)
        self.assertIn("bob", errors[0].message)

    def test_edits_that_only_together_are_wrong_are_refused(self):
        first = {"a": catalogue("a"), "b": catalogue("b")}
        self.push(first)
        base = self.store.read_head().files
        self.store.push({"a": first["a"]}, base, "ann")
        files = {**first, "s": service("s", "b")}
        result, errors = self.store.push(files, base, "bob")
        self.assertIsNone(result)
        self.assertEqual(errors[0].source, "services.s.catalogues")

    def test_rollback_makes_a_new_revision(self):
        files = [{"a": catalogue("a", n + 1)} for n in range(120)]
        for entry in files:
            self.push(entry)
        old = self.store.read_head().files
        for revision in (3, 110):
            result, errors = self.store.rollback(revision, "ann")
            self.assertEqual(errors, [])
            (digest,) = self.store.read_head().files.values()
            text = self.store.read_file(digest)
            self.assertEqual(text, files[revision - 1]["a"])
        self.assertEqual(result.revision, 122)
        self.assertNotEqual(old, self.store.read_head().files)
        for revision in (0, 999):
            self.assertTrue(self.store.rollback(revision, "ann")[1])


class RaceTest(unittest.TestCase):
    """Two concurrent pushers to a store process that loses replies."""

    def test_every_change_is_accepted_once(self):
        port = find_free_base_port(1)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        shape = Shape("race", (), (), {}, port)
        deployment = Deployment(shape, pathlib.Path(folder.name))
        self.addCleanup(deployment.close)
        deployment.spawn("store", "standins.store", "--port", str(port))
        deployment.wait_until(
            lambda: deployment.call("GET", port, "/calls")[0] == 200
        )
        problems = []
        pushers = [
            threading.Thread(target=self.push_all, args=(port, name, problems))
            for name in ("ann", "bob")
        ]
        for pusher in pushers:
            pusher.start()
        while any(pusher.is_alive() for pusher in pushers):
            deployment.call("POST", port, "/fault", {"lose_writes": 2})
            pushers[0].join(0.02)
        deployment.call("POST", port, "/fault", {"lose_writes": 0})
        self.assertEqual(problems, [])
        head = ConfigStore(
            StoreClient(Address("127.0.0.1", port)), "p"
        ).read_head()
        authors = [entry.author for entry in head.history]
        self.assertEqual(authors.count("ann"), PUSHES)
        self.assertEqual(authors.count("bob"), PUSHES)
        self.assertEqual(head.revision, 2 * PUSHES)
        changes = {entry.change_id for entry in head.history}
        self.assertEqual(len(changes), 2 * PUSHES)

    def push_all(self, port, author, problems):
        store = ConfigStore(StoreClient(Address("127.0.0.1", port)), "p")
        base, files = {}, {}
        for number in range(PUSHES):
            files[author] = catalogue(author, number + 1)
            try:
                _, errors = store.push(files, base, author)
                base = {author: store.read_head().files[author]}
            except StoreUnavailableError as error:
                errors = [error]
            problems.extend(errors)


if __name__ == "__main__":
    unittest.main()
