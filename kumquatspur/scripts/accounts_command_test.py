import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from kumquatspur.scripts.accounts_command import run_accounts
from kumquatspur.scripts.kumquatspur import AccountsCommand

RULE = {"window_s": 5.0, "overrun": 0.1, "slack": 20.0}


def use(time, host, admitted, refused, account="shop"):
    counts = {account: [admitted, refused, 4.0, 10.0]}
    line = {"event": "account_use", "accounts": counts}
    return {"time": time, "host": host, **line, **RULE}


LOG = (
    use(1.0, "h1", 3, 0),
    use(1.2, "h2", 4, 0),
    use(8.0, "h1", 40, 60),
    use(9.0, "h2", 20, 5),
    use(20.0, "h2", 2, 1),
    {"time": 7.1, "host": "h1", "event": "account_use", "accounts": "many"},
    {
        "time": 7.2,
        "host": "h1",
        "event": "refused",
        "status": 429,
        "reason": "over_quota",
    },
)


class AccountsCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def run_tool(self, lines, **options):
        text = "\n".join(json.dumps(line) for line in lines)
        (self.folder / "a.log").write_text(text, encoding="utf-8")
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = run_accounts(AccountsCommand(str(self.folder), **options))
        return code, out.getvalue()

    def test_json(self):
        code, text = self.run_tool(LOG, json=True)
        self.assertEqual(code, 0)
        found = json.loads(text)["shop"]
        self.assertEqual((found["admitted"], found["refused"]), (69, 66))
        self.assertEqual(found["peak"], 60)
        self.assertEqual(found["peak_by_host"], {"h1": 40, "h2": 20})
        self.assertAlmostEqual(found["bound"], 53.0)
        # Only the last refusal fell into a window below the rate.
        self.assertEqual(found["refused_below"], 1)

    def test_text(self):
        code, text = self.run_tool(LOG)
        self.assertEqual(code, 0)
        row = text.splitlines()[1].split()
        self.assertEqual(row[:6], ["shop", "4.0", "10", "69", "66", "1"])

    def test_logs_without_accounts(self):
        expected = "no account with a quota sent requests\n"
        self.assertEqual(self.run_tool(LOG[6:]), (0, expected))


if __name__ == "__main__":
    unittest.main()
