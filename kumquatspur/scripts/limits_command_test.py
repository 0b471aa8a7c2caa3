import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from kumquatspur.scripts.kumquatspur import LimitsCommand
from kumquatspur.scripts.limits_command import run_limits

LOG = (
    {
        "time": 6.0,
        "event": "searcher_limit",
        "searcher": "i-1",
        "service": "s",
        "per_s": 5.0,
        "attempts_before": 4,
    },
    {
        "time": 7.0,
        "event": "limited_attempts",
        "attempts": {"i-1": {"first": 30, "hedge": 2}},
    },
    {"time": 7.1, "event": "limited_attempts", "attempts": {"i-1": "many"}},
    {"time": 7.2, "event": "refused", "status": 503, "reason": "overloaded"},
)


class LimitsCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_tool(self, **options):
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = run_limits(LimitsCommand(str(self.folder), **options))
        return code, out.getvalue()

    def write(self, lines):
        text = "\n".join(json.dumps({"host": "h", **line}) for line in lines)
        (self.folder / "a.log").write_text(text, encoding="utf-8")

    def test_text(self):
        self.write(LOG)
        code, text = self.run_tool()
        self.assertEqual(code, 0)
        row = text.splitlines()[1].split()
        self.assertEqual(row[:3], ["i-1", "5.0", "4"])
        self.assertEqual(row[5:7], ["32", "1.60"])
        self.assertIn("first 30, hedge 2", text)

    def test_json(self):
        self.write(LOG)
        code, text = self.run_tool(json=True)
        self.assertEqual(code, 0)
        found = json.loads(text)["i-1"]
        self.assertEqual(found["peak_by_host"], {"h": 32})
        self.assertAlmostEqual(found["peak_share"], 1.6)

    def test_logs_without_limits(self):
        self.write(LOG[3:])
        self.assertEqual(self.run_tool(), (0, "no searcher named a limit\n"))


if __name__ == "__main__":
    unittest.main()
