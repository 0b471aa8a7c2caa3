"""The owner's queue for one searcher, with natural batching.

A free slot takes one item at once. While all slots are busy, items wait; the
next free slot takes as many of them as should share a request.
"""

import bisect
import dataclasses

from kumquatspur.core.actions import Item
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Searcher
from kumquatspur.policy.request_cost import INITIAL_S, RequestCost

MAX_BATCH_ITEMS = 16
SCORE_WEIGHT = 0.15
# Added to the score of a request that brought no result.
FAILURE_PENALTY_S = 0.2
# The score of an idle searcher falls by this factor a probe, so that it is
# tried again.
IDLE_DECAY = 0.9
# A request that is overdue is expected to take as long again.
OVERDUE_FACTOR = 2.0
# An item is admitted only if this many times its service time is left.
DEADLINE_RESERVE = 1.3
# A searcher too slow for any deadline is tried again after this time.
SLOW_RETRY_INTERVAL_S = 2.0


@dataclasses.dataclass
class Call:
    """A request that is under way.

    Attributes:
        items: Its items.
        started: When it was started.
        reachable: Whether the searcher was known to answer then.
    """

    items: tuple[Item, ...]
    started: float
    reachable: bool = True


@dataclasses.dataclass
class SearcherQueue:
    """State of one owned searcher.

    Attributes:
        searcher: The searcher.
        waiting: Items that wait for a slot, earliest deadline first.
        calls: Requests under way, by call id.
        held: The snapshots that it holds.
        draining: Whether it is leaving.
        reachable: Whether its last request or probe succeeded.
        cost: Time of a request by its number of items.
        latency_s: Smoothed latency of one request with a penalty for failures,
            in seconds; what replicas are compared by.
        max_calls: Requests that may be under way at once.
        max_batch: Items that may share a request.
        used: Whether a request ended since the last probe.
        ended: When the last request ended.
    """

    searcher: Searcher
    waiting: list[Item] = dataclasses.field(default_factory=list)
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    held: tuple[int, ...] = ()
    draining: bool = False
    reachable: bool = False
    cost: RequestCost = dataclasses.field(default_factory=RequestCost)
    latency_s: float = INITIAL_S
    max_calls: int = 1
    max_batch: int = MAX_BATCH_ITEMS
    used: bool = False
    ended: float = float("-inf")

    def backlog(self) -> int:
        """Returns the number of items waiting or running."""
        running = sum(len(call.items) for call in self.calls.values())
        return len(self.waiting) + running

    def free_slots(self) -> int:
        """Returns the number of requests that may be started now.

        While a suspected item runs, nothing else is started, so that the loss
        of the searcher would have one explanation.
        """
        if any(call.items[0].suspect_of for call in self.calls.values()):
            return 0
        return max(0, self.max_calls - len(self.calls))

    def expected_wait_s(self, now: float) -> float:
        """Estimates how long a new item waits for a slot.

        Args:
            now: The current time.

        Returns:
            Seconds.
        """
        if self.free_slots() > len(self.waiting):
            return 0.0
        running = sum(self._left_s(call, now) for call in self.calls.values())
        batch = self.cost.best_batch(self.max_batch)
        sharing = sum(map(_may_share, self.waiting))
        alone = len(self.waiting) - sharing
        queued = sharing / batch * self.cost.predict_s(batch)
        queued += alone * self.cost.predict_s(1)
        return (running + queued) / self.max_calls

    def _left_s(self, call: Call, now: float) -> float:
        expected = self.cost.predict_s(len(call.items))
        elapsed = now - call.started
        return abs(expected - elapsed)

    def admit(
        self, item: Item, now: float, may_wait: bool = True
    ) -> Reason | None:
        """Queues an item unless it cannot finish in time.

        Args:
            item: The item.
            now: The current time.
            may_wait: Whether it may wait for a slot.

        Returns:
            None if it was queued, else why it was refused.
        """
        if self.draining:
            return Reason.REFUSED
        wait = self.expected_wait_s(now)
        if not may_wait and wait > 0.0:
            return Reason.OVERLOADED
        if not self._in_time(item, now + wait) and not self._is_trial(now):
            return Reason.OVERLOADED
        bisect.insort(self.waiting, item, key=lambda other: other.deadline)
        return None

    def _is_trial(self, now: float) -> bool:
        """A searcher known as too slow gets one item now and then."""
        return not self.backlog() and now - self.ended >= SLOW_RETRY_INTERVAL_S

    def _in_time(self, item: Item, start: float) -> bool:
        needed = DEADLINE_RESERVE * self.cost.predict_s(1)
        return start + needed <= item.deadline

    def take_expired(self, now: float) -> list[Item]:
        """Removes the items that waited so long that they cannot finish.

        Args:
            now: The current time.

        Returns:
            The items removed, which were not run.
        """
        needed = self.cost.predict_s(1) if self.cost.count else 0.0
        crowded = len(self.waiting) + len(self.calls) > 1
        late = [
            item
            for item in self.waiting
            if now >= item.deadline
            or (crowded and now + needed > item.deadline)
        ]
        if late:
            self.waiting = [i for i in self.waiting if i not in late]
            return late
        return []

    def take_batch(self, now: float) -> tuple[Item, ...]:
        """Takes the items of the next request.

        An item that is not repeatable travels alone, so that its verdict
        depends on no other item. An item suspected of crashing its upstream
        also waits until nothing else runs there. No item joins that would make
        the first one late.

        Args:
            now: The current time.

        Returns:
            The items; empty if no slot is free or nothing waits.
        """
        free = self.free_slots()
        if not self.waiting or not free:
            return ()
        if self.waiting[0].suspect_of and self.calls:
            return ()
        # All slots share what waits, those that are free soon as well.
        share = -(-len(self.waiting) // self.max_calls)
        most = min(share, self.cost.best_batch(self.max_batch))
        batch = [self.waiting.pop(0)]
        left_s = batch[0].deadline - now
        while (
            _may_share(batch[0])
            and self.waiting
            and _may_share(self.waiting[0])
            and len(batch) < most
            and DEADLINE_RESERVE * self.cost.predict_s(len(batch) + 1) <= left_s
        ):
            batch.append(self.waiting.pop(0))
        return tuple(batch)

    def start(self, call_id: str, items: tuple[Item, ...], now: float) -> None:
        """Records that a request was started."""
        self.calls[call_id] = Call(items, now, self.reachable)

    def finish(
        self, call_id: str, now: float, succeeded: bool = True
    ) -> Call | None:
        """Records that a request ended and updates the estimates.

        Args:
            call_id: The request.
            now: The current time.
            succeeded: Whether it brought results.

        Returns:
            The request, or None if it is not under way.
        """
        call = self.calls.pop(call_id, None)
        if call is None:
            return None
        self.used = True
        self.ended = now
        elapsed = now - call.started
        if succeeded:
            self.cost.add(len(call.items), elapsed)
            self._score(elapsed)
        else:
            self._note_lower_bound(call, elapsed)
            self._score(elapsed + FAILURE_PENALTY_S)
        return call

    def cancel(self, call_id: str, now: float) -> Call | None:
        """Records that a request was abandoned.

        Its time so far is a lower bound of its latency: it counts, multiplied
        by `OVERDUE_FACTOR`, only if it is above the estimate.

        Args:
            call_id: The request.
            now: The current time.

        Returns:
            The request, or None if it is not under way.
        """
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.ended = now
            self._note_lower_bound(call, now - call.started)
        return call

    def _note_lower_bound(self, call: Call, elapsed: float) -> None:
        likely = OVERDUE_FACTOR * elapsed
        if elapsed > self.cost.predict_s(len(call.items)):
            self.cost.add(len(call.items), likely)
        if elapsed > self.latency_s:
            self.used = True
            self._score(likely)

    def score_s(self, now: float) -> float:
        """Returns what replicas are compared by.

        Args:
            now: The current time.

        Returns:
            Seconds: the smoothed latency, or more while a request is overdue.
        """
        oldest = min((c.started for c in self.calls.values()), default=now)
        return max(self.latency_s, now - oldest)

    def record_probe(self) -> None:
        """Lets the score of an idle searcher fall."""
        if not self.used:
            self.latency_s = max(self.latency_s * IDLE_DECAY, INITIAL_S)
        self.used = False

    def _score(self, seconds: float) -> None:
        self.latency_s += SCORE_WEIGHT * (seconds - self.latency_s)


def _may_share(item: Item) -> bool:
    return item.repeatable and not item.suspect_of
