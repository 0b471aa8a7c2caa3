"""Keeps a request from being sent late, and knows whether it was sent."""

import contextlib
import time

import urllib3
from eventlet import corolocal

from kumquatspur.core.verdict import Phase

_current = corolocal.local()


class DeadlinePassedError(urllib3.exceptions.HTTPError):
    """The deadline passed before the first byte was sent."""


class SendGuard:
    """The state of one request on its way to the kernel.

    Attributes:
        deadline: Time of the monotonic clock after which nothing is sent.
        sent: Whether any byte may have been handed to the kernel.
    """

    def __init__(self, deadline: float):
        self.deadline = deadline
        self.sent = False

    def phase(self) -> Phase:
        """Returns how far the request has come."""
        return Phase.SENT if self.sent else Phase.CONNECTING

    def before_send(self) -> None:
        """Notes that bytes are about to be sent.

        Raises:
            DeadlinePassedError: It is too late for the first byte.
        """
        if not self.sent and time.monotonic() >= self.deadline:
            raise DeadlinePassedError("the deadline passed before sending")
        self.sent = True

    @contextlib.contextmanager
    def active(self):
        """Applies this guard to all that this green thread sends."""
        _current.guard = self
        try:
            yield self
        finally:
            _current.guard = None


class GuardedConnection(urllib3.connection.HTTPConnection):
    """Connection that asks the green thread's guard before it sends."""

    def send(self, data) -> None:
        """Sends data, after opening the connection if necessary."""
        guard = getattr(_current, "guard", None)
        if self.sock is None:
            self.connect()
        if guard is not None:
            guard.before_send()
        super().send(data)
