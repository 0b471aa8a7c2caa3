"""How much of a request's time passes outside of this host.

Load pattern: the target latency counts from the client's first attempt. Clients
are milliseconds away, open a connection first for some requests, and retry.
An answer that is sent just before the target, counted from the arrival here, is
late for them. Clients send the time that is left to them, so the time that they
have spent shows in comparison with requests on connections in use.
"""

import collections
import dataclasses

# The longest time left is taken from the requests of the last one to two such
# periods, since the operator and clients may change it.
PERIOD_S = 20.0
# Samples of the time to open a connection.
MAX_SAMPLES = 32
MIN_SAMPLES = 4
# Retries open a connection as well, after much more time. So the estimate is a
# low quantile, and longer times are not samples.
ROUND_TRIP_QUANTILE = 0.25
MAX_ROUND_TRIP_S = 0.1


@dataclasses.dataclass(slots=True)
class _LongestTimeLeft:
    """Greatest time left in this period and in the previous one, in seconds."""

    period: int = -1
    current: float = 0.0
    previous: float = 0.0

    def add(self, seconds: float, now: float) -> None:
        period = int(now / PERIOD_S)
        if period != self.period:
            follows = period == self.period + 1
            self.previous = self.current if follows else 0.0
            self.period, self.current = period, 0.0
        self.current = max(self.current, seconds)

    def value(self) -> float:
        return max(self.current, self.previous)


@dataclasses.dataclass
class ClientTiming:
    """Observations of the clients of this host.

    Attributes:
        longest: Greatest time left of requests on connections in use, by route.
        samples: Times in which clients opened a connection, in seconds.
        round_trip_s: Estimated time from this host to its clients and back;
            None while it is not known.
    """

    longest: dict[str, _LongestTimeLeft] = dataclasses.field(
        default_factory=dict
    )
    samples: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    round_trip_s: float | None = None

    def lead_s(
        self,
        route: str,
        time_left_s: float | None,
        is_first: bool,
        now: float,
    ) -> float | None:
        """Returns how much of the target passes outside of this host.

        Args:
            route: The request's route.
            time_left_s: Time that the client has left; None if not sent.
            is_first: Whether the request is the first on its connection.
            now: Monotonic time in seconds.

        Returns:
            The time that the client has spent before the request and that the
            request and its answer take on the way, in seconds; None while this
            is not known.
        """
        if time_left_s is None:
            return None
        longest = self.longest.get(route)
        if longest is None:
            longest = self.longest[route] = _LongestTimeLeft()
        if not is_first:
            longest.add(time_left_s, now)
        spent_s = max(0.0, longest.value() - time_left_s)
        if is_first and 0.0 < spent_s < MAX_ROUND_TRIP_S:
            self._add_sample(spent_s)
        if self.round_trip_s is None or not longest.value():
            return None
        return spent_s + self.round_trip_s

    def _add_sample(self, seconds: float) -> None:
        self.samples.append(seconds)
        if len(self.samples) >= MIN_SAMPLES:
            ordered = sorted(self.samples)
            index = int(ROUND_TRIP_QUANTILE * len(ordered))
            self.round_trip_s = ordered[index]
