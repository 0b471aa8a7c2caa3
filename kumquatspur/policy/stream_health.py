"""Decides when a stream to a peer is silent, and when to reconnect."""

import dataclasses

FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 2.0
MIN_JITTER = 0.5


@dataclasses.dataclass
class StreamHealth:
    """Frames sent on one stream and acknowledged by its receiver.

    Attributes:
        sent: Frames sent.
        acknowledged: Frames acknowledged.
        sent_at: When a frame was last sent.
        waiting_since: When the receiver last made progress while frames were
            unacknowledged; None if there are none.
    """

    sent: int = 0
    acknowledged: int = 0
    sent_at: float = float("-inf")
    waiting_since: float | None = None

    def on_sent(self, now: float) -> None:
        """Notes that a frame was queued for sending."""
        self.sent += 1
        self.sent_at = now
        if self.waiting_since is None:
            self.waiting_since = now

    def on_acknowledged(self, count: int, now: float) -> None:
        """Notes that the receiver has taken frames.

        Args:
            count: All frames that it has received on this stream.
            now: The current time.
        """
        if not self.acknowledged < count <= self.sent:
            return
        self.acknowledged = count
        self.waiting_since = None if count == self.sent else now

    def is_stalled(self, stall_s: float, now: float) -> bool:
        """Returns whether the receiver took nothing for too long."""
        if self.waiting_since is None:
            return False
        return now - self.waiting_since > stall_s

    def is_idle(self, idle_s: float, now: float) -> bool:
        """Returns whether all was taken and nothing was sent for a while."""
        return self.waiting_since is None and now - self.sent_at > idle_s


@dataclasses.dataclass
class ReconnectBackoff:
    """Exponential backoff with jitter between connection attempts to a peer.

    Attributes:
        delay_s: The next delay before jitter, in seconds.
        next_at: When the next attempt is allowed.
    """

    delay_s: float = FIRST_BACKOFF_S
    next_at: float = float("-inf")

    def try_connect(self, now: float, rng) -> bool:
        """Takes leave for a connection attempt.

        Args:
            now: The current time.
            rng: Source of randomness.

        Returns:
            False if it is too early.
        """
        if now < self.next_at:
            return False
        self.next_at = now + self.delay_s * rng.uniform(MIN_JITTER, 1.0)
        self.delay_s = min(2.0 * self.delay_s, LONGEST_BACKOFF_S)
        return True

    def reset(self) -> None:
        """Forgets past failures; called when a stream works."""
        self.delay_s = FIRST_BACKOFF_S
