"""Decides which connections to one searcher may be used, and when to open.

A connection that went silent looks like a slow searcher until a new connection
works. So a request that waits too long on a kept connection is verified by a
status request over a new one; if that is answered, all connections opened
before it are retired.
"""

import dataclasses

MIN_PATIENCE_S = 0.03
PATIENCE_FACTOR = 4.0
# Applied while other kept connections to the searcher make progress: then a
# slow request is the likelier cause.
PROGRESS_FACTOR = 3.0
MAX_DEADLINE_SHARE = 0.4
INITIAL_ITEM_S = 0.005
ITEM_WEIGHT = 0.1
RECONNECTS_PER_S = 10.0
# Two entry hosts may take themselves for the owner for a while.
OWNERS_AT_ONCE = 2


@dataclasses.dataclass
class ConnectionHealth:
    """State of all connections to one searcher.

    Attributes:
        slots: Requests that the searcher executes at once.
        connections: Connections that the searcher accepts.
        generation: Grows when connections are retired; a connection keeps the
            generation in which it was opened.
        item_s: Smoothed time that an item takes, in seconds.
        progress_at: When a kept connection last delivered an answer.
        tokens: New connections allowed now.
        refilled_at: When `tokens` was last refilled.
    """

    slots: int
    connections: int
    generation: int = 0
    item_s: float = INITIAL_ITEM_S
    progress_at: float = float("-inf")
    tokens: float = float("inf")
    refilled_at: float = float("-inf")

    def limit(self) -> int:
        """Returns the number of connections allowed at once."""
        return max(1, self.connections // OWNERS_AT_ONCE)

    def burst(self) -> float:
        """Returns the number of connections that may be opened at once."""
        return float(min(self.limit(), 2 * (self.slots + 1)))

    def open_wait_s(self, open_count: int, now: float) -> float:
        """Takes leave to open a connection.

        Args:
            open_count: Connections open now.
            now: The current time.

        Returns:
            0 if a connection may be opened now, else how long to wait before
            asking again, in seconds.
        """
        gained = (now - self.refilled_at) * RECONNECTS_PER_S
        self.tokens = min(self.burst(), self.tokens + gained)
        self.refilled_at = now
        if open_count >= self.limit():
            return 1.0 / RECONNECTS_PER_S
        if self.tokens < 1.0:
            return (1.0 - self.tokens) / RECONNECTS_PER_S
        self.tokens -= 1.0
        return 0.0

    def stall_timeout_s(self, items: int, left_s: float) -> float:
        """Returns how long a request on a kept connection may be silent.

        Args:
            items: Items of the request.
            left_s: Time left until its deadline, in seconds.

        Returns:
            Seconds; short enough to leave time for a second attempt.
        """
        expected = PATIENCE_FACTOR * items * self.item_s
        return min(max(MIN_PATIENCE_S, expected), MAX_DEADLINE_SHARE * left_s)

    def on_answer(self, sent: float, items: int, kept: bool, now: float):
        """Notes an answer.

        Args:
            sent: When the request was sent.
            items: Its items; 0 for a status request.
            kept: Whether it travelled on a connection used before.
            now: The current time.
        """
        if kept:
            self.progress_at = now
        if items:
            elapsed = (now - sent) / items
            self.item_s += ITEM_WEIGHT * (elapsed - self.item_s)

    def verify_wait_s(self, sent: float, items: int, now: float) -> float:
        """Returns when to verify a request that was silent for its patience.

        Args:
            sent: When it was sent.
            items: Its items.
            now: The current time.

        Returns:
            0 if a new connection should be tried now, else how long to wait
            first, in seconds.
        """
        if self.progress_at <= sent:
            return 0.0
        expected = PATIENCE_FACTOR * items * self.item_s
        longest = PROGRESS_FACTOR * max(MIN_PATIENCE_S, expected)
        return max(0.0, sent + longest - now)

    def retire(self, generation: int) -> bool:
        """Retires the connections of a generation that was found silent.

        Args:
            generation: The generation of the silent connection.

        Returns:
            False if they were retired before.
        """
        if generation != self.generation:
            return False
        self.generation += 1
        return True
