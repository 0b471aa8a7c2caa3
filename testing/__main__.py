"""Runs all tests; failures listed in KNOWN-RED.txt do not fail the run."""

import eventlet

eventlet.monkey_patch()

import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

from testing.known_red import KnownRed, parse_known_red  # noqa: E402

SLOWEST_SHOWN = 10
KNOWN_RED_FILE = pathlib.Path("KNOWN-RED.txt")


class TimedResult(unittest.TextTestResult):
    """Records the duration of each test.

    Attributes:
        seconds: Duration in seconds, by test identifier.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.seconds = {}

    def startTest(self, test):  # noqa: N802
        """Records the start time of a test."""
        self.seconds[test.id()] = -time.monotonic()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        """Records the duration of a test."""
        super().stopTest(test)
        self.seconds[test.id()] += time.monotonic()


def print_slowest(result: TimedResult) -> None:
    """Prints the slowest tests."""
    rows = sorted(result.seconds.items(), key=lambda row: -row[1])
    for name, seconds in rows[:SLOWEST_SHOWN]:
        print(f"{seconds:6.1f} s  {name}")


def read_list() -> dict[str, KnownRed]:
    """Returns the known failures by test identifier.

    Raises:
        SystemExit: The list is malformed.
    """
    if not KNOWN_RED_FILE.exists():
        return {}
    entries, errors = parse_known_red(
        KNOWN_RED_FILE.read_text(), str(KNOWN_RED_FILE)
    )
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)
    if errors:
        raise SystemExit(2)
    return {entry.test: entry for entry in entries}


def failed_tests(result: unittest.TestResult) -> list[str]:
    """Returns the identifiers of the tests that failed.

    A subtest counts as its test.
    """
    identifiers = []
    for test, _ in [*result.failures, *result.errors]:
        identifiers.append(getattr(test, "test_case", test).id())
    identifiers += [test.id() for test in result.unexpectedSuccesses]
    return sorted(set(identifiers))


def main() -> int:
    """Runs the tests.

    Returns:
        The exit code.
    """
    known = read_list()
    suite = unittest.defaultTestLoader.discover(".", "*_test.py", ".")
    runner = unittest.TextTestRunner(resultclass=TimedResult)
    result = runner.run(suite)
    print_slowest(result)
    failed = failed_tests(result)
    for name in failed:
        if name in known:
            entry = known[name]
            print(f"known red: {name}: {entry.seen} (issue {entry.issue})")
    for name in sorted(known.keys() - set(failed)):
        print(f"known red, but did not fail in this run: {name}")
    unknown = [name for name in failed if name not in known]
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unknown)} failed")
    return 1 if unknown or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
