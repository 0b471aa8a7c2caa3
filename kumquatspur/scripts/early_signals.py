"""Handles signals from the first moment of a daemon until its end.

A handler only records the signal or exits at once. It must not raise: Python
drops an exception that is raised in a callback of a weak reference or in a
destructor, as imports run them, and an exit in the middle of an import may end
in a crash.

Only modules that load fast are imported here, and none of eventlet's.
"""

import os
import signal
import sys
import time
from collections.abc import Callable

EXIT_STOPPED = 0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """The signals that a daemon gets, from its first moment on.

    Until the daemon attaches itself, a stop ends the process at once, or, if it
    accepts connections already, is kept for the daemon. A reload is kept.

    Attributes:
        stop_at: When a stop was first requested, on the clock that counts
            suspended time; None before.
        accepts: Whether connections are accepted, so that a stop has to be
            graceful.
    """

    def __init__(self, exit_process: Callable[[int], None] = os._exit):
        self.stop_at = None
        self.accepts = False
        self._reload = False
        self._stop_daemon = None
        self._reload_daemon = None
        self._exit_process = exit_process

    def install(self) -> None:
        """Sets the handlers."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)

    def attach(
        self,
        stop: Callable[[float], None],
        reload: Callable[[], None],
    ) -> None:
        """Passes the signals on to the daemon, with those that came before.

        The functions are called in a signal handler, which may interrupt any
        green thread. A stop may be passed on more than once.

        Args:
            stop: Requests a graceful stop; gets the time of the signal.
            reload: Requests a reload of the settings.
        """
        self._stop_daemon, self._reload_daemon = stop, reload
        if self.stop_at is not None:
            stop(self.stop_at)
        if self._reload:
            reload()

    def ignore(self) -> None:
        """Ignores further signals while a process that has stopped ends.

        The interpreter would restore the default actions as it ends.
        """
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _on_stop(self, *_) -> None:
        if self.stop_at is None:
            self.stop_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        if self._stop_daemon is not None:
            self._stop_daemon(self.stop_at)
        elif not self.accepts:
            self._exit_process(EXIT_STOPPED)

    def _on_reload(self, *_) -> None:
        self._reload = True
        if self._reload_daemon is not None:
            self._reload_daemon()


def exit_at_once(code: int) -> None:
    """Ends the process without the shutdown of the interpreter.

    On a busy machine, that shutdown may take longer than what is left of the
    grace period. Nothing needs it: all that lasts is elsewhere.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
