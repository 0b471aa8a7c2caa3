import unittest

from kumquatspur.core import actions
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import (
    Answer,
    MissingShard,
    Objectives,
    Profile,
    Refusal,
    Service,
)
from kumquatspur.core.verdict import Verdict
from kumquatspur.scripts import burn_html
from kumquatspur.scripts.burn_command import build_report
from kumquatspur.wire.metrics import Metrics

SERVICE = Service("desk", ("c",), Profile(), Objectives(latency_ms=140))
MISSING = MissingShard("c/1", Reason.TIMED_OUT, Verdict.MAY_HAVE_RUN)


def answer(*missing):
    return actions.AnswerCaller(Answer("r", 1, (), (), missing, Verdict.RAN))


def refuse(reason):
    return actions.RefuseCaller(
        Refusal("r", reason, Verdict.NOT_RUN, 1.0, "no")
    )


def host(name, *outcomes):
    metrics = Metrics()
    for action, seconds in outcomes:
        metrics.record_query(SERVICE, action, seconds, 1000.0)
    objectives = {"desk": {"latency_ms": 140}}
    return {"name": name, "objectives": objectives, **metrics.export(1000.0)}


class BurnCommandTest(unittest.TestCase):
    def setUp(self):
        bodies = [
            host("a", (answer(), 0.010), (answer(MISSING), 0.200)),
            host(
                "b",
                (answer(), 0.012),
                (refuse(Reason.OVERLOADED), 0.001),
                (refuse(Reason.UNKNOWN_SHARD), 0.001),
            ),
        ]
        self.report = build_report(bodies, ["127.0.0.1:9"])

    def test_merges_hosts(self):
        rows = {r.objective: r for r in self.report.rows if r.window_s == 300}
        found = {name: (row.bad, row.total) for name, row in rows.items()}
        expected = {
            "latency": (1, 3),
            "coverage": (1, 3),
            "availability": (1, 4),
        }
        self.assertEqual(found, expected)
        self.assertAlmostEqual(
            self.report.latencies_ms["desk"][50.0], 12, delta=0.2
        )

    def test_page_lists_unreachable_hosts(self):
        page = burn_html.render(self.report)
        self.assertIn("could not be asked: 127.0.0.1:9", page)
        self.assertIn("<svg", page)


if __name__ == "__main__":
    unittest.main()
