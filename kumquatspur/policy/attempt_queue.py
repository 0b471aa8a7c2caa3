"""Attempts that wait in this host until a searcher of their shard has room.

Load pattern: the searchers of a shard have less room than the requests need.
Requests that cannot be answered at all without the shard go first, then those
whose time ends first. An attempt that would start too late to be of use is not
queued, and one that has waited too long is removed, so that its request is
answered without the shard at once instead of at the last moment.
"""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(eq=False, slots=True)
class WaitingAttempt:
    """An attempt that waits for room.

    Attributes:
        service: The shard, or the service of a forwarded request.
        required: Whether its request cannot be answered without it.
        useful_until: When it must have started to be of use.
        start: Starts it; called when a searcher has room.
    """

    service: str
    required: bool
    useful_until: float
    start: Callable[[], None]

    def rank(self) -> tuple[bool, float]:
        """Returns a key that sorts attempts by who goes first."""
        return (not self.required, self.useful_until)


@dataclasses.dataclass
class AttemptQueues:
    """The waiting attempts of this host.

    Attributes:
        by_service: The waiting attempts of each service that has any.
    """

    by_service: dict[str, list[WaitingAttempt]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, attempt: WaitingAttempt) -> None:
        """Adds an attempt."""
        self.by_service.setdefault(attempt.service, []).append(attempt)

    def remove(self, attempt: WaitingAttempt) -> None:
        """Removes an attempt if it is waiting."""
        waiting = self.by_service.get(attempt.service, [])
        if attempt in waiting:
            waiting.remove(attempt)
            if not waiting:
                del self.by_service[attempt.service]

    def length(self, service: str) -> int:
        """Returns how many attempts wait for a service."""
        return len(self.by_service.get(service, ()))

    def useful(self, service: str, now: float) -> list[WaitingAttempt]:
        """Returns the waiting attempts of a service, the first to go first.

        Those that are too late are left out; their requests remove them.

        Args:
            service: The service.
            now: Monotonic time in seconds.
        """
        waiting = self.by_service.get(service, ())
        useful = [item for item in waiting if item.useful_until > now]
        return sorted(useful, key=WaitingAttempt.rank)


def expected_wait_s(length: int, room: float, typical_s: float) -> float:
    """Returns how long an attempt will wait behind others, in seconds.

    Args:
        length: Number of attempts that wait already.
        room: Attempts that may be in flight at the service's searchers.
        typical_s: Typical latency of an attempt, in seconds.
    """
    return (length + 1) * typical_s / max(room, 1.0)
