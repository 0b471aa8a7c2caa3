"""JSON lines on standard output, bounded in volume and never blocking."""

import collections
import json
import os
import select
import time

import eventlet

from kumquatspur.wire.searcher_pool import monotonic_s

LINES_PER_S = 150.0
BURST_LINES = 400.0
# Lines kept while the reader of the output is slow.
MAX_WAITING = 2000
FLUSH_S = 0.1
# A pipe that polls writable takes this many bytes without blocking.
PIPE_BYTES = 4096
STDOUT = 1


class DecisionLog:
    """Writes one line a decision.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, host: str):
        self.dropped = 0
        self._host = host
        self._lines = collections.deque()
        self._rest = b""
        self._tokens = BURST_LINES
        self._filled = monotonic_s()
        self._reported = 0
        self._poll = None

    def start(self) -> None:
        """Starts writing."""
        # The library's poll would hand control to the hub.
        self._poll = eventlet.patcher.original("select").poll()
        self._poll.register(STDOUT, select.POLLOUT)
        eventlet.spawn_n(self._run)

    def write(self, event: str, important: bool = False, **fields) -> None:
        """Queues a line.

        Args:
            event: What was decided or has changed.
            important: Whether the line goes out whatever the volume.
            **fields: The inputs and the outcome.
        """
        if not important and not self._admit():
            self.dropped += 1
            return
        if len(self._lines) >= MAX_WAITING:
            self.dropped += 1
            return
        line = {"time": round(time.time(), 3), "host": self._host}
        line["event"] = event
        line.update(fields)
        self._lines.append(json.dumps(line, default=str).encode() + b"\n")

    def flush(self) -> None:
        """Writes what can be written without blocking."""
        if self.dropped != self._reported:
            count = self.dropped - self._reported
            self._reported = self.dropped
            self.write("log_lines_dropped", True, count=count)
        while self._lines or self._rest:
            batch = self._rest
            while self._lines and len(batch) < PIPE_BYTES:
                batch += self._lines.popleft()
            if not self._poll or not self._poll.poll(0):
                self._rest = batch
                return
            written = os.write(STDOUT, batch[:PIPE_BYTES])
            self._rest = batch[written:]

    def _run(self) -> None:
        while True:
            eventlet.sleep(FLUSH_S)
            self.flush()

    def _admit(self) -> bool:
        now = monotonic_s()
        earned = (now - self._filled) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._filled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
