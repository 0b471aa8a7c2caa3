"""Writes decisions as JSON lines to standard output, without blocking.

The volume is limited by a token bucket. Lines over the limit are dropped and
counted.
"""

import collections
import json
import os
import select
import time

import eventlet

from kumquatspur.wire.searcher_pool import monotonic_s

LINES_PER_S = 150.0
BURST_LINES = 400.0
# Lines queued while the reader of the output is slow.
MAX_QUEUED_LINES = 2000
FLUSH_INTERVAL_S = 0.1
# A pipe that is reported writable accepts this many bytes without blocking
# (PIPE_BUF).
PIPE_BYTES = 4096
STDOUT = 1


class DecisionLog:
    """Writes one line for each decision.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, host: str):
        self.dropped = 0
        self._host = host
        self._lines = collections.deque()
        self._unwritten = b""
        self._tokens = BURST_LINES
        self._refilled_at = monotonic_s()
        self._reported_dropped = 0
        self._poll = None

    def start(self) -> None:
        """Starts writing."""
        # eventlet's poll would switch to the hub.
        self._poll = eventlet.patcher.original("select").poll()
        self._poll.register(STDOUT, select.POLLOUT)
        eventlet.spawn_n(self._run)

    def write(self, event: str, important: bool = False, **fields) -> None:
        """Queues a line.

        Args:
            event: Name of the decision or change.
            important: Whether the line is exempt from the rate limit.
            **fields: The inputs and the outcome.
        """
        if not important and not self._take_token():
            self.dropped += 1
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = {"time": round(time.time(), 3), "host": self._host}
        line["event"] = event
        line.update(fields)
        self._lines.append(json.dumps(line, default=str).encode() + b"\n")

    def flush(self) -> None:
        """Writes what can be written without blocking."""
        if self.dropped != self._reported_dropped:
            count = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self.write("log_lines_dropped", True, count=count)
        while self._lines or self._unwritten:
            batch = self._unwritten
            while self._lines and len(batch) < PIPE_BYTES:
                batch += self._lines.popleft()
            if not self._poll or not self._poll.poll(0):
                self._unwritten = batch
                return
            written = os.write(STDOUT, batch[:PIPE_BYTES])
            self._unwritten = batch[written:]

    def _run(self) -> None:
        while True:
            eventlet.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _take_token(self) -> bool:
        now = monotonic_s()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
