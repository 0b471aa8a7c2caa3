"""Which query contents are suspected of crashing upstreams.

A death is the loss of an upstream while a content was in flight there. It is
alone if no other content was in flight there, and no other upstream was lost
at about the same time without this content. It counts as alone, too, if it is
the only content in flight at the loss of two replicas of one shard, which stand
in different zones. A content is refused after two deaths of which at least one
was alone, so the loss of many upstreams accuses none.
"""

import dataclasses
import enum
from collections.abc import Container, Iterable

import xxhash

from kumquatspur.core.records import record

MEMORY_S = 600.0
COINCIDENCE_S = 0.25
REFUSAL_DEATHS = 2
MAX_CONTENTS = 1024


class Standing(enum.StrEnum):
    """How a content is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@record
class Death:
    """The loss of an upstream under a content.

    Attributes:
        death_id: Unique over all entry hosts.
        fingerprint: The content.
        searcher: The upstream lost.
        shard: The shard that the content was to search there.
        alone: Whether no other content was in flight there.
        noted: When it was noted.
        expires: When it is forgotten.
    """

    death_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    noted: float
    expires: float


def fingerprint(service: str, content: str) -> str:
    """Returns the fingerprint of a content, whatever request carries it."""
    return xxhash.xxh3_128_hexdigest(f"{service}\0{content}".encode())


@dataclasses.dataclass
class CrashSuspects:
    """The deaths that are remembered.

    Attributes:
        deaths: Deaths by fingerprint and death id, oldest content first.
    """

    deaths: dict[str, dict[str, Death]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, deaths: Iterable[Death]) -> None:
        """Remembers deaths.

        Args:
            deaths: The deaths; all those of one loss together.
        """
        new = [
            death
            for death in deaths
            if death.death_id not in self.deaths.get(death.fingerprint, ())
        ]
        for death in new:
            self._put(death)
            if len(self.deaths) > MAX_CONTENTS:
                self._evict()
        for death in new:
            self._single_out(death)
        for death in new:
            self._compare(death)

    def _single_out(self, death: Death) -> None:
        """Notes a content that alone explains the loss of two replicas."""
        for other in list(self.deaths.get(death.fingerprint, {}).values()):
            replica = other.shard == death.shard
            if not replica or other.searcher == death.searcher:
                continue
            common = self._contents(death) & self._contents(other)
            if common == {death.fingerprint}:
                self._put(dataclasses.replace(death, alone=True))

    def _contents(self, death: Death) -> set[str]:
        """Returns the contents in flight at the loss behind a death."""
        return {
            content for content in self.deaths if self._lost(content, death)
        }

    def _compare(self, death: Death) -> None:
        """Notes which deaths coincide with one that they do not explain."""
        coinciding = [
            other
            for known in self.deaths.values()
            for other in known.values()
            if other.searcher != death.searcher
            and abs(other.noted - death.noted) < COINCIDENCE_S
        ]
        for other in coinciding:
            death = self.deaths[death.fingerprint][death.death_id]
            for first, second in ((death, other), (other, death)):
                if first.alone and not self._lost(first.fingerprint, second):
                    self._put(dataclasses.replace(first, alone=False))

    def _lost(self, content: str, death: Death) -> bool:
        """Returns whether a content was in flight in a death's loss."""
        return any(
            known.searcher == death.searcher
            and abs(known.noted - death.noted) < COINCIDENCE_S
            for known in self.deaths.get(content, {}).values()
        )

    def _put(self, death: Death) -> None:
        known = self.deaths.setdefault(death.fingerprint, {})
        known[death.death_id] = death

    def standing(self, content: str, now: float) -> Standing:
        """Returns how a content is treated.

        Args:
            content: Its fingerprint.
            now: The current time.

        Returns:
            The standing.
        """
        live = self._live(content, now)
        if not live:
            return Standing.CLEAR
        alone = any(death.alone for death in live)
        if alone and len(live) >= REFUSAL_DEATHS:
            return Standing.REFUSED
        return Standing.SUSPECT

    def dead_searchers(self, content: str, now: float) -> list[str]:
        """Returns the upstreams that died under a content."""
        return sorted({death.searcher for death in self._live(content, now)})

    def expires(self, content: str, now: float) -> float:
        """Returns when the last death of a content is forgotten."""
        live = self._live(content, now)
        return max((death.expires for death in live), default=now)

    def acquit(self, content: str, searchers: Container[str]) -> None:
        """Forgets deaths after a content ran without harm.

        Args:
            content: Its fingerprint.
            searchers: The searchers of the shard on which it ran; deaths of
                others are forgotten only if they were not alone.
        """
        kept = {
            death_id: death
            for death_id, death in self.deaths.pop(content, {}).items()
            if death.alone and death.searcher not in searchers
        }
        if kept:
            self.deaths[content] = kept

    def refused(self, now: float) -> list[Death]:
        """Returns the deaths of all contents that are refused."""
        return [
            death
            for content in list(self.deaths)
            if self.standing(content, now) is Standing.REFUSED
            for death in self.deaths[content].values()
        ]

    def _live(self, content: str, now: float) -> list[Death]:
        known = self.deaths.get(content)
        if known is None:
            return []
        live = {n: death for n, death in known.items() if death.expires > now}
        if live:
            self.deaths[content] = live
        else:
            del self.deaths[content]
        return list(live.values())

    def _evict(self) -> None:
        """Forgets the oldest content with the fewest deaths."""
        oldest = min(self.deaths, key=lambda name: len(self.deaths[name]))
        del self.deaths[oldest]
