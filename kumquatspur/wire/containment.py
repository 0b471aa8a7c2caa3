"""Keeps an unexpected error in one task from ending the others.

Load pattern: an odd entry in the metadata store reaches all hosts within a
second. Without bounds, an error that it raises would end the main loop or a
green thread on all hosts at the same time.

A contained error is a bug: it is counted as `internal_errors`, and logged with
the task and the input at which it was raised.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterable

from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.searcher_pool import monotonic_s

_log = logging.getLogger(__name__)

# An error that a task raises again and again is logged at this interval.
REPORT_INTERVAL_S = 5.0
MAX_ERROR_LENGTH = 200


class Containment:
    """Context manager that ends an unexpected error.

    Errors that are no `Exception`, such as the kill of a green thread, pass.

    Attributes:
        state: The state of this host.
        task: Name of the task, for the log.
        source: The input that the task works on, for the log.
        failed: Whether an error was raised.
    """

    __slots__ = ("state", "task", "source", "failed")

    def __init__(self, state: EntryState, task: str, **source):
        self.state = state
        self.task = task
        self.source = source
        self.failed = False

    def __enter__(self):
        return self

    def __exit__(self, _, error, __) -> bool:
        if not isinstance(error, Exception):
            return False
        self.failed = True
        report_error(self.state, self.task, error, **self.source)
        return True


def report_error(
    state: EntryState, task: str, error: Exception, **source
) -> None:
    """Counts an unexpected error, and logs it if it was not logged just now.

    Args:
        state: The state of this host.
        task: Name of the task that raised it.
        error: The error.
        **source: The input that the task worked on.
    """
    state.counters["internal_errors"] += 1
    now = monotonic_s()
    key = (task, type(error))
    reported_at, repeated = state.errors_reported.get(key, (None, 0))
    if reported_at is not None and now - reported_at < REPORT_INTERVAL_S:
        state.errors_reported[key] = (reported_at, repeated + 1)
        return
    state.errors_reported[key] = (now, 0)
    _log.error("%s failed", task, exc_info=error)
    state.log.write(
        "internal_error",
        True,
        task=task,
        error=repr(error)[:MAX_ERROR_LENGTH],
        repeated=repeated,
        **source,
    )


@dataclasses.dataclass
class PeriodicTask:
    """A task of the main loop.

    Attributes:
        name: Its name, for the log.
        run: Runs it once; gets the monotonic time in seconds.
        interval_s: Least time between two runs.
        ran_at: When it was last run, in monotonic time.
    """

    name: str
    run: Callable[[float], None]
    interval_s: float = 0.0
    ran_at: float = 0.0


def run_due(
    state: EntryState, tasks: Iterable[PeriodicTask], now: float
) -> None:
    """Runs the tasks that are due; one that fails does not stop the others.

    Args:
        state: The state of this host.
        tasks: The tasks.
        now: Monotonic time in seconds.
    """
    for task in tasks:
        if now - task.ran_at >= task.interval_s:
            task.ran_at = now
            with Containment(state, task.name):
                task.run(now)
