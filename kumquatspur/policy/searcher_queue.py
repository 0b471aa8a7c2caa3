"""The owner's queue for one searcher, with batches formed under load.

While a slot is free, an item is sent at once. While all slots are busy, items
wait, and the next free slot takes as many of them as should share a request.
"""

import bisect
import dataclasses

from kumquatspur.core.actions import Item
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Searcher
from kumquatspur.policy.request_cost import INITIAL_S, RequestCost

MAX_BATCH_ITEMS = 16
LATENCY_WEIGHT = 0.15
# Added to the latency of a request without a result.
FAILURE_PENALTY_S = 0.2
# The latency estimate of an idle searcher is multiplied by this at each probe,
# so that it gets requests again.
IDLE_DECAY = 0.9
# The latency of a request that ended without a result, and had taken longer
# than expected, is estimated as this multiple of its time so far.
OVERDUE_FACTOR = 2.0
# An item is admitted only if this multiple of its service time is left until
# its deadline.
DEADLINE_RESERVE_FACTOR = 1.3
# A searcher that seems too slow for every deadline gets one item per interval,
# so that its latency is measured again.
REMEASURE_INTERVAL_S = 2.0


@dataclasses.dataclass
class Call:
    """A request in progress.

    Attributes:
        items: Its items.
        started: When it was started.
        reachable: Whether the searcher was reachable then.
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
        calls: Requests in progress, by call id.
        held: The snapshots that the searcher has.
        draining: Whether the searcher is draining.
        reachable: Whether its last request or probe succeeded.
        cost: Time of a request by its number of items.
        penalized_latency_s: Smoothed latency of one request in seconds, with a
            penalty for failures. It is the main part of the estimate.
        max_calls: Number of slots: requests that may be in progress at once.
        max_batch: Maximum number of items per request.
        used_since_probe: Whether a request ended since the last probe.
        last_ended_at: When the last request ended or was abandoned.
    """

    searcher: Searcher
    waiting: list[Item] = dataclasses.field(default_factory=list)
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    held: tuple[int, ...] = ()
    draining: bool = False
    reachable: bool = False
    cost: RequestCost = dataclasses.field(default_factory=RequestCost)
    penalized_latency_s: float = INITIAL_S
    max_calls: int = 1
    max_batch: int = MAX_BATCH_ITEMS
    used_since_probe: bool = False
    last_ended_at: float = float("-inf")

    def backlog(self) -> int:
        """Returns the number of items waiting or running."""
        running = sum(len(call.items) for call in self.calls.values())
        return len(self.waiting) + running

    def free_slots(self) -> int:
        """Returns the number of requests that may be started now.

        While an item suspected of crashing searchers runs, nothing else is
        started, so that a crash has only one possible cause.
        """
        if any(call.items[0].suspect_of for call in self.calls.values()):
            return 0
        return max(0, self.max_calls - len(self.calls))

    def expected_wait_s(self, now: float) -> float:
        """Estimates how long a new item waits for a slot.

        Args:
            now: The current time in seconds.

        Returns:
            Seconds.
        """
        if self.free_slots() > len(self.waiting):
            return 0.0
        running = sum(
            self._remaining_s(call, now) for call in self.calls.values()
        )
        batch = self.cost.best_batch(self.max_batch)
        batchable = sum(map(_may_batch, self.waiting))
        unbatchable = len(self.waiting) - batchable
        queued = batchable / batch * self.cost.predict_s(batch)
        queued += unbatchable * self.cost.predict_s(1)
        return (running + queued) / self.max_calls

    def _remaining_s(self, call: Call, now: float) -> float:
        """Estimates how long a request still takes, in seconds.

        An overdue request is expected to take as long again as it is overdue.
        """
        expected = self.cost.predict_s(len(call.items))
        elapsed = now - call.started
        return abs(expected - elapsed)

    def admit(
        self, item: Item, now: float, may_wait: bool = True
    ) -> Reason | None:
        """Queues an item unless it cannot finish in time.

        Args:
            item: The item.
            now: The current time in seconds.
            may_wait: Whether the item may wait for a slot.

        Returns:
            None if it was queued, else why it was refused.
        """
        if self.draining:
            return Reason.REFUSED
        wait = self.expected_wait_s(now)
        if not may_wait and wait > 0.0:
            return Reason.OVERLOADED
        if not self._in_time(item, now + wait) and not self._is_remeasure_due(
            now
        ):
            return Reason.OVERLOADED
        bisect.insort(self.waiting, item, key=lambda other: other.deadline)
        return None

    def _is_remeasure_due(self, now: float) -> bool:
        """Returns whether a slow searcher should get an item to measure it."""
        return (
            not self.backlog()
            and now - self.last_ended_at >= REMEASURE_INTERVAL_S
        )

    def _in_time(self, item: Item, start: float) -> bool:
        needed = DEADLINE_RESERVE_FACTOR * self.cost.predict_s(1)
        return start + needed <= item.deadline

    def take_expired(self, now: float) -> list[Item]:
        """Removes the waiting items that can no longer finish in time.

        An item whose deadline has not passed is removed only if other items or
        requests compete for the searcher, since the estimate may be wrong.

        Args:
            now: The current time in seconds.

        Returns:
            The removed items, which were not executed.
        """
        needed = self.cost.predict_s(1) if self.cost.count else 0.0
        contended = len(self.waiting) + len(self.calls) > 1
        late = [
            item
            for item in self.waiting
            if now >= item.deadline
            or (contended and now + needed > item.deadline)
        ]
        if late:
            self.waiting = [i for i in self.waiting if i not in late]
            return late
        return []

    def take_batch(self, now: float) -> tuple[Item, ...]:
        """Removes the items of the next request from the queue.

        An item that is not repeatable is sent in a request with no other item,
        so that its verdict depends on no other item. So is an item suspected of
        crashing its upstream, which also waits until nothing else runs there.
        No item is added that would make the first one late.

        Args:
            now: The current time in seconds.

        Returns:
            The items; empty if no slot is free or no item may be sent now.
        """
        free = self.free_slots()
        if not self.waiting or not free:
            return ()
        if self.waiting[0].suspect_of and self.calls:
            return ()
        # Divide the waiting items among all slots, because busy slots will soon
        # be free as well.
        items_per_slot = -(-len(self.waiting) // self.max_calls)
        max_items = min(items_per_slot, self.cost.best_batch(self.max_batch))
        batch = [self.waiting.pop(0)]
        time_left_s = batch[0].deadline - now
        while (
            _may_batch(batch[0])
            and self.waiting
            and _may_batch(self.waiting[0])
            and len(batch) < max_items
            and DEADLINE_RESERVE_FACTOR * self.cost.predict_s(len(batch) + 1)
            <= time_left_s
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
            call_id: Id of the request.
            now: The current time in seconds.
            succeeded: Whether it returned results.

        Returns:
            The request, or None if it is not in progress.
        """
        call = self.calls.pop(call_id, None)
        if call is None:
            return None
        self.used_since_probe = True
        self.last_ended_at = now
        elapsed = now - call.started
        if succeeded:
            self.cost.add(len(call.items), elapsed)
            self._update_latency(elapsed)
        else:
            self._update_overdue_estimates(call, elapsed)
            self._update_latency(elapsed + FAILURE_PENALTY_S)
        return call

    def cancel(self, call_id: str, now: float) -> Call | None:
        """Records that a request was abandoned.

        Its time so far is a lower bound of its latency. It updates the
        estimates, multiplied by `OVERDUE_FACTOR`, only if it exceeds them.

        Args:
            call_id: Id of the request.
            now: The current time in seconds.

        Returns:
            The request, or None if it is not in progress.
        """
        call = self.calls.pop(call_id, None)
        if call is not None:
            self.last_ended_at = now
            self._update_overdue_estimates(call, now - call.started)
        return call

    def _update_overdue_estimates(self, call: Call, elapsed: float) -> None:
        """Raises the estimates that a request without a result has exceeded."""
        likely = OVERDUE_FACTOR * elapsed
        if elapsed > self.cost.predict_s(len(call.items)):
            self.cost.add(len(call.items), likely)
        if elapsed > self.penalized_latency_s:
            self.used_since_probe = True
            self._update_latency(likely)

    def estimated_latency_s(self, now: float) -> float:
        """Returns the latency estimate by which replicas are compared.

        Args:
            now: The current time in seconds.

        Returns:
            Seconds: the smoothed latency with its penalty, or the age of the
            oldest request in progress if that is longer.
        """
        oldest = min((c.started for c in self.calls.values()), default=now)
        return max(self.penalized_latency_s, now - oldest)

    def record_probe(self) -> None:
        """Decreases the estimate if no request ended since the last probe."""
        if not self.used_since_probe:
            self.penalized_latency_s = max(
                self.penalized_latency_s * IDLE_DECAY, INITIAL_S
            )
        self.used_since_probe = False

    def _update_latency(self, seconds: float) -> None:
        self.penalized_latency_s += LATENCY_WEIGHT * (
            seconds - self.penalized_latency_s
        )


def _may_batch(item: Item) -> bool:
    return item.repeatable and not item.suspect_of
