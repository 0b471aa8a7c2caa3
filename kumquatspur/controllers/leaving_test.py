import unittest

from standins.fault_schedules import (
    inject_host_list_entry,
    send_query,
    start_schedule,
)
from standins.schedule_checks import check_schedule

SEARCHER = "a-0-z1"
# Required: no new request later than this after the first drain signal.
MAX_STOP_S = 5.0


def _searcher(**fields):
    def apply(schedule):
        fake = schedule.driver.searchers[SEARCHER]
        for name, value in fields.items():
            setattr(fake, name, value)

    return apply


def _list(leaving):
    return lambda schedule: inject_host_list_entry(schedule, SEARCHER, leaving)


def _configure(**change):
    return lambda schedule: schedule.configure(**change)


def _restart(schedule):
    _searcher(draining=False, hides_draining=False, down=True)(schedule)
    _query_all(schedule, 1.2, "restart")
    _searcher(down=False)(schedule)


def _query_all(schedule, seconds, label):
    """Sends a query every 50 ms, to each host in turn."""
    hosts = sorted(schedule.driver.settings)
    for number in range(int(seconds / 0.05)):
        host = hosts[number % len(hosts)]
        send_query(schedule, f"{label}-{number}", host)
        schedule.run(0.05)


def _calls_since(schedule, time):
    called_at = schedule.driver.searchers[SEARCHER].called_at
    return sum(at > time for at in called_at)


CASES = [
    ("host list says leaving, searcher works", _list(True), _list(False)),
    (
        "probe reports draining, list is late",
        _searcher(draining=True),
        _restart,
    ),
    (
        "answer reports draining, probe does not",
        _searcher(draining=True, hides_draining=True),
        _restart,
    ),
    ("connection refused, probe works", _searcher(calls_to_refuse=1), _restart),
    ("drained by a file", _configure(drained=(SEARCHER,)), _configure()),
    ("removed from a file", _configure(removed=(SEARCHER,)), _configure()),
]


class DrainingUpstreamTest(unittest.TestCase):
    def test_no_new_work_after_any_signal_and_work_again_after_return(self):
        for name, signal, restore in CASES:
            with self.subTest(name):
                schedule = start_schedule(1)
                _query_all(schedule, 1.0, "before")
                self.assertGreater(_calls_since(schedule, 0.0), 0)
                signal(schedule)
                start = schedule.driver.now
                # Heartbeats to one host are lost just after the signal.
                cut = {(s, "z3-b") for s in schedule.driver.settings}
                schedule.driver.cut_links |= cut
                _query_all(schedule, 1.5, "signal")
                schedule.driver.cut_links.clear()
                _query_all(schedule, 6.5, "after")
                self.assertEqual(_calls_since(schedule, start + MAX_STOP_S), 0)
                restore(schedule)
                _query_all(schedule, 4.0, "back")
                back = schedule.driver.now - 1.0
                self.assertGreater(_calls_since(schedule, back), 0)

    def test_work_in_flight_finishes_and_waiting_work_is_rerouted(self):
        schedule = start_schedule(1)
        for fake in schedule.driver.searchers.values():
            fake.service_s = 0.03
        for number in range(8):
            send_query(schedule, f"r{number}", "z1-a")
        schedule.run(0.01)
        self.assertEqual(_calls_since(schedule, 0.0), 2)
        inject_host_list_entry(schedule, SEARCHER, True)
        schedule.run(0.5)
        self.assertEqual(_calls_since(schedule, 0.0), 2)
        self.assertEqual(check_schedule(schedule), [])


if __name__ == "__main__":
    unittest.main()
