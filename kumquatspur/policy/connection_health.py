"""Health of the connections to one searcher, and limits on opening new ones.

A connection that no longer delivers data cannot be distinguished from a slow
searcher until a new connection works. So when a request on a reused connection
stalls, a status request is sent over a new connection. If that is answered, all
connections opened before it are retired.
"""

import dataclasses

MIN_STALL_TIMEOUT_S = 0.03
STALL_TIMEOUT_FACTOR = 4.0
# The timeout is multiplied by this while other reused connections to the
# searcher deliver answers, since a slow request is then the more likely cause.
PROGRESS_TIMEOUT_FACTOR = 3.0
# The stall timeout is at most this share of the time left until the deadline.
MAX_TIMEOUT_SHARE = 0.4
# Assumed time per item before the first answer.
INITIAL_ITEM_S = 0.005
# Weight of a new answer in the smoothed time per item.
ITEM_WEIGHT = 0.1
RECONNECTS_PER_S = 10.0
# While ownership changes, two entry hosts may both act as the owner. Each may
# open only its part of the connections that the searcher accepts.
MAX_CONCURRENT_OWNERS = 2


@dataclasses.dataclass
class ConnectionHealth:
    """State of all connections to one searcher.

    Attributes:
        slots: Requests that the searcher executes concurrently.
        max_connections: Number of connections that the searcher accepts.
        generation: Incremented when connections are retired. A connection
            keeps the generation in which it was opened.
        item_s: Smoothed time per item, in seconds.
        progress_at: When a reused connection last delivered an answer.
        tokens: New connections that may be opened now.
        refilled_at: When `tokens` was last refilled.
    """

    slots: int
    max_connections: int
    generation: int = 0
    item_s: float = INITIAL_ITEM_S
    progress_at: float = float("-inf")
    tokens: float = float("inf")
    refilled_at: float = float("-inf")

    def max_open_connections(self) -> int:
        """Returns how many connections this host may have open at once."""
        return max(1, self.max_connections // MAX_CONCURRENT_OWNERS)

    def max_open_tokens(self) -> float:
        """Returns the size of the token bucket for new connections."""
        return float(min(self.max_open_connections(), 2 * (self.slots + 1)))

    def open_wait_s(self, open_count: int, now: float) -> float:
        """Requests permission to open a connection.

        Consumes a token if permission is granted.

        Args:
            open_count: Connections open now.
            now: The current time in seconds.

        Returns:
            0 if a connection may be opened now, else the time to wait before
            the next call, in seconds.
        """
        gained = (now - self.refilled_at) * RECONNECTS_PER_S
        self.tokens = min(self.max_open_tokens(), self.tokens + gained)
        self.refilled_at = now
        if open_count >= self.max_open_connections():
            return 1.0 / RECONNECTS_PER_S
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / RECONNECTS_PER_S
        self.tokens -= 1.0
        return 0.0

    def stall_timeout_s(self, items: int, time_left_s: float) -> float:
        """Returns how long a request on a reused connection may get no answer.

        Args:
            items: Number of items of the request.
            time_left_s: Time left until its deadline, in seconds.

        Returns:
            Seconds after which the connection is tested; short enough to leave
            time for a second attempt.
        """
        expected = STALL_TIMEOUT_FACTOR * items * self.item_s
        return min(
            max(MIN_STALL_TIMEOUT_S, expected), MAX_TIMEOUT_SHARE * time_left_s
        )

    def on_answer(self, sent_at: float, items: int, reused: bool, now: float):
        """Updates the progress and the time per item after an answer.

        Args:
            sent_at: When the request was sent.
            items: Number of its items; 0 for a status request.
            reused: Whether the connection had carried a request before.
            now: The current time in seconds.
        """
        if reused:
            self.progress_at = now
        if items:
            elapsed = (now - sent_at) / items
            self.item_s += ITEM_WEIGHT * (elapsed - self.item_s)

    def verify_wait_s(self, sent_at: float, items: int, now: float) -> float:
        """Returns how long to wait before a stalled connection is tested.

        The test is a status request over a new connection.

        Args:
            sent_at: When the stalled request was sent.
            items: Number of its items.
            now: The current time in seconds.

        Returns:
            0 if the connection should be tested now, else the time to wait
            first, in seconds. It is positive only if another reused connection
            has delivered an answer since the request was sent.
        """
        if self.progress_at <= sent_at:
            return 0.0
        expected = STALL_TIMEOUT_FACTOR * items * self.item_s
        longest = PROGRESS_TIMEOUT_FACTOR * max(MIN_STALL_TIMEOUT_S, expected)
        return max(0.0, sent_at + longest - now)

    def retire(self, generation: int) -> bool:
        """Retires all connections of a generation after one of them stalled.

        Args:
            generation: The generation of the stalled connection.

        Returns:
            False if that generation was already retired.
        """
        if generation != self.generation:
            return False
        self.generation += 1
        return True
