import contextlib
import io
import unittest
from unittest import mock

from kumquatspur.platform.documents import SEARCHER_PREFIX
from kumquatspur.platform.store import PlatformStore
from kumquatspur.scripts.evacuate_command import run_evacuate
from kumquatspur.scripts.kumquatspur import EvacuateCommand
from standins.platform_searcher import PlatformSearcher
from standins.platform_store import StandInStore

KEY = "op/evacuate/z1"


class EvacuateCommandTest(unittest.TestCase):
    def setUp(self):
        self.store = StandInStore()
        self.addCleanup(self.store.close)
        searcher = PlatformSearcher("i-1", "s", "z1")
        self.addCleanup(searcher.close)
        searcher.register(self.store)

    def run_tool(self, zone="z1", **options):
        """Returns the exit code, and standard output and error together."""
        address = self.store.address
        store = f"{address.host}:{address.port}"
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = run_evacuate(EvacuateCommand(zone, store=store, **options))
        return code, out.getvalue()

    def test_key_is_written_once_and_removed(self):
        listed = (0, "evacuated zones: z1\n")
        self.assertEqual(self.run_tool(), listed)
        revision = self.store.items[KEY][1]
        self.assertEqual(self.run_tool(), listed)
        self.assertEqual(self.store.items[KEY][1], revision)
        self.assertEqual(self.run_tool(zone=""), listed)
        self.assertEqual(
            self.run_tool(undo=True), (0, "evacuated zones: none\n")
        )
        self.assertNotIn(KEY, self.store.items)

    def test_unknown_zone_is_refused(self):
        code, text = self.run_tool("z9")
        self.assertEqual(code, 2)
        self.assertIn("no searcher is registered in this zone", text)
        self.assertIn("known zones: z1", text)
        self.assertNotIn("op/evacuate/z9", self.store.items)

    def test_evacuation_of_a_zone_that_lost_its_searchers_can_end(self):
        self.run_tool()
        self.store.remove(SEARCHER_PREFIX + "i-1")
        self.assertEqual(self.run_tool(undo=True)[0], 0)
        self.assertNotIn(KEY, self.store.items)

    def test_forbidden_write_is_told(self):
        self.store.forbids_writes = True
        code, text = self.run_tool()
        self.assertEqual(code, 1)
        self.assertIn("the store forbids the write", text)

    def test_store_without_an_answer_is_told(self):
        self.store.refuse_with = 500
        code, text = self.run_tool()
        self.assertEqual(code, 4)
        self.assertIn("no usable answer", text)

    def test_concurrent_change_is_a_conflict(self):
        """The key is written between the read and the write."""
        read_all = PlatformStore.read_all

        def read_then_change(store, prefix):
            view = read_all(store, prefix)
            if prefix.startswith("op/"):
                self.store.put(KEY, b"other")
            return view

        with mock.patch.object(PlatformStore, "read_all", read_then_change):
            code, text = self.run_tool()
        self.assertEqual(code, 3)
        self.assertIn("another operator", text)
        self.assertEqual(self.store.items[KEY][0], b"other")


if __name__ == "__main__":
    unittest.main()
