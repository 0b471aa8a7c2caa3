"""Whether an upstream is draining, from signals that may be late or wrong.

One signal is enough to stop new work. A healthy status probe normally cancels
only the signal of an earlier probe. It cancels all signals if a probe failed or
reported draining in the meantime, because the upstream has then restarted.
"""

import dataclasses
import enum

# A signal that is older than this when a probe fails, or finds the upstream
# healthy, is dropped.
SIGNAL_EXPIRY_S = 30.0


class Signal(enum.StrEnum):
    """How its owner learns that an upstream is draining."""

    ANSWER = "answer"
    PROBE = "probe"
    CONNECTION_REFUSED = "connection_refused"


@dataclasses.dataclass
class DrainState:
    """Active drain signals of one upstream at its owner.

    Attributes:
        seen_at: When each active signal was last seen.
        confirmed: Whether a probe failed since the last signal, or the probe
            signal was active at that time. Then the next healthy probe cancels
            all signals.
    """

    seen_at: dict[Signal, float] = dataclasses.field(default_factory=dict)
    confirmed: bool = False

    def record_signal(self, signal: Signal, now: float) -> None:
        """Records a drain signal, which must then be confirmed anew."""
        self.seen_at[signal] = now
        self.confirmed = Signal.PROBE in self.seen_at

    def record_probe_failure(self, now: float) -> None:
        """Records a failed status probe, which confirms earlier signals."""
        self.confirmed = True
        self._forget_old(now)

    def record_healthy_probe(self, now: float) -> None:
        """Handles a status probe that does not report draining.

        It cancels the probe signal, and all signals if they were confirmed.
        """
        self.seen_at.pop(Signal.PROBE, None)
        if self.confirmed:
            self.seen_at.clear()
        self.confirmed = False
        self._forget_old(now)

    def is_draining(self) -> bool:
        """Returns whether any signal is active."""
        return bool(self.seen_at)

    def _forget_old(self, now: float) -> None:
        self.seen_at = {
            signal: at
            for signal, at in self.seen_at.items()
            if now - at < SIGNAL_EXPIRY_S
        }
