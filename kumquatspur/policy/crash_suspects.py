"""Which query contents are suspected of crashing upstreams.

An incident records that an upstream crashed while a content was in flight
there. The incident is `alone` if no other content was in flight there, and no
other upstream crashed at about the same time without this content. It also
counts as alone if the content is the only one that was in flight at the crashes
of two replicas of one shard, since replicas are in different zones. A content
is refused after two incidents of which at least one was alone. So when many
upstreams fail at once, no content is refused for it.

Load pattern: several hosts have requests at an upstream, and each of them only
knows its own. Upstreams also crash by themselves, while popular contents are in
flight at all of them. A content that has run on a shard crashes nothing there.
"""

import dataclasses
import enum
import itertools
import math
from collections.abc import Container, Iterable

import xxhash

from kumquatspur.core.records import record

INCIDENT_TTL_S = 600.0
# Crashes closer together than this may have a common cause.
COINCIDENCE_WINDOW_S = 0.25
REFUSAL_INCIDENTS = 2
MAX_CONTENTS = 1024
# The age of a run that is passed on grows inexact with each host. A run that is
# later by less is the known one.
ECHO_S = 1.0


class ContentState(enum.StrEnum):
    """How queries with a content are treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


@record
class Incident:
    """The crash of an upstream while a content was in flight there.

    Attributes:
        incident_id: Unique over all entry hosts.
        fingerprint: Fingerprint of the content.
        searcher: The upstream that crashed.
        shard: The shard that the content was to search there.
        alone: Whether the content alone explains the crash. At first this means
            that no other content was in flight there; later incidents may
            change it by the rules above.
        observed_at: When the crash was observed.
        expires: When the incident is discarded.
    """

    incident_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    observed_at: float
    expires: float


def _coincide(first: Incident, second: Incident) -> bool:
    """Returns whether two crashes are close enough for a common cause."""
    gap_s = abs(first.observed_at - second.observed_at)
    return gap_s < COINCIDENCE_WINDOW_S


def fingerprint(service: str, content: str) -> str:
    """Returns the fingerprint of a content; repeated requests share it."""
    return xxhash.xxh3_128_hexdigest(f"{service}\0{content}".encode())


@dataclasses.dataclass
class CrashSuspects:
    """The incidents that have not expired.

    Contents are identified by their fingerprints.

    Attributes:
        incidents: Incidents by fingerprint and incident id, oldest content
            first.
        ran_at: When contents that had incidents ran on a shard without a crash,
            by fingerprint and shard, the latest last. Earlier incidents there
            do not count, whichever host sends them.
    """

    incidents: dict[str, dict[str, Incident]] = dataclasses.field(
        default_factory=dict
    )
    ran_at: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def add(self, incidents: Iterable[Incident]) -> None:
        """Adds incidents and updates which of them are alone.

        Args:
            incidents: The incidents; all those of one crash in one call.
        """
        new = [
            incident
            for incident in incidents
            if incident.incident_id
            not in self.incidents.get(incident.fingerprint, ())
            and incident.observed_at
            > self.ran_at.get((incident.fingerprint, incident.shard), -math.inf)
        ]
        for incident in new:
            self._store(incident)
            if len(self.incidents) > MAX_CONTENTS:
                self._evict()
        for incident in new:
            self._discount_same_crash(incident)
        for incident in new:
            self._find_common_content(incident)
        for incident in new:
            self._discount_coinciding(incident)

    def _discount_same_crash(self, incident: Incident) -> None:
        """Marks incidents of one crash as not alone if contents differ.

        Each host that had requests there reports its own contents.
        """
        others = [
            other
            for fingerprint, known in self.incidents.items()
            if fingerprint != incident.fingerprint
            for other in known.values()
            if other.searcher == incident.searcher
            and _coincide(other, incident)
        ]
        if not others:
            return
        for first in (incident, *others):
            known = self.incidents.get(first.fingerprint, {})
            current = known.get(first.incident_id)
            if current is not None and current.alone:
                current = dataclasses.replace(current, alone=False)
                self._store(current)
                self._find_common_content(current)

    def _find_common_content(self, incident: Incident) -> None:
        """Marks an incident as alone if its content explains two crashes.

        That is so if it is the only content that was in flight at the crashes
        of two replicas of one shard.
        """
        for other in list(
            self.incidents.get(incident.fingerprint, {}).values()
        ):
            same_shard = other.shard == incident.shard
            if not same_shard or other.searcher == incident.searcher:
                continue
            common = self._fingerprints_in_flight(
                incident
            ) & self._fingerprints_in_flight(other)
            if common == {incident.fingerprint}:
                self._store(dataclasses.replace(incident, alone=True))

    def _fingerprints_in_flight(self, incident: Incident) -> set[str]:
        """Returns the contents in flight at the crash of an incident."""
        return {
            fingerprint
            for fingerprint in self.incidents
            if self._was_in_flight(fingerprint, incident)
        }

    def _discount_coinciding(self, incident: Incident) -> None:
        """Marks incidents as not alone if they coincide with another crash.

        An incident is no longer alone if another upstream crashed at about the
        same time without the incident's content in flight there.
        """
        coinciding = [
            other
            for known in self.incidents.values()
            for other in known.values()
            if other.searcher != incident.searcher
            and _coincide(other, incident)
        ]
        for other in coinciding:
            known = self.incidents.get(incident.fingerprint, {})
            if incident.incident_id not in known:
                # The table was full, and its content was evicted.
                return
            incident = known[incident.incident_id]
            for first, second in ((incident, other), (other, incident)):
                if first.alone and not self._was_in_flight(
                    first.fingerprint, second
                ):
                    self._store(dataclasses.replace(first, alone=False))

    def _was_in_flight(self, fingerprint: str, incident: Incident) -> bool:
        """Returns whether a content was in flight at an incident's crash."""
        return any(
            known.searcher == incident.searcher and _coincide(known, incident)
            for known in self.incidents.get(fingerprint, {}).values()
        )

    def _store(self, incident: Incident) -> None:
        known = self.incidents.setdefault(incident.fingerprint, {})
        known[incident.incident_id] = incident

    def state_of(self, fingerprint: str, now: float) -> ContentState:
        """Returns how queries with a content are treated.

        Args:
            fingerprint: Fingerprint of the content.
            now: The current time in seconds.

        Returns:
            The state.
        """
        live = self._live(fingerprint, now)
        if not live:
            return ContentState.CLEAR
        alone = any(incident.alone for incident in live)
        if alone and len(live) >= REFUSAL_INCIDENTS:
            return ContentState.REFUSED
        return ContentState.SUSPECT

    def crashed_searchers(self, fingerprint: str, now: float) -> list[str]:
        """Returns the upstreams that crashed with a content in flight."""
        return sorted(
            {incident.searcher for incident in self._live(fingerprint, now)}
        )

    def expires(self, fingerprint: str, now: float) -> float:
        """Returns when the last incident of a content expires; now if none."""
        live = self._live(fingerprint, now)
        return max((incident.expires for incident in live), default=now)

    def clear(self, fingerprint: str, searchers: Container[str]) -> None:
        """Discards incidents after a content ran without a crash.

        Args:
            fingerprint: Fingerprint of the content.
            searchers: The searchers of the shard on which it ran. Incidents at
                other searchers are discarded only if they were not alone.
        """
        kept = {
            incident_id: incident
            for incident_id, incident in self.incidents.pop(
                fingerprint, {}
            ).items()
            if incident.alone and incident.searcher not in searchers
        }
        if kept:
            self.incidents[fingerprint] = kept

    def record_run(self, fingerprint: str, shard: str, at: float) -> bool:
        """Discards incidents after a content ran on a shard without a crash.

        Args:
            fingerprint: Fingerprint of the content.
            shard: The shard on which it ran.
            at: When its answer was complete.

        Returns:
            Whether there were any.
        """
        known = self.incidents.get(fingerprint, {})
        kept = {
            incident_id: incident
            for incident_id, incident in known.items()
            if incident.shard != shard or incident.observed_at > at
        }
        if len(kept) == len(known):
            return False
        if kept:
            self.incidents[fingerprint] = kept
        else:
            del self.incidents[fingerprint]
        self._remember_run(fingerprint, shard, at)
        return True

    def learn_runs(self, runs: Iterable[tuple[str, str, float]]) -> None:
        """Applies runs that another host has seen.

        Its incidents may arrive by way of a host that does not know the runs.

        Args:
            runs: Fingerprint, shard and time of each run.
        """
        for fingerprint, shard, at in runs:
            self.record_run(fingerprint, shard, at)
            known = self.ran_at.get((fingerprint, shard), -math.inf)
            if at - known > ECHO_S:
                self._remember_run(fingerprint, shard, at)

    def recent_runs(
        self, now: float, count: int
    ) -> list[tuple[str, str, float]]:
        """Returns the latest runs of contents that had incidents.

        Args:
            now: The current time in seconds.
            count: Greatest number of runs.

        Returns:
            Fingerprint, shard and time of each run.
        """
        for key, at in list(self.ran_at.items()):
            if now - at > INCIDENT_TTL_S:
                del self.ran_at[key]
        latest = itertools.islice(reversed(self.ran_at.items()), count)
        return [(*key, at) for key, at in latest]

    def _remember_run(self, fingerprint: str, shard: str, at: float) -> None:
        key = (fingerprint, shard)
        # Moved to the end, as the latest one.
        self.ran_at[key] = max(at, self.ran_at.pop(key, at))
        if len(self.ran_at) > MAX_CONTENTS:
            del self.ran_at[next(iter(self.ran_at))]

    def refused(self, now: float) -> list[Incident]:
        """Returns the incidents of all refused contents."""
        return [
            incident
            for fingerprint in list(self.incidents)
            if self.state_of(fingerprint, now) is ContentState.REFUSED
            for incident in self.incidents[fingerprint].values()
        ]

    def _live(self, fingerprint: str, now: float) -> list[Incident]:
        known = self.incidents.get(fingerprint)
        if known is None:
            return []
        live = {
            incident_id: incident
            for incident_id, incident in known.items()
            if incident.expires > now
        }
        if live:
            self.incidents[fingerprint] = live
        else:
            del self.incidents[fingerprint]
        return list(live.values())

    def _evict(self) -> None:
        """Removes the oldest of the contents with the fewest incidents."""
        evicted = min(
            self.incidents, key=lambda item: len(self.incidents[item])
        )
        del self.incidents[evicted]
