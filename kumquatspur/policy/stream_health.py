"""Decides when a stream to a peer has stalled, and when to reconnect."""

import dataclasses

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MIN_JITTER_FACTOR = 0.5


@dataclasses.dataclass
class StreamHealth:
    """Frames sent on one stream and acknowledged by its receiver.

    Attributes:
        frames_sent: Number of frames sent.
        acknowledged: Number of frames acknowledged.
        sent_at: When a frame was last sent.
        waiting_since: Since when unacknowledged frames have made no progress;
            None if all frames are acknowledged.
    """

    frames_sent: int = 0
    acknowledged: int = 0
    sent_at: float = float("-inf")
    waiting_since: float | None = None

    def on_sent(self, now: float) -> None:
        """Counts a frame that was queued for sending."""
        self.frames_sent += 1
        self.sent_at = now
        if self.waiting_since is None:
            self.waiting_since = now

    def on_acknowledged(self, count: int, now: float) -> None:
        """Updates the progress after an acknowledgement.

        A count that is not new, or exceeds the frames sent, is ignored.

        Args:
            count: Total number of frames received on this stream.
            now: The current time in seconds.
        """
        if not self.acknowledged < count <= self.frames_sent:
            return
        self.acknowledged = count
        self.waiting_since = None if count == self.frames_sent else now

    def is_stalled(self, stall_s: float, now: float) -> bool:
        """Returns whether frames were unacknowledged for too long."""
        if self.waiting_since is None:
            return False
        return now - self.waiting_since > stall_s

    def is_idle(self, idle_s: float, now: float) -> bool:
        """Returns whether all is acknowledged and nothing was sent recently."""
        return self.waiting_since is None and now - self.sent_at > idle_s


@dataclasses.dataclass
class ReconnectBackoff:
    """Exponential backoff with jitter between connection attempts to a peer.

    Attributes:
        delay_s: The next delay before jitter, in seconds.
        next_at: When the next attempt is allowed.
    """

    delay_s: float = MIN_BACKOFF_S
    next_at: float = float("-inf")

    def try_connect(self, now: float, rng) -> bool:
        """Requests permission for a connection attempt.

        If it is granted, the delay before the next attempt is doubled.

        Args:
            now: The current time in seconds.
            rng: A `random.Random`.

        Returns:
            False if the backoff has not ended yet.
        """
        if now < self.next_at:
            return False
        self.next_at = now + self.delay_s * rng.uniform(MIN_JITTER_FACTOR, 1.0)
        self.delay_s = min(2.0 * self.delay_s, MAX_BACKOFF_S)
        return True

    def reset(self) -> None:
        """Resets the delay after a stream was established."""
        self.delay_s = MIN_BACKOFF_S
