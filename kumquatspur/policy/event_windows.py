"""Event counts over sliding windows, kept in a bounded ring of minutes."""

import collections

from kumquatspur.policy.burn import EventCounts

BUCKET_S = 60
WINDOWS_S = (300, 1800, 3600, 21_600)


class EventWindows:
    """Counts events by service and minute.

    Attributes:
        buckets: For each minute kept, its index and the counts by service;
            oldest first.
    """

    def __init__(self):
        longest = max(WINDOWS_S) // BUCKET_S
        self.buckets = collections.deque(maxlen=longest + 1)

    def add(self, service: str, counts: EventCounts, now: float) -> None:
        """Adds events.

        Args:
            service: The service.
            counts: The events.
            now: The current time in seconds.
        """
        index = int(now // BUCKET_S)
        if not self.buckets or self.buckets[-1][0] != index:
            self.buckets.append((index, {}))
        bucket = self.buckets[-1][1]
        bucket[service] = bucket.get(service, EventCounts()).plus(counts)

    def totals(self, now: float) -> dict[tuple[str, int], EventCounts]:
        """Sums the counts of the windows that end now.

        Args:
            now: The current time in seconds.

        Returns:
            Counts by service and window in seconds. The oldest minute of a
            window is counted in full.
        """
        found = {}
        for window_s in WINDOWS_S:
            first = int((now - window_s) // BUCKET_S)
            for index, bucket in self.buckets:
                if index < first:
                    continue
                for service, counts in bucket.items():
                    key = (service, window_s)
                    found[key] = found.get(key, EventCounts()).plus(counts)
        return found
