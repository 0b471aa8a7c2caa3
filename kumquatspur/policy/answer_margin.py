"""How long before its target an incomplete answer is sent.

Load pattern: hosts of one fleet differ in processors and links. A busy host
wakes up some milliseconds after the time that an answer is due, so that an
answer that is due just in time leaves just too late. Each host measures its
delay and plans for it.
"""

import dataclasses

from kumquatspur.policy.hedging import LatencyWindow

# Time to merge and send an answer.
MERGE_S = 0.003
# The delay that a host plans for is this quantile of those that it measured.
DELAY_QUANTILE = 0.95
# Greatest margin, as a share of the target latency. It is also the margin while
# the delay is not known.
MAX_MARGIN_SHARE = 0.08


@dataclasses.dataclass
class AnswerMargin:
    """Measured delays of the answers of one host.

    Attributes:
        delays: Times by which requests woke up late, in seconds.
    """

    delays: LatencyWindow = dataclasses.field(default_factory=LatencyWindow)

    def record_delay(self, seconds: float) -> None:
        """Records how much later than planned a request woke up."""
        self.delays.add(seconds)

    def margin_s(self, target_latency_s: float) -> float:
        """Returns the margin of a route in seconds.

        Args:
            target_latency_s: Its target latency, in seconds.
        """
        longest = MAX_MARGIN_SHARE * target_latency_s
        delay_s = self.delays.quantile(DELAY_QUANTILE)
        if delay_s is None:
            return max(MERGE_S, longest)
        return max(MERGE_S, min(MERGE_S + delay_s, longest))
