import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from kumquatspur.border.decision_lines import read_decision_logs
from kumquatspur.policy.day_report import (
    RequestOutcome,
    build_day_report,
    find_lost_processes,
)
from kumquatspur.scripts import day_html
from kumquatspur.scripts.day_command import as_json, as_text, run_day
from kumquatspur.scripts.kumquatspur import DayCommand


def answered(time, ms, parts="10/10", status=200, attempts=()):
    return {
        "time": time,
        "event": "answered",
        "route": "r-1",
        "status": status,
        "ms": ms,
        "target_ms": 50,
        "parts": parts,
        "attempts": list(attempts),
    }


def refused(time, status, reason, route="r-1"):
    return {
        "time": time,
        "event": "refused",
        "route": route,
        "status": status,
        "reason": reason,
    }


ATTEMPTS = (
    ["first", "i-1", "z1", 0.1, 30.0, "open"],
    ["hedge", "i-2", "z2", 20.0, 5.0, 200],
    ["retry", "i-3", "z2", 25.0, 5.0, 200],
)
LOG = (
    answered(100.0, 20.0),
    answered(100.5, 20.0, "9/10", attempts=ATTEMPTS),
    answered(101.0, 70.0),
    answered(105.0, 5.0, "0/10", 504),
    refused(105.1, 503, "no_replica"),
    refused(105.2, 404, "unknown_service", None),
    {"time": 105.3, "event": "client_left", "route": "r-2", "ms": 12.0},
    {"time": 105.4, "event": "log_lines_dropped", "count": 7},
    {"time": 105.5, "event": "store_lost"},
    {"time": 105.6, "event": "answered", "status": "soon"},
)


class DayCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        lines = [json.dumps({"host": "h", **line}) for line in LOG]
        self.write("a.log", lines[:5] + ["not a decision", "{ broken"])
        self.write("b.log", lines[5:])

    def write(self, name, lines):
        (self.folder / name).write_text("\n".join(lines), encoding="utf-8")

    def read(self):
        log, errors = read_decision_logs(str(self.folder))
        self.assertEqual(errors, [])
        return log

    def run_tool(self, command):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run_day(command)
        return code, out.getvalue(), err.getvalue()

    def test_losses_by_cause(self):
        report = build_day_report(self.read().requests)
        total = report.total
        self.assertEqual(total.requests, 6)
        expected = {
            RequestOutcome.LATE: 1.0,
            RequestOutcome.FAILED: 1.0,
            RequestOutcome.REFUSED: 1.0,
            RequestOutcome.CLIENT_DISCONNECTED: 1.0,
        }
        found = dict(total.lost)
        self.assertAlmostEqual(found.pop("parts left out"), 1 - 0.9**2)
        self.assertEqual(found, expected)
        self.assertEqual(total.extra_attempts, 2)
        self.assertAlmostEqual(total.coverage(), 29 / 30)
        self.assertEqual(
            dict(total.reasons),
            {
                "late": 1,
                "status 504": 1,
                "no_replica": 1,
                "unknown_service": 1,
                "client left": 1,
            },
        )
        self.assertEqual(sorted(report.routes), ["", "r-1", "r-2"])
        self.assertAlmostEqual(total.kept_share(), (1 + 0.81) / 6)

    def test_delegated_request_counts_once(self):
        line = {"event": "handed_over", "host": "h", "route": "r-1", "ms": 9.0}
        lines = [{**line, "time": 101.0, "lost": lost} for lost in (0, 1)]
        self.write("c.log", [json.dumps(item) for item in lines])
        total = build_day_report(self.read().requests).total
        self.assertEqual(total.requests, 7)
        self.assertEqual(total.reasons["lost at another host"], 1)

    def test_requests_are_counted_by_host(self):
        line = refused(106.0, 503, "no_replica")
        self.write("c.log", [json.dumps({"host": "cut", **line})])
        report = build_day_report(self.read().requests)
        self.assertEqual(sorted(report.hosts), ["cut", "h"])
        self.assertEqual(report.hosts["cut"].kept_share(), 0.0)
        text = "\n".join(as_text(report))
        self.assertIn("least kept at hosts cut: 0.0%, h: ", text)
        self.assertEqual(as_json(report)["hosts"]["cut"]["requests"], 1)

    def test_requests_and_refusals_by_account(self):
        lines = [
            {"account": "north", **answered(106.0, 20.0)},
            {"account": "north", **refused(106.0, 503, "no_replica")},
            refused(106.0, 401, "unknown_key"),
        ]
        self.write("c.log", [json.dumps({"host": "h", **i}) for i in lines])
        report = build_day_report(self.read().requests)
        self.assertEqual(report.total.requests, 8)
        self.assertEqual(report.total.reasons["unknown_key"], 1)
        text = "\n".join(as_text(report))
        line = "account north: 2 requests, not in time: no_replica 1"
        self.assertIn(line, text)
        expected = {"north": {"requests": 2, "reasons": {"no_replica": 1}}}
        self.assertEqual(as_json(report)["accounts"], expected)

    def test_intervals_without_requests_are_included(self):
        report = build_day_report(self.read().requests)
        counts = {
            at: interval.requests for at, interval in report.intervals.items()
        }
        self.assertEqual(counts, {100.0: 3, 102.0: 0, 104.0: 3})

    def test_excluded_lines_are_reported(self):
        log = self.read()
        self.assertEqual((log.lines_dropped, log.unreadable), (7, 2))
        _, out, _ = self.run_tool(DayCommand(str(self.folder)))
        self.assertIn("7 lines dropped", out)
        self.assertIn("2 unreadable", out)

    def test_lines_with_prefix_of_log_collector(self):
        text = json.dumps({"host": "h", **answered(5_000.0, 20.0)})
        self.write("c.log", [f"  -3.5000 host-1 {text}"])
        intervals = build_day_report(self.read().requests).intervals
        self.assertEqual(next(iter(intervals)), -4.0)

    def test_processes_ended_without_stop(self):
        events = (
            (1.0, "start"),
            (2.0, "store_read"),
            (2.0, "answered"),
            (4.0, "start"),
            (5.0, "stopping"),
            (6.0, "stop"),
            (8.0, "start"),
            (9.0, "stopping"),
            (9.5, "start"),
        )
        lost = find_lost_processes((at, "h", event) for at, event in events)
        gaps = [(p.last_line_at_s, p.started_at_s) for p in lost]
        self.assertEqual(gaps, [(2.0, 4.0), (9.0, 9.5)])

    def test_outputs(self):
        page = str(self.folder / "day.html")
        code, out, _ = self.run_tool(
            DayCommand(str(self.folder), json=True, html=page)
        )
        self.assertEqual(code, 0)
        self.assertEqual(json.loads(out)["total"]["requests"], 6)
        html = pathlib.Path(page).read_text(encoding="utf-8")
        self.assertIn("<svg", html)
        self.assertIn("r-1", html)

    def test_bad_input(self):
        empty = self.folder / "empty"
        empty.mkdir()
        code, out, err = self.run_tool(DayCommand(str(empty)))
        self.assertEqual((code, out), (2, ""))
        self.assertIn("holds no line about a request", err)
        code, _, err = self.run_tool(DayCommand(str(self.folder / "none")))
        self.assertEqual(code, 2)
        self.assertIn("cannot be read", err)
        code, _, err = self.run_tool(
            DayCommand(str(self.folder), html=str(self.folder / "no" / "x"))
        )
        self.assertEqual(code, 2)
        self.assertIn("cannot be written", err)

    def test_report_without_requests(self):
        report = build_day_report([])
        self.assertIn("0 requests", day_html.render(report))
        self.assertEqual(as_json(report)["total"]["kept_share"], 1.0)
        self.assertTrue(as_text(report))


if __name__ == "__main__":
    unittest.main()
