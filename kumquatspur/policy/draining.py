"""Whether an upstream is leaving, from signals that may lag or mislead.

Any one signal suffices to stop new work. What ends it depends on the signal:
a status probe may overrule only what a status probe said, unless probes saw
the upstream leave or fail in between, which shows that it came back.
"""

import dataclasses
import enum

# A signal that nothing confirmed or refuted is forgotten after this time.
HOLD_S = 30.0


class Signal(enum.StrEnum):
    """A sign that an upstream is leaving, seen by its owner."""

    ANSWER = "answer"
    PROBE = "probe"
    CONNECTION_REFUSED = "connection_refused"


@dataclasses.dataclass
class DrainState:
    """What an owner saw of one upstream.

    Attributes:
        seen: When each signal in force was last seen.
        confirmed: Whether a probe failed or told of leaving since then.
    """

    seen: dict[Signal, float] = dataclasses.field(default_factory=dict)
    confirmed: bool = False

    def record_signal(self, signal: Signal, now: float) -> None:
        """Takes a signal."""
        self.seen[signal] = now
        self.confirmed = Signal.PROBE in self.seen

    def record_probe_failure(self, now: float) -> None:
        """Takes a failed status probe."""
        self.confirmed = True
        self._forget_old(now)

    def record_healthy_probe(self, now: float) -> None:
        """Takes a status probe that tells of no leaving."""
        self.seen.pop(Signal.PROBE, None)
        if self.confirmed:
            self.seen.clear()
        self.confirmed = False
        self._forget_old(now)

    def is_draining(self) -> bool:
        """Returns whether any signal is in force."""
        return bool(self.seen)

    def _forget_old(self, now: float) -> None:
        self.seen = {
            signal: at for signal, at in self.seen.items() if now - at < HOLD_S
        }
