import contextlib
import dataclasses
import io
import json
import pathlib
import tempfile
import unittest

import cappa

from kumquatspur.scripts.kumquatspur import Tool
from standins.demo import all_answer_in_full, all_ready
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import (
    ADMIN_KEY,
    FRAMING_CATALOGUES,
    HOST,
    OSLO,
    ServiceShape,
    write_folder,
)

SERVICES = (ServiceShape("shop-counter", 4, 1, 2, 25, FRAMING_CATALOGUES),)


def run_tool(*arguments):
    """Runs the tool; returns exit code, standard output and error output."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = cappa.invoke(Tool, argv=list(arguments))
        except (SystemExit, cappa.Exit) as error:
            code = error.code
    return code, out.getvalue(), err.getvalue()


class ToolTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        base = find_free_base_port(150)
        shape = dataclasses.replace(
            OSLO, zones=("oslo-1",), services=SERVICES, base_port=base
        )
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        cls.deployment = Deployment(shape, path, hosts_per_zone=1)
        cls.addClassCleanup(cls.deployment.close)
        cls.deployment.start()
        cls.folder = path / "folder"
        write_folder(shape, cls.folder)
        settings = cls.deployment.settings["oslo-1-a"]
        cls.entry = f"{HOST}:{settings['caller']['port']}"
        cls.admin = f"{HOST}:{settings['admin']['port']}"
        cls.store = f"{HOST}:{base}"
        cls.deployment.wait_until(lambda: all_ready(cls.deployment, 0))

    def test_push_query_and_reports(self):
        store = ("--store", self.store)
        admin = ("--admin", self.admin, "--admin-key", ADMIN_KEY)
        code, out, _ = run_tool("config", "push", str(self.folder), *store)
        self.assertEqual((code, out[:19]), (0, "revision 1 accepted"))
        self.deployment.wait_until(
            lambda: all_answer_in_full(self.deployment, "shop-counter")
        )
        query = ("query", "--entry", self.entry, "--json", "--require-full")
        code, out, _ = run_tool(*query, "shop-counter", '{"a": 1}')
        self.assertEqual(code, 0)
        self.assertTrue(json.loads(out)["coverage"]["full"])
        self.assertEqual(run_tool(*query, "nobody", "1")[0], 2)
        path = self.folder / "90.json"
        path.write_text('{"drain": []}')
        code, out, _ = run_tool("config", "diff", str(self.folder), *store)
        self.assertEqual((code, out), (0, "add 90.json\n"))
        code, out, _ = run_tool("config", "history", "--json", *store)
        self.assertEqual(json.loads(out)[0]["revision"], 1)
        code, out, _ = run_tool("config", "status", *admin)
        self.assertEqual((code, out), (0, "oslo-1-a: revision 1\n"))
        self.assertEqual(run_tool("status", *admin)[0], 0)
        code, out, _ = run_tool("report", "burn", "--json", *admin)
        self.assertEqual(json.loads(out)["asked"], ["oslo-1-a"])
        port = self.deployment.settings["oslo-1-a"]["admin"]["port"]
        _, burn = self.deployment.call("GET", port, "/v1/burn", key=ADMIN_KEY)
        services = {row["service"] for row in burn["rows"]}
        self.assertEqual(services, {"shop-counter"})
        self.check_put_and_remove()

    def check_put_and_remove(self):
        admin = ("--admin", self.admin, "--admin-key", ADMIN_KEY)
        path = self.folder.parent / "95.json"
        path.write_text("{}")
        old = ("--revision", "0")
        cases = [
            (("put", str(path), "--dry-run"), 0, "would be accepted"),
            (("put", str(path), *old), 3, "stale_revision"),
            (("put", str(path)), 0, "revision 2 accepted"),
            (("remove", "95.json"), 0, "revision 3 accepted"),
            (("remove", "95.json"), 2, "no such file"),
        ]
        for arguments, expected, message in cases:
            with self.subTest(arguments=arguments):
                code, out, err = run_tool("config", *arguments, *admin)
                self.assertEqual(code, expected)
                self.assertIn(message, out + err)

    def test_errors(self):
        bad = self.folder.parent / "bad"
        bad.mkdir()
        (bad / "a.json").write_text("{")
        broken = self.folder.parent / "broken"
        broken.mkdir()
        (broken / ".kumquatspur-base").write_text("{")
        store = ("--store", f"{HOST}:1")
        admin = ("--admin", self.admin, "--admin-key", "wrong")
        cases = [
            (("config", "check", str(bad)), 2, "a.json:1"),
            (("config", "push", str(bad), *store), 2, "a.json:1"),
            (("config", "push", str(broken), *store), 2, "cannot be read"),
            (("config", "check", "missing"), 2, "is not a folder"),
            (("config", "history", *store), 4, "store unavailable"),
            (("query", "--entry", "x", "s", "1"), 2, "IP address and port"),
            (("query", "--entry", self.entry, "s", "{"), 2, "is not JSON"),
            (("query", "--entry", f"{HOST}:1", "s", "1"), 4, "no answer"),
            (("status", *admin), 4, "key is wrong"),
        ]
        for arguments, expected, message in cases:
            with self.subTest(arguments=arguments):
                code, _, err = run_tool(*arguments)
                self.assertEqual(code, expected)
                self.assertIn(message, err)


if __name__ == "__main__":
    unittest.main()
