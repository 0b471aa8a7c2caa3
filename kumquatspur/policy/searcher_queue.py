"""The owner's queue for one searcher, with natural batching.

A free slot takes one item at once. While all slots are busy, items wait; the
next free slot takes all that wait, up to a bound, as one request.
"""

import collections
import dataclasses

from kumquatspur.core.actions import Item
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Searcher

MAX_BATCH_ITEMS = 16
INITIAL_LATENCY_S = 0.005
LATENCY_WEIGHT = 0.1


@dataclasses.dataclass
class Call:
    """A request that is under way."""

    items: tuple[Item, ...]
    started: float


@dataclasses.dataclass
class SearcherQueue:
    """State of one owned searcher.

    Attributes:
        searcher: The searcher.
        waiting: Items that wait for a slot, oldest first.
        calls: Requests under way, by call id.
        held: The snapshots that it holds.
        draining: Whether it is leaving.
        reachable: Whether its last request or probe succeeded.
        latency_s: Smoothed latency of one request, in seconds.
        max_calls: Requests that may be under way at once.
        max_batch: Items that may share a request.
    """

    searcher: Searcher
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    held: tuple[int, ...] = ()
    draining: bool = False
    reachable: bool = False
    latency_s: float = INITIAL_LATENCY_S
    max_calls: int = 1
    max_batch: int = MAX_BATCH_ITEMS

    def backlog(self) -> int:
        """Returns the number of items waiting or running."""
        running = sum(len(call.items) for call in self.calls.values())
        return len(self.waiting) + running

    def free_slots(self) -> int:
        """Returns the number of requests that may be started now."""
        return max(0, self.max_calls - len(self.calls))

    def expected_wait_s(self) -> float:
        """Estimates how long a new item waits for a slot, in seconds."""
        if self.free_slots():
            return 0.0
        rounds = 1 + len(self.waiting) // (self.max_batch * self.max_calls)
        return rounds * self.latency_s

    def admit(self, item: Item, now: float) -> Reason | None:
        """Queues an item unless it cannot finish in time.

        Args:
            item: The item.
            now: The current time.

        Returns:
            None if it was queued, else why it was refused.
        """
        if self.draining:
            return Reason.REFUSED
        if item.hedge and not self.free_slots():
            return Reason.OVERLOADED
        if now + self.expected_wait_s() >= item.deadline:
            return Reason.OVERLOADED
        self.waiting.append(item)
        return None

    def take_batch(self) -> tuple[Item, ...]:
        """Takes the items of the next request.

        An item that is not repeatable travels alone, so that its verdict
        depends on no other item.

        Returns:
            The items; empty if no slot is free or nothing waits.
        """
        if not self.waiting or not self.free_slots():
            return ()
        batch = [self.waiting.popleft()]
        while (
            batch[0].repeatable
            and self.waiting
            and self.waiting[0].repeatable
            and len(batch) < self.max_batch
        ):
            batch.append(self.waiting.popleft())
        return tuple(batch)

    def start(self, call_id: str, items: tuple[Item, ...], now: float) -> None:
        """Records that a request was started."""
        self.calls[call_id] = Call(items, now)

    def finish(self, call_id: str, now: float) -> Call | None:
        """Records that a request ended and updates the latency estimate.

        Args:
            call_id: The request.
            now: The current time.

        Returns:
            The request, or None if it is not under way.
        """
        call = self.calls.pop(call_id, None)
        if call is not None:
            elapsed = now - call.started
            self.latency_s += LATENCY_WEIGHT * (elapsed - self.latency_s)
        return call
