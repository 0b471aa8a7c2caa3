"""Simulates which contents are refused after crashes of searchers.

It counts both errors of the detector: crashes under a harmful content before it
is refused, and contents that crash nothing but are refused.

Load pattern: requests of many contents, a few of them popular, are in flight
at a searcher from several hosts. Searchers crash by themselves, and under a
harmful content that is sent again and again.
"""

import dataclasses
import random

from kumquatspur.policy.crash_suspects import (
    INCIDENT_TTL_S,
    ContentState,
    CrashSuspects,
    Incident,
)

HARMFUL = "harmful"
SERVICE = "s"


@dataclasses.dataclass(frozen=True)
class CrashLoad:
    """Load and crashes.

    Attributes:
        hosts: Number of entry hosts.
        searchers: Number of searchers of the service.
        in_flight: Mean number of other requests at a searcher.
        contents: Number of contents.
        popularity: Exponent of the popularity of contents by rank; 0 if all
            are equally popular.
        interval_s: Mean time between crashes, in seconds.
        part_sent: Share of the requests at work whose answer has begun.
        per_s: Requests for the service, which succeed between the crashes.
        told: Whether hosts tell each other which contents have run.
    """

    hosts: int = 6
    searchers: int = 9
    in_flight: float = 2.0
    contents: int = 1000
    popularity: float = 1.0
    interval_s: float = 30.0
    part_sent: float = 0.3
    per_s: float = 300.0
    told: bool = True


class CrashSimulation:
    """Crashes one after the other, as the hosts record them.

    Attributes:
        load: The load.
        sees_parts: Whether hosts see crashes after a part of an answer.
        suspects: What all hosts know.
        refused: Contents that were refused.
        now: The time in seconds.
    """

    def __init__(self, load: CrashLoad, seed: int, sees_parts: bool = True):
        self.load = load
        self.sees_parts = sees_parts
        self.suspects = CrashSuspects()
        self.refused = set()
        self.now = 0.0
        self._random = random.Random(seed)
        self._weights = [
            (rank + 1) ** -load.popularity for rank in range(load.contents)
        ]
        self._total = sum(self._weights)
        self._crashes = 0

    def crash(self, content: str | None = None) -> None:
        """Crashes a searcher, by itself or under a content."""
        numbers, load = self._random, self.load
        interval_s = numbers.expovariate(1.0 / load.interval_s)
        self._run_others(interval_s)
        self.now += interval_s
        self._crashes += 1
        searcher = f"i-{numbers.randrange(load.searchers)}"
        at_work = [
            f"c{rank}"
            for rank in numbers.choices(
                range(load.contents), self._weights, k=self._draw_count()
            )
        ]
        at_work = [item for item in at_work if not self.is_refused(item)]
        if content is not None:
            at_work.append(content)
        by_host = {}
        for item in at_work:
            if self.sees_parts or numbers.random() >= load.part_sent:
                host = numbers.randrange(load.hosts)
                by_host.setdefault(host, set()).add(item)
        for host, items in by_host.items():
            self.suspects.add(
                Incident(
                    f"{host}-{self._crashes}-{item}",
                    item,
                    searcher,
                    SERVICE,
                    len(items) == 1,
                    self.now + 0.01 * host / load.hosts,
                    self.now + INCIDENT_TTL_S,
                )
                for item in sorted(items)
            )
        self.refused |= {item for item in at_work if self.is_refused(item)}

    def _run_others(self, seconds: float) -> None:
        """Lets contents that crash nothing run for some time."""
        if not self.load.told:
            return
        for content in list(self.suspects.incidents):
            if content == HARMFUL or self.is_refused(content):
                continue
            weight = self._weights[int(content.removeprefix("c"))]
            per_s = self.load.per_s * weight / self._total
            at_s = self._random.expovariate(per_s)
            # A request that was at work at the crash is no proof.
            if at_s < seconds:
                self.suspects.record_run(content, SERVICE, self.now + at_s)

    def is_refused(self, content: str) -> bool:
        """Returns whether the hosts refuse a content now."""
        state = self.suspects.state_of(content, self.now + 1.0)
        return state is ContentState.REFUSED

    def _draw_count(self) -> int:
        """Draws how many other requests are at work, from a Poisson law."""
        count, end = 0, self._random.expovariate(1.0)
        while end < self.load.in_flight:
            count += 1
            end += self._random.expovariate(1.0)
        return count


def refused_innocents(
    load: CrashLoad, seed: int, crashes: int, sees_parts: bool = True
) -> int:
    """Returns how many contents are refused though they crash nothing."""
    simulation = CrashSimulation(load, seed, sees_parts)
    for _ in range(crashes):
        simulation.crash()
    return len(simulation.refused)


def crashes_before_refusal(
    load: CrashLoad, seed: int, most: int, sees_parts: bool = True
) -> int:
    """Returns how often a harmful content crashes a searcher.

    Args:
        load: The load.
        seed: Seed of the random numbers.
        most: Crashes after which it is not sent any more.
        sees_parts: Whether hosts see crashes after a part of an answer.
    """
    simulation = CrashSimulation(load, seed, sees_parts)
    for count in range(most):
        if simulation.is_refused(HARMFUL):
            return count
        simulation.crash(HARMFUL)
    return most
