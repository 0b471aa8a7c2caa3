"""Which query contents are suspected of crashing upstreams.

An incident is the loss of an upstream while a content was in flight there. It
is alone if no other content was in flight there, and no other upstream was lost
at about the same time without this content. It counts as alone, too, if it is
the only content in flight at the loss of two replicas of one shard, which stand
in different zones. A content is refused after two incidents of which at least
one was alone, so the loss of many upstreams at once is held against none.
"""

import dataclasses
import enum
from collections.abc import Container, Iterable

import xxhash

from kumquatspur.core.records import record

INCIDENT_TTL_S = 600.0
COINCIDENCE_WINDOW_S = 0.25
REFUSAL_INCIDENTS = 2
MAX_CONTENTS = 1024


class ContentState(enum.StrEnum):
    """How a content is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@record
class Incident:
    """The loss of an upstream under a content.

    Attributes:
        incident_id: Unique over all entry hosts.
        fingerprint: The content.
        searcher: The upstream lost.
        shard: The shard that the content was to search there.
        alone: Whether no other content was in flight there.
        observed_at: When it was noted.
        expires: When it is forgotten.
    """

    incident_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    observed_at: float
    expires: float


def fingerprint(service: str, content: str) -> str:
    """Returns the fingerprint of a content, whatever request carries it."""
    return xxhash.xxh3_128_hexdigest(f"{service}\0{content}".encode())


@dataclasses.dataclass
class CrashSuspects:
    """The incidents that are remembered.

    Attributes:
        incidents: Incidents by fingerprint and incident id, oldest content
            first.
    """

    incidents: dict[str, dict[str, Incident]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, incidents: Iterable[Incident]) -> None:
        """Remembers incidents.

        Args:
            incidents: The incidents; all those of one loss together.
        """
        new = [
            incident
            for incident in incidents
            if incident.incident_id
            not in self.incidents.get(incident.fingerprint, ())
        ]
        for incident in new:
            self._put(incident)
            if len(self.incidents) > MAX_CONTENTS:
                self._evict()
        for incident in new:
            self._single_out(incident)
        for incident in new:
            self._compare(incident)

    def _is_known(self, incident: Incident) -> bool:
        known = self.incidents.get(incident.fingerprint, ())
        return incident.incident_id in known

    def _single_out(self, incident: Incident) -> None:
        """Notes a content that alone explains the loss of two replicas."""
        for other in list(
            self.incidents.get(incident.fingerprint, {}).values()
        ):
            replica = other.shard == incident.shard
            if not replica or other.searcher == incident.searcher:
                continue
            common = self._contents(incident) & self._contents(other)
            if common == {incident.fingerprint}:
                self._put(dataclasses.replace(incident, alone=True))

    def _contents(self, incident: Incident) -> set[str]:
        """Returns the contents in flight at the loss behind an incident."""
        return {
            content
            for content in self.incidents
            if self._lost(content, incident)
        }

    def _compare(self, incident: Incident) -> None:
        """Notes which incidents coincide with one that they do not explain."""
        coinciding = [
            other
            for known in self.incidents.values()
            for other in known.values()
            if other.searcher != incident.searcher
            and abs(other.observed_at - incident.observed_at)
            < COINCIDENCE_WINDOW_S
        ]
        for other in coinciding:
            incident = self.incidents[incident.fingerprint][
                incident.incident_id
            ]
            for first, second in ((incident, other), (other, incident)):
                if first.alone and not self._lost(first.fingerprint, second):
                    self._put(dataclasses.replace(first, alone=False))

    def _lost(self, content: str, incident: Incident) -> bool:
        """Returns whether a content was in flight in an incident's loss."""
        return any(
            known.searcher == incident.searcher
            and abs(known.observed_at - incident.observed_at)
            < COINCIDENCE_WINDOW_S
            for known in self.incidents.get(content, {}).values()
        )

    def _put(self, incident: Incident) -> None:
        known = self.incidents.setdefault(incident.fingerprint, {})
        known[incident.incident_id] = incident

    def state_of(self, content: str, now: float) -> ContentState:
        """Returns how a content is treated.

        Args:
            content: Its fingerprint.
            now: The current time.

        Returns:
            The state.
        """
        live = self._live(content, now)
        if not live:
            return ContentState.CLEAR
        alone = any(incident.alone for incident in live)
        if alone and len(live) >= REFUSAL_INCIDENTS:
            return ContentState.REFUSED
        return ContentState.SUSPECT

    def crashed_searchers(self, content: str, now: float) -> list[str]:
        """Returns the upstreams that were lost under a content."""
        return sorted(
            {incident.searcher for incident in self._live(content, now)}
        )

    def expires(self, content: str, now: float) -> float:
        """Returns when the last incident of a content is forgotten."""
        live = self._live(content, now)
        return max((incident.expires for incident in live), default=now)

    def clear(self, content: str, searchers: Container[str]) -> None:
        """Forgets incidents after a content ran without harm.

        Args:
            content: Its fingerprint.
            searchers: The searchers of the shard on which it ran; incidents of
                others are forgotten only if they were not alone.
        """
        kept = {
            incident_id: incident
            for incident_id, incident in self.incidents.pop(content, {}).items()
            if incident.alone and incident.searcher not in searchers
        }
        if kept:
            self.incidents[content] = kept

    def refused(self, now: float) -> list[Incident]:
        """Returns the incidents of all contents that are refused."""
        return [
            incident
            for content in list(self.incidents)
            if self.state_of(content, now) is ContentState.REFUSED
            for incident in self.incidents[content].values()
        ]

    def _live(self, content: str, now: float) -> list[Incident]:
        known = self.incidents.get(content)
        if known is None:
            return []
        live = {
            n: incident
            for n, incident in known.items()
            if incident.expires > now
        }
        if live:
            self.incidents[content] = live
        else:
            del self.incidents[content]
        return list(live.values())

    def _evict(self) -> None:
        """Forgets the oldest content with the fewest incidents."""
        oldest = min(self.incidents, key=lambda name: len(self.incidents[name]))
        del self.incidents[oldest]
